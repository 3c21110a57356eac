//! Confirmations of facts about instances: what limits an instance's requests is acknowledged only once enough voters
//! have it.
//!
//! Instances repeat drains and warm-ups with each heartbeat, so memory is enough for these; a deregistration is said
//! once and has to be on the controllers' disks.

use std::net::SocketAddr;
use std::time::Duration;

use crate::deregistrations;
use crate::deregistrations::synced_confirmation;
use crate::fault_injection::FaultInjection;
use crate::instance_calls::pending::{acknowledge_complete_calls, pending_call};
use crate::state::ControllerState;
use crate::state_machine::event::DeregistrationSource;
use caperworks::deregistrations::ReceivedDeregistration;
use caperworks::facts::ReceivedHeartbeat;
use caperworks::identifiers::{InstanceId, NodeId};
use caperworks::map_items::VoterSet;
use caperworks::messages::Message;
use caperworks::replicated_map::MapName;

/// Number of controllers that must confirm a fact, unless the options require another or there are fewer.
const DEFAULT_CONFIRMING_CONTROLLERS: usize = 2;

/// Who must have confirmed a fact before it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct ConfirmationQuorum {
    /// Number of voters: a majority, so that each later majority includes one of them.
    pub(super) voters: usize,
    /// Number of controllers among them: one more than may be lost at once.
    pub(super) controllers: usize,
    pub(super) durability: Durability,
}

/// Where a controller must have stored a fact that it confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Durability {
    #[default]
    Memory,
    Disk,
}

/// A fact that other controllers must have before it is acknowledged.
#[derive(Debug, Clone)]
pub(super) enum Fact {
    /// A heartbeat that limits the requests that the instance may get.
    Limit(ReceivedHeartbeat),
    Deregistered(InstanceId),
}

/// Returns who must have confirmed a fact before it is acknowledged.
///
/// As many controllers as the options require; by default two, so that the fact is not lost with one of them.
pub(super) fn confirmation_quorum(
    state: &ControllerState,
    durability: Durability,
) -> ConfirmationQuorum {
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

/// Requests all other voters to store a fact.
pub(super) fn request_confirmations(state: &mut ControllerState, number: u64, fact: Fact) {
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
        call.record_confirmation(from, is_controller, synced == Some(true));
        acknowledge_complete_calls(state);
    }
}
