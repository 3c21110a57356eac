//! Hollow agents and instances: many in one process, without traffic, counted by the core as any.
//!
//! A hollow agent says what an agent with a ready proxy says, from a control port of its own, and
//! keeps of the answers only the versions. A hollow instance heartbeats over HTTP as instances do.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;

use crate::flows::{frame_bytes, Addresses, Flows, Part};
use caperworks::catch_up::{SnapshotChunk, TransferPosition, CHUNK_TIMEOUT};
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::envelope_clock::{Echo, EnvelopeClock, Stamp};
use caperworks::facts::{Demand, Heartbeat, InstanceState, Member, Role};
use caperworks::identifiers::{
    Incarnation, InstanceId, NodeId, RouteName, ServiceName, Version, Zone,
};
use caperworks::link::RENEW_INTERVAL;
use caperworks::messages::ResponseExtent;
use caperworks::messages::{Envelope, Granted, Message, Renewal};
use caperworks::ownership::HeldLeases;
use caperworks::partition_fallback::{FallbackResponse, FALLBACK_MAPS};
use caperworks::poll_pacer::PollPacer;
use caperworks::reduced_map::FeedForm;
use caperworks::replicated_map::{MapName, ALL_MAPS};
use caperworks::rtt_estimator::CORE_TIMEOUT;
use runtime::actor::random_seed;
use runtime::clock::Clock;
use runtime::connections::ControlPort;
use runtime::http::{heartbeats, Fetch, Fetched};
use runtime::locks::locked;

/// How often an instance heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1200);
/// A controller that has not answered for this long is left for another, as real agents do.
const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(800);
/// How soon an agent asks again that lacks what its grant names.
const BEHIND_PERIOD: Duration = Duration::from_millis(50);
/// The maps that a hollow agent follows: those of a real one.
const FOLLOWED: [MapName; 3] = [
    MapName::Configuration,
    MapName::Ownership,
    MapName::Membership,
];
/// How many answers may wait at one hollow agent.
const MOST_WAITING: usize = 64;
/// For how many routes each hollow proxy tells demand.
const DEMANDS: u64 = 4;

/// One controller as the hollow ones reach it.
#[derive(Debug, Clone, Copy)]
pub struct ControllerAddresses {
    /// What it calls itself to others.
    pub advertised: SocketAddr,
    /// Where its control port is: what hollow ones send need not go by the relay to be counted.
    pub listened: SocketAddr,
    pub serving: SocketAddr,
}

/// What all hollow ones of a fleet share.
pub struct HollowFleet {
    pub clock: Clock,
    pub controllers: Vec<ControllerAddresses>,
    pub zones: Vec<String>,
    pub services: u32,
    pub routes: u32,
    /// How long the first words of all are spread over.
    pub spread: Duration,
    /// Whether the hollow ones of the first zone say and hear nothing, as if it were lost.
    pub first_zone_silent: AtomicBool,
    pub addresses: Addresses,
    pub flows: Arc<Flows>,
}

impl HollowFleet {
    fn zone_of(&self, number: u32) -> Zone {
        Zone::new(&self.zones[number as usize % self.zones.len()])
    }

    pub fn in_first_zone(&self, number: u32) -> bool {
        (number as usize).is_multiple_of(self.zones.len())
    }

    fn is_silent(&self, number: u32) -> bool {
        self.in_first_zone(number) && self.first_zone_silent.load(Ordering::SeqCst)
    }
}

/// The loopback address of the hollow one with this number, in a network of its own kind.
fn hollow_address(network: u8, number: u32, port: u16) -> SocketAddr {
    let low = (number % 250 + 1) as u8;
    let middle = (number / 250 % 250) as u8;
    let high = network + (number / 62_500) as u8;
    SocketAddr::from(([127, high, middle, low], port))
}

/// Since when each hollow agent has held which version of the configuration.
pub type HeldSince = Arc<Mutex<Vec<(Version, Duration)>>>;

pub struct HollowAgent {
    pub held_since: HeldSince,
    restart: mpsc::Sender<Received>,
}

impl HollowAgent {
    /// Begins a new life at the same address: another node, that holds nothing.
    pub fn restart(&self) {
        // Why ignored: one that has so much to hear that it cannot be told is told next time.
        let _ = self.restart.try_send(Received::Restart);
    }
}

