//! What the owner manager knows of one key range under one epoch: the bound of its lease, and whether
//! the owner has taken it up, was told to release it, or has released it.

use std::time::Duration;

use crate::facts::Heartbeat;
use crate::identifiers::Epoch;
use crate::ownership::messages::ReleasedKeyRange;
use crate::ownership::spans::OwnerManagerTimings;

/// The state of one key range under one epoch.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyRangeState {
    pub(super) epoch: Epoch,
    /// Until when the owner may act, as we bound it.
    pub(super) leased_until: Duration,
    offered_since: Option<Duration>,
    pub(super) is_releasing: bool,
    /// Whether the owner left the offer alone: it released this epoch under an owner manager before.
    pub(super) is_declined: bool,
    pub(super) is_released: bool,
    /// The counter of the owner's latest heartbeat that is known of.
    pub(super) latest_heartbeat: u64,
    /// The counter of the heartbeat in whose answer the owner was first told to release it.
    release_notified_at: Option<u64>,
    /// What the owner handed over with the release.
    pub(super) handover: Option<String>,
}

impl KeyRangeState {
    /// The state under an epoch, whose lease may live until this time.
    pub(super) fn new(epoch: Epoch, leased_until: Duration) -> Self {
        Self {
            epoch,
            leased_until,
            ..Self::default()
        }
    }

    /// Whether the owner refuses this epoch for good, so that only a new one can bring it back.
    pub(super) fn is_given_up(&self) -> bool {
        self.is_declined || self.is_releasing
    }

    /// Extends the lease after a heartbeat; returns false when the owner does not take the key range
    /// up. It has then released this epoch under an owner manager before us and refuses it for good;
    /// once its lease has surely ended, the key range is given out under a new epoch.
    pub(super) fn renew(
        &mut self,
        now: Duration,
        is_taken_up: bool,
        lease: Duration,
        spans: &OwnerManagerTimings,
    ) -> bool {
        let offered = *self.offered_since.get_or_insert(now);
        if !is_taken_up && now.saturating_sub(offered) >= spans.acceptance_timeout {
            self.is_declined = true;
            return false;
        }
        self.leased_until = self.leased_until.max(now + lease + spans.drift);
        true
    }

    /// Handles a heartbeat of an owner that is to release the key range: records the release if the
    /// heartbeat says so, and that the answer will tell it.
    ///
    /// A release needs the owner's own word for this very epoch: a heartbeat that was sent before the
    /// key range was taken up does not list it either, and may arrive late.
    pub(super) fn handle_release(
        &mut self,
        key_range: u32,
        heartbeat: &Heartbeat,
        silence_is_release: bool,
    ) {
        let is_in_use = heartbeat.held_key_ranges.contains(&key_range);
        let word = heartbeat
            .let_go
            .iter()
            .find(|word| word.key_range == key_range && self.is_released_by(word, heartbeat));
        if self.is_releasing && (word.is_some() || silence_is_release) && !is_in_use {
            self.is_released = true;
            let handover = word.and_then(|word| word.handover.clone());
            self.handover = handover.or(self.handover.take());
        }
        // Only the latest heartbeat counts: after one that was overtaken, another of before the
        // release would pass for the owner's word that it released the key range.
        if heartbeat.counter == self.latest_heartbeat {
            self.release_notified_at.get_or_insert(heartbeat.counter);
        }
    }

    /// Whether the owner's word covers this epoch. A word without an epoch is about what the owner
    /// held last, so it counts only in a heartbeat after the one in whose answer it was told.
    fn is_released_by(&self, word: &ReleasedKeyRange, heartbeat: &Heartbeat) -> bool {
        match word.epoch {
            Some(epoch) => epoch >= self.epoch,
            None => self
                .release_notified_at
                .is_some_and(|reported| heartbeat.counter > reported),
        }
    }
}
