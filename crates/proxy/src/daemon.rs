//! The proxy's process: pulls news from its agent, serves clients, and stops politely.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Context as AnyhowContext;

use crate::carrier::Carrier;
use crate::dialect::Dialect;
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

/// Asks the agent again and again what the world is like.
fn start_pulling(
    carrier: Arc<Carrier>,
    port: ControlPort,
    agent: SocketAddr,
    asked: Asked,
    period: Duration,
) {
    tokio::spawn(async move {
        let mut number = 0;
        let incarnation = random_seed();
        let mut heartbeat = tokio::time::interval(period);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut was_ready = false;
        loop {
            heartbeat.tick().await;
            let ready = carrier.is_ready();
            if ready != was_ready {
                was_ready = ready;
                event(if ready { READY } else { NOT_READY }, "");
            }
            if !locked(&asked).may_poll(carrier.clock.now()) {
                continue;
            }
            number += 1;
            let knowledge = carrier.knowledge();
            let pull = Pull {
                number,
                configuration: knowledge.maps.map(MapName::Configuration).version,
                ownership: knowledge.maps.map(MapName::Ownership).version,
                serving: carrier.serving,
                // Why not the readiness itself: a stale proxy must be able to become fresh again,
                // and the core judges staleness by the lease.
                ready: !carrier.stopping.load(Ordering::SeqCst),
                capacity: carrier.capacity,
                demand: carrier.demand(),
                incarnation,
                usage: carrier.usage.lines(),
                agent: knowledge.agent,
                instances_offset: knowledge.instances_offset,
            };
            locked(&asked).asked(carrier.clock.now(), number);
            port.send(agent, Message::Pull { pull });
        }
    });
}

/// The questions to the agent, and when each was asked.
struct AskedPulls {
    pace: PollPacer,
    pulls: VecDeque<(u64, Duration)>,
}

/// Of how many questions it is remembered when they were asked.
const REMEMBERED_PULLS: usize = 16;

impl AskedPulls {
    fn new() -> Self {
        Self {
            pace: PollPacer::new(LOCAL_TIMEOUT),
            pulls: VecDeque::new(),
        }
    }

    fn may_poll(&self, now: Duration) -> bool {
        self.pace.may_poll(now)
    }

    fn asked(&mut self, now: Duration, number: u64) {
        self.pace.asked(now, number);
        self.pulls.push_back((number, now));
        if self.pulls.len() > REMEMBERED_PULLS {
            self.pulls.pop_front();
        }
    }

    /// An answer came; gives when its question was asked, if that is still known.
    fn answered(&mut self, now: Duration, number: u64) -> Option<Duration> {
        let asked = self.pulls.iter().find(|(asked, _)| *asked == number);
        let asked_at = asked.map(|(_, asked_at)| *asked_at);
        let took = asked_at.map(|asked_at| now.saturating_sub(asked_at));
        self.pace.answered(number, took);
        asked_at
    }
}

type Asked = Arc<Mutex<AskedPulls>>;

/// Runs a proxy until it is asked to stop.
pub async fn run(
    node_settings: NodeSettings,
    reread: ReloadSettings,
    dialect: Dialect,
) -> anyhow::Result<()> {
    // Why nothing is taken from them: the proxy knows nobody but its agent.
    follow_settings(reread, |_| {});
    let agent = node_settings.agent.context("agent")?;
    let clock = Clock::start();
    let carrier = Arc::new(Carrier::new(clock, &node_settings, dialect));
    let asked: Asked = Arc::new(Mutex::new(AskedPulls::new()));
    let (taking, responses) = (carrier.clone(), asked.clone());
    let port = ControlPort::open(
        NodeId(random_seed() >> 1),
        node_settings.control,
        node_settings.control,
        move |envelope| {
            if let Message::View { view } = envelope.message {
                let asked_at = locked(&responses).answered(clock.now(), view.number);
                if let Some(asked_at) = asked_at {
                    taking.take(asked_at, &view);
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
    start_pulling(
        carrier.clone(),
        port,
        agent,
        asked,
        node_settings.terms.pull,
    );
    let listener = listen(node_settings.serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let (stopping, carrying) = (stop.clone(), carrier.clone());
    tokio::spawn(serve_http(listener, stop, move |far_end, request| {
        carrying.clone().carry(far_end, request)
    }));
    if let Some(readiness) = node_settings.terms.readiness {
        let listener = listen(readiness).await?;
        let recipient = carrier.clone();
        tokio::spawn(serve_http(listener, Arc::default(), move |_, _| {
            let response = ready_response(recipient.is_ready());
            async move { Ok(response) }
        }));
    }
    shutdown_signal().await;
    event(STOPPING, "");
    carrier.stopping.store(true, Ordering::SeqCst);
    stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(node_settings.terms.shutdown_grace_period).await;
    carrier.closed.store(true, Ordering::SeqCst);
    let until = Instant::now() + node_settings.terms.max_drain_wait;
    while carrier.under_way.load(Ordering::SeqCst) > 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    event(STOPPED, "");
    Ok(())
}
