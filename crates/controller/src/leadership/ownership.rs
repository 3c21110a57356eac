//! The ownership role: assigns the key ranges of keyed services to instances, and renews the instances' key
//! range leases when they send heartbeats.
//!
//! Invariant: a lease is renewed only by the controller that has the role, and only while it can confirm
//! that it does; see [`respond_to_heartbeat`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::leadership::fencing::guard_by_fence;
use crate::leadership::is_any_map_behind;
use crate::leadership::own_changes::single_put;
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{Epoch, ServiceName, Zone};
use caperworks::leadership::OWNERSHIP;
use caperworks::map_items::{KeyRangeTable, Value};
use caperworks::ownership::{HeartbeatResponse, OwnershipView, PlannedTable};
use caperworks::replicated_map::{Guard, MapName};

/// Interval at which key range assignments are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a term when the epoch is new, and proposes the next key range change when one is due.
pub(super) fn manage_key_ranges(state: &mut ControllerState, epoch: Epoch, leading_for: Duration) {
    let Some(guard) = guard_by_fence(state, MapName::Ownership, epoch) else {
        return;
    };
    if state.ownership_role.epoch != Some(epoch) {
        begin_term(state, epoch);
    }
    if leading_for < state.options.core.collection_period
        || state.now < state.ownership_role.next_plan_at
        || state.has_proposal_in_flight(&ProposalOrigin::Ownership)
    {
        return;
    }
    // Key ranges depend on the configuration, and an outdated one may name other services.
    if is_any_map_behind(state) {
        return;
    }
    state.ownership_role.next_plan_at = state.now + PLAN_INTERVAL;
    if let Some((service, planned)) = plan_next_change(state, epoch) {
        log_owner_changes(state, &service, &planned);
        propose_key_ranges(state, &service, planned.table, guard);
    }
}

/// Begins a term of the owner manager.
fn begin_term(state: &mut ControllerState, epoch: Epoch) {
    let fault_injection = state.options.fault_injection;
    let role = &mut state.ownership_role;
    role.epoch = Some(epoch);
    role.manager.timings = state.options.core.owner_manager;
    role.manager.start_term(state.now);
    fault_injection.apply_to_owner_manager(&mut role.manager);
    state.log_event(Event::OwnershipLeaderElected { epoch });
}

/// Plans the keyed services in order and returns the first one whose key ranges must change.
fn plan_next_change(
    state: &mut ControllerState,
    epoch: Epoch,
) -> Option<(ServiceName, PlannedTable)> {
    let configuration = state.voter.map(MapName::Configuration);
    let closed: BTreeSet<Zone> = configuration
        .zones()
        .filter(|(_, settings)| settings.closed)
        .map(|(zone, _)| zone)
        .collect();
    let view = OwnershipView {
        instances: &state.instances,
        closed: &closed,
        ownership: state.voter.map(MapName::Ownership),
    };
    let manager = &mut state.ownership_role.manager;
    configuration
        .services()
        .filter(|(_, service)| service.keyed)
        .find_map(|(name, service)| {
            let planned = manager.plan(state.now, epoch, &name, service, &view)?;
            Some((name, planned))
        })
}

/// Logs why key ranges get new owners, one event for each previous owner and reason.
fn log_owner_changes(state: &mut ControllerState, service: &ServiceName, planned: &PlannedTable) {
    for summary in planned.summaries() {
        state.log_event(Event::KeyRangesReassigned {
            service: service.clone(),
            summary,
        });
    }
}

fn propose_key_ranges(
    state: &mut ControllerState,
    service: &ServiceName,
    table: KeyRangeTable,
    guard: Guard,
) {
    let key = format!("slices/{service}");
    let expected = state.map(MapName::Ownership).item_version(&key);
    let value = Value::KeyRanges { table };
    let mut change = single_put(state, "slices", key, expected, value);
    change.guards.push(guard);
    state.propose(MapName::Ownership, ProposalOrigin::Ownership, change);
}

/// Responds to a heartbeat. Only the owner manager renews leases, and only while it can confirm its role.
///
/// Every other controller responds with the owner manager's address, if it can confirm who that is.
pub fn respond_to_heartbeat(
    state: &mut ControllerState,
    heartbeat: &Heartbeat,
) -> HeartbeatResponse {
    if !is_owner_manager(state) {
        return HeartbeatResponse {
            owner_manager: reachable_owner_manager(state),
            ..HeartbeatResponse::default()
        };
    }
    let ownership = state.voter.map(MapName::Ownership);
    let manager = &mut state.ownership_role.manager;
    let mut response = manager.heartbeat(state.now, heartbeat, ownership);
    response.owner_manager = Some(state.options.control);
    response
}

/// Returns whether this controller is confirmed as the owner manager: it has the role in the latest
/// membership, under the epoch of its current term, and the latest ownership map is fenced under that epoch.
fn is_owner_manager(state: &ControllerState) -> bool {
    let term = state.map(MapName::Membership).leadership(OWNERSHIP);
    let epoch = state.ownership_role.epoch;
    let has_role = term.is_some_and(|term| term.leader == state.node && epoch == Some(term.epoch));
    let fence = state.map(MapName::Ownership).fence().map(|term| term.epoch);
    has_role
        && fence == epoch
        && state.is_current(MapName::Membership)
        && state.is_current(MapName::Ownership)
}

/// Returns the address of the owner manager to report to an instance, or `None` if its term may have ended
/// or it is unreachable. Never returns this controller: the caller has found that its role is not confirmed.
fn reachable_owner_manager(state: &ControllerState) -> Option<SocketAddr> {
    if !state.is_current(MapName::Membership) {
        return None;
    }
    let leader = state.map(MapName::Membership).leadership(OWNERSHIP)?.leader;
    let is_reachable = leader != state.node && state.liveness.is_alive(state.now, leader);
    is_reachable.then(|| owner_manager_address(state)).flatten()
}

/// Returns the owner manager's address according to the local membership.
pub fn owner_manager_address(state: &ControllerState) -> Option<SocketAddr> {
    let term = state.map(MapName::Membership).leadership(OWNERSHIP)?;
    Some(state.voters()?.entry(term.leader)?.address)
}
