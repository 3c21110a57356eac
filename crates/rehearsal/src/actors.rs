//! The proxies and instances of the simulated fleet: the daemons' state machines with the
//! network between them played by the world.

use crate::prelude::*;

/// Deliberately broken proxies, each to be caught by an observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenProxy {
    #[default]
    Nothing,
    /// Shoots writes again like reads.
    RepeatsWrites,
    /// Says "not run" of orders whose fate is not known.
    SaysNotRun,
    /// Takes answers without looking whose they are.
    TakesAnyAnswer,
    /// Sends to leaving instances.
    IgnoresLeaving,
    /// Goes on although its knowledge is stale.
    IgnoresStaleness,
    /// Goes on in closed areas.
    IgnoresClosed,
    /// Shoots again without a budget.
    NoBudget,
    /// Uses the whole gentle rate by itself.
    WholeGentleRate,
    /// Sends beyond the home region.
    IgnoresHome,
    /// Takes an older book over a newer one.
    GoesBack,
    /// Lets one key have as much of its owner as it asks for.
    NoKeyCap,
    /// Keeps a refusal to itself until the deadline is near.
    HoldsRefusals,
}

/// An order on its way, as the fleet sees it.
#[derive(Debug, Clone)]
pub struct Order {
    pub number: u64,
    pub host: String,
    pub path: String,
    pub write: bool,
    pub key: Option<String>,
    pub sent_at: Duration,
    /// When it was taken in by a proxy, by the world's time.
    pub received_at: Duration,
    /// Which kind of traffic it is; none for the orders of a hot key.
    pub kind: Option<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Opening,
    Sent,
}

#[derive(Debug, Clone)]
pub struct Carried {
    pub order: Order,
    pub chart: OrderChart,
    pub rule: Rule,
    pub target: Option<Target>,
    pub stage: Stage,
    pub shot: u32,
    pub tried: Vec<InstanceId>,
    pub standing: Edition,
}

/// What a proxy wants done.
#[derive(Debug, Clone)]
pub enum ProxyWish {
    Open {
        order: u64,
        shot: u32,
        target: Target,
    },
    Shoot {
        order: u64,
        shot: u32,
        target: Target,
        further: bool,
    },
    Answer {
        order: Order,
        told: ToldCaller,
        answered: Option<u64>,
        mishap: Option<Mishap>,
        /// Refused by the proxy itself, with no instance tried.
        unsent: bool,
    },
    Pull {
        message: Message,
    },
    /// Stopped politely, and nothing is under way any more.
    End,
    WakeAt {
        order: u64,
        at: Duration,
    },
}

/// The answer of an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InstanceAnswer {
    Ran {
        order: u64,
        load: u32,
    },
    NotRun,
    /// Another life answers here than the one that the order is for.
    Misdirected,
    Garbage,
}

pub struct SimProxy {
    pub area: Area,
    pub serving: SocketAddr,
    pub capacity: u32,
    pub knowledge: ProxyKnowledge,
    pub shards: HashMap<PoolName, PoolShard>,
    pub carried: HashMap<u64, Carried>,
    pub broken: BrokenProxy,
    seed: u64,
    pull_number: u64,
    pulls: VecDeque<(u64, Duration)>,
    next_pull: Duration,
    measured: HashMap<(String, RuleName), (u32, Duration)>,
    demand: Vec<Demand>,
    demand_at: Duration,
    /// Refusals that a broken variant keeps back, and until when.
    kept_back: VecDeque<(Duration, ProxyWish)>,
    /// Since when it is stopping politely.
    pub stopping_since: Option<Duration>,
}

const OPEN_PATIENCE: Duration = Duration::from_millis(400);
/// As long as the daemon takes orders after a stop was asked for.
const LINGER: Duration = Duration::from_millis(2600);

impl SimProxy {
    pub fn new(
        area: Area,
        serving: SocketAddr,
        capacity: u32,
        seed: u64,
        broken: BrokenProxy,
    ) -> Self {
        Self {
            area,
            serving,
            capacity,
            knowledge: ProxyKnowledge::default(),
            shards: HashMap::new(),
            carried: HashMap::new(),
            broken,
            seed,
            pull_number: 0,
            pulls: VecDeque::new(),
            next_pull: Duration::ZERO,
            measured: HashMap::new(),
            demand: Vec::new(),
            demand_at: Duration::ZERO,
            kept_back: VecDeque::new(),
            stopping_since: None,
        }
    }

