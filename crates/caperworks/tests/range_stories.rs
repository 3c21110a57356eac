//! Stories of keys in ranges, handovers, releases, and how long a hold may bind.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::facts::{HeardHeartbeat, Heartbeat, InstanceState};
use caperworks::identifiers::{
    steady_hash, Chance, ChangeId, Epoch, Incarnation, InstanceId, ServiceName, Zone,
};
use caperworks::instances::Instances;
use caperworks::map_items::{KeyRangeOwner, KeySpace, Service, Value, KEY_COUNT};
use caperworks::ownership::{
    HeartbeatResponse, LetGo, OwnerManager, OwnerManagerSpans, OwnershipView, KEY_RANGE_LEASE_SPAN,
    OWNER_MANAGER_WAIT,
};
use caperworks::replicated_map::{Change, Put, ReplicatedMap};

const SERVICE: &str = "evidence";

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn range_service(key_ranges: u32) -> Service {
    Service {
        keyed: true,
        key_ranges,
        key_space: KeySpace::Ranges,
        ..Service::default()
    }
}

#[test]
fn given_every_key_when_its_key_range_is_asked_then_exactly_the_key_range_whose_range_holds_it() {
    for key_ranges in [1, 2, 3, 7, 64, 100, 1000, 1024] {
        let service = range_service(key_ranges);
        let mut next = 0;
        for key_range in 0..key_ranges {
            let (first, last) = service.key_bounds(key_range);
            assert_eq!(
                first, next,
                "key range {key_range} of {key_ranges}: no gap, no overlap"
            );
            assert!(
                last >= first,
                "key range {key_range} of {key_ranges} has keys"
            );
            for key in first..=last {
                assert_eq!(
                    service.key_range_of(&key.to_string()),
                    Some(key_range),
                    "{key}"
                );
            }
            next = last + 1;
        }
        assert_eq!(
            u64::from(next),
            KEY_COUNT,
            "{key_ranges} slices hold all keys"
        );
    }
}

#[test]
fn given_what_is_no_key_when_its_key_range_is_asked_then_it_has_none() {
    let service = range_service(64);
    for text in [
        "",
        " ",
        "65536",
        "-1",
        "1.0",
        "0x10",
        "a",
        "70000000000000000000",
    ] {
        assert_eq!(service.key_range_of(text), None, "{text:?}");
    }
}

/// Instances on the operators' platform: no life's number, no epochs in what they let go of.
struct Instance {
    zone: &'static str,
    state: InstanceState,
    counter: u64,
    held_key_ranges: BTreeSet<u32>,
    /// When it was last told to hold, by key range, and the handover it got.
    reported: BTreeMap<u32, (Duration, Option<String>)>,
    /// Told in each heartbeat until the key range is its own again.
    let_go: BTreeMap<u32, String>,
    /// Whether it lets go of what it is told to.
    obeys: bool,
}

struct Bench {
    owner_manager: OwnerManager,
    instances: Instances,
    ownership: ReplicatedMap,
    service: Service,
    closed: BTreeSet<Zone>,
    changes: u32,
    known: BTreeMap<String, Instance>,
}

impl Bench {
    fn new(key_ranges: u32) -> Self {
        let mut owner_manager = OwnerManager::default();
        owner_manager.take_up(Duration::ZERO, false);
        Self {
            owner_manager,
            instances: Instances::default(),
            ownership: ReplicatedMap::empty(),
            service: range_service(key_ranges),
            closed: BTreeSet::new(),
            changes: 0,
            known: BTreeMap::new(),
        }
    }

    fn instance(&mut self, name: &str) -> &mut Instance {
        self.known.entry(name.to_string()).or_insert(Instance {
            zone: "east-1",
            state: InstanceState::Serving,
            counter: 0,
            held_key_ranges: BTreeSet::new(),
            reported: BTreeMap::new(),
            let_go: BTreeMap::new(),
            obeys: true,
        })
    }

