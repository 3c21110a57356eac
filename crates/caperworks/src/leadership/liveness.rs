//! The failure detector of the controllers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::NodeId;
use crate::leadership::{MIN_STABLE_PERIOD, SUCCESSOR_CONFIRMATION_PERIOD, SUSPICION_TIMEOUT};

/// The period in which messages of a node have arrived without a gap.
#[derive(Debug, Clone, Copy)]
struct ReachablePeriod {
    since: Duration,
    last: Duration,
}

/// The failure detector: when each controller was last seen, and since when without a gap.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    seen: BTreeMap<NodeId, ReachablePeriod>,
    behind: BTreeSet<NodeId>,
}

impl Liveness {
    /// Handles a message of a controller.
    pub fn handle(&mut self, now: Duration, node: NodeId) {
        let entry = self.seen.entry(node).or_insert(ReachablePeriod {
            since: now,
            last: now,
        });
        if now.saturating_sub(entry.last) >= SUSPICION_TIMEOUT {
            entry.since = now;
        }
        entry.last = now;
    }

    /// Records whether a controller is behind: whether it reported older map versions than ours of
    /// [`MAX_LAG_PERIOD`](crate::leadership::MAX_LAG_PERIOD) ago.
    pub fn record_lag(&mut self, node: NodeId, is_behind: bool) {
        if is_behind {
            self.behind.insert(node);
        } else {
            self.behind.remove(&node);
        }
    }

    /// Returns whether a controller is so far behind that it must not become leader.
    pub fn is_behind(&self, node: NodeId) -> bool {
        self.behind.contains(&node)
    }

    /// Returns whether `node`, which has the address of `predecessor`, has been seen only since the last
    /// message of `predecessor`.
    ///
    /// That proves that `predecessor` never returns: a process with another node number at the same
    /// address was started with an empty disk.
    pub fn is_successor(&self, now: Duration, node: NodeId, predecessor: NodeId) -> bool {
        let Some(seen) = self.seen.get(&node).filter(|_| self.is_alive(now, node)) else {
            return false;
        };
        let earlier = self.seen.get(&predecessor);
        earlier.is_none_or(|earlier| earlier.last < seen.since)
            && now.saturating_sub(seen.since) >= SUCCESSOR_CONFIRMATION_PERIOD
    }

    /// Suspects a node until its next message.
    pub fn mark_unreachable(&mut self, node: NodeId) {
        self.seen.remove(&node);
    }

    /// Returns when the last message of a node arrived.
    pub fn last_seen(&self, node: NodeId) -> Option<Duration> {
        self.seen.get(&node).map(|seen| seen.last)
    }

    /// Returns since when messages of a node have arrived without a gap.
    pub fn reachable_since(&self, node: NodeId) -> Option<Duration> {
        self.seen.get(&node).map(|seen| seen.since)
    }

    /// Returns whether a node is not suspected.
    pub fn is_alive(&self, now: Duration, node: NodeId) -> bool {
        self.seen
            .get(&node)
            .is_some_and(|seen| now.saturating_sub(seen.last) < SUSPICION_TIMEOUT)
    }

    /// Returns whether a node has been reachable without a gap for [`MIN_STABLE_PERIOD`].
    pub fn is_stable(&self, now: Duration, node: NodeId) -> bool {
        self.is_alive(now, node)
            && self
                .seen
                .get(&node)
                .is_some_and(|seen| now.saturating_sub(seen.since) >= MIN_STABLE_PERIOD)
    }
}
