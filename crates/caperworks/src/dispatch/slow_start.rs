//! Slow start: instances that are warming up get requests at a limited rate, from all proxies together.
//!
//! Only a few proxies send to such an instance, as each may have saved a request for it and all of these may
//! come in the same second.
//!
//! The report of an instance that it is warm permits any rate, and may cease to be true at any moment. It
//! holds only while reports are current. After that the instance counts as warming up, unless a health check
//! has shown a moment ago that it is not, and permits a few requests.

use std::time::Duration;

use crate::dispatch::{target_of, ProxyState, ServiceShard, Target};
use crate::facts::Heartbeat;
use crate::identifiers::{stable_hash, InstanceId};
use crate::map_items::Service;

/// How long before reports cease to be current the health checks of instances begin.
const CHECK_LEAD: Duration = Duration::from_millis(400);
/// The interval between health checks of one instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The same if the requests are used up that the last one permitted.
const USED_UP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a health check shows that an instance is warm, from when it was sent.
const CHECK_VALIDITY: Duration = Duration::from_millis(500);
/// How long an instance is checked after a request might last have gone to it.
const CHECK_DEMAND_WINDOW: Duration = Duration::from_millis(1000);
/// The most health checks of one service that a proxy has in flight.
const MAX_CHECKS_IN_FLIGHT: usize = 16;
/// A slow start has ended if no request was considered under it for this long.
const SLOW_START_IDLE_PERIOD: Duration = Duration::from_millis(1000);

/// A token bucket that starts at a random level, so that many proxies together neither start with a
/// burst nor cause one when their buckets fill.
#[derive(Debug, Clone, Default)]
struct Bucket {
    tokens: f64,
    filled_at: Duration,
}

impl Bucket {
    fn fill(&mut self, now: Duration, rate_per_second: f64) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate_per_second).min(1.0);
        self.filled_at = now;
    }
}

/// The slow start of an instance at one proxy.
#[derive(Debug, Clone)]
pub(crate) struct SlowStart {
    bucket: Bucket,
    since: Duration,
    reason: SlowStartReason,
    /// The requests per second that this proxy may send.
    rate: f64,
    requests: u32,
}

impl SlowStart {
    /// Counts a request that begins at `now`, if it was admitted under this slow start.
    pub(crate) fn record_request(&mut self, now: Duration) {
        if self.bucket.filled_at == now {
            self.bucket.tokens -= 1.0;
            self.requests += 1;
        }
    }
}

/// Why an instance is in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlowStartReason {
    /// It reported that it is warming up, or its last report may be from before a change.
    Reported,
    /// A health check showed that it is warming up.
    HealthCheck,
    /// Its reports are not current, and no health check has shown lately that it is warm.
    Unconfirmed,
    /// The same, and the requests that the last health check permitted were sent.
    CheckUsedUp,
}

impl std::fmt::Display for SlowStartReason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Reported => "reported",
            Self::HealthCheck => "found by a health check",
            Self::Unconfirmed => "not known to be warm",
            Self::CheckUsedUp => "waiting for a health check",
        })
    }
}

/// What a proxy did during the slow start of an instance, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStartSummary {
    pub instance: InstanceId,
    /// Why it began.
    pub reason: SlowStartReason,
    pub duration: Duration,
    /// The requests per second that this proxy might send.
    pub rate: f64,
    /// The requests that it sent.
    pub requests: u32,
}

/// What the response to a health check showed.
#[derive(Debug, Clone, Copy)]
struct CheckResult {
    sent_at: Duration,
    warm_up_left: Duration,
    /// The requests that were sent because of it.
    requests: u32,
}

/// The health checks of one instance by one proxy.
#[derive(Debug, Clone, Default)]
pub(crate) struct HealthChecks {
    /// When a request might last have gone to the instance while its report was not current.
    wanted_at: Option<Duration>,
    /// When the last one was sent.
    sent_at: Option<Duration>,
    is_in_flight: bool,
    /// Whether the requests are used up that the last one permitted.
    is_used_up: bool,
    last_result: Option<CheckResult>,
    /// When the last result was found to show that the instance is warm.
    confirmed_at: Option<Duration>,
}

impl HealthChecks {
    /// Returns the last result if it shows that the instance is warm.
    fn warm_result(&self, now: Duration) -> Option<&CheckResult> {
        self.last_result.as_ref().filter(|result| {
            result.warm_up_left.is_zero() && now.saturating_sub(result.sent_at) < CHECK_VALIDITY
        })
    }

