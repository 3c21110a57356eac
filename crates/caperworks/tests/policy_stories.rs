//! Stories of what operators may want of a proxy, of kinds of routes, and of cold instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, Openings, ProxyKnowledge, ReportedOutcome, RequestChart,
    RequestState, ServiceShard, SLOW_OPENING,
};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    steady_hash, Chance, ChangeId, Epoch, Incarnation, InstanceId, NodeId, Region, ServiceName,
    Version, Zone,
};
use caperworks::link::SLOW_LINK_SPAN;
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
    let port = 7000 + (steady_hash(name) % 1000) as u16;
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
        up: Duration::MAX,
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
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

/// A proxy in zone e1 and what it is told: e1 and e2 lie east, w1 west, n1 north.
struct Bench {
    known: ProxyKnowledge,
    /// For how long the agent takes the core's silence for a slow link.
    link_slow_for: Duration,
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
        let known = ProxyKnowledge {
            policy,
            ..ProxyKnowledge::default()
        };
        Self {
            known,
            link_slow_for: Duration::ZERO,
            configuration,
            views: 0,
        }
    }

    fn applies(&mut self, puts: Vec<Put>) {
        let id = format!("change-{}", self.configuration.version);
        self.configuration.apply(&change(&id, puts));
    }

    /// The agent tells all that stands, and these instances.
    fn reported_outcome(&mut self, now: Duration, heartbeats: &[Heartbeat]) {
        self.views += 1;
        let full_map = self.configuration.clone();
        let view = ProxyView {
            agent: NodeId(1),
            instances_offset: 1,
            all_instances: true,
            link_slow_for: self.link_slow_for,
            silent: Vec::new(),
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
        self.known.take(now, &view);
    }

    fn admits(&self, now: Duration, route: &Route) -> Result<(), Failure> {
        self.known.admits(now, &Zone::new("e1"), route)
    }

    /// Which of these instances are chosen in many tries, all free again after each.
    fn chosen(&self, now: Duration, route: &Route) -> BTreeSet<String> {
        let mut shard = ServiceShard::new(1);
        let mut names = BTreeSet::new();
        let own = Zone::new("e1");
        for _ in 0..300 {
            if let Ok(target) = shard.choose(now, &self.known, &own, route, None, &[]) {
                let still = self.known.still_good(now, &own, route, &target);
                assert_eq!(still, Ok(()));
                // Why not ended: busy ones make room for all others that may be chosen at all.
                shard.begin(now, &target);
                names.insert(target.instance.to_string());
            }
        }
        names
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

fn one_everywhere() -> Vec<Heartbeat> {
    ["e1", "e2", "w1", "n1"]
        .iter()
        .map(|zone| {
            let mut heartbeat = heartbeat(&format!("in-{zone}"), zone);
            heartbeat.capacity = 1;
            heartbeat
        })
        .collect()
}

const LONG_AFTER: Duration = Duration::from_secs(100_000);

#[test]
fn given_a_proxy_that_serves_on_when_the_core_is_gone_for_long_then_it_goes_on_as_it_last_knew() {
    for serves_on in [true, false] {
        let mut bench = Bench::new(ProxyPolicy {
            serves_on,
            ..ProxyPolicy::default()
        });
        bench.reported_outcome(Duration::ZERO, &one_everywhere());
        assert_eq!(bench.admits(millis(2999), &route()), Ok(()));
        let found = bench.known.find(LONG_AFTER, "a.example", "/x");
        assert!(
            found.is_ok(),
            "what it has a route for is no matter of time"
        );
        let expected = if serves_on {
            Ok(())
        } else {
            Err(Failure::Stale)
        };
        assert_eq!(bench.admits(LONG_AFTER, &route()), expected);
        if serves_on {
            assert!(bench.chosen(LONG_AFTER, &route()).contains("in-e1"));
        }
    }
}

#[test]
fn given_a_proxy_that_serves_on_when_its_link_is_only_slow_then_it_refuses_until_that_is_a_cut() {
    let mut bench = Bench::new(ProxyPolicy {
        serves_on: true,
        ..ProxyPolicy::default()
    });
    bench.link_slow_for = millis(4000);
    bench.reported_outcome(Duration::ZERO, &one_everywhere());
    assert_eq!(bench.admits(millis(2999), &route()), Ok(()));
    assert_eq!(bench.admits(millis(3000), &route()), Err(Failure::Stale));
    assert_eq!(bench.admits(millis(3999), &route()), Err(Failure::Stale));
    assert_eq!(bench.admits(millis(4000), &route()), Ok(()));
}

#[test]
fn given_a_proxy_that_serves_on_when_its_own_link_is_full_then_it_refuses_until_that_is_over() {
    let mut bench = Bench::new(ProxyPolicy {
        serves_on: true,
        ..ProxyPolicy::default()
    });
    bench.reported_outcome(Duration::ZERO, &one_everywhere());
    bench.known.link_watch.record_full(millis(2000));
    // Its lease counts first, and views that come later do not undo what it saw itself.
    assert_eq!(bench.admits(millis(2999), &route()), Ok(()));
    assert_eq!(bench.admits(millis(3000), &route()), Err(Failure::Stale));
    bench.reported_outcome(millis(3500), &one_everywhere());
    assert_eq!(bench.admits(millis(3600), &route()), Ok(()));
    assert_eq!(bench.admits(millis(6500), &route()), Err(Failure::Stale));
    let over = millis(2000) + SLOW_LINK_SPAN;
    assert_eq!(bench.admits(over, &route()), Ok(()));
}

#[test]
fn given_connections_that_open_slowly_when_most_of_late_did_then_the_link_counts_as_full() {
    let (slow, quick) = (SLOW_OPENING, millis(110));
    let mut openings = Openings::default();
    assert!(!openings.record(millis(100), slow), "one may be down");
    assert!(!openings.record(millis(200), slow), "two tell little");
    assert!(openings.record(millis(300), slow));
    assert!(openings.record(millis(400), quick), "three of four");
    assert!(openings.record(millis(500), quick), "three of five");
    assert!(!openings.record(millis(600), quick), "half of them");
    // The slow ones are over by then.
    assert!(!openings.record(millis(2500), quick));
    for step in 0..10 {
        let took = if step % 2 == 0 { slow } else { quick };
        let now = millis(10_000 + 100 * step);
        assert!(
            !openings.record(now, took) || step % 2 == 0,
            "at step {step}"
        );
    }
}

#[test]
fn given_a_proxy_that_serves_on_when_it_never_knew_anything_then_it_refuses_as_out_of_touch() {
    let known = ProxyKnowledge {
        policy: ProxyPolicy {
            serves_on: true,
            ..ProxyPolicy::default()
        },
        ..ProxyKnowledge::default()
    };
    let admitted = known.admits(millis(10), &Zone::new("e1"), &route());
    assert_eq!(admitted, Err(Failure::Stale));
    let found = known.find(millis(10), "a.example", "/").map(|_| ());
    assert_eq!(found, Err(Failure::Stale), "not that there is no route");
    assert_eq!(Failure::Stale.reported_outcome(), ReportedOutcome::NotRun);
}

#[test]
fn given_a_closed_zone_when_its_own_proxies_carry_on_then_only_to_instances_elsewhere() {
    for carries in [true, false] {
        let mut bench = Bench::new(ProxyPolicy {
            closed_zone_carries: carries,
            ..ProxyPolicy::default()
        });
        bench.reported_outcome(Duration::ZERO, &one_everywhere());
        bench.applies(vec![zone_put("e1", "east", true)]);
        bench.reported_outcome(millis(100), &one_everywhere());
        if carries {
            assert_eq!(bench.admits(millis(200), &route()), Ok(()));
            let chosen = bench.chosen(millis(200), &route());
            assert_eq!(chosen, names(&["in-e2", "in-n1", "in-w1"]));
        } else {
            let refused = Err(Failure::ZoneClosed);
            assert_eq!(bench.admits(millis(200), &route()), refused);
        }
    }
}

#[test]
fn given_a_target_in_a_zone_that_closes_when_the_last_check_comes_then_nothing_is_sent_there() {
    let mut bench = Bench::new(ProxyPolicy {
        closed_zone_carries: true,
        ..ProxyPolicy::default()
    });
    bench.reported_outcome(Duration::ZERO, &[heartbeat("in-e1", "e1")]);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(1), &bench.known, &own, &route(), None, &[])
        .expect("it is free");
    bench.applies(vec![zone_put("e1", "east", true)]);
    bench.reported_outcome(millis(100), &[heartbeat("in-e1", "e1")]);
    let still = bench.known.still_good(millis(101), &own, &route(), &target);
    assert_eq!(still, Err(Failure::NoInstance));
}

#[test]
fn given_a_proxy_outside_a_routes_home_when_it_carries_home_then_only_to_instances_at_home() {
    let mut bound = route();
    bound.homes = vec![Region::new("west")];
    for carries_home in [true, false] {
        let mut bench = Bench::new(ProxyPolicy {
            carries_home,
            ..ProxyPolicy::default()
        });
        bench.reported_outcome(Duration::ZERO, &one_everywhere());
        if carries_home {
            assert_eq!(bench.admits(millis(1), &bound), Ok(()));
            assert_eq!(bench.chosen(millis(1), &bound), names(&["in-w1"]));
            let absent: Vec<Heartbeat> = one_everywhere()
                .into_iter()
                .filter(|heartbeat| heartbeat.zone.as_str() != "w1")
                .collect();
            bench.reported_outcome(millis(2), &absent);
            assert_eq!(bench.chosen(millis(3), &bound), names(&[]), "never beyond");
        } else {
            assert_eq!(bench.admits(millis(1), &bound), Err(Failure::OutsideHome));
        }
    }
}

#[test]
fn given_a_route_with_several_homes_when_chosen_then_all_of_them_and_no_other_region() {
    let mut bench = Bench::new(ProxyPolicy::default());
    bench.reported_outcome(Duration::ZERO, &one_everywhere());
    let mut bound = route();
    bound.homes = vec![Region::new("north"), Region::new("east")];
    assert_eq!(bench.admits(millis(1), &bound), Ok(()));
    let chosen = bench.chosen(millis(1), &bound);
    assert_eq!(chosen, names(&["in-e1", "in-e2", "in-n1"]));
    bound.homes = vec![Region::new("north"), Region::new("west")];
    assert_eq!(bench.admits(millis(1), &bound), Err(Failure::OutsideHome));
}

#[test]
fn given_a_split_by_weights_when_drawn_many_times_then_parts_come_in_proportion() {
    let part = |service: &str, weight: u32| SplitTarget {
        service: ServiceName::new(service),
        weight,
    };
    let mut split = route();
    split.service = ServiceName::new("never");
    split.split = vec![part("a", 1), part("none", 0), part("b", 30), part("c", 69)];
    let mut chance = Chance::seeded(5);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..100_000 {
        let service = split.service_for(chance.draw()).to_string();
        *counts.entry(service).or_default() += 1;
    }
    let listed: Vec<&str> = counts.keys().map(String::as_str).collect();
    assert_eq!(
        listed,
        ["a", "b", "c"],
        "neither weight 0 nor another service"
    );
    for (service, expected) in [("a", 1000), ("b", 30_000), ("c", 69_000)] {
        let off = counts[service].abs_diff(expected);
        assert!(
            off <= expected / 5 && off <= 1000,
            "{service}: {}",
            counts[service]
        );
    }
    let leads_to: Vec<&str> = split.services().map(ServiceName::as_str).collect();
    assert!(!leads_to.contains(&"never"));
}

#[test]
fn given_no_split_when_drawn_then_the_routes_own_service_takes_all() {
    let mut chance = Chance::seeded(6);
    for _ in 0..100 {
        assert_eq!(route().service_for(chance.draw()).as_str(), "records");
    }
}

/// A request of this kind whose first attempt is under way.
fn sent(kind: RequestKind, reads: bool, max_attempts: u32) -> RequestChart {
    let mut chart = RequestChart::received(reads);
    let route = Route {
        kind,
        max_attempts,
        ..route()
    };
    chart.matched(millis(0), &route);
    chart.admitted(true);
    chart.chosen();
    chart.shooting();
    chart.sent();
    chart
}

#[test]
fn given_each_kind_and_method_when_an_attempt_may_have_run_then_only_repeatable_is_tried_again() {
    for (kind, reads, again) in [
        (RequestKind::ByMethod, true, true),
        (RequestKind::ByMethod, false, false),
        (RequestKind::Repeatable, true, true),
        (RequestKind::Repeatable, false, true),
        (RequestKind::Once, true, false),
        (RequestKind::Once, false, false),
        (RequestKind::Upload, true, false),
        (RequestKind::Upload, false, false),
    ] {
        for end in [AttemptEnd::Lost, AttemptEnd::Garbage] {
            let mut chart = sent(kind, reads, 0);
            let step = chart.attempt_ended(millis(10), end, || true);
            let is_again = step == NextStep::ShootAgain;
            assert_eq!(is_again, again, "{kind:?} reads {reads} {end:?}");
            if let NextStep::Respond(failure) = step {
                assert_eq!(
                    chart.reported_outcome(failure),
                    ReportedOutcome::Unknown,
                    "{kind:?} {end:?}"
                );
            }
        }
        // What provably did not run may go elsewhere, whatever it is.
        let mut chart = sent(kind, reads, 0);
        let step = chart.attempt_ended(millis(10), AttemptEnd::RefusedByInstance, || true);
        assert_eq!(step, NextStep::ShootAgain, "{kind:?} reads {reads}");
    }
}

#[test]
fn given_a_refused_attempt_when_the_second_one_is_lost_then_a_once_request_ends_as_unknown() {
    let mut chart = sent(RequestKind::Once, true, 0);
    let step = chart.attempt_ended(millis(10), AttemptEnd::RefusedByInstance, || true);
    assert_eq!(step, NextStep::ShootAgain);
    chart.chosen();
    chart.shooting();
    let step = chart.attempt_ended(millis(20), AttemptEnd::Lost, || true);
    assert_eq!(step, NextStep::Respond(Failure::LostAfterSending));
    assert_eq!(
        chart.reported_outcome(Failure::LostAfterSending),
        ReportedOutcome::Unknown
    );
}

#[test]
fn given_most_attempts_when_every_one_is_refused_then_so_many_are_made_and_no_more() {
    for (most, expected) in [(1, 1), (2, 2), (5, 5), (0, 3)] {
        let mut chart = sent(RequestKind::Repeatable, true, most);
        let mut attempts = 1;
        while chart.attempt_ended(millis(10), AttemptEnd::RefusedByInstance, || true)
            == NextStep::ShootAgain
        {
            chart.chosen();
            chart.shooting();
            attempts += 1;
        }
        assert_eq!(attempts, expected, "most {most}");
        assert_eq!(chart.attempts(), expected);
        assert_eq!(chart.state(), RequestState::Refused);
    }
}

#[test]
fn given_a_caller_that_waits_less_than_the_route_when_its_time_is_over_then_no_attempt_follows() {
    let mut chart = sent(RequestKind::Repeatable, true, 0);
    chart.caller_waits(millis(300));
    assert_eq!(chart.deadline(), millis(300));
    chart.caller_waits(millis(5000));
    assert_eq!(
        chart.deadline(),
        millis(300),
        "a longer one changes nothing"
    );
    let step = chart.attempt_ended(millis(299), AttemptEnd::NotOpened, || true);
    assert_eq!(step, NextStep::ShootAgain);
    chart.shooting();
    let step = chart.attempt_ended(millis(300), AttemptEnd::NotOpened, || true);
    assert_eq!(step, NextStep::Respond(Failure::NotOpened));
    let mut patient = sent(RequestKind::Repeatable, true, 0);
    patient.caller_waits(millis(5000));
    assert_eq!(patient.deadline(), millis(1000), "the route's own holds");
}

/// How many requests of one a millisecond an instance gets over some seconds.
fn carried(bench: &Bench, from: Duration, seconds: u64, name: &str) -> u32 {
    let mut shard = ServiceShard::new(3);
    let own = Zone::new("e1");
    let mut count = 0;
    for step in 0..seconds * 1000 {
        let now = from + millis(step);
        if let Ok(target) = shard.choose(now, &bench.known, &own, &route(), None, &[]) {
            shard.begin(now, &target);
            shard.end(now, &target, true, Some(0));
            count += u32::from(target.instance.as_str() == name);
        }
    }
    count
}

#[test]
fn given_an_instance_that_says_it_is_cold_when_wanted_by_all_then_it_is_held_to_its_rate() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut cold = heartbeat("cold", "e1");
    cold.warm_up_left = millis(1);
    bench.reported_outcome(Duration::ZERO, &[cold.clone(), heartbeat("warm", "e2")]);
    let count = carried(&bench, Duration::ZERO, 10, "cold");
    // Ten a second for ten seconds, without a burst at the start.
    assert!((80..=100).contains(&count), "{count} went to the cold one");
    // With several proxies each one keeps to its part.
    bench.known.proxies = 5;
    let count = carried(&bench, Duration::ZERO, 10, "cold");
    assert!((16..=20).contains(&count), "{count} by one proxy of five");
    cold.warm_up_left = Duration::ZERO;
    cold.counter += 1;
    bench.reported_outcome(millis(10_000), &[cold, heartbeat("warm", "e2")]);
    let count = carried(&bench, millis(10_000), 1, "cold");
    assert!(count > 900, "warm it takes nearly all near by, not {count}");
}

