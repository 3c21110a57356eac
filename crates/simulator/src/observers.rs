//! Observers: they stand outside the fleet, hold the truth, and judge all the time.

use crate::prelude::*;

/// One breach of a line that must never be crossed.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    pub line: Line,
    pub at: Duration,
    pub what: String,
}

/// The lines of the brief, by short names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Line {
    RanTwice,
    RanAfterNotRun,
    WrongAnswer,
    RanForAnother,
    ReachedLeaving,
    OldConfiguration,
    SlippedBack,
    ForkedMap,
    LostChange,
    PartApplied,
    ClosedZone,
    TooManyRetries,
    ColdFlooded,
    TwoOwners,
    HoldTooLong,
    LeftHome,
    NotRecovered,
    /// Under a hot key, a surge or a slow instance, ordinary traffic went unserved.
    Sunk,
    /// A refusal was kept back.
    LateRefusal,
    /// A read showed less than what had been accepted.
    StaleRead,
}

pub const LEAVING_LIMIT: Duration = Duration::from_millis(4000);
pub const CONFIGURATION_LIMIT: Duration = Duration::from_millis(4000);
pub const CLOSED_LIMIT: Duration = Duration::from_millis(5000);
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// For how many seconds after the limit service is looked at.
const RECOVERED_FOR: u64 = 5;
/// How soon a proxy that sends an order nowhere must say so.
const REFUSAL_LIMIT: Duration = Duration::from_millis(100);
const RETRY_FEW_DOZEN: u64 = 36;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToldCaller {
    Served,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone)]
struct AcceptedChange {
    at: Duration,
    version: Version,
    id: ChangeId,
}

/// Counts of a whole run, for the measurements.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub sent: u64,
    pub served: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub attempts: u64,
    pub retries: u64,
    pub cross_zone: u64,
    pub cross_region: u64,
    pub accepted: u64,
    pub refused_changes: u64,
    pub unknown_changes: u64,
    pub no_majority: u64,
    pub recoveries: Vec<Duration>,
    /// The same by kind of traffic: the slowest kind of each big fault.
    pub slowest_recoveries: Vec<Duration>,
    /// Orders of a hot key, and how many of them were served.
    pub hot_sent: u64,
    pub hot_served: u64,
    pub reads: u64,
    /// Mappings written, and of the parts of groups that they placed, how many in a hundred moved.
    pub mappings: u64,
    pub moved_percent: u64,
    /// From the loss of the key ownership owner manager's controller until another holds the leadership role.
    pub takeovers: Vec<Duration>,
    /// Why orders were refused or lost, as the proxies said.
    pub failures: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Clone, Copy)]
struct BigFault {
    at: Duration,
    keyed_waits: bool,
    /// When the next harm strikes: what is unserved after it is not this one's.
    next: Duration,
}

/// The attempts at a service of the last ten seconds, and how many of them were further ones.
#[derive(Default)]
struct ServiceAttempts {
    window: VecDeque<(Duration, bool)>,
    further: u64,
}

/// From when to when which instance worked on a key range.
type Stretch = (Duration, Duration, InstanceId);

#[derive(Default)]
pub struct Observers {
    pub breaches: Vec<Breach>,
    pub tally: Tally,
    /// What the controllers noted of membership and leadership roles, for whoever looks into a failing seed.
    pub notes: Vec<String>,
    runs: HashMap<u64, u32>,
    told: HashMap<u64, ToldCaller>,
    writes: HashSet<u64>,
    leaving: HashMap<(InstanceId, Incarnation), Duration>,
    accepted: Vec<AcceptedChange>,
    /// What was asked for under each id; an id may come again with something else.
    proposed: HashMap<ChangeId, Vec<Change>>,
    /// By item: the values that some change set would give it.
    wanted: HashMap<String, Vec<(Value, ChangeId)>>,
    /// Up to which version each controller's map was looked through.
    looked_through: HashMap<String, Version>,
    /// Versions that were accepted or shown, and are to be gone by once the limit has passed.
    due_versions: VecDeque<(Duration, Version)>,
    due_version: Version,
    /// How many calls carried a change, and how many of them were refused.
    calls: HashMap<ChangeId, (u32, u32)>,
    closed: HashMap<Zone, Duration>,
    service_attempts: HashMap<ServiceName, ServiceAttempts>,
    cold_attempts: HashMap<(InstanceId, Incarnation), VecDeque<Duration>>,
    effects: HashMap<(ServiceName, u32), Vec<Stretch>>,
    proxy_versions: HashMap<usize, Version>,
    /// Sent and served by second, for the recovery line; and by kind of traffic as well.
    seconds: BTreeMap<u64, (u64, u64)>,
    kind_seconds: BTreeMap<usize, BTreeMap<u64, (u64, u64)>>,
    strained_since: Option<Duration>,
    big_faults: Vec<BigFault>,
    /// The kinds of traffic that go to keyed services.
    pub keyed_kinds: BTreeSet<usize>,
    last_mapping: Option<(Version, Mapping)>,
    owner_manager: Option<NodeId>,
    owner_manager_lost_at: Option<Duration>,
}

