//! Tests of request handling: the request lifecycle, the budgets, the choice of an instance, and
//! the check of the configuration.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caperworks::configuration::{check_configuration, RouteTable};
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, ProxyState, ReportedOutcome, RequestLifecycle, RequestState,
    RetryBudget, ServiceShard, Target,
};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    ChangeId, Epoch, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::map_items::{KeyRangeOwner, KeyRangeTable, Route, Service, Value, ZoneSettings};
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
        homes: Vec::new(),
        deadline: millis(1000),
        body_limit: 1000,
        key_header: None,
        ..Route::default()
    }
}

fn service() -> Service {
    Service {
        keyed: false,
        key_ranges: 4,
        instance_cap: 4,
        key_cap: 2,
        slow_start_rate_milli: 12000,
        warm_up_period: millis(5000),
        ..Service::default()
    }
}

fn sent_request(read: bool) -> RequestLifecycle {
    let mut lifecycle = RequestLifecycle::received(read);
    lifecycle.matched(millis(0), &route());
    lifecycle.admitted(true);
    lifecycle.chosen();
    lifecycle.begin_attempt();
    lifecycle.sent();
    lifecycle
}

#[test]
fn write_with_lost_response_is_not_retried_and_reported_unknown() {
    for end in [
        AttemptEnd::ConnectionLost,
        AttemptEnd::MalformedResponse,
        AttemptEnd::DeadlineExceeded,
    ] {
        let mut lifecycle = sent_request(false);
        match lifecycle.attempt_ended(millis(10), end, || true) {
            NextStep::Respond(failure) => {
                assert_eq!(
                    lifecycle.reported_outcome(failure),
                    ReportedOutcome::Unknown
                )
            }
            other => panic!("{end:?} led to {other:?}"),
        }
        assert_eq!(lifecycle.state(), RequestState::Unknown);
    }
}

#[test]
fn write_that_did_not_run_is_retried_within_the_budget() {
    let mut lifecycle = sent_request(false);
    let step = lifecycle.attempt_ended(millis(10), AttemptEnd::RejectedByInstance, || true);
    assert_eq!(step, NextStep::Retry);
    lifecycle.begin_attempt();
    let step = lifecycle.attempt_ended(millis(20), AttemptEnd::NotOpened, || false);
    assert_eq!(step, NextStep::Respond(Failure::NotOpened));
    assert_eq!(
        lifecycle.reported_outcome(Failure::NotOpened),
        ReportedOutcome::NotRun
    );
}

#[test]
fn read_with_unknown_outcome_is_never_reported_as_not_run() {
    let mut lifecycle = sent_request(true);
    let step = lifecycle.attempt_ended(millis(10), AttemptEnd::ConnectionLost, || true);
    assert_eq!(step, NextStep::Retry);
    lifecycle.fail(Failure::NoInstance);
    assert_eq!(
        lifecycle.reported_outcome(Failure::NoInstance),
        ReportedOutcome::Unknown
    );
    assert_eq!(lifecycle.state(), RequestState::Unknown);
}

#[test]
fn failed_attempt_past_the_deadline_is_not_retried() {
    let mut lifecycle = sent_request(true);
    let step = lifecycle.attempt_ended(millis(1500), AttemptEnd::NotOpened, || true);
    assert_eq!(step, NextStep::Respond(Failure::NotOpened));
}

#[test]
fn retries_of_twelve_proxies_stay_within_the_requirement() {
    let mut budgets: Vec<RetryBudget> = (0..12).map(|_| RetryBudget::default()).collect();
    let mut retries = VecDeque::new();
    let mut first = VecDeque::new();
    for step in 0..60_000_u64 {
        let now = millis(step);
        // Bursts, pauses, and a steady stream in turn.
        let busy = match step / 10_000 {
            0 => step % 2 == 0,
            1 => false,
            2 => step % 500 < 100,
            _ => step % 7 == 0,
        };
        if busy {
            let budget = &mut budgets[(step % 12) as usize];
            budget.record_first_attempt(now);
            first.push_back(step);
            for _ in 0..2 {
                if budget.take(now) {
                    retries.push_back(step);
                }
            }
        }
        for window in [&mut first, &mut retries] {
            while window.front().is_some_and(|at| step - at > 10_000) {
                window.pop_front();
            }
        }
        let allowed = first.len() / 5 + 36;
        assert!(
            retries.len() <= allowed,
            "{} retries at {now:?}",
            retries.len()
        );
    }
}

