//! An order's way through the proxy: its state chart, the choice of an instance, and the budgets.

use crate::prelude::*;

/// Which part of a pool's first shots may be followed by another shot.
pub const RETRY_PERCENT: u32 = 15;
/// How many further shots each proxy has per window whatever the traffic; twelve proxies share
/// the "few dozen" of the brief.
pub const RETRY_FLOOR: u32 = 2;
const RETRY_WINDOW: usize = 10;
/// How many mishaps in a row put an instance aside.
const MISHAPS_TO_EJECT: u32 = 5;
const EJECT_SPAN: Duration = Duration::from_secs(2);
const EJECT_MOST: Duration = Duration::from_secs(16);
/// For how long an instance that could not be reached is left alone when it does not beat either.
const UNREACHED_SPAN: Duration = Duration::from_secs(3);
/// For how long what an instance said of its load counts.
const REPORT_SPAN: Duration = Duration::from_millis(500);
/// Up to which load a slot instances are chosen before those of the next tier: the own area, the
/// region, beyond.
const SPILL_LOADS: [f64; 3] = [1.25, 2.0, 2.0];

/// The named states of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
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
pub enum Mishap {
    NoRule,
    Stale,
    AreaClosed,
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

impl Mishap {
    pub fn told(self) -> Told {
        match self {
            Mishap::LostAfterSending | Mishap::LateAfterSending | Mishap::Garbage => Told::Unknown,
            _ => Told::NotRun,
        }
    }

    pub fn status(self) -> u16 {
        match self {
            Mishap::NoRule => 404,
            Mishap::BodyTooLarge => 413,
            Mishap::BadFraming | Mishap::MissingKey | Mishap::BadKey => 400,
            Mishap::LateAfterSending => 504,
            Mishap::LostAfterSending | Mishap::Garbage => 502,
            _ => 503,
        }
    }

    /// When to come back, for those that may be tried again with hope.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Mishap::NoRule
            | Mishap::BodyTooLarge
            | Mishap::BadFraming
            | Mishap::MissingKey
            | Mishap::BadKey => None,
            Mishap::AreaClosed | Mishap::Stale | Mishap::Leaving => Some(Duration::from_secs(2)),
            _ => Some(Duration::from_secs(1)),
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Mishap::NoRule => "no rule matches",
            Mishap::Stale => "this proxy has lost touch with the core",
            Mishap::AreaClosed => "this area is closed",
            Mishap::OutsideHome => "the rule is bound to another region",
            Mishap::NoInstance => "no instance is free",
            Mishap::NoOwner => "no instance owns the key just now",
            Mishap::BodyTooLarge => "the body is over the rule's limit",
            Mishap::BadFraming => "the framing is malformed or ambiguous",
            Mishap::MissingKey => "the header with the key is missing",
            Mishap::BadKey => "the key is none of this pool's",
            Mishap::LateBeforeSending => "the deadline passed before anything was sent",
            Mishap::NotOpened => "no circuit to an instance could be opened",
            Mishap::InstanceRefused => "the instance refused and ran nothing",
            Mishap::Leaving => "this proxy is about to stop",
            Mishap::LostAfterSending => "the circuit was lost after sending",
            Mishap::LateAfterSending => "the deadline passed after sending",
            Mishap::Garbage => "the instance's answer was malformed",
        }
    }
}

/// How one shot at an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShotEnd {
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
    Answer(Mishap),
}

/// One order's state chart.
#[derive(Debug, Clone)]
pub struct OrderChart {
    state: OrderState,
    /// Why it matters: a read may be shot again, all else only when provably nothing ran.
    read: bool,
    /// Whether the body can be sent a second time.
    replayable: bool,
    shots: u32,
    most_shots: u32,
    deadline: Duration,
    /// A shot of this order may have run and its answer is not known.
    doubt: bool,
}

/// How often one order may be shot at most.
const MOST_SHOTS: u32 = 3;

impl OrderChart {
    pub fn received(read: bool) -> Self {
        Self {
            state: OrderState::Received,
            read,
            replayable: true,
            shots: 0,
            most_shots: MOST_SHOTS,
            deadline: Duration::ZERO,
            doubt: false,
        }
    }

