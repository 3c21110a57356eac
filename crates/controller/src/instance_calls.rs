//! Instances' calls: heartbeats, drains and deregistrations, and what must hold before one is
//! acknowledged.
//!
//! A call is acknowledged only while a majority of the voters was heard a moment ago, so that a
//! controller that is cut off sends its instances elsewhere at once. What is said only once and must
//! not be forgotten, a drain or a deregistration, is acknowledged after a majority of the voters holds it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::leadership::ownership;
use crate::state::ControllerState;
use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::envelope_clock::Echo;
use caperworks::facts::{HeardHeartbeat, Heartbeat, InstanceState};
use caperworks::identifiers::{InstanceId, NodeId};
use caperworks::map_items::VoterSet;
use caperworks::messages::Message;
use caperworks::ownership::{HeartbeatResponse, TimestampedResponse};
use caperworks::replicated_map::MapName;

/// How long a heartbeat waits for the owner manager's response.
const OWNER_MANAGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a drain or a deregistration waits for the other controllers; instances wait a second at most.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// An instance's call that waits for other controllers before it is answered.
#[derive(Debug, Clone)]
pub struct PendingInstanceCall {
    ticket: u64,
    /// The number under which the other controllers respond.
    number: u64,
    until: Duration,
    /// How many other voters must hold what it says.
    confirmations_needed: usize,
    confirmed_by: BTreeSet<NodeId>,
    awaits_owner_manager: bool,
    response: HeartbeatResponse,
}

impl PendingInstanceCall {
    fn is_confirmed(&self) -> bool {
        self.confirmed_by.len() >= self.confirmations_needed
    }

    fn is_complete(&self) -> bool {
        self.is_confirmed() && !self.awaits_owner_manager
    }
}

/// What a call must wait for before it is acknowledged.
#[derive(Debug, Clone, Copy)]
struct Requirements {
    confirmations: usize,
    owner_manager: Option<SocketAddr>,
}

/// Something that an instance said once and that other controllers must hold.
#[derive(Debug, Clone)]
enum Fact {
    Draining(HeardHeartbeat),
    Deregistered(InstanceId),
}

/// Whether an instance is to send its heartbeat again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resend {
    /// Its age is not known: it counts only when it comes again, with a stamp of this controller.
    WithStamp,
    NotNeeded,
}

/// Handles a heartbeat that an instance sent here.
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
    // Without stamps nothing dates a heartbeat: it counts as sent just now, and its counter keeps it from
    // overtaking later ones.
    let age = match state.options.core.stamped_heartbeats {
        true => echo.and_then(|echo| echo.max_age(state.now, state.incarnation)),
        false => Some(Duration::ZERO),
    };
    let heard = HeardHeartbeat {
        heartbeat,
        age: Duration::ZERO,
    };
    let response = take_heartbeat(state, heard.clone(), age);
    if age.is_none() {
        acknowledge(state, ticket, response, Resend::WithStamp);
        return;
    }
    let is_draining = heard.heartbeat.state == InstanceState::Draining;
    let requirements = Requirements {
        confirmations: match is_draining {
            true => confirmations_needed(state),
            false => 0,
        },
        owner_manager: owner_manager_to_ask(state, &heard.heartbeat, &response),
    };
    let number = begin_call(state, ticket, requirements, response);
    if requirements.confirmations > 0 {
        ask_for_confirmation(state, number, Fact::Draining(heard.clone()));
    }
    if let Some(to) = requirements.owner_manager {
        let ticket = number;
        state.send(to, Message::HeartbeatForward { ticket, heard });
    }
}

/// Deregisters an incarnation of an instance that reports its own end.
pub fn handle_deregistration(state: &mut ControllerState, ticket: u64, id: InstanceId) {
    if !may_acknowledge(state) {
        reject(state, ticket);
        return;
    }
    state.instances.end(state.now, &id);
    let requirements = Requirements {
        confirmations: confirmations_needed(state),
        owner_manager: None,
    };
    let number = begin_call(state, ticket, requirements, HeartbeatResponse::default());
    if requirements.confirmations > 0 {
        ask_for_confirmation(state, number, Fact::Deregistered(id));
    }
}