enum Received {
    Envelope(Envelope),
    Restart,
}

struct SimulatedAgent {
    number: u32,
    fleet: Arc<HollowFleet>,
    port: ControlPort,
    control: SocketAddr,
    node: NodeId,
    envelope_clock: EnvelopeClock,
    counter: u64,
    controller: usize,
    controller_incarnation: NodeId,
    answered_at: Duration,
    /// When a piece of a map was last asked for, while one is under way.
    chunk_requested_at: BTreeMap<MapName, Duration>,
    renew_at: Duration,
    pace: PollPacer,
    instances_offset: u64,
    members_offset: u64,
    versions: Vec<Version>,
    held_since: HeldSince,
}

pub async fn start_agent(
    fleet: &Arc<HollowFleet>,
    number: u32,
    port: u16,
) -> anyhow::Result<HollowAgent> {
    let control = hollow_address(101, number, port);
    let (sender, mut receiver) = mpsc::channel(MOST_WAITING);
    let (flows, addresses) = (fleet.flows.clone(), fleet.addresses.clone());
    let heard = sender.clone();
    let opened = ControlPort::open(NodeId(0), control, control, move |envelope| {
        if let Some(from) = addresses.get(&envelope.reply_to) {
            flows.count(*from, Part::HollowAgent, frame_bytes(&envelope));
        }
        // Why dropped when full: a real agent's inbox turns away as well, and it asks again.
        let _ = heard.try_send(Received::Envelope(envelope));
    })
    .await?;
    let held_since = HeldSince::default();
    let mut process = SimulatedAgent {
        number,
        fleet: fleet.clone(),
        port: opened,
        control,
        node: NodeId(0),
        envelope_clock: EnvelopeClock::new(NodeId(0)),
        counter: 0,
        controller: number as usize % fleet.controllers.len(),
        controller_incarnation: NodeId(0),
        answered_at: Duration::ZERO,
        chunk_requested_at: BTreeMap::new(),
        renew_at: Duration::ZERO,
        pace: PollPacer::new(CORE_TIMEOUT),
        instances_offset: 0,
        members_offset: 0,
        versions: Vec::new(),
        held_since: held_since.clone(),
    };
    process.reset();
    // Why spread: a fleet does not ask in one breath, and this one is to be as a fleet is.
    process.renew_at += fleet.spread.mul_f64(f64::from(number % 1000) / 1000.0);
    process.answered_at = process.renew_at;
    tokio::spawn(async move {
        loop {
            let now = process.fleet.clock.now();
            let until_due = process.renew_at.saturating_sub(now);
            tokio::select! {
                heard = receiver.recv() => match heard {
                    Some(Received::Envelope(envelope)) => process.handle(envelope),
                    Some(Received::Restart) => process.reset(),
                    None => return,
                },
                () = tokio::time::sleep(until_due) => process.renew(),
            }
        }
    });
    Ok(HollowAgent {
        held_since,
        restart: sender,
    })
}

impl SimulatedAgent {
    fn reset(&mut self) {
        let now = self.fleet.clock.now();
        self.node = NodeId(random_seed() >> 1);
        self.envelope_clock = EnvelopeClock::new(self.node);
        self.counter = 0;
        self.controller_incarnation = NodeId(0);
        self.instances_offset = 0;
        self.members_offset = 0;
        self.versions = vec![Version(0); ALL_MAPS.len()];
        self.answered_at = now;
        self.renew_at = now;
        self.pace = PollPacer::new(CORE_TIMEOUT);
    }

    /// What a hollow agent says of itself and of the proxy that it stands for.
    fn member(&mut self) -> Member {
        self.counter += 1;
        let number = u64::from(self.number);
        let demand = (0..DEMANDS.min(u64::from(self.fleet.routes)))
            .map(|turn| Demand {
                group: format!("10.{}.{}.0/24", number / 250 % 250, number % 250),
                route: route_name((number * DEMANDS + turn) % u64::from(self.fleet.routes)),
                requests: 40,
                distance: Duration::from_millis(20),
            })
            .collect();
        Member {
            client_zones: Vec::new(),
            demand_unchanged: false,
            suspected: false,
            node: self.node,
            counter: self.counter,
            role: Role::Proxy,
            zone: self.fleet.zone_of(self.number),
            control: self.control,
            serving: SocketAddr::new(self.control.ip(), self.control.port() + 1),
            ready: true,
            capacity: 200,
            demand,
            versions: self.versions.clone(),
            draining: false,
        }
    }

