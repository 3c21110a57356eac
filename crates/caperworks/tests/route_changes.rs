//! Tests how route changes reach the route table of a proxy: every current route is found, no older
//! map is applied, and the cost is that of the change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::{prop, prop_assert_eq, proptest, ProptestConfig, Strategy};

use caperworks::configuration::RouteTable;
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::Failure;
use caperworks::dispatch::ProxyState;
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

/// Returns a put of a route with a version; without a host and path the route is dropped.
fn put(name: u64, version: u64, host_and_path: Option<(&str, &str)>) -> Put {
    Put {
        key: format!("rule/route-{name}"),
        expected: None,
        value: host_and_path.map(|(host, path)| Value::Route {
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

/// Returns a map of this many routes over seven hosts.
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
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        position: None,
        reports_left: None,
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

/// Returns the route with the longest prefix of the path, found by comparing all of them.
fn longest_prefix(map: &ReplicatedMap, host: &str, path: &str) -> Option<String> {
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

/// One change: the route, and its new host and prefix; past the last prefix it is dropped.
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
    fn updated_table_finds_the_longest_prefix(
        changes in prop::collection::vec(any_change(), 1..20),
    ) {
        let mut map = ReplicatedMap::empty();
        let mut table = RouteTable::default();
        for (number, moves) in changes.iter().enumerate() {
            let version = number as u64 + 1;
            let mut next = map.clone();
            let puts = moves.iter().map(|(name, host, prefix)| {
                let host_and_path = PREFIXES.get(*prefix).map(|prefix| (HOSTS[*host], *prefix));
                put(*name, version, host_and_path)
            });
            next.apply(&change(version, puts.collect()));
            let mut routed_paths = BTreeSet::new();
            let is_sound = next
                .routes()
                .all(|(_, route)| routed_paths.insert((route.host.clone(), route.path.clone())));
            // Validation rejects changes that give two routes the same host and path.
            if !is_sound {
                continue;
            }
            map = next;
            table = table.updated_to(&map);
            for (host, path) in HOSTS.iter().flat_map(|host| PATHS.map(|path| (host, path))) {
                let bare = path.split('?').next().unwrap_or_default();
                let expected = longest_prefix(&map, host, bare);
                prop_assert_eq!(found(&table, host, path), expected, "{}{}", host, path);
            }
        }
    }
}

#[test]
fn unchanged_routes_are_shared_with_the_previous_table() {
    let mut map = map_of(6_000);
    let before = RouteTable::of(&map);
    map.apply(&change(2, vec![put(7, 2, Some(("h0.example", "/moved/")))]));
    let after = before.updated_to(&map);
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
fn all_of_thousands_of_routes_are_found_and_later_ones_too() {
    let mut map = map_of(6_000);
    let mut proxy_state = ProxyState::default();
    let first = view(1, 1, map.version, vec![full_map(&map)]);
    proxy_state.apply_view(Duration::ZERO, &first);
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
        proxy_state.apply_view(Duration::ZERO, &view(number, 1, map.version, vec![updates]));
        let route = proxy_state.find(Duration::ZERO, "h9.example", &format!("{path}1"));
        assert_eq!(
            route.expect("the route is found").0.as_str(),
            format!("route-{number}")
        );
    }
    for number in 0..6_000 {
        let host = format!("h{}.example", number % 7);
        let route = proxy_state.find(Duration::ZERO, &host, &format!("/route-{number}/1"));
        assert!(route.is_ok(), "{number}");
    }
}

#[test]
fn older_map_from_a_restarted_agent_is_ignored() {
    let older = map_of(3);
    let mut newer = older.clone();
    newer.apply(&change(
        2,
        vec![put(0, 2, None), put(3, 2, Some(("h0.example", "/new/")))],
    ));
    let mut proxy_state = ProxyState::default();
    proxy_state.apply_view(
        Duration::ZERO,
        &view(1, 1, newer.version, vec![full_map(&newer)]),
    );
    proxy_state.apply_view(
        Duration::ZERO,
        &view(2, 2, older.version, vec![full_map(&older)]),
    );
    assert_eq!(
        proxy_state.maps.map(MapName::Configuration).version,
        newer.version
    );
    assert_eq!(
        found(&proxy_state.table, "h0.example", "/new/1"),
        Some("route-3".to_string())
    );
    assert_eq!(found(&proxy_state.table, "h0.example", "/route-0/1"), None);
}

#[test]
fn response_without_the_configuration_it_names_does_not_make_the_proxy_fresh() {
    let map = map_of(3);
    let mut proxy_state = ProxyState::default();
    proxy_state.apply_view(
        Duration::ZERO,
        &view(1, 1, map.version.next(), vec![full_map(&map)]),
    );
    assert!(!proxy_state.is_usable(Duration::ZERO));
    let route = proxy_state.find(Duration::ZERO, "h0.example", "/added-since/1");
    assert_eq!(
        route.err(),
        Some(Failure::Stale),
        "the route may have been added since"
    );
    proxy_state.apply_view(Duration::ZERO, &view(2, 1, map.version, Vec::new()));
    assert!(proxy_state.is_usable(Duration::ZERO));
}

#[test]
fn changes_behind_a_gap_are_not_applied() {
    let mut map = map_of(3);
    let mut proxy_state = ProxyState::default();
    proxy_state.apply_view(
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
    proxy_state.apply_view(Duration::ZERO, &view(2, 1, map.version, vec![with_gap]));
    assert_eq!(proxy_state.maps.map(MapName::Configuration).version, held);
    assert_eq!(found(&proxy_state.table, "h0.example", "/new/1"), None);
    let all = updates(vec![(held.next(), &lost), (map.version, &added)]);
    proxy_state.apply_view(Duration::ZERO, &view(3, 1, map.version, vec![all]));
    let named = found(&proxy_state.table, "h0.example", "/new/1");
    assert_eq!(named, Some("route-3".to_string()));
    assert_eq!(found(&proxy_state.table, "h0.example", "/route-0/1"), None);
}

/// A map in the encoding of the time when its items were a plain map.
#[derive(minicbor::Encode)]
struct PlainMap {
    #[n(0)]
    version: Version,
    #[n(1)]
    items: BTreeMap<String, Item>,
    #[n(2)]
    recent_changes: Vec<RecentChange>,
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
            recent_changes: map.recent_changes.clone(),
            histories: map.histories.clone(),
            is_reduced: map.is_reduced(),
        };
        let bytes = minicbor::to_vec(&plain).expect("the map is encoded");
        assert_eq!(minicbor::to_vec(&map).expect("the map is encoded"), bytes);
        assert_eq!(
            minicbor::decode::<ReplicatedMap>(&bytes).expect("the map is decoded"),
            map
        );
    }
}
