//! Slow start: how many requests a proxy, and all proxies together, send to instances that are warming up.

use std::sync::Arc;
use std::time::Duration;

use crate::bench::{change, heartbeat, millis, put, route, service, zone_put, Bench};
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::{Failure, ServiceShard, SlowStartReason, SlowStartSummary, Target};
use caperworks::identifiers::{Epoch, Incarnation, InstanceId, Version, Zone};
use caperworks::map_items::{KeyRangeOwner, KeyRangeTable, KeySpace, Service, Value};
use caperworks::messages::ProxyPosition;
use caperworks::policy::ProxyPolicy;
use caperworks::replicated_map::MapName;

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

const TWO_REGIONS_OF_PROXIES: u32 = 24;

/// Returns the positions of that many proxies.
fn positions(proxies: u32) -> impl Iterator<Item = Option<ProxyPosition>> {
    (0..proxies).map(move |index| Some(ProxyPosition { index, proxies }))
}

/// Sends one request through the shard, and returns the instance that gets it.
fn send_one(bench: &Bench, shard: &mut ServiceShard, now: Duration) -> Option<Target> {
    let own_zone = Zone::new("e1");
    let chosen = shard.choose(now, &bench.proxy_state, &own_zone, &route(), None, &[]);
    let target = chosen.ok()?;
    shard.begin_attempt(now, &target);
    shard.end_attempt(now, &target, true, Some(0));
    Some(target)
}

#[test]
fn requests_saved_by_many_idle_proxies_do_not_flood_a_warming_instance() {
    let policy = ProxyPolicy::default();
    let mut bench = Bench::new(policy);
    for id in ["one", "two", "three", "four", "five"] {
        let mut warming = heartbeat(id, "e1");
        warming.warm_up_left = millis(60_000);
        bench.send_view(Duration::ZERO, &[warming]);
        bench.proxy_state.proxies = TWO_REGIONS_OF_PROXIES;
        let mut requests = 0;
        for position in positions(TWO_REGIONS_OF_PROXIES) {
            bench.proxy_state.position = position;
            let mut shard = ServiceShard::new(u64::from(requests) + 1);
            // The first request makes the proxy start to save; then all of them come in the same second.
            send_one(&bench, &mut shard, Duration::ZERO);
            for step in 0..10 {
                let now = millis(30_000 + step * 99);
                requests += u32::from(send_one(&bench, &mut shard, now).is_some());
            }
        }
        let limit = 10 + policy.slow_start.tolerance + 1;
        assert!(
            (5..=limit).contains(&requests),
            "{requests} requests to {id} in one second, {limit} are allowed"
        );
    }
}

#[test]
fn each_instance_has_the_same_number_of_proxies_that_send_to_it_while_it_warms_up() {
    let policy = ProxyPolicy::default();
    let mut bench = Bench::new(policy);
    for id in 0..50 {
        let mut warming = heartbeat(&format!("i-{id}"), "e1");
        warming.warm_up_left = millis(60_000);
        bench.send_view(Duration::ZERO, &[warming]);
        let senders = positions(TWO_REGIONS_OF_PROXIES).filter(|position| {
            bench.proxy_state.position = *position;
            let mut shard = ServiceShard::new(9);
            (0..20).any(|step| send_one(&bench, &mut shard, millis(step * 500)).is_some())
        });
        let max_senders = policy.slow_start.max_senders(10.0);
        assert_eq!(senders.count() as u32, max_senders);
    }
}

#[test]
fn instance_that_warms_up_again_gets_requests_at_its_slow_start_rate() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut shard = ServiceShard::new(3);
    let mut instance = heartbeat("one", "e1");
    let mut warm_ups = Vec::new();
    for warm_up in 0..3 {
        let from = millis(warm_up * 20_000);
        instance.counter += 1;
        instance.warm_up_left = millis(5000);
        bench.send_view(from, std::slice::from_ref(&instance));
        let requests =
            (0..5000).filter(|step| send_one(&bench, &mut shard, from + millis(*step)).is_some());
        warm_ups.push(requests.count());
        instance.counter += 1;
        instance.warm_up_left = Duration::ZERO;
        bench.send_view(from + millis(5000), std::slice::from_ref(&instance));
        for step in 5000..8000 {
            assert!(send_one(&bench, &mut shard, from + millis(step)).is_some());
        }
    }
    for requests in warm_ups {
        assert!(
            (40..=51).contains(&requests),
            "{requests} requests in five seconds"
        );
    }
}

/// Returns a proxy with one warm instance whose service has health checks, and whose reports are current for one
/// second.
fn bench_with_health_checks() -> Bench {
    let mut bench = Bench::new(ProxyPolicy {
        serves_stale: true,
        ..ProxyPolicy::default()
    });
    let checked = Service {
        health_path: "/health".to_string(),
        ..service()
    };
    bench.apply(vec![put(
        "pool/records",
        Value::Service { service: checked },
    )]);
    bench.reports_left = Some(millis(1000));
    bench.send_view(Duration::ZERO, &[heartbeat("one", "e1")]);
    bench
}

