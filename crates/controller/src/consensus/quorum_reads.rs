//! Quorum reads (read index): each voter is asked which versions it holds, and the highest that a
//! majority reports is the least that this controller must hold to be current.
//!
//! Invariant: a quorum read counts for what was accepted before it began. So whoever needs to be current
//! as of a moment waits for a read that began later.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::snapshot_transfer;
use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use caperworks::identifiers::{NodeId, Version};
use caperworks::map_items::VoterSet;
use caperworks::messages::Message;
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// How often a quorum read begins of itself.
const QUORUM_READ_PERIOD: Duration = Duration::from_millis(200);

/// Begins a quorum read when the period is over.
pub fn tick(state: &mut ControllerState) {
    if state.now < state.next_quorum_read_at {
        return;
    }
    state.next_quorum_read_at = state.now + QUORUM_READ_PERIOD;
    begin(state);
}

/// Begins a quorum read. Returns its number.
///
/// Controllers that are no voters are asked too: they take part in what is heard of late.
pub fn begin(state: &mut ControllerState) -> u64 {
    let number = state.quorum_reads.begin(state.now);
    let voters = state.map(MapName::Membership).voter_addresses(false);
    let mut asked: BTreeSet<SocketAddr> = voters.into_iter().collect();
    asked.extend(state.other_controllers());
    for to in asked {
        state.send(to, Message::QuorumReadRequest { number });
    }
    number
}

/// Responds to another controller's quorum read.
///
/// A node without a membership stays silent, and so does one that received a snapshot that is not synced:
/// it does not count as holding it.
pub fn handle_request(state: &mut ControllerState, reply_to: SocketAddr, number: u64) {
    let is_founded = state.map(MapName::Membership).version > Version(0);
    if !is_founded || state.storage.has_unsynced_snapshot() {
        return;
    }
    let versions = state.voter.highest_possible();
    let synced = if state.injects(FaultInjection::UnsyncedSnapshot) {
        state.versions()
    } else {
        state.storage.synced_versions().to_vec()
    };
    let response = Message::QuorumReadResponse {
        number,
        versions,
        synced: Some(synced),
    };
    state.send(reply_to, response);
}

/// Records which versions a node holds, by which it may take up a role, and which of them are on its disk,
/// by which it may join the voters or be handed a role.
pub fn record_versions(
    state: &mut ControllerState,
    from: NodeId,
    versions: &[Version],
    synced: Option<Vec<Version>>,
) {
    let own = state.versions();
    let is_level = versions.iter().zip(&own).all(|(theirs, own)| theirs >= own);
    state.liveness.handle_level(state.now, from, is_level);
    state
        .heard_versions
        .insert(from, synced.unwrap_or_default());
}

/// Handles a response to a quorum read of this controller, and catches up with what it tells of.
///
/// Only voters count towards the majority. A response with the wrong number of maps is ignored.
pub fn handle_response(
    state: &mut ControllerState,
    from: NodeId,
    reply_to: SocketAddr,
    number: u64,
    versions: Vec<Version>,
) {
    if versions.len() != ALL_MAPS.len() {
        return;
    }
    state.liveness.handle(state.now, from);
    for name in ALL_MAPS {
        let theirs = versions[name.index()];
        if theirs > state.voter.replica(name).highest_possible() {
            snapshot_transfer::begin_catch_up(state, reply_to, name, theirs);
        }
    }
    let majority = state
        .voters()
        .filter(|voters| voters.holder(from).is_some())
        .map(VoterSet::majority);
    if let Some(majority) = majority {
        state.quorum_reads.respond(from, number, versions, majority);
    }
}