    /// Sends a message to one of the controllers, or to an agent that asked.
    fn send(&self, to: SocketAddr, message: Message) {
        let now = self.fleet.clock.now();
        let envelope = self.envelope_clock.seal(now, self.control, to, message);
        let controller = self
            .fleet
            .controllers
            .iter()
            .find(|index| index.advertised == to);
        // Why only to controllers: what goes to others passes the relay, which counts it.
        if controller.is_some() {
            let bytes = frame_bytes(&envelope);
            self.fleet
                .flows
                .count(Part::HollowAgent, Part::Controller, bytes);
        }
        self.port
            .forward(controller.map_or(to, |index| index.listened), &envelope);
    }

    fn renew(&mut self) {
        let now = self.fleet.clock.now();
        if self.fleet.is_silent(self.number) {
            self.renew_at = now + RENEW_INTERVAL;
            return;
        }
        if now.saturating_sub(self.answered_at) >= CONTROLLER_TIMEOUT.max(self.pace.timeout()) {
            self.controller = (self.controller + 1) % self.fleet.controllers.len();
            self.answered_at = now;
            self.pace.reset();
        }
        if !self.pace.may_poll(now) {
            self.renew_at = now + BEHIND_PERIOD;
            return;
        }
        self.renew_at = now + RENEW_INTERVAL;
        let member = self.member();
        self.pace.record_request(now, self.counter);
        let renewal = Renewal {
            number: self.counter,
            member,
            controller_incarnation: self.controller_incarnation,
            instances_after: self.instances_offset,
            members_after: self.members_offset,
            followed_maps: FOLLOWED.to_vec(),
            form: FeedForm::Complete,
            facts_age: None,
            extent: ResponseExtent::Full,
        };
        let to = self.fleet.controllers[self.controller].advertised;
        self.send(to, Message::Renew { renewal });
    }

    fn handle(&mut self, envelope: Envelope) {
        let now = self.fleet.clock.now();
        if self.fleet.is_silent(self.number) {
            return;
        }
        self.envelope_clock.open(now, &envelope);
        let process = envelope.sender_incarnation();
        match envelope.message {
            // Why by number: an answer to a life before this one says nothing to this one.
            Message::Grant { granted } if granted.number <= self.counter => {
                self.granted(now, process, &granted);
                self.fetch_in_chunks(now, envelope.reply_to, &granted);
            }
            Message::ConsensusMessage {
                message: ConsensusMessage::Chunk { chunk },
            } => self.take_chunk(now, envelope.reply_to, &chunk),
            Message::FallbackRequest { ask } => {
                // Why no word under any roster: hollow agents are to keep nobody fresh.
                let tell = FallbackResponse {
                    number: ask.number,
                    versions: self.versions.clone(),
                    updates: Vec::new(),
                    qualified_under: None,
                    draining: Vec::new(),
                };
                self.send(envelope.reply_to, Message::FallbackResponse { tell });
            }
            _ => {}
        }
    }

    /// Asks for a part of a map that is too large for a grant.
    fn request_chunk(
        &mut self,
        now: Duration,
        to: SocketAddr,
        map: MapName,
        position: TransferPosition,
    ) {
        self.chunk_requested_at.insert(map, now);
        let vote = ConsensusMessage::CatchUp {
            map,
            after: self.versions[map.index()],
            position: Some(position),
        };
        self.send(to, Message::ConsensusMessage { message: vote });
    }

    /// Begins to fetch what a grant says is too large for it, unless that is under way.
    fn fetch_in_chunks(&mut self, now: Duration, from: SocketAddr, granted: &Granted) {
        for map in granted.in_chunks.iter().copied() {
            let asked_at = self.chunk_requested_at.get(&map);
            let is_under_way =
                asked_at.is_some_and(|asked_at| now.saturating_sub(*asked_at) < CHUNK_TIMEOUT);
            if FOLLOWED.contains(&map) && !is_under_way {
                let position = TransferPosition {
                    transfer: self.counter,
                    ..TransferPosition::default()
                };
                self.request_chunk(now, from, map, position);
            }
        }
    }

