//! One service as one proxy sees it: room, load, health and the retry budget.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::dispatch::{
    InstanceWatch, KeyWatch, ProxyKnowledge, RetryBudget, SlowStartBucket, Target,
};
use crate::facts::Heartbeat;
use crate::identifiers::{Chance, InstanceId};
use crate::map_items::Service;

/// How many failures in a row put an instance aside.
const FAILURES_TO_EJECT: u32 = 5;
const EJECT_SPAN: Duration = Duration::from_secs(2);
const EJECT_MOST: Duration = Duration::from_secs(16);
/// For how long an instance that could not be reached is left alone when it does not heartbeat either.
const UNREACHED_SPAN: Duration = Duration::from_secs(3);
/// For how long what an instance said of its load counts.
const REPORT_SPAN: Duration = Duration::from_millis(500);

/// A key that everyone wants rests no longer than this between two requests.
const KEY_REST_MOST: Duration = Duration::from_secs(1);

/// One service as one proxy sees it: a shard with its own lock in the daemon.
#[derive(Debug, Clone)]
pub struct ServiceShard {
    pub(crate) watches: HashMap<InstanceId, InstanceWatch>,
    pub(crate) keys: HashMap<u64, KeyWatch>,
    /// How many requests for one key this proxy may have under way: its part of the service's cap.
    pub(crate) key_share: f64,
    pub(crate) budget: RetryBudget,
    pub(crate) chance: Chance,
    /// Until when at least one instance is put aside.
    pub(crate) any_ejected_until: Duration,
    /// Only for proving the observers: one key may have all of its owner.
    pub ignore_key_cap: bool,
    /// Only for proving the observers: an instance whose heartbeats stay away gets nothing.
    pub ignore_response_evidence: bool,
}

impl ServiceShard {
    pub fn new(seed: u64) -> Self {
        Self {
            watches: HashMap::new(),
            keys: HashMap::new(),
            key_share: 1.0,
            budget: RetryBudget::default(),
            chance: Chance::seeded(seed),
            any_ejected_until: Duration::ZERO,
            ignore_key_cap: false,
            ignore_response_evidence: false,
        }
    }

    pub fn first_attempt(&mut self, now: Duration) {
        self.budget.first_attempt(now);
    }

    pub fn take_retry(&mut self, now: Duration) -> bool {
        self.budget.take(now)
    }

    /// Makes a watch for a heartbeat, anew when the instance lives another life.
    pub(crate) fn watch(&mut self, heartbeat: &Heartbeat) -> &mut InstanceWatch {
        // Why look before: the name is copied once in an instance's life and not for every request.
        if self
            .watches
            .get(&heartbeat.id)
            .is_none_or(|watch| watch.incarnation != heartbeat.incarnation)
        {
            let watch = InstanceWatch {
                incarnation: heartbeat.incarnation,
                ..InstanceWatch::default()
            };
            self.watches.insert(heartbeat.id.clone(), watch);
        }
        // Why this cannot miss: it was there or has just been put there.
        self.watches.get_mut(&heartbeat.id).expect("a watch")
    }

    /// Forgets the instances that are gone, and the keys that nobody wants any more.
    pub fn keep_only(&mut self, now: Duration, instances: &BTreeMap<InstanceId, Heartbeat>) {
        self.watches.retain(|id, _| instances.contains_key(id));
        self.keys
            .retain(|_, watch| watch.under_way > 0 || now < watch.rests_until);
    }

    /// Another life than the target's answered at its address: nothing more goes to this one.
    pub fn mark_incarnation_ended(&mut self, target: &Target) {
        let watch = self.watches.get_mut(&target.instance);
        if let Some(watch) = watch.filter(|watch| watch.incarnation == target.incarnation) {
            watch.over = true;
        }
    }

    /// Whether the instance may take one more, leaving the gentle rate aside.
    ///
    /// Why this proxy's part of the cap only: the cap is what an instance can stand, from however
    /// many proxies; a part is never less than one.
    pub(crate) fn has_capacity(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        proxies: u32,
    ) -> bool {
        let cap = service.instance_cap.div_ceil(proxies.max(1));
        let watch = self.watch(heartbeat);
        if let Some((counter, until)) = watch.unreached {
            if heartbeat.counter <= counter && now < until {
                return false;
            }
            watch.unreached = None;
        }
        watch.under_way < cap && now >= watch.ejected_until && !watch.over
    }

