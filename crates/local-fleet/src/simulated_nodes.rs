//! Simulated agents and instances for scale measurements: many in one process, without client traffic.
//! The controllers treat them like real ones.
//!
//! A simulated agent has its own control port, sends the messages of an agent with one ready proxy, and
//! keeps only the map versions of the responses. A simulated instance sends heartbeats over HTTP.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::mpsc;

use crate::flows::{frame_bytes, Addresses, Component, Flows};
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

/// How often an instance sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Switch to another controller when the current one has not responded for this long, as real agents do.
const CONTROLLER_TIMEOUT: Duration = Duration::from_millis(800);
/// How soon an agent polls again while its maps are older than the versions named in its grant.
const LAGGING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maps that an agent follows: the same as for a real agent.
const FOLLOWED: [MapName; 3] = [
    MapName::Configuration,
    MapName::Ownership,
    MapName::Membership,
];
/// Capacity of the inbox of a simulated agent.
const INBOX_CAPACITY: usize = 64;
/// Number of routes for which each simulated proxy reports demand.
const DEMAND_ROUTES: u64 = 4;

/// The addresses of one controller.
#[derive(Debug, Clone, Copy)]
pub struct ControllerAddresses {
    /// The address that it advertises, which is the relay's.
    pub advertised: SocketAddr,
    /// The address of its control port. Simulated agents send to it directly, since they count their
    /// messages themselves.
    pub listened: SocketAddr,
    pub serving: SocketAddr,
}

/// State shared by all simulated agents and instances.
pub struct SimulatedFleet {
    pub clock: Clock,
    pub controllers: Vec<ControllerAddresses>,
    pub zones: Vec<String>,
    pub services: u32,
    pub routes: u32,
    /// The period over which the first messages of all nodes are spread.
    pub spread: Duration,
    /// Whether the nodes of the first zone neither send nor receive, as if the zone were lost.
    pub first_zone_partitioned: AtomicBool,
    pub addresses: Addresses,
    pub flows: Arc<Flows>,
}

impl SimulatedFleet {
    fn zone_of(&self, number: u32) -> Zone {
        Zone::new(&self.zones[number as usize % self.zones.len()])
    }

    /// Returns whether the node with this number is in the first zone.
    pub fn is_in_first_zone(&self, number: u32) -> bool {
        (number as usize).is_multiple_of(self.zones.len())
    }

    fn is_partitioned(&self, number: u32) -> bool {
        self.is_in_first_zone(number) && self.first_zone_partitioned.load(Ordering::SeqCst)
    }
}

/// Returns the loopback address of the simulated node with this number. Agents and instances have separate
/// networks.
fn simulated_address(network: u8, number: u32, port: u16) -> SocketAddr {
    let low = (number % 250 + 1) as u8;
    let middle = (number / 250 % 250) as u8;
    let high = network + (number / 62_500) as u8;
    SocketAddr::from(([127, high, middle, low], port))
}

/// The configuration versions that an agent has received, each with its time of arrival.
pub type VersionHistory = Arc<Mutex<Vec<(Version, Duration)>>>;

/// A running simulated agent.
pub struct AgentHandle {
    pub version_history: VersionHistory,
    restart: mpsc::Sender<Received>,
}

impl AgentHandle {
    /// Restarts the agent at the same address with a new node id and without any state.
    pub fn restart(&self) {
        // A full inbox is ignored: the agent misses this restart and takes part in a later one.
        let _ = self.restart.try_send(Received::Restart);
    }
}

/// An input of a simulated agent.
enum Received {
    Envelope(Envelope),
    Restart,
}

/// The state of a simulated agent.
struct SimulatedAgent {
    number: u32,
    fleet: Arc<SimulatedFleet>,
    port: ControlPort,
    control: SocketAddr,
    node: NodeId,
    envelope_clock: EnvelopeClock,
    counter: u64,
    controller: usize,
    controller_incarnation: NodeId,
    responded_at: Duration,
    /// When the last chunk of each map was requested, while a transfer is in progress.
    chunk_requested_at: BTreeMap<MapName, Duration>,
    renew_at: Duration,
    pace: PollPacer,
    instances_offset: u64,
    members_offset: u64,
    versions: Vec<Version>,
    version_history: VersionHistory,
}

