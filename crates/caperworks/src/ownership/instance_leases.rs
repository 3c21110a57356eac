//! The key range leases of an instance, and the epochs that it has released.
//!
//! Invariants kept here:
//!
//! - A request starts only if it can end before the lease does.
//! - Once an epoch is released, no request starts under it any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::identifiers::Epoch;
use crate::leases::DRIFT_MARGIN;
use crate::ownership::messages::{HeartbeatResponse, ReleasedKeyRange};

/// A lease on one key range.
#[derive(Debug, Clone, Copy)]
struct KeyRangeLease {
    epoch: Epoch,
    until: Duration,
}

/// The leases of one instance.
#[derive(Debug, Clone, Default)]
pub struct HeldLeases {
    leases: BTreeMap<u32, KeyRangeLease>,
    /// By key range, the highest epoch that was released.
    released: BTreeMap<u32, Epoch>,
    /// By key range, the number of requests in flight.
    in_flight: BTreeMap<u32, u32>,
}

impl HeldLeases {
    /// Handles the response to a heartbeat that was sent at `sent_at`. Lease durations count from then,
    /// shortened by the safety margin for clock drift.
    pub fn apply_response(&mut self, sent_at: Duration, response: &HeartbeatResponse) {
        for granted in &response.leases {
            if granted.epoch <= self.released_epoch(granted.key_range) {
                continue;
            }
            let until = sent_at + granted.duration.saturating_sub(DRIFT_MARGIN);
            let lease = self
                .leases
                .entry(granted.key_range)
                .or_insert(KeyRangeLease {
                    epoch: granted.epoch,
                    until: Duration::ZERO,
                });
            if granted.epoch > lease.epoch {
                *lease = KeyRangeLease {
                    epoch: granted.epoch,
                    until,
                };
            } else if granted.epoch == lease.epoch {
                lease.until = lease.until.max(until);
            }
        }
        for release in &response.release {
            let released = self.released.entry(release.key_range).or_default();
            *released = (*released).max(release.epoch);
        }
    }

    fn released_epoch(&self, key_range: u32) -> Epoch {
        self.released.get(&key_range).copied().unwrap_or_default()
    }

    /// Returns whether a request under this epoch may start now: it has to end within `need`, before
    /// the lease expires.
    pub fn may_start(&self, now: Duration, key_range: u32, epoch: Epoch, need: Duration) -> bool {
        let is_leased = |lease: &KeyRangeLease| lease.epoch == epoch && now + need < lease.until;
        epoch > self.released_epoch(key_range) && self.leases.get(&key_range).is_some_and(is_leased)
    }

    /// Returns the key ranges with a valid lease, and how long the longest of these leases remains valid.
    pub fn valid_leases(&self, now: Duration) -> (Vec<u32>, Duration) {
        let mut key_ranges = Vec::new();
        let mut longest = Duration::ZERO;
        for (key_range, lease) in &self.leases {
            if self.may_start(now, *key_range, lease.epoch, Duration::ZERO) {
                key_ranges.push(*key_range);
                longest = longest.max(lease.until.saturating_sub(now));
            }
        }
        (key_ranges, longest)
    }

    /// Counts a request on a key range that has started; [`HeldLeases::end_request`] must follow.
    pub fn start_request(&mut self, key_range: u32) {
        *self.in_flight.entry(key_range).or_default() += 1;
    }

    /// Counts a request on a key range that has ended.
    pub fn end_request(&mut self, key_range: u32) {
        if let Some(count) = self.in_flight.get_mut(&key_range) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the released epochs that the next heartbeat reports.
    pub fn released_epochs(&self) -> Vec<ReleasedKeyRange> {
        self.released
            .iter()
            .map(|(key_range, epoch)| ReleasedKeyRange {
                key_range: *key_range,
                epoch: Some(*epoch),
                handover: None,
            })
            .collect()
    }

    /// Returns the key ranges that the next heartbeat reports as in use: those with a valid lease that
    /// was not released, and those with requests in flight.
    pub fn key_ranges_in_use(&self, now: Duration) -> Vec<u32> {
        let is_in_use = |key_range: &u32, lease: &KeyRangeLease| {
            now < lease.until && lease.epoch > self.released_epoch(*key_range)
        };
        let leased = self.leases.iter();
        let mut key_ranges: BTreeSet<u32> = leased
            .filter(|(key_range, lease)| is_in_use(key_range, lease))
            .map(|(key_range, _)| *key_range)
            .collect();
        let in_flight = self.in_flight.iter();
        key_ranges.extend(
            in_flight
                .filter(|(_, count)| **count > 0)
                .map(|(key_range, _)| *key_range),
        );
        key_ranges.into_iter().collect()
    }
}