/// What an instance was sent, as seen when it got there.
pub struct Reached<'order> {
    pub request: u64,
    pub instance: &'order Heartbeat,
    pub cold: bool,
    pub service: &'order Service,
    pub route: &'order Route,
    pub region: &'order Region,
    pub proxy_zone: &'order Zone,
    pub proxy_region: &'order Region,
    pub configuration: Version,
}

impl Observers {
    fn breach(&mut self, line: Line, at: Duration, what: impl Into<String>) {
        if self.breaches.len() < 200 {
            self.breaches.push(Breach {
                line,
                at,
                what: what.into(),
            });
        }
    }

    pub fn breached(&self) -> BTreeSet<Line> {
        self.breaches.iter().map(|breach| breach.line).collect()
    }

    /// An order was sent; the orders of a hot key have no kind and count by themselves.
    pub fn sent(&mut self, at: Duration, request: u64, write: bool, kind: Option<usize>) {
        match kind {
            Some(kind) => {
                self.tally.sent += 1;
                self.seconds.entry(at.as_secs()).or_default().0 += 1;
                let seconds = self.kind_seconds.entry(kind).or_default();
                seconds.entry(at.as_secs()).or_default().0 += 1;
            }
            None => self.tally.hot_sent += 1,
        }
        if write {
            self.writes.insert(request);
        }
    }

    pub fn noted(&mut self, at: Duration, name: String, event: Event) {
        let of_membership = match &event {
            Event::MapMoved { map, .. } => *map == MapName::Membership,
            _ => true,
        };
        if of_membership && self.notes.len() < 5000 {
            self.notes.push(format!("{at:?} {name} {event:?}"));
        }
    }

    /// The controller with the owner manager's leadership role was killed, frozen or cut off.
    pub fn owner_manager_lost(&mut self, at: Duration) {
        self.owner_manager_lost_at.get_or_insert(at);
    }

    /// A controller came back; if it still has the leadership role there is no takeover to wait for.
    pub fn controller_back(&mut self, node: NodeId) {
        if self.owner_manager == Some(node) {
            self.owner_manager_lost_at = None;
        }
    }

    /// A controller knows who keeps the key ownership.
    pub fn owner_manager_known(&mut self, at: Duration, holder: NodeId) {
        if self.owner_manager != Some(holder) {
            if let Some(lost) = self.owner_manager_lost_at.take() {
                self.tally.takeovers.push(at.saturating_sub(lost));
            }
            self.owner_manager = Some(holder);
        }
    }

    /// A controller holds a mapping; counts how much of each group a new one moves.
    pub fn mapped(&mut self, version: Version, mapping: &Mapping) {
        let Some((known, last)) = &self.last_mapping else {
            self.last_mapping = Some((version, mapping.clone()));
            return;
        };
        if version <= *known {
            return;
        }
        let part = |placement: &GroupPlacement, zone: &Zone| -> f64 {
            let total: u32 = placement.shares.iter().map(|share| share.units).sum();
            let units = placement
                .shares
                .iter()
                .find(|share| share.zone == *zone)
                .map_or(0, |share| share.units);
            f64::from(units) / f64::from(total.max(1))
        };
        let (mut moved, mut groups) = (0.0, 0.0);
        for after in &mapping.groups {
            let before = last
                .groups
                .iter()
                .find(|before| before.group == after.group && before.route == after.route);
            let Some(before) = before.filter(|_| after.group != UNSEEN_GROUP) else {
                continue;
            };
            groups += 1.0;
            moved += after
                .shares
                .iter()
                .map(|share| (part(after, &share.zone) - part(before, &share.zone)).max(0.0))
                .sum::<f64>();
        }
        self.tally.mappings += 1;
        self.tally.moved_percent += (100.0 * moved / f64::max(groups, 1.0)) as u64;
        self.last_mapping = Some((version, mapping.clone()));
    }

