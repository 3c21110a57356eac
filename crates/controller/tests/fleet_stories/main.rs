//! Stories of whole controllers in memory: disks that are lost, founding, heartbeats and instances' ends.

mod fleet;
mod follower;
mod restarts;
mod slow_links;
#[path = "../support/mod.rs"]
mod support;
mod turns;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fleet::{apply, heartbeat, service, service_put, Fleet};
use crate::support::controllers::{address, policy, STEP};
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::InstanceState;
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
fn given_a_yes_of_two_disks_when_one_is_wiped_and_the_other_restarts_then_the_change_is_there() {
    for answering in 0..3 {
        for absent in (0..3).filter(|absent| *absent != answering) {
            let mut fleet = Fleet::founded(1 + answering as u64 * 3 + absent as u64);
            fleet.cut.insert(absent);
            let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
            let ticket = fleet.calls(answering, call);
            fleet.runs(Duration::from_millis(500));
            let proposal_outcome = fleet.proposal_outcome(ticket);
            assert!(
                matches!(proposal_outcome, Some(ProposalOutcome::Accepted(_))),
                "{proposal_outcome:?}"
            );
            // Right after the yes the one that gave it is lost for good, and all lose power.
            for index in 0..3 {
                fleet.stops(index, index == answering);
            }
            fleet.wire.clear();
            fleet.cut.clear();
            fleet.now += Duration::from_secs(1);
            for index in 0..3 {
                fleet.starts(index);
            }
            fleet.runs(Duration::from_secs(20));
            for index in 0..3 {
                match fleet.reads(index) {
                    OperatorResponse::Configuration { map } => {
                        let versions: Vec<(&String, u64)> = map
                            .items
                            .iter()
                            .filter_map(|(key, item)| Some((key, item.written.as_ref()?.version)))
                            .collect();
                        assert_eq!(versions, [(&"pool/records".to_string(), 3)]);
                    }
                    other => panic!("{answering} {absent}: controller {index} says {other:?}"),
                }
            }
        }
    }
}

#[test]
fn given_one_disk_that_works_when_a_change_is_called_for_then_it_is_never_a_yes() {
    let mut fleet = Fleet::founded(40);
    for index in [1, 2] {
        fleet.nodes[index].disk_hangs = true;
    }
    let ticket = fleet.calls(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    for _ in 0..400 {
        fleet.runs(STEP * 4);
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
        "and it is told so"
    );
}

#[test]
fn given_empty_disks_when_no_process_may_found_then_nothing_is_ever_founded() {
    let never = CorePolicy {
        may_found: false,
        ..policy()
    };
    let mut fleet = Fleet::new([never.clone(), never.clone(), never], 50);
    fleet.runs(Duration::from_secs(60));
    assert_eq!(fleet.founded, 0);
    for index in 0..3 {
        assert_eq!(fleet.reads(index), OperatorResponse::NotCurrent);
    }
    let ticket = fleet.calls(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    fleet.runs(Duration::from_secs(10));
    assert_eq!(
        fleet.proposal_outcome(ticket),
        Some(&ProposalOutcome::NoMajority)
    );
}

#[test]
fn given_one_process_that_may_not_found_when_the_others_may_then_nothing_is_founded() {
    for wary in 0..3 {
        let mut policies = [policy(), policy(), policy()];
        policies[wary].may_found = false;
        let mut fleet = Fleet::new(policies, 60 + wary as u64);
        fleet.runs(Duration::from_secs(30));
        assert_eq!(fleet.founded, 0, "controller {wary} may not");
    }
}

#[test]
fn given_all_disks_lost_when_all_start_again_then_no_second_beginning_is_made_up() {
    let mut fleet = Fleet::founded(70);
    for index in 0..3 {
        fleet.stops(index, true);
    }
    fleet.wire.clear();
    for index in 0..3 {
        fleet.starts(index);
    }
    fleet.runs(Duration::from_secs(30));
    assert_eq!(fleet.founded, 1);
    for index in 0..3 {
        assert_eq!(fleet.reads(index), OperatorResponse::NotCurrent);
    }
}

#[test]
fn given_racing_calls_at_two_controllers_when_both_end_then_both_are_yes_and_the_highest_stand() {
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
        fleet.calls(1, apply("left", left)),
        fleet.calls(2, apply("right", right)),
    ];
    fleet.runs(Duration::from_secs(3));
    for ticket in tickets {
        let proposal_outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(proposal_outcome, Some(ProposalOutcome::Accepted(_))),
            "{proposal_outcome:?}"
        );
    }
    for index in 0..3 {
        let OperatorResponse::Configuration { map } = fleet.reads(index) else {
            panic!("controller {index} cannot vouch");
        };
        let caps: Vec<(String, u32)> = map
            .services()
            .map(|(name, service)| (name.to_string(), service.instance_cap))
            .collect();
        assert_eq!(caps, [("a".to_string(), 2)]);
    }
}

