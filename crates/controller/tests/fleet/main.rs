//! Complete controllers in memory: founding, lost disks, partitions, changes of voters, and instances' calls.

mod deregistrations;
mod fleet;
mod follower;
mod founding;
mod founding_schedules;
mod owner_manager_terms;
mod replacements;
mod restarts;
mod slow_links;
#[path = "../support/mod.rs"]
mod support;
mod switchover;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fleet::{apply, heartbeat, service, service_put, Fleet};
use crate::support::controllers::{address, policy, STEP};
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{InstanceId, NodeId, Region};
use caperworks::leadership::{LEADERSHIPS, OWNERSHIP, VOTER_MANAGEMENT};
use caperworks::map_items::{Service, Value, ZoneSettings};
use caperworks::ownership::HeartbeatResponse;
use caperworks::policy::CorePolicy;
use caperworks::replicated_map::{MapName, Put, Written};
use controller::fault_injection::FaultInjection;
use controller::state::ControllerState;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::{OperatorCall, OperatorResponse};

#[test]
fn accepted_change_survives_wiped_disk_and_power_loss() {
    for answering in 0..3 {
        for absent in (0..3).filter(|absent| *absent != answering) {
            let mut fleet = Fleet::founded(1 + answering as u64 * 3 + absent as u64);
            fleet.partitioned.insert(absent);
            let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
            let ticket = fleet.call(answering, call);
            fleet.run(Duration::from_millis(500));
            let proposal_outcome = fleet.proposal_outcome(ticket);
            assert!(
                matches!(proposal_outcome, Some(ProposalOutcome::Accepted(_))),
                "{proposal_outcome:?}"
            );
            // Right after the response, the disk of the responding controller is lost and all lose power.
            for index in 0..3 {
                fleet.stop(index, index == answering);
            }
            fleet.wire.clear();
            fleet.partitioned.clear();
            fleet.now += Duration::from_secs(1);
            for index in 0..3 {
                fleet.start(index);
            }
            fleet.run(Duration::from_secs(20));
            for index in 0..3 {
                match fleet.read(index) {
                    OperatorResponse::Configuration { map } => {
                        let versions: Vec<(&String, u64)> = map
                            .items
                            .iter()
                            .filter_map(|(key, item)| Some((key, item.written.as_ref()?.version)))
                            .collect();
                        assert_eq!(versions, [(&"pool/records".to_string(), 3)]);
                    }
                    other => panic!("{answering} {absent}: controller {index}: {other:?}"),
                }
            }
        }
    }
}

#[test]
fn change_is_not_accepted_with_one_working_disk() {
    let mut fleet = Fleet::founded(40);
    for index in [1, 2] {
        fleet.nodes[index].disk_hangs = true;
    }
    let ticket = fleet.call(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    for _ in 0..400 {
        fleet.run(STEP * 4);
        let proposal_outcome = fleet.proposal_outcome(ticket);
        assert!(
            !matches!(
                proposal_outcome,
                Some(ProposalOutcome::Accepted(_) | ProposalOutcome::Repeat(_))
            ),
            "{proposal_outcome:?}"
        );
    }
    assert!(
        fleet.proposal_outcome(ticket).is_some(),
        "the caller gets no response"
    );
}

#[test]
fn controllers_that_may_not_found_never_found_a_membership() {
    let core = CorePolicy {
        may_bootstrap: false,
        ..policy()
    };
    let mut fleet = Fleet::new([core.clone(), core.clone(), core], 50);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.founded, 0);
    for index in 0..3 {
        assert_eq!(fleet.read(index), OperatorResponse::NotCurrent);
    }
    let ticket = fleet.call(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    fleet.run(Duration::from_secs(10));
    assert_eq!(
        fleet.proposal_outcome(ticket),
        Some(&ProposalOutcome::NoMajority)
    );
}

#[test]
fn loss_of_all_disks_does_not_cause_second_founding() {
    let mut fleet = Fleet::founded(70);
    for index in 0..3 {
        fleet.stop(index, true);
    }
    fleet.wire.clear();
    for index in 0..3 {
        fleet.start(index);
    }
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.founded, 1);
    for index in 0..3 {
        assert_eq!(fleet.read(index), OperatorResponse::NotCurrent);
    }
}

