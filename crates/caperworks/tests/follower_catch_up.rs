//! Tests of followers that fetch a map in chunks because it is too large for a grant.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::catch_up::MAX_GRANT_UPDATE_BYTES;
use caperworks::catch_up::{
    CatchUpRequest, ChunkError, FollowerUpdate, SnapshotChunk, SnapshotSender, TransferPosition,
    CHUNK_BYTES,
};
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::consensus::voter::Voter;
use caperworks::facts::{Member, Role};
use caperworks::identifiers::{ChangeId, NodeId, ServiceName, Version, Zone};
use caperworks::link::CoreLink;
use caperworks::link::Responder;
use caperworks::map_items::{Route, Value};
use caperworks::messages::{Granted, Message, Renewal};
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

const MAP: MapName = MapName::Configuration;
/// A number of routes whose map takes several chunks.
const MANY: u64 = 4000;
/// A number of routes whose map is smaller than a chunk.
const FEW: u64 = 20;
const STEP: Duration = Duration::from_millis(50);
/// The size of an envelope and of the other fields of a chunk.
const FRAME_BYTES: usize = 200;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn address(controller: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + controller as u16))
}

fn routes(numbers: std::ops::Range<u64>) -> Change {
    let put = |number: u64| Put {
        key: format!("rule/{number}"),
        expected: None,
        value: Some(Value::Route {
            route: Route {
                host: format!("host-{number}.example"),
                path: format!("/{number}"),
                service: ServiceName::new("records"),
                ..Route::default()
            },
        }),
        written: None,
    };
    Change {
        id: ChangeId::new(format!("routes-{}", numbers.start)),
        puts: numbers.map(put).collect(),
        guards: Vec::new(),
    }
}

/// One controller, as seen by its followers.
struct Controller {
    voter: Voter,
    sender: SnapshotSender,
    is_reachable: bool,
}

impl Controller {
    /// Creates a controller with this many routes and a history that does not contain their change.
    fn with_routes(count: u64) -> Self {
        let mut voter = Voter::default();
        voter.handle(ConsensusMessage::Commit {
            map: MAP,
            version: Version(1),
            change: routes(0..count),
        });
        let replicas = voter.replicas().to_vec();
        Self {
            voter: Voter::restored(replicas),
            sender: SnapshotSender::default(),
            is_reachable: true,
        }
    }

    fn grant(&mut self, now: Duration, renewal: &Renewal) -> Granted {
        let held = renewal.member.versions[MAP.index()];
        let updates = self.sender.updates_for_follower(
            now,
            &self.voter,
            MAP,
            held,
            renewal.form,
            MAX_GRANT_UPDATE_BYTES,
        );
        let in_chunks = match updates {
            FollowerUpdate::InChunks => vec![MAP],
            _ => Vec::new(),
        };
        let more = matches!(updates, FollowerUpdate::Partial(_));
        let updates = match updates {
            FollowerUpdate::Inline(updates) | FollowerUpdate::Partial(updates) => vec![updates],
            _ => Vec::new(),
        };
        Granted {
            number: renewal.number,
            quorum_read_age: Duration::ZERO,
            versions: self.voter.highest_possible(),
            instances: Vec::new(),
            instances_offset: 0,
            members: Vec::new(),
            members_offset: 0,
            updates,
            has_quorum: true,
            deregistered: Vec::new(),
            proxies: 1,
            in_chunks,
            more,
            position: None,
            collecting_left: None,
        }
    }
}

/// A message in flight.
struct InFlight {
    due: Duration,
    /// The controller that sends or receives the message; the other end is the follower.
    controller: usize,
    to_follower: bool,
    message: Message,
}

/// One follower, its controllers, and the network between them, which has a delay.
struct World {
    now: Duration,
    link: CoreLink,
    controllers: Vec<Controller>,
    delay: Duration,
    in_flight: Vec<InFlight>,
    largest_response: usize,
    chunks: usize,
    rejected: Vec<ChunkError>,
    /// Corrupts the next chunk in flight.
    corrupt: Option<fn(&mut SnapshotChunk)>,
}

impl World {
    fn new(controllers: Vec<Controller>, delay: Duration) -> Self {
        let seeds = (0..controllers.len()).map(address).collect();
        Self {
            now: Duration::ZERO,
            link: CoreLink::new(NodeId(9), &[MAP], seeds, 0),
            controllers,
            delay,
            in_flight: Vec::new(),
            largest_response: 0,
            chunks: 0,
            rejected: Vec::new(),
            corrupt: None,
        }
    }

