//! The voter management role: sees to it that the votes are with nodes that live, one change at a time.
//!
//! Invariants: a change adds or removes one voter, so that every majority before it meets every majority
//! after it; it is proposed only when the living voters are a majority of the new set; and all maps are
//! repaired first, so that nothing that the voters before half agreed on is lost.

use std::time::Duration;

use crate::agents;
use crate::leadership::fencing::guard_by_voter_management;
use crate::leadership::majority_loss::is_replaced;
use crate::leadership::own_changes::single_put;
use crate::leadership::voter_candidates::{has_voter_in, waiting_controller, waiting_witness};
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::consensus::proposer::ensure_recovered;
use caperworks::identifiers::NodeId;
use caperworks::map_items::{Value, VoterEntry, VoterSet};
use caperworks::replicated_map::{Change, MapName, FALLBACK_MEMBERS};

/// How long a witness may be silent: then it has lost what it knew or is about to.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(4000);
/// How often a change of voters that cannot be made is logged.
const REJECTION_LOG_PERIOD: Duration = Duration::from_secs(5);
/// The item of the membership that lists the voters.
const VOTERS: &str = "seats";

/// A change of one voter.
struct VoterChange {
    /// The voters after it.
    next: VoterSet,
    /// Why it is due, for the log.
    reason: String,
}

/// Proposes the next change of voters when one is due, and else the next roster.
pub(super) fn manage_voters(state: &mut ControllerState, held: Duration) {
    if held < state.options.core.listen
        || state.has_proposal_in_flight(&ProposalOrigin::VoterManagement)
        || !state.is_current(MapName::Membership)
    {
        return;
    }
    let Some(voters) = state.voters().cloned() else {
        return;
    };
    record_lost_voters(state, &voters);
    match next_change(state, &voters) {
        Some(change) if !has_living_majority(state, &change.next) => log_rejection(state, change),
        Some(change) => {
            if repair_all_maps(state) {
                propose_voters(state, change);
            }
        }
        None => propose_next_fallback_members(state),
    }
}

/// Records since when each voter is lost: from when it was last heard, since whoever had the role before
/// has listened for long already.
fn record_lost_voters(state: &mut ControllerState, voters: &VoterSet) {
    let now = state.now;
    for voter in &voters.holders {
        let lost_since = &mut state.voter_management.lost_since;
        if voter.node == state.node || state.liveness.alive(now, voter.node) {
            lost_since.remove(&voter.node);
        } else {
            let since = state.liveness.last_heard(voter.node).unwrap_or(now);
            lost_since.entry(voter.node).or_insert(since);
        }
    }
}

/// Whether the living voters are a majority: a change that leaves fewer stops the core.
fn has_living_majority(state: &ControllerState, voters: &VoterSet) -> bool {
    living_voters(state, voters) >= voters.majority()
}

fn living_voters(state: &ControllerState, voters: &VoterSet) -> usize {
    voters
        .holders
        .iter()
        .filter(|voter| !state.voter_management.lost_since.contains_key(&voter.node))
        .count()
}

fn log_rejection(state: &mut ControllerState, change: VoterChange) {
    let VoterChange { next, reason } = change;
    let management = &mut state.voter_management;
    if state.now < management.rejection_logged_at + REJECTION_LOG_PERIOD {
        return;
    }
    management.rejection_logged_at = state.now;
    let living = living_voters(state, &next);
    let why = format!("{reason}: {living} living of {}", next.holders.len());
    state.log_event(Event::VoterChangeRejected { why });
}

/// Whether nothing is undecided in any map under the present voters; if not, has it finished.
fn repair_all_maps(state: &mut ControllerState) -> bool {
    let membership = state.map(MapName::Membership).version;
    let mut is_settled = true;
    for proposer in &mut state.proposers {
        is_settled &= ensure_recovered(proposer, membership);
    }
    is_settled
}

fn propose_voters(state: &mut ControllerState, change: VoterChange) {
    let why = change.reason;
    state.log_event(Event::VoterChangeProposed { why });
    let expected = state.map(MapName::Membership).present(VOTERS);
    let value = Value::VoterSet {
        voters: change.next,
    };
    let mut change = single_put(state, VOTERS, VOTERS.to_string(), expected, value);
    guard_by_voter_management(state, &mut change);
    state.propose(MapName::Membership, ProposalOrigin::VoterManagement, change);
}

