//! What a change of routes leaves in a proxy's table: every route that stands is found, no older map is
//! taken, and a change costs what it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::{prop, prop_assert_eq, proptest, ProptestConfig, Strategy};

use caperworks::configuration::RouteTable;
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::Failure;
use caperworks::dispatch::ProxyKnowledge;
use caperworks::identifiers::{ChangeId, NodeId, ServiceName, Version};
use caperworks::map_items::{Route, Value};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{
    Change, Item, MapName, Put, RecentChange, ReplicatedMap, Written,
};
use caperworks::version_history::VersionHistory;

fn route(host: &str, path: &str) -> Route {
    Route {
        host: host.to_string(),
        path: path.to_string(),
        service: ServiceName::new("records"),
        deadline: Duration::from_secs(2),
        body_limit: 1000,
        ..Route::default()
    }
}

/// A put of a route under a version; no place drops it.
fn put(name: u64, version: u64, index: Option<(&str, &str)>) -> Put {
    Put {
        key: format!("rule/route-{name}"),
        expected: None,
        value: index.map(|(host, path)| Value::Route {
            route: route(host, path),
        }),
        written: Some(Written {
            version,
            text: String::new(),
        }),
    }
}

fn change(version: u64, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(format!("call-{version}")),
        puts,
        guards: Vec::new(),
    }
}

/// A map of this many routes over seven hosts.
fn map_of(routes: u64) -> ReplicatedMap {
    let mut map = ReplicatedMap::empty();
    let puts = (0..routes).map(|number| {
        let host = format!("h{}.example", number % 7);
        put(number, 1, Some((&host, &format!("/route-{number}/"))))
    });
    map.apply(&change(1, puts.collect()));
    map
}

fn view(number: u64, agent: u64, version: Version, updates: Vec<ConsensusMessage>) -> ProxyView {
    ProxyView {
        number,
        left: Duration::from_secs(1),
        updates,
        instances: Vec::new(),
        proxies: 1,
        configuration: version,
        ownership: Version(0),
        agent: NodeId(agent),
        instances_offset: 0,
        all_instances: true,
        link_slow_for: Duration::ZERO,
        silent: Vec::new(),
    }
}

fn full_map(map: &ReplicatedMap) -> ConsensusMessage {
    ConsensusMessage::Snapshot {
        map: MapName::Configuration,
        full_map: map.reduced(),
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|(name, _)| name.to_string())
}

/// The name of the route with the longest prefix that begins the path, found by looking at all of them.
fn longest(map: &ReplicatedMap, host: &str, path: &str) -> Option<String> {
    map.routes()
        .filter(|(_, route)| route.host == host && path.starts_with(&route.path))
        .max_by_key(|(_, route)| route.path.len())
        .map(|(name, _)| name.to_string())
}

const HOSTS: [&str; 2] = ["a.example", "b.example"];
const PREFIXES: [&str; 6] = ["/", "/x/", "/x/y/", "/x/y/z/", "/y/", "/xy/"];
const PATHS: [&str; 9] = [
    "/",
    "/x",
    "/x/",
    "/x/y",
    "/x/y/z/1",
    "/x/y/zz",
    "/y/1?q=/x/",
    "/xy/1",
    "/none/1",
];

