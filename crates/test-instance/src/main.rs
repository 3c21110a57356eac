//! `test-instance`: a simulated instance that records the requests it ran.

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
    LOAD_HEADER, OUTCOME_HEADER, REQUEST_HEADER, WARM_UP_LEFT_HEADER,
};
use runtime::locks::locked;
use runtime::options::read_flags;

const HELP: &str =
    "Simulated instance: sends heartbeats, runs requests, and records the requests it ran";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The path of health checks.
const HEALTH_PATH: &str = "/health";
const MAX_BODY_BYTES: usize = 128 * 1024 * 1024;

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
        .help("Id of the instance")
        .argument::<String>("NAME");
    let service = long("pool")
        .help("Service of the instance")
        .argument::<String>("NAME");
    let zone = long("area")
        .help("Zone of the instance")
        .argument::<String>("NAME");
    let serving = long("serving")
        .help("Address to listen on for requests")
        .argument::<SocketAddr>("ADDRESS");
    let advertise = long("advertise")
        .help("Address to send in heartbeats, if different from the listen address")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let agents = long("agent")
        .help("HTTP address of an agent or controller to send heartbeats to; may be repeated")
        .argument::<SocketAddr>("ADDRESS")
        .some("give at least one --agent");
    let capacity = long("capacity")
        .help("Capacity in requests per second")
        .argument::<u32>("NUMBER")
        .fallback(50);
    let work_ms = long("work-ms")
        .help("Processing time of a request in milliseconds")
        .argument::<u64>("MILLISECONDS")
        .fallback(3);
    let warm_ms = long("warm-ms")
        .help("Time in milliseconds for which heartbeats report warming up")
        .argument::<u64>("MILLISECONDS")
        .fallback(0);
    let journal = long("journal")
        .help("File to append a line to for every request that was run")
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

/// The faults to inject; most with the number of requests that each still applies to.
#[derive(Default)]
struct InjectedFaults {
    lost_responses: AtomicU32,
    mismatched_responses: AtomicU32,
    truncated_responses: AtomicU32,
    rejected_requests: AtomicU32,
    /// Until when it is warming up again.
    warming_up_until: Mutex<Duration>,
    /// Makes the next heartbeat go out at once.
    heartbeat_due: tokio::sync::Notify,
}

struct TestInstance {
    flags: Flags,
    clock: Clock,
    incarnation: Incarnation,
    counter: AtomicU64,
    load: AtomicU32,
    draining: AtomicBool,
    held_leases: Mutex<HeldLeases>,
    /// The last stamp from each agent, and when it was received.
    stamps: Mutex<HashMap<SocketAddr, (Stamp, Duration)>>,
    injected_faults: InjectedFaults,
    journal: Option<Mutex<std::fs::File>>,
}

/// Decrements a count above zero; returns whether it did.
fn decrement(count: &AtomicU32) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}

impl TestInstance {
    fn heartbeat(&self) -> Heartbeat {
        let uptime = self.clock.now();
        let (key_ranges_in_use, released) = {
            let held_leases = locked(&self.held_leases);
            (
                held_leases.key_ranges_in_use(uptime),
                held_leases.released_epochs(),
            )
        };
        let state = if self.draining.load(Ordering::SeqCst) {
            InstanceState::Draining
        } else if uptime < Duration::from_millis(self.flags.warm_ms) {
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
            uptime,
            key_ranges_in_use,
            released,
            warm_up_left: self.warm_up_left(),
        }
    }

    /// Returns how much longer it is warming up again.
    fn warm_up_left(&self) -> Duration {
        let until = *locked(&self.injected_faults.warming_up_until);
        until.saturating_sub(self.clock.now())
    }

    /// Begins to warm up again, and reports it at once.
    fn start_warm_up(&self, duration: Duration) {
        *locked(&self.injected_faults.warming_up_until) = self.clock.now() + duration;
        let from = wall_clock_ms();
        self.record(&format!(
            "warm-up from={from} to={}",
            from + duration.as_millis()
        ));
        self.injected_faults.heartbeat_due.notify_one();
    }

