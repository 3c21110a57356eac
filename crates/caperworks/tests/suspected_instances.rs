//! Tests of instances that are suspected because of missing heartbeats: they keep serving while they respond
//! to requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::dispatch::{Failure, ProxyState, ServiceShard, Target, RECENT_RESPONSE_WINDOW};
use caperworks::facts::{Heartbeat, InstanceState, ReceivedHeartbeat};
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::instances::{Instances, INSTANCE_TIMEOUT, SUSPECTED_RETENTION};
use caperworks::map_items::{Route, Service, Value, ZoneSettings};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

const ZONE: &str = "e1";
const SERVICE: &str = "records";

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn heartbeat(name: &str, counter: u64) -> Heartbeat {
    // Each instance has its own port, since an address belongs to one instance at a time.
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
        uptime: millis(60_000),
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

fn received_heartbeat(name: &str, counter: u64) -> ReceivedHeartbeat {
    ReceivedHeartbeat {
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

/// A proxy that knows some instances.
struct Proxy {
    proxy_state: ProxyState,
    shard: ServiceShard,
    views: u64,
}

impl Proxy {
    fn new(names: &[&str]) -> Self {
        let mut proxy = Self {
            proxy_state: ProxyState::default(),
            shard: ServiceShard::new(1),
            views: 0,
        };
        proxy.receive_view(names, &[], true);
        proxy
    }

    /// Applies a view with these instances, of which some are suspected. A full view lists all instances;
    /// any other lists those that have changed.
    fn receive_view(&mut self, names: &[&str], suspected: &[&str], is_full: bool) {
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
            all_instances: is_full,
            slow_link_remaining: Duration::ZERO,
            suspected: suspected
                .iter()
                .map(|name| InstanceId::new(*name))
                .collect(),
            position: None,
            reports_left: None,
        };
        self.proxy_state.apply_view(Duration::ZERO, &view);
    }

    fn choose_target(&mut self, now: Duration) -> Result<Target, Failure> {
        let route = Route {
            service: ServiceName::new(SERVICE),
            ..Route::default()
        };
        let zone = Zone::new(ZONE);
        self.shard
            .choose(now, &self.proxy_state, &zone, &route, None, &[])
    }

    /// Sends one request to this instance, which succeeds or fails.
    fn send_request(&mut self, now: Duration, name: &str, succeeds: bool) {
        for _ in 0..1000 {
            let target = self.choose_target(now).expect("an instance is chosen");
            self.shard.begin_attempt(now, &target);
            let is_intended = target.instance.as_str() == name;
            if is_intended {
                self.shard.end_attempt(now, &target, succeeds, None);
                return;
            }
            self.shard.abandon_attempt(now, &target);
        }
        panic!("{name} was never chosen");
    }

    /// Returns the instances that are chosen for a hundred requests, without reporting their outcomes.
    fn chosen_instances(&mut self, now: Duration) -> BTreeSet<String> {
        let mut chosen = BTreeSet::new();
        for _ in 0..100 {
            if let Ok(target) = self.choose_target(now) {
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
fn suspected_instance_that_responded_recently_keeps_serving() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.send_request(millis(1000), "a", true);
    proxy.receive_view(&["a"], &["a"], false);
    assert_eq!(
        proxy.chosen_instances(millis(1500)),
        names(&["a", "b", "c"])
    );
}

#[test]
fn suspected_instance_without_recent_responses_gets_no_requests() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.send_request(millis(1000), "a", true);
    proxy.receive_view(&["a"], &["a"], false);
    let window_end = millis(1000) + RECENT_RESPONSE_WINDOW;
    assert_eq!(proxy.chosen_instances(window_end), names(&["b", "c"]));
}

#[test]
fn failed_request_excludes_a_suspected_instance() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.send_request(millis(1000), "a", true);
    proxy.receive_view(&["a"], &["a"], false);
    proxy.send_request(millis(1100), "a", false);
    assert_eq!(proxy.chosen_instances(millis(1200)), names(&["b", "c"]));
}

#[test]
fn instance_serves_again_once_its_heartbeats_resume() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.receive_view(&["a"], &["a"], false);
    assert_eq!(proxy.chosen_instances(millis(1200)), names(&["b", "c"]));
    proxy.receive_view(&["a"], &[], false);
    assert_eq!(
        proxy.chosen_instances(millis(1300)),
        names(&["a", "b", "c"])
    );
}

#[test]
fn mass_suspicion_keeps_using_instances_when_no_other_has_capacity() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.receive_view(&["a", "b", "c"], &["a", "b", "c"], false);
    assert_eq!(
        proxy.chosen_instances(millis(1000)),
        names(&["a", "b", "c"])
    );
}

#[test]
fn mass_suspicion_prefers_an_instance_that_is_not_suspected() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.receive_view(&["a", "b"], &["a", "b"], false);
    assert_eq!(proxy.chosen_instances(millis(1000)), names(&["c"]));
}

#[test]
fn mass_suspicion_excludes_an_instance_after_a_failed_request() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.receive_view(&["a", "b", "c"], &["a", "b", "c"], false);
    proxy.send_request(millis(1000), "b", false);
    assert_eq!(proxy.chosen_instances(millis(1100)), names(&["a", "c"]));
}