    pub fn tick(&mut self, now: Duration) -> Vec<ProxyWish> {
        let due = self.kept_back.iter().take_while(|(at, _)| *at <= now);
        let due = due.count();
        let kept_back: Vec<ProxyWish> = self.kept_back.drain(..due).map(|kept| kept.1).collect();
        let lingered = self
            .stopping_since
            .is_some_and(|since| now.saturating_sub(since) >= LINGER);
        if lingered && self.carried.is_empty() {
            return vec![ProxyWish::End];
        }
        if now < self.next_pull {
            return kept_back;
        }
        self.next_pull = now + Duration::from_millis(150);
        if now.saturating_sub(self.demand_at) >= Duration::from_secs(1) {
            let span = now.saturating_sub(self.demand_at).as_secs_f64().max(1.0);
            self.demand_at = now;
            self.demand = self
                .measured
                .drain()
                .map(|((group, rule), (orders, locality))| Demand {
                    group,
                    rule,
                    orders: (f64::from(orders) / span).ceil() as u32,
                    locality,
                })
                .collect();
            self.demand
                .sort_by(|one, other| (&one.group, &one.rule).cmp(&(&other.group, &other.rule)));
        }
        self.pull_number += 1;
        self.pulls.push_back((self.pull_number, now));
        if self.pulls.len() > 16 {
            self.pulls.pop_front();
        }
        let pull = Pull {
            number: self.pull_number,
            standing: self.knowledge.books.book(BookName::Standing).edition,
            tenure: self.knowledge.books.book(BookName::Tenure).edition,
            serving: self.serving,
            ready: self.stopping_since.is_none(),
            capacity: self.capacity,
            demand: self.demand.clone(),
            life: self.seed,
            usage: Vec::new(),
            agent: self.knowledge.agent,
            instances_place: self.knowledge.instances_place,
        };
        let message = Message::Pull { pull };
        kept_back
            .into_iter()
            .chain([ProxyWish::Pull { message }])
            .collect()
    }

    pub fn take_view(&mut self, view: &ProxyView) {
        let Some((_, asked_at)) = self.pulls.iter().find(|(number, _)| *number == view.number)
        else {
            return;
        };
        let asked_at = *asked_at;
        if self.broken == BrokenProxy::GoesBack && view.number.is_multiple_of(40) {
            self.knowledge.books = Arc::default();
        }
        let mut view = view.clone();
        if self.broken == BrokenProxy::IgnoresLeaving {
            for beat in &mut view.instances {
                beat.state = InstanceState::Serving;
            }
        }
        if self.broken == BrokenProxy::WholeGentleRate {
            view.proxies = 1;
        }
        self.knowledge.take(asked_at, &view);
        if self.broken == BrokenProxy::IgnoresStaleness {
            self.knowledge.fresh_until = asked_at + Duration::from_secs(600);
        }
        if self.broken == BrokenProxy::IgnoresClosed {
            self.knowledge.closed.clear();
        }
        for shard in self.shards.values_mut() {
            shard.keep_only(asked_at, &self.knowledge.instances);
        }
    }

    /// The rule as this proxy goes by it.
    fn rule_of(&self, rule: &Rule) -> Rule {
        let mut rule = rule.clone();
        if self.broken == BrokenProxy::IgnoresHome {
            rule.homes.clear();
        }
        rule
    }

    pub fn receive(
        &mut self,
        now: Duration,
        order: Order,
        group: String,
        locality: Duration,
    ) -> Vec<ProxyWish> {
        let wishes = self.take_in(now, order, group, locality);
        if self.broken != BrokenProxy::HoldsRefusals {
            return wishes;
        }
        let refusal = |wish: &ProxyWish| matches!(wish, ProxyWish::Answer { unsent: true, .. });
        let (refusals, wishes): (Vec<ProxyWish>, Vec<ProxyWish>) =
            wishes.into_iter().partition(refusal);
        let until = now + Duration::from_millis(800);
        let refusals = refusals.into_iter().map(|refusal| (until, refusal));
        self.kept_back.extend(refusals);
        wishes
    }

    fn take_in(
        &mut self,
        now: Duration,
        order: Order,
        group: String,
        locality: Duration,
    ) -> Vec<ProxyWish> {
        let mut chart =
            OrderChart::received(!order.write || self.broken == BrokenProxy::RepeatsWrites);
        let (name, rule) = match self.knowledge.find(now, &order.host, &order.path) {
            Ok(found) => found,
            Err(mishap) => return vec![self.answered(order, &mut chart, mishap, true)],
        };
        let rule = self.rule_of(&rule);
        chart.matched(now, &rule);
        let metered = self.measured.entry((group, name)).or_insert((0, locality));
        metered.0 += 1;
        metered.1 = metered.1.min(locality);
        if let Err(mishap) = self.knowledge.admits(now, &self.area, &rule) {
            return vec![self.answered(order, &mut chart, mishap, true)];
        }
        chart.admitted(true);
        let seed = self.seed;
        self.shards.entry(rule.pool.clone()).or_insert_with(|| {
            let mut shard = PoolShard::new(seed ^ steady_hash(rule.pool.as_str()));
            shard.no_key_cap = self.broken == BrokenProxy::NoKeyCap;
            shard
        });
        let number = order.number;
        let deadline = chart.deadline();
        self.carried.insert(
            number,
            Carried {
                order,
                chart,
                rule,
                target: None,
                stage: Stage::Opening,
                shot: 0,
                tried: Vec::new(),
                standing: Edition(0),
            },
        );
        let mut wishes = vec![ProxyWish::WakeAt {
            order: number,
            at: deadline,
        }];
        wishes.extend(self.choose(now, number));
        wishes
    }