    /// What the caller may be told: never "not run" once a shot is in doubt.
    pub fn told(&self, mishap: Mishap) -> Told {
        if self.doubt {
            Told::Unknown
        } else {
            mishap.told()
        }
    }

    pub fn is_read(&self) -> bool {
        self.read
    }

    pub fn state(&self) -> OrderState {
        self.state
    }

    pub fn shots(&self) -> u32 {
        self.shots
    }

    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// A rule was found; the deadline counts from here.
    pub fn matched(&mut self, now: Duration, rule: &Rule) {
        self.state = OrderState::Matched;
        self.deadline = now + rule.deadline;
        self.read = rule.may_repeat(self.read);
        if rule.most_attempts > 0 {
            self.most_shots = rule.most_attempts;
        }
    }

    /// The caller waits no longer than this.
    pub fn caller_waits(&mut self, until: Duration) {
        self.deadline = self.deadline.min(until);
    }

    pub fn admitted(&mut self, replayable: bool) {
        self.state = OrderState::Admitted;
        self.replayable = replayable;
    }

    pub fn chosen(&mut self) {
        self.state = OrderState::Chosen;
    }

    /// The last check before the first byte held; from here on bytes may leave.
    pub fn shooting(&mut self) {
        self.state = OrderState::Shooting;
        self.shots += 1;
    }

    pub fn sent(&mut self) {
        self.state = OrderState::Sent;
    }

    pub fn done(&mut self) {
        self.state = OrderState::Done;
    }

    pub fn refuse(&mut self, mishap: Mishap) -> NextStep {
        self.state = match self.told(mishap) {
            Told::NotRun => OrderState::Refused,
            Told::Unknown => OrderState::Unknown,
        };
        NextStep::Answer(mishap)
    }

    /// What follows the end of a shot; `again` asks the budget and is asked only when it counts.
    pub fn shot_ended(
        &mut self,
        now: Duration,
        end: ShotEnd,
        again: impl FnOnce() -> bool,
    ) -> NextStep {
        let nothing_ran = match end {
            ShotEnd::Answered => {
                self.state = OrderState::Answering;
                return NextStep::PassOn;
            }
            ShotEnd::NotOpened | ShotEnd::RefusedByInstance => true,
            ShotEnd::Lost | ShotEnd::Late | ShotEnd::Garbage => false,
        };
        self.doubt |= !nothing_ran;
        let may = (nothing_ran || self.read)
            && self.replayable
            && self.shots < self.most_shots
            && end != ShotEnd::Late
            && now < self.deadline;
        if may && again() {
            self.state = OrderState::Admitted;
            return NextStep::ShootAgain;
        }
        let mishap = match end {
            ShotEnd::NotOpened => Mishap::NotOpened,
            ShotEnd::RefusedByInstance => Mishap::InstanceRefused,
            ShotEnd::Late => Mishap::LateAfterSending,
            ShotEnd::Garbage => Mishap::Garbage,
            ShotEnd::Lost | ShotEnd::Answered => Mishap::LostAfterSending,
        };
        self.refuse(mishap)
    }
}

/// Counts first and further shots over a sliding window of seconds.
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

    pub fn first_shot(&mut self, now: Duration) {
        self.roll(now).1 += 1;
    }

    /// Takes one further shot from the budget if there is one.
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

/// One key of a keyed pool, as long as anything is to be known of it.
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
    /// Not chosen before a beat later than this one, or this moment: it could not be reached.
    unreached: Option<(u64, Duration)>,
    mishaps: u32,
    ejections: u32,
    ejected_until: Duration,
    gentle: Option<GentleBucket>,
}

/// The target of one shot.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    pub pool: PoolName,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub area: Area,
    pub slice: Option<(u32, Epoch)>,
    pub key: Option<u64>,
}

impl Target {
    /// Whether an order whose shot at this target ended so is to go elsewhere from now on.
    ///
    /// Why not always for keyed pools: a slice has one owner, and a circuit that could not be opened
    /// says nothing of whether it holds the slice.
    pub fn is_used_up(&self, end: ShotEnd) -> bool {
        self.slice.is_none() || end == ShotEnd::RefusedByInstance
    }
}

