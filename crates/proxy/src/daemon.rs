//! The proxy's process: pulls news from its agent, serves clients, and stops politely.

use crate::prelude::*;

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
        let life = fresh_seed();
        let mut heartbeat = tokio::time::interval(period);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut was_ready = false;
        loop {
            heartbeat.tick().await;
            number += 1;
            let ready = carrier.is_ready();
            if ready != was_ready {
                was_ready = ready;
                event(if ready { READY } else { NOT_READY }, "");
            }
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
                life,
                usage: carrier.usage.lines(),
                agent: knowledge.agent,
                instances_place: knowledge.instances_place,
            };
            {
                let mut asked = locked(&asked);
                asked.push_back((number, carrier.clock.now()));
                if asked.len() > 16 {
                    asked.pop_front();
                }
            }
            port.send(agent, Message::Pull { pull });
        }
    });
}

type Asked = Arc<Mutex<VecDeque<(u64, Duration)>>>;

/// Runs a proxy until it is asked to stop.
pub async fn run(place: Place, reread: Reread, dialect: Dialect) -> anyhow::Result<()> {
    // Why nothing is taken from them: the proxy knows nobody but its agent.
    follow_settings(reread, |_| {});
    let agent = place.agent.context("agent")?;
    let clock = Clock::start();
    let carrier = Arc::new(Carrier::new(clock, &place, dialect));
    let asked: Asked = Arc::default();
    let (taking, answers) = (carrier.clone(), asked.clone());
    let port = ControlPort::open(
        NodeId(fresh_seed() >> 1),
        place.control,
        place.control,
        move |envelope| {
            if let Message::View { view } = envelope.message {
                let asked_at = locked(&answers)
                    .iter()
                    .find(|(number, _)| *number == view.number)
                    .map(|(_, asked_at)| *asked_at);
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
            place.serving, place.zone
        ),
    );
    start_pulling(carrier.clone(), port, agent, asked, place.terms.pull);
    let listener = listen(place.serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let (stopping, carrying) = (stop.clone(), carrier.clone());
    tokio::spawn(serve_http(listener, stop, move |far_end, request| {
        carrying.clone().carry(far_end, request)
    }));
    if let Some(readiness) = place.terms.readiness {
        let listener = listen(readiness).await?;
        let told = carrier.clone();
        tokio::spawn(serve_http(listener, Arc::default(), move |_, _| {
            let answer = ready_answer(told.is_ready());
            async move { Ok(answer) }
        }));
    }
    asked_to_stop().await;
    event(STOPPING, "");
    carrier.stopping.store(true, Ordering::SeqCst);
    stopping.store(true, Ordering::Relaxed);
    tokio::time::sleep(place.terms.linger).await;
    carrier.closed.store(true, Ordering::SeqCst);
    let until = Instant::now() + place.terms.most_wait;
    while carrier.under_way.load(Ordering::SeqCst) > 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    event(STOPPED, "");
    Ok(())
}
