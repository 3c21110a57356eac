//! Replacement of lost controllers: what is logged, and whether it completes while the configuration changes.

use std::time::Duration;

use crate::fleet::{apply, service, service_put, Fleet};
use crate::follower::FollowerProcess;
use crate::restarts::run_with_follower;
use crate::support::controllers::{address, policy, STEP};
use caperworks::facts::Role;
use caperworks::identifiers::NodeId;
use caperworks::policy::CorePolicy;
use caperworks::replicated_map::MapName;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;

/// The shortest `sync_time_s` of the deployments: a successor must be a voter that long after its start.
const SYNC_TIME: Duration = Duration::from_secs(4);

/// The policy of controllers on the operators' platform.
fn platform_policy() -> CorePolicy {
    CorePolicy {
        controller_timeout: Duration::from_millis(2500),
        collection_period: Duration::from_millis(2200),
        ..policy()
    }
}

fn founded_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(std::array::from_fn(|_| platform_policy()), seed);
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.founded, 1);
    fleet
}

/// Guards against a replacement that stops for reasons that no log line tells.
#[test]
fn candidate_that_cannot_become_voter_is_logged_with_reason() {
    let mut fleet = founded_fleet(400);
    fleet.events.clear();
    fleet.stop(0, true);
    let successor = fleet.add_controller(platform_policy());
    fleet.nodes[successor].disk_hangs = true;
    fleet.run(Duration::from_secs(10));
    let lost = |event: &Event| matches!(event, Event::VoterUnreachable { why } if why.contains("last message 15"));
    let started = |event: &Event| matches!(event, Event::VoterManagementStarted { .. });
    let waiting = |event: &Event| match event {
        Event::CandidateWaiting { why } => why.contains("behind by") && why.contains("Behind"),
        _ => false,
    };
    let count = |predicate: &dyn Fn(&Event) -> bool| {
        let events = fleet.events.iter();
        events.filter(|(_, event)| predicate(event)).count()
    };
    // Each of the other two notices the loss, and one of them manages the voters.
    assert_eq!(count(&lost), 2, "{:?}", fleet.events);
    assert_eq!(count(&started), 1, "{:?}", fleet.events);
    assert!((4..10).contains(&count(&waiting)), "{:?}", fleet.events);
}

/// Guards against a replacement whose steps cannot be dated afterwards.
#[test]
fn replacement_is_logged_step_by_step() {
    let mut fleet = founded_fleet(401);
    fleet.events.clear();
    fleet.stop(0, true);
    let successor = fleet.add_controller(platform_policy());
    fleet.run(Duration::from_secs(10));
    let node = fleet.nodes[successor]
        .machine
        .as_ref()
        .expect("the successor is running")
        .node();
    let voters_of = |index: usize| -> Vec<(usize, bool)> {
        let events = fleet.events.iter();
        let sets = events.filter_map(|(from, event)| match event {
            Event::VotersChanged { voters } if *from == index => {
                Some((voters.len(), voters.contains(&node)))
            }
            _ => None,
        });
        sets.collect()
    };
    // The lost controller is removed before its successor is added.
    assert_eq!(voters_of(1), [(2, false), (3, true)]);
    assert_eq!(voters_of(2), [(2, false), (3, true)]);
}
/// Operators that keep changing services at the controllers that run.
struct SteadyChanges {
    interval: Duration,
    next_at: Duration,
    count: u64,
}

impl SteadyChanges {
    fn new(interval: Duration) -> Self {
        Self {
            interval,
            next_at: Duration::ZERO,
            count: 0,
        }
    }

    /// Lets the fleet run while changes are sent.
    fn run(&mut self, fleet: &mut Fleet, duration: Duration) {
        let until = fleet.now + duration;
        while fleet.now < until {
            fleet.run(STEP);
            if fleet.now >= self.next_at {
                self.next_at = fleet.now + self.interval;
                self.send(fleet);
            }
        }
    }

    /// Sends the next change to the next controller that runs and is not shutting down.
    fn send(&mut self, fleet: &mut Fleet) {
        let running: Vec<usize> = (0..fleet.nodes.len())
            .filter(|index| {
                let machine = fleet.nodes[*index].machine.as_ref();
                machine.is_some_and(|machine| machine.state.stopping_since.is_none())
            })
            .collect();
        self.count += 1;
        let index = running[self.count as usize % running.len()];
        let service_name = format!("records-{}", self.count % 4);
        let put = service_put(&service_name, self.count, Some(service()));
        fleet.call(index, apply(&format!("change-{}", self.count), vec![put]));
    }
}

/// The number of changes that operators may have in flight at once.
const CHANGES_IN_FLIGHT: u32 = 8;