#[test]
fn given_a_heartbeat_at_any_controller_when_its_service_is_keyed_then_the_owner_managers_answer_comes_back(
) {
    let mut fleet = Fleet::founded(90);
    fleet.calls(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    fleet.runs(Duration::from_secs(2));
    let owner_manager = fleet.owner_manager();
    let other = (owner_manager + 1) % 3;
    let mut counter = 0;
    let mut answered = HeartbeatResponse::default();
    for _ in 0..6 {
        counter += 1;
        let ticket = fleet.heartbeats(other, heartbeat("one", counter));
        fleet.runs(Duration::from_millis(600));
        let response = fleet.heartbeat_response(ticket).expect("it is answered");
        answered = response.clone();
    }
    assert!(answered.by_owner_manager);
    assert_eq!(answered.owner_manager, Some(address(owner_manager)));
    let key_ranges: Vec<u32> = answered
        .leases
        .iter()
        .map(|lease| lease.key_range)
        .collect();
    assert_eq!(key_ranges, (0..8).collect::<Vec<u32>>());
    // Without the owner manager the heartbeat is heard all the same, and nothing is said of what it holds.
    fleet.cut.insert(owner_manager);
    let ticket = fleet.heartbeats(other, heartbeat("one", counter + 1));
    assert_eq!(fleet.heartbeat_response(ticket), None, "it waits a while");
    fleet.runs(Duration::from_millis(600));
    let response = fleet.heartbeat_response(ticket).expect("it is answered");
    assert!(
        !response.by_owner_manager && response.leases.is_empty() && response.release.is_empty()
    );
}

#[test]
fn given_an_instance_that_is_gone_when_a_late_heartbeat_comes_anywhere_then_no_controller_revives_it(
) {
    let mut fleet = Fleet::founded(100);
    fleet.heartbeats(0, heartbeat("one", 5));
    fleet.runs(Duration::from_millis(500));
    for index in 0..3 {
        assert_eq!(fleet.instances(index), ["one"], "controller {index}");
    }
    fleet.tickets += 1;
    let (ticket, id) = (fleet.tickets, InstanceId::new("one"));
    fleet.inputs(1, ControllerInput::InstanceEnded { ticket, id });
    assert!(
        fleet.heartbeat_response(ticket).is_some(),
        "its word is taken"
    );
    fleet.runs(Duration::from_millis(500));
    for index in 0..3 {
        fleet.heartbeats(index, heartbeat("one", 6 + index as u64));
        fleet.runs(Duration::from_millis(500));
        for seen in 0..3 {
            assert!(fleet.instances(seen).is_empty(), "{index} {seen}");
        }
    }
    // Another may live at its address at once.
    fleet.heartbeats(2, heartbeat("two", 1));
    fleet.runs(Duration::from_millis(500));
    assert_eq!(fleet.instances(0), ["two"]);
}

/// What instances heartbeat and hold, each taking up what it is told to.
#[derive(Default)]
struct Holders {
    counter: u64,
    held: BTreeMap<&'static str, BTreeSet<u32>>,
}

impl Holders {
    fn heartbeats(
        &mut self,
        fleet: &mut Fleet,
        index: usize,
        id: &'static str,
    ) -> HeartbeatResponse {
        self.counter += 1;
        let mut said = heartbeat(id, self.counter);
        said.address.set_port(8000 + u16::from(id == "two"));
        let held = self.held.entry(id).or_default();
        said.held_key_ranges = held.iter().copied().collect();
        let ticket = fleet.heartbeats(index, said);
        let response = fleet
            .heartbeat_response(ticket)
            .expect("it is answered")
            .clone();
        *held = response
            .leases
            .iter()
            .map(|lease| lease.key_range)
            .collect();
        response
    }
}

/// A fleet whose keyed service two instances share, and the place of the owner manager.
fn shared_by_two(seed: u64) -> (Fleet, Holders, usize) {
    let mut fleet = Fleet::founded(seed);
    fleet.calls(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    fleet.runs(Duration::from_secs(2));
    let owner_manager = fleet.owner_manager();
    let mut holders = Holders::default();
    for _ in 0..40 {
        holders.heartbeats(&mut fleet, (owner_manager + 1) % 3, "one");
        holders.heartbeats(&mut fleet, (owner_manager + 1) % 3, "two");
        fleet.runs(Duration::from_millis(250));
    }
    let (one, two) = (&holders.held["one"], &holders.held["two"]);
    assert!(one.len() >= 3 && two.len() >= 3, "{one:?} {two:?}");
    assert_eq!(one.len() + two.len(), 8);
    (fleet, holders, owner_manager)
}

fn ends(fleet: &mut Fleet, index: usize, id: &str) {
    fleet.tickets += 1;
    let (ticket, id) = (fleet.tickets, InstanceId::new(id));
    fleet.inputs(index, ControllerInput::InstanceEnded { ticket, id });
}

#[test]
fn given_an_owner_that_ended_when_late_heartbeats_of_it_come_then_nothing_is_prolonged_and_others_own(
) {
    // Whether the owner manager hears it itself, or another controller that tells it within a moment.
    for (reported, moment) in [(0, Duration::ZERO), (1, Duration::from_millis(150))] {
        let (mut fleet, mut holders, owner_manager) = shared_by_two(120);
        let owned = holders.held["one"].clone();
        let ended = fleet.now;
        ends(&mut fleet, (owner_manager + reported) % 3, "one");
        loop {
            fleet.runs(Duration::from_millis(50));
            let span = fleet.now - ended;
            assert!(span < Duration::from_secs(2), "its key ranges never moved");
            for index in (0..3).filter(|_| span > moment) {
                let late = holders.heartbeats(&mut fleet, index, "one");
                let named = format!("{reported} {index} after {span:?}: {late:?}");
                assert!(late.leases.is_empty(), "{named}");
                assert!(late.release.is_empty(), "{named}");
            }
            holders.heartbeats(&mut fleet, (owner_manager + 1) % 3, "two");
            let two = &holders.held["two"];
            if !two.is_disjoint(&owned) {
                assert!(span >= Duration::from_millis(500), "moved after {span:?}");
                assert_eq!(*two, (0..8).collect());
                break;
            }
        }
    }
}

#[test]
fn given_an_owner_that_ended_when_its_late_heartbeat_comes_in_the_same_instant_then_it_holds_nothing(
) {
    let (mut fleet, mut holders, owner_manager) = shared_by_two(130);
    ends(&mut fleet, owner_manager, "one");
    let late = holders.heartbeats(&mut fleet, owner_manager, "one");
    assert!(late.leases.is_empty(), "{late:?}");
}

#[test]
fn given_a_controller_about_to_stop_when_a_call_comes_then_it_sends_the_caller_elsewhere() {
    let mut fleet = Fleet::founded(110);
    fleet.inputs(0, ControllerInput::Shutdown);
    let ticket = fleet.calls(
        0,
        apply("call-1", vec![service_put("records", 1, Some(service()))]),
    );
    assert_eq!(fleet.responses[&ticket], OperatorResponse::ShuttingDown);
    fleet.runs(Duration::from_secs(1));
    let OperatorResponse::Configuration { map } = fleet.reads(1) else {
        panic!("the others go on");
    };
    assert_eq!(map.services().count(), 0, "and nothing is in force");
}

/// An order to close a zone or to open it, beside another zone that is open.
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
    /// A call whose head was read `age` ago.
    fn calls_late(&mut self, index: usize, call: OperatorCall, age: Duration) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let received_at = self.now.saturating_sub(age);
        self.inputs(
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

    fn leaves(&self, index: usize, id: &str) -> bool {
        let state = &self.nodes[index].machine.as_ref().expect("it runs").state;
        state
            .instances
            .get(&InstanceId::new(id))
            .is_some_and(|heartbeat| heartbeat.state == InstanceState::Draining)
    }

    fn is_closed(&mut self, index: usize) -> bool {
        match self.reads(index) {
            OperatorResponse::Configuration { map } => map.zones().any(|(_, zone)| zone.closed),
            other => panic!("{other:?} is no configuration"),
        }
    }
}

/// How long instances are still acknowledged by an owner manager that is cut off, and whether the
/// others let go of an instance that goes elsewhere as soon as it is refused.
fn lone_acknowledgements(broken: FaultInjection) -> (Duration, bool) {
    let mut fleet = Fleet::founded_without(200, broken);
    let call = apply("call-1", vec![service_put("records", 1, Some(service()))]);
    fleet.calls(0, call);
    fleet.runs(Duration::from_secs(2));
    let owner_manager = fleet.owner_manager();
    let other = (owner_manager + 1) % 3;
    fleet.heartbeats(owner_manager, heartbeat("one", 1));
    fleet.runs(Duration::from_millis(500));
    fleet.cut.insert(owner_manager);
    let cut_at = fleet.now;
    let mut index = owner_manager;
    let mut acknowledged_for = Duration::ZERO;
    let mut counter = 1;
    let mut was_let_go = false;
    while fleet.now - cut_at < Duration::from_secs(12) {
        counter += 1;
        let ticket = fleet.heartbeats(index, heartbeat("one", counter));
        fleet.runs(Duration::from_millis(750));
        if index == owner_manager {
            match fleet.responses.get(&ticket) {
                Some(OperatorResponse::Heartbeat { response }) => {
                    acknowledged_for = fleet.now - cut_at;
                    let named = response.response.owner_manager;
                    assert!(named.is_none() || named == Some(address(owner_manager)));
                }
                _ => index = other,
            }
        }
        was_let_go |= fleet.instances(other).is_empty();
    }
    (acknowledged_for, was_let_go)
}

#[test]
fn given_an_owner_manager_that_is_cut_off_when_instances_heartbeat_there_then_it_sends_them_away() {
    let (acknowledged_for, was_let_go) = lone_acknowledgements(FaultInjection::None);
    assert!(
        acknowledged_for <= Duration::from_millis(1600),
        "acknowledged for {acknowledged_for:?}"
    );
    assert!(!was_let_go, "the others let the instance go");
    let (acknowledged_for, was_let_go) =
        lone_acknowledgements(FaultInjection::AcknowledgesWithoutQuorum);
    assert!(acknowledged_for > Duration::from_secs(10));
    assert!(was_let_go, "the variant is seen");
}

/// Whether a drain is known to the others after the controller that acknowledged it was lost.
fn drain_survives(broken: FaultInjection, notified_at: usize) -> bool {
    let mut fleet = Fleet::founded_without(210 + notified_at as u64, broken);
    fleet.heartbeats(notified_at, heartbeat("one", 1));
    fleet.runs(Duration::from_millis(500));
    let mut draining = heartbeat("one", 2);
    draining.state = InstanceState::Draining;
    let ticket = fleet.heartbeats(notified_at, draining);
    assert!(fleet.is_acknowledged(ticket));
    fleet.stops(notified_at, false);
    let others = (0..3).filter(|index| *index != notified_at);
    others
        .collect::<Vec<_>>()
        .into_iter()
        .any(|index| fleet.leaves(index, "one"))
}

#[test]
fn given_a_drain_that_was_acknowledged_when_that_controller_is_lost_at_once_then_others_know_it() {
    for notified_at in 0..3 {
        assert!(
            drain_survives(FaultInjection::None, notified_at),
            "told {notified_at}"
        );
    }
    let lost = (0..3)
        .any(|notified_at| !drain_survives(FaultInjection::AcknowledgesWithoutQuorum, notified_at));
    assert!(lost, "the variant is seen");
}

#[test]
fn given_a_controller_cut_off_a_moment_ago_when_a_drain_comes_then_it_is_refused_in_time() {
    let mut fleet = Fleet::founded(220);
    fleet.heartbeats(0, heartbeat("one", 1));
    fleet.runs(Duration::from_millis(500));
    fleet.cut.insert(0);
    let mut draining = heartbeat("one", 2);
    draining.state = InstanceState::Draining;
    let ticket = fleet.heartbeats(0, draining);
    assert!(
        !fleet.responses.contains_key(&ticket),
        "nobody confirms it yet"
    );
    fleet.runs(Duration::from_millis(800));
    assert_eq!(
        fleet.responses.get(&ticket),
        Some(&OperatorResponse::NotCurrent)
    );
}

#[test]
fn given_an_end_at_a_controller_that_is_cut_off_when_it_comes_then_it_is_not_acknowledged() {
    let mut fleet = Fleet::founded(230);
    fleet.heartbeats(1, heartbeat("one", 1));
    fleet.runs(Duration::from_millis(500));
    fleet.cut.insert(0);
    fleet.runs(Duration::from_secs(1));
    fleet.tickets += 1;
    let (ticket, id) = (fleet.tickets, InstanceId::new("one"));
    fleet.inputs(0, ControllerInput::InstanceEnded { ticket, id });
    assert_eq!(
        fleet.responses.get(&ticket),
        Some(&OperatorResponse::NotCurrent)
    );
}

/// What a controller that was cut off a moment ago answers a read after a change elsewhere.
fn read_after_a_cut(broken: FaultInjection) -> Option<OperatorResponse> {
    let mut fleet = Fleet::founded_without(240, broken);
    fleet.runs(Duration::from_millis(100));
    fleet.cut.insert(0);
    let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
    let accepted = fleet.calls(1, call);
    fleet.runs(Duration::from_millis(50));
    assert!(matches!(
        fleet.proposal_outcome(accepted),
        Some(ProposalOutcome::Accepted(_))
    ));
    let ticket = fleet.calls(0, OperatorCall::Read);
    fleet.runs(Duration::from_secs(1));
    fleet.responses.get(&ticket).cloned()
}

#[test]
fn given_a_controller_cut_off_a_moment_ago_when_it_is_read_then_it_answers_nothing_old() {
    assert_eq!(
        read_after_a_cut(FaultInjection::None),
        Some(OperatorResponse::NotCurrent)
    );
    let old = read_after_a_cut(FaultInjection::EarlyQuorumReads);
    assert!(
        matches!(old, Some(OperatorResponse::Configuration { .. })),
        "the variant is seen: {old:?}"
    );
}

#[test]
fn given_a_controller_cut_off_for_a_while_when_it_is_called_then_it_refuses_at_once() {
    let mut fleet = Fleet::founded(250);
    fleet.cut.insert(0);
    fleet.runs(Duration::from_secs(1));
    assert_eq!(fleet.reads(0), OperatorResponse::NotCurrent);
    let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
    let ticket = fleet.calls(0, call);
    assert_eq!(
        fleet.proposal_outcome(ticket),
        Some(&ProposalOutcome::NoMajority)
    );
}

#[test]
fn given_many_reads_at_once_when_they_are_answered_then_they_share_rounds() {
    let mut fleet = Fleet::founded(260);
    let before = fleet.nodes[0]
        .machine
        .as_ref()
        .expect("it runs")
        .state
        .quorum_reads
        .next_number();
    let tickets: Vec<u64> = (0..200)
        .map(|_| fleet.calls(0, OperatorCall::Read))
        .collect();
    fleet.runs(Duration::from_millis(100));
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
    assert!(after - before <= 5, "{} rounds", after - before);
}

/// Whether a zone is closed at the end, when an order to close it was sent, sent again elsewhere
/// after a silence, taken back, and only then read by the controller that it went to first.
fn old_call_comes_into_force(broken: FaultInjection) -> bool {
    let mut fleet = Fleet::founded_without(270, broken);
    for (id, closed) in [("again", true), ("back", false)] {
        let ticket = fleet.calls(1, zone_call(id, closed));
        fleet.runs(Duration::from_millis(200));
        let outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Accepted(_))),
            "{id}"
        );
    }
    fleet.calls_late(0, zone_call("first", true), Duration::from_secs(2));
    fleet.runs(Duration::from_secs(3));
    fleet.is_closed(2)
}

