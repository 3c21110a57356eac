//! Logging of the replacement of voters: which voter is lost, why a candidate is passed over, and which
//! voters there are afterwards.

use std::net::SocketAddr;
use std::time::Duration;

use crate::leadership::majority_loss::is_replaced;
use crate::leadership::voter_candidates::non_voters;
use crate::state::parts::{PassedOver, WaitingCandidate};
use crate::state::replicas::{ReplicaStatus, MAX_REPLICA_LAG};
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::identifiers::{Epoch, NodeId};
use caperworks::map_items::{VoterEntry, VoterSet};
use caperworks::replicated_map::MapName;

/// Interval between log lines about a candidate that waits.
const CANDIDATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs each voting controller once when it does not respond any more.
pub(super) fn log_unreachable_voters(state: &mut ControllerState) {
    let lost: Vec<VoterEntry> = state
        .voters()
        .into_iter()
        .flat_map(|voters| &voters.entries)
        .filter(|voter| is_lost_controller(state, voter))
        .cloned()
        .collect();
    let nodes = lost.iter().map(|voter| voter.node).collect();
    let logged = std::mem::replace(&mut state.voter_management.logged_unreachable, nodes);
    for voter in lost {
        if !logged.contains(&voter.node) {
            let why = describe_loss(state, &voter);
            state.log_event(Event::VoterUnreachable { why });
        }
    }
}

/// Returns whether a voter is a controller that responded before, and does not respond any more.
fn is_lost_controller(state: &ControllerState, voter: &VoterEntry) -> bool {
    let was_reachable = state.liveness.last_seen(voter.node).is_some();
    voter.controller
        && voter.node != state.node
        && !state.liveness.is_alive(state.now, voter.node)
        && (was_reachable || is_replaced(state, voter))
}

fn describe_loss(state: &ControllerState, voter: &VoterEntry) -> String {
    let VoterEntry { node, address, .. } = voter;
    match state.liveness.last_seen(*node) {
        Some(last) => {
            let silent_for = state.now.saturating_sub(last).as_millis();
            format!("{node} at {address}: last message {silent_for} ms ago")
        }
        None => format!("{node} at {address}: another node responds there"),
    }
}

/// Logs once in each term that this controller manages the voters from now on.
pub(super) fn log_start_of_term(state: &mut ControllerState, epoch: Epoch, leading_for: Duration) {
    if state.voter_management.epoch.replace(epoch) != Some(epoch) {
        state.log_event(Event::VoterManagementStarted { epoch, leading_for });
    }
}

/// Counts why each reachable candidate is passed over while a live controller is missing among the voters,
/// and logs it at intervals.
pub(super) fn log_waiting_candidates(state: &mut ControllerState, voters: &VoterSet) {
    if !is_controller_missing(state, voters) {
        state.voter_management.waiting_candidates.clear();
        return;
    }
    let required = state.versions_before(MAX_REPLICA_LAG);
    let waiting: Vec<(NodeId, SocketAddr, PassedOver, ReplicaStatus)> = non_voters(state, voters)
        .filter_map(|(address, seen)| {
            let status = state.replica_status(seen.node, &required);
            Some((seen.node, *address, passed_over(status)?, status))
        })
        .collect();
    for (node, address, reason, status) in waiting {
        let now = state.now;
        let candidates = &mut state.voter_management.waiting_candidates;
        let candidate = candidates.entry(node).or_default();
        *candidate.passed_over.entry(reason).or_default() += 1;
        let total: u32 = candidate.passed_over.values().sum();
        // A controller that is gone for good stays known, and is logged once.
        let is_repeat =
            reason == PassedOver::Unreachable || now < candidate.logged_at + CANDIDATE_LOG_INTERVAL;
        if total > 1 && is_repeat {
            continue;
        }
        candidate.logged_at = now;
        let counts = describe_counts(candidate);
        let reachable_for = state
            .liveness
            .reachable_since(node)
            .map_or(0, |since| now.saturating_sub(since).as_millis());
        let why =
            format!("{node} at {address}, reachable for {reachable_for} ms: {status}; {counts}");
        state.log_event(Event::CandidateWaiting { why });
    }
}

/// Returns whether fewer live controllers vote than should.
fn is_controller_missing(state: &ControllerState, voters: &VoterSet) -> bool {
    let is_live = |node: NodeId| node == state.node || state.liveness.is_alive(state.now, node);
    let live = voters
        .entries
        .iter()
        .filter(|voter| voter.controller && is_live(voter.node))
        .count();
    live < state.options.core.controller_voters
}

fn passed_over(status: ReplicaStatus) -> Option<PassedOver> {
    match status {
        ReplicaStatus::Synced => None,
        ReplicaStatus::Unreachable => Some(PassedOver::Unreachable),
        ReplicaStatus::Unreported => Some(PassedOver::Unreported),
        ReplicaStatus::Behind { .. } => Some(PassedOver::Behind),
    }
}

fn describe_counts(candidate: &WaitingCandidate) -> String {
    let counts: Vec<String> = candidate
        .passed_over
        .iter()
        .map(|(reason, count)| format!("{reason:?} {count} times"))
        .collect();
    counts.join(", ")
}

/// Logs the voters of a new membership if they are not those that were logged before.
pub(crate) fn log_changed_voters(state: &mut ControllerState) {
    let voters: Vec<NodeId> = state
        .map(MapName::Membership)
        .voters()
        .into_iter()
        .flat_map(|voters| &voters.entries)
        .map(|voter| voter.node)
        .collect();
    if voters != state.voter_management.logged_voters {
        state.voter_management.logged_voters.clone_from(&voters);
        state.log_event(Event::VotersChanged { voters });
    }
}