    fn heartbeat_of(&mut self, name: &str) -> Heartbeat {
        let port = 7000 + (steady_hash(name) % 1000) as u16;
        let instance = self.instance(name);
        instance.counter += 1;
        Heartbeat {
            id: InstanceId::new(name),
            incarnation: Incarnation(0),
            counter: instance.counter,
            service: ServiceName::new(SERVICE),
            zone: Zone::new(instance.zone),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            capacity: 10,
            state: instance.state,
            load: 0,
            up: Duration::MAX,
            held_key_ranges: instance.held_key_ranges.iter().copied().collect(),
            let_go: instance
                .let_go
                .iter()
                .map(|(key_range, handover)| LetGo {
                    key_range: *key_range,
                    epoch: None,
                    handover: Some(handover.clone()),
                })
                .collect(),
            warm_up_left: Duration::ZERO,
        }
    }

    /// The heartbeat comes to the owner manager; its answer is not taken in.
    fn hears(&mut self, now: Duration, heartbeat: &Heartbeat) -> HeartbeatResponse {
        let heard = HeardHeartbeat {
            heartbeat: heartbeat.clone(),
            age: Duration::ZERO,
        };
        self.instances.handle(now, &heard);
        self.owner_manager
            .heartbeat(now, heartbeat, &self.ownership)
    }

    fn heartbeats(&mut self, now: Duration, name: &str) -> HeartbeatResponse {
        let heartbeat = self.heartbeat_of(name);
        let response = self.hears(now, &heartbeat);
        let instance = self.instance(name);
        let named: BTreeSet<u32> = response
            .leases
            .iter()
            .map(|lease| lease.key_range)
            .collect();
        for lease in &response.leases {
            instance.let_go.remove(&lease.key_range);
            instance
                .reported
                .insert(lease.key_range, (now, lease.handover.clone()));
        }
        if instance.obeys {
            // Why so: the owner manager itself answered, and what it does not name is not to be held.
            for key_range in instance.held_key_ranges.difference(&named) {
                let handover = format!("from {name} of {key_range}");
                instance.let_go.insert(*key_range, handover);
            }
            instance.held_key_ranges = named;
        } else {
            instance.held_key_ranges.extend(named);
        }
        response
    }

    fn plans(&mut self, now: Duration) -> usize {
        self.instances.expire(now);
        let name = ServiceName::new(SERVICE);
        let view = OwnershipView {
            instances: &self.instances,
            closed: &self.closed,
            ownership: &self.ownership,
        };
        let planned = self
            .owner_manager
            .plan(now, Epoch(1), &name, &self.service, &view);
        let Some(table) = planned else {
            return 0;
        };
        let before = self.owners();
        self.changes += 1;
        let put = Put {
            key: format!("slices/{name}"),
            expected: None,
            value: Some(Value::KeyRanges { table }),
            written: None,
        };
        self.ownership.apply(&Change {
            id: ChangeId::new(format!("plan-{}", self.changes)),
            puts: vec![put],
            guards: Vec::new(),
        });
        let owners = self.owners();
        (0..owners.len())
            .filter(|key_range| before.get(*key_range) != owners.get(*key_range))
            .count()
    }

    fn owners(&self) -> Vec<Option<KeyRangeOwner>> {
        let table = self.ownership.key_ranges(&ServiceName::new(SERVICE));
        table.map(|table| table.owners.clone()).unwrap_or_default()
    }

    fn owner(&self, key_range: usize) -> String {
        let owner = self.owners()[key_range].clone();
        owner.map_or_else(String::new, |owner| owner.instance.to_string())
    }

    /// All heartbeat and the owner manager plans, twice a second; says whether all is quiet in the end.
    fn runs(&mut self, from: Duration, names: &[&str], steps: u64) -> bool {
        let mut moved = 0;
        for step in 0..steps {
            let now = from + millis(500 * step);
            for name in names {
                self.heartbeats(now, name);
            }
            moved = self.plans(now);
            self.nobody_shares(now);
        }
        moved == 0
    }

    /// No key range is held by two at once.
    fn nobody_shares(&self, now: Duration) {
        let mut held: BTreeMap<u32, &str> = BTreeMap::new();
        for (name, instance) in &self.known {
            for key_range in &instance.held_key_ranges {
                let (reported, _) = instance.reported[key_range];
                if now < reported + KEY_RANGE_LEASE_SPAN {
                    let other = held.insert(*key_range, name);
                    assert_eq!(other, None, "{name} shares slice {key_range} at {now:?}");
                }
            }
        }
    }
}

