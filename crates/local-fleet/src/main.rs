//! `local-fleet`: a whole fleet on one machine, for trying things out and for injecting faults.

mod drill;
mod fit;
mod fleet;
mod flows;
mod hollow;
mod http_relay;
mod probe;
mod relay;
mod scale;
#[cfg(test)]
mod scale_tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{bail, Context as AnyhowContext};
use bpaf::{construct, long, positional, OptionParser, Parser};
use hyper::Method;

use crate::drill::Drill;
use crate::fleet::{Fleet, Hand, Relayed};
use crate::scale::options::ScaleOptions;
use crate::scale::scale;
use runtime::events::start_log;
use runtime::http::{Fetch, Fetched};
use runtime::options::{exit_with_faults, read_flags, OptionsFault};
use runtime::scenario::Scenario;

const HELP: &str = "Starts a whole fleet on this machine from a scenario file, does it harm, and \
judges from the records what it did";

#[derive(Debug, Clone)]
enum Command {
    Up {
        scenario: PathBuf,
        base: u16,
        relay: bool,
    },
    Down,
    Status,
    FaultStep {
        signal: i32,
        names: Vec<String>,
    },
    Start {
        names: Vec<String>,
    },
    Judge {
        records: Vec<PathBuf>,
    },
    Cut {
        one_way: bool,
        names: Vec<String>,
    },
    Join,
    Drill {
        base: u16,
        file: PathBuf,
    },
    Relay {
        serving: SocketAddr,
        pairs: Vec<String>,
        http: Vec<String>,
    },
    Scale(ScaleOptions),
}

#[derive(Debug, Clone)]
struct Flags {
    run: PathBuf,
    command: Command,
}

fn names_of() -> impl Parser<Vec<String>> {
    positional::<String>("NAME")
        .help("A process, a program or a zone")
        .some("name at least one process, program or zone")
}

fn flags() -> OptionParser<Flags> {
    let run = long("run")
        .help("Folder for the fleet's files")
        .argument::<PathBuf>("FOLDER");
    let scenario = long("scenario")
        .help("Scenario file")
        .argument::<PathBuf>("FILE");
    let base = long("base-port")
        .help("Ports are taken from here up")
        .argument::<u16>("PORT")
        .fallback(21000);
    let relay = long("relay")
        .help("Put a relay before the control ports, so that cut and join work")
        .switch();
    let up = construct!(Command::Up {
        scenario,
        base,
        relay
    })
    .to_options()
    .descr("Start a fleet, give it its configuration, and wait until it serves")
    .command("up");
    let down = bpaf::pure(Command::Down)
        .to_options()
        .descr("End every process of the fleet")
        .command("down");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Say which processes live")
        .command("status");
    let fault_step = |word: &'static str, text: &'static str, signal: i32| {
        let signal = bpaf::pure(signal);
        let names = names_of();
        construct!(Command::FaultStep { signal, names })
            .to_options()
            .descr(text)
            .command(word)
    };
    let kill = fault_step("kill", "Kill processes at once", libc::SIGKILL);
    let stop = fault_step("stop", "Ask processes to stop politely", libc::SIGTERM);
    let freeze = fault_step("freeze", "Freeze processes", libc::SIGSTOP);
    let wake = fault_step("wake", "Wake frozen processes", libc::SIGCONT);
    let names = names_of();
    let start = construct!(Command::Start { names })
        .to_options()
        .descr("Start ended processes again, with the same place and data")
        .command("start");
    let records = positional::<PathBuf>("RECORD")
        .help("Record files written by caller")
        .some("name at least one record");
    let judge = construct!(Command::Judge { records })
        .to_options()
        .descr("Compare callers' records with what the instances ran")
        .command("judge");
    let one_way = long("one-way")
        .help("Cut only what they send, not what is sent to them")
        .switch();
    let names = names_of();
    let cut = construct!(Command::Cut { one_way, names })
        .to_options()
        .descr("Cut what our processes say to each other (needs up --relay)")
        .command("cut");
    let join = bpaf::pure(Command::Join)
        .to_options()
        .descr("Undo all cuts")
        .command("join");
    let base = long("base-port")
        .help("Ports are taken from here up")
        .argument::<u16>("PORT")
        .fallback(23000);
    let file = positional::<PathBuf>("DRILL").help("A drill's file");
    let drill = construct!(Command::Drill { base, file })
        .to_options()
        .descr("Run a written drill under load, judge it, and end the fleet")
        .command("drill");
    let serving = long("serving")
        .help("Address for cut and join")
        .argument::<SocketAddr>("ADDRESS");
    let pairs = long("pair")
        .help("ADVERTISED=LISTENED")
        .argument::<String>("PAIR")
        .many();
    let http = long("http")
        .help("ADVERTISED=LISTENED of an HTTP address")
        .argument::<String>("PAIR")
        .many();
    let relay = construct!(Command::Relay {
        serving,
        pairs,
        http
    })
    .to_options()
    .descr("Be the relay; started by up --relay")
    .command("relay");
    let scale = scale_options()
        .map(Command::Scale)
        .to_options()
        .descr("Measure what a fleet of hollow nodes and instances costs real core processes")
        .command("scale");
    let command = construct!([
        up, down, status, kill, stop, freeze, wake, start, judge, cut, join, drill, relay, scale
    ]);
    construct!(Flags { run, command }).to_options().descr(HELP)
}

