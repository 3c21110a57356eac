//! A real proxy on the loopback that knows of the hostile servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName};
use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::support::journal::PROMISES;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::map_items::{Route, Service, Value, ZoneSettings};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};
use proxy::carrier::{BrokenCarrier, Carrier};
use proxy::dialect::Dialect;
use runtime::clock::Clock;
use runtime::http::{serve_http, REQUEST_HEADER};
use runtime::options::{NodeSettings, TuningOptions};

/// How long a request may take; silence costs as much.
const ROUTE_DEADLINE: Duration = Duration::from_millis(500);
/// How long a proxy's knowledge counts as fresh.
pub const LEASE: Duration = Duration::from_secs(3600);
const BODY_LIMIT: u64 = 1_000_000;
pub const SERVICE: &str = "records";

fn reported_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key("nothing-ran")
}

/// A dialect in which clients name their requests, and successes bear a seal.
pub fn strict_dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        request_id: name("request-name"),
        callers_name_requests: true,
        deadline: name("time-left"),
        callers_tell_deadline: true,
        instance: name("meant-instance"),
        instance_header: Some(name("actual-instance")),
        incarnation: None,
        seal: Some(name("body-seal")),
        outcome: None,
        promises: &PROMISES,
        reported_not_run,
        ..Dialect::own()
    }
}

/// How a proxy, its clients and its instances speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// Clients name their requests, successes bear a seal, and statuses promise.
    Strict,
    /// The product's own: the proxy names requests, and a header promises.
    Own,
}

impl Manner {
    pub fn dialect(self) -> Dialect {
        match self {
            Manner::Strict => strict_dialect(),
            Manner::Own => Dialect::own(),
        }
    }

    /// The header that names a request, towards instances and back.
    pub fn name_header(self) -> &'static str {
        match self {
            Manner::Strict => "request-name",
            Manner::Own => REQUEST_HEADER,
        }
    }

    /// An instance's word that it ran nothing.
    pub fn refusal(self) -> &'static str {
        match self {
            Manner::Strict => "Nothing-Ran: full",
            Manner::Own => "caperworks-outcome: not-run",
        }
    }

    /// Whether an answer promises that the request did not run.
    pub fn promises(self, status: u16, outcome: Option<&str>) -> bool {
        match self {
            Manner::Strict => PROMISES.contains(&status),
            Manner::Own => outcome == Some("not-run"),
        }
    }
}

fn put(key: String, value: Value) -> Put {
    Put {
        key,
        expected: None,
        value: Some(value),
        written: None,
    }
}

fn configuration() -> ReplicatedMap {
    let route = Route {
        host: "*".to_string(),
        path: "/".to_string(),
        service: ServiceName::new(SERVICE),
        deadline: ROUTE_DEADLINE,
        body_limit: BODY_LIMIT,
        ..Route::default()
    };
    let service = Service {
        key_ranges: 4,
        instance_cap: 1000,
        key_cap: 1000,
        slow_start_rate_milli: 1_000_000,
        ..Service::default()
    };
    let zone = ZoneSettings {
        region: Region::new("east"),
        closed: false,
    };
    let change = Change {
        id: ChangeId::new("first"),
        puts: vec![
            put("area/e1".to_string(), Value::Zone { zone }),
            put(format!("pool/{SERVICE}"), Value::Service { service }),
            put("rule/all".to_string(), Value::Route { route }),
        ],
        guards: Vec::new(),
    };
    let mut map = ReplicatedMap::empty();
    map.apply(&change);
    map
}

pub fn instance(number: usize, address: SocketAddr) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(format!("instance-{number}")),
        incarnation: Incarnation(1),
        counter: 1,
        service: ServiceName::new(SERVICE),
        zone: Zone::new("e1"),
        address,
        capacity: 100,
        state: InstanceState::Serving,
        load: 0,
        up: Duration::from_secs(3600),
        held_key_ranges: Vec::new(),
        let_go: Vec::new(),
        warm_up_left: Duration::ZERO,
    }
}

fn node_settings(serving: SocketAddr) -> NodeSettings {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    NodeSettings {
        control: nowhere,
        advertise: nowhere,
        serving,
        zone: Zone::new("e1"),
        seeds: Vec::new(),
        data: PathBuf::new(),
        slot_megabytes: 1,
        log_megabytes: 1,
        capacity: 100,
        agent: Some(nowhere),
        terms: TuningOptions::default(),
    }
}

/// A listener on a loopback address that this seed has for itself.
///
/// Why not one address for all: a port that is free again would be taken by another schedule's
/// server, and a request on its way to the first would reach the second.
pub async fn listen_for(seed: u64) -> TcpListener {
    let [.., high, middle, low] = seed.to_be_bytes();
    let address = SocketAddr::from(([127, high.saturating_add(1), middle, low], 0));
    let listener = TcpListener::bind(address).await;
    listener.expect("a port is free")
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("it has an address")
}

/// A view that tells of these instances, and of no others; its lease lives for [`LEASE`].
pub fn view(number: u64, instances: Vec<Heartbeat>) -> ProxyView {
    ProxyView {
        agent: NodeId(1),
        instances_offset: number,
        all_instances: true,
        link_slow_for: Duration::ZERO,
        silent: Vec::new(),
        number,
        left: LEASE,
        updates: vec![ConsensusMessage::Snapshot {
            map: MapName::Configuration,
            full_map: configuration(),
        }],
        instances,
        proxies: 1,
        configuration: Version(1),
        ownership: Version(0),
    }
}

/// A proxy that serves, and knows of instances at these addresses.
pub struct ProxyFixture {
    pub address: SocketAddr,
    pub carrier: Arc<Carrier>,
    tasks: JoinSet<()>,
}

impl ProxyFixture {
    pub async fn start(
        seed: u64,
        dialect: Dialect,
        broken: BrokenCarrier,
        instances: &[SocketAddr],
    ) -> Self {
        Self::start_by(Clock::start(), seed, dialect, broken, instances).await
    }

    /// The same by a clock that may be interrupted.
    pub async fn start_by(
        clock: Clock,
        seed: u64,
        dialect: Dialect,
        broken: BrokenCarrier,
        instances: &[SocketAddr],
    ) -> Self {
        let listener = listen_for(seed).await;
        let address = address_of(&listener);
        let mut carrier = Carrier::new(clock, &node_settings(address), dialect);
        carrier.broken = broken;
        let carrier = Arc::new(carrier);
        let heartbeats = instances.iter().enumerate();
        let heartbeats = heartbeats.map(|(number, address)| instance(number, *address));
        let view = view(1, heartbeats.collect());
        carrier.take(carrier.clock.now(), &view);
        let carrying = carrier.clone();
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_http(listener, stop, move |far_end, request| {
            carrying.clone().carry(far_end, request)
        }));
        Self {
            address,
            carrier,
            tasks,
        }
    }

    /// Takes no more connections, and closes the idle ones to instances.
    pub fn stop(mut self) {
        self.tasks.abort_all();
        self.carrier.connections.keep_only(&BTreeMap::new());
    }
}
