//! A bandwidth-limited link: control messages to and from a node are queued and transmitted in
//! parts.

use crate::connections::is_superseding;
use crate::connections::Segment;
use crate::connections::SegmentKind;
use caperworks::identifiers::RandomSource;
use std::collections::VecDeque;
use std::time::Duration;

/// Interval in which a bandwidth-limited link transmits.
pub const LINK_STEP: Duration = Duration::from_millis(25);
/// How long the queue of background traffic keeps its length.
const QUEUE_REDRAW_INTERVAL: Duration = Duration::from_millis(500);
/// Payload of one network segment.
const MAX_SEGMENT_BYTES: f64 = 1460.0;
/// A message that takes longer than this from its first byte to its last is slow, as in the
/// runtime.
const SLOW_MESSAGE_THRESHOLD: Duration = Duration::from_millis(400);

/// A queued segment, possibly transmitted in part.
#[derive(Debug, Clone)]
struct QueuedSegment {
    segment: Segment,
    bytes: f64,
    sent_bytes: f64,
    /// When the background traffic queued in front of it has been transmitted.
    ready_at: Duration,
    began_at: Option<Duration>,
    reported_progress: u64,
}

/// Output of a link.
#[derive(Debug, Clone)]
pub enum LinkOutput {
    Complete(Segment),
    /// More bytes of a slow message arrived, but it is not complete yet.
    Progress,
}

/// Load by requests and their responses, as far as it affects control messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackgroundLoad {
    pub bytes_per_second: u64,
    /// Minimum and maximum delay by the queue in front of each new segment.
    pub queue_delay: (Duration, Duration),
}

/// One direction of a link.
#[derive(Debug, Clone, Default)]
pub struct LinkDirection {
    /// Unlimited if `None`.
    pub bytes_per_second: Option<u64>,
    pub background: BackgroundLoad,
    queue_delay: Duration,
    queued: VecDeque<QueuedSegment>,
}

impl LinkDirection {
    /// Returns whether a segment would be transmitted at once.
    pub fn is_free(&self) -> bool {
        self.bytes_per_second.is_none() && self.queue_delay.is_zero() && self.queued.is_empty()
    }

    /// Queues a segment. A grant replaces an earlier one of the same controller whose transmission
    /// has not started, as in the runtime's queues. It does not if it waits behind background
    /// traffic, because by then it has left the runtime's queue.
    pub fn add(&mut self, now: Duration, segment: Segment) {
        let last_ready_at = self.queued.back().map(|last| last.ready_at);
        let ready_at = (now + self.queue_delay).max(last_ready_at.unwrap_or_default());
        let is_grant = |segment: &Segment| match &segment.kind {
            SegmentKind::Message { envelope } => is_superseding(envelope),
            _ => false,
        };
        let supersedes = is_grant(&segment) && self.queue_delay.is_zero();
        let earlier = self.queued.iter().position(|queued| {
            queued.segment.from == segment.from
                && queued.began_at.is_none()
                && is_grant(&queued.segment)
        });
        let added = QueuedSegment {
            bytes: segment.bytes(),
            sent_bytes: 0.0,
            ready_at,
            began_at: None,
            reported_progress: 0,
            segment,
        };
        match earlier.filter(|_| supersedes) {
            Some(index) => self.queued[index] = added,
            None => self.queued.push_back(added),
        }
    }

    /// Transmits as much as one step allows.
    pub fn advance(&mut self, now: Duration) -> Vec<LinkOutput> {
        let available = self
            .bytes_per_second
            .map(|all| all.saturating_sub(self.background.bytes_per_second));
        let mut budget = available.map_or(f64::INFINITY, |available| {
            available as f64 * LINK_STEP.as_secs_f64()
        });
        let mut output = Vec::new();
        while budget > 0.0 {
            let Some(first) = self.queued.front_mut() else {
                break;
            };
            if first.ready_at > now {
                break;
            }
            let began_at = *first.began_at.get_or_insert(now);
            let sent_bytes = budget.min(first.bytes - first.sent_bytes);
            first.sent_bytes += sent_bytes;
            budget -= sent_bytes;
            if first.sent_bytes < first.bytes {
                let segments = (first.sent_bytes / MAX_SEGMENT_BYTES) as u64;
                let is_slow = now.saturating_sub(began_at) >= SLOW_MESSAGE_THRESHOLD;
                if is_slow && segments > first.reported_progress {
                    output.push(LinkOutput::Progress);
                }
                first.reported_progress = segments;
            } else if let Some(done) = self.queued.pop_front() {
                output.push(LinkOutput::Complete(done.segment));
            }
        }
        output
    }
}

/// The link of one node for control messages.
#[derive(Debug, Clone, Default)]
pub struct LimitedLink {
    pub inward: LinkDirection,
    pub outward: LinkDirection,
    queues_redrawn_at: Option<Duration>,
}

impl LimitedLink {
    /// Redraws the queue lengths of background traffic, if it is time.
    pub fn redraw_queues(&mut self, now: Duration, random: &mut RandomSource) {
        let drawn_at = self.queues_redrawn_at;
        if drawn_at.is_some_and(|drawn_at| now.saturating_sub(drawn_at) < QUEUE_REDRAW_INTERVAL) {
            return;
        }
        self.queues_redrawn_at = Some(now);
        for direction in [&mut self.inward, &mut self.outward] {
            let (min_delay, max_delay) = direction.background.queue_delay;
            direction.queue_delay = match min_delay < max_delay {
                true => random.between(min_delay, max_delay),
                false => min_delay,
            };
        }
    }

    /// Sets the bandwidth and background traffic from now on.
    pub fn apply_load(&mut self, link_load: &LinkLoad) {
        for direction in [&mut self.inward, &mut self.outward] {
            direction.bytes_per_second = Some(link_load.bytes_per_second);
        }
        self.inward.background = link_load.inward;
        self.outward.background = link_load.outward;
        self.queues_redrawn_at = None;
    }
}

/// Bandwidth of a link, and the background traffic on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLoad {
    pub bytes_per_second: u64,
    pub inward: BackgroundLoad,
    pub outward: BackgroundLoad,
}
