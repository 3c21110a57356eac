//! What a scale run is made of, and whether it fits this machine.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as AnyhowContext;
use jzon::JsonValue;

use crate::hollow::{route_name, service_name};
use caperworks::configuration::MAX_CONFIGURATION_ITEMS;
use runtime::options::OptionsFault;
use runtime::scenario::Scenario;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    pub nodes: u32,
    pub instances: u32,
    pub routes: u32,
    pub services: u32,
    pub changes: f64,
    pub restarts: f64,
    pub seconds: u64,
    pub zones: u32,
    pub agents: u32,
    pub directories: u32,
    pub threads: usize,
    pub base: u16,
    pub json: Option<PathBuf>,
    pub sweep: bool,
    pub check: bool,
    /// How long the hollow ones of the first zone are silent in the middle of the run.
    pub lose_zone: u64,
}

/// The most processes that a run may start.
pub(crate) const MOST_PROCESSES: u64 = 300;
pub(crate) const KIB: u64 = 1024;
pub(crate) const MIB: u64 = 1024 * KIB;
/// What a real process is estimated to take before it knows anything.
pub(crate) const PROCESS_BYTES: u64 = 16 * MIB;
/// What a hollow agent is estimated to take in our process and at the controllers: sockets, buffers.
pub(crate) const AGENT_BYTES: u64 = 160 * KIB;
/// What a hollow instance is estimated to take: its task, and a heartbeat on its way.
pub(crate) const INSTANCE_BYTES: u64 = 32 * KIB;
/// What one route is estimated to take in each real process, with copies of late and on disk.
pub(crate) const ROUTE_BYTES: u64 = 4 * KIB;
/// What one fact is estimated to take at each hollow agent while a grant is read.
pub(crate) const FACT_BYTES: u64 = 512;
/// Open files of one hollow agent at most: its port, and a way to and from each controller.
pub(crate) const AGENT_FILES: u64 = 7;
/// Open files of our process besides, and of heartbeats under way.
pub(crate) const OTHER_FILES: u64 = 1024;

impl ScaleOptions {
    pub(crate) fn processes(&self) -> u64 {
        3 + 2 * u64::from(self.agents) + u64::from(self.directories)
    }

    /// How much memory the run is estimated to take, by the costs stated above.
    pub(crate) fn memory(&self) -> u64 {
        let (nodes, instances) = (u64::from(self.nodes), u64::from(self.instances));
        let facts = nodes * (nodes + instances) * FACT_BYTES;
        let maps = u64::from(self.routes + self.services) * ROUTE_BYTES * self.processes();
        let hollow = nodes * AGENT_BYTES + instances * INSTANCE_BYTES;
        self.processes() * PROCESS_BYTES + facts + maps + hollow
    }

    /// What is wrong with the sizes on a machine with so much memory and so many open files.
    pub fn faults(&self, memory: u64, files: u64) -> Vec<OptionsFault> {
        let mut faults = Vec::new();
        let mut fault = |field: &str, remedy: String| {
            faults.push(OptionsFault {
                file: "command line".to_string(),
                field: field.to_string(),
                remedy,
            });
        };
        if self.services == 0 || self.routes == 0 || self.zones == 0 || self.seconds == 0 {
            fault(
                "--pools",
                "give at least 1 of services, routes, zones and seconds".to_string(),
            );
            return faults;
        }
        if self.agents < 3 || self.directories == 0 {
            fault(
                "--agents",
                "give at least 3 real agents and 1 directory".to_string(),
            );
        }
        if self.processes() > MOST_PROCESSES {
            let most = (MOST_PROCESSES - 3 - u64::from(self.directories).min(100)) / 2;
            fault(
                "--agents",
                format!(
                    "{} processes, {MOST_PROCESSES} are the most: --agents {most} would fit",
                    self.processes()
                ),
            );
        }
        if self.routes + self.services + self.zones > MAX_CONFIGURATION_ITEMS as u32 {
            let most = (MAX_CONFIGURATION_ITEMS as u32).saturating_sub(self.services + self.zones);
            fault(
                "--routes",
                format!(
                    "the standing orders have at most {MAX_CONFIGURATION_ITEMS} items: --routes {most} would fit"
                ),
            );
        }
        let most_nodes = files.saturating_sub(OTHER_FILES) / AGENT_FILES;
        if u64::from(self.nodes) > most_nodes {
            fault(
                "--nodes",
                format!("{files} files may be open, a node takes {AGENT_FILES}: --nodes {most_nodes} would fit"),
            );
        }
        let budget = memory / 2;
        if self.memory() > budget {
            let reported = format!(
                "reckoned at {} MiB, half of the memory is {} MiB",
                self.memory() / MIB,
                budget / MIB
            );
            let fits: Vec<String> = [
                (
                    "--nodes",
                    self.most_that_fits(self.nodes, budget, |options, size| options.nodes = size),
                ),
                (
                    "--instances",
                    self.most_that_fits(self.instances, budget, |options, size| {
                        options.instances = size
                    }),
                ),
                (
                    "--routes",
                    self.most_that_fits(self.routes, budget, |options, size| options.routes = size),
                ),
            ]
            .into_iter()
            .filter_map(|(flag, most)| Some(format!("{flag} {}", most?)))
            .collect();
            let remedy = match fits.is_empty() {
                true => {
                    format!("{reported}: make more than one of nodes, instances and routes smaller")
                }
                false => format!("{reported}: {} would fit", fits.join(", or ")),
            };
            fault("--nodes", remedy);
        }
        faults
    }

