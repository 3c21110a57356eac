//! Books: the state that may never be lost or forked.
//!
//! A book is a set of named items, each with its own edition, and a book edition that counts the
//! accepted change sets. The count is the number of the feed.

use crate::prelude::*;

/// How many answered change ids a book remembers, so that a repeat gets its first answer.
pub const REMEMBERED_CHANGES: usize = 512;

messages! {
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    enum BookName {
        0 Standing,
        1 Placement,
        2 Tenure,
        3 Cohort,
    }

    /// What may be repeated of the requests on a route.
    #[derive(Copy, Eq, Default)]
    enum RequestKind {
        /// `GET` and `HEAD` may run more than once, everything else at most once.
        #[default]
        0 ByMethod,
        1 Repeatable,
        2 Once,
        /// Large bodies; at most once.
        3 Upload,
    }

    /// One of the pools that a route's requests are split over.
    #[derive(Eq)]
    struct SplitPart {
        0 pool: PoolName,
        1 weight: u32,
    }

    /// A standing order: which hosts and paths go to which pool.
    #[derive(Eq, Default)]
    struct Rule {
        0 host: String,
        1 path: String,
        /// Where its requests go when they are not split.
        2 pool: PoolName,
        /// The regions that its requests may be served in; none bind it nowhere.
        3 homes: Vec<Region>,
        /// The longest time for which one try is held.
        4 deadline: Duration,
        5 body_limit: u64,
        6 key_header: Option<String>,
        7 kind: RequestKind,
        8 split: Vec<SplitPart>,
        /// The time within which an answer is worth most; zero when none is told.
        9 target_latency: Duration,
        /// Its rank when there is too little room; 0 is highest.
        10 priority: u32,
        /// To how many instances one try may be sent; zero leaves it to the proxy.
        11 most_attempts: u32,
    }

    /// How keys fall into slices.
    #[derive(Copy, Eq, Default)]
    enum KeySpace {
        /// By the hash of any text.
        #[default]
        0 Hashed,
        /// Numbers from 0 to 65535, in contiguous ranges.
        1 Ranges,
    }

    #[derive(Eq, Default)]
    struct Pool {
        0 keyed: bool,
        1 slices: u32,
        2 instance_cap: u32,
        3 key_cap: u32,
        /// Requests in a thousand seconds that a cold instance bears from all proxies together.
        4 cold_rate_milli: u32,
        /// How long an instance is cold after its start.
        5 warm_span: Duration,
        6 key_space: KeySpace,
        /// Connections that an instance takes from all callers together; zero when not told.
        7 connection_limit: u32,
        8 health_path: String,
    }

    /// What a caller may send, and for how long it may take or stay idle.
    #[derive(Eq, Default)]
    struct CallerLimits {
        0 head_bytes: u64,
        1 body_bytes: u64,
        2 head_span: Duration,
        3 idle_span: Duration,
    }

    #[derive(Eq)]
    struct AreaOrder {
        0 region: Region,
        1 closed: bool,
    }

    #[derive(Eq)]
    struct Share {
        0 area: Area,
        1 units: u32,
    }

    /// Where one group of clients goes for one rule.
    #[derive(Eq)]
    struct GroupPlacement {
        0 group: String,
        1 rule: RuleName,
        2 shares: Vec<Share>,
        3 unplaced: u32,
    }

    #[derive(Eq)]
    struct Mapping {
        0 epoch: Epoch,
        1 groups: Vec<GroupPlacement>,
        /// How many proxies were ready when it was written.
        2 proxies: u32,
    }

    #[derive(Eq)]
    struct SliceOwner {
        0 instance: InstanceId,
        1 incarnation: Incarnation,
        2 epoch: Epoch,
        /// What the owner before handed on of the slice.
        3 handover: Option<String>,
    }

    #[derive(Eq)]
    struct SliceTable {
        0 epoch: Epoch,
        1 owners: Vec<Option<SliceOwner>>,
    }

    #[derive(Eq)]
    struct SeatHolder {
        0 node: NodeId,
        1 address: SocketAddr,
        2 area: Area,
        3 ledger: bool,
    }

    #[derive(Eq)]
    struct Seats {
        0 holders: Vec<SeatHolder>,
    }

    #[derive(Eq)]
    struct DutyTerm {
        0 holder: NodeId,
        1 epoch: Epoch,
    }

    #[derive(Eq)]
    enum Value {
        0 Rule { 0 rule: Rule },
        1 Pool { 0 pool: Pool },
        2 Area { 0 area: AreaOrder },
        3 Mapping { 0 mapping: Mapping },
        4 Slices { 0 table: SliceTable },
        5 Seats { 0 seats: Seats },
        6 Duty { 0 term: DutyTerm },
        7 Roster { 0 roster: Roster },
        8 Limits { 0 limits: CallerLimits },
        /// An item dropped under the operators' own version, which still counts.
        9 Dropped,
    }

    /// An item under a version of the operators' own, in the form that they wrote it.
    #[derive(Eq)]
    struct Written {
        0 version: u64,
        1 text: String,
    }

    #[derive(Eq)]
    struct Item {
        0 edition: Edition,
        1 value: Value,
        2 written: Option<Written>,
    }

    /// One item of a change set. `expected` is the edition that the writer saw; zero means absent.
    ///
    /// With `written` the highest version of the operators' own holds: a lower or equal one changes
    /// nothing, whether the item was set or dropped.
    #[derive(Eq)]
    struct Put {
        0 key: String,
        1 expected: Option<Edition>,
        2 value: Option<Value>,
        3 written: Option<Written>,
    }

    /// An item that a change does not touch but that must still be as its writer saw it.
    #[derive(Eq)]
    struct Guard {
        0 key: String,
        1 expected: Edition,
    }

    /// A change set: applied whole or not at all.
    #[derive(Eq)]
    struct Change {
        0 id: ChangeId,
        1 puts: Vec<Put>,
        2 guards: Vec<Guard>,
    }

    #[derive(Eq)]
    struct AnsweredChange {
        0 id: ChangeId,
        1 edition: Edition,
        2 digest: u64,
    }

    #[derive(Eq)]
    struct Book {
        0 edition: Edition,
        1 items: BTreeMap<String, Item>,
        2 answered: Vec<AnsweredChange>,
    }

    #[derive(Eq)]
    struct Conflict {
        0 key: String,
        1 expected: Edition,
        2 present: Edition,
    }
}

