//! What one proxy knows of one service: the load and health of its instances, and the retry budget.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::dispatch::{InstanceStats, KeyStats, RetryBudget, Target};
use crate::facts::Heartbeat;
use crate::identifiers::{InstanceId, RandomSource};
use crate::map_items::Service;

/// The number of consecutive failures after which an instance is ejected.
const FAILURES_TO_EJECT: u32 = 5;
const BASE_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(16);
/// How long an instance that could not be reached is not chosen when it sends no heartbeat either.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(3);
/// How long the load that an instance reported is used.
const LOAD_REPORT_VALIDITY: Duration = Duration::from_millis(500);

/// The longest pause between two requests for a hot key.
const MAX_KEY_PAUSE: Duration = Duration::from_secs(1);

/// What one proxy knows of one service. In the daemon each service has a lock of its own.
#[derive(Debug, Clone)]
pub struct ServiceShard {
    pub(crate) instance_stats: HashMap<InstanceId, InstanceStats>,
    pub(crate) keys: HashMap<u64, KeyStats>,
    /// The number of requests for one key that this proxy may have in flight: its share of the
    /// limit of the service.
    pub(crate) key_share: f64,
    pub(crate) budget: RetryBudget,
    pub(crate) random_source: RandomSource,
    /// When the last ejection ends.
    pub(crate) last_ejection_ends: Duration,
    /// When the last warm-up ends that a health check showed.
    pub(crate) checked_warm_ups_end: Duration,
    /// Whether requests wait for health checks.
    pub(crate) needs_health_checks: bool,
    /// Only for fault injection in tests: ignores the limit per key.
    pub ignore_key_cap: bool,
    /// Only for fault injection in tests: an instance without heartbeats gets no requests even if
    /// it responds.
    pub ignore_response_evidence: bool,
}

impl ServiceShard {
    pub fn new(seed: u64) -> Self {
        Self {
            instance_stats: HashMap::new(),
            keys: HashMap::new(),
            key_share: 1.0,
            budget: RetryBudget::default(),
            random_source: RandomSource::seeded(seed),
            last_ejection_ends: Duration::ZERO,
            checked_warm_ups_end: Duration::ZERO,
            needs_health_checks: false,
            ignore_key_cap: false,
            ignore_response_evidence: false,
        }
    }