    /// No connection came about: until it heartbeats again the instance is not chosen.
    ///
    /// Why until then: it may come back cold, and only a heartbeat tells. Why for a while only: it may be
    /// this proxy alone that cannot reach it.
    pub fn not_opened(&mut self, now: Duration, target: &Target, counter: u64) {
        let watch = self.watches.get_mut(&target.instance);
        if let Some(watch) = watch.filter(|watch| watch.incarnation == target.incarnation) {
            watch.unreached = Some((counter, now + UNREACHED_SPAN));
        }
    }

    /// Whether the gentle rate lets a cold instance take one now.
    pub(crate) fn slow_start_admits(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        service: &Service,
        knowledge: &ProxyKnowledge,
    ) -> bool {
        // Why divided: the rate is the instance's, however many proxies there are.
        let rate = service.slow_start_rate() / f64::from(knowledge.proxies.max(1));
        let cold = knowledge.is_warming_up(heartbeat, service);
        // Why by chance: buckets that all begin empty at once are all full at once, and that many
        // proxies together would send in one second what the instance bears in several.
        let part = self.chance.below(1_000_000) as f64 / 1_000_000.0;
        let watch = self.watch(heartbeat);
        if !cold {
            watch.slow_start = None;
            return true;
        }
        let bucket = watch.slow_start.get_or_insert(SlowStartBucket {
            tokens: part,
            filled_at: now,
        });
        bucket.fill(now, rate);
        bucket.tokens >= 1.0
    }

    pub(crate) fn weight(&mut self, now: Duration, heartbeat: &Heartbeat) -> f64 {
        let watch = self.watch(heartbeat);
        // Why only of late: an instance that told of much to do and was then left alone would else
        // be left alone for ever.
        let reported = match now.saturating_sub(watch.reported_at) < REPORT_SPAN {
            true => watch.reported,
            false => 0,
        };
        let load = f64::from(watch.under_way) + f64::from(reported.max(heartbeat.load));
        load / f64::from(heartbeat.capacity.max(1))
    }

    /// An attempt at the target begins. `cold` spends a token of the gentle rate.
    pub fn begin(&mut self, now: Duration, target: &Target) {
        if let Some(watch) = self
            .watches
            .get_mut(&target.instance)
            .filter(|watch| watch.incarnation == target.incarnation)
        {
            watch.under_way += 1;
            if let Some(bucket) = &mut watch.slow_start {
                bucket.tokens -= 1.0;
            }
        }
        if let Some(key) = target.key {
            let watch = self.keys.entry(key).or_default();
            watch.under_way += 1;
            watch.began_at = now;
        }
    }

    /// A request for a key is over; the key may have to rest before the next.
    ///
    /// Why rest: a part of the cap that is less than one request is kept by having one under way for
    /// that part of the time. Why only under load: an owner with little to do needs no such care.
    fn end_key(&mut self, now: Duration, target: &Target, load: Option<u32>) {
        let share = self.key_share;
        let Some(watch) = target.key.and_then(|key| self.keys.get_mut(&key)) else {
            return;
        };
        watch.under_way = watch.under_way.saturating_sub(1);
        if share < 1.0 && load.is_some_and(|load| load >= 2) {
            let took = now.saturating_sub(watch.began_at);
            let rest = took.mul_f64(1.0 / share.max(0.01) - 1.0);
            watch.rests_until = now + rest.min(KEY_REST_MOST);
        }
    }

    /// The attempt was given up for a reason that says nothing of the instance: its client went
    /// away, or broke off its body.
    pub fn abandon(&mut self, now: Duration, target: &Target) {
        self.end_key(now, target, None);
        let watch = self.watches.get_mut(&target.instance);
        if let Some(watch) = watch.filter(|watch| watch.incarnation == target.incarnation) {
            watch.under_way = watch.under_way.saturating_sub(1);
        }
    }

    /// The attempt is over; `load` is what the instance reported with its answer.
    pub fn end(&mut self, now: Duration, target: &Target, good: bool, load: Option<u32>) {
        self.end_key(now, target, load);
        let Some(watch) = self
            .watches
            .get_mut(&target.instance)
            .filter(|watch| watch.incarnation == target.incarnation)
        else {
            return;
        };
        watch.under_way = watch.under_way.saturating_sub(1);
        if let Some(load) = load {
            watch.reported = load;
            watch.reported_at = now;
        }
        if good {
            watch.answered_at = Some(now);
            watch.failures = 0;
            watch.ejections = 0;
            return;
        }
        watch.failures += 1;
        if watch.failures >= FAILURES_TO_EJECT {
            let span = EJECT_SPAN * 2_u32.pow(watch.ejections.min(3));
            watch.ejected_until = now + span.min(EJECT_MOST);
            watch.ejections += 1;
            watch.failures = 0;
            self.any_ejected_until = self.any_ejected_until.max(watch.ejected_until);
        }
    }
}
