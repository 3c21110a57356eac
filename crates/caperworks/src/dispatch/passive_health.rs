//! Passive health checks: which instances without recent heartbeats still get requests.
//!
//! A proxy sees what no controller sees: whether an instance responds to requests. One that
//! responds while its heartbeats are missing is partitioned from the controllers and not down, so
//! it keeps getting requests. One that does not respond either gets none, unless so many lose their
//! heartbeats at the same time that the heartbeat path is more likely at fault than the instances.

use std::time::Duration;

use crate::dispatch::{ProxyState, ServiceShard};
use crate::facts::Heartbeat;
use crate::identifiers::ServiceName;

/// How long a response shows that an instance without heartbeats is alive.
///
/// Shorter than the validity of a heartbeat: an instance that crashed must not count as responding
/// when its missing heartbeats are noticed.
pub const RECENT_RESPONSE_WINDOW: Duration = Duration::from_secs(2);

impl ProxyState {
    /// Returns whether more than half of the instances of a service have no recent heartbeat.
    pub(crate) fn majority_lacks_heartbeats(&self, service: &ServiceName) -> bool {
        let heartbeats = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let lacks_heartbeats = |heartbeat: &&Heartbeat| self.suspected.contains(&heartbeat.id);
        heartbeats.iter().filter(lacks_heartbeats).count() * 2 > heartbeats.len()
    }
}

impl ServiceShard {
    /// Returns whether the instance may get requests as usual: its heartbeats arrive, or it
    /// responded recently and has not failed since.
    pub(crate) fn is_presumed_alive(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        proxy_state: &ProxyState,
    ) -> bool {
        if self.ignore_response_evidence {
            return !proxy_state.suspected.contains(&heartbeat.id);
        }
        // Looked up last, since nearly always no instance is without heartbeats.
        !proxy_state.suspected.contains(&heartbeat.id) || {
            let stats = self.stats_for(heartbeat);
            let has_responded = stats.responded_at.is_some_and(|responded_at| {
                now.saturating_sub(responded_at) < RECENT_RESPONSE_WINDOW
            });
            has_responded && stats.failures == 0
        }
    }

    /// Returns whether an instance without heartbeats may get requests when no other has capacity
    /// and most have no heartbeats: this proxy has seen no failure of it.
    pub(crate) fn is_fallback_candidate(&mut self, heartbeat: &Heartbeat) -> bool {
        let stats = self.stats_for(heartbeat);
        let has_not_failed = stats.failures == 0 && stats.ejections == 0;
        has_not_failed && !self.ignore_response_evidence
    }
}