/// The item by which a duty's new holder shuts out the changes of the one before.
pub const FENCE: &str = "fence";

/// The item of the standing book that bounds what callers may send.
pub const LIMITS: &str = "limits/callers";

/// The item of the cohort book that lists the agents.
pub const ROSTER: &str = "roster";

pub const ALL_BOOKS: [BookName; 4] = [
    BookName::Standing,
    BookName::Placement,
    BookName::Tenure,
    BookName::Cohort,
];

impl BookName {
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for BookName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BookName::Standing => "standing",
            BookName::Placement => "placement",
            BookName::Tenure => "tenure",
            BookName::Cohort => "cohort",
        })
    }
}

/// What a book says of a change before it is proposed on top of it.
#[derive(Debug, Clone, PartialEq)]
pub enum Standpoint {
    Fits,
    /// The same change was accepted before, at this edition.
    Repeat(Edition),
    /// The change's id was used before for something else.
    IdTaken(Edition),
    Conflicts(Vec<Conflict>),
}

impl Change {
    /// About how much room the change takes, in items.
    pub fn weight(&self) -> usize {
        let of_value = |value: &Value| match value {
            Value::Mapping { mapping } => mapping.groups.len() * LIST_LENGTH,
            Value::Slices { table } => table.owners.len(),
            _ => 1,
        };
        1 + self
            .puts
            .iter()
            .map(|put| put.value.as_ref().map_or(1, of_value))
            .sum::<usize>()
    }

    /// Tells two change sets under one id apart.
    pub fn digest(&self) -> u64 {
        // Why the encoded form: it is the same on every node, and far cheaper than printing.
        let bytes = minicbor::to_vec(&self.puts).expect("puts encode");
        steady_hash_of(&bytes)
    }
}

