//! Stories of a follower that turns from a silent controller to another one.

use crate::fleet::apply;
use crate::fleet::heartbeat;
use crate::fleet::service;
use crate::fleet::service_put;
use crate::fleet::Fleet;
use crate::follower::FollowerProcess;
use crate::support::controllers::policy;
use crate::support::controllers::STEP;
use caperworks::facts::Role;
use caperworks::messages::Envelope;
use caperworks::messages::Message;
use caperworks::policy::CorePolicy;
use caperworks::replicated_map::MapName;
use std::net::SocketAddr;
use std::time::Duration;

const INSTANCES: u64 = 200;
/// How often each of them sends a heartbeat.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(2000);
/// A heartbeat that says nothing new is passed on only so often, as on the operators' platform.
const HEARTBEAT_REFRESH: Duration = Duration::from_millis(2160);
/// Every second heartbeat is passed on, all of them in the same 2 s of four. A follower turns within 0.6 s of its
/// last answer, and is told again what was learned 0.3 s before that: at most in 1.2 s of those two.
const MOST_REPORTED: usize = 120;

/// Controllers, and an agent that does not hear all of them.
struct World {
    fleet: Fleet,
    agent: FollowerProcess,
    /// Neither hears the agent nor reaches it.
    silent: Option<SocketAddr>,
    heartbeats: u64,
    heartbeats_began_at: Duration,
    /// The instances that each answer told since it was asked last, and whether there was more to tell.
    reported: Vec<(usize, bool)>,
}

impl World {
    /// A fleet with instances, and an agent that was told all of them.
    fn level(seed: u64) -> Self {
        let core = CorePolicy {
            heartbeat_refresh: HEARTBEAT_REFRESH,
            ..policy()
        };
        let mut fleet = Fleet::new([core.clone(), core.clone(), core], seed);
        fleet.run(Duration::from_secs(8));
        let heartbeats_began_at = fleet.now;
        let mut world = Self {
            fleet,
            agent: FollowerProcess::new(0, Role::Proxy, MapName::Ownership),
            silent: None,
            heartbeats: 0,
            heartbeats_began_at,
            reported: Vec::new(),
        };
        let put = service_put("records", 1, Some(service()));
        world.fleet.call(0, apply("first", vec![put]));
        world.run(Duration::from_secs(6));
        let reported: usize = world.reported.iter().map(|(reported, _)| reported).sum();
        assert!(
            reported as u64 >= INSTANCES,
            "only {reported} were told at first"
        );
        assert!(world.has_lease(), "the agent has no lease");
        world
    }

    fn has_lease(&self) -> bool {
        self.fleet.now < self.agent.link.fresh_until()
    }

    /// Each instance sends its heartbeats to one controller, evenly spread over their period.
    fn send_due_heartbeats(&mut self) {
        let since = self.fleet.now.saturating_sub(self.heartbeats_began_at);
        let due = INSTANCES as u128 * since.as_micros() / HEARTBEAT_PERIOD.as_micros();
        while u128::from(self.heartbeats) < due {
            let number = self.heartbeats % INSTANCES;
            let counter = self.heartbeats / INSTANCES + 1;
            let mut beat = heartbeat(&format!("instance-{number}"), counter);
            beat.address = SocketAddr::from(([127, 0, 0, 2], 8000 + number as u16));
            self.fleet.send_heartbeat((number % 3) as usize, beat);
            self.heartbeats += 1;
        }
    }

    fn send(&mut self, sent: Vec<(SocketAddr, Envelope)>) {
        let silent = self.silent;
        let heard = sent.into_iter().filter(|(to, _)| Some(*to) != silent);
        self.fleet.wire.extend(heard);
        self.fleet.deliver();
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        self.send_due_heartbeats();
        let now = self.fleet.now;
        let sent = self.agent.tick(now);
        self.send(sent);
        for (to, envelope) in std::mem::take(&mut self.fleet.to_followers) {
            if to != self.agent.address || Some(envelope.reply_to) == self.silent {
                continue;
            }
            if let Message::Grant { granted } = &envelope.message {
                self.reported.push((granted.instances.len(), granted.more));
            }
            let sent = self.agent.receive(now, &envelope);
            self.send(sent);
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.fleet.now + span;
        while self.fleet.now < until {
            self.step();
        }
    }

    /// Silences the controller that the agent follows; gives how many instances the next one tells until
    /// it has told all that the agent lacks.
    fn switch_controller(&mut self) -> usize {
        let left = self.agent.link.controller();
        self.silent = Some(left);
        self.reported.clear();
        self.run(Duration::from_secs(2));
        assert_ne!(self.agent.link.controller(), left, "it did not turn away");
        let full_map = self.reported.iter().position(|(_, more)| !more);
        let full_map = full_map.expect("the next one told all");
        self.reported[..=full_map]
            .iter()
            .map(|(reported, _)| reported)
            .sum()
    }
}

#[test]
fn follower_that_switches_controllers_receives_only_recent_facts() {
    for seed in 1..4 {
        let mut world = World::level(seed);
        for turn in 1..=4 {
            let reported = world.switch_controller();
            assert!(
                reported <= MOST_REPORTED,
                "seed {seed}, turn {turn}: {reported} of {INSTANCES} instances were told"
            );
            assert!(world.has_lease(), "seed {seed}, turn {turn}: no lease");
            world.silent = None;
            world.run(Duration::from_secs(1));
        }
    }
}
