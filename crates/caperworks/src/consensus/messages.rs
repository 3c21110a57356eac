//! Messages between proposers and voters, and the state that a voter stores on disk.
//!
//! The numbers before fields and variants are part of the wire and disk format: never renumber them.

use crate::catch_up::{SnapshotChunk, TransferPosition};
use crate::identifiers::{InstanceId, NodeId, Version};
use crate::reduced_map::FeedForm;
use crate::replicated_map::{Change, MapName, ReplicatedMap};

messages! {
    /// A proposal number, unique per proposer: ordered by the counter, then by the proposing node.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    struct ProposalNumber {
        0 counter: u64,
        1 node: NodeId,
    }

    /// A change that a voter has accepted, with the proposal number.
    ///
    /// It is committed only once a majority of voters has accepted it.
    #[derive(Eq)]
    struct AcceptedProposal {
        0 proposal_number: ProposalNumber,
        1 change: Change,
    }

    /// The state of one voter for one map, as stored in a disk slot.
    #[derive(Eq)]
    struct Replica {
        /// The last committed version.
        0 map: ReplicatedMap,
        /// The highest proposal number promised for the next version.
        1 promised: ProposalNumber,
        /// The change accepted for the next version, if any.
        2 accepted: Option<AcceptedProposal>,
    }

    /// A committed change, with the version of the map that it produces.
    #[derive(Eq)]
    struct CommittedChange {
        0 version: Version,
        1 change: Change,
    }

    /// One record of the write-ahead log between two slots. `version` is always the version being
    /// decided: the one after the voter's committed version. A voter ignores the records of deregistrations.
    #[derive(Eq)]
    enum Record {
        /// The voter promised this proposal number.
        0 Promised { 0 map: MapName, 1 version: Version, 2 proposal_number: ProposalNumber },
        /// The voter accepted this change.
        1 Accepted { 0 map: MapName, 1 version: Version, 2 accepted: AcceptedProposal },
        /// The voter learned that this change is committed.
        2 Committed { 0 map: MapName, 1 version: Version, 2 change: Change },
        /// The node learned that these instances deregistered. It belongs to no map.
        3 Deregistered { 0 ids: Vec<InstanceId> },
        /// The node forgot these deregistrations.
        4 DeregistrationsForgotten { 0 ids: Vec<InstanceId> },
    }

    /// The messages of the consensus protocol. `version` is the version to be decided, `membership`
    /// the version of the membership map that determines the sender's majority.
    #[derive(Eq)]
    enum ConsensusMessage {
        /// Phase 1, proposer to voters.
        0 Prepare { 0 map: MapName, 1 membership: Version, 2 version: Version, 3 proposal_number: ProposalNumber },
        /// The response to `Prepare`: the voter will accept no lower proposal number.
        1 Promise { 0 map: MapName, 1 version: Version, 2 proposal_number: ProposalNumber, 3 accepted: Option<AcceptedProposal> },
        /// Phase 2, proposer to voters.
        2 Accept { 0 map: MapName, 1 membership: Version, 2 version: Version, 3 proposal_number: ProposalNumber, 4 change: Change },
        /// The response to `Accept`: the change is synced to the voter's disk.
        3 Accepted { 0 map: MapName, 1 version: Version, 2 proposal_number: ProposalNumber },
        /// The negative response to `Prepare` or `Accept`: `promised` is the proposal number that the
        /// voter has promised, and `voter_version` its version of the map.
        4 Reject { 0 map: MapName, 1 version: Version, 2 proposal_number: ProposalNumber, 3 promised: ProposalNumber, 4 voter_version: Version },
        /// A majority has accepted the change.
        5 Commit { 0 map: MapName, 1 version: Version, 2 change: Change },
        /// Requests the updates after a version. Without a position the response is one message.
        6 CatchUp { 0 map: MapName, 1 after: Version, 2 position: Option<TransferPosition> },
        /// Committed changes, in order.
        7 Updates { 0 map: MapName, 1 changes: Vec<CommittedChange> },
        /// A full snapshot in one message.
        8 Snapshot { 0 map: MapName, 1 full_map: ReplicatedMap },
        /// A chunk of an encoded snapshot.
        9 Chunk { 0 chunk: SnapshotChunk },
        /// Committed changes in reduced form, for read-only followers. Voters ignore it.
        10 ReducedUpdates { 0 map: MapName, 1 changes: Vec<CommittedChange> },
    }
}

impl ProposalNumber {
    /// No proposal was promised: lower than every proposal number that a proposer uses.
    pub const NONE: ProposalNumber = ProposalNumber {
        counter: 0,
        node: NodeId(0),
    };
}

impl Replica {
    /// Returns the state of a voter that has received nothing about this map.
    pub fn empty() -> Self {
        Self {
            map: ReplicatedMap::empty(),
            promised: ProposalNumber::NONE,
            accepted: None,
        }
    }

    /// Returns the highest version that may have been committed, according to the state of this voter.
    ///
    /// An accepted change counts: a majority may have accepted it and it may have been acknowledged
    /// to the operator, so a quorum read must not report a lower version.
    pub fn highest_possible(&self) -> Version {
        match self.accepted {
            Some(_) => self.map.version.next(),
            None => self.map.version,
        }
    }
}

impl ConsensusMessage {
    /// Creates the message that carries committed changes to a follower in the requested form.
    pub fn updates(form: FeedForm, map: MapName, changes: Vec<CommittedChange>) -> Self {
        match form {
            FeedForm::Complete => Self::Updates { map, changes },
            FeedForm::Reduced => Self::ReducedUpdates { map, changes },
        }
    }

    /// Returns the committed changes that this message carries to a follower, in either form, or
    /// `None` for every other kind of message.
    pub fn follower_updates(&self) -> Option<FollowerChanges<'_>> {
        let (form, map, changes) = match self {
            Self::Updates { map, changes } => (FeedForm::Complete, *map, changes),
            Self::ReducedUpdates { map, changes } => (FeedForm::Reduced, *map, changes),
            _ => return None,
        };
        Some(FollowerChanges { form, map, changes })
    }
}

/// Committed changes of one map, borrowed from the message that carries them.
#[derive(Debug, Clone, Copy)]
pub struct FollowerChanges<'message> {
    /// Whether the changes are complete or reduced.
    pub form: FeedForm,
    /// The map that the changes belong to.
    pub map: MapName,
    /// The changes, lowest version first.
    pub changes: &'message [CommittedChange],
}
