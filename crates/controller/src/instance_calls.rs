//! Instances' calls: heartbeats, drains and deregistrations, and the conditions for acknowledging them.
//!
//! A call is acknowledged only while this controller has recent contact to a majority of the voters, so that
//! a partitioned controller immediately sends its instances elsewhere. What limits the requests that an instance
//! may get must not be lost with one controller: a drain, the begin of a warm-up and a deregistration are
//! acknowledged after a majority of the voters has confirmed them, among them enough controllers. Instances repeat
//! the first two with each heartbeat, so memory is enough; a deregistration has to be on the controllers' disks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::deregistrations;
use crate::deregistrations::synced_confirmation;
use crate::fault_injection::FaultInjection;
use crate::leadership::ownership;
use crate::state::ControllerState;
use crate::state_machine::event::{DeregistrationSource, Event};
use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::deregistrations::ReceivedDeregistration;
use caperworks::envelope_clock::Echo;
use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::{InstanceId, NodeId};
use caperworks::map_items::VoterSet;
use caperworks::messages::Message;
use caperworks::ownership::{HeartbeatResponse, TimestampedResponse};
use caperworks::replicated_map::MapName;

/// Time that a heartbeat waits for the owner manager's response.
const OWNER_MANAGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of controllers that must confirm a fact, unless the options require another or there are fewer.
const DEFAULT_CONFIRMING_CONTROLLERS: usize = 2;
/// Time that a call waits for confirmations. Instances wait for at most one second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// An instance's call that waits for other controllers before it gets a response.
#[derive(Debug, Clone)]
pub struct PendingInstanceCall {
    ticket: u64,
    /// Identifies the call in the responses of other controllers.
    number: u64,
    until: Duration,
    needed: ConfirmationQuorum,
    /// The voters that have confirmed the fact, and the controllers among them. If the fact has to be on disk,
    /// only controllers count that have synced it.
    confirmed_by: BTreeSet<NodeId>,
    confirmed_by_controllers: BTreeSet<NodeId>,
    awaits_owner_manager: bool,
    response: HeartbeatResponse,
}

impl PendingInstanceCall {
    fn is_confirmed(&self) -> bool {
        self.confirmed_by.len() >= self.needed.voters
            && self.confirmed_by_controllers.len() >= self.needed.controllers
    }

    fn is_complete(&self) -> bool {
        self.is_confirmed() && !self.awaits_owner_manager
    }
}

/// Who must have confirmed a fact before it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ConfirmationQuorum {
    /// Number of voters: a majority, so that each later majority includes one of them.
    voters: usize,
    /// Number of controllers among them: one more than may be lost at once.
    controllers: usize,
    durability: Durability,
}

/// Where a controller must have stored a fact that it confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Durability {
    #[default]
    Memory,
    Disk,
}

/// What a call requires before it is acknowledged.
#[derive(Debug, Clone, Copy)]
struct Requirements {
    confirmations: ConfirmationQuorum,
    owner_manager: Option<SocketAddr>,
}

/// A fact that other controllers must have before it is acknowledged.
#[derive(Debug, Clone)]
enum Fact {
    /// A heartbeat that limits the requests that the instance may get.
    Limit(ReceivedHeartbeat),
    Deregistered(InstanceId),
}

/// Whether an instance must send its heartbeat again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resend {
    /// The heartbeat's age is unknown: it must be sent again with a timestamp of this controller to count.
    WithStamp,
    NotNeeded,
}

