//! The known instances: what was heard of each, and which have fallen silent, are gone or have ended.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::facts::offset_before;
use crate::facts::InstanceState;
use crate::facts::{first_learned, FirstFacts, Heartbeat, Kept, ReceivedHeartbeat};
use crate::identifiers::InstanceId;

/// An instance not heard of for this long is gone.
pub const INSTANCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// For how long a follower remembers an instance that fell silent, for proxies that still get its
/// answers.
pub const SUSPECTED_RETENTION: Duration = Duration::from_secs(30);
/// For how long an instance that said it ended is remembered as gone.
const ENDED_SPAN: Duration = Duration::from_secs(30);

/// The known instances.
#[derive(Debug, Clone)]
pub struct Instances {
    known: BTreeMap<InstanceId, Kept<Heartbeat>>,
    /// Who was heard last at an address. Why kept beside: looking through all for every heartbeat is what
    /// many instances would mostly cost.
    by_address: HashMap<SocketAddr, InstanceId>,
    /// Those that said themselves that they ended, so that no late heartbeat brings them back.
    ended: BTreeMap<InstanceId, Kept<()>>,
    /// Those of the known ones whose heartbeats stayed away for the span, and since when they count
    /// as silent.
    silent: BTreeMap<InstanceId, Duration>,
    learned: u64,
    /// One that was not heard of for this long is gone.
    pub span: Duration,
    /// How long a heartbeat that says nothing else than the one before need not be passed on.
    pub refresh: Duration,
    /// The place of the last removal.
    removed: u64,
}

impl Default for Instances {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            by_address: HashMap::new(),
            ended: BTreeMap::new(),
            silent: BTreeMap::new(),
            learned: 0,
            span: INSTANCE_TIMEOUT,
            refresh: Duration::ZERO,
            removed: 0,
        }
    }
}

impl Instances {
    /// Merges a heartbeat in; says whether it was news.
    pub fn handle(&mut self, now: Duration, heard: &ReceivedHeartbeat) -> bool {
        let heard_at = now.saturating_sub(heard.age);
        if now.saturating_sub(heard_at) >= self.span || self.ended.contains_key(&heard.heartbeat.id)
        {
            return false;
        }
        if let Some(kept) = self.known.get(&heard.heartbeat.id) {
            // Why whatever its number: incarnations come from wall clocks, which may be set back, and
            // this one was heard after the other had been silent for its span.
            let is_another_incarnation = heard.heartbeat.incarnation != kept.fact.incarnation;
            let outlived = is_another_incarnation && self.silent.contains_key(&heard.heartbeat.id);
            if !outlived && !heard.heartbeat.newer_than(&kept.fact) {
                return false;
            }
        }
        // Why the other leaves: an address has one instance at a time, and the one that was
        // heard of last in a new life is the one that answers there now.
        let address = heard.heartbeat.address;
        let newcomer = self.known.get(&heard.heartbeat.id).is_none_or(|kept| {
            kept.fact.incarnation != heard.heartbeat.incarnation || kept.fact.address != address
        });
        let other = self
            .by_address
            .get(&address)
            .filter(|id| **id != heard.heartbeat.id)
            .cloned();
        if let Some(other) = other {
            // Why by when it was heard: a late heartbeat of the one before, passed on by a third node,
            // must not push out the one that took its address over.
            let outdone = self
                .known
                .get(&other)
                .is_some_and(|kept| kept.heard_at >= heard_at);
            if !newcomer || outdone {
                return false;
            }
            self.known.remove(&other);
            self.silent.remove(&other);
            self.record_removal();
        }
        if let Some(kept) = self.known.get(&heard.heartbeat.id) {
            self.by_address.remove(&kept.fact.address);
        }
        self.by_address.insert(address, heard.heartbeat.id.clone());
        let was_silent = self.silent.remove(&heard.heartbeat.id).is_some();
        let quiet = self.known.get(&heard.heartbeat.id).filter(|kept| {
            !was_silent
                && !heard.heartbeat.tells_other_than(&kept.fact)
                && now.saturating_sub(kept.notified_at) < self.refresh
        });
        // Why its old place: followers are told of what is new, and that it still lives now and then.
        let (learned, notified_at) = match quiet {
            Some(kept) => (kept.learned, kept.notified_at),
            None => {
                self.learned += 1;
                (self.learned, now)
            }
        };
        self.known.insert(
            heard.heartbeat.id.clone(),
            Kept {
                fact: heard.heartbeat.clone(),
                heard_at,
                learned,
                notified_at,
            },
        );
        true
    }