    /// Counts a request that begins at `now`, if a health check was the reason to admit it.
    pub(crate) fn record_request(&mut self, now: Duration) {
        if self.confirmed_at == Some(now) {
            if let Some(result) = &mut self.last_result {
                result.requests += 1;
            }
        }
    }

    fn shows_warming_up(&self, now: Duration) -> bool {
        self.last_result
            .is_some_and(|result| now < result.sent_at + result.warm_up_left)
    }

    fn is_due(&self, now: Duration) -> bool {
        let is_wanted = self
            .wanted_at
            .is_some_and(|wanted_at| now.saturating_sub(wanted_at) < CHECK_DEMAND_WINDOW);
        let interval = match self.is_used_up {
            true => USED_UP_CHECK_INTERVAL,
            false => CHECK_INTERVAL,
        };
        let was_sent_lately = self
            .sent_at
            .is_some_and(|sent_at| now.saturating_sub(sent_at) < interval);
        is_wanted && !self.is_in_flight && !was_sent_lately
    }
}

/// Whether the reports of an instance are current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportAge {
    Current,
    /// Current, but not for long unless new ones come.
    Expiring,
    Expired,
}

impl ProxyState {
    fn report_age(&self, now: Duration, id: &InstanceId) -> ReportAge {
        if now >= self.reports_current_until || self.suspected.contains(id) {
            return ReportAge::Expired;
        }
        match now + CHECK_LEAD < self.reports_current_until {
            true => ReportAge::Current,
            false => ReportAge::Expiring,
        }
    }

    /// Returns the requests per second that this proxy may send to an instance that is warming up.
    fn slow_start_share(&self, id: &InstanceId, service: &Service) -> f64 {
        let rate = service.slow_start_rate();
        let senders = self.policy.slow_start.max_senders(rate);
        let Some(position) = self.position.filter(|position| position.proxies > senders) else {
            return rate / f64::from(self.proxies.max(1));
        };
        let first = (stable_hash(id.as_str()) % u64::from(position.proxies)) as u32;
        let distance = (position.index + position.proxies - first) % position.proxies;
        match distance < senders {
            true => rate / f64::from(senders),
            false => 0.0,
        }
    }
}

impl ServiceShard {
    /// Returns why requests to the instance are limited to its slow-start rate, if they are.
    fn slow_start_reason(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        proxy_state: &ProxyState,
    ) -> Option<SlowStartReason> {
        if proxy_state.is_warming_up(heartbeat, service) {
            return Some(SlowStartReason::Reported);
        }
        // Without health checks nobody can tell, and the service would nearly rest while the controllers are away.
        if service.health_path.is_empty() {
            return None;
        }
        let report_age = proxy_state.report_age(now, &heartbeat.id);
        if report_age == ReportAge::Current && now >= self.checked_warm_ups_end {
            return None;
        }
        self.stats_for(heartbeat);
        let stats = self.instance_stats.get_mut(&heartbeat.id)?;
        let checks = &mut stats.health_checks;
        if report_age != ReportAge::Current {
            checks.wanted_at = Some(now);
        }
        if checks.shows_warming_up(now) {
            return Some(SlowStartReason::HealthCheck);
        }
        if report_age != ReportAge::Expired {
            return None;
        }
        let max_requests = proxy_state
            .policy
            .slow_start
            .requests_per_check(service.slow_start_rate(), proxy_state.proxies);
        match checks.warm_result(now) {
            None => {
                self.needs_health_checks |= checks.is_due(now);
                Some(SlowStartReason::Unconfirmed)
            }
            Some(result) if result.requests >= max_requests => {
                checks.is_used_up = true;
                self.needs_health_checks |= checks.is_due(now);
                Some(SlowStartReason::CheckUsedUp)
            }
            Some(_) => {
                checks.confirmed_at = Some(now);
                None
            }
        }
    }

    /// Returns whether requests to the instance are limited to its slow-start rate.
    pub(crate) fn is_in_slow_start(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        proxy_state: &ProxyState,
    ) -> bool {
        self.slow_start_reason(now, heartbeat, service, proxy_state)
            .is_some()
    }