    /// The largest size of one dimension that fits with the others held.
    pub(crate) fn most_that_fits(
        &self,
        asked: u32,
        budget: u64,
        resize: impl Fn(&mut Self, u32),
    ) -> Option<u32> {
        let fits = |size: u32| {
            let mut options = self.clone();
            resize(&mut options, size);
            options.memory() <= budget
        };
        if !fits(1) {
            return None;
        }
        let (mut low, mut high) = (1, asked);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if fits(middle) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        Some(low)
    }

    pub(crate) fn zones(&self) -> Vec<String> {
        (0..self.zones)
            .map(|number| format!("zone-{number}"))
            .collect()
    }

    /// The real processes, as a scenario of the fleet.
    pub(crate) fn scenario(&self) -> Scenario {
        // Why zones of their own, first by name: the witness voters must be real agents.
        let zones: Vec<(String, String)> = (0..self.agents)
            .map(|number| (format!("real-{number:03}"), "real".to_string()))
            .collect();
        let named = |number: u32| zones[(number % self.agents) as usize].0.clone();
        Scenario {
            file: PathBuf::new(),
            name: "scale".to_string(),
            controllers: (0..3)
                .map(|number| format!("zone-{}", number % self.zones))
                .collect(),
            proxies_per_zone: 1,
            proxy_capacity: 100,
            directories: (0..self.directories).map(named).collect(),
            services: Vec::new(),
            routes: JsonValue::new_array(),
            traffic: Vec::new(),
            region_distance: Duration::ZERO,
            zones,
        }
    }

    /// Everything that the fleet is told at first, in change sets that are not too large.
    pub(crate) fn first_changes(&self, zones: &[(String, String)]) -> Vec<JsonValue> {
        let mut puts = Vec::new();
        let hollow = (0..self.zones)
            .map(|number| (format!("zone-{number}"), format!("region-{}", number / 4)));
        for (name, region) in zones.iter().cloned().chain(hollow) {
            puts.push(jzon::object! {
                kind: "area", name: name, area: { region: region, closed: false },
            });
        }
        for number in 0..self.services {
            puts.push(jzon::object! {
                kind: "pool", name: service_name(u64::from(number)).as_str(), pool: {},
            });
        }
        for number in 0..self.routes {
            puts.push(self.route_put(number, 2000));
        }
        puts.chunks(500)
            .enumerate()
            .map(|(number, puts)| jzon::object! { id: format!("first-{number}"), put: puts.to_vec() })
            .collect()
    }

    pub(crate) fn route_put(&self, number: u32, deadline: u64) -> JsonValue {
        let service = service_name(u64::from(number % self.services));
        jzon::object! {
            kind: "rule",
            name: route_name(u64::from(number)).as_str(),
            rule: {
                host: format!("tenant-{number}.example"),
                path: "/",
                pool: service.as_str(),
                deadline_ms: deadline,
            },
        }
    }
}

/// The memory of this machine, and how many files a process may have open.
pub(crate) fn machine_limits() -> anyhow::Result<(u64, u64)> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .context("the machine does not say how much memory it has")?;
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call only writes into the place given, which lives until it returns.
    unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    Ok((total * KIB, limit.rlim_cur))
}