    /// The work of an order took effect.
    pub fn ran(&mut self, at: Duration, request: u64, instance: &InstanceId) {
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        let write = self.writes.contains(&request);
        if write && *runs > 1 {
            self.breach(Line::RanTwice, at, format!("order {request} at {instance}"));
        }
        if self.told.get(&request) == Some(&ToldCaller::NotRun) {
            self.breach(
                Line::RanAfterNotRun,
                at,
                format!("order {request} at {instance}"),
            );
        }
    }

    /// An instance ran an order that was meant for another service.
    pub fn ran_for_another(&mut self, at: Duration, request: u64, instance: &InstanceId) {
        self.breach(
            Line::RanForAnother,
            at,
            format!("order {request} at {instance}"),
        );
    }

    pub fn told(
        &mut self,
        at: Duration,
        request: &ClientRequest,
        told: ToldCaller,
        answered: Option<u64>,
    ) {
        let number = request.number;
        self.told.insert(number, told);
        match told {
            ToldCaller::Served => {
                match request.kind {
                    Some(kind) => {
                        let second = request.sent_at.as_secs();
                        self.tally.served += 1;
                        self.seconds.entry(second).or_default().1 += 1;
                        let seconds = self.kind_seconds.entry(kind).or_default();
                        seconds.entry(second).or_default().1 += 1;
                    }
                    None => self.tally.hot_served += 1,
                }
                if answered != Some(number) || !self.runs.contains_key(&number) {
                    let what = format!("order {number} was answered with {answered:?}");
                    self.breach(Line::WrongAnswer, at, what);
                }
            }
            ToldCaller::NotRun => {
                self.tally.not_run += 1;
                if self.runs.contains_key(&number) {
                    let what = format!("order {number} had run");
                    self.breach(Line::RanAfterNotRun, at, what);
                }
            }
            ToldCaller::Unknown => self.tally.unknown += 1,
        }
    }

    /// A proxy refused an order without having tried any instance.
    pub fn refused(&mut self, at: Duration, request: &ClientRequest) {
        let kept_back = at.saturating_sub(request.received_at);
        if kept_back > REFUSAL_LIMIT {
            let what = format!("order {} was kept for {kept_back:?}", request.number);
            self.breach(Line::LateRefusal, at, what);
        }
    }

    /// A hot key, a surge or a slow instance begins.
    pub fn strain_began(&mut self, at: Duration) {
        self.strained_since.get_or_insert(at);
    }

    /// It ends: each kind of ordinary traffic must have been served all the while.
    pub fn strain_ended(&mut self, at: Duration, kept_at_least: u64) {
        let Some(since) = self.strained_since.take() else {
            return;
        };
        // Why two seconds later: that long a first impact may take to be seen.
        let spell = since.as_secs() + 2..at.as_secs().saturating_sub(1);
        for (kind, seconds) in std::mem::take(&mut self.kind_seconds) {
            let (sent, served) = seconds
                .range(spell.clone())
                .fold((0, 0), |sum, (_, second)| {
                    (sum.0 + second.0, sum.1 + second.1)
                });
            if served * 100 < sent * kept_at_least {
                let what = format!("kind {kind}: {served} of {sent} served");
                self.breach(Line::Sunk, at, what);
            }
            self.kind_seconds.insert(kind, seconds);
        }
    }

    /// A controller heard that an instance is leaving.
    pub fn heard_leaving(&mut self, at: Duration, heartbeat: &Heartbeat) {
        self.leaving
            .entry((heartbeat.id.clone(), heartbeat.incarnation))
            .or_insert(at);
    }

    pub fn attempt(&mut self, at: Duration, service: &ServiceName, further: bool) {
        self.tally.attempts += 1;
        self.tally.retries += u64::from(further);
        let attempts = self.service_attempts.entry(service.clone()).or_default();
        attempts.window.push_back((at, further));
        attempts.further += u64::from(further);
        while let Some((first, further)) = attempts.window.front().copied() {
            if at.saturating_sub(first) <= Duration::from_secs(10) {
                break;
            }
            attempts.window.pop_front();
            attempts.further -= u64::from(further);
        }
        let further = attempts.further;
        let first = attempts.window.len() as u64 - further;
        if further > first / 5 + RETRY_FEW_DOZEN {
            let what =
                format!("service {service}: {further} retries to {first} first attempts in 10 s");
            self.breach(Line::TooManyRetries, at, what);
        }
    }