#[test]
fn given_a_cold_instance_alone_when_idle_for_long_then_no_burst_was_saved_up() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut cold = heartbeat("cold", "e1");
    cold.warm_up_left = millis(60_000);
    bench.reported_outcome(Duration::ZERO, &[cold]);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(3);
    let _ = shard.choose(Duration::ZERO, &bench.known, &own, &route(), None, &[]);
    let mut count = 0;
    for _ in 0..50 {
        let now = millis(2900);
        if let Ok(target) = shard.choose(now, &bench.known, &own, &route(), None, &[]) {
            shard.begin(now, &target);
            shard.end(now, &target, true, Some(0));
            count += 1;
        }
    }
    assert_eq!(count, 1);
}

#[test]
fn given_a_zone_taken_back_when_no_later_heartbeat_has_come_then_its_instances_count_as_cold() {
    let mut bench = Bench::new(ProxyPolicy {
        closed_zone_carries: true,
        ..ProxyPolicy::default()
    });
    let (own, other) = (heartbeat("own", "e1"), heartbeat("other", "w1"));
    bench.reported_outcome(Duration::ZERO, &[own.clone(), other.clone()]);
    bench.applies(vec![zone_put("e1", "east", true)]);
    bench.reported_outcome(millis(1000), &[own.clone(), other.clone()]);
    assert_eq!(carried(&bench, millis(1000), 1, "own"), 0, "closed");
    bench.applies(vec![zone_put("e1", "east", false)]);
    bench.reported_outcome(millis(2000), &[own.clone(), other.clone()]);
    let count = carried(&bench, millis(2000), 1, "own");
    assert!((8..=10).contains(&count), "{count} while it may be cold");
    // The same heartbeat told again says nothing new.
    bench.reported_outcome(millis(3000), &[own.clone(), other.clone()]);
    let count = carried(&bench, millis(3000), 1, "own");
    assert!(
        (8..=10).contains(&count),
        "{count} on the word of an old beat"
    );
    let mut later = own;
    later.counter += 1;
    bench.reported_outcome(millis(4000), &[later.clone(), other.clone()]);
    let count = carried(&bench, millis(4000), 1, "own");
    assert!(count > 900, "{count} once it said that it is warm");
    later.counter += 1;
    later.warm_up_left = millis(5000);
    bench.reported_outcome(millis(5000), &[later, other]);
    let count = carried(&bench, millis(5000), 1, "own");
    assert!((8..=10).contains(&count), "{count} by its own word");
}

