//! Stories of an order's way: the chart, the budgets, the choice, and the configuration' check.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caperworks::configuration::{check_configuration, RouteTable};
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::{
    AttemptEnd, Failure, NextStep, ProxyKnowledge, ReportedOutcome, RequestChart, RequestState,
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

fn sent_chart(read: bool) -> RequestChart {
    let mut chart = RequestChart::received(read);
    chart.matched(millis(0), &route());
    chart.admitted(true);
    chart.chosen();
    chart.shooting();
    chart.sent();
    chart
}

#[test]
fn given_a_write_when_its_answer_is_lost_then_it_is_never_attempt_again_and_told_unknown() {
    for end in [AttemptEnd::Lost, AttemptEnd::Garbage, AttemptEnd::Late] {
        let mut chart = sent_chart(false);
        match chart.attempt_ended(millis(10), end, || true) {
            NextStep::Respond(failure) => {
                assert_eq!(chart.reported_outcome(failure), ReportedOutcome::Unknown)
            }
            other => panic!("{end:?} led to {other:?}"),
        }
        assert_eq!(chart.state(), RequestState::Unknown);
    }
}

#[test]
fn given_a_write_when_provably_nothing_ran_then_it_may_be_attempt_again_until_the_budget_ends() {
    let mut chart = sent_chart(false);
    let step = chart.attempt_ended(millis(10), AttemptEnd::RefusedByInstance, || true);
    assert_eq!(step, NextStep::ShootAgain);
    chart.shooting();
    let step = chart.attempt_ended(millis(20), AttemptEnd::NotOpened, || false);
    assert_eq!(step, NextStep::Respond(Failure::NotOpened));
    assert_eq!(
        chart.reported_outcome(Failure::NotOpened),
        ReportedOutcome::NotRun
    );
}

#[test]
fn given_a_read_in_doubt_when_no_instance_is_left_for_another_attempt_then_not_run_is_not_said() {
    let mut chart = sent_chart(true);
    let step = chart.attempt_ended(millis(10), AttemptEnd::Lost, || true);
    assert_eq!(step, NextStep::ShootAgain);
    chart.refuse(Failure::NoInstance);
    assert_eq!(
        chart.reported_outcome(Failure::NoInstance),
        ReportedOutcome::Unknown
    );
    assert_eq!(chart.state(), RequestState::Unknown);
}

#[test]
fn given_a_request_past_its_deadline_when_an_attempt_fails_then_it_ends_at_once() {
    let mut chart = sent_chart(true);
    let step = chart.attempt_ended(millis(1500), AttemptEnd::NotOpened, || true);
    assert_eq!(step, NextStep::Respond(Failure::NotOpened));
}

#[test]
fn given_twelve_proxies_when_every_attempt_fails_then_retries_stay_within_the_brief() {
    let mut budgets: Vec<RetryBudget> = (0..12).map(|_| RetryBudget::default()).collect();
    let mut further = VecDeque::new();
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
            budget.first_attempt(now);
            first.push_back(step);
            for _ in 0..2 {
                if budget.take(now) {
                    further.push_back(step);
                }
            }
        }
        for window in [&mut first, &mut further] {
            while window.front().is_some_and(|at| step - at > 10_000) {
                window.pop_front();
            }
        }
        let allowed = first.len() / 5 + 36;
        assert!(
            further.len() <= allowed,
            "{} retries at {now:?}",
            further.len()
        );
    }
}

