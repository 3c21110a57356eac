//! Stories of items under the operators' own versions, and of calls that are refused whole.

use caperworks::prelude::*;

fn service_value(limit: u32) -> Option<Value> {
    let service = Service {
        instance_cap: limit,
        key_cap: 1,
        cold_rate_milli: 1000,
        ..Service::default()
    };
    Some(Value::Service { service })
}

fn route(host: &str, path: &str, service: &str) -> Route {
    Route {
        host: host.to_string(),
        path: path.to_string(),
        service: ServiceName::new(service),
        deadline: Duration::from_secs(2),
        body_limit: 1000,
        ..Route::default()
    }
}

/// A put under a version of the operators' own; nothing drops the item.
fn versioned(key: &str, version: u64, value: Option<Value>) -> Put {
    let text = format!("{key} {version}");
    Put {
        key: key.to_string(),
        expected: None,
        value,
        written: Some(Written { version, text }),
    }
}

fn call(id: &str, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    }
}

/// The version of an item and its service's limit; no limit for one that was dropped.
fn configuration(map: &ReplicatedMap, key: &str) -> Option<(u64, Option<u32>)> {
    let item = map.items.get(key)?;
    let version = item.written.as_ref().map_or(0, |written| written.version);
    match &item.value {
        Value::Service { service } => Some((version, Some(service.instance_cap))),
        _ => Some((version, None)),
    }
}

const KEY: &str = "pool/records";

/// The map after calls of one put each.
fn after(puts: &[(u64, Option<u32>)]) -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    for (place, (version, limit)) in puts.iter().enumerate() {
        let put = versioned(KEY, *version, limit.and_then(service_value));
        let change = call(&format!("call-{place}"), vec![put]);
        assert_eq!(check_configuration(&map, &change), Vec::new());
        map.apply(&change);
    }
    map
}

#[test]
fn given_a_configuration_version_when_a_lower_or_equal_one_comes_then_nothing_of_the_item_changes()
{
    let first = after(&[(5, Some(50))]);
    for later in [1, 4, 5] {
        let map = after(&[(5, Some(50)), (later, Some(7))]);
        assert_eq!(configuration(&map, KEY), Some((5, Some(50))), "{later}");
        assert_eq!(map.items, first.items, "not even its version of ours");
    }
    let map = after(&[(5, Some(50)), (6, Some(60))]);
    assert_eq!(configuration(&map, KEY), Some((6, Some(60))));
}

#[test]
fn given_a_dropped_item_when_older_or_equal_puts_come_again_then_it_stays_dropped() {
    for older in [1, 4, 5] {
        let map = after(&[(4, Some(40)), (5, None), (older, Some(7))]);
        assert_eq!(configuration(&map, KEY), Some((5, None)), "{older}");
        assert_eq!(map.services().count(), 0);
    }
    let map = after(&[(4, Some(40)), (5, None), (6, Some(60))]);
    assert_eq!(
        configuration(&map, KEY),
        Some((6, Some(60))),
        "a later one may"
    );
}

#[test]
fn given_a_lower_drop_when_a_higher_version_stands_then_the_item_stays() {
    for drop in [1, 4, 5] {
        let map = after(&[(5, Some(50)), (drop, None)]);
        assert_eq!(configuration(&map, KEY), Some((5, Some(50))), "{drop}");
    }
}

#[test]
fn given_a_drop_that_comes_before_the_put_it_overtakes_when_the_put_comes_then_nothing_stands() {
    let map = after(&[(9, None), (8, Some(80)), (3, Some(30))]);
    assert_eq!(configuration(&map, KEY), Some((9, None)));
    assert_eq!(map.services().count(), 0);
}

#[test]
fn given_puts_in_any_sequence_when_all_are_applied_then_the_highest_version_stands() {
    let puts = [(1, Some(10)), (2, None), (3, Some(30)), (4, None)];
    let mut chance = Chance::seeded(7);
    for highest in [3, 4] {
        for _ in 0..200 {
            let mut drawn = puts[..highest].to_vec();
            for place in (1..drawn.len()).rev() {
                drawn.swap(place, chance.below(place as u64 + 1) as usize);
            }
            let map = after(&drawn);
            let (version, limit) = puts[highest - 1];
            assert_eq!(
                configuration(&map, KEY),
                Some((version, limit)),
                "{drawn:?}"
            );
        }
    }
}

