//! Limits the retries of a service in proportion to its first attempts.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of retries per hundred first attempts of a service.
pub const RETRY_PERCENT: u32 = 15;
/// The number of retries that each proxy has per window whatever the traffic. Twelve proxies share
/// the "few dozen" that the requirements allow.
pub const MIN_RETRIES_PER_WINDOW: u32 = 2;
/// The length of the window in seconds.
const RETRY_WINDOW_SECONDS: usize = 10;

/// Counts first attempts and retries over a sliding window of seconds.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    /// The seconds of the window that had attempts, each with its first attempts and its retries.
    seconds: VecDeque<(u64, u32, u32)>,
}

impl RetryBudget {
    /// Moves the window forward and returns the entry of the current second.
    fn current_second(&mut self, now: Duration) -> &mut (u64, u32, u32) {
        let second = now.as_secs();
        if self.seconds.back().is_none_or(|last| last.0 != second) {
            self.seconds.push_back((second, 0, 0));
        }
        let oldest = second.saturating_sub(RETRY_WINDOW_SECONDS as u64 - 1);
        while self.seconds.front().is_some_and(|first| first.0 < oldest) {
            self.seconds.pop_front();
        }
        let index = self.seconds.len() - 1;
        &mut self.seconds[index]
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.current_second(now).1 += 1;
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.current_second(now);
        let first_attempts: u32 = self.seconds.iter().map(|second| second.1).sum();
        let retries: u32 = self.seconds.iter().map(|second| second.2).sum();
        let allowed = first_attempts * RETRY_PERCENT / 100 + MIN_RETRIES_PER_WINDOW;
        if retries >= allowed {
            return false;
        }
        self.current_second(now).2 += 1;
        true
    }
}