/// Handles a heartbeat that an instance sent to this controller.
pub fn handle_heartbeat(
    state: &mut ControllerState,
    ticket: u64,
    heartbeat: Heartbeat,
    echo: Option<Echo>,
) {
    if !may_acknowledge(state) {
        reject(state, ticket);
        return;
    }
    // Without timestamps the age of a heartbeat is unknown. It counts as sent just now, and its counter keeps
    // it from replacing later ones.
    let age = match state.options.core.stamped_heartbeats {
        true => echo.and_then(|echo| echo.max_age(state.now, state.incarnation)),
        false => Some(Duration::ZERO),
    };
    let received = ReceivedHeartbeat {
        heartbeat,
        age: Duration::ZERO,
    };
    let begins_warm_up = begins_warm_up(state, &received.heartbeat);
    if begins_warm_up {
        log_warm_up(state, &received.heartbeat);
    }
    let response = record_heartbeat(state, received.clone(), age);
    if age.is_none() {
        acknowledge(state, ticket, response, Resend::WithStamp);
        return;
    }
    let is_draining = received.heartbeat.state == InstanceState::Draining;
    let requirements = Requirements {
        confirmations: match is_draining || begins_warm_up {
            true => confirmation_quorum(state, Durability::Memory),
            false => ConfirmationQuorum::default(),
        },
        owner_manager: required_owner_manager(state, &received.heartbeat, &response),
    };
    let number = begin_call(state, ticket, requirements, response);
    if requirements.confirmations != ConfirmationQuorum::default() {
        request_confirmations(state, number, Fact::Limit(received.clone()));
        handle_confirmation(state, state.node, number, None);
    }
    if let Some(to) = requirements.owner_manager {
        let ticket = number;
        state.send(to, Message::HeartbeatForward { ticket, received });
    }
}

/// Returns whether the instance is warming up by this heartbeat, and was not by the last one that is known.
fn begins_warm_up(state: &ControllerState, heartbeat: &Heartbeat) -> bool {
    let mut services = state.map(MapName::Configuration).services();
    let service = services.find(|(name, _)| *name == heartbeat.service);
    let warm_up_period = service.map_or(Duration::ZERO, |(_, service)| service.warm_up_period);
    let known = state.instances.get(&heartbeat.id);
    let was_warming_up = known.is_some_and(|known| {
        known.incarnation == heartbeat.incarnation && known.is_warming_up(warm_up_period)
    });
    heartbeat.is_warming_up(warm_up_period) && !was_warming_up
}

fn log_warm_up(state: &mut ControllerState, heartbeat: &Heartbeat) {
    state.log_event(Event::InstanceWarmingUp {
        id: heartbeat.id.clone(),
        left: heartbeat.warm_up_left,
        counter: heartbeat.counter,
    });
}

/// Deregisters an incarnation of an instance that reports its own end.
pub fn handle_deregistration(state: &mut ControllerState, ticket: u64, id: InstanceId) {
    if !may_acknowledge(state) || !deregistrations::can_record(state, &id) {
        reject(state, ticket);
        return;
    }
    let requirements = Requirements {
        confirmations: confirmation_quorum(state, Durability::Disk),
        owner_manager: None,
    };
    let number = begin_call(state, ticket, requirements, HeartbeatResponse::default());
    let received = ReceivedDeregistration {
        id: id.clone(),
        age: Duration::ZERO,
    };
    let own_confirmation = synced_confirmation(state.options.control, number);
    let source = DeregistrationSource::Instance;
    deregistrations::record(state, &received, source, vec![own_confirmation]);
    request_confirmations(state, number, Fact::Deregistered(id));
}

/// Acknowledges a call, or keeps it pending until its requirements are met. Returns the call's number.
fn begin_call(
    state: &mut ControllerState,
    ticket: u64,
    requirements: Requirements,
    response: HeartbeatResponse,
) -> u64 {
    state.last_instance_call += 1;
    let number = state.last_instance_call;
    let timeout = match requirements.confirmations.voters {
        0 => OWNER_MANAGER_TIMEOUT,
        _ => CONFIRMATION_TIMEOUT,
    };
    let call = PendingInstanceCall {
        ticket,
        number,
        until: state.now + timeout,
        needed: requirements.confirmations,
        confirmed_by: BTreeSet::new(),
        confirmed_by_controllers: BTreeSet::new(),
        awaits_owner_manager: requirements.owner_manager.is_some(),
        response,
    };
    if call.is_complete() {
        acknowledge(state, call.ticket, call.response, Resend::NotNeeded);
    } else {
        state.instance_calls.push(call);
    }
    number
}

