//! Readiness, as reported to health checks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time until which a process is ready, by its own clock. Readiness checks read it without the actor.
#[derive(Default)]
pub struct ReadyUntil {
    micros: AtomicU64,
}

impl ReadyUntil {
    /// Sets the time until which the process is ready.
    pub fn set(&self, until: Duration) {
        self.micros
            .store(until.as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns whether the process is ready now.
    pub fn is_ready(&self, now: Duration) -> bool {
        now.as_micros() < u128::from(self.micros.load(Ordering::Relaxed))
    }
}
