//! Facts: what can be heard again. Copies merge item by item and expire by the receiver's clock.

use crate::prelude::*;

/// An instance not heard of for this long is gone.
pub const INSTANCE_SPAN: Duration = Duration::from_millis(3000);
/// A member whose lease was not renewed for this long is no member.
pub const MEMBER_SPAN: Duration = Duration::from_millis(3000);

messages! {
    #[derive(Copy, Eq)]
    enum InstanceState {
        0 Warming,
        1 Serving,
        2 Leaving,
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
        10 holding: Vec<u32>,
        11 let_go: Vec<LetGo>,
        /// How much longer it says that it is cold.
        12 cold_left: Duration,
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
        10 leaving: bool,
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
    fn for_followers(&self) -> Heartbeat {
        Heartbeat {
            holding: Vec::new(),
            let_go: Vec::new(),
            ..self.clone()
        }
    }

    /// Whether it says something else than that one, besides being later.
    fn tells_other_than(&self, other: &Heartbeat) -> bool {
        self.incarnation != other.incarnation
            || self.address != other.address
            || self.state != other.state
            || self.service != other.service
            || self.zone != other.zone
            || self.capacity != other.capacity
            || self.cold_left.is_zero() != other.cold_left.is_zero()
    }

    /// Whether this heartbeat is news next to that one.
    fn newer_than(&self, other: &Heartbeat) -> bool {
        (self.incarnation, self.counter) > (other.incarnation, other.counter)
    }

    /// Why both: an instance may say that it warms up, and one that came back may forget to.
    pub fn is_cold(&self, warm_span: Duration) -> bool {
        self.state == InstanceState::Warming || self.up < warm_span || !self.cold_left.is_zero()
    }
}

#[derive(Debug, Clone)]
struct Kept<Fact> {
    fact: Fact,
    heard_at: Duration,
    learned: u64,
    /// When it was last given a place of its own, so that followers hear it.
    told_at: Duration,
}

/// For how long an instance that said it ended is remembered as gone.
const ENDED_SPAN: Duration = Duration::from_secs(30);

/// The known instances.
#[derive(Debug, Clone)]
pub struct Instances {
    known: BTreeMap<InstanceId, Kept<Heartbeat>>,
    /// Who was heard last at an address. Why kept beside: looking through all for every heartbeat is what
    /// many instances would mostly cost.
    by_address: HashMap<SocketAddr, InstanceId>,
    /// Those that said themselves that they ended, so that no late heartbeat brings them back.
    ended: BTreeMap<InstanceId, Kept<()>>,
    learned: u64,
    /// One that was not heard of for this long is gone.
    pub span: Duration,
    /// How long a heartbeat that says nothing else than the one before need not be passed on.
    pub refresh: Duration,
    /// The place of the last removal.
    removed: u64,
}

impl Default for Instances {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            by_address: HashMap::new(),
            ended: BTreeMap::new(),
            learned: 0,
            span: INSTANCE_SPAN,
            refresh: Duration::ZERO,
            removed: 0,
        }
    }
}

