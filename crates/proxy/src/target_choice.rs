//! Chooses the instance for an attempt, and waits for a health check where that may admit the request.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::request_handler::RequestHandler;
use caperworks::dispatch::{Failure, ServiceShard, Target};
use caperworks::identifiers::{InstanceId, ServiceName};
use caperworks::map_items::Route;
use runtime::locks::locked;

/// How long a request waits for health checks.
const MAX_HEALTH_CHECK_WAIT: Duration = Duration::from_millis(150);

/// What the choice of an instance depends on.
pub(crate) struct Choice<'request> {
    pub(crate) shard: &'request Mutex<ServiceShard>,
    pub(crate) route: &'request Route,
    pub(crate) service: &'request ServiceName,
    pub(crate) key: Option<&'request str>,
    /// The instances that were tried before.
    pub(crate) excluded: &'request [InstanceId],
}

impl RequestHandler {
    /// Chooses the target of an attempt and begins the attempt. Waits for health checks in flight if no instance
    /// may take the request before.
    pub(crate) async fn begin_attempt(
        self: &Arc<Self>,
        choice: &Choice<'_>,
        deadline: Duration,
    ) -> Result<Target, Failure> {
        let started_at = self.clock.now();
        let wait_until = deadline.min(started_at + MAX_HEALTH_CHECK_WAIT);
        loop {
            let now = self.clock.now();
            let health_checked = self.health_checked.notified();
            tokio::pin!(health_checked);
            {
                let proxy_state = self.proxy_state();
                proxy_state.check_admission(now, &self.zone, choice.route)?;
                let mut shard = locked(choice.shard);
                let chosen = shard.choose_in_service(
                    now,
                    &proxy_state,
                    &self.zone,
                    choice.route,
                    choice.service,
                    choice.key,
                    choice.excluded,
                );
                if shard.needs_health_checks() {
                    self.start_health_checks(&mut shard, &proxy_state);
                }
                match chosen {
                    Ok(target) => {
                        shard.begin_attempt(now, &target);
                        return Ok(target);
                    }
                    Err(Failure::NoInstance)
                        if now < wait_until && shard.has_health_check_in_flight() => {}
                    Err(failure) => return Err(failure),
                }
                // Registered under the lock, so that the end of a check is not missed.
                health_checked.as_mut().enable();
            }
            let remaining = wait_until.saturating_sub(self.clock.now());
            // Chosen again in either case.
            let _ = tokio::time::timeout(remaining, health_checked).await;
        }
    }
}
