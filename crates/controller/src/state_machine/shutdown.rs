//! Graceful shutdown: hands over leadership roles and completes calls before the process stops.

use std::time::Duration;

use crate::leadership::handover;
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use crate::state_machine::output::ControllerOutput;
use caperworks::leadership::LEADERSHIPS;
use caperworks::replicated_map::MapName;

/// Maximum time that a graceful shutdown waits for handovers, operators' calls and replicas.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Begins a graceful shutdown, unless it has begun already.
pub(super) fn begin(state: &mut ControllerState) {
    state.stopping_since.get_or_insert(state.now);
    state.record_versions();
}

/// Completes a graceful shutdown once no call is pending, this controller leads nothing, no other is about to
/// take its vote, and enough other controllers have synced its state, or once the timeout has passed.
/// Missing replicas are then logged.
pub(super) fn stop_when_done(state: &mut ControllerState) {
    let Some(since) = state.stopping_since else {
        return;
    };
    let replicas = handover::synced_replica_count(state);
    let needed = handover::required_replica_count(state);
    let is_busy =
        has_unfinished_work(state) || handover::is_handing_over_vote(state) || replicas < needed;
    if is_busy && state.now.saturating_sub(since) < SHUTDOWN_TIMEOUT {
        return;
    }
    if replicas < needed {
        let why =
            format!("{replicas} other controllers have the complete state, {needed} required");
        state.log_event(Event::ShutdownIncomplete { why });
    }
    state.outputs.push(ControllerOutput::ShutdownComplete);
}

/// Returns whether this controller has a leadership role, or an operator's call is pending.
fn has_unfinished_work(state: &ControllerState) -> bool {
    let membership = state.map(MapName::Membership);
    let is_leader = LEADERSHIPS
        .iter()
        .filter_map(|name| membership.leadership(name))
        .any(|term| term.leader == state.node);
    let has_operator_proposal = state.proposal_origins.iter().any(|(_, origin)| {
        matches!(
            origin,
            ProposalOrigin::Operator(_) | ProposalOrigin::FallbackMembers(_)
        )
    });
    is_leader || has_operator_proposal || !state.pending_confirmations.is_empty()
}
