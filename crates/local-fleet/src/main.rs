//! `local-fleet`: runs a whole fleet on one machine, injects faults, and verifies the records of a run.

mod drill;
mod fit;
mod fleet;
mod flows;
mod http_relay;
mod ports;
#[cfg(test)]
mod ports_tests;
mod probe;
mod relay;
mod scale;
#[cfg(test)]
mod scale_tests;
mod simulated_nodes;
mod verify;
#[cfg(test)]
mod verify_tests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::bail;
use bpaf::{construct, long, positional, OptionParser, Parser};
use hyper::Method;

use crate::drill::Drill;
use crate::fleet::{Fleet, FleetProcess, RelayedTraffic};
use crate::ports::PortBlock;
use crate::scale::options::ScaleOptions;
use crate::scale::scale;
use crate::verify::verify_records;
use runtime::events::start_log;
use runtime::http::{Fetch, Fetched};
use runtime::options::{exit_with_faults, read_flags, OptionsFault};
use runtime::scenario::Scenario;

const HELP: &str =
    "Starts a whole fleet on this machine from a scenario file, injects faults, and \
verifies the recorded requests";

#[derive(Debug, Clone)]
enum Command {
    Up {
        scenario: PathBuf,
        base: Option<u16>,
        relay: bool,
    },
    Down,
    Status,
    Signal {
        signal: i32,
        names: Vec<String>,
    },
    Start {
        names: Vec<String>,
    },
    Verify {
        records: Vec<PathBuf>,
    },
    Cut {
        one_way: bool,
        names: Vec<String>,
    },
    Join,
    Drill {
        base: Option<u16>,
        file: PathBuf,
    },
    Relay {
        serving: SocketAddr,
        pairs: Vec<String>,
        http: Vec<String>,
    },
    Scale {
        base: Option<u16>,
        options: ScaleOptions,
    },
}

/// The first port that `up` tries.
const UP_PORT: u16 = 21_000;
/// The first port that `drill` tries.
const DRILL_PORT: u16 = 23_000;
/// The first port that `scale` tries.
const SCALE_PORT: u16 = 25_000;

#[derive(Debug, Clone)]
struct Flags {
    run: PathBuf,
    command: Command,
}

fn target_names() -> impl Parser<Vec<String>> {
    positional::<String>("NAME")
        .help("A process, a program or a zone")
        .some("give at least one process, program or zone")
}

