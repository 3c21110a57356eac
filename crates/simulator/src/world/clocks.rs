//! The nodes' local clocks, which drift and may stop while a node is frozen.

use std::time::Duration;

use crate::world::World;

impl World {
    /// Returns the node's monotonic time since the start of its process.
    pub(super) fn local_time(&self, node: usize) -> Duration {
        let node = &self.nodes[node];
        let mut elapsed = self.now.saturating_sub(node.started_at);
        if self.day.clocks_stop_while_frozen {
            let current_freeze = match node.frozen {
                true => self.now.saturating_sub(node.frozen_at),
                false => Duration::ZERO,
            };
            elapsed = elapsed.saturating_sub(node.frozen_time + current_freeze);
        }
        let drift = elapsed.as_nanos() as i128 * i128::from(node.clock_rate) / 1_000_000;
        Duration::from_nanos((elapsed.as_nanos() as i128 + drift).max(0) as u64)
    }

    /// Returns how long it takes, in world time, until the node's clock shows `at`.
    pub(super) fn delay_until_local(&self, node: usize, at: Duration) -> Duration {
        let ahead = at.saturating_sub(self.local_time(node));
        let rate = self.nodes[node].clock_rate;
        let nanos = ahead.as_nanos() as i128 * 1_000_000 / i128::from(1_000_000 + rate);
        Duration::from_nanos(nanos as u64) + Duration::from_micros(1)
    }
}
