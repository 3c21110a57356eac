//! The limits of one exploration, and the bugs that can be injected into it.

use caperworks::identifiers::NodeId;
use caperworks::replicated_map::MapName;

/// A change of the voters that the voter management role makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStep {
    Join(NodeId),
    Leave(NodeId),
}

/// An event before the start of the search; the events of a script happen in a fixed order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScriptStep {
    /// A proposer starts a proposal that reaches only these voters; its other requests are lost.
    Propose {
        proposer: NodeId,
        map: MapName,
        voters: Vec<NodeId>,
    },
    /// A node copies a map from another.
    Learn {
        node: NodeId,
        source: NodeId,
        map: MapName,
    },
    /// A voter reports its versions to the manager.
    Report { voter: NodeId },
    /// The voter management role checks whether the voters have to be changed.
    Manage,
}

/// A bug to inject by disabling a safeguard, to test that the invariants detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InjectedBug {
    #[default]
    None,
    /// Votes are sent before they are synced.
    VotesBeforeSync,
    /// The voters are changed before proposals that the previous voters have accepted are committed.
    SkipsRecovery,
    /// The voters are changed before a majority has synced what the reports name as possible.
    SettlesByFirstReports,
    /// A voter votes on proposals under any membership.
    VotesUnderAnyMembership,
    /// A read is served without a quorum read.
    ReadsWithoutQuorum,
    /// A read is served after a quorum read that began before the call.
    ReadsByEarlierQuorumRead,
    /// A read is served after a quorum read in which a voter reported a later membership.
    ReadsUnderOldMembership,
    /// A restarted proposer uses the same node id as its previous incarnation, so proposal numbers are
    /// used twice.
    ReusesProposalNumbers,
}

/// The limits within which all orders of events are explored.
#[derive(Debug, Clone)]
pub struct Bound {
    pub name: &'static str,
    /// The number of initial voters, all of them controllers.
    pub voters: u64,
    /// The number of nodes that have replicas of the maps but are not voters at first.
    pub spares: u64,
    /// The events before the search starts.
    pub script: Vec<ScriptStep>,
    /// The nodes that propose a configuration change before the script.
    pub early_writers: Vec<NodeId>,
    /// The nodes that propose a configuration change after the script.
    pub writers: Vec<NodeId>,
    /// The node with the voter management role, which makes the membership steps.
    pub manager: NodeId,
    /// The membership changes to make, in order.
    pub membership_steps: Vec<MembershipStep>,
    /// How many proposals each configuration proposer may start.
    pub configuration_proposals: u8,
    /// Whether reports of the voters show that the voters may be changed, instead of proposals of the manager.
    pub settles_by_reports: bool,
    /// How many configuration proposals the manager may start, to recover accepted changes.
    pub recovery_proposals: u8,
    /// How many membership proposals the manager may start.
    pub membership_proposals: u8,
    /// The nodes that serve a read.
    pub readers: Vec<NodeId>,
    /// How many quorum reads each reader may start.
    pub quorum_reads: u8,
    /// How many times in total a node loses its memory and restarts from its disk.
    pub restarts: u8,
    /// The nodes that may lose their disks; each is replaced by a new node that is not a voter.
    pub wiped: Vec<NodeId>,
    /// How many responses of voters are lost.
    pub lost_replies: u8,
    /// Whether a disk sync is a separate event or part of the input that caused it.
    pub separate_sync: bool,
    /// The bug to inject.
    pub injected_bug: InjectedBug,
}

impl Bound {
    /// Creates a bound with three voters and no events.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            voters: 3,
            spares: 0,
            script: Vec::new(),
            early_writers: Vec::new(),
            writers: Vec::new(),
            manager: NodeId(1),
            membership_steps: Vec::new(),
            settles_by_reports: false,
            configuration_proposals: 1,
            recovery_proposals: 0,
            membership_proposals: 0,
            readers: Vec::new(),
            quorum_reads: 1,
            restarts: 0,
            wiped: Vec::new(),
            lost_replies: 0,
            separate_sync: false,
            injected_bug: InjectedBug::None,
        }
    }

    /// Returns the bound with a bug injected.
    pub fn with_injected_bug(mut self, injected_bug: InjectedBug) -> Self {
        self.injected_bug = injected_bug;
        self
    }
}