#[test]
fn concurrent_changes_are_accepted_and_highest_versions_win() {
    let mut fleet = Fleet::founded(80);
    let limited = |limit: u32| {
        Some(Service {
            instance_cap: limit,
            ..service()
        })
    };
    let left = vec![
        service_put("a", 2, limited(2)),
        service_put("b", 1, limited(1)),
    ];
    let right = vec![service_put("a", 1, limited(1)), service_put("b", 2, None)];
    let tickets = [
        fleet.call(1, apply("left", left)),
        fleet.call(2, apply("right", right)),
    ];
    fleet.run(Duration::from_secs(3));
    for ticket in tickets {
        let proposal_outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(proposal_outcome, Some(ProposalOutcome::Accepted(_))),
            "{proposal_outcome:?}"
        );
    }
    for index in 0..3 {
        let OperatorResponse::Configuration { map } = fleet.read(index) else {
            panic!("controller {index} is not current");
        };
        let caps: Vec<(String, u32)> = map
            .services()
            .map(|(name, service)| (name.to_string(), service.instance_cap))
            .collect();
        assert_eq!(caps, [("a".to_string(), 2)]);
    }
}

#[test]
fn heartbeat_at_any_controller_gets_owner_managers_response() {
    let mut fleet = Fleet::founded(90);
    fleet.call(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    fleet.run(Duration::from_secs(2));
    let owner_manager = fleet.owner_manager();
    let other = (owner_manager + 1) % 3;
    let mut counter = 0;
    let mut last_response = HeartbeatResponse::default();
    for _ in 0..6 {
        counter += 1;
        let ticket = fleet.send_heartbeat(other, heartbeat("one", counter));
        fleet.run(Duration::from_millis(600));
        let response = fleet.heartbeat_response(ticket).expect("a response");
        last_response = response.clone();
    }
    assert!(last_response.by_owner_manager);
    assert_eq!(last_response.owner_manager, Some(address(owner_manager)));
    let key_ranges: Vec<u32> = last_response
        .leases
        .iter()
        .map(|lease| lease.key_range)
        .collect();
    assert_eq!(key_ranges, (0..8).collect::<Vec<u32>>());
    // Without the owner manager the heartbeat is still acknowledged, but no lease is renewed or released.
    fleet.partitioned.insert(owner_manager);
    let ticket = fleet.send_heartbeat(other, heartbeat("one", counter + 1));
    assert_eq!(
        fleet.heartbeat_response(ticket),
        None,
        "waits for the owner manager"
    );
    fleet.run(Duration::from_millis(600));
    let response = fleet.heartbeat_response(ticket).expect("a response");
    assert!(
        !response.by_owner_manager && response.leases.is_empty() && response.release.is_empty()
    );
}

#[test]
fn late_heartbeat_does_not_revive_deregistered_instance() {
    let mut fleet = Fleet::founded(100);
    fleet.send_heartbeat(0, heartbeat("one", 5));
    fleet.run(Duration::from_millis(500));
    for index in 0..3 {
        assert_eq!(fleet.instance_ids(index), ["one"], "controller {index}");
    }
    fleet.last_ticket += 1;
    let (ticket, id) = (fleet.last_ticket, InstanceId::new("one"));
    fleet.handle_input(1, ControllerInput::DeregistrationReceived { ticket, id });
    assert!(
        fleet.heartbeat_response(ticket).is_some(),
        "the deregistration is not acknowledged"
    );
    fleet.run(Duration::from_millis(500));
    for index in 0..3 {
        fleet.send_heartbeat(index, heartbeat("one", 6 + index as u64));
        fleet.run(Duration::from_millis(500));
        for observer in 0..3 {
            assert!(
                fleet.instance_ids(observer).is_empty(),
                "{index} {observer}"
            );
        }
    }
    // Another instance can use the address immediately.
    fleet.send_heartbeat(2, heartbeat("two", 1));
    fleet.run(Duration::from_millis(500));
    assert_eq!(fleet.instance_ids(0), ["two"]);
}

/// Instances that send heartbeats and accept all key range leases that they are granted.
#[derive(Default)]
struct LeaseHolders {
    counter: u64,
    /// The key ranges that each instance has leases for.
    leases: BTreeMap<&'static str, BTreeSet<u32>>,
}

impl LeaseHolders {
    fn send_heartbeat(
        &mut self,
        fleet: &mut Fleet,
        index: usize,
        id: &'static str,
    ) -> HeartbeatResponse {
        let heartbeat = self.next_heartbeat(id);
        let ticket = fleet.send_heartbeat(index, heartbeat);
        let response = fleet.heartbeat_response(ticket).expect("a response");
        self.take_response(id, response);
        response.clone()
    }

    /// Sends a heartbeat; the instance handles the response only if the owner manager itself responds.
    fn send_heartbeat_to_any(
        &mut self,
        fleet: &mut Fleet,
        index: usize,
        id: &'static str,
    ) -> Option<HeartbeatResponse> {
        let heartbeat = self.next_heartbeat(id);
        let ticket = fleet.send_heartbeat(index, heartbeat);
        let Some(OperatorResponse::Heartbeat { response }) = fleet.responses.get(&ticket) else {
            return None;
        };
        let response = Some(&response.response).filter(|response| response.by_owner_manager)?;
        self.take_response(id, response);
        Some(response.clone())
    }

    fn next_heartbeat(&mut self, id: &'static str) -> Heartbeat {
        self.counter += 1;
        let mut heartbeat = heartbeat(id, self.counter);
        heartbeat.address.set_port(8000 + u16::from(id == "two"));
        let leased = self.leases.entry(id).or_default();
        heartbeat.key_ranges_in_use = leased.iter().copied().collect();
        heartbeat
    }

    fn take_response(&mut self, id: &'static str, response: &HeartbeatResponse) {
        let leases = response.leases.iter().map(|lease| lease.key_range);
        self.leases.insert(id, leases.collect());
    }
}

/// Returns a fleet with a keyed service that two instances share, and the index of the owner manager.
fn fleet_with_two_owners(seed: u64) -> (Fleet, LeaseHolders, usize) {
    let mut fleet = Fleet::founded(seed);
    fleet.call(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    fleet.run(Duration::from_secs(2));
    let owner_manager = fleet.owner_manager();
    let mut lease_holders = LeaseHolders::default();
    for _ in 0..40 {
        lease_holders.send_heartbeat(&mut fleet, (owner_manager + 1) % 3, "one");
        lease_holders.send_heartbeat(&mut fleet, (owner_manager + 1) % 3, "two");
        fleet.run(Duration::from_millis(250));
    }
    let (one, two) = (&lease_holders.leases["one"], &lease_holders.leases["two"]);
    assert!(one.len() >= 3 && two.len() >= 3, "{one:?} {two:?}");
    assert_eq!(one.len() + two.len(), 8);
    (fleet, lease_holders, owner_manager)
}

fn deregister(fleet: &mut Fleet, index: usize, id: &str) {
    fleet.last_ticket += 1;
    let (ticket, id) = (fleet.last_ticket, InstanceId::new(id));
    fleet.handle_input(
        index,
        ControllerInput::DeregistrationReceived { ticket, id },
    );
}

#[test]
fn late_heartbeats_do_not_extend_leases_of_ended_owner() {
    // The deregistration arrives either at the owner manager, or at another controller that propagates
    // it within 150 ms.
    for (offset, propagation_time) in [(0, Duration::ZERO), (1, Duration::from_millis(150))] {
        let (mut fleet, mut lease_holders, owner_manager) = fleet_with_two_owners(120);
        let owned = lease_holders.leases["one"].clone();
        lease_holders.send_heartbeat(&mut fleet, owner_manager, "one");
        let lease_until = fleet.now + policy().owner_manager.lease + policy().owner_manager.drift;
        let ended_at = fleet.now;
        deregister(&mut fleet, (owner_manager + offset) % 3, "one");
        loop {
            fleet.run(Duration::from_millis(50));
            let elapsed = fleet.now - ended_at;
            assert!(
                fleet.now < lease_until + Duration::from_millis(1500),
                "the key ranges were never reassigned"
            );
            for index in (0..3).filter(|_| elapsed > propagation_time) {
                let late = lease_holders.send_heartbeat(&mut fleet, index, "one");
                let context = format!("{offset} {index} after {elapsed:?}: {late:?}");
                assert!(late.leases.is_empty(), "{context}");
                assert!(late.release.is_empty(), "{context}");
            }
            lease_holders.send_heartbeat(&mut fleet, (owner_manager + 1) % 3, "two");
            let two = &lease_holders.leases["two"];
            if !two.is_disjoint(&owned) {
                assert!(fleet.now >= lease_until, "reassigned after {elapsed:?}");
                assert_eq!(*two, (0..8).collect());
                break;
            }
        }
    }
}

#[test]
fn heartbeat_right_after_deregistration_gets_no_lease() {
    let (mut fleet, mut lease_holders, owner_manager) = fleet_with_two_owners(130);
    deregister(&mut fleet, owner_manager, "one");
    let late = lease_holders.send_heartbeat(&mut fleet, owner_manager, "one");
    assert!(late.leases.is_empty(), "{late:?}");
}

#[test]
fn shutting_down_controller_rejects_changes() {
    let mut fleet = Fleet::founded(110);
    fleet.handle_input(0, ControllerInput::Shutdown);
    let ticket = fleet.call(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    assert_eq!(fleet.responses[&ticket], OperatorResponse::ShuttingDown);
    fleet.run(Duration::from_secs(1));
    let OperatorResponse::Configuration { map } = fleet.read(1) else {
        panic!("the other controllers do not serve reads");
    };
    assert_eq!(map.services().count(), 0, "the change was applied");
}

/// Returns a change without a version that closes or opens a zone, and also creates another, open zone.
fn zone_call(id: &str, closed: bool) -> OperatorCall {
    let zone_put = |name: &str, closed: bool, written: Option<Written>| Put {
        key: format!("area/{name}"),
        expected: None,
        value: Some(Value::Zone {
            zone: ZoneSettings {
                region: Region::new("east"),
                closed,
            },
        }),
        written,
    };
    let first_only = Written {
        version: 0,
        text: String::new(),
    };
    let other = zone_put("zone-1", false, Some(first_only));
    apply(id, vec![other, zone_put("zone-0", closed, None)])
}

impl Fleet {
    /// Makes a call whose head was read `age` ago.
    fn call_received_earlier(&mut self, index: usize, call: OperatorCall, age: Duration) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let received_at = self.now.saturating_sub(age);
        self.handle_input(
            index,
            ControllerInput::OperatorCall {
                ticket,
                call,
                received_at,
            },
        );
        ticket
    }

    fn is_acknowledged(&self, ticket: u64) -> bool {
        matches!(
            self.responses.get(&ticket),
            Some(OperatorResponse::Heartbeat { .. })
        )
    }

    fn known_heartbeat(&self, index: usize, id: &str) -> Option<&Heartbeat> {
        let state = &self.nodes[index]
            .machine
            .as_ref()
            .expect("the controller is running")
            .state;
        state.instances.get(&InstanceId::new(id))
    }

    fn is_draining(&self, index: usize, id: &str) -> bool {
        self.known_heartbeat(index, id)
            .is_some_and(|heartbeat| heartbeat.state == InstanceState::Draining)
    }

    fn is_warming_up(&self, index: usize, id: &str) -> bool {
        self.known_heartbeat(index, id)
            .is_some_and(|heartbeat| heartbeat.is_warming_up(Duration::ZERO))
    }

    fn is_closed(&mut self, index: usize) -> bool {
        match self.read(index) {
            OperatorResponse::Configuration { map } => map.zones().any(|(_, zone)| zone.closed),
            other => panic!("{other:?} is not a configuration"),
        }
    }
}

/// Returns how long a partitioned owner manager still acknowledges heartbeats, and whether the other
/// controllers deregister an instance that switches to them as soon as it is rejected.
fn acknowledgements_while_partitioned(fault: FaultInjection) -> (Duration, bool) {
    let mut fleet = Fleet::founded_with_fault(200, fault);
    let call = apply("call-1", vec![service_put("records", 1, Some(service()))]);
    fleet.call(0, call);
    fleet.run(Duration::from_secs(2));
    let owner_manager = fleet.owner_manager();
    let other = (owner_manager + 1) % 3;
    fleet.send_heartbeat(owner_manager, heartbeat("one", 1));
    fleet.run(Duration::from_millis(500));
    fleet.partitioned.insert(owner_manager);
    let partitioned_at = fleet.now;
    let mut index = owner_manager;
    let mut acknowledged_for = Duration::ZERO;
    let mut counter = 1;
    let mut was_deregistered = false;
    while fleet.now - partitioned_at < Duration::from_secs(12) {
        counter += 1;
        let ticket = fleet.send_heartbeat(index, heartbeat("one", counter));
        fleet.run(Duration::from_millis(750));
        if index == owner_manager {
            match fleet.responses.get(&ticket) {
                Some(OperatorResponse::Heartbeat { response }) => {
                    acknowledged_for = fleet.now - partitioned_at;
                    let reported = response.response.owner_manager;
                    assert!(reported.is_none() || reported == Some(address(owner_manager)));
                }
                _ => index = other,
            }
        }
        was_deregistered |= fleet.instance_ids(other).is_empty();
    }
    (acknowledged_for, was_deregistered)
}

#[test]
fn partitioned_owner_manager_rejects_heartbeats() {
    let (acknowledged_for, was_deregistered) =
        acknowledgements_while_partitioned(FaultInjection::None);
    assert!(
        acknowledged_for <= Duration::from_millis(1600),
        "acknowledged for {acknowledged_for:?}"
    );
    assert!(
        !was_deregistered,
        "the other controllers deregistered the instance"
    );
    let (acknowledged_for, was_deregistered) =
        acknowledgements_while_partitioned(FaultInjection::AcknowledgesWithoutQuorum);
    assert!(acknowledged_for > Duration::from_secs(10));
    assert!(was_deregistered, "the injected fault was not detected");
}

/// Returns whether the others know of a drain after the controller that acknowledged it was lost.
fn drain_survives(fault: FaultInjection, notified_at: usize) -> bool {
    let mut fleet = Fleet::founded_with_fault(210 + notified_at as u64, fault);
    fleet.send_heartbeat(notified_at, heartbeat("one", 1));
    fleet.run(Duration::from_millis(500));
    let mut draining = heartbeat("one", 2);
    draining.state = InstanceState::Draining;
    let ticket = fleet.send_heartbeat(notified_at, draining);
    assert!(fleet.is_acknowledged(ticket));
    fleet.stop(notified_at, false);
    let others = (0..3).filter(|index| *index != notified_at);
    others
        .collect::<Vec<_>>()
        .into_iter()
        .any(|index| fleet.is_draining(index, "one"))
}

#[test]
fn acknowledged_drain_survives_loss_of_controller() {
    for notified_at in 0..3 {
        assert!(
            drain_survives(FaultInjection::None, notified_at),
            "drain at controller {notified_at}"
        );
    }
    let lost = (0..3)
        .any(|notified_at| !drain_survives(FaultInjection::AcknowledgesWithoutQuorum, notified_at));
    assert!(lost, "the injected fault was not detected");
}

/// Returns whether the others know that an instance warms up again after the controller that acknowledged it was
/// lost.
fn warm_up_survives(fault: FaultInjection, notified_at: usize) -> bool {
    let mut fleet = Fleet::founded_with_fault(230 + notified_at as u64, fault);
    fleet.send_heartbeat(notified_at, heartbeat("one", 1));
    fleet.run(Duration::from_millis(500));
    let mut warming_up = heartbeat("one", 2);
    warming_up.warm_up_left = Duration::from_secs(3);
    let ticket = fleet.send_heartbeat(notified_at, warming_up);
    assert!(fleet.is_acknowledged(ticket));
    fleet.stop(notified_at, false);
    (0..3)
        .filter(|index| *index != notified_at)
        .any(|index| fleet.is_warming_up(index, "one"))
}

#[test]
fn acknowledged_warm_up_survives_loss_of_controller() {
    for notified_at in 0..3 {
        assert!(
            warm_up_survives(FaultInjection::None, notified_at),
            "warm-up at controller {notified_at}"
        );
    }
    let lost = (0..3).any(|notified_at| {
        !warm_up_survives(FaultInjection::AcknowledgesWithoutQuorum, notified_at)
    });
    assert!(lost, "the injected fault was not detected");
}

#[test]
fn drain_at_newly_partitioned_controller_is_rejected_in_time() {
    let mut fleet = Fleet::founded(220);
    fleet.send_heartbeat(0, heartbeat("one", 1));
    fleet.run(Duration::from_millis(500));
    fleet.partitioned.insert(0);
    let mut draining = heartbeat("one", 2);
    draining.state = InstanceState::Draining;
    let ticket = fleet.send_heartbeat(0, draining);
    assert!(
        !fleet.responses.contains_key(&ticket),
        "the drain must wait for confirmations"
    );
    fleet.run(Duration::from_millis(800));
    assert_eq!(
        fleet.responses.get(&ticket),
        Some(&OperatorResponse::NotCurrent)
    );
}

#[test]
fn deregistration_at_partitioned_controller_is_not_acknowledged() {
    let mut fleet = Fleet::founded(230);
    fleet.send_heartbeat(1, heartbeat("one", 1));
    fleet.run(Duration::from_millis(500));
    fleet.partitioned.insert(0);
    fleet.run(Duration::from_secs(1));
    fleet.last_ticket += 1;
    let (ticket, id) = (fleet.last_ticket, InstanceId::new("one"));
    fleet.handle_input(0, ControllerInput::DeregistrationReceived { ticket, id });
    assert_eq!(
        fleet.responses.get(&ticket),
        Some(&OperatorResponse::NotCurrent)
    );
}

/// Returns the response of a newly partitioned controller to a read after a change was accepted elsewhere.
fn read_after_partition(fault: FaultInjection) -> Option<OperatorResponse> {
    let mut fleet = Fleet::founded_with_fault(240, fault);
    fleet.run(Duration::from_millis(100));
    fleet.partitioned.insert(0);
    let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
    let accepted = fleet.call(1, call);
    fleet.run(Duration::from_millis(50));
    assert!(matches!(
        fleet.proposal_outcome(accepted),
        Some(ProposalOutcome::Accepted(_))
    ));
    let ticket = fleet.call(0, OperatorCall::Read);
    fleet.run(Duration::from_secs(1));
    fleet.responses.get(&ticket).cloned()
}

#[test]
fn newly_partitioned_controller_serves_no_stale_reads() {
    assert_eq!(
        read_after_partition(FaultInjection::None),
        Some(OperatorResponse::NotCurrent)
    );
    let stale = read_after_partition(FaultInjection::EarlyQuorumReads);
    assert!(
        matches!(stale, Some(OperatorResponse::Configuration { .. })),
        "the injected fault was not detected: {stale:?}"
    );
}

#[test]
fn partitioned_controller_rejects_calls_immediately() {
    let mut fleet = Fleet::founded(250);
    fleet.partitioned.insert(0);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.read(0), OperatorResponse::NotCurrent);
    let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
    let ticket = fleet.call(0, call);
    assert_eq!(
        fleet.proposal_outcome(ticket),
        Some(&ProposalOutcome::NoMajority)
    );
}

#[test]
fn concurrent_reads_share_quorum_reads() {
    let mut fleet = Fleet::founded(260);
    let before = fleet.nodes[0]
        .machine
        .as_ref()
        .expect("it runs")
        .state
        .quorum_reads
        .next_number();
    let tickets: Vec<u64> = (0..200)
        .map(|_| fleet.call(0, OperatorCall::Read))
        .collect();
    fleet.run(Duration::from_millis(100));
    for ticket in tickets {
        assert!(matches!(
            fleet.responses.get(&ticket),
            Some(OperatorResponse::Configuration { .. })
        ));
    }
    let after = fleet.nodes[0]
        .machine
        .as_ref()
        .expect("it runs")
        .state
        .quorum_reads
        .next_number();
    assert!(after - before <= 5, "{} quorum reads", after - before);
}

/// Returns whether an old duplicate of a change takes effect.
///
/// A caller sends a change that closes a zone, sends it again to another controller after a timeout, and then
/// reverts it. Only then does the first controller read the original call.
fn old_duplicate_takes_effect(fault: FaultInjection) -> bool {
    let mut fleet = Fleet::founded_with_fault(270, fault);
    for (id, closed) in [("again", true), ("back", false)] {
        let ticket = fleet.call(1, zone_call(id, closed));
        fleet.run(Duration::from_millis(200));
        let outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Accepted(_))),
            "{id}"
        );
    }
    fleet.call_received_earlier(0, zone_call("first", true), Duration::from_secs(2));
    fleet.run(Duration::from_secs(3));
    fleet.is_closed(2)
}

