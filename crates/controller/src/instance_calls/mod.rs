//! Instances' calls: heartbeats, drains and deregistrations.
//!
//! A call is acknowledged only while this controller has recent contact to a majority of the voters, so that
//! a partitioned controller immediately sends its instances elsewhere. What limits the requests that an instance
//! may get must not be lost with one controller: [`confirmations`] says who must have it before the
//! acknowledgement, and [`pending`] keeps the calls that wait for that.

use std::net::SocketAddr;
use std::time::Duration;

use crate::deregistrations;
use crate::deregistrations::synced_confirmation;
use crate::fault_injection::FaultInjection;
use crate::instance_calls::confirmations::{
    confirmation_quorum, handle_confirmation, request_confirmations, ConfirmationQuorum,
    Durability, Fact,
};
use crate::instance_calls::pending::{acknowledge, begin_call, reject, Requirements, Resend};
use crate::leadership::ownership;
use crate::state::ControllerState;
use crate::state_machine::event::{DeregistrationSource, Event};
use caperworks::deregistrations::ReceivedDeregistration;
use caperworks::envelope_clock::Echo;
use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::InstanceId;
use caperworks::messages::Message;
use caperworks::ownership::HeartbeatResponse;
use caperworks::replicated_map::MapName;

pub mod confirmations;
pub mod pending;

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

/// Returns whether this controller may acknowledge facts, which requires recent contact to a majority of the
/// voters.
///
/// Facts recorded by a partitioned controller reach no other controller, and the others would deregister the
/// instances that send their heartbeats only to it.
pub fn may_acknowledge(state: &ControllerState) -> bool {
    state.injects(FaultInjection::AcknowledgesWithoutQuorum) || state.has_quorum_contact()
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
    if state.instances.has_deregistered(&heartbeat.id) {
        let (id, counter) = (heartbeat.id.clone(), heartbeat.counter);
        state.log_event(Event::LateHeartbeatIgnored { id, counter });
        return HeartbeatResponse::default();
    }
    ownership::respond_to_heartbeat(state, &received.heartbeat)
}