#[test]
fn given_an_order_that_was_sent_again_and_taken_back_when_its_old_copy_comes_then_it_is_refused() {
    assert!(!old_call_comes_into_force(FaultInjection::None));
    assert!(
        old_call_comes_into_force(FaultInjection::UnfencedChanges),
        "the variant is seen"
    );
}

/// Whether a zone is closed at the end, when the order to close it waits at a controller that is cut
/// off while the same order and its withdrawal are carried out elsewhere.
fn waiting_call_comes_into_force(broken: FaultInjection) -> bool {
    let mut fleet = Fleet::founded_without(280, broken);
    fleet.cut.insert(0);
    fleet.calls(0, zone_call("first", true));
    // Callers go on to another controller after a second of silence.
    fleet.runs(Duration::from_secs(1));
    for (id, closed) in [("again", true), ("back", false)] {
        let ticket = fleet.calls(1, zone_call(id, closed));
        fleet.runs(Duration::from_millis(200));
        let outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Accepted(_))),
            "{id}"
        );
    }
    fleet.cut.clear();
    fleet.runs(Duration::from_secs(4));
    fleet.is_closed(2)
}

#[test]
fn given_an_order_that_waits_for_a_majority_when_it_was_overtaken_meanwhile_then_it_is_void() {
    assert!(!waiting_call_comes_into_force(FaultInjection::None));
    assert!(
        waiting_call_comes_into_force(FaultInjection::UnfencedChanges),
        "the variant is seen"
    );
}