/// The state of a proxy that knows these instances.
fn proxy_state(heartbeats: &[Heartbeat]) -> ProxyState {
    let mut configuration = ReplicatedMap::empty();
    let zones = [("e1", "east"), ("e2", "east"), ("w1", "west")];
    let mut puts: Vec<Put> = zones
        .iter()
        .map(|(zone, region)| Put {
            key: format!("area/{zone}"),
            expected: None,
            value: Some(Value::Zone {
                zone: ZoneSettings {
                    region: Region::new(*region),
                    closed: false,
                },
            }),
            written: None,
        })
        .collect();
    puts.push(Put {
        key: "pool/records".to_string(),
        expected: None,
        value: Some(Value::Service { service: service() }),
        written: None,
    });
    let change = Change {
        id: ChangeId::new("first"),
        puts,
        guards: Vec::new(),
    };
    configuration.apply(&change);
    let mut proxy_state = ProxyState::default();
    let view = ProxyView {
        agent: NodeId(1),
        instances_offset: 1,
        all_instances: true,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        number: 1,
        left: millis(3000),
        updates: vec![ConsensusMessage::Snapshot {
            map: MapName::Configuration,
            full_map: configuration,
        }],
        instances: heartbeats.to_vec(),
        proxies: 12,
        configuration: Version(1),
        ownership: Version(0),
        position: None,
        reports_left: None,
    };
    proxy_state.apply_view(Duration::ZERO, &view);
    proxy_state
}

fn heartbeat(name: &str, zone: &str, up: u64) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(name),
        incarnation: Incarnation(1),
        counter: 1,
        service: ServiceName::new("records"),
        zone: Zone::new(zone),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        uptime: millis(up),
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

#[test]
fn twelve_proxies_together_keep_the_slow_start_rate() {
    let state = proxy_state(&[heartbeat("cold", "e1", 0), heartbeat("warm", "e2", 60_000)]);
    let own = Zone::new("e1");
    let mut shards: Vec<ServiceShard> = (0..12).map(ServiceShard::new).collect();
    let mut sent = 0;
    for step in 0..5000_u64 {
        let now = millis(step);
        let shard = &mut shards[(step % 12) as usize];
        if let Ok(target) = shard.choose(now, &state, &own, &route(), None, &[]) {
            shard.begin_attempt(now, &target);
            shard.end_attempt(now, &target, true, Some(0));
            sent += u32::from(target.instance.as_str() == "cold");
        }
    }
    // Twelve a second for five seconds, and no burst at the start.
    assert!(
        (40..=62).contains(&sent),
        "{sent} requests went to the instance in slow start"
    );
}

#[test]
fn choice_prefers_the_own_zone_and_never_leaves_the_home_region() {
    let near = heartbeat("near", "e1", 60_000);
    let same_region = heartbeat("region", "e2", 60_000);
    let far = heartbeat("far", "w1", 60_000);
    let mut state = proxy_state(&[near, same_region, far]);
    state.proxies = 1;
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let mut bound = route();
    bound.homes = vec![Region::new("east")];
    let mut request = Vec::new();
    while let Ok(target) = shard.choose(millis(1), &state, &own, &bound, None, &[]) {
        shard.begin_attempt(millis(1), &target);
        request.push(target.instance.to_string());
    }
    let expected: Vec<String> = ["near"; 4]
        .iter()
        .chain(&["region"; 4])
        .map(|name| (*name).to_string())
        .collect();
    assert_eq!(
        request, expected,
        "four requests each, and none in the other region"
    );
    let target = shard
        .choose(millis(1), &state, &own, &route(), None, &[])
        .expect("the route has no home region");
    assert_eq!(target.instance.as_str(), "far");
}

#[test]
fn service_stays_available_when_every_instance_is_ejected() {
    let heartbeats: Vec<Heartbeat> = (0..4)
        .map(|number| heartbeat(&format!("i{number}"), "e1", 60_000))
        .collect();
    let state = proxy_state(&heartbeats);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    for step in 0..200 {
        let target = shard
            .choose(millis(step), &state, &own, &route(), None, &[])
            .expect("some instance is always chosen");
        shard.begin_attempt(millis(step), &target);
        shard.end_attempt(millis(step), &target, false, None);
    }
}

