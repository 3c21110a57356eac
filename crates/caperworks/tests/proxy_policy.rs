//! Tests of proxy policies, kinds of requests, retries, and instances that are warming up.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, ProxyState, RecentConnects, ReportedOutcome, RequestLifecycle,
    RequestState, ServiceShard, SLOW_CONNECT,
};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    stable_hash, ChangeId, Epoch, Incarnation, InstanceId, NodeId, RandomSource, Region,
    ServiceName, Version, Zone,
};
use caperworks::link::SLOW_LINK_WINDOW;
use caperworks::map_items::{
    KeyRangeOwner, KeyRangeTable, KeySpace, RequestKind, Route, Service, SplitTarget, Value,
    ZoneSettings,
};
use caperworks::messages::ProxyView;
use caperworks::policy::ProxyPolicy;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn route() -> Route {
    Route {
        host: "*".to_string(),
        path: "/".to_string(),
        service: ServiceName::new("records"),
        deadline: millis(1000),
        body_limit: 1000,
        ..Route::default()
    }
}

fn service() -> Service {
    Service {
        key_ranges: 1,
        instance_cap: 1000,
        key_cap: 1000,
        slow_start_rate_milli: 10_000,
        ..Service::default()
    }
}

fn heartbeat(name: &str, zone: &str) -> Heartbeat {
    let port = 7000 + (stable_hash(name) % 1000) as u16;
    Heartbeat {
        id: InstanceId::new(name),
        incarnation: Incarnation(0),
        counter: 1,
        service: ServiceName::new("records"),
        zone: Zone::new(zone),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        uptime: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
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

fn zone_put(zone: &str, region: &str, closed: bool) -> Put {
    let region = Region::new(region);
    let settings = ZoneSettings { region, closed };
    put(&format!("area/{zone}"), Value::Zone { zone: settings })
}

fn change(id: &str, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    }
}

/// A proxy in zone e1 and the state that its agent sends: e1 and e2 are in the east, w1 in the west, n1 in
/// the north.
struct Bench {
    proxy_state: ProxyState,
    /// How long the agent attributes missing responses of the controllers to a slow link.
    slow_link_remaining: Duration,
    configuration: ReplicatedMap,
    views: u64,
}

const ZONES: [(&str, &str); 4] = [
    ("e1", "east"),
    ("e2", "east"),
    ("w1", "west"),
    ("n1", "north"),
];

impl Bench {
    fn new(policy: ProxyPolicy) -> Self {
        let mut puts: Vec<Put> = ZONES
            .iter()
            .map(|(zone, region)| zone_put(zone, region, false))
            .collect();
        puts.push(put("pool/records", Value::Service { service: service() }));
        puts.push(put("rule/any", Value::Route { route: route() }));
        let mut configuration = ReplicatedMap::empty();
        configuration.apply(&change("first", puts));
        let proxy_state = ProxyState {
            policy,
            ..ProxyState::default()
        };
        Self {
            proxy_state,
            slow_link_remaining: Duration::ZERO,
            configuration,
            views: 0,
        }
    }

    fn apply(&mut self, puts: Vec<Put>) {
        let id = format!("change-{}", self.configuration.version);
        self.configuration.apply(&change(&id, puts));
    }

    /// Sends the proxy the full configuration and these instances.
    fn send_view(&mut self, now: Duration, heartbeats: &[Heartbeat]) {
        self.views += 1;
        let full_map = self.configuration.clone();
        let view = ProxyView {
            agent: NodeId(1),
            instances_offset: 1,
            all_instances: true,
            slow_link_remaining: self.slow_link_remaining,
            suspected: Vec::new(),
            number: self.views,
            left: millis(3000),
            configuration: full_map.version,
            updates: vec![ConsensusMessage::Snapshot {
                map: MapName::Configuration,
                full_map,
            }],
            instances: heartbeats.to_vec(),
            proxies: 1,
            ownership: Version(0),
        };
        self.proxy_state.apply_view(now, &view);
    }

    fn check_admission(&self, now: Duration, route: &Route) -> Result<(), Failure> {
        self.proxy_state
            .check_admission(now, &Zone::new("e1"), route)
    }

    /// Returns the instances that are chosen for many concurrent requests.
    fn chosen(&self, now: Duration, route: &Route) -> BTreeSet<String> {
        let mut shard = ServiceShard::new(1);
        let mut names = BTreeSet::new();
        let own_zone = Zone::new("e1");
        for _ in 0..300 {
            if let Ok(target) = shard.choose(now, &self.proxy_state, &own_zone, route, None, &[]) {
                let checked = self
                    .proxy_state
                    .check_before_send(now, &own_zone, route, &target);
                assert_eq!(checked, Ok(()));
                // The request stays open, so that this instance reaches its limit and the others are
                // chosen too.
                shard.begin_attempt(now, &target);
                names.insert(target.instance.to_string());
            }
        }
        names
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

/// Returns the heartbeats of one instance in each zone.
fn one_in_each_zone() -> Vec<Heartbeat> {
    ["e1", "e2", "w1", "n1"]
        .iter()
        .map(|zone| {
            let mut heartbeat = heartbeat(&format!("in-{zone}"), zone);
            heartbeat.capacity = 1;
            heartbeat
        })
        .collect()
}

/// A time long after every lease of the proxy has expired.
const LONG_AFTER: Duration = Duration::from_secs(100_000);

#[test]
fn serve_stale_proxy_keeps_serving_from_the_last_known_state() {
    for serves_stale in [true, false] {
        let mut bench = Bench::new(ProxyPolicy {
            serves_stale,
            ..ProxyPolicy::default()
        });
        bench.send_view(Duration::ZERO, &one_in_each_zone());
        assert_eq!(bench.check_admission(millis(2999), &route()), Ok(()));
        let found = bench.proxy_state.find(LONG_AFTER, "a.example", "/x");
        assert!(
            found.is_ok(),
            "routes are found whatever the age of the state"
        );
        let expected = if serves_stale {
            Ok(())
        } else {
            Err(Failure::Stale)
        };
        assert_eq!(bench.check_admission(LONG_AFTER, &route()), expected);
        if serves_stale {
            assert!(bench.chosen(LONG_AFTER, &route()).contains("in-e1"));
        }
    }
}

#[test]
fn serve_stale_proxy_rejects_while_its_link_is_only_slow() {
    let mut bench = Bench::new(ProxyPolicy {
        serves_stale: true,
        ..ProxyPolicy::default()
    });
    bench.slow_link_remaining = millis(4000);
    bench.send_view(Duration::ZERO, &one_in_each_zone());
    assert_eq!(bench.check_admission(millis(2999), &route()), Ok(()));
    assert_eq!(
        bench.check_admission(millis(3000), &route()),
        Err(Failure::Stale)
    );
    assert_eq!(
        bench.check_admission(millis(3999), &route()),
        Err(Failure::Stale)
    );
    assert_eq!(bench.check_admission(millis(4000), &route()), Ok(()));
}

#[test]
fn serve_stale_proxy_rejects_while_its_own_link_is_full() {
    let mut bench = Bench::new(ProxyPolicy {
        serves_stale: true,
        ..ProxyPolicy::default()
    });
    bench.send_view(Duration::ZERO, &one_in_each_zone());
    bench
        .proxy_state
        .link_monitor
        .record_congestion(millis(2000));
    // A valid lease takes precedence, and later views do not clear what the proxy itself has observed.
    assert_eq!(bench.check_admission(millis(2999), &route()), Ok(()));
    assert_eq!(
        bench.check_admission(millis(3000), &route()),
        Err(Failure::Stale)
    );
    bench.send_view(millis(3500), &one_in_each_zone());
    assert_eq!(bench.check_admission(millis(3600), &route()), Ok(()));
    assert_eq!(
        bench.check_admission(millis(6500), &route()),
        Err(Failure::Stale)
    );
    let window_end = millis(2000) + SLOW_LINK_WINDOW;
    assert_eq!(bench.check_admission(window_end, &route()), Ok(()));
}

#[test]
fn majority_of_slow_connects_marks_the_link_as_full() {
    let (slow, fast) = (SLOW_CONNECT, millis(110));
    let mut connects = RecentConnects::default();
    assert!(
        !connects.record(millis(100), slow),
        "one slow connect may be due to its instance"
    );
    assert!(
        !connects.record(millis(200), slow),
        "two slow connects are too few"
    );
    assert!(connects.record(millis(300), slow));
    assert!(
        connects.record(millis(400), fast),
        "three of four connects were slow"
    );
    assert!(
        connects.record(millis(500), fast),
        "three of five connects were slow"
    );
    assert!(
        !connects.record(millis(600), fast),
        "half is not a majority"
    );
    // The slow connects are outside the window by then.
    assert!(!connects.record(millis(2500), fast));
    for step in 0..10 {
        let took = if step % 2 == 0 { slow } else { fast };
        let now = millis(10_000 + 100 * step);
        assert!(
            !connects.record(now, took) || step % 2 == 0,
            "at step {step}"
        );
    }
}

#[test]
fn serve_stale_proxy_without_any_state_rejects_as_stale() {
    let proxy_state = ProxyState {
        policy: ProxyPolicy {
            serves_stale: true,
            ..ProxyPolicy::default()
        },
        ..ProxyState::default()
    };
    let admitted = proxy_state.check_admission(millis(10), &Zone::new("e1"), &route());
    assert_eq!(admitted, Err(Failure::Stale));
    let found = proxy_state.find(millis(10), "a.example", "/").map(|_| ());
    assert_eq!(
        found,
        Err(Failure::Stale),
        "not reported as a missing route"
    );
    assert_eq!(Failure::Stale.reported_outcome(), ReportedOutcome::NotRun);
}

#[test]
fn closed_zone_proxy_forwards_only_to_other_zones() {
    for forwards in [true, false] {
        let mut bench = Bench::new(ProxyPolicy {
            closed_zone_forwards: forwards,
            ..ProxyPolicy::default()
        });
        bench.send_view(Duration::ZERO, &one_in_each_zone());
        bench.apply(vec![zone_put("e1", "east", true)]);
        bench.send_view(millis(100), &one_in_each_zone());
        if forwards {
            assert_eq!(bench.check_admission(millis(200), &route()), Ok(()));
            let chosen = bench.chosen(millis(200), &route());
            assert_eq!(chosen, names(&["in-e2", "in-n1", "in-w1"]));
        } else {
            let rejected = Err(Failure::ZoneClosed);
            assert_eq!(bench.check_admission(millis(200), &route()), rejected);
        }
    }
}

#[test]
fn target_in_a_closing_zone_fails_the_last_check() {
    let mut bench = Bench::new(ProxyPolicy {
        closed_zone_forwards: true,
        ..ProxyPolicy::default()
    });
    bench.send_view(Duration::ZERO, &[heartbeat("in-e1", "e1")]);
    let own_zone = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(
            millis(1),
            &bench.proxy_state,
            &own_zone,
            &route(),
            None,
            &[],
        )
        .expect("it has capacity");
    bench.apply(vec![zone_put("e1", "east", true)]);
    bench.send_view(millis(100), &[heartbeat("in-e1", "e1")]);
    let checked = bench
        .proxy_state
        .check_before_send(millis(101), &own_zone, &route(), &target);
    assert_eq!(checked, Err(Failure::NoInstance));
}

#[test]
fn proxy_outside_the_home_region_forwards_only_to_home_instances() {
    let mut home_route = route();
    home_route.homes = vec![Region::new("west")];
    for forwards_to_home in [true, false] {
        let mut bench = Bench::new(ProxyPolicy {
            forwards_to_home,
            ..ProxyPolicy::default()
        });
        bench.send_view(Duration::ZERO, &one_in_each_zone());
        if forwards_to_home {
            assert_eq!(bench.check_admission(millis(1), &home_route), Ok(()));
            assert_eq!(bench.chosen(millis(1), &home_route), names(&["in-w1"]));
            let without_home: Vec<Heartbeat> = one_in_each_zone()
                .into_iter()
                .filter(|heartbeat| heartbeat.zone.as_str() != "w1")
                .collect();
            bench.send_view(millis(2), &without_home);
            assert_eq!(
                bench.chosen(millis(3), &home_route),
                names(&[]),
                "instances in other regions are not used"
            );
        } else {
            assert_eq!(
                bench.check_admission(millis(1), &home_route),
                Err(Failure::OutsideHomeRegion)
            );
        }
    }
}

#[test]
fn route_with_several_homes_uses_all_of_them_only() {
    let mut bench = Bench::new(ProxyPolicy::default());
    bench.send_view(Duration::ZERO, &one_in_each_zone());
    let mut home_route = route();
    home_route.homes = vec![Region::new("north"), Region::new("east")];
    assert_eq!(bench.check_admission(millis(1), &home_route), Ok(()));
    let chosen = bench.chosen(millis(1), &home_route);
    assert_eq!(chosen, names(&["in-e1", "in-e2", "in-n1"]));
    home_route.homes = vec![Region::new("north"), Region::new("west")];
    assert_eq!(
        bench.check_admission(millis(1), &home_route),
        Err(Failure::OutsideHomeRegion)
    );
}

#[test]
fn split_by_weight_is_proportional() {
    let split_target = |service: &str, weight: u32| SplitTarget {
        service: ServiceName::new(service),
        weight,
    };
    let mut split = route();
    split.service = ServiceName::new("never");
    split.split = vec![
        split_target("a", 1),
        split_target("none", 0),
        split_target("b", 30),
        split_target("c", 69),
    ];
    let mut random = RandomSource::seeded(5);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..100_000 {
        let service = split.service_for(random.next_u64()).to_string();
        *counts.entry(service).or_default() += 1;
    }
    let listed: Vec<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(
        listed,
        ["a", "b", "c"],
        "neither the target with weight 0 nor the route's own service is used"
    );
    for (service, expected) in [("a", 1000), ("b", 30_000), ("c", 69_000)] {
        let deviation = counts[service].abs_diff(expected);
        assert!(
            deviation <= expected / 5 && deviation <= 1000,
            "{service}: {}",
            counts[service]
        );
    }
    let targets: Vec<&str> = split.services().map(ServiceName::as_str).collect();
    assert!(!targets.contains(&"never"));
}

#[test]
fn route_without_split_uses_its_own_service() {
    let mut random = RandomSource::seeded(6);
    for _ in 0..100 {
        assert_eq!(route().service_for(random.next_u64()).as_str(), "records");
    }
}

/// Returns a request of this kind whose first attempt was sent.
fn sent(kind: RequestKind, reads: bool, max_attempts: u32) -> RequestLifecycle {
    let mut lifecycle = RequestLifecycle::received(reads);
    let route = Route {
        kind,
        max_attempts,
        ..route()
    };
    lifecycle.matched(millis(0), &route);
    lifecycle.admitted(true);
    lifecycle.chosen();
    lifecycle.begin_attempt();
    lifecycle.sent();
    lifecycle
}

#[test]
fn only_repeatable_requests_are_retried_after_an_unknown_outcome() {
    for (kind, reads, is_retried) in [
        (RequestKind::ByMethod, true, true),
        (RequestKind::ByMethod, false, false),
        (RequestKind::Repeatable, true, true),
        (RequestKind::Repeatable, false, true),
        (RequestKind::Once, true, false),
        (RequestKind::Once, false, false),
        (RequestKind::Upload, true, false),
        (RequestKind::Upload, false, false),
    ] {
        for end in [AttemptEnd::ConnectionLost, AttemptEnd::MalformedResponse] {
            let mut lifecycle = sent(kind, reads, 0);
            let step = lifecycle.attempt_ended(millis(10), end, || true);
            let has_retry = step == NextStep::Retry;
            assert_eq!(has_retry, is_retried, "{kind:?} reads {reads} {end:?}");
            if let NextStep::Respond(failure) = step {
                assert_eq!(
                    lifecycle.reported_outcome(failure),
                    ReportedOutcome::Unknown,
                    "{kind:?} {end:?}"
                );
            }
        }
        // A request that certainly did not run is retried elsewhere, whatever its kind.
        let mut lifecycle = sent(kind, reads, 0);
        let step = lifecycle.attempt_ended(millis(10), AttemptEnd::RejectedByInstance, || true);
        assert_eq!(step, NextStep::Retry, "{kind:?} reads {reads}");
    }
}

#[test]
fn once_request_lost_after_a_rejected_attempt_is_unknown() {
    let mut lifecycle = sent(RequestKind::Once, true, 0);
    let step = lifecycle.attempt_ended(millis(10), AttemptEnd::RejectedByInstance, || true);
    assert_eq!(step, NextStep::Retry);
    lifecycle.chosen();
    lifecycle.begin_attempt();
    let step = lifecycle.attempt_ended(millis(20), AttemptEnd::ConnectionLost, || true);
    assert_eq!(step, NextStep::Respond(Failure::LostAfterSending));
    assert_eq!(
        lifecycle.reported_outcome(Failure::LostAfterSending),
        ReportedOutcome::Unknown
    );
}

#[test]
fn maximum_attempts_bounds_rejected_attempts() {
    for (limit, expected) in [(1, 1), (2, 2), (5, 5), (0, 3)] {
        let mut lifecycle = sent(RequestKind::Repeatable, true, limit);
        let mut attempts = 1;
        while lifecycle.attempt_ended(millis(10), AttemptEnd::RejectedByInstance, || true)
            == NextStep::Retry
        {
            lifecycle.chosen();
            lifecycle.begin_attempt();
            attempts += 1;
        }
        assert_eq!(attempts, expected, "limit {limit}");
        assert_eq!(lifecycle.attempts(), expected);
        assert_eq!(lifecycle.state(), RequestState::Rejected);
    }
}

#[test]
fn no_retry_after_the_client_deadline() {
    let mut lifecycle = sent(RequestKind::Repeatable, true, 0);
    lifecycle.limit_deadline(millis(300));
    assert_eq!(lifecycle.deadline(), millis(300));
    lifecycle.limit_deadline(millis(5000));
    assert_eq!(
        lifecycle.deadline(),
        millis(300),
        "a longer deadline has no effect"
    );
    let step = lifecycle.attempt_ended(millis(299), AttemptEnd::NotOpened, || true);
    assert_eq!(step, NextStep::Retry);
    lifecycle.begin_attempt();
    let step = lifecycle.attempt_ended(millis(300), AttemptEnd::NotOpened, || true);
    assert_eq!(step, NextStep::Respond(Failure::NotOpened));
    let mut other = sent(RequestKind::Repeatable, true, 0);
    other.limit_deadline(millis(5000));
    assert_eq!(
        other.deadline(),
        millis(1000),
        "the route's shorter deadline applies"
    );
}

/// Returns how many requests an instance gets in some seconds, with one request a millisecond.
fn count_requests(bench: &Bench, from: Duration, seconds: u64, name: &str) -> u32 {
    let mut shard = ServiceShard::new(3);
    let own_zone = Zone::new("e1");
    let mut count = 0;
    for step in 0..seconds * 1000 {
        let now = from + millis(step);
        if let Ok(target) = shard.choose(now, &bench.proxy_state, &own_zone, &route(), None, &[]) {
            shard.begin_attempt(now, &target);
            shard.end_attempt(now, &target, true, Some(0));
            count += u32::from(target.instance.as_str() == name);
        }
    }
    count
}

#[test]
fn warming_instance_is_limited_to_its_slow_start_rate() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut warming = heartbeat("cold", "e1");
    warming.warm_up_left = millis(1);
    bench.send_view(Duration::ZERO, &[warming.clone(), heartbeat("warm", "e2")]);
    let count = count_requests(&bench, Duration::ZERO, 10, "cold");
    // Ten requests a second for ten seconds, without a burst at the start.
    assert!(
        (80..=100).contains(&count),
        "{count} requests to the warming instance"
    );
    // Several proxies divide the rate between them.
    bench.proxy_state.proxies = 5;
    let count = count_requests(&bench, Duration::ZERO, 10, "cold");
    assert!(
        (16..=20).contains(&count),
        "{count} requests by one of five proxies"
    );
    warming.warm_up_left = Duration::ZERO;
    warming.counter += 1;
    bench.send_view(millis(10_000), &[warming, heartbeat("warm", "e2")]);
    let count = count_requests(&bench, millis(10_000), 1, "cold");
    assert!(
        count > 900,
        "only {count} requests to the nearest instance after its warm-up"
    );
}

#[test]
fn idle_warming_instance_accumulates_no_burst() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut warming = heartbeat("cold", "e1");
    warming.warm_up_left = millis(60_000);
    bench.send_view(Duration::ZERO, &[warming]);
    let own_zone = Zone::new("e1");
    let mut shard = ServiceShard::new(3);
    let _ = shard.choose(
        Duration::ZERO,
        &bench.proxy_state,
        &own_zone,
        &route(),
        None,
        &[],
    );
    let mut count = 0;
    for _ in 0..50 {
        let now = millis(2900);
        if let Ok(target) = shard.choose(now, &bench.proxy_state, &own_zone, &route(), None, &[]) {
            shard.begin_attempt(now, &target);
            shard.end_attempt(now, &target, true, Some(0));
            count += 1;
        }
    }
    assert_eq!(count, 1);
}

#[test]
fn reopened_zone_instances_count_as_warming_until_the_next_heartbeat() {
    let mut bench = Bench::new(ProxyPolicy {
        closed_zone_forwards: true,
        ..ProxyPolicy::default()
    });
    let (own, other) = (heartbeat("own", "e1"), heartbeat("other", "w1"));
    bench.send_view(Duration::ZERO, &[own.clone(), other.clone()]);
    bench.apply(vec![zone_put("e1", "east", true)]);
    bench.send_view(millis(1000), &[own.clone(), other.clone()]);
    assert_eq!(count_requests(&bench, millis(1000), 1, "own"), 0, "closed");
    bench.apply(vec![zone_put("e1", "east", false)]);
    bench.send_view(millis(2000), &[own.clone(), other.clone()]);
    let count = count_requests(&bench, millis(2000), 1, "own");
    assert!(
        (8..=10).contains(&count),
        "{count} while it may be warming up"
    );
    // A repetition of the same heartbeat is no evidence that the instance is warm.
    bench.send_view(millis(3000), &[own.clone(), other.clone()]);
    let count = count_requests(&bench, millis(3000), 1, "own");
    assert!(
        (8..=10).contains(&count),
        "{count} after a repeated heartbeat"
    );
    let mut later = own;
    later.counter += 1;
    bench.send_view(millis(4000), &[later.clone(), other.clone()]);
    let count = count_requests(&bench, millis(4000), 1, "own");
    assert!(count > 900, "only {count} once it reports that it is warm");
    later.counter += 1;
    later.warm_up_left = millis(5000);
    bench.send_view(millis(5000), &[later, other]);
    let count = count_requests(&bench, millis(5000), 1, "own");
    assert!(
        (8..=10).contains(&count),
        "{count} when it reports warming up"
    );
}

#[test]
fn unreachable_instance_is_skipped_until_its_next_heartbeat() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let one = heartbeat("one", "e1");
    bench.send_view(Duration::ZERO, std::slice::from_ref(&one));
    let own_zone = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let choose = |shard: &mut ServiceShard, bench: &Bench, now: Duration| {
        shard.choose(now, &bench.proxy_state, &own_zone, &route(), None, &[])
    };
    let target = choose(&mut shard, &bench, millis(1)).expect("it has capacity");
    shard.begin_attempt(millis(1), &target);
    shard.record_connect_failure(millis(2), &target, one.counter);
    shard.end_attempt(millis(2), &target, false, None);
    for now in [3, 100, 1000, 2900] {
        let chosen = choose(&mut shard, &bench, millis(now));
        assert_eq!(chosen, Err(Failure::NoInstance), "after {now} ms");
    }
    let mut later = one;
    later.counter += 1;
    bench.send_view(millis(2901), &[later]);
    assert!(
        choose(&mut shard, &bench, millis(2902)).is_ok(),
        "it has sent a heartbeat"
    );
}

