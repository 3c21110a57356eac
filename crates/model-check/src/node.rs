//! One node of the model: the real voter, proposers and rounds, and what of them is on its disk.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::bound::{Bound, Mistake};
use crate::digest::{Digest, DigestWriter, Shared};
use caperworks::consensus::messages::{ConsensusMessage, Record};
use caperworks::consensus::proposer::{Proposer, ProposerOptions};
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{NodeId, Version};
use caperworks::leases::QuorumReads;
use caperworks::replicated_map::MapName;

/// When ballots begin. Only ever compared with the spans below, so one instant serves all.
pub const PROPOSAL_TIME: Duration = Duration::from_secs(1);
/// When rounds begin.
pub const QUORUM_READ_TIME: Duration = Duration::from_secs(2);

/// How far a node's read has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    NotCalled,
    /// Called, when this version had been accepted.
    Called {
        accepted: Version,
    },
    Answered,
}

#[derive(Debug, Clone)]
pub struct Node {
    pub id: NodeId,
    /// Which life of the process this is.
    pub incarnation: u64,
    /// A wiped node never runs again: the process on the empty disk is another node.
    pub is_running: bool,
    pub voter: Shared<Voter>,
    /// What a restart finds on the disk.
    pub synced: Shared<Voter>,
    pub unsynced: Vec<Record>,
    /// A whole map was taken over that is not on the disk yet.
    pub unsynced_rewrite: bool,
    /// Answers that may leave once the records are synced.
    pub held: Vec<(NodeId, ConsensusMessage)>,
    pub configuration: Shared<Proposer>,
    pub membership: Shared<Proposer>,
    pub configuration_proposals: u8,
    pub membership_proposals: u8,
    /// The membership under which the manager last asked for other voters.
    pub asked_under: Option<Version>,
    pub quorum_reads: QuorumReads,
    pub quorum_reads_left: u8,
    /// The round under way and who has yet to answer it.
    pub open_quorum_read: Option<(u64, BTreeSet<NodeId>)>,
    pub read: ReadState,
}

/// Options under which time plays no part: a tick at time zero ends a ballot under way, and one at
/// [`PROPOSAL_TIME`] begins the next.
fn untimed_options() -> ProposerOptions {
    ProposerOptions {
        phase_timeout: Duration::ZERO,
        second_controller_timeout: Duration::MAX,
        pending_timeout: Duration::MAX,
        synced_controllers: Some(2),
        ..ProposerOptions::default()
    }
}

fn proposer(map: MapName, name: NodeId) -> Shared<Proposer> {
    Shared::new(Proposer::new(map, name, untimed_options()))
}

fn digest_of_replicas(voter: &mut Voter) -> Digest {
    let mut writer = DigestWriter::default();
    for replica in voter.replicas() {
        writer.add_encoded(replica);
    }
    writer.finish()
}

fn digest_of_proposer(proposer: &mut Proposer) -> Digest {
    let mut writer = DigestWriter::default();
    writer.add(proposer);
    writer.finish()
}

/// The name that a proposer's ballots carry.
fn proposer_node(id: NodeId, incarnation: u64, mistake: Mistake) -> NodeId {
    match mistake {
        Mistake::ReusesProposalNumbers => id,
        _ => NodeId(id.0 * 100 + incarnation),
    }
}

impl Node {
    pub fn new(id: NodeId, voter: Voter, bound: &Bound) -> Self {
        let mut node = Self {
            id,
            incarnation: 0,
            is_running: true,
            synced: Shared::new(voter.clone()),
            voter: Shared::new(voter),
            unsynced: Vec::new(),
            unsynced_rewrite: false,
            held: Vec::new(),
            configuration: proposer(MapName::Configuration, id),
            membership: proposer(MapName::Membership, id),
            configuration_proposals: match bound.manager == id {
                true => bound
                    .committing_proposals
                    .max(bound.configuration_proposals),
                false => bound.configuration_proposals,
            },
            membership_proposals: bound.membership_proposals,
            asked_under: None,
            quorum_reads: QuorumReads::default(),
            quorum_reads_left: bound.quorum_reads,
            open_quorum_read: None,
            read: ReadState::NotCalled,
        };
        node.start_proposers(bound.mistake);
        node
    }

    fn start_proposers(&mut self, mistake: Mistake) {
        let name = proposer_node(self.id, self.incarnation, mistake);
        self.configuration = proposer(MapName::Configuration, name);
        self.membership = proposer(MapName::Membership, name);
    }

    /// Loses the memory and starts again from the disk.
    pub fn restart(&mut self, mistake: Mistake) {
        self.incarnation += 1;
        self.voter = self.synced.clone();
        self.unsynced.clear();
        self.unsynced_rewrite = false;
        self.held.clear();
        self.asked_under = None;
        self.quorum_reads = QuorumReads::default();
        self.open_quorum_read = None;
        self.start_proposers(mistake);
    }

    /// Everything written so far reaches the disk.
    pub fn sync(&mut self) -> Vec<(NodeId, ConsensusMessage)> {
        if self.unsynced_rewrite {
            self.synced = self.voter.clone();
        } else {
            for record in self.unsynced.drain(..) {
                self.synced.change().replay(record);
            }
        }
        self.unsynced.clear();
        self.unsynced_rewrite = false;
        std::mem::take(&mut self.held)
    }

    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty() && !self.unsynced_rewrite && self.held.is_empty()
    }

    pub fn version(&self, map: MapName) -> Version {
        self.voter.get().map(map).version
    }

    /// The proposer for a map, and the voter by whose copies it goes.
    pub fn proposer(&mut self, map: MapName) -> (&mut Proposer, &Voter) {
        let proposer = match map {
            MapName::Membership => self.membership.change(),
            _ => self.configuration.change(),
        };
        (proposer, self.voter.get())
    }

    /// What tells this node's state from another.
    ///
    /// Why without the voter's history: it only decides in which form the same news is told.
    pub fn digest(&mut self) -> Digest {
        let mut writer = DigestWriter::default();
        writer.add(&(self.id, self.incarnation, self.is_running));
        writer.add_digest(self.voter.digest(digest_of_replicas));
        writer.add_digest(self.synced.digest(digest_of_replicas));
        writer.add_digest(self.configuration.digest(digest_of_proposer));
        writer.add_digest(self.membership.digest(digest_of_proposer));
        writer.add(&(&self.unsynced, self.unsynced_rewrite, &self.held));
        writer.add(&(self.configuration_proposals, self.membership_proposals));
        writer.add(&(self.asked_under, &self.quorum_reads, self.quorum_reads_left));
        writer.add(&(&self.open_quorum_read, self.read));
        writer.finish()
    }
}