/// Returns whether this controller may acknowledge facts, which requires recent contact to a majority of the
/// voters.
///
/// Facts recorded by a partitioned controller reach no other controller, and the others would deregister the
/// instances that send their heartbeats only to it.
pub fn may_acknowledge(state: &ControllerState) -> bool {
    state.injects(FaultInjection::AcknowledgesWithoutQuorum) || state.has_quorum_contact()
}

/// Returns who must have confirmed a fact before it is acknowledged.
///
/// As many controllers as the options require; by default two, so that the fact is not lost with one of them.
fn confirmation_quorum(state: &ControllerState, durability: Durability) -> ConfirmationQuorum {
    if state.injects(FaultInjection::AcknowledgesWithoutQuorum) {
        return ConfirmationQuorum::default();
    }
    let voters = state.voters();
    let controllers = voters.map_or(0, |voters| {
        let entries = voters.entries.iter();
        entries.filter(|voter| voter.controller).count()
    });
    let required = state.options.core.synced_controllers;
    ConfirmationQuorum {
        voters: voters.map_or(0, VoterSet::majority),
        controllers: required.unwrap_or(DEFAULT_CONFIRMING_CONTROLLERS.min(controllers)),
        durability,
    }
}

/// Returns the owner manager that must renew the leases of this heartbeat, if it is another controller.
///
/// With timestamps the heartbeat is not forwarded here, since agents forward heartbeats to the owner manager.
fn required_owner_manager(
    state: &ControllerState,
    heartbeat: &Heartbeat,
    response: &HeartbeatResponse,
) -> Option<SocketAddr> {
    if response.by_owner_manager || state.options.core.stamped_heartbeats {
        return None;
    }
    let is_keyed = state
        .map(MapName::Configuration)
        .services()
        .any(|(name, service)| service.keyed && name == heartbeat.service);
    response
        .owner_manager
        .filter(|owner_manager| is_keyed && *owner_manager != state.options.control)
}

fn acknowledge(
    state: &mut ControllerState,
    ticket: u64,
    response: HeartbeatResponse,
    resend: Resend,
) {
    let response = TimestampedResponse {
        response,
        stamp: state.envelope_clock.stamp(state.now),
        resend: resend == Resend::WithStamp,
    };
    state.respond(ticket, OperatorResponse::Heartbeat { response });
}

/// Rejects a call, so that the instance sends it to another controller.
fn reject(state: &mut ControllerState, ticket: u64) {
    state.respond(ticket, OperatorResponse::NotCurrent);
}

/// Requests all other voters to store a fact.
fn request_confirmations(state: &mut ControllerState, number: u64, fact: Fact) {
    let (heartbeat, ended) = match fact {
        Fact::Limit(received) => (Some(received), None),
        Fact::Deregistered(id) => (None, Some(id)),
    };
    let voters = state.map(MapName::Membership).voter_addresses(false);
    for to in voters {
        if to == state.options.control {
            continue;
        }
        let message = Message::ConfirmFact {
            number,
            heartbeat: heartbeat.clone(),
            ended: ended.clone(),
        };
        state.send(to, message);
    }
}

/// Stores and confirms a fact that another controller is about to acknowledge.
///
/// Nothing is confirmed if its age is unknown: it may be from an instance that ended long ago.
pub fn handle_confirmation_request(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    number: u64,
    heartbeat: Option<ReceivedHeartbeat>,
    ended: Option<InstanceId>,
    age: Option<Duration>,
) {
    let Some(age) = age else {
        return;
    };
    if let Some(received) = heartbeat {
        state.instances.handle(state.now, &received.aged(age));
    }
    match ended {
        Some(id) if deregistrations::can_record(state, &id) => {
            let received = ReceivedDeregistration { id, age };
            let confirmation = synced_confirmation(reply_to, number);
            let source = DeregistrationSource::Peer(reply_to);
            deregistrations::record(state, &received, source, vec![confirmation]);
        }
        Some(_) => {}
        None => {
            let synced = None;
            state.send(reply_to, Message::FactConfirmed { number, synced });
        }
    }
}

