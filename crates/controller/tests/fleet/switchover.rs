//! A follower that switches to another controller when its own stops responding.

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
/// Interval between the heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// Minimum interval at which an unchanged heartbeat is propagated, as on the operators' platform.
const HEARTBEAT_REFRESH: Duration = Duration::from_millis(2160);
/// Upper bound of the instances that are reported after a switch. Every second heartbeat of an instance is
/// propagated, and these heartbeats fall into the same 2 s of every 4 s. A follower switches within 0.6 s of
/// the last response, and receives again the facts of the 0.3 s before that response: together they cover at
/// most 1.2 s of those 2 s.
const MAX_REPORTED: usize = 120;

/// Controllers, and an agent that cannot reach all of them.
struct World {
    fleet: Fleet,
    agent: FollowerProcess,
    /// The controller that is partitioned from the agent.
    partitioned: Option<SocketAddr>,
    heartbeats: u64,
    heartbeats_began_at: Duration,
    /// For each grant since the last switch: the number of instances in it, and whether more were missing.
    reported: Vec<(usize, bool)>,
}

impl World {
    /// Returns a fleet with instances, and an agent that has received all of them.
    fn up_to_date(seed: u64) -> Self {
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
            partitioned: None,
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
            "only {reported} instances were reported initially"
        );
        assert!(world.has_lease(), "the agent has no lease");
        world
    }

    fn has_lease(&self) -> bool {
        self.fleet.now < self.agent.link.fresh_until()
    }

    /// Sends the heartbeats that are due. Each instance sends them to one controller, and the instances are
    /// evenly spread over the interval.
    fn send_due_heartbeats(&mut self) {
        let since = self.fleet.now.saturating_sub(self.heartbeats_began_at);
        let due = INSTANCES as u128 * since.as_micros() / HEARTBEAT_INTERVAL.as_micros();
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
        let partitioned = self.partitioned;
        let reachable = sent.into_iter().filter(|(to, _)| Some(*to) != partitioned);
        self.fleet.wire.extend(reachable);
        self.fleet.deliver();
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        self.send_due_heartbeats();
        let now = self.fleet.now;
        let sent = self.agent.tick(now);
        self.send(sent);
        for (to, envelope) in std::mem::take(&mut self.fleet.to_followers) {
            if to != self.agent.address || Some(envelope.reply_to) == self.partitioned {
                continue;
            }
            if let Message::Grant { granted } = &envelope.message {
                self.reported.push((granted.instances.len(), granted.more));
            }
            let sent = self.agent.receive(now, &envelope);
            self.send(sent);
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.fleet.now + duration;
        while self.fleet.now < until {
            self.step();
        }
    }

    /// Partitions the agent from its controller. Returns how many instances the next controller reports until
    /// the agent has received all that it was missing.
    fn switch_controller(&mut self) -> usize {
        let previous = self.agent.link.controller();
        self.partitioned = Some(previous);
        self.reported.clear();
        self.run(Duration::from_secs(2));
        assert_ne!(
            self.agent.link.controller(),
            previous,
            "the agent did not switch"
        );
        let last_grant = self.reported.iter().position(|(_, more)| !more);
        let last_grant = last_grant.expect("the next controller reported all instances");
        self.reported[..=last_grant]
            .iter()
            .map(|(reported, _)| reported)
            .sum()
    }
}

#[test]
fn follower_that_switches_controllers_receives_only_recent_facts() {
    for seed in 1..4 {
        let mut world = World::up_to_date(seed);
        for round in 1..=4 {
            let reported = world.switch_controller();
            assert!(
                reported <= MAX_REPORTED,
                "seed {seed}, round {round}: {reported} of {INSTANCES} instances were reported"
            );
            assert!(world.has_lease(), "seed {seed}, round {round}: no lease");
            world.partitioned = None;
            world.run(Duration::from_secs(1));
        }
    }
}
