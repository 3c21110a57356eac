//! The known instances: the latest heartbeat of each, which of them are suspected, and which instances
//! have deregistered.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::deregistrations::{Deregistrations, ReceivedDeregistration};
use crate::facts::offset_before;
use crate::facts::InstanceState;
use crate::facts::{first_facts_after, FactBatch, FactEntry, Heartbeat, ReceivedHeartbeat};
use crate::identifiers::InstanceId;

/// Default time without a heartbeat after which an instance is deregistered.
pub const INSTANCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long a follower keeps a suspected instance, for proxies that still receive its responses.
pub const SUSPECTED_RETENTION: Duration = Duration::from_secs(30);
/// How long followers list an instance that deregistered while it was serving.
const SERVING_ON_RETENTION: Duration = Duration::from_secs(5);

/// The known instances.
#[derive(Debug, Clone)]
pub struct Instances {
    known: BTreeMap<InstanceId, FactEntry<Heartbeat>>,
    /// The instance that was last seen at each address. Without this index every heartbeat would need a
    /// scan of all instances, which would be the main cost with many of them.
    by_address: HashMap<SocketAddr, InstanceId>,
    /// Instances that have deregistered, so that no late heartbeat brings them back.
    deregistrations: Deregistrations,
    /// The last heartbeats of instances that deregistered while they were serving, changed
    /// to draining, with the time of the deregistration. Some serve on for a while.
    serving_on: BTreeMap<InstanceId, (Heartbeat, Duration)>,
    /// Known instances whose heartbeats are overdue, and since when each is suspected.
    suspected: BTreeMap<InstanceId, Duration>,
    /// The highest offset that was assigned to a change.
    latest_offset: u64,
    /// Time without a heartbeat after which an instance is suspected or expires.
    pub timeout: Duration,
    /// How long a heartbeat that reports no change need not be forwarded to followers.
    pub refresh_interval: Duration,
    /// The offset of the latest removal.
    latest_removal_offset: u64,
}

impl Default for Instances {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            by_address: HashMap::new(),
            deregistrations: Deregistrations::default(),
            serving_on: BTreeMap::new(),
            suspected: BTreeMap::new(),
            latest_offset: 0,
            timeout: INSTANCE_TIMEOUT,
            refresh_interval: Duration::ZERO,
            latest_removal_offset: 0,
        }
    }
}

impl Instances {
    /// Merges a heartbeat; returns whether it changed anything.
    pub fn handle(&mut self, now: Duration, received: &ReceivedHeartbeat) -> bool {
        let received_at = now.saturating_sub(received.age);
        if now.saturating_sub(received_at) >= self.timeout
            || self.deregistrations.contains(&received.heartbeat.id)
        {
            return false;
        }
        if let Some(entry) = self.known.get(&received.heartbeat.id) {
            // Incarnation numbers come from wall clocks, which may be set back. A heartbeat of another
            // incarnation is therefore accepted whatever its number once the known one is suspected.
            let is_another_incarnation = received.heartbeat.incarnation != entry.fact.incarnation;
            let replaces_suspected =
                is_another_incarnation && self.suspected.contains_key(&received.heartbeat.id);
            if !replaces_suspected && !received.heartbeat.is_newer_than(&entry.fact) {
                return false;
            }
        }
        // An address has one instance at a time: the one whose latest incarnation was seen there last
        // replaces the other.
        let address = received.heartbeat.address;
        let is_new = self.known.get(&received.heartbeat.id).is_none_or(|entry| {
            entry.fact.incarnation != received.heartbeat.incarnation
                || entry.fact.address != address
        });
        let other = self
            .by_address
            .get(&address)
            .filter(|id| **id != received.heartbeat.id)
            .cloned();
        if let Some(other) = other {
            // Receive times are compared so that a late heartbeat of the previous instance, forwarded by
            // a third node, does not remove the instance that has its address now.
            let is_outdated = self
                .known
                .get(&other)
                .is_some_and(|entry| entry.received_at >= received_at);
            if !is_new || is_outdated {
                return false;
            }
            self.known.remove(&other);
            self.suspected.remove(&other);
            self.record_removal();
        }
        if is_new {
            self.serving_on
                .retain(|_, (heartbeat, _)| heartbeat.address != address);
        }
        if let Some(entry) = self.known.get(&received.heartbeat.id) {
            self.by_address.remove(&entry.fact.address);
        }
        self.by_address
            .insert(address, received.heartbeat.id.clone());
        let was_suspected = self.suspected.remove(&received.heartbeat.id).is_some();
        let unchanged = self.known.get(&received.heartbeat.id).filter(|entry| {
            !was_suspected
                && !received.heartbeat.differs_from(&entry.fact)
                && now.saturating_sub(entry.notified_at) < self.refresh_interval
        });
        // An unchanged heartbeat keeps its offset: followers are notified of changes at once, but of
        // the mere fact that an instance is alive only once per refresh interval.
        let (offset, notified_at) = match unchanged {
            Some(entry) => (entry.offset, entry.notified_at),
            None => {
                self.latest_offset += 1;
                (self.latest_offset, now)
            }
        };
        self.known.insert(
            received.heartbeat.id.clone(),
            FactEntry {
                fact: received.heartbeat.clone(),
                received_at,
                offset,
                notified_at,
            },
        );
        true
    }