#[test]
fn given_an_instance_that_could_not_be_reached_when_it_has_not_beaten_then_it_is_left_alone() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let one = heartbeat("one", "e1");
    bench.reported_outcome(Duration::ZERO, std::slice::from_ref(&one));
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let choose = |shard: &mut ServiceShard, bench: &Bench, now: Duration| {
        shard.choose(now, &bench.known, &own, &route(), None, &[])
    };
    let target = choose(&mut shard, &bench, millis(1)).expect("it is free");
    shard.begin(millis(1), &target);
    shard.not_opened(millis(2), &target, one.counter);
    shard.end(millis(2), &target, false, None);
    for now in [3, 100, 1000, 2900] {
        let refused = choose(&mut shard, &bench, millis(now));
        assert_eq!(refused, Err(Failure::NoInstance), "after {now}");
    }
    let mut later = one;
    later.counter += 1;
    bench.reported_outcome(millis(2901), &[later]);
    assert!(
        choose(&mut shard, &bench, millis(2902)).is_ok(),
        "it heartbeat"
    );
}

#[test]
fn given_a_keyed_service_when_its_cold_owner_is_wanted_by_all_then_it_is_held_to_its_rate() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let keyed = Service {
        keyed: true,
        key_space: KeySpace::Ranges,
        ..service()
    };
    bench.applies(vec![put("pool/records", Value::Service { service: keyed })]);
    let mut owner = heartbeat("owner", "e1");
    owner.warm_up_left = millis(60_000);
    bench.reported_outcome(Duration::ZERO, &[owner]);
    let holder = KeyRangeOwner {
        instance: InstanceId::new("owner"),
        incarnation: Incarnation(0),
        epoch: Epoch(1),
        handover: None,
    };
    let table = KeyRangeTable {
        epoch: Epoch(1),
        owners: vec![Some(holder)],
    };
    let key_ranges = change("t", vec![put("slices/records", Value::KeyRanges { table })]);
    let updates = ConsensusMessage::Updates {
        map: MapName::Ownership,
        changes: vec![CommittedChange {
            version: Version(1),
            change: key_ranges,
        }],
    };
    assert!(Arc::make_mut(&mut bench.known.maps)
        .take(&updates)
        .is_some());
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let mut count = 0;
    for step in 0..2000 {
        let now = millis(step);
        let key = (step % 65_536).to_string();
        let chosen = shard.choose(now, &bench.known, &own, &route(), Some(&key), &[]);
        if let Ok(target) = chosen {
            assert_eq!(target.key_range, Some((0, Epoch(1))));
            shard.begin(now, &target);
            shard.end(now, &target, true, Some(0));
            count += 1;
        }
    }
    assert!((16..=20).contains(&count), "{count} in two seconds");
    for key in ["65536", "-1", "x", ""] {
        let chosen = shard.choose(millis(2000), &bench.known, &own, &route(), Some(key), &[]);
        assert_eq!(chosen, Err(Failure::BadKey), "{key}");
    }
    let missing = shard.choose(millis(2000), &bench.known, &own, &route(), None, &[]);
    assert_eq!(missing, Err(Failure::MissingKey));
}