fn propose_next_fallback_members(state: &mut ControllerState) {
    if let Some(fallback_members) = agents::next_fallback_members(state) {
        let change = fallback_members_change(state, Value::FallbackMembers { fallback_members });
        state.propose(MapName::Membership, ProposalOrigin::VoterManagement, change);
    }
}

/// A change of the roster, from the present one.
pub fn fallback_members_change(state: &mut ControllerState, value: Value) -> Change {
    let expected = state.map(MapName::Membership).present(FALLBACK_MEMBERS);
    let mut change = single_put(
        state,
        FALLBACK_MEMBERS,
        FALLBACK_MEMBERS.to_string(),
        expected,
        value,
    );
    guard_by_voter_management(state, &mut change);
    change
}

/// The next single change of voters, if one is due: the first of the kinds in this sequence.
fn next_change(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    add_controller(state, voters)
        .or_else(|| remove_lost_witness(state, voters))
        .or_else(|| remove_lost_controller(state, voters))
        .or_else(|| remove_crowded_witness(state, voters))
        .or_else(|| add_witness(state, voters))
}

/// A controller that waits becomes a voter while there are too few controllers among the voters.
fn add_controller(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let controllers = voters
        .holders
        .iter()
        .filter(|voter| voter.controller)
        .count();
    if controllers >= state.options.core.controller_voters {
        return None;
    }
    let newcomer = waiting_controller(state, voters)?;
    let reason = format!("controller {} is new", newcomer.node);
    Some(with_voter(voters, newcomer, reason))
}

/// A witness that is draining or silent for too long is removed.
fn remove_lost_witness(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let lost = voters.holders.iter().find(|voter| {
        let is_draining = state
            .members
            .iter()
            .any(|member| member.node == voter.node && member.draining);
        !voter.controller && (is_draining || lost_for(state, voter.node) >= WITNESS_TIMEOUT)
    })?;
    let reason = format!("witness {} is lost", lost.node);
    Some(without_voter(voters, lost.node, reason))
}

/// A controller that is lost is removed, at once when another node answers at its address, since it cannot
/// come back there; but only for another that waits: its disk is worth its vote as long as nobody can
/// replace it.
fn remove_lost_controller(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let timeout = state.options.core.controller_lost;
    let lost = voters.holders.iter().find(|voter| {
        let is_silent = lost_for(state, voter.node) >= timeout;
        voter.controller && (is_replaced(state, voter) || is_silent)
    })?;
    waiting_controller(state, voters)?;
    let reason = format!("controller {} is lost and another waits", lost.node);
    Some(without_voter(voters, lost.node, reason))
}

/// A witness that shares its zone with another voter is removed when one waits in a zone without a voter:
/// two voters in one zone are lost together.
fn remove_crowded_witness(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let crowded = voters.holders.iter().find(|voter| {
        let shares_zone = |other: &VoterEntry| other.node != voter.node && other.zone == voter.zone;
        !voter.controller && voters.holders.iter().any(shares_zone)
    })?;
    let waiting = waiting_witness(state, voters)?;
    if has_voter_in(voters, &waiting.zone) {
        return None;
    }
    let reason = format!("witness {} crowds {}", crowded.node, crowded.zone);
    Some(without_voter(voters, crowded.node, reason))
}

/// A witness becomes a voter while there are too few voters.
fn add_witness(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let core = &state.options.core;
    let wanted = core.controller_voters + core.witness_voters;
    if core.witness_voters == 0 || voters.holders.len() >= wanted {
        return None;
    }
    let witness = waiting_witness(state, voters)?;
    let reason = format!("witness {} in {}", witness.node, witness.zone);
    Some(with_voter(voters, witness, reason))
}

fn with_voter(voters: &VoterSet, newcomer: VoterEntry, reason: String) -> VoterChange {
    let mut next = voters.clone();
    next.holders.push(newcomer);
    VoterChange { next, reason }
}

fn without_voter(voters: &VoterSet, lost: NodeId, reason: String) -> VoterChange {
    let mut next = voters.clone();
    next.holders.retain(|voter| voter.node != lost);
    VoterChange { next, reason }
}

/// How long a voter has been lost.
fn lost_for(state: &ControllerState, node: NodeId) -> Duration {
    state
        .voter_management
        .lost_since
        .get(&node)
        .map_or(Duration::ZERO, |since| state.now.saturating_sub(*since))
}