    /// Goes on to the next piece; the bytes themselves are not kept.
    fn take_chunk(&mut self, now: Duration, from: SocketAddr, chunk: &SnapshotChunk) {
        let offset = chunk.offset + chunk.bytes.len() as u64;
        if offset < chunk.total {
            let position = TransferPosition {
                transfer: chunk.transfer,
                version: chunk.version,
                offset,
                ..TransferPosition::default()
            };
            self.request_chunk(now, from, chunk.map, position);
            return;
        }
        self.chunk_requested_at.remove(&chunk.map);
        self.moves_to(now, chunk.map, chunk.version);
        self.renew_at = now;
    }

    /// Notes that a later version of a map is held.
    fn moves_to(&mut self, now: Duration, map: MapName, version: Version) {
        let held = &mut self.versions[map.index()];
        let moved = version > *held;
        *held = version.max(*held);
        if moved && map == MapName::Configuration {
            locked(&self.held_since).push((version, now));
        }
    }

    fn granted(&mut self, now: Duration, process: NodeId, granted: &Granted) {
        self.pace.record_response(granted.number, None);
        self.controller_incarnation = process;
        self.instances_offset = granted.instances_offset;
        self.members_offset = granted.members_offset;
        let before = self.versions.clone();
        for updates in &granted.updates {
            self.take(updates);
        }
        let moved = |name: MapName| self.versions[name.index()] > before[name.index()];
        if moved(MapName::Configuration) {
            let version = self.versions[MapName::Configuration.index()];
            locked(&self.held_since).push((version, now));
        }
        if FALLBACK_MAPS.into_iter().any(moved) {
            // Why at once: as a real agent, for an operator waits for its word.
            self.renew_at = now;
        }
        let holds = FOLLOWED.iter().all(|name| {
            let named = granted.versions.get(name.index()).copied();
            self.versions[name.index()] >= named.unwrap_or_default()
        });
        if granted.has_quorum && holds {
            self.answered_at = now;
        } else if granted.has_quorum {
            self.renew_at = self.renew_at.min(now + BEHIND_PERIOD);
        }
        if granted.more {
            self.renew_at = now;
        }
    }

    /// Moves a version on as the map itself would move.
    fn take(&mut self, updates: &ConsensusMessage) {
        match updates {
            ConsensusMessage::Updates { map, changes } => {
                let held = &mut self.versions[map.index()];
                for numbered in changes {
                    if numbered.version == held.next() {
                        *held = numbered.version;
                    }
                }
            }
            ConsensusMessage::Snapshot { map, full_map } => {
                let held = &mut self.versions[map.index()];
                *held = (*held).max(full_map.version);
            }
            _ => {}
        }
    }
}

pub fn route_name(number: u64) -> RouteName {
    RouteName::new(format!("rule-{number}"))
}

pub fn service_name(number: u64) -> ServiceName {
    ServiceName::new(format!("service-{number}"))
}

pub struct HollowInstance {
    restart: Arc<AtomicBool>,
}

impl HollowInstance {
    /// Begins a new life with the next heartbeat.
    pub fn restart(&self) {
        self.restart.store(true, Ordering::SeqCst);
    }
}

struct SimulatedInstance {
    number: u32,
    fleet: Arc<HollowFleet>,
    address: SocketAddr,
    incarnation: u64,
    since: Duration,
    counter: u64,
    held_leases: HeldLeases,
    /// The last stamp of each controller, and since when we have it.
    stamps: HashMap<SocketAddr, (Stamp, Duration)>,
}

