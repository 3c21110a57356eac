//! Whether this machine's own link is full, by how long connections to instances take to open.
//!
//! When the core falls silent, a proxy that serves on must know why. Cut off from the core alone, it
//! still opens connections to instances at once. Behind a full link it does not, and then the core's
//! news is on its way: it has to wait for that, and must not go on by what it knows.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::link::SLOW_LINK_WINDOW;

/// A connection that took longer to open came over a full link, or did not come at all; regions lie
/// some 0.1 s apart.
pub const SLOW_OPENING: Duration = Duration::from_millis(300);
/// How long an opening tells of the link.
const OPENING_SPAN: Duration = Duration::from_secs(2);
/// Fewer openings tell nothing: a single instance may be down.
const FEWEST_OPENINGS: usize = 3;

/// The connections that were opened of late.
#[derive(Debug, Clone, Default)]
pub struct Openings {
    recent: VecDeque<(Duration, bool)>,
}

impl Openings {
    /// Notes how long an opening took; says whether the link seems full: more than half of those of
    /// late were slow.
    pub fn record(&mut self, now: Duration, took: Duration) -> bool {
        self.recent.push_back((now, took >= SLOW_OPENING));
        let is_over = |(at, _): &(Duration, bool)| now.saturating_sub(*at) >= OPENING_SPAN;
        while self.recent.front().is_some_and(is_over) {
            self.recent.pop_front();
        }
        let slow = self.recent.iter().filter(|(_, is_slow)| *is_slow).count();
        self.recent.len() >= FEWEST_OPENINGS && slow * 2 > self.recent.len()
    }
}

/// Until when the link counts as full; shared by all copies of what a proxy knows.
#[derive(Debug, Default)]
pub struct LinkWatch {
    full_until_micros: AtomicU64,
}

impl LinkWatch {
    /// The link seems full at this moment.
    pub fn record_full(&self, now: Duration) {
        let until = (now + SLOW_LINK_WINDOW).as_micros() as u64;
        self.full_until_micros.fetch_max(until, Ordering::Relaxed);
    }

    /// Whether the link counted as full a moment ago.
    pub fn is_full(&self, now: Duration) -> bool {
        (now.as_micros() as u64) < self.full_until_micros.load(Ordering::Relaxed)
    }
}