/// One change: which route, and where it goes; past the last prefix it is dropped.
fn any_change() -> impl Strategy<Value = Vec<(u64, usize, usize)>> {
    prop::collection::vec((0..8_u64, 0..HOSTS.len(), 0..=PREFIXES.len()), 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_that_follows_any_changes_finds_the_longest_prefix_that_stands(
        changes in prop::collection::vec(any_change(), 1..20),
    ) {
        let mut map = ReplicatedMap::empty();
        let mut table = RouteTable::default();
        for (number, moves) in changes.iter().enumerate() {
            let version = number as u64 + 1;
            let mut next = map.clone();
            let puts = moves.iter().map(|(name, host, prefix)| {
                let index = PREFIXES.get(*prefix).map(|prefix| (HOSTS[*host], *prefix));
                put(*name, version, index)
            });
            next.apply(&change(version, puts.collect()));
            let mut places = BTreeSet::new();
            let is_sound = next
                .routes()
                .all(|(_, route)| places.insert((route.host.clone(), route.path.clone())));
            // What would put two routes at one place is refused before it gets so far.
            if !is_sound {
                continue;
            }
            map = next;
            table = table.after(&map);
            for (host, path) in HOSTS.iter().flat_map(|host| PATHS.map(|path| (host, path))) {
                let bare = path.split('?').next().unwrap_or_default();
                let expected = longest(&map, host, bare);
                prop_assert_eq!(found(&table, host, path), expected, "{}{}", host, path);
            }
        }
    }
}

#[test]
fn change_of_one_route_leaves_the_other_thousands_shared_with_the_table_before() {
    let mut map = map_of(6_000);
    let before = RouteTable::of(&map);
    map.apply(&change(2, vec![put(7, 2, Some(("h0.example", "/moved/")))]));
    let after = before.after(&map);
    assert_eq!(
        found(&after, "h0.example", "/moved/1"),
        Some("route-7".to_string())
    );
    assert_eq!(found(&after, "h0.example", "/route-7/1"), None);
    let shared = (0..6_000)
        .filter(|number| {
            let (host, path) = (
                format!("h{}.example", number % 7),
                format!("/route-{number}/"),
            );
            let both = before.find(&host, &path).zip(after.find(&host, &path));
            both.is_some_and(|(old, new)| Arc::ptr_eq(&old.1, &new.1))
        })
        .count();
    assert_eq!(shared, 5_999);
}

#[test]
fn thousands_of_routes_added_at_once_are_all_found_and_those_that_follow_too() {
    let mut map = map_of(6_000);
    let mut knowledge = ProxyKnowledge::default();
    let first = view(1, 1, map.version, vec![full_map(&map)]);
    knowledge.take(Duration::ZERO, &first);
    for number in 6_000..6_050 {
        let path = format!("/route-{number}/");
        let added = change(number, vec![put(number, 1, Some(("h9.example", &path)))]);
        map.apply(&added);
        let updates = ConsensusMessage::ReducedUpdates {
            map: MapName::Configuration,
            changes: vec![CommittedChange {
                version: map.version,
                change: added.reduced(),
            }],
        };
        knowledge.take(Duration::ZERO, &view(number, 1, map.version, vec![updates]));
        let route = knowledge.find(Duration::ZERO, "h9.example", &format!("{path}1"));
        assert_eq!(
            route.expect("it is found").0.as_str(),
            format!("route-{number}")
        );
    }
    for number in 0..6_000 {
        let host = format!("h{}.example", number % 7);
        let route = knowledge.find(Duration::ZERO, &host, &format!("/route-{number}/1"));
        assert!(route.is_ok(), "{number}");
    }
}

#[test]
fn older_map_of_an_agent_that_began_anew_is_not_taken() {
    let older = map_of(3);
    let mut newer = older.clone();
    newer.apply(&change(
        2,
        vec![put(0, 2, None), put(3, 2, Some(("h0.example", "/new/")))],
    ));
    let mut knowledge = ProxyKnowledge::default();
    knowledge.take(
        Duration::ZERO,
        &view(1, 1, newer.version, vec![full_map(&newer)]),
    );
    knowledge.take(
        Duration::ZERO,
        &view(2, 2, older.version, vec![full_map(&older)]),
    );
    assert_eq!(
        knowledge.maps.map(MapName::Configuration).version,
        newer.version
    );
    assert_eq!(
        found(&knowledge.table, "h0.example", "/new/1"),
        Some("route-3".to_string())
    );
    assert_eq!(found(&knowledge.table, "h0.example", "/route-0/1"), None);
}

#[test]
fn response_that_names_a_later_configuration_than_it_brought_makes_nothing_fresh() {
    let map = map_of(3);
    let mut knowledge = ProxyKnowledge::default();
    knowledge.take(
        Duration::ZERO,
        &view(1, 1, map.version.next(), vec![full_map(&map)]),
    );
    assert!(!knowledge.is_usable(Duration::ZERO));
    let route = knowledge.find(Duration::ZERO, "h0.example", "/added-since/1");
    assert_eq!(
        route.err(),
        Some(Failure::Stale),
        "it may have been added since"
    );
    knowledge.take(Duration::ZERO, &view(2, 1, map.version, Vec::new()));
    assert!(knowledge.is_usable(Duration::ZERO));
}

#[test]
fn changes_behind_a_gap_are_not_applied() {
    let mut map = map_of(3);
    let mut knowledge = ProxyKnowledge::default();
    knowledge.take(
        Duration::ZERO,
        &view(1, 1, map.version, vec![full_map(&map)]),
    );
    let held = map.version;
    let lost = change(2, vec![put(0, 2, None)]);
    let added = change(3, vec![put(3, 3, Some(("h0.example", "/new/")))]);
    map.apply(&lost);
    map.apply(&added);
    let updates = |changes: Vec<(Version, &Change)>| ConsensusMessage::ReducedUpdates {
        map: MapName::Configuration,
        changes: changes
            .into_iter()
            .map(|(version, change)| CommittedChange {
                version,
                change: change.reduced(),
            })
            .collect(),
    };
    let with_gap = updates(vec![(map.version, &added)]);
    knowledge.take(Duration::ZERO, &view(2, 1, map.version, vec![with_gap]));
    assert_eq!(knowledge.maps.map(MapName::Configuration).version, held);
    assert_eq!(found(&knowledge.table, "h0.example", "/new/1"), None);
    let all = updates(vec![(held.next(), &lost), (map.version, &added)]);
    knowledge.take(Duration::ZERO, &view(3, 1, map.version, vec![all]));
    let named = found(&knowledge.table, "h0.example", "/new/1");
    assert_eq!(named, Some("route-3".to_string()));
    assert_eq!(found(&knowledge.table, "h0.example", "/route-0/1"), None);
}

/// A map as it was stored and sent when its items were a plain map.
#[derive(minicbor::Encode)]
struct PlainMap {
    #[n(0)]
    version: Version,
    #[n(1)]
    items: BTreeMap<String, Item>,
    #[n(2)]
    answered: Vec<RecentChange>,
    #[n(3)]
    histories: BTreeMap<String, VersionHistory>,
    #[n(4)]
    is_reduced: bool,
}

#[test]
fn shared_items_are_written_as_the_bytes_of_a_plain_map() {
    for map in [ReplicatedMap::empty(), map_of(300)] {
        let plain = PlainMap {
            version: map.version,
            items: map.items.clone().into_iter().collect(),
            answered: map.answered.clone(),
            histories: map.histories.clone(),
            is_reduced: map.is_reduced(),
        };
        let bytes = minicbor::to_vec(&plain).expect("it encodes");
        assert_eq!(minicbor::to_vec(&map).expect("it encodes"), bytes);
        assert_eq!(
            minicbor::decode::<ReplicatedMap>(&bytes).expect("it decodes"),
            map
        );
    }
}
