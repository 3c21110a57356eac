//! Proposals of this controller: prepare and accept messages go out, responses come in, and each outcome
//! goes to whoever the proposal was made for.

use std::net::SocketAddr;

use crate::consensus::repair;
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

/// Moves the proposals of all maps on, and finishes what others left undecided.
pub fn tick(state: &mut ControllerState) {
    for name in ALL_MAPS {
        let index = name.index();
        if repair::is_repair_due(state, name) {
            state.proposers[index].finish();
        }
        let outcome = state.proposers[index].tick(state.now, &state.voter, &mut state.random);
        apply_outcome(state, outcome);
    }
}

/// Handles a voter's response to a proposal of this node.
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

/// Sends what a proposer has to say, and ends the proposals that are decided.
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
        state.send(to, Message::ConsensusMessage { vote: message });
    }
}

/// Sends a message to all voters. A commit also goes to this node when it is no voter: the chosen change
/// is its own to know.
fn broadcast(state: &mut ControllerState, voters: &[SocketAddr], message: ConsensusMessage) {
    let own = state.options.control;
    let is_commit = matches!(message, ConsensusMessage::Commit { .. });
    let to_own = (is_commit && !voters.contains(&own)).then_some(own);
    for to in voters.iter().copied().chain(to_own) {
        let vote = message.clone();
        state.send(to, Message::ConsensusMessage { vote });
    }
}

/// Hands the outcome of a proposal to whoever it was made for.
///
/// An accepted change of the configuration is confirmed only once enough agents hold it. A leadership
/// role's write that conflicts came too late: that is logged, since operators may wonder.
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
            let otherwise = OperatorResponse::ProposalOutcome {
                proposal_outcome: ProposalOutcome::Unknown,
            };
            let response = OperatorResponse::ProposalOutcome { proposal_outcome };
            agents::respond_when_acknowledged(state, ticket, version, response, otherwise);
        }
        proposal_outcome => {
            state.respond(
                ticket,
                OperatorResponse::ProposalOutcome { proposal_outcome },
            );
        }
    }
}
