//! Quorum reads (read index): each voter reports which versions it has. To be current, this controller must
//! have at least the highest version that a majority reported.
//!
//! Invariant: a quorum read covers only changes that were accepted before it began. A request that must see
//! the state as of some point in time waits for a quorum read that began after that point.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::snapshot_transfer;
use crate::deregistrations;
use crate::fault_injection::FaultInjection;
use crate::state::ControllerState;
use caperworks::consensus::settlement::VoterReport;
use caperworks::deregistrations::DeregistrationDigest;
use caperworks::identifiers::{NodeId, Version};
use caperworks::leadership::MAX_LAG_PERIOD;
use caperworks::map_items::VoterSet;
use caperworks::messages::Message;
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// Interval between periodic quorum reads.
const QUORUM_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Begins a quorum read if the interval since the last one has passed.
pub fn tick(state: &mut ControllerState) {
    if state.now < state.next_quorum_read_at {
        return;
    }
    state.next_quorum_read_at = state.now + QUORUM_READ_INTERVAL;
    begin(state);
}

/// Begins a quorum read and returns its number.
///
/// Controllers that are not voters receive the request too, so that their liveness is tracked as well.
pub fn begin(state: &mut ControllerState) -> u64 {
    let number = state.quorum_reads.begin(state.now);
    let voters = state.map(MapName::Membership).voter_addresses(false);
    let mut recipients: BTreeSet<SocketAddr> = voters.into_iter().collect();
    recipients.extend(state.other_controllers());
    let deregistrations = deregistrations::digest(state);
    for to in recipients {
        let message = Message::QuorumReadRequest {
            number,
            deregistrations,
        };
        state.send(to, message);
    }
    number
}

/// Responds to another controller's quorum read.
///
/// A node without a membership does not respond, and neither does a node with a received snapshot that is
/// not synced yet: the snapshot does not count as stored.
pub fn handle_request(
    state: &mut ControllerState,
    reply_to: SocketAddr,
    number: u64,
    known_deregistrations: Option<DeregistrationDigest>,
) {
    if !state.is_founded() || state.storage.has_unsynced_snapshot() {
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
        shutting_down: state.stopping_since.is_some().then_some(true),
        deregistrations: deregistrations::report_to(state, known_deregistrations),
        merged_under: deregistrations::merged_and_synced_under(state),
    };
    state.send(reply_to, response);
}

/// Records whether a node has begun a graceful shutdown, so that its vote can be given to another.
pub fn record_shutdown(state: &mut ControllerState, from: NodeId, shutting_down: Option<bool>) {
    if shutting_down == Some(true) {
        state.shutting_down.insert(from);
    } else {
        state.shutting_down.remove(&from);
    }
}

/// Records a voter's report for the next change of voters. A witness reports nothing as synced.
pub fn record_settlement(
    state: &mut ControllerState,
    from: NodeId,
    possible: &[Version],
    synced: Option<&[Version]>,
) {
    let synced = synced.unwrap_or_default();
    let membership = state.voter.map(MapName::Membership);
    let report = VoterReport { possible, synced };
    let settlement = &mut state.voter_management.settlement;
    settlement.handle_report(membership, from, report);
}

/// Records which versions a node has, which decide whether it may become leader, and which of them it has
/// synced to disk, which decide whether it may become a voter or receive a role in a handover.
pub fn record_versions(
    state: &mut ControllerState,
    from: NodeId,
    versions: &[Version],
    synced: Option<Vec<Version>>,
) {
    let required = state.versions_before(MAX_LAG_PERIOD);
    let is_behind = versions
        .iter()
        .zip(&required)
        .any(|(theirs, required)| theirs < required);
    state.liveness.record_lag(from, is_behind);
    state
        .reported_synced_versions
        .insert(from, synced.unwrap_or_default());
}

/// Handles a response to one of this controller's quorum reads, and starts catching up with newer versions
/// that it reports.
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
        .filter(|voters| voters.entry(from).is_some())
        .map(VoterSet::majority);
    if let Some(majority) = majority {
        let quorum_reads = &mut state.quorum_reads;
        if quorum_reads.handle_response(from, number, versions, majority) {
            deregistrations::record_merged_majority(state);
        }
    }
}
