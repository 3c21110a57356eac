//! Paces the polls of a follower: one poll is in flight at a time.
//!
//! Each response contains everything that the follower was missing at the time of the poll. Polls that do not
//! wait for the previous response transfer the same data repeatedly, and keep a slow link saturated.

use std::time::Duration;

use crate::rtt_estimator::{RttEstimator, TimeoutBounds};

/// A poll without a response so far.
#[derive(Debug, Clone, Copy)]
struct PendingPoll {
    number: u64,
    /// When it was sent, or when a part of a response was last received.
    waits_since: Duration,
}

/// Paces numbered polls to one peer.
#[derive(Debug, Clone)]
pub struct PollPacer {
    pending: Option<PendingPoll>,
    rtt: RttEstimator,
}

impl PollPacer {
    /// Returns a pacer whose timeout stays within these bounds.
    pub fn new(bounds: TimeoutBounds) -> Self {
        Self {
            pending: None,
            rtt: RttEstimator::new(bounds),
        }
    }

    /// Returns how long a response may take before the poll is repeated.
    pub fn timeout(&self) -> Duration {
        self.rtt.timeout()
    }

    /// Returns whether no response is awaited, or it is overdue.
    pub fn may_poll(&self, now: Duration) -> bool {
        !self.is_awaiting() || self.is_overdue(now)
    }

    /// Returns whether a response is awaited.
    pub fn is_awaiting(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether a response has been awaited for longer than the timeout.
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now.saturating_sub(pending.waits_since) >= self.rtt.timeout())
    }

    /// Stops waiting for the response to the poll in flight.
    pub fn forget(&mut self) {
        self.pending = None;
    }

    /// Records that a poll was sent; an earlier one without a response counts as lost.
    pub fn record_request(&mut self, now: Duration, number: u64) {
        let waits_since = now;
        let lost = self.pending.replace(PendingPoll {
            number,
            waits_since,
        });
        if lost.is_some() {
            self.rtt.record_timeout();
        }
    }

    /// Records a response; `took` is the time since its poll, if that is still known.
    pub fn record_response(&mut self, number: u64, took: Option<Duration>) {
        if let Some(took) = took {
            self.rtt.record_response(took);
        }
        self.pending.take_if(|pending| pending.number == number);
    }

    /// Records that a part of a response was received: the rest is on its way, and the response to another
    /// poll would be queued behind it.
    pub fn partial_response_received(&mut self, now: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.waits_since = now;
        }
    }

    /// Starts again with another peer, to which no poll has been sent.
    pub fn reset(&mut self) {
        if self.pending.take().is_some() {
            self.rtt.record_timeout();
        }
    }
}
