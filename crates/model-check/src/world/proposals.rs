//! Proposals in the model: requests, votes, disk syncs and decisions.

use std::sync::Arc;
use std::time::Duration;

use crate::bound::{Bound, InjectedBug};
use crate::digest::DigestWriter;
use crate::invariants::{disks_with, Violation, MIN_SYNCED_DISKS};
use crate::node::{Node, PROPOSAL_TIME};
use crate::world::{Request, World};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::{ProposalOutcome, ProposerOutcome};
use caperworks::identifiers::{ChangeId, NodeId, RandomSource, Version};
use caperworks::replicated_map::MapName;

impl World {
    pub(super) fn begin(&mut self, index: u8, map: MapName) -> Result<(), Violation> {
        let outcome = self.change(index, |node| {
            match map {
                MapName::Membership => node.membership_proposals -= 1,
                _ => node.configuration_proposals -= 1,
            }
            let (proposer, voter) = node.proposer(map);
            let mut outcome = ProposerOutcome::default();
            if proposer.has_proposal() {
                outcome = proposer.tick(Duration::ZERO, voter, &mut RandomSource::seeded(1));
            }
            let started = proposer.tick(PROPOSAL_TIME, voter, &mut RandomSource::seeded(1));
            outcome.to_voters.extend(started.to_voters);
            outcome.proposal_outcomes.extend(started.proposal_outcomes);
            outcome
        });
        self.act_on_proposer(index, outcome)
    }

    pub(super) fn act_on_proposer(
        &mut self,
        index: u8,
        outcome: ProposerOutcome,
    ) -> Result<(), Violation> {
        for message in outcome.to_voters {
            match message {
                ConsensusMessage::Commit {
                    map,
                    version,
                    ref change,
                } => self.decide(index, map, version, &change.id, &message)?,
                _ => self.send_to_voters(index, message),
            }
        }
        for (ticket, proposal_outcome) in outcome.proposal_outcomes {
            self.handle_outcome(ticket, proposal_outcome)?;
        }
        Ok(())
    }