#[test]
fn check_before_sending_detects_changes_since_the_choice() {
    let state = proxy_state(&[heartbeat("one", "e1", 60_000)]);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(1), &state, &own, &route(), None, &[])
        .expect("the instance has capacity");
    assert_eq!(
        state.check_before_send(millis(1), &own, &route(), &target),
        Ok(())
    );
    let late = state.check_before_send(millis(3000), &own, &route(), &target);
    assert_eq!(late, Err(Failure::Stale));
    let mut draining = heartbeat("one", "e1", 60_000);
    draining.state = InstanceState::Draining;
    let state = proxy_state(&[draining]);
    assert_eq!(
        state.check_before_send(millis(1), &own, &route(), &target),
        Err(Failure::NoInstance)
    );
    let mut restarted = heartbeat("one", "e1", 60_000);
    restarted.incarnation = Incarnation(2);
    let state = proxy_state(&[restarted]);
    assert_eq!(
        state.check_before_send(millis(1), &own, &route(), &target),
        Err(Failure::NoInstance)
    );
    let mut state = proxy_state(&[heartbeat("one", "e1", 60_000)]);
    state.closed_zones.insert(own.clone());
    assert_eq!(
        state.check_before_send(millis(1), &own, &route(), &target),
        Err(Failure::ZoneClosed)
    );
}

/// The state of a proxy that knows a keyed service with one key range and one owner.
fn keyed_proxy_state() -> ProxyState {
    let mut state = proxy_state(&[heartbeat("owner", "e1", 60_000)]);
    let mut keyed = service();
    keyed.keyed = true;
    keyed.key_ranges = 1;
    let owner = KeyRangeOwner {
        instance: InstanceId::new("owner"),
        incarnation: Incarnation(1),
        epoch: Epoch(1),
        handover: None,
    };
    let table = KeyRangeTable {
        epoch: Epoch(1),
        owners: vec![Some(owner)],
    };
    for (map, version, key, value) in [
        (
            MapName::Configuration,
            2,
            "pool/records",
            Value::Service { service: keyed },
        ),
        (
            MapName::Ownership,
            1,
            "slices/records",
            Value::KeyRanges { table },
        ),
    ] {
        let put = Put {
            key: key.to_string(),
            expected: None,
            value: Some(value),
            written: None,
        };
        let change = Change {
            id: ChangeId::new(key),
            puts: vec![put],
            guards: Vec::new(),
        };
        let changes = vec![CommittedChange {
            version: Version(version),
            change,
        }];
        assert!(Arc::make_mut(&mut state.maps)
            .apply_updates(&ConsensusMessage::Updates { map, changes })
            .is_some());
    }
    state
}

#[test]
fn hot_key_leaves_owner_capacity_for_other_keys() {
    let mut state = keyed_proxy_state();
    state.proxies = 1;
    let mut shard = ServiceShard::new(1);
    let own = Zone::new("e1");
    let mut choose = |key: &str| {
        let target = shard.choose(millis(1), &state, &own, &route(), Some(key), &[]);
        target.inspect(|target| shard.begin_attempt(millis(1), target))
    };
    assert!(choose("hot").is_ok() && choose("hot").is_ok());
    assert_eq!(
        choose("hot"),
        Err(Failure::NoInstance),
        "the limit per key is two at once"
    );
    assert!(
        choose("cool").is_ok(),
        "the hot key must not take the whole capacity of the owner"
    );
}

#[test]
fn twelve_proxies_together_stay_near_the_key_cap() {
    let state = keyed_proxy_state();
    let own = Zone::new("e1");
    let mut shards: Vec<ServiceShard> = (0..12).map(ServiceShard::new).collect();
    let mut in_flight: Vec<Option<(u64, Target)>> = vec![None; 12];
    let mut busy = 0;
    for step in 0..4000_u64 {
        let now = millis(step);
        let load = in_flight.iter().flatten().count() as u32;
        for (shard, request) in shards.iter_mut().zip(&mut in_flight) {
            if let Some((_, target)) = request.take_if(|(since, _)| step - *since >= 20) {
                shard.end_attempt(now, &target, true, Some(load));
            }
            let chosen = shard.choose(now, &state, &own, &route(), Some("hot"), &[]);
            if let (None, Ok(target)) = (&request, chosen) {
                shard.begin_attempt(now, &target);
                *request = Some((step, target));
            }
        }
        busy += in_flight.iter().flatten().count();
    }
    // The limit is two; if proxies did not share it, twelve would be in flight at all times.
    assert!((4000..=12_000).contains(&busy), "{busy} in 4000 moments");
}

#[test]
fn ended_incarnation_gets_no_more_requests() {
    let state = proxy_state(&[heartbeat("one", "e1", 60_000)]);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(1), &state, &own, &route(), None, &[])
        .expect("the instance has capacity");
    shard.begin_attempt(millis(1), &target);
    shard.end_attempt(millis(2), &target, true, None);
    shard.mark_incarnation_ended(&target);
    let again = shard.choose(millis(3), &state, &own, &route(), None, &[]);
    assert_eq!(again, Err(Failure::NoInstance));
}