/// Intervals between changes, from many within a quorum read to one in several seconds.
const CHANGE_INTERVALS_MS: [u64; 8] = [25, 50, 75, 100, 200, 300, 1000, 3000];

/// Returns whether a node is a voter in the membership of each controller of `observers`.
fn is_voter_at(fleet: &Fleet, node: NodeId, observers: &[usize]) -> bool {
    observers.iter().all(|index| {
        let machine = fleet.nodes[*index].machine.as_ref();
        let voters = machine.and_then(|machine| machine.state.voters());
        voters.is_some_and(|voters| voters.entry(node).is_some())
    })
}

fn node_of(fleet: &Fleet, index: usize) -> NodeId {
    let machine = fleet.nodes[index].machine.as_ref();
    machine.expect("the controller is running").node()
}

/// Returns the time from the start of the successor until it is a voter, while changes go on; `None` if that
/// takes longer than 30 s.
fn time_to_replacement(lost: usize, interval: Duration, seed: u64) -> Option<Duration> {
    let mut fleet = founded_fleet(seed);
    let mut changes = SteadyChanges::new(interval);
    changes.run(&mut fleet, Duration::from_secs(2));
    fleet.stop(lost, true);
    let successor = fleet.add_controller(platform_policy());
    let node = node_of(&fleet, successor);
    let survivors: Vec<usize> = (0..3).filter(|index| *index != lost).collect();
    let since = fleet.now;
    while fleet.now < since + Duration::from_secs(30) {
        changes.run(&mut fleet, STEP);
        if is_voter_at(&fleet, node, &survivors) {
            return Some(fleet.now - since);
        }
    }
    None
}

/// Guards against a successor that never becomes a voter because each change makes it behind again.
#[test]
fn successor_becomes_voter_while_configuration_changes() {
    let mut too_late = Vec::new();
    for (number, interval) in CHANGE_INTERVALS_MS.into_iter().enumerate() {
        // Controller 0 manages the voters.
        for lost in [1, 2] {
            let seed = 410 + number as u64 * 3 + lost as u64;
            let taken = time_to_replacement(lost, Duration::from_millis(interval), seed);
            if taken.is_none_or(|taken| taken > SYNC_TIME) {
                too_late.push((interval, lost, taken));
            }
        }
    }
    assert!(too_late.is_empty(), "{too_late:?}");
}

/// Guards against a shutdown that hands no role over because each change makes the others behind again.
#[test]
fn shutdown_completes_while_configuration_changes() {
    for (number, interval) in CHANGE_INTERVALS_MS.into_iter().enumerate() {
        let mut fleet = founded_fleet(440 + number as u64);
        let mut changes = SteadyChanges::new(Duration::from_millis(interval));
        changes.run(&mut fleet, Duration::from_secs(2));
        fleet.handle_input(0, ControllerInput::Shutdown);
        changes.run(&mut fleet, Duration::from_secs(2));
        assert!(fleet.stopped.contains(&0), "changes each {interval} ms");
        let incomplete =
            |(_, event): &(usize, Event)| matches!(event, Event::ShutdownIncomplete { .. });
        assert!(!fleet.events.iter().any(incomplete));
    }
}

/// Guards against a fleet that stays without a witness because each change makes the agents behind again.
#[test]
fn agent_becomes_witness_while_configuration_changes() {
    let core = CorePolicy {
        witness_voters: 1,
        ..platform_policy()
    };
    let mut fleet = Fleet::new(std::array::from_fn(|_| core.clone()), 460);
    let mut changes = SteadyChanges::new(STEP);
    changes.run(&mut fleet, Duration::from_secs(8));
    let mut agent = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
    // It renews its lease at a controller that does not manage the voters.
    agent.link.seeds = vec![address(1)];
    let node = agent.member(fleet.now).node;
    let until = fleet.now + Duration::from_secs(8);
    while fleet.now < until && !is_voter_at(&fleet, node, &[0, 1, 2]) {
        run_with_follower(&mut fleet, &mut agent, STEP);
        for _ in 0..CHANGES_IN_FLIGHT {
            changes.send(&mut fleet);
        }
    }
    assert!(is_voter_at(&fleet, node, &[0, 1, 2]));
}

/// Guards against a controller in another region that may not lead because each change makes it behind again.
#[test]
fn distant_controller_counts_as_up_to_date_while_configuration_changes() {
    let mut fleet = founded_fleet(470);
    fleet.distant.insert(2, STEP * 2);
    let distant = node_of(&fleet, 2);
    let mut changes = SteadyChanges::new(STEP * 2);
    changes.run(&mut fleet, Duration::from_secs(5));
    for index in [0, 1] {
        let machine = fleet.nodes[index].machine.as_ref();
        let state = &machine.expect("the controller is running").state;
        assert!(!state.liveness.is_behind(distant), "{index}");
    }
}
