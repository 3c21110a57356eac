//! The Paxos acceptor: one replica of each map, with its promised and accepted proposals.
//!
//! A voter is a state machine without I/O. [`Voter::handle`] takes a message and returns the records
//! to append to the log and the replies; the caller must sync the records before it sends the replies.

use crate::consensus::messages::{ConsensusMessage, Record, Replica};
use crate::consensus::voter::votes::ProposalKey;
use crate::feed::History;
use crate::identifiers::Version;
use crate::replicated_map::{MapName, ReplicatedMap, ALL_MAPS};

mod commits;
mod votes;

/// The records to persist and the replies to send after a message was handled.
///
/// The caller must sync the records to disk before it sends the replies: a promise that is lost in a
/// restart would let two proposers commit different changes under one version.
#[derive(Debug, Default, PartialEq)]
pub struct VoterOutcome {
    /// Records to append to the log, in order.
    pub records: Vec<Record>,
    /// Replies to the sender of the message.
    pub replies: Vec<ConsensusMessage>,
    /// The maps whose committed version advanced.
    pub advanced: Vec<MapName>,
    /// Whether a snapshot replaced a map. No log record can express that, so the caller must write
    /// the complete state to a slot.
    pub rewrite: bool,
}

/// The Paxos acceptor of one node: a replica of every map, and the recent changes of each.
#[derive(Debug, Clone)]
pub struct Voter {
    replicas: Vec<Replica>,
    histories: Vec<History>,
}

impl Default for Voter {
    fn default() -> Self {
        Self::restored(ALL_MAPS.iter().map(|_| Replica::empty()).collect())
    }
}

impl Voter {
    /// Creates a voter from the state in a disk slot: one entry per map, in the order of [`ALL_MAPS`].
    ///
    /// Called once at start; the log records after the slot are then applied with [`Voter::replay`].
    pub fn restored(replicas: Vec<Replica>) -> Self {
        let histories = replicas.iter().map(|_| History::default()).collect();
        Self {
            replicas,
            histories,
        }
    }

    /// Returns the state to write into a disk slot.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Returns the consensus state of one map.
    pub fn replica(&self, name: MapName) -> &Replica {
        &self.replicas[name.index()]
    }

    /// Returns one map at the last committed version that this node has.
    pub fn map(&self, name: MapName) -> &ReplicatedMap {
        &self.replicas[name.index()].map
    }

    /// Returns the recent changes of one map.
    pub fn history(&self, name: MapName) -> &History {
        &self.histories[name.index()]
    }

    /// Returns, for each map, the highest version that may have been committed; see
    /// [`Replica::highest_possible`].
    pub fn highest_possible(&self) -> Vec<Version> {
        self.replicas
            .iter()
            .map(Replica::highest_possible)
            .collect()
    }

    /// Returns the changes or the full snapshot that bring a replica from version `after` to the
    /// version of this node, or `None` if the replica is not behind.
    pub fn updates_after(&self, name: MapName, after: Version) -> Option<ConsensusMessage> {
        self.histories[name.index()].updates_after(name, self.map(name), after)
    }

    /// Handles a message from a proposer or from another replica.
    ///
    /// Ignores messages for proposers, for the catch-up receiver and for followers.
    pub fn handle(&mut self, message: ConsensusMessage) -> VoterOutcome {
        let mut outcome = VoterOutcome::default();
        match message {
            ConsensusMessage::Prepare {
                map,
                membership,
                version,
                proposal_number,
            } => {
                let proposal = ProposalKey::new(map, version, proposal_number);
                self.handle_prepare(proposal, membership, &mut outcome);
            }
            ConsensusMessage::Accept {
                map,
                membership,
                version,
                proposal_number,
                change,
            } => {
                let proposal = ProposalKey::new(map, version, proposal_number);
                self.handle_accept(proposal, membership, change, &mut outcome);
            }
            ConsensusMessage::Commit {
                map,
                version,
                change,
            } => self.handle_commit(map, version, change, &mut outcome),
            ConsensusMessage::CatchUp { map, after, .. } => {
                outcome.replies.extend(self.updates_after(map, after))
            }
            ConsensusMessage::Updates { map, changes } => {
                self.handle_changes(map, changes, &mut outcome)
            }
            ConsensusMessage::Snapshot { map, full_map } => {
                self.handle_snapshot(map, full_map, &mut outcome)
            }
            ConsensusMessage::Promise { .. }
            | ConsensusMessage::Accepted { .. }
            | ConsensusMessage::Reject { .. }
            | ConsensusMessage::Chunk { .. }
            | ConsensusMessage::ReducedUpdates { .. } => {}
        }
        outcome
    }
}