impl Instances {
    /// Merges a heartbeat in; says whether it was news.
    pub fn hear(&mut self, now: Duration, heard: &HeardHeartbeat) -> bool {
        let heard_at = now.saturating_sub(heard.age);
        if now.saturating_sub(heard_at) >= self.span || self.ended.contains_key(&heard.heartbeat.id)
        {
            return false;
        }
        if let Some(kept) = self.known.get(&heard.heartbeat.id) {
            if !heard.heartbeat.newer_than(&kept.fact) {
                return false;
            }
        }
        // Why the other leaves: an address has one instance at a time, and the one that was
        // heard of last in a new life is the one that answers there now.
        let address = heard.heartbeat.address;
        let newcomer = self.known.get(&heard.heartbeat.id).is_none_or(|kept| {
            kept.fact.incarnation != heard.heartbeat.incarnation || kept.fact.address != address
        });
        let other = self
            .by_address
            .get(&address)
            .filter(|id| **id != heard.heartbeat.id)
            .cloned();
        if let Some(other) = other {
            // Why by when it was heard: a late heartbeat of the one before, passed on by a third node,
            // must not push out the one that took its address over.
            let outdone = self
                .known
                .get(&other)
                .is_some_and(|kept| kept.heard_at >= heard_at);
            if !newcomer || outdone {
                return false;
            }
            self.known.remove(&other);
            self.note_removal();
        }
        if let Some(kept) = self.known.get(&heard.heartbeat.id) {
            self.by_address.remove(&kept.fact.address);
        }
        self.by_address.insert(address, heard.heartbeat.id.clone());
        let quiet = self.known.get(&heard.heartbeat.id).filter(|kept| {
            !heard.heartbeat.tells_other_than(&kept.fact)
                && now.saturating_sub(kept.told_at) < self.refresh
        });
        // Why its old place: followers are told of what is new, and that it still lives now and then.
        let (learned, told_at) = match quiet {
            Some(kept) => (kept.learned, kept.told_at),
            None => {
                self.learned += 1;
                (self.learned, now)
            }
        };
        self.known.insert(
            heard.heartbeat.id.clone(),
            Kept {
                fact: heard.heartbeat.clone(),
                heard_at,
                learned,
                told_at,
            },
        );
        true
    }

    /// The place of the last removal; who stands before it must be told of all.
    pub fn removed(&self) -> u64 {
        self.removed
    }

    fn note_removal(&mut self) {
        self.learned += 1;
        self.removed = self.learned;
    }

    /// Takes an instance's word that it ended; says whether that was news.
    pub fn end(&mut self, now: Duration, id: &InstanceId) -> bool {
        if self.ended.contains_key(id) {
            return false;
        }
        if let Some(kept) = self.known.remove(id) {
            self.by_address.remove(&kept.fact.address);
        }
        self.note_removal();
        let kept = Kept {
            fact: (),
            heard_at: now,
            learned: self.learned,
            told_at: now,
        };
        self.ended.insert(id.clone(), kept);
        true
    }

    /// Whether an instance said that it ended.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.ended.contains_key(id)
    }

    /// How long ago an instance said that it ended; zero if it did not.
    pub fn ended_for(&self, now: Duration, id: &InstanceId) -> Duration {
        let ended = self.ended.get(id);
        ended.map_or(Duration::ZERO, |kept| now.saturating_sub(kept.heard_at))
    }

    /// Those that ended, as learned after a place.
    pub fn ended_after(&self, now: Duration, place: u64) -> Vec<InstanceId> {
        self.ended
            .iter()
            .filter(|(_, kept)| kept.learned > place)
            .filter(|(_, kept)| now.saturating_sub(kept.heard_at) < ENDED_SPAN)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Starts every instance's span anew: nobody could be heard for a while.
    pub fn forgive(&mut self, now: Duration) {
        for kept in self.known.values_mut() {
            kept.heard_at = now;
        }
    }

    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        let mut gone = Vec::new();
        let span = self.span;
        self.ended
            .retain(|_, kept| now.saturating_sub(kept.heard_at) < ENDED_SPAN);
        let by_address = &mut self.by_address;
        self.known.retain(|id, kept| {
            let lives = now.saturating_sub(kept.heard_at) < span;
            if !lives {
                by_address.remove(&kept.fact.address);
            }
            if !lives {
                gone.push(id.clone());
            }
            lives
        });
        if !gone.is_empty() {
            self.note_removal();
        }
        gone
    }

    pub fn learned(&self) -> u64 {
        self.learned
    }

    /// The facts learned after a place, with their present age.
    pub fn after(&self, now: Duration, place: u64) -> Vec<HeardHeartbeat> {
        self.known
            .values()
            .filter(|kept| kept.learned > place)
            .map(|kept| HeardHeartbeat {
                heartbeat: kept.fact.for_followers(),
                age: now.saturating_sub(kept.heard_at),
            })
            .collect()
    }

    /// What is known of one instance, with its present age.
    pub fn heard(&self, now: Duration, id: &InstanceId) -> Option<HeardHeartbeat> {
        self.known.get(id).map(|kept| HeardHeartbeat {
            heartbeat: kept.fact.clone(),
            age: now.saturating_sub(kept.heard_at),
        })
    }

    pub fn get(&self, id: &InstanceId) -> Option<&Heartbeat> {
        self.known.get(id).map(|kept| &kept.fact)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Heartbeat> {
        self.known.values().map(|kept| &kept.fact)
    }

    pub fn with_heard(&self) -> impl Iterator<Item = (&Heartbeat, Duration)> {
        self.known.values().map(|kept| (&kept.fact, kept.heard_at))
    }
}