    fn answered(
        &self,
        order: Order,
        chart: &mut OrderChart,
        mishap: Mishap,
        unsent: bool,
    ) -> ProxyWish {
        chart.refuse(mishap);
        let told = match chart.told(mishap) {
            Told::NotRun => ToldCaller::NotRun,
            Told::Unknown if self.broken == BrokenProxy::SaysNotRun => ToldCaller::NotRun,
            Told::Unknown => ToldCaller::Unknown,
        };
        ProxyWish::Answer {
            order,
            told,
            answered: None,
            mishap: Some(mishap),
            unsent,
        }
    }

    fn finish(&mut self, number: u64, mishap: Mishap) -> Vec<ProxyWish> {
        match self.carried.remove(&number) {
            Some(mut carried) => {
                let unsent = carried.shot == 0;
                vec![self.answered(carried.order, &mut carried.chart, mishap, unsent)]
            }
            None => Vec::new(),
        }
    }

    fn choose(&mut self, now: Duration, number: u64) -> Vec<ProxyWish> {
        let Some(carried) = self.carried.get_mut(&number) else {
            return Vec::new();
        };
        if now >= carried.chart.deadline() {
            return self.finish(number, Mishap::LateBeforeSending);
        }
        let Some(shard) = self.shards.get_mut(&carried.rule.pool) else {
            return Vec::new();
        };
        let chosen = self
            .knowledge
            .admits(now, &self.area, &carried.rule)
            .and_then(|()| {
                let key = carried.order.key.as_deref();
                shard.choose(
                    now,
                    &self.knowledge,
                    &self.area,
                    &carried.rule,
                    key,
                    &carried.tried,
                )
            });
        match chosen {
            Ok(target) => {
                shard.begin(now, &target);
                carried.chart.chosen();
                carried.shot += 1;
                carried.stage = Stage::Opening;
                carried.target = Some(target.clone());
                let shot = carried.shot;
                vec![
                    ProxyWish::WakeAt {
                        order: number,
                        at: now + OPEN_PATIENCE,
                    },
                    ProxyWish::Open {
                        order: number,
                        shot,
                        target,
                    },
                ]
            }
            Err(mishap) => self.finish(number, mishap),
        }
    }

    /// The circuit stands: the last check, then the order leaves.
    pub fn opened(&mut self, now: Duration, number: u64, shot: u32) -> Vec<ProxyWish> {
        let Some(carried) = self.carried.get_mut(&number) else {
            return Vec::new();
        };
        let (Some(target), Stage::Opening) = (carried.target.clone(), carried.stage) else {
            return Vec::new();
        };
        if carried.shot != shot {
            return Vec::new();
        }
        let good = self
            .knowledge
            .still_good(now, &self.area, &carried.rule, &target);
        if let Err(mishap) = good {
            if let Some(shard) = self.shards.get_mut(&carried.rule.pool) {
                shard.end(now, &target, true, None);
            }
            return self.finish(number, mishap);
        }
        carried.chart.shooting();
        carried.chart.sent();
        if carried.chart.shots() == 1 {
            if let Some(shard) = self.shards.get_mut(&carried.rule.pool) {
                shard.first_shot(now);
            }
        }
        carried.stage = Stage::Sent;
        carried.standing = self.knowledge.books.book(BookName::Standing).edition;
        vec![ProxyWish::Shoot {
            order: number,
            shot,
            target,
            further: carried.chart.shots() > 1,
        }]
    }

