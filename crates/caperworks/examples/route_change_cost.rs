//! Prints the cost of changing one route at 300 and 6,000 routes: in a proxy, and in validation.

use std::time::Duration;

use caperworks::configuration::{check_configuration, RouteTable};
use caperworks::consensus::messages::{CommittedChange, ConsensusMessage};
use caperworks::dispatch::ProxyState;
use caperworks::identifiers::{ChangeId, NodeId, ServiceName, Version};
use caperworks::map_items::{Route, Value};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap, Written};

const REPEATS: u32 = 100;

fn route_put(number: u64, version: u64) -> Put {
    let route = Route {
        host: format!("h{}.example", number % 7),
        path: format!("/route-{number}/"),
        service: ServiceName::new("records"),
        deadline: Duration::from_secs(2),
        body_limit: 1000,
        ..Route::default()
    };
    Put {
        key: format!("rule/route-{number}"),
        expected: None,
        value: Some(Value::Route { route }),
        written: Some(Written {
            version,
            text: String::new(),
        }),
    }
}

fn change(puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new("call"),
        puts,
        guards: Vec::new(),
    }
}

fn view(number: u64, updates: ConsensusMessage) -> ProxyView {
    ProxyView {
        number,
        left: Duration::from_secs(1),
        updates: vec![updates],
        instances: Vec::new(),
        proxies: 1,
        configuration: Version(0),
        ownership: Version(0),
        agent: NodeId(1),
        instances_offset: 0,
        all_instances: false,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        position: None,
        reports_left: None,
    }
}

fn measure_changes(map: &ReplicatedMap) -> Duration {
    let mut proxy_state = ProxyState::default();
    let full_map = ConsensusMessage::Snapshot {
        map: MapName::Configuration,
        full_map: map.reduced(),
    };
    proxy_state.apply_view(Duration::ZERO, &view(1, full_map));
    let mut elapsed = Duration::ZERO;
    for number in 0..u64::from(REPEATS) {
        let version = Version(map.version.0 + 1 + number);
        let change = change(vec![route_put(number, 2)]).reduced();
        let updates = ConsensusMessage::ReducedUpdates {
            map: MapName::Configuration,
            changes: vec![CommittedChange { version, change }],
        };
        // Requests in flight hold the state from before the change.
        let shared = proxy_state.clone();
        let began = std::time::Instant::now();
        proxy_state.apply_view(Duration::ZERO, &view(2 + number, updates));
        elapsed += began.elapsed();
        drop(shared);
    }
    elapsed / REPEATS
}

fn main() {
    for routes in [300, 6_000] {
        let mut map = ReplicatedMap::empty();
        map.apply(&change(
            (0..routes).map(|number| route_put(number, 1)).collect(),
        ));
        let began = std::time::Instant::now();
        for _ in 0..REPEATS {
            std::hint::black_box(RouteTable::of(&map));
        }
        let table = began.elapsed() / REPEATS;
        let taken = measure_changes(&map);
        let began = std::time::Instant::now();
        for number in 0..u64::from(REPEATS) {
            let change = change(vec![route_put(number, 3)]);
            std::hint::black_box(check_configuration(&map, &change));
        }
        let checked = began.elapsed() / REPEATS;
        println!(
            "{routes} routes: table anew {table:?}, change in a proxy {taken:?}, check {checked:?}"
        );
    }
}
