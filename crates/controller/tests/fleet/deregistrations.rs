//! Deregistrations that were acknowledged: controllers are killed and lose disks right after, are slow or away
//! before, and heartbeats come late. Guards against instances that get requests again after they deregistered.

use std::time::Duration;

use crate::fleet::{apply, heartbeat, service, service_put, Fleet};
use crate::follower::FollowerProcess;
use crate::restarts::run_with_follower;
use crate::support::controllers::{address, policy, STEP};
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::deregistrations::DEREGISTRATION_RETENTION;
use caperworks::facts::Role;
use caperworks::identifiers::InstanceId;
use caperworks::messages::Message;
use caperworks::replicated_map::MapName;
use controller::fault_injection::FaultInjection;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::OperatorResponse;

/// The longest time after which a caller still waits for the acknowledgement.
const ACKNOWLEDGEMENT_LIMIT: Duration = Duration::from_secs(1);
/// How long killed controllers stay away.
const DOWNTIME: Duration = Duration::from_millis(600);
/// How long an acknowledged instance may still get requests, in the strictest deployment.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2500);

/// What becomes of the controllers beside the kill of all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// This controller was cut off from the others before the call.
    Away(usize),
    /// The disk of this controller hangs from before the call until it restarts.
    HungDisk(usize),
    /// This controller loses its disk with the kill.
    LostDisk(usize),
}

/// Sends a deregistration to a controller, and returns its ticket.
fn send_deregistration(fleet: &mut Fleet, index: usize, id: &str) -> u64 {
    fleet.deregister(index, &InstanceId::new(id));
    fleet.last_ticket
}

fn is_acknowledged(fleet: &Fleet, ticket: u64) -> bool {
    matches!(
        fleet.responses.get(&ticket),
        Some(OperatorResponse::Heartbeat { .. })
    )
}

/// Lets the fleet run until the call has a response, at most for as long as its caller waits.
fn wait_for_response(fleet: &mut Fleet, ticket: u64) {
    let until = fleet.now + ACKNOWLEDGEMENT_LIMIT;
    while fleet.now < until && !fleet.responses.contains_key(&ticket) {
        fleet.run(STEP);
    }
}

fn kill_all(fleet: &mut Fleet, wiped: Option<usize>) {
    for index in 0..fleet.nodes.len() {
        fleet.stop(index, wiped == Some(index));
        fleet.nodes[index].disk_hangs = false;
    }
    fleet.wire.clear();
    fleet.partitioned.clear();
    fleet.now += DOWNTIME;
}

fn start_all(fleet: &mut Fleet) {
    for index in 0..fleet.nodes.len() {
        fleet.start(index);
    }
}

/// A fleet with an instance that all controllers and a follower list.
struct Listed {
    fleet: Fleet,
    follower: FollowerProcess,
}

fn listed_instance(seed: u64, fault: FaultInjection) -> Listed {
    let mut fleet = Fleet::founded_with_fault(seed, fault);
    let mut follower = FollowerProcess::new(0, Role::Proxy, MapName::Ownership);
    for counter in 1..4 {
        fleet.send_heartbeat((counter % 3) as usize, heartbeat("one", counter));
        run_with_follower(&mut fleet, &mut follower, Duration::from_millis(500));
    }
    let id = InstanceId::new("one");
    assert!(follower.link.instances.get(&id).is_some());
    Listed { fleet, follower }
}

/// Kills all controllers right after a controller acknowledged a deregistration, and starts them again. Returns
/// what went wrong, if anything did.
fn kill_after_acknowledgement(
    at: usize,
    beside: Beside,
    fault: FaultInjection,
) -> Result<(), String> {
    let Listed {
        mut fleet,
        mut follower,
    } = listed_instance(700 + at as u64, fault);
    match beside {
        Beside::Away(index) => {
            fleet.partitioned.insert(index);
        }
        Beside::HungDisk(index) => fleet.nodes[index].disk_hangs = true,
        Beside::Nothing | Beside::LostDisk(_) => {}
    }
    let ticket = send_deregistration(&mut fleet, at, "one");
    wait_for_response(&mut fleet, ticket);
    if !is_acknowledged(&fleet, ticket) {
        return Err("it was not acknowledged in time".to_string());
    }
    let wiped = match beside {
        Beside::LostDisk(index) => Some(index),
        _ => None,
    };
    kill_all(&mut fleet, wiped);
    start_all(&mut fleet);
    // A heartbeat from before the deregistration comes seconds late, to each controller.
    let id = InstanceId::new("one");
    let until = fleet.now + Duration::from_secs(12);
    let mut fresh_since = None;
    while fleet.now < until {
        run_with_follower(&mut fleet, &mut follower, STEP * 4);
        for index in 0..3 {
            fleet.send_heartbeat(index, heartbeat("one", 3));
        }
        let instances = &follower.link.instances;
        let lists_instance = instances.get(&id).is_some();
        if fleet.now < follower.link.fresh_until() {
            fresh_since.get_or_insert(fleet.now);
            let lease_without = lists_instance && !follower.link.reports_left(fleet.now).is_zero();
            if lease_without {
                return Err(format!(
                    "a follower with current reports lists it: {:?}",
                    fleet.now
                ));
            }
        }
        let fresh_for = fresh_since.map_or(Duration::ZERO, |since| fleet.now - since);
        if fresh_for > DRAIN_TIMEOUT && lists_instance {
            return Err(format!(
                "the follower lists it {fresh_for:?} after its first lease"
            ));
        }
    }
    if fresh_since.is_none() {
        return Err("the follower got no lease".to_string());
    }
    match (0..3).find(|index| !fleet.instance_ids(*index).is_empty()) {
        Some(index) => Err(format!("controller {index} lists it")),
        None => Ok(()),
    }
}

