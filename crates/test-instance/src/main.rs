//! `test-instance`: a stand-in instance that keeps a record of what it ran.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bpaf::{construct, long, OptionParser, Parser};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use jzon::JsonValue;

use caperworks::envelope_clock::{Echo, Stamp};
use caperworks::facts::{Heartbeat, InstanceState};
use caperworks::identifiers::{
    mix, stable_hash, Epoch, Incarnation, InstanceId, ServiceName, Zone,
};
use caperworks::ownership::HeldLeases;
use runtime::actor::shutdown_signal;
use runtime::clock::Clock;
use runtime::connections::listen;
use runtime::events::{event, start_log, STARTED, STOPPED, STOPPING};
use runtime::http::{
    full_body, heartbeats, json_response, read_limited_body, serve_http, Body, Fetch,
    DEADLINE_HEADER, EPOCH_HEADER, INCARNATION_HEADER, INSTANCE_HEADER, KEY_RANGE_HEADER,
    LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER,
};
use runtime::locks::locked;
use runtime::options::read_flags;

const HELP: &str =
    "A stand-in instance: announces itself by heartbeats, runs orders, and records what it ran";
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
const MOST_BODY: usize = 128 * 1024 * 1024;

#[derive(Debug, Clone)]
struct Flags {
    id: String,
    service: String,
    zone: String,
    serving: SocketAddr,
    advertise: Option<SocketAddr>,
    agents: Vec<SocketAddr>,
    capacity: u32,
    work_ms: u64,
    warm_ms: u64,
    journal: Option<PathBuf>,
}

fn flags() -> OptionParser<Flags> {
    let id = long("id")
        .help("The instance's name")
        .argument::<String>("NAME");
    let service = long("pool").help("Its service").argument::<String>("NAME");
    let zone = long("area").help("Its zone").argument::<String>("NAME");
    let serving = long("serving")
        .help("Address for orders")
        .argument::<SocketAddr>("ADDRESS");
    let advertise = long("advertise")
        .help("Address that heartbeats tell, if orders come by another way")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let agents = long("agent")
        .help("Where to send heartbeats: HTTP addresses of agents or controllers")
        .argument::<SocketAddr>("ADDRESS")
        .some("give at least one --agent");
    let capacity = long("capacity")
        .help("Orders a second")
        .argument::<u32>("NUMBER")
        .fallback(50);
    let work_ms = long("work-ms")
        .help("How long an order takes")
        .argument::<u64>("MILLISECONDS")
        .fallback(3);
    let warm_ms = long("warm-ms")
        .help("How long it says that it warms up")
        .argument::<u64>("MILLISECONDS")
        .fallback(0);
    let journal = long("journal")
        .help("File to record runs in")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Flags {
        id,
        service,
        zone,
        serving,
        advertise,
        agents,
        capacity,
        work_ms,
        warm_ms,
        journal
    })
    .to_options()
    .descr(HELP)
}

/// The faults that may be asked of it, each for a number of requests.
#[derive(Default)]
struct Ailments {
    lose_responses: AtomicU32,
    garbage: AtomicU32,
    truncate: AtomicU32,
    refuse: AtomicU32,
}

struct TestInstance {
    flags: Flags,
    clock: Clock,
    incarnation: Incarnation,
    counter: AtomicU64,
    load: AtomicU32,
    draining: AtomicBool,
    held_leases: Mutex<HeldLeases>,
    /// The last stamp of each agent, and since when we have it.
    stamps: Mutex<HashMap<SocketAddr, (Stamp, Duration)>>,
    ailments: Ailments,
    journal: Option<Mutex<std::fs::File>>,
}

fn take_one(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}

