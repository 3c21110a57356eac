//! The messages between our own processes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::messages::ConsensusMessage;
use crate::deregistrations::{DeregistrationDigest, ReceivedDeregistration};
use crate::envelope_clock::{Echo, Stamp};
use crate::facts::{Demand, Heartbeat, Member, ReceivedHeartbeat, ReceivedMember};
use crate::identifiers::{InstanceId, NodeId, RouteName, ServiceName, Version, Zone};
use crate::map_items::VoterSet;
use crate::ownership::HeartbeatResponse;
use crate::partition_fallback::{FallbackRequest, FallbackResponse};
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;

messages! {
    /// A message with its sender, and the address at which the sender receives responses.
    struct Envelope {
        0 from: NodeId,
        1 reply_to: SocketAddr,
        2 message: Message,
        3 stamp: Option<Stamp>,
        4 echo: Option<Echo>,
        /// The sender also reads messages on the connection on which this one comes. Earlier releases do not.
        #[cbor(default)]
        5 is_bidirectional: bool,
    }

    /// What the disk of a controller that knows no membership shows of the founding.
    #[derive(Copy, Eq)]
    enum FoundingEvidence {
        /// It may take part, and has accepted no founding: since all seeds have to accept one, none took effect.
        0 NothingAccepted,
        /// It may take part, and has accepted a founding that may have taken effect at others.
        1 Accepted { 0 attempt: u64 },
        /// It takes part because of what others showed, and shows nothing itself; it accepts later attempts only.
        2 Admitted { 0 attempt: u64 },
    }

    /// The proposal of a set of voters by which a new membership is founded.
    #[derive(Eq)]
    struct Founding {
        /// A later attempt has a higher number.
        0 attempt: u64,
        1 voters: VoterSet,
    }

    /// The request of a member for a lease, and for the facts and updates that it is missing.
    struct Renewal {
        0 number: u64,
        1 member: Member,
        /// The incarnation of the controller that assigned the offsets in this renewal.
        3 controller_incarnation: NodeId,
        4 instances_after: u64,
        5 members_after: u64,
        /// The maps that the member follows.
        6 followed_maps: Vec<MapName>,
        /// The form in which it follows these maps.
        #[cbor(default)]
        7 form: FeedForm,
        /// How long ago the member had received all facts that a controller knew; for a controller at which
        /// the member has no offset. Without this value such a controller sends all facts that it knows.
        8 facts_age: Option<Duration>,
        #[cbor(default)]
        9 extent: ResponseExtent,
    }

    /// How much the response to a renewal may contain.
    #[derive(Copy, Eq, Default)]
    enum ResponseExtent {
        #[default]
        0 Full,
        /// A small part: the member polls several controllers at once, and follows the first that responds.
        1 Brief,
    }

    /// The response to a renewal: a lease, with facts and updates that the member is missing.
    struct Granted {
        0 number: u64,
        1 quorum_read_age: Duration,
        2 versions: Vec<Version>,
        3 instances: Vec<ReceivedHeartbeat>,
        4 instances_offset: u64,
        5 members: Vec<ReceivedMember>,
        6 members_offset: u64,
        7 updates: Vec<ConsensusMessage>,
        /// Whether the controller has a recent quorum read. Without one, the response grants no lease.
        8 has_quorum: bool,
        /// Instances that have deregistered.
        9 deregistered: Vec<InstanceId>,
        /// How many proxies are ready, or were when that was last recorded.
        10 proxies: u32,
        /// Maps that are too large for this message: the follower has to fetch them in chunks.
        11 in_chunks: Vec<MapName>,
        /// This message does not contain everything that the follower is missing: it has to renew again at
        /// once.
        #[cbor(default)]
        12 more: bool,
        /// The position of the member among the proxies; `None` for a directory.
        13 position: Option<ProxyPosition>,
        /// Set while the controller has not run for long enough to have received the heartbeats of all instances:
        /// for how much longer.
        14 collecting_left: Option<Duration>,
    }

    /// The position of a proxy among all proxies in the order of their addresses, by which limits are divided
    /// that are too small for a share of each proxy.
    #[derive(Copy, Eq)]
    struct ProxyPosition {
        /// How many proxies precede it.
        0 index: u32,
        /// The number of proxies.
        1 proxies: u32,
    }

    /// The usage of one proxy in one hour for one route.
    #[derive(Eq, Default)]
    struct UsageLine {
        0 hour: u64,
        1 route: RouteName,
        2 service: ServiceName,
        3 requests: u64,
        4 served: u64,
        5 not_run: u64,
        6 unknown: u64,
        7 bytes_in: u64,
        8 bytes_out: u64,
    }

    /// A proxy's poll of its agent.
    struct Pull {
        0 number: u64,
        1 configuration: Version,
        2 ownership: Version,
        3 serving: SocketAddr,
        4 ready: bool,
        5 capacity: u32,
        6 demand: Vec<Demand>,
        7 incarnation: u64,
        8 usage: Vec<UsageLine>,
        /// The agent from which the instances were received, and up to which offset.
        9 agent: NodeId,
        10 instances_offset: u64,
    }

    /// An agent's response to a poll of its proxy.
    struct ProxyView {
        0 number: u64,
        1 left: Duration,
        2 updates: Vec<ConsensusMessage>,
        3 instances: Vec<Heartbeat>,
        4 proxies: u32,
        5 configuration: Version,
        6 ownership: Version,
        7 agent: NodeId,
        8 instances_offset: u64,
        /// Whether the list of instances is complete, and does not only contain those that changed.
        9 all_instances: bool,
        /// For how much longer an agent without a lease takes missing responses of the control plane for a
        /// slow link.
        10 slow_link_remaining: Duration,
        /// Those of the instances in this message that are suspected because of missing heartbeats.
        11 suspected: Vec<InstanceId>,
        /// The position of the proxy among all proxies.
        12 position: Option<ProxyPosition>,
        /// For how much longer the instances' reports count as current. Earlier releases do not send it.
        13 reports_left: Option<Duration>,
    }

    /// A message between two of our own processes.
    enum Message {
        0 ConsensusMessage { 0 message: ConsensusMessage },
        /// Besides the versions it brings the deregistrations: `deregistrations` describes those that the sender knows.
        1 QuorumReadRequest { 0 number: u64, 1 deregistrations: Option<DeregistrationDigest> },
        /// The versions in memory, which count for reads and leases, and the versions that are synced to disk.
        /// `shutting_down` is set once the sender has begun a graceful shutdown. `deregistrations` lists what the
        /// sender knows, if it differs from what the request describes. `merged_under` is the version
        /// of the voters of whom a majority's deregistrations the sender last merged and synced.
        2 QuorumReadResponse { 0 number: u64, 1 versions: Vec<Version>, 2 synced: Option<Vec<Version>>, 3 shutting_down: Option<bool>, 4 deregistrations: Option<Vec<ReceivedDeregistration>>, 5 merged_under: Option<Version> },
        3 SeedRequest { 0 zone: Zone, 1 founded: bool, 2 evidence: Option<FoundingEvidence> },
        4 SeedResponse { 0 zone: Zone, 1 founded: bool, 2 evidence: Option<FoundingEvidence> },
        5 FoundingRequest { 0 founding: Founding },
        6 FoundingResponse { 0 attempt: u64 },
        /// `deregistered` repeats the IDs of `deregistrations` for earlier releases, which read only those.
        7 Facts { 0 instances: Vec<ReceivedHeartbeat>, 1 members: Vec<ReceivedMember>, 2 deregistered: Vec<InstanceId>, 3 deregistrations: Option<Vec<ReceivedDeregistration>> },
        8 Renew { 0 renewal: Renewal },
        9 Grant { 0 granted: Granted },
        10 HeartbeatForward { 0 ticket: u64, 1 received: ReceivedHeartbeat },
        11 HeartbeatReply { 0 ticket: u64, 1 response: HeartbeatResponse },
        12 Pull { 0 pull: Pull },
        13 View { 0 view: ProxyView },
        14 FallbackRequest { 0 request: FallbackRequest },
        15 FallbackResponse { 0 response: FallbackResponse },
        /// A limiting heartbeat or a deregistration, acknowledged once enough voters have confirmed it.
        16 ConfirmFact { 0 number: u64, 1 heartbeat: Option<ReceivedHeartbeat>, 2 ended: Option<InstanceId> },
        /// `synced` says that the fact is on the sender's disk. Witnesses and earlier releases do not send it.
        17 FactConfirmed { 0 number: u64, 1 synced: Option<bool> },
    }
}