    /// Counts a first attempt for the retry budget.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.budget.record_first_attempt(now);
    }

    /// Takes a retry from the budget and returns whether there was one.
    pub fn take_retry(&mut self, now: Duration) -> bool {
        self.budget.take(now)
    }

    /// Returns the statistics of an instance; they start again when its incarnation changes.
    pub(crate) fn stats_for(&mut self, heartbeat: &Heartbeat) -> &mut InstanceStats {
        // Looked up first, so that the name is copied once per incarnation and not for every
        // request.
        if self
            .instance_stats
            .get(&heartbeat.id)
            .is_none_or(|stats| stats.incarnation != heartbeat.incarnation)
        {
            let stats = InstanceStats {
                incarnation: heartbeat.incarnation,
                ..InstanceStats::default()
            };
            self.instance_stats.insert(heartbeat.id.clone(), stats);
        }
        // The entry exists or was inserted above.
        self.instance_stats
            .get_mut(&heartbeat.id)
            .expect("inserted above")
    }

    /// Removes instances that no longer exist, and keys that are no longer in use.
    pub fn keep_only(&mut self, now: Duration, instances: &BTreeMap<InstanceId, Heartbeat>) {
        self.instance_stats
            .retain(|id, _| instances.contains_key(id));
        self.keys
            .retain(|_, stats| stats.in_flight > 0 || now < stats.paused_until);
    }

    /// Records that another incarnation responded at the address of the target: the target gets no
    /// more requests.
    pub fn mark_incarnation_ended(&mut self, target: &Target) {
        let stats = self.instance_stats.get_mut(&target.instance);
        if let Some(stats) = stats.filter(|stats| stats.incarnation == target.incarnation) {
            stats.has_ended = true;
        }
    }

    /// Returns whether the instance may take another request, apart from the slow-start rate.
    ///
    /// Only the share of this proxy counts: the limit is what an instance can take from all proxies
    /// together. A share is at least one.
    pub(crate) fn has_capacity(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        proxies: u32,
    ) -> bool {
        let max_in_flight = service.instance_cap.div_ceil(proxies.max(1));
        let stats = self.stats_for(heartbeat);
        if let Some((counter, until)) = stats.unreachable_until {
            if heartbeat.counter <= counter && now < until {
                return false;
            }
            stats.unreachable_until = None;
        }
        stats.in_flight < max_in_flight && now >= stats.ejected_until && !stats.has_ended
    }

    /// Records that no connection could be opened: the instance is not chosen until its next
    /// heartbeat.
    ///
    /// It may have restarted and be warming up, which only a heartbeat shows. The block is limited
    /// in time, since the instance may be unreachable from this proxy alone.
    pub fn record_connect_failure(&mut self, now: Duration, target: &Target, counter: u64) {
        let stats = self.instance_stats.get_mut(&target.instance);
        if let Some(stats) = stats.filter(|stats| stats.incarnation == target.incarnation) {
            stats.unreachable_until = Some((counter, now + UNREACHABLE_PERIOD));
        }
    }

    /// Returns the load of the instance in relation to its capacity.
    pub(crate) fn relative_load(&mut self, now: Duration, heartbeat: &Heartbeat) -> f64 {
        let stats = self.stats_for(heartbeat);
        // Old reports are ignored: otherwise an instance that once reported a high load would never
        // be chosen again, and so never report a lower one.
        let reported_load = match now.saturating_sub(stats.load_reported_at) < LOAD_REPORT_VALIDITY
        {
            true => stats.reported_load,
            false => 0,
        };
        let load = f64::from(stats.in_flight) + f64::from(reported_load.max(heartbeat.load));
        load / f64::from(heartbeat.capacity.max(1))
    }

    /// Starts an attempt at a target that was chosen at the same time, and spends a slow-start token if
    /// the target was chosen under slow start.
    pub fn begin_attempt(&mut self, now: Duration, target: &Target) {
        if let Some(stats) = self
            .instance_stats
            .get_mut(&target.instance)
            .filter(|stats| stats.incarnation == target.incarnation)
        {
            stats.in_flight += 1;
            if let Some(slow_start) = &mut stats.slow_start {
                slow_start.record_request(now);
            }
            stats.health_checks.record_request(now);
        }
        if let Some(key) = target.key {
            let stats = self.keys.entry(key).or_default();
            stats.in_flight += 1;
            stats.started_at = now;
        }
    }

    /// Ends a request for a key, and may delay the next one.
    ///
    /// A share of less than one request in flight is enforced by having one in flight for that
    /// fraction of the time. This applies only under load: an owner with little to do needs no such
    /// limit.
    fn end_key_request(&mut self, now: Duration, target: &Target, load: Option<u32>) {
        let share = self.key_share;
        let Some(stats) = target.key.and_then(|key| self.keys.get_mut(&key)) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if share < 1.0 && load.is_some_and(|load| load >= 2) {
            let took = now.saturating_sub(stats.started_at);
            let pause = took.mul_f64(1.0 / share.max(0.01) - 1.0);
            stats.paused_until = now + pause.min(MAX_KEY_PAUSE);
        }
    }

    /// Ends an attempt that shows nothing about the instance: the client disconnected or aborted
    /// its body.
    pub fn abandon_attempt(&mut self, now: Duration, target: &Target) {
        self.end_key_request(now, target, None);
        let stats = self.instance_stats.get_mut(&target.instance);
        if let Some(stats) = stats.filter(|stats| stats.incarnation == target.incarnation) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Ends an attempt; `load` is what the instance reported with its response.
    pub fn end_attempt(
        &mut self,
        now: Duration,
        target: &Target,
        has_succeeded: bool,
        load: Option<u32>,
    ) {
        self.end_key_request(now, target, load);
        let Some(stats) = self
            .instance_stats
            .get_mut(&target.instance)
            .filter(|stats| stats.incarnation == target.incarnation)
        else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(load) = load {
            stats.reported_load = load;
            stats.load_reported_at = now;
        }
        if has_succeeded {
            stats.responded_at = Some(now);
            stats.failures = 0;
            stats.ejections = 0;
            return;
        }
        stats.failures += 1;
        if stats.failures >= FAILURES_TO_EJECT {
            let duration = BASE_EJECTION * 2_u32.pow(stats.ejections.min(3));
            stats.ejected_until = now + duration.min(MAX_EJECTION);
            stats.ejections += 1;
            stats.failures = 0;
            self.last_ejection_ends = self.last_ejection_ends.max(stats.ejected_until);
        }
    }
}