#[test]
fn overtaken_agent_response_is_ignored() {
    let mut state = proxy_state(&[heartbeat("one", "e1", 60_000)]);
    let view = |number: u64, state: InstanceState| ProxyView {
        agent: NodeId(1),
        instances_offset: 1,
        all_instances: true,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        number,
        left: millis(3000),
        updates: Vec::new(),
        instances: vec![Heartbeat {
            state,
            ..heartbeat("one", "e1", 60_000)
        }],
        proxies: 12,
        configuration: Version(1),
        ownership: Version(0),
        position: None,
        reports_left: None,
    };
    state.apply_view(millis(200), &view(3, InstanceState::Draining));
    state.apply_view(millis(100), &view(2, InstanceState::Serving));
    let one = &state.instances[&InstanceId::new("one")];
    assert_eq!(one.state, InstanceState::Draining);
}

/// The state of a proxy that knows one owner of all keys, which serves at first.
fn proxy_state_with_owner(policy: ProxyPolicy) -> ProxyState {
    let mut state = proxy_state(&[heartbeat("one", "e1", 60_000)]);
    state.policy = policy;
    let maps = [
        (
            MapName::Configuration,
            "pool/records",
            Value::Service {
                service: Service {
                    keyed: true,
                    ..service()
                },
            },
        ),
        (
            MapName::Ownership,
            "slices/records",
            Value::KeyRanges {
                table: KeyRangeTable {
                    epoch: Epoch(3),
                    owners: vec![
                        Some(KeyRangeOwner {
                            instance: InstanceId::new("one"),
                            incarnation: Incarnation(1),
                            epoch: Epoch(3),
                            handover: None
                        });
                        4
                    ],
                },
            },
        ),
    ];
    let updates = maps.map(|(name, key, value)| {
        let mut full_map = state.maps.map(name).clone();
        full_map.apply(&Change {
            id: ChangeId::new("keyed"),
            puts: vec![Put {
                key: key.to_string(),
                expected: None,
                value: Some(value),
                written: None,
            }],
            guards: Vec::new(),
        });
        ConsensusMessage::Snapshot {
            map: name,
            full_map,
        }
    });
    state.apply_view(
        millis(50),
        &state_view(2, InstanceState::Serving, updates.to_vec()),
    );
    state
}

/// A view in which the owner is in this state.
fn state_view(number: u64, state: InstanceState, updates: Vec<ConsensusMessage>) -> ProxyView {
    ProxyView {
        agent: NodeId(1),
        instances_offset: number,
        all_instances: false,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        number,
        left: millis(60_000),
        updates,
        instances: vec![Heartbeat {
            state,
            counter: number,
            ..heartbeat("one", "e1", 60_000)
        }],
        proxies: 1,
        configuration: Version(1),
        ownership: Version(1),
        position: None,
        reports_left: None,
    }
}

/// Returns whether a key goes to its owner now, after checking that the choice and the check before
/// sending agree.
fn is_key_routed(state: &ProxyState, now: Duration, target: &Target) -> bool {
    let own = Zone::new("e1");
    let chosen = ServiceShard::new(1).choose(now, state, &own, &route(), Some("k"), &[]);
    let still = state.check_before_send(now, &own, &route(), target);
    assert_eq!(chosen.is_ok(), still.is_ok(), "{chosen:?} {still:?}");
    if chosen.is_err() {
        assert_eq!(chosen, Err(Failure::NoOwner));
        assert_eq!(still, Err(Failure::NoInstance));
    }
    chosen.is_ok()
}

#[test]
fn draining_owner_gets_its_keys_for_the_configured_period() {
    for (period, policy) in [
        (
            4000,
            ProxyPolicy {
                draining_owner: millis(4000),
                ..ProxyPolicy::default()
            },
        ),
        (0, ProxyPolicy::default()),
    ] {
        let mut state = proxy_state_with_owner(policy);
        let own = Zone::new("e1");
        let target = ServiceShard::new(1)
            .choose(millis(60), &state, &own, &route(), Some("k"), &[])
            .expect("the instance is serving");
        assert!(is_key_routed(&state, millis(90), &target));
        state.apply_view(
            millis(100),
            &state_view(3, InstanceState::Draining, Vec::new()),
        );
        for (after, is_expected) in [
            (0, period > 0),
            (10, period > 0),
            (3999, period > 0),
            (4000, false),
        ] {
            let now = millis(100 + after);
            assert_eq!(
                is_key_routed(&state, now, &target),
                is_expected,
                "{period} {after}"
            );
        }
        // Another draining heartbeat does not start a new period.
        state.apply_view(
            millis(3000),
            &state_view(4, InstanceState::Draining, Vec::new()),
        );
        assert_eq!(is_key_routed(&state, millis(4099), &target), period > 0);
        assert!(!is_key_routed(&state, millis(4100), &target));
        // An instance that serves again gets keys without limit, and a period of its own when it
        // drains later.
        state.apply_view(
            millis(5000),
            &state_view(5, InstanceState::Serving, Vec::new()),
        );
        assert!(is_key_routed(&state, millis(20_000), &target));
        state.apply_view(
            millis(21_000),
            &state_view(6, InstanceState::Draining, Vec::new()),
        );
        assert_eq!(is_key_routed(&state, millis(24_999), &target), period > 0);
        assert!(!is_key_routed(&state, millis(25_000), &target));
    }
}

