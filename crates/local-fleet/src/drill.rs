//! Drills: fault schedules run against a real fleet under load. At the end, the records of the clients
//! and the instances are verified.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{anyhow, Context as AnyhowContext};
use jzon::JsonValue;

use crate::fleet::{Fleet, FleetProcess, RelayedTraffic};
use crate::http_relay::HttpMode;
use crate::ports::PortBlock;
use crate::verify::verify_records;
use crate::{down, status_of, up, wait_for};
use runtime::events::{event, RUN_FAILED, RUN_STEP};
use runtime::http::Fetch;
use runtime::locks::locked;
use runtime::options::{read_json_file, OptionsFault};
use runtime::scenario::Scenario;

/// A fault, or the end of one.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Signal(i32),
    Start,
    /// Partitions the targets from all other processes.
    Cut {
        one_way: bool,
    },
    /// Removes all partitions and resets all HTTP modes.
    Join,
    /// Sets the mode of the HTTP relay for the targets.
    Http {
        mode: String,
        late: Duration,
    },
    /// Makes every disk write of a running controller fail, or permits writes again.
    Disk {
        refuses: bool,
    },
    /// Kills the targets and removes their data folders.
    LoseDisk,
    /// Kills the targets and corrupts bytes in their data folders.
    DamageDisk,
    /// Injects a fault into the next `count` requests of test instances.
    Ail {
        kind: String,
        count: u32,
    },
    /// Opens or closes a zone in the configuration.
    Zone {
        closed: bool,
    },
}

/// One scheduled fault of a drill.
#[derive(Debug, Clone, PartialEq)]
pub struct DrillStep {
    pub at: Duration,
    pub act: Act,
    pub targets: Vec<String>,
}

/// A validated drill file.
#[derive(Debug, Clone)]
pub struct Drill {
    pub scenario: PathBuf,
    pub seconds: u64,
    /// Load as a percentage of the scenario's traffic.
    pub percent: u32,
    /// Minimum percentage of requests that must be served.
    pub served_at_least: u64,
    pub steps: Vec<DrillStep>,
    /// Whether the usage counted by the agents must equal the requests served according to the clients:
    /// set for drills without faults, in which no report is lost.
    pub usage_agrees: bool,
}

fn read_act(step: &JsonValue) -> Option<Act> {
    Some(match step["act"].as_str()? {
        "kill" => Act::Signal(libc::SIGKILL),
        "stop" => Act::Signal(libc::SIGTERM),
        "freeze" => Act::Signal(libc::SIGSTOP),
        "wake" => Act::Signal(libc::SIGCONT),
        "start" => Act::Start,
        "cut" => Act::Cut { one_way: false },
        "cut-one-way" => Act::Cut { one_way: true },
        "join" => Act::Join,
        "http" => {
            let mode = step["mode"].as_str()?.to_string();
            let late = Duration::from_millis(step["late_ms"].as_u64().unwrap_or(0));
            HttpMode::read(&mode, late)?;
            Act::Http { mode, late }
        }
        "refuse-disk" => Act::Disk { refuses: true },
        "mend-disk" => Act::Disk { refuses: false },
        "lose-disk" => Act::LoseDisk,
        "damage-disk" => Act::DamageDisk,
        "ail" => Act::Ail {
            kind: step["kind"].as_str()?.to_string(),
            count: step["count"].as_u32().unwrap_or(1),
        },
        "close-area" => Act::Zone { closed: true },
        "open-area" => Act::Zone { closed: false },
        _ => return None,
    })
}

