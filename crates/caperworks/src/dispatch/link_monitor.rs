//! Detects congestion of the link of this machine by how long connections to instances take to
//! open.
//!
//! When the controllers do not respond, a proxy that serves stale must know the cause. If only the
//! controllers are unreachable, connections to instances still open at once. On a congested link
//! they do not, and then updates from the controllers are delayed but on their way: the proxy has
//! to wait for them and must not act on its old state.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::link::SLOW_LINK_WINDOW;

/// An attempt to connect that takes longer went over a congested link or failed. Regions are about
/// 0.1 s apart.
pub const SLOW_CONNECT: Duration = Duration::from_millis(300);
/// How long a measurement is used.
const MEASUREMENT_WINDOW: Duration = Duration::from_secs(2);
/// With fewer measurements there is no verdict: a single instance may be down.
const MIN_MEASUREMENTS: usize = 3;

/// Recent attempts to connect: when each ended, and whether it was slow.
#[derive(Debug, Clone, Default)]
pub struct RecentConnects {
    recent: VecDeque<(Duration, bool)>,
}

impl RecentConnects {
    /// Records how long an attempt to connect took. Returns whether the link seems congested: more
    /// than half of the recent attempts were slow.
    pub fn record(&mut self, now: Duration, took: Duration) -> bool {
        self.recent.push_back((now, took >= SLOW_CONNECT));
        let is_expired = |(at, _): &(Duration, bool)| now.saturating_sub(*at) >= MEASUREMENT_WINDOW;
        while self.recent.front().is_some_and(is_expired) {
            self.recent.pop_front();
        }
        let slow = self.recent.iter().filter(|(_, is_slow)| *is_slow).count();
        self.recent.len() >= MIN_MEASUREMENTS && slow * 2 > self.recent.len()
    }
}

/// Until when the link is considered congested; shared by all copies of the state of a proxy.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    congested_until_micros: AtomicU64,
}

impl LinkMonitor {
    /// Records that the link seems congested now.
    pub fn record_congestion(&self, now: Duration) {
        let until = (now + SLOW_LINK_WINDOW).as_micros() as u64;
        self.congested_until_micros
            .fetch_max(until, Ordering::Relaxed);
    }

    /// Returns whether the link is considered congested.
    pub fn is_congested(&self, now: Duration) -> bool {
        (now.as_micros() as u64) < self.congested_until_micros.load(Ordering::Relaxed)
    }
}
