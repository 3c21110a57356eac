//! The options of a scale run, and the check whether it fits on this machine.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as AnyhowContext;
use jzon::JsonValue;

use crate::simulated_nodes::{route_name, service_name};
use caperworks::configuration::MAX_CONFIGURATION_ITEMS;
use runtime::options::OptionsFault;
use runtime::scenario::Scenario;

/// The options of a scale run.
#[derive(Debug, Clone)]
pub struct ScaleOptions {
    /// Simulated agents, each reporting one proxy.
    pub nodes: u32,
    /// Simulated instances.
    pub instances: u32,
    pub routes: u32,
    pub services: u32,
    /// Configuration changes per second.
    pub changes: f64,
    /// Restarts per minute.
    pub restarts: f64,
    /// Duration of the measurement.
    pub seconds: u64,
    /// Zones of the simulated nodes.
    pub zones: u32,
    /// Real agents, each with a real proxy.
    pub agents: u32,
    /// Real directories.
    pub directories: u32,
    /// Worker threads for the simulated nodes.
    pub threads: usize,
    /// First port.
    pub base: u16,
    /// File for the results.
    pub json: Option<PathBuf>,
    pub sweep: bool,
    pub check: bool,
    /// Seconds for which the simulated nodes of the first zone are partitioned during the run; 0 for never.
    pub lose_zone: u64,
}

/// Maximum number of processes of a run.
pub(crate) const MAX_PROCESSES: u64 = 300;
pub(crate) const KIB: u64 = 1024;
pub(crate) const MIB: u64 = 1024 * KIB;
/// Estimated memory of a real process without any state.
pub(crate) const PROCESS_BYTES: u64 = 16 * MIB;
/// Estimated memory of a simulated agent in this process and at the controllers: sockets and buffers.
pub(crate) const AGENT_BYTES: u64 = 160 * KIB;
/// Estimated memory of a simulated instance: its task, and a heartbeat in flight.
pub(crate) const INSTANCE_BYTES: u64 = 32 * KIB;
/// Estimated memory of one route in each real process, including recent copies and those for the disk.
pub(crate) const ROUTE_BYTES: u64 = 4 * KIB;
/// Estimated memory of one fact at each simulated agent while a grant is decoded.
pub(crate) const FACT_BYTES: u64 = 512;
/// Maximum number of open files of one simulated agent: its port, and a connection to and from each
/// controller.
pub(crate) const AGENT_FILES: u64 = 7;
/// Other open files of this process, including heartbeats in flight.
pub(crate) const OTHER_FILES: u64 = 1024;

impl ScaleOptions {
    /// Returns the number of real processes.
    pub(crate) fn processes(&self) -> u64 {
        3 + 2 * u64::from(self.agents) + u64::from(self.directories)
    }

    /// Returns the estimated memory of the run in bytes.
    pub(crate) fn estimated_memory(&self) -> u64 {
        let (nodes, instances) = (u64::from(self.nodes), u64::from(self.instances));
        let facts = nodes * (nodes + instances) * FACT_BYTES;
        let maps = u64::from(self.routes + self.services) * ROUTE_BYTES * self.processes();
        let simulated = nodes * AGENT_BYTES + instances * INSTANCE_BYTES;
        self.processes() * PROCESS_BYTES + facts + maps + simulated
    }

