//! The agent's process: its state machine in an actor, and its HTTP interface.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::sync::Notify;

use crate::machine::{AgentEvent, AgentInput, AgentMachine, AgentOptions, AgentOutput};
use caperworks::identifiers::Zone;
use caperworks::leases::LEASE_DURATION;
use caperworks::link::RejectedChunk;
use caperworks::messages::UsageLine;
use caperworks::ownership::TimestampedResponse;
use runtime::actor::{
    follow_settings, random_seed, shut_down_gracefully, shutdown_signal, spawn_actor, Host, Inbox,
    ReadyUntil, ReloadSettings, Tickets,
};
use runtime::clock::Clock;
use runtime::connections::PortEvent;
use runtime::connections::{listen, ControlPort};
use runtime::events::{
    event, CONTROL_LINK_SLOW, FRESH, INSTANCE_DEREGISTERED, INSTANCE_GONE, MAP_UPDATED,
    PARTITION_FALLBACK_ENTERED, PARTITION_FALLBACK_LEFT, PIECE_REFUSED, STALE, STARTED, STOPPED,
    STOPPING,
};
use runtime::http::{
    heartbeats, json_response, read_limited_body, ready_response, serve_http, usage_json, Body,
};
use runtime::options::NodeSettings;

struct Worker {
    machine: AgentMachine,
    port: ControlPort,
    tickets: Arc<Tickets<Option<TimestampedResponse>>>,
    usage: Arc<Tickets<Vec<UsageLine>>>,
    ready_until: Arc<ReadyUntil>,
    stopped: Arc<Notify>,
}

impl Host for Worker {
    type Input = AgentInput;

    fn tick() -> AgentInput {
        AgentInput::Tick
    }

    fn handle(&mut self, now: Duration, input: AgentInput) {
        for output in self.machine.input(now, input) {
            match output {
                AgentOutput::Send { to, message } => {
                    self.port.forward(to, &self.machine.seal(now, to, message));
                }
                AgentOutput::RespondToHeartbeat { ticket, response } => {
                    self.tickets.respond(ticket, response)
                }
                AgentOutput::LogEvent { event: what } => match what {
                    AgentEvent::Fresh => event(FRESH, ""),
                    AgentEvent::Stale => event(STALE, ""),
                    AgentEvent::PartitionFallbackEntered => event(PARTITION_FALLBACK_ENTERED, ""),
                    AgentEvent::PartitionFallbackLeft => event(PARTITION_FALLBACK_LEFT, ""),
                    AgentEvent::MapUpdated { map, version } => {
                        event(MAP_UPDATED, format!("{map} at {version}"));
                    }
                    AgentEvent::InstanceSuspected { id } => event(INSTANCE_GONE, id),
                    AgentEvent::InstanceDeregistered { id, controller } => {
                        event(INSTANCE_DEREGISTERED, format!("{id} from {controller}"));
                    }
                    AgentEvent::ControlLinkSlow { figures } => {
                        event(CONTROL_LINK_SLOW, format!("agent: {figures}"));
                    }
                    AgentEvent::ChunkRejected { rejected, from } => {
                        let RejectedChunk { map, error } = rejected;
                        event(PIECE_REFUSED, format!("{map} from {from}: {error}"));
                    }
                },
                AgentOutput::RespondToUsage { ticket, lines } => self.usage.respond(ticket, lines),
                AgentOutput::Stopped => self.stopped.notify_one(),
            }
        }
        self.ready_until.set(self.machine.fresh_until());
    }
}

