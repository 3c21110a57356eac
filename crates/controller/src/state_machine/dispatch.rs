//! Dispatch of messages to the modules that handle them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::{founding, quorum_reads};
use crate::instance_calls::{confirmations, pending};
use crate::state::parts::KnownController;
use crate::state::ControllerState;
use crate::{consensus, deregistrations, fact_exchange, instance_calls, renewal};
use caperworks::deregistrations::ReceivedDeregistration;
use caperworks::identifiers::{InstanceId, NodeId};
use caperworks::messages::{Envelope, Message};

/// Handles a message from another node, or from this one.
///
/// The age of the message is computed from the timestamps in its envelope. If it cannot be determined, each
/// handler decides whether that matters. Messages that are meant for followers are ignored.
pub(super) fn handle_message(state: &mut ControllerState, envelope: Envelope) {
    let age = state.envelope_clock.open(state.now, &envelope);
    let incarnation = envelope.sender_incarnation();
    let Envelope {
        from,
        reply_to,
        message,
        ..
    } = envelope;
    let is_from_controller = matches!(
        message,
        Message::QuorumReadRequest { .. } | Message::QuorumReadResponse { .. }
    );
    if is_from_controller {
        state
            .fact_exchange
            .record_contact(state.now, reply_to, incarnation);
    }
    let sender = Sender { from, reply_to };
    match message {
        Message::ConsensusMessage { .. }
        | Message::QuorumReadRequest { .. }
        | Message::QuorumReadResponse { .. }
        | Message::SeedRequest { .. }
        | Message::SeedResponse { .. }
        | Message::FoundingRequest { .. }
        | Message::FoundingResponse { .. } => handle_consensus(state, sender, message),
        Message::Renew { renewal } => renewal::handle_renewal(state, reply_to, renewal, age),
        Message::Facts { .. }
        | Message::ConfirmFact { .. }
        | Message::FactConfirmed { .. }
        | Message::HeartbeatForward { .. }
        | Message::HeartbeatReply { .. } => handle_facts(state, sender, message, age),
        // These messages are meant for followers.
        Message::Grant { .. }
        | Message::Pull { .. }
        | Message::View { .. }
        | Message::FallbackRequest { .. }
        | Message::FallbackResponse { .. } => {}
    }
}

/// The sender of a message, and the address for responses.
struct Sender {
    from: NodeId,
    reply_to: SocketAddr,
}

/// Handles messages of consensus, quorum reads and founding.
fn handle_consensus(state: &mut ControllerState, sender: Sender, message: Message) {
    let Sender { from, reply_to } = sender;
    match message {
        Message::ConsensusMessage { message }
            if founding::is_commit_of_another(state, &message) => {}
        Message::ConsensusMessage { message } => {
            consensus::handle_message(state, from, reply_to, message)
        }
        Message::QuorumReadRequest {
            number,
            deregistrations,
        } => quorum_reads::handle_request(state, reply_to, number, deregistrations),
        Message::QuorumReadResponse {
            number,
            versions,
            synced,
            shutting_down,
            deregistrations,
            merged_under,
        } => {
            // Merged before the response counts, so that a complete quorum read has brought all of them.
            deregistrations::merge(state, reply_to, deregistrations.into_iter().flatten());
            deregistrations::record_reported_merge(state, from, merged_under);
            quorum_reads::record_shutdown(state, from, shutting_down);
            quorum_reads::record_settlement(state, from, &versions, synced.as_deref());
            quorum_reads::record_versions(state, from, &versions, synced);
            quorum_reads::handle_response(state, from, reply_to, number, versions);
        }
        Message::SeedRequest {
            zone,
            founded,
            evidence,
        } => {
            let seen = KnownController {
                node: from,
                zone,
                founded,
                evidence,
            };
            founding::handle_seed_request(state, reply_to, seen);
        }
        Message::SeedResponse {
            zone,
            founded,
            evidence,
        } => {
            let seen = KnownController {
                node: from,
                zone,
                founded,
                evidence,
            };
            founding::handle_seed_response(state, reply_to, seen);
        }
        Message::FoundingRequest { founding } => {
            founding::handle_proposal(state, reply_to, founding)
        }
        Message::FoundingResponse { attempt } => founding::handle_acceptance(state, from, attempt),
        // Messages of other kinds are handled above.
        _ => {}
    }
}

/// Returns reports of deregistrations whose age is unknown: they count as new.
fn without_ages(deregistered: Vec<InstanceId>) -> Vec<ReceivedDeregistration> {
    let age = Duration::ZERO;
    deregistered
        .into_iter()
        .map(|id| ReceivedDeregistration { id, age })
        .collect()
}

/// Handles messages about instances and members.
fn handle_facts(
    state: &mut ControllerState,
    sender: Sender,
    message: Message,
    age: Option<Duration>,
) {
    let Sender { from, reply_to } = sender;
    match message {
        Message::Facts {
            instances,
            members,
            deregistered,
            deregistrations,
        } => {
            // An earlier release reports no ages.
            let deregistrations = deregistrations.unwrap_or_else(|| without_ages(deregistered));
            fact_exchange::handle_facts(state, reply_to, instances, members, deregistrations, age);
        }
        Message::ConfirmFact {
            number,
            heartbeat,
            ended,
        } => confirmations::handle_confirmation_request(
            state, reply_to, number, heartbeat, ended, age,
        ),
        Message::FactConfirmed { number, synced } => {
            confirmations::handle_confirmation(state, from, number, synced);
        }
        Message::HeartbeatForward { ticket, received } => {
            instance_calls::handle_forwarded_heartbeat(state, reply_to, ticket, received, age);
        }
        Message::HeartbeatReply { ticket, response } => {
            pending::handle_owner_manager_response(state, ticket, response);
        }
        // Messages of other kinds are handled above.
        _ => {}
    }
}
