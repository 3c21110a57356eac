//! Catch-up of complete controllers that are behind by thousands of changes, over slow links.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::controllers::{address, apply_write, policy, STEP};
use caperworks::catch_up::{ChunkError, SnapshotChunk, CHUNK_BYTES, SNAPSHOT_IDLE_TIMEOUT};
use caperworks::consensus::messages::{ConsensusMessage, ProposalNumber};
use caperworks::feed::MAX_HISTORY_WEIGHT;
use caperworks::identifiers::{ChangeId, ServiceName, Zone};
use caperworks::leadership::{LEADERSHIPS, SOLVER};
use caperworks::map_items::{Route, Value};
use caperworks::messages::{Envelope, Message};
use caperworks::policy::CorePolicy;
use caperworks::replicated_map::{Change, MapName, Put, Written, ALL_MAPS, REMEMBERED_CHANGES};
use caperworks::slots::{DiskImage, DiskWrite};
use controller::fault_injection::FaultInjection;
use controller::state::options::ControllerOptions;
use controller::state::ControllerState;
use controller::state_machine::event::Event;
use controller::state_machine::input::ControllerInput;
use controller::state_machine::operator_messages::{OperatorCall, OperatorResponse};
use controller::state_machine::output::ControllerOutput;
use controller::state_machine::ControllerMachine;

const ROUTES: u64 = 6_000;
const CHANGES: u64 = 10_000;
const SLOT_CAPACITY: u64 = 16 * 1024 * 1024;
/// Smaller than in a deployment, so that the log overflows several times.
const LOG_CAPACITY: u64 = 1024 * 1024;
/// Bandwidth of a link while the bandwidth is limited.
const LINK_BYTES_PER_SECOND: u64 = 2 * 1024 * 1024;
/// Bandwidth of a link in tests in which a controller is to be behind for a long time.
const SLOW_LINK_BYTES_PER_SECOND: u64 = 128 * 1024;
const LINK_DELAY: Duration = Duration::from_millis(10);

struct SimulatedNode {
    machine: Option<ControllerMachine>,
    image: DiskImage,
    fault: FaultInjection,
    /// Whether the disk hangs: writes are accepted and never carried out.
    disk_hangs: bool,
}

/// Corrupts a chunk in transit.
type CorruptChunk = fn(&mut SnapshotChunk);

struct InTransit {
    due: Duration,
    to: SocketAddr,
    envelope: Envelope,
}

/// Catch-up messages by kind, and their sizes.
#[derive(Debug, Default, Clone)]
struct Traffic {
    requests: u64,
    responses: u64,
    chunks: u64,
    full_maps: u64,
    bytes: u64,
    largest: usize,
}

impl Traffic {
    fn messages(&self) -> u64 {
        self.requests + self.responses + self.chunks + self.full_maps
    }

    fn count(&mut self, message: &ConsensusMessage, bytes: usize) {
        match message {
            ConsensusMessage::CatchUp { .. } => self.requests += 1,
            ConsensusMessage::Updates { .. } => self.responses += 1,
            ConsensusMessage::Chunk { .. } => self.chunks += 1,
            ConsensusMessage::Snapshot { .. } => self.full_maps += 1,
            _ => return,
        }
        self.bytes += bytes as u64;
        self.largest = self.largest.max(bytes);
    }
}

struct Fleet {
    nodes: Vec<SimulatedNode>,
    now: Duration,
    wire: VecDeque<InTransit>,
    /// When each link is free again. Messages arrive immediately while the bandwidth is not limited.
    link_free_at: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    /// The bandwidth of each link in bytes per second, if it is limited.
    link_rate: Option<u64>,
    responses: BTreeMap<u64, OperatorResponse>,
    last_ticket: u64,
    last_seed: u64,
    /// The catch-up traffic since the bandwidth was last limited.
    traffic: Traffic,
    rejected: Vec<ChunkError>,
    /// Corrupts the chunks that are sent to this controller.
    corruption: Option<(usize, CorruptChunk)>,
    largest_slot: usize,
    slots_written: u64,
}

