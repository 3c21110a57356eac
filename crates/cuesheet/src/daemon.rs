//! The directory's process: its state machine at a desk, and its answers over HTTP.

use crate::prelude::*;
use toolroom::prelude::*;

struct Worker {
    machine: Arc<Mutex<CuesheetMachine>>,
    port: ControlPort,
}

impl Host for Worker {
    type Input = CuesheetInput;

    fn tick() -> CuesheetInput {
        CuesheetInput::Tick
    }

    fn take(&mut self, now: Duration, input: CuesheetInput) {
        let outputs = locked(&self.machine).input(now, input);
        for output in outputs {
            match output {
                CuesheetOutput::Send { to, message } => {
                    let envelope = locked(&self.machine).seal(now, to, message);
                    self.port.forward(to, &envelope);
                }
                CuesheetOutput::Moved { book, edition } => {
                    event(BOOK_MOVED, format!("{book} at {edition}"));
                }
            }
        }
    }
}

fn answer(
    machine: &Mutex<CuesheetMachine>,
    caller: SocketAddr,
    order: &Request<Incoming>,
) -> Response<Body> {
    match (order.method(), order.uri().path()) {
        (&Method::GET, "/ready") => ready_answer(locked(machine).has_mapping()),
        (&Method::GET, "/where") => {
            let query = order.uri().query().unwrap_or_default();
            let field = |name: &str| {
                query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(key, _)| *key == name)
                    .map(|(_, value)| value.to_string())
            };
            let (Some(host), Some(path)) = (field("host"), field("path")) else {
                return json_answer(400, &jzon::object! { why: "give host=NAME and path=/PATH" });
            };
            match locked(machine).find(&host, &path, caller.ip()) {
                Ok(found) => {
                    let addresses: Vec<String> =
                        found.addresses.iter().map(SocketAddr::to_string).collect();
                    json_answer(
                        200,
                        &jzon::object! {
                            rule: found.rule.as_str(),
                            addresses: addresses,
                            lifetime_ms: found.lifetime.as_millis() as u64,
                        },
                    )
                }
                Err(Nowhere::NoRule) => json_answer(404, &jzon::object! { why: "no rule matches" }),
                Err(Nowhere::NoPlace) => {
                    json_answer(503, &jzon::object! { why: "there is no proxy to name yet" })
                }
            }
        }
        _ => json_answer(404, &jzon::object! { why: "there is no such resource" }),
    }
}

/// What answers clients over HTTP: the product's own interface, or another that stands in for it.
pub type Interface = Arc<
    dyn Fn(&Mutex<CuesheetMachine>, SocketAddr, &Request<Incoming>) -> Response<Body> + Send + Sync,
>;

/// The product's own interface.
pub fn own_interface() -> Interface {
    Arc::new(answer)
}

/// Runs a directory until it is asked to stop.
pub async fn run(place: Place, reread: Reread, interface: Interface) -> anyhow::Result<()> {
    let clock = Clock::start();
    let options = CuesheetOptions {
        control: place.advertise,
        serving: place.serving,
        area: place.area.clone(),
        seeds: place.seeds.clone(),
        member_refresh: place.terms.core.member_refresh,
    };
    let machine = CuesheetMachine::start(options, fresh_seed());
    let node = machine.node();
    let machine = Arc::new(Mutex::new(machine));
    let (inbox, receiver) = Inbox::open();
    let port = ControlPort::open(node, place.control, place.advertise, move |envelope| {
        inbox.give(CuesheetInput::Heard { envelope });
    })
    .await?;
    event(
        STARTED,
        format!(
            "cuesheet {node} control {} serving {}",
            place.control, place.serving
        ),
    );
    let worker = Worker {
        machine: machine.clone(),
        port,
    };
    open_desk(worker, clock, receiver, place.terms.tick);
    let listener = listen(place.serving).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = stop.clone();
    let (answering, told) = (machine.clone(), machine.clone());
    tokio::spawn(serve_http(listener, stop, move |far_end, order| {
        let answer = interface(&answering, far_end.address, &order);
        async move { Ok(answer) }
    }));
    follow_settings(reread, move |seeds| locked(&told).follow_seeds(seeds));
    asked_to_stop().await;
    event(STOPPING, "");
    locked(&machine).stop_politely();
    stopping.store(true, Ordering::Relaxed);
    // Why a moment: probes see that we are not ready, and answers under way leave.
    tokio::time::sleep(Duration::from_millis(500)).await;
    event(STOPPED, "");
    Ok(())
}
