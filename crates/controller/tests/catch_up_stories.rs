//! Stories of whole controllers that are behind: after thousands of changes, on slow ways.

mod support;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::controllers::{address, lay, policy, STEP};
use caperworks::catch_up::{ChunkError, SnapshotChunk, CHUNK_BYTES, SNAPSHOT_IDLE_TIMEOUT};
use caperworks::consensus::messages::{ConsensusMessage, ProposalNumber};
use caperworks::feed::HISTORY_WEIGHT;
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
/// Less than a deployment has, so that the log overflows several times.
const LOG_CAPACITY: u64 = 1024 * 1024;
/// What a way carries in the slow part of a story, and where a member is to be behind for long.
const WAY_BYTES_PER_SECOND: u64 = 2 * 1024 * 1024;
const SLOW_WAY_BYTES_PER_SECOND: u64 = 128 * 1024;
const WAY_DELAY: Duration = Duration::from_millis(10);

struct SimulatedNode {
    machine: Option<ControllerMachine>,
    image: DiskImage,
    broken: FaultInjection,
    /// Writes wait here while the disk hangs.
    disk_hangs: bool,
}

/// What is done to a piece on its way.
type Spoil = fn(&mut SnapshotChunk);

struct Carried {
    due: Duration,
    to: SocketAddr,
    envelope: Envelope,
}

/// What came to and from one place for catch-up.
#[derive(Debug, Default, Clone)]
struct Traffic {
    polls: u64,
    responses: u64,
    chunks: u64,
    full_maps: u64,
    bytes: u64,
    largest: usize,
}

impl Traffic {
    fn messages(&self) -> u64 {
        self.polls + self.responses + self.chunks + self.full_maps
    }

