//! What a follower counts of its link to the core, and tells the log while it has no lease.

use std::fmt;
use std::time::Duration;

use crate::consensus::messages::{CommittedChange, ConsensusMessage};
use crate::feed::Follower;
use crate::messages::Granted;

/// How soon the log is told again.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// What a follower asked and heard since it last told the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkFigures {
    pub polls: u64,
    pub responses: u64,
    /// Answers to questions so old that it is not known any more when they were sent.
    pub responses_to_forgotten: u64,
    pub slowest_response: Duration,
    /// How often one controller was left for another.
    pub turns: u64,
    pub changes: u64,
    /// Those of the changes that were held already.
    pub held_changes: u64,
    pub full_maps: u64,
    pub instances: u64,
    pub members: u64,
    /// Connections that were opened, and those that were lost or could not be opened.
    pub opened_connections: u64,
    pub slowest_opening: Duration,
    pub lost_connections: u64,
}

impl LinkFigures {
    /// Counts an answer; `took` is for how long its question waited, if that is still known.
    pub fn count(&mut self, granted: &Granted, took: Option<Duration>, held: &Follower) {
        self.responses += 1;
        self.responses_to_forgotten += u64::from(took.is_none());
        self.slowest_response = self.slowest_response.max(took.unwrap_or_default());
        self.instances += granted.instances.len() as u64;
        self.members += granted.members.len() as u64;
        for updates in &granted.updates {
            self.count_updates(updates, held);
        }
    }

    /// Counts a connection that was opened.
    pub fn count_opening(&mut self, took: Duration) {
        self.opened_connections += 1;
        self.slowest_opening = self.slowest_opening.max(took);
    }

    fn count_updates(&mut self, updates: &ConsensusMessage, held: &Follower) {
        if let ConsensusMessage::Snapshot { .. } = updates {
            self.full_maps += 1;
        }
        let Some(updates) = updates.follower_updates() else {
            return;
        };
        let version = held.map(updates.map).version;
        let is_held = |numbered: &&CommittedChange| numbered.version <= version;
        self.changes += updates.changes.len() as u64;
        self.held_changes += updates.changes.iter().filter(is_held).count() as u64;
    }
}

impl fmt::Display for LinkFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} questions, {} answers ({} to forgotten ones, slowest {} ms), {} turns; \
             {} changes ({} held already), {} whole maps, {} instances, {} members; \
             {} connections opened (slowest {} ms), {} lost",
            self.polls,
            self.responses,
            self.responses_to_forgotten,
            self.slowest_response.as_millis(),
            self.turns,
            self.changes,
            self.held_changes,
            self.full_maps,
            self.instances,
            self.members,
            self.opened_connections,
            self.slowest_opening.as_millis(),
            self.lost_connections,
        )
    }
}

/// When a follower without a lease tells the log, and what.
#[derive(Debug, Clone, Default)]
pub struct LinkReporter {
    pub figures: LinkFigures,
    next_at: Duration,
}

impl LinkReporter {
    /// The figures, if they are due; they begin anew then.
    ///
    /// Why not while there is a lease: a link that works is worth no line.
    pub fn report(&mut self, now: Duration, has_lease: bool) -> Option<LinkFigures> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + REPORT_PERIOD;
        let figures = std::mem::take(&mut self.figures);
        (!has_lease && figures.polls > 0).then_some(figures)
    }
}
