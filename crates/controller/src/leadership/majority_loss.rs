//! Loss of voters: replaced voters are suspected immediately, and the loss of the majority is logged.

use std::time::Duration;

use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::identifiers::NodeId;
use caperworks::leadership::SUSPICION_TIMEOUT;
use caperworks::map_items::VoterEntry;

/// Interval between log lines while the majority is lost.
const MAJORITY_LOSS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Marks voters whose machine came back with an empty disk as suspected, without waiting for the timeout.
pub(super) fn mark_replaced_voters(state: &mut ControllerState) {
    let replaced: Vec<NodeId> = state
        .voters()
        .iter()
        .flat_map(|voters| &voters.entries)
        .filter(|voter| is_replaced(state, voter))
        .map(|voter| voter.node)
        .collect();
    for node in replaced {
        state.liveness.mark_unreachable(node);
    }
}

/// Returns whether another node has responded at a voter's address since the voter stopped responding.
pub(super) fn is_replaced(state: &ControllerState, voter: &VoterEntry) -> bool {
    state
        .known_controllers
        .get(&voter.address)
        .is_some_and(|seen| {
            seen.node != voter.node
                && state
                    .liveness
                    .is_successor(state.now, seen.node, voter.node)
        })
}

/// Logs that more voters are lost than consensus can tolerate. Only their return resolves this.
pub(super) fn log_lost_majority(state: &mut ControllerState) {
    let now = state.now;
    let has_majority = state.quorum_reads.confirmed(now).is_some();
    if has_majority || state.voters().is_none() {
        state.majority_loss.since = None;
        return;
    }
    let since = *state.majority_loss.since.get_or_insert(now);
    let is_due = now >= state.majority_loss.logged_at + MAJORITY_LOSS_LOG_INTERVAL;
    if now.saturating_sub(since) < SUSPICION_TIMEOUT || !is_due {
        return;
    }
    state.majority_loss.logged_at = now;
    let unreachable: Vec<String> = state
        .voters()
        .into_iter()
        .flat_map(|voters| &voters.entries)
        .filter(|voter| voter.node != state.node && !state.liveness.is_alive(now, voter.node))
        .map(|voter| voter.address.to_string())
        .collect();
    let why = format!("unreachable voters: {}", unreachable.join(", "));
    state.log_event(Event::MajorityLost { why });
}