    /// Responds to a health check: who it is, and how much longer it is warming up.
    fn health(&self) -> Response<Body> {
        let mut response = json_response(200, &jzon::object! { healthy: true });
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.flags.id) {
            headers.insert(INSTANCE_HEADER, id);
        }
        headers.insert(INCARNATION_HEADER, HeaderValue::from(self.incarnation.0));
        let warm_up_left = self.warm_up_left().as_millis() as u64;
        headers.insert(WARM_UP_LEFT_HEADER, HeaderValue::from(warm_up_left));
        response
    }

    /// Sends a heartbeat to an agent, and a second one at once if the agent had no echoed stamp to determine
    /// the age of the first.
    async fn send_heartbeat(&self, agent: SocketAddr) -> bool {
        match self.send_one_heartbeat(agent).await {
            Some(true) => self.send_one_heartbeat(agent).await == Some(false),
            once => once.is_some(),
        }
    }

    /// Sends one heartbeat to an agent. Returns whether the agent requests another at once, or `None` if the
    /// heartbeat failed.
    async fn send_one_heartbeat(&self, agent: SocketAddr) -> Option<bool> {
        let sent_at = self.clock.now();
        let mut json = heartbeats::write(&self.heartbeat());
        if let Some((stamp, received_at)) = locked(&self.stamps).get(&agent) {
            let held = sent_at.saturating_sub(*received_at);
            json["stamp"] = heartbeats::write_echo(&Echo {
                stamp: *stamp,
                held,
            });
        }
        let body = json.dump();
        let result = Fetch::post(agent, "/beats", body)
            .timeout(Duration::from_millis(1200))
            .send()
            .await;
        match result {
            Ok(fetched) if fetched.status == 200 => {
                let timestamped = heartbeats::read_timestamped_response(&fetched.json())?;
                locked(&self.held_leases).apply_response(sent_at, &timestamped.response);
                let now = self.clock.now();
                locked(&self.stamps).insert(agent, (timestamped.stamp, now));
                Some(timestamped.resend)
            }
            _ => None,
        }
    }

    async fn run_heartbeats(self: Arc<Self>) {
        let mut index = (stable_hash(&self.flags.id) % self.flags.agents.len() as u64) as usize;
        let mut ticker = tokio::time::interval(HEARTBEAT_INTERVAL);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticker.tick() => {}
                () = self.injected_faults.heartbeat_due.notified() => {}
            }
            // At most four agents are tried, each once; if all fail, the heartbeat waits for the next tick.
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
            if let Err(error) = written {
                log::error!("cannot write to the journal file: {error}");
            }
        }
    }

    fn has_lease(&self, key_range: Option<(u32, Epoch)>, remaining: Duration) -> bool {
        key_range.is_none_or(|(key_range, epoch)| {
            locked(&self.held_leases).may_start(self.clock.now(), key_range, epoch, remaining)
        })
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let path = request.uri().path().to_string();
        if path == "/understudy/ail" {
            return Ok(self.inject_fault(request).await);
        }
        if path == HEALTH_PATH {
            return Ok(self.health());
        }
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_string)
        };
        let is_addressee = header(INSTANCE_HEADER).as_deref() == Some(self.flags.id.as_str())
            && header(INCARNATION_HEADER) == Some(self.incarnation.to_string());
        let key_range = match (header(KEY_RANGE_HEADER), header(EPOCH_HEADER)) {
            (Some(key_range), Some(epoch)) => match (key_range.parse(), epoch.parse()) {
                (Ok(key_range), Ok(epoch)) => Some((key_range, Epoch(epoch))),
                _ => return Ok(self.not_run("malformed key range or epoch header")),
            },
            _ => None,
        };
        let request_id = header(REQUEST_HEADER).unwrap_or_default();
        let caller_id = header("x-caller-order").unwrap_or_default();
        let key = header("x-key").unwrap_or_default();
        let response_bytes: Option<usize> =
            header("x-answer-bytes").and_then(|text| text.parse().ok());
        let remaining = header(DEADLINE_HEADER)
            .and_then(|text| text.parse().ok())
            .map_or(Duration::from_secs(3), Duration::from_millis);
        if !is_addressee {
            let mut response =
                self.not_run("the request is addressed to another instance or incarnation");
            // The incarnation in the response tells the sender at once that the addressed incarnation has
            // ended, before the next heartbeat does.
            response
                .headers_mut()
                .insert(INCARNATION_HEADER, HeaderValue::from(self.incarnation.0));
            return Ok(response);
        }
        if !self.has_lease(key_range, remaining) {
            return Ok(self.not_run("no sufficient lease for the key range under this epoch"));
        }
        if decrement(&self.injected_faults.rejected_requests) {
            return Ok(self.not_run("injected fault: request rejected"));
        }
        let method = request.method().clone();
        let started_at = wall_clock_ms();
        self.load.fetch_add(1, Ordering::SeqCst);
        if let Some((key_range, _)) = key_range {
            locked(&self.held_leases).start_request(key_range);
        }
        let outcome = self.work(request.into_body(), key_range).await;
        if let Some((key_range, _)) = key_range {
            locked(&self.held_leases).end_request(key_range);
        }
        let load = self.load.fetch_sub(1, Ordering::SeqCst) - 1;
        let digest = match outcome {
            Ok(digest) => digest,
            // A request whose body did not arrive in full, or is too large, gets no response.
            Err(None) => {
                return Err(std::io::Error::other(
                    "request body is incomplete or too large",
                ))
            }
            Err(Some(reason)) => return Ok(self.not_run(reason)),
        };
        self.record(&format!(
            "ran {caller_id} {method} {path} key={key} slice={} digest={digest:x} from={} to={}",
            key_range.map_or("-".to_string(), |(key_range, epoch)| format!(
                "{key_range}/{epoch}"
            )),
            started_at,
            wall_clock_ms(),
        ));
        if decrement(&self.injected_faults.lost_responses) {
            return Err(std::io::Error::other("injected fault: response dropped"));
        }
        let json = jzon::object! {
            order: caller_id.as_str(),
            instance: self.flags.id.as_str(),
            digest: format!("{digest:x}"),
        };
        let mut response = json_response(200, &json);
        if decrement(&self.injected_faults.mismatched_responses) {
            // A wrong request id: the proxy must never forward the response to another request to a client.
            response
                .headers_mut()
                .insert(REQUEST_HEADER, HeaderValue::from_static("other"));
            return Ok(response);
        }
        if let Some(length) = response_bytes.filter(|length| *length <= MAX_BODY_BYTES) {
            *response.body_mut() = full_body(vec![b'a'; length]);
        }
        if decrement(&self.injected_faults.truncated_responses) {
            let content_length = response_bytes.unwrap_or(1000);
            *response.body_mut() = TruncatedBody {
                chunks: 2,
                chunk: Bytes::from(vec![b'a'; content_length / 3]),
                has_yielded: false,
            }
            .boxed();
            response
                .headers_mut()
                .insert("content-length", HeaderValue::from(content_length));
        }
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            headers.insert(REQUEST_HEADER, value);
        }
        headers.insert(LOAD_HEADER, HeaderValue::from(load));
        Ok(response)
    }

    /// Reads the complete body, waits for the processing time, and checks the lease again before the request
    /// takes effect.
    async fn work(
        &self,
        body: Incoming,
        key_range: Option<(u32, Epoch)>,
    ) -> Result<u64, Option<&'static str>> {
        let bytes = read_limited_body(body, MAX_BODY_BYTES)
            .await
            .map_err(|_| None)?;
        tokio::time::sleep(Duration::from_millis(self.flags.work_ms)).await;
        if !self.has_lease(key_range, Duration::ZERO) {
            return Err(Some("the lease expired before the request took effect"));
        }
        Ok(body_digest(&bytes))
    }

    fn not_run(&self, reason: &str) -> Response<Body> {
        let mut response = json_response(421, &jzon::object! { outcome: "not-run", why: reason });
        response
            .headers_mut()
            .insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        response
    }

    async fn inject_fault(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_limited_body(request.into_body(), 4096)
            .await
            .unwrap_or_default();
        let value = jzon::parse(&String::from_utf8_lossy(&body)).unwrap_or(JsonValue::Null);
        let count = value["count"].as_u32().unwrap_or(1);
        let injected_fault = match value["kind"].as_str() {
            Some("lose-answers") => &self.injected_faults.lost_responses,
            Some("garbage") => &self.injected_faults.mismatched_responses,
            Some("truncate") => &self.injected_faults.truncated_responses,
            Some("refuse") => &self.injected_faults.rejected_requests,
            Some("warm-up") => {
                self.start_warm_up(Duration::from_millis(count.into()));
                return json_response(200, &jzon::object! { count: count });
            }
            _ => {
                let reason = "kind must be lose-answers, garbage, truncate, refuse or warm-up";
                return json_response(400, &jzon::object! { why: reason });
            }
        };
        injected_fault.store(count, Ordering::SeqCst);
        json_response(200, &jzon::object! { count: count })
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch: the journals of several instances on
/// one machine are compared with each other.
fn wall_clock_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |duration| duration.as_millis())
}

