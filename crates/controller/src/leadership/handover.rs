//! Handover of leadership roles, of the vote and of state before a graceful shutdown completes.

use std::time::Duration;

use crate::leadership::own_changes::{propose_term, term_key};
use crate::leadership::voter_candidates::has_successor;
use crate::state::parts::ProposalOrigin;
use crate::state::replicas::MAX_REPLICA_LAG;
use crate::state::ControllerState;
use caperworks::identifiers::{Epoch, NodeId, Version};
use caperworks::map_items::LeadershipTerm;
use caperworks::replicated_map::MapName;

/// Transfers a leadership role to the first other controller that is alive and has synced the required versions.
/// While there is none, the role stays here.
pub(super) fn hand_over(state: &mut ControllerState, name: &'static str, epoch: Epoch) {
    if state.has_proposal_in_flight(&ProposalOrigin::Leadership(name)) {
        return;
    }
    let required = required_versions(state);
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

/// Returns how many other controllers with a vote are alive and have synced the required versions.
pub fn synced_replica_count(state: &ControllerState) -> usize {
    let required = required_versions(state);
    other_controller_voters(state)
        .filter(|node| state.has_synced(*node, &required))
        .count()
}

/// Returns what another controller must have synced: everything that this one had when its shutdown began, and
/// later what it had [`MAX_REPLICA_LAG`] ago. While changes go on, no other controller has what this one has at
/// the same moment.
fn required_versions(state: &ControllerState) -> Vec<Version> {
    let stopping_for = state
        .stopping_since
        .map_or(Duration::ZERO, |since| state.now.saturating_sub(since));
    state.versions_before(stopping_for.min(MAX_REPLICA_LAG))
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

/// Returns whether another controller is about to take this one's place among the voters: until it has a vote, the
/// next loss may leave no majority.
pub fn is_handing_over_vote(state: &ControllerState) -> bool {
    let Some(voters) = state.voters() else {
        return false;
    };
    let others = other_controller_voters(state).count();
    let is_needed = others < state.options.core.controller_voters;
    is_needed && has_successor(state, voters)
}

fn other_controller_voters(state: &ControllerState) -> impl Iterator<Item = NodeId> + '_ {
    state
        .voters()
        .into_iter()
        .flat_map(|voters| &voters.entries)
        .filter(|voter| voter.controller && voter.node != state.node)
        .map(|voter| voter.node)
}
