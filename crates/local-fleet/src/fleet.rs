//! A fleet of real processes on one machine. The processes are recorded in `fleet.json`, so that later
//! commands can find and signal them by process id.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context as AnyhowContext};
use jzon::JsonValue;

use runtime::http::Fetch;
use runtime::options::{read_json_file, OptionsFault};
use runtime::scenario::Scenario;

/// One process of the fleet and how it is started.
#[derive(Debug, Clone)]
pub struct FleetProcess {
    pub name: String,
    pub program: String,
    pub arguments: Vec<String>,
    pub zone: String,
    pub serving: SocketAddr,
    /// Address of the relay in front of the control port, if there is one.
    pub advertise: Option<SocketAddr>,
    /// Address of the relay in front of the HTTP port, if there is one.
    pub http: Option<SocketAddr>,
    /// Process id; 0 if the process was never started.
    pub pid: i32,
}

/// All processes of a fleet, with its run folder and scenario file.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub folder: PathBuf,
    pub scenario: PathBuf,
    pub processes: Vec<FleetProcess>,
}

/// The traffic that passes through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayedTraffic {
    Nothing,
    /// Control messages between the fleet's processes.
    Messages,
    /// Control messages, and HTTP requests to instances and agents.
    MessagesAndHttp,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl FleetProcess {
    /// Returns whether the process is alive and still the one that was started: its command line is
    /// compared, since the process id may have been reused.
    pub fn is_alive(&self) -> bool {
        let Ok(command_line) = std::fs::read(format!("/proc/{}/cmdline", self.pid)) else {
            return false;
        };
        let state = std::fs::read_to_string(format!("/proc/{}/stat", self.pid));
        let is_zombie = state.is_ok_and(|stat| stat.contains(") Z "));
        let command_line = String::from_utf8_lossy(&command_line);
        let mut parts = command_line.split('\0');
        !is_zombie
            && parts
                .next()
                .is_some_and(|first| first.ends_with(&format!("/{}", self.program)))
            && parts.eq(self.arguments.iter().map(String::as_str).chain([""]))
    }

    /// Returns whether the process has ended. One that is just being started has no command line for a moment,
    /// so it is neither alive nor ended.
    pub fn has_ended(&self) -> bool {
        let command_line = std::fs::read(format!("/proc/{}/cmdline", self.pid));
        let state = std::fs::read_to_string(format!("/proc/{}/stat", self.pid));
        let is_starting = command_line.is_ok_and(|command_line| command_line.is_empty())
            && state.is_ok_and(|stat| !stat.contains(") Z "));
        !is_starting && !self.is_alive()
    }

    /// Sends a signal, but only if the process id still belongs to this process; returns whether it was
    /// sent.
    pub fn signal(&self, signal: i32) -> bool {
        // SAFETY: the call takes two numbers and touches no memory.
        self.is_alive() && unsafe { libc::kill(self.pid, signal) } == 0
    }

    /// Makes every file write of the process fail, or permits writes again, through `RLIMIT_FSIZE`.
    pub fn limit_writes(&self, refuses: bool) -> bool {
        let max_file_size = if refuses { 0 } else { libc::RLIM_INFINITY };
        let limit = libc::rlimit {
            rlim_cur: max_file_size,
            rlim_max: libc::RLIM_INFINITY,
        };
        // SAFETY: the call reads one struct that lives until the call returns.
        self.is_alive()
            && unsafe { libc::prlimit(self.pid, libc::RLIMIT_FSIZE, &limit, std::ptr::null_mut()) }
                == 0
    }
}

