//! The world: virtual time, the nodes, and everything that travels between them.

use crate::prelude::*;

const TICK: Duration = Duration::from_millis(25);
const BEAT_PERIOD: Duration = Duration::from_millis(500);
const BEAT_PATIENCE: Duration = Duration::from_millis(1000);
/// How many callers in a hundred go to some proxy that they remember.
const STICKY_PERCENT: u64 = 3;
const READ_PERIOD: Duration = Duration::from_millis(700);
/// What instances' wall clocks showed when the world began, in milliseconds.
const WALL_START: u64 = 1_800_000_000_000;
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);

pub enum Body {
    Ledger(Box<LedgerMachine>),
    Mentor(Box<MentorMachine>),
    Proxy(Box<SimProxy>),
    Cuesheet(Box<CuesheetMachine>),
    Instance(Box<SimInstance>),
}

/// What a node is made of when it starts.
#[derive(Debug, Clone)]
pub enum Kind {
    Ledger,
    Mentor,
    Proxy {
        agent: usize,
        capacity: u32,
    },
    Cuesheet,
    Instance {
        pool: PoolName,
        capacity: u32,
        work_span: Duration,
        agents: Vec<usize>,
    },
}

pub struct Node {
    pub name: String,
    pub area: Area,
    pub address: SocketAddr,
    pub kind: Kind,
    pub body: Option<Body>,
    /// Grows with every start and end, so that what was meant for another life is not heard.
    pub life: u64,
    pub started_at: Duration,
    pub frozen: bool,
    /// The machine is without power: it resets no circuits.
    pub dark: bool,
    pub backlog: Vec<Happening>,
    /// How the node's clock runs, in parts per million.
    pub clock_rate: i64,
    pub disk: SimDisk,
    pub left_for_good: bool,
    /// When it froze, and how long it has been frozen in this life.
    pub frozen_at: Duration,
    pub slept: Duration,
    /// How far the wall clock is off, in milliseconds.
    pub wall_offset: i64,
    pub slowness: u32,
}

#[derive(Debug, Clone)]
pub enum Happening {
    Tick,
    Control {
        envelope: Box<Envelope>,
    },
    Synced {
        ticket: u64,
        well: bool,
    },
    CallerOrder {
        order: Order,
        group: String,
        locality: Duration,
    },
    Open {
        order: u64,
        shot: u32,
        proxy: usize,
        proxy_life: u64,
        incarnation: Incarnation,
    },
    Opened {
        order: u64,
        shot: u32,
    },
    Arrive {
        order: u64,
        shot: u32,
        proxy: usize,
        proxy_life: u64,
        target: Box<Target>,
        rule: Box<Rule>,
        standing: Edition,
        need: Duration,
    },
    Ended {
        order: u64,
        shot: u32,
        end: ShotEnd,
        answer: Option<InstanceAnswer>,
    },
    WorkDone {
        work: usize,
    },
    OrderWake {
        order: u64,
        at: Duration,
    },
    /// A polite stop is over.
    Ends,
    BeatPost {
        beat: Box<Beat>,
        echo: Option<Echo>,
        number: u64,
        instance: usize,
        instance_life: u64,
    },
    BeatAnswered {
        number: u64,
        answer: Option<DatedAnswer>,
    },
}

enum Due {
    At {
        node: usize,
        life: u64,
        happening: Happening,
    },
    Caller {
        kind: usize,
    },
    HotCaller,
    Operator,
    Reader,
    Fault {
        place: usize,
    },
    Observe,
}

/// A beat that a mentor has and whose answer it owes.
struct BeatTicket {
    instance: usize,
    instance_life: u64,
    number: u64,
}

pub struct World {
    pub now: Duration,
    pub chance: Chance,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub observers: Observers,
    pub day: Day,
    pub scenario: Scenario,
    pub regions: BTreeMap<Area, Region>,
    pub by_address: HashMap<SocketAddr, usize>,
    /// What is due, by time and turn; the slab holds what it is.
    ///
    /// Why apart: the heap moves its entries about all the time, and these are small.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    due: Slab<Due>,
    queued: u64,
    next_order: u64,
    tickets: HashMap<(usize, u64), BeatTicket>,
    next_ticket: u64,
    operator_calls: HashMap<u64, Change>,
    verdicts: HashMap<ChangeId, Verdict>,
    next_call: u64,
    known_editions: HashMap<String, Edition>,
    /// Change sets that were answered, so that operators can send old ones again.
    answered_calls: Vec<Change>,
    /// Reads under way, and when they were asked for.
    reads: HashMap<u64, Duration>,
    /// Faults that wait for the next yes.
    on_yes: Vec<Harm>,
    /// The ledger that said the last yes.
    answering: Option<usize>,
    /// The kind of traffic with a hot key, and how many orders a second want it.
    hot: Option<(usize, u32)>,
    surge_percent: u64,
    seeds: Vec<SocketAddr>,
}

fn address_of(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 200) as u8, (place % 200) as u8 + 1], 7000))
}

