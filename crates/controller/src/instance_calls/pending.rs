//! Instances' calls that wait for other controllers, and their responses.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::instance_calls::confirmations::{ConfirmationQuorum, Durability};
use crate::state::ControllerState;
use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::identifiers::NodeId;
use caperworks::ownership::{HeartbeatResponse, TimestampedResponse};

/// Time that a heartbeat waits for the owner manager's response.
const OWNER_MANAGER_TIMEOUT: Duration = Duration::from_millis(500);
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
    /// Records the confirmation of a voter, and whether it has synced the fact.
    pub(super) fn record_confirmation(&mut self, from: NodeId, is_controller: bool, synced: bool) {
        self.confirmed_by.insert(from);
        let is_stored = self.needed.durability == Durability::Memory || synced;
        if is_controller && is_stored {
            self.confirmed_by_controllers.insert(from);
        }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_by.len() >= self.needed.voters
            && self.confirmed_by_controllers.len() >= self.needed.controllers
    }

    fn is_complete(&self) -> bool {
        self.is_confirmed() && !self.awaits_owner_manager
    }
}

/// What a call requires before it is acknowledged.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requirements {
    pub(super) confirmations: ConfirmationQuorum,
    pub(super) owner_manager: Option<SocketAddr>,
}

/// Whether an instance must send its heartbeat again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resend {
    /// The heartbeat's age is unknown: it must be sent again with a timestamp of this controller to count.
    WithStamp,
    NotNeeded,
}

/// Acknowledges a call, or keeps it pending until its requirements are met. Returns the call's number.
pub(super) fn begin_call(
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

pub(super) fn acknowledge(
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
pub(super) fn reject(state: &mut ControllerState, ticket: u64) {
    state.respond(ticket, OperatorResponse::NotCurrent);
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

pub(super) fn pending_call(
    state: &mut ControllerState,
    number: u64,
) -> Option<&mut PendingInstanceCall> {
    state
        .instance_calls
        .iter_mut()
        .find(|call| call.number == number)
}

pub(super) fn acknowledge_complete_calls(state: &mut ControllerState) {
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