#[test]
fn warming_owner_of_a_keyed_service_is_rate_limited() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let keyed = Service {
        keyed: true,
        key_space: KeySpace::Ranges,
        ..service()
    };
    bench.apply(vec![put("pool/records", Value::Service { service: keyed })]);
    let mut owner = heartbeat("owner", "e1");
    owner.warm_up_left = millis(60_000);
    bench.send_view(Duration::ZERO, &[owner]);
    let range_owner = KeyRangeOwner {
        instance: InstanceId::new("owner"),
        incarnation: Incarnation(0),
        epoch: Epoch(1),
        handover: None,
    };
    let table = KeyRangeTable {
        epoch: Epoch(1),
        owners: vec![Some(range_owner)],
    };
    let key_ranges = change("t", vec![put("slices/records", Value::KeyRanges { table })]);
    let updates = ConsensusMessage::Updates {
        map: MapName::Ownership,
        changes: vec![CommittedChange {
            version: Version(1),
            change: key_ranges,
        }],
    };
    assert!(Arc::make_mut(&mut bench.proxy_state.maps)
        .apply_updates(&updates)
        .is_some());
    let own_zone = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let mut count = 0;
    for step in 0..2000 {
        let now = millis(step);
        let key = (step % 65_536).to_string();
        let chosen = shard.choose(
            now,
            &bench.proxy_state,
            &own_zone,
            &route(),
            Some(&key),
            &[],
        );
        if let Ok(target) = chosen {
            assert_eq!(target.key_range, Some((0, Epoch(1))));
            shard.begin_attempt(now, &target);
            shard.end_attempt(now, &target, true, Some(0));
            count += 1;
        }
    }
    assert!(
        (16..=20).contains(&count),
        "{count} requests in two seconds"
    );
    for key in ["65536", "-1", "x", ""] {
        let chosen = shard.choose(
            millis(2000),
            &bench.proxy_state,
            &own_zone,
            &route(),
            Some(key),
            &[],
        );
        assert_eq!(chosen, Err(Failure::BadKey), "{key}");
    }
    let missing = shard.choose(
        millis(2000),
        &bench.proxy_state,
        &own_zone,
        &route(),
        None,
        &[],
    );
    assert_eq!(missing, Err(Failure::MissingKey));
}

