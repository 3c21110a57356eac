//! The witness: the voter of this agent, while the membership names it as one.

use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::consensus::messages::{ConsensusMessage, Replica};
use caperworks::consensus::voter::Voter;
use caperworks::deregistrations::{DeregistrationDigest, ReceivedDeregistration};
use caperworks::facts::ReceivedHeartbeat;
use caperworks::identifiers::InstanceId;
use caperworks::messages::Message;
use caperworks::replicated_map::{MapName, ALL_MAPS};

/// A controller's request to confirm a fact about an instance: a heartbeat or a deregistration.
pub(crate) struct ConfirmationRequest {
    pub(crate) from: SocketAddr,
    pub(crate) number: u64,
    pub(crate) heartbeat: Option<ReceivedHeartbeat>,
    pub(crate) ended: Option<InstanceId>,
}

impl AgentMachine {
    /// Forgets the confirmed deregistrations that need not be remembered any longer.
    pub(crate) fn forget_confirmed_deregistrations(&mut self, now: Duration) {
        self.confirmed_deregistrations.expire(now);
    }

    /// Passes a consensus message to the voter of this agent, if it has one.
    pub(crate) fn handle_vote(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: ConsensusMessage,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if let ConsensusMessage::CatchUp {
            map,
            after,
            position: Some(position),
        } = message
        {
            let reply = self.snapshots.respond(now, voter, map, after, position);
            let message = Message::ConsensusMessage { message: reply };
            outputs.push(AgentOutput::Send { to: from, message });
            return;
        }
        let is_catch_up = matches!(message, ConsensusMessage::CatchUp { .. });
        let outcome = voter.handle(message);
        let mut replies = outcome.replies;
        // Snapshots are sent on request only: a controller that is behind requests chunks by itself.
        replies
            .retain(|message| is_catch_up || !matches!(message, ConsensusMessage::Snapshot { .. }));
        outputs.extend(replies.into_iter().map(|message| AgentOutput::Send {
            to: from,
            message: Message::ConsensusMessage { message },
        }));
        if outcome.advanced.contains(&MapName::Membership) {
            self.update_voter();
        }
    }

    /// Responds to a controller's quorum read with the versions of the voter.
    pub(crate) fn handle_quorum_read_request(
        &self,
        now: Duration,
        from: SocketAddr,
        number: u64,
        known: Option<DeregistrationDigest>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(voter) = &self.voter else {
            return;
        };
        let confirmed = &self.confirmed_deregistrations;
        let is_reported = !confirmed.is_empty() && known != Some(confirmed.digest());
        let message = Message::QuorumReadResponse {
            number,
            versions: voter.highest_possible(),
            // A witness has no disk.
            synced: None,
            shutting_down: None,
            deregistrations: is_reported.then(|| confirmed.after(now, 0)),
            merged_under: None,
        };
        outputs.push(AgentOutput::Send { to: from, message });
    }

    /// Confirms a fact about an instance that a controller is about to acknowledge.
    ///
    /// Nothing is confirmed if the age of the request is unknown: it may be from an instance that ended long ago.
    pub(crate) fn handle_confirmation_request(
        &mut self,
        now: Duration,
        request: ConfirmationRequest,
        age: Option<Duration>,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(age) = age.filter(|_| self.voter.is_some()) else {
            return;
        };
        if let Some(received) = request.heartbeat {
            self.link.instances.handle(now, &received.aged(age));
        }
        if let Some(id) = request.ended {
            let received = ReceivedDeregistration { id, age };
            self.link.instances.handle_deregistration(now, &received);
            self.confirmed_deregistrations.record(now, &received, 1);
        }
        let (to, number) = (request.from, request.number);
        // A witness has no disk.
        let synced = None;
        let message = Message::FactConfirmed { number, synced };
        outputs.push(AgentOutput::Send { to, message });
    }

    /// Creates or removes the voter of this agent, as the membership says.
    ///
    /// It starts from the replicas present here: every map was recovered before this agent was made a voter,
    /// and the voter rejects proposals for a map until it has all versions of it. A reduced map is without the
    /// data that proposals are checked against, and counts as missing entirely.
    pub(crate) fn update_voter(&mut self) {
        let follower = self.link.feed_cache.follower();
        let mut membership = follower.map(MapName::Membership);
        if let Some(voter) = &self.voter {
            let voted = voter.map(MapName::Membership);
            if voted.version > membership.version {
                membership = voted;
            }
        }
        let named = membership
            .voters()
            .is_some_and(|voters| voters.entry(self.node).is_some());
        if !named {
            self.voter = None;
        } else if self.voter.is_none() {
            let replicas = ALL_MAPS
                .iter()
                .map(|name| follower.map(*name))
                .map(|map| match map.is_reduced() {
                    true => Replica::empty(),
                    false => Replica {
                        map: map.clone(),
                        ..Replica::empty()
                    },
                })
                .collect();
            self.voter = Some(Voter::restored(replicas));
        }
    }
}
