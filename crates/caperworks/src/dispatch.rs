//! An order's way through the proxy: its state chart, the choice of an instance, and the budgets.

use crate::prelude::*;

/// Which part of a service's first attempts may be followed by another attempt.
pub const RETRY_PERCENT: u32 = 15;
/// How many further attempts each proxy has per window whatever the traffic; twelve proxies share
/// the "few dozen" of the brief.
pub const RETRY_FLOOR: u32 = 2;
const RETRY_WINDOW: usize = 10;
/// How many failures in a row put an instance aside.
const FAILURES_TO_EJECT: u32 = 5;
const EJECT_SPAN: Duration = Duration::from_secs(2);
const EJECT_MOST: Duration = Duration::from_secs(16);
/// For how long an instance that could not be reached is left alone when it does not heartbeat either.
const UNREACHED_SPAN: Duration = Duration::from_secs(3);
/// For how long what an instance said of its load counts.
const REPORT_SPAN: Duration = Duration::from_millis(500);
/// Up to which load a slot instances are chosen before those of the next tier: the own zone, the
/// region, beyond.
const SPILL_LOADS: [f64; 3] = [1.25, 2.0, 2.0];

/// The named states of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    Received,
    Matched,
    Admitted,
    Chosen,
    Shooting,
    Sent,
    Answering,
    Done,
    Refused,
    Unknown,
}

/// Why an order was refused or lost; the answer's status follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    NoRoute,
    Stale,
    ZoneClosed,
    OutsideHome,
    NoInstance,
    NoOwner,
    BodyTooLarge,
    BadFraming,
    MissingKey,
    BadKey,
    LateBeforeSending,
    NotOpened,
    InstanceRefused,
    Leaving,
    LostAfterSending,
    LateAfterSending,
    Garbage,
}

/// What the caller is told of whether the order ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    NotRun,
    Unknown,
}

impl Failure {
    pub fn told(self) -> Told {
        match self {
            Failure::LostAfterSending | Failure::LateAfterSending | Failure::Garbage => {
                Told::Unknown
            }
            _ => Told::NotRun,
        }
    }

    pub fn status(self) -> u16 {
        match self {
            Failure::NoRoute => 404,
            Failure::BodyTooLarge => 413,
            Failure::BadFraming | Failure::MissingKey | Failure::BadKey => 400,
            Failure::LateAfterSending => 504,
            Failure::LostAfterSending | Failure::Garbage => 502,
            _ => 503,
        }
    }

    /// When to come back, for those that may be tried again with hope.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Failure::NoRoute
            | Failure::BodyTooLarge
            | Failure::BadFraming
            | Failure::MissingKey
            | Failure::BadKey => None,
            Failure::ZoneClosed | Failure::Stale | Failure::Leaving => Some(Duration::from_secs(2)),
            _ => Some(Duration::from_secs(1)),
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Failure::NoRoute => "no rule matches",
            Failure::Stale => "this proxy has lost touch with the core",
            Failure::ZoneClosed => "this zone is closed",
            Failure::OutsideHome => "the rule is bound to another region",
            Failure::NoInstance => "no instance is free",
            Failure::NoOwner => "no instance owns the key just now",
            Failure::BodyTooLarge => "the body is over the rule's limit",
            Failure::BadFraming => "the framing is malformed or ambiguous",
            Failure::MissingKey => "the header with the key is missing",
            Failure::BadKey => "the key is none of this service's",
            Failure::LateBeforeSending => "the deadline passed before anything was sent",
            Failure::NotOpened => "no connection to an instance could be opened",
            Failure::InstanceRefused => "the instance refused and ran nothing",
            Failure::Leaving => "this proxy is about to stop",
            Failure::LostAfterSending => "the connection was lost after sending",
            Failure::LateAfterSending => "the deadline passed after sending",
            Failure::Garbage => "the instance's answer was malformed",
        }
    }
}

/// How one attempt at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte can have left.
    NotOpened,
    /// The instance said itself that it ran nothing.
    RefusedByInstance,
    Lost,
    Late,
    Garbage,
    Answered,
}

