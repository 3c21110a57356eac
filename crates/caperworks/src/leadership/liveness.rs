//! The failure detector of the controllers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identifiers::NodeId;
use crate::leadership::{BEHIND_LIMIT, STEADY, SUCCESSOR_SPAN, SUSPICION_TIMEOUT};

/// Since when a node was heard from without a gap, and when last.
#[derive(Debug, Clone, Copy)]
struct HeardSpan {
    since: Duration,
    last: Duration,
}

/// The failure detector: when each controller was heard from, and since when without a gap.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    heard: BTreeMap<NodeId, HeardSpan>,
    behind_since: BTreeMap<NodeId, Duration>,
}

impl Liveness {
    /// A message of a controller has arrived.
    pub fn handle(&mut self, now: Duration, node: NodeId) {
        let entry = self.heard.entry(node).or_insert(HeardSpan {
            since: now,
            last: now,
        });
        if now.saturating_sub(entry.last) >= SUSPICION_TIMEOUT {
            entry.since = now;
        }
        entry.last = now;
    }

    /// A controller reported its versions: `is_level` if they are as late as ours.
    pub fn handle_level(&mut self, now: Duration, node: NodeId, is_level: bool) {
        if is_level {
            self.behind_since.remove(&node);
        } else {
            self.behind_since.entry(node).or_insert(now);
        }
    }

    /// Whether a controller has been behind for so long that it gets no role.
    pub fn is_behind(&self, now: Duration, node: NodeId) -> bool {
        self.behind_since
            .get(&node)
            .is_some_and(|since| now.saturating_sub(*since) >= BEHIND_LIMIT)
    }

    /// Whether a node that has another's address was heard from since the other's last message.
    ///
    /// That proves that the other never returns: a process that has another node number at the same
    /// address has found an empty disk there.
    pub fn is_successor(&self, now: Duration, node: NodeId, before: NodeId) -> bool {
        let Some(heard) = self.heard.get(&node).filter(|_| self.alive(now, node)) else {
            return false;
        };
        let earlier = self.heard.get(&before);
        earlier.is_none_or(|earlier| earlier.last < heard.since)
            && now.saturating_sub(heard.since) >= SUCCESSOR_SPAN
    }

    /// Suspects a node from now on, until it is heard from again.
    pub fn lose(&mut self, node: NodeId) {
        self.heard.remove(&node);
    }

    /// When a node was last heard from.
    pub fn last_heard(&self, node: NodeId) -> Option<Duration> {
        self.heard.get(&node).map(|heard| heard.last)
    }

    /// Whether a node is not suspected.
    pub fn alive(&self, now: Duration, node: NodeId) -> bool {
        self.heard
            .get(&node)
            .is_some_and(|heard| now.saturating_sub(heard.last) < SUSPICION_TIMEOUT)
    }

    /// Whether a node has been heard from without a gap for [`STEADY`].
    pub fn steady(&self, now: Duration, node: NodeId) -> bool {
        self.alive(now, node)
            && self
                .heard
                .get(&node)
                .is_some_and(|heard| now.saturating_sub(heard.since) >= STEADY)
    }
}
