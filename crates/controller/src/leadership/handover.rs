//! Handover of leadership roles and state before a graceful shutdown completes.

use crate::leadership::own_changes::{propose_term, term_key};
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use caperworks::identifiers::{Epoch, NodeId};
use caperworks::map_items::LeadershipTerm;
use caperworks::replicated_map::MapName;

/// Transfers a leadership role to the first other controller that is alive and has synced everything that
/// this one has. While there is none, the role stays here.
pub(super) fn hand_over(state: &mut ControllerState, name: &'static str, epoch: Epoch) {
    if state.has_proposal_in_flight(&ProposalOrigin::Leadership(name)) {
        return;
    }
    let required = state.versions();
    let successor = other_controller_voters(state).find(|node| state.has_synced(*node, &required));
    let Some(successor) = successor else {
        return;
    };
    let term = LeadershipTerm {
        leader: successor,
        epoch: epoch.next(),
    };
    let expected = state.map(MapName::Membership).item_version(&term_key(name));
    propose_term(state, name, term, expected);
}

/// Returns how many other controllers with a vote are alive and have synced everything that this one has.
pub fn synced_replica_count(state: &ControllerState) -> usize {
    let required = state.versions();
    other_controller_voters(state)
        .filter(|node| state.has_synced(*node, &required))
        .count()
}

/// Returns how many other controllers must have the state before this one stops: as many as are required to
/// confirm a change to an operator, since this controller's disk may never come back.
pub fn required_replica_count(state: &ControllerState) -> usize {
    let others = other_controller_voters(state).count();
    state
        .options
        .core
        .synced_controllers
        .unwrap_or(1)
        .min(others)
}

fn other_controller_voters(state: &ControllerState) -> impl Iterator<Item = NodeId> + '_ {
    state
        .voters()
        .into_iter()
        .flat_map(|voters| &voters.entries)
        .filter(|voter| voter.controller && voter.node != state.node)
        .map(|voter| voter.node)
}
