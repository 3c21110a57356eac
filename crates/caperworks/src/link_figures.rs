//! The figures of a follower's link to the control plane, logged while it has no lease.

use std::fmt;
use std::time::Duration;

use crate::consensus::messages::{CommittedChange, ConsensusMessage};
use crate::feed::Follower;
use crate::messages::Granted;

/// The interval between log lines.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a follower requested and received since the last log line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkFigures {
    pub polls: u64,
    pub responses: u64,
    /// Responses to requests so old that it is no longer known when they were sent.
    pub unmatched_responses: u64,
    pub slowest_response: Duration,
    /// How often the link switched to another controller.
    pub controller_switches: u64,
    pub changes: u64,
    /// The changes that were already present.
    pub known_changes: u64,
    pub full_maps: u64,
    pub instances: u64,
    pub members: u64,
    pub opened_connections: u64,
    pub slowest_connection_opening: Duration,
    /// Connections that were lost or could not be opened.
    pub lost_connections: u64,
}

impl LinkFigures {
    /// Counts a response; `took` is the time since its request, if that is still known.
    pub fn count(&mut self, granted: &Granted, took: Option<Duration>, follower: &Follower) {
        self.responses += 1;
        self.unmatched_responses += u64::from(took.is_none());
        self.slowest_response = self.slowest_response.max(took.unwrap_or_default());
        self.instances += granted.instances.len() as u64;
        self.members += granted.members.len() as u64;
        for updates in &granted.updates {
            self.count_updates(updates, follower);
        }
    }

    /// Counts a connection that was opened, and how long that took.
    pub fn record_opened_connection(&mut self, took: Duration) {
        self.opened_connections += 1;
        self.slowest_connection_opening = self.slowest_connection_opening.max(took);
    }

    fn count_updates(&mut self, updates: &ConsensusMessage, follower: &Follower) {
        if let ConsensusMessage::Snapshot { .. } = updates {
            self.full_maps += 1;
        }
        let Some(updates) = updates.follower_updates() else {
            return;
        };
        let version = follower.map(updates.map).version;
        let is_known = |committed: &&CommittedChange| committed.version <= version;
        self.changes += updates.changes.len() as u64;
        self.known_changes += updates.changes.iter().filter(is_known).count() as u64;
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
            self.unmatched_responses,
            self.slowest_response.as_millis(),
            self.controller_switches,
            self.changes,
            self.known_changes,
            self.full_maps,
            self.instances,
            self.members,
            self.opened_connections,
            self.slowest_connection_opening.as_millis(),
            self.lost_connections,
        )
    }
}

/// Decides when the figures of a follower without a lease are logged.
#[derive(Debug, Clone, Default)]
pub struct LinkReporter {
    pub figures: LinkFigures,
    next_at: Duration,
}

impl LinkReporter {
    /// Returns the figures if they are due, and resets them.
    ///
    /// A follower that has a lease logs nothing.
    pub fn report(&mut self, now: Duration, has_lease: bool) -> Option<LinkFigures> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + REPORT_INTERVAL;
        let figures = std::mem::take(&mut self.figures);
        (!has_lease && figures.polls > 0).then_some(figures)
    }
}