fn scale_options() -> impl Parser<ScaleOptions> {
    let number = |name: &'static str, help: &'static str, usual: u32| {
        long(name)
            .help(help)
            .argument::<u32>("NUMBER")
            .fallback(usual)
    };
    let rate = |name: &'static str, help: &'static str, usual: f64| {
        long(name)
            .help(help)
            .argument::<f64>("NUMBER")
            .fallback(usual)
    };
    let nodes = number("nodes", "Hollow agents, each with its proxy (24)", 24);
    let instances = number("instances", "Hollow instances (100)", 100);
    let routes = number("routes", "Routes (100)", 100);
    let services = number("pools", "Services, that is services (10)", 10);
    let changes = rate("changes", "Configuration changes a second (1)", 1.0);
    let restarts = rate(
        "restarts",
        "Restarts a minute, agents and instances in turn (6)",
        6.0,
    );
    let seconds = long("seconds")
        .help("How long is measured (8)")
        .argument::<u64>("NUMBER")
        .fallback(8);
    let zones = number("zones", "Zones of the hollow ones, four to a region (4)", 4);
    let agents = number("agents", "Real agents, each with a real proxy (3)", 3);
    let directories = number("directories", "Real directories (2)", 2);
    let threads = long("threads")
        .help("Threads for all the hollow ones (2)")
        .argument::<usize>("NUMBER")
        .fallback(2);
    let base = long("base-port")
        .help("Ports are taken from here up")
        .argument::<u16>("PORT")
        .fallback(25000);
    let json = long("json")
        .help("File for the results")
        .argument::<PathBuf>("FILE")
        .optional();
    let sweep = long("sweep")
        .help("Four sizes of each of nodes, instances, rules and changes, and lines through them")
        .switch();
    let check = long("check")
        .help("Compare two sizes by counts; ends with 1 when a node says more in the larger")
        .switch();
    let lose_zone = long("lose-zone")
        .help("Silence the hollow ones of one zone for so many seconds in the middle (0)")
        .argument::<u64>("SECONDS")
        .fallback(0);
    construct!(ScaleOptions {
        nodes,
        instances,
        routes,
        services,
        changes,
        restarts,
        seconds,
        zones,
        agents,
        directories,
        threads,
        base,
        json,
        sweep,
        check,
        lose_zone
    })
}

