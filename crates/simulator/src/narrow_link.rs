//! A narrow link: control messages to and from a node wait their turn, and come in parts.

use crate::connections::is_superseding;
use crate::connections::Segment;
use crate::connections::SegmentKind;
use caperworks::identifiers::RandomSource;
use std::collections::VecDeque;
use std::time::Duration;

/// How often a narrow link carries something on.
pub const LINK_STEP: Duration = Duration::from_millis(25);
/// For how long a queue of other traffic keeps its length.
const QUEUE_PERIOD: Duration = Duration::from_millis(500);
/// What a network carries in one go.
const PROGRESS_BYTES: f64 = 1460.0;
/// A message that takes longer from its first byte to its last counts as slow, as in the runtime.
const SLOW_MESSAGE_THRESHOLD: Duration = Duration::from_millis(400);

/// A segment that is still to be carried, or the rest of one.
#[derive(Debug, Clone)]
struct Waiting {
    segment: Segment,
    bytes: f64,
    carried: f64,
    /// When the other traffic has left that stood before it.
    turn_at: Duration,
    began_at: Option<Duration>,
    reported_progress: u64,
}

/// What comes out of a link.
#[derive(Debug, Clone)]
pub enum FromLink {
    Snapshot(Segment),
    /// Bytes of a message that began to come a while ago and is not whole yet.
    Part,
}

/// Requests and their answers on a link, as far as control messages feel them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackgroundLoad {
    pub bytes_per_second: u64,
    /// How long the queue is in front of whatever comes to the link: at least, and at most.
    pub queue: (Duration, Duration),
}

/// One way over a link.
#[derive(Debug, Clone, Default)]
pub struct LinkDirection {
    /// None where there is room for all.
    pub bytes_per_second: Option<u64>,
    pub background: BackgroundLoad,
    queue: Duration,
    waiting: VecDeque<Waiting>,
}

impl LinkDirection {
    /// Whether what comes now leaves at once.
    pub fn is_free(&self) -> bool {
        self.bytes_per_second.is_none() && self.queue.is_zero() && self.waiting.is_empty()
    }

    /// Adds a segment; a grant takes the place of an earlier one of the same controller that has not begun
    /// to be carried, as in the runtime's queues. Behind a queue of other traffic it has left that queue.
    pub fn add(&mut self, now: Duration, segment: Segment) {
        let last_turn = self.waiting.back().map(|last| last.turn_at);
        let turn_at = (now + self.queue).max(last_turn.unwrap_or_default());
        let is_grant = |segment: &Segment| match &segment.kind {
            SegmentKind::Message { envelope } => is_superseding(envelope),
            _ => false,
        };
        let supersedes = is_grant(&segment) && self.queue.is_zero();
        let earlier = self.waiting.iter().position(|waiting| {
            waiting.segment.from == segment.from
                && waiting.began_at.is_none()
                && is_grant(&waiting.segment)
        });
        let added = Waiting {
            bytes: segment.bytes(),
            carried: 0.0,
            turn_at,
            began_at: None,
            reported_progress: 0,
            segment,
        };
        match earlier.filter(|_| supersedes) {
            Some(index) => self.waiting[index] = added,
            None => self.waiting.push_back(added),
        }
    }

    /// Carries as much as one step allows.
    pub fn carry(&mut self, now: Duration) -> Vec<FromLink> {
        let left_over = self
            .bytes_per_second
            .map(|all| all.saturating_sub(self.background.bytes_per_second));
        let mut budget = left_over.map_or(f64::INFINITY, |left_over| {
            left_over as f64 * LINK_STEP.as_secs_f64()
        });
        let mut come = Vec::new();
        while budget > 0.0 {
            let Some(first) = self.waiting.front_mut() else {
                break;
            };
            if first.turn_at > now {
                break;
            }
            let began_at = *first.began_at.get_or_insert(now);
            let carried = budget.min(first.bytes - first.carried);
            first.carried += carried;
            budget -= carried;
            if first.carried < first.bytes {
                let parts = (first.carried / PROGRESS_BYTES) as u64;
                let is_slow = now.saturating_sub(began_at) >= SLOW_MESSAGE_THRESHOLD;
                if is_slow && parts > first.reported_progress {
                    come.push(FromLink::Part);
                }
                first.reported_progress = parts;
            } else if let Some(whole) = self.waiting.pop_front() {
                come.push(FromLink::Snapshot(whole.segment));
            }
        }
        come
    }
}

/// The link of one node, as far as control messages go over it.
#[derive(Debug, Clone, Default)]
pub struct NarrowLink {
    pub inward: LinkDirection,
    pub outward: LinkDirection,
    queues_drawn_at: Option<Duration>,
}

impl NarrowLink {
    /// Draws the lengths of the queues of other traffic anew, if it is time.
    pub fn draw_queues(&mut self, now: Duration, chance: &mut RandomSource) {
        let drawn_at = self.queues_drawn_at;
        if drawn_at.is_some_and(|drawn_at| now.saturating_sub(drawn_at) < QUEUE_PERIOD) {
            return;
        }
        self.queues_drawn_at = Some(now);
        for direction in [&mut self.inward, &mut self.outward] {
            let (least, most) = direction.background.queue;
            direction.queue = match least < most {
                true => chance.between(least, most),
                false => least,
            };
        }
    }

    /// Gives the link other traffic, from now on.
    pub fn fill(&mut self, fill: &LinkFill) {
        for direction in [&mut self.inward, &mut self.outward] {
            direction.bytes_per_second = Some(fill.bytes_per_second);
        }
        self.inward.background = fill.inward;
        self.outward.background = fill.outward;
        self.queues_drawn_at = None;
    }
}

/// The bandwidth of a link, and the other traffic on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkFill {
    pub bytes_per_second: u64,
    pub inward: BackgroundLoad,
    pub outward: BackgroundLoad,
}
