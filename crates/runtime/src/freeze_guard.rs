//! Detects that the process was frozen, so that input which waited in a socket meanwhile is not taken for new.
//!
//! A socket does not record the age of its contents. But a running process reads the clock many times a
//! second; after a gap between two reads, input may be as old as the gap is long.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A gap between two clock reads from which on input may be too old.
///
/// Callers abandon a request after a second without a response, so input that waited for less is still wanted.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);
/// For how long after a gap the sockets may still contain input from before its end.
const STALE_INPUT_WINDOW: Duration = Duration::from_millis(1000);

/// Detects freezes of a process; shared by all its tasks that read input.
#[derive(Debug, Default)]
pub struct FreezeGuard {
    checked_at_micros: AtomicU64,
    stale_until_micros: AtomicU64,
}

impl FreezeGuard {
    /// Returns the guard of a process that starts now.
    pub fn start(now: Duration) -> Self {
        let guard = Self::default();
        guard
            .checked_at_micros
            .store(micros_of(now), Ordering::Relaxed);
        guard
    }

    /// Records a clock read; returns whether input that is read now may be from before the end of a freeze.
    pub fn check(&self, now: Duration) -> bool {
        let now_micros = micros_of(now);
        let before = self
            .checked_at_micros
            .fetch_max(now_micros, Ordering::AcqRel);
        if now_micros.saturating_sub(before) >= micros_of(FREEZE_THRESHOLD) {
            let until = now_micros + micros_of(STALE_INPUT_WINDOW);
            self.stale_until_micros.fetch_max(until, Ordering::AcqRel);
        }
        now_micros < self.stale_until_micros.load(Ordering::Acquire)
    }
}

fn micros_of(time: Duration) -> u64 {
    time.as_micros() as u64
}
