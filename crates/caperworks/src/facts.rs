//! Facts: what can be heard again. Copies merge item by item and expire by the receiver's clock.

use std::net::SocketAddr;
use std::time::Duration;

use crate::identifiers::{Incarnation, InstanceId, NodeId, RouteName, ServiceName, Version, Zone};
use crate::ownership::LetGo;

messages! {
    #[derive(Copy, Eq)]
    enum InstanceState {
        0 Warming,
        1 Serving,
        2 Draining,
    }

    /// What an instance says of itself in a heartbeat.
    struct Heartbeat {
        0 id: InstanceId,
        1 incarnation: Incarnation,
        2 counter: u64,
        3 service: ServiceName,
        4 zone: Zone,
        5 address: SocketAddr,
        6 capacity: u32,
        7 state: InstanceState,
        8 load: u32,
        9 up: Duration,
        10 held_key_ranges: Vec<u32>,
        11 let_go: Vec<LetGo>,
        /// How much longer it says that it is cold.
        12 warm_up_left: Duration,
    }

    #[derive(Copy, Eq)]
    enum Role {
        0 Proxy,
        1 Directory,
    }

    /// The zone that a group's clients say they stand in.
    #[derive(Eq)]
    struct GroupStand { 0 group: String, 1 zone: Zone }

    struct Demand {
        0 group: String,
        1 route: RouteName,
        2 requests: u32,
        3 locality: Duration,
    }

    /// What a member says of itself when it renews its lease.
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
        /// Where groups of clients say that they stand, as a directory heard it.
        11 stands: Vec<GroupStand>,
        /// Its demand is as told before, and left out here.
        12 same_demand: bool,
        /// A controller that it renewed at has not heard it since; what it says next goes before this.
        13 silent: bool,
    }

    /// A fact on its way between our processes, with the age it had when it left.
    struct HeardHeartbeat { 0 heartbeat: Heartbeat, 1 age: Duration }
    struct HeardMember { 0 member: Member, 1 age: Duration }
}

impl HeardHeartbeat {
    /// The same, after it lay on its way for so long.
    pub fn aged(mut self, lain: Duration) -> Self {
        self.age += lain;
        self
    }
}

impl HeardMember {
    /// The same, after it lay on its way for so long.
    pub fn aged(mut self, lain: Duration) -> Self {
        self.age += lain;
        self
    }
}

impl Heartbeat {
    /// What followers need of it: the holds are the owner manager's matter.
    pub(crate) fn for_followers(&self) -> Heartbeat {
        Heartbeat {
            held_key_ranges: Vec::new(),
            let_go: Vec::new(),
            ..self.clone()
        }
    }

    /// Whether it says something else than that one, besides being later.
    pub(crate) fn tells_other_than(&self, other: &Heartbeat) -> bool {
        self.incarnation != other.incarnation
            || self.address != other.address
            || self.state != other.state
            || self.service != other.service
            || self.zone != other.zone
            || self.capacity != other.capacity
            || self.warm_up_left.is_zero() != other.warm_up_left.is_zero()
    }

    /// Whether this heartbeat is news next to that one.
    pub(crate) fn newer_than(&self, other: &Heartbeat) -> bool {
        (self.incarnation, self.counter) > (other.incarnation, other.counter)
    }

    /// Why both: an instance may say that it warms up, and one that came back may forget to.
    pub fn is_warming_up(&self, warm_up_period: Duration) -> bool {
        self.state == InstanceState::Warming
            || self.up < warm_up_period
            || !self.warm_up_left.is_zero()
    }
}

/// A fact as a node keeps it.
#[derive(Debug, Clone)]
pub(crate) struct Kept<Fact> {
    pub(crate) fact: Fact,
    pub(crate) heard_at: Duration,
    pub(crate) learned: u64,
    /// When it was last given a place of its own, so that followers hear it.
    pub(crate) notified_at: Duration,
}

/// The first of the facts that a follower lacks.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstFacts<Heard> {
    pub heard: Vec<Heard>,
    /// Up to which place the follower has been told all of them then.
    pub offset: u64,
    /// Whether there are more after that place.
    pub more: bool,
}

impl<Heard> FirstFacts<Heard> {
    /// None of them, to a follower that is not told of any.
    pub fn none(offset: u64) -> Self {
        Self {
            heard: Vec::new(),
            offset,
            more: false,
        }
    }
}

/// Of the facts that were learned after a place, the first learned and at most so many.
///
/// Why by when they were learned: a follower names one place, and is told what was learned after it.
pub(crate) fn first_learned<'facts, Fact: 'facts>(
    known: impl Iterator<Item = &'facts Kept<Fact>>,
    after: u64,
    most: usize,
) -> (Vec<&'facts Kept<Fact>>, bool) {
    let mut later: Vec<&Kept<Fact>> = known.filter(|kept| kept.learned > after).collect();
    let more = later.len() > most;
    if more {
        later.sort_unstable_by_key(|kept| kept.learned);
        later.truncate(most);
    }
    (later, more)
}

/// The offset up to which facts were learned before a moment: a follower that was told all facts by then lacks
/// only those after it.
pub(crate) fn offset_before<'facts, Fact: 'facts>(
    known: impl Iterator<Item = &'facts Kept<Fact>>,
    moment: Duration,
) -> u64 {
    let earlier = known.filter(|kept| kept.notified_at < moment);
    earlier.map(|kept| kept.learned).max().unwrap_or(0)
}
