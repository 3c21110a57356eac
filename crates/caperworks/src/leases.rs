//! Leases that nodes renew with a controller; granting one takes a majority of the voters.
//!
//! A controller grants a lease only on the basis of a quorum read, in which a majority of voters
//! reported their map versions. The lease duration counts from the start of that quorum read, so a
//! partitioned controller cannot grant leases.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::feed::Follower;
use crate::identifiers::{NodeId, Version};
use crate::replicated_map::{MapName, ALL_MAPS};

/// Duration of a lease, counted from the start of the quorum read that it is based on.
pub const LEASE_DURATION: Duration = Duration::from_millis(3000);
/// Safety margin that a lease holder subtracts from the lease duration, so that clock drift cannot
/// extend the lease.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(100);
/// A quorum read older than this cannot justify a new grant.
pub const QUORUM_READ_AGE_LIMIT: Duration = Duration::from_millis(1500);

/// Maximum number of quorum reads that wait for responses. Client reads start one up to every 25 ms.
const MAX_OPEN_QUORUM_READS: usize = 32;
/// Number of most recent grants that a lease holder keeps.
const MAX_RETAINED_GRANTS: usize = 8;
/// Number of most recent renewals whose send time a lease holder keeps, to date late responses.
const MAX_RETAINED_RENEWALS: usize = 32;

/// A quorum read that waits for a majority of responses.
#[derive(Debug, Clone)]
struct OpenQuorumRead {
    number: u64,
    started: Duration,
    responses: BTreeMap<NodeId, Vec<Version>>,
}

/// A completed quorum read: a majority of voters has responded.
#[derive(Debug, Clone, PartialEq)]
pub struct QuorumRead {
    /// Sequence number, in the order in which quorum reads were started.
    pub number: u64,
    /// When it was started.
    pub started: Duration,
    /// The highest version that was reported for each map.
    pub versions: Vec<Version>,
}

impl QuorumRead {
    /// Returns whether no voter that responded reported a later membership version than this one.
    ///
    /// A majority of a replaced voter set may not know what the voters of a later membership accepted.
    pub fn is_under(&self, membership: Version) -> bool {
        self.versions[MapName::Membership.index()] <= membership
    }
}

/// The quorum reads of a controller that grants leases.
#[derive(Debug, Clone, Default)]
pub struct QuorumReads {
    number: u64,
    open: VecDeque<OpenQuorumRead>,
    latest: Option<QuorumRead>,
}

impl QuorumReads {
    /// Returns the number that the next quorum read will have.
    pub fn next_number(&self) -> u64 {
        self.number + 1
    }

    /// Starts a quorum read and returns its number.
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

    /// Handles a response; `from` must be a voter. Returns whether it completed a quorum read.
    pub fn handle_response(
        &mut self,
        from: NodeId,
        number: u64,
        versions: Vec<Version>,
        majority: usize,
    ) -> bool {
        let Some(index) = self
            .open
            .iter()
            .position(|quorum_read| quorum_read.number == number)
        else {
            return false;
        };
        let quorum_read = &mut self.open[index];
        quorum_read.responses.insert(from, versions);
        if quorum_read.responses.len() < majority {
            return false;
        }
        let mut highest = vec![Version(0); ALL_MAPS.len()];
        for versions in quorum_read.responses.values() {
            for (highest, reported) in highest.iter_mut().zip(versions) {
                *highest = (*highest).max(*reported);
            }
        }
        let complete = QuorumRead {
            number,
            started: quorum_read.started,
            versions: highest,
        };
        // Earlier quorum reads could only yield older information than this one.
        self.open.drain(..=index);
        self.latest = Some(complete);
        true
    }

    /// Returns the latest completed quorum read if it is recent enough to grant leases.
    pub fn latest(&self, now: Duration) -> Option<&QuorumRead> {
        self.started_within(now, QUORUM_READ_AGE_LIMIT)
    }

