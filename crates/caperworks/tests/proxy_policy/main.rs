//! Tests of proxy policies, kinds of requests, retries, and slow start.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bench::{heartbeat, millis, names, one_in_each_zone, route, zone_put, Bench};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, ProxyState, RecentConnects, ReportedOutcome, RequestLifecycle,
    RequestState, ServiceShard, SLOW_CONNECT,
};
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{RandomSource, Region, ServiceName, Zone};
use caperworks::link::SLOW_LINK_WINDOW;
use caperworks::map_items::{RequestKind, Route, SplitTarget};
use caperworks::policy::ProxyPolicy;

mod bench;
mod slow_start;

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
