//! What our processes say to each other.

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::messages::ConsensusMessage;
use crate::envelope_clock::{Echo, Stamp};
use crate::facts::{Demand, Heartbeat, Member, ReceivedHeartbeat, ReceivedMember};
use crate::identifiers::{InstanceId, NodeId, RouteName, ServiceName, Version, Zone};
use crate::map_items::VoterSet;
use crate::ownership::HeartbeatResponse;
use crate::partition_fallback::{FallbackRequest, FallbackResponse};
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;

messages! {
    /// Every message travels with its sender and where the sender hears answers.
    struct Envelope {
        0 from: NodeId,
        1 reply_to: SocketAddr,
        2 message: Message,
        3 stamp: Option<Stamp>,
        4 echo: Option<Echo>,
        /// The sender also reads messages on the connection on which this one comes. Earlier releases do not.
        #[cbor(default)]
        5 reads_here: bool,
    }

    #[derive(Eq)]
    struct Founding {
        0 attempt: u64,
        1 voters: VoterSet,
    }

    struct Renewal {
        0 number: u64,
        1 member: Member,
        3 controller: NodeId,
        4 instances_after: u64,
        5 members_after: u64,
        6 wants: Vec<MapName>,
        /// In which form it wants them.
        #[cbor(default)]
        7 form: FeedForm,
        /// How long ago a controller had told the member all facts that it knew; for a controller of which
        /// the member has no offset. Without it such a controller tells all that it knows.
        8 facts_age: Option<Duration>,
        #[cbor(default)]
        9 extent: ResponseExtent,
    }

    /// How much the answer to a renewal may hold.
    #[derive(Copy, Eq, Default)]
    enum ResponseExtent {
        #[default]
        0 Full,
        /// Little: the member asks several controllers at once, and follows the first that answers.
        1 Brief,
    }

    struct Granted {
        0 number: u64,
        1 quorum_read_age: Duration,
        2 versions: Vec<Version>,
        3 instances: Vec<ReceivedHeartbeat>,
        4 instances_offset: u64,
        5 members: Vec<ReceivedMember>,
        6 members_offset: u64,
        7 updates: Vec<ConsensusMessage>,
        8 assured: bool,
        /// Instances that ended, as they said themselves.
        9 gone: Vec<InstanceId>,
        /// How many proxies are ready, or were when that was last written down.
        10 proxies: u32,
        /// Maps that are too large for this message: the follower is to fetch them in pieces.
        11 in_chunks: Vec<MapName>,
        /// This message does not hold all that the follower lacks: it is to ask again at once.
        #[cbor(default)]
        12 more: bool,
    }

    /// What one proxy carried in one hour for one rule.
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
        /// Up to which place of which agent the instances are held.
        9 agent: NodeId,
        10 instances_offset: u64,
    }

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
        /// Whether the instances are all there are, and not only those that changed.
        9 all_instances: bool,
        /// For how much longer an agent without a lease takes the core's silence for a slow link.
        10 link_slow_for: Duration,
        /// Those of the instances told here whose heartbeats have stayed away for their span.
        11 silent: Vec<InstanceId>,
    }

    enum Message {
        0 ConsensusMessage { 0 vote: ConsensusMessage },
        1 QuorumReadRequest { 0 number: u64 },
        /// What is held in memory, which counts for reads and leases, and what of it is synced.
        2 QuorumReadResponse { 0 number: u64, 1 versions: Vec<Version>, 2 synced: Option<Vec<Version>> },
        3 SeedRequest { 0 zone: Zone, 1 founded: bool },
        4 SeedResponse { 0 zone: Zone, 1 founded: bool },
        5 FoundingRequest { 0 founding: Founding },
        6 FoundingResponse { 0 attempt: u64 },
        7 Facts { 0 instances: Vec<ReceivedHeartbeat>, 1 members: Vec<ReceivedMember>, 2 gone: Vec<InstanceId> },
        8 Renew { 0 renewal: Renewal },
        9 Grant { 0 granted: Granted },
        10 HeartbeatForward { 0 ticket: u64, 1 heard: ReceivedHeartbeat },
        11 HeartbeatReply { 0 ticket: u64, 1 response: HeartbeatResponse },
        12 Pull { 0 pull: Pull },
        13 View { 0 view: ProxyView },
        14 FallbackRequest { 0 ask: FallbackRequest },
        15 FallbackResponse { 0 tell: FallbackResponse },
        /// A drain or an end that is acknowledged once a majority of the voters holds it.
        16 ConfirmFact { 0 number: u64, 1 heartbeat: Option<ReceivedHeartbeat>, 2 ended: Option<InstanceId> },
        17 FactConfirmed { 0 number: u64 },
    }
}
