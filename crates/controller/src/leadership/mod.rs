//! Leadership roles: which controller leads the placement, the key ownership and the voters, and what the
//! leader does.
//!
//! Each role is held by one controller under an epoch that stands in the membership. Whatever a leader
//! writes is fenced by that epoch, so a leader that does not know yet that its term is over changes
//! nothing. [`fencing`] keeps that, [`handover`] passes roles on, [`solver`], [`ownership`] and
//! [`voter_management`] do the work of the roles, and [`majority_loss`] reports when it cannot go on.

use crate::fault_injection::FaultInjection;
use crate::leadership::own_changes::propose_term;
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use caperworks::identifiers::Version;
use caperworks::leadership::{LeadershipStep, OWNERSHIP, SOLVER};
use caperworks::map_items::LeadershipTerm;
use caperworks::replicated_map::{MapName, ALL_MAPS};

pub mod fencing;
pub mod handover;
pub mod majority_loss;
pub mod own_changes;
pub mod ownership;
pub mod solver;
pub mod voter_candidates;
pub mod voter_management;

/// Takes up, keeps and hands over leadership roles, and does the work of those that this controller holds.
pub fn tick(state: &mut ControllerState) {
    majority_loss::mark_replaced_voters(state);
    majority_loss::log_lost_majority(state);
    for index in 0..state.leaderships.len() {
        let step = state.leaderships[index].step(
            state.now,
            state.node,
            state.voter.map(MapName::Membership),
            &state.quorum_reads,
            &state.liveness,
        );
        let name = state.leaderships[index].name;
        let is_stopping = state.stopping_since.is_some();
        match step {
            LeadershipStep::Wait => {
                if name == OWNERSHIP {
                    state.ownership_role.epoch = None;
                }
            }
            // A controller that is shutting down takes nothing up, and neither does one that is behind: it
            // would lead by a state that is over.
            LeadershipStep::Take { .. } if is_stopping || lacks_state(state) => {}
            LeadershipStep::Take { term, expected } => take_up(state, name, term, expected),
            LeadershipStep::Lead { epoch, .. } if is_stopping => {
                handover::hand_over(state, name, epoch);
            }
            LeadershipStep::Lead { epoch, held } => match name {
                SOLVER => solver::update_placement(state, epoch, held),
                OWNERSHIP => ownership::manage_key_ranges(state, epoch, held),
                _ => voter_management::manage_voters(state, held),
            },
        }
    }
}

/// Proposes a term of this controller for a role, unless one is in flight.
fn take_up(
    state: &mut ControllerState,
    name: &'static str,
    term: LeadershipTerm,
    expected: Version,
) {
    if state.has_proposal_in_flight(&ProposalOrigin::Leadership(name)) {
        return;
    }
    state.log_event(Event::LeadershipRequested {
        leadership: name,
        epoch: term.epoch,
    });
    propose_term(state, name, term, expected);
}

/// Whether any map is behind, so that this controller can lead nothing yet.
pub(super) fn lacks_state(state: &ControllerState) -> bool {
    !state.injects(FaultInjection::LeadsWhileBehind)
        && ALL_MAPS.iter().any(|name| state.is_behind(*name))
}
