//! Handovers and releases, and how long a lease prevents a move.

use std::time::Duration;

use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::{InstanceId, Zone};
use caperworks::ownership::{OwnerManager, OwnerManagerTimings, ReleasedKeyRange};

use crate::bench::{millis, seconds, Bench};

#[test]
fn new_owner_gets_the_handover_and_a_higher_epoch() {
    let mut bench = Bench::new(16);
    bench.run(seconds(1), &["a"], 2);
    assert!(bench
        .owners()
        .iter()
        .flatten()
        .all(|owner| owner.instance.as_str() == "a"));
    let before = bench.owners();
    assert!(
        bench.run(seconds(3), &["a", "b"], 40),
        "key ranges still move in the last step"
    );
    let moved: Vec<usize> = (0..16)
        .filter(|key_range| bench.owner(*key_range) == "b")
        .collect();
    assert!(moved.len() >= 4, "only {moved:?} moved");
    for key_range in moved {
        let owner = bench.owners()[key_range].clone().expect("it has an owner");
        let former_owner = before[key_range].clone().expect("it had an owner before");
        assert!(owner.epoch > former_owner.epoch, "the epoch grows");
        let expected = Some(format!("from a of {key_range}"));
        assert_eq!(owner.handover, expected);
    }
    // The response contains the handover only until the new owner reports the key range as in use.
    let mut heartbeat = bench.next_heartbeat("b");
    heartbeat.key_ranges_in_use.clear();
    let response = bench.deliver(seconds(23), &heartbeat);
    assert!(response.leases.iter().all(|lease| lease.handover.is_some()));
    let response = bench.heartbeat(seconds(24), "b");
    assert!(response.leases.iter().all(|lease| lease.handover.is_none()));
}

#[test]
fn second_move_passes_the_handover_of_the_second_owner() {
    let mut bench = Bench::new(1);
    bench.run(seconds(1), &["a"], 2);
    bench.instance("a").state = InstanceState::Draining;
    assert!(bench.run(seconds(3), &["a", "b"], 10));
    assert_eq!(bench.owner(0), "b");
    bench.instance("b").state = InstanceState::Draining;
    bench.simulated_instances.remove("a");
    assert!(bench.run(seconds(9), &["b", "c"], 10));
    let owner = bench.owners()[0].clone().expect("it has an owner");
    assert_eq!(owner.instance.as_str(), "c");
    assert_eq!(owner.handover.as_deref(), Some("from b of 0"));
}

#[test]
fn key_ranges_of_a_draining_owner_move_quickly() {
    let mut bench = Bench::new(64);
    bench.run(seconds(1), &["a", "b", "c"], 10);
    let count = |bench: &Bench| {
        (0..64)
            .filter(|key_range| bench.owner(*key_range) == "a")
            .count()
    };
    assert!(count(&bench) > 0);
    bench.instance("a").state = InstanceState::Draining;
    bench.run(seconds(6), &["a", "b", "c"], 5);
    assert_eq!(count(&bench), 0, "all have moved within 2.5 s");
    assert!((0..64).all(|key_range| !bench.owner(key_range).is_empty()));
}

#[test]
fn key_ranges_leave_a_closed_zone() {
    let mut bench = Bench::new(16);
    bench.instance("a").zone = "west-1";
    bench.run(seconds(1), &["a", "b"], 10);
    bench.closed.insert(Zone::new("west-1"));
    bench.run(seconds(6), &["a", "b"], 8);
    assert!((0..16).all(|key_range| bench.owner(key_range) == "b"));
}

#[test]
fn late_heartbeat_from_before_the_release_is_no_release() {
    let mut bench = Bench::new(1);
    bench.instance("a").releases = false;
    bench.run(seconds(1), &["a"], 2);
    // A heartbeat from before the current lease: it reports an earlier release and no key range in use.
    let mut late = bench.next_heartbeat("a");
    late.key_ranges_in_use.clear();
    late.released = vec![ReleasedKeyRange {
        key_range: 0,
        epoch: None,
        handover: Some("from an earlier release".to_string()),
    }];
    bench.instance("a").state = InstanceState::Draining;
    for step in 0..8 {
        let now = seconds(2) + millis(500 * step);
        bench.heartbeat(now, "a");
        bench.heartbeat(now, "b");
        bench.plan(now);
        if step == 3 {
            let response = bench.deliver(now, &late);
            assert_eq!(response.release.len(), 1, "its release is requested");
        }
        assert_eq!(bench.owner(0), "a", "it is still the owner at {now:?}");
    }
    bench.instance("a").releases = true;
    bench.run(seconds(6), &["a", "b"], 3);
    assert_eq!(
        bench.owner(0),
        "b",
        "a release reported after the request is accepted"
    );
}

