//! The instances that have deregistered: remembered for a while, so that no late heartbeat and no node that
//! missed the deregistration brings them back.
//!
//! An instance deregisters only once, so unlike other facts this one cannot be received again. The set only
//! grows by reports and shrinks by age, so copies of it are merged entry by entry in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::disk_frame::content_digest;
use crate::facts::{offset_before, FactEntry};
use crate::identifiers::InstanceId;

/// How long a deregistration is remembered: longer than a deregistered instance serves on, than a heartbeat is
/// on its way, and than a follower that lists the instance is usually cut off.
pub const DEREGISTRATION_RETENTION: Duration = Duration::from_secs(120);

/// The most bytes that precede an ID where it is stored.
const ID_OVERHEAD_BYTES: usize = 5;

messages! {
    /// A deregistration as one node reports it to another, with its age when it was sent.
    #[derive(Eq)]
    struct ReceivedDeregistration {
        0 id: InstanceId,
        1 age: Duration,
    }

    /// Identifies the members of a set of deregistrations: equal sets have equal digests.
    #[derive(Copy, Eq, Default)]
    struct DeregistrationDigest { 0 count: u64, 1 ids: u64 }
}

impl ReceivedDeregistration {
    /// Returns the report with its age increased by the time it was in transit.
    pub fn aged(mut self, delay: Duration) -> Self {
        self.age += delay;
        self
    }
}

/// A set of deregistrations.
#[derive(Debug, Clone, Default)]
pub struct Deregistrations {
    entries: BTreeMap<InstanceId, FactEntry<()>>,
    digest: DeregistrationDigest,
    /// The total length of the IDs, in bytes.
    id_bytes: usize,
}

impl Deregistrations {
    /// Records that an instance deregistered some time ago, under an offset for followers. Returns whether it
    /// was not known yet and is recent enough to be remembered.
    pub fn record(
        &mut self,
        now: Duration,
        received: &ReceivedDeregistration,
        offset: u64,
    ) -> bool {
        if self.contains(&received.id) || received.age >= DEREGISTRATION_RETENTION {
            return false;
        }
        let entry = FactEntry {
            fact: (),
            received_at: now.saturating_sub(received.age),
            offset,
            notified_at: now,
        };
        self.entries.insert(received.id.clone(), entry);
        self.digest.count += 1;
        self.digest.ids ^= digest_of(&received.id);
        self.id_bytes += received.id.as_str().len();
        true
    }

    /// Returns whether an instance has deregistered.
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns how long ago an instance deregistered, if it did.
    pub fn age(&self, now: Duration, id: &InstanceId) -> Option<Duration> {
        let entry = self.entries.get(id)?;
        Some(now.saturating_sub(entry.received_at))
    }

    /// Returns the number of deregistrations that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no deregistration is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the most bytes that the IDs take where they are stored.
    pub fn max_stored_bytes(&self) -> usize {
        self.id_bytes + self.entries.len() * ID_OVERHEAD_BYTES
    }

    /// Returns the digest of the set.
    pub fn digest(&self) -> DeregistrationDigest {
        self.digest
    }

    /// Returns the instances that have deregistered.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.entries.keys()
    }

    /// Returns the deregistrations that were recorded after an offset, with their current age.
    pub fn after(&self, now: Duration, offset: u64) -> Vec<ReceivedDeregistration> {
        let later = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.offset > offset);
        let reports = later.map(|(id, entry)| ReceivedDeregistration {
            id: id.clone(),
            age: now.saturating_sub(entry.received_at),
        });
        reports
            .filter(|received| received.age < DEREGISTRATION_RETENTION)
            .collect()
    }

    /// Returns the offset up to which deregistrations were recorded before `moment`.
    pub(crate) fn offset_before(&self, moment: Duration) -> u64 {
        offset_before(self.entries.values(), moment)
    }

    /// Removes and returns the deregistrations that need not be remembered any longer.
    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        let is_expired = |entry: &FactEntry<()>| {
            now.saturating_sub(entry.received_at) >= DEREGISTRATION_RETENTION
        };
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<InstanceId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.entries.remove(id);
            self.digest.count -= 1;
            self.digest.ids ^= digest_of(id);
            self.id_bytes -= id.as_str().len();
        }
        expired
    }
}

fn digest_of(id: &InstanceId) -> u64 {
    content_digest(id.as_str().as_bytes())
}