/// What the chart wants next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Choose an instance again and shoot.
    ShootAgain,
    PassOn,
    Answer(Failure),
}

/// One order's state chart.
#[derive(Debug, Clone)]
pub struct RequestChart {
    state: RequestState,
    /// Why it matters: a read may be attempt again, all else only when provably nothing ran.
    read: bool,
    /// Whether the body can be sent a second time.
    replayable: bool,
    attempts: u32,
    most_attempts: u32,
    deadline: Duration,
    /// An attempt of this order may have run and its answer is not known.
    doubt: bool,
}

/// How often one order may be attempt at most.
const MOST_ATTEMPTS: u32 = 3;

impl RequestChart {
    pub fn received(read: bool) -> Self {
        Self {
            state: RequestState::Received,
            read,
            replayable: true,
            attempts: 0,
            most_attempts: MOST_ATTEMPTS,
            deadline: Duration::ZERO,
            doubt: false,
        }
    }

    /// What the caller may be told: never "not run" once an attempt is in doubt.
    pub fn told(&self, failure: Failure) -> Told {
        if self.doubt {
            Told::Unknown
        } else {
            failure.told()
        }
    }

    pub fn is_read(&self) -> bool {
        self.read
    }

    pub fn state(&self) -> RequestState {
        self.state
    }

    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// A rule was found; the deadline counts from here.
    pub fn matched(&mut self, now: Duration, route: &Route) {
        self.state = RequestState::Matched;
        self.deadline = now + route.deadline;
        self.read = route.may_repeat(self.read);
        if route.most_attempts > 0 {
            self.most_attempts = route.most_attempts;
        }
    }

    /// The caller waits no longer than this.
    pub fn caller_waits(&mut self, until: Duration) {
        self.deadline = self.deadline.min(until);
    }

    pub fn admitted(&mut self, replayable: bool) {
        self.state = RequestState::Admitted;
        self.replayable = replayable;
    }

    pub fn chosen(&mut self) {
        self.state = RequestState::Chosen;
    }

    /// The last check before the first byte held; from here on bytes may leave.
    pub fn shooting(&mut self) {
        self.state = RequestState::Shooting;
        self.attempts += 1;
    }

    pub fn sent(&mut self) {
        self.state = RequestState::Sent;
    }

    pub fn done(&mut self) {
        self.state = RequestState::Done;
    }

    pub fn refuse(&mut self, failure: Failure) -> NextStep {
        self.state = match self.told(failure) {
            Told::NotRun => RequestState::Refused,
            Told::Unknown => RequestState::Unknown,
        };
        NextStep::Answer(failure)
    }

    /// What follows the end of an attempt; `again` asks the budget and is asked only when it counts.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        end: AttemptEnd,
        again: impl FnOnce() -> bool,
    ) -> NextStep {
        let nothing_ran = match end {
            AttemptEnd::Answered => {
                self.state = RequestState::Answering;
                return NextStep::PassOn;
            }
            AttemptEnd::NotOpened | AttemptEnd::RefusedByInstance => true,
            AttemptEnd::Lost | AttemptEnd::Late | AttemptEnd::Garbage => false,
        };
        self.doubt |= !nothing_ran;
        let may = (nothing_ran || self.read)
            && self.replayable
            && self.attempts < self.most_attempts
            && end != AttemptEnd::Late
            && now < self.deadline;
        if may && again() {
            self.state = RequestState::Admitted;
            return NextStep::ShootAgain;
        }
        let failure = match end {
            AttemptEnd::NotOpened => Failure::NotOpened,
            AttemptEnd::RefusedByInstance => Failure::InstanceRefused,
            AttemptEnd::Late => Failure::LateAfterSending,
            AttemptEnd::Garbage => Failure::Garbage,
            AttemptEnd::Lost | AttemptEnd::Answered => Failure::LostAfterSending,
        };
        self.refuse(failure)
    }
}