#[test]
fn old_duplicate_of_reverted_change_is_rejected() {
    assert!(!old_duplicate_takes_effect(FaultInjection::None));
    assert!(
        old_duplicate_takes_effect(FaultInjection::UnfencedChanges),
        "the injected fault was not detected"
    );
}

/// Returns whether a pending change takes effect after it was superseded.
///
/// A change that closes a zone is pending at a partitioned controller, while the same change and its reversal
/// are accepted elsewhere.
fn pending_change_takes_effect(fault: FaultInjection) -> bool {
    let mut fleet = Fleet::founded_with_fault(280, fault);
    fleet.partitioned.insert(0);
    fleet.call(0, zone_call("first", true));
    // Callers switch to another controller when there is no response within one second.
    fleet.run(Duration::from_secs(1));
    for (id, closed) in [("again", true), ("back", false)] {
        let ticket = fleet.call(1, zone_call(id, closed));
        fleet.run(Duration::from_millis(200));
        let outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Accepted(_))),
            "{id}"
        );
    }
    fleet.partitioned.clear();
    fleet.run(Duration::from_secs(4));
    fleet.is_closed(2)
}

#[test]
fn pending_change_is_rejected_after_being_superseded() {
    assert!(!pending_change_takes_effect(FaultInjection::None));
    assert!(
        pending_change_takes_effect(FaultInjection::UnfencedChanges),
        "the injected fault was not detected"
    );
}