    /// Checks whether the run fits on a machine with this much memory (in bytes) and this limit of open files.
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
        if self.processes() > MAX_PROCESSES {
            let max_agents = (MAX_PROCESSES - 3 - u64::from(self.directories).min(100)) / 2;
            fault(
                "--agents",
                format!(
                    "{} processes, the maximum is {MAX_PROCESSES}: --agents {max_agents} would fit",
                    self.processes()
                ),
            );
        }
        if self.routes + self.services + self.zones > MAX_CONFIGURATION_ITEMS as u32 {
            let max_routes =
                (MAX_CONFIGURATION_ITEMS as u32).saturating_sub(self.services + self.zones);
            fault(
                "--routes",
                format!(
                    "the configuration has at most {MAX_CONFIGURATION_ITEMS} items: --routes {max_routes} would fit"
                ),
            );
        }
        let max_nodes = files.saturating_sub(OTHER_FILES) / AGENT_FILES;
        if u64::from(self.nodes) > max_nodes {
            fault(
                "--nodes",
                format!("{files} open files are allowed, a node needs {AGENT_FILES}: --nodes {max_nodes} would fit"),
            );
        }
        let budget = memory / 2;
        if self.estimated_memory() > budget {
            let excess = format!(
                "the estimated memory is {} MiB, half of the machine's memory is {} MiB",
                self.estimated_memory() / MIB,
                budget / MIB
            );
            let fits: Vec<String> = [
                (
                    "--nodes",
                    self.max_that_fits(self.nodes, budget, |options, size| options.nodes = size),
                ),
                (
                    "--instances",
                    self.max_that_fits(self.instances, budget, |options, size| {
                        options.instances = size
                    }),
                ),
                (
                    "--routes",
                    self.max_that_fits(self.routes, budget, |options, size| options.routes = size),
                ),
            ]
            .into_iter()
            .filter_map(|(flag, max_size)| Some(format!("{flag} {}", max_size?)))
            .collect();
            let remedy = match fits.is_empty() {
                true => {
                    format!("{excess}: reduce more than one of nodes, instances and routes")
                }
                false => format!("{excess}: {} would fit", fits.join(", or ")),
            };
            fault("--nodes", remedy);
        }
        faults
    }

    /// Returns the largest size of one dimension that fits into the memory budget if the others are unchanged.
    pub(crate) fn max_that_fits(
        &self,
        requested: u32,
        budget: u64,
        resize: impl Fn(&mut Self, u32),
    ) -> Option<u32> {
        let fits = |size: u32| {
            let mut options = self.clone();
            resize(&mut options, size);
            options.estimated_memory() <= budget
        };
        if !fits(1) {
            return None;
        }
        let (mut low, mut high) = (1, requested);
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

    /// Returns the scenario of the real processes.
    pub(crate) fn scenario(&self) -> Scenario {
        // The real agents have zones of their own that are first in name order, so that the controllers
        // choose real agents as witness voters.
        let zones: Vec<(String, String)> = (0..self.agents)
            .map(|number| (format!("real-{number:03}"), "real".to_string()))
            .collect();
        let zone_name = |number: u32| zones[(number % self.agents) as usize].0.clone();
        Scenario {
            file: PathBuf::new(),
            name: "scale".to_string(),
            controllers: (0..3)
                .map(|number| format!("zone-{}", number % self.zones))
                .collect(),
            proxies_per_zone: 1,
            proxy_capacity: 100,
            directories: (0..self.directories).map(zone_name).collect(),
            services: Vec::new(),
            routes: JsonValue::new_array(),
            traffic: Vec::new(),
            region_distance: Duration::ZERO,
            zones,
        }
    }

    /// Returns the initial configuration as change sets of at most 500 items.
    pub(crate) fn initial_changes(&self, zones: &[(String, String)]) -> Vec<JsonValue> {
        let mut puts = Vec::new();
        let simulated_zones = (0..self.zones)
            .map(|number| (format!("zone-{number}"), format!("region-{}", number / 4)));
        for (name, region) in zones.iter().cloned().chain(simulated_zones) {
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

    /// Returns the change set item that writes a route with this deadline in milliseconds.
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

/// Returns the memory of this machine in bytes, and the limit of open files of this process.
pub(crate) fn machine_limits() -> anyhow::Result<(u64, u64)> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let total = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .context("/proc/meminfo has no readable MemTotal")?;
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call only writes to the struct, which lives until it returns.
    unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) };
    Ok((total * KIB, limit.rlim_cur))
}