/// Counts first and further attempts over a sliding window of seconds.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    seconds: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    fn roll(&mut self, now: Duration) -> &mut (u64, u32, u32) {
        let second = now.as_secs();
        if self.seconds.back().is_none_or(|last| last.0 != second) {
            self.seconds.push_back((second, 0, 0));
        }
        let oldest = second.saturating_sub(RETRY_WINDOW as u64 - 1);
        while self.seconds.front().is_some_and(|first| first.0 < oldest) {
            self.seconds.pop_front();
        }
        let place = self.seconds.len() - 1;
        &mut self.seconds[place]
    }

    pub fn first_attempt(&mut self, now: Duration) {
        self.roll(now).1 += 1;
    }

    /// Takes one further attempt from the budget if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.roll(now);
        let first: u32 = self.seconds.iter().map(|second| second.1).sum();
        let further: u32 = self.seconds.iter().map(|second| second.2).sum();
        let allowed = first * RETRY_PERCENT / 100 + RETRY_FLOOR;
        if further >= allowed {
            return false;
        }
        self.roll(now).2 += 1;
        true
    }
}

/// A bucket that starts somewhere below full, so that many proxies together neither begin with a
/// burst nor come to one when their buckets fill.
#[derive(Debug, Clone, Default)]
struct GentleBucket {
    tokens: f64,
    filled_at: Duration,
}

impl GentleBucket {
    fn fill(&mut self, now: Duration, per_second: f64) {
        let span = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + span * per_second).min(1.0);
        self.filled_at = now;
    }
}

/// One key of a keyed service, as long as anything is to be known of it.
#[derive(Debug, Clone, Default)]
struct KeyWatch {
    under_way: u32,
    began_at: Duration,
    rests_until: Duration,
}

/// A key that everyone wants rests no longer than this between two orders.
const KEY_REST_MOST: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Default)]
struct InstanceWatch {
    incarnation: Incarnation,
    /// Another life answered at its address: this one is over, whatever is still heard of it.
    over: bool,
    under_way: u32,
    reported: u32,
    reported_at: Duration,
    /// Not chosen before a heartbeat later than this one, or this moment: it could not be reached.
    unreached: Option<(u64, Duration)>,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
    gentle: Option<GentleBucket>,
}

/// The target of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    pub service: ServiceName,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub zone: Zone,
    pub key_range: Option<(u32, Epoch)>,
    pub key: Option<u64>,
}

impl Target {
    /// Whether an order whose attempt at this target ended so is to go elsewhere from now on.
    ///
    /// Why not always for keyed services: a key range has one owner, and a connection that could not be opened
    /// says nothing of whether it holds the key range.
    pub fn is_used_up(&self, end: AttemptEnd) -> bool {
        self.key_range.is_none() || end == AttemptEnd::RefusedByInstance
    }
}

/// What a proxy knows of the world, as its agent last told it.
///
/// Why the maps and the table are shared: most news is of instances, and a proxy copies its
/// knowledge for every piece of news; the configuration may be many thousand.
#[derive(Debug, Clone, Default)]
pub struct ProxyKnowledge {
    /// The number of the last answer taken.
    pub last_view: u64,
    pub fresh_until: Duration,
    /// Until when the agent takes the core's silence for a slow link.
    pub link_slow_until: Duration,
    pub maps: Arc<Follower>,
    pub table: Arc<RouteTable>,
    pub instances: BTreeMap<InstanceId, Heartbeat>,
    pub by_service: HashMap<ServiceName, Vec<Heartbeat>>,
    pub closed: BTreeSet<Zone>,
    pub regions: BTreeMap<Zone, Region>,
    pub proxies: u32,
    /// Up to which place of which agent the instances are held.
    pub agent: NodeId,
    pub instances_place: u64,
    pub policy: ProxyPolicy,
    /// Instances of zones that were taken back, with the last heartbeat heard before: nobody knows yet
    /// whether they turned cold.
    pub doubtful: BTreeMap<InstanceId, u64>,
    /// When owners of keys were first heard to leave.
    pub leaving: BTreeMap<InstanceId, Duration>,
}