#[test]
fn given_two_orders_for_one_zone_when_they_meet_then_both_are_carried_out_one_after_the_other() {
    let mut fleet = Fleet::founded(290);
    let tickets: Vec<u64> = (0..3)
        .map(|index| fleet.calls(index, zone_call(&format!("order-{index}"), index != 1)))
        .collect();
    fleet.runs(Duration::from_secs(2));
    for ticket in tickets {
        let outcome = fleet.proposal_outcome(ticket);
        assert!(
            matches!(outcome, Some(ProposalOutcome::Accepted(_))),
            "{outcome:?}"
        );
    }
}

#[test]
fn given_a_cut_that_ends_when_facts_were_learned_meanwhile_then_the_others_hear_them_at_once() {
    let mut fleet = Fleet::founded(300);
    fleet.cut.insert(0);
    fleet.runs(Duration::from_secs(2));
    fleet.heartbeats(1, heartbeat("one", 1));
    fleet.runs(Duration::from_millis(500));
    assert!(fleet.instances(0).is_empty());
    fleet.cut.clear();
    fleet.runs(Duration::from_millis(450));
    assert_eq!(fleet.instances(0), ["one"]);
}

/// When all three controllers vote and hold the same versions, counted from now.
fn time_to_full(fleet: &mut Fleet) -> Option<Duration> {
    let since = fleet.now;
    while fleet.now < since + Duration::from_secs(30) {
        fleet.runs(STEP);
        if is_full(fleet) {
            return Some(fleet.now - since);
        }
    }
    None
}

