//! Counters of one run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Counters and measurements of one run.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub sent: u64,
    pub served: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub attempts: u64,
    pub retries: u64,
    pub cross_zone: u64,
    pub cross_region: u64,
    pub accepted: u64,
    pub refused_changes: u64,
    pub unknown_changes: u64,
    pub no_majority: u64,
    pub recoveries: Vec<Duration>,
    /// Recovery time of the slowest kind of traffic after each major fault.
    pub slowest_recoveries: Vec<Duration>,
    /// Requests of a hot key, and how many of them were served.
    pub hot_sent: u64,
    pub hot_served: u64,
    pub reads: u64,
    /// Number of new mappings, and the sum of the percentages of traffic that each moved.
    pub mappings: u64,
    pub moved_percent: u64,
    /// Times from the loss of the owner manager's controller until another one has the role.
    pub takeovers: Vec<Duration>,
    /// Longest time after which a follower still lacked an accepted version, where that is checked.
    pub most_lag: Duration,
    /// Failures of requests by reason, as reported by the proxies.
    pub failures: BTreeMap<&'static str, u64>,
}