fn flags() -> OptionParser<Flags> {
    let run = long("run")
        .help("Folder for the files of the fleet")
        .argument::<PathBuf>("FOLDER");
    let scenario = long("scenario")
        .help("Scenario file")
        .argument::<PathBuf>("FILE");
    let base = base_port();
    let relay = long("relay")
        .help("Put a relay in front of the control ports; needed by cut and join")
        .switch();
    let up = construct!(Command::Up {
        scenario,
        base,
        relay
    })
    .to_options()
    .descr("Start a fleet, apply its configuration, and wait until it serves requests")
    .command("up");
    let down = bpaf::pure(Command::Down)
        .to_options()
        .descr("End every process of the fleet")
        .command("down");
    let status = bpaf::pure(Command::Status)
        .to_options()
        .descr("Print which processes are alive")
        .command("status");
    let signal_command = |name: &'static str, text: &'static str, signal: i32| {
        let signal = bpaf::pure(signal);
        let names = target_names();
        construct!(Command::Signal { signal, names })
            .to_options()
            .descr(text)
            .command(name)
    };
    let kill = signal_command("kill", "Kill processes (SIGKILL)", libc::SIGKILL);
    let stop = signal_command(
        "stop",
        "Shut processes down gracefully (SIGTERM)",
        libc::SIGTERM,
    );
    let freeze = signal_command("freeze", "Suspend processes (SIGSTOP)", libc::SIGSTOP);
    let wake = signal_command(
        "wake",
        "Resume suspended processes (SIGCONT)",
        libc::SIGCONT,
    );
    let names = target_names();
    let start = construct!(Command::Start { names })
        .to_options()
        .descr("Restart ended processes with the same addresses and data")
        .command("start");
    let records = positional::<PathBuf>("RECORD")
        .help("Record files written by load-generator")
        .some("give at least one record");
    let judge = construct!(Command::Verify { records })
        .to_options()
        .descr("Verify the clients' records against the journals of the instances")
        .command("judge");
    let one_way = long("one-way")
        .help("Drop only the messages that these processes send")
        .switch();
    let names = target_names();
    let cut = construct!(Command::Cut { one_way, names })
        .to_options()
        .descr("Partition processes from all others (needs up --relay)")
        .command("cut");
    let join = bpaf::pure(Command::Join)
        .to_options()
        .descr("Remove all partitions")
        .command("join");
    let base = base_port();
    let file = positional::<PathBuf>("DRILL").help("Drill file");
    let drill = construct!(Command::Drill { base, file })
        .to_options()
        .descr("Run a drill under load, verify its records, and end the fleet")
        .command("drill");
    let serving = long("serving")
        .help("Address for requests to cut, join and change the HTTP mode")
        .argument::<SocketAddr>("ADDRESS");
    let pairs = long("pair")
        .help("ADVERTISED=LISTENED")
        .argument::<String>("PAIR")
        .many();
    let http = long("http")
        .help("HTTP port to relay, as ADVERTISED=LISTENED")
        .argument::<String>("PAIR")
        .many();
    let relay = construct!(Command::Relay {
        serving,
        pairs,
        http
    })
    .to_options()
    .descr("Run the relay; started by up --relay")
    .command("relay");
    let base = base_port();
    let options = scale_options();
    let scale = construct!(Command::Scale { base, options })
        .to_options()
        .descr("Measure the load of simulated nodes and instances on real control plane processes")
        .command("scale");
    let command = construct!([
        up, down, status, kill, stop, freeze, wake, start, judge, cut, join, drill, relay, scale
    ]);
    construct!(Flags { run, command }).to_options().descr(HELP)
}

fn base_port() -> impl Parser<Option<u16>> {
    long("base-port")
        .help("First of the 1000 ports that the fleet uses; without it a free block is chosen")
        .argument::<u16>("PORT")
        .optional()
}