    fn member(&self) -> Member {
        Member {
            node: NodeId(9),
            counter: self.now.as_millis() as u64 + 1,
            role: Role::Proxy,
            zone: Zone::new("e1"),
            control: SocketAddr::from(([127, 0, 0, 1], 6500)),
            serving: SocketAddr::from(([127, 0, 0, 1], 6501)),
            ready: true,
            capacity: 1,
            demand: Vec::new(),
            versions: self.link.versions(),
            draining: false,
            client_zones: Vec::new(),
            demand_unchanged: false,
            suspected: false,
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        let controller = (0..self.controllers.len()).find(|index| address(*index) == to);
        let controller = controller.expect("the address belongs to a controller");
        self.in_flight.push(InFlight {
            due: self.now + self.delay,
            controller,
            to_follower: false,
            message,
        });
    }

    fn send_requests(&mut self, requests: impl IntoIterator<Item = CatchUpRequest>) {
        for request in requests {
            let message = request.message();
            self.send(request.to, Message::ConsensusMessage { message });
        }
    }

    fn send_response(&mut self, controller: usize, mut message: Message) {
        if let Message::ConsensusMessage {
            message: ConsensusMessage::Chunk { chunk },
        } = &mut message
        {
            self.chunks += 1;
            if let Some(corrupt) = self.corrupt.take() {
                corrupt(chunk);
            }
        }
        let bytes = minicbor::to_vec(&message)
            .expect("the message encodes")
            .len();
        self.largest_response = self.largest_response.max(bytes);
        self.in_flight.push(InFlight {
            due: self.now + self.delay,
            controller,
            to_follower: true,
            message,
        });
    }

    fn deliver_to_controller(&mut self, controller: usize, message: &Message) {
        let now = self.now;
        let index = &mut self.controllers[controller];
        if !index.is_reachable {
            return;
        }
        let response = match message {
            Message::Renew { renewal } => Message::Grant {
                granted: index.grant(now, renewal),
            },
            Message::ConsensusMessage {
                message:
                    ConsensusMessage::CatchUp {
                        map,
                        after,
                        position: Some(position),
                    },
            } => Message::ConsensusMessage {
                message: index
                    .sender
                    .respond(now, &index.voter, *map, *after, *position),
            },
            _ => return,
        };
        self.send_response(controller, response);
    }

    fn deliver_to_follower(&mut self, controller: usize, message: &Message) {
        match message {
            Message::Grant { granted } => {
                let from = address(controller);
                let responder = Responder {
                    address: from,
                    incarnation: NodeId(controller as u64),
                };
                self.link.handle_grant(self.now, responder, granted);
                let requests = self.link.fetch_in_chunks(self.now, from, granted);
                self.send_requests(requests);
            }
            Message::ConsensusMessage { message } => {
                let from = address(controller);
                let step = self.link.handle_catch_up(self.now, from, message);
                self.rejected
                    .extend(step.rejected.map(|rejected| rejected.error));
                self.send_requests(step.request);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (due, waiting): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message_in_flight| message_in_flight.due <= self.now);
        self.in_flight = waiting;
        for message_in_flight in due {
            match message_in_flight.to_follower {
                true => self
                    .deliver_to_follower(message_in_flight.controller, &message_in_flight.message),
                false => self.deliver_to_controller(
                    message_in_flight.controller,
                    &message_in_flight.message,
                ),
            }
        }
        let requests = self.link.tick_catch_up(self.now);
        self.send_requests(requests);
        if self.link.check_renewal_due(self.now) {
            let member = self.member();
            let (to, message) = self.link.renew(self.now, member);
            self.send(to, message);
        }
    }

    fn replica(&self) -> &ReplicatedMap {
        self.link.feed_cache.follower().map(MAP)
    }

    /// Runs until the follower has the same map as this controller; returns how long it took.
    fn run_until_caught_up(&mut self, controller: usize) -> Duration {
        let started_at = self.now;
        while self.replica() != self.controllers[controller].voter.map(MAP) {
            self.step();
            assert!(
                self.now - started_at < millis(60_000),
                "the follower does not catch up"
            );
        }
        self.now - started_at
    }
}

#[test]
fn follower_fetches_a_large_map_without_messages_above_the_chunk_size() {
    let mut world = World::new(vec![Controller::with_routes(MANY)], millis(50));
    world.run_until_caught_up(0);
    assert!(world.chunks >= 3, "{} chunks", world.chunks);
    assert!(world.largest_response <= CHUNK_BYTES + FRAME_BYTES);
    assert_eq!(world.controllers[0].sender.encodings(), 1);
    assert_eq!(world.rejected, []);
    // It has a valid lease soon after, because it requests a grant for its new version immediately.
    let caught_up_at = world.now;
    while world.link.fresh_until() <= world.now {
        world.step();
        assert!(
            world.now - caught_up_at < millis(1000),
            "the follower has no valid lease"
        );
    }
}

#[test]
fn follower_receives_a_small_map_with_the_grant() {
    let mut world = World::new(vec![Controller::with_routes(FEW)], millis(50));
    world.run_until_caught_up(0);
    assert_eq!(world.chunks, 0);
}

#[test]
fn follower_keeps_its_controller_during_a_transfer_over_a_slow_link() {
    // Two controllers, because a follower with only one has no other to switch to.
    let controllers = vec![Controller::with_routes(MANY), Controller::with_routes(MANY)];
    let mut world = World::new(controllers, millis(200));
    let first = world.link.controller();
    world.run_until_caught_up(0);
    assert!(
        world.now > millis(1600),
        "the transfer took only {:?}",
        world.now
    );
    assert_eq!(world.link.controller(), first);
}

#[test]
fn follower_continues_a_transfer_with_another_controller_after_a_failure() {
    let controllers = vec![Controller::with_routes(MANY), Controller::with_routes(MANY)];
    let mut world = World::new(controllers, millis(50));
    while world.chunks < 2 {
        world.step();
    }
    let current = world.link.controller();
    let failed = (0..2).find(|index| address(*index) == current);
    let failed = failed.expect("the address belongs to a controller");
    world.controllers[failed].is_reachable = false;
    world.run_until_caught_up(1 - failed);
    let bytes = minicbor::to_vec(world.replica())
        .expect("a map encodes")
        .len();
    // At most one more: the chunk that the failed controller did not send.
    let all = bytes.div_ceil(CHUNK_BYTES);
    assert!(
        world.chunks <= all + 1,
        "{} chunks instead of {all}: the transfer was restarted",
        world.chunks
    );
}

#[test]
fn follower_rejects_a_corrupted_chunk_and_still_completes_the_transfer() {
    let cut: fn(&mut SnapshotChunk) = |chunk| chunk.bytes.truncate(100);
    let wrong_offset: fn(&mut SnapshotChunk) = |chunk| chunk.offset += 1;
    let wrong_bit: fn(&mut SnapshotChunk) = |chunk| chunk.bytes[5] ^= 1;
    for corrupt in [cut, wrong_offset, wrong_bit] {
        let mut world = World::new(vec![Controller::with_routes(MANY)], millis(50));
        world.corrupt = Some(corrupt);
        world.run_until_caught_up(0);
        assert_eq!(world.rejected.len(), 1, "{:?}", world.rejected);
    }
}

#[test]
fn follower_rejects_a_chunk_that_it_did_not_request() {
    let mut world = World::new(vec![Controller::with_routes(MANY)], millis(50));
    world.run_until_caught_up(0);
    let before = world.replica().version;
    let controller = &mut world.controllers[0];
    let position = TransferPosition {
        transfer: 1,
        ..TransferPosition::default()
    };
    let message =
        controller
            .sender
            .respond(world.now, &controller.voter, MAP, Version(0), position);
    let step = world.link.handle_catch_up(world.now, address(0), &message);
    let error = step.rejected.map(|rejected| rejected.error);
    assert_eq!(error, Some(ChunkError::NotRequested));
    assert_eq!(world.replica().version, before);
}

#[test]
fn follower_leaves_a_controller_that_does_not_have_the_versions_it_grants() {
    let wants = [MAP, MapName::Ownership];
    let seeds = vec![address(0), address(1)];
    let mut link = CoreLink::new(NodeId(9), &wants, seeds, 0);
    let first = link.controller();
    let mut now = Duration::ZERO;
    let mut ownership = 0;
    while link.controller() == first {
        now += STEP;
        assert!(
            now < millis(1500),
            "the follower stays with a controller that is behind"
        );
        if !link.check_renewal_due(now) || link.controller() != first {
            continue;
        }
        let world = World::new(vec![Controller::with_routes(FEW)], STEP);
        let (to, message) = link.renew(now, world.member());
        let Message::Renew { renewal } = message else {
            panic!("{message:?}");
        };
        let mut controller = Controller::with_routes(FEW);
        let mut granted = controller.grant(now, &renewal);
        ownership += 1;
        granted.versions = vec![Version(7), Version(0), Version(ownership), Version(0)];
        granted.updates = vec![ConsensusMessage::Updates {
            map: MapName::Ownership,
            changes: vec![CommittedChange {
                version: Version(ownership),
                change: routes(0..1),
            }],
        }];
        granted.in_chunks.clear();
        let responder = Responder {
            address: to,
            incarnation: NodeId(0),
        };
        link.handle_grant(now, responder, &granted);
    }
}