impl ProxyKnowledge {
    /// Takes what the agent told in answer to a question asked at `asked_at`.
    ///
    /// Why only news: an answer that was overtaken on its way tells of instances that have left
    /// since, and would be acted on for as long as the newer one keeps this proxy fresh.
    pub fn take(&mut self, asked_at: Duration, view: &ProxyView) {
        if view.number <= self.last_view {
            return;
        }
        self.last_view = view.number;
        for news in &view.news {
            if Arc::make_mut(&mut self.maps).take(news) == Some(MapName::Configuration) {
                let configuration = self.maps.map(MapName::Configuration);
                self.table = Arc::new(RouteTable::of(configuration));
                let closed: BTreeSet<Zone> = configuration
                    .zones()
                    .filter(|(_, request)| request.closed)
                    .map(|(zone, _)| zone)
                    .collect();
                let reopened: BTreeSet<Zone> = self.closed.difference(&closed).cloned().collect();
                let doubtful = self.instances.values();
                let doubtful = doubtful.filter(|heartbeat| reopened.contains(&heartbeat.zone));
                self.doubtful
                    .extend(doubtful.map(|heartbeat| (heartbeat.id.clone(), heartbeat.counter)));
                self.closed = closed;
                self.regions = configuration
                    .zones()
                    .map(|(zone, request)| (zone, request.region.clone()))
                    .collect();
            }
        }
        if view.all_instances {
            self.instances.clear();
        }
        if view.all_instances || !view.instances.is_empty() {
            let told = view.instances.iter();
            self.instances
                .extend(told.map(|heartbeat| (heartbeat.id.clone(), heartbeat.clone())));
            self.by_service.clear();
            for heartbeat in self.instances.values() {
                self.by_service
                    .entry(heartbeat.service.clone())
                    .or_default()
                    .push(heartbeat.clone());
            }
        }
        let leaves = |heartbeat: &Heartbeat| heartbeat.state == InstanceState::Leaving;
        let instances = &self.instances;
        self.leaving
            .retain(|id, _| instances.get(id).is_some_and(leaves));
        for heartbeat in instances.values().filter(|heartbeat| leaves(heartbeat)) {
            self.leaving.entry(heartbeat.id.clone()).or_insert(asked_at);
        }
        self.agent = view.agent;
        self.instances_place = view.instances_place;
        self.proxies = view.proxies.max(1);
        let instances = &self.instances;
        self.doubtful.retain(|id, counter| {
            instances
                .get(id)
                .is_some_and(|heartbeat| heartbeat.counter <= *counter)
        });
        // Why both maps: being fresh means acting on at least what the agent held when it said so.
        self.link_slow_until = asked_at + view.link_slow_for;
        let caught_up = self.maps.map(MapName::Configuration).version >= view.configuration
            && self.maps.map(MapName::Ownership).version >= view.ownership;
        if caught_up {
            self.fresh_until = self.fresh_until.max(asked_at + view.left);
        }
    }

    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match &self
            .maps
            .map(MapName::Configuration)
            .items
            .get(&format!("pool/{name}"))?
            .value
        {
            Value::Service { service } => Some(service),
            _ => None,
        }
    }

    /// Whether an instance may be cold, as far as can be told.
    fn is_cold(&self, heartbeat: &Heartbeat, service: &Service) -> bool {
        heartbeat.is_cold(service.warm_span) || self.doubtful.contains_key(&heartbeat.id)
    }

    /// Whether keys may still go to an owner, though it may be leaving.
    fn owner_serves(&self, now: Duration, heartbeat: &Heartbeat) -> bool {
        if heartbeat.state != InstanceState::Leaving {
            return true;
        }
        let since = self.leaving.get(&heartbeat.id);
        since.is_some_and(|since| now < *since + self.policy.leaving_owner)
    }

    /// Whether what is known here may be acted on.
    ///
    /// Why not over a slow link, even by a proxy that serves on: only a proxy that is cut off may
    /// go by an old configuration; one that the core reaches late has to follow it in time.
    pub fn is_usable(&self, now: Duration) -> bool {
        let known = self.maps.map(MapName::Configuration).version > Version(0);
        let cut_off = now >= self.link_slow_until;
        now < self.fresh_until || (self.policy.serves_on && known && cut_off)
    }

    /// The rule for a host and path.
    pub fn find(&self, now: Duration, host: &str, path: &str) -> Result<NamedRoute, Failure> {
        // Why not "no rule" when stale: a rule may have come that we have not heard of.
        let otherwise = if !self.is_usable(now) {
            Failure::Stale
        } else {
            Failure::NoRoute
        };
        self.table.find(host, path).cloned().ok_or(otherwise)
    }

    /// Whether this proxy may carry anything for the rule now.
    pub fn admits(&self, now: Duration, own_zone: &Zone, route: &Route) -> Result<(), Failure> {
        if !self.is_usable(now) {
            return Err(Failure::Stale);
        }
        if self.closed.contains(own_zone) && !self.policy.closed_zone_carries {
            return Err(Failure::ZoneClosed);
        }
        if !self.policy.carries_home && !route.is_at_home(self.regions.get(own_zone)) {
            return Err(Failure::OutsideHome);
        }
        Ok(())
    }

    /// The last check, at the last moment before the first byte.
    pub fn still_good(
        &self,
        now: Duration,
        own_zone: &Zone,
        route: &Route,
        target: &Target,
    ) -> Result<(), Failure> {
        self.admits(now, own_zone, route)?;
        let lives = self
            .instances
            .get(&target.instance)
            .is_some_and(|heartbeat| {
                heartbeat.incarnation == target.incarnation
                    && heartbeat.address == target.address
                    && (heartbeat.state != InstanceState::Leaving
                        || (target.key_range.is_some() && self.owner_serves(now, heartbeat)))
            });
        if !lives || self.closed.contains(&target.zone) {
            return Err(Failure::NoInstance);
        }
        if let Some((key_range, epoch)) = target.key_range {
            let holds = self
                .maps
                .map(MapName::Ownership)
                .key_ranges(&target.service)
                .and_then(|table| table.owners.get(key_range as usize)?.as_ref())
                .is_some_and(|owner| owner.epoch == epoch && owner.instance == target.instance);
            if !holds {
                return Err(Failure::NoOwner);
            }
        }
        Ok(())
    }
}