/// What a proxy knows of some instances.
fn knowledge(heartbeats: &[Heartbeat]) -> ProxyKnowledge {
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
    let mut knowledge = ProxyKnowledge::default();
    let view = ProxyView {
        agent: NodeId(1),
        instances_offset: 1,
        all_instances: true,
        link_slow_for: Duration::ZERO,
        silent: Vec::new(),
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
    };
    knowledge.take(Duration::ZERO, &view);
    knowledge
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
        up: millis(up),
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

#[test]
fn given_a_cold_instance_when_twelve_proxies_want_it_then_together_they_keep_its_gentle_rate() {
    let known = knowledge(&[heartbeat("cold", "e1", 0), heartbeat("warm", "e2", 60_000)]);
    let own = Zone::new("e1");
    let mut shards: Vec<ServiceShard> = (0..12).map(ServiceShard::new).collect();
    let mut sent = 0;
    for step in 0..5000_u64 {
        let now = millis(step);
        let shard = &mut shards[(step % 12) as usize];
        if let Ok(target) = shard.choose(now, &known, &own, &route(), None, &[]) {
            shard.begin(now, &target);
            shard.end(now, &target, true, Some(0));
            sent += u32::from(target.instance.as_str() == "cold");
        }
    }
    // Twelve a second for five seconds, and no burst at the start.
    assert!(
        (40..=62).contains(&sent),
        "{sent} orders went to the cold instance"
    );
}

#[test]
fn given_instances_near_and_far_when_chosen_then_the_zone_goes_first_and_home_is_never_left() {
    let near = heartbeat("near", "e1", 60_000);
    let same_region = heartbeat("region", "e2", 60_000);
    let far = heartbeat("far", "w1", 60_000);
    let mut known = knowledge(&[near, same_region, far]);
    known.proxies = 1;
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let mut bound = route();
    bound.homes = vec![Region::new("east")];
    let mut request = Vec::new();
    while let Ok(target) = shard.choose(millis(1), &known, &own, &bound, None, &[]) {
        shard.begin(millis(1), &target);
        request.push(target.instance.to_string());
    }
    let expected: Vec<String> = ["near"; 4]
        .iter()
        .chain(&["region"; 4])
        .map(|name| (*name).to_string())
        .collect();
    assert_eq!(
        request, expected,
        "caps of four each, and nothing in the other region"
    );
    let target = shard
        .choose(millis(1), &known, &own, &route(), None, &[])
        .expect("unbound");
    assert_eq!(target.instance.as_str(), "far");
}

#[test]
fn given_every_instance_put_aside_when_chosen_then_the_service_is_not_lost_with_them() {
    let heartbeats: Vec<Heartbeat> = (0..4)
        .map(|number| heartbeat(&format!("i{number}"), "e1", 60_000))
        .collect();
    let known = knowledge(&heartbeats);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    for step in 0..200 {
        let target = shard
            .choose(millis(step), &known, &own, &route(), None, &[])
            .expect("some instance is always chosen");
        shard.begin(millis(step), &target);
        shard.end(millis(step), &target, false, None);
    }
}

#[test]
fn given_a_target_when_the_world_changed_before_the_first_byte_then_the_last_check_says_so() {
    let known = knowledge(&[heartbeat("one", "e1", 60_000)]);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(1), &known, &own, &route(), None, &[])
        .expect("free");
    assert_eq!(known.still_good(millis(1), &own, &route(), &target), Ok(()));
    let late = known.still_good(millis(3000), &own, &route(), &target);
    assert_eq!(late, Err(Failure::Stale));
    let mut draining = heartbeat("one", "e1", 60_000);
    draining.state = InstanceState::Draining;
    let known = knowledge(&[draining]);
    assert_eq!(
        known.still_good(millis(1), &own, &route(), &target),
        Err(Failure::NoInstance)
    );
    let mut reborn = heartbeat("one", "e1", 60_000);
    reborn.incarnation = Incarnation(2);
    let known = knowledge(&[reborn]);
    assert_eq!(
        known.still_good(millis(1), &own, &route(), &target),
        Err(Failure::NoInstance)
    );
    let mut known = knowledge(&[heartbeat("one", "e1", 60_000)]);
    known.closed.insert(own.clone());
    assert_eq!(
        known.still_good(millis(1), &own, &route(), &target),
        Err(Failure::ZoneClosed)
    );
}

/// What a proxy knows of a keyed service with one key range and one owner.
fn keyed_knowledge() -> ProxyKnowledge {
    let mut known = knowledge(&[heartbeat("owner", "e1", 60_000)]);
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
        assert!(Arc::make_mut(&mut known.maps)
            .take(&ConsensusMessage::Updates { map, changes })
            .is_some());
    }
    known
}