/// Acknowledges a call, or lets it wait for what it requires. Returns the call's number.
fn begin_call(
    state: &mut ControllerState,
    ticket: u64,
    requirements: Requirements,
    response: HeartbeatResponse,
) -> u64 {
    state.last_instance_call += 1;
    let number = state.last_instance_call;
    let timeout = match requirements.confirmations {
        0 => OWNER_MANAGER_TIMEOUT,
        _ => CONFIRMATION_TIMEOUT,
    };
    let call = PendingInstanceCall {
        ticket,
        number,
        until: state.now + timeout,
        confirmations_needed: requirements.confirmations,
        confirmed_by: BTreeSet::new(),
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

/// Whether this controller may acknowledge facts: it heard a majority of the voters a moment ago.
///
/// What it takes in alone nobody else learns of, and instances that it keeps to itself are deregistered by
/// all others.
pub fn may_acknowledge(state: &ControllerState) -> bool {
    state.injects(FaultInjection::AcknowledgesWithoutQuorum) || state.has_quorum_contact()
}

/// How many other voters make a majority together with this controller.
fn confirmations_needed(state: &ControllerState) -> usize {
    if state.injects(FaultInjection::AcknowledgesWithoutQuorum) {
        return 0;
    }
    let majority = state.voters().map_or(0, VoterSet::majority);
    majority.saturating_sub(usize::from(state.is_voter()))
}

/// The owner manager that must renew the leases of this heartbeat, if it is another controller.
///
/// With stamps none is asked: then the agents in between forward heartbeats to the owner manager.
fn owner_manager_to_ask(
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
        again: resend == Resend::WithStamp,
    };
    state.respond(ticket, OperatorResponse::Heartbeat { response });
}

/// Sends the instance to another controller.
fn reject(state: &mut ControllerState, ticket: u64) {
    state.respond(ticket, OperatorResponse::NotCurrent);
}

/// Asks all other voters to hold a fact.
fn ask_for_confirmation(state: &mut ControllerState, number: u64, fact: Fact) {
    let (heartbeat, ended) = match fact {
        Fact::Draining(heard) => (Some(heard), None),
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

/// Takes a drain or a deregistration in that another controller is about to acknowledge.
///
/// Nothing is confirmed when its age is not known: it may be of an instance that ended long ago.
pub fn handle_confirmation_request(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    number: u64,
    heartbeat: Option<HeardHeartbeat>,
    ended: Option<InstanceId>,
    age: Option<Duration>,
) {
    let Some(age) = age else {
        return;
    };
    if let Some(heard) = heartbeat {
        state.instances.handle(state.now, &heard.aged(age));
    }
    if let Some(id) = ended {
        state.instances.end(state.now, &id);
    }
    state.send(reply_to, Message::FactConfirmed { number });
}

/// Counts another controller that holds a fact which waits for its acknowledgement.
///
/// Only voters count: a majority of them has one in common with every later majority.
pub fn handle_confirmation(state: &mut ControllerState, from: NodeId, number: u64) {
    let is_voter = state
        .voters()
        .is_some_and(|voters| voters.holder(from).is_some());
    if !is_voter {
        return;
    }
    if let Some(call) = waiting_call(state, number) {
        call.confirmed_by.insert(from);
        acknowledge_complete_calls(state);
    }
}

/// Takes the owner manager's response to a heartbeat that was forwarded to it.
pub fn handle_owner_manager_response(
    state: &mut ControllerState,
    number: u64,
    response: HeartbeatResponse,
) {
    if let Some(call) = waiting_call(state, number) {
        call.awaits_owner_manager = false;
        call.response = response;
        acknowledge_complete_calls(state);
    }
}

fn waiting_call(state: &mut ControllerState, number: u64) -> Option<&mut PendingInstanceCall> {
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

/// Answers the calls that timed out: a heartbeat was heard and only no lease is renewed; a fact that too
/// few others confirmed is rejected, so that the instance takes it elsewhere.
pub fn respond_to_late_calls(state: &mut ControllerState) {
    let now = state.now;
    let (late, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut state.instance_calls)
        .into_iter()
        .partition(|call| now >= call.until);
    state.instance_calls = waiting;
    for call in late {
        if call.is_confirmed() {
            let response = HeartbeatResponse::default();
            acknowledge(state, call.ticket, response, Resend::NotNeeded);
        } else {
            reject(state, call.ticket);
        }
    }
}

/// Answers a heartbeat that another node forwarded. Silence sends it elsewhere.
pub fn handle_forwarded_heartbeat(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    ticket: u64,
    heard: HeardHeartbeat,
    age: Option<Duration>,
) {
    if !may_acknowledge(state) {
        return;
    }
    let response = take_heartbeat(state, heard, age);
    state.send(reply_to, Message::HeartbeatReply { ticket, response });
}

/// Takes a heartbeat in, and gives the response to it.
///
/// Nothing is taken in of one whose age is not known or too high: it may be of an instance that ended long
/// ago. One that has deregistered gets no leases: a late heartbeat must not prolong them.
fn take_heartbeat(
    state: &mut ControllerState,
    heard: HeardHeartbeat,
    age: Option<Duration>,
) -> HeartbeatResponse {
    let heard = age.map(|age| heard.aged(age));
    let span = state.instances.span;
    let recent = heard.filter(|heard| heard.age < span);
    let Some(heard) = recent else {
        return HeartbeatResponse::default();
    };
    state.instances.handle(state.now, &heard);
    if state.instances.has_ended(&heard.heartbeat.id) {
        return HeartbeatResponse::default();
    }
    ownership::respond_to_heartbeat(state, &heard.heartbeat)
}
