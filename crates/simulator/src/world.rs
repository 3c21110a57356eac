//! The world: virtual time, the nodes, and everything that travels between them.

use crate::prelude::*;

const TICK: Duration = Duration::from_millis(25);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
const HEARTBEAT_PATIENCE: Duration = Duration::from_millis(1000);
/// How many callers in a hundred go to some proxy that they remember.
const STICKY_PERCENT: u64 = 3;
const READ_PERIOD: Duration = Duration::from_millis(700);
/// What instances' wall clocks showed when the world began, in milliseconds.
const WALL_START: u64 = 1_800_000_000_000;
const OBSERVE_PERIOD: Duration = Duration::from_millis(100);

pub enum Body {
    Controller(Box<ControllerMachine>),
    Agent(Box<AgentMachine>),
    Proxy(Box<SimProxy>),
    Directory(Box<DirectoryMachine>),
    Instance(Box<SimInstance>),
}

/// What a node is made of when it starts.
#[derive(Debug, Clone)]
pub enum Kind {
    Controller,
    Agent,
    Proxy {
        agent: usize,
        capacity: u32,
    },
    Directory,
    Instance {
        service: ServiceName,
        capacity: u32,
        work_span: Duration,
        agents: Vec<usize>,
    },
}

pub struct Node {
    pub name: String,
    pub zone: Zone,
    pub address: SocketAddr,
    pub kind: Kind,
    pub body: Option<Body>,
    /// Grows with every start and end, so that what was meant for another life is not heard.
    pub life: u64,
    pub started_at: Duration,
    pub frozen: bool,
    /// The machine is without power: it resets no connections.
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
    PlannedRequest {
        request: ClientRequest,
        group: String,
        locality: Duration,
    },
    Open {
        request: u64,
        attempt: u32,
        proxy: usize,
        proxy_life: u64,
        incarnation: Incarnation,
    },
    Opened {
        request: u64,
        attempt: u32,
    },
    Arrive {
        request: u64,
        attempt: u32,
        proxy: usize,
        proxy_life: u64,
        target: Box<Target>,
        route: Box<Route>,
        configuration: Version,
        need: Duration,
    },
    Ended {
        request: u64,
        attempt: u32,
        end: AttemptEnd,
        answer: Option<InstanceAnswer>,
    },
    WorkDone {
        work: usize,
    },
    RequestWake {
        request: u64,
        at: Duration,
    },
    /// A polite stop is over.
    Ends,
    HeartbeatTarget {
        heartbeat: Box<Heartbeat>,
        echo: Option<Echo>,
        number: u64,
        instance: usize,
        instance_life: u64,
    },
    HeartbeatAnswered {
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

/// A heartbeat that an agent has and whose answer it owes.
struct HeartbeatTicket {
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
    pub regions: BTreeMap<Zone, Region>,
    pub by_address: HashMap<SocketAddr, usize>,
    /// What is due, by time and turn; the slab holds what it is.
    ///
    /// Why apart: the heap moves its entries about all the time, and these are small.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    due: Slab<Due>,
    queued: u64,
    next_request: u64,
    tickets: HashMap<(usize, u64), HeartbeatTicket>,
    next_ticket: u64,
    operator_calls: HashMap<u64, Change>,
    proposal_outcomes: HashMap<ChangeId, ProposalOutcome>,
    next_call: u64,
    known_versions: HashMap<String, Version>,
    /// Change sets that were answered, so that operators can send old ones again.
    answered_calls: Vec<Change>,
    /// Reads under way, and when they were asked for.
    reads: HashMap<u64, Duration>,
    /// Faults that wait for the next yes.
    on_yes: Vec<FaultStep>,
    /// The controller that said the last yes.
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
                same_zone: Duration::from_micros(200),
                same_region: Duration::from_millis(1),
                other_region: scenario.region_distance / 2,
                loss_per_thousand: day.loss_per_thousand,
                cuts: Vec::new(),
                deaf: BTreeSet::new(),
                parted: BTreeSet::new(),
                http_faults: Vec::new(),
            },
            observers: Observers::default(),
            regions: scenario
                .zones
                .iter()
                .map(|(zone, region)| (Zone::new(zone), Region::new(region)))
                .collect(),
            day,
            scenario,
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            due: Slab::new(),
            queued: 0,
            next_request: 0,
            tickets: HashMap::new(),
            next_ticket: 0,
            operator_calls: HashMap::new(),
            proposal_outcomes: HashMap::new(),
            next_call: 0,
            known_versions: HashMap::new(),
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

    fn add(&mut self, name: String, zone: &str, kind: Kind) -> usize {
        let place = self.nodes.len();
        let address = address_of(place);
        self.by_address.insert(address, place);
        let clock_rate = self.chance.below(8001) as i64 - 4000;
        self.nodes.push(Node {
            name,
            zone: Zone::new(zone),
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
        for (number, zone) in scenario.controllers.iter().enumerate() {
            let place = self.add(format!("controller-{}", number + 1), zone, Kind::Controller);
            if number < 3 {
                self.seeds.push(address_of(place));
            }
        }
        let mut agents = Vec::new();
        for (zone, _) in &scenario.zones {
            for number in 1..=scenario.proxies_per_zone {
                let agent = self.add(format!("agent-{zone}-{number}"), zone, Kind::Agent);
                agents.push(agent);
                let kind = Kind::Proxy {
                    agent,
                    capacity: scenario.proxy_capacity,
                };
                self.add(format!("proxy-{zone}-{number}"), zone, kind);
            }
        }
        for (number, zone) in scenario.directories.iter().enumerate() {
            self.add(format!("directory-{}", number + 1), zone, Kind::Directory);
        }
        for service in &scenario.services {
            for number in 0..service.instances as usize {
                let zone = &scenario.zones[number % scenario.zones.len()].0;
                let kind = Kind::Instance {
                    service: ServiceName::new(&service.name),
                    capacity: service.capacity,
                    work_span: Duration::from_millis(service.work_ms),
                    agents: (0..4)
                        .map(|turn| agents[(number + turn * 3) % agents.len()])
                        .collect(),
                };
                self.add(format!("{}-{}", service.name, number + 1), zone, kind);
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
        let (one, other) = (&self.nodes[from].zone, &self.nodes[to].zone);
        let base = if one == other {
            self.network.same_zone
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
            let vote = matches!(envelope.message, Message::ConsensusMessage { .. });
            let consensus = vote
                || matches!(
                    envelope.message,
                    Message::RoundAsk { .. } | Message::RoundAnswer { .. } | Message::Facts { .. }
                );
            let parted = from != to
                && (self.network.parted.contains(&from) || self.network.parted.contains(&to));
            if (vote && self.network.deaf.contains(&to)) || (consensus && parted) {
                return false;
            }
        }
        let control = matches!(happening, Happening::Control { .. });
        if self.network.is_cut(from, to) || (lost && control) {
            return false;
        }
        let mut delay = self.delay(from, to);
        let http_fault = self.network.http_fault(from, to);
        if let Some((most, doubled)) = http_fault.map(|way| (way.most, way.doubled_per_thousand)) {
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
        let (zone, address) = (node.zone.clone(), node.address);
        let mut outputs = Vec::new();
        let body = match &node.kind {
            Kind::Controller => {
                let options = ControllerOptions::new(address, zone, seeds)
                    .disk_room(8 * 1024 * 1024, 64 * 1024)
                    .broken(self.day.broken_controller);
                let (machine, first) = ControllerMachine::start(options, &node.disk.synced, seed);
                outputs = first;
                self.observers.controller_back(machine.node());
                Body::Controller(Box::new(machine))
            }
            Kind::Agent => {
                let options = AgentOptions {
                    proxy_serves_on: false,
                    instance_span: INSTANCE_SPAN,
                    heartbeat_refresh: Duration::ZERO,
                    demand_period: Duration::ZERO,
                    control: address,
                    zone,
                    seeds,
                };
                let mut machine = AgentMachine::start(options, seed);
                machine.break_island(self.day.broken_island);
                if self.day.careless_agents {
                    machine.be_careless();
                }
                Body::Agent(Box::new(machine))
            }
            Kind::Proxy { capacity, .. } => {
                let broken = self.day.broken_proxy;
                Body::Proxy(Box::new(SimProxy::new(
                    zone, address, *capacity, seed, broken,
                )))
            }
            Kind::Directory => {
                let options = DirectoryOptions {
                    member_refresh: Duration::ZERO,
                    control: address,
                    serving: address,
                    zone,
                    seeds,
                };
                Body::Directory(Box::new(DirectoryMachine::start(options, seed)))
            }
            Kind::Instance {
                service,
                capacity,
                work_span,
                agents,
            } => Body::Instance(Box::new(SimInstance {
                id: InstanceId::new(&node.name),
                service: service.clone(),
                zone,
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
                next_heartbeat: Duration::ZERO,
                heartbeat_sent: HashMap::new(),
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
        self.act_controller(place, outputs);
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
            // A process that ends resets its connections: the other side learns of it.
            Body::Instance(instance) => {
                for (_, work) in &instance.work {
                    if self.nodes[work.proxy].life == work.proxy_life {
                        let (request, attempt) = (work.request, work.attempt);
                        let ended = Happening::Ended {
                            request,
                            attempt,
                            end: AttemptEnd::Lost,
                            answer: None,
                        };
                        self.send(place, work.proxy, ended);
                    }
                }
            }
            Body::Proxy(proxy) => {
                for carried in proxy.carried.into_values() {
                    let request = carried.request;
                    self.observers
                        .told(self.now, &request, ToldCaller::Unknown, None);
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

    /// What an operator sees who asks the controllers in turn: status and configuration.
    pub fn look(&mut self) -> (JsonValue, JsonValue) {
        let mut fallback = (JsonValue::new_object(), JsonValue::new_object());
        for place in self.targets("controller") {
            let local = self.local(place);
            let frozen = self.nodes[place].frozen;
            let Some(Body::Controller(machine)) = &mut self.nodes[place].body else {
                continue;
            };
            if frozen {
                continue;
            }
            let mut ask = |call: OperatorCall| {
                machine
                    .input(local, ControllerInput::Operator { ticket: 0, call })
                    .into_iter()
                    .find_map(|output| match output {
                        ControllerOutput::Answer { answer, .. } => Some(answer),
                        _ => None,
                    })
            };
            let Some(OperatorAnswer::Status { status }) = ask(OperatorCall::Status) else {
                continue;
            };
            let status = controller::operator_json::status_json(&status);
            if let Some(OperatorAnswer::Configuration { map }) = ask(OperatorCall::Read) {
                return (status, controller::operator_json::map_json(&map));
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
            if let Some(proposal_outcome) = self.proposal_outcomes.get(&id) {
                return controller::operator_json::proposal_outcome_json(proposal_outcome);
            }
            let next = self.now + Duration::from_millis(20);
            self.run_until(next);
        }
        (503, JsonValue::new_object())
    }

    fn happen(&mut self, place: usize, life: u64, happening: Happening) {
        let node = &mut self.nodes[place];
        // Why whatever its life: a connection is opened to an address, and so is a heartbeat's; whoever
        // lives there now takes it.
        let by_address = matches!(
            happening,
            Happening::Open { .. } | Happening::HeartbeatTarget { .. }
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
            request,
            proxy,
            route,
            configuration,
            ..
        } = &happening
        {
            self.note_reached(place, *request, *proxy, route, *configuration);
        }
        if let Happening::Open {
            request,
            attempt,
            proxy,
            proxy_life,
            ..
        } = happening
        {
            // Why whether frozen or not: it is the machine that takes a connection, not the process.
            if self.nodes[proxy].life == proxy_life {
                self.send(place, proxy, Happening::Opened { request, attempt });
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
        let (request, attempt, proxy, proxy_life, end) = match happening {
            Happening::Open {
                request,
                attempt,
                proxy,
                proxy_life,
                ..
            } => (
                *request,
                *attempt,
                *proxy,
                *proxy_life,
                AttemptEnd::NotOpened,
            ),
            Happening::Arrive {
                request,
                attempt,
                proxy,
                proxy_life,
                ..
            } => (*request, *attempt, *proxy, *proxy_life, AttemptEnd::Lost),
            _ => return,
        };
        if self.nodes[proxy].life == proxy_life {
            let ended = Happening::Ended {
                request,
                attempt,
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
            (Happening::Control { envelope }, Some(Body::Controller(machine))) => {
                envelope.echo = fresh(machine.node());
            }
            (Happening::HeartbeatTarget { echo, .. }, Some(Body::Agent(machine))) => {
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
            Body::Controller(machine) => {
                let input = match happening {
                    Happening::Tick => Some(ControllerInput::Tick),
                    Happening::Control { envelope } => {
                        if let Message::HeartbeatForward { heard, .. } = &envelope.message {
                            if heard.heartbeat.state == InstanceState::Leaving {
                                self.observers.heard_leaving(self.now, &heard.heartbeat);
                            }
                        }
                        Some(ControllerInput::Heard {
                            envelope: *envelope,
                        })
                    }
                    Happening::Synced { ticket, well: true } => {
                        self.nodes[place].disk.sync(ticket);
                        Some(ControllerInput::Synced { ticket })
                    }
                    Happening::Synced {
                        ticket,
                        well: false,
                    } => Some(ControllerInput::WriteFailed { ticket }),
                    _ => None,
                };
                let outputs = input
                    .map(|input| machine.input(local, input))
                    .unwrap_or_default();
                self.nodes[place].body = Some(body);
                self.act_controller(place, outputs);
            }
            Body::Agent(machine) => {
                let input = match happening {
                    Happening::Tick => Some(AgentInput::Tick),
                    Happening::Control { envelope } => Some(AgentInput::Heard {
                        envelope: *envelope,
                    }),
                    Happening::HeartbeatTarget {
                        heartbeat,
                        echo,
                        number,
                        instance,
                        instance_life,
                    } => {
                        self.next_ticket += 1;
                        let ticket = self.next_ticket;
                        let owed = HeartbeatTicket {
                            instance,
                            instance_life,
                            number,
                        };
                        self.tickets.insert((place, ticket), owed);
                        Some(AgentInput::Heartbeat {
                            ticket,
                            heartbeat: *heartbeat,
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
                        AgentOutput::Send { to, message } => {
                            self.send_control(place, to, message);
                        }
                        AgentOutput::AnswerHeartbeat { ticket, answer } => {
                            if let Some(owed) = self.tickets.remove(&(place, ticket)) {
                                if self.nodes[owed.instance].life == owed.instance_life {
                                    let number = owed.number;
                                    self.send(
                                        place,
                                        owed.instance,
                                        Happening::HeartbeatAnswered { number, answer },
                                    );
                                }
                            }
                        }
                        AgentOutput::Stopped => self.end(place, false),
                        AgentOutput::Note { .. } | AgentOutput::AnswerUsage { .. } => {}
                    }
                }
            }
            Body::Directory(machine) => {
                let input = match happening {
                    Happening::Tick => Some(DirectoryInput::Tick),
                    Happening::Control { envelope } => Some(DirectoryInput::Heard {
                        envelope: *envelope,
                    }),
                    _ => None,
                };
                let outputs = input
                    .map(|input| machine.input(local, input))
                    .unwrap_or_default();
                self.nodes[place].body = Some(body);
                for output in outputs {
                    if let DirectoryOutput::Send { to, message } = output {
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
                            let version = proxy.knowledge.maps.map(MapName::Configuration).version;
                            self.observers.proxy_holds(self.now, place, version);
                        }
                        Vec::new()
                    }
                    Happening::PlannedRequest {
                        mut request,
                        group,
                        locality,
                    } => {
                        request.received_at = self.now;
                        proxy.receive(local, request, group, locality)
                    }
                    Happening::Opened { request, attempt } => proxy.opened(local, request, attempt),
                    Happening::Ended {
                        request,
                        attempt,
                        end,
                        answer,
                    } => proxy.ended(local, request, attempt, end, answer),
                    Happening::RequestWake { request, at } => proxy.woken(local, request, at),
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
            Some(Body::Controller(machine)) => machine.seal(to, message),
            Some(Body::Agent(machine)) => machine.seal(local, to, message),
            Some(Body::Directory(machine)) => machine.seal(local, to, message),
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

    fn act_controller(&mut self, place: usize, outputs: Vec<ControllerOutput>) {
        let mut struck = false;
        for output in outputs {
            match output {
                ControllerOutput::Stopped => self.end(place, false),
                ControllerOutput::Send { to, message } => self.send_control(place, to, message),
                ControllerOutput::Write { ticket, writes } => {
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
                ControllerOutput::Answer { ticket, answer } => {
                    if let OperatorAnswer::ProposalOutcome { proposal_outcome } = answer {
                        if let Some(change) = self.operator_calls.remove(&ticket) {
                            self.proposal_outcome(&change, &proposal_outcome);
                            if matches!(proposal_outcome, ProposalOutcome::Accepted(_)) {
                                self.answering = Some(place);
                                struck = true;
                            }
                        }
                    } else if let Some(asked_at) = self.reads.remove(&ticket) {
                        if let OperatorAnswer::Configuration { map } = answer {
                            let name = &self.nodes[place].name;
                            self.observers
                                .read_shown(self.now, asked_at, name, map.version);
                        }
                    }
                }
                ControllerOutput::Note { event } => {
                    let name = self.nodes[place].name.clone();
                    if let (
                        Event::MapMoved {
                            map: MapName::Placement,
                            version,
                        },
                        Some(Body::Controller(machine)),
                    ) = (&event, &self.nodes[place].body)
                    {
                        if let Some(mapping) = machine.state.map(MapName::Placement).mapping() {
                            self.observers.mapped(*version, mapping);
                        }
                    }
                    if let (
                        Event::MapMoved {
                            map: MapName::Membership,
                            ..
                        },
                        Some(Body::Controller(machine)),
                    ) = (&event, &self.nodes[place].body)
                    {
                        if let Some(term) =
                            machine.state.map(MapName::Membership).leadership(OWNERSHIP)
                        {
                            self.observers.owner_manager_known(self.now, term.holder);
                        }
                    }
                    self.observers.noted(self.now, name, event);
                }
            }
        }
        if struck {
            for fault_step in std::mem::take(&mut self.on_yes) {
                self.fault(&fault_step);
            }
        }
    }

    fn proposal_outcome(&mut self, change: &Change, proposal_outcome: &ProposalOutcome) {
        self.proposal_outcomes
            .insert(change.id.clone(), proposal_outcome.clone());
        if self.answered_calls.len() < 100 && change.puts.len() < 10 {
            self.answered_calls.push(change.clone());
        }
        self.observers
            .proposal_outcome(self.now, change, proposal_outcome);
        match proposal_outcome {
            ProposalOutcome::Accepted(version) | ProposalOutcome::Repeat(version) => {
                for put in &change.puts {
                    self.known_versions.insert(put.key.clone(), *version);
                }
            }
            ProposalOutcome::Conflicts(conflicts) => {
                for conflict in conflicts {
                    self.known_versions
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
                ProxyWish::WakeAt { request, at } => {
                    let after = self.after_local(place, at);
                    self.push_at(place, after, Happening::RequestWake { request, at });
                }
                ProxyWish::Answer {
                    request,
                    told,
                    answered,
                    failure,
                    unsent,
                } => {
                    if unsent && told == ToldCaller::NotRun {
                        self.observers.refused(self.now, &request);
                    }
                    if let Some(failure) = failure {
                        *self
                            .observers
                            .tally
                            .failures
                            .entry(failure.word())
                            .or_default() += 1;
                    }
                    self.observers.told(self.now, &request, told, answered);
                }
                ProxyWish::Open {
                    request,
                    attempt,
                    target,
                } => {
                    if let Some(to) = self.by_address.get(&target.address).copied() {
                        let open = Happening::Open {
                            request,
                            attempt,
                            proxy: place,
                            proxy_life: life,
                            incarnation: target.incarnation,
                        };
                        self.send(place, to, open);
                    }
                }
                ProxyWish::Shoot {
                    request,
                    attempt,
                    target,
                    further,
                } => {
                    let local = self.local(place);
                    let Some(Body::Proxy(proxy)) = &self.nodes[place].body else {
                        continue;
                    };
                    let Some(carried) = proxy.carried.get(&request) else {
                        continue;
                    };
                    let (route, configuration) = (carried.route.clone(), carried.configuration);
                    let need = carried.chart.deadline().saturating_sub(local);
                    self.observers.attempt(self.now, &route.service, further);
                    if let Some(to) = self.by_address.get(&target.address).copied() {
                        let arrive = Happening::Arrive {
                            request,
                            attempt,
                            proxy: place,
                            proxy_life: life,
                            target: Box::new(target),
                            route: Box::new(route),
                            configuration,
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
            Happening::Tick if local >= instance.next_heartbeat => {
                instance.next_heartbeat = local + HEARTBEAT_PERIOD;
                let oldest = local.saturating_sub(HEARTBEAT_PATIENCE);
                let before = instance.heartbeat_sent.len();
                instance
                    .heartbeat_sent
                    .retain(|_, (sent, _)| *sent >= oldest);
                if instance.heartbeat_sent.len() < before {
                    // Why turn: a heartbeat that nobody answered is taken to another agent.
                    instance.agent = (instance.agent + 1) % instance.agents.len();
                }
                let heartbeat = Box::new(instance.heartbeat(local));
                let number = heartbeat.counter;
                let to = instance.agents[instance.agent];
                instance.heartbeat_sent.insert(number, (local, to));
                let echo = instance.stamps.get(&to).map(|(stamp, since)| Echo {
                    stamp: *stamp,
                    held: local.saturating_sub(*since),
                });
                sends.push((
                    to,
                    Happening::HeartbeatTarget {
                        heartbeat,
                        echo,
                        number,
                        instance: place,
                        instance_life: life,
                    },
                ));
            }
            Happening::HeartbeatAnswered { number, answer } => {
                if let Some((sent, agent)) = instance.heartbeat_sent.remove(&number) {
                    match answer {
                        Some(dated) => {
                            instance.holdings.answered(sent, &dated.answer);
                            instance.stamps.insert(agent, (dated.stamp, local));
                            if dated.again {
                                instance.next_heartbeat = local;
                            }
                        }
                        None => instance.agent = (instance.agent + 1) % instance.agents.len(),
                    }
                }
            }
            Happening::Arrive {
                request,
                attempt,
                proxy,
                proxy_life,
                target,
                route,
                need,
                ..
            } => {
                let ours =
                    target.instance == instance.id && target.incarnation == instance.incarnation;
                let held = target.key_range.is_none_or(|(key_range, epoch)| {
                    instance.holdings.may_start(local, key_range, epoch, need)
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
                        let end = AttemptEnd::RefusedByInstance;
                        sends.push((
                            proxy,
                            Happening::Ended {
                                request,
                                attempt,
                                end,
                                answer,
                            },
                        ));
                    }
                    return sends;
                }
                if let Some((key_range, _)) = target.key_range {
                    instance.holdings.started(key_range);
                }
                let work = instance.work.insert(Work {
                    request,
                    attempt,
                    proxy,
                    proxy_life,
                    key_range: target.key_range,
                    service: route.service.clone(),
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
                let still = done.key_range.is_none_or(|(key_range, epoch)| {
                    instance
                        .holdings
                        .may_start(local, key_range, epoch, Duration::ZERO)
                });
                if let Some((key_range, _)) = done.key_range {
                    instance.holdings.ended(key_range);
                }
                let mut answer = Some(InstanceAnswer::NotRun);
                if still || instance.careless {
                    self.observers.ran(self.now, done.request, &instance.id);
                    if done.service != instance.service {
                        self.observers
                            .ran_for_another(self.now, done.request, &instance.id);
                    }
                    if let Some((key_range, _)) = done.key_range {
                        self.observers.worked_on(
                            &done.service,
                            key_range,
                            done.from,
                            self.now,
                            &instance.id,
                        );
                    }
                    answer = Some(InstanceAnswer::Ran {
                        request: done.request,
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
                    AttemptEnd::Answered
                } else {
                    AttemptEnd::Lost
                };
                if self.nodes[done.proxy].life == done.proxy_life {
                    let (request, attempt) = (done.request, done.attempt);
                    sends.push((
                        done.proxy,
                        Happening::Ended {
                            request,
                            attempt,
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
        request: u64,
        proxy: usize,
        route: &Route,
        configuration: Version,
    ) {
        let local = self.local(place);
        let Some(Body::Instance(instance)) = &self.nodes[place].body else {
            return;
        };
        let heartbeat = &instance.says(local);
        let Some(plan) = self
            .scenario
            .services
            .iter()
            .find(|service| service.name == heartbeat.service.as_str())
        else {
            return;
        };
        let service = Service {
            keyed: plan.service["keyed"].as_bool().unwrap_or(false),
            key_ranges: 64,
            instance_cap: 64,
            key_cap: 8,
            cold_rate_milli: plan.service["gentle_per_second"].as_u32().unwrap_or(6) * 1000,
            warm_span: Duration::from_millis(plan.service["warm_ms"].as_u64().unwrap_or(5000)),
            ..Service::default()
        };
        let nowhere = Region::new("");
        let proxy_zone = self.nodes[proxy].zone.clone();
        // Why the true rule: a broken proxy may have another idea of it.
        let true_route = self
            .scenario
            .routes
            .members()
            .find(|known| known["rule"]["path"].as_str() == Some(&route.path))
            .map_or_else(
                || route.clone(),
                |known| Route {
                    homes: known["rule"]["home"]
                        .as_str()
                        .map(Region::new)
                        .into_iter()
                        .collect(),
                    ..route.clone()
                },
            );
        let reached = Reached {
            request,
            instance: heartbeat,
            cold: heartbeat.is_cold(service.warm_span),
            service: &service,
            route: &true_route,
            region: self.regions.get(&heartbeat.zone).unwrap_or(&nowhere),
            proxy_zone: &proxy_zone,
            proxy_region: self.regions.get(&proxy_zone).unwrap_or(&nowhere),
            configuration,
        };
        self.observers.reached(self.now, &reached);
    }

    fn observe(&mut self) {
        self.push(self.now + OBSERVE_PERIOD, Due::Observe);
        let mut live: Vec<(&ServiceName, &InstanceId, Vec<u32>, Duration)> = Vec::new();
        for place in 0..self.nodes.len() {
            if let Some(Body::Instance(instance)) = &self.nodes[place].body {
                let local = self.local(place);
                let (key_ranges, longest) = instance.holdings.live(local);
                if !key_ranges.is_empty() {
                    live.push((&instance.service, &instance.id, key_ranges, longest));
                }
            }
        }
        let now = self.now;
        self.observers.holdings(now, &live);
        for node in &self.nodes {
            if let Some(Body::Controller(machine)) = &node.body {
                let map = machine.state.map(MapName::Configuration);
                self.observers.held_map(now, &node.name, map);
            }
        }
    }

    /// An operator reads all configuration at some controller.
    fn reader(&mut self) {
        self.push(self.now + READ_PERIOD, Due::Reader);
        let controllers = self.live_controllers();
        if controllers.is_empty() {
            return;
        }
        let place = controllers[self.chance.below(controllers.len() as u64) as usize];
        self.next_call += 1;
        let ticket = self.next_call;
        self.reads.insert(ticket, self.now);
        self.call(place, ticket, OperatorCall::Read);
    }

    fn live_controllers(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|place| matches!(self.nodes[*place].body, Some(Body::Controller(_))))
            .filter(|place| !self.nodes[*place].frozen)
            .collect()
    }

    fn call(&mut self, place: usize, ticket: u64, call: OperatorCall) {
        let local = self.local(place);
        let outputs = match &mut self.nodes[place].body {
            Some(Body::Controller(machine)) => {
                machine.input(local, ControllerInput::Operator { ticket, call })
            }
            _ => Vec::new(),
        };
        self.act_controller(place, outputs);
    }

    fn read_back(&mut self) {
        let mut maps = Vec::new();
        let mut highest = Version(0);
        for node in &self.nodes {
            if let Some(Body::Controller(machine)) = &node.body {
                let map = machine.state.map(MapName::Configuration).clone();
                highest = highest.max(map.version);
                maps.push((node.name.clone(), map));
            }
        }
        for (name, map) in maps {
            // Why only the newest: a controller that was cut off to the end may be behind, and it
            // does not answer reads for as long as it is.
            if map.version == highest {
                self.observers.read_back(self.now, &name, &map);
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
        self.send_request(kind, key, Some(kind));
    }

    fn hot_caller(&mut self) {
        let Some((kind, per_second)) = self.hot else {
            return;
        };
        let mean = 1_000_000 / u64::from(per_second.max(1));
        let next = Duration::from_micros(mean / 2 + self.chance.below(mean + 1));
        self.push(self.now + next, Due::HotCaller);
        self.send_request(kind, Some("key-hot".to_string()), None);
    }

    /// A caller asks a directory and sends one order; `counted` is none for a hot key's.
    fn send_request(&mut self, kind: usize, key: Option<String>, counted: Option<usize>) {
        let traffic = self.scenario.traffic[kind].clone();
        self.next_request += 1;
        let number = self.next_request;
        let group = self.chance.below(12) as u8;
        let client = IpAddr::from([127, 10, group, 1]);
        // Why by group: each group of callers sits near one zone.
        let home =
            Zone::new(&self.scenario.zones[usize::from(group) % self.scenario.zones.len()].0);
        let write = traffic.method != "GET";
        self.observers.sent(self.now, number, write, counted);
        // Why some without a directory: callers hold on to addresses, and what must never happen
        // must not hang on their asking anew.
        let sticky = self.chance.below(100) < STICKY_PERCENT;
        let directories: Vec<usize> = (0..self.nodes.len())
            .filter(|place| matches!(self.nodes[*place].body, Some(Body::Directory(_))))
            .filter(|place| !self.nodes[*place].frozen)
            .collect();
        let mut addresses = Vec::new();
        if sticky {
            let proxies = self.targets("proxy");
            let pick = proxies[self.chance.below(proxies.len() as u64) as usize];
            addresses.push(self.nodes[pick].address);
        } else if !directories.is_empty() {
            let start = self.chance.below(directories.len() as u64) as usize;
            for turn in 0..directories.len() {
                // Why the next one: that is what callers do when a directory names nothing.
                let place = directories[(start + turn) % directories.len()];
                if let Some(Body::Directory(machine)) = &mut self.nodes[place].body {
                    if let Ok(found) = machine.find(&traffic.host, &traffic.path, client) {
                        addresses = found.addresses;
                        break;
                    }
                }
            }
        }
        let request = ClientRequest {
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
                let near = self.regions.get(&home) == self.regions.get(&self.nodes[place].zone);
                let distance = if home == self.nodes[place].zone {
                    Duration::from_millis(4)
                } else if near {
                    Duration::from_millis(6)
                } else {
                    self.scenario.region_distance + Duration::from_millis(4)
                };
                let group = group_of(client);
                let happening = Happening::PlannedRequest {
                    request,
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
            let text = self.scenario.configuration().dump();
            if let Ok(change) = controller::operator_json::read_change(&text) {
                self.call_any(change);
            }
            return;
        }
        let routes: Vec<JsonValue> = self.scenario.routes.members().cloned().collect();
        let route = &routes[self.chance.below(routes.len() as u64) as usize];
        let number = self.next_call;
        let key = format!("rule/{}", route["name"].as_str().unwrap_or_default());
        let expected = self.known_versions.get(&key).copied();
        let mut put = route.clone();
        put["kind"] = "rule".into();
        put["rule"]["deadline_ms"] = (1500 + self.chance.below(400)).into();
        if let Some(expected) = expected {
            put["edition"] = expected.0.into();
        }
        let make = |id: String, put: &JsonValue| {
            controller::operator_json::read_change(
                &jzon::object! { id: id, put: [put.clone()] }.dump(),
            )
        };
        match self.chance.below(9) {
            // Two operators at once on the same item, by two controllers: one of them must lose.
            0 | 1 => {
                for side in ["left", "right"] {
                    if let Ok(change) = make(format!("race-{number}-{side}"), &put) {
                        self.call_any(change);
                    }
                }
            }
            // A service that is not there: nothing of it may take effect.
            2 => {
                put["rule"]["pool"] = "nowhere".into();
                if let Ok(mut change) = make(format!("dangling-{number}"), &put) {
                    change.puts.push(Put {
                        key: format!("area/part-{number}"),
                        expected: None,
                        value: Some(Value::Zone {
                            zone: ZoneSettings {
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
            // Out of order: the second step arrives before the first, by whatever controller.
            5 => {
                let next = expected.map_or(1, |version| version.0 + 1);
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
                let service = ServiceName::new(&self.scenario.services[0].name);
                let puts = (0..self.day.swell)
                    .map(|place| Put {
                        key: format!("rule/swell-{number}-{place}"),
                        expected: None,
                        value: Some(Value::Route {
                            route: Route {
                                host: format!("swell-{number}-{place}.example"),
                                path: "/".to_string(),
                                service: service.clone(),
                                homes: Vec::new(),
                                deadline: Duration::from_secs(1),
                                body_limit: 1000,
                                key_header: None,
                                ..Route::default()
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

    /// Hands a change to some live controller.
    pub fn call_any(&mut self, change: Change) {
        let controllers = self.live_controllers();
        self.next_call += 1;
        if controllers.is_empty() {
            return;
        }
        let place = controllers[self.chance.below(controllers.len() as u64) as usize];
        let ticket = self.next_call;
        self.observers.proposed(&change);
        self.operator_calls.insert(ticket, change.clone());
        self.call(place, ticket, OperatorCall::Apply { change });
    }

    /// The places that a fault's target names: a node, a program, a zone, or `any-PROGRAM`.
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
                let region = self.regions.get(&node.zone);
                node.name == name
                    || program == name
                    || node.zone.as_str() == name
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
        let version = match (&self.nodes[place].body, &self.nodes[place].kind) {
            (Some(Body::Agent(machine)), _) => machine.link().versions()[0],
            (None, Kind::Agent) => Version(0),
            _ => return None,
        };
        Some(version >= self.observers.last_accepted())
    }

    fn is_holder(&self, place: usize) -> bool {
        match &self.nodes[place].body {
            Some(Body::Controller(machine)) => {
                let membership = machine.state.map(MapName::Membership);
                membership
                    .leadership(OWNERSHIP)
                    .is_some_and(|term| term.holder == machine.node())
            }
            _ => false,
        }
    }

    pub fn fault(&mut self, fault: &FaultStep) {
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
            self.observers.owner_manager_lost(self.now);
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
                        instance.next_heartbeat = Duration::ZERO;
                    }
                }
            }
            Act::TakeOver { service } => {
                for place in places {
                    self.end(place, false);
                    let node = &mut self.nodes[place];
                    node.name = format!("{}-again", node.name);
                    if let Kind::Instance {
                        service: served, ..
                    } = &mut node.kind
                    {
                        *served = ServiceName::new(service);
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
            Act::RefuseRequests(count) => {
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
                    let route = self.scenario.routes.members().find(|route| {
                        route["rule"]["path"].as_str() == Some(traffic.path.as_str())
                    });
                    route.is_some_and(|route| route["rule"]["pool"] == fault.target.as_str())
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
            Act::HttpFault {
                most,
                doubled_per_thousand,
            } => self.network.http_faults.push(HttpFault {
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
                self.network.http_faults.clear();
            }
            Act::CloseZone => self.turn_zone(&fault.target, true),
            Act::OpenZone => {
                self.observers.opening(&Zone::new(&fault.target));
                self.turn_zone(&fault.target, false);
            }
        }
    }

    /// Asks a process to stop, as the platform does.
    fn stop(&mut self, place: usize) {
        let local = self.local(place);
        let after = match &mut self.nodes[place].body {
            Some(Body::Controller(machine)) => {
                let outputs = machine.input(local, ControllerInput::Stop);
                self.act_controller(place, outputs);
                return;
            }
            Some(Body::Agent(machine)) => {
                machine.input(local, AgentInput::Stop);
                return;
            }
            Some(Body::Proxy(proxy)) => {
                proxy.stopping_since.get_or_insert(local);
                return;
            }
            Some(Body::Directory(machine)) => {
                machine.stop_politely();
                Duration::from_millis(500)
            }
            Some(Body::Instance(instance)) => {
                instance.leaving = true;
                instance.next_heartbeat = Duration::ZERO;
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

    /// Replaces a machine for good by an empty one at a new address, in the same zone.
    fn move_away(&mut self, place: usize) {
        self.end(place, true);
        self.nodes[place].left_for_good = true;
        self.add_another(place);
    }

    /// Adds an empty node of the same kind, in the same zone, at a new address.
    fn add_another(&mut self, place: usize) {
        let node = &self.nodes[place];
        let (name, zone, kind) = (node.name.clone(), node.zone.clone(), node.kind.clone());
        let next = self.add(format!("{name}-new"), zone.as_str(), kind);
        self.start(next);
    }

    fn turn_zone(&mut self, name: &str, closed: bool) {
        let Some(region) = self.regions.get(&Zone::new(name)).cloned() else {
            return;
        };
        let number = self.next_call;
        let change = Change {
            id: ChangeId::new(format!("turn-{name}-{closed}-{number}")),
            puts: vec![Put {
                key: format!("area/{name}"),
                expected: None,
                value: Some(Value::Zone {
                    zone: ZoneSettings { region, closed },
                }),
                written: None,
            }],
            guards: Vec::new(),
        };
        self.call_any(change);
    }
}
