//! Stories of instances whose heartbeats stay away: those that answer requests go on serving.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::dispatch::{Failure, ProxyKnowledge, ServiceShard, Target, RESPONSE_SPAN};
use caperworks::facts::{HeardHeartbeat, Heartbeat, InstanceState};
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::instances::{Instances, INSTANCE_SPAN, SILENT_SPAN};
use caperworks::map_items::{Route, Service, Value, ZoneSettings};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

const ZONE: &str = "e1";
const SERVICE: &str = "records";

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn heartbeat(name: &str, counter: u64) -> Heartbeat {
    // Why a port of its own: an address has one instance at a time.
    let port = 7000 + u16::from(name.as_bytes()[0]);
    Heartbeat {
        id: InstanceId::new(name),
        incarnation: Incarnation(1),
        counter,
        service: ServiceName::new(SERVICE),
        zone: Zone::new(ZONE),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        up: millis(60_000),
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

fn heard(name: &str, counter: u64) -> HeardHeartbeat {
    HeardHeartbeat {
        heartbeat: heartbeat(name, counter),
        age: Duration::ZERO,
    }
}

fn put(key: &str, value: Value) -> Put {
    Put {
        key: key.to_string(),
        expected: None,
        value: Some(value),
        written: None,
    }
}

fn configuration() -> ReplicatedMap {
    let zone = ZoneSettings {
        region: Region::new("east"),
        closed: false,
    };
    let service = Service {
        instance_cap: 100,
        warm_up_period: millis(5000),
        ..Service::default()
    };
    let change = Change {
        id: ChangeId::new("first"),
        puts: vec![
            put(&format!("area/{ZONE}"), Value::Zone { zone }),
            put(&format!("pool/{SERVICE}"), Value::Service { service }),
        ],
        guards: Vec::new(),
    };
    let mut configuration = ReplicatedMap::empty();
    configuration.apply(&change);
    configuration
}

/// One proxy with what it knows of some instances.
struct Proxy {
    knowledge: ProxyKnowledge,
    shard: ServiceShard,
    views: u64,
}

impl Proxy {
    fn new(names: &[&str]) -> Self {
        let mut proxy = Self {
            knowledge: ProxyKnowledge::default(),
            shard: ServiceShard::new(1),
            views: 0,
        };
        proxy.is_notified(names, &[], true);
        proxy
    }

    /// Takes a view that tells these instances, and which of them are silent.
    fn is_notified(&mut self, names: &[&str], silent: &[&str], all: bool) {
        self.views += 1;
        let updates = ConsensusMessage::Snapshot {
            map: MapName::Configuration,
            full_map: configuration(),
        };
        let view = ProxyView {
            number: self.views,
            left: millis(600_000),
            updates: vec![updates],
            instances: names.iter().map(|name| heartbeat(name, 1)).collect(),
            proxies: 1,
            configuration: Version(1),
            ownership: Version(0),
            agent: NodeId(1),
            instances_offset: self.views,
            all_instances: all,
            link_slow_for: Duration::ZERO,
            silent: silent.iter().map(|name| InstanceId::new(*name)).collect(),
        };
        self.knowledge.take(Duration::ZERO, &view);
    }

    fn chooses(&mut self, now: Duration) -> Result<Target, Failure> {
        let route = Route {
            service: ServiceName::new(SERVICE),
            ..Route::default()
        };
        let zone = Zone::new(ZONE);
        self.shard
            .choose(now, &self.knowledge, &zone, &route, None, &[])
    }

    /// Sends one request, which this instance answers well or not.
    fn sends_to(&mut self, now: Duration, name: &str, good: bool) {
        for _ in 0..1000 {
            let target = self.chooses(now).expect("some instance is chosen");
            self.shard.begin(now, &target);
            let is_wanted = target.instance.as_str() == name;
            if is_wanted {
                self.shard.end(now, &target, good, None);
                return;
            }
            self.shard.abandon(now, &target);
        }
        panic!("{name} was never chosen");
    }

    /// Which instances a hundred requests go to; nothing is said of how they end.
    fn chosen(&mut self, now: Duration) -> BTreeSet<String> {
        let mut chosen = BTreeSet::new();
        for _ in 0..100 {
            if let Ok(target) = self.chooses(now) {
                chosen.insert(target.instance.to_string());
            }
        }
        chosen
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

#[test]
fn given_a_silent_instance_when_it_answered_just_now_then_it_goes_on_serving() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.sends_to(millis(1000), "a", true);
    proxy.is_notified(&["a"], &["a"], false);
    assert_eq!(proxy.chosen(millis(1500)), names(&["a", "b", "c"]));
}

#[test]
fn given_a_silent_instance_when_it_has_not_answered_of_late_then_it_gets_nothing() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.sends_to(millis(1000), "a", true);
    proxy.is_notified(&["a"], &["a"], false);
    let late = millis(1000) + RESPONSE_SPAN;
    assert_eq!(proxy.chosen(late), names(&["b", "c"]));
}

#[test]
fn given_a_silent_instance_when_a_request_to_it_fails_then_it_gets_nothing_more() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.sends_to(millis(1000), "a", true);
    proxy.is_notified(&["a"], &["a"], false);
    proxy.sends_to(millis(1100), "a", false);
    assert_eq!(proxy.chosen(millis(1200)), names(&["b", "c"]));
}

#[test]
fn given_a_silent_instance_when_its_heartbeats_come_again_then_it_serves_like_any_other() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.is_notified(&["a"], &["a"], false);
    assert_eq!(proxy.chosen(millis(1200)), names(&["b", "c"]));
    proxy.is_notified(&["a"], &[], false);
    assert_eq!(proxy.chosen(millis(1300)), names(&["a", "b", "c"]));
}