#[test]
fn given_an_owner_that_lets_go_when_another_takes_over_then_it_gets_the_handover_and_a_new_fence() {
    let mut bench = Bench::new(16);
    bench.runs(seconds(1), &["a"], 2);
    assert!(bench
        .owners()
        .iter()
        .flatten()
        .all(|owner| owner.instance.as_str() == "a"));
    let before = bench.owners();
    assert!(bench.runs(seconds(3), &["a", "b"], 40), "it comes to rest");
    let moved: Vec<usize> = (0..16)
        .filter(|key_range| bench.owner(*key_range) == "b")
        .collect();
    assert!(moved.len() >= 4, "only {moved:?} moved");
    for key_range in moved {
        let owner = bench.owners()[key_range].clone().expect("it has an owner");
        let first = before[key_range].clone().expect("it had one");
        assert!(owner.epoch > first.epoch, "the fence grows");
        let expected = Some(format!("from a of {key_range}"));
        assert_eq!(owner.handover, expected);
    }
    // The handover is told as long as the key range is not held, and then no more.
    let mut heartbeat = bench.heartbeat_of("b");
    heartbeat.held_key_ranges.clear();
    let response = bench.hears(seconds(23), &heartbeat);
    assert!(response.leases.iter().all(|lease| lease.handover.is_some()));
    let response = bench.heartbeats(seconds(24), "b");
    assert!(response.leases.iter().all(|lease| lease.handover.is_none()));
}

#[test]
fn given_a_key_range_that_goes_on_twice_when_the_second_owner_hands_on_then_its_word_counts() {
    let mut bench = Bench::new(1);
    bench.runs(seconds(1), &["a"], 2);
    bench.instance("a").state = InstanceState::Draining;
    assert!(bench.runs(seconds(3), &["a", "b"], 10));
    assert_eq!(bench.owner(0), "b");
    bench.instance("b").state = InstanceState::Draining;
    bench.known.remove("a");
    assert!(bench.runs(seconds(9), &["b", "c"], 10));
    let owner = bench.owners()[0].clone().expect("it has an owner");
    assert_eq!(owner.instance.as_str(), "c");
    assert_eq!(owner.handover.as_deref(), Some("from b of 0"));
}

#[test]
fn given_an_owner_that_leaves_when_others_are_there_then_all_of_its_key_ranges_move_soon() {
    let mut bench = Bench::new(64);
    bench.runs(seconds(1), &["a", "b", "c"], 10);
    let count = |bench: &Bench| {
        (0..64)
            .filter(|key_range| bench.owner(*key_range) == "a")
            .count()
    };
    assert!(count(&bench) > 0);
    bench.instance("a").state = InstanceState::Draining;
    bench.runs(seconds(6), &["a", "b", "c"], 5);
    assert_eq!(count(&bench), 0, "two and a half seconds later");
    assert!((0..64).all(|key_range| !bench.owner(key_range).is_empty()));
}

#[test]
fn given_a_closed_zone_when_its_owners_key_ranges_move_then_they_go_to_other_zones() {
    let mut bench = Bench::new(16);
    bench.instance("a").zone = "west-1";
    bench.runs(seconds(1), &["a", "b"], 10);
    bench.closed.insert(Zone::new("west-1"));
    bench.runs(seconds(6), &["a", "b"], 8);
    assert!((0..16).all(|key_range| bench.owner(key_range) == "b"));
}

#[test]
fn given_a_heartbeat_older_than_the_release_when_it_comes_late_then_it_does_not_count_as_letting_go(
) {
    let mut bench = Bench::new(1);
    bench.instance("a").obeys = false;
    bench.runs(seconds(1), &["a"], 2);
    // A heartbeat that speaks of an earlier time: it let go of the key range then, and holds nothing.
    let mut late = bench.heartbeat_of("a");
    late.held_key_ranges.clear();
    late.let_go = vec![LetGo {
        key_range: 0,
        epoch: None,
        handover: Some("of an earlier time".to_string()),
    }];
    bench.instance("a").state = InstanceState::Draining;
    for step in 0..8 {
        let now = seconds(2) + millis(500 * step);
        bench.heartbeats(now, "a");
        bench.heartbeats(now, "b");
        bench.plans(now);
        if step == 3 {
            let response = bench.hears(now, &late);
            assert_eq!(response.release.len(), 1, "it is to let go");
        }
        assert_eq!(bench.owner(0), "a", "it still holds at {now:?}");
    }
    bench.instance("a").obeys = true;
    bench.runs(seconds(6), &["a", "b"], 3);
    assert_eq!(bench.owner(0), "b", "its own later word counts");
}

