//! Detects messages that arrive slowly, and decides how often their progress is reported.

use std::time::{Duration, Instant};

/// A message that takes longer than this from its first byte to its last comes over a slow link.
pub const SLOW_MESSAGE_THRESHOLD: Duration = Duration::from_millis(400);
/// The interval between reports of progress of the same slow message.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Watches one message that is being received.
#[derive(Debug, Clone, Copy)]
pub struct ProgressWatch {
    next_at: Instant,
}

impl ProgressWatch {
    /// Starts to watch a message whose first byte has arrived.
    pub fn begin(now: Instant) -> Self {
        Self {
            next_at: now + SLOW_MESSAGE_THRESHOLD,
        }
    }

    /// Records that bytes other than the last ones were received; returns whether to report that.
    pub fn bytes_received(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + PROGRESS_INTERVAL;
        }
        is_due
    }
}