impl TestInstance {
    fn heartbeat(&self) -> Heartbeat {
        let up = self.clock.now();
        let (key_ranges_in_use, let_go) = {
            let held_leases = locked(&self.held_leases);
            (held_leases.key_ranges_in_use(up), held_leases.let_go())
        };
        let state = if self.draining.load(Ordering::SeqCst) {
            InstanceState::Draining
        } else if up < Duration::from_millis(self.flags.warm_ms) {
            InstanceState::Warming
        } else {
            InstanceState::Serving
        };
        Heartbeat {
            id: InstanceId::new(&self.flags.id),
            incarnation: self.incarnation,
            counter: self.counter.fetch_add(1, Ordering::SeqCst) + 1,
            service: ServiceName::new(&self.flags.service),
            zone: Zone::new(&self.flags.zone),
            address: self.flags.advertise.unwrap_or(self.flags.serving),
            capacity: self.flags.capacity,
            state,
            load: self.load.load(Ordering::SeqCst),
            up,
            key_ranges_in_use,
            let_go,
            warm_up_left: Duration::ZERO,
        }
    }

    /// Heartbeats at an agent, and again at once if it has no stamp from us to date the heartbeat by.
    async fn send_heartbeat(&self, agent: SocketAddr) -> bool {
        match self.heartbeat_once(agent).await {
            Some(true) => self.heartbeat_once(agent).await == Some(false),
            once => once.is_some(),
        }
    }

    /// Heartbeats at an agent; says whether it wants another heartbeat at once.
    async fn heartbeat_once(&self, agent: SocketAddr) -> Option<bool> {
        let sent_at = self.clock.now();
        let mut json = heartbeats::write(&self.heartbeat());
        if let Some((stamp, since)) = locked(&self.stamps).get(&agent) {
            let held = sent_at.saturating_sub(*since);
            json["stamp"] = heartbeats::write_echo(&Echo {
                stamp: *stamp,
                held,
            });
        }
        let body = json.dump();
        let sent = Fetch::post(agent, "/beats", body)
            .timeout(Duration::from_millis(1200))
            .send()
            .await;
        match sent {
            Ok(fetched) if fetched.status == 200 => {
                let dated = heartbeats::read_timestamped_response(&fetched.json())?;
                locked(&self.held_leases).answered(sent_at, &dated.response);
                let now = self.clock.now();
                locked(&self.stamps).insert(agent, (dated.stamp, now));
                Some(dated.again)
            }
            _ => None,
        }
    }

