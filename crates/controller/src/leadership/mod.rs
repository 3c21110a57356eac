//! Leadership roles: which controller leads placement, key range ownership and voter management, and what
//! each leader does.
//!
//! Each role belongs to one controller under an epoch that is stored in the membership. Every write of a
//! leader is fenced by that epoch, so a leader that has not yet learned that its term has ended cannot change
//! anything. [`fencing`] enforces this, [`handover`] transfers roles, [`solver`], [`ownership`] and
//! [`voter_management`] implement the roles, and [`majority_loss`] reports the loss of the majority.

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
pub mod voter_log;
pub mod voter_management;

/// Acquires, keeps and hands over leadership roles, and does the work of those that this controller has.
pub fn tick(state: &mut ControllerState) {
    majority_loss::mark_replaced_voters(state);
    majority_loss::log_lost_majority(state);
    voter_log::log_unreachable_voters(state);
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
            // A controller that is shutting down acquires no role, and neither does one that is behind: it
            // would act on outdated state.
            LeadershipStep::Propose { .. } if is_stopping || is_any_map_behind(state) => {}
            LeadershipStep::Propose { term, expected } => request_role(state, name, term, expected),
            LeadershipStep::Lead { epoch, .. } if is_stopping => {
                handover::hand_over(state, name, epoch);
            }
            LeadershipStep::Lead { epoch, leading_for } => match name {
                SOLVER => solver::update_placement(state, epoch, leading_for),
                OWNERSHIP => ownership::manage_key_ranges(state, epoch, leading_for),
                _ => voter_management::manage_voters(state, epoch, leading_for),
            },
        }
    }
}

/// Proposes this controller as leader for a new term of a role, unless such a proposal is in flight.
fn request_role(
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

/// Returns whether any map is behind, in which case this controller must not lead anything yet.
pub(super) fn is_any_map_behind(state: &ControllerState) -> bool {
    !state.injects(FaultInjection::LeadsWhileBehind)
        && ALL_MAPS.iter().any(|name| state.is_behind(*name))
}