    pub fn reached(&mut self, at: Duration, reached: &Reached<'_>) {
        let heartbeat = reached.instance;
        let key = (heartbeat.id.clone(), heartbeat.incarnation);
        if let Some(since) = self.leaving.get(&key) {
            if at.saturating_sub(*since) > LEAVING_LIMIT {
                let what = format!("order {} reached leaving {}", reached.request, heartbeat.id);
                self.breach(Line::ReachedLeaving, at, what);
            }
        }
        while let Some((since, version)) = self.due_versions.front().copied() {
            if at.saturating_sub(since) <= CONFIGURATION_LIMIT {
                break;
            }
            self.due_versions.pop_front();
            self.due_version = self.due_version.max(version);
        }
        if reached.configuration < self.due_version {
            let what = format!(
                "order {} went under version {}, {} was accepted long before",
                reached.request, reached.configuration, self.due_version
            );
            self.breach(Line::OldConfiguration, at, what);
        }
        for zone in [&heartbeat.zone, reached.proxy_zone] {
            if let Some(since) = self.closed.get(zone) {
                if at.saturating_sub(*since) > CLOSED_LIMIT {
                    let what = format!("order {} in closed zone {zone}", reached.request);
                    self.breach(Line::ClosedZone, at, what);
                }
            }
        }
        let homes = &reached.route.homes;
        let at_home = |region: &Region| homes.is_empty() || homes.contains(region);
        if !at_home(reached.region) || !at_home(reached.proxy_region) {
            let what = format!(
                "order {} at {} in {}",
                reached.request, heartbeat.id, reached.region
            );
            self.breach(Line::LeftHome, at, what);
        }
        self.tally.cross_zone += u64::from(heartbeat.zone != *reached.proxy_zone);
        self.tally.cross_region += u64::from(reached.region != reached.proxy_region);
        if reached.cold {
            let window = self.cold_attempts.entry(key).or_default();
            window.push_back(at);
            while window
                .front()
                .is_some_and(|first| at.saturating_sub(*first) > Duration::from_secs(3))
            {
                window.pop_front();
            }
            let limit = (reached.service.cold_rate_milli / 1000) as usize * 3 * 5 / 4 + 6;
            if window.len() > limit {
                let what = format!("{} got {} orders in 3 s", heartbeat.id, window.len());
                self.breach(Line::ColdFlooded, at, what);
            }
        }
    }

    /// Work on a key range went on at an instance over this stretch of time.
    pub fn worked_on(
        &mut self,
        service: &ServiceName,
        key_range: u32,
        from: Duration,
        to: Duration,
        instance: &InstanceId,
    ) {
        let effects = self
            .effects
            .entry((service.clone(), key_range))
            .or_default();
        let clash = effects
            .iter()
            .rev()
            .take(64)
            .find(|(start, end, other)| other != instance && *start < to && from < *end)
            .map(|(_, _, other)| other.clone());
        effects.push((from, to, instance.clone()));
        if let Some(other) = clash {
            let what = format!("key range {key_range} of {service} at {instance} and {other}");
            self.breach(Line::TwoOwners, to, what);
        }
    }

    /// Looks at what all live instances believe that they hold.
    pub fn holdings(
        &mut self,
        at: Duration,
        live: &[(&ServiceName, &InstanceId, Vec<u32>, Duration)],
    ) {
        let mut holders: HashMap<(&ServiceName, u32), &InstanceId> = HashMap::new();
        let mut clashes = Vec::new();
        for (service, instance, key_ranges, longest) in live {
            if *longest > Duration::from_secs(10) {
                clashes.push((
                    Line::HoldTooLong,
                    format!("{instance} holds for {longest:?}"),
                ));
            }
            for key_range in key_ranges {
                if let Some(other) = holders.insert((service, *key_range), instance) {
                    let what = format!(
                        "key range {key_range} of {service} held by {instance} and {other}"
                    );
                    clashes.push((Line::TwoOwners, what));
                }
            }
        }
        for (line, what) in clashes {
            self.breach(line, at, what);
        }
    }