    /// Returns the offset of the latest removal; a follower with a lower offset needs a full snapshot.
    pub fn latest_removal_offset(&self) -> u64 {
        self.latest_removal_offset
    }

    fn record_removal(&mut self) {
        self.latest_offset += 1;
        self.latest_removal_offset = self.latest_offset;
    }

    /// Handles an instance's deregistration; returns whether it was not known yet.
    pub fn record_deregistration(&mut self, now: Duration, id: &InstanceId) -> bool {
        let received = ReceivedDeregistration {
            id: id.clone(),
            age: Duration::ZERO,
        };
        self.handle_deregistration(now, &received)
    }

    /// Handles a report that an instance deregistered some time ago; returns whether it was not
    /// known yet.
    pub fn handle_deregistration(
        &mut self,
        now: Duration,
        received: &ReceivedDeregistration,
    ) -> bool {
        let offset = self.latest_offset + 1;
        if !self.deregistrations.record(now, received, offset) {
            return false;
        }
        let id = &received.id;
        if let Some(entry) = self.known.remove(id) {
            self.by_address.remove(&entry.fact.address);
            self.record_serving_on(now, entry.fact);
        }
        self.suspected.remove(id);
        self.record_removal();
        true
    }

    /// Records that an instance may serve on after it deregistered. One that drained before
    /// terminates at once.
    fn record_serving_on(&mut self, now: Duration, mut heartbeat: Heartbeat) {
        if heartbeat.state == InstanceState::Draining {
            return;
        }
        heartbeat.state = InstanceState::Draining;
        self.serving_on
            .insert(heartbeat.id.clone(), (heartbeat, now));
    }

    /// Returns the instances that deregistered lately without draining before, as draining:
    /// owners among them serve on while nobody else owns their key ranges.
    pub fn serving_on(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        self.serving_on
            .values()
            .filter(move |(_, since)| now.saturating_sub(*since) < SERVING_ON_RETENTION)
            .map(|(heartbeat, _)| heartbeat)
    }

    /// Returns the deregistrations that are still remembered.
    pub fn deregistrations(&self) -> &Deregistrations {
        &self.deregistrations
    }

    /// Returns whether an instance has deregistered.
    pub fn has_deregistered(&self, id: &InstanceId) -> bool {
        self.deregistrations.contains(id)
    }

    /// Returns how long ago an instance deregistered, if it did.
    pub fn time_since_deregistration(&self, now: Duration, id: &InstanceId) -> Option<Duration> {
        self.deregistrations.age(now, id)
    }

    /// Returns the instances whose deregistration was recorded after an offset.
    pub fn deregistered_after(&self, now: Duration, offset: u64) -> Vec<InstanceId> {
        let deregistered = self.deregistrations.after(now, offset);
        deregistered.into_iter().map(|entry| entry.id).collect()
    }

