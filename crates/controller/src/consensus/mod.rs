//! Consensus among the controllers: for each replicated map, a majority of the voters chooses one change
//! after the other.
//!
//! The protocol itself is in `caperworks::consensus`. This module connects its messages to the disk, the
//! network and the rest of the controller. [`proposals`] drives the proposers, [`recovery`] finds changes that
//! were left undecided, [`snapshot_transfer`] brings replicas up to date, [`quorum_reads`] determines which
//! versions a majority has, and [`founding`] creates the first membership.

use std::net::SocketAddr;

use crate::consensus::snapshot_transfer::Delivery;
use crate::leadership::voter_log;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use crate::state_machine::output::ControllerOutput;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::identifiers::{NodeId, Version};
use caperworks::messages::Message;
use caperworks::replicated_map::MapName;

pub mod founding;
pub mod proposals;
pub mod quorum_reads;
pub mod recovery;
pub mod snapshot_transfer;

/// Handles a consensus message as a voter, as a proposer, or as a replica that is catching up.
///
/// A node that is not a voter, or whose disk is failing, ignores prepare and accept requests because it
/// could not keep the promise.
pub fn handle_message(
    state: &mut ControllerState,
    from: NodeId,
    reply_to: SocketAddr,
    message: ConsensusMessage,
) {
    match message {
        ConsensusMessage::Prepare { .. } | ConsensusMessage::Accept { .. }
            if !state.is_voter() || state.storage.is_failing() => {}
        ConsensusMessage::CatchUp {
            map,
            after,
            position: Some(position),
        } => snapshot_transfer::send_chunk(state, reply_to, map, after, position),
        ConsensusMessage::Chunk { chunk } => {
            if let Some(snapshot) = snapshot_transfer::receive_chunk(state, reply_to, chunk) {
                handle_as_voter(state, reply_to, snapshot);
            }
        }
        ConsensusMessage::Promise { map, .. }
        | ConsensusMessage::Accepted { map, .. }
        | ConsensusMessage::Reject { map, .. } => {
            proposals::handle_response(state, from, map, &message);
        }
        message => handle_as_voter(state, reply_to, message),
    }
}

/// Passes a message to the voter, writes the resulting changes to disk, and sends the voter's replies once
/// the write is synced.
fn handle_as_voter(state: &mut ControllerState, reply_to: SocketAddr, message: ConsensusMessage) {
    let updated_map = match &message {
        ConsensusMessage::Updates { map, .. } | ConsensusMessage::Snapshot { map, .. } => {
            Some(*map)
        }
        _ => None,
    };
    let delivery = match message {
        ConsensusMessage::CatchUp { .. } => Delivery::Requested,
        _ => Delivery::Unrequested,
    };
    let membership_before = state.map(MapName::Membership).version;
    let outcome = state.voter.handle(message);
    let mut replies = outputs_of_replies(state, reply_to, delivery, outcome.replies);
    if outcome.rewrite {
        state.write_snapshot(std::mem::take(&mut replies));
    } else if !outcome.records.is_empty() {
        state.write_records(&outcome.records, std::mem::take(&mut replies));
    }
    state.outputs.append(&mut replies);
    if let Some(map) = updated_map {
        snapshot_transfer::continue_catch_up(state, map, outcome.advanced.contains(&map));
    }
    for map in outcome.advanced {
        handle_new_version(state, map, membership_before);
    }
}

/// Handles a new version of a map. A new membership resets the quorum reads and makes the next one due
/// immediately: until a quorum read among the new voters completes, no map can be considered current.
fn handle_new_version(state: &mut ControllerState, map: MapName, membership_before: Version) {
    let version = state.map(map).version;
    state.log_event(Event::MapUpdated { map, version });
    if map == MapName::Membership {
        state.quorum_reads.reset(membership_before);
        state.next_quorum_read_at = state.now;
        voter_log::log_changed_voters(state);
    }
}

/// Converts the voter's replies to outputs. Catch-up requests start a transfer instead, and full maps are
/// rate limited.
fn outputs_of_replies(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    delivery: Delivery,
    replies: Vec<ConsensusMessage>,
) -> Vec<ControllerOutput> {
    let mut outputs = Vec::new();
    for reply in replies {
        if let ConsensusMessage::CatchUp { map, after, .. } = reply {
            snapshot_transfer::begin_catch_up(state, reply_to, map, after.next());
        } else if snapshot_transfer::may_send(state, reply_to, delivery, &reply) {
            outputs.push(ControllerOutput::Send {
                to: reply_to,
                message: Message::ConsensusMessage { message: reply },
            });
        }
    }
    outputs
}