pub async fn until(what: &str, span: Duration, test: impl AsyncFn() -> bool) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < span {
        if test().await {
            println!("{what} after {} ms", start.elapsed().as_millis());
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bail!("{what}: not within {span:?}; read the logs in the run folder")
}

pub async fn status_of(address: SocketAddr, path: &str) -> Option<Fetched> {
    let timeout = Duration::from_secs(1);
    Fetch::get(address, path).timeout(timeout).send().await.ok()
}

pub async fn up(run: &Path, scenario: &Path, base: u16, relayed: Relayed) -> anyhow::Result<()> {
    let scenario = Scenario::read(scenario).unwrap_or_else(|faults| exit_with_faults(&faults));
    std::fs::create_dir_all(run)?;
    let run = run.canonicalize()?;
    if let Ok(old) = Fleet::load(&run) {
        if old.hands.iter().any(Hand::is_alive) {
            bail!("a fleet of this folder is up: end it first with down");
        }
    }
    let mut fleet = Fleet::plan(&scenario, &run, base);
    if relayed != Relayed::Nothing {
        fleet.put_relay(base, relayed);
    }
    for index in 0..fleet.hands.len() {
        fleet.start(index)?;
    }
    fleet.save()?;
    println!("{} processes started", fleet.hands.len());
    let span = Duration::from_secs(60);
    let controllers = fleet.of("controller");
    until("the controllers agree", span, async || {
        status_of(controllers[0], "/v1/standing")
            .await
            .is_some_and(|fetched| fetched.status == 200)
    })
    .await?;
    let configuration = scenario.configuration().dump();
    std::fs::write(
        run.join("standing.json"),
        scenario.configuration().pretty(2),
    )?;
    let applied = Fetch::post(controllers[0], "/v1/standing", configuration)
        .send()
        .await?;
    println!(
        "configuration: {} {}",
        applied.status,
        applied.json().dump()
    );
    let proxies = fleet.of("proxy");
    until("all proxies are ready", span, async || {
        for proxy in &proxies {
            let ready = status_of(*proxy, "/caperworks/ready").await;
            if ready.is_none_or(|fetched| fetched.status != 200) {
                return false;
            }
        }
        true
    })
    .await?;
    let instances: u32 = scenario
        .services
        .iter()
        .map(|service| service.instances)
        .sum();
    until("all instances are known", span, async || {
        status_of(controllers[0], "/v1/status")
            .await
            .is_some_and(|fetched| fetched.json()["instances"].len() == instances as usize)
    })
    .await?;
    let directories = fleet.of("directory");
    until("the directories answer", span, async || {
        for directory in &directories {
            let ready = status_of(*directory, "/ready").await;
            if ready.is_none_or(|fetched| fetched.status != 200) {
                return false;
            }
        }
        true
    })
    .await?;
    if let Some(read) = scenario
        .traffic
        .iter()
        .find(|kind| kind.method == Method::GET)
    {
        // Why wait: instances are cold at first and take no more than their gentle rate.
        until("orders are served", span, async || {
            let request = Fetch::get(proxies[0], read.path.clone()).header("host", &read.host);
            request
                .send()
                .await
                .is_ok_and(|fetched| fetched.status == 200)
        })
        .await?;
    }
    let word = |addresses: &[SocketAddr]| {
        addresses
            .iter()
            .map(SocketAddr::to_string)
            .collect::<Vec<_>>()
            .join(" ")
    };
    println!("controllers     {}", word(&controllers));
    println!("directories {}", word(&directories));
    println!("proxies     {}", word(&proxies));
    Ok(())
}

pub async fn down(fleet: &Fleet) {
    for hand in &fleet.hands {
        hand.signal(libc::SIGCONT);
        hand.signal(libc::SIGKILL);
    }
    let start = Instant::now();
    while fleet.hands.iter().any(Hand::is_alive) && start.elapsed() < Duration::from_secs(5) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// One line of an instance's journal.
struct Ran {
    request: String,
    write: bool,
    key_range: Option<(String, u64)>,
    from: u128,
    to: u128,
    instance: String,
}

fn read_journals(folder: &Path) -> anyhow::Result<Vec<Ran>> {
    let mut runs = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|ending| ending != "journal") {
            continue;
        }
        let instance = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .to_string();
        let service = instance
            .rsplit_once('-')
            .map_or("", |(service, _)| service)
            .to_string();
        for line in std::fs::read_to_string(&path)?.lines() {
            let parts: Vec<&str> = line.split(' ').collect();
            let field = |name: &str| {
                parts
                    .iter()
                    .find_map(|part| part.strip_prefix(name))
                    .unwrap_or_default()
            };
            let (Some(request), Some(method)) = (parts.get(1), parts.get(2)) else {
                continue;
            };
            let key_range = field("slice=").split_once('/').map(|(key_range, epoch)| {
                (format!("{service}/{key_range}"), epoch.parse().unwrap_or(0))
            });
            runs.push(Ran {
                request: (*request).to_string(),
                write: *method != "GET",
                key_range,
                from: field("from=").parse().unwrap_or(0),
                to: field("to=").parse().unwrap_or(0),
                instance: instance.clone(),
            });
        }
    }
    Ok(runs)
}