pub fn start_instance(fleet: &Arc<HollowFleet>, number: u32) -> HollowInstance {
    let restart: Arc<AtomicBool> = Arc::default();
    let asked = restart.clone();
    let mut process = SimulatedInstance {
        number,
        fleet: fleet.clone(),
        address: hollow_address(111, number, 9000),
        incarnation: 1,
        since: fleet.clock.now(),
        counter: 0,
        held_leases: HeldLeases::default(),
        stamps: HashMap::new(),
    };
    tokio::spawn(async move {
        let first = process
            .fleet
            .spread
            .mul_f64(f64::from(number * 7 % 1000) / 1000.0);
        tokio::time::sleep(first).await;
        let mut heartbeat = tokio::time::interval(HEARTBEAT_PERIOD);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut index = number as usize % process.fleet.controllers.len();
        loop {
            heartbeat.tick().await;
            if process.fleet.is_silent(process.zone_number()) {
                continue;
            }
            if asked.swap(false, Ordering::SeqCst) {
                process.incarnation += 1;
                process.since = process.fleet.clock.now();
                process.counter = 0;
                process.held_leases = HeldLeases::default();
                process.stamps.clear();
            }
            for _ in 0..process.fleet.controllers.len() {
                if process.heartbeat_until_dated(index).await {
                    break;
                }
                index = (index + 1) % process.fleet.controllers.len();
            }
        }
    });
    HollowInstance { restart }
}

impl SimulatedInstance {
    /// Why by the service's turn: each service is to have instances in every zone.
    fn zone_number(&self) -> u32 {
        self.number / self.fleet.services
    }

    /// What a hollow instance says of itself.
    fn heartbeat(&mut self) -> Heartbeat {
        self.counter += 1;
        let now = self.fleet.clock.now();
        Heartbeat {
            warm_up_left: Duration::ZERO,
            id: InstanceId::new(format!("hollow-{}", self.number)),
            incarnation: Incarnation(self.incarnation),
            counter: self.counter,
            service: service_name(u64::from(self.number % self.fleet.services)),
            zone: self.fleet.zone_of(self.zone_number()),
            address: self.address,
            capacity: 50,
            state: InstanceState::Serving,
            load: 0,
            uptime: now.saturating_sub(self.since),
            key_ranges_in_use: self.held_leases.key_ranges_in_use(now),
            released: self.held_leases.released_epochs(),
        }
    }

    /// Heartbeats, and again at once if the controller has no stamp of ours to date the heartbeat by.
    async fn heartbeat_until_dated(&mut self, index: usize) -> bool {
        match self.heartbeat_once(index).await {
            Some(true) => self.heartbeat_once(index).await == Some(false),
            once => once.is_some(),
        }
    }

    async fn heartbeat_once(&mut self, index: usize) -> Option<bool> {
        let to = self.fleet.controllers[index].serving;
        let sent_at = self.fleet.clock.now();
        let mut json = heartbeats::write(&self.heartbeat());
        if let Some((stamp, since)) = self.stamps.get(&to) {
            let held = sent_at.saturating_sub(*since);
            json["stamp"] = heartbeats::write_echo(&Echo {
                stamp: *stamp,
                held,
            });
        }
        let body = json.dump();
        let flows = &self.fleet.flows;
        flows.count(
            Part::HollowInstance,
            Part::Controller,
            request_bytes("/beats", to, body.len()),
        );
        let fetched = Fetch::post(to, "/beats", body)
            // Why from its own address: all of them together would run out of ports on one.
            .from(self.address.ip())
            .timeout(HEARTBEAT_TIMEOUT)
            .send()
            .await
            .ok()?;
        flows.count(
            Part::Controller,
            Part::HollowInstance,
            response_bytes(&fetched),
        );
        if fetched.status != 200 {
            return None;
        }
        let dated = heartbeats::read_timestamped_response(&fetched.json())?;
        self.held_leases.apply_response(sent_at, &dated.response);
        self.stamps
            .insert(to, (dated.stamp, self.fleet.clock.now()));
        Some(dated.resend)
    }
}

/// The bytes of a posted request, head and body, as our client writes them.
pub fn request_bytes(path: &str, to: SocketAddr, body: usize) -> usize {
    format!("POST {path} HTTP/1.1\r\nhost: {to}\r\ncontent-length: {body}\r\n\r\n").len() + body
}

/// The bytes of a response, head and body.
pub fn response_bytes(fetched: &Fetched) -> usize {
    let head: usize = fetched
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    "HTTP/1.1 200 OK\r\n\r\n".len() + head + fetched.body.len()
}