#[test]
fn given_one_call_that_names_an_item_twice_when_applied_then_its_highest_version_stands() {
    for versions in [[2, 7], [7, 2]] {
        let puts = versions
            .iter()
            .map(|version| versioned(KEY, *version, service_value(*version as u32)))
            .collect();
        let change = call("twice", puts);
        let mut map = ReplicatedMap::empty();
        assert_eq!(
            check_configuration(&map, &change),
            Vec::new(),
            "{versions:?}"
        );
        map.apply(&change);
        assert_eq!(configuration(&map, KEY), Some((7, Some(7))), "{versions:?}");
    }
    let puts = vec![versioned(KEY, 7, None), versioned(KEY, 2, service_value(2))];
    let mut map = ReplicatedMap::empty();
    map.apply(&call("drop and put", puts));
    assert_eq!(configuration(&map, KEY), Some((7, None)));
}

#[test]
fn given_version_zero_when_anything_stands_then_it_changes_nothing_and_else_it_stands() {
    let map = after(&[(0, Some(10))]);
    assert_eq!(configuration(&map, KEY), Some((0, Some(10))));
    for stands in [(0, Some(10)), (1, Some(10)), (1, None)] {
        let map = after(&[stands, (0, Some(99))]);
        assert_eq!(configuration(&map, KEY), Some(stands));
    }
    let map = after(&[(0, Some(10)), (1, Some(11))]);
    assert_eq!(configuration(&map, KEY), Some((1, Some(11))));
}

#[test]
fn given_a_zone_closed_without_a_version_when_version_zero_comes_again_then_it_stays_closed() {
    let zone = |closed: bool| {
        let region = Region::new("east");
        let zone = ZoneSettings { region, closed };
        Some(Value::Zone { zone })
    };
    let mut map = ReplicatedMap::empty();
    map.apply(&call("first", vec![versioned("area/e1", 0, zone(false))]));
    let mut close = versioned("area/e1", 0, zone(true));
    close.written = None;
    map.apply(&call("close", vec![close]));
    map.apply(&call("again", vec![versioned("area/e1", 0, zone(false))]));
    assert!(map.zones().all(|(_, zone)| zone.closed));
}

#[test]
fn given_a_call_with_every_kind_of_fault_when_checked_then_each_is_named() {
    let mut late = route("late.example", "/", "records");
    late.deadline = Duration::from_secs(600) + Duration::from_millis(1);
    let mut endless = route("a.example", "/endless", "records");
    endless.split = vec![SplitPart {
        service: ServiceName::new("absent"),
        weight: 1,
    }];
    let value = |route: Route| Some(Value::Route { route });
    let puts = vec![
        versioned(KEY, 1, service_value(4)),
        versioned(
            "rule/dangling",
            1,
            value(route("b.example", "/", "nowhere")),
        ),
        versioned("rule/split", 1, value(endless)),
        versioned("rule/first", 1, value(route("c.example", "/x", "records"))),
        versioned("rule/second", 1, value(route("c.example", "/x", "records"))),
        versioned("rule/late", 1, value(late)),
        versioned(
            "rule/slashless",
            1,
            value(route("d.example", "x", "records")),
        ),
        versioned("rule/hostless", 1, value(route("", "/", "records"))),
    ];
    let faults = check_configuration(&ReplicatedMap::empty(), &call("faulty", puts));
    let named: BTreeSet<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    let expected = [
        "rule/dangling.pool",
        "rule/hostless.host",
        "rule/late.deadline_ms",
        "rule/second",
        "rule/slashless.path",
        "rule/split.pool",
    ];
    assert_eq!(named, BTreeSet::from(expected));
}

#[test]
fn given_a_service_in_use_when_its_drop_comes_alone_then_the_call_is_refused() {
    let route = Some(Value::Route {
        route: route("a.example", "/", "records"),
    });
    let puts = vec![
        versioned(KEY, 1, service_value(4)),
        versioned("rule/one", 1, route),
    ];
    let mut map = ReplicatedMap::empty();
    map.apply(&call("first", puts));
    let drop_service = versioned(KEY, 2, None);
    let alone = call("drop", vec![drop_service.clone()]);
    let faults = check_configuration(&map, &alone);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].field, "rule/one.pool");
    let both = call("both", vec![drop_service, versioned("rule/one", 2, None)]);
    assert_eq!(check_configuration(&map, &both), Vec::new());
}