/// What a proxy knows of the world, as its agent last told it.
///
/// Why the books and the table are shared: most news is of instances, and a proxy copies its
/// knowledge for every piece of news; the standing orders may be many thousand.
#[derive(Debug, Clone, Default)]
pub struct ProxyKnowledge {
    /// The number of the last answer taken.
    pub last_view: u64,
    pub fresh_until: Duration,
    pub books: Arc<Follower>,
    pub table: Arc<RuleTable>,
    pub instances: BTreeMap<InstanceId, Beat>,
    pub by_pool: HashMap<PoolName, Vec<Beat>>,
    pub closed: BTreeSet<Area>,
    pub regions: BTreeMap<Area, Region>,
    pub proxies: u32,
    /// Up to which place of which agent the instances are held.
    pub agent: NodeId,
    pub instances_place: u64,
    pub policy: ProxyPolicy,
    /// Instances of areas that were taken back, with the last beat heard before: nobody knows yet
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
            if Arc::make_mut(&mut self.books).take(news) == Some(BookName::Standing) {
                let standing = self.books.book(BookName::Standing);
                self.table = Arc::new(RuleTable::of(standing));
                let closed: BTreeSet<Area> = standing
                    .areas()
                    .filter(|(_, order)| order.closed)
                    .map(|(area, _)| area)
                    .collect();
                let reopened: BTreeSet<Area> = self.closed.difference(&closed).cloned().collect();
                let doubtful = self.instances.values();
                let doubtful = doubtful.filter(|beat| reopened.contains(&beat.area));
                self.doubtful
                    .extend(doubtful.map(|beat| (beat.id.clone(), beat.counter)));
                self.closed = closed;
                self.regions = standing
                    .areas()
                    .map(|(area, order)| (area, order.region.clone()))
                    .collect();
            }
        }
        if view.all_instances {
            self.instances.clear();
        }
        if view.all_instances || !view.instances.is_empty() {
            let told = view.instances.iter();
            self.instances
                .extend(told.map(|beat| (beat.id.clone(), beat.clone())));
            self.by_pool.clear();
            for beat in self.instances.values() {
                self.by_pool
                    .entry(beat.pool.clone())
                    .or_default()
                    .push(beat.clone());
            }
        }
        let leaves = |beat: &Beat| beat.state == InstanceState::Leaving;
        let instances = &self.instances;
        self.leaving
            .retain(|id, _| instances.get(id).is_some_and(leaves));
        for beat in instances.values().filter(|beat| leaves(beat)) {
            self.leaving.entry(beat.id.clone()).or_insert(asked_at);
        }
        self.agent = view.agent;
        self.instances_place = view.instances_place;
        self.proxies = view.proxies.max(1);
        let instances = &self.instances;
        self.doubtful.retain(|id, counter| {
            instances
                .get(id)
                .is_some_and(|beat| beat.counter <= *counter)
        });
        // Why both books: being fresh means acting on at least what the agent held when it said so.
        let caught_up = self.books.book(BookName::Standing).edition >= view.standing
            && self.books.book(BookName::Tenure).edition >= view.tenure;
        if caught_up {
            self.fresh_until = self.fresh_until.max(asked_at + view.left);
        }
    }

    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        match &self
            .books
            .book(BookName::Standing)
            .items
            .get(&format!("pool/{name}"))?
            .value
        {
            Value::Pool { pool } => Some(pool),
            _ => None,
        }
    }

    /// Whether an instance may be cold, as far as can be told.
    fn is_cold(&self, beat: &Beat, pool: &Pool) -> bool {
        beat.is_cold(pool.warm_span) || self.doubtful.contains_key(&beat.id)
    }

    /// Whether keys may still go to an owner, though it may be leaving.
    fn owner_serves(&self, now: Duration, beat: &Beat) -> bool {
        if beat.state != InstanceState::Leaving {
            return true;
        }
        let since = self.leaving.get(&beat.id);
        since.is_some_and(|since| now < *since + self.policy.leaving_owner)
    }

    /// Whether what is known here may be acted on.
    pub fn is_usable(&self, now: Duration) -> bool {
        let known = self.books.book(BookName::Standing).edition > Edition(0);
        now < self.fresh_until || (self.policy.serves_on && known)
    }

    /// The rule for a host and path.
    pub fn find(&self, now: Duration, host: &str, path: &str) -> Result<NamedRoute, Mishap> {
        // Why not "no rule" when stale: a rule may have come that we have not heard of.
        let otherwise = if !self.is_usable(now) {
            Mishap::Stale
        } else {
            Mishap::NoRule
        };
        self.table.find(host, path).cloned().ok_or(otherwise)
    }

    /// Whether this proxy may carry anything for the rule now.
    pub fn admits(&self, now: Duration, own_area: &Area, rule: &Rule) -> Result<(), Mishap> {
        if !self.is_usable(now) {
            return Err(Mishap::Stale);
        }
        if self.closed.contains(own_area) && !self.policy.closed_zone_carries {
            return Err(Mishap::AreaClosed);
        }
        if !self.policy.carries_home && !rule.is_at_home(self.regions.get(own_area)) {
            return Err(Mishap::OutsideHome);
        }
        Ok(())
    }

    /// The last check, at the last moment before the first byte.
    pub fn still_good(
        &self,
        now: Duration,
        own_area: &Area,
        rule: &Rule,
        target: &Target,
    ) -> Result<(), Mishap> {
        self.admits(now, own_area, rule)?;
        let lives = self.instances.get(&target.instance).is_some_and(|beat| {
            beat.incarnation == target.incarnation
                && beat.address == target.address
                && (beat.state != InstanceState::Leaving
                    || (target.slice.is_some() && self.owner_serves(now, beat)))
        });
        if !lives || self.closed.contains(&target.area) {
            return Err(Mishap::NoInstance);
        }
        if let Some((slice, epoch)) = target.slice {
            let holds = self
                .books
                .book(BookName::Tenure)
                .slices(&target.pool)
                .and_then(|table| table.owners.get(slice as usize)?.as_ref())
                .is_some_and(|owner| owner.epoch == epoch && owner.instance == target.instance);
            if !holds {
                return Err(Mishap::NoOwner);
            }
        }
        Ok(())
    }
}