impl Book {
    pub fn empty() -> Self {
        Self {
            edition: Edition(0),
            items: BTreeMap::new(),
            answered: Vec::new(),
        }
    }

    pub fn present(&self, key: &str) -> Edition {
        self.items.get(key).map_or(Edition(0), |item| item.edition)
    }

    /// Whether the item holds a version of the operators' own that is as high as the put's.
    pub fn is_overtaken(&self, put: &Put) -> bool {
        let present = self
            .items
            .get(&put.key)
            .and_then(|item| item.written.as_ref());
        // Why: version 0 stands only where nothing stands.
        if put
            .written
            .as_ref()
            .is_some_and(|written| written.version == 0)
        {
            return self.items.contains_key(&put.key);
        }
        match (present, &put.written) {
            (Some(present), Some(written)) => present.version >= written.version,
            _ => false,
        }
    }

    /// The limits on callers, if operators set any.
    pub fn caller_limits(&self) -> Option<&CallerLimits> {
        match &self.items.get(LIMITS)?.value {
            Value::Limits { limits } => Some(limits),
            _ => None,
        }
    }

    pub fn weigh(&self, change: &Change) -> Standpoint {
        // Why first: a caller that lost our answer repeats the change, and its own first success
        // must not read as a conflict with itself.
        if let Some(answered) = self
            .answered
            .iter()
            .find(|answered| answered.id == change.id)
        {
            return if answered.digest == change.digest() {
                Standpoint::Repeat(answered.edition)
            } else {
                Standpoint::IdTaken(answered.edition)
            };
        }
        let guards = change
            .guards
            .iter()
            .map(|guard| (&guard.key, guard.expected));
        let conflicts: Vec<Conflict> = change
            .puts
            .iter()
            .filter_map(|put| Some((&put.key, put.expected?)))
            .chain(guards)
            .filter_map(|(key, expected)| {
                let present = self.present(key);
                (expected != present).then(|| Conflict {
                    key: key.clone(),
                    expected,
                    present,
                })
            })
            .collect();
        if conflicts.is_empty() {
            Standpoint::Fits
        } else {
            Standpoint::Conflicts(conflicts)
        }
    }

    /// Applies a change that was agreed on for the edition after this one.
    pub fn apply(&mut self, change: &Change) {
        self.edition = self.edition.next();
        for put in &change.puts {
            if self.is_overtaken(put) {
                continue;
            }
            let value = match (&put.value, &put.written) {
                (Some(value), _) => value.clone(),
                // Why kept: an older change that comes again must find that it was overtaken.
                (None, Some(_)) => Value::Dropped,
                (None, None) => {
                    self.items.remove(&put.key);
                    continue;
                }
            };
            let item = Item {
                edition: self.edition,
                value,
                written: put.written.clone(),
            };
            self.items.insert(put.key.clone(), item);
        }
        self.answered.push(AnsweredChange {
            id: change.id.clone(),
            edition: self.edition,
            digest: change.digest(),
        });
        if self.answered.len() > REMEMBERED_CHANGES {
            self.answered.remove(0);
        }
    }

    pub fn seats(&self) -> Option<&Seats> {
        match &self.items.get("seats")?.value {
            Value::Seats { seats } => Some(seats),
            _ => None,
        }
    }

    pub fn roster(&self) -> Option<&Roster> {
        match &self.items.get(ROSTER)?.value {
            Value::Roster { roster } => Some(roster),
            _ => None,
        }
    }

    /// Where the seats are heard: all of them, or only the ledgers.
    pub fn seat_addresses(&self, ledgers_only: bool) -> Vec<SocketAddr> {
        self.seats()
            .iter()
            .flat_map(|seats| &seats.holders)
            .filter(|holder| holder.ledger || !ledgers_only)
            .map(|holder| holder.address)
            .collect()
    }

    pub fn duty(&self, name: &str) -> Option<&DutyTerm> {
        match &self.items.get(&format!("duty/{name}"))?.value {
            Value::Duty { term } => Some(term),
            _ => None,
        }
    }

