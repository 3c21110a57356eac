//! Fencing: a leader's writes carry its epoch, so that writes from a term that has ended are rejected.

use crate::leadership::own_changes::{single_put, term_key};
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use caperworks::identifiers::Epoch;
use caperworks::leadership::VOTER_MANAGEMENT;
use caperworks::map_items::{LeadershipTerm, Value};
use caperworks::replicated_map::{Change, Guard, MapName, FENCE};

/// Returns the guard that a leader's write to a map must carry, once the map is fenced under its epoch.
///
/// If the fence is older, this proposes a new one and returns `None` until it is committed. Returns `None`
/// as well while this controller's replica is not current, and permanently once a later term has fenced the
/// map.
pub(super) fn guard_by_fence(
    state: &mut ControllerState,
    map: MapName,
    epoch: Epoch,
) -> Option<Guard> {
    if !state.is_current(map) {
        return None;
    }
    let current_epoch = state.map(map).fence().map_or(Epoch(0), |term| term.epoch);
    let expected = state.map(map).item_version(FENCE);
    if current_epoch == epoch {
        return Some(Guard {
            key: FENCE.to_string(),
            expected,
        });
    }
    if current_epoch < epoch && !state.has_proposal_in_flight(&ProposalOrigin::Fence(map)) {
        let term = LeadershipTerm {
            leader: state.node,
            epoch,
        };
        let value = Value::Leadership { term };
        let change = single_put(state, "fence", FENCE.to_string(), expected, value);
        state.propose(map, ProposalOrigin::Fence(map), change);
    }
    None
}

/// Adds a guard that rejects the change once the voter management role has changed hands.
pub(super) fn guard_by_voter_management(state: &ControllerState, change: &mut Change) {
    let key = term_key(VOTER_MANAGEMENT);
    let expected = state.map(MapName::Membership).item_version(&key);
    change.guards.push(Guard { key, expected });
}
