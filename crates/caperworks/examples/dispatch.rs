//! Handles requests: matches and admits them, chooses an instance, makes an attempt, and forwards
//! the response.
//!
//! Takes the number of requests as an argument, for counting instructions per request.

use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::dispatch::{AttemptEnd, NextStep, ProxyState, RequestLifecycle, ServiceShard};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::map_items::{Route, Service, Value, ZoneSettings};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

fn put(key: &str, value: Value) -> Put {
    Put {
        key: key.to_string(),
        expected: None,
        value: Some(value),
        written: None,
    }
}

fn main() {
    let requests: u64 = std::env::args()
        .nth(1)
        .and_then(|number| number.parse().ok())
        .unwrap_or(1000);
    let mut configuration = ReplicatedMap::empty();
    let zone = Value::Zone {
        zone: ZoneSettings {
            region: Region::new("east"),
            closed: false,
        },
    };
    let service = Value::Service {
        service: Service {
            keyed: false,
            key_ranges: 1,
            instance_cap: 32,
            key_cap: 1,
            slow_start_rate_milli: 10000,
            warm_up_period: Duration::from_secs(5),
            ..Service::default()
        },
    };
    let route = Value::Route {
        route: Route {
            host: "tallowgum.example".to_string(),
            path: "/progress".to_string(),
            service: ServiceName::new("records"),
            homes: Vec::new(),
            deadline: Duration::from_secs(1),
            body_limit: 1000,
            key_header: None,
            ..Route::default()
        },
    };
    configuration.apply(&Change {
        id: ChangeId::new("first"),
        puts: vec![
            put("area/e1", zone),
            put("pool/records", service),
            put("rule/progress", route),
        ],
        guards: Vec::new(),
    });
    let instances = (0..30)
        .map(|number| Heartbeat {
            id: InstanceId::new(format!("records-{number}")),
            incarnation: Incarnation(1),
            counter: 1,
            service: ServiceName::new("records"),
            zone: Zone::new("e1"),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + number)),
            capacity: 10,
            state: InstanceState::Serving,
            load: 0,
            uptime: Duration::from_secs(60),
            key_ranges_in_use: Vec::new(),
            released: Vec::new(),
            warm_up_left: Duration::ZERO,
        })
        .collect();
    let view = ProxyView {
        agent: NodeId(1),
        instances_offset: 1,
        all_instances: true,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
        number: 1,
        left: Duration::from_secs(3600),
        updates: vec![ConsensusMessage::Snapshot {
            map: MapName::Configuration,
            full_map: configuration,
        }],
        instances,
        proxies: 12,
        configuration: Version(1),
        ownership: Version(0),
        position: None,
        reports_left: None,
    };
    let mut proxy_state = ProxyState::default();
    proxy_state.apply_view(Duration::ZERO, &view);
    let own = Zone::new("e1");
    let mut shard = ServiceShard::new(1);
    let mut done = 0;
    for number in 0..requests {
        let now = Duration::from_millis(number);
        let mut lifecycle = RequestLifecycle::received(true);
        let found = proxy_state.table.find("tallowgum.example", "/progress/7");
        let (_, route) = found.expect("the route exists");
        lifecycle.matched(now, route);
        proxy_state
            .check_admission(now, &own, route)
            .expect("the proxy is fresh and its zone is open");
        lifecycle.admitted(true);
        shard.record_first_attempt(now);
        let target = shard
            .choose(now, &proxy_state, &own, route, None, &[])
            .expect("an instance has capacity");
        shard.begin_attempt(now, &target);
        lifecycle.chosen();
        proxy_state
            .check_before_send(now, &own, route, &target)
            .expect("nothing has changed");
        lifecycle.begin_attempt();
        lifecycle.sent();
        shard.end_attempt(now, &target, true, Some(0));
        let step = lifecycle.attempt_ended(now, AttemptEnd::Responded, || false);
        done += u64::from(step == NextStep::ForwardResponse);
    }
    println!("{done} responses forwarded");
    assert_eq!(done, requests);
}
