//! Leases that a node renews at the core and that no controller can grant alone.
//!
//! A controller grants only from a round in which a majority of voters told it their versions. The
//! span counts from the start of that round, so a controller that is cut off grants nothing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::feed::Follower;
use crate::identifiers::{NodeId, Version};
use crate::replicated_map::{MapName, ALL_MAPS};

/// How long a lease lives, counted from the start of the round behind it.
pub const LEASE_SPAN: Duration = Duration::from_millis(3000);
/// What a holder gives up of the span, so that clocks that run apart cannot stretch it.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(100);
/// A round older than this is no ground for a new grant.
pub const QUORUM_READ_AGE_LIMIT: Duration = Duration::from_millis(1500);

/// How many rounds may wait for answers: with reads a round begins as often as every 25 ms.
const MAX_OPEN_QUORUM_READS: usize = 32;
/// How many grants a holder remembers.
const REMEMBERED_GRANTS: usize = 8;
/// How many renewals a holder remembers, so that it knows how long a late answer took.
const REMEMBERED_RENEWALS: usize = 32;

#[derive(Debug, Clone)]
struct OpenQuorumRead {
    number: u64,
    started: Duration,
    responses: BTreeMap<NodeId, Vec<Version>>,
}

/// A round that a majority answered.
#[derive(Debug, Clone, PartialEq)]
pub struct QuorumRead {
    /// Rounds are numbered in the order in which they began.
    pub number: u64,
    pub started: Duration,
    pub versions: Vec<Version>,
}

impl QuorumRead {
    /// Whether no voter that answered may have taken part in a membership after this one.
    ///
    /// Why it matters: a majority of voters that are no longer all of them need not know what the
    /// voters after them accepted.
    pub fn is_under(&self, membership: Version) -> bool {
        self.versions[MapName::Membership.index()] <= membership
    }
}

/// The grantor's rounds.
#[derive(Debug, Clone, Default)]
pub struct QuorumReads {
    number: u64,
    open: VecDeque<OpenQuorumRead>,
    latest: Option<QuorumRead>,
}

impl QuorumReads {
    /// The number that the next round will have.
    pub fn next_number(&self) -> u64 {
        self.number + 1
    }

    pub fn begin(&mut self, now: Duration) -> u64 {
        self.number += 1;
        self.open.push_back(OpenQuorumRead {
            number: self.number,
            started: now,
            responses: BTreeMap::new(),
        });
        if self.open.len() > MAX_OPEN_QUORUM_READS {
            self.open.pop_front();
        }
        self.number
    }

    /// Takes a voter's answer; only voters may be passed in.
    pub fn respond(&mut self, from: NodeId, number: u64, versions: Vec<Version>, majority: usize) {
        let Some(index) = self
            .open
            .iter()
            .position(|quorum_read| quorum_read.number == number)
        else {
            return;
        };
        let quorum_read = &mut self.open[index];
        quorum_read.responses.insert(from, versions);
        if quorum_read.responses.len() < majority {
            return;
        }
        let mut highest = vec![Version(0); ALL_MAPS.len()];
        for versions in quorum_read.responses.values() {
            for (own, heard) in highest.iter_mut().zip(versions) {
                *own = (*own).max(*heard);
            }
        }
        let complete = QuorumRead {
            number,
            started: quorum_read.started,
            versions: highest,
        };
        // Why drop the earlier ones: what they could still tell is older than what is known.
        self.open.drain(..=index);
        self.latest = Some(complete);
    }

    pub fn latest(&self, now: Duration) -> Option<&QuorumRead> {
        self.begun_within(now, QUORUM_READ_AGE_LIMIT)
    }

    /// The last round that a majority answered, if it began less than `age` ago.
    pub fn begun_within(&self, now: Duration, age: Duration) -> Option<&QuorumRead> {
        self.latest
            .as_ref()
            .filter(|quorum_read| now.saturating_sub(quorum_read.started) < age)
    }

    /// The last round that a majority answered, if it is `number` or began after it.
    ///
    /// This is the read index of a call for which round `number` was begun: what a majority held
    /// when it answered that round includes every change that was accepted before the call.
    pub fn answered_since(&self, number: u64) -> Option<&QuorumRead> {
        self.latest
            .as_ref()
            .filter(|quorum_read| quorum_read.number >= number)
    }

    /// Whether a majority was heard in a round that began within the lease span.
    pub fn confirmed(&self, now: Duration) -> Option<&QuorumRead> {
        self.begun_within(now, LEASE_SPAN - DRIFT_MARGIN)
    }

    /// Drops the rounds under way, and the latest if it was not under the membership until now.
    ///
    /// Why when the voters change: answers of two sets of voters make a majority of neither, and
    /// what a round under an earlier membership left open the next membership does not settle.
    pub fn reset(&mut self, before: Version) {
        self.open.clear();
        self.latest
            .take_if(|quorum_read| !quorum_read.is_under(before));
    }
}

#[derive(Debug, Clone)]
struct HeldGrant {
    until: Duration,
    versions: Vec<Version>,
}

/// The holder's side of a lease.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    /// How long a lease lives for this holder; never longer than [`LEASE_SPAN`].
    pub span: Duration,
    number: u64,
    sent: VecDeque<(u64, Duration)>,
    grants: VecDeque<HeldGrant>,
    /// Only for proving the observers: treats every grant as if its versions were held.
    pub careless: bool,
}

impl Default for LeaseHolder {
    fn default() -> Self {
        Self {
            span: LEASE_SPAN,
            number: 0,
            sent: VecDeque::new(),
            grants: VecDeque::new(),
            careless: false,
        }
    }
}

impl LeaseHolder {
    pub fn renew(&mut self, now: Duration) -> u64 {
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > REMEMBERED_RENEWALS {
            self.sent.pop_front();
        }
        self.number
    }

    /// When the renewal with this number was sent, if that is not too long ago to be known.
    pub fn sent_at(&self, number: u64) -> Option<Duration> {
        let sent = self.sent.iter().find(|(sent, _)| *sent == number)?;
        Some(sent.1)
    }

    pub fn granted(&mut self, number: u64, quorum_read_age: Duration, versions: Vec<Version>) {
        let Some(sent_at) = self.sent_at(number) else {
            return;
        };
        // Why from our sending: the grantor answered after it, so the round began no earlier than
        // our sending less the age it told; counting from here can only be too short.
        let span = self.span.min(LEASE_SPAN).saturating_sub(DRIFT_MARGIN);
        let until = (sent_at + span).saturating_sub(quorum_read_age);
        self.grants.push_back(HeldGrant { until, versions });
        if self.grants.len() > REMEMBERED_GRANTS {
            self.grants.pop_front();
        }
    }

    /// Until when the holder is fresh, given what its copy of the maps holds.
    pub fn fresh_until(&self, follower: &Follower, wants: &[MapName]) -> Duration {
        self.grants
            .iter()
            .filter(|grant| self.careless || follower.has_versions(&grant.versions, wants))
            .map(|grant| grant.until)
            .max()
            .unwrap_or(Duration::ZERO)
    }
}
