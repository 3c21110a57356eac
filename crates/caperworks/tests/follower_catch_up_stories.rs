//! Stories of followers that lack a map which is too large for a grant: they fetch it in pieces.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::catch_up::GRANT_UPDATE_BYTES;
use caperworks::catch_up::{
    CatchUpRequest, ChunkError, FollowerUpdate, SnapshotChunk, SnapshotSender, TransferPosition,
    CHUNK_BYTES,
};
use caperworks::consensus::messages::{ConsensusMessage, NumberedChange};
use caperworks::consensus::voter::Voter;
use caperworks::facts::{Member, Role};
use caperworks::identifiers::{ChangeId, NodeId, ServiceName, Version, Zone};
use caperworks::link::CoreLink;
use caperworks::link::Responder;
use caperworks::map_items::{Route, Value};
use caperworks::messages::{Granted, Message, Renewal};
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

const MAP: MapName = MapName::Configuration;
/// Many routes: a map of several pieces.
const MANY: u64 = 4000;
/// Few routes: a map of less than a piece.
const FEW: u64 = 20;
const STEP: Duration = Duration::from_millis(50);
/// What an envelope and a piece's own fields take beside its bytes.
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

/// One controller, as far as its followers see it.
struct Controller {
    voter: Voter,
    sender: SnapshotSender,
    hears: bool,
}

impl Controller {
    /// With so many routes, and a history that does not reach back to them.
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
            hears: true,
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
            GRANT_UPDATE_BYTES,
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
            assured: true,
            gone: Vec::new(),
            proxies: 1,
            in_chunks,
            more,
        }
    }
}

/// A message on its way.
struct Carried {
    due: Duration,
    /// From this controller to the follower, or from the follower to this controller.
    controller: usize,
    to_follower: bool,
    message: Message,
}

/// One follower, its controllers, and ways between them that take a while.
struct World {
    now: Duration,
    link: CoreLink,
    controllers: Vec<Controller>,
    way: Duration,
    wire: Vec<Carried>,
    largest_response: usize,
    chunks: usize,
    refused: Vec<ChunkError>,
    /// Changes the next piece on its way.
    spoil: Option<fn(&mut SnapshotChunk)>,
}

impl World {
    fn new(controllers: Vec<Controller>, way: Duration) -> Self {
        let seeds = (0..controllers.len()).map(address).collect();
        Self {
            now: Duration::ZERO,
            link: CoreLink::new(NodeId(9), &[MAP], seeds, 0),
            controllers,
            way,
            wire: Vec::new(),
            largest_response: 0,
            chunks: 0,
            refused: Vec::new(),
            spoil: None,
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
            stands: Vec::new(),
            same_demand: false,
            silent: false,
        }
    }

    fn sends(&mut self, to: SocketAddr, message: Message) {
        let controller = (0..self.controllers.len()).find(|index| address(*index) == to);
        let controller = controller.expect("it is one of the controllers");
        self.wire.push(Carried {
            due: self.now + self.way,
            controller,
            to_follower: false,
            message,
        });
    }

    fn asks(&mut self, requests: impl IntoIterator<Item = CatchUpRequest>) {
        for request in requests {
            let vote = request.message();
            self.sends(request.to, Message::ConsensusMessage { vote });
        }
    }

    fn responses(&mut self, controller: usize, mut message: Message) {
        if let Message::ConsensusMessage {
            vote: ConsensusMessage::Chunk { chunk },
        } = &mut message
        {
            self.chunks += 1;
            if let Some(spoil) = self.spoil.take() {
                spoil(chunk);
            }
        }
        let bytes = minicbor::to_vec(&message).expect("it encodes").len();
        self.largest_response = self.largest_response.max(bytes);
        self.wire.push(Carried {
            due: self.now + self.way,
            controller,
            to_follower: true,
            message,
        });
    }

    fn reaches_controller(&mut self, controller: usize, message: &Message) {
        let now = self.now;
        let index = &mut self.controllers[controller];
        if !index.hears {
            return;
        }
        let response = match message {
            Message::Renew { renewal } => Message::Grant {
                granted: index.grant(now, renewal),
            },
            Message::ConsensusMessage {
                vote:
                    ConsensusMessage::CatchUp {
                        map,
                        after,
                        position: Some(position),
                    },
            } => Message::ConsensusMessage {
                vote: index
                    .sender
                    .respond(now, &index.voter, *map, *after, *position),
            },
            _ => return,
        };
        self.responses(controller, response);
    }

