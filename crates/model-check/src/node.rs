//! One node of the model: the production voter, proposers and quorum reads, and its synced state.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::bound::{Bound, InjectedBug};
use crate::digest::{Digest, DigestWriter, Shared};
use caperworks::consensus::messages::{ConsensusMessage, Record};
use caperworks::consensus::proposer::{Proposer, ProposerOptions};
use caperworks::consensus::settlement::Settlement;
use caperworks::consensus::voter::Voter;
use caperworks::identifiers::{NodeId, Version};
use caperworks::leases::QuorumReads;
use caperworks::replicated_map::MapName;

/// The time at which proposals start. It is compared only with the timeouts below, so all proposals
/// can start at the same time.
pub const PROPOSAL_TIME: Duration = Duration::from_secs(1);
/// The time at which quorum reads start.
pub const QUORUM_READ_TIME: Duration = Duration::from_secs(2);

/// The state of a node's read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    NotCalled,
    /// Called after this version had been acknowledged.
    Called {
        accepted: Version,
    },
    Completed,
}

/// A node with its in-memory and synced state.
#[derive(Debug, Clone)]
pub struct Node {
    pub id: NodeId,
    /// Counts the restarts of the process.
    pub incarnation: u64,
    /// A wiped node never runs again: the process on the empty disk is another node.
    pub is_running: bool,
    pub voter: Shared<Voter>,
    /// The synced state, from which the node restarts.
    pub synced: Shared<Voter>,
    pub unsynced: Vec<Record>,
    /// Whether a snapshot was installed that is not synced yet.
    pub unsynced_rewrite: bool,
    /// Replies to send once the records are synced.
    pub pending_replies: Vec<(NodeId, ConsensusMessage)>,
    pub configuration: Shared<Proposer>,
    pub membership: Shared<Proposer>,
    pub configuration_proposals: u8,
    pub membership_proposals: u8,
    /// The membership under which the manager last proposed a change of the voters.
    pub requested_under: Option<Version>,
    /// What the voters reported to this node as the manager.
    pub settlement: Settlement,
    pub quorum_reads: QuorumReads,
    pub quorum_reads_left: u8,
    /// The quorum read in progress, and the voters that have not responded to it.
    pub open_quorum_read: Option<(u64, BTreeSet<NodeId>)>,
    pub read: ReadState,
}

/// Returns options that make proposers independent of time: a tick at time zero ends the proposal in
/// progress, and a tick at [`PROPOSAL_TIME`] starts the next.
fn untimed_options() -> ProposerOptions {
    ProposerOptions {
        phase_timeout: Duration::ZERO,
        second_controller_timeout: Duration::MAX,
        pending_timeout: Duration::MAX,
        synced_controllers: Some(2),
        ..ProposerOptions::default()
    }
}

fn proposer(map: MapName, node: NodeId) -> Shared<Proposer> {
    Shared::new(Proposer::new(map, node, untimed_options()))
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

/// Returns the node id in a proposer's proposal numbers, which is unique to each incarnation.
fn proposer_node(id: NodeId, incarnation: u64, injected_bug: InjectedBug) -> NodeId {
    match injected_bug {
        InjectedBug::ReusesProposalNumbers => id,
        _ => NodeId(id.0 * 100 + incarnation),
    }
}

impl Node {
    /// Creates a running node that has this voter's state in memory and on disk.
    pub fn new(id: NodeId, voter: Voter, bound: &Bound) -> Self {
        let mut node = Self {
            id,
            incarnation: 0,
            is_running: true,
            synced: Shared::new(voter.clone()),
            voter: Shared::new(voter),
            unsynced: Vec::new(),
            unsynced_rewrite: false,
            pending_replies: Vec::new(),
            configuration: proposer(MapName::Configuration, id),
            membership: proposer(MapName::Membership, id),
            configuration_proposals: match bound.manager == id {
                true => bound.recovery_proposals.max(bound.configuration_proposals),
                false => bound.configuration_proposals,
            },
            membership_proposals: bound.membership_proposals,
            requested_under: None,
            settlement: Settlement::default(),
            quorum_reads: QuorumReads::default(),
            quorum_reads_left: bound.quorum_reads,
            open_quorum_read: None,
            read: ReadState::NotCalled,
        };
        node.start_proposers(bound.injected_bug);
        node
    }

    fn start_proposers(&mut self, injected_bug: InjectedBug) {
        let node = proposer_node(self.id, self.incarnation, injected_bug);
        self.configuration = proposer(MapName::Configuration, node);
        self.membership = proposer(MapName::Membership, node);
    }

    /// Restarts the node from its synced state.
    pub fn restart(&mut self, injected_bug: InjectedBug) {
        self.incarnation += 1;
        self.voter = self.synced.clone();
        self.unsynced.clear();
        self.unsynced_rewrite = false;
        self.pending_replies.clear();
        self.requested_under = None;
        self.settlement = Settlement::default();
        self.quorum_reads = QuorumReads::default();
        self.open_quorum_read = None;
        self.start_proposers(injected_bug);
    }

    /// Syncs everything written so far, and returns the replies that may now be sent.
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
        std::mem::take(&mut self.pending_replies)
    }

    /// Returns whether everything is synced and no reply waits for a sync.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty() && !self.unsynced_rewrite && self.pending_replies.is_empty()
    }

    /// Returns the version of a map in memory.
    pub fn version(&self, map: MapName) -> Version {
        self.voter.get().map(map).version
    }

    /// Returns the proposer for a map, and the voter whose replicas it uses.
    pub fn proposer(&mut self, map: MapName) -> (&mut Proposer, &Voter) {
        let proposer = match map {
            MapName::Membership => self.membership.change(),
            _ => self.configuration.change(),
        };
        (proposer, self.voter.get())
    }

    /// Returns a digest of the state of this node.
    ///
    /// The voter's history is not included: it only determines whether updates are sent as changes or
    /// as a snapshot.
    pub fn digest(&mut self) -> Digest {
        let mut writer = DigestWriter::default();
        writer.add(&(self.id, self.incarnation, self.is_running));
        writer.add_digest(self.voter.digest(digest_of_replicas));
        writer.add_digest(self.synced.digest(digest_of_replicas));
        writer.add_digest(self.configuration.digest(digest_of_proposer));
        writer.add_digest(self.membership.digest(digest_of_proposer));
        writer.add(&(&self.unsynced, self.unsynced_rewrite, &self.pending_replies));
        writer.add(&(self.configuration_proposals, self.membership_proposals));
        writer.add(&(
            self.requested_under,
            &self.settlement,
            &self.quorum_reads,
            self.quorum_reads_left,
        ));
        writer.add(&(&self.open_quorum_read, self.read));
        writer.finish()
    }
}
