//! Events of the controller that are written to the log.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::catch_up::ChunkError;
use caperworks::identifiers::{Epoch, InstanceId, NodeId, ServiceName, Version};
use caperworks::ownership::OwnerChangeSummary;
use caperworks::replicated_map::MapName;

/// From whom a controller learned that an instance deregistered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeregistrationSource {
    /// The instance called this controller.
    Instance,
    /// The controller or witness with this address reported it.
    Peer(SocketAddr),
    /// It was on this controller's disk at the start.
    Disk,
}

impl fmt::Display for DeregistrationSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance => write!(formatter, "from the instance"),
            Self::Peer(address) => write!(formatter, "from {address}"),
            Self::Disk => write!(formatter, "from disk"),
        }
    }
}

/// An event, which the daemon logs under its number in the event catalogue.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This controller founded the membership.
    Founded,
    /// This node's replica of a map reached a new version.
    MapUpdated {
        /// The map.
        map: MapName,
        /// The new version.
        version: Version,
    },
    /// This controller proposes itself for a leadership role.
    LeadershipRequested {
        /// The name of the role.
        leadership: &'static str,
        /// The epoch of the term.
        epoch: Epoch,
    },
    /// This controller became the owner manager under this epoch.
    OwnershipLeaderElected {
        /// The epoch of the term.
        epoch: Epoch,
    },
    /// The owner manager proposes new owners for key ranges.
    KeyRangesReassigned {
        /// The service.
        service: ServiceName,
        /// The previous owner, the reason, and what was left of the lease.
        summary: OwnerChangeSummary,
    },
    /// The state no longer fits into a disk slot, so nothing is written any more.
    StateTooLarge {
        /// The size of the encoded state.
        bytes: u64,
    },
    /// A write to disk failed.
    DiskWriteFailed,
    /// A complete slot was written after a failed write.
    DiskRecovered,
    /// The disk's contents cannot be read, so the controller starts with a new node ID.
    DiskDamaged {
        /// Describes the damage.
        why: String,
    },
    /// An instance was deregistered because it sent no heartbeat within its lifetime.
    InstanceExpired {
        /// The instance.
        id: InstanceId,
    },
    /// An instance reported to this controller that it is warming up, which it was not by its last heartbeat.
    InstanceWarmingUp {
        /// The instance.
        id: InstanceId,
        /// For how much longer.
        left: Duration,
        /// The number of the heartbeat.
        counter: u64,
    },
    /// This controller recorded that an instance deregistered.
    InstanceDeregistered {
        /// The instance.
        id: InstanceId,
        /// From whom this controller learned it.
        source: DeregistrationSource,
    },
    /// A heartbeat of a deregistered instance was ignored.
    LateHeartbeatIgnored {
        /// The instance.
        id: InstanceId,
        /// The number of the heartbeat.
        counter: u64,
    },
    /// An agent or a directory was removed because it did not renew within its lifetime.
    MemberExpired {
        /// The ID of the node.
        node: NodeId,
    },
    /// A voter change was proposed.
    VoterChangeProposed {
        /// The reason for the change.
        why: String,
    },
    /// A voter change is due but would leave fewer live voters than a majority.
    VoterChangeRejected {
        /// The reason for the change, and the number of live voters after it.
        why: String,
    },
    /// A voting controller has not responded within the suspicion timeout.
    VoterUnreachable {
        /// The voter's ID and address, and when its last message arrived.
        why: String,
    },
    /// This controller begins to manage the voters in a new term.
    VoterManagementStarted {
        /// The epoch of the term.
        epoch: Epoch,
        /// How long this controller has been the leader.
        leading_for: Duration,
    },
    /// A controller is missing among the voters, and this one cannot become a voter yet.
    CandidateWaiting {
        /// The candidate, and the reasons with their counts.
        why: String,
    },
    /// The voters have changed.
    VotersChanged {
        /// The voters of the new membership.
        voters: Vec<NodeId>,
    },
    /// A leader's write was rejected because another term has fenced the map.
    Fenced {
        /// The origin of the write, and the items that conflict.
        what: String,
    },
    /// A chunk of a snapshot was rejected.
    ChunkRejected {
        /// The map.
        map: MapName,
        /// The address of the sender.
        from: SocketAddr,
        /// The reason for the rejection.
        why: ChunkError,
    },
    /// No majority of the voters has responded within the timeout.
    MajorityLost {
        /// The voters that are unreachable.
        why: String,
    },
    /// The shutdown completed although too few other controllers have this one's state.
    ShutdownIncomplete {
        /// How many other controllers have the state, and how many should.
        why: String,
    },
}
