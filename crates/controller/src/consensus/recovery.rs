//! Recovery of changes that a proposer left undecided: accepted by at least one voter but never committed on
//! this node.

use std::time::Duration;

use crate::state::ControllerState;
use caperworks::identifiers::mix;
use caperworks::replicated_map::MapName;

/// Time that a change may be undecided before this node starts its recovery.
const UNDECIDED_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper bound of the additional wait that depends on the node ID, in milliseconds.
const MAX_EXTRA_WAIT_MS: u64 = 200;

/// Returns whether this node should start the recovery of an undecided change of a map now.
///
/// The wait depends on the node ID, so that the controllers do not all try to recover the same change at
/// the same time. The wait starts again after each recovery.
pub(super) fn is_recovery_due(state: &mut ControllerState, name: MapName) -> bool {
    let index = name.index();
    if !has_undecided_change(state, name) {
        state.undecided_since[index] = None;
        return false;
    }
    let since = *state.undecided_since[index].get_or_insert(state.now);
    let extra_wait = Duration::from_millis(mix(state.node.0) % MAX_EXTRA_WAIT_MS);
    let is_due = state.now.saturating_sub(since) >= UNDECIDED_TIMEOUT + extra_wait;
    if is_due {
        state.undecided_since[index] = None;
    }
    is_due
}

/// Returns whether the local voter has accepted a change that is not committed here, or a majority may have
/// a later version than this node.
fn has_undecided_change(state: &ControllerState, name: MapName) -> bool {
    let local_version = state.map(name).version;
    let is_behind = state
        .quorum_reads
        .latest(state.now)
        .is_some_and(|quorum_read| quorum_read.versions[name.index()] > local_version);
    is_behind || state.voter.replica(name).accepted.is_some()
}