#[test]
fn given_a_deadline_of_ten_minutes_when_checked_then_it_is_the_longest_that_passes() {
    let mut longest = route("a.example", "/", "records");
    longest.deadline = Duration::from_secs(600);
    let puts = vec![
        versioned(KEY, 1, service_value(4)),
        versioned("rule/longest", 1, Some(Value::Route { route: longest })),
    ];
    let faults = check_configuration(&ReplicatedMap::empty(), &call("longest", puts));
    assert_eq!(faults, Vec::new());
}

#[test]
fn given_two_routes_whose_hosts_differ_in_case_alone_when_checked_then_the_second_is_a_fault() {
    let value = |host: &str| {
        let route = route(host, "/", "records");
        Some(Value::Route { route })
    };
    let puts = vec![
        versioned(KEY, 1, service_value(4)),
        versioned("rule/lower", 1, value("a.example")),
        versioned("rule/upper", 1, value("A.Example")),
    ];
    let faults = check_configuration(&ReplicatedMap::empty(), &call("case", puts));
    let named: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(named, ["rule/upper"]);
}

#[test]
fn given_an_item_in_its_writers_form_when_encoded_and_decoded_then_nothing_is_lost() {
    let map = after(&[(1, Some(10)), (2, None)]);
    let bytes = minicbor::to_vec(&map).expect("a map encodes");
    let read: ReplicatedMap = minicbor::decode(&bytes).expect("it decodes");
    assert_eq!(read, map);
}

fn table_of(routes: &[(&str, &str, &str)]) -> RouteTable {
    let puts = routes
        .iter()
        .map(|(name, host, path)| {
            let route = route(host, path, "records");
            let value = Some(Value::Route { route });
            versioned(&format!("rule/{name}"), 1, value)
        })
        .collect();
    let mut map = ReplicatedMap::empty();
    map.apply(&call("routes", puts));
    RouteTable::of(&map)
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|(name, _)| name.to_string())
}

#[test]
fn given_thousands_of_routes_when_a_path_is_matched_then_the_longest_whole_segments_are_found() {
    let mut routes = Vec::new();
    for host in 0..20 {
        for path in 0..250 {
            routes.push((host, format!("/team-{path}")));
            routes.push((host, format!("/team-{path}/deep/er")));
        }
    }
    let names: Vec<(String, String, String)> = routes
        .iter()
        .enumerate()
        .map(|(place, (host, path))| {
            let host = format!("h{host}.example");
            (format!("route-{place}"), host, path.clone())
        })
        .collect();
    let listed: Vec<(&str, &str, &str)> = names
        .iter()
        .map(|(name, host, path)| (name.as_str(), host.as_str(), path.as_str()))
        .collect();
    let table = table_of(&listed);
    for (name, host, path) in &names {
        let name = Some(name.clone());
        for tail in ["", "/", "/x", "/x/y?q=/team-0", "?q=1", "//"] {
            assert_eq!(found(&table, host, &format!("{path}{tail}")), name);
        }
        assert_ne!(found(&table, host, &format!("{path}x")), name, "{path}");
    }
    assert_eq!(found(&table, "h1.example", "/team-999/deep/er"), None);
    let shorter = found(&table, "h1.example", "/team-7/deep");
    assert_eq!(shorter, found(&table, "h1.example", "/team-7"));
    assert_eq!(shorter, found(&table, "h1.example", "/team-7/deep/erx"));
}

#[test]
fn given_an_exact_host_and_any_host_when_matched_then_the_exact_goes_first_if_its_path_fits() {
    let table = table_of(&[
        ("any", "*", "/"),
        ("any-long", "*", "/a/b/c"),
        ("exact", "Exact.example", "/a"),
    ]);
    let name = |host: &str, path: &str| found(&table, host, path).unwrap_or_default();
    assert_eq!(name("exact.example", "/a/b/c"), "exact");
    assert_eq!(name("EXACT.EXAMPLE:8080", "/a"), "exact");
    assert_eq!(name("exact.example:80", "/a?b=c/d"), "exact");
    assert_eq!(name("exact.example", "/other"), "any");
    assert_eq!(name("other.example", "/a/b/c/d"), "any-long");
    assert_eq!(name("other.example", "/a/b/cd"), "any");
}