fn scale_options() -> impl Parser<ScaleOptions> {
    let number = |name: &'static str, help: &'static str, default: u32| {
        long(name)
            .help(help)
            .argument::<u32>("NUMBER")
            .fallback(default)
    };
    let rate = |name: &'static str, help: &'static str, default: f64| {
        long(name)
            .help(help)
            .argument::<f64>("NUMBER")
            .fallback(default)
    };
    let nodes = number(
        "nodes",
        "Simulated agents, each reporting one proxy (24)",
        24,
    );
    let instances = number("instances", "Simulated instances (100)", 100);
    let routes = number("routes", "Routes (100)", 100);
    let services = number("pools", "Services (10)", 10);
    let changes = rate("changes", "Configuration changes per second (1)", 1.0);
    let restarts = rate(
        "restarts",
        "Restarts per minute, alternating between agents and instances (6)",
        6.0,
    );
    let seconds = long("seconds")
        .help("Duration of the measurement (8)")
        .argument::<u64>("NUMBER")
        .fallback(8);
    let zones = number(
        "zones",
        "Zones of the simulated nodes, four to a region (4)",
        4,
    );
    let agents = number("agents", "Real agents, each with a real proxy (3)", 3);
    let directories = number("directories", "Real directories (2)", 2);
    let threads = long("threads")
        .help("Threads for all simulated nodes and instances (2)")
        .argument::<usize>("NUMBER")
        .fallback(2);
    let base = bpaf::pure(SCALE_PORT);
    let json = long("json")
        .help("File for the results, as JSON")
        .argument::<PathBuf>("FILE")
        .optional();
    let sweep = long("sweep")
        .help("Measure four sizes each of nodes, instances, routes and changes, and fit lines")
        .switch();
    let check = long("check")
        .help("Compare two sizes by message counts; exits with 1 if a node's messages grow")
        .switch();
    let lose_zone = long("lose-zone")
        .help("Silence the simulated nodes of one zone for this many seconds during the run (0)")
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

/// How long each step of a fleet's start may take.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Polls a condition every 100 ms until it holds; fails after `timeout`.
pub async fn wait_for(
    what: &str,
    timeout: Duration,
    condition: impl AsyncFn() -> bool,
) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if condition().await {
            println!("{what} after {} ms", start.elapsed().as_millis());
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bail!("timed out after {timeout:?} waiting until {what}; see the logs in the run folder")
}

/// Fetches a path with a timeout of 1 s; returns nothing if the process does not respond.
pub async fn status_of(address: SocketAddr, path: &str) -> Option<Fetched> {
    let timeout = Duration::from_secs(1);
    Fetch::get(address, path).timeout(timeout).send().await.ok()
}

/// Polls a condition as `wait_for` does, and fails as soon as a process of the fleet has ended: what responds then
/// may be a fleet that this process did not start.
async fn wait_for_fleet(
    fleet: &Fleet,
    what: &str,
    condition: impl AsyncFn() -> bool,
) -> anyhow::Result<()> {
    let has_ended = || fleet.check_none_ended().is_err();
    wait_for(what, START_TIMEOUT, async || {
        has_ended() || condition().await
    })
    .await?;
    fleet.check_none_ended()
}

/// Starts a fleet, applies its configuration, and waits until it serves requests.
pub async fn up(
    run: &Path,
    scenario: &Path,
    ports: &PortBlock,
    relayed: RelayedTraffic,
) -> anyhow::Result<()> {
    let scenario = Scenario::read(scenario).unwrap_or_else(|faults| exit_with_faults(&faults));
    std::fs::create_dir_all(run)?;
    let run = run.canonicalize()?;
    if let Ok(old) = Fleet::load(&run) {
        if old.processes.iter().any(FleetProcess::is_alive) {
            bail!("a fleet of this run folder is still running: end it first with `down`");
        }
    }
    let mut fleet = Fleet::plan(&scenario, &run, ports.first);
    if relayed != RelayedTraffic::Nothing {
        fleet.add_relay(ports.first, relayed);
    }
    for index in 0..fleet.processes.len() {
        fleet.start(index)?;
    }
    fleet.save()?;
    println!("{} processes started", fleet.processes.len());
    let controllers = fleet.addresses_of("controller");
    wait_for_fleet(
        &fleet,
        "the controllers return the configuration",
        async || {
            status_of(controllers[0], "/v1/standing")
                .await
                .is_some_and(|fetched| fetched.status == 200)
        },
    )
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
    let proxies = fleet.addresses_of("proxy");
    wait_for_fleet(&fleet, "all proxies are ready", async || {
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
    wait_for_fleet(&fleet, "all instances are registered", async || {
        status_of(controllers[0], "/v1/status")
            .await
            .is_some_and(|fetched| fetched.json()["instances"].len() == instances as usize)
    })
    .await?;
    let directories = fleet.addresses_of("directory");
    wait_for_fleet(&fleet, "the directories are ready", async || {
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
        // Instances start with warm-up and accept only a limited request rate at first.
        wait_for_fleet(&fleet, "requests are served", async || {
            let request = Fetch::get(proxies[0], read.path.clone()).header("host", &read.host);
            request
                .send()
                .await
                .is_ok_and(|fetched| fetched.status == 200)
        })
        .await?;
    }
    let joined = |addresses: &[SocketAddr]| {
        addresses
            .iter()
            .map(SocketAddr::to_string)
            .collect::<Vec<_>>()
            .join(" ")
    };
    println!("controllers     {}", joined(&controllers));
    println!("directories {}", joined(&directories));
    println!("proxies     {}", joined(&proxies));
    Ok(())
}

/// Kills all processes of a fleet and waits up to 5 s until they have exited.
pub async fn down(fleet: &Fleet) {
    for process in &fleet.processes {
        process.signal(libc::SIGCONT);
        process.signal(libc::SIGKILL);
    }
    let start = Instant::now();
    while fleet.processes.iter().any(FleetProcess::is_alive)
        && start.elapsed() < Duration::from_secs(5)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn select_or_exit(fleet: &Fleet, names: &[String]) -> Vec<usize> {
    let mut indices = Vec::new();
    for name in names {
        let found = fleet.select(name);
        if found.is_empty() {
            exit_with_faults(&[OptionsFault {
                file: "command line".to_string(),
                field: name.clone(),
                remedy: "is not a process, program or zone of this fleet: see `local-fleet status`"
                    .to_string(),
            }]);
        }
        indices.extend(found);
    }
    indices
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
                true => RelayedTraffic::Messages,
                false => RelayedTraffic::Nothing,
            };
            let ports = PortBlock::reserve(*base, UP_PORT)?;
            return up(&flags.run, scenario, &ports, relayed).await;
        }
        Command::Drill { base, file } => {
            start_log()?;
            let drill = Drill::read(file).unwrap_or_else(|faults| exit_with_faults(&faults));
            let ports = PortBlock::reserve(*base, DRILL_PORT)?;
            if !drill::run(&flags.run, &drill, &ports).await? {
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
        Command::Scale { base, options } => {
            let ports = PortBlock::reserve(*base, SCALE_PORT)?;
            let options = ScaleOptions {
                base: ports.first,
                ..options.clone()
            };
            let run = flags.run.clone();
            // A separate thread is needed because each size starts its own runtime, and a runtime must not
            // be started within another.
            let outcome = std::thread::spawn(move || scale(&options, &run)).join();
            match outcome {
                Ok(Ok(true)) => return Ok(()),
                Ok(Ok(false)) => std::process::exit(1),
                Ok(Err(failure)) => return Err(failure),
                Err(_) => bail!("the scale run panicked"),
            }
        }
        _ => {}
    }
    let mut fleet = Fleet::load(&flags.run).unwrap_or_else(|fault| exit_with_faults(&[fault]));
    match &flags.command {
        Command::Up { .. }
        | Command::Drill { .. }
        | Command::Relay { .. }
        | Command::Scale { .. } => {}
        Command::Cut { one_way, names } => {
            let indices = select_or_exit(&fleet, names);
            fleet.partition(&indices, *one_way).await?;
        }
        Command::Join => fleet.heal().await?,
        Command::Down => down(&fleet).await,
        Command::Status => {
            for process in &fleet.processes {
                let state = if process.is_alive() { "lives" } else { "ended" };
                println!(
                    "{state} {:>8} {} {} {}",
                    process.pid, process.name, process.zone, process.serving
                );
            }
        }
        Command::Signal { signal, names } => {
            for index in select_or_exit(&fleet, names) {
                let process = &fleet.processes[index];
                let done = process.signal(*signal);
                println!(
                    "{} {}",
                    process.name,
                    if done { "done" } else { "was not alive" }
                );
            }
        }
        Command::Start { names } => {
            for index in select_or_exit(&fleet, names) {
                let was_alive = fleet.processes[index].is_alive();
                fleet.start(index)?;
                let state = if was_alive { "lives" } else { "started" };
                println!("{} {state}", fleet.processes[index].name);
            }
            fleet.save()?;
        }
        Command::Verify { records } => {
            if !verify_records(&fleet, records)? {
                std::process::exit(1);
            }
        }
    }
    Ok(())
}