/// Counts a confirmation, and acknowledges the call if there are enough.
///
/// Only voters count, because a majority of them intersects every later majority.
pub fn handle_confirmation(
    state: &mut ControllerState,
    from: NodeId,
    number: u64,
    synced: Option<bool>,
) {
    let voter = state.voters().and_then(|voters| voters.entry(from));
    let Some(is_controller) = voter.map(|voter| voter.controller) else {
        return;
    };
    if let Some(call) = pending_call(state, number) {
        call.confirmed_by.insert(from);
        let is_stored = call.needed.durability == Durability::Memory || synced == Some(true);
        if is_controller && is_stored {
            call.confirmed_by_controllers.insert(from);
        }
        acknowledge_complete_calls(state);
    }
}

/// Handles the owner manager's response to a heartbeat that was forwarded to it.
pub fn handle_owner_manager_response(
    state: &mut ControllerState,
    number: u64,
    response: HeartbeatResponse,
) {
    if let Some(call) = pending_call(state, number) {
        call.awaits_owner_manager = false;
        call.response = response;
        acknowledge_complete_calls(state);
    }
}

fn pending_call(state: &mut ControllerState, number: u64) -> Option<&mut PendingInstanceCall> {
    state
        .instance_calls
        .iter_mut()
        .find(|call| call.number == number)
}

fn acknowledge_complete_calls(state: &mut ControllerState) {
    let (complete, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut state.instance_calls)
        .into_iter()
        .partition(PendingInstanceCall::is_complete);
    state.instance_calls = waiting;
    for call in complete {
        acknowledge(state, call.ticket, call.response, Resend::NotNeeded);
    }
}

/// Responds to the calls that timed out. A heartbeat is acknowledged without renewing leases. A fact with too
/// few confirmations is rejected, so that the instance sends it to another controller.
pub fn respond_to_timed_out_calls(state: &mut ControllerState) {
    let now = state.now;
    let (timed_out, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut state.instance_calls)
        .into_iter()
        .partition(|call| now >= call.until);
    state.instance_calls = waiting;
    for call in timed_out {
        if call.is_confirmed() {
            let response = HeartbeatResponse::default();
            acknowledge(state, call.ticket, response, Resend::NotNeeded);
        } else {
            reject(state, call.ticket);
        }
    }
}

/// Responds to a heartbeat that another node forwarded. Without a response, the node forwards it to another
/// controller.
pub fn handle_forwarded_heartbeat(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    ticket: u64,
    received: ReceivedHeartbeat,
    age: Option<Duration>,
) {
    if !may_acknowledge(state) {
        return;
    }
    let response = record_heartbeat(state, received, age);
    state.send(reply_to, Message::HeartbeatReply { ticket, response });
}

/// Records a heartbeat, and returns the response to it.
///
/// A heartbeat of unknown age or beyond the instance lifetime is not recorded: it may be from an instance
/// that ended long ago. A deregistered instance gets no leases, since a late heartbeat must not extend them.
fn record_heartbeat(
    state: &mut ControllerState,
    received: ReceivedHeartbeat,
    age: Option<Duration>,
) -> HeartbeatResponse {
    let received = age.map(|age| received.aged(age));
    let lifetime = state.instances.timeout;
    let recent = received.filter(|received| received.age < lifetime);
    let Some(received) = recent else {
        return HeartbeatResponse::default();
    };
    state.instances.handle(state.now, &received);
    let heartbeat = &received.heartbeat;
    if state.instances.has_ended(&heartbeat.id) {
        let (id, counter) = (heartbeat.id.clone(), heartbeat.counter);
        state.log_event(Event::LateHeartbeatIgnored { id, counter });
        return HeartbeatResponse::default();
    }
    ownership::respond_to_heartbeat(state, &received.heartbeat)
}