fn body_digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(bytes.len() as u64, |digest, byte| {
        mix(digest ^ u64::from(*byte))
    })
}

/// A response body that ends before the announced content length.
struct TruncatedBody {
    chunks: u32,
    chunk: Bytes,
    has_yielded: bool,
}

impl HttpBody for TruncatedBody {
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
        if !self.has_yielded {
            // Yields once, so that the chunks so far are sent before the error.
            self.has_yielded = true;
            context.waker().wake_by_ref();
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(Some(Err(std::io::Error::other(
            "injected fault: response truncated",
        ))))
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
    // The wall clock gives every restart a higher incarnation without stored state.
    let incarnation = wall_clock_ms() as u64;
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
        injected_faults: InjectedFaults::default(),
        journal,
    });
    tokio::spawn(test_instance.clone().run_heartbeats());
    let stop = Arc::new(AtomicBool::new(false));
    let handler = test_instance.clone();
    tokio::spawn(serve_http(listener, stop.clone(), move |_, request| {
        handler.clone().respond(request)
    }));
    shutdown_signal().await;
    event(STOPPING, "");
    test_instance.draining.store(true, Ordering::SeqCst);
    test_instance
        .send_heartbeat(test_instance.flags.agents[0])
        .await;
    // Requests can arrive until the draining state has reached all proxies, and key ranges are released
    // one heartbeat after the owner manager requests them.
    let stop_deadline = Instant::now() + Duration::from_secs(8);
    let earliest_stop = Instant::now() + Duration::from_millis(3500);
    while Instant::now() < stop_deadline {
        let key_ranges_in_use = !locked(&test_instance.held_leases)
            .key_ranges_in_use(test_instance.clock.now())
            .is_empty();
        let is_idle = test_instance.load.load(Ordering::SeqCst) == 0 && !key_ranges_in_use;
        if is_idle && Instant::now() > earliest_stop {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    event(STOPPED, "");
    Ok(())
}
