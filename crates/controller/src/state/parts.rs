//! Parts of a controller's state, each of which belongs to one concern.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::state_machine::operator_messages::OperatorResponse;
use caperworks::consensus::settlement::Settlement;
use caperworks::identifiers::{Epoch, NodeId, Version, Zone};
use caperworks::messages::{Founding, FoundingEvidence};
use caperworks::ownership::OwnerManager;
use caperworks::replicated_map::MapName;

/// The origin of a proposal, which determines how its outcome is handled.
#[derive(Debug, Clone, PartialEq)]
pub enum ProposalOrigin {
    /// An operator's change of the configuration, with the ticket of the call.
    Operator(u64),
    /// An operator's change of the fallback members, with the ticket of the call.
    FallbackMembers(u64),
    /// A placement computed by the solver.
    Solver,
    /// A change of key range ownership.
    Ownership,
    /// The acquisition or handover of a leadership role.
    Leadership(&'static str),
    /// The fence that a new term sets in a map.
    Fence(MapName),
    /// A change of the voters or of the fallback members.
    VoterManagement,
}

/// A controller as described by the last seed message from its address.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownController {
    /// Its node ID, which changes when it loses its disk.
    pub node: NodeId,
    /// The failure domain that it runs in.
    pub zone: Zone,
    /// Whether it knows a membership.
    pub founded: bool,
    /// What its disk shows of the founding.
    pub evidence: Option<FoundingEvidence>,
}

/// An operator that waits for a configuration change.
#[derive(Debug, Clone)]
pub struct Watcher {
    /// Identifies the call.
    pub ticket: u64,
    /// The version that the caller has.
    pub after: Version,
    /// When the call gets a response even without a change.
    pub until: Duration,
}

/// A response to an operator that may be sent once enough agents have a version.
#[derive(Debug, Clone)]
pub struct PendingConfirmation {
    /// Identifies the call.
    pub ticket: u64,
    /// The version that the agents must have.
    pub version: Version,
    /// When the wait times out.
    pub until: Duration,
    /// The response once enough agents have the version.
    pub response: OperatorResponse,
    /// The response if the wait times out.
    pub response_on_timeout: OperatorResponse,
}

/// Progress of the membership's founding by controllers that know no membership.
#[derive(Debug, Clone, Default)]
pub struct FoundingProgress {
    /// The last founding that this node accepted, which is stored on disk.
    pub proposed: Option<Founding>,
    /// Whether this node may take part: it was started with an empty disk and the permission of its settings, or
    /// its disk says so. Stored on disk until the node knows a membership.
    pub may_found: bool,
    /// The attempt that each node last accepted, of those proposed by this node.
    pub accepted_attempts: BTreeMap<NodeId, u64>,
    /// When the next seed requests are due.
    pub next_request_at: Duration,
}

/// The state of the ownership role.
#[derive(Debug, Default)]
pub struct OwnershipRole {
    /// Plans key range assignments and grants key range leases.
    pub manager: OwnerManager,
    /// The epoch of the manager's current term, while this controller is the leader.
    pub epoch: Option<Epoch>,
    /// When key ranges are next planned.
    pub next_plan_at: Duration,
}

/// The state of the voter management role.
#[derive(Debug, Clone, Default)]
pub struct VoterManagement {
    /// When each unreachable voter last responded.
    pub lost_since: BTreeMap<NodeId, Duration>,
    /// When a change that cannot be made was last logged.
    pub rejection_logged_at: Duration,
    /// What the voters reported under the present membership.
    pub settlement: Settlement,
    /// The epoch of the term in which this controller last managed the voters.
    pub epoch: Option<Epoch>,
    /// The controllers that are no voters although one is missing.
    pub waiting_candidates: BTreeMap<NodeId, WaitingCandidate>,
    /// The voting controllers whose loss was logged.
    pub logged_unreachable: BTreeSet<NodeId>,
    /// The voters that were last logged.
    pub logged_voters: Vec<NodeId>,
}

/// A controller that cannot become a voter yet.
#[derive(Debug, Clone, Default)]
pub struct WaitingCandidate {
    /// How often it was passed over since it became a candidate, by the reason.
    pub passed_over: BTreeMap<PassedOver, u32>,
    /// When it was last logged.
    pub logged_at: Duration,
}

/// Why a candidate was passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PassedOver {
    /// It has not responded within the suspicion timeout.
    Unreachable,
    /// It has not reported what it has synced.
    Unreported,
    /// It has not synced what it must have.
    Behind,
}

/// The time without contact to a majority of the voters.
#[derive(Debug, Clone, Default)]
pub struct MajorityLoss {
    /// When the last quorum read was first found to be too old.
    pub since: Option<Duration>,
    /// When the loss was last logged.
    pub logged_at: Duration,
}
