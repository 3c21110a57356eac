//! `load-generator`: generated clients that ask the directory, send requests, and check what they get.

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
    "Stand-in callers: asks the directory where to go, sends the scenario's traffic, \
checks every answer, and prints what came of it as JSON";

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
        .help("HTTP address of a directory; give each of them")
        .argument::<SocketAddr>("ADDRESS")
        .some("give at least one --directory");
    let scenario = long("scenario")
        .help("Scenario file whose traffic to send")
        .argument::<PathBuf>("FILE");
    let seconds = long("seconds")
        .help("For how long")
        .argument::<u64>("NUMBER")
        .fallback(10)
        .guard(|seconds| (1..=3600).contains(seconds), "give 1 to 3600");
    let percent = long("percent")
        .help("Part of the scenario's rate")
        .argument::<u32>("NUMBER")
        .fallback(100)
        .guard(|percent| (1..=1000).contains(percent), "give 1 to 1000");
    let groups = long("groups")
        .help("How many client groups to call from, each with a loopback network of its own")
        .argument::<u8>("NUMBER")
        .fallback(12)
        .guard(|groups| *groups > 0, "give at least 1");
    let record = long("record")
        .help("File to record every write and what was told of it")
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

/// What came of the requests of one kind.
#[derive(Debug, Default)]
struct Count {
    sent: u64,
    served: u64,
    not_run: u64,
    unknown: u64,
    nowhere: u64,
    not_opened: u64,
    wrong: u64,
    slowest_ms: u64,
}

/// A directory's answer, and until when it is good.
type Known = (Duration, Vec<SocketAddr>);

struct Callers {
    flags: Flags,
    traffic: Vec<Traffic>,
    bodies: Vec<Bytes>,
    clock: Clock,
    run: u64,
    numbers: AtomicU64,
    counts: Vec<Mutex<Count>>,
    known: Mutex<HashMap<(String, u8), Known>>,
    record: Option<Mutex<std::fs::File>>,
}

impl Callers {
    /// Asks a directory, or goes by its last answer while that is good.
    async fn whereabouts(&self, traffic: &Traffic, group: u8) -> Vec<SocketAddr> {
        let key = (traffic.path.clone(), group);
        if let Some((until, addresses)) = locked(&self.known).get(&key) {
            if self.clock.now() < *until {
                return addresses.clone();
            }
        }
        let path = format!("/where?host={}&path={}", traffic.host, traffic.path);
        let start = usize::from(group) % self.flags.directories.len();
        for turn in 0..self.flags.directories.len() {
            let directory = self.flags.directories[(start + turn) % self.flags.directories.len()];
            let asked = Fetch::get(directory, path.clone())
                .from(IpAddr::from([127, 10, group, 1]))
                .timeout(Duration::from_millis(500))
                .send()
                .await;
            let Ok(fetched) = asked else {
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
            let until = self.clock.now() + lifetime;
            locked(&self.known).insert(key, (until, addresses.clone()));
            return addresses;
        }
        Vec::new()
    }

    async fn request(self: Arc<Self>, kind: usize, number: u64) {
        let traffic = &self.traffic[kind];
        let group = (number % u64::from(self.flags.groups)) as u8;
        let id = format!("{:x}-{number}", self.run);
        let addresses = self.whereabouts(traffic, group).await;
        let write = traffic.method != Method::GET;
        if addresses.is_empty() {
            let mut count = locked(&self.counts[kind]);
            count.sent += 1;
            count.nowhere += 1;
            return;
        }
        let started = self.clock.now();
        let mut reported = "not-opened";
        for address in &addresses {
            // Why the next address: a connection that never opened cannot have carried the request.
            if tokio::net::TcpStream::connect(address).await.is_err() {
                continue;
            }
            let mut fetch = Fetch::get(*address, traffic.path.clone())
                .header("host", traffic.host.clone())
                .header("x-caller-order", id.clone())
                .from(IpAddr::from([127, 10, group, 1]))
                .timeout(Duration::from_secs(6));
            fetch.method = traffic.method.clone();
            fetch.body = self.bodies[kind].clone();
            if traffic.keys > 0 {
                fetch = fetch.header("x-key", format!("key-{}", mix(number) % traffic.keys));
            }
            reported = match fetch.send().await {
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
        let took = self.clock.now().saturating_sub(started).as_millis() as u64;
        let mut count = locked(&self.counts[kind]);
        count.sent += 1;
        count.slowest_ms = count.slowest_ms.max(took);
        match reported {
            "served" => count.served += 1,
            "not-run" => count.not_run += 1,
            "wrong" => count.wrong += 1,
            "not-opened" => count.not_opened += 1,
            _ => count.unknown += 1,
        }
        drop(count);
        if let Some(record) = self.record.as_ref().filter(|_| write) {
            if let Err(failure) = writeln!(locked(record), "{id} {reported}") {
                log::error!("the record cannot be written: {failure}");
            }
        }
    }

    async fn send_kind(self: Arc<Self>, kind: usize) {
        let rate = (self.traffic[kind].per_second * u64::from(self.flags.percent)).max(1);
        let mut heartbeat = tokio::time::interval(Duration::from_nanos(100_000_000_000 / rate));
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
        let until = self.clock.now() + Duration::from_secs(self.flags.seconds);
        while self.clock.now() < until {
            heartbeat.tick().await;
            let number = self.numbers.fetch_add(1, Ordering::Relaxed);
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
    let callers = Arc::new(Callers {
        counts: traffic.iter().map(|_| Mutex::default()).collect(),
        bodies: traffic
            .iter()
            .map(|kind| Bytes::from(vec![b'c'; kind.body_bytes]))
            .collect(),
        traffic,
        clock: Clock::start(),
        run: random_seed() >> 32,
        numbers: AtomicU64::new(0),
        known: Mutex::default(),
        record,
        flags,
    });
    let sending: Vec<_> = (0..callers.traffic.len())
        .map(|kind| tokio::spawn(callers.clone().send_kind(kind)))
        .collect();
    for sender in sending {
        sender.await?;
    }
    let numbered = callers.numbers.load(Ordering::Relaxed);
    let until = callers.clock.now() + Duration::from_secs(8);
    loop {
        let counted: u64 = callers.counts.iter().map(|count| locked(count).sent).sum();
        if counted >= numbered || callers.clock.now() >= until {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{}", callers.summary().pretty(2));
    Ok(())
}