impl Fleet {
    /// Returns a fleet of three controllers that have founded a membership, and a fourth that is not started.
    fn founded(seed: u64) -> Self {
        let stopped_node = |_| SimulatedNode {
            machine: None,
            image: DiskImage::default(),
            fault: FaultInjection::None,
            disk_hangs: false,
        };
        let mut fleet = Self {
            nodes: (0..4).map(stopped_node).collect(),
            now: Duration::ZERO,
            wire: VecDeque::new(),
            link_free_at: BTreeMap::new(),
            link_rate: None,
            responses: BTreeMap::new(),
            last_ticket: 0,
            last_seed: seed * 1000,
            traffic: Traffic::default(),
            rejected: Vec::new(),
            corruption: None,
            largest_slot: 0,
            slots_written: 0,
        };
        (0..3).for_each(|index| fleet.start(index));
        fleet.run(Duration::from_secs(8));
        fleet
    }

    fn start(&mut self, index: usize) {
        self.last_seed += 1;
        let seeds = (0..3).map(address).collect();
        let zone = Zone::new(format!("zone-{index}"));
        let options = ControllerOptions::new(address(index), zone, seeds)
            .disk_capacity(SLOT_CAPACITY, LOG_CAPACITY)
            .core(CorePolicy {
                may_bootstrap: index < 3,
                ..policy()
            })
            .inject(self.nodes[index].fault);
        let image = self.nodes[index].image.clone();
        let (machine, outputs) = ControllerMachine::start(options, &image, self.last_seed);
        self.nodes[index].machine = Some(machine);
        self.carry_out(index, outputs);
    }

    fn stop(&mut self, index: usize) {
        self.nodes[index].machine = None;
        self.wire.retain(|message| message.to != address(index));
    }

