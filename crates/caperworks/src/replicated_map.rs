//! Maps: the state that may never be lost or forked.
//!
//! A map is a set of named items, each with its own version, and a map version that counts the
//! accepted change sets. The count is the number of the feed.

use crate::prelude::*;

/// How many answered change ids a map remembers, so that a repeat gets its first answer.
pub const REMEMBERED_CHANGES: usize = 512;

messages! {
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    enum MapName {
        0 Configuration,
        1 Placement,
        2 Ownership,
        3 Membership,
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

    /// One of the services that a route's requests are split over.
    #[derive(Eq)]
    struct SplitPart {
        0 service: ServiceName,
        1 weight: u32,
    }

    /// A configuration: which hosts and paths go to which service.
    #[derive(Eq, Default)]
    struct Route {
        0 host: String,
        1 path: String,
        /// Where its requests go when they are not split.
        2 service: ServiceName,
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

    /// How keys fall into key ranges.
    #[derive(Copy, Eq, Default)]
    enum KeySpace {
        /// By the hash of any text.
        #[default]
        0 Hashed,
        /// Numbers from 0 to 65535, in contiguous ranges.
        1 Ranges,
    }

    #[derive(Eq, Default)]
    struct Service {
        0 keyed: bool,
        1 key_ranges: u32,
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
    struct ZoneSettings {
        0 region: Region,
        1 closed: bool,
    }

    #[derive(Eq)]
    struct Share {
        0 zone: Zone,
        1 units: u32,
    }

    /// Where one group of clients goes for one rule.
    #[derive(Eq)]
    struct GroupPlacement {
        0 group: String,
        1 route: RouteName,
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
    struct KeyRangeOwner {
        0 instance: InstanceId,
        1 incarnation: Incarnation,
        2 epoch: Epoch,
        /// What the owner before handed on of the key range.
        3 handover: Option<String>,
    }

    #[derive(Eq)]
    struct KeyRangeTable {
        0 epoch: Epoch,
        1 owners: Vec<Option<KeyRangeOwner>>,
    }

    #[derive(Eq)]
    struct VoterEntry {
        0 node: NodeId,
        1 address: SocketAddr,
        2 zone: Zone,
        3 controller: bool,
    }

    #[derive(Eq)]
    struct VoterSet {
        0 holders: Vec<VoterEntry>,
    }

    #[derive(Eq)]
    struct LeadershipTerm {
        0 holder: NodeId,
        1 epoch: Epoch,
    }

    #[derive(Eq)]
    enum Value {
        0 Route { 0 route: Route },
        1 Service { 0 service: Service },
        2 Zone { 0 zone: ZoneSettings },
        3 Mapping { 0 mapping: Mapping },
        4 KeyRanges { 0 table: KeyRangeTable },
        5 VoterSet { 0 voters: VoterSet },
        6 Leadership { 0 term: LeadershipTerm },
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
        0 version: Version,
        1 value: Value,
        2 written: Option<Written>,
    }

    /// One item of a change set. `expected` is the version that the writer saw; zero means absent.
    ///
    /// With `written` the highest version of the operators' own holds: a lower one changes nothing,
    /// whether the item was set or dropped, and an equal one is refused if it has other contents.
    #[derive(Eq)]
    struct Put {
        0 key: String,
        1 expected: Option<Version>,
        2 value: Option<Value>,
        3 written: Option<Written>,
    }

    /// An item that a change does not touch but that must still be as its writer saw it.
    #[derive(Eq)]
    struct Guard {
        0 key: String,
        1 expected: Version,
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
        1 version: Version,
        2 digest: u64,
    }

    #[derive(Eq)]
    struct ReplicatedMap {
        0 version: Version,
        1 items: BTreeMap<String, Item>,
        2 answered: Vec<AnsweredChange>,
        /// By item, what was confirmed under the operators' own versions; states that were stored
        /// before histories were kept have none.
        #[cbor(default)]
        3 histories: BTreeMap<String, VersionHistory>,
    }

    #[derive(Eq)]
    struct Conflict {
        0 key: String,
        1 expected: Version,
        2 present: Version,
    }

    /// An item that a change wants to write under a version that others' contents have.
    #[derive(Eq)]
    struct TakenVersion {
        0 key: String,
        /// What was confirmed under the version that the change has.
        1 confirmed: ConfirmedVersion,
        /// What stands: the highest version, which may be a later one.
        2 newest: ConfirmedVersion,
    }
}

/// The key of a guard on the map itself: its version as the change's writer read it.
///
/// Not an item. It says how old a change may be, see [`Standpoint::IdForgotten`].
pub const MAP_READ: &str = "map";

/// The item by which a leadership role's new holder shuts out the changes of the one before.
pub const FENCE: &str = "fence";

/// The item of the configuration map that bounds what callers may send.
pub const LIMITS: &str = "limits/callers";

/// The item of the membership map that lists the agents.
pub const ROSTER: &str = "roster";

pub const ALL_MAPS: [MapName; 4] = [
    MapName::Configuration,
    MapName::Placement,
    MapName::Ownership,
    MapName::Membership,
];

impl MapName {
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for MapName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MapName::Configuration => "standing",
            MapName::Placement => "placement",
            MapName::Ownership => "tenure",
            MapName::Membership => "cohort",
        })
    }
}

/// What a map says of a change before it is proposed on top of it.
#[derive(Debug, Clone, PartialEq)]
pub enum Standpoint {
    Fits,
    /// The same change was accepted before, at this version.
    Repeat(Version),
    /// The change's id was used before for something else.
    IdTaken(Version),
    Conflicts(Vec<Conflict>),
    /// Other contents were confirmed under the operators' own versions of these items.
    VersionsTaken(Vec<TakenVersion>),
    /// So old that it is not known any more what was confirmed under the versions of these items.
    VersionsForgotten(Vec<String>),
    /// Its writer read the map so long ago that its id may have been accepted and forgotten since.
    IdForgotten(Version),
}

impl Put {
    /// Its version of the operators' own with a digest of its contents, if it has one.
    ///
    /// Version 0 is none: it stands only where nothing stands.
    pub fn numbered(&self) -> Option<ConfirmedVersion> {
        let written = self.written.as_ref()?;
        let text = self.value.is_some().then_some(written.text.as_str());
        (written.version > 0).then(|| ConfirmedVersion {
            version: written.version,
            digest: contents_digest(text),
        })
    }
}

impl Item {
    /// The version of the operators' own that it stands under, if any.
    fn numbered(&self) -> Option<ConfirmedVersion> {
        let written = self.written.as_ref()?;
        let text = (self.value != Value::Dropped).then_some(written.text.as_str());
        (written.version > 0).then(|| ConfirmedVersion {
            version: written.version,
            digest: contents_digest(text),
        })
    }
}

impl Change {
    /// About how much room the change takes, in items.
    pub fn weight(&self) -> usize {
        let of_value = |value: &Value| match value {
            Value::Mapping { mapping } => mapping.groups.len() * LIST_LENGTH,
            Value::KeyRanges { table } => table.owners.len(),
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

impl ReplicatedMap {
    pub fn empty() -> Self {
        Self {
            version: Version(0),
            items: BTreeMap::new(),
            answered: Vec::new(),
            histories: BTreeMap::new(),
        }
    }

    pub fn present(&self, key: &str) -> Version {
        self.items.get(key).map_or(Version(0), |item| item.version)
    }

    /// What was confirmed under the operators' own versions of an item.
    pub fn history(&self, key: &str) -> VersionHistory {
        if let Some(history) = self.histories.get(key) {
            return history.clone();
        }
        self.items
            .get(key)
            .and_then(Item::numbered)
            .map(VersionHistory::of_stored)
            .unwrap_or_default()
    }

    /// Whether the put changes nothing because of what stands under the operators' own versions.
    fn is_overtaken(&self, put: &Put) -> bool {
        match (put.numbered(), &put.written) {
            (Some(numbered), _) => {
                self.history(&put.key).standing(numbered) != VersionStanding::Newest
            }
            // Why: version 0 stands only where nothing stands.
            (None, Some(_)) => self.items.contains_key(&put.key),
            (None, None) => false,
        }
    }

    /// The limits on callers, if operators set any.
    pub fn caller_limits(&self) -> Option<&CallerLimits> {
        match &self.items.get(LIMITS)?.value {
            Value::Limits { limits } => Some(limits),
            _ => None,
        }
    }

    /// Whether a change of this id was accepted before: a repeat, or another use of the id.
    ///
    /// Why asked first: a caller that lost our answer repeats the change, and its own first success
    /// must not read as a conflict with itself.
    pub fn answered_before(&self, change: &Change) -> Option<Standpoint> {
        let answered = self
            .answered
            .iter()
            .find(|answered| answered.id == change.id)?;
        Some(match answered.digest == change.digest() {
            true => Standpoint::Repeat(answered.version),
            false => Standpoint::IdTaken(answered.version),
        })
    }

    pub fn weigh(&self, change: &Change) -> Standpoint {
        self.answered_before(change)
            .or_else(|| self.forgotten_id(change))
            .or_else(|| self.weigh_versions(change))
            .or_else(|| self.conflicts(change))
            .unwrap_or(Standpoint::Fits)
    }

    /// Why a standpoint of its own: applied once more, an old change would undo later ones.
    fn forgotten_id(&self, change: &Change) -> Option<Standpoint> {
        let read = change
            .guards
            .iter()
            .find(|guard| guard.key == MAP_READ)?
            .expected;
        let remembered_after = self.version.0.saturating_sub(REMEMBERED_CHANGES as u64);
        (read.0 < remembered_after).then_some(Standpoint::IdForgotten(self.version))
    }

    /// Weighs each put against what was confirmed under the operators' own versions, the puts
    /// before it in the same change included.
    fn weigh_versions(&self, change: &Change) -> Option<Standpoint> {
        let mut histories: BTreeMap<&str, VersionHistory> = BTreeMap::new();
        let mut taken = Vec::new();
        let mut forgotten = Vec::new();
        for put in &change.puts {
            let Some(numbered) = put.numbered() else {
                continue;
            };
            let history = histories
                .entry(&put.key)
                .or_insert_with(|| self.history(&put.key));
            match history.standing(numbered) {
                VersionStanding::Newest | VersionStanding::Overtaken => history.confirm(numbered),
                VersionStanding::Confirmed => {}
                VersionStanding::Taken(confirmed) => taken.push(TakenVersion {
                    key: put.key.clone(),
                    confirmed,
                    newest: history.newest().unwrap_or(confirmed),
                }),
                VersionStanding::Forgotten => forgotten.push(put.key.clone()),
            }
        }
        // Why refused first: what is certain of one item tells the caller more than a doubt.
        match (taken.is_empty(), forgotten.is_empty()) {
            (false, _) => Some(Standpoint::VersionsTaken(taken)),
            (true, false) => Some(Standpoint::VersionsForgotten(forgotten)),
            (true, true) => None,
        }
    }

    /// The items that are not as the change's writer saw them.
    fn conflicts(&self, change: &Change) -> Option<Standpoint> {
        let guards = change
            .guards
            .iter()
            .filter(|guard| guard.key != MAP_READ)
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
        (!conflicts.is_empty()).then_some(Standpoint::Conflicts(conflicts))
    }

    /// Applies a change that was agreed on for the version after this one.
    pub fn apply(&mut self, change: &Change) {
        self.version = self.version.next();
        for put in &change.puts {
            let overtaken = self.is_overtaken(put);
            self.remember_version(put);
            if !overtaken {
                self.apply_put(put);
            }
        }
        self.answered.push(AnsweredChange {
            id: change.id.clone(),
            version: self.version,
            digest: change.digest(),
        });
        if self.answered.len() > REMEMBERED_CHANGES {
            self.answered.remove(0);
        }
    }

    /// Keeps what the put confirms under the operators' own version, also where it is overtaken.
    fn remember_version(&mut self, put: &Put) {
        if put.written.is_none() {
            // Why: who writes without versions starts the item's versions anew.
            self.histories.remove(&put.key);
        }
        let Some(numbered) = put.numbered() else {
            return;
        };
        let mut history = self.history(&put.key);
        if let VersionStanding::Newest | VersionStanding::Overtaken = history.standing(numbered) {
            history.confirm(numbered);
        }
        self.histories.insert(put.key.clone(), history);
    }

    fn apply_put(&mut self, put: &Put) {
        let value = match (&put.value, &put.written) {
            (Some(value), _) => value.clone(),
            // Why kept: an older change that comes again must find that it was overtaken.
            (None, Some(_)) => Value::Dropped,
            (None, None) => {
                self.items.remove(&put.key);
                return;
            }
        };
        let item = Item {
            version: self.version,
            value,
            written: put.written.clone(),
        };
        self.items.insert(put.key.clone(), item);
    }

    pub fn voters(&self) -> Option<&VoterSet> {
        match &self.items.get("seats")?.value {
            Value::VoterSet { voters } => Some(voters),
            _ => None,
        }
    }

    pub fn roster(&self) -> Option<&Roster> {
        match &self.items.get(ROSTER)?.value {
            Value::Roster { roster } => Some(roster),
            _ => None,
        }
    }

    /// Where the voters are heard: all of them, or only the controllers.
    pub fn voter_addresses(&self, controllers_only: bool) -> Vec<SocketAddr> {
        self.voters()
            .iter()
            .flat_map(|voters| &voters.holders)
            .filter(|holder| holder.controller || !controllers_only)
            .map(|holder| holder.address)
            .collect()
    }

    pub fn leadership(&self, name: &str) -> Option<&LeadershipTerm> {
        match &self.items.get(&format!("duty/{name}"))?.value {
            Value::Leadership { term } => Some(term),
            _ => None,
        }
    }

    /// The term under which a leadership role's holder last took this map over.
    pub fn fence(&self) -> Option<&LeadershipTerm> {
        match &self.items.get(FENCE)?.value {
            Value::Leadership { term } => Some(term),
            _ => None,
        }
    }

    pub fn mapping(&self) -> Option<&Mapping> {
        match &self.items.get("mapping")?.value {
            Value::Mapping { mapping } => Some(mapping),
            _ => None,
        }
    }

    pub fn key_ranges(&self, service: &ServiceName) -> Option<&KeyRangeTable> {
        match &self.items.get(&format!("slices/{service}"))?.value {
            Value::KeyRanges { table } => Some(table),
            _ => None,
        }
    }

    pub fn routes(&self) -> impl Iterator<Item = (RouteName, &Route)> {
        self.items.iter().filter_map(
            |(key, item)| match (key.strip_prefix("rule/"), &item.value) {
                (Some(name), Value::Route { route }) => Some((RouteName::new(name), route)),
                _ => None,
            },
        )
    }

    pub fn services(&self) -> impl Iterator<Item = (ServiceName, &Service)> {
        self.items.iter().filter_map(
            |(key, item)| match (key.strip_prefix("pool/"), &item.value) {
                (Some(name), Value::Service { service }) => Some((ServiceName::new(name), service)),
                _ => None,
            },
        )
    }

    pub fn zones(&self) -> impl Iterator<Item = (Zone, &ZoneSettings)> {
        self.items.iter().filter_map(
            |(key, item)| match (key.strip_prefix("area/"), &item.value) {
                (Some(name), Value::Zone { zone }) => Some((Zone::new(name), zone)),
                _ => None,
            },
        )
    }
}

impl VoterSet {
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }

    pub fn holder(&self, node: NodeId) -> Option<&VoterEntry> {
        self.holders.iter().find(|holder| holder.node == node)
    }
}

impl Route {
    /// The services that its requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let whole = self.split.is_empty().then_some(&self.service);
        whole
            .into_iter()
            .chain(self.split.iter().map(|part| &part.service))
    }

    /// The service for one request, by a draw.
    pub fn service_for(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut point = draw % total.max(1);
        for part in &self.split {
            if point < u64::from(part.weight) {
                return &part.service;
            }
            point -= u64::from(part.weight);
        }
        &self.service
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

impl Service {
    /// Requests a second that a cold instance bears from all proxies together.
    pub fn cold_rate(&self) -> f64 {
        f64::from(self.cold_rate_milli) / 1000.0
    }

    /// The key range that a key falls into; none for a key that is none of this service's.
    pub fn key_range_of(&self, key: &str) -> Option<u32> {
        match self.key_space {
            KeySpace::Hashed => Some(key_range_of_hash(key, self.key_ranges)),
            KeySpace::Ranges => {
                let number: u16 = key.parse().ok()?;
                Some((u64::from(number) * u64::from(self.key_ranges) / KEYS) as u32)
            }
        }
    }

    /// The first and last key of a key range, of a service whose keys fall into ranges.
    pub fn key_bounds(&self, key_range: u32) -> (u32, u32) {
        let key_ranges = u64::from(self.key_ranges.max(1));
        let first = (u64::from(key_range) * KEYS).div_ceil(key_ranges);
        let after = (u64::from(key_range + 1) * KEYS).div_ceil(key_ranges);
        (first as u32, (after - 1) as u32)
    }
}

/// How many keys there are where they are numbers.
pub const KEYS: u64 = 65_536;