fn is_full(fleet: &Fleet) -> bool {
    let states: Vec<&ControllerState> = fleet
        .nodes
        .iter()
        .filter_map(|index| Some(&index.machine.as_ref()?.state))
        .collect();
    let nodes: BTreeSet<NodeId> = states.iter().map(|state| state.node).collect();
    let level = |state: &&ControllerState| {
        let voters = state.voters().map_or(BTreeSet::new(), |voters| {
            voters.holders.iter().map(|holder| holder.node).collect()
        });
        voters == nodes && state.voter.highest_possible() == states[0].voter.highest_possible()
    };
    states.len() == 3 && states.iter().all(level)
}

/// The node with a leadership role, as a place sees it.
fn role_holder(fleet: &Fleet, index: usize, role: &str) -> Option<NodeId> {
    let state = &fleet.nodes[index].machine.as_ref()?.state;
    let term = state.map(MapName::Membership).leadership(role)?;
    Some(term.holder)
}

fn node_at(fleet: &Fleet, index: usize) -> Option<NodeId> {
    Some(fleet.nodes[index].machine.as_ref()?.node())
}

/// A fleet in which an operator was told yes for a change.
fn fleet_with_change(seed: u64) -> Fleet {
    let mut fleet = Fleet::founded(seed);
    let call = apply("call-1", vec![service_put("records", 3, Some(service()))]);
    let ticket = fleet.calls(0, call);
    fleet.runs(Duration::from_secs(1));
    let outcome = fleet.proposal_outcome(ticket);
    assert!(matches!(outcome, Some(ProposalOutcome::Accepted(_))));
    fleet
}

