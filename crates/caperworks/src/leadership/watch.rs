//! The leadership of one role, as one controller sees it: when to request it, and since when this
//! controller has had it.
//!
//! Invariant: a controller acts as leader only under a term of a membership that a majority of voters
//! has confirmed within the lease duration.

use std::time::Duration;

use crate::identifiers::{Epoch, NodeId, Version};
use crate::leadership::election::first_in_order;
use crate::leadership::liveness::Liveness;
use crate::leases::QuorumReads;
use crate::map_items::LeadershipTerm;
use crate::replicated_map::{MapName, ReplicatedMap};

/// Minimum interval between requests for the same role.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// One leadership role as one controller sees it.
#[derive(Debug, Clone)]
pub struct LeadershipWatch {
    /// The name of the role.
    pub name: &'static str,
    leading_since: Option<(Epoch, Duration)>,
    requested_at: Option<Duration>,
}

/// What a controller has to do about a leadership role.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipStep {
    /// Nothing to do.
    Wait,
    /// Propose this term, on the condition that the item of the role still has the expected version.
    Propose {
        /// The new term, with the next epoch.
        term: LeadershipTerm,
        /// The expected version of the item of the role.
        expected: Version,
    },
    /// Act as leader of the role.
    Lead {
        /// The epoch of the term, which is the fencing token.
        epoch: Epoch,
        /// How long this controller has been the leader.
        leading_for: Duration,
    },
}

impl LeadershipWatch {
    /// Creates the watch of a role that this controller does not lead.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            leading_since: None,
            requested_at: None,
        }
    }

    /// Decides what to do on this tick.
    ///
    /// Without a quorum read that confirms the local membership the step is always `Wait`: a later
    /// membership may name another leader and end the epoch.
    pub fn step(
        &mut self,
        now: Duration,
        node: NodeId,
        membership: &ReplicatedMap,
        quorum_reads: &QuorumReads,
        liveness: &Liveness,
    ) -> LeadershipStep {
        let Some(voters) = membership.voters() else {
            return LeadershipStep::Wait;
        };
        let is_confirmed = quorum_reads
            .confirmed(now)
            .is_some_and(|read| read.versions[MapName::Membership.index()] <= membership.version);
        if !is_confirmed {
            return LeadershipStep::Wait;
        }
        let term = membership.leadership(self.name);
        if let Some(term) = term.filter(|term| term.leader == node) {
            let since = match self.leading_since {
                Some((epoch, since)) if epoch == term.epoch => since,
                _ => {
                    self.leading_since = Some((term.epoch, now));
                    now
                }
            };
            return LeadershipStep::Lead {
                epoch: term.epoch,
                leading_for: now.saturating_sub(since),
            };
        }
        self.leading_since = None;
        let was_requested = self
            .requested_at
            .is_some_and(|requested| now.saturating_sub(requested) < MIN_REQUEST_INTERVAL);
        let leader = term.map(|term| term.leader);
        if was_requested || first_in_order(now, voters, liveness, leader) != Some(node) {
            return LeadershipStep::Wait;
        }
        self.requested_at = Some(now);
        LeadershipStep::Propose {
            term: LeadershipTerm {
                leader: node,
                epoch: term.map_or(Epoch(1), |term| term.epoch.next()),
            },
            expected: membership.item_version(&format!("duty/{}", self.name)),
        }
    }
}
