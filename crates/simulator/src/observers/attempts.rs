//! Checks of attempts: where requests may be sent, and how many retries are allowed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::observers::invariants::Invariant;
use crate::observers::reads::CONFIGURATION_LIMIT;
use crate::observers::Observers;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{Region, ServiceName, Version, Zone};
use caperworks::map_items::{Route, Service};

/// How long requests may still reach an instance after a controller received that it is draining.
pub const DRAINING_LIMIT: Duration = Duration::from_millis(4000);

/// How long requests may still be served in a zone after its closing was accepted.
pub const CLOSED_ZONE_LIMIT: Duration = Duration::from_millis(5000);

/// Retries within ten seconds that are allowed on top of a fifth of the first attempts.
const RETRY_ALLOWANCE: u64 = 36;

/// The attempts at a service within the last ten seconds, and how many of them were retries.
#[derive(Default)]
pub(crate) struct ServiceAttempts {
    window: VecDeque<(Duration, bool)>,
    retries: u64,
}

/// A request as it arrived at an instance.
pub struct ReceivedAttempt<'world> {
    pub request: u64,
    pub instance: &'world Heartbeat,
    pub is_warming_up: bool,
    /// Whether it is for this instance and incarnation: others are rejected, and do not count as work.
    pub is_addressee: bool,
    pub service: &'world Service,
    pub route: &'world Route,
    pub region: &'world Region,
    pub proxy_zone: &'world Zone,
    pub proxy_region: &'world Region,
    pub configuration: Version,
    /// Whether the proxy has to apply updates in time. A proxy that serves stale is exempt while it
    /// is disconnected; one that stops without a valid lease is never exempt.
    pub must_follow: bool,
}

impl Observers {
    /// Records that a controller received a heartbeat of a draining instance.
    pub fn draining_received(&mut self, at: Duration, heartbeat: &Heartbeat) {
        self.draining
            .entry((heartbeat.id.clone(), heartbeat.incarnation))
            .or_insert(at);
    }

    /// Records that a zone's reopening was requested: requests in it are allowed from now on.
    pub fn zone_reopened(&mut self, zone: &Zone) {
        self.closed.remove(zone);
    }

    /// Records an attempt of a proxy and checks the share of retries.
    pub fn attempt_sent(&mut self, at: Duration, service: &ServiceName, is_retry: bool) {
        self.tally.attempts += 1;
        self.tally.retries += u64::from(is_retry);
        let attempts = self.service_attempts.entry(service.clone()).or_default();
        attempts.window.push_back((at, is_retry));
        attempts.retries += u64::from(is_retry);
        while let Some((first, is_retry)) = attempts.window.front().copied() {
            if at.saturating_sub(first) <= Duration::from_secs(10) {
                break;
            }
            attempts.window.pop_front();
            attempts.retries -= u64::from(is_retry);
        }
        let retries = attempts.retries;
        let first = attempts.window.len() as u64 - retries;
        if retries > first / 5 + RETRY_ALLOWANCE {
            let details =
                format!("service {service}: {retries} retries to {first} first attempts in 10 s");
            self.record_violation(Invariant::TooManyRetries, at, details);
        }
    }

    /// Checks a request that has arrived at an instance.
    pub fn attempt_received(&mut self, at: Duration, received: &ReceivedAttempt<'_>) {
        if received.must_follow {
            self.check_draining(at, received);
            self.check_configuration(at, received);
            self.check_closed(at, received);
        }
        self.check_home(at, received);
        self.tally.cross_zone += u64::from(received.instance.zone != *received.proxy_zone);
        self.tally.cross_region += u64::from(received.region != received.proxy_region);
        if received.is_warming_up {
            self.check_slow_start(at, received);
        }
    }

    fn check_draining(&mut self, at: Duration, received: &ReceivedAttempt<'_>) {
        let heartbeat = received.instance;
        let key = (heartbeat.id.clone(), heartbeat.incarnation);
        if let Some(since) = self.draining.get(&key) {
            if at.saturating_sub(*since) > DRAINING_LIMIT {
                let details = format!(
                    "request {} reached the draining instance {}",
                    received.request, heartbeat.id
                );
                self.record_violation(Invariant::ReachedLeaving, at, details);
            }
        }
    }

    fn check_configuration(&mut self, at: Duration, received: &ReceivedAttempt<'_>) {
        while let Some((since, version)) = self.due_versions.front().copied() {
            if at.saturating_sub(since) <= CONFIGURATION_LIMIT {
                break;
            }
            self.due_versions.pop_front();
            self.due_version = self.due_version.max(version);
        }
        if received.configuration < self.due_version {
            let details = format!(
                "request {} was sent under version {}, but {} was accepted before the limit",
                received.request, received.configuration, self.due_version
            );
            self.record_violation(Invariant::OldConfiguration, at, details);
        }
    }

    fn check_closed(&mut self, at: Duration, received: &ReceivedAttempt<'_>) {
        for zone in [&received.instance.zone, received.proxy_zone] {
            if let Some(since) = self.closed.get(zone) {
                if at.saturating_sub(*since) > CLOSED_ZONE_LIMIT {
                    let details = format!(
                        "request {} was served in closed zone {zone}",
                        received.request
                    );
                    self.record_violation(Invariant::ClosedZone, at, details);
                }
            }
        }
    }

    fn check_home(&mut self, at: Duration, received: &ReceivedAttempt<'_>) {
        let homes = &received.route.homes;
        let is_allowed = |region: &Region| homes.is_empty() || homes.contains(region);
        if !is_allowed(received.region) || !is_allowed(received.proxy_region) {
            let details = format!(
                "request {} reached {} in {}; proxy or instance is outside the home regions",
                received.request, received.instance.id, received.region
            );
            self.record_violation(Invariant::LeftHome, at, details);
        }
    }

    fn check_slow_start(&mut self, at: Duration, received: &ReceivedAttempt<'_>) {
        let heartbeat = received.instance;
        let key = (heartbeat.id.clone(), heartbeat.incarnation);
        let window = self.slow_start_attempts.entry(key).or_default();
        window.push_back((at, received.is_addressee));
        while window
            .front()
            .is_some_and(|(first, _)| at.saturating_sub(*first) > Duration::from_secs(3))
        {
            window.pop_front();
        }
        let in_last_second = window
            .iter()
            .filter(|(earlier, is_addressee)| {
                *is_addressee && at.saturating_sub(*earlier) < Duration::from_secs(1)
            })
            .count();
        let rate = (received.service.slow_start_rate_milli / 1000) as usize;
        let limit = rate * 3 * 5 / 4 + 6;
        if window.len() > limit {
            let details = format!(
                "{} received {} requests in 3 s while warming up",
                heartbeat.id,
                window.len()
            );
            self.record_violation(Invariant::ColdFlooded, at, details);
        }
        if in_last_second > rate * 3 / 2 + 5 {
            let details = format!(
                "{} received {in_last_second} requests in a second while warming up",
                heartbeat.id
            );
            self.record_violation(Invariant::ColdFlooded, at, details);
        }
    }
}
