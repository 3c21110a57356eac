//! A proxy that gets views of chosen instances, without an agent.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use caperworks::consensus::messages::ConsensusMessage;
use caperworks::dispatch::{Failure, ProxyState, ServiceShard};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    stable_hash, ChangeId, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::map_items::{Route, Service, Value, ZoneSettings};
use caperworks::messages::ProxyView;
use caperworks::policy::ProxyPolicy;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};

pub(crate) fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

pub(crate) fn route() -> Route {
    Route {
        host: "*".to_string(),
        path: "/".to_string(),
        service: ServiceName::new("records"),
        deadline: millis(1000),
        body_limit: 1000,
        ..Route::default()
    }
}

pub(crate) fn service() -> Service {
    Service {
        key_ranges: 1,
        instance_cap: 1000,
        key_cap: 1000,
        slow_start_rate_milli: 10_000,
        ..Service::default()
    }
}

pub(crate) fn heartbeat(name: &str, zone: &str) -> Heartbeat {
    let port = 7000 + (stable_hash(name) % 1000) as u16;
    Heartbeat {
        id: InstanceId::new(name),
        incarnation: Incarnation(0),
        counter: 1,
        service: ServiceName::new("records"),
        zone: Zone::new(zone),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity: 10,
        state: InstanceState::Serving,
        load: 0,
        uptime: Duration::MAX,
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

pub(crate) fn put(key: &str, value: Value) -> Put {
    Put {
        key: key.to_string(),
        expected: None,
        value: Some(value),
        written: None,
    }
}

pub(crate) fn zone_put(zone: &str, region: &str, closed: bool) -> Put {
    let region = Region::new(region);
    let settings = ZoneSettings { region, closed };
    put(&format!("area/{zone}"), Value::Zone { zone: settings })
}

pub(crate) fn change(id: &str, puts: Vec<Put>) -> Change {
    Change {
        id: ChangeId::new(id),
        puts,
        guards: Vec::new(),
    }
}

/// A proxy in zone e1 and the state that its agent sends: e1 and e2 are in the east, w1 in the west, n1 in
/// the north.
pub(crate) struct Bench {
    pub(crate) proxy_state: ProxyState,
    /// How long the agent attributes missing responses of the controllers to a slow link.
    pub(crate) slow_link_remaining: Duration,
    pub(crate) configuration: ReplicatedMap,
    /// How long the reports of the instances count as current, if the agent says it.
    pub(crate) reports_left: Option<Duration>,
    views: u64,
}

pub(crate) const ZONES: [(&str, &str); 4] = [
    ("e1", "east"),
    ("e2", "east"),
    ("w1", "west"),
    ("n1", "north"),
];

impl Bench {
    pub(crate) fn new(policy: ProxyPolicy) -> Self {
        let mut puts: Vec<Put> = ZONES
            .iter()
            .map(|(zone, region)| zone_put(zone, region, false))
            .collect();
        puts.push(put("pool/records", Value::Service { service: service() }));
        puts.push(put("rule/any", Value::Route { route: route() }));
        let mut configuration = ReplicatedMap::empty();
        configuration.apply(&change("first", puts));
        let proxy_state = ProxyState {
            policy,
            ..ProxyState::default()
        };
        Self {
            proxy_state,
            slow_link_remaining: Duration::ZERO,
            configuration,
            reports_left: None,
            views: 0,
        }
    }

    pub(crate) fn apply(&mut self, puts: Vec<Put>) {
        let id = format!("change-{}", self.configuration.version);
        self.configuration.apply(&change(&id, puts));
    }

    /// Sends the proxy the full configuration and these instances.
    pub(crate) fn send_view(&mut self, now: Duration, heartbeats: &[Heartbeat]) {
        self.views += 1;
        let full_map = self.configuration.clone();
        let view = ProxyView {
            agent: NodeId(1),
            instances_offset: 1,
            all_instances: true,
            slow_link_remaining: self.slow_link_remaining,
            suspected: Vec::new(),
            number: self.views,
            left: millis(3000),
            configuration: full_map.version,
            updates: vec![ConsensusMessage::Snapshot {
                map: MapName::Configuration,
                full_map,
            }],
            instances: heartbeats.to_vec(),
            proxies: 1,
            ownership: Version(0),
            position: None,
            reports_left: self.reports_left,
        };
        self.proxy_state.apply_view(now, &view);
    }

    pub(crate) fn check_admission(&self, now: Duration, route: &Route) -> Result<(), Failure> {
        self.proxy_state
            .check_admission(now, &Zone::new("e1"), route)
    }

    /// Returns the instances that are chosen for many concurrent requests.
    pub(crate) fn chosen(&self, now: Duration, route: &Route) -> BTreeSet<String> {
        let mut shard = ServiceShard::new(1);
        let mut names = BTreeSet::new();
        let own_zone = Zone::new("e1");
        for _ in 0..300 {
            if let Ok(target) = shard.choose(now, &self.proxy_state, &own_zone, route, None, &[]) {
                let checked = self
                    .proxy_state
                    .check_before_send(now, &own_zone, route, &target);
                assert_eq!(checked, Ok(()));
                // The request stays open, so that this instance reaches its limit and the others are
                // chosen too.
                shard.begin_attempt(now, &target);
                names.insert(target.instance.to_string());
            }
        }
        names
    }
}

pub(crate) fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_string()).collect()
}

/// Returns the heartbeats of one instance in each zone.
pub(crate) fn one_in_each_zone() -> Vec<Heartbeat> {
    ["e1", "e2", "w1", "n1"]
        .iter()
        .map(|zone| {
            let mut heartbeat = heartbeat(&format!("in-{zone}"), zone);
            heartbeat.capacity = 1;
            heartbeat
        })
        .collect()
}
