//! `load-generator`: clients that resolve addresses at the directory, send requests and check the
//! responses.

use std::collections::HashMap;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::{construct, long, OptionParser, Parser};
use bytes::Bytes;
use hyper::Method;
use jzon::JsonValue;

use caperworks::identifiers::mix;
use runtime::actor::random_seed;
use runtime::clock::Clock;
use runtime::events::start_log;
use runtime::http::{Fetch, OUTCOME_HEADER};
use runtime::locks::locked;
use runtime::options::{exit_with_faults, read_flags};
use runtime::scenario::{Scenario, Traffic};

const HELP: &str =
    "Load generator: resolves addresses at the directory, sends the scenario's traffic, \
checks every response, and prints the results as JSON";

#[derive(Debug, Clone)]
struct Flags {
    directories: Vec<SocketAddr>,
    scenario: PathBuf,
    seconds: u64,
    percent: u32,
    groups: u8,
    record: Option<PathBuf>,
}

fn flags() -> OptionParser<Flags> {
    let directories = long("directory")
        .help("HTTP address of a directory; repeat for every directory")
        .argument::<SocketAddr>("ADDRESS")
        .some("give at least one --directory");
    let scenario = long("scenario")
        .help("Scenario file with the traffic to send")
        .argument::<PathBuf>("FILE");
    let seconds = long("seconds")
        .help("Duration of the run in seconds")
        .argument::<u64>("NUMBER")
        .fallback(10)
        .guard(|seconds| (1..=3600).contains(seconds), "give 1 to 3600");
    let percent = long("percent")
        .help("Request rate in percent of the scenario's rate")
        .argument::<u32>("NUMBER")
        .fallback(100)
        .guard(|percent| (1..=1000).contains(percent), "give 1 to 1000");
    let groups = long("groups")
        .help("Number of client groups, each with its own loopback network")
        .argument::<u8>("NUMBER")
        .fallback(12)
        .guard(|groups| *groups > 0, "give at least 1");
    let record = long("record")
        .help("File to append the id and outcome of every write to")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Flags {
        directories,
        scenario,
        seconds,
        percent,
        groups,
        record
    })
    .to_options()
    .descr(HELP)
}

/// The outcomes of the requests of one kind.
#[derive(Debug, Default)]
struct Counters {
    sent: u64,
    served: u64,
    not_run: u64,
    unknown: u64,
    /// No directory returned an address.
    nowhere: u64,
    /// None of the addresses accepted a connection.
    not_opened: u64,
    /// The response belonged to another request.
    wrong: u64,
    slowest_ms: u64,
}

/// The time at which a directory's response expires, and its addresses.
type CachedResolution = (Duration, Vec<SocketAddr>);

struct LoadGenerator {
    flags: Flags,
    traffic: Vec<Traffic>,
    bodies: Vec<Bytes>,
    clock: Clock,
    run_id: u64,
    next_number: AtomicU64,
    counts: Vec<Mutex<Counters>>,
    cache: Mutex<HashMap<(String, u8), CachedResolution>>,
    record: Option<Mutex<std::fs::File>>,
}

impl LoadGenerator {
    /// Returns the addresses from the last directory response, or requests them again if it has expired.
    async fn resolve(&self, traffic: &Traffic, client_group: u8) -> Vec<SocketAddr> {
        let key = (traffic.path.clone(), client_group);
        if let Some((expires_at, addresses)) = locked(&self.cache).get(&key) {
            if self.clock.now() < *expires_at {
                return addresses.clone();
            }
        }
        let path = format!("/where?host={}&path={}", traffic.host, traffic.path);
        let start = usize::from(client_group) % self.flags.directories.len();
        for attempt in 0..self.flags.directories.len() {
            let directory =
                self.flags.directories[(start + attempt) % self.flags.directories.len()];
            let result = Fetch::get(directory, path.clone())
                .from(IpAddr::from([127, 10, client_group, 1]))
                .timeout(Duration::from_millis(500))
                .send()
                .await;
            let Ok(fetched) = result else {
                continue;
            };
            if fetched.status != 200 {
                continue;
            }
            let json = fetched.json();
            let addresses: Vec<SocketAddr> = json["addresses"]
                .members()
                .filter_map(|address| address.as_str()?.parse().ok())
                .collect();
            let lifetime = Duration::from_millis(json["lifetime_ms"].as_u64().unwrap_or(0));
            let expires_at = self.clock.now() + lifetime;
            locked(&self.cache).insert(key, (expires_at, addresses.clone()));
            return addresses;
        }
        Vec::new()
    }