/// One service as one proxy sees it: a shard with its own lock in the daemon.
#[derive(Debug, Clone)]
pub struct ServiceShard {
    watches: HashMap<InstanceId, InstanceWatch>,
    keys: HashMap<u64, KeyWatch>,
    /// How many orders for one key this proxy may have under way: its part of the service's cap.
    key_share: f64,
    budget: RetryBudget,
    chance: Chance,
    /// Until when at least one instance is put aside.
    any_ejected_until: Duration,
    /// Only for proving the observers: one key may have all of its owner.
    pub no_key_cap: bool,
}

impl ServiceShard {
    pub fn new(seed: u64) -> Self {
        Self {
            watches: HashMap::new(),
            keys: HashMap::new(),
            key_share: 1.0,
            budget: RetryBudget::default(),
            chance: Chance::seeded(seed),
            any_ejected_until: Duration::ZERO,
            no_key_cap: false,
        }
    }

    pub fn first_attempt(&mut self, now: Duration) {
        self.budget.first_attempt(now);
    }

    pub fn take_retry(&mut self, now: Duration) -> bool {
        self.budget.take(now)
    }

    /// Makes a watch for a heartbeat, anew when the instance lives another life.
    fn watch(&mut self, heartbeat: &Heartbeat) -> &mut InstanceWatch {
        // Why look before: the name is copied once in an instance's life and not for every order.
        if self
            .watches
            .get(&heartbeat.id)
            .is_none_or(|watch| watch.incarnation != heartbeat.incarnation)
        {
            let watch = InstanceWatch {
                incarnation: heartbeat.incarnation,
                ..InstanceWatch::default()
            };
            self.watches.insert(heartbeat.id.clone(), watch);
        }
        // Why this cannot miss: it was there or has just been put there.
        self.watches.get_mut(&heartbeat.id).expect("a watch")
    }

    /// Forgets the instances that are gone, and the keys that nobody wants any more.
    pub fn keep_only(&mut self, now: Duration, instances: &BTreeMap<InstanceId, Heartbeat>) {
        self.watches.retain(|id, _| instances.contains_key(id));
        self.keys
            .retain(|_, watch| watch.under_way > 0 || now < watch.rests_until);
    }