async fn respond(
    inbox: Inbox<AgentInput>,
    tickets: Arc<Tickets<Option<TimestampedResponse>>>,
    usage: Arc<Tickets<Vec<UsageLine>>>,
    zone: Zone,
    ready: bool,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/ready") => ready_response(ready),
        (&Method::GET, "/usage") => {
            let (ticket, lines) = usage.issue();
            inbox.push(AgentInput::Usage { ticket });
            match lines.await {
                Ok(lines) => json_response(200, &usage_json(&zone, &lines)),
                Err(_) => json_response(503, &jzon::object! { why: "this agent is shutting down" }),
            }
        }
        (&Method::POST, "/beats") => {
            let heartbeat = match read_limited_body(request.into_body(), 64 * 1024).await {
                Ok(body) => heartbeats::read_with_echo(&String::from_utf8_lossy(&body))
                    .map_err(|failure| failure.to_string()),
                Err(_) => Err("the request body is too large or was truncated".to_string()),
            };
            let (heartbeat, echo) = match heartbeat {
                Ok(heartbeat_and_echo) => heartbeat_and_echo,
                Err(why) => return json_response(400, &jzon::object! { why: why }),
            };
            let (ticket, response) = tickets.issue();
            if !inbox.push(AgentInput::Heartbeat {
                ticket,
                heartbeat,
                echo,
            }) {
                tickets.discard(ticket);
                return json_response(
                    503,
                    &jzon::object! { why: "this agent is overloaded: its inbox is full" },
                );
            }
            match response.await {
                Ok(Some(response)) => json_response(200, &heartbeats::write_with_stamp(&response)),
                _ => json_response(
                    503,
                    &jzon::object! { why: "no controller acknowledged the heartbeat" },
                ),
            }
        }
        _ => json_response(404, &jzon::object! { why: "unknown path or method" }),
    }
}

/// Runs an agent until a shutdown is requested; `serves_http` says whether it serves HTTP.
pub async fn run(
    node_settings: NodeSettings,
    reload_settings: ReloadSettings,
    serves_http: bool,
) -> anyhow::Result<()> {
    let clock = Clock::start();
    let options = AgentOptions {
        control: node_settings.advertise,
        zone: node_settings.zone.clone(),
        seeds: node_settings.seeds.clone(),
        feed_form: node_settings.tuning.core.agents_feed_form(),
        proxy_serves_stale: node_settings.tuning.proxy.serves_stale,
        instance_timeout: node_settings.tuning.core.instance_timeout,
        lease_duration: node_settings
            .tuning
            .proxy
            .lease_duration
            .unwrap_or(LEASE_DURATION),
        heartbeat_refresh: node_settings.tuning.core.heartbeat_refresh,
        demand_report_interval: node_settings.tuning.core.member_refresh,
    };
    let machine = AgentMachine::start(options, random_seed());
    let (inbox, receiver) = Inbox::open();
    let events = inbox.clone();
    let port = ControlPort::open_with_events(
        machine.node(),
        node_settings.control,
        node_settings.advertise,
        move |event| {
            events.push(match event {
                PortEvent::Received(envelope) => AgentInput::Received {
                    envelope: *envelope,
                },
                PortEvent::Partial => AgentInput::PartialFrame,
                PortEvent::Opened { peer, took } => AgentInput::ConnectionOpened { peer, took },
                PortEvent::Lost { peer } => AgentInput::ConnectionLost { peer },
            });
        },
    )
    .await?;
    event(
        STARTED,
        format!(
            "agent {} control {} zone {}",
            machine.node(),
            node_settings.control,
            node_settings.zone
        ),
    );
    let tickets = Arc::new(Tickets::default());
    let usage = Arc::new(Tickets::default());
    let ready_until = Arc::new(ReadyUntil::default());
    let stopped = Arc::new(Notify::new());
    let stopping = Arc::new(AtomicBool::new(false));
    let worker_inbox = inbox.clone();
    let worker = Worker {
        machine,
        port,
        tickets: tickets.clone(),
        usage: usage.clone(),
        ready_until: ready_until.clone(),
        stopped: stopped.clone(),
    };
    spawn_actor(worker, clock, receiver, node_settings.tuning.tick);
    if serves_http {
        let listener = listen(node_settings.serving).await?;
        let stop = Arc::new(AtomicBool::new(false));
        let draining = stopping.clone();
        tokio::spawn(serve_http(listener, stop, move |_, request| {
            let ready = ready_until.is_ready(clock.now()) && !draining.load(Ordering::SeqCst);
            let response_future = respond(
                inbox.clone(),
                tickets.clone(),
                usage.clone(),
                node_settings.zone.clone(),
                ready,
                request,
            );
            async move { Ok(response_future.await) }
        }));
    }
    let settings_inbox = worker_inbox.clone();
    follow_settings(reload_settings, move |seeds| {
        settings_inbox.push(AgentInput::Seeds { seeds });
    });
    shutdown_signal().await;
    event(STOPPING, "");
    stopping.store(true, Ordering::SeqCst);
    shut_down_gracefully(&worker_inbox, AgentInput::Stop, &stopped).await;
    event(STOPPED, "");
    Ok(())
}
