//! Catch-up of replicas that are behind, by individual changes or by snapshots sent in chunks.

use std::net::SocketAddr;

use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::catch_up::{CatchUpRequest, ChunkOutcome, SnapshotChunk, TransferPosition};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::identifiers::Version;
use caperworks::messages::Message;
use caperworks::replicated_map::MapName;

/// Whether the receiver requested a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    Requested,
    Unrequested,
}

/// Returns whether a message may be sent. A full map in a single message goes only to a node that does not
/// request chunks, and is rate limited.
///
/// Controllers do not receive unrequested full maps: a quorum read shows them that they are behind, and they
/// then request what is missing.
pub(super) fn may_send(
    state: &mut ControllerState,
    to: SocketAddr,
    delivery: Delivery,
    message: &ConsensusMessage,
) -> bool {
    if !matches!(message, ConsensusMessage::Snapshot { .. }) {
        return true;
    }
    let is_wanted = delivery == Delivery::Requested || !state.other_controllers().contains(&to);
    is_wanted && state.full_map_limit.admits(state.now, to, message)
}

/// Sends the requested chunk of a snapshot, or the changes that the other node is missing.
pub(super) fn send_chunk(
    state: &mut ControllerState,
    to: SocketAddr,
    map: MapName,
    after: Version,
    position: TransferPosition,
) {
    let message = state
        .snapshots
        .respond(state.now, &state.voter, map, after, position);
    state.send(to, Message::ConsensusMessage { message });
}

/// Stores a chunk of a snapshot and requests the next one. Returns the snapshot once it is complete and its
/// digest matches. A chunk that does not belong to the transfer is rejected and logged.
pub(super) fn receive_chunk(
    state: &mut ControllerState,
    from: SocketAddr,
    chunk: SnapshotChunk,
) -> Option<ConsensusMessage> {
    let map = chunk.map;
    let local_version = state.map(map).version;
    match state
        .catch_up
        .handle_chunk(state.now, from, local_version, chunk)
    {
        ChunkOutcome::Next(request) => {
            send_request(state, Some(request));
            None
        }
        ChunkOutcome::Snapshot(full_map) => Some(ConsensusMessage::Snapshot { map, full_map }),
        ChunkOutcome::Rejected(why) => {
            state.log_event(Event::ChunkRejected { map, from, why });
            None
        }
    }
}

/// Begins to fetch the missing changes of a map up to a version, unless that is already in progress.
pub(super) fn begin_catch_up(
    state: &mut ControllerState,
    peer: SocketAddr,
    map: MapName,
    target_version: Version,
) {
    let local_version = state.map(map).version;
    let request =
        state
            .catch_up
            .handle_announcement(state.now, map, local_version, peer, target_version);
    send_request(state, request);
}

/// Continues a catch-up after changes or a snapshot of a map arrived. `has_advanced` is whether they brought
/// the map to a new version.
pub(super) fn continue_catch_up(state: &mut ControllerState, map: MapName, has_advanced: bool) {
    let local_version = state.map(map).version;
    let request = state
        .catch_up
        .handle_changes(state.now, map, local_version, has_advanced);
    send_request(state, request);
}

/// Sends requests to other peers where one has not responded in time, and drops unused encoded snapshots.
pub fn tick(state: &mut ControllerState) {
    state.snapshots.tick(state.now);
    let voter = &state.voter;
    let requests = state.catch_up.tick(state.now, |map| voter.map(map).version);
    for request in requests {
        send_request(state, Some(request));
    }
}

fn send_request(state: &mut ControllerState, request: Option<CatchUpRequest>) {
    if let Some(request) = request {
        let message = request.message();
        state.send(request.to, Message::ConsensusMessage { message });
    }
}