    /// Another life than the target's answered at its address: nothing more goes to this one.
    pub fn life_is_over(&mut self, target: &Target) {
        let watch = self.watches.get_mut(&target.instance);
        if let Some(watch) = watch.filter(|watch| watch.incarnation == target.incarnation) {
            watch.over = true;
        }
    }

    /// Whether the instance may take one more, leaving the gentle rate aside.
    ///
    /// Why this proxy's part of the cap only: the cap is what an instance can stand, from however
    /// many proxies; a part is never less than one.
    fn has_room(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        proxies: u32,
    ) -> bool {
        let cap = service.instance_cap.div_ceil(proxies.max(1));
        let watch = self.watch(heartbeat);
        if let Some((counter, until)) = watch.unreached {
            if heartbeat.counter <= counter && now < until {
                return false;
            }
            watch.unreached = None;
        }
        watch.under_way < cap && now >= watch.ejected_until && !watch.over
    }

    /// No connection came about: until it heartbeats again the instance is not chosen.
    ///
    /// Why until then: it may come back cold, and only a heartbeat tells. Why for a while only: it may be
    /// this proxy alone that cannot reach it.
    pub fn not_opened(&mut self, now: Duration, target: &Target, counter: u64) {
        let watch = self.watches.get_mut(&target.instance);
        if let Some(watch) = watch.filter(|watch| watch.incarnation == target.incarnation) {
            watch.unreached = Some((counter, now + UNREACHED_SPAN));
        }
    }

    /// Whether the gentle rate lets a cold instance take one now.
    fn gentle_lets(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        knowledge: &ProxyKnowledge,
    ) -> bool {
        // Why divided: the rate is the instance's, however many proxies there are.
        let rate = service.cold_rate() / f64::from(knowledge.proxies.max(1));
        let cold = knowledge.is_cold(heartbeat, service);
        // Why by chance: buckets that all begin empty at once are all full at once, and that many
        // proxies together would send in one second what the instance bears in several.
        let part = self.chance.below(1_000_000) as f64 / 1_000_000.0;
        let watch = self.watch(heartbeat);
        if !cold {
            watch.gentle = None;
            return true;
        }
        let bucket = watch.gentle.get_or_insert(GentleBucket {
            tokens: part,
            filled_at: now,
        });
        bucket.fill(now, rate);
        bucket.tokens >= 1.0
    }

    fn weight(&mut self, now: Duration, heartbeat: &Heartbeat) -> f64 {
        let watch = self.watch(heartbeat);
        // Why only of late: an instance that told of much to do and was then left alone would else
        // be left alone for ever.
        let told = match now.saturating_sub(watch.reported_at) < REPORT_SPAN {
            true => watch.reported,
            false => 0,
        };
        let load = f64::from(watch.under_way) + f64::from(told.max(heartbeat.load));
        load / f64::from(heartbeat.capacity.max(1))
    }

