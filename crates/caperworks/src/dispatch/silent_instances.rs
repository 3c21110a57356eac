//! Instances whose heartbeats stay away: which of them may still get requests.
//!
//! A proxy sees what no controller sees: whether an instance answers requests. One whose heartbeats
//! stay away while it answers is cut off from the core and not down, so it goes on serving. One that
//! does not answer either gets nothing more, unless so many fall silent together that their silence
//! says more of the way that heartbeats take than of the instances.

use std::time::Duration;

use crate::dispatch::{ProxyKnowledge, ServiceShard};
use crate::facts::Heartbeat;
use crate::identifiers::ServiceName;

/// For how long an answer shows that an instance whose heartbeats stay away still lives.
///
/// Why shorter than the span of a heartbeat: an instance that crashed must not count as answering
/// when its silence is noticed.
pub const RECENT_RESPONSE_WINDOW: Duration = Duration::from_secs(2);

impl ProxyKnowledge {
    /// Whether the heartbeats of more than half of a service's instances stay away.
    pub(crate) fn most_are_silent(&self, service: &ServiceName) -> bool {
        let heartbeats = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let is_silent = |heartbeat: &&Heartbeat| self.silent.contains(&heartbeat.id);
        heartbeats.iter().filter(is_silent).count() * 2 > heartbeats.len()
    }
}

impl ServiceShard {
    /// Whether requests may go to the instance as to any other: its heartbeats come, or it answered
    /// a moment ago and has not failed since.
    pub(crate) fn seems_alive(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        knowledge: &ProxyKnowledge,
    ) -> bool {
        if self.ignore_response_evidence {
            return !knowledge.silent.contains(&heartbeat.id);
        }
        // Why looked up last: nearly always no instance is silent.
        !knowledge.silent.contains(&heartbeat.id) || {
            let watch = self.watch(heartbeat);
            let responses = watch.answered_at.is_some_and(|answered_at| {
                now.saturating_sub(answered_at) < RECENT_RESPONSE_WINDOW
            });
            responses && watch.failures == 0
        }
    }

    /// Whether a silent instance may get requests where no other has room and most are silent:
    /// nothing that this proxy saw speaks against it.
    pub(crate) fn is_last_resort(&mut self, heartbeat: &Heartbeat) -> bool {
        let watch = self.watch(heartbeat);
        let has_not_failed = watch.failures == 0 && watch.ejections == 0;
        has_not_failed && !self.ignore_response_evidence
    }
}