/// Judges a run: nothing twice, nothing after "not run", no two owners of a key range at once.
pub fn judge(fleet: &Fleet, records: &[PathBuf]) -> anyhow::Result<bool> {
    let runs = read_journals(&fleet.folder)?;
    let mut reported: HashMap<String, String> = HashMap::new();
    for record in records {
        let text = std::fs::read_to_string(record)
            .with_context(|| format!("cannot read the record {}", record.display()))?;
        for line in text.lines() {
            if let Some((request, word)) = line.split_once(' ') {
                reported.insert(request.to_string(), word.to_string());
            }
        }
    }
    let mut writes: HashMap<&str, u32> = HashMap::new();
    for ran in runs.iter().filter(|ran| ran.write) {
        *writes.entry(&ran.request).or_default() += 1;
    }
    let twice = writes.values().filter(|count| **count > 1).count();
    let after_not_run = writes
        .keys()
        .filter(|request| {
            reported
                .get(**request)
                .is_some_and(|word| word == "not-run")
        })
        .count();
    let served_not_run = reported
        .iter()
        .filter(|(request, word)| *word == "served" && !writes.contains_key(request.as_str()))
        .count();
    let mut by_key_range: HashMap<&str, Vec<&Ran>> = HashMap::new();
    for ran in &runs {
        if let Some((key_range, _)) = &ran.key_range {
            by_key_range.entry(key_range).or_default().push(ran);
        }
    }
    let mut overlaps = 0;
    for runs in by_key_range.values_mut() {
        runs.sort_by_key(|ran| ran.from);
        for (index, ran) in runs.iter().enumerate() {
            overlaps += runs[index + 1..]
                .iter()
                .take_while(|next| next.from < ran.to)
                .filter(|next| next.instance != ran.instance)
                .count();
        }
    }
    // Why apart: a half request is in nobody's record, and must be in no instance's either.
    let halves = runs
        .iter()
        .filter(|ran| ran.request == probe::HALF_REQUEST)
        .count();
    let proposal_outcome = halves + twice + after_not_run + served_not_run + overlaps == 0;
    let json = jzon::object! {
        orders_told: reported.len(),
        runs: runs.len(),
        writes_run: writes.len(),
        ran_twice: twice,
        ran_after_not_run: after_not_run,
        served_without_a_run: served_not_run,
        two_owners_at_once: overlaps,
        half_orders_run: halves,
        good: proposal_outcome,
    };
    println!("{}", json.pretty(2));
    Ok(proposal_outcome && !reported.is_empty())
}