/// The nodes that hold a lease.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<NodeId, Kept<Member>>,
    learned: u64,
    /// How long a member that says nothing else than before need not be passed on.
    pub refresh: Duration,
}

impl Members {
    pub fn hear(&mut self, now: Duration, heard: &HeardMember) -> bool {
        let heard_at = now.saturating_sub(heard.age);
        if now.saturating_sub(heard_at) >= MEMBER_SPAN {
            return false;
        }
        let node = heard.member.node;
        if let Some(kept) = self.known.get(&node) {
            let said = (heard.member.counter, heard.member.silent);
            if said <= (kept.fact.counter, kept.fact.silent) {
                return false;
            }
        } else {
            // Why: a process that started again at the same address is a new node.
            self.known
                .retain(|_, kept| kept.fact.control != heard.member.control);
        }
        let mut fact = heard.member.clone();
        if fact.same_demand {
            // Why kept and not asked for: it is told whole again in a moment.
            let before = self.known.get(&node).map(|kept| kept.fact.demand.clone());
            fact.demand = before.unwrap_or_default();
            fact.same_demand = false;
        }
        let quiet = self.known.get(&node).filter(|kept| {
            let (said, before) = (&heard.member, &kept.fact);
            said.ready == before.ready
                && said.leaving == before.leaving
                && said.serving == before.serving
                && said.stands == before.stands
                && now.saturating_sub(kept.told_at) < self.refresh
        });
        let (learned, told_at) = match quiet {
            Some(kept) => (kept.learned, kept.told_at),
            None => {
                self.learned += 1;
                (self.learned, now)
            }
        };
        self.known.insert(
            node,
            Kept {
                fact,
                heard_at,
                learned,
                told_at,
            },
        );
        true
    }

    /// Counts a member that fell silent here as not ready, for everyone, until it is heard again.
    ///
    /// Why under the same counter: whoever has heard it later than we have knows better.
    pub fn count_silent(&mut self, now: Duration, node: NodeId) {
        let Some(kept) = self.known.get_mut(&node).filter(|kept| kept.fact.ready) else {
            return;
        };
        kept.fact.ready = false;
        kept.fact.silent = true;
        self.learned += 1;
        kept.learned = self.learned;
        kept.told_at = now;
    }

    pub fn expire(&mut self, now: Duration) -> Vec<NodeId> {
        let mut gone = Vec::new();
        self.known.retain(|node, kept| {
            let lives = now.saturating_sub(kept.heard_at) < MEMBER_SPAN;
            if !lives {
                gone.push(*node);
            }
            lives
        });
        gone
    }

    pub fn learned(&self) -> u64 {
        self.learned
    }

    pub fn after(&self, now: Duration, place: u64) -> Vec<HeardMember> {
        self.known
            .values()
            .filter(|kept| kept.learned > place)
            .map(|kept| HeardMember {
                member: kept.fact.clone(),
                age: now.saturating_sub(kept.heard_at),
            })
            .collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|kept| &kept.fact)
    }

    pub fn ready_proxies(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.role == Role::Proxy && member.ready)
    }
}
