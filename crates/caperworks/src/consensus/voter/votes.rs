//! Voting rules: when a voter promises, when it accepts, and what a rejection contains.
//!
//! Invariants of this module:
//!
//! - A voter never promises or accepts a proposal number lower than one that it has promised for the
//!   same version.
//! - It votes only on the version right after its own, so a majority of votes for version N+1 is a
//!   majority that has version N.
//! - It votes only for proposers that have exactly its version of the membership.

use crate::consensus::messages::{AcceptedProposal, ConsensusMessage, ProposalNumber, Record};
use crate::consensus::voter::{Voter, VoterOutcome};
use crate::identifiers::Version;
use crate::replicated_map::{Change, MapName};

/// The subject of a vote: a version of a map under one proposal number.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProposalKey {
    map: MapName,
    version: Version,
    number: ProposalNumber,
}

impl ProposalKey {
    pub(super) fn new(map: MapName, version: Version, number: ProposalNumber) -> Self {
        Self {
            map,
            version,
            number,
        }
    }
}

impl Voter {
    /// Phase 1: promises to accept no lower proposal number, and reports the change that was accepted
    /// before, if any. Rejects the proposal if the voter may not vote on it.
    pub(super) fn handle_prepare(
        &mut self,
        proposal: ProposalKey,
        membership: Version,
        outcome: &mut VoterOutcome,
    ) {
        if !self.may_vote(proposal, membership) {
            self.reject(proposal, membership, outcome);
            return;
        }
        let ProposalKey {
            map,
            version,
            number: proposal_number,
        } = proposal;
        let replica = &mut self.replicas[map.index()];
        replica.promised = proposal_number;
        outcome.records.push(Record::Promised {
            map,
            version,
            proposal_number,
        });
        outcome.replies.push(ConsensusMessage::Promise {
            map,
            version,
            proposal_number,
            accepted: replica.accepted.clone(),
        });
    }

    /// Phase 2: accepts the change, replacing any that was accepted under a lower proposal number.
    /// Rejects the proposal if the voter may not vote on it.
    pub(super) fn handle_accept(
        &mut self,
        proposal: ProposalKey,
        membership: Version,
        change: Change,
        outcome: &mut VoterOutcome,
    ) {
        if !self.may_vote(proposal, membership) {
            self.reject(proposal, membership, outcome);
            return;
        }
        let ProposalKey {
            map,
            version,
            number: proposal_number,
        } = proposal;
        let accepted = AcceptedProposal {
            proposal_number,
            change,
        };
        let replica = &mut self.replicas[map.index()];
        replica.promised = proposal_number;
        replica.accepted = Some(accepted.clone());
        outcome.records.push(Record::Accepted {
            map,
            version,
            accepted,
        });
        outcome.replies.push(ConsensusMessage::Accepted {
            map,
            version,
            proposal_number,
        });
    }

    /// Returns whether the voter may vote on this proposal.
    ///
    /// The proposer must have exactly this voter's version of the membership. Otherwise a voter could
    /// vote on a version for a proposer that counts the old voters after it had helped the new voters
    /// to decide that version.
    fn may_vote(&self, proposal: ProposalKey, membership: Version) -> bool {
        let replica = self.replica(proposal.map);
        membership == self.map(MapName::Membership).version
            && proposal.version == replica.map.version.next()
            && proposal.number >= replica.promised
    }

    /// Rejects a proposal with the promised proposal number and the version of this voter, and adds
    /// the messages that bring the side that is behind, proposer or voter, up to date.
    fn reject(&self, proposal: ProposalKey, membership: Version, outcome: &mut VoterOutcome) {
        let replica = self.replica(proposal.map);
        outcome.replies.push(ConsensusMessage::Reject {
            map: proposal.map,
            version: proposal.version,
            proposal_number: proposal.number,
            promised: replica.promised,
            voter_version: replica.map.version,
        });
        if proposal.version <= replica.map.version {
            let after = Version(proposal.version.0.saturating_sub(1));
            outcome
                .replies
                .extend(self.updates_after(proposal.map, after));
        }
        let own_membership = self.map(MapName::Membership).version;
        if membership < own_membership {
            outcome
                .replies
                .extend(self.updates_after(MapName::Membership, membership));
        } else if membership > own_membership {
            outcome.replies.push(ConsensusMessage::CatchUp {
                map: MapName::Membership,
                after: own_membership,
                position: None,
            });
        }
    }
}