#[test]
fn many_proxies_do_not_send_to_a_warming_instance_in_step() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut warming = heartbeat("cold", "e1");
    warming.warm_up_left = millis(60_000);
    bench.send_view(Duration::ZERO, &[warming]);
    bench.proxy_state.proxies = 24;
    let own_zone = Zone::new("e1");
    let mut shards: Vec<ServiceShard> = (0..24)
        .map(|seed| ServiceShard::new(seed * 77 + 5))
        .collect();
    let mut sent: Vec<u64> = Vec::new();
    for step in 0..1000 {
        let now = millis(step * 10);
        for shard in &mut shards {
            if let Ok(target) =
                shard.choose(now, &bench.proxy_state, &own_zone, &route(), None, &[])
            {
                shard.begin_attempt(now, &target);
                shard.end_attempt(now, &target, true, Some(0));
                sent.push(step * 10);
            }
        }
    }
    // The bound is the rate of ten a second plus about one half; proxies in step would send 24 at once.
    let max_per_second = (0..10_000)
        .step_by(10)
        .map(|from| {
            sent.iter()
                .filter(|at| (from..from + 1000).contains(*at))
                .count()
        })
        .max();
    assert!(
        max_per_second.is_some_and(|requests| requests <= 16),
        "{max_per_second:?} requests in one second"
    );
    assert!(sent.len() >= 80, "{} requests in ten seconds", sent.len());
}