/// Expects every controller to read the change of [`fleet_with_change`].
fn expect_change(fleet: &mut Fleet) {
    for index in 0..3 {
        match fleet.reads(index) {
            OperatorResponse::Configuration { map } => {
                assert!(map.items.contains_key("pool/records"), "place {index}");
            }
            other => panic!("controller {index} says {other:?}"),
        }
    }
}

#[test]
fn given_a_wiped_machine_when_it_comes_back_then_the_core_is_whole_within_the_bound() {
    // The shortest `sync_time_s` of the sites, from the loss to the last copy.
    let bound = Duration::from_secs(4);
    for wiped in 0..3 {
        let mut fleet = fleet_with_change(60 + wiped as u64);
        let managed = role_holder(&fleet, 0, VOTER_MANAGEMENT) == node_at(&fleet, wiped);
        assert_eq!(managed, wiped == 0, "each kind of loss is played");
        fleet.stops(wiped, true);
        fleet.starts(wiped);
        let taken = time_to_full(&mut fleet).expect("it becomes whole");
        println!("wiped {wiped}, with the voter management: {managed}, whole after {taken:?}");
        assert!(taken <= bound, "{taken:?}");
        fleet.runs(Duration::from_secs(1));
        expect_change(&mut fleet);
    }
}

#[test]
fn given_a_machine_lost_for_good_when_a_new_one_comes_elsewhere_then_the_core_is_whole_in_time() {
    let bound = Duration::from_secs(4);
    let core = CorePolicy {
        // As the platform sets it.
        controller_lost: Duration::from_millis(2500),
        ..policy()
    };
    for lost in 0..3 {
        let mut fleet = Fleet::new([core.clone(), core.clone(), core.clone()], 65 + lost as u64);
        fleet.runs(Duration::from_secs(8));
        let managed = role_holder(&fleet, 0, VOTER_MANAGEMENT) == node_at(&fleet, lost);
        fleet.stops(lost, true);
        fleet.adds(core.clone());
        let taken = time_to_full(&mut fleet).expect("it becomes whole");
        println!("lost {lost}, with the voter management: {managed}, whole after {taken:?}");
        assert!(taken <= bound, "{taken:?}");
    }
}

