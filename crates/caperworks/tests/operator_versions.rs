//! Tests of items under operator versions, of change sets that are rejected as a whole, and of route
//! matching.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use caperworks::change_check::ChangeCheck;
use caperworks::configuration::{check_configuration, RouteTable, MAX_CONFIGURATION_BYTES};
use caperworks::identifiers::{ChangeId, RandomSource, Region, ServiceName, Version};
use caperworks::map_items::{Route, Service, SplitTarget, Value, ZoneSettings};
use caperworks::replicated_map::{
    Change, Guard, Item, Put, RecentChange, ReplicatedMap, TakenVersion, Written,
    MAP_VERSION_GUARD, REMEMBERED_CHANGES,
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

/// Creates a put under an operator version; without a value it drops the item.
fn put_under_version(key: &str, version: u64, value: Option<Value>) -> Put {
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

/// Returns the operator version of an item, and the limit of its service unless it was dropped.
fn configuration(map: &ReplicatedMap, key: &str) -> Option<(u64, Option<u32>)> {
    let item = map.items.get(key)?;
    let version = item.written.as_ref().map_or(0, |written| written.version);
    match &item.value {
        Value::Service { service } => Some((version, Some(service.instance_cap))),
        _ => Some((version, None)),
    }
}

const KEY: &str = "pool/records";

/// Returns the map after changes of one put each.
fn after(puts: &[(u64, Option<u32>)]) -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    for (index, (version, limit)) in puts.iter().enumerate() {
        let put = put_under_version(KEY, *version, limit.and_then(service_value));
        let change = call(&format!("call-{index}"), vec![put]);
        assert_eq!(check_configuration(&map, &change), Vec::new());
        map.apply(&change);
    }
    map
}

#[test]
fn lower_or_equal_operator_version_leaves_the_item_unchanged() {
    let first = after(&[(5, Some(50))]);
    for later in [1, 4, 5] {
        let map = after(&[(5, Some(50)), (later, Some(7))]);
        assert_eq!(configuration(&map, KEY), Some((5, Some(50))), "{later}");
        assert_eq!(map.items, first.items, "not even the version of the item");
    }
    let map = after(&[(5, Some(50)), (6, Some(60))]);
    assert_eq!(configuration(&map, KEY), Some((6, Some(60))));
}

#[test]
fn dropped_item_stays_dropped_under_older_or_equal_versions() {
    for older in [1, 4, 5] {
        let map = after(&[(4, Some(40)), (5, None), (older, Some(7))]);
        assert_eq!(configuration(&map, KEY), Some((5, None)), "{older}");
        assert_eq!(map.services().count(), 0);
    }
    let map = after(&[(4, Some(40)), (5, None), (6, Some(60))]);
    assert_eq!(
        configuration(&map, KEY),
        Some((6, Some(60))),
        "a later version sets it again"
    );
}

#[test]
fn drop_under_a_lower_version_leaves_the_item_unchanged() {
    for drop in [1, 4, 5] {
        let map = after(&[(5, Some(50)), (drop, None)]);
        assert_eq!(configuration(&map, KEY), Some((5, Some(50))), "{drop}");
    }
}

#[test]
fn put_that_arrives_after_a_drop_of_a_higher_version_has_no_effect() {
    let map = after(&[(9, None), (8, Some(80)), (3, Some(30))]);
    assert_eq!(configuration(&map, KEY), Some((9, None)));
    assert_eq!(map.services().count(), 0);
}

#[test]
fn highest_operator_version_wins_in_any_sequence() {
    let puts = [(1, Some(10)), (2, None), (3, Some(30)), (4, None)];
    let mut chance = RandomSource::seeded(7);
    for highest in [3, 4] {
        for _ in 0..200 {
            let mut shuffled = puts[..highest].to_vec();
            for index in (1..shuffled.len()).rev() {
                shuffled.swap(index, chance.below(index as u64 + 1) as usize);
            }
            let map = after(&shuffled);
            let (version, limit) = puts[highest - 1];
            assert_eq!(
                configuration(&map, KEY),
                Some((version, limit)),
                "{shuffled:?}"
            );
        }
    }
}

#[test]
fn highest_version_wins_when_one_call_contains_an_item_twice() {
    for versions in [[2, 7], [7, 2]] {
        let puts = versions
            .iter()
            .map(|version| put_under_version(KEY, *version, service_value(*version as u32)))
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
    let puts = vec![
        put_under_version(KEY, 7, None),
        put_under_version(KEY, 2, service_value(2)),
    ];
    let mut map = ReplicatedMap::empty();
    map.apply(&call("drop and put", puts));
    assert_eq!(configuration(&map, KEY), Some((7, None)));
}

#[test]
fn version_zero_only_sets_an_absent_item() {
    let map = after(&[(0, Some(10))]);
    assert_eq!(configuration(&map, KEY), Some((0, Some(10))));
    for current in [(0, Some(10)), (1, Some(10)), (1, None)] {
        let map = after(&[current, (0, Some(99))]);
        assert_eq!(configuration(&map, KEY), Some(current));
    }
    let map = after(&[(0, Some(10)), (1, Some(11))]);
    assert_eq!(configuration(&map, KEY), Some((1, Some(11))));
}

#[test]
fn zone_closed_without_a_version_stays_closed_under_version_zero() {
    let zone = |closed: bool| {
        let region = Region::new("east");
        let zone = ZoneSettings { region, closed };
        Some(Value::Zone { zone })
    };
    let mut map = ReplicatedMap::empty();
    map.apply(&call(
        "first",
        vec![put_under_version("area/e1", 0, zone(false))],
    ));
    let mut close = put_under_version("area/e1", 0, zone(true));
    close.written = None;
    map.apply(&call("close", vec![close]));
    map.apply(&call(
        "again",
        vec![put_under_version("area/e1", 0, zone(false))],
    ));
    assert!(map.zones().all(|(_, zone)| zone.closed));
}

#[test]
fn configuration_check_reports_every_kind_of_fault() {
    let mut late = route("late.example", "/", "records");
    late.deadline = Duration::from_secs(600) + Duration::from_millis(1);
    let mut endless = route("a.example", "/endless", "records");
    endless.split = vec![SplitTarget {
        service: ServiceName::new("absent"),
        weight: 1,
    }];
    let value = |route: Route| Some(Value::Route { route });
    let puts = vec![
        put_under_version(KEY, 1, service_value(4)),
        put_under_version(
            "rule/dangling",
            1,
            value(route("b.example", "/", "nowhere")),
        ),
        put_under_version("rule/split", 1, value(endless)),
        put_under_version("rule/first", 1, value(route("c.example", "/x", "records"))),
        put_under_version("rule/second", 1, value(route("c.example", "/x", "records"))),
        put_under_version("rule/late", 1, value(late)),
        put_under_version(
            "rule/slashless",
            1,
            value(route("d.example", "x", "records")),
        ),
        put_under_version("rule/hostless", 1, value(route("", "/", "records"))),
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
fn dropping_a_service_in_use_is_rejected() {
    let route = Some(Value::Route {
        route: route("a.example", "/", "records"),
    });
    let puts = vec![
        put_under_version(KEY, 1, service_value(4)),
        put_under_version("rule/one", 1, route),
    ];
    let mut map = ReplicatedMap::empty();
    map.apply(&call("first", puts));
    let drop_service = put_under_version(KEY, 2, None);
    let alone = call("drop", vec![drop_service.clone()]);
    let faults = check_configuration(&map, &alone);
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].field, "rule/one.pool");
    let both = call(
        "both",
        vec![drop_service, put_under_version("rule/one", 2, None)],
    );
    assert_eq!(check_configuration(&map, &both), Vec::new());
}

#[test]
fn deadline_of_ten_minutes_is_accepted() {
    let mut longest = route("a.example", "/", "records");
    longest.deadline = Duration::from_secs(600);
    let puts = vec![
        put_under_version(KEY, 1, service_value(4)),
        put_under_version("rule/longest", 1, Some(Value::Route { route: longest })),
    ];
    let faults = check_configuration(&ReplicatedMap::empty(), &call("longest", puts));
    assert_eq!(faults, Vec::new());
}

#[test]
fn routes_whose_hosts_differ_only_in_case_are_rejected() {
    let value = |host: &str| {
        let route = route(host, "/", "records");
        Some(Value::Route { route })
    };
    let puts = vec![
        put_under_version(KEY, 1, service_value(4)),
        put_under_version("rule/lower", 1, value("a.example")),
        put_under_version("rule/upper", 1, value("A.Example")),
    ];
    let faults = check_configuration(&ReplicatedMap::empty(), &call("case", puts));
    let named: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(named, ["rule/upper"]);
}

#[test]
fn map_with_written_items_survives_a_round_trip() {
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
            put_under_version(&format!("rule/{name}"), 1, value)
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
fn route_match_finds_the_longest_prefix_of_complete_segments() {
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
fn route_match_prefers_an_exact_host_whose_path_matches() {
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

/// Creates a put of a service with an operator's text; without a text it drops the item.
fn put_with_text(key: &str, version: u64, text: Option<&str>) -> Put {
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

/// Checks a change with these puts and a unique id, and applies it if it fits.
fn check_and_apply(map: &mut ReplicatedMap, puts: Vec<Put>) -> ChangeCheck {
    let change = call(&format!("call-{}", map.version), puts);
    let check = map.check_change(&change);
    if check == ChangeCheck::Fits {
        map.apply(&change);
    }
    check
}

/// Returns the map after one change for each put, all of which fit.
fn map_with_texts(puts: &[(u64, Option<&str>)]) -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    for (version, text) in puts {
        let check = check_and_apply(&mut map, vec![put_with_text(KEY, *version, *text)]);
        assert_eq!(check, ChangeCheck::Fits, "{version} {text:?}");
    }
    map
}

/// Returns the operator version and the text of an item.
fn written_item(map: &ReplicatedMap, key: &str) -> Option<(u64, Option<String>)> {
    let item = map.items.get(key)?;
    let written = item.written.clone()?;
    let text = (item.value != Value::Dropped).then_some(written.text);
    Some((written.version, text))
}

#[test]
fn put_is_checked_against_each_kind_of_confirmed_version() {
    let confirmed = [(3, Some("a")), (5, None), (7, Some("c"))];
    let fits = [
        // Confirmed before: the same contents under the same version, set or dropped.
        (7, Some("c")),
        (5, None),
        (3, Some("a")),
        // Lower, and nothing was confirmed under this version: superseded.
        (1, Some("x")),
        (4, None),
        (6, Some("c")),
    ];
    for (version, text) in fits {
        let mut map = map_with_texts(&confirmed);
        let before = written_item(&map, KEY);
        let check = check_and_apply(&mut map, vec![put_with_text(KEY, version, text)]);
        assert_eq!(check, ChangeCheck::Fits, "{version} {text:?}");
        assert_eq!(written_item(&map, KEY), before, "the item is unchanged");
    }
    for (version, text) in [
        (7, Some("b")),
        (7, None),
        (5, Some("b")),
        (5, Some("")),
        (3, Some("c")),
        (3, None),
    ] {
        let mut map = map_with_texts(&confirmed);
        let before = map.clone();
        let check = check_and_apply(&mut map, vec![put_with_text(KEY, version, text)]);
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
        assert_eq!(check, ChangeCheck::VersionsTaken(vec![taken]));
        assert_eq!(map, before);
    }
    let mut map = map_with_texts(&confirmed);
    assert_eq!(
        check_and_apply(&mut map, vec![put_with_text(KEY, 8, Some("b"))]),
        ChangeCheck::Fits
    );
    assert_eq!(written_item(&map, KEY), Some((8, Some("b".to_string()))));
}

#[test]
fn superseded_version_that_was_confirmed_is_taken_for_other_contents() {
    let mut map = map_with_texts(&[(7, Some("c")), (4, Some("late"))]);
    assert_eq!(
        check_and_apply(&mut map, vec![put_with_text(KEY, 4, Some("late"))]),
        ChangeCheck::Fits
    );
    let check = check_and_apply(&mut map, vec![put_with_text(KEY, 4, Some("other"))]);
    assert!(matches!(check, ChangeCheck::VersionsTaken(_)), "{check:?}");
}

#[test]
fn forgotten_operator_versions_are_reported_as_forgotten() {
    let mut map = ReplicatedMap::empty();
    let limit = REMEMBERED_VERSIONS as u64;
    for version in 1..=2 * limit {
        let text = format!("text {version}");
        check_and_apply(&mut map, vec![put_with_text(KEY, version, Some(&text))]);
    }
    let history = map.history(KEY);
    assert_eq!(
        (history.confirmed.len() as u64, history.forgotten),
        (limit, limit)
    );
    let before = map.clone();
    for version in 1..=limit {
        for text in [format!("text {version}"), "other".to_string()] {
            let check = check_and_apply(&mut map, vec![put_with_text(KEY, version, Some(&text))]);
            let forgotten = ChangeCheck::VersionsForgotten(vec![KEY.to_string()]);
            assert_eq!(check, forgotten, "{version}");
        }
    }
    assert_eq!(map, before);
    for version in limit + 1..=2 * limit {
        let text = format!("text {version}");
        let again = vec![put_with_text(KEY, version, Some(&text))];
        assert_eq!(
            check_and_apply(&mut map, again),
            ChangeCheck::Fits,
            "{version}"
        );
        let other = check_and_apply(&mut map, vec![put_with_text(KEY, version, Some("other"))]);
        assert!(matches!(other, ChangeCheck::VersionsTaken(_)), "{other:?}");
    }
}

#[test]
fn call_with_one_taken_version_is_not_applied() {
    let mut map = map_with_texts(&[(5, Some("a"))]);
    let before = map.clone();
    let mixed = vec![
        put_with_text("pool/new", 1, Some("n")),
        put_with_text(KEY, 5, Some("b")),
        put_with_text("pool/newer", 9, Some("m")),
    ];
    let check = check_and_apply(&mut map, mixed);
    let ChangeCheck::VersionsTaken(taken) = check else {
        panic!("{check:?}");
    };
    assert_eq!((taken.len(), taken[0].key.as_str()), (1, KEY));
    assert_eq!(map, before);
    let agreeing = vec![
        put_with_text("pool/new", 1, Some("n")),
        put_with_text(KEY, 5, Some("a")),
    ];
    assert_eq!(check_and_apply(&mut map, agreeing), ChangeCheck::Fits);
    assert_eq!(
        written_item(&map, "pool/new"),
        Some((1, Some("n".to_string())))
    );
}

#[test]
fn call_with_two_contents_under_one_version_is_rejected() {
    let mut map = ReplicatedMap::empty();
    let twice = vec![
        put_with_text(KEY, 5, Some("a")),
        put_with_text(KEY, 5, Some("b")),
    ];
    let check = check_and_apply(&mut map, twice);
    assert!(matches!(check, ChangeCheck::VersionsTaken(_)), "{check:?}");
    let same = vec![
        put_with_text(KEY, 5, Some("a")),
        put_with_text(KEY, 5, Some("a")),
    ];
    assert_eq!(check_and_apply(&mut map, same), ChangeCheck::Fits);
}

/// A map in the form stored before histories were introduced.
#[derive(minicbor::Encode)]
struct MapWithoutHistories {
    #[n(0)]
    version: Version,
    #[n(1)]
    items: BTreeMap<String, Item>,
    #[n(2)]
    recent_changes: Vec<RecentChange>,
}

#[test]
fn map_stored_without_histories_knows_only_current_versions() {
    for last in [Some("b"), None] {
        let stored = map_with_texts(&[(3, Some("a")), (5, last)]);
        let bytes = minicbor::to_vec(MapWithoutHistories {
            version: stored.version,
            items: stored.items.clone().into_iter().collect(),
            recent_changes: stored.recent_changes.clone(),
        })
        .expect("it encodes");
        let mut map: ReplicatedMap = minicbor::decode(&bytes).expect("it decodes");
        assert_eq!(map.items, stored.items);
        let again = check_and_apply(&mut map, vec![put_with_text(KEY, 5, last)]);
        assert_eq!(again, ChangeCheck::Fits);
        let other = check_and_apply(&mut map, vec![put_with_text(KEY, 5, Some("other"))]);
        assert!(matches!(other, ChangeCheck::VersionsTaken(_)), "{other:?}");
        let older = check_and_apply(&mut map, vec![put_with_text(KEY, 3, Some("a"))]);
        let forgotten = ChangeCheck::VersionsForgotten(vec![KEY.to_string()]);
        assert_eq!(older, forgotten);
        let newer = check_and_apply(&mut map, vec![put_with_text(KEY, 6, Some("c"))]);
        assert_eq!(newer, ChangeCheck::Fits);
    }
}

#[test]
fn version_histories_do_not_count_towards_the_configuration_size() {
    let mut map = ReplicatedMap::empty();
    let text = "x".repeat(MAX_CONFIGURATION_BYTES - 2000);
    for version in 1..=2 * REMEMBERED_VERSIONS as u64 {
        let change = call(
            &format!("call-{version}"),
            vec![put_with_text(KEY, version, Some(&text))],
        );
        assert_eq!(check_configuration(&map, &change), Vec::new(), "{version}");
        map.apply(&change);
    }
}

/// Creates a change without expected item versions, as from the product's own interface.
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
            key: MAP_VERSION_GUARD.to_string(),
            expected: Version(read),
        }],
    }
}

#[test]
fn change_with_a_forgotten_id_is_not_applied_again() {
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
        "its id is forgotten, and it read a version before the oldest remembered change"
    );
    let new = unconditional("new", 1, map.version.0);
    assert_eq!(map.check_change(&new), ChangeCheck::Fits);
    let just = unconditional("just", 1, map.version.0 - REMEMBERED_CHANGES as u64);
    assert_eq!(map.check_change(&just), ChangeCheck::Fits);
}

#[test]
fn encoded_version_history_stays_small() {
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
