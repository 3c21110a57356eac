//! Stories of items under the operators' own versions, and of calls that are refused whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use caperworks::configuration::{check_configuration, RouteTable, MOST_BYTES};
use caperworks::identifiers::{Chance, ChangeId, Region, ServiceName, Version};
use caperworks::map_items::{Route, Service, SplitTarget, Value, ZoneSettings};
use caperworks::map_weighing::ChangeCheck;
use caperworks::replicated_map::{
    Change, Guard, Item, Put, RecentChange, ReplicatedMap, TakenVersion, Written, MAP_READ,
    REMEMBERED_CHANGES,
};
use caperworks::version_history::{
    contents_digest, ConfirmedVersion, VersionHistory, REMEMBERED_VERSIONS,
};

fn service_value(limit: u32) -> Option<Value> {
    let service = Service {
        instance_cap: limit,
        key_cap: 1,
        slow_start_rate_milli: 1000,
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
    for (index, (version, limit)) in puts.iter().enumerate() {
        let put = versioned(KEY, *version, limit.and_then(service_value));
        let change = call(&format!("call-{index}"), vec![put]);
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
            for index in (1..drawn.len()).rev() {
                drawn.swap(index, chance.below(index as u64 + 1) as usize);
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
    endless.split = vec![SplitTarget {
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
        .map(|(index, (host, path))| {
            let host = format!("h{host}.example");
            (format!("route-{index}"), host, path.clone())
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

/// A put of a service in the words of one operator; none of them drops it.
fn worded(key: &str, version: u64, text: Option<&str>) -> Put {
    Put {
        key: key.to_string(),
        expected: None,
        value: text.and_then(|_| service_value(1)),
        written: Some(Written {
            version,
            text: text.unwrap_or_default().to_string(),
        }),
    }
}

/// Weighs a call of these puts under an id of its own, and applies it if it fits.
fn taken_in(map: &mut ReplicatedMap, puts: Vec<Put>) -> ChangeCheck {
    let change = call(&format!("call-{}", map.version), puts);
    let standpoint = map.check_change(&change);
    if standpoint == ChangeCheck::Fits {
        map.apply(&change);
    }
    standpoint
}

/// A map after one call each, all of which fit.
fn worded_map(puts: &[(u64, Option<&str>)]) -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    for (version, text) in puts {
        let standpoint = taken_in(&mut map, vec![worded(KEY, *version, *text)]);
        assert_eq!(standpoint, ChangeCheck::Fits, "{version} {text:?}");
    }
    map
}

/// What stands of an item in its operator's words, with the version.
fn standing(map: &ReplicatedMap, key: &str) -> Option<(u64, Option<String>)> {
    let item = map.items.get(key)?;
    let written = item.written.clone()?;
    let text = (item.value != Value::Dropped).then_some(written.text);
    Some((written.version, text))
}

#[test]
fn given_each_relation_to_what_was_confirmed_when_a_put_comes_then_it_stands_as_the_table_says() {
    let confirmed = [(3, Some("a")), (5, None), (7, Some("c"))];
    let fits = [
        // Accepted before: the same contents under the same version, set or dropped.
        (7, Some("c")),
        (5, None),
        (3, Some("a")),
        // Lower, and nothing was ever confirmed under it: overtaken.
        (1, Some("x")),
        (4, None),
        (6, Some("c")),
    ];
    for (version, text) in fits {
        let mut map = worded_map(&confirmed);
        let before = standing(&map, KEY);
        let standpoint = taken_in(&mut map, vec![worded(KEY, version, text)]);
        assert_eq!(standpoint, ChangeCheck::Fits, "{version} {text:?}");
        assert_eq!(standing(&map, KEY), before, "it changes nothing");
    }
    for (version, text) in [
        (7, Some("b")),
        (7, None),
        (5, Some("b")),
        (5, Some("")),
        (3, Some("c")),
        (3, None),
    ] {
        let mut map = worded_map(&confirmed);
        let before = map.clone();
        let standpoint = taken_in(&mut map, vec![worded(KEY, version, text)]);
        let taken = TakenVersion {
            key: KEY.to_string(),
            confirmed: ConfirmedVersion {
                version,
                digest: match version {
                    3 => contents_digest(Some("a")),
                    5 => contents_digest(None),
                    _ => contents_digest(Some("c")),
                },
            },
            newest: ConfirmedVersion {
                version: 7,
                digest: contents_digest(Some("c")),
            },
        };
        assert_eq!(standpoint, ChangeCheck::VersionsTaken(vec![taken]));
        assert_eq!(map, before);
    }
    let mut map = worded_map(&confirmed);
    assert_eq!(
        taken_in(&mut map, vec![worded(KEY, 8, Some("b"))]),
        ChangeCheck::Fits
    );
    assert_eq!(standing(&map, KEY), Some((8, Some("b".to_string()))));
}

#[test]
fn given_an_overtaken_put_that_was_confirmed_when_others_come_under_its_version_then_it_is_taken() {
    let mut map = worded_map(&[(7, Some("c")), (4, Some("late"))]);
    assert_eq!(
        taken_in(&mut map, vec![worded(KEY, 4, Some("late"))]),
        ChangeCheck::Fits
    );
    let standpoint = taken_in(&mut map, vec![worded(KEY, 4, Some("other"))]);
    assert!(
        matches!(standpoint, ChangeCheck::VersionsTaken(_)),
        "{standpoint:?}"
    );
}

#[test]
fn given_more_versions_than_are_remembered_when_old_ones_come_then_they_are_neither_taken_nor_refused(
) {
    let mut map = ReplicatedMap::empty();
    let most = REMEMBERED_VERSIONS as u64;
    for version in 1..=2 * most {
        let text = format!("text {version}");
        taken_in(&mut map, vec![worded(KEY, version, Some(&text))]);
    }
    let history = map.history(KEY);
    assert_eq!(
        (history.confirmed.len() as u64, history.forgotten),
        (most, most)
    );
    let before = map.clone();
    for version in 1..=most {
        for text in [format!("text {version}"), "other".to_string()] {
            let standpoint = taken_in(&mut map, vec![worded(KEY, version, Some(&text))]);
            let forgotten = ChangeCheck::VersionsForgotten(vec![KEY.to_string()]);
            assert_eq!(standpoint, forgotten, "{version}");
        }
    }
    assert_eq!(map, before);
    for version in most + 1..=2 * most {
        let text = format!("text {version}");
        let again = vec![worded(KEY, version, Some(&text))];
        assert_eq!(taken_in(&mut map, again), ChangeCheck::Fits, "{version}");
        let other = taken_in(&mut map, vec![worded(KEY, version, Some("other"))]);
        assert!(matches!(other, ChangeCheck::VersionsTaken(_)), "{other:?}");
    }
}

#[test]
fn given_a_call_of_many_items_when_one_version_is_taken_then_nothing_of_it_is_applied() {
    let mut map = worded_map(&[(5, Some("a"))]);
    let before = map.clone();
    let mixed = vec![
        worded("pool/new", 1, Some("n")),
        worded(KEY, 5, Some("b")),
        worded("pool/newer", 9, Some("m")),
    ];
    let standpoint = taken_in(&mut map, mixed);
    let ChangeCheck::VersionsTaken(taken) = standpoint else {
        panic!("{standpoint:?}");
    };
    assert_eq!((taken.len(), taken[0].key.as_str()), (1, KEY));
    assert_eq!(map, before);
    let agreeing = vec![worded("pool/new", 1, Some("n")), worded(KEY, 5, Some("a"))];
    assert_eq!(taken_in(&mut map, agreeing), ChangeCheck::Fits);
    assert_eq!(standing(&map, "pool/new"), Some((1, Some("n".to_string()))));
}

#[test]
fn given_one_call_with_two_contents_under_one_version_when_weighed_then_it_is_refused_whole() {
    let mut map = ReplicatedMap::empty();
    let twice = vec![worded(KEY, 5, Some("a")), worded(KEY, 5, Some("b"))];
    let standpoint = taken_in(&mut map, twice);
    assert!(
        matches!(standpoint, ChangeCheck::VersionsTaken(_)),
        "{standpoint:?}"
    );
    let same = vec![worded(KEY, 5, Some("a")), worded(KEY, 5, Some("a"))];
    assert_eq!(taken_in(&mut map, same), ChangeCheck::Fits);
}

/// A map as it was stored before histories were kept.
#[derive(minicbor::Encode)]
struct StoredBefore {
    #[n(0)]
    version: Version,
    #[n(1)]
    items: BTreeMap<String, Item>,
    #[n(2)]
    answered: Vec<RecentChange>,
}

#[test]
fn given_a_map_stored_without_histories_when_read_then_what_stands_is_known_and_older_is_forgotten()
{
    for last in [Some("b"), None] {
        let stored = worded_map(&[(3, Some("a")), (5, last)]);
        let bytes = minicbor::to_vec(StoredBefore {
            version: stored.version,
            items: stored.items.clone().into_iter().collect(),
            answered: stored.answered.clone(),
        })
        .expect("it encodes");
        let mut map: ReplicatedMap = minicbor::decode(&bytes).expect("it decodes");
        assert_eq!(map.items, stored.items);
        let again = taken_in(&mut map, vec![worded(KEY, 5, last)]);
        assert_eq!(again, ChangeCheck::Fits);
        let other = taken_in(&mut map, vec![worded(KEY, 5, Some("other"))]);
        assert!(matches!(other, ChangeCheck::VersionsTaken(_)), "{other:?}");
        let older = taken_in(&mut map, vec![worded(KEY, 3, Some("a"))]);
        let forgotten = ChangeCheck::VersionsForgotten(vec![KEY.to_string()]);
        assert_eq!(older, forgotten);
        let newer = taken_in(&mut map, vec![worded(KEY, 6, Some("c"))]);
        assert_eq!(newer, ChangeCheck::Fits);
    }
}

#[test]
fn given_histories_that_grow_when_a_configuration_is_checked_then_they_do_not_count_as_its_size() {
    let mut map = ReplicatedMap::empty();
    let text = "x".repeat(MOST_BYTES - 2000);
    for version in 1..=2 * REMEMBERED_VERSIONS as u64 {
        let change = call(
            &format!("call-{version}"),
            vec![worded(KEY, version, Some(&text))],
        );
        assert_eq!(check_configuration(&map, &change), Vec::new(), "{version}");
        map.apply(&change);
    }
}

/// A change of the product's own interface: no version of an item is expected.
fn unconditional(id: &str, limit: u32, read: u64) -> Change {
    Change {
        id: ChangeId::new(id),
        puts: vec![Put {
            key: KEY.to_string(),
            expected: None,
            value: service_value(limit),
            written: None,
        }],
        guards: vec![Guard {
            key: MAP_READ.to_string(),
            expected: Version(read),
        }],
    }
}

#[test]
fn given_a_change_whose_id_was_forgotten_when_it_comes_again_then_it_is_not_applied_over_later_ones(
) {
    let mut map = ReplicatedMap::empty();
    let first = unconditional("first", 1, 0);
    map.apply(&first);
    for number in 2..=REMEMBERED_CHANGES as u32 {
        map.apply(&unconditional(&format!("later-{number}"), number, 1));
    }
    assert_eq!(map.check_change(&first), ChangeCheck::Repeat(Version(1)));
    let last = REMEMBERED_CHANGES as u32 + 1;
    map.apply(&unconditional("the one too many", last, 500));
    assert_eq!(
        map.check_change(&first),
        ChangeCheck::IdForgotten(map.version),
        "its id is forgotten, and it read the map before what is remembered"
    );
    let new = unconditional("new", 1, map.version.0);
    assert_eq!(map.check_change(&new), ChangeCheck::Fits);
    let just = unconditional("just", 1, map.version.0 - REMEMBERED_CHANGES as u64);
    assert_eq!(map.check_change(&just), ChangeCheck::Fits);
}

#[test]
fn given_a_full_history_when_encoded_then_it_takes_a_few_hundred_bytes_and_a_new_one_few() {
    let size = |history: &VersionHistory| minicbor::to_vec(history).expect("it encodes").len();
    let mut history = VersionHistory::default();
    let confirmed = |version: u64| ConfirmedVersion {
        version,
        digest: u64::MAX - version,
    };
    history.confirm(confirmed(1));
    assert!(size(&history) <= 14, "{}", size(&history));
    for version in 0..10 * REMEMBERED_VERSIONS as u64 {
        history.confirm(confirmed(1_000_000 + version));
    }
    assert!(size(&history) <= 16 * 15 + 8, "{}", size(&history));
}

#[test]
fn route_whose_host_has_capitals_and_a_port_is_found_under_the_bare_name() {
    let table = table_of(&[("one", "Files.Example:8080", "/")]);
    for host in ["files.example", "FILES.example:80", "files.example:8080"] {
        assert_eq!(found(&table, host, "/x"), Some("one".to_string()), "{host}");
    }
}
