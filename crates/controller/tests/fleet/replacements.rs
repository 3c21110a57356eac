//! Replacement of lost controllers: what is logged, and whether it completes while the configuration changes.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::support::controllers::policy;
use caperworks::policy::CorePolicy;
use controller::state_machine::event::Event;

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
