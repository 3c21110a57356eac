//! Stories of followers whose machine has a slow link, while the configuration changes ten times a second.
//!
//! An agent and a directory share the machine's link. Each controller has one way to each of them, on which
//! messages keep their order; the link's rate is shared among the ways that have something to carry.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{apply, heartbeat, service, service_put, Fleet};
use crate::follower::FollowerProcess;
use crate::support::controllers::STEP;
use caperworks::facts::Role;
use caperworks::identifiers::{Region, ServiceName};
use caperworks::map_items::{Route, Value, ZoneSettings};
use caperworks::messages::Envelope;
use caperworks::replicated_map::{MapName, Put, Written};

/// As many messages wait on one way to a process, as in the runtime's connections.
const MOST_WAITING: usize = 512;
/// What a machine's link carries, in bytes a second.
const LINK_RATE: f64 = 300_000.0;
/// What is left of it while other traffic takes the rest.
const LEFT_RATE: f64 = 20_000.0;
const ROUTES: u64 = 200;
const INSTANCES: u64 = 170;
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1500);
const CHANGE_PERIOD: Duration = Duration::from_millis(100);
const ZONES: u64 = 4;

/// The agent and the directory of one machine, which hold nothing yet.
fn followers() -> [FollowerProcess; 2] {
    [
        FollowerProcess::new(0, Role::Proxy, MapName::Ownership),
        FollowerProcess::new(1, Role::Directory, MapName::Placement),
    ]
}

/// A message on its way, and how much of it is still to be carried.
struct Carried {
    envelope: Envelope,
    bytes_left: f64,
}

/// One machine's link: each way from a controller to a process keeps its order.
#[derive(Default)]
struct SlowLink {
    ways: BTreeMap<(SocketAddr, SocketAddr), VecDeque<Carried>>,
    carried_bytes: f64,
}

impl SlowLink {
    fn enqueue(&mut self, to: SocketAddr, envelope: Envelope) {
        let way = self.ways.entry((envelope.reply_to, to)).or_default();
        if way.len() < MOST_WAITING {
            let bytes = minicbor::to_vec(&envelope).expect("it encodes").len();
            way.push_back(Carried {
                envelope,
                bytes_left: bytes as f64,
            });
        }
    }

    /// Carries what fits into a span; gives what has arrived.
    fn transfer(&mut self, span: Duration, rate: f64) -> Vec<(SocketAddr, Envelope)> {
        let mut budget = rate * span.as_secs_f64();
        let mut arrived = Vec::new();
        while budget >= 1.0 {
            let busy = self.ways.values().filter(|way| !way.is_empty()).count();
            if busy == 0 {
                break;
            }
            let share = budget / busy as f64;
            for ((_, to), way) in &mut self.ways {
                let Some(first) = way.front_mut() else {
                    continue;
                };
                let carried = first.bytes_left.min(share);
                first.bytes_left -= carried;
                budget -= carried;
                self.carried_bytes += carried;
                if first.bytes_left < 0.5 {
                    arrived.extend(way.pop_front().map(|carried| (*to, carried.envelope)));
                }
            }
        }
        arrived
    }
}

/// Controllers, and the two processes of one machine that follow them.
struct World {
    fleet: Fleet,
    followers: [FollowerProcess; 2],
    link: SlowLink,
    rate: f64,
    change_period: Duration,
    next_change_at: Duration,
    next_heartbeats_at: Duration,
    changes: u64,
    heartbeats: u64,
    /// Over so many routes the changes go; those beyond the first are added by them.
    routes: u64,
}

impl World {
    /// A fleet with routes, instances, and followers that hold all of it.
    fn level(seed: u64) -> Self {
        let fleet = Fleet::founded(seed);
        let now = fleet.now;
        let mut world = Self {
            fleet,
            followers: followers(),
            link: SlowLink::default(),
            rate: LINK_RATE,
            change_period: CHANGE_PERIOD,
            next_change_at: Duration::MAX,
            next_heartbeats_at: now,
            changes: 0,
            heartbeats: 0,
            routes: ROUTES,
        };
        let mut puts: Vec<Put> = (0..ROUTES).map(|number| route_put(number, 1)).collect();
        puts.extend((0..ZONES).map(zone_put));
        puts.push(service_put("records", 1, Some(service())));
        world.fleet.call(0, apply("first", puts));
        world.run(Duration::from_secs(5));
        world.next_change_at = world.fleet.now;
        world.run(Duration::from_secs(5));
        assert!(world.lag() <= 5, "{} behind at first", world.lag());
        assert!(
            world.latest_version() > 40,
            "the changes are not taken: {:?}",
            world.fleet.responses.values().next()
        );
        world
    }

    fn change_one_route(&mut self) {
        self.changes += 1;
        let number = self.changes;
        let mut puts: Vec<Put> = (0..ZONES).map(zone_put).collect();
        puts.push(route_put(number % self.routes, 1 + number));
        let call = apply(&format!("change-{number}"), puts);
        let index = (number % 3) as usize;
        self.fleet.call(index, call);
    }