#[test]
fn several_late_heartbeats_from_before_the_release_are_no_release() {
    // The owner manager either received the owner's heartbeats itself, or has just become the leader and
    // received them from other controllers.
    for is_new_leader in [false, true] {
        let mut bench = Bench::new(1);
        bench.instance("a").releases = false;
        bench.run(seconds(1), &["a"], 2);
        // Heartbeats from before the current lease, which report an earlier release.
        let earlier: Vec<Heartbeat> = (0..3)
            .map(|_| {
                let mut heartbeat = bench.next_heartbeat("a");
                heartbeat.key_ranges_in_use.clear();
                heartbeat.released = vec![ReleasedKeyRange {
                    key_range: 0,
                    epoch: None,
                    handover: None,
                }];
                heartbeat
            })
            .collect();
        bench.run(seconds(2), &["a"], 2);
        if is_new_leader {
            bench.owner_manager = OwnerManager::default();
            bench.owner_manager.start_term(seconds(3));
        }
        bench.instance("a").state = InstanceState::Draining;
        let heartbeat = bench.next_heartbeat("a");
        let received = ReceivedHeartbeat {
            heartbeat,
            age: Duration::ZERO,
        };
        bench.instances.handle(seconds(3), &received);
        bench.heartbeat(seconds(3), "b");
        bench.plan(seconds(3));
        for heartbeat in &earlier {
            let response = bench.deliver(seconds(3), heartbeat);
            assert_eq!(response.release.len(), 1, "its release is requested");
            bench.plan(seconds(3));
            assert_eq!(bench.owner(0), "a", "it still owns the key range");
        }
        bench.instance("a").releases = true;
        bench.run(seconds(4), &["a", "b"], 4);
        assert_eq!(
            bench.owner(0),
            "b",
            "a release reported after the request is accepted"
        );
    }
}

#[test]
fn release_in_the_heartbeat_that_gets_the_release_request_is_ignored() {
    let mut bench = Bench::new(1);
    bench.run(seconds(1), &["a"], 2);
    bench.instance("a").state = InstanceState::Draining;
    bench.run(seconds(2), &["b"], 1);
    let mut heartbeat = bench.next_heartbeat("a");
    heartbeat.key_ranges_in_use.clear();
    heartbeat.released = vec![ReleasedKeyRange {
        key_range: 0,
        epoch: None,
        handover: None,
    }];
    bench.deliver(seconds(2), &heartbeat);
    bench.plan(seconds(2));
    // The response to this heartbeat requests the release; only a later heartbeat can report it.
    let response = bench.deliver(seconds(3), &heartbeat);
    assert_eq!(response.release.len(), 1);
    bench.plan(seconds(3));
    assert_eq!(bench.owner(0), "a");
    heartbeat.counter += 1;
    bench.deliver(seconds(3), &heartbeat);
    bench.plan(seconds(3));
    assert_eq!(bench.owner(0), "b");
}

#[test]
fn key_ranges_of_a_suspected_owner_move_after_lease_and_drift() {
    let timings = OwnerManagerTimings {
        lease: millis(4000),
        drift: millis(300),
        wait: millis(9000),
        acceptance_timeout: millis(2000),
    };
    let mut bench = Bench::new(4);
    bench.owner_manager.timings = timings;
    bench.run(seconds(1), &["a"], 30);
    let last_heartbeat_at = seconds(16);
    let response = bench.heartbeat(last_heartbeat_at, "a");
    assert_eq!(response.leases.len(), 4);
    assert!(response
        .leases
        .iter()
        .all(|lease| lease.duration == timings.lease));
    for step in 1..100 {
        let now = last_heartbeat_at + millis(100 * step);
        bench.heartbeat(now, "b");
        if bench.plan(now) > 0 {
            assert!(
                now >= last_heartbeat_at + timings.lease + timings.drift,
                "moved at {now:?}"
            );
            assert!(now <= last_heartbeat_at + timings.lease + timings.drift + millis(200));
            return;
        }
    }
    panic!("the key ranges never moved");
}

#[test]
fn new_owner_manager_waits_for_the_configured_time() {
    let mut bench = Bench::new(4);
    bench.run(seconds(1), &["a"], 3);
    let wait = millis(5000);
    bench.owner_manager = OwnerManager::default();
    bench.owner_manager.timings.wait = wait;
    bench.owner_manager.start_term(seconds(30));
    for step in 0..100 {
        let now = seconds(30) + millis(100 * step);
        bench.heartbeat(now, "b");
        if bench.plan(now) > 0 {
            assert!(now >= seconds(30) + wait, "moved at {now:?}");
            return;
        }
    }
    panic!("the key ranges never moved");
}