impl Drill {
    /// Reads a drill file and validates it against its scenario.
    pub fn read(path: &Path) -> Result<Self, Vec<OptionsFault>> {
        let value = read_json_file(path).map_err(|fault| vec![fault])?;
        let mut faults = Vec::new();
        let mut fault = |field: String, remedy: String| {
            let file = path.display().to_string();
            faults.push(OptionsFault {
                file,
                field,
                remedy,
            });
        };
        let known = [
            "why",
            "scenario",
            "seconds",
            "percent",
            "served_at_least",
            "steps",
            "usage_agrees",
        ];
        for (name, _) in value.entries() {
            if !known.contains(&name) {
                fault(
                    name.to_string(),
                    "is an unknown field: remove it".to_string(),
                );
            }
        }
        let folder = path.parent().unwrap_or(Path::new("."));
        let scenario = folder.join(value["scenario"].as_str().unwrap_or_default());
        let processes: Vec<FleetProcess> = match Scenario::read(&scenario) {
            Ok(scenario) => Fleet::plan(&scenario, Path::new("/nowhere"), 1).processes,
            Err(more) => {
                faults.extend(more);
                return Err(faults);
            }
        };
        let mut steps = Vec::new();
        for (index, step) in value["steps"].members().enumerate() {
            let targets: Vec<String> = step["targets"]
                .members()
                .map(|name| name.as_str().unwrap_or_default().to_string())
                .collect();
            for name in &targets {
                let found = processes
                    .iter()
                    .any(|proc| proc.name == *name || proc.program == *name || proc.zone == *name);
                if !found {
                    let remedy =
                        format!("the scenario has no process, program or zone named {name}");
                    fault(format!("steps[{index}].targets"), remedy);
                }
            }
            match (step["at_ms"].as_u64(), read_act(step)) {
                (Some(at), Some(act)) => steps.push(DrillStep {
                    at: Duration::from_millis(at),
                    act,
                    targets,
                }),
                _ => fault(
                    format!("steps[{index}].act"),
                    "needs at_ms and one of the acts kill, stop, freeze, wake, start, cut, \
                     cut-one-way, join, http, refuse-disk, mend-disk, lose-disk, damage-disk, ail, \
                     close-area or open-area"
                        .to_string(),
                ),
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            scenario,
            seconds: value["seconds"].as_u64().unwrap_or(30),
            percent: value["percent"].as_u32().unwrap_or(100),
            served_at_least: value["served_at_least"].as_u64().unwrap_or(50),
            steps,
            usage_agrees: value["usage_agrees"].as_bool().unwrap_or(false),
        })
    }
}

/// Minimum average request rate of a drill. A run with fewer requests does not show anything.
const MIN_REQUESTS_PER_SECOND: u64 = 10;

/// Results of the configuration changes posted during a drill.
#[derive(Default)]
struct Changes {
    /// Configuration version and change number of each accepted change.
    accepted: Vec<(u64, u64)>,
    /// Number of changes whose outcome is unknown.
    unknown: u64,
}

/// Returns the configuration version of the first controller that responds; 0 if none does.
async fn configuration_version(controllers: &[SocketAddr]) -> u64 {
    for controller in controllers {
        let Ok(fetched) = Fetch::get(*controller, "/v1/standing").send().await else {
            continue;
        };
        if let Some(version) = fetched.json()["edition"].as_u64() {
            return version;
        }
    }
    0
}

