//! The agent's process: its state machine at a desk, and its answers over HTTP.

use crate::prelude::*;
use toolroom::prelude::*;

struct Worker {
    machine: MentorMachine,
    port: ControlPort,
    tickets: Arc<Tickets<Option<DatedAnswer>>>,
    usage: Arc<Tickets<Vec<UsageLine>>>,
    ready_until: Arc<ReadyUntil>,
    stopped: Arc<Notify>,
}

impl Host for Worker {
    type Input = MentorInput;

    fn tick() -> MentorInput {
        MentorInput::Tick
    }

    fn take(&mut self, now: Duration, input: MentorInput) {
        for output in self.machine.input(now, input) {
            match output {
                MentorOutput::Send { to, message } => {
                    self.port.forward(to, &self.machine.seal(now, to, message));
                }
                MentorOutput::AnswerBeat { ticket, answer } => self.tickets.answer(ticket, answer),
                MentorOutput::Note { event: what } => match what {
                    MentorEvent::Fresh => event(FRESH, ""),
                    MentorEvent::Stale => event(STALE, ""),
                    MentorEvent::OnIsland => event(ON_ISLAND, ""),
                    MentorEvent::OffIsland => event(OFF_ISLAND, ""),
                    MentorEvent::BookMoved { book, edition } => {
                        event(BOOK_MOVED, format!("{book} at {edition}"));
                    }
                    MentorEvent::InstanceGone { id } => event(INSTANCE_GONE, id),
                },
                MentorOutput::AnswerUsage { ticket, lines } => self.usage.answer(ticket, lines),
                MentorOutput::Stopped => self.stopped.notify_one(),
            }
        }
        self.ready_until.set(self.machine.fresh_until());
    }
}

async fn answer(
    inbox: Inbox<MentorInput>,
    tickets: Arc<Tickets<Option<DatedAnswer>>>,
    usage: Arc<Tickets<Vec<UsageLine>>>,
    area: Area,
    ready: bool,
    order: Request<Incoming>,
) -> Response<Body> {
    match (order.method(), order.uri().path()) {
        (&Method::GET, "/ready") => ready_answer(ready),
        (&Method::GET, "/usage") => {
            let (ticket, lines) = usage.draw();
            inbox.give(MentorInput::Usage { ticket });
            match lines.await {
                Ok(lines) => json_answer(200, &usage_json(&area, &lines)),
                Err(_) => json_answer(503, &jzon::object! { why: "this agent is about to stop" }),
            }
        }
        (&Method::POST, "/beats") => {
            let beat = match small_body(order.into_body(), 64 * 1024).await {
                Ok(body) => beats::read_dated(&String::from_utf8_lossy(&body)),
                Err(_) => Err("the body is too large or broke off".to_string()),
            };
            let (beat, echo) = match beat {
                Ok(dated) => dated,
                Err(why) => return json_answer(400, &jzon::object! { why: why }),
            };
            let (ticket, answer) = tickets.draw();
            if !inbox.give(MentorInput::Beat { ticket, beat, echo }) {
                tickets.forget(ticket);
                return json_answer(503, &jzon::object! { why: "this agent has too much to do" });
            }
            match answer.await {
                Ok(Some(answer)) => json_answer(200, &beats::write_dated(&answer)),
                _ => json_answer(503, &jzon::object! { why: "no ledger heard the beat" }),
            }
        }
        _ => json_answer(404, &jzon::object! { why: "there is no such resource" }),
    }
}

/// Runs an agent until it is asked to stop; `serves` says whether it answers over HTTP.
pub async fn run(place: Place, reread: Reread, serves: bool) -> anyhow::Result<()> {
    let clock = Clock::start();
    let options = MentorOptions {
        control: place.advertise,
        area: place.area.clone(),
        seeds: place.seeds.clone(),
        proxy_serves_on: place.terms.proxy.serves_on,
        instance_span: place.terms.core.instance_span,
        beat_refresh: place.terms.core.beat_refresh,
        demand_period: place.terms.core.member_refresh,
    };
    let machine = MentorMachine::start(options, fresh_seed());
    let (inbox, receiver) = Inbox::open();
    let heard = inbox.clone();
    let port = ControlPort::open(
        machine.node(),
        place.control,
        place.advertise,
        move |envelope| {
            heard.give(MentorInput::Heard { envelope });
        },
    )
    .await?;
    event(
        STARTED,
        format!(
            "mentor {} control {} area {}",
            machine.node(),
            place.control,
            place.area
        ),
    );
    let tickets = Arc::new(Tickets::default());
    let usage = Arc::new(Tickets::default());
    let ready_until = Arc::new(ReadyUntil::default());
    let stopped = Arc::new(Notify::new());
    let stopping = Arc::new(AtomicBool::new(false));
    let asked = inbox.clone();
    let worker = Worker {
        machine,
        port,
        tickets: tickets.clone(),
        usage: usage.clone(),
        ready_until: ready_until.clone(),
        stopped: stopped.clone(),
    };
    open_desk(worker, clock, receiver, place.terms.tick);
    if serves {
        let listener = listen(place.serving).await?;
        let stop = Arc::new(AtomicBool::new(false));
        let leaving = stopping.clone();
        tokio::spawn(serve_http(listener, stop, move |_, order| {
            let ready = ready_until.is_ready(clock.now()) && !leaving.load(Ordering::SeqCst);
            let answering = answer(
                inbox.clone(),
                tickets.clone(),
                usage.clone(),
                place.area.clone(),
                ready,
                order,
            );
            async move { Ok(answering.await) }
        }));
    }
    let told = asked.clone();
    follow_settings(reread, move |seeds| {
        told.give(MentorInput::Seeds { seeds });
    });
    asked_to_stop().await;
    event(STOPPING, "");
    stopping.store(true, Ordering::SeqCst);
    stop_politely(&asked, MentorInput::Stop, &stopped).await;
    event(STOPPED, "");
    Ok(())
}