#[test]
fn owner_manager_waits_for_the_same_time_in_each_term() {
    let wait = millis(3500);
    let mut bench = Bench::new(4);
    bench.run(seconds(1), &["a"], 3);
    bench.owner_manager = OwnerManager::default();
    bench.owner_manager.timings.wait = wait;
    // The second term begins shortly before the wait of the first is over.
    let terms = [seconds(30), seconds(30) + wait - millis(100)];
    bench.owner_manager.start_term(terms[0]);
    let moved_at = (0..100).find_map(|step| {
        let now = seconds(30) + millis(100 * step);
        if now == terms[1] {
            bench.owner_manager.start_term(now);
        }
        bench.heartbeat(now, "b");
        (bench.plan(now) > 0).then_some(now)
    });
    assert_eq!(moved_at, Some(terms[1] + wait));
    assert!((0..4).all(|key_range| bench.owner(key_range) == "b"));
}

/// Guards against key ranges that two instances hold: an instance that announced its termination serves on.
#[test]
fn key_ranges_of_a_terminated_owner_stay_until_lease_and_drift_are_over() {
    let timings = OwnerManagerTimings {
        lease: millis(4000),
        drift: millis(300),
        ..OwnerManagerTimings::default()
    };
    let mut bench = Bench::new(4);
    bench.owner_manager.timings = timings;
    bench.run(seconds(1), &["a"], 30);
    assert!((0..4).all(|key_range| bench.owner(key_range) == "a"));
    let last_heartbeat_at = seconds(16);
    bench.heartbeat(last_heartbeat_at, "a");
    let lease_until = last_heartbeat_at + timings.lease + timings.drift;
    let ended_at = last_heartbeat_at + millis(100);
    let id = InstanceId::new("a");
    assert_eq!(
        bench.instances.time_since_deregistration(ended_at, &id),
        None
    );
    assert!(bench.instances.record_deregistration(ended_at, &id));
    for step in 1..=42 {
        let now = ended_at + millis(100 * step);
        // A late heartbeat of the terminated instance does not restore it.
        let late = bench.next_heartbeat("a");
        bench.receive(now, &late);
        assert_eq!(bench.instances.get(&id), None);
        let since_end = bench.instances.time_since_deregistration(now, &id);
        assert_eq!(since_end, Some(millis(100 * step)));
        bench.heartbeat(now, "b");
        let moved = bench.plan(now);
        assert_eq!(moved, if now < lease_until { 0 } else { 4 }, "at {now:?}");
    }
    assert!((0..4).all(|key_range| bench.owner(key_range) == "b"));
    let running = InstanceId::new("b");
    assert_eq!(
        bench
            .instances
            .time_since_deregistration(seconds(30), &running),
        None
    );
}

#[test]
fn terminated_owner_that_released_its_key_ranges_is_not_waited_for() {
    let mut bench = Bench::new(4);
    bench.run(seconds(1), &["a"], 10);
    bench.instance("a").state = InstanceState::Draining;
    // The first heartbeat gets the request, the second reports the release.
    bench.run(seconds(6), &["a", "b"], 1);
    let last = seconds(6) + millis(500);
    bench.heartbeat(last, "a");
    bench.heartbeat(last + millis(100), "a");
    bench
        .instances
        .record_deregistration(last + millis(150), &InstanceId::new("a"));
    assert_eq!(bench.plan(last + millis(200)), 4);
    assert!((0..4).all(|key_range| bench.owner(key_range) == "b"));
}

/// Guards against key ranges that two instances hold: an owner whose lease is over sends a heartbeat while the
/// change of its key ranges is proposed and not yet committed.
#[test]
fn owner_gets_no_lease_while_its_key_ranges_are_being_reassigned() {
    let mut bench = Bench::new(4);
    bench.run(seconds(1), &["a"], 10);
    // No instance may own key ranges in a closed zone, so the key ranges lose their owner.
    bench.closed.insert(Zone::new("east-1"));
    let now = seconds(20);
    let table = bench.next_table(now).expect("the leases are over");
    let response = bench.heartbeat(now + millis(10), "a");
    assert_eq!(response.leases.len(), 0, "{response:?}");
    bench.commit(table);
    bench.closed.clear();
    bench.heartbeat(now + millis(20), "b");
    assert_eq!(bench.plan(now + millis(20)), 4);
    bench.heartbeat(now + millis(30), "b");
    bench.assert_no_shared_key_range(now + millis(30));
}

#[test]
fn key_ranges_get_a_new_epoch_after_a_change_that_was_not_committed() {
    let mut bench = Bench::new(4);
    bench.run(seconds(1), &["a"], 10);
    bench.closed.insert(Zone::new("east-1"));
    let before = bench.owners();
    assert!(bench.next_table(seconds(20)).is_some());
    bench.closed.clear();
    assert!(bench.run(seconds(20), &["a"], 4));
    for (before, after) in before.iter().zip(bench.owners()) {
        let epoch = before.as_ref().expect("it had an owner").epoch;
        let owner = after.expect("it has an owner");
        assert_eq!(owner.instance.as_str(), "a");
        assert!(owner.epoch > epoch, "{owner:?}");
    }
    assert_eq!(bench.instance("a").key_ranges_in_use.len(), 4);
}
