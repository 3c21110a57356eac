//! Rate limit for full snapshots that are sent to the same follower in one message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::MIN_FULL_MAP_INTERVAL;
use crate::consensus::messages::ConsensusMessage;
use crate::replicated_map::MapName;

/// Limits how often a full snapshot of the same map is sent to the same follower in one message.
#[derive(Debug, Clone)]
pub struct SnapshotRateLimiter {
    interval: Duration,
    sent: BTreeMap<(SocketAddr, MapName), Duration>,
}

impl Default for SnapshotRateLimiter {
    fn default() -> Self {
        Self::with_interval(MIN_FULL_MAP_INTERVAL)
    }
}

impl SnapshotRateLimiter {
    /// Creates a limiter that admits one snapshot per interval for each follower and map.
    pub fn with_interval(interval: Duration) -> Self {
        Self {
            interval,
            sent: BTreeMap::new(),
        }
    }

    /// Admits the next snapshot to a follower immediately, because it has restarted with an empty map.
    pub fn reset(&mut self, to: SocketAddr) {
        self.sent.retain(|(follower, _), _| *follower != to);
    }

    /// Returns whether this message may be sent to this follower now. Only snapshots are limited,
    /// because a follower repeats its request several times a second while a snapshot is in flight.
    pub fn admits(&mut self, now: Duration, to: SocketAddr, updates: &ConsensusMessage) -> bool {
        let ConsensusMessage::Snapshot { map, .. } = updates else {
            return true;
        };
        let interval = self.interval;
        self.sent
            .retain(|_, sent_at| now.saturating_sub(*sent_at) < interval);
        if self.sent.contains_key(&(to, *map)) {
            return false;
        }
        self.sent.insert((to, *map), now);
        true
    }
}
