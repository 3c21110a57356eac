//! Checks of attempts: where requests may be sent, and how many retries are allowed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::observers::invariants::Invariant;
use crate::observers::reads::CONFIGURATION_LIMIT;
use crate::observers::Observers;
use caperworks::facts::Heartbeat;
use caperworks::identifiers::{Region, ServiceName, Version, Zone};
use caperworks::map_items::{Route, Service};

pub const DRAINING_LIMIT: Duration = Duration::from_millis(4000);

pub const CLOSED_ZONE_LIMIT: Duration = Duration::from_millis(5000);

const RETRY_ALLOWANCE: u64 = 36;

/// The attempts at a service within the last ten seconds, and how many of them were retries.
#[derive(Default)]
pub(crate) struct ServiceAttempts {
    window: VecDeque<(Duration, bool)>,
    retries: u64,
}

/// A request as it arrived at an instance.
pub struct Reached<'world> {
    pub request: u64,
    pub instance: &'world Heartbeat,
    pub is_warming_up: bool,
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
    pub fn attempt(&mut self, at: Duration, service: &ServiceName, is_retry: bool) {
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
    pub fn reached(&mut self, at: Duration, reached: &Reached<'_>) {
        if reached.must_follow {
            self.check_draining(at, reached);
            self.check_configuration(at, reached);
            self.check_closed(at, reached);
        }
        self.check_home(at, reached);
        self.tally.cross_zone += u64::from(reached.instance.zone != *reached.proxy_zone);
        self.tally.cross_region += u64::from(reached.region != reached.proxy_region);
        if reached.is_warming_up {
            self.check_slow_start(at, reached);
        }
    }

    fn check_draining(&mut self, at: Duration, reached: &Reached<'_>) {
        let heartbeat = reached.instance;
        let key = (heartbeat.id.clone(), heartbeat.incarnation);
        if let Some(since) = self.draining.get(&key) {
            if at.saturating_sub(*since) > DRAINING_LIMIT {
                let details = format!(
                    "request {} reached the draining instance {}",
                    reached.request, heartbeat.id
                );
                self.record_violation(Invariant::ReachedLeaving, at, details);
            }
        }
    }

    fn check_configuration(&mut self, at: Duration, reached: &Reached<'_>) {
        while let Some((since, version)) = self.due_versions.front().copied() {
            if at.saturating_sub(since) <= CONFIGURATION_LIMIT {
                break;
            }
            self.due_versions.pop_front();
            self.due_version = self.due_version.max(version);
        }
        if reached.configuration < self.due_version {
            let details = format!(
                "request {} was sent under version {}, but {} was accepted before the limit",
                reached.request, reached.configuration, self.due_version
            );
            self.record_violation(Invariant::OldConfiguration, at, details);
        }
    }

    fn check_closed(&mut self, at: Duration, reached: &Reached<'_>) {
        for zone in [&reached.instance.zone, reached.proxy_zone] {
            if let Some(since) = self.closed.get(zone) {
                if at.saturating_sub(*since) > CLOSED_ZONE_LIMIT {
                    let details = format!(
                        "request {} was served in closed zone {zone}",
                        reached.request
                    );
                    self.record_violation(Invariant::ClosedZone, at, details);
                }
            }
        }
    }

    fn check_home(&mut self, at: Duration, reached: &Reached<'_>) {
        let homes = &reached.route.homes;
        let is_allowed = |region: &Region| homes.is_empty() || homes.contains(region);
        if !is_allowed(reached.region) || !is_allowed(reached.proxy_region) {
            let details = format!(
                "request {} reached {} in {}; proxy or instance is outside the home regions",
                reached.request, reached.instance.id, reached.region
            );
            self.record_violation(Invariant::LeftHome, at, details);
        }
    }

    fn check_slow_start(&mut self, at: Duration, reached: &Reached<'_>) {
        let heartbeat = reached.instance;
        let key = (heartbeat.id.clone(), heartbeat.incarnation);
        let window = self.slow_start_attempts.entry(key).or_default();
        window.push_back(at);
        while window
            .front()
            .is_some_and(|first| at.saturating_sub(*first) > Duration::from_secs(3))
        {
            window.pop_front();
        }
        let limit = (reached.service.slow_start_rate_milli / 1000) as usize * 3 * 5 / 4 + 6;
        if window.len() > limit {
            let details = format!(
                "{} received {} requests in 3 s while warming up",
                heartbeat.id,
                window.len()
            );
            self.record_violation(Invariant::ColdFlooded, at, details);
        }
    }
}