fn every_case() -> Vec<Beside> {
    let of_each = (0..3).flat_map(|index| {
        [
            Beside::Away(index),
            Beside::HungDisk(index),
            Beside::LostDisk(index),
        ]
    });
    std::iter::once(Beside::Nothing).chain(of_each).collect()
}

/// Guards against review case 6: a majority had the deregistration in memory only.
#[test]
fn acknowledged_deregistration_survives_kill_of_all_controllers() {
    for at in 0..3 {
        for beside in every_case()
            .into_iter()
            .filter(|beside| *beside != Beside::Away(at))
        {
            let outcome = kill_after_acknowledgement(at, beside, FaultInjection::None);
            assert_eq!(outcome, Ok(()), "called controller {at}, {beside:?}");
        }
    }
}

#[test]
fn forgotten_deregistration_is_detected() {
    let fault = FaultInjection::UnsyncedDeregistrations;
    for beside in [Beside::Nothing, Beside::Away(2), Beside::LostDisk(1)] {
        let outcome = kill_after_acknowledgement(0, beside, fault);
        assert!(outcome.is_err(), "{beside:?}: the fault was not detected");
    }
}

/// A controller must not wait for its own disk or for one other if the other two have synced.
#[test]
fn one_slow_controller_delays_no_acknowledgement() {
    for at in 0..3 {
        for index in 0..3 {
            let mut fleet = Fleet::founded(720);
            fleet.nodes[index].disk_hangs = true;
            let ticket = send_deregistration(&mut fleet, at, "one");
            assert!(
                is_acknowledged(&fleet, ticket),
                "called {at}, the disk of {index} hangs"
            );
        }
    }
}

#[test]
fn deregistration_on_one_disk_is_not_acknowledged() {
    for at in 0..3 {
        let mut fleet = Fleet::founded(721);
        for index in [0, 1] {
            fleet.nodes[index].disk_hangs = true;
        }
        let ticket = send_deregistration(&mut fleet, at, "one");
        wait_for_response(&mut fleet, ticket);
        let response = fleet.responses.get(&ticket);
        assert_eq!(response, Some(&OperatorResponse::NotCurrent), "called {at}");
    }
}

/// A write that fails drops the confirmation that waits for it, and the complete slot after it has the fact.
#[test]
fn failed_write_confirms_no_deregistration() {
    let mut fleet = Fleet::founded(722);
    fleet.nodes[2].disk_hangs = true;
    fleet.nodes[1].disk_hangs = true;
    let ticket = send_deregistration(&mut fleet, 0, "one");
    let last = fleet.last_write_ticket(1);
    fleet.nodes[1].disk_hangs = false;
    fleet.handle_input(1, ControllerInput::WriteFailed { ticket: last });
    wait_for_response(&mut fleet, ticket);
    assert!(!is_acknowledged(&fleet, ticket));
    fleet.run(Duration::from_secs(2));
    fleet.stop(1, false);
    fleet.start(1);
    fleet.run(STEP);
    assert!(recovered_from_disk(&fleet, 1));
}

fn recovered_from_disk(fleet: &Fleet, index: usize) -> bool {
    let machine = fleet.nodes[index].machine.as_ref();
    let machine = machine.expect("the controller is running");
    machine
        .state
        .instances
        .has_deregistered(&InstanceId::new("one"))
}