    /// Chooses an instance: same zone first, then the region, and never beyond a home region.
    pub fn choose(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        own_zone: &Zone,
        route: &Route,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Failure> {
        self.choose_in(now, knowledge, own_zone, route, &route.service, key, tried)
    }

    /// The same in one of the services that the rule's requests are split over.
    #[allow(clippy::too_many_arguments)]
    pub fn choose_in(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        own_zone: &Zone,
        route: &Route,
        service_name: &ServiceName,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Failure> {
        let service = knowledge.service(service_name).ok_or(Failure::NoInstance)?;
        if service.keyed {
            return self.choose_owner(now, knowledge, route, service_name, service, key, tried);
        }
        let own_region = knowledge.regions.get(own_zone);
        let heartbeats = knowledge
            .by_service
            .get(service_name)
            .ok_or(Failure::NoInstance)?;
        let mut tiers: [Vec<&Heartbeat>; 3] = [Vec::new(), Vec::new(), Vec::new()];
        for heartbeat in heartbeats {
            if heartbeat.state == InstanceState::Leaving
                || knowledge.closed.contains(&heartbeat.zone)
                || tried.contains(&heartbeat.id)
            {
                continue;
            }
            let region = knowledge.regions.get(&heartbeat.zone);
            if !route.is_at_home(region) {
                continue;
            }
            let tier = match (heartbeat.zone == *own_zone, region == own_region) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            };
            tiers[tier].push(heartbeat);
        }
        if now < self.any_ejected_until {
            self.bound_ejections(now, &tiers);
        }
        // Why near ones a second time: when all are busy, waiting near by heartbeats waiting far away.
        for spill in [SPILL_LOADS, [f64::MAX; 3]] {
            for (tier, most) in tiers.iter().zip(spill) {
                if let Some(heartbeat) = self.pick(now, tier, service, knowledge, most) {
                    return Ok(target_of(heartbeat, None, None));
                }
            }
        }
        Err(Failure::NoInstance)
    }

    /// Takes instances back when more than half of those that could serve are put aside.
    ///
    /// Why bounded: that many failures say more of the way there than of the instances, and the rest
    /// would be sunk by all the load.
    fn bound_ejections(&mut self, now: Duration, tiers: &[Vec<&Heartbeat>; 3]) {
        let known: usize = tiers.iter().map(Vec::len).sum();
        let ejected = tiers
            .iter()
            .flatten()
            .filter(|heartbeat| now < self.watch(heartbeat).ejected_until)
            .count();
        if ejected * 2 > known {
            for heartbeat in tiers.iter().flatten() {
                self.watch(heartbeat).ejected_until = Duration::ZERO;
            }
        }
    }

    /// Picks within a tier: a cold instance whose turn has come, or the less loaded of two.
    fn pick<'beats>(
        &mut self,
        now: Duration,
        tier: &[&'beats Heartbeat],
        service: &Service,
        knowledge: &ProxyKnowledge,
        most_load: f64,
    ) -> Option<&'beats Heartbeat> {
        let proxies = knowledge.proxies;
        // Why the cold first when their turn has come: it comes seldom, and a cold instance that
        // is never chosen never warms.
        let is_cold = |heartbeat: &Heartbeat| knowledge.is_cold(heartbeat, service);
        for heartbeat in tier.iter().filter(|heartbeat| is_cold(heartbeat)) {
            if self.has_room(now, heartbeat, service, proxies)
                && self.gentle_lets(now, heartbeat, service, knowledge)
            {
                return Some(heartbeat);
            }
        }
        // Why by drawing first: nearly always one of two drawn is free, and looking at all of them
        // for every order is what an order would mostly cost.
        let mut best: Option<&Heartbeat> = None;
        for _ in 0..2 {
            let drawn = *tier.get(self.chance.below(tier.len() as u64) as usize)?;
            if is_cold(drawn)
                || !self.has_room(now, drawn, service, proxies)
                || self.weight(now, drawn) > most_load
            {
                continue;
            }
            best = match best {
                Some(best) if self.weight(now, best) <= self.weight(now, drawn) => Some(best),
                _ => Some(drawn),
            };
        }
        if best.is_some() {
            return best;
        }
        let start = self.chance.below(tier.len() as u64) as usize;
        (0..tier.len())
            .map(|step| tier[(start + step) % tier.len()])
            .find(|heartbeat| {
                !is_cold(heartbeat)
                    && self.has_room(now, heartbeat, service, proxies)
                    && self.weight(now, heartbeat) <= most_load
            })
    }

