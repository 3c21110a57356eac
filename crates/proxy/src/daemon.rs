//! The proxy process: polls its agent for updates, serves clients, and shuts down gracefully.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Context as AnyhowContext;

use crate::protocol_adapter::ProtocolAdapter;
use crate::request_handler::RequestHandler;
use caperworks::identifiers::NodeId;
use caperworks::messages::{Message, Pull};
use caperworks::poll_pacer::PollPacer;
use caperworks::replicated_map::MapName;
use caperworks::rtt_estimator::LOCAL_TIMEOUT;
use runtime::actor::{follow_settings, random_seed, shutdown_signal, ReloadSettings};
use runtime::clock::Clock;
use runtime::connections::{listen, ControlPort};
use runtime::events::{event, NOT_READY, READY, STARTED, STOPPED, STOPPING};
use runtime::http::{ready_response, serve_http};
use runtime::locks::locked;
use runtime::options::NodeSettings;

/// Spawns a task that polls the agent for updates at regular intervals.
fn spawn_polling(
    request_handler: Arc<RequestHandler>,
    port: ControlPort,
    agent: SocketAddr,
    poll_tracker: SharedPollTracker,
    poll_interval: Duration,
) {
    tokio::spawn(async move {
        let mut number = 0;
        let incarnation = random_seed();
        let mut interval = tokio::time::interval(poll_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut was_ready = false;
        loop {
            interval.tick().await;
            let ready = request_handler.is_ready();
            if ready != was_ready {
                was_ready = ready;
                event(if ready { READY } else { NOT_READY }, "");
            }
            request_handler.maintain_slow_starts();
            if !locked(&poll_tracker).may_poll(request_handler.clock.now()) {
                continue;
            }
            number += 1;
            let proxy_state = request_handler.proxy_state();
            let pull = Pull {
                number,
                configuration: proxy_state.maps.map(MapName::Configuration).version,
                ownership: proxy_state.maps.map(MapName::Ownership).version,
                serving: request_handler.serving,
                // Not the readiness itself: a stale proxy must be able to become fresh again, and
                // the controllers determine staleness by the lease.
                ready: !request_handler.stopping.load(Ordering::SeqCst),
                capacity: request_handler.capacity,
                demand: request_handler.demand(),
                incarnation,
                usage: request_handler.usage.lines(),
                agent: proxy_state.agent,
                instances_offset: proxy_state.instances_offset,
            };
            locked(&poll_tracker).record_sent(request_handler.clock.now(), number);
            port.send(agent, Message::Pull { pull });
        }
    });
}

/// The polls sent to the agent, and when each was sent.
struct PollTracker {
    pacer: PollPacer,
    sent: VecDeque<(u64, Duration)>,
}

/// The number of polls whose send time is remembered.
const MAX_TRACKED_POLLS: usize = 16;

impl PollTracker {
    fn new() -> Self {
        Self {
            pacer: PollPacer::new(LOCAL_TIMEOUT),
            sent: VecDeque::new(),
        }
    }

    fn may_poll(&self, now: Duration) -> bool {
        self.pacer.may_poll(now)
    }

    fn record_sent(&mut self, now: Duration, number: u64) {
        self.pacer.record_request(now, number);
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_TRACKED_POLLS {
            self.sent.pop_front();
        }
    }

    /// Records a response; returns when its poll was sent, if that is still known.
    fn record_response(&mut self, now: Duration, number: u64) -> Option<Duration> {
        let poll = self.sent.iter().find(|(polled, _)| *polled == number);
        let sent_at = poll.map(|(_, sent_at)| *sent_at);
        let took = sent_at.map(|sent_at| now.saturating_sub(sent_at));
        self.pacer.record_response(number, took);
        sent_at
    }
}

type SharedPollTracker = Arc<Mutex<PollTracker>>;

/// Runs a proxy until the process receives a stop signal.
pub async fn run(
    node_settings: NodeSettings,
    reload_settings: ReloadSettings,
    protocol_adapter: ProtocolAdapter,
) -> anyhow::Result<()> {
    // No setting is reloaded: the proxy has no connections other than to its agent.
    follow_settings(reload_settings, |_| {});
    let agent = node_settings.agent.context("agent")?;
    let clock = Clock::start();
    let request_handler = Arc::new(RequestHandler::new(clock, &node_settings, protocol_adapter));
    let poll_tracker: SharedPollTracker = Arc::new(Mutex::new(PollTracker::new()));
    let (view_receiver, pending_polls) = (request_handler.clone(), poll_tracker.clone());
    let port = ControlPort::open(
        NodeId(random_seed() >> 1),
        node_settings.control,
        node_settings.control,
        move |envelope| {
            if let Message::View { view } = envelope.message {
                let sent_at = locked(&pending_polls).record_response(clock.now(), view.number);
                if let Some(sent_at) = sent_at {
                    view_receiver.apply_view(sent_at, &view);
                }
            }
        },
    )
    .await?;
    event(
        STARTED,
        format!(
            "proxy serving {} agent {agent} zone {}",
            node_settings.serving, node_settings.zone
        ),
    );
    spawn_polling(
        request_handler.clone(),
        port,
        agent,
        poll_tracker,
        node_settings.tuning.poll_interval,
    );
    let listener = listen(node_settings.serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let (stopping, http_handler) = (stop.clone(), request_handler.clone());
    tokio::spawn(serve_http(listener, stop, move |peer, request| {
        http_handler.clone().handle(peer, request)
    }));
    if let Some(readiness) = node_settings.tuning.readiness {
        let listener = listen(readiness).await?;
        let readiness_handler = request_handler.clone();
        tokio::spawn(serve_http(listener, Arc::default(), move |_, _| {
            let response = ready_response(readiness_handler.is_ready());
            async move { Ok(response) }
        }));
    }
    shutdown_signal().await;
    event(STOPPING, "");
    request_handler.stopping.store(true, Ordering::SeqCst);
    stopping.store(true, Ordering::Relaxed);
    request_handler.begin_shutdown(&node_settings.tuning);
    tokio::time::sleep(node_settings.tuning.shutdown_grace_period).await;
    let drain_deadline = Instant::now() + node_settings.tuning.max_drain_wait;
    while request_handler.in_flight.load(Ordering::SeqCst) > 0 && Instant::now() < drain_deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    event(STOPPED, "");
    Ok(())
}
