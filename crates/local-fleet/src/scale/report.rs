//! The results of a scale run, as a table and as JSON.

use std::time::Duration;

use jzon::JsonValue;

use crate::fit::percentile;
use crate::scale::options::{ScaleOptions, KIB};

/// Resource usage of one process, as reported by the kernel.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sample {
    /// Processor time.
    pub(crate) seconds: f64,
    /// Resident memory in bytes, now and at its peak.
    pub(crate) memory: u64,
    pub(crate) peak: u64,
    /// Bytes written to disk.
    pub(crate) written: u64,
}

impl Sample {
    /// Reads the usage of a process; none if any value is missing, as for a process that has exited.
    pub(crate) fn of(process: i32) -> Option<Self> {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).ok();
        let stat = read("stat")?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // SAFETY: the call takes a number and touches no memory.
        let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        let number_after = |text: &str, name: &str| -> Option<u64> {
            let line = text.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        let status = read("status")?;
        Some(Self {
            seconds: ticks as f64 / per_second as f64,
            memory: number_after(&status, "VmRSS:")? * KIB,
            peak: number_after(&status, "VmHWM:")? * KIB,
            written: number_after(&read("io")?, "write_bytes:")?,
        })
    }
}

/// Resource usage and traffic of all processes of one role in a run.
#[derive(Debug, Clone, Default)]
pub struct RoleFigures {
    pub role: String,
    pub processes: usize,
    /// Processor seconds per second, over all processes.
    pub processor: f64,
    /// Resident memory of one process in MiB: the mean, and the mean of the peaks.
    pub memory: f64,
    pub peak: f64,
    /// Bytes written and traffic per second, over all processes.
    pub written: f64,
    pub messages_in: f64,
    pub messages_out: f64,
    pub bytes_in: f64,
    pub bytes_out: f64,
}

impl RoleFigures {
    /// Returns the figures with their names, in the order of the table.
    pub(crate) fn named(&self) -> [(&'static str, f64); 8] {
        [
            ("processor", self.processor),
            ("memory_mib", self.memory),
            ("peak_mib", self.peak),
            ("disk_bytes", self.written),
            ("messages_in", self.messages_in),
            ("messages_out", self.messages_out),
            ("bytes_in", self.bytes_in),
            ("bytes_out", self.bytes_out),
        ]
    }

    pub(crate) fn json(&self) -> JsonValue {
        let mut json = jzon::object! { role: self.role.as_str(), processes: self.processes };
        for (name, value) in self.named() {
            json[name] = rounded(value).into();
        }
        json
    }
}

/// Rounds to four decimal places, so that result files are easy to read.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// The results of a run.
#[derive(Debug, Clone)]
pub struct Report {
    pub options: ScaleOptions,
    pub roles: Vec<RoleFigures>,
    /// Messages that one simulated node sent and received per minute, and bytes per second.
    pub node_messages: f64,
    pub node_bytes: f64,
    pub members_counted: usize,
    pub instances_counted: usize,
    /// Voters that are simulated nodes.
    pub simulated_voters: usize,
    /// Whether the controllers registered all members and instances before the measurement began.
    pub settled: bool,
    /// Bytes per second sent to the operator in response to changes, and the size of one status response.
    pub operator_bytes: f64,
    pub status_bytes: usize,
    /// How long the controllers took to remove a partitioned zone, and to register it again after its return.
    pub zone_out: Option<Duration>,
    pub zone_back: Option<Duration>,
    pub restarted: u64,
    pub offered: u64,
    pub accepted: u64,
    /// Accepted changes that some simulated node did not hold at the end.
    pub unheld: u64,
    /// Time from the acceptance of each change until the last simulated node held it.
    pub delays: Vec<Duration>,
}

impl Report {
    pub(crate) fn json(&self) -> JsonValue {
        let options = &self.options;
        let delay = |percent: usize| -> JsonValue {
            percentile(&self.delays, percent).map_or(JsonValue::Null, |delay| {
                rounded(delay.as_secs_f64() * 1000.0).into()
            })
        };
        jzon::object! {
            nodes: options.nodes,
            instances: options.instances,
            routes: options.routes,
            pools: options.services,
            changes_per_second: options.changes,
            restarts_per_minute: options.restarts,
            seconds: options.seconds,
            zones: options.zones,
            roles: self.roles.iter().map(RoleFigures::json).collect::<Vec<JsonValue>>(),
            node_messages_per_minute: rounded(self.node_messages),
            node_bytes_per_second: rounded(self.node_bytes),
            members_counted: self.members_counted,
            instances_counted: self.instances_counted,
            hollow_seats: self.simulated_voters,
            settled: self.settled,
            operator_bytes_per_second: rounded(self.operator_bytes),
            status_bytes: self.status_bytes,
            zone_counted_out_ms: self.zone_out.map(|elapsed| elapsed.as_millis() as u64),
            zone_counted_back_ms: self.zone_back.map(|elapsed| elapsed.as_millis() as u64),
            restarted: self.restarted,
            changes_offered: self.offered,
            changes_accepted: self.accepted,
            changes_not_held_by_all: self.unheld,
            change_held_ms: { median: delay(50), p99: delay(99), most: delay(100) },
        }
    }

    pub(crate) fn print(&self) {
        let options = &self.options;
        println!(
            "{} nodes, {} instances, {} routes, {} pools, {} changes/s, {} restarts/min, {} s",
            options.nodes,
            options.instances,
            options.routes,
            options.services,
            options.changes,
            options.restarts,
            options.seconds
        );
        println!(
            "{:<10}{:>5}{:>10}{:>10}{:>10}{:>12}{:>11}{:>11}{:>13}{:>13}",
            "role",
            "count",
            "cpu s/s",
            "MiB each",
            "peak MiB",
            "disk B/s",
            "msgs in/s",
            "msgs out/s",
            "bytes in/s",
            "bytes out/s"
        );
        for role in &self.roles {
            println!(
                "{:<10}{:>5}{:>10.4}{:>10.1}{:>10.1}{:>12.0}{:>11.1}{:>11.1}{:>13.0}{:>13.0}",
                role.role,
                role.processes,
                role.processor,
                role.memory,
                role.peak,
                role.written,
                role.messages_in,
                role.messages_out,
                role.bytes_in,
                role.bytes_out
            );
        }
        let delay = |percent: usize| {
            percentile(&self.delays, percent).map_or("none".to_string(), |delay| {
                format!("{} ms", delay.as_millis())
            })
        };
        println!(
            "per node: {:.1} messages per minute, {:.0} bytes per second; registered: {} members and \
             {} instances; {} restarted",
            self.node_messages, self.node_bytes, self.members_counted, self.instances_counted,
            self.restarted
        );
        if options.lose_zone > 0 {
            let describe = |elapsed: Option<Duration>| {
                elapsed.map_or("never".to_string(), |elapsed| {
                    format!("after {} ms", elapsed.as_millis())
                })
            };
            println!(
                "zone silent for {} s: removed {}, registered again {}",
                options.lose_zone,
                describe(self.zone_out),
                describe(self.zone_back)
            );
        }
        println!(
            "changes: {} offered, {} accepted, {} not held by all at the end; from acceptance to the \
             last simulated node: median {}, p99 {}, max {}",
            self.offered, self.accepted, self.unheld, delay(50), delay(99), delay(100)
        );
    }
}
