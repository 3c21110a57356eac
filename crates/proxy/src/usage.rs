//! Usage counters by hour, route and service, for export to operators.

use std::collections::BTreeMap;
use std::sync::Mutex;

use caperworks::identifiers::{RouteName, ServiceName};
use caperworks::messages::UsageLine;
use runtime::locks::locked;

/// The number of hours for which counters are kept.
const RETAINED_HOURS: u64 = 48;

/// Returns the current hour of the wall clock. The wall clock is acceptable here because the hour
/// is only a label.
fn current_hour() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_secs() / 3600)
}

/// The counter that a request belongs to.
#[derive(Debug, Clone)]
pub struct UsageKey {
    hour: u64,
    route: RouteName,
    service: ServiceName,
}

impl UsageKey {
    pub fn of(route: &RouteName, service: &ServiceName) -> Self {
        Self {
            hour: current_hour(),
            route: route.clone(),
            service: service.clone(),
        }
    }
}

/// The outcome of a request as reported to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageOutcome {
    Served,
    NotRun,
    Unknown,
}

/// The usage counters of one proxy.
#[derive(Default)]
pub struct UsageAccounts {
    lines: Mutex<BTreeMap<(u64, RouteName, ServiceName), UsageLine>>,
}

impl UsageAccounts {
    fn update(&self, key: &UsageKey, update: impl FnOnce(&mut UsageLine)) {
        let mut lines = locked(&self.lines);
        let entry_key = (key.hour, key.route.clone(), key.service.clone());
        let line = lines.entry(entry_key).or_insert_with(|| UsageLine {
            hour: key.hour,
            route: key.route.clone(),
            service: key.service.clone(),
            ..UsageLine::default()
        });
        update(line);
        // Old hours are removed to bound the memory of a long-running proxy.
        let oldest_hour = key.hour.saturating_sub(RETAINED_HOURS);
        while let Some(first) = lines
            .first_entry()
            .filter(|first| first.key().0 < oldest_hour)
        {
            first.remove();
        }
    }

    /// Counts a finished request by its outcome.
    pub fn record_end(&self, key: &UsageKey, end: UsageOutcome) {
        self.update(key, |line| {
            line.requests += 1;
            match end {
                UsageOutcome::Served => line.served += 1,
                UsageOutcome::NotRun => line.not_run += 1,
                UsageOutcome::Unknown => line.unknown += 1,
            }
        });
    }

    /// Adds bytes received from clients.
    pub fn add_bytes_in(&self, key: &UsageKey, bytes: u64) {
        self.update(key, |line| line.bytes_in += bytes);
    }

    /// Adds bytes sent to clients.
    pub fn add_bytes_out(&self, key: &UsageKey, bytes: u64) {
        self.update(key, |line| line.bytes_out += bytes);
    }

    /// Returns all counters.
    pub fn lines(&self) -> Vec<UsageLine> {
        locked(&self.lines).values().cloned().collect()
    }
}