    fn send_due_heartbeats(&mut self) {
        self.heartbeats += 1;
        for number in 0..INSTANCES {
            let mut beat = heartbeat(&format!("instance-{number}"), self.heartbeats);
            beat.address = SocketAddr::from(([127, 0, 0, 2], 8000 + number as u16));
            self.fleet.send_heartbeat((number % 3) as usize, beat);
        }
    }

    fn send(&mut self, sent: Vec<(SocketAddr, Envelope)>) {
        self.fleet.wire.extend(sent);
        self.fleet.deliver();
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        let now = self.fleet.now;
        if now >= self.next_change_at {
            self.next_change_at += self.change_period;
            self.change_one_route();
        }
        if now >= self.next_heartbeats_at {
            self.next_heartbeats_at = now + HEARTBEAT_PERIOD;
            self.send_due_heartbeats();
        }
        for index in 0..self.followers.len() {
            let sent = self.followers[index].tick(now);
            self.send(sent);
        }
        for (to, envelope) in std::mem::take(&mut self.fleet.to_followers) {
            self.link.enqueue(to, envelope);
        }
        for (to, envelope) in self.link.transfer(STEP, self.rate) {
            for index in 0..self.followers.len() {
                if self.followers[index].address == to {
                    let sent = self.followers[index].receive(now, &envelope);
                    self.send(sent);
                }
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let until = self.fleet.now + span;
        while self.fleet.now < until {
            self.step();
        }
    }

    fn latest_version(&self) -> u64 {
        let machine = self.fleet.nodes[0].machine.as_ref().expect("it runs");
        machine.state.map(MapName::Configuration).version.0
    }

    /// How many changes the follower that is furthest behind lacks.
    fn lag(&self) -> u64 {
        let held = self.followers.iter().map(FollowerProcess::version);
        self.latest_version() - held.min().expect("there are some")
    }

    /// All machines lose power, and return with what lay on their disks.
    fn restart_all(&mut self) {
        for index in 0..3 {
            self.fleet.stop(index, false);
        }
        self.fleet.wire.clear();
        self.link.ways.clear();
        self.fleet.now += Duration::from_secs(1);
        for index in 0..3 {
            self.fleet.start(index);
        }
        self.followers = followers();
        self.next_change_at = self.fleet.now + Duration::from_secs(1);
        self.next_heartbeats_at = self.fleet.now;
    }

    fn all_have_leases(&self) -> bool {
        let now = self.fleet.now;
        let is_fresh = |follower: &FollowerProcess| now < follower.link.fresh_until();
        self.followers.iter().all(is_fresh)
    }
}

fn zone_put(number: u64) -> Put {
    Put {
        key: format!("area/zone-{number}"),
        expected: None,
        value: Some(Value::Zone {
            zone: ZoneSettings {
                region: Region::new("east"),
                closed: false,
            },
        }),
        written: Some(Written {
            version: 0,
            text: String::new(),
        }),
    }
}

/// A route in about as many bytes as operators write.
fn route_put(number: u64, version: u64) -> Put {
    let service = ServiceName::new("records");
    Put {
        key: format!("rule/route-{number}"),
        expected: None,
        value: Some(Value::Route {
            route: Route {
                host: "records.example".to_string(),
                path: format!("/path-{number}/"),
                service,
                deadline: Duration::from_secs(2),
                body_limit: u64::MAX,
                key_header: Some("key".to_string()),
                ..Route::default()
            },
        }),
        written: Some(Written {
            version,
            text: format!("{:400}", format!("route {number} at {version}")),
        }),
    }
}

#[test]
fn followers_catch_up_after_link_congestion() {
    for seed in 1..4 {
        let mut world = World::level(seed);
        // Other traffic takes the link for a while, and changes that had to wait come all at once.
        world.rate = LEFT_RATE;
        world.change_period = CHANGE_PERIOD / 4;
        world.run(Duration::from_secs(6));
        world.rate = LINK_RATE;
        world.change_period = CHANGE_PERIOD;
        world.run(Duration::from_secs(3));
        let behind = world.lag();
        assert!(
            behind <= 5,
            "seed {seed}: {behind} changes behind after 3 s"
        );
        assert!(
            world.all_have_leases(),
            "seed {seed}: a follower has no lease"
        );
    }
}

#[test]
fn followers_catch_up_after_power_loss_of_all_controllers() {
    for seed in 1..4 {
        let mut world = World::level(seed);
        world.routes = 4 * ROUTES;
        world.change_period = CHANGE_PERIOD / 4;
        world.run(Duration::from_secs(20));
        world.change_period = CHANGE_PERIOD;
        world.restart_all();
        // Clients that were turned away come back, and take most of the link.
        world.rate = LINK_RATE / 3.0;
        world.run(Duration::from_secs(6));
        let behind = world.lag();
        assert!(
            behind <= 5,
            "seed {seed}: {behind} changes behind after 6 s"
        );
        assert!(
            world.all_have_leases(),
            "seed {seed}: a follower has no lease"
        );
    }
}
