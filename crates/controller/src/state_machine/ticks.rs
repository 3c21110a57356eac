//! Periodic work of a controller, which each tick does if it is due.

use crate::consensus::{founding, proposals, quorum_reads, snapshot_transfer};
use crate::instance_calls::pending;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use crate::state_machine::{shutdown, storage};
use crate::{deregistrations, fact_exchange, leadership};
use caperworks::identifiers::NodeId;

/// Does all periodic work that is due.
pub(super) fn tick(state: &mut ControllerState) {
    state.record_versions();
    storage::retry_failed_write(state);
    founding::tick(state);
    quorum_reads::tick(state);
    snapshot_transfer::tick(state);
    deregistrations::forget_old(state);
    expire_instances_and_members(state);
    mark_suspected_members(state);
    pending::respond_to_timed_out_calls(state);
    fact_exchange::share_facts(state);
    leadership::tick(state);
    proposals::tick(state);
    shutdown::stop_when_done(state);
}

/// Removes instances and members whose lifetime has passed without a heartbeat or renewal.
fn expire_instances_and_members(state: &mut ControllerState) {
    for id in state.instances.expire(state.now) {
        state.log_event(Event::InstanceExpired { id });
    }
    for node in state.members.expire(state.now) {
        state.log_event(Event::MemberExpired { node });
    }
}

/// Marks members as not ready that have not renewed their leases here within the timeout.
///
/// No member is marked if this controller itself did not run for a while, since it could not receive
/// renewals then.
fn mark_suspected_members(state: &mut ControllerState) {
    let (now, timeout) = (state.now, state.options.core.member_timeout);
    let suspected: Vec<NodeId> = state
        .last_renewals
        .iter()
        .filter(|(_, renewed)| now.saturating_sub(**renewed) >= timeout)
        .map(|(node, _)| *node)
        .collect();
    let was_running = now.saturating_sub(state.last_tick_at) < timeout / 2;
    state.last_tick_at = now;
    for node in suspected {
        state.last_renewals.remove(&node);
        if was_running {
            state.members.mark_suspected(now, node);
        }
    }
}