    fn reaches_follower(&mut self, controller: usize, message: &Message) {
        match message {
            Message::Grant { granted } => {
                let from = address(controller);
                let responder = Responder {
                    address: from,
                    incarnation: NodeId(controller as u64),
                };
                self.link.granted(self.now, responder, granted);
                let requests = self.link.fetch_in_chunks(self.now, from, granted);
                self.asks(requests);
            }
            Message::ConsensusMessage { vote } => {
                let from = address(controller);
                let step = self.link.handle_catch_up(self.now, from, vote);
                self.refused.extend(step.refused.map(|refused| refused.why));
                self.asks(step.request);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (due, waiting): (Vec<Carried>, Vec<Carried>) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|carried| carried.due <= self.now);
        self.wire = waiting;
        for carried in due {
            match carried.to_follower {
                true => self.reaches_follower(carried.controller, &carried.message),
                false => self.reaches_controller(carried.controller, &carried.message),
            }
        }
        let requests = self.link.tick_catch_up(self.now);
        self.asks(requests);
        if self.link.due(self.now) {
            let member = self.member();
            let (to, message) = self.link.renew(self.now, member);
            self.sends(to, message);
        }
    }

    fn held(&self) -> &ReplicatedMap {
        self.link.feed_cache.follower().map(MAP)
    }

    /// Runs until the follower holds what this controller holds; tells how long that took.
    fn runs_until_level(&mut self, controller: usize) -> Duration {
        let began = self.now;
        while self.held() != self.controllers[controller].voter.map(MAP) {
            self.step();
            assert!(self.now - began < millis(60_000), "it never gets level");
        }
        self.now - began
    }
}

#[test]
fn given_a_map_of_many_routes_when_a_follower_lacks_it_then_no_message_is_larger_than_a_piece() {
    let mut world = World::new(vec![Controller::with_routes(MANY)], millis(50));
    world.runs_until_level(0);
    assert!(world.chunks >= 3, "{} pieces", world.chunks);
    assert!(world.largest_response <= CHUNK_BYTES + FRAME_BYTES);
    assert_eq!(world.controllers[0].sender.encodings(), 1);
    assert_eq!(world.refused, []);
    // Its lease lives soon after, for a grant that names what it holds is asked for at once.
    let held_at = world.now;
    while world.link.fresh_until() <= world.now {
        world.step();
        assert!(world.now - held_at < millis(1000), "it is not fresh");
    }
}

#[test]
fn given_a_map_of_few_routes_when_a_follower_lacks_it_then_it_comes_with_the_grant() {
    let mut world = World::new(vec![Controller::with_routes(FEW)], millis(50));
    world.runs_until_level(0);
    assert_eq!(world.chunks, 0);
}

#[test]
fn given_a_slow_way_when_pieces_come_one_by_one_then_the_follower_stays_with_its_controller() {
    // Why two: a follower with one controller has no other to turn to.
    let controllers = vec![Controller::with_routes(MANY), Controller::with_routes(MANY)];
    let mut world = World::new(controllers, millis(200));
    let first = world.link.controller();
    world.runs_until_level(0);
    assert!(world.now > millis(1600), "it took only {:?}", world.now);
    assert_eq!(world.link.controller(), first);
}

#[test]
fn given_a_controller_that_falls_silent_midway_when_another_has_the_version_then_it_goes_on_there()
{
    let controllers = vec![Controller::with_routes(MANY), Controller::with_routes(MANY)];
    let mut world = World::new(controllers, millis(50));
    while world.chunks < 2 {
        world.step();
    }
    let asked = world.link.controller();
    let silent = (0..2).find(|index| address(*index) == asked);
    let silent = silent.expect("it is one of them");
    world.controllers[silent].hears = false;
    world.runs_until_level(1 - silent);
    let bytes = minicbor::to_vec(world.held()).expect("it encodes").len();
    // One more at most: the piece that the silent one did not send any more.
    let all = bytes.div_ceil(CHUNK_BYTES);
    assert!(
        world.chunks <= all + 1,
        "{} pieces of {all}: it began anew",
        world.chunks
    );
}

#[test]
fn given_a_piece_that_is_spoiled_on_its_way_when_it_comes_then_it_is_refused_and_all_comes_anew() {
    let cut: fn(&mut SnapshotChunk) = |chunk| chunk.bytes.truncate(100);
    let wrong_offset: fn(&mut SnapshotChunk) = |chunk| chunk.offset += 1;
    let wrong_bit: fn(&mut SnapshotChunk) = |chunk| chunk.bytes[5] ^= 1;
    for spoil in [cut, wrong_offset, wrong_bit] {
        let mut world = World::new(vec![Controller::with_routes(MANY)], millis(50));
        world.spoil = Some(spoil);
        world.runs_until_level(0);
        assert_eq!(world.refused.len(), 1, "{:?}", world.refused);
    }
}

#[test]
fn given_a_follower_that_no_longer_asks_when_a_piece_comes_then_it_is_refused() {
    let mut world = World::new(vec![Controller::with_routes(MANY)], millis(50));
    world.runs_until_level(0);
    let before = world.held().version;
    let controller = &mut world.controllers[0];
    let position = TransferPosition {
        transfer: 1,
        ..TransferPosition::default()
    };
    let vote = controller
        .sender
        .respond(world.now, &controller.voter, MAP, Version(0), position);
    let step = world.link.handle_catch_up(world.now, address(0), &vote);
    let why = step.refused.map(|refused| refused.why);
    assert_eq!(why, Some(ChunkError::NotRequested));
    assert_eq!(world.held().version, before);
}

#[test]
fn given_a_controller_that_lacks_what_its_grants_name_when_other_maps_move_on_then_it_is_left() {
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
            "it stays with a controller that is behind"
        );
        if !link.due(now) || link.controller() != first {
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
            changes: vec![NumberedChange {
                version: Version(ownership),
                change: routes(0..1),
            }],
        }];
        granted.in_chunks.clear();
        let responder = Responder {
            address: to,
            incarnation: NodeId(0),
        };
        link.granted(now, responder, &granted);
    }
}
