//! The witness: this agent's voting part, while the membership names it as a voter.

use std::net::SocketAddr;
use std::time::Duration;

use crate::machine::{AgentMachine, AgentOutput};
use caperworks::consensus::messages::{ConsensusMessage, Replica};
use caperworks::consensus::voter::Voter;
use caperworks::messages::Message;
use caperworks::replicated_map::{MapName, ALL_MAPS};

impl AgentMachine {
    /// Hands a vote to our voter, if there is one.
    pub(crate) fn handle_vote(
        &mut self,
        now: Duration,
        from: SocketAddr,
        vote: ConsensusMessage,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if let ConsensusMessage::CatchUp {
            map,
            after,
            position: Some(position),
        } = vote
        {
            let vote = self.snapshots.respond(now, voter, map, after, position);
            let message = Message::ConsensusMessage { vote };
            outputs.push(AgentOutput::Send { to: from, message });
            return;
        }
        let asked = matches!(vote, ConsensusMessage::CatchUp { .. });
        let outcome = voter.handle(vote);
        let mut replies = outcome.replies;
        // Why not unasked: a controller that is behind asks for pieces by itself.
        replies.retain(|vote| asked || !matches!(vote, ConsensusMessage::Snapshot { .. }));
        outputs.extend(replies.into_iter().map(|vote| AgentOutput::Send {
            to: from,
            message: Message::ConsensusMessage { vote },
        }));
        if outcome.moved.contains(&MapName::Membership) {
            self.look_for_voter();
        }
    }

    /// Tells a controller's round what our voter holds.
    pub(crate) fn handle_quorum_read_request(
        &self,
        from: SocketAddr,
        number: u64,
        outputs: &mut Vec<AgentOutput>,
    ) {
        let Some(voter) = &self.voter else {
            return;
        };
        let message = Message::QuorumReadResponse {
            number,
            versions: voter.highest_possible(),
            // Why nothing: a witness has no disk.
            synced: None,
        };
        outputs.push(AgentOutput::Send { to: from, message });
    }

    /// Takes a witness's voter up or lays it down, as the membership says.
    ///
    /// Why from the copies at hand: whoever made us a voter had settled every map before, and
    /// what we lack of them we refuse to vote on until we have it. A reduced map lacks what votes are
    /// weighed by, and counts as lacking whole.
    pub(crate) fn look_for_voter(&mut self) {
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
            .is_some_and(|voters| voters.holder(self.node).is_some());
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
