//! The voter management role: replaces failed voters by live nodes, one change at a time.
//!
//! Invariants: a change adds or removes a single voter, so that every majority before it intersects every
//! majority after it. It is proposed only if the live voters are a majority of the new set. All maps are
//! settled first, so that no change that the previous voters had partly accepted is lost.

use std::time::Duration;

use crate::agents;
use crate::leadership::fencing::guard_by_voter_management;
use crate::leadership::majority_loss::is_replaced;
use crate::leadership::own_changes::single_put;
use crate::leadership::voter_candidates::{controller_candidate, has_voter_in, witness_candidate};
use crate::leadership::voter_log;
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::consensus::proposer::ensure_recovered;
use caperworks::identifiers::{Epoch, NodeId, Version};
use caperworks::map_items::{Value, VoterEntry, VoterSet};
use caperworks::replicated_map::{Change, MapName, ALL_MAPS, FALLBACK_MEMBERS, VOTERS};

/// A witness that has not responded for this long is replaced: it has lost its state or is about to.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(4000);
/// Interval between log lines about a voter change that cannot be made.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between quorum reads while a change of voters waits for the voters' reports.
const SETTLEMENT_READ_INTERVAL: Duration = Duration::from_millis(50);

/// A change that adds or removes one voter.
struct VoterChange {
    /// The voters after the change.
    next: VoterSet,
    /// The reason for the change, for the log.
    reason: String,
}

/// Proposes the next voter change if one is due, and otherwise the next change of the fallback members.
///
/// Every controller hears of the other controllers and of the agents all the time, whoever leads. So a new
/// leader waits for them only if it has not run for long.
pub(super) fn manage_voters(state: &mut ControllerState, epoch: Epoch, leading_for: Duration) {
    let running_for = state.now.saturating_sub(state.running_since);
    if running_for < state.options.core.collection_period
        || state.has_proposal_in_flight(&ProposalOrigin::VoterManagement)
        || !state.is_current(MapName::Membership)
    {
        return;
    }
    let Some(voters) = state.voters().cloned() else {
        return;
    };
    voter_log::log_start_of_term(state, epoch, leading_for);
    record_lost_voters(state, &voters);
    voter_log::log_waiting_candidates(state, &voters);
    match next_change(state, &voters) {
        Some(change) if !has_live_majority(state, &change.next) => log_rejection(state, change),
        Some(change) => {
            if are_maps_settled(state) {
                propose_voters(state, change);
            }
        }
        None => propose_next_fallback_members(state),
    }
}

/// Records since when each voter has been unreachable. The time counts from the voter's last message rather
/// than from the start of the term, since the previous leader may have waited for it already.
fn record_lost_voters(state: &mut ControllerState, voters: &VoterSet) {
    let now = state.now;
    for voter in &voters.entries {
        let lost_since = &mut state.voter_management.lost_since;
        if voter.node == state.node || state.liveness.is_alive(now, voter.node) {
            lost_since.remove(&voter.node);
        } else {
            let since = state.liveness.last_seen(voter.node).unwrap_or(now);
            lost_since.entry(voter.node).or_insert(since);
        }
    }
}

/// Returns whether the live voters are a majority of the set. With fewer, consensus would stop.
fn has_live_majority(state: &ControllerState, voters: &VoterSet) -> bool {
    live_voter_count(state, voters) >= voters.majority()
}

fn live_voter_count(state: &ControllerState, voters: &VoterSet) -> usize {
    voters
        .entries
        .iter()
        .filter(|voter| !state.voter_management.lost_since.contains_key(&voter.node))
        .count()
}

fn log_rejection(state: &mut ControllerState, change: VoterChange) {
    let VoterChange { next, reason } = change;
    let management = &mut state.voter_management;
    if state.now < management.rejection_logged_at + REJECTION_LOG_INTERVAL {
        return;
    }
    management.rejection_logged_at = state.now;
    let live = live_voter_count(state, &next);
    let why = format!("{reason}: {live} live voters of {}", next.entries.len());
    state.log_event(Event::VoterChangeRejected { why });
}

/// Returns whether nothing that the voters before may have decided is missing at the present ones.
///
/// The reports of the voters show it, which this controller requests more often until they do. They do not if
/// the majority includes witnesses, which have no disk: then all maps are recovered by proposals.
fn are_maps_settled(state: &mut ControllerState) -> bool {
    let membership = state.map(MapName::Membership);
    let settlement = &state.voter_management.settlement;
    if settlement.is_settled(membership) {
        return true;
    }
    let required = settlement.required(membership).map(<[Version]>::to_vec);
    let has_witness = state
        .voters()
        .is_some_and(|voters| voters.entries.iter().any(|voter| !voter.controller));
    let next_read = state.now + SETTLEMENT_READ_INTERVAL;
    state.next_quorum_read_at = state.next_quorum_read_at.min(next_read);
    commit_possible_changes(state, required.as_deref());
    has_witness && recover_all_maps(state)
}