    /// Returns whether the slow-start rate, if it applies, admits a request to the instance.
    pub(crate) fn slow_start_admits(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        proxy_state: &ProxyState,
    ) -> bool {
        let Some(reason) = self.slow_start_reason(now, heartbeat, service, proxy_state) else {
            return true;
        };
        if reason == SlowStartReason::CheckUsedUp {
            return false;
        }
        let rate = proxy_state.slow_start_share(&heartbeat.id, service);
        // Buckets start with a random level: if all started empty they would all be full at the
        // same time, and the proxies together would send in one second what the instance can take
        // in several.
        let initial_tokens = self.random_source.below(1_000_000) as f64 / 1_000_000.0;
        let slow_start = self
            .stats_for(heartbeat)
            .slow_start
            .get_or_insert(SlowStart {
                bucket: Bucket {
                    tokens: initial_tokens,
                    filled_at: now,
                },
                since: now,
                reason,
                rate,
                requests: 0,
            });
        slow_start.rate = rate;
        slow_start.bucket.fill(now, rate);
        rate > 0.0 && slow_start.bucket.tokens >= 1.0
    }

    /// Ends the slow starts under which no request is considered any more, and returns those under which this
    /// proxy sent requests.
    pub fn end_slow_starts(&mut self, now: Duration) -> Vec<SlowStartSummary> {
        let mut ended = Vec::new();
        for (id, stats) in &mut self.instance_stats {
            let has_ended = |slow_start: &mut SlowStart| {
                now.saturating_sub(slow_start.bucket.filled_at) >= SLOW_START_IDLE_PERIOD
            };
            if let Some(slow_start) = stats.slow_start.take_if(has_ended) {
                ended.push(SlowStartSummary {
                    instance: id.clone(),
                    reason: slow_start.reason,
                    duration: slow_start.bucket.filled_at - slow_start.since,
                    rate: slow_start.rate,
                    requests: slow_start.requests,
                });
            }
        }
        ended.retain(|summary| summary.requests > 0);
        ended
    }

    /// Returns whether requests wait for health checks that should begin before the next regular ones.
    pub fn needs_health_checks(&self) -> bool {
        self.needs_health_checks
    }

    /// Returns whether a health check is in flight, after which a request that no instance may take now can be
    /// sent.
    pub fn has_health_check_in_flight(&self) -> bool {
        let mut stats = self.instance_stats.values();
        stats.any(|stats| stats.health_checks.is_in_flight)
    }

    /// Returns the instances whose health is to be checked now.
    pub fn begin_health_checks(&mut self, now: Duration, proxy_state: &ProxyState) -> Vec<Target> {
        self.needs_health_checks = false;
        let stats = self.instance_stats.values();
        let in_flight = stats
            .filter(|stats| stats.health_checks.is_in_flight)
            .count();
        let mut targets = Vec::new();
        // In the order of their ids, so that a simulated run can be repeated.
        let mut by_id: Vec<_> = self.instance_stats.iter_mut().collect();
        by_id.sort_unstable_by_key(|(id, _)| *id);
        for (id, stats) in by_id {
            let heartbeat = proxy_state.instances.get(id);
            let Some(heartbeat) =
                heartbeat.filter(|heartbeat| heartbeat.incarnation == stats.incarnation)
            else {
                continue;
            };
            let may_start = in_flight + targets.len() < MAX_CHECKS_IN_FLIGHT;
            if may_start && stats.health_checks.is_due(now) {
                stats.health_checks.sent_at = Some(now);
                stats.health_checks.is_in_flight = true;
                targets.push(target_of(heartbeat, None, None));
            }
        }
        targets
    }

    /// Records the end of a health check that was sent at `sent_at`, and how much longer the instance said that
    /// it is warming up; `None` if it gave no valid response.
    pub fn end_health_check(
        &mut self,
        sent_at: Duration,
        target: &Target,
        warm_up_left: Option<Duration>,
    ) {
        let stats = self.instance_stats.get_mut(&target.instance);
        let Some(stats) = stats.filter(|stats| stats.incarnation == target.incarnation) else {
            return;
        };
        stats.health_checks.is_in_flight = false;
        stats.health_checks.is_used_up = false;
        if let Some(warm_up_left) = warm_up_left {
            stats.health_checks.last_result = Some(CheckResult {
                sent_at,
                warm_up_left,
                requests: 0,
            });
            self.checked_warm_ups_end = self.checked_warm_ups_end.max(sent_at + warm_up_left);
        }
    }
}