impl Fleet {
    /// Returns the data folder of a controller.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(&self.processes[index].name)
    }

    /// Fails if a process of the fleet has ended.
    pub fn check_none_ended(&self) -> anyhow::Result<()> {
        let ended = self.processes.iter().find(|process| process.has_ended());
        if let Some(ended) = ended {
            let log = self.folder.join(format!("{}.log", ended.name));
            bail!("{} has ended: see {}", ended.name, log.display());
        }
        Ok(())
    }

    /// Kills a process and waits up to 5 s until it has exited.
    pub async fn kill_and_wait(&self, index: usize) {
        let process = &self.processes[index];
        process.signal(libc::SIGKILL);
        let start = Instant::now();
        while process.is_alive() && start.elapsed() < Duration::from_secs(5) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Lays out the processes of a scenario, with ports from `base` up; starts nothing.
    pub fn plan(scenario: &Scenario, folder: &Path, base: u16) -> Self {
        let mut next = base;
        let mut port = || {
            next += 1;
            next
        };
        let controllers: Vec<(u16, u16, &String)> = scenario
            .controllers
            .iter()
            .map(|zone| (port(), port(), zone))
            .collect();
        let seeds: Vec<String> = controllers
            .iter()
            .take(3)
            .flat_map(|(control, _, _)| ["--seed".to_string(), loopback(*control).to_string()])
            .collect();
        let common_arguments = |control: u16, serving: u16, zone: &str| -> Vec<String> {
            let mut arguments = vec![
                "--control".to_string(),
                loopback(control).to_string(),
                "--serving".to_string(),
                loopback(serving).to_string(),
                "--area".to_string(),
                zone.to_string(),
            ];
            arguments.extend(seeds.iter().cloned());
            arguments
        };
        let mut processes = Vec::new();
        let mut add = |name: String, program: &str, zone: &str, serving: u16, arguments| {
            processes.push(FleetProcess {
                name,
                program: program.to_string(),
                arguments,
                zone: zone.to_string(),
                serving: loopback(serving),
                advertise: None,
                http: None,
                pid: 0,
            });
        };
        for (node_index, (control, serving, zone)) in controllers.iter().enumerate() {
            let name = format!("controller-{}", node_index + 1);
            let mut arguments = common_arguments(*control, *serving, zone);
            arguments.push("--data".to_string());
            arguments.push(folder.join(&name).display().to_string());
            add(name, "controller", zone, *serving, arguments);
        }
        let mut agents = Vec::new();
        for (zone, _) in &scenario.zones {
            for number in 1..=scenario.proxies_per_zone {
                let (control, serving) = (port(), port());
                agents.push(("--agent".to_string(), loopback(serving).to_string()));
                let name = format!("agent-{zone}-{number}");
                add(
                    name,
                    "agent",
                    zone,
                    serving,
                    common_arguments(control, serving, zone),
                );
                let (own_control, own_serving) = (port(), port());
                let name = format!("proxy-{zone}-{number}");
                let options = folder.join(format!("{name}.json"));
                let json = jzon::object! {
                    control: loopback(own_control).to_string(),
                    serving: loopback(own_serving).to_string(),
                    area: zone.as_str(),
                    agent: loopback(control).to_string(),
                    capacity: scenario.proxy_capacity,
                };
                // A write error is ignored: the proxy reports the missing file when it starts.
                let _ = std::fs::write(&options, json.pretty(2));
                let arguments = vec!["--options".to_string(), options.display().to_string()];
                add(name, "proxy", zone, own_serving, arguments);
            }
        }
        for (number, zone) in scenario.directories.iter().enumerate() {
            let (control, serving) = (port(), port());
            let name = format!("directory-{}", number + 1);
            add(
                name,
                "directory",
                zone,
                serving,
                common_arguments(control, serving, zone),
            );
        }
        for service in &scenario.services {
            for number in 0..service.instances {
                let zone = &scenario.zones[number as usize % scenario.zones.len()].0;
                let serving = port();
                let name = format!("{}-{}", service.name, number + 1);
                let mut arguments: Vec<String> =
                    ["--id", &name, "--pool", &service.name, "--area", zone]
                        .map(str::to_string)
                        .to_vec();
                arguments.extend(["--serving".to_string(), loopback(serving).to_string()]);
                arguments.extend(["--capacity".to_string(), service.capacity.to_string()]);
                arguments.extend(["--work-ms".to_string(), service.work_ms.to_string()]);
                let journal = folder.join(format!("{name}.journal"));
                arguments.extend(["--journal".to_string(), journal.display().to_string()]);
                // Each instance knows four agents, not all.
                for turn in 0..4 {
                    let (flag, agent) = &agents[(number as usize + turn * 3) % agents.len()];
                    arguments.extend([flag.clone(), agent.clone()]);
                }
                add(name, "test-instance", zone, serving, arguments);
            }
        }
        Self {
            folder: folder.to_path_buf(),
            scenario: scenario.file.clone(),
            processes,
        }
    }

    /// Adds a relay process in front of every control port that other processes connect to, and points
    /// the seed arguments to the relay's addresses.
    pub fn add_relay(&mut self, base: u16, relayed: RelayedTraffic) {
        let mut next = base + 500;
        let mut relay_addresses: BTreeMap<String, String> = BTreeMap::new();
        let mut pairs = Vec::new();
        for process in &mut self.processes {
            if !["controller", "agent", "directory"].contains(&process.program.as_str()) {
                continue;
            }
            // The first two arguments are --control and its address.
            let control = process.arguments[1].clone();
            next += 1;
            let advertise = loopback(next);
            process.advertise = Some(advertise);
            process
                .arguments
                .extend(["--advertise".to_string(), advertise.to_string()]);
            pairs.extend(["--pair".to_string(), format!("{advertise}={control}")]);
            relay_addresses.insert(control, advertise.to_string());
        }
        for process in &mut self.processes {
            let mut follows_seed_flag = false;
            for argument in &mut process.arguments {
                if follows_seed_flag {
                    if let Some(advertised) = relay_addresses.get(argument) {
                        argument.clone_from(advertised);
                    }
                }
                follows_seed_flag = argument == "--seed";
            }
        }
        if relayed == RelayedTraffic::MessagesAndHttp {
            pairs.extend(self.add_http_relay(&mut next));
        }
        let serving = loopback(base + 500);
        let mut arguments = vec![
            "--run".to_string(),
            self.folder.display().to_string(),
            "relay".to_string(),
            "--serving".to_string(),
            serving.to_string(),
        ];
        arguments.extend(pairs);
        let relay = FleetProcess {
            name: "relay".to_string(),
            program: "local-fleet".to_string(),
            arguments,
            zone: String::new(),
            serving,
            advertise: None,
            http: None,
            pid: 0,
        };
        // The relay is started first, because all other processes connect through it.
        self.processes.insert(0, relay);
    }

    /// Adds relay addresses in front of the HTTP ports of instances and agents; returns the relay's
    /// arguments for them.
    fn add_http_relay(&mut self, next: &mut u16) -> Vec<String> {
        let mut pairs = Vec::new();
        let mut agents: BTreeMap<String, String> = BTreeMap::new();
        for process in &mut self.processes {
            if !["test-instance", "agent"].contains(&process.program.as_str()) {
                continue;
            }
            *next += 1;
            let advertise = loopback(*next);
            process.http = Some(advertise);
            pairs.extend([
                "--http".to_string(),
                format!("{advertise}={}", process.serving),
            ]);
            if process.program == "agent" {
                agents.insert(process.serving.to_string(), advertise.to_string());
            } else {
                let advertise = ["--advertise".to_string(), advertise.to_string()];
                process.arguments.extend(advertise);
            }
        }
        for process in &mut self.processes {
            if process.program == "test-instance" {
                for argument in &mut process.arguments {
                    if let Some(advertised) = agents.get(argument) {
                        argument.clone_from(advertised);
                    }
                }
            }
        }
        pairs
    }

    /// Sets the mode of the HTTP relay for these processes.
    pub async fn set_http_mode(
        &self,
        indices: &[usize],
        mode: &str,
        late: Duration,
    ) -> anyhow::Result<()> {
        let addresses: Vec<String> = indices
            .iter()
            .filter_map(|index| self.processes[*index].http)
            .map(|address| address.to_string())
            .collect();
        let late = late.as_millis() as u64;
        let body = jzon::object! { at: addresses, mode: mode, late_ms: late };
        self.post_to_relay("/http", body).await
    }

    async fn post_to_relay(&self, path: &str, body: JsonValue) -> anyhow::Result<()> {
        let relay = self
            .processes
            .iter()
            .find(|process| process.name == "relay")
            .context("this fleet has no relay: start it with `up --relay`")?;
        Fetch::post(relay.serving, path, body.dump()).send().await?;
        Ok(())
    }

    /// Partitions these processes from all others; if `one_way`, only the messages that they send are
    /// dropped.
    pub async fn partition(&self, indices: &[usize], one_way: bool) -> anyhow::Result<()> {
        let addresses_on_side = |inside: bool| -> Vec<String> {
            (0..self.processes.len())
                .filter(|index| indices.contains(index) == inside)
                .filter_map(|index| self.processes[index].advertise)
                .map(|address| address.to_string())
                .collect()
        };
        let (inside, outside) = (addresses_on_side(true), addresses_on_side(false));
        let direction = jzon::object! { from: inside.clone(), to: outside.clone() };
        self.post_to_relay("/cut", direction).await?;
        if !one_way {
            let direction = jzon::object! { from: outside, to: inside };
            self.post_to_relay("/cut", direction).await?;
        }
        Ok(())
    }

    /// Removes all partitions and resets all HTTP modes.
    pub async fn heal(&self) -> anyhow::Result<()> {
        self.post_to_relay("/join", JsonValue::new_object()).await
    }

    fn file_in(folder: &Path) -> PathBuf {
        folder.join("fleet.json")
    }

    /// Writes `fleet.json`.
    pub fn save(&self) -> anyhow::Result<()> {
        let processes: Vec<JsonValue> = self
            .processes
            .iter()
            .map(|process| {
                jzon::object! {
                    name: process.name.as_str(),
                    program: process.program.as_str(),
                    arguments: process.arguments.clone(),
                    area: process.zone.as_str(),
                    serving: process.serving.to_string(),
                    advertise: process.advertise.map(|address| address.to_string()),
                    http: process.http.map(|address| address.to_string()),
                    process: process.pid,
                }
            })
            .collect();
        let json = jzon::object! {
            scenario: self.scenario.display().to_string(),
            hands: processes,
        };
        std::fs::write(Self::file_in(&self.folder), json.pretty(2))?;
        Ok(())
    }

    /// Reads `fleet.json` from a run folder.
    pub fn load(folder: &Path) -> Result<Self, OptionsFault> {
        let path = Self::file_in(folder);
        let value = read_json_file(&path)?;
        let processes = value["hands"]
            .members()
            .filter_map(|process| {
                Some(FleetProcess {
                    name: process["name"].as_str()?.to_string(),
                    program: process["program"].as_str()?.to_string(),
                    arguments: process["arguments"]
                        .members()
                        .filter_map(|argument| Some(argument.as_str()?.to_string()))
                        .collect(),
                    zone: process["area"].as_str()?.to_string(),
                    serving: process["serving"].as_str()?.parse().ok()?,
                    advertise: process["advertise"]
                        .as_str()
                        .and_then(|address| address.parse().ok()),
                    http: process["http"]
                        .as_str()
                        .and_then(|address| address.parse().ok()),
                    pid: process["process"].as_i32()?,
                })
            })
            .collect();
        Ok(Self {
            folder: folder.to_path_buf(),
            scenario: PathBuf::from(value["scenario"].as_str().unwrap_or_default()),
            processes,
        })
    }

    /// Returns the indices of the processes that a name selects: one process, all of a program, or all of a
    /// zone.
    pub fn select(&self, name: &str) -> Vec<usize> {
        (0..self.processes.len())
            .filter(|index| {
                let process = &self.processes[*index];
                process.name == name || process.program == name || process.zone == name
            })
            .collect()
    }

    /// Starts a process unless it is alive; its standard error is appended to a log file in the run
    /// folder.
    pub fn start(&mut self, index: usize) -> anyhow::Result<()> {
        let folder = self.folder.clone();
        let process = &mut self.processes[index];
        if process.is_alive() {
            return Ok(());
        }
        let programs = std::env::current_exe()?
            .parent()
            .context("the path of this executable has no parent folder")?
            .to_path_buf();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", process.name)))?;
        let child = Command::new(programs.join(&process.program))
            .args(&process.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", process.program))?;
        process.pid = child.id() as i32;
        Ok(())
    }

    /// Returns the serving addresses of all processes of a program.
    pub fn addresses_of(&self, program: &str) -> Vec<SocketAddr> {
        self.processes
            .iter()
            .filter(|process| process.program == program)
            .map(|process| process.serving)
            .collect()
    }
}