    /// Removes and returns the instances whose heartbeats are overdue.
    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        self.prune_ended(now);
        let timeout = self.timeout;
        let overdue = self.known.iter();
        let overdue = overdue.filter(|(_, entry)| now.saturating_sub(entry.received_at) >= timeout);
        let expired: Vec<InstanceId> = overdue.map(|(id, _)| id.clone()).collect();
        self.evict(&expired);
        expired
    }

    /// Marks the instances whose heartbeats are overdue as suspected, and returns those that were not
    /// suspected before; removes those that have been suspected for [`SUSPECTED_RETENTION`].
    ///
    /// Suspected instances are not removed at once, since the network may be losing only their
    /// heartbeats and not their responses.
    pub fn mark_suspected(&mut self, now: Duration) -> Vec<InstanceId> {
        self.prune_ended(now);
        self.evict_long_suspected(now);
        let timeout = self.timeout;
        let mut newly_suspected = Vec::new();
        for (id, entry) in &mut self.known {
            let is_recent = now.saturating_sub(entry.received_at) < timeout;
            if is_recent || self.suspected.contains_key(id) {
                continue;
            }
            self.suspected.insert(id.clone(), now);
            // Proxies are notified of what changed, so a suspicion gets a new offset.
            self.latest_offset += 1;
            entry.offset = self.latest_offset;
            entry.notified_at = now;
            newly_suspected.push(id.clone());
        }
        newly_suspected
    }

    /// Returns whether the instance is suspected: it is known, and its heartbeats are overdue.
    pub fn is_suspected(&self, id: &InstanceId) -> bool {
        self.suspected.contains_key(id)
    }

    /// Forgets the deregistrations that need not be remembered any longer, and returns them.
    pub fn forget_old_deregistrations(&mut self, now: Duration) -> Vec<InstanceId> {
        self.deregistrations.expire(now)
    }

    fn prune_ended(&mut self, now: Duration) {
        self.serving_on
            .retain(|_, (_, since)| now.saturating_sub(*since) < SERVING_ON_RETENTION);
        self.forget_old_deregistrations(now);
    }

    /// The time counts from when an instance became suspected, not from its last heartbeat: while the
    /// controllers are unreachable no instance becomes suspected, however long the outage lasts.
    fn evict_long_suspected(&mut self, now: Duration) {
        let suspected = self.suspected.iter();
        let expired =
            suspected.filter(|(_, since)| now.saturating_sub(**since) >= SUSPECTED_RETENTION);
        let expired: Vec<InstanceId> = expired.map(|(id, _)| id.clone()).collect();
        self.evict(&expired);
    }

    fn evict(&mut self, expired: &[InstanceId]) {
        for id in expired {
            self.suspected.remove(id);
            if let Some(entry) = self.known.remove(id) {
                self.by_address.remove(&entry.fact.address);
            }
        }
        if !expired.is_empty() {
            self.record_removal();
        }
    }

    /// Returns the offset of the latest change.
    pub fn latest_offset(&self) -> u64 {
        self.latest_offset
    }

    /// Returns the offset up to which instances and deregistrations were recorded before `moment`.
    pub fn offset_before(&self, moment: Duration) -> u64 {
        let known = offset_before(self.known.values(), moment);
        known.max(self.deregistrations.offset_before(moment))
    }

    /// Returns the heartbeats that were recorded after an offset, with their current age.
    pub fn after(&self, now: Duration, offset: u64) -> Vec<ReceivedHeartbeat> {
        self.first_after(now, offset, usize::MAX).received
    }

    /// Returns the first heartbeats that were recorded after an offset, with their current age: at most
    /// `max_count`, and in addition all later ones of draining instances.
    ///
    /// The lease is granted with the first batch, and a proxy with a lease must know of every draining
    /// instance.
    pub fn first_after(
        &self,
        now: Duration,
        offset: u64,
        max_count: usize,
    ) -> FactBatch<ReceivedHeartbeat> {
        let (first, more) = first_facts_after(self.known.values(), offset, max_count);
        let last = first.last().map(|entry| entry.offset);
        let end_offset = last.filter(|_| more).unwrap_or(self.latest_offset);
        let later_draining = self.known.values().filter(|entry| {
            entry.offset > end_offset && entry.fact.state == InstanceState::Draining
        });
        let received = first
            .into_iter()
            .chain(later_draining)
            .map(|entry| ReceivedHeartbeat {
                heartbeat: entry.fact.for_followers(),
                age: now.saturating_sub(entry.received_at),
            });
        FactBatch {
            received: received.collect(),
            offset: end_offset,
            more,
        }
    }

    /// Returns the heartbeats of the draining instances, with their current age.
    pub fn draining(&self, now: Duration) -> Vec<ReceivedHeartbeat> {
        self.draining_between(now, 0, self.latest_offset)
    }

    /// Returns the heartbeats of the draining instances that were recorded after one offset and up to
    /// another, with their current age.
    pub fn draining_between(
        &self,
        now: Duration,
        after: u64,
        up_to: u64,
    ) -> Vec<ReceivedHeartbeat> {
        let is_draining = |entry: &&FactEntry<Heartbeat>| {
            entry.fact.state == InstanceState::Draining
                && entry.offset > after
                && entry.offset <= up_to
        };
        let draining = self.known.values().filter(is_draining);
        draining
            .map(|entry| ReceivedHeartbeat {
                heartbeat: entry.fact.for_followers(),
                age: now.saturating_sub(entry.received_at),
            })
            .collect()
    }

    /// Returns the latest heartbeat of an instance, with its current age.
    pub fn heartbeat_with_age(&self, now: Duration, id: &InstanceId) -> Option<ReceivedHeartbeat> {
        self.known.get(id).map(|entry| ReceivedHeartbeat {
            heartbeat: entry.fact.clone(),
            age: now.saturating_sub(entry.received_at),
        })
    }

    /// Returns the latest heartbeat of an instance.
    pub fn get(&self, id: &InstanceId) -> Option<&Heartbeat> {
        self.known.get(id).map(|entry| &entry.fact)
    }

    /// Returns the latest heartbeats of all known instances.
    pub fn iter(&self) -> impl Iterator<Item = &Heartbeat> {
        self.known.values().map(|entry| &entry.fact)
    }
}
