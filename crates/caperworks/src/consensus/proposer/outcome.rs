//! The outputs of a proposer: the result of each proposed change, and the messages to send.

use crate::configuration::Fault;
use crate::consensus::messages::ConsensusMessage;
use crate::identifiers::{NodeId, Version};
use crate::replicated_map::{Conflict, TakenVersion};

/// The result of one proposed change.
#[derive(Debug, Clone, PartialEq)]
pub enum ProposalOutcome {
    /// Committed at this version of the map.
    Accepted(Version),
    /// The same change was committed before, at this version.
    Repeat(Version),
    /// Another change was committed under the same id, at this version.
    IdTaken(Version),
    /// Not committed: these items have changed since the writer read them.
    Conflicts(Vec<Conflict>),
    /// Not committed: other contents were confirmed under the operator versions of these items.
    VersionsTaken(Vec<TakenVersion>),
    /// Outcome unknown: for these items, the contents that were confirmed under the versions in the
    /// change are no longer in the history.
    VersionsForgotten(Vec<String>),
    /// Outcome unknown: the change may have been committed before the oldest change that the map
    /// remembers. The map is at this version.
    IdForgotten(Version),
    /// Not committed: the configuration would not be valid.
    Invalid(Vec<Fault>),
    /// Certainly not committed: it was never proposed to any voter.
    NoMajority,
    /// Not committed, and never proposed: too few agents are reachable to apply it.
    TooFewAgents,
    /// Outcome unknown: it was proposed and may still be committed. The caller should read it back.
    Unknown,
}

/// The messages to send and the results to report after an input to a proposer.
#[derive(Debug, Default, PartialEq)]
pub struct ProposerOutcome {
    /// Messages to every voter, including the node itself.
    pub to_voters: Vec<ConsensusMessage>,
    /// Messages to single voters that are behind.
    pub to_voter: Vec<(NodeId, ConsensusMessage)>,
    /// Results, each with the ticket under which the change was proposed.
    pub proposal_outcomes: Vec<(u64, ProposalOutcome)>,
}

impl ProposerOutcome {
    /// Adds the result of one proposal.
    pub(super) fn complete(&mut self, ticket: u64, result: ProposalOutcome) {
        self.proposal_outcomes.push((ticket, result));
    }
}