#[test]
fn suspicion_of_half_of_the_instances_excludes_them() {
    let mut proxy = Proxy::new(&["a", "b"]);
    proxy.receive_view(&["a"], &["a"], false);
    assert_eq!(proxy.chosen_instances(millis(1000)), names(&["b"]));
}

#[test]
fn mass_suspicion_without_passive_evidence_rejects_all_requests() {
    let mut proxy = Proxy::new(&["a", "b", "c"]);
    proxy.shard.ignore_response_evidence = true;
    proxy.send_request(millis(1000), "a", true);
    proxy.receive_view(&["a", "b", "c"], &["a", "b", "c"], false);
    assert_eq!(proxy.chosen_instances(millis(1100)), names(&[]));
}

#[test]
fn missing_heartbeats_suspect_an_instance_and_then_remove_it() {
    let mut instances = Instances::default();
    let id = InstanceId::new("a");
    instances.handle(millis(1000), &received_heartbeat("a", 1));
    let offset = instances.latest_offset();
    let suspected_at = millis(1000) + INSTANCE_TIMEOUT;
    assert_eq!(instances.mark_suspected(suspected_at - millis(1)), []);
    assert_eq!(instances.mark_suspected(suspected_at), vec![id.clone()]);
    assert!(instances.is_suspected(&id));
    let reported = instances.after(suspected_at, offset);
    assert_eq!(reported.len(), 1, "followers are notified");
    assert_eq!(
        instances.mark_suspected(suspected_at + millis(10)),
        [],
        "an instance is reported as suspected only once"
    );
    let removed_at = suspected_at + SUSPECTED_RETENTION;
    instances.mark_suspected(removed_at);
    assert!(instances.get(&id).is_none());
    assert!(!instances.is_suspected(&id));
}

#[test]
fn resumed_heartbeats_are_reported_to_followers_without_other_changes() {
    let mut instances = Instances::default();
    instances.refresh_interval = millis(60_000);
    instances.handle(millis(1000), &received_heartbeat("a", 1));
    instances.mark_suspected(millis(1000) + INSTANCE_TIMEOUT);
    let offset = instances.latest_offset();
    let resumed_at = millis(5000);
    assert!(instances.handle(resumed_at, &received_heartbeat("a", 2)));
    assert!(!instances.is_suspected(&InstanceId::new("a")));
    assert_eq!(instances.after(resumed_at, offset).len(), 1);
}

#[test]
fn deregistration_removes_a_suspected_instance_at_once() {
    let mut instances = Instances::default();
    let id = InstanceId::new("a");
    instances.handle(millis(1000), &received_heartbeat("a", 1));
    instances.mark_suspected(millis(1000) + INSTANCE_TIMEOUT);
    instances.record_deregistration(millis(4500), &id);
    assert!(instances.get(&id).is_none());
    assert!(!instances.is_suspected(&id));
}

#[test]
fn instance_at_the_same_address_replaces_a_suspected_one_at_once() {
    let mut instances = Instances::default();
    instances.handle(millis(1000), &received_heartbeat("a", 1));
    instances.mark_suspected(millis(1000) + INSTANCE_TIMEOUT);
    let mut successor = received_heartbeat("b", 1);
    successor.heartbeat.address = heartbeat("a", 1).address;
    assert!(instances.handle(millis(4500), &successor));
    assert!(instances.get(&InstanceId::new("a")).is_none());
    assert!(!instances.is_suspected(&InstanceId::new("a")));
}

#[test]
fn restart_with_a_lower_incarnation_is_accepted_once_the_old_one_is_suspected() {
    let mut instances = Instances::default();
    let mut old = received_heartbeat("a", 9);
    old.heartbeat.incarnation = Incarnation(1000);
    instances.handle(millis(1000), &old);
    let restarted = received_heartbeat("a", 1);
    assert!(
        !instances.handle(millis(2000), &restarted),
        "a lower incarnation is ignored until the old one is suspected"
    );
    instances.mark_suspected(millis(1000) + INSTANCE_TIMEOUT);
    assert!(instances.handle(millis(4100), &restarted));
    let id = InstanceId::new("a");
    let known = instances.get(&id).map(|known| known.incarnation);
    assert_eq!(known, Some(Incarnation(1)));
    assert!(!instances.is_suspected(&id));
}

#[test]
fn instance_unseen_for_long_is_suspected_before_it_is_removed() {
    let mut instances = Instances::default();
    instances.handle(millis(1000), &received_heartbeat("a", 1));
    let checked_at = millis(1000) + INSTANCE_TIMEOUT + SUSPECTED_RETENTION * 2;
    let id = InstanceId::new("a");
    assert_eq!(instances.mark_suspected(checked_at), vec![id.clone()]);
    assert!(instances.is_suspected(&id));
    instances.mark_suspected(checked_at + SUSPECTED_RETENTION - millis(1));
    assert!(instances.get(&id).is_some());
    instances.mark_suspected(checked_at + SUSPECTED_RETENTION);
    assert!(instances.get(&id).is_none());
}
