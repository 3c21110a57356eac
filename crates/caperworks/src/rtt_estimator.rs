//! Estimates how long to wait for a response before a request is repeated, as in RFC 6298: from the smoothed
//! response time and its variation.
//!
//! A request that is repeated while its response is on its way over a slow link transfers the same response
//! twice, and makes the link even slower.

use std::time::Duration;

/// The bounds of the timeout, whatever was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The minimum timeout: how soon a request that was lost over a fast link is repeated.
    pub min_timeout: Duration,
    /// The maximum timeout.
    pub max_timeout: Duration,
    /// The maximum timeout while no responses are received: the cause may be a partition, and after its end a
    /// follower has to send a request soon.
    pub max_unanswered_timeout: Duration,
}

/// For requests to the control plane, whose responses may come from another region and over a saturated link.
///
/// A controller that exceeds the timeout is not abandoned, but others are polled in addition. The maximum is
/// above the round trip of a link whose queue is full, so that a follower behind such a link polls one
/// controller at a time. Without any responses it polls often, each time another controller, so that it soon
/// reaches one that can respond.
pub const CORE_TIMEOUT: TimeoutBounds = TimeoutBounds {
    min_timeout: Duration::from_millis(300),
    max_timeout: Duration::from_millis(2000),
    max_unanswered_timeout: Duration::from_millis(300),
};

/// For requests to a process on the same machine, which considers a peer without requests for 1.2 s down.
pub const LOCAL_TIMEOUT: TimeoutBounds = TimeoutBounds {
    min_timeout: Duration::from_millis(300),
    max_timeout: Duration::from_millis(600),
    max_unanswered_timeout: Duration::from_millis(300),
};

/// The weight of a new measurement in the smoothed response time is one part in this many.
const RTT_SMOOTHING: u32 = 8;
/// The weight of a new measurement in the variation is one part in this many.
const VARIATION_SMOOTHING: u32 = 4;

/// Estimates the timeout from measured response times.
#[derive(Debug, Clone)]
pub struct RttEstimator {
    bounds: TimeoutBounds,
    smoothed: Option<Duration>,
    variation: Duration,
    /// The number of consecutive requests without a response in time.
    timeouts_in_a_row: u32,
}

impl RttEstimator {
    /// Returns an estimator without measurements, whose timeout stays within these bounds.
    pub fn new(bounds: TimeoutBounds) -> Self {
        Self {
            bounds,
            smoothed: None,
            variation: Duration::ZERO,
            timeouts_in_a_row: 0,
        }
    }

    /// Records the time that a response took.
    pub fn record_response(&mut self, response_time: Duration) {
        self.timeouts_in_a_row = 0;
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(response_time);
            self.variation = response_time / 2;
            return;
        };
        let deviation = smoothed.abs_diff(response_time);
        self.variation =
            (self.variation * (VARIATION_SMOOTHING - 1) + deviation) / VARIATION_SMOOTHING;
        self.smoothed = Some((smoothed * (RTT_SMOOTHING - 1) + response_time) / RTT_SMOOTHING);
    }

    /// Records that a request got no response in time.
    pub fn record_timeout(&mut self) {
        self.timeouts_in_a_row += 1;
    }

    /// Returns how long to wait for the response to a request that is sent now.
    pub fn timeout(&self) -> Duration {
        let measured = self.smoothed.unwrap_or_default() + self.variation * 4;
        let measured = measured.clamp(self.bounds.min_timeout, self.bounds.max_timeout);
        if self.timeouts_in_a_row > 0 {
            return self.backed_off_timeout();
        }
        measured
    }

    /// Returns the timeout after requests without a response, with exponential backoff.
    fn backed_off_timeout(&self) -> Duration {
        let doublings = self.timeouts_in_a_row.min(u32::BITS / 2);
        let backed_off = self.bounds.min_timeout * 2u32.pow(doublings);
        backed_off.min(self.bounds.max_unanswered_timeout)
    }
}
