//! Health checks of instances whose reports are not current, and the log of slow starts.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, StatusCode};

use crate::framing::header_text;
use crate::instance_connections::InstanceKey;
use crate::request_handler::RequestHandler;
use caperworks::dispatch::{ProxyState, ServiceShard, SlowStartSummary, Target};
use runtime::events::{event, SLOW_START_ENDED};
use runtime::http::full_body;
use runtime::locks::locked;

/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

impl RequestHandler {
    /// Starts the health checks that are due, and logs the slow starts that have ended.
    pub(crate) fn maintain_slow_starts(self: &Arc<Self>) {
        let proxy_state = self.proxy_state();
        for shard in self.all_shards() {
            let mut shard = locked(&shard);
            self.start_health_checks(&mut shard, &proxy_state);
            let ended = shard.end_slow_starts(self.clock.now());
            drop(shard);
            for summary in ended {
                log_slow_start(&summary);
            }
        }
    }

    /// Starts the health checks of one service that are due.
    pub(crate) fn start_health_checks(
        self: &Arc<Self>,
        shard: &mut ServiceShard,
        proxy_state: &ProxyState,
    ) {
        let now = self.clock.now();
        for target in shard.begin_health_checks(now, proxy_state) {
            tokio::spawn(self.clone().check_health(now, target));
        }
    }

    /// Checks the health of an instance, and records what it showed.
    pub async fn check_health(self: Arc<Self>, sent_at: Duration, target: Target) {
        let response = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, self.request_health(&target));
        let warm_up_left = response.await.ok().flatten();
        let shard = self.shard(&target.service);
        locked(&shard).end_health_check(sent_at, &target, warm_up_left);
        self.health_checked.notify_waiters();
    }

    /// Returns how much longer the instance says that it is warming up; `None` if it gives no valid response.
    async fn request_health(&self, target: &Target) -> Option<Duration> {
        let path = {
            let proxy_state = self.proxy_state();
            proxy_state.service(&target.service)?.health_path.clone()
        };
        let request = Request::builder()
            .uri(path)
            .header("host", target.address.to_string())
            .body(full_body(""))
            .ok()?;
        let key: InstanceKey = (target.instance.clone(), target.incarnation, target.address);
        let connections = &self.connections;
        let mut connection = connections
            .acquire(&key, HEALTH_CHECK_TIMEOUT, true)
            .await?;
        let response = connection.sender.try_send_request(request).await.ok()?;
        let headers = response.headers();
        // On a reused connection this may be a surplus response to an earlier request.
        let identity = header_text(headers, self.protocol_adapter.health_identity.as_str());
        if identity != Some(target.instance.as_str())
            || self.is_another_incarnation(headers, target)
        {
            return None;
        }
        let is_healthy = response.status() == StatusCode::OK;
        let warm_up_left = (self.protocol_adapter.warm_up_left)(headers);
        response.into_body().collect().await.ok()?;
        connections.release(key, connection);
        warm_up_left.filter(|_| is_healthy)
    }
}

fn log_slow_start(summary: &SlowStartSummary) {
    event(
        SLOW_START_ENDED,
        format!(
            "{}: {} requests in {} ms, at most {:.2} a second; {}",
            summary.instance,
            summary.requests,
            summary.duration.as_millis(),
            summary.rate,
            summary.reason
        ),
    );
}
