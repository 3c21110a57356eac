//! The directory process: runs the state machine in an actor, and serves its responses over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::machine::{
    DirectoryInput, DirectoryMachine, DirectoryOptions, DirectoryOutput, ResolveError,
};
use caperworks::link::RejectedChunk;
use runtime::actor::{
    follow_settings, random_seed, shutdown_signal, spawn_actor, Host, Inbox, ReloadSettings,
};
use runtime::clock::Clock;
use runtime::connections::PortEvent;
use runtime::connections::{listen, ControlPort};
use runtime::events::{
    event, CONTROL_LINK_SLOW, MAP_UPDATED, PIECE_REFUSED, STARTED, STOPPED, STOPPING,
};
use runtime::http::{json_response, ready_response, serve_http, Body};
use runtime::locks::locked;
use runtime::options::NodeSettings;

/// The actor that runs the state machine and sends its messages.
struct Worker {
    machine: Arc<Mutex<DirectoryMachine>>,
    port: ControlPort,
}

impl Host for Worker {
    type Input = DirectoryInput;

    fn tick() -> DirectoryInput {
        DirectoryInput::Tick
    }

    fn handle(&mut self, now: Duration, input: DirectoryInput) {
        let outputs = locked(&self.machine).input(now, input);
        for output in outputs {
            match output {
                DirectoryOutput::Send { to, message } => {
                    let envelope = locked(&self.machine).seal(now, to, message);
                    self.port.forward(to, &envelope);
                }
                DirectoryOutput::ChunkRejected { rejected, from } => {
                    let RejectedChunk { map, error } = rejected;
                    event(PIECE_REFUSED, format!("{map} from {from}: {error}"));
                }
                DirectoryOutput::ControlLinkSlow { figures } => {
                    event(CONTROL_LINK_SLOW, format!("directory: {figures}"));
                }
                DirectoryOutput::MapUpdated { map, version } => {
                    event(MAP_UPDATED, format!("{map} at {version} in the directory"));
                }
            }
        }
    }
}

/// Responds to an HTTP request of the directory's own interface.
fn respond(
    machine: &Mutex<DirectoryMachine>,
    caller: SocketAddr,
    request: &Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/ready") => ready_response(locked(machine).has_mapping()),
        (&Method::GET, "/where") => {
            let query = request.uri().query().unwrap_or_default();
            let field = |name: &str| {
                query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(key, _)| *key == name)
                    .map(|(_, value)| value.to_string())
            };
            let (Some(host), Some(path)) = (field("host"), field("path")) else {
                return json_response(400, &jzon::object! { why: "give host=NAME and path=/PATH" });
            };
            match locked(machine).find(&host, &path, caller.ip()) {
                Ok(response) => {
                    let addresses: Vec<String> = response
                        .addresses
                        .iter()
                        .map(SocketAddr::to_string)
                        .collect();
                    json_response(
                        200,
                        &jzon::object! {
                            rule: response.route.as_str(),
                            addresses: addresses,
                            lifetime_ms: response.lifetime.as_millis() as u64,
                        },
                    )
                }
                Err(ResolveError::NoRoute) => {
                    json_response(404, &jzon::object! { why: "no rule matches" })
                }
                Err(ResolveError::NoProxy) => {
                    json_response(503, &jzon::object! { why: "there is no proxy to name yet" })
                }
            }
        }
        _ => json_response(404, &jzon::object! { why: "there is no such resource" }),
    }
}

/// The handler of HTTP requests: the directory's own interface, or an alternative to it.
pub type Interface = Arc<
    dyn Fn(&Mutex<DirectoryMachine>, SocketAddr, &Request<Incoming>) -> Response<Body>
        + Send
        + Sync,
>;

/// Returns the directory's own interface.
pub fn native_interface() -> Interface {
    Arc::new(respond)
}

/// Runs a directory until a shutdown signal arrives.
pub async fn run(
    node_settings: NodeSettings,
    reload_settings: ReloadSettings,
    interface: Interface,
) -> anyhow::Result<()> {
    let clock = Clock::start();
    let options = DirectoryOptions {
        control: node_settings.advertise,
        serving: node_settings.serving,
        zone: node_settings.zone.clone(),
        seeds: node_settings.seeds.clone(),
        member_refresh: node_settings.tuning.core.member_refresh,
    };
    let machine = DirectoryMachine::start(options, random_seed());
    let node = machine.node();
    let machine = Arc::new(Mutex::new(machine));
    let (inbox, receiver) = Inbox::open();
    let handler = move |event| {
        let input = match event {
            PortEvent::Received(envelope) => DirectoryInput::Received {
                envelope: *envelope,
            },
            // Only agents report the state of the link, to their proxy.
            PortEvent::Partial => return,
            PortEvent::Opened { peer, took } => DirectoryInput::ConnectionOpened { peer, took },
            PortEvent::Lost { peer } => DirectoryInput::ConnectionLost { peer },
        };
        inbox.push(input);
    };
    let port = ControlPort::open_with_events(
        node,
        node_settings.control,
        node_settings.advertise,
        handler,
    )
    .await?;
    event(
        STARTED,
        format!(
            "directory {node} control {} serving {}",
            node_settings.control, node_settings.serving
        ),
    );
    let worker = Worker {
        machine: machine.clone(),
        port,
    };
    spawn_actor(worker, clock, receiver, node_settings.tuning.tick);
    let listener = listen(node_settings.serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = stop.clone();
    let (responder, recipient) = (machine.clone(), machine.clone());
    tokio::spawn(serve_http(listener, stop, move |peer, request| {
        let response = interface(&responder, peer.address, &request);
        async move { Ok(response) }
    }));
    follow_settings(reload_settings, move |seeds| {
        locked(&recipient).follow_seeds(seeds)
    });
    shutdown_signal().await;
    event(STOPPING, "");
    locked(&machine).shut_down_gracefully();
    stopping.store(true, Ordering::Relaxed);
    // Gives probes time to see that the process is not ready, and responses in progress time to be sent.
    tokio::time::sleep(Duration::from_millis(500)).await;
    event(STOPPED, "");
    Ok(())
}