/// Returns how many of the requests from one moment to another, one a millisecond, were sent.
fn count_sent(bench: &Bench, shard: &mut ServiceShard, from: u64, to: u64) -> usize {
    (from..to)
        .filter(|now| send_one(bench, shard, millis(*now)).is_some())
        .count()
}

#[test]
fn report_that_an_instance_is_warm_ends() {
    let bench = bench_with_health_checks();
    let mut shard = ServiceShard::new(3);
    assert_eq!(count_sent(&bench, &mut shard, 0, 1000), 1000);
    let requests = count_sent(&bench, &mut shard, 1000, 4000);
    assert!(
        (28..=31).contains(&requests),
        "{requests} requests in three seconds at ten a second"
    );
}

#[test]
fn service_without_health_checks_is_served_on_without_current_reports() {
    let mut bench = Bench::new(ProxyPolicy {
        serves_stale: true,
        ..ProxyPolicy::default()
    });
    bench.reports_left = Some(Duration::ZERO);
    bench.send_view(Duration::ZERO, &[heartbeat("one", "e1")]);
    let mut shard = ServiceShard::new(3);
    assert_eq!(count_sent(&bench, &mut shard, 60_000, 61_000), 1000);
}

#[test]
fn health_checks_begin_before_reports_cease_to_be_current() {
    let bench = bench_with_health_checks();
    let mut shard = ServiceShard::new(3);
    let state = &bench.proxy_state;
    for (now, is_due) in [(0, false), (500, false), (700, true), (710, false)] {
        send_one(&bench, &mut shard, millis(now));
        let targets = shard.begin_health_checks(millis(now), state);
        assert_eq!(!targets.is_empty(), is_due, "after {now} ms");
        for target in targets {
            shard.end_health_check(millis(now), &target, Some(Duration::ZERO));
        }
    }
    // Nobody wants to send to it any more.
    assert!(shard.begin_health_checks(millis(9000), state).is_empty());
}

#[test]
fn health_check_admits_a_share_of_the_limit_for_half_a_second() {
    let mut bench = bench_with_health_checks();
    bench.proxy_state.proxies = 4;
    let mut shard = ServiceShard::new(3);
    send_one(&bench, &mut shard, millis(1600));
    let targets = shard.begin_health_checks(millis(2000), &bench.proxy_state);
    let [target] = targets.as_slice() else {
        panic!("{} health checks", targets.len());
    };
    shard.end_health_check(millis(2000), target, Some(Duration::ZERO));
    // The instance takes 10 and a quarter, and 4, requests a second: a quarter of these 16 for each proxy.
    assert_eq!(count_sent(&bench, &mut shard, 2000, 2100), 4);
    assert!(shard.needs_health_checks());
    assert_eq!(count_sent(&bench, &mut shard, 2100, 2500), 0);
    // Without a response it gets what it may get in slow start.
    let requests = count_sent(&bench, &mut shard, 2500, 4500);
    assert!(
        (4..=6).contains(&requests),
        "{requests} requests in two seconds"
    );
}

#[test]
fn warm_up_found_by_a_health_check_limits_requests_also_once_reports_are_current() {
    let mut bench = bench_with_health_checks();
    let mut shard = ServiceShard::new(3);
    send_one(&bench, &mut shard, millis(1600));
    let target = &shard.begin_health_checks(millis(2000), &bench.proxy_state)[0];
    shard.end_health_check(millis(2000), target, Some(millis(3000)));
    bench.reports_left = Some(millis(60_000));
    bench.send_view(millis(2100), &[heartbeat("one", "e1")]);
    let requests = count_sent(&bench, &mut shard, 2100, 5000);
    assert!((27..=30).contains(&requests), "{requests} requests");
    assert_eq!(count_sent(&bench, &mut shard, 5000, 5100), 100);
}

#[test]
fn suspected_instance_is_checked_before_it_gets_its_usual_requests() {
    let mut bench = bench_with_health_checks();
    bench.proxy_state.suspected.insert(InstanceId::new("one"));
    let mut shard = ServiceShard::new(3);
    let requests = count_sent(&bench, &mut shard, 0, 1000);
    assert!(requests <= 11, "{requests} requests in a second");
    assert!(shard.needs_health_checks());
}

#[test]
fn end_of_a_slow_start_is_reported_with_what_was_sent() {
    let mut bench = Bench::new(ProxyPolicy::default());
    let mut warming = heartbeat("one", "e1");
    warming.warm_up_left = millis(3000);
    bench.send_view(Duration::ZERO, &[warming]);
    let mut shard = ServiceShard::new(3);
    let sent = count_sent(&bench, &mut shard, 0, 3000);
    assert_eq!(shard.end_slow_starts(millis(3100)), []);
    let summary = SlowStartSummary {
        instance: InstanceId::new("one"),
        reason: SlowStartReason::Reported,
        duration: millis(2999),
        rate: 10.0,
        requests: sent as u32,
    };
    assert_eq!(shard.end_slow_starts(millis(4000)), [summary]);
    assert_eq!(shard.end_slow_starts(millis(4000)), []);
}