    async fn keep_beating(self: Arc<Self>) {
        let mut index = (stable_hash(&self.flags.id) % self.flags.agents.len() as u64) as usize;
        let mut heartbeat = tokio::time::interval(HEARTBEAT_PERIOD);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            heartbeat.tick().await;
            // Why at most all of them once: a heartbeat that nobody takes waits for the next turn.
            for _ in 0..self.flags.agents.len().min(4) {
                if self.send_heartbeat(self.flags.agents[index]).await {
                    break;
                }
                index = (index + 1) % self.flags.agents.len();
            }
        }
    }

    fn record(&self, line: &str) {
        if let Some(journal) = &self.journal {
            let written = writeln!(locked(journal), "{line}");
            if let Err(failure) = written {
                log::error!("the journal cannot be written: {failure}");
            }
        }
    }

    fn may_run(&self, key_range: Option<(u32, Epoch)>, need: Duration) -> bool {
        key_range.is_none_or(|(key_range, epoch)| {
            locked(&self.held_leases).may_start(self.clock.now(), key_range, epoch, need)
        })
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let path = request.uri().path().to_string();
        if path == "/understudy/ail" {
            return Ok(self.ail(request).await);
        }
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_string)
        };
        let meant_for_us = header(INSTANCE_HEADER).as_deref() == Some(self.flags.id.as_str())
            && header(INCARNATION_HEADER) == Some(self.incarnation.to_string());
        let key_range = match (header(KEY_RANGE_HEADER), header(EPOCH_HEADER)) {
            (Some(key_range), Some(epoch)) => match (key_range.parse(), epoch.parse()) {
                (Ok(key_range), Ok(epoch)) => Some((key_range, Epoch(epoch))),
                _ => return Ok(self.not_run("the key range is malformed")),
            },
            _ => None,
        };
        let request_id = header(REQUEST_HEADER).unwrap_or_default();
        let caller_id = header("x-caller-order").unwrap_or_default();
        let key = header("x-key").unwrap_or_default();
        let wanted: Option<usize> = header("x-answer-bytes").and_then(|text| text.parse().ok());
        let need = header(DEADLINE_HEADER)
            .and_then(|text| text.parse().ok())
            .map_or(Duration::from_secs(3), Duration::from_millis);
        if !meant_for_us {
            let mut response = self.not_run("this order is for another instance");
            // Why told: whoever sent it need not wait for our heartbeat to know that a life is over.
            response
                .headers_mut()
                .insert(INCARNATION_HEADER, HeaderValue::from(self.incarnation.0));
            return Ok(response);
        }
        if !self.may_run(key_range, need) {
            return Ok(self.not_run("the key range is not held here under this epoch"));
        }
        if take_one(&self.ailments.refuse) {
            return Ok(self.not_run("asked to refuse"));
        }
        let method = request.method().clone();
        let started = wall_millis();
        self.load.fetch_add(1, Ordering::SeqCst);
        if let Some((key_range, _)) = key_range {
            locked(&self.held_leases).started(key_range);
        }
        let outcome = self.work(request.into_body(), key_range).await;
        if let Some((key_range, _)) = key_range {
            locked(&self.held_leases).ended(key_range);
        }
        let load = self.load.fetch_sub(1, Ordering::SeqCst) - 1;
        let digest = match outcome {
            Ok(digest) => digest,
            // Why an error: a request that never arrived whole gets no answer.
            Err(None) => return Err(std::io::Error::other("the order broke off")),
            Err(Some(why)) => return Ok(self.not_run(why)),
        };
        self.record(&format!(
            "ran {caller_id} {method} {path} key={key} slice={} digest={digest:x} from={} to={}",
            key_range.map_or("-".to_string(), |(key_range, epoch)| format!(
                "{key_range}/{epoch}"
            )),
            started,
            wall_millis(),
        ));
        if take_one(&self.ailments.lose_responses) {
            return Err(std::io::Error::other("asked to lose the answer"));
        }
        let json = jzon::object! {
            order: caller_id.as_str(),
            instance: self.flags.id.as_str(),
            digest: format!("{digest:x}"),
        };
        let mut response = json_response(200, &json);
        if take_one(&self.ailments.garbage) {
            // Why this: an answer to some other request must never reach the client.
            response
                .headers_mut()
                .insert(REQUEST_HEADER, HeaderValue::from_static("other"));
            return Ok(response);
        }
        if let Some(length) = wanted.filter(|length| *length <= MOST_BODY) {
            *response.body_mut() = full_body(vec![b'a'; length]);
        }
        if take_one(&self.ailments.truncate) {
            let promised = wanted.unwrap_or(1000);
            *response.body_mut() = CutShort {
                chunks: 2,
                chunk: Bytes::from(vec![b'a'; promised / 3]),
                paused: false,
            }
            .boxed();
            response
                .headers_mut()
                .insert("content-length", HeaderValue::from(promised));
        }
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            headers.insert(REQUEST_HEADER, value);
        }
        headers.insert(LOAD_HEADER, HeaderValue::from(load));
        Ok(response)
    }

    /// Takes the whole request in, works, and looks again whether it may take effect.
    async fn work(
        &self,
        body: Incoming,
        key_range: Option<(u32, Epoch)>,
    ) -> Result<u64, Option<&'static str>> {
        let bytes = read_limited_body(body, MOST_BODY).await.map_err(|_| None)?;
        tokio::time::sleep(Duration::from_millis(self.flags.work_ms)).await;
        if !self.may_run(key_range, Duration::ZERO) {
            return Err(Some("the hold passed before the work took effect"));
        }
        Ok(digest_of(&bytes))
    }

    fn not_run(&self, why: &str) -> Response<Body> {
        let mut response = json_response(421, &jzon::object! { outcome: "not-run", why: why });
        response
            .headers_mut()
            .insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        response
    }

    async fn ail(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited_body(request.into_body(), 4096)
            .await
            .unwrap_or_default();
        let value = jzon::parse(&String::from_utf8_lossy(&body)).unwrap_or(JsonValue::Null);
        let count = value["count"].as_u32().unwrap_or(1);
        let ailment = match value["kind"].as_str() {
            Some("lose-answers") => &self.ailments.lose_responses,
            Some("garbage") => &self.ailments.garbage,
            Some("truncate") => &self.ailments.truncate,
            Some("refuse") => &self.ailments.refuse,
            _ => {
                let why = "kind must be lose-answers, garbage, truncate or refuse";
                return json_response(400, &jzon::object! { why: why });
            }
        };
        ailment.store(count, Ordering::SeqCst);
        json_response(200, &jzon::object! { count: count })
    }
}