/// One pool as one proxy sees it: a shard with its own lock in the daemon.
#[derive(Debug, Clone)]
pub struct PoolShard {
    watches: HashMap<InstanceId, InstanceWatch>,
    keys: HashMap<u64, KeyWatch>,
    /// How many orders for one key this proxy may have under way: its part of the pool's cap.
    key_share: f64,
    budget: RetryBudget,
    chance: Chance,
    /// Until when at least one instance is put aside.
    any_ejected_until: Duration,
    /// Only for proving the observers: one key may have all of its owner.
    pub no_key_cap: bool,
}

impl PoolShard {
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

    pub fn first_shot(&mut self, now: Duration) {
        self.budget.first_shot(now);
    }

    pub fn take_retry(&mut self, now: Duration) -> bool {
        self.budget.take(now)
    }

    /// Makes a watch for a beat, anew when the instance lives another life.
    fn watch(&mut self, beat: &Beat) -> &mut InstanceWatch {
        // Why look before: the name is copied once in an instance's life and not for every order.
        if self
            .watches
            .get(&beat.id)
            .is_none_or(|watch| watch.incarnation != beat.incarnation)
        {
            let watch = InstanceWatch {
                incarnation: beat.incarnation,
                ..InstanceWatch::default()
            };
            self.watches.insert(beat.id.clone(), watch);
        }
        // Why this cannot miss: it was there or has just been put there.
        self.watches.get_mut(&beat.id).expect("a watch")
    }

