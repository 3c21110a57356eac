//! Duties that one node does: the first live ledger in seat order, under an epoch.

use crate::prelude::*;

pub const SOLVER: &str = "solver";
pub const TENURE: &str = "tenure";
pub const SEATING: &str = "seating";
pub const DUTIES: [&str; 3] = [SOLVER, TENURE, SEATING];

/// A ledger not heard of for this long is passed over in the order.
pub const SILENCE: Duration = Duration::from_millis(1500);
/// How long a ledger must have been heard before it takes a duty from a live holder.
pub const STEADY: Duration = Duration::from_millis(4000);
/// How long a new holder waits before it acts, so that the one before has fallen silent.
pub const TAKEOVER_WAIT: Duration = PERMIT_SPAN;

/// When each ledger was heard, and since when without a gap.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    heard: BTreeMap<NodeId, (Duration, Duration)>,
}

impl Liveness {
    pub fn hear(&mut self, now: Duration, node: NodeId) {
        let entry = self.heard.entry(node).or_insert((now, now));
        if now.saturating_sub(entry.1) >= SILENCE {
            entry.0 = now;
        }
        entry.1 = now;
    }

    pub fn alive(&self, now: Duration, node: NodeId) -> bool {
        self.heard
            .get(&node)
            .is_some_and(|(_, last)| now.saturating_sub(*last) < SILENCE)
    }

    pub fn steady(&self, now: Duration, node: NodeId) -> bool {
        self.alive(now, node)
            && self
                .heard
                .get(&node)
                .is_some_and(|(since, _)| now.saturating_sub(*since) >= STEADY)
    }
}

/// Whose turn a duty is, as this node sees it.
pub fn first_in_order(
    now: Duration,
    seats: &Seats,
    liveness: &Liveness,
    holder: Option<NodeId>,
) -> Option<NodeId> {
    let holder_lives = holder.is_some_and(|holder| {
        liveness.alive(now, holder) && seats.holder(holder).is_some_and(|seat| seat.ledger)
    });
    seats
        .holders
        .iter()
        .filter(|seat| seat.ledger)
        .map(|seat| seat.node)
        .find(|node| {
            // Why steady: a ledger that comes and goes must not drag the duty to and fro.
            Some(*node) == holder && holder_lives
                || if holder_lives {
                    liveness.steady(now, *node)
                } else {
                    liveness.alive(now, *node)
                }
        })
}

/// One duty as one ledger sees it.
#[derive(Debug, Clone)]
pub struct DutyWatch {
    pub name: &'static str,
    held_since: Option<(Epoch, Duration)>,
    asked_at: Option<Duration>,
}

/// What a ledger is to do about a duty.
#[derive(Debug, Clone, PartialEq)]
pub enum DutyStep {
    Rest,
    /// Write this term, if the item still has the expected edition.
    Take {
        term: DutyTerm,
        expected: Edition,
    },
    /// The duty is ours under this epoch, and for how long it has been.
    Hold {
        epoch: Epoch,
        held: Duration,
    },
}

impl DutyWatch {
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            held_since: None,
            asked_at: None,
        }
    }

    pub fn step(
        &mut self,
        now: Duration,
        node: NodeId,
        cohort: &Book,
        rounds: &Rounds,
        liveness: &Liveness,
    ) -> DutyStep {
        let Some(seats) = cohort.seats() else {
            return DutyStep::Rest;
        };
        // Why the round's edition: a later cohort may name another holder, so until we hold it
        // we do nothing under an epoch that may be over.
        let sure = rounds
            .confirmed(now)
            .is_some_and(|round| round.editions[BookName::Cohort.index()] <= cohort.edition);
        if !sure {
            return DutyStep::Rest;
        }
        let term = cohort.duty(self.name);
        if let Some(term) = term.filter(|term| term.holder == node) {
            let since = match self.held_since {
                Some((epoch, since)) if epoch == term.epoch => since,
                _ => {
                    self.held_since = Some((term.epoch, now));
                    now
                }
            };
            return DutyStep::Hold {
                epoch: term.epoch,
                held: now.saturating_sub(since),
            };
        }
        self.held_since = None;
        let recently = self
            .asked_at
            .is_some_and(|asked| now.saturating_sub(asked) < Duration::from_millis(500));
        let holder = term.map(|term| term.holder);
        if recently || first_in_order(now, seats, liveness, holder) != Some(node) {
            return DutyStep::Rest;
        }
        self.asked_at = Some(now);
        DutyStep::Take {
            term: DutyTerm {
                holder: node,
                epoch: term.map_or(Epoch(1), |term| term.epoch.next()),
            },
            expected: cohort.present(&format!("duty/{}", self.name)),
        }
    }
}