    fn state(&self, index: usize) -> &ControllerState {
        &self.nodes[index]
            .machine
            .as_ref()
            .expect("the controller is running")
            .state
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<ControllerOutput>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                ControllerOutput::Send { to, message } => self.send(index, to, message),
                ControllerOutput::Write { ticket, writes } => {
                    if self.nodes[index].disk_hangs {
                        continue;
                    }
                    for write in &writes {
                        apply_write(&mut self.nodes[index].image, write);
                        if let DiskWrite::Slot { bytes, .. } = write {
                            self.largest_slot = self.largest_slot.max(bytes.len());
                            self.slots_written += 1;
                        }
                    }
                    outputs.extend(self.input(index, ControllerInput::WriteSynced { ticket }));
                }
                ControllerOutput::Respond { ticket, response } => {
                    self.responses.insert(ticket, response);
                }
                ControllerOutput::LogEvent { event } => {
                    if let Event::ChunkRejected { why, .. } = event {
                        self.rejected.push(why);
                    }
                }
                ControllerOutput::ShutdownComplete => {}
            }
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, mut message: Message) {
        if let Message::ConsensusMessage { message } = &mut message {
            if let (ConsensusMessage::Chunk { chunk }, Some((receiver, corrupt))) =
                (&mut *message, self.corruption)
            {
                if to == address(receiver) {
                    corrupt(chunk);
                }
            }
        }
        let machine = self.nodes[index]
            .machine
            .as_ref()
            .expect("the controller is running");
        let envelope = machine.seal(to, message);
        let mut due = self.now;
        if let Some(rate) = self.link_rate {
            let bytes = minicbor::to_vec(&envelope)
                .expect("the envelope encodes")
                .len();
            if let Message::ConsensusMessage { message } = &envelope.message {
                self.traffic.count(message, bytes);
            }
            let transfer_time = Duration::from_micros(bytes as u64 * 1_000_000 / rate);
            let free_at = self.link_free_at.entry((address(index), to)).or_default();
            *free_at = (*free_at).max(self.now) + transfer_time;
            due = *free_at + LINK_DELAY;
        }
        self.wire.push_back(InTransit { due, to, envelope });
    }

    fn input(&mut self, index: usize, input: ControllerInput) -> Vec<ControllerOutput> {
        let now = self.now;
        let machine = self.nodes[index].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.input(now, input))
    }

    fn handle_input(&mut self, index: usize, input: ControllerInput) {
        let outputs = self.input(index, input);
        self.carry_out(index, outputs);
        self.deliver();
    }

    /// Delivers all messages that are due.
    fn deliver(&mut self) {
        while let Some(next) = self.wire.iter().position(|message| message.due <= self.now) {
            let Some(message) = self.wire.remove(next) else {
                return;
            };
            let Some(index) = (0..4).find(|index| address(*index) == message.to) else {
                continue;
            };
            let envelope = message.envelope;
            let outputs = self.input(index, ControllerInput::MessageReceived { envelope });
            self.carry_out(index, outputs);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..4 {
            self.handle_input(index, ControllerInput::Tick);
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    fn call(&mut self, index: usize, call: OperatorCall) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let received_at = self.now;
        self.handle_input(
            index,
            ControllerInput::OperatorCall {
                ticket,
                call,
                received_at,
            },
        );
        ticket
    }

    /// Delivers a message of the first controller to another one, and returns the resulting outputs.
    fn deliver_to(&mut self, index: usize, message: ConsensusMessage) -> Vec<ControllerOutput> {
        let machine = self.nodes[0]
            .machine
            .as_ref()
            .expect("the controller is running");
        let envelope = machine.seal(address(index), Message::ConsensusMessage { message });
        self.input(index, ControllerInput::MessageReceived { envelope })
    }

    /// Makes the first two controllers accept and commit a change, by sending them a proposer's messages.
    fn commit(&mut self, change: Change) {
        let (map, state) = (MapName::Configuration, self.state(0));
        let version = state.map(map).version.next();
        let membership = state.map(MapName::Membership).version;
        let round = 1_000_000;
        let node = state.node;
        let proposal_number = ProposalNumber {
            counter: round,
            node,
        };
        let prepare = ConsensusMessage::Prepare {
            map,
            membership,
            version,
            proposal_number,
        };
        let accept = ConsensusMessage::Accept {
            map,
            membership,
            version,
            proposal_number,
            change: change.clone(),
        };
        let commit = ConsensusMessage::Commit {
            map,
            version,
            change,
        };
        for message in [prepare, accept, commit] {
            for index in 0..2 {
                let outputs = self.deliver_to(index, message.clone());
                self.carry_out(index, outputs);
                self.deliver();
            }
        }
        assert_eq!(self.state(1).map(map).version, version);
    }

    fn read(&mut self, index: usize) -> OperatorResponse {
        let ticket = self.call(index, OperatorCall::Read);
        let until = self.now + Duration::from_secs(1);
        while !self.responses.contains_key(&ticket) && self.now < until {
            self.step();
        }
        self.responses.remove(&ticket).expect("a response")
    }

    fn is_up_to_date(&self, index: usize) -> bool {
        let state = self.state(index);
        ALL_MAPS
            .iter()
            .all(|name| state.map(*name) == self.state(0).map(*name))
    }

    /// Runs until a controller has all maps. Returns how long that took.
    fn run_until_up_to_date(&mut self, index: usize) -> Duration {
        let began = self.now;
        while !self.is_up_to_date(index) {
            self.step();
            assert!(
                self.now - began < Duration::from_secs(60),
                "the controller does not catch up"
            );
        }
        self.now - began
    }

    /// Limits the bandwidth of all links from now on, and starts counting the catch-up traffic.
    fn limit_bandwidth(&mut self, rate: u64) {
        self.link_rate = Some(rate);
        self.traffic = Traffic::default();
    }
}

fn route_put(number: u64, routes: u64) -> Put {
    let name = number % routes;
    let route = Route {
        host: format!("host-{name}.example"),
        path: format!("/{number}"),
        service: ServiceName::new("records"),
        deadline: Duration::from_secs(5),
        body_limit: 1 << 20,
        ..Route::default()
    };
    let text = format!(r#"{{"host":"host-{name}.example","path":"/{number}"}}"#);
    Put {
        key: format!("rule/{name}"),
        expected: None,
        value: Some(Value::Route { route }),
        written: Some(Written {
            version: number + 1,
            text,
        }),
    }
}

fn routes_change(numbers: std::ops::Range<u64>, routes: u64) -> Change {
    Change {
        id: ChangeId::new(format!("call-{}", numbers.start)),
        puts: numbers.map(|number| route_put(number, routes)).collect(),
        guards: Vec::new(),
    }
}

/// Returns the encoded size of a controller's largest map, which is the configuration.
fn map_bytes(fleet: &Fleet, index: usize) -> u64 {
    let map = fleet.state(index).map(MapName::Configuration);
    minicbor::to_vec(map).expect("the map encodes").len() as u64
}

#[test]
fn catch_up_after_ten_thousand_changes_stays_bounded() {
    let mut fleet = Fleet::founded(1);
    fleet.stop(2);
    let slots_before = fleet.slots_written;
    for number in 0..CHANGES {
        fleet.commit(routes_change(number..number + 1, ROUTES));
    }
    let full_map = map_bytes(&fleet, 0);
    println!(
        "map {full_map} bytes, slot {} bytes, {} slots written by all, log {} bytes",
        fleet.largest_slot,
        fleet.slots_written,
        fleet.state(0).storage.log_length(),
    );
    for index in 0..2 {
        let state = fleet.state(index);
        assert!(state.storage.log_length() <= LOG_CAPACITY);
        let history = state.voter.history(MapName::Configuration);
        assert!(history.weight() <= MAX_HISTORY_WEIGHT);
        let recent_changes = state.map(MapName::Configuration).recent_changes.len();
        assert!(recent_changes <= REMEMBERED_CHANGES);
    }
    // Both controllers wrote a complete slot more than once. The map has grown a little since the last one,
    // because of the version history of each item.
    assert!(
        fleet.slots_written - slots_before >= 4,
        "the log did not overflow"
    );
    assert!(fleet.largest_slot > full_map as usize * 3 / 4);
    assert!(fleet.largest_slot <= 2 * 1024 * 1024);
    assert!(fleet.slots_written < 60, "{} slots", fleet.slots_written);
    // A controller that was down during all changes, over fast and slow links, and then a new one
    // without state.
    let image = fleet.nodes[2].image.clone();
    for (index, rate, max_duration) in [
        (2, LINK_BYTES_PER_SECOND, Duration::from_secs(2)),
        (2, SLOW_LINK_BYTES_PER_SECOND, Duration::from_secs(10)),
        (3, LINK_BYTES_PER_SECOND, Duration::from_secs(2)),
    ] {
        fleet.stop(index);
        if index == 2 {
            fleet.nodes[2].image = image.clone();
        }
        fleet.run(SNAPSHOT_IDLE_TIMEOUT);
        fleet.limit_bandwidth(rate);
        fleet.start(index);
        let duration = fleet.run_until_up_to_date(index);
        fleet.run(Duration::from_secs(2));
        let traffic = fleet.traffic.clone();
        let messages = traffic.messages();
        println!("controller {index} at {rate} bytes/s: up to date after {duration:?}, {messages} messages, {traffic:?}");
        assert!(duration < max_duration, "{duration:?}");
        assert_eq!(traffic.full_maps, 0);
        let chunks = full_map.div_ceil(CHUNK_BYTES as u64);
        assert!(traffic.chunks <= chunks + 4, "{traffic:?}");
        assert!(messages <= 2 * chunks + 12, "{traffic:?}");
        assert!(traffic.bytes <= full_map + full_map / 4, "{traffic:?}");
        assert!(traffic.largest <= CHUNK_BYTES + 512, "{traffic:?}");
        assert_eq!(fleet.state(index).catch_up.buffered_bytes(), 0);
    }
    fleet.run(SNAPSHOT_IDLE_TIMEOUT);
    for index in 0..4 {
        assert_eq!(fleet.state(index).snapshots.buffered_bytes(), 0);
    }
}

/// Returns a fleet in which one controller has missed many changes, and restarts with slow links.
fn fleet_with_lagging_controller(seed: u64, behind: usize, fault: FaultInjection) -> Fleet {
    let mut fleet = Fleet::founded(seed);
    fleet.stop(behind);
    fleet.nodes[behind].fault = fault;
    fleet.run(Duration::from_secs(8));
    for number in 0..ROUTES / 50 {
        fleet.commit(routes_change(number * 50..(number + 1) * 50, ROUTES));
    }
    fleet.limit_bandwidth(SLOW_LINK_BYTES_PER_SECOND);
    fleet.start(behind);
    fleet
}

fn is_promise(output: &ControllerOutput) -> bool {
    matches!(
        output,
        ControllerOutput::Send {
            message: Message::ConsensusMessage {
                message: ConsensusMessage::Promise { .. } | ConsensusMessage::Accepted { .. }
            },
            ..
        }
    )
}

#[test]
fn controller_that_is_behind_serves_no_reads_and_does_not_vote() {
    let mut fleet = fleet_with_lagging_controller(20, 2, FaultInjection::None);
    let mut steps = 0;
    let mut reads = Vec::new();
    loop {
        fleet.step();
        if fleet.is_up_to_date(2) {
            break;
        }
        steps += 1;
        reads.push(fleet.call(2, OperatorCall::Read));
        for ticket in &reads {
            let response = fleet.responses.get(ticket);
            let is_not_served =
                response.is_none_or(|response| *response == OperatorResponse::NotCurrent);
            assert!(is_not_served, "step {steps}: {response:?}");
        }
        let state = fleet.state(0);
        let round = 2_000_000 + steps;
        let node = state.node;
        let message = ConsensusMessage::Prepare {
            map: MapName::Configuration,
            membership: state.map(MapName::Membership).version,
            version: state.map(MapName::Configuration).version.next(),
            proposal_number: ProposalNumber {
                counter: round,
                node,
            },
        };
        let outputs = fleet.deliver_to(2, message);
        let is_write = |output: &ControllerOutput| matches!(output, ControllerOutput::Write { .. });
        let is_vote = |output: &ControllerOutput| is_promise(output) || is_write(output);
        assert!(!outputs.iter().any(is_vote), "step {steps}: {outputs:?}");
        fleet.carry_out(2, outputs);
    }
    assert!(
        steps > 100,
        "the controller was behind for only {steps} steps"
    );
    fleet.run(Duration::from_secs(2));
    let rejected = reads
        .iter()
        .filter(|ticket| fleet.responses.get(ticket) == Some(&OperatorResponse::NotCurrent))
        .count();
    assert!(
        rejected > 50,
        "only {rejected} of {steps} reads were rejected"
    );
    let unanswered = reads
        .iter()
        .filter(|ticket| !fleet.responses.contains_key(ticket))
        .count();
    assert_eq!(unanswered, 0, "reads without a response");
    let read = fleet.read(2);
    assert!(matches!(read, OperatorResponse::Configuration { .. }));
}

/// Returns whether a controller that is behind becomes leader. It is the first candidate for every role.
fn leads_while_behind(fault: FaultInjection) -> bool {
    let mut fleet = Fleet::founded(30);
    let entries = &fleet.state(0).voters().expect("it is founded").entries;
    assert_eq!(entries[0].address, address(0), "the first candidate");
    let image = fleet.nodes[0].image.clone();
    for number in 0..ROUTES / 50 {
        fleet.commit(routes_change(number * 50..(number + 1) * 50, ROUTES));
    }
    fleet.run(Duration::from_secs(2));
    fleet.stop(0);
    fleet.run(Duration::from_secs(8));
    // It restarts with its disk from before the changes, as if it had been down during all of them.
    fleet.nodes[0].image = image;
    fleet.nodes[0].fault = fault;
    fleet.limit_bandwidth(SLOW_LINK_BYTES_PER_SECOND);
    fleet.start(0);
    let mut led = false;
    let mut steps = 0;
    while fleet.state(0).map(MapName::Configuration) != fleet.state(1).map(MapName::Configuration) {
        fleet.step();
        steps += 1;
        assert!(steps < 4000, "the controller does not catch up");
        let node = fleet.state(0).node;
        let membership = fleet.state(1).map(MapName::Membership);
        let terms = LEADERSHIPS
            .iter()
            .filter_map(|name| membership.leadership(name));
        let is_behind = fleet.state(0).map(MapName::Configuration).version
            < fleet.state(1).map(MapName::Configuration).version;
        led |= is_behind && terms.into_iter().any(|term| term.leader == node);
    }
    assert!(
        steps > 160,
        "the controller was behind for only {steps} steps"
    );
    fleet.run(Duration::from_secs(8));
    let membership = fleet.state(1).map(MapName::Membership);
    let node = fleet.state(0).node;
    let term = membership.leadership(SOLVER).expect("a leader");
    assert_eq!(term.leader, node, "an up-to-date controller becomes leader");
    led
}

#[test]
fn controller_that_is_behind_does_not_become_leader() {
    assert!(!leads_while_behind(FaultInjection::None));
    assert!(
        leads_while_behind(FaultInjection::LeadsWhileBehind),
        "the injected fault was not detected"
    );
}

/// Runs until a controller has all maps in memory while its disk hangs. Returns whether it reported the maps
/// as synced in a quorum read.
fn reports_unsynced_snapshot(fault: FaultInjection) -> bool {
    let mut fleet = fleet_with_lagging_controller(40, 2, fault);
    fleet.nodes[2].disk_hangs = true;
    fleet.run_until_up_to_date(2);
    let highest = fleet.state(0).map(MapName::Configuration).version;
    let mut reported = false;
    for _ in 0..200 {
        fleet.step();
        let node = fleet.state(2).node;
        let synced = fleet.state(0).reported_synced_versions.get(&node);
        reported |=
            synced.is_some_and(|versions| versions[MapName::Configuration.index()] >= highest);
    }
    // After a power loss the unsynced snapshot is missing.
    fleet.stop(2);
    fleet.nodes[2].disk_hangs = false;
    fleet.start(2);
    assert!(fleet.state(2).map(MapName::Configuration).version < highest);
    fleet.run_until_up_to_date(2);
    fleet.run(Duration::from_secs(2));
    let node = fleet.state(2).node;
    let synced = &fleet.state(0).reported_synced_versions[&node];
    assert!(
        synced[MapName::Configuration.index()] >= highest,
        "the synced snapshot is not reported"
    );
    reported
}

#[test]
fn unsynced_snapshot_is_not_reported_as_synced() {
    assert!(!reports_unsynced_snapshot(FaultInjection::None));
    assert!(
        reports_unsynced_snapshot(FaultInjection::UnsyncedSnapshot),
        "the injected fault was not detected"
    );
}

/// Changes the host name of a route in a chunk.
fn corrupt_route(chunk: &mut SnapshotChunk) {
    let index = chunk.bytes.windows(5).position(|bytes| bytes == b"host-");
    if let Some(index) = index.filter(|_| chunk.offset > 0) {
        chunk.bytes[index] ^= 0x02;
    }
}

#[test]
fn corrupted_snapshot_is_rejected_and_fetched_again() {
    let mut fleet = fleet_with_lagging_controller(50, 2, FaultInjection::None);
    fleet.corruption = Some((2, corrupt_route));
    let before = fleet.state(2).map(MapName::Configuration).clone();
    fleet.run(Duration::from_secs(20));
    assert!(
        fleet.rejected.contains(&ChunkError::WrongDigest),
        "{:?}",
        fleet.rejected
    );
    assert_eq!(fleet.state(2).map(MapName::Configuration), &before);
    fleet.corruption = None;
    fleet.run_until_up_to_date(2);
    // Without the digest check, the controller accepts a corrupted map that differs from all others.
    let mut fleet = fleet_with_lagging_controller(50, 2, FaultInjection::UncheckedSnapshot);
    fleet.corruption = Some((2, corrupt_route));
    fleet.run(Duration::from_secs(20));
    let (corrupted, correct) = (fleet.state(2), fleet.state(0));
    let name = MapName::Configuration;
    assert_eq!(corrupted.map(name).version, correct.map(name).version);
    assert_ne!(corrupted.map(name), correct.map(name));
}