    /// Forgets the instances that are gone, and the keys that nobody wants any more.
    pub fn keep_only(&mut self, now: Duration, instances: &BTreeMap<InstanceId, Beat>) {
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
    fn has_room(&mut self, now: Duration, beat: &Beat, pool: &Pool, proxies: u32) -> bool {
        let cap = pool.instance_cap.div_ceil(proxies.max(1));
        let watch = self.watch(beat);
        if let Some((counter, until)) = watch.unreached {
            if beat.counter <= counter && now < until {
                return false;
            }
            watch.unreached = None;
        }
        watch.under_way < cap && now >= watch.ejected_until && !watch.over
    }

    /// No connection came about: until it beats again the instance is not chosen.
    ///
    /// Why until then: it may come back cold, and only a beat tells. Why for a while only: it may be
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
        beat: &Beat,
        pool: &Pool,
        knowledge: &ProxyKnowledge,
    ) -> bool {
        // Why divided: the rate is the instance's, however many proxies there are.
        let rate = pool.cold_rate() / f64::from(knowledge.proxies.max(1));
        let cold = knowledge.is_cold(beat, pool);
        // Why by chance: buckets that all begin empty at once are all full at once, and that many
        // proxies together would send in one second what the instance bears in several.
        let part = self.chance.below(1_000_000) as f64 / 1_000_000.0;
        let watch = self.watch(beat);
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

    fn weight(&mut self, now: Duration, beat: &Beat) -> f64 {
        let watch = self.watch(beat);
        // Why only of late: an instance that told of much to do and was then left alone would else
        // be left alone for ever.
        let told = match now.saturating_sub(watch.reported_at) < REPORT_SPAN {
            true => watch.reported,
            false => 0,
        };
        let load = f64::from(watch.under_way) + f64::from(told.max(beat.load));
        load / f64::from(beat.capacity.max(1))
    }

    /// Chooses an instance: same area first, then the region, and never beyond a home region.
    pub fn choose(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        own_area: &Area,
        rule: &Rule,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Mishap> {
        self.choose_in(now, knowledge, own_area, rule, &rule.pool, key, tried)
    }

    /// The same in one of the pools that the rule's requests are split over.
    #[allow(clippy::too_many_arguments)]
    pub fn choose_in(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        own_area: &Area,
        rule: &Rule,
        pool_name: &PoolName,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Mishap> {
        let pool = knowledge.pool(pool_name).ok_or(Mishap::NoInstance)?;
        if pool.keyed {
            return self.choose_owner(now, knowledge, rule, pool_name, pool, key, tried);
        }
        let own_region = knowledge.regions.get(own_area);
        let beats = knowledge.by_pool.get(pool_name).ok_or(Mishap::NoInstance)?;
        let mut tiers: [Vec<&Beat>; 3] = [Vec::new(), Vec::new(), Vec::new()];
        for beat in beats {
            if beat.state == InstanceState::Leaving
                || knowledge.closed.contains(&beat.area)
                || tried.contains(&beat.id)
            {
                continue;
            }
            let region = knowledge.regions.get(&beat.area);
            if !rule.is_at_home(region) {
                continue;
            }
            let tier = match (beat.area == *own_area, region == own_region) {
                (true, _) => 0,
                (false, true) => 1,
                (false, false) => 2,
            };
            tiers[tier].push(beat);
        }
        if now < self.any_ejected_until {
            self.bound_ejections(now, &tiers);
        }
        // Why near ones a second time: when all are busy, waiting near by beats waiting far away.
        for spill in [SPILL_LOADS, [f64::MAX; 3]] {
            for (tier, most) in tiers.iter().zip(spill) {
                if let Some(beat) = self.pick(now, tier, pool, knowledge, most) {
                    return Ok(target_of(beat, None, None));
                }
            }
        }
        Err(Mishap::NoInstance)
    }

    /// Takes instances back when more than half of those that could serve are put aside.
    ///
    /// Why bounded: that many mishaps say more of the way there than of the instances, and the rest
    /// would be sunk by all the load.
    fn bound_ejections(&mut self, now: Duration, tiers: &[Vec<&Beat>; 3]) {
        let known: usize = tiers.iter().map(Vec::len).sum();
        let ejected = tiers
            .iter()
            .flatten()
            .filter(|beat| now < self.watch(beat).ejected_until)
            .count();
        if ejected * 2 > known {
            for beat in tiers.iter().flatten() {
                self.watch(beat).ejected_until = Duration::ZERO;
            }
        }
    }

    /// Picks within a tier: a cold instance whose turn has come, or the less loaded of two.
    fn pick<'beats>(
        &mut self,
        now: Duration,
        tier: &[&'beats Beat],
        pool: &Pool,
        knowledge: &ProxyKnowledge,
        most_load: f64,
    ) -> Option<&'beats Beat> {
        let proxies = knowledge.proxies;
        // Why the cold first when their turn has come: it comes seldom, and a cold instance that
        // is never chosen never warms.
        let is_cold = |beat: &Beat| knowledge.is_cold(beat, pool);
        for beat in tier.iter().filter(|beat| is_cold(beat)) {
            if self.has_room(now, beat, pool, proxies)
                && self.gentle_lets(now, beat, pool, knowledge)
            {
                return Some(beat);
            }
        }
        // Why by drawing first: nearly always one of two drawn is free, and looking at all of them
        // for every order is what an order would mostly cost.
        let mut best: Option<&Beat> = None;
        for _ in 0..2 {
            let drawn = *tier.get(self.chance.below(tier.len() as u64) as usize)?;
            if is_cold(drawn)
                || !self.has_room(now, drawn, pool, proxies)
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
            .find(|beat| {
                !is_cold(beat)
                    && self.has_room(now, beat, pool, proxies)
                    && self.weight(now, beat) <= most_load
            })
    }

    #[allow(clippy::too_many_arguments)]
    fn choose_owner(
        &mut self,
        now: Duration,
        knowledge: &ProxyKnowledge,
        rule: &Rule,
        pool_name: &PoolName,
        pool: &Pool,
        key: Option<&str>,
        tried: &[InstanceId],
    ) -> Result<Target, Mishap> {
        let key = key.ok_or(Mishap::MissingKey)?;
        let slice = pool.slice(key).ok_or(Mishap::BadKey)?;
        let owner = knowledge
            .books
            .book(BookName::Tenure)
            .slices(pool_name)
            .and_then(|table| table.owners.get(slice as usize)?.as_ref())
            .ok_or(Mishap::NoOwner)?;
        let beat = knowledge
            .instances
            .get(&owner.instance)
            .filter(|beat| beat.incarnation == owner.incarnation)
            .filter(|beat| knowledge.owner_serves(now, beat))
            .filter(|beat| !knowledge.closed.contains(&beat.area))
            .filter(|beat| rule.is_at_home(knowledge.regions.get(&beat.area)))
            // Why not again: an owner that says it does not hold the slice will not hold it in the
            // next moment either, and the shot would be wasted.
            .filter(|beat| !tried.contains(&beat.id))
            .ok_or(Mishap::NoOwner)?;
        let key = steady_hash(key);
        // Why a cap per key: one hot key must not take all of its owner's room from the others.
        self.key_share = f64::from(pool.key_cap) / f64::from(knowledge.proxies.max(1));
        let most = (self.key_share as u32).max(1);
        let hot = self
            .keys
            .get(&key)
            .is_some_and(|watch| watch.under_way >= most || now < watch.rests_until);
        if (hot && !self.no_key_cap)
            || !self.has_room(now, beat, pool, knowledge.proxies)
            || !self.gentle_lets(now, beat, pool, knowledge)
        {
            return Err(Mishap::NoInstance);
        }
        Ok(target_of(beat, Some((slice, owner.epoch)), Some(key)))
    }

    /// A shot at the target begins. `cold` spends a token of the gentle rate.
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

    /// The shot is over; `load` is what the instance reported with its answer.
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
            watch.mishaps = 0;
            watch.ejections = 0;
            return;
        }
        watch.mishaps += 1;
        if watch.mishaps >= MISHAPS_TO_EJECT {
            let span = EJECT_SPAN * 2_u32.pow(watch.ejections.min(3));
            watch.ejected_until = now + span.min(EJECT_MOST);
            watch.ejections += 1;
            watch.mishaps = 0;
            self.any_ejected_until = self.any_ejected_until.max(watch.ejected_until);
        }
    }
}

fn target_of(beat: &Beat, slice: Option<(u32, Epoch)>, key: Option<u64>) -> Target {
    Target {
        pool: beat.pool.clone(),
        instance: beat.id.clone(),
        incarnation: beat.incarnation,
        address: beat.address,
        area: beat.area.clone(),
        slice,
        key,
    }
}