/// A majority with the successor of a lost controller must know what the lost one had confirmed.
#[test]
fn successor_of_a_voter_has_the_deregistrations_before_it_votes() {
    for away in 1..3 {
        let mut fleet = Fleet::founded(730 + away as u64);
        let confirmed_by_other = 3 - away;
        fleet.partitioned.insert(away);
        let ticket = send_deregistration(&mut fleet, 0, "one");
        wait_for_response(&mut fleet, ticket);
        assert!(is_acknowledged(&fleet, ticket));
        fleet.stop(0, true);
        fleet.partitioned.clear();
        let successor = fleet.add_controller(policy());
        let mut followed = 0;
        while !is_voter(&fleet, successor) {
            fleet.run(STEP);
            followed += 1;
            assert!(followed < 2000, "the successor does not become a voter");
        }
        // The only one left that had confirmed it loses its disk, and all lose power.
        fleet.nodes[0].core.may_bootstrap = false;
        for index in 1..fleet.nodes.len() {
            fleet.stop(index, index == confirmed_by_other);
        }
        fleet.wire.clear();
        for index in [away, successor] {
            fleet.start(index);
        }
        fleet.run(Duration::from_secs(3));
        for index in [away, successor] {
            assert!(
                recovered_from_disk(&fleet, index),
                "controller {index} of {away} and {successor}"
            );
        }
    }
}

fn is_voter(fleet: &Fleet, index: usize) -> bool {
    let machine = fleet.nodes[index].machine.as_ref();
    machine.is_some_and(|machine| machine.state.is_voter())
}

#[test]
fn deregistrations_survive_a_full_log() {
    let mut fleet = Fleet::founded(740);
    let ticket = send_deregistration(&mut fleet, 0, "one");
    assert!(is_acknowledged(&fleet, ticket));
    // More changes than the log has space for, so that complete slots are written.
    for number in 0..400 {
        let id = format!("call-{number}");
        let put = service_put("records", number + 1, Some(service()));
        fleet.call(0, apply(&id, vec![put]));
        fleet.run(STEP);
    }
    for index in 0..3 {
        fleet.stop(index, false);
        fleet.start(index);
    }
    fleet.run(STEP);
    for index in 0..3 {
        assert!(recovered_from_disk(&fleet, index), "controller {index}");
    }
}

/// The set has an end in memory and on disk, however often the controllers restart.
#[test]
fn deregistrations_are_forgotten_in_memory_and_on_disk() {
    let mut fleet = Fleet::founded(750);
    let ticket = send_deregistration(&mut fleet, 0, "one");
    assert!(is_acknowledged(&fleet, ticket));
    fleet.run(DEREGISTRATION_RETENTION - Duration::from_secs(1));
    assert!((0..3).all(|index| recovered_from_disk(&fleet, index)));
    fleet.run(Duration::from_secs(12));
    assert!((0..3).all(|index| !recovered_from_disk(&fleet, index)));
    kill_all(&mut fleet, None);
    start_all(&mut fleet);
    fleet.run(Duration::from_secs(3));
    assert!((0..3).all(|index| !recovered_from_disk(&fleet, index)));
}

/// What a restart remembers anew is forgotten as well, and is not passed on among the controllers for ever.
#[test]
fn deregistrations_end_although_one_controller_after_the_other_restarts() {
    let mut fleet = Fleet::founded(751);
    let ticket = send_deregistration(&mut fleet, 0, "one");
    assert!(is_acknowledged(&fleet, ticket));
    for index in 0..3 {
        fleet.run(DEREGISTRATION_RETENTION / 2);
        fleet.stop(index, false);
        fleet.run(Duration::from_secs(2));
        fleet.start(index);
    }
    fleet.run(DEREGISTRATION_RETENTION + Duration::from_secs(12));
    assert!((0..3).all(|index| !recovered_from_disk(&fleet, index)));
}

#[test]
fn overlong_instance_id_is_not_recorded() {
    let mut fleet = Fleet::founded(760);
    let ticket = send_deregistration(&mut fleet, 0, &"x".repeat(129));
    let response = fleet.responses.get(&ticket);
    assert_eq!(response, Some(&OperatorResponse::NotCurrent));
}

/// Each deregistration costs a controller one write, and one more for all that are forgotten together.
#[test]
fn deregistration_is_written_once_by_each_controller() {
    let mut fleet = Fleet::new([policy(), policy(), policy()], 770);
    fleet.run(Duration::from_secs(8));
    let before = write_counts(&fleet);
    for number in 0..10 {
        let ticket = send_deregistration(&mut fleet, number % 3, &format!("instance-{number}"));
        assert!(is_acknowledged(&fleet, ticket));
    }
    fleet.run(Duration::from_secs(3));
    let after = write_counts(&fleet);
    for index in 0..3 {
        assert_eq!(after[index] - before[index], 10, "controller {index}");
    }
    fleet.run(DEREGISTRATION_RETENTION + Duration::from_secs(12));
    let forgotten = write_counts(&fleet);
    for index in 0..3 {
        let writes = forgotten[index] - after[index];
        assert!((1..=2).contains(&writes), "controller {index}: {writes}");
    }
}

fn write_counts(fleet: &Fleet) -> Vec<u64> {
    (0..3).map(|index| fleet.last_write_ticket(index)).collect()
}

