//! A real proxy on the loopback interface in front of the hostile servers.

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

use crate::support::journal::NOT_RUN_STATUSES;
use caperworks::consensus::messages::ConsensusMessage;
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    ChangeId, Incarnation, InstanceId, NodeId, Region, ServiceName, Version, Zone,
};
use caperworks::map_items::{Route, Service, Value, ZoneSettings};
use caperworks::messages::ProxyView;
use caperworks::replicated_map::{Change, MapName, Put, ReplicatedMap};
use proxy::protocol_adapter::ProtocolAdapter;
use proxy::request_handler::{InjectedBug, RequestHandler};
use runtime::clock::Clock;
use runtime::http::{serve_http, REQUEST_HEADER};
use runtime::options::{NodeSettings, TuningOptions};

/// The deadline of a request; a server that does not respond delays it by as much.
const ROUTE_DEADLINE: Duration = Duration::from_millis(500);
/// How long the state of the proxy counts as fresh.
pub const LEASE: Duration = Duration::from_secs(3600);
const BODY_LIMIT: u64 = 1_000_000;
pub const SERVICE: &str = "records";

fn reports_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key("nothing-ran")
}

/// A protocol in which clients send a request id, and successful responses carry a seal.
pub fn strict_adapter() -> ProtocolAdapter {
    let name = HeaderName::from_static;
    ProtocolAdapter {
        request_id: name("request-name"),
        clients_send_request_id: true,
        deadline: name("time-left"),
        clients_send_deadline: true,
        instance: name("meant-instance"),
        instance_header: Some(name("actual-instance")),
        incarnation: None,
        required_success_header: Some(name("body-seal")),
        outcome: None,
        not_run_statuses: &NOT_RUN_STATUSES,
        reports_not_run,
        ..ProtocolAdapter::native()
    }
}

/// The protocol between the proxy, its clients and its instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Clients send a request id, successful responses carry a seal, and the status says whether a
    /// request ran.
    Strict,
    /// The default: the proxy assigns request ids, and a header says whether a request ran.
    Native,
}

impl Protocol {
    pub fn protocol_adapter(self) -> ProtocolAdapter {
        match self {
            Protocol::Strict => strict_adapter(),
            Protocol::Native => ProtocolAdapter::native(),
        }
    }

    /// Returns the header with the request id, in requests to instances and in their responses.
    pub fn request_id_header(self) -> &'static str {
        match self {
            Protocol::Strict => "request-name",
            Protocol::Native => REQUEST_HEADER,
        }
    }

    /// Returns the header by which an instance states that it ran nothing.
    pub fn not_run_header(self) -> &'static str {
        match self {
            Protocol::Strict => "Nothing-Ran: full",
            Protocol::Native => "caperworks-outcome: not-run",
        }
    }

    /// Returns whether a response states that the request did not run.
    pub fn states_not_run(self, status: u16, outcome: Option<&str>) -> bool {
        match self {
            Protocol::Strict => NOT_RUN_STATUSES.contains(&status),
            Protocol::Native => outcome == Some("not-run"),
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

fn service() -> Service {
    Service {
        key_ranges: 4,
        instance_cap: 1000,
        key_cap: 1000,
        slow_start_rate_milli: 1_000_000,
        ..Service::default()
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
    let service = service();
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
        uptime: Duration::from_secs(3600),
        key_ranges_in_use: Vec::new(),
        released: Vec::new(),
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
        tuning: TuningOptions::default(),
    }
}

/// Opens a listener on a loopback address that only this seed uses.
///
/// On a shared address a port that was released could be reused by the server of another schedule,
/// and a request in flight to the first server would reach the second.
pub async fn listen_for(seed: u64) -> TcpListener {
    let [.., high, middle, low] = seed.to_be_bytes();
    let address = SocketAddr::from(([127, high.saturating_add(1), middle, low], 0));
    let listener = TcpListener::bind(address).await;
    listener.expect("a port is free")
}

pub fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("the listener has an address")
}

/// Returns a view with exactly these instances, whose reports are not current; its lease is valid for [`LEASE`].
pub fn view(number: u64, instances: Vec<Heartbeat>) -> ProxyView {
    ProxyView {
        agent: NodeId(1),
        instances_offset: number,
        all_instances: true,
        slow_link_remaining: Duration::ZERO,
        suspected: Vec::new(),
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
        position: None,
        reports_left: Some(Duration::ZERO),
    }
}

/// Returns a view with these instances, whose service has health checks and the slow-start rate of one request in
/// four seconds.
pub fn view_with_health_checks(number: u64, instances: Vec<Heartbeat>) -> ProxyView {
    let service = Service {
        health_path: "/health".to_string(),
        slow_start_rate_milli: 250,
        ..service()
    };
    let mut full_map = configuration();
    full_map.apply(&Change {
        id: ChangeId::new("health"),
        puts: vec![put(format!("pool/{SERVICE}"), Value::Service { service })],
        guards: Vec::new(),
    });
    ProxyView {
        configuration: full_map.version,
        updates: vec![ConsensusMessage::Snapshot {
            map: MapName::Configuration,
            full_map,
        }],
        ..view(number, instances)
    }
}

/// A running proxy that knows instances at these addresses.
pub struct ProxyFixture {
    pub address: SocketAddr,
    pub request_handler: Arc<RequestHandler>,
    tasks: JoinSet<()>,
}

impl ProxyFixture {
    pub async fn start(
        seed: u64,
        protocol_adapter: ProtocolAdapter,
        injected_bug: InjectedBug,
        instances: &[SocketAddr],
    ) -> Self {
        Self::start_by(
            Clock::start(),
            seed,
            protocol_adapter,
            injected_bug,
            instances,
        )
        .await
    }

    /// Starts it with a clock that may be interrupted.
    pub async fn start_by(
        clock: Clock,
        seed: u64,
        protocol_adapter: ProtocolAdapter,
        injected_bug: InjectedBug,
        instances: &[SocketAddr],
    ) -> Self {
        let listener = listen_for(seed).await;
        let address = address_of(&listener);
        let mut request_handler =
            RequestHandler::new(clock, &node_settings(address), protocol_adapter);
        request_handler.injected_bug = injected_bug;
        let request_handler = Arc::new(request_handler);
        let heartbeats = instances.iter().enumerate();
        let heartbeats = heartbeats.map(|(number, address)| instance(number, *address));
        let view = view(1, heartbeats.collect());
        request_handler.apply_view(request_handler.clock.now(), &view);
        let handler = request_handler.clone();
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_http(listener, stop, move |peer, request| {
            handler.clone().handle(peer, request)
        }));
        Self {
            address,
            request_handler,
            tasks,
        }
    }

    /// Stops accepting connections, and closes the idle ones to instances.
    pub fn stop(mut self) {
        self.tasks.abort_all();
        self.request_handler
            .connections
            .retain_current(&BTreeMap::new());
    }
}
