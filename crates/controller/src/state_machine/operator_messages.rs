//! What operators and instances ask of a controller, and what it responds.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::consensus::proposer::ProposalOutcome;
use caperworks::facts::{Heartbeat, Member};
use caperworks::identifiers::{NodeId, Version, Zone};
use caperworks::map_items::{LeadershipTerm, Mapping, VoterEntry};
use caperworks::ownership::TimestampedResponse;
use caperworks::replicated_map::{Change, ReplicatedMap};

/// A call of an operator, read and checked as to its form.
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
    /// Wait for changes of the configuration after a version, and no longer than `wait`.
    Watch {
        /// The version that the caller has.
        after: Version,
        /// How long the caller waits at most.
        wait: Duration,
    },
    /// Remove agents from the roster that will not come back.
    Retire {
        /// The addresses of the agents.
        dropped: Vec<SocketAddr>,
    },
    /// Report the controller's own view of the fleet.
    Status,
}

/// The response to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorResponse {
    /// How the proposal of a change ended.
    ProposalOutcome {
        /// How the proposal ended.
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
        /// The changes after the version that the caller has, or a snapshot in their place.
        update: Option<ConsensusMessage>,
        /// Whether a majority was heard a moment ago; if not, there may be later changes.
        is_current: bool,
    },
    /// The controller's view of the fleet.
    Status {
        /// What this controller knows.
        status: Box<ControllerStatus>,
    },
    /// An instance's call is acknowledged.
    Heartbeat {
        /// The response, with a stamp that the instance gives back with its next heartbeat.
        response: TimestampedResponse,
    },
    /// This controller cannot vouch for what it knows; the caller is to ask another.
    NotCurrent,
    /// This controller is shutting down; the caller is to ask another. Nothing was applied.
    ShuttingDown,
}

/// A controller's view of the fleet, as the status resource shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ControllerStatus {
    /// The number of this node.
    pub node: NodeId,
    /// The failure domain that this node runs in.
    pub zone: Zone,
    /// The local version of each map, in the order of `ALL_MAPS`.
    pub versions: Vec<Version>,
    /// Whether a recent quorum read confirmed that the local configuration is the latest.
    pub is_current: bool,
    /// Whether the disk refused a write that was not made up for yet.
    pub is_disk_failing: bool,
    /// The voters, and whether each is heard.
    pub voters: Vec<(VoterEntry, bool)>,
    /// The leadership roles, each with its present term.
    pub leaderships: Vec<(&'static str, Option<LeadershipTerm>)>,
    /// Agents and directories that renew their leases.
    pub members: Vec<Member>,
    /// The last heartbeat of each live instance.
    pub instances: Vec<Heartbeat>,
    /// The placement in force.
    pub mapping: Option<Mapping>,
    /// Agents on the roster, and whether each is in touch.
    pub fallback_members: Vec<(SocketAddr, bool)>,
    /// Up to which version operators were or could be told that a change is accepted.
    pub confirmed_version: Version,
}
