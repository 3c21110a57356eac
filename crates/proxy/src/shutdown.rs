//! When a proxy that shuts down still takes requests.

use std::time::Duration;

use runtime::options::TuningOptions;

/// The times of a graceful shutdown, by the proxy's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From then on a request is taken only if its deadline is before the end.
    late_from: Duration,
    /// From then on no request is taken.
    closes_at: Duration,
    /// When the process ends at the latest, with the requests that are still in flight.
    ends_at: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that begins now.
    pub fn begin(now: Duration, tuning: &TuningOptions) -> Self {
        let closes_at = now + tuning.shutdown_grace_period;
        Self {
            late_from: now + tuning.unbounded_request_period,
            closes_at,
            ends_at: closes_at + tuning.max_drain_wait,
        }
    }

    /// Returns whether a request with this deadline may be taken now.
    pub fn admits(&self, now: Duration, deadline: Duration) -> bool {
        now < self.closes_at && (now < self.late_from || deadline <= self.ends_at)
    }
}