    fn count(&mut self, vote: &ConsensusMessage, bytes: usize) {
        match vote {
            ConsensusMessage::CatchUp { .. } => self.polls += 1,
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
    wire: VecDeque<Carried>,
    /// When the way from one place to another is free again; all are instant while none is slow.
    ways: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    /// What a way carries in a second, if that is bounded.
    way_rate: Option<u64>,
    responses: BTreeMap<u64, OperatorResponse>,
    tickets: u64,
    seeds_drawn: u64,
    /// What all sent each other for catch-up since it was last reset.
    traffic: Traffic,
    refused: Vec<ChunkError>,
    /// Changes pieces on their way to this place.
    spoils: Option<(usize, Spoil)>,
    largest_slot: usize,
    slots_written: u64,
}

impl Fleet {
    /// Three controllers that founded themselves, and a fourth place that is empty.
    fn founded(seed: u64) -> Self {
        let index = |_| SimulatedNode {
            machine: None,
            image: DiskImage::default(),
            broken: FaultInjection::None,
            disk_hangs: false,
        };
        let mut fleet = Self {
            nodes: (0..4).map(index).collect(),
            now: Duration::ZERO,
            wire: VecDeque::new(),
            ways: BTreeMap::new(),
            way_rate: None,
            responses: BTreeMap::new(),
            tickets: 0,
            seeds_drawn: seed * 1000,
            traffic: Traffic::default(),
            refused: Vec::new(),
            spoils: None,
            largest_slot: 0,
            slots_written: 0,
        };
        (0..3).for_each(|index| fleet.starts(index));
        fleet.runs(Duration::from_secs(8));
        fleet
    }

    fn starts(&mut self, index: usize) {
        self.seeds_drawn += 1;
        let seeds = (0..3).map(address).collect();
        let zone = Zone::new(format!("zone-{index}"));
        let options = ControllerOptions::new(address(index), zone, seeds)
            .disk_capacity(SLOT_CAPACITY, LOG_CAPACITY)
            .core(CorePolicy {
                may_found: index < 3,
                ..policy()
            })
            .inject(self.nodes[index].broken);
        let image = self.nodes[index].image.clone();
        let (machine, outputs) = ControllerMachine::start(options, &image, self.seeds_drawn);
        self.nodes[index].machine = Some(machine);
        self.acts(index, outputs);
    }

    fn stops(&mut self, index: usize) {
        self.nodes[index].machine = None;
        self.wire.retain(|carried| carried.to != address(index));
    }

    fn state(&self, index: usize) -> &ControllerState {
        &self.nodes[index].machine.as_ref().expect("it runs").state
    }

    fn acts(&mut self, index: usize, outputs: Vec<ControllerOutput>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            match output {
                ControllerOutput::Send { to, message } => self.sends(index, to, message),
                ControllerOutput::Write { ticket, writes } => {
                    if self.nodes[index].disk_hangs {
                        continue;
                    }
                    for write in &writes {
                        lay(&mut self.nodes[index].image, write);
                        if let DiskWrite::Slot { bytes, .. } = write {
                            self.largest_slot = self.largest_slot.max(bytes.len());
                            self.slots_written += 1;
                        }
                    }
                    outputs.extend(self.takes(index, ControllerInput::WriteSynced { ticket }));
                }
                ControllerOutput::Respond { ticket, response } => {
                    self.responses.insert(ticket, response);
                }
                ControllerOutput::LogEvent { event } => {
                    if let Event::ChunkRejected { why, .. } = event {
                        self.refused.push(why);
                    }
                }
                ControllerOutput::ShutdownComplete => {}
            }
        }
    }

    fn sends(&mut self, index: usize, to: SocketAddr, mut message: Message) {
        if let Message::ConsensusMessage { vote } = &mut message {
            if let (ConsensusMessage::Chunk { chunk }, Some((spoiled, change))) =
                (&mut *vote, self.spoils)
            {
                if to == address(spoiled) {
                    change(chunk);
                }
            }
        }
        let machine = self.nodes[index].machine.as_ref().expect("it runs");
        let envelope = machine.seal(to, message);
        let mut due = self.now;
        if let Some(rate) = self.way_rate {
            let bytes = minicbor::to_vec(&envelope).expect("it encodes").len();
            if let Message::ConsensusMessage { vote } = &envelope.message {
                self.traffic.count(vote, bytes);
            }
            let span = Duration::from_micros(bytes as u64 * 1_000_000 / rate);
            let free = self.ways.entry((address(index), to)).or_default();
            *free = (*free).max(self.now) + span;
            due = *free + WAY_DELAY;
        }
        self.wire.push_back(Carried { due, to, envelope });
    }

    fn takes(&mut self, index: usize, input: ControllerInput) -> Vec<ControllerOutput> {
        let now = self.now;
        let machine = self.nodes[index].machine.as_mut();
        machine.map_or_else(Vec::new, |machine| machine.input(now, input))
    }

    fn inputs(&mut self, index: usize, input: ControllerInput) {
        let outputs = self.takes(index, input);
        self.acts(index, outputs);
        self.carries();
    }

    /// Hands over all that is due by now.
    fn carries(&mut self) {
        while let Some(next) = self.wire.iter().position(|carried| carried.due <= self.now) {
            let Some(carried) = self.wire.remove(next) else {
                return;
            };
            let Some(index) = (0..4).find(|index| address(*index) == carried.to) else {
                continue;
            };
            let envelope = carried.envelope;
            let outputs = self.takes(index, ControllerInput::MessageReceived { envelope });
            self.acts(index, outputs);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.carries();
        for index in 0..4 {
            self.inputs(index, ControllerInput::Tick);
        }
    }

    fn runs(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn calls(&mut self, index: usize, call: OperatorCall) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        let received_at = self.now;
        self.inputs(
            index,
            ControllerInput::OperatorCall {
                ticket,
                call,
                received_at,
            },
        );
        ticket
    }

    /// Carries one message of the first controller to a place, and what follows from it.
    fn hands(&mut self, index: usize, vote: ConsensusMessage) -> Vec<ControllerOutput> {
        let machine = self.nodes[0].machine.as_ref().expect("it runs");
        let envelope = machine.seal(address(index), Message::ConsensusMessage { vote });
        self.takes(index, ControllerInput::MessageReceived { envelope })
    }

    /// Lets the first two controllers vote for and commit a change, as a proposer would have them.
    fn commits(&mut self, change: Change) {
        let (map, state) = (MapName::Configuration, self.state(0));
        let version = state.map(map).version.next();
        let membership = state.map(MapName::Membership).version;
        let round = 1_000_000;
        let node = state.node;
        let proposal_number = ProposalNumber { round, node };
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
        for vote in [prepare, accept, commit] {
            for index in 0..2 {
                let outputs = self.hands(index, vote.clone());
                self.acts(index, outputs);
                self.carries();
            }
        }
        assert_eq!(self.state(1).map(map).version, version);
    }

    fn reads(&mut self, index: usize) -> OperatorResponse {
        let ticket = self.calls(index, OperatorCall::Read);
        let until = self.now + Duration::from_secs(1);
        while !self.responses.contains_key(&ticket) && self.now < until {
            self.step();
        }
        self.responses.remove(&ticket).expect("it is answered")
    }

    fn is_level(&self, index: usize) -> bool {
        let state = self.state(index);
        ALL_MAPS
            .iter()
            .all(|name| state.map(*name) == self.state(0).map(*name))
    }

    /// Runs until a place has all maps; tells how long that took.
    fn runs_until_level(&mut self, index: usize) -> Duration {
        let began = self.now;
        while !self.is_level(index) {
            self.step();
            assert!(
                self.now - began < Duration::from_secs(60),
                "it never catches up"
            );
        }
        self.now - began
    }

    /// From now on ways are slow, and what goes over them for catch-up is counted.
    fn slows_down(&mut self, rate: u64) {
        self.way_rate = Some(rate);
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

/// The size of the largest map of a place, encoded.
fn map_bytes(fleet: &Fleet, index: usize) -> u64 {
    let map = fleet.state(index).map(MapName::Configuration);
    minicbor::to_vec(map).expect("it encodes").len() as u64
}

#[test]
fn given_ten_thousand_changes_over_six_thousand_routes_when_a_member_missed_them_then_all_stays_bounded(
) {
    let mut fleet = Fleet::founded(1);
    fleet.stops(2);
    let slots_before = fleet.slots_written;
    for number in 0..CHANGES {
        fleet.commits(routes_change(number..number + 1, ROUTES));
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
        assert!(history.weight() <= HISTORY_WEIGHT);
        let answered = state.map(MapName::Configuration).answered.len();
        assert!(answered <= REMEMBERED_CHANGES);
    }
    // Both places wrote their whole state more than once; what each item remembers of its versions
    // makes the map grow a little after the last of these.
    assert!(
        fleet.slots_written - slots_before >= 4,
        "the log overflowed"
    );
    assert!(fleet.largest_slot > full_map as usize * 3 / 4);
    assert!(fleet.largest_slot <= 2 * 1024 * 1024);
    assert!(fleet.slots_written < 60, "{} slots", fleet.slots_written);
    // A member that was down for all of it, on fast and slow ways, then one that is new and empty.
    let image = fleet.nodes[2].image.clone();
    for (index, rate, most_span) in [
        (2, WAY_BYTES_PER_SECOND, Duration::from_secs(2)),
        (2, SLOW_WAY_BYTES_PER_SECOND, Duration::from_secs(10)),
        (3, WAY_BYTES_PER_SECOND, Duration::from_secs(2)),
    ] {
        fleet.stops(index);
        if index == 2 {
            fleet.nodes[2].image = image.clone();
        }
        fleet.runs(SNAPSHOT_IDLE_TIMEOUT);
        fleet.slows_down(rate);
        fleet.starts(index);
        let span = fleet.runs_until_level(index);
        fleet.runs(Duration::from_secs(2));
        let traffic = fleet.traffic.clone();
        let messages = traffic.messages();
        println!("place {index} at {rate} bytes/s: level after {span:?}, {messages} messages, {traffic:?}");
        assert!(span < most_span, "{span:?}");
        assert_eq!(traffic.full_maps, 0);
        let chunks = full_map.div_ceil(CHUNK_BYTES as u64);
        assert!(traffic.chunks <= chunks + 4, "{traffic:?}");
        assert!(messages <= 2 * chunks + 12, "{traffic:?}");
        assert!(traffic.bytes <= full_map + full_map / 4, "{traffic:?}");
        assert!(traffic.largest <= CHUNK_BYTES + 512, "{traffic:?}");
        assert_eq!(fleet.state(index).catch_up.buffered_bytes(), 0);
    }
    fleet.runs(SNAPSHOT_IDLE_TIMEOUT);
    for index in 0..4 {
        assert_eq!(fleet.state(index).snapshots.buffered_bytes(), 0);
    }
}

/// A fleet in which one member missed many changes, and comes back over slow ways.
fn with_a_member_behind(seed: u64, behind: usize, broken: FaultInjection) -> Fleet {
    let mut fleet = Fleet::founded(seed);
    fleet.stops(behind);
    fleet.nodes[behind].broken = broken;
    fleet.runs(Duration::from_secs(8));
    for number in 0..ROUTES / 50 {
        fleet.commits(routes_change(number * 50..(number + 1) * 50, ROUTES));
    }
    fleet.slows_down(SLOW_WAY_BYTES_PER_SECOND);
    fleet.starts(behind);
    fleet
}

fn is_promise(output: &ControllerOutput) -> bool {
    matches!(
        output,
        ControllerOutput::Send {
            message: Message::ConsensusMessage {
                vote: ConsensusMessage::Promise { .. } | ConsensusMessage::Accepted { .. }
            },
            ..
        }
    )
}

#[test]
fn given_a_member_that_is_behind_when_asked_then_it_answers_no_read_and_gives_no_vote() {
    let mut fleet = with_a_member_behind(20, 2, FaultInjection::None);
    let mut steps = 0;
    let mut reads = Vec::new();
    loop {
        fleet.step();
        if fleet.is_level(2) {
            break;
        }
        steps += 1;
        reads.push(fleet.calls(2, OperatorCall::Read));
        for ticket in &reads {
            let response = fleet.responses.get(ticket);
            let is_refused =
                response.is_none_or(|response| *response == OperatorResponse::NotCurrent);
            assert!(is_refused, "step {steps}: {response:?}");
        }
        let state = fleet.state(0);
        let round = 2_000_000 + steps;
        let node = state.node;
        let vote = ConsensusMessage::Prepare {
            map: MapName::Configuration,
            membership: state.map(MapName::Membership).version,
            version: state.map(MapName::Configuration).version.next(),
            proposal_number: ProposalNumber { round, node },
        };
        let outputs = fleet.hands(2, vote);
        let writes = |output: &ControllerOutput| matches!(output, ControllerOutput::Write { .. });
        let voted = |output: &ControllerOutput| is_promise(output) || writes(output);
        assert!(!outputs.iter().any(voted), "step {steps}: {outputs:?}");
        fleet.acts(2, outputs);
    }
    assert!(steps > 100, "it was behind for {steps} steps");
    fleet.runs(Duration::from_secs(2));
    let refused = reads
        .iter()
        .filter(|ticket| fleet.responses.get(ticket) == Some(&OperatorResponse::NotCurrent))
        .count();
    assert!(refused > 50, "{refused} of {steps} reads were refused");
    let unanswered = reads
        .iter()
        .filter(|ticket| !fleet.responses.contains_key(ticket))
        .count();
    assert_eq!(unanswered, 0, "each read is answered in the end");
    let read = fleet.reads(2);
    assert!(matches!(read, OperatorResponse::Configuration { .. }));
}

/// Whether a member ever has a leadership role while it is behind; it is first in line for them.
fn leads_while_behind(broken: FaultInjection) -> bool {
    let mut fleet = Fleet::founded(30);
    let holders = &fleet.state(0).voters().expect("it is founded").holders;
    assert_eq!(holders[0].address, address(0), "who is first in line");
    let image = fleet.nodes[0].image.clone();
    for number in 0..ROUTES / 50 {
        fleet.commits(routes_change(number * 50..(number + 1) * 50, ROUTES));
    }
    fleet.runs(Duration::from_secs(2));
    fleet.stops(0);
    fleet.runs(Duration::from_secs(8));
    // It comes back with the disk of before the changes: as if it had been down for all of them.
    fleet.nodes[0].image = image;
    fleet.nodes[0].broken = broken;
    fleet.slows_down(SLOW_WAY_BYTES_PER_SECOND);
    fleet.starts(0);
    let mut led = false;
    let mut steps = 0;
    while fleet.state(0).map(MapName::Configuration) != fleet.state(1).map(MapName::Configuration) {
        fleet.step();
        steps += 1;
        assert!(steps < 4000, "it never catches up");
        let node = fleet.state(0).node;
        let membership = fleet.state(1).map(MapName::Membership);
        let terms = LEADERSHIPS
            .iter()
            .filter_map(|name| membership.leadership(name));
        let behind = fleet.state(0).map(MapName::Configuration).version
            < fleet.state(1).map(MapName::Configuration).version;
        led |= behind && terms.into_iter().any(|term| term.holder == node);
    }
    assert!(steps > 160, "it was behind for {steps} steps");
    fleet.runs(Duration::from_secs(8));
    let membership = fleet.state(1).map(MapName::Membership);
    let node = fleet.state(0).node;
    let term = membership.leadership(SOLVER).expect("someone leads");
    assert_eq!(term.holder, node, "once it is level, its turn comes");
    led
}

#[test]
fn given_the_first_in_line_when_it_is_behind_then_it_takes_no_leadership_role_until_it_is_level() {
    assert!(!leads_while_behind(FaultInjection::None));
    assert!(
        leads_while_behind(FaultInjection::LeadsWhileBehind),
        "the story sees a variant that does"
    );
}

/// Runs until the member has all maps in memory while its disk takes nothing; tells whether it
/// said to a round that it holds them.
fn tells_before_synced(broken: FaultInjection) -> bool {
    let mut fleet = with_a_member_behind(40, 2, broken);
    fleet.nodes[2].disk_hangs = true;
    fleet.runs_until_level(2);
    let highest = fleet.state(0).map(MapName::Configuration).version;
    let mut reported = false;
    for _ in 0..200 {
        fleet.step();
        let node = fleet.state(2).node;
        let heard = fleet.state(0).heard_versions.get(&node);
        reported |=
            heard.is_some_and(|versions| versions[MapName::Configuration.index()] >= highest);
    }
    // The power goes: what was never synced is not there.
    fleet.stops(2);
    fleet.nodes[2].disk_hangs = false;
    fleet.starts(2);
    assert!(fleet.state(2).map(MapName::Configuration).version < highest);
    fleet.runs_until_level(2);
    fleet.runs(Duration::from_secs(2));
    let node = fleet.state(2).node;
    let heard = &fleet.state(0).heard_versions[&node];
    assert!(
        heard[MapName::Configuration.index()] >= highest,
        "synced, it tells"
    );
    reported
}

#[test]
fn given_a_snapshot_that_was_taken_over_when_it_is_not_synced_then_no_round_hears_that_it_is_held()
{
    assert!(!tells_before_synced(FaultInjection::None));
    assert!(
        tells_before_synced(FaultInjection::UnsyncedSnapshot),
        "the story sees a variant that does"
    );
}

/// Turns one route of a piece into another.
fn spoil(chunk: &mut SnapshotChunk) {
    let index = chunk.bytes.windows(5).position(|bytes| bytes == b"host-");
    if let Some(index) = index.filter(|_| chunk.offset > 0) {
        chunk.bytes[index] ^= 0x02;
    }
}

#[test]
fn given_pieces_spoiled_on_their_way_when_the_whole_is_there_then_it_is_refused_and_fetched_anew() {
    let mut fleet = with_a_member_behind(50, 2, FaultInjection::None);
    fleet.spoils = Some((2, spoil));
    let before = fleet.state(2).map(MapName::Configuration).clone();
    fleet.runs(Duration::from_secs(20));
    assert!(
        fleet.refused.contains(&ChunkError::WrongDigest),
        "{:?}",
        fleet.refused
    );
    assert_eq!(fleet.state(2).map(MapName::Configuration), &before);
    fleet.spoils = None;
    fleet.runs_until_level(2);
    // The variant without the digest takes what nobody agreed on, and is level with nobody.
    let mut fleet = with_a_member_behind(50, 2, FaultInjection::UncheckedSnapshot);
    fleet.spoils = Some((2, spoil));
    fleet.runs(Duration::from_secs(20));
    let (spoiled, right) = (fleet.state(2), fleet.state(0));
    let name = MapName::Configuration;
    assert_eq!(spoiled.map(name).version, right.map(name).version);
    assert_ne!(spoiled.map(name), right.map(name));
}