#[test]
fn given_several_heartbeats_older_than_the_release_when_all_come_late_then_none_counts_as_letting_go(
) {
    // Whether the owner manager heard the owner itself, or took the leadership role up and heard of it by others.
    for taken_up in [false, true] {
        let mut bench = Bench::new(1);
        bench.instance("a").obeys = false;
        bench.runs(seconds(1), &["a"], 2);
        // Heartbeats of an earlier time, in which the key range had been let go of.
        let earlier: Vec<Heartbeat> = (0..3)
            .map(|_| {
                let mut heartbeat = bench.heartbeat_of("a");
                heartbeat.held_key_ranges.clear();
                heartbeat.let_go = vec![LetGo {
                    key_range: 0,
                    epoch: None,
                    handover: None,
                }];
                heartbeat
            })
            .collect();
        bench.runs(seconds(2), &["a"], 2);
        if taken_up {
            bench.owner_manager = OwnerManager::default();
            bench.owner_manager.take_up(seconds(3), false);
        }
        bench.instance("a").state = InstanceState::Draining;
        let heartbeat = bench.heartbeat_of("a");
        let heard = HeardHeartbeat {
            heartbeat,
            age: Duration::ZERO,
        };
        bench.instances.handle(seconds(3), &heard);
        bench.heartbeats(seconds(3), "b");
        bench.plans(seconds(3));
        for heartbeat in &earlier {
            let response = bench.hears(seconds(3), heartbeat);
            assert_eq!(response.release.len(), 1, "it is asked to let go");
            bench.plans(seconds(3));
            assert_eq!(bench.owner(0), "a", "it holds the key range");
        }
        bench.instance("a").obeys = true;
        bench.runs(seconds(4), &["a", "b"], 4);
        assert_eq!(bench.owner(0), "b", "its own later word counts");
    }
}

#[test]
fn given_the_very_heartbeat_that_is_told_to_let_go_when_it_names_the_key_range_then_that_is_too_early(
) {
    let mut bench = Bench::new(1);
    bench.runs(seconds(1), &["a"], 2);
    bench.instance("a").state = InstanceState::Draining;
    bench.runs(seconds(2), &["b"], 1);
    let mut heartbeat = bench.heartbeat_of("a");
    heartbeat.held_key_ranges.clear();
    heartbeat.let_go = vec![LetGo {
        key_range: 0,
        epoch: None,
        handover: None,
    }];
    bench.hears(seconds(2), &heartbeat);
    bench.plans(seconds(2));
    // Told in the answer to this one; only one after it can speak of it.
    let response = bench.hears(seconds(3), &heartbeat);
    assert_eq!(response.release.len(), 1);
    bench.plans(seconds(3));
    assert_eq!(bench.owner(0), "a");
    heartbeat.counter += 1;
    bench.hears(seconds(3), &heartbeat);
    bench.plans(seconds(3));
    assert_eq!(bench.owner(0), "b");
}

#[test]
fn given_a_silent_owner_when_its_hold_with_the_clocks_drift_has_passed_then_its_key_ranges_move() {
    let spans = OwnerManagerSpans {
        wait_after_own: OWNER_MANAGER_WAIT,
        lease: millis(4000),
        drift: millis(300),
        wait: millis(9000),
        uptake: millis(2000),
    };
    let mut bench = Bench::new(4);
    bench.owner_manager.spans = spans;
    bench.runs(seconds(1), &["a"], 30);
    let last = seconds(16);
    let response = bench.heartbeats(last, "a");
    assert_eq!(response.leases.len(), 4);
    assert!(response
        .leases
        .iter()
        .all(|lease| lease.left == spans.lease));
    for step in 1..100 {
        let now = last + millis(100 * step);
        bench.heartbeats(now, "b");
        if bench.plans(now) > 0 {
            assert!(now >= last + spans.lease + spans.drift, "moved at {now:?}");
            assert!(now <= last + spans.lease + spans.drift + millis(200));
            return;
        }
    }
    panic!("the key ranges never moved");
}

