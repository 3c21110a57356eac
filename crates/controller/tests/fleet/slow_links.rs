//! Followers behind a slow link, while the configuration changes ten times per second.
//!
//! An agent and a directory share the link of their machine. Each controller has one connection to each of
//! them, which preserves the order of messages; the link's bandwidth is shared among the busy connections.

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

/// Maximum number of messages queued on one connection, as in the runtime's connections.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Bandwidth of a machine's link, in bytes per second.
const LINK_BYTES_PER_SECOND: f64 = 300_000.0;
/// Bandwidth that remains while the link is congested by other traffic, in bytes per second.
const CONGESTED_BYTES_PER_SECOND: f64 = 20_000.0;
const ROUTES: u64 = 200;
const INSTANCES: u64 = 170;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
const ZONES: u64 = 4;

/// Returns the agent and the directory of one machine, without any state.
fn followers() -> [FollowerProcess; 2] {
    [
        FollowerProcess::new(0, Role::Proxy, MapName::Ownership),
        FollowerProcess::new(1, Role::Directory, MapName::Placement),
    ]
}

/// A message in transit, and how much of it is still to be transferred.
struct InTransit {
    envelope: Envelope,
    bytes_left: f64,
}

/// The link of one machine. Each connection from a controller to a process preserves the order of messages.
#[derive(Default)]
struct SlowLink {
    connections: BTreeMap<(SocketAddr, SocketAddr), VecDeque<InTransit>>,
    transferred_bytes: f64,
}

impl SlowLink {
    fn enqueue(&mut self, to: SocketAddr, envelope: Envelope) {
        let connection = self.connections.entry((envelope.reply_to, to)).or_default();
        if connection.len() < MAX_QUEUED_MESSAGES {
            let bytes = minicbor::to_vec(&envelope)
                .expect("the envelope encodes")
                .len();
            connection.push_back(InTransit {
                envelope,
                bytes_left: bytes as f64,
            });
        }
    }

    /// Transfers as many bytes as the rate allows in an interval. Returns the messages that arrived.
    fn transfer(&mut self, interval: Duration, rate: f64) -> Vec<(SocketAddr, Envelope)> {
        let mut budget = rate * interval.as_secs_f64();
        let mut arrived = Vec::new();
        while budget >= 1.0 {
            let busy = self
                .connections
                .values()
                .filter(|connection| !connection.is_empty())
                .count();
            if busy == 0 {
                break;
            }
            let share = budget / busy as f64;
            for ((_, to), connection) in &mut self.connections {
                let Some(first) = connection.front_mut() else {
                    continue;
                };
                let transferred = first.bytes_left.min(share);
                first.bytes_left -= transferred;
                budget -= transferred;
                self.transferred_bytes += transferred;
                if first.bytes_left < 0.5 {
                    arrived.extend(
                        connection
                            .pop_front()
                            .map(|message| (*to, message.envelope)),
                    );
                }
            }
        }
        arrived
    }
}

/// Controllers, and the two followers of one machine.
struct World {
    fleet: Fleet,
    followers: [FollowerProcess; 2],
    link: SlowLink,
    /// The link's present bandwidth, in bytes per second.
    bandwidth: f64,
    change_interval: Duration,
    next_change_at: Duration,
    next_heartbeats_at: Duration,
    changes: u64,
    heartbeats: u64,
    /// The number of routes among which the changes rotate. Those beyond the initial ones are added by changes.
    routes: u64,
}

impl World {
    /// Returns a fleet with routes and instances, and followers that are up to date.
    fn up_to_date(seed: u64) -> Self {
        let fleet = Fleet::founded(seed);
        let now = fleet.now;
        let mut world = Self {
            fleet,
            followers: followers(),
            link: SlowLink::default(),
            bandwidth: LINK_BYTES_PER_SECOND,
            change_interval: CHANGE_INTERVAL,
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
        assert!(world.lag() <= 5, "initially {} changes behind", world.lag());
        assert!(
            world.latest_version() > 40,
            "the changes are not accepted: {:?}",
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
            self.next_change_at += self.change_interval;
            self.change_one_route();
        }
        if now >= self.next_heartbeats_at {
            self.next_heartbeats_at = now + HEARTBEAT_INTERVAL;
            self.send_due_heartbeats();
        }
        for index in 0..self.followers.len() {
            let sent = self.followers[index].tick(now);
            self.send(sent);
        }
        for (to, envelope) in std::mem::take(&mut self.fleet.to_followers) {
            self.link.enqueue(to, envelope);
        }
        for (to, envelope) in self.link.transfer(STEP, self.bandwidth) {
            for index in 0..self.followers.len() {
                if self.followers[index].address == to {
                    let sent = self.followers[index].receive(now, &envelope);
                    self.send(sent);
                }
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.fleet.now + duration;
        while self.fleet.now < until {
            self.step();
        }
    }

    fn latest_version(&self) -> u64 {
        let machine = self.fleet.nodes[0]
            .machine
            .as_ref()
            .expect("the controller is running");
        machine.state.map(MapName::Configuration).version.0
    }

    /// Returns how many changes the slowest follower is behind.
    fn lag(&self) -> u64 {
        let versions = self.followers.iter().map(FollowerProcess::version);
        self.latest_version() - versions.min().expect("followers")
    }

    /// Restarts all machines after a power loss. Controllers keep their disks; followers lose their state.
    fn restart_all(&mut self) {
        for index in 0..3 {
            self.fleet.stop(index, false);
        }
        self.fleet.wire.clear();
        self.link.connections.clear();
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
        let has_lease = |follower: &FollowerProcess| now < follower.link.fresh_until();
        self.followers.iter().all(has_lease)
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

/// Returns a change of a route that is about as large as those that operators send.
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
        let mut world = World::up_to_date(seed);
        // Other traffic congests the link for a while, and delayed changes arrive in a burst.
        world.bandwidth = CONGESTED_BYTES_PER_SECOND;
        world.change_interval = CHANGE_INTERVAL / 4;
        world.run(Duration::from_secs(6));
        world.bandwidth = LINK_BYTES_PER_SECOND;
        world.change_interval = CHANGE_INTERVAL;
        world.run(Duration::from_secs(3));
        let lag = world.lag();
        assert!(lag <= 5, "seed {seed}: {lag} changes behind after 3 s");
        assert!(
            world.all_have_leases(),
            "seed {seed}: a follower has no lease"
        );
    }
}

#[test]
fn followers_catch_up_after_power_loss_of_all_controllers() {
    for seed in 1..4 {
        let mut world = World::up_to_date(seed);
        world.routes = 4 * ROUTES;
        world.change_interval = CHANGE_INTERVAL / 4;
        world.run(Duration::from_secs(20));
        world.change_interval = CHANGE_INTERVAL;
        world.restart_all();
        // Rejected clients reconnect, and their traffic takes most of the link.
        world.bandwidth = LINK_BYTES_PER_SECOND / 3.0;
        world.run(Duration::from_secs(6));
        let lag = world.lag();
        assert!(lag <= 5, "seed {seed}: {lag} changes behind after 6 s");
        assert!(
            world.all_have_leases(),
            "seed {seed}: a follower has no lease"
        );
    }
}