/// Starts a simulated agent with its control port.
pub async fn start_agent(
    fleet: &Arc<SimulatedFleet>,
    number: u32,
    port: u16,
) -> anyhow::Result<AgentHandle> {
    let control = simulated_address(101, number, port);
    let (sender, mut receiver) = mpsc::channel(INBOX_CAPACITY);
    let (flows, addresses) = (fleet.flows.clone(), fleet.addresses.clone());
    let inbox = sender.clone();
    let opened = ControlPort::open(NodeId(0), control, control, move |envelope| {
        if let Some(from) = addresses.get(&envelope.reply_to) {
            flows.count(*from, Component::SimulatedAgent, frame_bytes(&envelope));
        }
        // Dropped if the inbox is full, as in a real agent, which then polls again.
        let _ = inbox.try_send(Received::Envelope(envelope));
    })
    .await?;
    let version_history = VersionHistory::default();
    let mut agent = SimulatedAgent {
        number,
        fleet: fleet.clone(),
        port: opened,
        control,
        node: NodeId(0),
        envelope_clock: EnvelopeClock::new(NodeId(0)),
        counter: 0,
        controller: number as usize % fleet.controllers.len(),
        controller_incarnation: NodeId(0),
        responded_at: Duration::ZERO,
        chunk_requested_at: BTreeMap::new(),
        renew_at: Duration::ZERO,
        pace: PollPacer::new(CORE_TIMEOUT),
        instances_offset: 0,
        members_offset: 0,
        versions: Vec::new(),
        version_history: version_history.clone(),
    };
    agent.reset();
    // The first polls are spread over time, because the agents of a real fleet do not start all at once.
    agent.renew_at += fleet.spread.mul_f64(f64::from(number % 1000) / 1000.0);
    agent.responded_at = agent.renew_at;
    tokio::spawn(async move {
        loop {
            let now = agent.fleet.clock.now();
            let until_due = agent.renew_at.saturating_sub(now);
            tokio::select! {
                input = receiver.recv() => match input {
                    Some(Received::Envelope(envelope)) => agent.handle(envelope),
                    Some(Received::Restart) => agent.reset(),
                    None => return,
                },
                () = tokio::time::sleep(until_due) => agent.renew(),
            }
        }
    });
    Ok(AgentHandle {
        version_history,
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
        self.responded_at = now;
        self.renew_at = now;
        self.pace = PollPacer::new(CORE_TIMEOUT);
    }

    /// Returns the member fact of the agent and its simulated proxy.
    fn member(&mut self) -> Member {
        self.counter += 1;
        let number = u64::from(self.number);
        let demand = (0..DEMAND_ROUTES.min(u64::from(self.fleet.routes)))
            .map(|turn| Demand {
                group: format!("10.{}.{}.0/24", number / 250 % 250, number % 250),
                route: route_name((number * DEMAND_ROUTES + turn) % u64::from(self.fleet.routes)),
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

    /// Sends a message to a controller, or to an agent that sent a request.
    fn send(&self, to: SocketAddr, message: Message) {
        let now = self.fleet.clock.now();
        let envelope = self.envelope_clock.seal(now, self.control, to, message);
        let controller = self
            .fleet
            .controllers
            .iter()
            .find(|controller| controller.advertised == to);
        // Only messages to controllers are counted here: those to other nodes pass through the relay, which
        // counts them.
        if controller.is_some() {
            let bytes = frame_bytes(&envelope);
            self.fleet
                .flows
                .count(Component::SimulatedAgent, Component::Controller, bytes);
        }
        self.port.forward(
            controller.map_or(to, |controller| controller.listened),
            &envelope,
        );
    }

    /// Sends a renewal, first switching to another controller if the current one does not respond.
    fn renew(&mut self) {
        let now = self.fleet.clock.now();
        if self.fleet.is_partitioned(self.number) {
            self.renew_at = now + RENEW_INTERVAL;
            return;
        }
        if now.saturating_sub(self.responded_at) >= CONTROLLER_TIMEOUT.max(self.pace.timeout()) {
            self.controller = (self.controller + 1) % self.fleet.controllers.len();
            self.responded_at = now;
            self.pace.reset();
        }
        if !self.pace.may_poll(now) {
            self.renew_at = now + LAGGING_POLL_INTERVAL;
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
        if self.fleet.is_partitioned(self.number) {
            return;
        }
        self.envelope_clock.open(now, &envelope);
        let sender = envelope.sender_incarnation();
        match envelope.message {
            // Grants for a higher number are responses to an earlier incarnation of this agent.
            Message::Grant { granted } if granted.number <= self.counter => {
                self.handle_grant(now, sender, &granted);
                self.fetch_in_chunks(now, envelope.reply_to, &granted);
            }
            Message::ConsensusMessage {
                message: ConsensusMessage::Chunk { chunk },
            } => self.take_chunk(now, envelope.reply_to, &chunk),
            Message::FallbackRequest { request } => {
                // Not qualified under any fallback member list: simulated agents must not take part in the
                // partition fallback of real members.
                let response = FallbackResponse {
                    number: request.number,
                    versions: self.versions.clone(),
                    updates: Vec::new(),
                    qualified_under: None,
                    draining: Vec::new(),
                };
                self.send(envelope.reply_to, Message::FallbackResponse { response });
            }
            _ => {}
        }
    }

    /// Requests a chunk of a map that is too large for a grant.
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

    /// Starts the transfer of each map that is too large for the grant, unless one is in progress.
    fn fetch_in_chunks(&mut self, now: Duration, from: SocketAddr, granted: &Granted) {
        for map in granted.in_chunks.iter().copied() {
            let requested_at = self.chunk_requested_at.get(&map);
            let is_in_progress = requested_at
                .is_some_and(|requested_at| now.saturating_sub(*requested_at) < CHUNK_TIMEOUT);
            if FOLLOWED.contains(&map) && !is_in_progress {
                let position = TransferPosition {
                    transfer: self.counter,
                    ..TransferPosition::default()
                };
                self.request_chunk(now, from, map, position);
            }
        }
    }

    /// Requests the next chunk, or records the new version after the last one. The bytes are discarded.
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
        self.advance_to(now, chunk.map, chunk.version);
        self.renew_at = now;
    }

    /// Records a new version of a map, if it is newer than the current one.
    fn advance_to(&mut self, now: Duration, map: MapName, version: Version) {
        let held = &mut self.versions[map.index()];
        let advanced = version > *held;
        *held = version.max(*held);
        if advanced && map == MapName::Configuration {
            locked(&self.version_history).push((version, now));
        }
    }

    /// Processes a grant: applies its updates and schedules the next poll.
    fn handle_grant(&mut self, now: Duration, sender: NodeId, granted: &Granted) {
        self.pace.record_response(granted.number, None);
        self.controller_incarnation = sender;
        self.instances_offset = granted.instances_offset;
        self.members_offset = granted.members_offset;
        let before = self.versions.clone();
        for updates in &granted.updates {
            self.apply_updates(updates);
        }
        let has_advanced = |name: MapName| self.versions[name.index()] > before[name.index()];
        if has_advanced(MapName::Configuration) {
            let version = self.versions[MapName::Configuration.index()];
            locked(&self.version_history).push((version, now));
        }
        if FALLBACK_MAPS.into_iter().any(has_advanced) {
            // Renews at once, as a real agent does, because an operator may be waiting for its confirmation.
            self.renew_at = now;
        }
        let is_up_to_date = FOLLOWED.iter().all(|name| {
            let granted_version = granted.versions.get(name.index()).copied();
            self.versions[name.index()] >= granted_version.unwrap_or_default()
        });
        if granted.has_quorum && is_up_to_date {
            self.responded_at = now;
        } else if granted.has_quorum {
            self.renew_at = self.renew_at.min(now + LAGGING_POLL_INTERVAL);
        }
        if granted.more {
            self.renew_at = now;
        }
    }

    /// Advances a map version as applying the updates to the map would.
    fn apply_updates(&mut self, updates: &ConsensusMessage) {
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

/// Returns the name of the route with this number.
pub fn route_name(number: u64) -> RouteName {
    RouteName::new(format!("rule-{number}"))
}

/// Returns the name of the service with this number.
pub fn service_name(number: u64) -> ServiceName {
    ServiceName::new(format!("service-{number}"))
}

/// A running simulated instance.
pub struct InstanceHandle {
    restart: Arc<AtomicBool>,
}

impl InstanceHandle {
    /// Starts a new incarnation with the next heartbeat.
    pub fn restart(&self) {
        self.restart.store(true, Ordering::SeqCst);
    }
}

/// The state of a simulated instance.
struct SimulatedInstance {
    number: u32,
    fleet: Arc<SimulatedFleet>,
    address: SocketAddr,
    incarnation: u64,
    since: Duration,
    counter: u64,
    held_leases: HeldLeases,
    /// The last stamp of each controller, and when it was received.
    stamps: HashMap<SocketAddr, (Stamp, Duration)>,
}

/// Starts a simulated instance.
pub fn start_instance(fleet: &Arc<SimulatedFleet>, number: u32) -> InstanceHandle {
    let restart: Arc<AtomicBool> = Arc::default();
    let restart_requested = restart.clone();
    let mut instance = SimulatedInstance {
        number,
        fleet: fleet.clone(),
        address: simulated_address(111, number, 9000),
        incarnation: 1,
        since: fleet.clock.now(),
        counter: 0,
        held_leases: HeldLeases::default(),
        stamps: HashMap::new(),
    };
    tokio::spawn(async move {
        let initial_delay = instance
            .fleet
            .spread
            .mul_f64(f64::from(number * 7 % 1000) / 1000.0);
        tokio::time::sleep(initial_delay).await;
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut controller = number as usize % instance.fleet.controllers.len();
        loop {
            ticks.tick().await;
            if instance.fleet.is_partitioned(instance.zone_number()) {
                continue;
            }
            if restart_requested.swap(false, Ordering::SeqCst) {
                instance.incarnation += 1;
                instance.since = instance.fleet.clock.now();
                instance.counter = 0;
                instance.held_leases = HeldLeases::default();
                instance.stamps.clear();
            }
            for _ in 0..instance.fleet.controllers.len() {
                if instance.heartbeat_until_dated(controller).await {
                    break;
                }
                controller = (controller + 1) % instance.fleet.controllers.len();
            }
        }
    });
    InstanceHandle { restart }
}

impl SimulatedInstance {
    /// Returns the number that selects the zone. It is the number of the instance within its service, so that
    /// each service has instances in every zone.
    fn zone_number(&self) -> u32 {
        self.number / self.fleet.services
    }

    /// Returns the next heartbeat.
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

    /// Sends a heartbeat, and a second one at once if the controller could not date the first: it needs an
    /// echo of its own stamp for that. Returns whether the controller accepted a heartbeat.
    async fn heartbeat_until_dated(&mut self, controller: usize) -> bool {
        match self.heartbeat_once(controller).await {
            Some(true) => self.heartbeat_once(controller).await == Some(false),
            once => once.is_some(),
        }
    }

    /// Sends one heartbeat; returns whether the controller requests another at once, or none without a valid
    /// response.
    async fn heartbeat_once(&mut self, controller: usize) -> Option<bool> {
        let to = self.fleet.controllers[controller].serving;
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
            Component::SimulatedInstance,
            Component::Controller,
            request_bytes("/beats", to, body.len()),
        );
        let fetched = Fetch::post(to, "/beats", body)
            // Each instance has its own source address, since one address has too few ports for all of them.
            .from(self.address.ip())
            .timeout(HEARTBEAT_TIMEOUT)
            .send()
            .await
            .ok()?;
        flows.count(
            Component::Controller,
            Component::SimulatedInstance,
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

/// Returns the size of a POST request with its headers, as written by the HTTP client of the runtime crate.
pub fn request_bytes(path: &str, to: SocketAddr, body: usize) -> usize {
    format!("POST {path} HTTP/1.1\r\nhost: {to}\r\ncontent-length: {body}\r\n\r\n").len() + body
}

/// Returns the size of a response with its headers.
pub fn response_bytes(fetched: &Fetched) -> usize {
    let head: usize = fetched
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    "HTTP/1.1 200 OK\r\n\r\n".len() + head + fetched.body.len()
}
