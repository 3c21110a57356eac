//! Bounds how often a full snapshot is sent to the same follower in one message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::FULL_MAP_PERIOD;
use crate::consensus::messages::ConsensusMessage;
use crate::replicated_map::MapName;

/// Bounds how often the same follower is sent the same map as a full snapshot in one message.
#[derive(Debug, Clone)]
pub struct SnapshotRateLimiter {
    period: Duration,
    sent: BTreeMap<(SocketAddr, MapName), Duration>,
}

impl Default for SnapshotRateLimiter {
    fn default() -> Self {
        Self::once_in(FULL_MAP_PERIOD)
    }
}

impl SnapshotRateLimiter {
    /// At most one in each period, for each follower and map.
    pub fn once_in(period: Duration) -> Self {
        Self {
            period,
            sent: BTreeMap::new(),
        }
    }

    /// A follower has started anew and has nothing: the next snapshot may leave at once.
    pub fn reset(&mut self, to: SocketAddr) {
        self.sent.retain(|(follower, _), _| *follower != to);
    }

    /// Whether this message may leave for this follower now. Only snapshots are limited: a follower
    /// asks again several times a second while one is in flight.
    pub fn admits(&mut self, now: Duration, to: SocketAddr, updates: &ConsensusMessage) -> bool {
        let ConsensusMessage::Snapshot { map, .. } = updates else {
            return true;
        };
        let period = self.period;
        self.sent
            .retain(|_, sent_at| now.saturating_sub(*sent_at) < period);
        if self.sent.contains_key(&(to, *map)) {
            return false;
        }
        self.sent.insert((to, *map), now);
        true
    }
}