#[test]
fn given_a_wiped_machine_whose_disk_hangs_when_it_has_copied_all_then_it_gets_no_vote() {
    let mut fleet = fleet_with_change(70);
    fleet.stops(2, true);
    fleet.nodes[2].disk_hangs = true;
    fleet.starts(2);
    fleet.runs(Duration::from_secs(15));
    let node = node_at(&fleet, 2).expect("it runs");
    for index in 0..2 {
        let state = &fleet.nodes[index].machine.as_ref().expect("it runs").state;
        assert!(state.voters().expect("voters").holder(node).is_none());
    }
    // The others are held up by nothing.
    let call = apply("call-2", vec![service_put("more", 4, Some(service()))]);
    let ticket = fleet.calls(0, call);
    fleet.runs(Duration::from_secs(1));
    let outcome = fleet.proposal_outcome(ticket);
    assert!(
        matches!(outcome, Some(ProposalOutcome::Accepted(_))),
        "{outcome:?}"
    );
}

#[test]
fn given_a_polite_stop_when_the_next_controller_has_not_synced_then_another_gets_the_roles() {
    let mut fleet = fleet_with_change(80);
    assert_eq!(role_holder(&fleet, 0, OWNERSHIP), node_at(&fleet, 0));
    fleet.nodes[1].disk_hangs = true;
    let call = apply("call-2", vec![service_put("more", 4, Some(service()))]);
    fleet.calls(0, call);
    fleet.runs(Duration::from_secs(1));
    fleet.inputs(0, ControllerInput::Shutdown);
    fleet.runs(Duration::from_secs(3));
    for role in LEADERSHIPS {
        assert_eq!(role_holder(&fleet, 0, role), node_at(&fleet, 2), "{role}");
    }
}