/// Changes the deadline of one route every 300 ms, at one controller after the other.
async fn post_changes(
    controllers: Vec<SocketAddr>,
    service: String,
    stop: Arc<AtomicBool>,
    changes: Arc<Mutex<Changes>>,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let controller = controllers[(number % controllers.len() as u64) as usize];
        let route = jzon::object! {
            host: "drill.example", path: "/", pool: service.as_str(), deadline_ms: 1000 + number,
        };
        let put = jzon::object! { kind: "rule", name: "drill", rule: route };
        let read = locked(&changes).accepted.last().map_or(0, |last| last.0);
        let change = jzon::object! { id: format!("drill-{number}"), edition: read, put: [put] };
        let sent = Fetch::post(controller, "/v1/standing", change.dump())
            .timeout(Duration::from_secs(4))
            .send()
            .await;
        match sent {
            Ok(fetched) if fetched.status == 200 => {
                let version = fetched.json()["edition"].as_u64().unwrap_or(0);
                locked(&changes).accepted.push((version, number));
            }
            Ok(fetched) if fetched.status == 400 => {
                event(
                    RUN_FAILED,
                    format!(
                        "a controller rejected a change of the drill as invalid: {}",
                        fetched.json()
                    ),
                );
            }
            Ok(fetched) if fetched.json()["outcome"] == "refused" => {}
            _ => locked(&changes).unknown += 1,
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Checks that every controller that responds returns the last accepted change, or a later one whose
/// response was lost.
async fn last_change_is_readable(controllers: &[SocketAddr], changes: &Changes) -> bool {
    let Some((version, number)) = changes.accepted.iter().max().copied() else {
        return false;
    };
    let mut confirmed = 0;
    for controller in controllers {
        let fetch = Fetch::get(*controller, "/v1/standing/rule/drill")
            .send()
            .await;
        let Ok(fetched) = fetch else {
            continue;
        };
        if fetched.status != 200 {
            continue;
        }
        let json = fetched.json();
        let found = json["edition"].as_u64().unwrap_or(0);
        let value = json["rule"]["deadline_ms"].as_u64().unwrap_or(0);
        let same = found == version && value == 1000 + number;
        if !same && (found <= version || changes.unknown == 0) {
            println!(
                "{controller} returned {value} at version {found}, expected {} at {version}",
                1000 + number
            );
            return false;
        }
        confirmed += 1;
    }
    confirmed > 0
}

/// Corrupts bytes in each file of a controller's data folder.
fn corrupt_data(data: &Path) -> anyhow::Result<()> {
    for name in ["slot-1", "slot-2", "log"] {
        let path = data.join(name);
        let mut bytes = std::fs::read(&path)?;
        // The contents are at the start of a file; the rest is preallocated space.
        for index in (24..bytes.len().min(600)).step_by(48) {
            bytes[index] ^= 0x55;
        }
        std::fs::write(&path, bytes)?;
    }
    Ok(())
}

/// Executes one step of a drill.
async fn execute_step(fleet: &mut Fleet, step: &DrillStep) -> anyhow::Result<()> {
    let indices: Vec<usize> = step
        .targets
        .iter()
        .flat_map(|name| fleet.select(name))
        .collect();
    match &step.act {
        Act::Signal(signal) => {
            for index in indices {
                fleet.processes[index].signal(*signal);
            }
        }
        Act::Start => {
            for index in indices {
                fleet.start(index)?;
            }
            fleet.save()?;
        }
        Act::Cut { one_way } => fleet.partition(&indices, *one_way).await?,
        Act::Join => fleet.heal().await?,
        Act::Http { mode, late } => fleet.set_http_mode(&indices, mode, *late).await?,
        Act::Disk { refuses } => {
            for index in indices {
                fleet.processes[index].limit_writes(*refuses);
            }
        }
        Act::LoseDisk => {
            for index in indices {
                fleet.kill_and_wait(index).await;
                std::fs::remove_dir_all(fleet.data_folder(index))?;
            }
        }
        Act::DamageDisk => {
            for index in indices {
                fleet.kill_and_wait(index).await;
                corrupt_data(&fleet.data_folder(index))?;
            }
        }
        Act::Ail { kind, count } => {
            for index in indices {
                let body = jzon::object! { kind: kind.as_str(), count: *count }.dump();
                let to = fleet.processes[index].serving;
                // Errors are ignored: the instance may be down.
                let _ = Fetch::post(to, "/understudy/ail", body).send().await;
            }
        }
        Act::Zone { closed } => {
            let scenario =
                Scenario::read(&fleet.scenario).map_err(|faults| anyhow!("{faults:?}"))?;
            for (zone, region) in &scenario.zones {
                if !step.targets.contains(zone) {
                    continue;
                }
                let request = jzon::object! { region: region.as_str(), closed: *closed };
                let put = jzon::object! { kind: "area", name: zone.as_str(), area: request };
                let id = format!("turn-{zone}-{closed}-{}", step.at.as_millis());
                let read = configuration_version(&fleet.addresses_of("controller")).await;
                let change = jzon::object! { id: id, edition: read, put: [put] }.dump();
                for controller in fleet.addresses_of("controller") {
                    let sent = Fetch::post(controller, "/v1/standing", change.clone())
                        .send()
                        .await;
                    if sent.is_ok_and(|fetched| fetched.status == 200) {
                        break;
                    }
                }
            }
        }
    }
    Ok(())
}

/// Probes a ready proxy, with up to 15 attempts, and returns the faults of the last attempt.
///
/// After a fault a key range may have no owner for some seconds, and requests for it are then correctly
/// rejected. A real fault persists over the attempts.
async fn probe_with_retries(fleet: &Fleet, scenario: &Scenario) -> Vec<String> {
    let mut faults = vec!["no proxy became ready for the probes".to_string()];
    for _ in 0..15 {
        for proxy in fleet.addresses_of("proxy") {
            let ready = status_of(proxy, "/caperworks/ready").await;
            if ready.is_some_and(|fetched| fetched.status == 200) {
                faults = crate::probe::probe(proxy, scenario, &fleet.addresses_of("test-instance"))
                    .await;
                break;
            }
        }
        if faults.is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    faults
}

/// Returns the number of served requests that all agents report together.
async fn served_by_agents(fleet: &Fleet) -> u64 {
    let mut served = 0;
    for agent in fleet.addresses_of("agent") {
        if let Some(fetched) = status_of(agent, "/usage").await {
            let json = fetched.json();
            let lines = json["lines"].members();
            served += lines
                .filter_map(|line| line["served"].as_u64())
                .sum::<u64>();
        }
    }
    served
}

/// Runs a drill and returns whether it passed. Ends all processes of the fleet, also after an error.
pub async fn run(run: &Path, drill: &Drill, ports: &PortBlock) -> anyhow::Result<bool> {
    let outcome = run_on_new_fleet(run, drill, ports).await;
    if let (Err(_), Ok(fleet)) = (&outcome, Fleet::load(run)) {
        down(&fleet).await;
    }
    outcome
}

/// Starts a fleet, runs the drill on it, and verifies the records.
async fn run_on_new_fleet(run: &Path, drill: &Drill, ports: &PortBlock) -> anyhow::Result<bool> {
    let http = drill
        .steps
        .iter()
        .any(|step| matches!(step.act, Act::Http { .. }));
    let relayed = match http {
        true => RelayedTraffic::MessagesAndHttp,
        false => RelayedTraffic::Messages,
    };
    up(run, &drill.scenario, ports, relayed).await?;
    let run = run.canonicalize()?;
    let mut fleet = Fleet::load(&run).map_err(|fault| anyhow!("{fault}"))?;
    let mut before = 0;
    if drill.usage_agrees {
        // Waits until the count is stable: the requests sent while starting the fleet are counted too,
        // and proxies report to their agents with a delay.
        let mut last = 0;
        while before == 0 || last != before {
            last = before;
            tokio::time::sleep(Duration::from_millis(500)).await;
            before = served_by_agents(&fleet).await;
        }
    }
    let record = run.join("told");
    // Removes the record of an earlier run in the same folder.
    let _ = std::fs::remove_file(&record);
    let programs = std::env::current_exe()?
        .parent()
        .context("the path of this executable has no parent folder")?
        .to_path_buf();
    let mut load_command = std::process::Command::new(programs.join("load-generator"));
    for directory in fleet.addresses_of("directory") {
        load_command.args(["--directory", &directory.to_string()]);
    }
    load_command.arg("--scenario").arg(&drill.scenario);
    load_command.args(["--seconds", &drill.seconds.to_string()]);
    load_command.args(["--percent", &drill.percent.to_string()]);
    load_command.arg("--record").arg(&record);
    let mut load_generator = load_command
        .stdout(std::fs::File::create(run.join("callers.json"))?)
        .spawn()
        .context("cannot start load-generator")?;
    let stop = Arc::new(AtomicBool::new(false));
    let changes: Arc<Mutex<Changes>> = Arc::default();
    let controllers = fleet.addresses_of("controller");
    let scenario = Scenario::read(&drill.scenario).map_err(|faults| anyhow!("{faults:?}"))?;
    let change_task = tokio::spawn(post_changes(
        controllers.clone(),
        scenario.services[0].name.clone(),
        stop.clone(),
        changes.clone(),
    ));
    let start = Instant::now();
    for step in &drill.steps {
        tokio::time::sleep(step.at.saturating_sub(start.elapsed())).await;
        event(
            RUN_STEP,
            format!("{:?} {}", step.act, step.targets.join(" ")),
        );
        execute_step(&mut fleet, step).await?;
    }
    while load_generator.try_wait()?.is_none() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    stop.store(true, Ordering::SeqCst);
    change_task.await?;
    wait_for(
        "the controllers return the configuration",
        Duration::from_secs(30),
        async || {
            for controller in &controllers {
                let read = status_of(*controller, "/v1/standing").await;
                if read.is_none_or(|fetched| fetched.status != 200) {
                    return false;
                }
            }
            true
        },
    )
    .await?;
    let summary = jzon::parse(&std::fs::read_to_string(run.join("callers.json"))?)?;
    let sent = summary["sent"].as_u64().unwrap_or(0);
    let served = summary["served"].as_u64().unwrap_or(0);
    if drill.usage_agrees {
        // Compared before the probes, which are counted as requests but are in no client's record.
        let what = "the usage of the agents equals the requests served to the clients";
        wait_for(what, Duration::from_secs(10), async || {
            served_by_agents(&fleet).await == before + served
        })
        .await?;
    }
    let probe_faults = probe_with_retries(&fleet, &scenario).await;
    for fault in &probe_faults {
        event(RUN_FAILED, fault);
    }
    let change_kept = {
        let changes = std::mem::take(&mut *locked(&changes));
        println!(
            "changes accepted {}, unknown {}",
            changes.accepted.len(),
            changes.unknown
        );
        last_change_is_readable(&controllers, &changes).await
    };
    let wrong_responses: u64 = summary["kinds"]
        .members()
        .filter_map(|kind| kind["wrong"].as_u64())
        .sum();
    println!(
        "served {served} of {sent}, wrong {wrong_responses}, changes read back: {change_kept}"
    );
    let enough_sent = sent >= drill.seconds * MIN_REQUESTS_PER_SECOND;
    if !enough_sent {
        event(RUN_FAILED, format!("only {sent} requests were sent"));
    }
    let records_valid = verify_records(&fleet, &[record])? && enough_sent;
    down(&fleet).await;
    let enough_served = sent > 0 && served * 100 >= sent * drill.served_at_least;
    let passed = records_valid
        && probe_faults.is_empty()
        && change_kept
        && enough_served
        && wrong_responses == 0;
    event(
        if passed { RUN_STEP } else { RUN_FAILED },
        format!("drill good: {passed}"),
    );
    Ok(passed)
}
