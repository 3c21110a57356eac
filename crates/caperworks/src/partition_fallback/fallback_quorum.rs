//! One agent's part: when it asks the others, whose answers count, and until when it is fresh.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::feed::Follower;
use crate::identifiers::Version;
use crate::leases::{DRIFT_MARGIN, LEASE_SPAN};
use crate::partition_fallback::messages::FallbackResponse;
use crate::partition_fallback::{
    majority_of, FALLBACK_LEAD, FALLBACK_MAPS, FALLBACK_SPAN, SETTLE_SPAN,
};
use crate::replicated_map::{MapName, ReplicatedMap, FALLBACK_MEMBERS};

/// The shortest time between two requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(300);
/// The most requests whose answers are still counted.
const MOST_IN_FLIGHT: usize = 8;

/// Fault injection, to prove the invariant checkers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenFallback {
    /// No fault.
    #[default]
    Nothing,
    /// Asks nobody.
    Silent,
    /// Counts as fresh whatever later versions the others have.
    IgnoresNewerVersions,
    /// Counts a majority of those that answer, and not of the members.
    CountsOnlyResponders,
    /// Counts its own answer from the start, though it may have lost state.
    QualifiedFromStart,
}

/// A request in flight, with the answers so far.
struct PendingRequest {
    number: u64,
    sent_at: Duration,
    responses: BTreeMap<SocketAddr, Vec<Version>>,
}

/// One agent's part in the fallback quorum.
pub struct FallbackQuorum {
    own: SocketAddr,
    fallback_members_version: Version,
    fallback_members_since: Duration,
    /// Whether its own answer counts.
    is_qualified: bool,
    number: u64,
    requests: VecDeque<PendingRequest>,
    next_request_at: Duration,
    fresh_until: Duration,
    /// The fault to inject; none in production.
    pub broken: BrokenFallback,
}

impl FallbackQuorum {
    /// The part of the agent at this address, before it knows any members.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            fallback_members_version: Version(0),
            fallback_members_since: Duration::ZERO,
            is_qualified: false,
            number: 0,
            requests: VecDeque::new(),
            next_request_at: Duration::ZERO,
            fresh_until: Duration::ZERO,
            broken: BrokenFallback::Nothing,
        }
    }

    /// Until when the answers of a majority keep this agent fresh.
    pub fn until(&self) -> Duration {
        self.fresh_until
    }

    /// The version of the members under which this agent's answer counts in a majority, if it does.
    pub fn qualified_under(&self) -> Option<Version> {
        self.is_qualified.then_some(self.fallback_members_version)
    }

    /// Whether to ask an agent that is ahead, without knowing the members.
    pub fn fetches(&mut self, now: Duration, lease_until: Duration) -> bool {
        let is_due = now >= lease_until && now >= self.next_request_at;
        if is_due {
            self.next_request_at = now + REQUEST_PERIOD;
        }
        is_due
    }

    /// Takes in the state of the core: the members, and until when its lease lives.
    ///
    /// The answer of this agent counts once a lease was granted long enough after it learned the
    /// members: the lease began with a quorum read of the voters, and whatever was committed before that
    /// read is present here now.
    pub fn look(&mut self, now: Duration, membership: &ReplicatedMap, lease_until: Duration) {
        let version = membership.present(FALLBACK_MEMBERS);
        if version != self.fallback_members_version {
            self.fallback_members_version = version;
            self.fallback_members_since = now;
            self.is_qualified = false;
            self.requests.clear();
        }
        let is_proved = now < lease_until
            && lease_until >= self.fallback_members_since + SETTLE_SPAN + LEASE_SPAN
            && version > Version(0);
        self.is_qualified |= is_proved || self.broken == BrokenFallback::QualifiedFromStart;
    }

    /// The members to ask, and the number of the request, if it is time.
    ///
    /// An agent whose own answer does not count asks as well: the answers of a majority of others make it
    /// fresh like any other.
    pub fn ask(
        &mut self,
        now: Duration,
        membership: &ReplicatedMap,
        lease_until: Duration,
    ) -> Option<(u64, BTreeSet<SocketAddr>)> {
        let left = lease_until.saturating_sub(now);
        let fallback_members = membership.fallback_members()?;
        let mut others = fallback_members.everyone();
        let silent = self.broken == BrokenFallback::Silent;
        let early = left >= FALLBACK_LEAD || now < self.next_request_at;
        if !others.remove(&self.own) || early || silent {
            return None;
        }
        self.next_request_at = now + REQUEST_PERIOD;
        self.number += 1;
        self.requests.push_back(PendingRequest {
            number: self.number,
            sent_at: now,
            responses: BTreeMap::new(),
        });
        if self.requests.len() > MOST_IN_FLIGHT {
            self.requests.pop_front();
        }
        Some((self.number, others))
    }

    /// Handles an answer; the updates in it must have been applied before.
    ///
    /// It counts only under the very version of the members that is known here: an agent that is
    /// qualified under an older one may lack a change that a controller confirmed by the newer.
    pub fn handle_response(
        &mut self,
        from: SocketAddr,
        tell: &FallbackResponse,
        follower: &Follower,
    ) {
        let counts = tell.qualified_under == Some(self.fallback_members_version);
        let mut requests = self.requests.iter_mut();
        let request = requests.find(|request| request.number == tell.number);
        if let Some(request) = request.filter(|_| counts) {
            request.responses.insert(from, tell.versions.clone());
        }
        self.update_freshness(follower);
    }

    /// Extends the freshness by each request that a majority has answered whose highest versions are
    /// present here. It counts from the request, as each answer is about a time after it.
    fn update_freshness(&mut self, follower: &Follower) {
        let Some(fallback_members) = follower.map(MapName::Membership).fallback_members() else {
            return;
        };
        let (own, is_qualified, broken) = (self.own, self.is_qualified, self.broken);
        for request in &self.requests {
            let heard = |address: &SocketAddr| {
                (is_qualified && *address == own) || request.responses.contains_key(address)
            };
            let enough = match broken {
                BrokenFallback::CountsOnlyResponders => !request.responses.is_empty(),
                _ => fallback_members.enough(heard, majority_of),
            };
            let is_up_to_date = request.responses.values().all(|versions| {
                FALLBACK_MAPS.iter().all(|name| {
                    let present = follower.map(*name).version;
                    versions
                        .get(name.index())
                        .is_none_or(|version| *version <= present)
                })
            });
            if enough && (is_up_to_date || broken == BrokenFallback::IgnoresNewerVersions) {
                let until = request.sent_at + FALLBACK_SPAN - DRIFT_MARGIN;
                self.fresh_until = self.fresh_until.max(until);
            }
        }
    }
}
