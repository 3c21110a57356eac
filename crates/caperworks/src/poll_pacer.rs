//! When a follower asks again: one question is under way at a time.
//!
//! Why: each answer holds all that the follower lacked when it asked. Questions that do not wait for the
//! answer before bring the same over and over, and keep a slow link full with it.

use std::time::Duration;

use crate::rtt_estimator::{RttEstimator, TimeoutBounds};

/// A question that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct Unanswered {
    number: u64,
    /// Since it was asked, or since a part of an answer came.
    waits_since: Duration,
}

/// The pace of numbered questions to one peer.
#[derive(Debug, Clone)]
pub struct PollPacer {
    unanswered: Option<Unanswered>,
    timer: RttEstimator,
}

impl PollPacer {
    pub fn new(bounds: TimeoutBounds) -> Self {
        Self {
            unanswered: None,
            timer: RttEstimator::new(bounds),
        }
    }

    /// How long an answer may take before its question is asked again.
    pub fn timeout(&self) -> Duration {
        self.timer.timeout()
    }

    /// Whether no answer is awaited, or has been for longer than it may take.
    pub fn may_ask(&self, now: Duration) -> bool {
        !self.is_awaiting() || self.is_overdue(now)
    }

    /// Whether an answer is awaited.
    pub fn is_awaiting(&self) -> bool {
        self.unanswered.is_some()
    }

    /// Whether an answer has been awaited for longer than it may take.
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.unanswered.is_some_and(|unanswered| {
            now.saturating_sub(unanswered.waits_since) >= self.timer.timeout()
        })
    }

    /// The answer that is awaited is not needed any more.
    pub fn forget(&mut self) {
        self.unanswered = None;
    }

    /// A question is asked; one that still waits for its answer counts as lost.
    pub fn asked(&mut self, now: Duration, number: u64) {
        let waits_since = now;
        let lost = self.unanswered.replace(Unanswered {
            number,
            waits_since,
        });
        if lost.is_some() {
            self.timer.timed_out();
        }
    }

    /// An answer came; `took` is for how long its question had waited, if that is still known.
    pub fn answered(&mut self, number: u64, took: Option<Duration>) {
        if let Some(took) = took {
            self.timer.answered_after(took);
        }
        self.unanswered
            .take_if(|unanswered| unanswered.number == number);
    }

    /// A part of an answer came: the rest is on its way, and another answer would wait behind it.
    pub fn partial_response_received(&mut self, now: Duration) {
        if let Some(unanswered) = &mut self.unanswered {
            unanswered.waits_since = now;
        }
    }

    /// The peer is left for another, which has not been asked anything.
    pub fn reset(&mut self) {
        if self.unanswered.take().is_some() {
            self.timer.timed_out();
        }
    }
}