#[test]
fn given_a_replacement_when_another_loses_power_at_any_step_then_the_change_is_kept_and_all_is_whole(
) {
    for wiped in 0..3 {
        for second in (0..3).filter(|second| *second != wiped) {
            for step in 0..30 {
                let mut fleet = fleet_with_change(100 + step);
                fleet.stops(wiped, true);
                fleet.starts(wiped);
                fleet.runs(Duration::from_millis(100 * step));
                fleet.stops(second, false);
                fleet.runs(Duration::from_secs(2));
                fleet.starts(second);
                let full_map = time_to_full(&mut fleet);
                assert!(
                    full_map.is_some(),
                    "{wiped}, then {second} after step {step}"
                );
                fleet.runs(Duration::from_secs(1));
                expect_change(&mut fleet);
            }
        }
    }
}

#[test]
fn given_a_replacement_when_another_disk_is_wiped_at_any_step_then_all_is_whole_or_the_loss_is_named(
) {
    let mut named = 0;
    for wiped in 0..3 {
        for second in (0..3).filter(|second| *second != wiped) {
            for step in 0..30 {
                let mut fleet = fleet_with_change(100 + step);
                fleet.stops(wiped, true);
                fleet.starts(wiped);
                fleet.runs(Duration::from_millis(100 * step));
                fleet.stops(second, true);
                fleet.starts(second);
                if time_to_full(&mut fleet).is_some() {
                    fleet.runs(Duration::from_secs(1));
                    expect_change(&mut fleet);
                    continue;
                }
                named += 1;
                let is_named = fleet
                    .events
                    .iter()
                    .any(|(_, event)| matches!(event, Event::MajorityLost { .. }));
                assert!(is_named, "{wiped}, then {second} after step {step}");
            }
        }
    }
    println!("of 180 second wipes {named} were named");
    assert!(named < 180);
}

#[test]
fn given_a_polite_stop_when_too_few_others_have_synced_all_then_it_waits_and_names_it() {
    let mut fleet = fleet_with_change(90);
    fleet.nodes[1].disk_hangs = true;
    let call = apply("call-2", vec![service_put("more", 4, Some(service()))]);
    fleet.calls(0, call);
    fleet.runs(Duration::from_secs(1));
    fleet.inputs(0, ControllerInput::Shutdown);
    fleet.runs(Duration::from_secs(4));
    assert!(fleet.stopped.is_empty());
    fleet.runs(Duration::from_secs(2));
    assert!(fleet.stopped.contains(&0));
    let is_named = |(index, event): &(usize, Event)| {
        *index == 0 && matches!(event, Event::ShutdownIncomplete { .. })
    };
    assert!(fleet.events.iter().any(is_named));
}