    /// Checks the outcome of an operator's call.
    pub(super) fn handle_outcome(
        &mut self,
        ticket: u64,
        outcome: ProposalOutcome,
    ) -> Result<(), Violation> {
        let (ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version)) = outcome
        else {
            return Ok(());
        };
        if ticket != super::OPERATOR_TICKET {
            return Ok(());
        }
        let lost = self.nodes().filter(|node| !node.is_running).count();
        let disks = disks_with(self, version);
        if disks + lost < MIN_SYNCED_DISKS {
            return Err(Violation::TooFewDisks { version, disks });
        }
        self.accepted = self.accepted.max(version);
        Ok(())
    }

    /// Handles a decision: the proposer's node commits the change, and other nodes learn it by copying.
    pub(super) fn decide(
        &mut self,
        index: u8,
        map: MapName,
        version: Version,
        id: &ChangeId,
        message: &ConsensusMessage,
    ) -> Result<(), Violation> {
        let membership = self.node(index).version(MapName::Membership);
        Arc::make_mut(&mut self.chosen).decide(map, version, id, membership)?;
        self.handle(index, message.clone(), false)
    }

    pub(super) fn send_to_voters(&mut self, index: u8, message: ConsensusMessage) {
        let node = self.node(index);
        let proposer = node.id;
        let Some(voters) = node.voter.get().map(MapName::Membership).voters().cloned() else {
            return;
        };
        for entry in voters.entries {
            let request = Request {
                proposer,
                voter: entry.node,
                message: message.clone(),
            };
            let mut writer = DigestWriter::default();
            writer.add(&request);
            let digest = writer.finish();
            let known = self
                .requests
                .binary_search_by_key(&digest, |(digest, _)| *digest);
            if let Err(at) = known {
                self.requests.insert(at, (digest, Arc::new(request)));
            }
        }
    }

    /// Delivers a message to a node's voter, ignoring any replies.
    pub(super) fn handle(
        &mut self,
        index: u8,
        message: ConsensusMessage,
        separate_sync: bool,
    ) -> Result<(), Violation> {
        self.change(index, |node| {
            let before = node.version(MapName::Membership);
            let outcome = node.voter.change().handle(message);
            node.unsynced.extend(outcome.records);
            node.unsynced_rewrite |= outcome.rewrite;
            if outcome.advanced.contains(&MapName::Membership) {
                node.quorum_reads.reset(before);
                node.open_quorum_read = None;
            }
            if !separate_sync && node.pending_replies.is_empty() {
                node.sync();
            }
        });
        let voter = self.nodes[usize::from(index)].get().voter.get();
        Arc::make_mut(&mut self.chosen).record_replicas(voter)
    }

    pub(super) fn deliver(
        &mut self,
        bound: &Bound,
        number: u8,
        reply_lost: bool,
    ) -> Result<(), Violation> {
        let (_, request) = self.requests.remove(usize::from(number));
        let Some(index) = self.index_of(request.voter) else {
            return Ok(());
        };
        let message = Self::under_own_membership(bound, self.node(index), &request.message);
        let replies = self.change(index, |node| {
            let outcome = node.voter.change().handle(message);
            node.unsynced.extend(outcome.records);
            outcome.replies
        });
        let replies = replies.into_iter().map(|reply| (request.proposer, reply));
        if reply_lost {
            self.lost_replies -= 1;
        } else if bound.injected_bug == InjectedBug::VotesBeforeSync {
            return self.deliver_replies(index, replies.collect());
        } else {
            self.change(index, |node| node.pending_replies.extend(replies));
        }
        if bound.separate_sync {
            return Ok(());
        }
        self.sync(index)
    }

    /// Returns the message as the voter handles it: with the voter's own membership if the injected bug
    /// is [`InjectedBug::VotesUnderAnyMembership`], and otherwise unchanged.
    pub(super) fn under_own_membership(
        bound: &Bound,
        node: &Node,
        message: &ConsensusMessage,
    ) -> ConsensusMessage {
        let mut message = message.clone();
        if bound.injected_bug == InjectedBug::VotesUnderAnyMembership {
            if let ConsensusMessage::Prepare { membership, .. }
            | ConsensusMessage::Accept { membership, .. } = &mut message
            {
                *membership = node.version(MapName::Membership);
            }
        }
        message
    }

    pub(super) fn sync(&mut self, index: u8) -> Result<(), Violation> {
        let replies = self.change(index, Node::sync);
        self.deliver_replies(index, replies)
    }

    /// Delivers a voter's replies to their proposers.
    pub(super) fn deliver_replies(
        &mut self,
        index: u8,
        replies: Vec<(NodeId, ConsensusMessage)>,
    ) -> Result<(), Violation> {
        let voter = self.node(index).id;
        for (proposer, reply) in replies {
            self.check_vote(index, &reply)?;
            let Some(target) = self.index_of(proposer) else {
                continue;
            };
            if !self.node(target).is_running {
                continue;
            }
            let (ConsensusMessage::Promise { map, .. } | ConsensusMessage::Accepted { map, .. }) =
                reply
            else {
                continue;
            };
            let outcome = self.change(target, |node| {
                let (proposer, own) = node.proposer(map);
                proposer.handle(PROPOSAL_TIME, voter, &reply, own)
            });
            self.act_on_proposer(target, outcome)?;
        }
        Ok(())
    }

    /// Checks that the voter has the version before the one that it votes on.
    pub(super) fn check_vote(&self, index: u8, reply: &ConsensusMessage) -> Result<(), Violation> {
        let (ConsensusMessage::Promise { map, version, .. }
        | ConsensusMessage::Accepted { map, version, .. }) = reply
        else {
            return Ok(());
        };
        let node = self.node(index);
        if node.voter.get().map(*map).version.next() >= *version {
            return Ok(());
        }
        Err(Violation::VoteOnVersionNotHeld {
            node: node.id,
            version: *version,
        })
    }

    pub(super) fn learn(
        &mut self,
        bound: &Bound,
        index: u8,
        source: u8,
        map: MapName,
    ) -> Result<(), Violation> {
        let after = self.node(index).version(map);
        let updates = self.node(source).voter.get().updates_after(map, after);
        if let Some(updates) = updates {
            self.handle(index, updates, bound.separate_sync)?;
        }
        self.finish_read(bound, index)
    }
}