    /// Returns the latest completed quorum read if it was started less than `age` ago.
    pub fn started_within(&self, now: Duration, age: Duration) -> Option<&QuorumRead> {
        self.latest
            .as_ref()
            .filter(|quorum_read| now.saturating_sub(quorum_read.started) < age)
    }

    /// Returns the latest completed quorum read if it is number `number` or a later one.
    ///
    /// It is the read index of a call for which quorum read `number` was started: the versions that a
    /// majority reported in it include every change that was accepted before the call.
    pub fn completed_since(&self, number: u64) -> Option<&QuorumRead> {
        self.latest
            .as_ref()
            .filter(|quorum_read| quorum_read.number >= number)
    }

    /// Returns the latest completed quorum read if it was started within the lease duration.
    pub fn confirmed(&self, now: Duration) -> Option<&QuorumRead> {
        self.started_within(now, LEASE_DURATION - DRIFT_MARGIN)
    }

    /// Handles a change of voters: discards the quorum reads in progress, and also the latest completed
    /// one unless it was under `before`, the membership until now.
    ///
    /// Responses of two voter sets together form a majority of neither, and a later membership does
    /// not settle what a quorum read under an earlier one left undecided.
    pub fn reset(&mut self, before: Version) {
        self.open.clear();
        self.latest
            .take_if(|quorum_read| !quorum_read.is_under(before));
    }
}

/// A grant that was received.
#[derive(Debug, Clone)]
struct ReceivedGrant {
    until: Duration,
    versions: Vec<Version>,
}

/// The lease state of a node that renews its lease with a controller.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    /// Lease duration for this holder; at most [`LEASE_DURATION`].
    pub duration: Duration,
    number: u64,
    sent: VecDeque<(u64, Duration)>,
    grants: VecDeque<ReceivedGrant>,
    /// Fault injection, to prove the invariant checkers: accepts every grant without checking that
    /// the local replicas have the versions it names.
    pub skips_checks: bool,
}

impl Default for LeaseHolder {
    fn default() -> Self {
        Self {
            duration: LEASE_DURATION,
            number: 0,
            sent: VecDeque::new(),
            grants: VecDeque::new(),
            skips_checks: false,
        }
    }
}

impl LeaseHolder {
    /// Records that a renewal is sent now and returns its number.
    pub fn renew(&mut self, now: Duration) -> u64 {
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > MAX_RETAINED_RENEWALS {
            self.sent.pop_front();
        }
        self.number
    }

    /// Returns when the renewal with this number was sent, if that is still recorded.
    pub fn sent_at(&self, number: u64) -> Option<Duration> {
        let sent = self.sent.iter().find(|(sent, _)| *sent == number)?;
        Some(sent.1)
    }

    /// Handles the grant for the renewal with this number.
    pub fn apply_grant(&mut self, number: u64, quorum_read_age: Duration, versions: Vec<Version>) {
        let Some(sent_at) = self.sent_at(number) else {
            return;
        };
        // The controller responded after the renewal was sent, so its quorum read was started no
        // earlier than `sent_at - quorum_read_age`. Counting from there can only shorten the lease.
        let duration = self
            .duration
            .min(LEASE_DURATION)
            .saturating_sub(DRIFT_MARGIN);
        let until = (sent_at + duration).saturating_sub(quorum_read_age);
        self.grants.push_back(ReceivedGrant { until, versions });
        if self.grants.len() > MAX_RETAINED_GRANTS {
            self.grants.pop_front();
        }
    }

    /// Returns until when the lease is valid, given the versions of the local replicas.
    ///
    /// Only grants count whose versions of the maps in `wants` the replicas have reached.
    pub fn fresh_until(&self, follower: &Follower, wants: &[MapName]) -> Duration {
        self.grants
            .iter()
            .filter(|grant| self.skips_checks || follower.has_versions(&grant.versions, wants))
            .map(|grant| grant.until)
            .max()
            .unwrap_or(Duration::ZERO)
    }
}