/// Requests the recovery of maps in which a change may be accepted and is not committed here.
fn commit_possible_changes(state: &mut ControllerState, required: Option<&[Version]>) {
    let own = state.versions();
    for name in ALL_MAPS {
        let index = name.index();
        if required.is_some_and(|required| required[index] > own[index]) {
            state.proposers[index].request_recovery();
        }
    }
}

/// Returns whether no map has an undecided change under the current voters, and requests the recovery of
/// those that may have one.
fn recover_all_maps(state: &mut ControllerState) -> bool {
    let membership = state.map(MapName::Membership).version;
    let mut are_recovered = true;
    for proposer in &mut state.proposers {
        are_recovered &= ensure_recovered(proposer, membership);
    }
    are_recovered
}

fn propose_voters(state: &mut ControllerState, change: VoterChange) {
    let why = change.reason;
    state.log_event(Event::VoterChangeProposed { why });
    let expected = state.map(MapName::Membership).item_version(VOTERS);
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

/// Returns a change that replaces the current fallback members.
pub fn fallback_members_change(state: &mut ControllerState, value: Value) -> Change {
    let expected = state
        .map(MapName::Membership)
        .item_version(FALLBACK_MEMBERS);
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

/// Returns the next voter change if one is due. The kinds of change are tried in order of priority.
fn next_change(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    add_controller(state, voters)
        .or_else(|| remove_lost_witness(state, voters))
        .or_else(|| remove_lost_controller(state, voters))
        .or_else(|| remove_colocated_witness(state, voters))
        .or_else(|| add_witness(state, voters))
}

/// Adds a candidate controller while there are too few controllers among the voters.
fn add_controller(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let controllers = voters
        .entries
        .iter()
        .filter(|voter| voter.controller)
        .count();
    if controllers >= state.options.core.controller_voters {
        return None;
    }
    let new_voter = controller_candidate(state, voters)?;
    let reason = format!("adding controller {}", new_voter.node);
    Some(with_voter(voters, new_voter, reason))
}

/// Removes a witness that is draining or has been unreachable for too long.
fn remove_lost_witness(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let lost = voters.entries.iter().find(|voter| {
        let is_draining = state
            .members
            .iter()
            .any(|member| member.node == voter.node && member.draining);
        !voter.controller && (is_draining || unreachable_for(state, voter.node) >= WITNESS_TIMEOUT)
    })?;
    let reason = format!("removing unreachable or draining witness {}", lost.node);
    Some(without_voter(voters, lost.node, reason))
}

/// Removes a controller that is lost, without a timeout if another node responds at its address, since the
/// old one cannot come back there, or if it began a graceful shutdown. It is removed only if a candidate can
/// replace it: until then its disk may still be needed for a majority.
fn remove_lost_controller(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let timeout = state.options.core.controller_timeout;
    let lost = voters.entries.iter().find(|voter| {
        let has_timed_out = unreachable_for(state, voter.node) >= timeout;
        let is_stopping = state.shutting_down.contains(&voter.node);
        voter.controller && (is_replaced(state, voter) || has_timed_out || is_stopping)
    })?;
    controller_candidate(state, voters)?;
    let reason = format!("replacing lost or stopping controller {}", lost.node);
    Some(without_voter(voters, lost.node, reason))
}

/// Removes a witness that shares its zone with another voter if there is a candidate in a zone without a
/// voter: two voters in one zone would be lost together.
fn remove_colocated_witness(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let colocated = voters.entries.iter().find(|voter| {
        let shares_zone = |other: &VoterEntry| other.node != voter.node && other.zone == voter.zone;
        !voter.controller && voters.entries.iter().any(shares_zone)
    })?;
    let candidate = witness_candidate(state, voters)?;
    if has_voter_in(voters, &candidate.zone) {
        return None;
    }
    let reason = format!(
        "removing witness {} from shared zone {}",
        colocated.node, colocated.zone
    );
    Some(without_voter(voters, colocated.node, reason))
}

/// Adds a witness while there are too few voters.
fn add_witness(state: &ControllerState, voters: &VoterSet) -> Option<VoterChange> {
    let core = &state.options.core;
    let wanted = core.controller_voters + core.witness_voters;
    if core.witness_voters == 0 || voters.entries.len() >= wanted {
        return None;
    }
    let witness = witness_candidate(state, voters)?;
    let reason = format!("adding witness {} in zone {}", witness.node, witness.zone);
    Some(with_voter(voters, witness, reason))
}

fn with_voter(voters: &VoterSet, new_voter: VoterEntry, reason: String) -> VoterChange {
    let mut next = voters.clone();
    next.entries.push(new_voter);
    VoterChange { next, reason }
}

fn without_voter(voters: &VoterSet, lost: NodeId, reason: String) -> VoterChange {
    let mut next = voters.clone();
    next.entries.retain(|voter| voter.node != lost);
    VoterChange { next, reason }
}

/// Returns how long a voter has been unreachable, or zero if it is alive.
fn unreachable_for(state: &ControllerState, node: NodeId) -> Duration {
    state
        .voter_management
        .lost_since
        .get(&node)
        .map_or(Duration::ZERO, |since| state.now.saturating_sub(*since))
}
