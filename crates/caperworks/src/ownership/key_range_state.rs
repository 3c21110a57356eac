//! The owner manager's state of one key range under one epoch: when its lease expires at the latest,
//! and whether the owner has accepted it, has to release it, or has released it.

use std::time::Duration;

use crate::facts::Heartbeat;
use crate::identifiers::Epoch;
use crate::ownership::messages::ReleasedKeyRange;
use crate::ownership::periods::OwnerManagerTimings;

/// The state of one key range under one epoch.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyRangeState {
    pub(super) epoch: Epoch,
    /// Upper bound of the time at which the owner's lease expires, by the owner manager's clock.
    pub(super) leased_until: Duration,
    /// When the lease was last renewed in this term.
    pub(super) renewed_at: Option<Duration>,
    offered_since: Option<Duration>,
    pub(super) is_releasing: bool,
    /// Whether the owner did not accept the offer: it released this epoch under an earlier owner manager.
    pub(super) is_declined: bool,
    /// Whether a new owner was proposed. The proposal may be committed at any time, so that this epoch is
    /// not leased again.
    pub(super) is_reassigned: bool,
    /// When the owner's report of the release was handled.
    pub(super) released_at: Option<Duration>,
    /// The highest counter of the owner's heartbeats that is known.
    pub(super) latest_heartbeat: u64,
    /// The counter of the heartbeat whose response first requested the release.
    release_notified_at: Option<u64>,
    /// What the owner handed over with the release.
    pub(super) handover: Option<String>,
}

impl KeyRangeState {
    /// Creates the state under an epoch whose lease may be valid until `leased_until`.
    pub(super) fn new(epoch: Epoch, leased_until: Duration) -> Self {
        Self {
            epoch,
            leased_until,
            ..Self::default()
        }
    }

    /// Returns whether the owner has released this epoch.
    pub(super) fn is_released(&self) -> bool {
        self.released_at.is_some()
    }

    /// Returns whether this epoch is never leased again; the key range then needs a new epoch.
    pub(super) fn is_retired(&self) -> bool {
        self.is_declined || self.is_releasing || self.is_reassigned
    }

    /// Extends the lease after a heartbeat; returns false when the owner does not accept the key range.
    /// The owner then has released this epoch under an earlier owner manager and rejects it for good;
    /// once its lease has certainly expired, the key range is leased out under a new epoch.
    pub(super) fn renew(
        &mut self,
        now: Duration,
        is_accepted: bool,
        lease: Duration,
        timings: &OwnerManagerTimings,
    ) -> bool {
        let offered = *self.offered_since.get_or_insert(now);
        if !is_accepted && now.saturating_sub(offered) >= timings.acceptance_timeout {
            self.is_declined = true;
            return false;
        }
        self.leased_until = self.leased_until.max(now + lease + timings.drift);
        self.renewed_at = Some(now);
        true
    }

    /// Handles a heartbeat of an owner that has to release the key range: records the release if the
    /// heartbeat reports it, and that the response requests it.
    ///
    /// A release has to be reported explicitly, for this very epoch: a heartbeat that was sent before the
    /// owner accepted the key range does not list it either, and may arrive late.
    pub(super) fn handle_release(
        &mut self,
        now: Duration,
        key_range: u32,
        heartbeat: &Heartbeat,
        absence_is_release: bool,
    ) {
        let is_in_use = heartbeat.key_ranges_in_use.contains(&key_range);
        let release = heartbeat
            .released
            .iter()
            .find(|entry| entry.key_range == key_range && self.is_released_by(entry, heartbeat));
        if self.is_releasing && (release.is_some() || absence_is_release) && !is_in_use {
            self.released_at.get_or_insert(now);
            let handover = release.and_then(|release| release.handover.clone());
            self.handover = handover.or(self.handover.take());
        }
        // Only the latest heartbeat counts. If a reordered older one did, the next heartbeat that was
        // also sent before the release would be taken for a report of the release.
        if heartbeat.counter == self.latest_heartbeat {
            self.release_notified_at.get_or_insert(heartbeat.counter);
        }
    }

    /// Returns whether a reported release covers this epoch. A release without an epoch is about the
    /// owner's last lease, so it counts only in a heartbeat after the one whose response requested it.
    fn is_released_by(&self, release: &ReleasedKeyRange, heartbeat: &Heartbeat) -> bool {
        match release.epoch {
            Some(epoch) => epoch >= self.epoch,
            None => self
                .release_notified_at
                .is_some_and(|notified| heartbeat.counter > notified),
        }
    }
}