/// Why the wall clock here: the records of many stand-ins on one machine are laid side by side.
fn wall_millis() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |span| span.as_millis())
}

fn digest_of(bytes: &[u8]) -> u64 {
    bytes.iter().fold(bytes.len() as u64, |digest, byte| {
        mix(digest ^ u64::from(*byte))
    })
}

/// A body that breaks off before the length its head promised.
struct CutShort {
    chunks: u32,
    chunk: Bytes,
    paused: bool,
}

impl HttpBody for CutShort {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.chunks > 0 {
            self.chunks -= 1;
            return std::task::Poll::Ready(Some(Ok(Frame::data(self.chunk.clone()))));
        }
        if !self.paused {
            // Why a pause: what was given so far leaves before the body breaks.
            self.paused = true;
            context.waker().wake_by_ref();
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(Some(Err(std::io::Error::other("cut short"))))
    }
}

#[tokio::main(worker_threads = 1)]
async fn main() -> anyhow::Result<()> {
    let flags = read_flags(&flags());
    start_log()?;
    let listener = listen(flags.serving).await?;
    let journal = match &flags.journal {
        None => None,
        Some(path) => Some(Mutex::new(
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)?,
        )),
    };
    // Why this: a stand-in needs a number that grows from life to life.
    let incarnation = wall_millis() as u64;
    event(
        STARTED,
        format!(
            "test instance {} service {} serving {}",
            flags.id, flags.service, flags.serving
        ),
    );
    let test_instance = Arc::new(TestInstance {
        flags,
        clock: Clock::start(),
        incarnation: Incarnation(incarnation),
        counter: AtomicU64::new(0),
        load: AtomicU32::new(0),
        draining: AtomicBool::new(false),
        held_leases: Mutex::default(),
        stamps: Mutex::default(),
        ailments: Ailments::default(),
        journal,
    });
    tokio::spawn(test_instance.clone().keep_beating());
    let stop = Arc::new(AtomicBool::new(false));
    let answering = test_instance.clone();
    tokio::spawn(serve_http(listener, stop.clone(), move |_, request| {
        answering.clone().respond(request)
    }));
    shutdown_signal().await;
    event(STOPPING, "");
    test_instance.draining.store(true, Ordering::SeqCst);
    test_instance
        .send_heartbeat(test_instance.flags.agents[0])
        .await;
    // Why so long: requests may still arrive for as long as the news travels, and held key ranges are
    // let go of one heartbeat after the owner manager asks for them.
    let until = Instant::now() + Duration::from_secs(8);
    let earliest = Instant::now() + Duration::from_millis(3500);
    while Instant::now() < until {
        let key_ranges_in_use = !locked(&test_instance.held_leases)
            .key_ranges_in_use(test_instance.clock.now())
            .is_empty();
        let idle = test_instance.load.load(Ordering::SeqCst) == 0 && !key_ranges_in_use;
        if idle && Instant::now() > earliest {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    event(STOPPED, "");
    Ok(())
}