#[test]
fn concurrent_unversioned_changes_of_one_zone_are_all_accepted() {
    let mut fleet = Fleet::founded(290);
    let tickets: Vec<u64> = (0..3)
        .map(|index| fleet.call(index, zone_call(&format!("order-{index}"), index != 1)))
        .collect();
    fleet.run(Duration::from_secs(2));
    for ticket in tickets {
        let outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Accepted(_))),
            "{outcome:?}"
        );
    }
}

#[test]
fn facts_propagate_soon_after_partition_heals() {
    let mut fleet = Fleet::founded(300);
    fleet.partitioned.insert(0);
    fleet.run(Duration::from_secs(2));
    fleet.send_heartbeat(1, heartbeat("one", 1));
    fleet.run(Duration::from_millis(500));
    assert!(fleet.instance_ids(0).is_empty());
    fleet.partitioned.clear();
    fleet.run(Duration::from_millis(450));
    assert_eq!(fleet.instance_ids(0), ["one"]);
}

/// Returns the time until all three controllers are voters and have the same versions, or `None` if that takes
/// longer than 30 s.
fn time_to_recovery(fleet: &mut Fleet) -> Option<Duration> {
    let since = fleet.now;
    while fleet.now < since + Duration::from_secs(30) {
        fleet.run(STEP);
        if is_recovered(fleet) {
            return Some(fleet.now - since);
        }
    }
    None
}

