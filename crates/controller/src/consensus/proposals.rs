//! Proposals of this controller: sends prepare and accept messages, handles the responses, and delivers each
//! outcome according to the proposal's origin.

use std::net::SocketAddr;

use crate::consensus::recovery;
use crate::consensus::snapshot_transfer::{may_send, Delivery};
use crate::state::parts::ProposalOrigin;
use crate::state::ControllerState;
use crate::state_machine::event::Event;
use crate::state_machine::operator_messages::OperatorResponse;
use crate::{agents, operator_calls};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::{ProposalOutcome, ProposerOutcome};
use caperworks::identifiers::NodeId;
use caperworks::messages::Message;
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// Advances the proposals of all maps, and recovers changes that other proposers left undecided.
pub fn tick(state: &mut ControllerState) {
    for name in ALL_MAPS {
        let index = name.index();
        if recovery::is_recovery_due(state, name) {
            state.proposers[index].request_recovery();
        }
        let outcome = state.proposers[index].tick(state.now, &state.voter, &mut state.random);
        apply_outcome(state, outcome);
    }
}

/// Handles a voter's response to one of this node's proposals.
pub(super) fn handle_response(
    state: &mut ControllerState,
    from: NodeId,
    map: MapName,
    message: &ConsensusMessage,
) {
    let proposer = &mut state.proposers[map.index()];
    let outcome = proposer.handle(state.now, from, message, &state.voter);
    apply_outcome(state, outcome);
}

/// Sends a proposer's messages, and completes the proposals that have been decided.
fn apply_outcome(state: &mut ControllerState, outcome: ProposerOutcome) {
    let voters = state.map(MapName::Membership).voter_addresses(false);
    for (node, message) in outcome.to_voter {
        send_to_node(state, node, message);
    }
    for message in outcome.to_voters {
        broadcast(state, &voters, message);
    }
    for (ticket, proposal_outcome) in outcome.proposal_outcomes {
        if let Some(origin) = state.proposal_origins.try_remove(ticket as usize) {
            end_proposal(state, origin, proposal_outcome);
        }
    }
}

fn send_to_node(state: &mut ControllerState, node: NodeId, message: ConsensusMessage) {
    let Some(to) = state.address_of(node) else {
        return;
    };
    if may_send(state, to, Delivery::Unrequested, &message) {
        state.send(to, Message::ConsensusMessage { message });
    }
}

/// Sends a message to all voters. A commit is also sent to this node if it is not a voter, so that it learns
/// the outcome of its own proposal.
fn broadcast(state: &mut ControllerState, voters: &[SocketAddr], message: ConsensusMessage) {
    let own = state.options.control;
    let is_commit = matches!(message, ConsensusMessage::Commit { .. });
    let to_own = (is_commit && !voters.contains(&own)).then_some(own);
    for to in voters.iter().copied().chain(to_own) {
        let message = message.clone();
        state.send(to, Message::ConsensusMessage { message });
    }
}

/// Delivers the outcome of a proposal according to its origin.
///
/// An accepted configuration change is confirmed to the operator only once enough agents have it. A
/// leader's write that conflicts arrived after another term had begun; it is logged for the operators.
fn end_proposal(
    state: &mut ControllerState,
    origin: ProposalOrigin,
    proposal_outcome: ProposalOutcome,
) {
    match (origin, proposal_outcome) {
        (ProposalOrigin::Operator(ticket), proposal_outcome) => {
            end_operator_proposal(state, ticket, proposal_outcome);
        }
        (ProposalOrigin::FallbackMembers(ticket), proposal_outcome) => {
            state.respond(
                ticket,
                OperatorResponse::ProposalOutcome { proposal_outcome },
            );
        }
        (origin, ProposalOutcome::Conflicts(conflicts)) => {
            let items: Vec<&str> = conflicts
                .iter()
                .map(|conflict| conflict.key.as_str())
                .collect();
            let what = format!("{origin:?}: {}", items.join(", "));
            state.log_event(Event::Fenced { what });
        }
        _ => {}
    }
}

fn end_operator_proposal(
    state: &mut ControllerState,
    ticket: u64,
    proposal_outcome: ProposalOutcome,
) {
    if operator_calls::retry_conflicting_change(state, ticket, &proposal_outcome) {
        return;
    }
    match proposal_outcome {
        ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version) => {
            let response_on_timeout = OperatorResponse::ProposalOutcome {
                proposal_outcome: ProposalOutcome::Unknown,
            };
            let response = OperatorResponse::ProposalOutcome { proposal_outcome };
            agents::respond_when_confirmed(state, ticket, version, response, response_on_timeout);
        }
        proposal_outcome => {
            state.respond(
                ticket,
                OperatorResponse::ProposalOutcome { proposal_outcome },
            );
        }
    }
}