#[test]
fn given_a_hot_key_when_its_owner_is_asked_again_and_again_then_other_keys_still_get_through() {
    let mut known = keyed_knowledge();
    known.proxies = 1;
    let mut shard = ServiceShard::new(1);
    let own = Zone::new("e1");
    let mut choose = |key: &str| {
        let target = shard.choose(millis(1), &known, &own, &route(), Some(key), &[]);
        target.inspect(|target| shard.begin(millis(1), target))
    };
    assert!(choose("hot").is_ok() && choose("hot").is_ok());
    assert_eq!(
        choose("hot"),
        Err(Failure::NoInstance),
        "two at once are the key's cap"
    );
    assert!(
        choose("cool").is_ok(),
        "the owner's room is not all the hot key's"
    );
}

#[test]
fn given_twelve_proxies_when_all_want_one_key_then_together_they_keep_near_its_cap() {
    let known = keyed_knowledge();
    let own = Zone::new("e1");
    let mut shards: Vec<ServiceShard> = (0..12).map(ServiceShard::new).collect();
    let mut under_way: Vec<Option<(u64, Target)>> = vec![None; 12];
    let mut busy = 0;
    for step in 0..4000_u64 {
        let now = millis(step);
        let load = under_way.iter().flatten().count() as u32;
        for (shard, request) in shards.iter_mut().zip(&mut under_way) {
            if let Some((_, target)) = request.take_if(|(since, _)| step - *since >= 20) {
                shard.end(now, &target, true, Some(load));
            }
            let chosen = shard.choose(now, &known, &own, &route(), Some("hot"), &[]);
            if let (None, Ok(target)) = (&request, chosen) {
                shard.begin(now, &target);
                *request = Some((step, target));
            }
        }
        busy += under_way.iter().flatten().count();
    }
    // The cap is two; without a common measure twelve would be under way at all times.
    assert!((4000..=12_000).contains(&busy), "{busy} in 4000 moments");
}

#[test]
fn given_another_life_at_an_address_when_it_answers_then_nothing_more_goes_to_the_old_one() {
    let known = knowledge(&[heartbeat("one", "e1", 60_000)]);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(1), &known, &own, &route(), None, &[])
        .expect("free");
    shard.begin(millis(1), &target);
    shard.end(millis(2), &target, true, None);
    shard.incarnation_is_over(&target);
    let again = shard.choose(millis(3), &known, &own, &route(), None, &[]);
    assert_eq!(again, Err(Failure::NoInstance));
}

#[test]
fn given_an_answer_of_the_agent_that_was_overtaken_when_it_comes_then_it_changes_nothing() {
    let mut known = knowledge(&[heartbeat("one", "e1", 60_000)]);
    let view = |number: u64, state: InstanceState| ProxyView {
        agent: NodeId(1),
        instances_offset: 1,
        all_instances: true,
        link_slow_for: Duration::ZERO,
        silent: Vec::new(),
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
    };
    known.take(millis(200), &view(3, InstanceState::Draining));
    known.take(millis(100), &view(2, InstanceState::Serving));
    let one = &known.instances[&InstanceId::new("one")];
    assert_eq!(one.state, InstanceState::Draining);
}