    #[allow(clippy::too_many_arguments)]
    fn choose_owner(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        route: &Route,
        service_name: &ServiceName,
        service: &Service,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Failure> {
        let key = key.ok_or(Failure::MissingKey)?;
        let key_range = service.key_range_of(key).ok_or(Failure::BadKey)?;
        let owner = knowledge
            .maps
            .map(MapName::Ownership)
            .key_ranges(service_name)
            .and_then(|table| table.owners.get(key_range as usize)?.as_ref())
            .ok_or(Failure::NoOwner)?;
        let heartbeat = knowledge
            .instances
            .get(&owner.instance)
            .filter(|heartbeat| heartbeat.incarnation == owner.incarnation)
            .filter(|heartbeat| knowledge.owner_serves(now, heartbeat))
            .filter(|heartbeat| !knowledge.closed.contains(&heartbeat.zone))
            .filter(|heartbeat| route.is_at_home(knowledge.regions.get(&heartbeat.zone)))
            // Why not again: an owner that says it does not hold the key range will not hold it in the
            // next moment either, and the attempt would be wasted.
            .filter(|heartbeat| !tried.contains(&heartbeat.id))
            .ok_or(Failure::NoOwner)?;
        let key = steady_hash(key);
        // Why a cap per key: one hot key must not take all of its owner's room from the others.
        self.key_share = f64::from(service.key_cap) / f64::from(knowledge.proxies.max(1));
        let most = (self.key_share as u32).max(1);
        let hot = self
            .keys
            .get(&key)
            .is_some_and(|watch| watch.under_way >= most || now < watch.rests_until);
        if (hot && !self.no_key_cap)
            || !self.has_room(now, heartbeat, service, knowledge.proxies)
            || !self.gentle_lets(now, heartbeat, service, knowledge)
        {
            return Err(Failure::NoInstance);
        }
        Ok(target_of(
            heartbeat,
            Some((key_range, owner.epoch)),
            Some(key),
        ))
    }

    /// An attempt at the target begins. `cold` spends a token of the gentle rate.
    pub fn begin(&mut self, now: Duration, target: &Target) {
        if let Some(watch) = self
            .watches
            .get_mut(&target.instance)
            .filter(|watch| watch.incarnation == target.incarnation)
        {
            watch.under_way += 1;
            if let Some(bucket) = &mut watch.gentle {
                bucket.tokens -= 1.0;
            }
        }
        if let Some(key) = target.key {
            let watch = self.keys.entry(key).or_default();
            watch.under_way += 1;
            watch.began_at = now;
        }
    }

    /// An order for a key is over; the key may have to rest before the next.
    ///
    /// Why rest: a part of the cap that is less than one order is kept by having one under way for
    /// that part of the time. Why only under load: an owner with little to do needs no such care.
    fn end_key(&mut self, now: Duration, target: &Target, load: Option<u32>) {
        let share = self.key_share;
        let Some(watch) = target.key.and_then(|key| self.keys.get_mut(&key)) else {
            return;
        };
        watch.under_way = watch.under_way.saturating_sub(1);
        if share < 1.0 && load.is_some_and(|load| load >= 2) {
            let took = now.saturating_sub(watch.began_at);
            let rest = took.mul_f64(1.0 / share.max(0.01) - 1.0);
            watch.rests_until = now + rest.min(KEY_REST_MOST);
        }
    }

    /// The attempt is over; `load` is what the instance reported with its answer.
    pub fn end(&mut self, now: Duration, target: &Target, good: bool, load: Option<u32>) {
        self.end_key(now, target, load);
        let Some(watch) = self
            .watches
            .get_mut(&target.instance)
            .filter(|watch| watch.incarnation == target.incarnation)
        else {
            return;
        };
        watch.under_way = watch.under_way.saturating_sub(1);
        if let Some(load) = load {
            watch.reported = load;
            watch.reported_at = now;
        }
        if good {
            watch.failures = 0;
            watch.ejections = 0;
            return;
        }
        watch.failures += 1;
        if watch.failures >= FAILURES_TO_EJECT {
            let span = EJECT_SPAN * 2_u32.pow(watch.ejections.min(3));
            watch.ejected_until = now + span.min(EJECT_MOST);
            watch.ejections += 1;
            watch.failures = 0;
            self.any_ejected_until = self.any_ejected_until.max(watch.ejected_until);
        }
    }
}

fn target_of(heartbeat: &Heartbeat, key_range: Option<(u32, Epoch)>, key: Option<u64>) -> Target {
    Target {
        service: heartbeat.service.clone(),
        instance: heartbeat.id.clone(),
        incarnation: heartbeat.incarnation,
        address: heartbeat.address,
        zone: heartbeat.zone.clone(),
        key_range,
        key,
    }
}