    async fn request(self: Arc<Self>, kind: usize, number: u64) {
        let traffic = &self.traffic[kind];
        let client_group = (number % u64::from(self.flags.groups)) as u8;
        let id = format!("{:x}-{number}", self.run_id);
        let addresses = self.resolve(traffic, client_group).await;
        let is_write = traffic.method != Method::GET;
        if addresses.is_empty() {
            let mut count = locked(&self.counts[kind]);
            count.sent += 1;
            count.nowhere += 1;
            return;
        }
        let started = self.clock.now();
        let mut outcome = "not-opened";
        for address in &addresses {
            // Trying the next address is safe: without a connection, the request cannot have been sent.
            if tokio::net::TcpStream::connect(address).await.is_err() {
                continue;
            }
            let mut fetch = Fetch::get(*address, traffic.path.clone())
                .header("host", traffic.host.clone())
                .header("x-caller-order", id.clone())
                .from(IpAddr::from([127, 10, client_group, 1]))
                .timeout(Duration::from_secs(6));
            fetch.method = traffic.method.clone();
            fetch.body = self.bodies[kind].clone();
            if traffic.keys > 0 {
                fetch = fetch.header("x-key", format!("key-{}", mix(number) % traffic.keys));
            }
            outcome = match fetch.send().await {
                Ok(fetched) if fetched.status == 200 => {
                    if fetched.json()["order"].as_str() == Some(id.as_str()) {
                        "served"
                    } else {
                        "wrong"
                    }
                }
                Ok(fetched) => match fetched.header(OUTCOME_HEADER) {
                    Some("not-run") => "not-run",
                    _ => "unknown",
                },
                Err(_) => "unknown",
            };
            break;
        }
        let elapsed_ms = self.clock.now().saturating_sub(started).as_millis() as u64;
        let mut count = locked(&self.counts[kind]);
        count.sent += 1;
        count.slowest_ms = count.slowest_ms.max(elapsed_ms);
        match outcome {
            "served" => count.served += 1,
            "not-run" => count.not_run += 1,
            "wrong" => count.wrong += 1,
            "not-opened" => count.not_opened += 1,
            _ => count.unknown += 1,
        }
        drop(count);
        if let Some(record) = self.record.as_ref().filter(|_| is_write) {
            if let Err(error) = writeln!(locked(record), "{id} {outcome}") {
                log::error!("cannot write to the record file: {error}");
            }
        }
    }

    async fn send_traffic(self: Arc<Self>, kind: usize) {
        let rate = (self.traffic[kind].per_second * u64::from(self.flags.percent)).max(1);
        let mut ticker = tokio::time::interval(Duration::from_nanos(100_000_000_000 / rate));
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
        let deadline = self.clock.now() + Duration::from_secs(self.flags.seconds);
        while self.clock.now() < deadline {
            ticker.tick().await;
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(self.clone().request(kind, number));
        }
    }

    fn summary(&self) -> JsonValue {
        let mut kinds = JsonValue::new_array();
        let (mut sent, mut served) = (0, 0);
        for (traffic, count) in self.traffic.iter().zip(&self.counts) {
            let count = locked(count);
            sent += count.sent;
            served += count.served;
            let kind = jzon::object! {
                path: traffic.path.as_str(),
                method: traffic.method.as_str(),
                sent: count.sent,
                served: count.served,
                not_run: count.not_run,
                unknown: count.unknown,
                nowhere: count.nowhere,
                not_opened: count.not_opened,
                wrong: count.wrong,
                slowest_ms: count.slowest_ms,
            };
            let _ = kinds.push(kind);
        }
        jzon::object! { sent: sent, served: served, kinds: kinds }
    }
}

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let flags = read_flags(&flags());
    start_log()?;
    let scenario =
        Scenario::read(&flags.scenario).unwrap_or_else(|faults| exit_with_faults(&faults));
    let traffic = scenario.traffic;
    let record = match &flags.record {
        None => None,
        Some(path) => Some(Mutex::new(
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)?,
        )),
    };
    let generator = Arc::new(LoadGenerator {
        counts: traffic.iter().map(|_| Mutex::default()).collect(),
        bodies: traffic
            .iter()
            .map(|kind| Bytes::from(vec![b'c'; kind.body_bytes]))
            .collect(),
        traffic,
        clock: Clock::start(),
        run_id: random_seed() >> 32,
        next_number: AtomicU64::new(0),
        cache: Mutex::default(),
        record,
        flags,
    });
    let senders: Vec<_> = (0..generator.traffic.len())
        .map(|kind| tokio::spawn(generator.clone().send_traffic(kind)))
        .collect();
    for sender in senders {
        sender.await?;
    }
    let started_requests = generator.next_number.load(Ordering::Relaxed);
    let deadline = generator.clock.now() + Duration::from_secs(8);
    loop {
        let finished_requests: u64 = generator
            .counts
            .iter()
            .map(|count| locked(count).sent)
            .sum();
        if finished_requests >= started_requests || generator.clock.now() >= deadline {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{}", generator.summary().pretty(2));
    Ok(())
}