fn named_or_end(fleet: &Fleet, names: &[String]) -> Vec<usize> {
    let mut places = Vec::new();
    for name in names {
        let found = fleet.named(name);
        if found.is_empty() {
            exit_with_faults(&[OptionsFault {
                file: "command line".to_string(),
                field: name.clone(),
                remedy: "is no process, program or zone of this fleet: see local fleet status"
                    .to_string(),
            }]);
        }
        places.extend(found);
    }
    places
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let flags = read_flags(&flags());
    match &flags.command {
        Command::Up {
            scenario,
            base,
            relay,
        } => {
            let relayed = match relay {
                true => Relayed::Messages,
                false => Relayed::Nothing,
            };
            return up(&flags.run, scenario, *base, relayed).await;
        }
        Command::Drill { base, file } => {
            start_log()?;
            let drill = Drill::read(file).unwrap_or_else(|faults| exit_with_faults(&faults));
            if !drill::run(&flags.run, &drill, *base).await? {
                std::process::exit(1);
            }
            return Ok(());
        }
        Command::Relay {
            serving,
            pairs,
            http,
        } => {
            start_log()?;
            let read = |pairs: &[String]| -> Vec<(SocketAddr, SocketAddr)> {
                pairs
                    .iter()
                    .filter_map(|pair| pair.split_once('='))
                    .filter_map(|(one, other)| Some((one.parse().ok()?, other.parse().ok()?)))
                    .collect()
            };
            return relay::run(*serving, &read(pairs), &read(http)).await;
        }
        Command::Scale(options) => {
            let (options, run) = (options.clone(), flags.run.clone());
            // Why a thread: each size has a runtime of its own, and none may start within another.
            let outcome = std::thread::spawn(move || scale(&options, &run)).join();
            match outcome {
                Ok(Ok(true)) => return Ok(()),
                Ok(Ok(false)) => std::process::exit(1),
                Ok(Err(failure)) => return Err(failure),
                Err(_) => bail!("the run broke an invariant"),
            }
        }
        _ => {}
    }
    let mut fleet = Fleet::load(&flags.run).unwrap_or_else(|fault| exit_with_faults(&[fault]));
    match &flags.command {
        Command::Up { .. } | Command::Drill { .. } | Command::Relay { .. } | Command::Scale(_) => {}
        Command::Cut { one_way, names } => {
            let places = named_or_end(&fleet, names);
            fleet.cut(&places, *one_way).await?;
        }
        Command::Join => fleet.join().await?,
        Command::Down => down(&fleet).await,
        Command::Status => {
            for hand in &fleet.hands {
                let word = if hand.is_alive() { "lives" } else { "ended" };
                println!(
                    "{word} {:>8} {} {} {}",
                    hand.process, hand.name, hand.zone, hand.serving
                );
            }
        }
        Command::FaultStep { signal, names } => {
            for index in named_or_end(&fleet, names) {
                let hand = &fleet.hands[index];
                let done = hand.signal(*signal);
                println!(
                    "{} {}",
                    hand.name,
                    if done { "done" } else { "was not alive" }
                );
            }
        }
        Command::Start { names } => {
            for index in named_or_end(&fleet, names) {
                let lived = fleet.hands[index].is_alive();
                fleet.start(index)?;
                let word = if lived { "lives" } else { "started" };
                println!("{} {word}", fleet.hands[index].name);
            }
            fleet.save()?;
        }
        Command::Judge { records } => {
            if !judge(&fleet, records)? {
                std::process::exit(1);
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use std::path::PathBuf;

    use crate::fleet::Fleet;
    use crate::judge;

    /// Judges journals and a record written by hand.
    fn judged(name: &str, journals: &[(&str, &str)], record: &str) -> bool {
        let folder =
            std::env::temp_dir().join(format!("caperworks-judge-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        for (instance, lines) in journals {
            std::fs::write(folder.join(format!("{instance}.journal")), lines).expect("a journal");
        }
        let reported = folder.join("told");
        std::fs::write(&reported, record).expect("a record");
        let fleet = Fleet {
            folder: folder.clone(),
            scenario: PathBuf::new(),
            hands: Vec::new(),
        };
        let good = judge(&fleet, &[reported]).expect("it can be judged");
        std::fs::remove_dir_all(&folder).expect("it was there");
        good
    }

    fn ran(request: &str, key_range: &str, from: u32, to: u32) -> String {
        format!("ran {request} POST /x key=k slice={key_range} digest=0 from={from} to={to}\n")
    }

    #[test]
    fn given_a_clean_run_when_judged_then_it_is_good() {
        let lines = ran("a", "1/1", 10, 20) + &ran("b", "1/1", 30, 40);
        let other = ran("c", "1/2", 50, 60);
        let reported = "a served\nb unknown\nc served\nd not-run\n";
        assert!(judged(
            "clean",
            &[("burn-1", &lines), ("burn-2", &other)],
            reported
        ));
    }

    #[test]
    fn given_each_kind_of_harm_when_judged_then_it_is_caught() {
        let once = ran("a", "-", 10, 20);
        let twice = once.clone() + &once;
        assert!(!judged("twice", &[("desk-1", &twice)], "a served\n"));
        assert!(!judged("not-run", &[("desk-1", &once)], "a not-run\n"));
        assert!(!judged(
            "no-run",
            &[("desk-1", &once)],
            "a served\nb served\n"
        ));
        let half = ran(crate::probe::HALF_REQUEST, "-", 10, 20);
        assert!(!judged("half", &[("desk-1", &half)], "a not-run\n"));
        let (one, other) = (ran("a", "3/1", 10, 30), ran("b", "3/2", 20, 40));
        let journals = [("burn-1", one.as_str()), ("burn-2", other.as_str())];
        assert!(!judged("owners", &journals, "a served\nb served\n"));
        assert!(
            !judged("nothing", &[], ""),
            "a run without a record proves nothing"
        );
    }
}