fn is_recovered(fleet: &Fleet) -> bool {
    let states: Vec<&ControllerState> = fleet
        .nodes
        .iter()
        .filter_map(|node| Some(&node.machine.as_ref()?.state))
        .collect();
    let nodes: BTreeSet<NodeId> = states.iter().map(|state| state.node).collect();
    let is_up_to_date = |state: &&ControllerState| {
        let voters = state.voters().map_or(BTreeSet::new(), |voters| {
            voters.entries.iter().map(|entry| entry.node).collect()
        });
        voters == nodes && state.voter.highest_possible() == states[0].voter.highest_possible()
    };
    states.len() == 3 && states.iter().all(is_up_to_date)
}

/// Returns the node with a leadership role, as seen by one controller.
fn role_leader(fleet: &Fleet, index: usize, role: &str) -> Option<NodeId> {
    let state = &fleet.nodes[index].machine.as_ref()?.state;
    let term = state.map(MapName::Membership).leadership(role)?;
    Some(term.leader)
}

fn node_at(fleet: &Fleet, index: usize) -> Option<NodeId> {
    Some(fleet.nodes[index].machine.as_ref()?.node())
}

/// Returns a fleet in which a change was accepted.
fn fleet_with_change(seed: u64) -> Fleet {
    let mut fleet = Fleet::founded(seed);
    let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
    let ticket = fleet.call(0, call);
    fleet.run(Duration::from_secs(1));
    let outcome = fleet.proposal_outcome(ticket);
    assert!(matches!(outcome, Some(ProposalOutcome::Accepted(_))));
    fleet
}