    pub fn ended(
        &mut self,
        now: Duration,
        number: u64,
        shot: u32,
        end: ShotEnd,
        answer: Option<InstanceAnswer>,
    ) -> Vec<ProxyWish> {
        let (end, load, answered) = match answer {
            Some(InstanceAnswer::Ran { order, load }) => (end, Some(load), Some(order)),
            Some(InstanceAnswer::NotRun | InstanceAnswer::Misdirected) => {
                (ShotEnd::RefusedByInstance, None, None)
            }
            Some(InstanceAnswer::Garbage) => (end, None, Some(number + 1_000_000_000)),
            None => (end, None, None),
        };
        let Some(carried) = self.carried.get_mut(&number) else {
            return Vec::new();
        };
        if carried.shot != shot {
            return Vec::new();
        }
        let Some(target) = carried.target.take() else {
            return Vec::new();
        };
        let mut end = end;
        if end == ShotEnd::Answered
            && answered != Some(number)
            && self.broken != BrokenProxy::TakesAnyAnswer
        {
            end = ShotEnd::Garbage;
        }
        let good = matches!(end, ShotEnd::Answered | ShotEnd::RefusedByInstance);
        let no_budget = self.broken == BrokenProxy::NoBudget;
        let Some(shard) = self.shards.get_mut(&carried.rule.pool) else {
            return Vec::new();
        };
        shard.end(now, &target, good, load);
        if answer == Some(InstanceAnswer::Misdirected) {
            shard.life_is_over(&target);
        }
        if target.is_used_up(end) {
            carried.tried.push(target.instance);
        }
        let step = carried
            .chart
            .shot_ended(now, end, || no_budget || shard.take_retry(now));
        match step {
            NextStep::PassOn => match self.carried.remove(&number) {
                Some(carried) => vec![ProxyWish::Answer {
                    order: carried.order,
                    told: ToldCaller::Served,
                    answered,
                    mishap: None,
                    unsent: false,
                }],
                None => Vec::new(),
            },
            NextStep::ShootAgain => self.choose(now, number),
            NextStep::Answer(mishap) => self.finish(number, mishap),
        }
    }

    /// A moment that the order waits for has come: its deadline, or the end of patience.
    pub fn woken(&mut self, now: Duration, number: u64, at: Duration) -> Vec<ProxyWish> {
        let Some(carried) = self.carried.get(&number) else {
            return Vec::new();
        };
        let late = now >= carried.chart.deadline();
        let (stage, shot) = (carried.stage, carried.shot);
        match stage {
            Stage::Sent if late => self.ended(now, number, shot, ShotEnd::Late, None),
            Stage::Opening if late => {
                if let Some(target) = carried.target.clone() {
                    if let Some(shard) = self.shards.get_mut(&carried.rule.pool.clone()) {
                        shard.end(now, &target, false, None);
                    }
                }
                self.finish(number, Mishap::LateBeforeSending)
            }
            // Why compare: only the wake-up that belongs to this opening ends it.
            Stage::Opening if now >= at && carried.target.is_some() => {
                self.ended(now, number, shot, ShotEnd::NotOpened, None)
            }
            _ => Vec::new(),
        }
    }
}

/// What an instance works on.
#[derive(Debug, Clone)]
pub struct Work {
    pub order: u64,
    pub shot: u32,
    pub proxy: usize,
    pub proxy_life: u64,
    pub slice: Option<(u32, Epoch)>,
    pub pool: PoolName,
    pub from: Duration,
}

pub struct SimInstance {
    pub id: InstanceId,
    pub pool: PoolName,
    pub area: Area,
    pub address: SocketAddr,
    pub capacity: u32,
    pub work_span: Duration,
    /// How many times as long as usual its work takes.
    pub slowness: u32,
    pub incarnation: Incarnation,
    pub counter: u64,
    pub leaving: bool,
    pub holdings: Holdings,
    pub agents: Vec<usize>,
    pub agent: usize,
    pub next_beat: Duration,
    /// When each beat was sent, and to which agent.
    pub beat_sent: HashMap<u64, (Duration, usize)>,
    /// The last stamp of each agent, and since when we have it.
    pub stamps: HashMap<usize, (Stamp, Duration)>,
    pub unheard: u32,
    pub work: Slab<Work>,
    /// Answers lost after the work, garbage sent, for as many orders.
    pub loses_answers: u32,
    pub sends_garbage: u32,
    pub refuses: u32,
    /// Works as if every order were for it, whatever its headers say.
    pub careless: bool,
}

impl SimInstance {
    pub fn beat(&mut self, now: Duration) -> Beat {
        self.counter += 1;
        self.says(now)
    }

    /// What a beat says now.
    pub fn says(&self, now: Duration) -> Beat {
        Beat {
            id: self.id.clone(),
            incarnation: self.incarnation,
            counter: self.counter,
            pool: self.pool.clone(),
            area: self.area.clone(),
            address: self.address,
            capacity: self.capacity,
            state: if self.leaving {
                InstanceState::Leaving
            } else {
                InstanceState::Serving
            },
            load: self.work.len() as u32,
            up: now,
            holding: self.holdings.holding(now),
            let_go: self.holdings.let_go(),
            cold_left: Duration::ZERO,
        }
    }
}