    /// The term under which a duty's holder last took this book over.
    pub fn fence(&self) -> Option<&DutyTerm> {
        match &self.items.get(FENCE)?.value {
            Value::Duty { term } => Some(term),
            _ => None,
        }
    }

    pub fn mapping(&self) -> Option<&Mapping> {
        match &self.items.get("mapping")?.value {
            Value::Mapping { mapping } => Some(mapping),
            _ => None,
        }
    }

    pub fn slices(&self, pool: &PoolName) -> Option<&SliceTable> {
        match &self.items.get(&format!("slices/{pool}"))?.value {
            Value::Slices { table } => Some(table),
            _ => None,
        }
    }

    pub fn rules(&self) -> impl Iterator<Item = (RuleName, &Rule)> {
        self.items.iter().filter_map(
            |(key, item)| match (key.strip_prefix("rule/"), &item.value) {
                (Some(name), Value::Rule { rule }) => Some((RuleName::new(name), rule)),
                _ => None,
            },
        )
    }

    pub fn pools(&self) -> impl Iterator<Item = (PoolName, &Pool)> {
        self.items.iter().filter_map(
            |(key, item)| match (key.strip_prefix("pool/"), &item.value) {
                (Some(name), Value::Pool { pool }) => Some((PoolName::new(name), pool)),
                _ => None,
            },
        )
    }

    pub fn areas(&self) -> impl Iterator<Item = (Area, &AreaOrder)> {
        self.items.iter().filter_map(
            |(key, item)| match (key.strip_prefix("area/"), &item.value) {
                (Some(name), Value::Area { area }) => Some((Area::new(name), area)),
                _ => None,
            },
        )
    }
}

impl Seats {
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }

    pub fn holder(&self, node: NodeId) -> Option<&SeatHolder> {
        self.holders.iter().find(|holder| holder.node == node)
    }
}

impl Rule {
    /// The pools that its requests may go to.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        let whole = self.split.is_empty().then_some(&self.pool);
        whole
            .into_iter()
            .chain(self.split.iter().map(|part| &part.pool))
    }

    /// The pool for one request, by a draw.
    pub fn pool_for(&self, draw: u64) -> &PoolName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut point = draw % total.max(1);
        for part in &self.split {
            if point < u64::from(part.weight) {
                return &part.pool;
            }
            point -= u64::from(part.weight);
        }
        &self.pool
    }

    /// Whether it may be served in a region.
    pub fn is_at_home(&self, region: Option<&Region>) -> bool {
        self.homes.is_empty() || region.is_some_and(|region| self.homes.contains(region))
    }

    /// Whether a request by this method may run more than once.
    pub fn may_repeat(&self, reads: bool) -> bool {
        match self.kind {
            RequestKind::ByMethod => reads,
            RequestKind::Repeatable => true,
            RequestKind::Once | RequestKind::Upload => false,
        }
    }
}

impl Pool {
    /// Requests a second that a cold instance bears from all proxies together.
    pub fn cold_rate(&self) -> f64 {
        f64::from(self.cold_rate_milli) / 1000.0
    }

    /// The slice that a key falls into; none for a key that is none of this pool's.
    pub fn slice(&self, key: &str) -> Option<u32> {
        match self.key_space {
            KeySpace::Hashed => Some(slice_of(key, self.slices)),
            KeySpace::Ranges => {
                let number: u16 = key.parse().ok()?;
                Some((u64::from(number) * u64::from(self.slices) / KEYS) as u32)
            }
        }
    }

    /// The first and last key of a slice, of a pool whose keys fall into ranges.
    pub fn key_range(&self, slice: u32) -> (u32, u32) {
        let slices = u64::from(self.slices.max(1));
        let first = (u64::from(slice) * KEYS).div_ceil(slices);
        let after = (u64::from(slice + 1) * KEYS).div_ceil(slices);
        (first as u32, (after - 1) as u32)
    }
}

/// How many keys there are where they are numbers.
pub const KEYS: u64 = 65_536;
