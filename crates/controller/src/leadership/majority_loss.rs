//! Loss of voters: replaced ones count as silent at once, and the loss of the majority is logged.

use std::time::Duration;

use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::identifiers::NodeId;
use caperworks::leadership::SUSPICION_TIMEOUT;
use caperworks::map_items::VoterEntry;

/// How often the loss of the majority is logged while it lasts.
const LOG_PERIOD: Duration = Duration::from_secs(5);

/// Counts voters as silent at once whose machine came back with an empty disk.
pub(super) fn mark_replaced_voters(state: &mut ControllerState) {
    let replaced: Vec<NodeId> = state
        .voters()
        .iter()
        .flat_map(|voters| &voters.holders)
        .filter(|voter| is_replaced(state, voter))
        .map(|voter| voter.node)
        .collect();
    for node in replaced {
        state.liveness.lose(node);
    }
}

/// Whether another node answers at a voter's address since the voter fell silent.
pub(super) fn is_replaced(state: &ControllerState, voter: &VoterEntry) -> bool {
    state.seeds.get(&voter.address).is_some_and(|seen| {
        seen.node != voter.node
            && state
                .liveness
                .is_successor(state.now, seen.node, voter.node)
    })
}

/// Logs a loss of more voters than the core can bear, which nothing but their return repairs.
pub(super) fn log_lost_majority(state: &mut ControllerState) {
    let now = state.now;
    let is_heard = state.quorum_reads.confirmed(now).is_some();
    if is_heard || state.voters().is_none() {
        state.majority_loss.since = None;
        return;
    }
    let since = *state.majority_loss.since.get_or_insert(now);
    let is_due = now >= state.majority_loss.logged_at + LOG_PERIOD;
    if now.saturating_sub(since) < SUSPICION_TIMEOUT || !is_due {
        return;
    }
    state.majority_loss.logged_at = now;
    let silent: Vec<String> = state
        .voters()
        .into_iter()
        .flat_map(|voters| &voters.holders)
        .filter(|voter| voter.node != state.node && !state.liveness.alive(now, voter.node))
        .map(|voter| voter.address.to_string())
        .collect();
    let why = format!("silent: {}", silent.join(", "));
    state.log_event(Event::MajorityLost { why });
}
