//! Periodic work of a controller, done with each tick when it is due.

use crate::consensus::{founding, proposals, quorum_reads, snapshot_transfer};
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use crate::state_machine::{shutdown, storage};
use crate::{fact_exchange, instance_calls, leadership};
use caperworks::identifiers::NodeId;

/// Does all periodic work that is due.
pub(super) fn tick(state: &mut ControllerState) {
    storage::retry_failed_write(state);
    founding::tick(state);
    quorum_reads::tick(state);
    snapshot_transfer::tick(state);
    expire_instances_and_members(state);
    count_silent_members(state);
    instance_calls::respond_to_late_calls(state);
    fact_exchange::share_facts(state);
    leadership::tick(state);
    proposals::tick(state);
    shutdown::stop_when_done(state);
}

/// Deregisters instances and members that were not heard for their span.
fn expire_instances_and_members(state: &mut ControllerState) {
    for id in state.instances.expire(state.now) {
        state.log_event(Event::InstanceExpired { id });
    }
    for node in state.members.expire(state.now) {
        state.log_event(Event::MemberExpired { node });
    }
}

/// Counts members that missed their heartbeats here as not ready.
///
/// After a gap of our own none is counted: then it was this controller that did not listen.
fn count_silent_members(state: &mut ControllerState) {
    let (now, timeout) = (state.now, state.options.core.member_timeout);
    let silent: Vec<NodeId> = state
        .last_renewals
        .iter()
        .filter(|(_, renewed)| now.saturating_sub(**renewed) >= timeout)
        .map(|(node, _)| *node)
        .collect();
    let has_listened = now.saturating_sub(state.ticked_at) < timeout / 2;
    state.ticked_at = now;
    for node in silent {
        state.last_renewals.remove(&node);
        if has_listened {
            state.members.mark_suspected(now, node);
        }
    }
}