/// Asserts that every controller returns the change of [`fleet_with_change`].
fn expect_change(fleet: &mut Fleet) {
    for index in 0..3 {
        match fleet.read(index) {
            OperatorResponse::Configuration { map } => {
                assert!(map.items.contains_key("pool/records"), "controller {index}");
            }
            other => panic!("controller {index} responded with {other:?}"),
        }
    }
}

#[test]
fn wiped_controller_is_replaced_in_time() {
    // The shortest `sync_time_s` of the deployments, which counts from the loss to the last synced replica.
    let bound = Duration::from_secs(4);
    for wiped in 0..3 {
        let mut fleet = fleet_with_change(60 + wiped as u64);
        let was_voter_manager = role_leader(&fleet, 0, VOTER_MANAGEMENT) == node_at(&fleet, wiped);
        assert_eq!(
            was_voter_manager,
            wiped == 0,
            "the losses include that of the voter manager and of other controllers"
        );
        fleet.stop(wiped, true);
        fleet.start(wiped);
        let taken = time_to_recovery(&mut fleet).expect("the fleet recovers");
        println!("wiped {wiped}, voter manager: {was_voter_manager}, recovered after {taken:?}");
        assert!(taken <= bound, "{taken:?}");
        fleet.run(Duration::from_secs(1));
        expect_change(&mut fleet);
    }
}