#[test]
fn draining_instance_of_an_unkeyed_service_gets_nothing() {
    let mut state = proxy_state(&[heartbeat("one", "e1", 60_000)]);
    state.policy.draining_owner = millis(4000);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(60), &state, &own, &route(), None, &[])
        .expect("the instance is serving");
    state.apply_view(
        millis(100),
        &state_view(2, InstanceState::Draining, Vec::new()),
    );
    let chosen = shard.choose(millis(110), &state, &own, &route(), None, &[]);
    assert_eq!(chosen, Err(Failure::NoInstance));
    let still = state.check_before_send(millis(110), &own, &route(), &target);
    assert_eq!(still, Err(Failure::NoInstance));
}

#[test]
fn configuration_check_names_every_fault() {
    let put = |key: &str, value: Value| Put {
        key: key.to_string(),
        expected: None,
        value: Some(value),
        written: None,
    };
    let mut dangling = route();
    dangling.service = ServiceName::new("nowhere");
    dangling.path = "no-slash".to_string();
    let mut unknown_home = route();
    unknown_home.homes = vec![Region::new("moon")];
    let mut keyed = service();
    keyed.keyed = true;
    let mut slow = route();
    slow.path = "/slow".to_string();
    slow.key_header = Some("x-key".to_string());
    slow.deadline = millis(5000);
    let closed = ZoneSettings {
        region: Region::new("east"),
        closed: true,
    };
    let change = Change {
        id: ChangeId::new("bad"),
        puts: vec![
            put("rule/dangling", Value::Route { route: dangling }),
            put(
                "rule/one",
                Value::Route {
                    route: unknown_home,
                },
            ),
            put("rule/two", Value::Route { route: route() }),
            put("rule/slow", Value::Route { route: slow }),
            put("pool/records", Value::Service { service: keyed }),
            put("area/e1", Value::Zone { zone: closed }),
            put("rule/bad name", Value::Service { service: service() }),
            Put {
                key: "pool/absent".to_string(),
                expected: None,
                value: None,
                written: None,
            },
        ],
        guards: Vec::new(),
    };
    let faults = check_configuration(&ReplicatedMap::empty(), &change);
    let named: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    for field in [
        "rule/dangling.path",
        "rule/dangling.pool",
        "rule/one.home",
        "rule/one.key_header",
        "rule/two",
        "rule/slow.deadline_ms",
        "area",
        "rule/bad name",
        "pool/absent",
    ] {
        assert!(named.contains(&field), "{field} is not among {named:?}");
    }
}

#[test]
fn exact_hosts_and_longer_paths_match_first() {
    let mut map = ReplicatedMap::empty();
    let with = |host: &str, path: &str| Value::Route {
        route: Route {
            host: host.to_string(),
            path: path.to_string(),
            ..route()
        },
    };
    let puts = [
        ("any", with("*", "/")),
        ("host", with("a.example", "/")),
        ("deep", with("a.example", "/sign")),
    ]
    .into_iter()
    .map(|(name, value)| Put {
        key: format!("rule/{name}"),
        expected: None,
        value: Some(value),
        written: None,
    })
    .collect();
    map.apply(&Change {
        id: ChangeId::new("rules"),
        puts,
        guards: Vec::new(),
    });
    let table = RouteTable::of(&map);
    let found = |host: &str, path: &str| table.find(host, path).map(|(name, _)| name.to_string());
    assert_eq!(found("A.example:80", "/sign/7").as_deref(), Some("deep"));
    assert_eq!(found("a.example", "/signal").as_deref(), Some("host"));
    assert_eq!(found("b.example", "/sign").as_deref(), Some("any"));
}