    pub fn proposed(&mut self, change: &Change) {
        let known = self.proposed.entry(change.id.clone()).or_default();
        if !known.contains(change) {
            known.push(change.clone());
            for put in &change.puts {
                if let Some(value) = &put.value {
                    let wanted = self.wanted.entry(put.key.clone()).or_default();
                    wanted.push((value.clone(), change.id.clone()));
                }
            }
        }
        self.calls.entry(change.id.clone()).or_default().0 += 1;
    }

    pub fn proposal_outcome(
        &mut self,
        at: Duration,
        change: &Change,
        proposal_outcome: &ProposalOutcome,
    ) {
        match proposal_outcome {
            ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version) => {
                self.tally.accepted += 1;
                let clash = self
                    .accepted
                    .iter()
                    .find(|known| (known.version == *version) != (known.id == change.id))
                    .cloned();
                if let Some(known) = clash {
                    let what = format!(
                        "{} at {version}, but {} at {}",
                        change.id, known.id, known.version
                    );
                    self.breach(Line::ForkedMap, at, what);
                }
                if self.accepted.iter().any(|known| known.id == change.id) {
                    return;
                }
                for put in &change.puts {
                    if let (Some(zone), Some(Value::Zone { zone: request })) =
                        (put.key.strip_prefix("area/"), &put.value)
                    {
                        if request.closed {
                            self.closed.insert(Zone::new(zone), at);
                        } else {
                            self.closed.remove(&Zone::new(zone));
                        }
                    }
                }
                self.due_versions.push_back((at, *version));
                self.accepted.push(AcceptedChange {
                    at,
                    version: *version,
                    id: change.id.clone(),
                });
            }
            ProposalOutcome::Unknown => self.tally.unknown_changes += 1,
            ProposalOutcome::NoMajority => {
                self.tally.no_majority += 1;
                self.calls.entry(change.id.clone()).or_default().1 += 1;
            }
            ProposalOutcome::Conflicts(_)
            | ProposalOutcome::VersionsTaken(_)
            | ProposalOutcome::VersionsForgotten(_)
            | ProposalOutcome::IdForgotten(_)
            | ProposalOutcome::Faulty(_)
            | ProposalOutcome::IdTaken(_)
            | ProposalOutcome::TooFewAgents => {
                self.tally.refused_changes += 1;
                self.calls.entry(change.id.clone()).or_default().1 += 1;
            }
        }
    }

    /// The highest version that was told yes.
    pub fn last_accepted(&self) -> Version {
        let versions = self.accepted.iter().map(|accepted| accepted.version);
        versions.max().unwrap_or_default()
    }

    /// An operator read the configuration: what a read shows counts as accepted from then on.
    pub fn read_shown(&mut self, at: Duration, asked_at: Duration, name: &str, version: Version) {
        self.tally.reads += 1;
        let missed = self.accepted.iter().rev().find(|accepted| {
            accepted.version > version && accepted.at + CONFIGURATION_LIMIT < asked_at
        });
        if let Some(missed) = missed {
            let what = format!("{name} showed {version}, {} was accepted", missed.version);
            self.breach(Line::StaleRead, at, what);
        }
        self.due_versions.push_back((at, version));
    }

    /// Looks through what is new in a controller's configuration: nothing of a change set that was
    /// refused may be there.
    pub fn held_map(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        let known = self.looked_through.get(name).copied().unwrap_or_default();
        if map.version <= known {
            return;
        }
        self.looked_through.insert(name.to_string(), map.version);
        let strays: Vec<String> = map
            .items
            .iter()
            .filter(|(_, item)| item.version > known)
            .filter(|(key, item)| {
                let wanted = self.wanted.get(*key);
                !wanted.into_iter().flatten().any(|(value, id)| {
                    let (calls, refused) = self.calls.get(id).copied().unwrap_or_default();
                    *value == item.value && calls > refused
                })
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in strays {
            let what = format!("{name} holds {key} of a change set that was refused");
            self.breach(Line::PartApplied, at, what);
        }
    }

    /// A zone was asked to be opened: from here on an order there is no breach.
    pub fn opening(&mut self, zone: &Zone) {
        self.closed.remove(zone);
    }

    pub fn proxy_holds(&mut self, at: Duration, proxy: usize, version: Version) {
        let before = self
            .proxy_versions
            .insert(proxy, version)
            .unwrap_or_default();
        if version < before {
            let what = format!("proxy {proxy} went from {before} to {version}");
            self.breach(Line::SlippedBack, at, what);
        }
    }

    pub fn proxy_restarted(&mut self, proxy: usize) {
        self.proxy_versions.remove(&proxy);
    }

    /// `keyed_waits` where keyed traffic cannot be served until the fault is over.
    pub fn big_fault(&mut self, at: Duration, keyed_waits: bool, next: Duration) {
        self.big_faults.push(BigFault {
            at,
            keyed_waits,
            next,
        });
    }

    /// At day's end: every accepted change must be in the map, whole, and nothing refused.
    pub fn read_back(&mut self, at: Duration, name: &str, map: &ReplicatedMap) {
        for accepted in self.accepted.clone() {
            let found = map
                .answered
                .iter()
                .find(|answered| answered.id == accepted.id);
            // Why the count: a map forgets the oldest change ids.
            let forgotten = map.version.0 > accepted.version.0 + REMEMBERED_CHANGES as u64 - 1;
            let good = found.is_some_and(|answered| answered.version == accepted.version);
            if !good && !forgotten {
                let what = format!(
                    "{name} lacks {} of edition {}",
                    accepted.id, accepted.version
                );
                self.breach(Line::LostChange, at, what);
            }
        }
        let mut replayed = ReplicatedMap::empty();
        for answered in &map.answered {
            let known = self.proposed.get(&answered.id);
            let change = known
                .into_iter()
                .flatten()
                .find(|change| change.digest() == answered.digest);
            let Some(change) = change.cloned() else {
                return;
            };
            // Why all calls: one that was refused says nothing of another that was accepted.
            let calls = self.calls.get(&answered.id).copied().unwrap_or_default();
            if calls.0 == calls.1 {
                self.breach(
                    Line::PartApplied,
                    at,
                    format!("{name} holds refused {}", answered.id),
                );
            }
            if replayed.weigh(&change) != Standpoint::Fits {
                let what = format!("{name}: {} does not fit where it stands", answered.id);
                self.breach(Line::ForkedMap, at, what);
            }
            replayed.apply(&change);
        }
        if map.answered.len() < REMEMBERED_CHANGES && replayed.items != map.items {
            self.breach(
                Line::LostChange,
                at,
                format!("{name} does not read back intact"),
            );
        }
    }

    /// After a big fault: most traffic must be served again within the limit, and go on to be.
    ///
    /// Why both: leases and holds outlive a cut for some seconds, and what goes on until they run
    /// out is no recovery.
    pub fn judge_recovery(&mut self, end: Duration) {
        for fault in self.big_faults.clone() {
            let begin = fault.at.as_secs() + 1;
            let last = end.as_secs().saturating_sub(4);
            let judged = begin + RECOVERY_LIMIT.as_secs();
            let looked_at = judged..(judged + RECOVERED_FOR).min(last).min(fault.next.as_secs());
            let within = |seconds: &BTreeMap<u64, (u64, u64)>| {
                let good = |second: u64| {
                    let (sent, served) = seconds.get(&second).copied().unwrap_or_default();
                    served * 2 > sent
                };
                let lasts = looked_at.clone().rev().find(|second| !good(*second));
                // Why three in a row: one good second between bad ones is no recovery.
                let first = (begin..last).find(|second| (*second..*second + 3).all(good));
                match (lasts, first) {
                    (Some(second), _) => Duration::from_secs(second + 1 - begin),
                    (None, Some(second)) => Duration::from_secs(second + 1 - begin),
                    (None, None) if last < judged + 3 => Duration::ZERO,
                    (None, None) => Duration::from_secs(last - begin),
                }
            };
            let mut kinds: Vec<(String, Duration)> = self
                .kind_seconds
                .iter()
                .filter(|(kind, _)| !(fault.keyed_waits && self.keyed_kinds.contains(kind)))
                .map(|(kind, seconds)| (format!("kind {kind} of the traffic"), within(seconds)))
                .collect();
            let slowest = kinds.iter().map(|(_, span)| *span).max();
            self.tally.slowest_recoveries.extend(slowest);
            let span = within(&self.seconds);
            self.tally.recoveries.push(span);
            kinds.push(("most traffic".to_string(), span));
            for (which, span) in kinds {
                if span > RECOVERY_LIMIT {
                    let what = format!("{which} was still unserved after {span:?}");
                    self.breach(Line::NotRecovered, fault.at, what);
                }
            }
        }
    }
}