#[test]
fn given_a_new_owner_manager_when_an_owner_is_silent_then_it_waits_as_long_as_it_was_told_to() {
    let mut bench = Bench::new(4);
    bench.runs(seconds(1), &["a"], 3);
    let wait = millis(5000);
    bench.owner_manager = OwnerManager::default();
    bench.owner_manager.spans.wait = wait;
    bench.owner_manager.take_up(seconds(30), false);
    for step in 0..100 {
        let now = seconds(30) + millis(100 * step);
        bench.heartbeats(now, "b");
        if bench.plans(now) > 0 {
            assert!(now >= seconds(30) + wait, "moved at {now:?}");
            return;
        }
    }
    panic!("the key ranges never moved");
}

#[test]
fn given_an_owner_manager_after_its_own_former_life_when_an_owner_is_silent_then_it_waits_the_lesser_time(
) {
    for (after_own, expected) in [(true, millis(3500)), (false, millis(8000))] {
        let mut bench = Bench::new(4);
        bench.runs(seconds(1), &["a"], 3);
        bench.owner_manager = OwnerManager::default();
        bench.owner_manager.spans.wait = millis(8000);
        bench.owner_manager.spans.wait_after_own = millis(3500);
        bench.owner_manager.take_up(seconds(30), after_own);
        let moved_at = (0..100).find_map(|step| {
            let now = seconds(30) + millis(100 * step);
            bench.heartbeats(now, "b");
            (bench.plans(now) > 0).then_some(now)
        });
        assert_eq!(moved_at, Some(seconds(30) + expected), "{after_own}");
        assert!((0..4).all(|key_range| bench.owner(key_range) == "b"));
    }
}

#[test]
fn given_an_owner_that_said_it_ended_when_half_a_second_has_passed_then_its_key_ranges_are_free() {
    let mut bench = Bench::new(4);
    bench.runs(seconds(1), &["a"], 10);
    assert!((0..4).all(|key_range| bench.owner(key_range) == "a"));
    let ended = seconds(6);
    let id = InstanceId::new("a");
    assert_eq!(bench.instances.ended_for(ended, &id), Duration::ZERO);
    assert!(bench.instances.end(ended, &id));
    assert_eq!(
        bench.instances.ended_for(ended + millis(400), &id),
        millis(400)
    );
    for step in 1..=5 {
        let now = ended + millis(100 * step);
        // A late heartbeat of the one that ended brings nothing back, and its holds bind nobody.
        let late = bench.heartbeat_of("a");
        bench.hears(now, &late);
        assert_eq!(bench.instances.get(&id), None);
        assert_eq!(bench.instances.ended_for(now, &id), millis(100 * step));
        bench.heartbeats(now, "b");
        assert_eq!(bench.plans(now), if step < 5 { 0 } else { 4 }, "at {now:?}");
    }
    assert!((0..4).all(|key_range| bench.owner(key_range) == "b"));
    let other = InstanceId::new("b");
    assert_eq!(
        bench.instances.ended_for(seconds(20), &other),
        Duration::ZERO
    );
}

#[test]
fn given_instances_that_come_and_go_when_many_days_pass_then_no_key_range_is_held_by_two() {
    let names = ["a", "b", "c", "d"];
    for seed in 0..20 {
        let mut chance = Chance::seeded(seed);
        let mut bench = Bench::new(8);
        let mut away = BTreeSet::new();
        for step in 0..400 {
            let now = seconds(1) + millis(250 * step);
            if chance.below(20) == 0 {
                let name = names[chance.below(4) as usize];
                if !away.remove(name) {
                    away.insert(name);
                }
            }
            if chance.below(30) == 0 {
                let name = names[chance.below(4) as usize];
                let instance = bench.instance(name);
                instance.state = match instance.state {
                    InstanceState::Draining => InstanceState::Serving,
                    _ => InstanceState::Draining,
                };
            }
            for name in names {
                if !away.contains(name) && chance.below(4) > 0 {
                    bench.heartbeats(now, name);
                }
            }
            bench.plans(now);
            bench.nobody_shares(now);
        }
    }
}