#[test]
fn lost_controller_is_replaced_by_new_address_in_time() {
    let bound = Duration::from_secs(4);
    let core = CorePolicy {
        // As set on the operators' platform.
        controller_timeout: Duration::from_millis(2500),
        ..policy()
    };
    for lost in 0..3 {
        let mut fleet = Fleet::new([core.clone(), core.clone(), core.clone()], 65 + lost as u64);
        fleet.run(Duration::from_secs(8));
        let was_voter_manager = role_leader(&fleet, 0, VOTER_MANAGEMENT) == node_at(&fleet, lost);
        fleet.stop(lost, true);
        fleet.add_controller(core.clone());
        let taken = time_to_recovery(&mut fleet).expect("the fleet recovers");
        println!("lost {lost}, voter manager: {was_voter_manager}, recovered after {taken:?}");
        assert!(taken <= bound, "{taken:?}");
    }
}

#[test]
fn controller_with_hanging_disk_does_not_become_voter() {
    let mut fleet = fleet_with_change(70);
    fleet.stop(2, true);
    fleet.nodes[2].disk_hangs = true;
    fleet.start(2);
    fleet.run(Duration::from_secs(15));
    let node = node_at(&fleet, 2).expect("the controller is running");
    for index in 0..2 {
        let state = &fleet.nodes[index]
            .machine
            .as_ref()
            .expect("the controller is running")
            .state;
        assert!(state.voters().expect("voters").entry(node).is_none());
    }
    // The other controllers still accept changes.
    let call = apply("call-2", vec![service_put("more", 4, Some(service()))]);
    let ticket = fleet.call(0, call);
    fleet.run(Duration::from_secs(1));
    let outcome = fleet.proposal_outcome(ticket);
    assert!(
        matches!(outcome, Some(ProposalOutcome::Accepted(_))),
        "{outcome:?}"
    );
}