/// A proxy that knows one owner of all keys, heard as serving at first.
fn knowledge_of_an_owner(policy: ProxyPolicy) -> ProxyKnowledge {
    let mut known = knowledge(&[heartbeat("one", "e1", 60_000)]);
    known.policy = policy;
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
                            handover: None,
                        });
                        4
                    ],
                },
            },
        ),
    ];
    let updates = maps.map(|(name, key, value)| {
        let mut full_map = known.maps.map(name).clone();
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
    known.take(
        millis(50),
        &state_view(2, InstanceState::Serving, updates.to_vec()),
    );
    known
}

/// What an agent tells when the owner is in this state.
fn state_view(number: u64, state: InstanceState, updates: Vec<ConsensusMessage>) -> ProxyView {
    ProxyView {
        agent: NodeId(1),
        instances_offset: number,
        all_instances: false,
        link_slow_for: Duration::ZERO,
        silent: Vec::new(),
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
    }
}

/// Whether a key goes to its owner now, by the choice and by the last check alike.
fn key_goes(known: &ProxyKnowledge, now: Duration, target: &Target) -> bool {
    let own = Zone::new("e1");
    let chosen = ServiceShard::new(1).choose(now, known, &own, &route(), Some("k"), &[]);
    let still = known.still_good(now, &own, &route(), target);
    assert_eq!(chosen.is_ok(), still.is_ok(), "{chosen:?} {still:?}");
    if chosen.is_err() {
        assert_eq!(chosen, Err(Failure::NoOwner));
        assert_eq!(still, Err(Failure::NoInstance));
    }
    chosen.is_ok()
}

#[test]
fn given_a_leaving_owner_when_keys_come_then_they_go_there_for_the_span_and_not_after() {
    for (span, policy) in [
        (
            4000,
            ProxyPolicy {
                draining_owner: millis(4000),
                ..ProxyPolicy::default()
            },
        ),
        (0, ProxyPolicy::default()),
    ] {
        let mut known = knowledge_of_an_owner(policy);
        let own = Zone::new("e1");
        let target = ServiceShard::new(1)
            .choose(millis(60), &known, &own, &route(), Some("k"), &[])
            .expect("it serves");
        assert!(key_goes(&known, millis(90), &target));
        known.take(
            millis(100),
            &state_view(3, InstanceState::Draining, Vec::new()),
        );
        for (after, goes) in [
            (0, span > 0),
            (10, span > 0),
            (3999, span > 0),
            (4000, false),
        ] {
            let now = millis(100 + after);
            assert_eq!(key_goes(&known, now, &target), goes, "{span} {after}");
        }
        // Hearing again that it leaves begins no new span.
        known.take(
            millis(3000),
            &state_view(4, InstanceState::Draining, Vec::new()),
        );
        assert_eq!(key_goes(&known, millis(4099), &target), span > 0);
        assert!(!key_goes(&known, millis(4100), &target));
        // One that serves again gets keys for as long as it does, and then for a span of its own.
        known.take(
            millis(5000),
            &state_view(5, InstanceState::Serving, Vec::new()),
        );
        assert!(key_goes(&known, millis(20_000), &target));
        known.take(
            millis(21_000),
            &state_view(6, InstanceState::Draining, Vec::new()),
        );
        assert_eq!(key_goes(&known, millis(24_999), &target), span > 0);
        assert!(!key_goes(&known, millis(25_000), &target));
    }
}

#[test]
fn given_a_leaving_instance_when_its_service_has_no_keys_then_the_span_lets_nothing_go_there() {
    let mut known = knowledge(&[heartbeat("one", "e1", 60_000)]);
    known.policy.draining_owner = millis(4000);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let target = shard
        .choose(millis(60), &known, &own, &route(), None, &[])
        .expect("it serves");
    known.take(
        millis(100),
        &state_view(2, InstanceState::Draining, Vec::new()),
    );
    let chosen = shard.choose(millis(110), &known, &own, &route(), None, &[]);
    assert_eq!(chosen, Err(Failure::NoInstance));
    let still = known.still_good(millis(110), &own, &route(), &target);
    assert_eq!(still, Err(Failure::NoInstance));
}

#[test]
fn given_a_change_with_many_faults_when_checked_then_each_of_them_is_named() {
    let put = |key: &str, value: Value| Put {
        key: key.to_string(),
        expected: None,
        value: Some(value),
        written: None,
    };
    let mut dangling = route();
    dangling.service = ServiceName::new("nowhere");
    dangling.path = "no-slash".to_string();
    let mut homeless = route();
    homeless.homes = vec![Region::new("moon")];
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
            put("rule/one", Value::Route { route: homeless }),
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
fn given_routes_when_a_request_is_matched_then_exact_hosts_and_longer_paths_go_first() {
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
