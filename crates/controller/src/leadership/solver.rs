//! The solver role: computes the mapping of client groups to zones and writes it to the placement map.

use std::time::Duration;

use crate::leadership::fencing::guard_by_fence;
use crate::leadership::own_changes::single_put;
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use caperworks::identifiers::Epoch;
use caperworks::map_items::{Mapping, Value};
use caperworks::placement::{is_worth_writing, ProblemView};
use caperworks::replicated_map::{Guard, MapName};

/// Runs the next solver step, and proposes the resulting placement if it differs enough to be written.
///
/// A new leader first collects heartbeats for a while. No placement is computed from an outdated
/// configuration, which may contain removed routes, nor while there is no ready proxy: the last placement
/// then remains in use.
pub(super) fn update_placement(state: &mut ControllerState, epoch: Epoch, leading_for: Duration) {
    let Some(guard) = guard_by_fence(state, MapName::Placement, epoch) else {
        return;
    };
    if leading_for < state.options.core.collection_period
        || state.has_proposal_in_flight(&ProposalOrigin::Solver)
        || !state.is_current(MapName::Configuration)
        || state.members.ready_proxies().next().is_none()
    {
        return;
    }
    let view = ProblemView {
        configuration: state.voter.map(MapName::Configuration),
        instances: &state.instances,
        members: &state.members,
        last: state.voter.map(MapName::Placement).mapping(),
        requests_per_slot: state.options.core.requests_per_slot,
        forwards_to_home: state.options.core.forwards_to_home,
        by_host: state.options.core.by_host,
    };
    let Some(mapping) = state.solver.step(state.now, epoch, &view) else {
        return;
    };
    if is_worth_writing(view.last, &mapping) {
        propose_placement(state, mapping, guard);
    }
}

fn propose_placement(state: &mut ControllerState, mapping: Mapping, guard: Guard) {
    let expected = state.map(MapName::Placement).item_version(MAPPING);
    let value = Value::Mapping { mapping };
    let mut change = single_put(state, MAPPING, MAPPING.to_string(), expected, value);
    change.guards.push(guard);
    state.propose(MapName::Placement, ProposalOrigin::Solver, change);
}

/// The key of the item that contains the mapping in the placement map.
const MAPPING: &str = "mapping";