#[test]
fn given_many_proxies_that_see_an_instance_cold_at_once_then_they_never_send_together() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut cold = heartbeat("cold", "e1");
    cold.warm_up_left = millis(60_000);
    bench.reported_outcome(Duration::ZERO, &[cold]);
    bench.known.proxies = 24;
    let own = Zone::new("e1");
    let mut shards: Vec<ServiceShard> = (0..24)
        .map(|seed| ServiceShard::new(seed * 77 + 5))
        .collect();
    let mut sent: Vec<u64> = Vec::new();
    for step in 0..1000 {
        let now = millis(step * 10);
        for shard in &mut shards {
            if let Ok(target) = shard.choose(now, &bench.known, &own, &route(), None, &[]) {
                shard.begin(now, &target);
                shard.end(now, &target, true, Some(0));
                sent.push(step * 10);
            }
        }
    }
    // Why this bound: ten a second and half as many again; 24 at once when they keep in step.
    let most = (0..10_000)
        .step_by(10)
        .map(|from| {
            sent.iter()
                .filter(|at| (from..from + 1000).contains(*at))
                .count()
        })
        .max();
    assert!(
        most.is_some_and(|most| most <= 16),
        "{most:?} in one second"
    );
    assert!(sent.len() >= 80, "{} in ten seconds", sent.len());
}
