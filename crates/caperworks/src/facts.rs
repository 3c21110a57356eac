//! Facts: soft state that its source reports again and again. Nodes merge reports entry by entry and
//! expire them by their own clock.

use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::{Incarnation, InstanceId, NodeId, RouteName, ServiceName, Version, Zone};
use crate::ownership::ReleasedKeyRange;

messages! {
    /// The state that an instance reports.
    #[derive(Copy, Eq)]
    enum InstanceState {
        /// Warming up: its rate of requests is still limited.
        0 Warming,
        1 Serving,
        /// About to terminate: new requests go to other instances.
        2 Draining,
    }

    /// A heartbeat: what an instance reports of itself.
    struct Heartbeat {
        0 id: InstanceId,
        1 incarnation: Incarnation,
        /// Sequence number within the incarnation.
        2 counter: u64,
        3 service: ServiceName,
        4 zone: Zone,
        5 address: SocketAddr,
        6 capacity: u32,
        7 state: InstanceState,
        8 load: u32,
        /// How long the instance has been running.
        9 uptime: Duration,
        /// The key ranges in use: with a valid lease or with requests in flight.
        10 key_ranges_in_use: Vec<u32>,
        /// The key ranges that it has released.
        11 released: Vec<ReleasedKeyRange>,
        /// How much longer it warms up, by its own report.
        12 warm_up_left: Duration,
    }

    /// The role of a member.
    #[derive(Copy, Eq)]
    enum Role {
        0 Proxy,
        1 Directory,
    }

    /// The zone that the clients of a group report for themselves.
    #[derive(Eq)]
    struct GroupZone { 0 group: String, 1 zone: Zone }

    /// The demand of a client group on one route, as a proxy measured it.
    struct Demand {
        0 group: String,
        1 route: RouteName,
        /// Requests a second.
        2 requests: u32,
        /// Network distance between the clients and the proxy; zero if it was not measured.
        3 distance: Duration,
    }

    /// What a member reports of itself when it renews its lease.
    struct Member {
        0 node: NodeId,
        1 counter: u64,
        2 role: Role,
        3 zone: Zone,
        4 control: SocketAddr,
        5 serving: SocketAddr,
        6 ready: bool,
        7 capacity: u32,
        8 demand: Vec<Demand>,
        9 versions: Vec<Version>,
        10 draining: bool,
        /// The zones that client groups reported to a directory.
        11 client_zones: Vec<GroupZone>,
        /// Whether the demand is unchanged since the last report and therefore omitted.
        12 demand_unchanged: bool,
        /// Set by the controller where it renewed its lease when it stops doing so; its own next report
        /// takes precedence.
        13 suspected: bool,
    }

    /// A heartbeat as one node forwards it to another, with its age when it was sent.
    struct ReceivedHeartbeat { 0 heartbeat: Heartbeat, 1 age: Duration }
    /// A member's report as one node forwards it to another, with its age when it was sent.
    struct ReceivedMember { 0 member: Member, 1 age: Duration }
}

impl ReceivedHeartbeat {
    /// Returns the report with its age increased by the time it was in transit.
    pub fn aged(mut self, delay: Duration) -> Self {
        self.age += delay;
        self
    }
}

impl ReceivedMember {
    /// Returns the report with its age increased by the time it was in transit.
    pub fn aged(mut self, delay: Duration) -> Self {
        self.age += delay;
        self
    }
}

impl Heartbeat {
    /// Returns the heartbeat without its key ranges, which only the owner manager needs.
    pub(crate) fn for_followers(&self) -> Heartbeat {
        Heartbeat {
            key_ranges_in_use: Vec::new(),
            released: Vec::new(),
            ..self.clone()
        }
    }

    /// Returns whether it reports a change since another heartbeat of which followers must be notified.
    pub(crate) fn differs_from(&self, other: &Heartbeat) -> bool {
        self.incarnation != other.incarnation
            || self.address != other.address
            || self.state != other.state
            || self.service != other.service
            || self.zone != other.zone
            || self.capacity != other.capacity
            || self.warm_up_left.is_zero() != other.warm_up_left.is_zero()
    }

    /// Returns whether it was sent after another heartbeat of the same instance.
    pub(crate) fn is_newer_than(&self, other: &Heartbeat) -> bool {
        (self.incarnation, self.counter) > (other.incarnation, other.counter)
    }

    /// Returns whether the instance is warming up, by its own report or by its uptime: an instance that
    /// was restarted may fail to report it.
    pub fn is_warming_up(&self, warm_up_period: Duration) -> bool {
        self.state == InstanceState::Warming
            || self.uptime < warm_up_period
            || !self.warm_up_left.is_zero()
    }
}

/// A fact as a node stores it.
#[derive(Debug, Clone)]
pub(crate) struct FactEntry<Fact> {
    pub(crate) fact: Fact,
    /// When it was received, by this node's clock.
    pub(crate) received_at: Duration,
    /// The offset of its latest change, by which followers catch up.
    pub(crate) offset: u64,
    /// When it last got a new offset, so that followers are notified of it.
    pub(crate) notified_at: Duration,
}

/// A batch of the facts that a follower is missing: those with the lowest offsets.
#[derive(Debug, Clone, PartialEq)]
pub struct FactBatch<Fact> {
    /// The facts of the batch.
    pub received: Vec<Fact>,
    /// The offset up to which the follower then has all facts.
    pub offset: u64,
    /// Whether there are more after that offset.
    pub more: bool,
}

impl<Fact> FactBatch<Fact> {
    /// Creates an empty batch, for a follower that is sent none.
    pub fn none(offset: u64) -> Self {
        Self {
            received: Vec::new(),
            offset,
            more: false,
        }
    }
}

/// Returns the first facts that were recorded after an offset, at most `max_count`, and whether there
/// are more.
///
/// They are chosen by offset, as a follower catches up by a single offset.
pub(crate) fn first_facts_after<'facts, Fact: 'facts>(
    known: impl Iterator<Item = &'facts FactEntry<Fact>>,
    after: u64,
    max_count: usize,
) -> (Vec<&'facts FactEntry<Fact>>, bool) {
    let mut later: Vec<&FactEntry<Fact>> = known.filter(|entry| entry.offset > after).collect();
    let more = later.len() > max_count;
    if more {
        later.sort_unstable_by_key(|entry| entry.offset);
        later.truncate(max_count);
    }
    (later, more)
}

/// Returns the offset up to which facts were recorded before `moment`: a follower that had all facts by
/// then is missing only those after this offset.
pub(crate) fn offset_before<'facts, Fact: 'facts>(
    known: impl Iterator<Item = &'facts FactEntry<Fact>>,
    moment: Duration,
) -> u64 {
    let earlier = known.filter(|entry| entry.notified_at < moment);
    earlier.map(|entry| entry.offset).max().unwrap_or(0)
}