impl World {
    pub fn new(scenario: Scenario, day: Day, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            chance: Chance::seeded(seed),
            nodes: Vec::new(),
            network: Network {
                same_area: Duration::from_micros(200),
                same_region: Duration::from_millis(1),
                other_region: scenario.region_distance / 2,
                loss_per_thousand: day.loss_per_thousand,
                cuts: Vec::new(),
                deaf: BTreeSet::new(),
                parted: BTreeSet::new(),
                muddles: Vec::new(),
            },
            observers: Observers::default(),
            regions: scenario
                .areas
                .iter()
                .map(|(area, region)| (Area::new(area), Region::new(region)))
                .collect(),
            day,
            scenario,
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            due: Slab::new(),
            queued: 0,
            next_order: 0,
            tickets: HashMap::new(),
            next_ticket: 0,
            operator_calls: HashMap::new(),
            verdicts: HashMap::new(),
            next_call: 0,
            known_editions: HashMap::new(),
            answered_calls: Vec::new(),
            reads: HashMap::new(),
            on_yes: Vec::new(),
            answering: None,
            hot: None,
            surge_percent: 100,
            seeds: Vec::new(),
        };
        world.people();
        world
    }

    fn add(&mut self, name: String, area: &str, kind: Kind) -> usize {
        let place = self.nodes.len();
        let address = address_of(place);
        self.by_address.insert(address, place);
        let clock_rate = self.chance.below(8001) as i64 - 4000;
        self.nodes.push(Node {
            name,
            area: Area::new(area),
            address,
            kind,
            body: None,
            life: 0,
            started_at: Duration::ZERO,
            frozen: false,
            dark: false,
            backlog: Vec::new(),
            clock_rate,
            disk: SimDisk::default(),
            left_for_good: false,
            frozen_at: Duration::ZERO,
            slept: Duration::ZERO,
            wall_offset: 0,
            slowness: 1,
        });
        place
    }

    /// Makes all nodes of the scenario and starts them within a moment.
    fn people(&mut self) {
        let scenario = self.scenario.clone();
        for (number, area) in scenario.ledgers.iter().enumerate() {
            let place = self.add(format!("ledger-{}", number + 1), area, Kind::Ledger);
            if number < 3 {
                self.seeds.push(address_of(place));
            }
        }
        let mut agents = Vec::new();
        for (area, _) in &scenario.areas {
            for number in 1..=scenario.proxies_per_area {
                let agent = self.add(format!("mentor-{area}-{number}"), area, Kind::Mentor);
                agents.push(agent);
                let kind = Kind::Proxy {
                    agent,
                    capacity: scenario.proxy_capacity,
                };
                self.add(format!("playout-{area}-{number}"), area, kind);
            }
        }
        for (number, area) in scenario.directories.iter().enumerate() {
            self.add(format!("cuesheet-{}", number + 1), area, Kind::Cuesheet);
        }
        for pool in &scenario.pools {
            for number in 0..pool.instances as usize {
                let area = &scenario.areas[number % scenario.areas.len()].0;
                let kind = Kind::Instance {
                    pool: PoolName::new(&pool.name),
                    capacity: pool.capacity,
                    work_span: Duration::from_millis(pool.work_ms),
                    agents: (0..4)
                        .map(|turn| agents[(number + turn * 3) % agents.len()])
                        .collect(),
                };
                self.add(format!("{}-{}", pool.name, number + 1), area, kind);
            }
        }
        for place in 0..self.nodes.len() {
            self.start(place);
        }
        for kind in 0..self.scenario.traffic.len() {
            if self.scenario.traffic[kind].keys > 0 {
                self.observers.keyed_kinds.insert(kind);
            }
            self.push(self.day.traffic_from, Due::Caller { kind });
        }
        self.push(Duration::from_millis(1500), Due::Operator);
        // Why after the operator's first call: before it there is nothing to read.
        self.push(Duration::from_millis(1500) + READ_PERIOD, Due::Reader);
        for place in 0..self.day.faults.len() {
            self.push(self.day.faults[place].at, Due::Fault { place });
        }
        self.push(OBSERVE_PERIOD, Due::Observe);
    }

    fn push(&mut self, at: Duration, event: Due) {
        self.queued += 1;
        let slot = self.due.insert(event);
        self.queue.push(Reverse((at, self.queued, slot)));
    }

    fn push_at(&mut self, node: usize, after: Duration, happening: Happening) {
        let life = self.nodes[node].life;
        self.push(
            self.now + after,
            Due::At {
                node,
                life,
                happening,
            },
        );
    }

    /// The node's own monotonic time.
    fn local(&self, node: usize) -> Duration {
        let node = &self.nodes[node];
        let mut span = self.now.saturating_sub(node.started_at);
        if self.day.clocks_stop_asleep {
            let napping = match node.frozen {
                true => self.now.saturating_sub(node.frozen_at),
                false => Duration::ZERO,
            };
            span = span.saturating_sub(node.slept + napping);
        }
        let drift = span.as_nanos() as i128 * i128::from(node.clock_rate) / 1_000_000;
        Duration::from_nanos((span.as_nanos() as i128 + drift).max(0) as u64)
    }

    /// From a node's own time to the world's.
    fn after_local(&self, node: usize, at: Duration) -> Duration {
        let ahead = at.saturating_sub(self.local(node));
        let rate = self.nodes[node].clock_rate;
        let nanos = ahead.as_nanos() as i128 * 1_000_000 / i128::from(1_000_000 + rate);
        Duration::from_nanos(nanos as u64) + Duration::from_micros(1)
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let (one, other) = (&self.nodes[from].area, &self.nodes[to].area);
        let base = if one == other {
            self.network.same_area
        } else if self.regions.get(one) == self.regions.get(other) {
            self.network.same_region
        } else {
            self.network.other_region
        };
        base + Duration::from_micros(self.chance.below(base.as_micros() as u64 / 2 + 100))
    }

    /// Sends something from node to node; says whether it is on its way.
    fn send(&mut self, from: usize, to: usize, happening: Happening) -> bool {
        let lost = self.chance.below(1000) < self.network.loss_per_thousand;
        if let Happening::Control { envelope } = &happening {
            let vote = matches!(envelope.message, Message::Vote { .. });
            let council = vote
                || matches!(
                    envelope.message,
                    Message::RoundAsk { .. } | Message::RoundAnswer { .. } | Message::Facts { .. }
                );
            let parted = from != to
                && (self.network.parted.contains(&from) || self.network.parted.contains(&to));
            if (vote && self.network.deaf.contains(&to)) || (council && parted) {
                return false;
            }
        }
        let control = matches!(happening, Happening::Control { .. });
        if self.network.is_cut(from, to) || (lost && control) {
            return false;
        }
        let mut delay = self.delay(from, to);
        let muddle = self.network.muddle(from, to);
        if let Some((most, doubled)) = muddle.map(|way| (way.most, way.doubled_per_thousand)) {
            // Why only our own messages twice: what goes over HTTP cannot be doubled on the way.
            if control && self.chance.below(1000) < doubled {
                let again = delay + self.chance.between(Duration::ZERO, most);
                self.push_at(to, again, happening.clone());
            }
            delay += self.chance.between(Duration::ZERO, most);
        }
        self.push_at(to, delay, happening);
        true
    }

    pub fn start(&mut self, place: usize) {
        if self.nodes[place].body.is_some() || self.nodes[place].left_for_good {
            return;
        }
        let seed = self.chance.draw();
        let seeds = self.seeds.clone();
        let node = &self.nodes[place];
        let (area, address) = (node.area.clone(), node.address);
        let mut outputs = Vec::new();
        let body = match &node.kind {
            Kind::Ledger => {
                let options = LedgerOptions::new(address, area, seeds)
                    .disk_room(8 * 1024 * 1024, 64 * 1024)
                    .broken(self.day.broken_ledger);
                let (machine, first) = LedgerMachine::start(options, &node.disk.synced, seed);
                outputs = first;
                self.observers.ledger_back(machine.node());
                Body::Ledger(Box::new(machine))
            }
            Kind::Mentor => {
                let options = MentorOptions {
                    proxy_serves_on: false,
                    instance_span: INSTANCE_SPAN,
                    beat_refresh: Duration::ZERO,
                    demand_period: Duration::ZERO,
                    control: address,
                    area,
                    seeds,
                };
                let mut machine = MentorMachine::start(options, seed);
                machine.break_island(self.day.broken_island);
                if self.day.careless_mentors {
                    machine.be_careless();
                }
                Body::Mentor(Box::new(machine))
            }
            Kind::Proxy { capacity, .. } => {
                let broken = self.day.broken_proxy;
                Body::Proxy(Box::new(SimProxy::new(
                    area, address, *capacity, seed, broken,
                )))
            }
            Kind::Cuesheet => {
                let options = CuesheetOptions {
                    member_refresh: Duration::ZERO,
                    control: address,
                    serving: address,
                    area,
                    seeds,
                };
                Body::Cuesheet(Box::new(CuesheetMachine::start(options, seed)))
            }
            Kind::Instance {
                pool,
                capacity,
                work_span,
                agents,
            } => Body::Instance(Box::new(SimInstance {
                id: InstanceId::new(&node.name),
                pool: pool.clone(),
                area,
                address,
                capacity: *capacity,
                work_span: *work_span,
                slowness: node.slowness,
                // Why by the wall clock: that is what real instances number their lives by.
                incarnation: Incarnation(
                    (WALL_START + self.now.as_millis() as u64)
                        .saturating_add_signed(node.wall_offset),
                ),
                counter: 0,
                leaving: false,
                holdings: Holdings::default(),
                agents: agents.clone(),
                agent: 0,
                next_beat: Duration::ZERO,
                beat_sent: HashMap::new(),
                stamps: HashMap::new(),
                unheard: 0,
                work: Slab::new(),
                loses_answers: 0,
                sends_garbage: 0,
                refuses: 0,
                careless: self.day.careless_instances,
            })),
        };
        let now = self.now;
        let node = &mut self.nodes[place];
        node.life += 1;
        node.body = Some(body);
        node.frozen = false;
        node.slept = Duration::ZERO;
        node.dark = false;
        node.backlog.clear();
        node.started_at = now;
        if let Kind::Proxy { .. } = node.kind {
            self.observers.proxy_restarted(place);
        }
        let offset = Duration::from_micros(self.chance.below(25_000));
        self.push_at(place, offset, Happening::Tick);
        self.act_ledger(place, outputs);
    }

    /// Ends a process. With the power, what was not synced may be lost and nothing is reset.
    pub fn end(&mut self, place: usize, power: bool) {
        let Some(body) = self.nodes[place].body.take() else {
            return;
        };
        let node = &mut self.nodes[place];
        node.life += 1;
        node.frozen = false;
        node.dark = power;
        node.backlog.clear();
        if power {
            node.disk.power_lost(&mut self.chance);
        } else {
            node.disk.process_ended();
        }
        if power {
            return;
        }
        match body {
            // A process that ends resets its circuits: the other side learns of it.
            Body::Instance(instance) => {
                for (_, work) in &instance.work {
                    if self.nodes[work.proxy].life == work.proxy_life {
                        let (order, shot) = (work.order, work.shot);
                        let ended = Happening::Ended {
                            order,
                            shot,
                            end: ShotEnd::Lost,
                            answer: None,
                        };
                        self.send(place, work.proxy, ended);
                    }
                }
            }
            Body::Proxy(proxy) => {
                for carried in proxy.carried.into_values() {
                    let order = carried.order;
                    self.observers
                        .told(self.now, &order, ToldCaller::Unknown, None);
                }
            }
            _ => {}
        }
    }

    /// Runs until the end of the day, then reads everything back.
    pub fn run(&mut self) {
        let end = self.day.length;
        self.run_until(end);
        self.read_back();
        self.observers.judge_recovery(end);
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.due.remove(slot) {
                Due::At {
                    node,
                    life,
                    happening,
                } => self.happen(node, life, happening),
                Due::Caller { kind } => self.caller(kind),
                Due::HotCaller => self.hot_caller(),
                Due::Operator => self.operator(),
                Due::Reader => self.reader(),
                Due::Fault { place } => {
                    let fault = self.day.faults[place].clone();
                    if fault.on_yes {
                        self.on_yes.push(fault);
                    } else {
                        self.fault(&fault);
                    }
                }
                Due::Observe => self.observe(),
            }
        }
        self.now = end;
    }

    /// What an operator sees who asks the ledgers in turn: status and standing orders.
    pub fn look(&mut self) -> (JsonValue, JsonValue) {
        let mut fallback = (JsonValue::new_object(), JsonValue::new_object());
        for place in self.targets("ledger") {
            let local = self.local(place);
            let frozen = self.nodes[place].frozen;
            let Some(Body::Ledger(machine)) = &mut self.nodes[place].body else {
                continue;
            };
            if frozen {
                continue;
            }
            let mut ask = |call: OperatorCall| {
                machine
                    .input(local, LedgerInput::Operator { ticket: 0, call })
                    .into_iter()
                    .find_map(|output| match output {
                        LedgerOutput::Answer { answer, .. } => Some(answer),
                        _ => None,
                    })
            };
            let Some(OperatorAnswer::Status { status }) = ask(OperatorCall::Status) else {
                continue;
            };
            let status = ledger::orders::status_json(&status);
            if let Some(OperatorAnswer::Standing { book }) = ask(OperatorCall::Read) {
                return (status, ledger::orders::book_json(&book));
            }
            fallback.0 = status;
        }
        fallback
    }

    /// Applies a change set as an operator would, and runs on until it is answered.
    pub fn apply(&mut self, change: Change) -> (u16, JsonValue) {
        let id = change.id.clone();
        self.call_any(change);
        let until = self.now + Duration::from_secs(4);
        while self.now < until {
            if let Some(verdict) = self.verdicts.get(&id) {
                return ledger::orders::verdict_json(verdict);
            }
            let next = self.now + Duration::from_millis(20);
            self.run_until(next);
        }
        (503, JsonValue::new_object())
    }

    fn happen(&mut self, place: usize, life: u64, happening: Happening) {
        let node = &mut self.nodes[place];
        // Why whatever its life: a circuit is opened to an address, and so is a beat's; whoever
        // lives there now takes it.
        let by_address = matches!(
            happening,
            Happening::Open { .. } | Happening::BeatPost { .. }
        );
        if node.body.is_none() || (node.life != life && !by_address) {
            // Why an answer: a live machine resets what comes in for a process that is gone.
            if !node.dark {
                self.reset(place, &happening);
            }
            return;
        }
        if matches!(happening, Happening::Ends) {
            self.end(place, false);
            return;
        }
        let frozen = node.frozen;
        // Why here and not when it is taken up: an order has reached an instance when it is at its
        // machine; a frozen process that finds it later has had it all the while.
        if let Happening::Arrive {
            order,
            proxy,
            rule,
            standing,
            ..
        } = &happening
        {
            self.note_reached(place, *order, *proxy, rule, *standing);
        }
        if let Happening::Open {
            order,
            shot,
            proxy,
            proxy_life,
            ..
        } = happening
        {
            // Why whether frozen or not: it is the machine that takes a circuit, not the process.
            if self.nodes[proxy].life == proxy_life {
                self.send(place, proxy, Happening::Opened { order, shot });
            }
            return;
        }
        let node = &mut self.nodes[place];
        if frozen {
            if matches!(happening, Happening::Tick) {
                self.push_at(place, TICK, Happening::Tick);
            } else {
                node.backlog.push(happening);
            }
            return;
        }
        self.act(place, happening);
    }

    fn reset(&mut self, place: usize, happening: &Happening) {
        let (order, shot, proxy, proxy_life, end) = match happening {
            Happening::Open {
                order,
                shot,
                proxy,
                proxy_life,
                ..
            } => (*order, *shot, *proxy, *proxy_life, ShotEnd::NotOpened),
            Happening::Arrive {
                order,
                shot,
                proxy,
                proxy_life,
                ..
            } => (*order, *shot, *proxy, *proxy_life, ShotEnd::Lost),
            _ => return,
        };
        if self.nodes[proxy].life == proxy_life {
            let ended = Happening::Ended {
                order,
                shot,
                end,
                answer: None,
            };
            self.send(place, proxy, ended);
        }
    }

    /// Takes a happening for one that was sent just now; only for proving the observers.
    fn undate(&self, place: usize, happening: &mut Happening) {
        let at = self.local(place);
        let fresh = |node: NodeId| {
            let stamp = Stamp { node, at };
            let held = Duration::ZERO;
            Some(Echo { stamp, held })
        };
        match (happening, &self.nodes[place].body) {
            (Happening::Control { envelope }, Some(Body::Ledger(machine))) => {
                envelope.echo = fresh(machine.node());
            }
            (Happening::BeatPost { echo, .. }, Some(Body::Mentor(machine))) => {
                *echo = fresh(machine.node());
            }
            _ => {}
        }
    }

    fn act(&mut self, place: usize, mut happening: Happening) {
        if self.day.undated {
            self.undate(place, &mut happening);
        }
        let local = self.local(place);
        let Some(mut body) = self.nodes[place].body.take() else {
            return;
        };
        let life = self.nodes[place].life;
        if matches!(happening, Happening::Tick) {
            self.push_at(place, TICK, Happening::Tick);
        }
        match &mut body {
            Body::Ledger(machine) => {
                let input = match happening {
                    Happening::Tick => Some(LedgerInput::Tick),
                    Happening::Control { envelope } => {
                        if let Message::BeatNote { heard, .. } = &envelope.message {
                            if heard.beat.state == InstanceState::Leaving {
                                self.observers.heard_leaving(self.now, &heard.beat);
                            }
                        }
                        Some(LedgerInput::Heard {
                            envelope: *envelope,
                        })
                    }
                    Happening::Synced { ticket, well: true } => {
                        self.nodes[place].disk.sync(ticket);
                        Some(LedgerInput::Synced { ticket })
                    }
                    Happening::Synced {
                        ticket,
                        well: false,
                    } => Some(LedgerInput::WriteFailed { ticket }),
                    _ => None,
                };
                let outputs = input
                    .map(|input| machine.input(local, input))
                    .unwrap_or_default();
                self.nodes[place].body = Some(body);
                self.act_ledger(place, outputs);
            }
            Body::Mentor(machine) => {
                let input = match happening {
                    Happening::Tick => Some(MentorInput::Tick),
                    Happening::Control { envelope } => Some(MentorInput::Heard {
                        envelope: *envelope,
                    }),
                    Happening::BeatPost {
                        beat,
                        echo,
                        number,
                        instance,
                        instance_life,
                    } => {
                        self.next_ticket += 1;
                        let ticket = self.next_ticket;
                        let owed = BeatTicket {
                            instance,
                            instance_life,
                            number,
                        };
                        self.tickets.insert((place, ticket), owed);
                        Some(MentorInput::Beat {
                            ticket,
                            beat: *beat,
                            echo,
                        })
                    }
                    _ => None,
                };
                let outputs = input
                    .map(|input| machine.input(local, input))
                    .unwrap_or_default();
                self.nodes[place].body = Some(body);
                for output in outputs {
                    match output {
                        MentorOutput::Send { to, message } => {
                            self.send_control(place, to, message);
                        }
                        MentorOutput::AnswerBeat { ticket, answer } => {
                            if let Some(owed) = self.tickets.remove(&(place, ticket)) {
                                if self.nodes[owed.instance].life == owed.instance_life {
                                    let number = owed.number;
                                    self.send(
                                        place,
                                        owed.instance,
                                        Happening::BeatAnswered { number, answer },
                                    );
                                }
                            }
                        }
                        MentorOutput::Stopped => self.end(place, false),
                        MentorOutput::Note { .. } | MentorOutput::AnswerUsage { .. } => {}
                    }
                }
            }
            Body::Cuesheet(machine) => {
                let input = match happening {
                    Happening::Tick => Some(CuesheetInput::Tick),
                    Happening::Control { envelope } => Some(CuesheetInput::Heard {
                        envelope: *envelope,
                    }),
                    _ => None,
                };
                let outputs = input
                    .map(|input| machine.input(local, input))
                    .unwrap_or_default();
                self.nodes[place].body = Some(body);
                for output in outputs {
                    if let CuesheetOutput::Send { to, message } = output {
                        self.send_control(place, to, message);
                    }
                }
            }
            Body::Proxy(proxy) => {
                let wishes = match happening {
                    Happening::Tick => proxy.tick(local),
                    Happening::Control { envelope } => {
                        if let Message::View { view } = &envelope.message {
                            proxy.take_view(view);
                            let edition = proxy.knowledge.books.book(BookName::Standing).edition;
                            self.observers.proxy_holds(self.now, place, edition);
                        }
                        Vec::new()
                    }
                    Happening::CallerOrder {
                        mut order,
                        group,
                        locality,
                    } => {
                        order.received_at = self.now;
                        proxy.receive(local, order, group, locality)
                    }
                    Happening::Opened { order, shot } => proxy.opened(local, order, shot),
                    Happening::Ended {
                        order,
                        shot,
                        end,
                        answer,
                    } => proxy.ended(local, order, shot, end, answer),
                    Happening::OrderWake { order, at } => proxy.woken(local, order, at),
                    _ => Vec::new(),
                };
                self.nodes[place].body = Some(body);
                self.act_proxy(place, life, wishes);
            }
            Body::Instance(instance) => {
                let happenings = self.act_instance(place, life, local, instance, happening);
                self.nodes[place].body = Some(body);
                for (to, happening) in happenings {
                    self.send(place, to, happening);
                }
            }
        }
    }

    fn send_control(&mut self, place: usize, to: SocketAddr, message: Message) {
        let Some(target) = self.by_address.get(&to).copied() else {
            return;
        };
        let local = self.local(place);
        let envelope = match &self.nodes[place].body {
            Some(Body::Ledger(machine)) => machine.seal(to, message),
            Some(Body::Mentor(machine)) => machine.seal(local, to, message),
            Some(Body::Cuesheet(machine)) => machine.seal(local, to, message),
            _ => Envelope {
                from: NodeId(place as u64 + 1),
                reply_to: self.nodes[place].address,
                message,
                stamp: None,
                echo: None,
            },
        };
        let envelope = Box::new(envelope);
        self.send(place, target, Happening::Control { envelope });
    }

    fn act_ledger(&mut self, place: usize, outputs: Vec<LedgerOutput>) {
        let mut struck = false;
        for output in outputs {
            match output {
                LedgerOutput::Stopped => self.end(place, false),
                LedgerOutput::Send { to, message } => self.send_control(place, to, message),
                LedgerOutput::Write { ticket, writes } => {
                    let well = !self.nodes[place].disk.refuses;
                    if well {
                        self.nodes[place].disk.unsynced.push_back((ticket, writes));
                    }
                    let slow = self.chance.below(50) == 0;
                    let usual = self.day.disk_span.as_micros() as u64;
                    let most = if slow { 60_000.max(usual) } else { usual };
                    let after = Duration::from_micros(300 + self.chance.below(most));
                    self.push_at(place, after, Happening::Synced { ticket, well });
                }
                LedgerOutput::Answer { ticket, answer } => {
                    if let OperatorAnswer::Verdict { verdict } = answer {
                        if let Some(change) = self.operator_calls.remove(&ticket) {
                            self.verdict(&change, &verdict);
                            if matches!(verdict, Verdict::Accepted(_)) {
                                self.answering = Some(place);
                                struck = true;
                            }
                        }
                    } else if let Some(asked_at) = self.reads.remove(&ticket) {
                        if let OperatorAnswer::Standing { book } = answer {
                            let name = &self.nodes[place].name;
                            self.observers
                                .read_shown(self.now, asked_at, name, book.edition);
                        }
                    }
                }
                LedgerOutput::Note { event } => {
                    let name = self.nodes[place].name.clone();
                    if let (
                        Event::BookMoved {
                            book: BookName::Placement,
                            edition,
                        },
                        Some(Body::Ledger(machine)),
                    ) = (&event, &self.nodes[place].body)
                    {
                        if let Some(mapping) = machine.board.book(BookName::Placement).mapping() {
                            self.observers.mapped(*edition, mapping);
                        }
                    }
                    if let (
                        Event::BookMoved {
                            book: BookName::Cohort,
                            ..
                        },
                        Some(Body::Ledger(machine)),
                    ) = (&event, &self.nodes[place].body)
                    {
                        if let Some(term) = machine.board.book(BookName::Cohort).duty(TENURE) {
                            self.observers.keeper_known(self.now, term.holder);
                        }
                    }
                    self.observers.noted(self.now, name, event);
                }
            }
        }
        if struck {
            for harm in std::mem::take(&mut self.on_yes) {
                self.fault(&harm);
            }
        }
    }

    fn verdict(&mut self, change: &Change, verdict: &Verdict) {
        self.verdicts.insert(change.id.clone(), verdict.clone());
        if self.answered_calls.len() < 100 && change.puts.len() < 10 {
            self.answered_calls.push(change.clone());
        }
        self.observers.verdict(self.now, change, verdict);
        match verdict {
            Verdict::Accepted(edition) | Verdict::Repeat(edition) => {
                for put in &change.puts {
                    self.known_editions.insert(put.key.clone(), *edition);
                }
            }
            Verdict::Conflicts(conflicts) => {
                for conflict in conflicts {
                    self.known_editions
                        .insert(conflict.key.clone(), conflict.present);
                }
            }
            _ => {}
        }
    }

    fn act_proxy(&mut self, place: usize, life: u64, wishes: Vec<ProxyWish>) {
        for wish in wishes {
            match wish {
                ProxyWish::Pull { message } => {
                    if let Kind::Proxy { agent, .. } = self.nodes[place].kind {
                        let to = self.nodes[agent].address;
                        self.send_control(place, to, message);
                    }
                }
                ProxyWish::End => self.end(place, false),
                ProxyWish::WakeAt { order, at } => {
                    let after = self.after_local(place, at);
                    self.push_at(place, after, Happening::OrderWake { order, at });
                }
                ProxyWish::Answer {
                    order,
                    told,
                    answered,
                    mishap,
                    unsent,
                } => {
                    if unsent && told == ToldCaller::NotRun {
                        self.observers.refused(self.now, &order);
                    }
                    if let Some(mishap) = mishap {
                        *self
                            .observers
                            .tally
                            .mishaps
                            .entry(mishap.word())
                            .or_default() += 1;
                    }
                    self.observers.told(self.now, &order, told, answered);
                }
                ProxyWish::Open {
                    order,
                    shot,
                    target,
                } => {
                    if let Some(to) = self.by_address.get(&target.address).copied() {
                        let open = Happening::Open {
                            order,
                            shot,
                            proxy: place,
                            proxy_life: life,
                            incarnation: target.incarnation,
                        };
                        self.send(place, to, open);
                    }
                }
                ProxyWish::Shoot {
                    order,
                    shot,
                    target,
                    further,
                } => {
                    let local = self.local(place);
                    let Some(Body::Proxy(proxy)) = &self.nodes[place].body else {
                        continue;
                    };
                    let Some(carried) = proxy.carried.get(&order) else {
                        continue;
                    };
                    let (rule, standing) = (carried.rule.clone(), carried.standing);
                    let need = carried.chart.deadline().saturating_sub(local);
                    self.observers.shot(self.now, &rule.pool, further);
                    if let Some(to) = self.by_address.get(&target.address).copied() {
                        let arrive = Happening::Arrive {
                            order,
                            shot,
                            proxy: place,
                            proxy_life: life,
                            target: Box::new(target),
                            rule: Box::new(rule),
                            standing,
                            need,
                        };
                        self.send(place, to, arrive);
                    }
                }
            }
        }
    }

    fn act_instance(
        &mut self,
        place: usize,
        life: u64,
        local: Duration,
        instance: &mut SimInstance,
        happening: Happening,
    ) -> Vec<(usize, Happening)> {
        let mut sends = Vec::new();
        match happening {
            Happening::Tick if local >= instance.next_beat => {
                instance.next_beat = local + BEAT_PERIOD;
                let oldest = local.saturating_sub(BEAT_PATIENCE);
                let before = instance.beat_sent.len();
                instance.beat_sent.retain(|_, (sent, _)| *sent >= oldest);
                if instance.beat_sent.len() < before {
                    // Why turn: a beat that nobody answered is taken to another agent.
                    instance.agent = (instance.agent + 1) % instance.agents.len();
                }
                let beat = Box::new(instance.beat(local));
                let number = beat.counter;
                let to = instance.agents[instance.agent];
                instance.beat_sent.insert(number, (local, to));
                let echo = instance.stamps.get(&to).map(|(stamp, since)| Echo {
                    stamp: *stamp,
                    held: local.saturating_sub(*since),
                });
                sends.push((
                    to,
                    Happening::BeatPost {
                        beat,
                        echo,
                        number,
                        instance: place,
                        instance_life: life,
                    },
                ));
            }
            Happening::BeatAnswered { number, answer } => {
                if let Some((sent, agent)) = instance.beat_sent.remove(&number) {
                    match answer {
                        Some(dated) => {
                            instance.holdings.answered(sent, &dated.answer);
                            instance.stamps.insert(agent, (dated.stamp, local));
                            if dated.again {
                                instance.next_beat = local;
                            }
                        }
                        None => instance.agent = (instance.agent + 1) % instance.agents.len(),
                    }
                }
            }
            Happening::Arrive {
                order,
                shot,
                proxy,
                proxy_life,
                target,
                rule,
                need,
                ..
            } => {
                let ours =
                    target.instance == instance.id && target.incarnation == instance.incarnation;
                let held = target.slice.is_none_or(|(slice, epoch)| {
                    instance.holdings.may_start(local, slice, epoch, need)
                });
                let refuses = instance.refuses > 0;
                instance.refuses = instance.refuses.saturating_sub(1);
                let fits = instance.careless || (ours && held);
                if refuses || !fits {
                    if self.nodes[proxy].life == proxy_life {
                        let answer = Some(match ours {
                            true => InstanceAnswer::NotRun,
                            false => InstanceAnswer::Misdirected,
                        });
                        let end = ShotEnd::RefusedByInstance;
                        sends.push((
                            proxy,
                            Happening::Ended {
                                order,
                                shot,
                                end,
                                answer,
                            },
                        ));
                    }
                    return sends;
                }
                if let Some((slice, _)) = target.slice {
                    instance.holdings.started(slice);
                }
                let work = instance.work.insert(Work {
                    order,
                    shot,
                    proxy,
                    proxy_life,
                    slice: target.slice,
                    pool: rule.pool.clone(),
                    from: self.now,
                });
                // Why far more beyond its capacity: an instance that is asked for too much at once
                // buckles, and everything that it has in hand suffers.
                let under_way = instance.work.len() as u32;
                let over = under_way / instance.capacity.max(1);
                let busy = (1 + under_way / 8 + 40 * over) * instance.slowness;
                let span =
                    instance.work_span * busy + Duration::from_micros(self.chance.below(2000));
                self.push_at(place, span, Happening::WorkDone { work });
            }
            Happening::WorkDone { work } => {
                let Some(done) = instance.work.try_remove(work) else {
                    return sends;
                };
                let still = done.slice.is_none_or(|(slice, epoch)| {
                    instance
                        .holdings
                        .may_start(local, slice, epoch, Duration::ZERO)
                });
                if let Some((slice, _)) = done.slice {
                    instance.holdings.ended(slice);
                }
                let mut answer = Some(InstanceAnswer::NotRun);
                if still || instance.careless {
                    self.observers.ran(self.now, done.order, &instance.id);
                    if done.pool != instance.pool {
                        self.observers
                            .ran_for_another(self.now, done.order, &instance.id);
                    }
                    if let Some((slice, _)) = done.slice {
                        self.observers.worked_on(
                            &done.pool,
                            slice,
                            done.from,
                            self.now,
                            &instance.id,
                        );
                    }
                    answer = Some(InstanceAnswer::Ran {
                        order: done.order,
                        load: instance.work.len() as u32,
                    });
                    if instance.loses_answers > 0 {
                        instance.loses_answers -= 1;
                        answer = None;
                    } else if instance.sends_garbage > 0 {
                        instance.sends_garbage -= 1;
                        answer = Some(InstanceAnswer::Garbage);
                    }
                }
                let end = if answer.is_some() {
                    ShotEnd::Answered
                } else {
                    ShotEnd::Lost
                };
                if self.nodes[done.proxy].life == done.proxy_life {
                    let (order, shot) = (done.order, done.shot);
                    sends.push((
                        done.proxy,
                        Happening::Ended {
                            order,
                            shot,
                            end,
                            answer,
                        },
                    ));
                }
            }
            _ => {}
        }
        sends
    }

    fn note_reached(
        &mut self,
        place: usize,
        order: u64,
        proxy: usize,
        rule: &Rule,
        standing: Edition,
    ) {
        let local = self.local(place);
        let Some(Body::Instance(instance)) = &self.nodes[place].body else {
            return;
        };
        let beat = &instance.says(local);
        let Some(plan) = self
            .scenario
            .pools
            .iter()
            .find(|pool| pool.name == beat.pool.as_str())
        else {
            return;
        };
        let pool = Pool {
            keyed: plan.pool["keyed"].as_bool().unwrap_or(false),
            slices: 64,
            instance_cap: 64,
            key_cap: 8,
            cold_rate_milli: plan.pool["gentle_per_second"].as_u32().unwrap_or(6) * 1000,
            warm_span: Duration::from_millis(plan.pool["warm_ms"].as_u64().unwrap_or(5000)),
            ..Pool::default()
        };
        let nowhere = Region::new("");
        let proxy_area = self.nodes[proxy].area.clone();
        // Why the true rule: a broken proxy may have another idea of it.
        let true_rule = self
            .scenario
            .rules
            .members()
            .find(|known| known["rule"]["path"].as_str() == Some(&rule.path))
            .map_or_else(
                || rule.clone(),
                |known| Rule {
                    homes: known["rule"]["home"]
                        .as_str()
                        .map(Region::new)
                        .into_iter()
                        .collect(),
                    ..rule.clone()
                },
            );
        let reached = Reached {
            order,
            instance: beat,
            cold: beat.is_cold(pool.warm_span),
            pool: &pool,
            rule: &true_rule,
            region: self.regions.get(&beat.area).unwrap_or(&nowhere),
            proxy_area: &proxy_area,
            proxy_region: self.regions.get(&proxy_area).unwrap_or(&nowhere),
            standing,
        };
        self.observers.reached(self.now, &reached);
    }

    fn observe(&mut self) {
        self.push(self.now + OBSERVE_PERIOD, Due::Observe);
        let mut live: Vec<(&PoolName, &InstanceId, Vec<u32>, Duration)> = Vec::new();
        for place in 0..self.nodes.len() {
            if let Some(Body::Instance(instance)) = &self.nodes[place].body {
                let local = self.local(place);
                let (slices, longest) = instance.holdings.live(local);
                if !slices.is_empty() {
                    live.push((&instance.pool, &instance.id, slices, longest));
                }
            }
        }
        let now = self.now;
        self.observers.holdings(now, &live);
        for node in &self.nodes {
            if let Some(Body::Ledger(machine)) = &node.body {
                let book = machine.board.book(BookName::Standing);
                self.observers.held_book(now, &node.name, book);
            }
        }
    }

    /// An operator reads all standing orders at some ledger.
    fn reader(&mut self) {
        self.push(self.now + READ_PERIOD, Due::Reader);
        let ledgers = self.live_ledgers();
        if ledgers.is_empty() {
            return;
        }
        let place = ledgers[self.chance.below(ledgers.len() as u64) as usize];
        self.next_call += 1;
        let ticket = self.next_call;
        self.reads.insert(ticket, self.now);
        self.call(place, ticket, OperatorCall::Read);
    }

    fn live_ledgers(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|place| matches!(self.nodes[*place].body, Some(Body::Ledger(_))))
            .filter(|place| !self.nodes[*place].frozen)
            .collect()
    }

    fn call(&mut self, place: usize, ticket: u64, call: OperatorCall) {
        let local = self.local(place);
        let outputs = match &mut self.nodes[place].body {
            Some(Body::Ledger(machine)) => {
                machine.input(local, LedgerInput::Operator { ticket, call })
            }
            _ => Vec::new(),
        };
        self.act_ledger(place, outputs);
    }

    fn read_back(&mut self) {
        let mut books = Vec::new();
        let mut highest = Edition(0);
        for node in &self.nodes {
            if let Some(Body::Ledger(machine)) = &node.body {
                let book = machine.board.book(BookName::Standing).clone();
                highest = highest.max(book.edition);
                books.push((node.name.clone(), book));
            }
        }
        for (name, book) in books {
            // Why only the newest: a ledger that was cut off to the end may be behind, and it
            // does not answer reads for as long as it is.
            if book.edition == highest {
                self.observers.read_back(self.now, &name, &book);
            }
        }
    }

    fn caller(&mut self, kind: usize) {
        let percent = self.day.percent * self.surge_percent / 100;
        let rate = (self.scenario.traffic[kind].per_second * percent).max(1);
        let mean = 100_000_000 / rate;
        let next = Duration::from_micros(mean / 2 + self.chance.below(mean + 1));
        if self.now + next < self.day.traffic_until {
            self.push(self.now + next, Due::Caller { kind });
        }
        let keys = self.scenario.traffic[kind].keys;
        let key = (keys > 0).then(|| format!("key-{}", self.chance.below(keys)));
        self.send_order(kind, key, Some(kind));
    }

    fn hot_caller(&mut self) {
        let Some((kind, per_second)) = self.hot else {
            return;
        };
        let mean = 1_000_000 / u64::from(per_second.max(1));
        let next = Duration::from_micros(mean / 2 + self.chance.below(mean + 1));
        self.push(self.now + next, Due::HotCaller);
        self.send_order(kind, Some("key-hot".to_string()), None);
    }

    /// A caller asks a directory and sends one order; `counted` is none for a hot key's.
    fn send_order(&mut self, kind: usize, key: Option<String>, counted: Option<usize>) {
        let traffic = self.scenario.traffic[kind].clone();
        self.next_order += 1;
        let number = self.next_order;
        let group = self.chance.below(12) as u8;
        let client = IpAddr::from([127, 10, group, 1]);
        // Why by group: each group of callers sits near one area.
        let home =
            Area::new(&self.scenario.areas[usize::from(group) % self.scenario.areas.len()].0);
        let write = traffic.method != "GET";
        self.observers.sent(self.now, number, write, counted);
        // Why some without a directory: callers hold on to addresses, and what must never happen
        // must not hang on their asking anew.
        let sticky = self.chance.below(100) < STICKY_PERCENT;
        let directories: Vec<usize> = (0..self.nodes.len())
            .filter(|place| matches!(self.nodes[*place].body, Some(Body::Cuesheet(_))))
            .filter(|place| !self.nodes[*place].frozen)
            .collect();
        let mut addresses = Vec::new();
        if sticky {
            let proxies = self.targets("playout");
            let pick = proxies[self.chance.below(proxies.len() as u64) as usize];
            addresses.push(self.nodes[pick].address);
        } else if !directories.is_empty() {
            let start = self.chance.below(directories.len() as u64) as usize;
            for turn in 0..directories.len() {
                // Why the next one: that is what callers do when a directory names nothing.
                let place = directories[(start + turn) % directories.len()];
                if let Some(Body::Cuesheet(machine)) = &mut self.nodes[place].body {
                    if let Ok(found) = machine.find(&traffic.host, &traffic.path, client) {
                        addresses = found.addresses;
                        break;
                    }
                }
            }
        }
        let order = Order {
            number,
            host: traffic.host,
            path: traffic.path,
            write,
            key,
            sent_at: self.now,
            received_at: self.now,
            kind: counted,
        };
        for address in addresses {
            let Some(place) = self.by_address.get(&address).copied() else {
                continue;
            };
            if self.nodes[place].body.is_some() {
                let near = self.regions.get(&home) == self.regions.get(&self.nodes[place].area);
                let distance = if home == self.nodes[place].area {
                    Duration::from_millis(4)
                } else if near {
                    Duration::from_millis(6)
                } else {
                    self.scenario.region_distance + Duration::from_millis(4)
                };
                let group = group_of(client);
                let happening = Happening::CallerOrder {
                    order,
                    group,
                    locality: distance,
                };
                self.push_at(place, distance / 2, happening);
                return;
            }
        }
    }

    fn operator(&mut self) {
        let every = self.day.operator_every;
        let first = self.next_call == 0;
        let pause = self.chance.between(every / 2, every * 3 / 2);
        if self.now + pause < self.day.length.saturating_sub(Duration::from_secs(4)) {
            self.push(self.now + pause, Due::Operator);
        }
        if first {
            let text = self.scenario.standing().dump();
            if let Ok(change) = ledger::orders::read_change(&text) {
                self.call_any(change);
            }
            return;
        }
        let rules: Vec<JsonValue> = self.scenario.rules.members().cloned().collect();
        let rule = &rules[self.chance.below(rules.len() as u64) as usize];
        let number = self.next_call;
        let key = format!("rule/{}", rule["name"].as_str().unwrap_or_default());
        let expected = self.known_editions.get(&key).copied();
        let mut put = rule.clone();
        put["kind"] = "rule".into();
        put["rule"]["deadline_ms"] = (1500 + self.chance.below(400)).into();
        if let Some(expected) = expected {
            put["edition"] = expected.0.into();
        }
        let make = |id: String, put: &JsonValue| {
            ledger::orders::read_change(&jzon::object! { id: id, put: [put.clone()] }.dump())
        };
        match self.chance.below(9) {
            // Two operators at once on the same item, by two ledgers: one of them must lose.
            0 | 1 => {
                for side in ["left", "right"] {
                    if let Ok(change) = make(format!("race-{number}-{side}"), &put) {
                        self.call_any(change);
                    }
                }
            }
            // A pool that is not there: nothing of it may take effect.
            2 => {
                put["rule"]["pool"] = "nowhere".into();
                if let Ok(mut change) = make(format!("dangling-{number}"), &put) {
                    change.puts.push(Put {
                        key: format!("area/part-{number}"),
                        expected: None,
                        value: Some(Value::Area {
                            area: AreaOrder {
                                region: Region::new("east"),
                                closed: false,
                            },
                        }),
                        written: None,
                    });
                    self.call_any(change);
                }
            }
            // The same change sent twice, as after a lost answer.
            3 => {
                if let Ok(change) = make(format!("again-{number}"), &put) {
                    self.call_any(change.clone());
                    self.call_any(change);
                }
            }
            // Out of order: the second step arrives before the first, by whatever ledger.
            5 => {
                let next = expected.map_or(1, |edition| edition.0 + 1);
                let mut second = put.clone();
                second["edition"] = next.into();
                for (step, put) in [("second", &second), ("first", &put)] {
                    if let Ok(change) = make(format!("step-{number}-{step}"), put) {
                        self.call_any(change);
                    }
                }
            }
            // An old change set comes again, long after; it must not take effect twice.
            6 if !self.answered_calls.is_empty() => {
                let place = self.chance.below(self.answered_calls.len() as u64) as usize;
                let change = self.answered_calls[place].clone();
                self.call_any(change);
            }
            // The id of an old change set on something else.
            7 if !self.answered_calls.is_empty() => {
                let place = self.chance.below(self.answered_calls.len() as u64) as usize;
                let id = self.answered_calls[place].id.to_string();
                if let Ok(change) = make(id, &put) {
                    self.call_any(change);
                }
            }
            // Many rules at once.
            4 if self.day.swell > 0 => {
                let pool = PoolName::new(&self.scenario.pools[0].name);
                let puts = (0..self.day.swell)
                    .map(|place| Put {
                        key: format!("rule/swell-{number}-{place}"),
                        expected: None,
                        value: Some(Value::Rule {
                            rule: Rule {
                                host: format!("swell-{number}-{place}.example"),
                                path: "/".to_string(),
                                pool: pool.clone(),
                                homes: Vec::new(),
                                deadline: Duration::from_secs(1),
                                body_limit: 1000,
                                key_header: None,
                                ..Rule::default()
                            },
                        }),
                        written: None,
                    })
                    .collect();
                let id = ChangeId::new(format!("swell-{number}"));
                self.call_any(Change {
                    id,
                    puts,
                    guards: Vec::new(),
                });
            }
            _ => {
                if let Ok(change) = make(format!("tweak-{number}"), &put) {
                    self.call_any(change);
                }
            }
        }
    }

    /// Hands a change to some live ledger.
    pub fn call_any(&mut self, change: Change) {
        let ledgers = self.live_ledgers();
        self.next_call += 1;
        if ledgers.is_empty() {
            return;
        }
        let place = ledgers[self.chance.below(ledgers.len() as u64) as usize];
        let ticket = self.next_call;
        self.observers.proposed(&change);
        self.operator_calls.insert(ticket, change.clone());
        self.call(place, ticket, OperatorCall::Apply { change });
    }

    /// The places that a fault's target names: a node, a program, an area, or `any-PROGRAM`.
    pub fn targets(&mut self, name: &str) -> Vec<usize> {
        if let Some(program) = name.strip_prefix("any-") {
            let all: Vec<usize> = self.targets(program);
            let live: Vec<usize> = all
                .into_iter()
                .filter(|place| self.nodes[*place].body.is_some())
                .collect();
            return match live.len() {
                0 => Vec::new(),
                count => vec![live[self.chance.below(count as u64) as usize]],
            };
        }
        (0..self.nodes.len())
            .filter(|place| {
                let node = &self.nodes[*place];
                let program = node.name.split('-').next().unwrap_or_default();
                let region = self.regions.get(&node.area);
                node.name == name
                    || program == name
                    || node.area.as_str() == name
                    || region.is_some_and(|region| region.as_str() == name)
                    || (name == "instance" && matches!(node.kind, Kind::Instance { .. }))
                    || (name == "holder" && self.is_holder(*place))
                    || (name == "answering" && self.answering == Some(*place))
                    || (name == "knowing" && self.knows_last_yes(*place) == Some(true))
                    || (name == "unknowing" && self.knows_last_yes(*place) == Some(false))
            })
            .collect()
    }

    /// Whether an agent holds what was accepted last; nothing of what is no agent.
    fn knows_last_yes(&self, place: usize) -> Option<bool> {
        let edition = match (&self.nodes[place].body, &self.nodes[place].kind) {
            (Some(Body::Mentor(machine)), _) => machine.link().editions()[0],
            (None, Kind::Mentor) => Edition(0),
            _ => return None,
        };
        Some(edition >= self.observers.last_accepted())
    }

    fn is_holder(&self, place: usize) -> bool {
        match &self.nodes[place].body {
            Some(Body::Ledger(machine)) => {
                let cohort = machine.board.book(BookName::Cohort);
                cohort
                    .duty(TENURE)
                    .is_some_and(|term| term.holder == machine.node())
            }
            _ => false,
        }
    }

    pub fn fault(&mut self, fault: &Harm) {
        if fault.big {
            let next = self.day.next_harm(self.now);
            self.observers.big_fault(self.now, fault.keyed_waits, next);
        }
        let places = self.targets(&fault.target);
        let ends = matches!(
            fault.act,
            Act::Kill
                | Act::Replace
                | Act::PowerOff
                | Act::Freeze
                | Act::Move
                | Act::CutOff { one_way: false }
        );
        if ends && places.iter().any(|place| self.is_holder(*place)) {
            self.observers.keeper_lost(self.now);
        }
        match &fault.act {
            Act::Kill => places.iter().for_each(|place| self.end(*place, false)),
            Act::Stop => places.iter().for_each(|place| self.stop(*place)),
            Act::PowerOff => places.iter().for_each(|place| self.end(*place, true)),
            Act::Start => places.iter().for_each(|place| self.start(*place)),
            Act::Replace => {
                for place in places {
                    self.end(place, true);
                    self.nodes[place].disk = SimDisk::default();
                }
            }
            Act::Move => {
                for place in places {
                    self.move_away(place);
                }
            }
            Act::AddAnother => {
                for place in places {
                    self.add_another(place);
                }
            }
            Act::Freeze => {
                for place in places {
                    let node = &mut self.nodes[place];
                    if !node.frozen && node.body.is_some() {
                        node.frozen = true;
                        node.frozen_at = self.now;
                    }
                }
            }
            Act::Wake => {
                for place in places {
                    let node = &mut self.nodes[place];
                    if node.frozen {
                        node.slept += self.now.saturating_sub(node.frozen_at);
                    }
                    node.frozen = false;
                    for happening in std::mem::take(&mut self.nodes[place].backlog) {
                        self.act(place, happening);
                    }
                }
            }
            Act::Leave => {
                for place in places {
                    if let Some(Body::Instance(instance)) = &mut self.nodes[place].body {
                        instance.leaving = true;
                        instance.next_beat = Duration::ZERO;
                    }
                }
            }
            Act::TakeOver { pool } => {
                for place in places {
                    self.end(place, false);
                    let node = &mut self.nodes[place];
                    node.name = format!("{}-again", node.name);
                    if let Kind::Instance { pool: served, .. } = &mut node.kind {
                        *served = PoolName::new(pool);
                    }
                    self.start(place);
                }
            }
            Act::LoseAnswers(count) => {
                for place in places {
                    if let Some(Body::Instance(instance)) = &mut self.nodes[place].body {
                        instance.loses_answers = *count;
                    }
                }
            }
            Act::SendGarbage(count) => {
                for place in places {
                    if let Some(Body::Instance(instance)) = &mut self.nodes[place].body {
                        instance.sends_garbage = *count;
                    }
                }
            }
            Act::RefuseOrders(count) => {
                for place in places {
                    if let Some(Body::Instance(instance)) = &mut self.nodes[place].body {
                        instance.refuses = *count;
                    }
                }
            }
            Act::RefuseDisk => places
                .iter()
                .for_each(|place| self.nodes[*place].disk.refuses = true),
            Act::MendDisk => places
                .iter()
                .for_each(|place| self.nodes[*place].disk.refuses = false),
            Act::CutOff { one_way } => {
                let (inside, outside) = self.sides(places);
                self.network.cuts.push(Cut {
                    from: inside.clone(),
                    to: outside.clone(),
                });
                if !one_way {
                    self.network.cuts.push(Cut {
                        from: outside,
                        to: inside,
                    });
                }
            }
            Act::CutInward => {
                let (inside, outside) = self.sides(places);
                self.network.cuts.push(Cut {
                    from: outside,
                    to: inside,
                });
            }
            Act::CutBetween { other } => {
                let one: BTreeSet<usize> = places.into_iter().collect();
                let other: BTreeSet<usize> = self.targets(other).into_iter().collect();
                for (from, to) in [(&one, &other), (&other, &one)] {
                    let (from, to) = (from.clone(), to.clone());
                    self.network.cuts.push(Cut { from, to });
                }
            }
            Act::Vanish => {
                for place in places {
                    self.end(place, true);
                    self.nodes[place].left_for_good = true;
                }
            }
            Act::JumpClock(by) => {
                for place in places {
                    self.nodes[place].wall_offset += by;
                }
            }
            Act::Slow(times) => {
                self.observers.strain_began(self.now);
                for place in places {
                    self.set_slowness(place, *times);
                }
            }
            Act::HotKey(per_second) => {
                self.observers.strain_began(self.now);
                let kind = self.scenario.traffic.iter().position(|traffic| {
                    let rule =
                        self.scenario.rules.members().find(|rule| {
                            rule["rule"]["path"].as_str() == Some(traffic.path.as_str())
                        });
                    rule.is_some_and(|rule| rule["rule"]["pool"] == fault.target.as_str())
                });
                let idle = self.hot.is_none();
                self.hot = kind.map(|kind| (kind, *per_second));
                if idle {
                    self.push(self.now, Due::HotCaller);
                }
            }
            Act::Surge(percent) => {
                self.observers.strain_began(self.now);
                self.surge_percent = u64::from(*percent);
            }
            Act::Cool => {
                self.observers
                    .strain_ended(self.now, self.day.kept_at_least);
                self.hot = None;
                self.surge_percent = 100;
                for place in 0..self.nodes.len() {
                    self.set_slowness(place, 1);
                }
            }
            Act::Muddle {
                most,
                doubled_per_thousand,
            } => self.network.muddles.push(Muddle {
                places: places.into_iter().collect(),
                most: *most,
                doubled_per_thousand: *doubled_per_thousand,
            }),
            Act::Part => self.network.parted.extend(places),
            Act::Deafen => self.network.deaf.extend(places),
            Act::Join => {
                self.network.cuts.clear();
                self.network.deaf.clear();
                self.network.parted.clear();
                self.network.muddles.clear();
            }
            Act::CloseArea => self.turn_area(&fault.target, true),
            Act::OpenArea => {
                self.observers.opening(&Area::new(&fault.target));
                self.turn_area(&fault.target, false);
            }
        }
    }

    /// Asks a process to stop, as the platform does.
    fn stop(&mut self, place: usize) {
        let local = self.local(place);
        let after = match &mut self.nodes[place].body {
            Some(Body::Ledger(machine)) => {
                let outputs = machine.input(local, LedgerInput::Stop);
                self.act_ledger(place, outputs);
                return;
            }
            Some(Body::Mentor(machine)) => {
                machine.input(local, MentorInput::Stop);
                return;
            }
            Some(Body::Proxy(proxy)) => {
                proxy.stopping_since.get_or_insert(local);
                return;
            }
            Some(Body::Cuesheet(machine)) => {
                machine.stop_politely();
                Duration::from_millis(500)
            }
            Some(Body::Instance(instance)) => {
                instance.leaving = true;
                instance.next_beat = Duration::ZERO;
                Duration::from_millis(5000)
            }
            None => return,
        };
        self.push_at(place, after, Happening::Ends);
    }

    /// These places, and all the others.
    fn sides(&self, places: Vec<usize>) -> (BTreeSet<usize>, BTreeSet<usize>) {
        let inside: BTreeSet<usize> = places.into_iter().collect();
        let outside = (0..self.nodes.len())
            .filter(|place| !inside.contains(place))
            .collect();
        (inside, outside)
    }

    fn set_slowness(&mut self, place: usize, times: u32) {
        self.nodes[place].slowness = times;
        if let Some(Body::Instance(instance)) = &mut self.nodes[place].body {
            instance.slowness = times;
        }
    }

    /// Replaces a machine for good by an empty one at a new address, in the same area.
    fn move_away(&mut self, place: usize) {
        self.end(place, true);
        self.nodes[place].left_for_good = true;
        self.add_another(place);
    }

    /// Adds an empty node of the same kind, in the same area, at a new address.
    fn add_another(&mut self, place: usize) {
        let node = &self.nodes[place];
        let (name, area, kind) = (node.name.clone(), node.area.clone(), node.kind.clone());
        let next = self.add(format!("{name}-new"), area.as_str(), kind);
        self.start(next);
    }

    fn turn_area(&mut self, name: &str, closed: bool) {
        let Some(region) = self.regions.get(&Area::new(name)).cloned() else {
            return;
        };
        let number = self.next_call;
        let change = Change {
            id: ChangeId::new(format!("turn-{name}-{closed}-{number}")),
            puts: vec![Put {
                key: format!("area/{name}"),
                expected: None,
                value: Some(Value::Area {
                    area: AreaOrder { region, closed },
                }),
                written: None,
            }],
            guards: Vec::new(),
        };
        self.call_any(change);
    }
}
