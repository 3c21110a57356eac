//! Calls of operators to a controller, and its responses to operators and instances.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::{Heartbeat, Member};
use caperworks::identifiers::{NodeId, Version, Zone};
use caperworks::map_items::{LeadershipTerm, Mapping, VoterEntry};
use caperworks::ownership::TimestampedResponse;
use caperworks::replicated_map::{Change, ReplicatedMap};

/// A call of an operator, parsed from a request whose form is valid.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorCall {
    /// Propose a change of the configuration.
    Apply {
        /// The change.
        change: Change,
    },
    /// Report what is wrong with a change, without applying it.
    Check {
        /// The change.
        change: Change,
    },
    /// Read the complete configuration.
    Read,
    /// Wait for configuration changes after a version, but no longer than `wait`.
    Watch {
        /// The version that the caller has.
        after: Version,
        /// The maximum time that the caller waits.
        wait: Duration,
    },
    /// Remove agents that will not come back from the fallback members.
    RemoveAgents {
        /// The addresses of the agents.
        agents: Vec<SocketAddr>,
    },
    /// Report the controller's own view of the fleet.
    Status,
}

/// The response to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorResponse {
    /// The outcome of a proposed change.
    ProposalOutcome {
        /// The outcome.
        proposal_outcome: ProposalOutcome,
    },
    /// The complete configuration.
    Configuration {
        /// This controller's replica of the configuration.
        map: ReplicatedMap,
    },
    /// The response to a watch.
    Changes {
        /// The version up to which changes are included.
        version: Version,
        /// The changes after the version that the caller has, or a snapshot instead.
        update: Option<ConsensusMessage>,
        /// Whether this controller has recent contact to a majority; if not, there may be later changes.
        is_current: bool,
    },
    /// The controller's view of the fleet.
    Status {
        /// The status.
        status: Box<ControllerStatus>,
    },
    /// An instance's call is acknowledged.
    Heartbeat {
        /// The response, with a timestamp that the instance returns with its next heartbeat.
        response: TimestampedResponse,
    },
    /// This controller cannot confirm that its state is current; the caller should try another one.
    NotCurrent,
    /// This controller is shutting down; the caller should try another one. Nothing was applied.
    ShuttingDown,
}

/// A controller's view of the fleet, as reported by the status resource.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerStatus {
    /// The ID of this node.
    pub node: NodeId,
    /// The failure domain that this node runs in.
    pub zone: Zone,
    /// The local version of each map, in the order of `ALL_MAPS`.
    pub versions: Vec<Version>,
    /// Whether a recent quorum read confirmed that the local configuration is the latest.
    pub is_current: bool,
    /// Whether a write failed and no complete slot has been written since.
    pub is_disk_failing: bool,
    /// The voters, and whether each is alive.
    pub voters: Vec<(VoterEntry, bool)>,
    /// The leadership roles, each with its current term.
    pub leaderships: Vec<(&'static str, Option<LeadershipTerm>)>,
    /// The agents and directories that renew their leases.
    pub members: Vec<Member>,
    /// The last heartbeat of each live instance.
    pub instances: Vec<Heartbeat>,
    /// The current placement.
    pub mapping: Option<Mapping>,
    /// The fallback members, and whether each is reachable.
    pub fallback_members: Vec<(SocketAddr, bool)>,
    /// The highest configuration version that may be reported to operators as accepted.
    pub confirmed_version: Version,
}