#[test]
fn shutdown_hands_roles_to_synced_controller() {
    let mut fleet = fleet_with_change(80);
    assert_eq!(role_leader(&fleet, 0, OWNERSHIP), node_at(&fleet, 0));
    fleet.nodes[1].disk_hangs = true;
    let call = apply("call-2", vec![service_put("more", 4, Some(service()))]);
    fleet.call(0, call);
    fleet.run(Duration::from_secs(1));
    fleet.handle_input(0, ControllerInput::Shutdown);
    fleet.run(Duration::from_secs(3));
    for role in LEADERSHIPS {
        assert_eq!(role_leader(&fleet, 0, role), node_at(&fleet, 2), "{role}");
    }
}

#[test]
fn replacement_completes_when_second_controller_loses_power_at_any_step() {
    for wiped in 0..3 {
        for second in (0..3).filter(|second| *second != wiped) {
            for step in 0..30 {
                let mut fleet = fleet_with_change(100 + step);
                fleet.stop(wiped, true);
                fleet.start(wiped);
                fleet.run(Duration::from_millis(100 * step));
                fleet.stop(second, false);
                fleet.run(Duration::from_secs(2));
                fleet.start(second);
                let taken = time_to_recovery(&mut fleet);
                assert!(taken.is_some(), "{wiped}, then {second} after step {step}");
                fleet.run(Duration::from_secs(1));
                expect_change(&mut fleet);
            }
        }
    }
}

#[test]
fn replacement_completes_or_reports_majority_loss_when_second_disk_is_wiped() {
    let mut reported = 0;
    for wiped in 0..3 {
        for second in (0..3).filter(|second| *second != wiped) {
            for step in 0..30 {
                let mut fleet = fleet_with_change(100 + step);
                fleet.stop(wiped, true);
                fleet.start(wiped);
                fleet.run(Duration::from_millis(100 * step));
                fleet.stop(second, true);
                fleet.start(second);
                if time_to_recovery(&mut fleet).is_some() {
                    fleet.run(Duration::from_secs(1));
                    expect_change(&mut fleet);
                    continue;
                }
                reported += 1;
                let is_reported = fleet
                    .events
                    .iter()
                    .any(|(_, event)| matches!(event, Event::MajorityLost { .. }));
                assert!(is_reported, "{wiped}, then {second} after step {step}");
            }
        }
    }
    println!("of 180 second wipes {reported} lost the majority, which was reported");
    assert!(reported < 180);
}

#[test]
fn shutdown_waits_for_synced_replicas_and_logs_missing_ones() {
    let mut fleet = fleet_with_change(90);
    fleet.nodes[1].disk_hangs = true;
    let call = apply("call-2", vec![service_put("more", 4, Some(service()))]);
    fleet.call(0, call);
    fleet.run(Duration::from_secs(1));
    fleet.handle_input(0, ControllerInput::Shutdown);
    fleet.run(Duration::from_secs(4));
    assert!(fleet.stopped.is_empty());
    fleet.run(Duration::from_secs(2));
    assert!(fleet.stopped.contains(&0));
    let is_reported = |(index, event): &(usize, Event)| {
        *index == 0 && matches!(event, Event::ShutdownIncomplete { .. })
    };
    assert!(fleet.events.iter().any(is_reported));
}