#[test]
fn late_heartbeat_of_deregistered_instance_is_logged() {
    let mut fleet = Fleet::founded(780);
    fleet.send_heartbeat(0, heartbeat("one", 1));
    send_deregistration(&mut fleet, 0, "one");
    fleet.send_heartbeat(1, heartbeat("one", 2));
    let is_logged = |(_, event): &(usize, Event)| {
        matches!(event, Event::LateHeartbeatIgnored { counter: 2, .. })
    };
    assert!(fleet.events.iter().any(is_logged), "{:?}", fleet.events);
}

/// A controller that was away learns of it with the first quorum read, before it grants a lease.
#[test]
fn controller_that_was_away_grants_no_lease_without_the_deregistration() {
    let Listed {
        mut fleet,
        mut follower,
    } = listed_instance(790, FaultInjection::None);
    let id = InstanceId::new("one");
    fleet.partitioned.insert(2);
    fleet.run(Duration::from_secs(4));
    let ticket = send_deregistration(&mut fleet, 0, "one");
    assert!(is_acknowledged(&fleet, ticket));
    fleet.partitioned.clear();
    let until = fleet.now + Duration::from_secs(3);
    let mut had_contact = false;
    while fleet.now < until {
        run_with_follower(&mut fleet, &mut follower, STEP);
        let machine = fleet.nodes[2].machine.as_ref().expect("it runs");
        if machine.state.has_quorum_contact() {
            had_contact = true;
            assert!(machine.state.instances.has_deregistered(&id));
        }
    }
    assert!(
        had_contact,
        "the controller that was away had no contact again"
    );
}

/// Sends a controller the confirmations of the two others for its last call.
fn confirm_last_call(fleet: &mut Fleet, to: usize, synced: Option<bool>) {
    let machine = fleet.nodes[to].machine.as_ref().expect("it runs");
    let number = machine.state.last_instance_call;
    for from in (0..3).filter(|from| *from != to) {
        let machine = fleet.nodes[from].machine.as_ref().expect("it runs");
        let message = Message::FactConfirmed { number, synced };
        let envelope = machine.seal(address(to), message);
        fleet.handle_input(to, ControllerInput::MessageReceived { envelope });
    }
}

/// Controllers of an earlier release confirm from memory: a majority of these is not enough.
#[test]
fn confirmations_from_memory_do_not_acknowledge_a_deregistration() {
    let mut fleet = Fleet::founded(800);
    for index in 0..3 {
        fleet.nodes[index].disk_hangs = true;
    }
    let ticket = send_deregistration(&mut fleet, 0, "one");
    confirm_last_call(&mut fleet, 0, None);
    assert!(!is_acknowledged(&fleet, ticket));
    confirm_last_call(&mut fleet, 0, Some(true));
    assert!(is_acknowledged(&fleet, ticket));
}

#[test]
fn controller_that_has_not_merged_deregistrations_does_not_become_voter() {
    let mut fleet = Fleet::founded(810);
    let ticket = send_deregistration(&mut fleet, 0, "one");
    assert!(is_acknowledged(&fleet, ticket));
    fleet.stop(2, true);
    let successor = fleet.add_controller(policy());
    let until = fleet.now + Duration::from_secs(20);
    while fleet.now < until {
        fleet.run(STEP);
        for node in &mut fleet.nodes {
            if let Some(machine) = &mut node.machine {
                machine.state.deregistration_storage.reported_merges.clear();
            }
        }
        assert!(!is_voter(&fleet, successor));
    }
    fleet.run(Duration::from_secs(2));
    assert!(is_voter(&fleet, successor));
}

/// Guards against a flood of deregistrations that makes the state too large for its slot, which would stop all
/// controllers from voting. The slots of these controllers have a mebibyte.
#[test]
fn flood_of_deregistrations_is_rejected_before_the_slot_is_full() {
    let mut fleet = Fleet::founded(820);
    let long_id = |number: u64| format!("{number:0128}");
    let mut acknowledged = 0;
    for number in 0..2000 {
        let ticket = send_deregistration(&mut fleet, (number % 3) as usize, &long_id(number));
        acknowledged += u32::from(is_acknowledged(&fleet, ticket));
    }
    let expected = (1 << 20) / 16 / (128 + 5);
    assert!(
        (expected..expected + 4).contains(&acknowledged),
        "{acknowledged} of {expected}"
    );
    let call = apply("call-1", vec![service_put("records", 1, Some(service()))]);
    let ticket = fleet.call(0, call);
    fleet.run(Duration::from_secs(1));
    assert!(matches!(
        fleet.proposal_outcome(ticket),
        Some(ProposalOutcome::Accepted(_))
    ));
    // Later there is space again.
    fleet.run(DEREGISTRATION_RETENTION);
    let ticket = send_deregistration(&mut fleet, 0, &long_id(3000));
    assert!(is_acknowledged(&fleet, ticket));
}