    /// The place of the last removal; who stands before it must be told of all.
    pub fn removed(&self) -> u64 {
        self.removed
    }

    fn record_removal(&mut self) {
        self.learned += 1;
        self.removed = self.learned;
    }

    /// Takes an instance's word that it ended; says whether that was news.
    pub fn end(&mut self, now: Duration, id: &InstanceId) -> bool {
        if self.ended.contains_key(id) {
            return false;
        }
        if let Some(kept) = self.known.remove(id) {
            self.by_address.remove(&kept.fact.address);
        }
        self.silent.remove(id);
        self.record_removal();
        let kept = Kept {
            fact: (),
            heard_at: now,
            learned: self.learned,
            notified_at: now,
        };
        self.ended.insert(id.clone(), kept);
        true
    }

    /// Whether an instance said that it ended.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        self.ended.contains_key(id)
    }

    /// How long ago an instance said that it ended; zero if it did not.
    pub fn ended_for(&self, now: Duration, id: &InstanceId) -> Duration {
        let ended = self.ended.get(id);
        ended.map_or(Duration::ZERO, |kept| now.saturating_sub(kept.heard_at))
    }

    /// Those that ended, as learned after a place.
    pub fn ended_after(&self, now: Duration, offset: u64) -> Vec<InstanceId> {
        self.ended
            .iter()
            .filter(|(_, kept)| kept.learned > offset)
            .filter(|(_, kept)| now.saturating_sub(kept.heard_at) < ENDED_SPAN)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes out the instances that were not heard of for the span, and names them.
    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        self.forget_ended(now);
        let span = self.span;
        let unheard = self.known.iter();
        let unheard = unheard.filter(|(_, kept)| now.saturating_sub(kept.heard_at) >= span);
        let gone: Vec<InstanceId> = unheard.map(|(id, _)| id.clone()).collect();
        self.forget(&gone);
        gone
    }

    /// Counts the instances that were not heard of for the span as silent, and names those that
    /// just became so; the ones that stayed silent for [`SILENT_SPAN`] are forgotten.
    ///
    /// Why not taken out at once: it may be their heartbeats that are cut off, and not their answers.
    pub fn mark_suspected(&mut self, now: Duration) -> Vec<InstanceId> {
        self.forget_ended(now);
        self.forget_long_silent(now);
        let span = self.span;
        let mut fell_silent = Vec::new();
        for (id, kept) in &mut self.known {
            let is_heard = now.saturating_sub(kept.heard_at) < span;
            if is_heard || self.silent.contains_key(id) {
                continue;
            }
            self.silent.insert(id.clone(), now);
            // Why a place of its own: proxies are told of what changed.
            self.learned += 1;
            kept.learned = self.learned;
            kept.notified_at = now;
            fell_silent.push(id.clone());
        }
        fell_silent
    }

    /// Whether the instance is known, and its heartbeats have stayed away for the span.
    pub fn is_silent(&self, id: &InstanceId) -> bool {
        self.silent.contains_key(id)
    }

    fn forget_ended(&mut self, now: Duration) {
        self.ended
            .retain(|_, kept| now.saturating_sub(kept.heard_at) < ENDED_SPAN);
    }

    /// Why counted from when it fell silent and not from when it was last heard: while the core is
    /// out of reach nobody's silence counts, however long it lasts.
    fn forget_long_silent(&mut self, now: Duration) {
        let silent = self.silent.iter();
        let over = silent.filter(|(_, since)| now.saturating_sub(**since) >= SUSPECTED_RETENTION);
        let over: Vec<InstanceId> = over.map(|(id, _)| id.clone()).collect();
        self.forget(&over);
    }

    fn forget(&mut self, gone: &[InstanceId]) {
        for id in gone {
            self.silent.remove(id);
            if let Some(kept) = self.known.remove(id) {
                self.by_address.remove(&kept.fact.address);
            }
        }
        if !gone.is_empty() {
            self.record_removal();
        }
    }

    pub fn learned(&self) -> u64 {
        self.learned
    }

    /// The offset up to which instances, and ends of instances, were learned before a moment.
    pub fn offset_before(&self, moment: Duration) -> u64 {
        let known = offset_before(self.known.values(), moment);
        known.max(offset_before(self.ended.values(), moment))
    }

    /// The facts learned after a place, with their present age.
    pub fn after(&self, now: Duration, offset: u64) -> Vec<ReceivedHeartbeat> {
        self.first_after(now, offset, usize::MAX).heard
    }

    /// The first facts learned after a place and at most so many, with their present age; those that drain are
    /// told whatever their number.
    ///
    /// The lease comes with the first facts, and a proxy that has it must know all instances that drain.
    pub fn first_after(
        &self,
        now: Duration,
        offset: u64,
        most: usize,
    ) -> FirstFacts<ReceivedHeartbeat> {
        let (first, more) = first_learned(self.known.values(), offset, most);
        let last = first.last().map(|kept| kept.learned);
        let place_of_first = last.filter(|_| more).unwrap_or(self.learned);
        let later_draining = self.known.values().filter(|kept| {
            kept.learned > place_of_first && kept.fact.state == InstanceState::Draining
        });
        let heard = first
            .into_iter()
            .chain(later_draining)
            .map(|kept| ReceivedHeartbeat {
                heartbeat: kept.fact.for_followers(),
                age: now.saturating_sub(kept.heard_at),
            });
        FirstFacts {
            heard: heard.collect(),
            offset: place_of_first,
            more,
        }
    }

    /// The instances that drain, with their present age.
    pub fn draining(&self, now: Duration) -> Vec<ReceivedHeartbeat> {
        self.draining_between(now, 0, self.learned)
    }

    /// Those of them that were learned after one offset and up to another.
    pub fn draining_between(
        &self,
        now: Duration,
        after: u64,
        up_to: u64,
    ) -> Vec<ReceivedHeartbeat> {
        let drains = |kept: &&Kept<Heartbeat>| {
            kept.fact.state == InstanceState::Draining
                && kept.learned > after
                && kept.learned <= up_to
        };
        let draining = self.known.values().filter(drains);
        draining
            .map(|kept| ReceivedHeartbeat {
                heartbeat: kept.fact.for_followers(),
                age: now.saturating_sub(kept.heard_at),
            })
            .collect()
    }

    /// What is known of one instance, with its present age.
    pub fn heard(&self, now: Duration, id: &InstanceId) -> Option<ReceivedHeartbeat> {
        self.known.get(id).map(|kept| ReceivedHeartbeat {
            heartbeat: kept.fact.clone(),
            age: now.saturating_sub(kept.heard_at),
        })
    }

    pub fn get(&self, id: &InstanceId) -> Option<&Heartbeat> {
        self.known.get(id).map(|kept| &kept.fact)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Heartbeat> {
        self.known.values().map(|kept| &kept.fact)
    }

    pub fn with_heard(&self) -> impl Iterator<Item = (&Heartbeat, Duration)> {
        self.known.values().map(|kept| (&kept.fact, kept.heard_at))
    }
}