#[test]
fn given_most_instances_silent_at_once_when_no_other_has_room_then_they_are_still_used() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.is_notified(&["a", "b", "c"], &["a", "b", "c"], false);
    assert_eq!(proxy.chosen(millis(1000)), names(&["a", "b", "c"]));
}

#[test]
fn given_most_instances_silent_at_once_when_another_has_room_then_it_is_preferred() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.is_notified(&["a", "b"], &["a", "b"], false);
    assert_eq!(proxy.chosen(millis(1000)), names(&["c"]));
}

#[test]
fn given_most_instances_silent_at_once_when_one_fails_then_it_is_left_alone() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.is_notified(&["a", "b", "c"], &["a", "b", "c"], false);
    proxy.sends_to(millis(1000), "b", false);
    assert_eq!(proxy.chosen(millis(1100)), names(&["a", "c"]));
}

#[test]
fn given_half_of_the_instances_silent_when_none_answers_then_they_get_nothing() {
    let mut proxy = Proxy::new(&["a", "b"]);
    proxy.is_notified(&["a"], &["a"], false);
    assert_eq!(proxy.chosen(millis(1000)), names(&["b"]));
}

#[test]
fn given_proxies_that_believe_silence_alone_when_most_are_silent_then_nothing_is_served() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.shard.without_passive_evidence = true;
    proxy.sends_to(millis(1000), "a", true);
    proxy.is_notified(&["a", "b", "c"], &["a", "b", "c"], false);
    assert_eq!(proxy.chosen(millis(1100)), names(&[]));
}

#[test]
fn given_heartbeats_that_stay_away_when_the_span_is_over_then_the_instance_is_silent_and_then_forgotten(
) {
    let mut instances = Instances::default();
    let id = InstanceId::new("a");
    instances.handle(millis(1000), &heard("a", 1));
    let offset = instances.learned();
    let silent_at = millis(1000) + INSTANCE_SPAN;
    assert_eq!(instances.count_silent(silent_at - millis(1)), []);
    assert_eq!(instances.count_silent(silent_at), vec![id.clone()]);
    assert!(instances.is_silent(&id));
    let reported = instances.after(silent_at, offset);
    assert_eq!(reported.len(), 1, "followers are told of it");
    assert_eq!(instances.count_silent(silent_at + millis(10)), [], "once");
    let forgotten_at = silent_at + SILENT_SPAN;
    instances.count_silent(forgotten_at);
    assert!(instances.get(&id).is_none());
    assert!(!instances.is_silent(&id));
}

#[test]
fn given_a_silent_instance_when_it_is_heard_again_then_followers_are_told_even_if_nothing_else_changed(
) {
    let mut instances = Instances::default();
    instances.refresh = millis(60_000);
    instances.handle(millis(1000), &heard("a", 1));
    instances.count_silent(millis(1000) + INSTANCE_SPAN);
    let offset = instances.learned();
    let back = millis(5000);
    assert!(instances.handle(back, &heard("a", 2)));
    assert!(!instances.is_silent(&InstanceId::new("a")));
    assert_eq!(instances.after(back, offset).len(), 1);
}

#[test]
fn given_a_silent_instance_when_it_is_told_to_have_ended_then_it_is_gone_at_once() {
    let mut instances = Instances::default();
    let id = InstanceId::new("a");
    instances.handle(millis(1000), &heard("a", 1));
    instances.count_silent(millis(1000) + INSTANCE_SPAN);
    instances.end(millis(4500), &id);
    assert!(instances.get(&id).is_none());
    assert!(!instances.is_silent(&id));
}

#[test]
fn given_a_silent_instance_when_another_takes_its_address_then_it_is_gone_at_once() {
    let mut instances = Instances::default();
    instances.handle(millis(1000), &heard("a", 1));
    instances.count_silent(millis(1000) + INSTANCE_SPAN);
    let mut successor = heard("b", 1);
    successor.heartbeat.address = heartbeat("a", 1).address;
    assert!(instances.handle(millis(4500), &successor));
    assert!(instances.get(&InstanceId::new("a")).is_none());
    assert!(!instances.is_silent(&InstanceId::new("a")));
}

#[test]
fn given_a_silent_instance_when_its_next_life_has_a_lower_incarnation_then_that_one_is_taken() {
    let mut instances = Instances::default();
    let mut former = heard("a", 9);
    former.heartbeat.incarnation = Incarnation(1000);
    instances.handle(millis(1000), &former);
    let next = heard("a", 1);
    assert!(
        !instances.handle(millis(2000), &next),
        "not while it is heard"
    );
    instances.count_silent(millis(1000) + INSTANCE_SPAN);
    assert!(instances.handle(millis(4100), &next));
    let id = InstanceId::new("a");
    let known = instances.get(&id).map(|known| known.incarnation);
    assert_eq!(known, Some(Incarnation(1)));
    assert!(!instances.is_silent(&id));
}

#[test]
fn given_an_instance_unheard_for_long_when_silence_counts_again_then_it_is_silent_before_it_is_gone(
) {
    let mut instances = Instances::default();
    instances.handle(millis(1000), &heard("a", 1));
    let back = millis(1000) + INSTANCE_SPAN + SILENT_SPAN * 2;
    let id = InstanceId::new("a");
    assert_eq!(instances.count_silent(back), vec![id.clone()]);
    assert!(instances.is_silent(&id));
    instances.count_silent(back + SILENT_SPAN - millis(1));
    assert!(instances.get(&id).is_some());
    instances.count_silent(back + SILENT_SPAN);
    assert!(instances.get(&id).is_none());
}
