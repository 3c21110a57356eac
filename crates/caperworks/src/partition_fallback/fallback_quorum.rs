//! One agent's side of the fallback quorum: when it polls the others, whose responses count, and until when it
//! is fresh.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::feed::Follower;
use crate::identifiers::Version;
use crate::leases::{DRIFT_MARGIN, LEASE_DURATION};
use crate::partition_fallback::messages::FallbackResponse;
use crate::partition_fallback::{
    majority_of, FALLBACK_LIFETIME, FALLBACK_MAPS, FALLBACK_REQUEST_LEAD, MEMBERS_SETTLE_TIME,
};
use crate::replicated_map::{MapName, ReplicatedMap, FALLBACK_MEMBERS};

/// The minimum interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum number of requests whose responses are still counted.
const MAX_IN_FLIGHT: usize = 8;

/// Fault injection, to prove the invariant checkers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenFallback {
    /// No fault.
    #[default]
    Nothing,
    /// Sends no requests.
    Silent,
    /// Counts as fresh even if the others have later versions.
    NoPooling,
    /// Any response is enough, instead of those of a majority of the members.
    CountsTheLiving,
    /// Counts its own response from the start, although it may have lost state.
    Forgetful,
}

/// A request in flight, with the responses so far.
struct PendingRequest {
    number: u64,
    sent_at: Duration,
    responses: BTreeMap<SocketAddr, Vec<Version>>,
}

/// One agent's side of the fallback quorum.
pub struct FallbackQuorum {
    own_address: SocketAddr,
    fallback_members_version: Version,
    fallback_members_since: Duration,
    /// Whether its own response counts.
    is_qualified: bool,
    number: u64,
    requests: VecDeque<PendingRequest>,
    next_request_at: Duration,
    fresh_until: Duration,
    /// The fault to inject; none in production.
    pub fault: BrokenFallback,
}

impl FallbackQuorum {
    /// Returns the state of the agent at this address, before it knows any members.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            fallback_members_version: Version(0),
            fallback_members_since: Duration::ZERO,
            is_qualified: false,
            number: 0,
            requests: VecDeque::new(),
            next_request_at: Duration::ZERO,
            fresh_until: Duration::ZERO,
            fault: BrokenFallback::Nothing,
        }
    }

    /// Returns until when the responses of a majority keep this agent fresh.
    pub fn fresh_until(&self) -> Duration {
        self.fresh_until
    }

    /// Returns the version of the members under which this agent's response counts for a majority, if it does.
    pub fn qualified_under(&self) -> Option<Version> {
        self.is_qualified.then_some(self.fallback_members_version)
    }

    /// Returns whether to request the maps of an agent that is ahead, while the members are unknown here.
    pub fn should_request_maps(&mut self, now: Duration, lease_until: Duration) -> bool {
        let is_due = now >= lease_until && now >= self.next_request_at;
        if is_due {
            self.next_request_at = now + REQUEST_INTERVAL;
        }
        is_due
    }

    /// Applies the state of the control plane: the members, and until when its lease is valid.
    ///
    /// The response of this agent counts once a lease was granted long enough after it learned the members:
    /// the lease began with a quorum read of the voters, and whatever was committed before that read is
    /// present here now.
    pub fn update_membership(
        &mut self,
        now: Duration,
        membership: &ReplicatedMap,
        lease_until: Duration,
    ) {
        let version = membership.item_version(FALLBACK_MEMBERS);
        if version != self.fallback_members_version {
            self.fallback_members_version = version;
            self.fallback_members_since = now;
            self.is_qualified = false;
            self.requests.clear();
        }
        let is_confirmed = now < lease_until
            && lease_until >= self.fallback_members_since + MEMBERS_SETTLE_TIME + LEASE_DURATION
            && version > Version(0);
        self.is_qualified |= is_confirmed || self.fault == BrokenFallback::Forgetful;
    }

    /// Returns the number of the next request and the members to send it to, if it is due.
    ///
    /// An agent whose own response does not count sends requests as well: the responses of a majority of
    /// others make it fresh like any other.
    pub fn next_request(
        &mut self,
        now: Duration,
        membership: &ReplicatedMap,
        lease_until: Duration,
    ) -> Option<(u64, BTreeSet<SocketAddr>)> {
        let left = lease_until.saturating_sub(now);
        let fallback_members = membership.fallback_members()?;
        let mut others = fallback_members.all_members();
        let is_disabled = self.fault == BrokenFallback::Silent;
        let is_early = left >= FALLBACK_REQUEST_LEAD || now < self.next_request_at;
        if !others.remove(&self.own_address) || is_early || is_disabled {
            return None;
        }
        self.next_request_at = now + REQUEST_INTERVAL;
        self.number += 1;
        self.requests.push_back(PendingRequest {
            number: self.number,
            sent_at: now,
            responses: BTreeMap::new(),
        });
        if self.requests.len() > MAX_IN_FLIGHT {
            self.requests.pop_front();
        }
        Some((self.number, others))
    }

    /// Handles a response; the updates in it must have been applied before.
    ///
    /// It counts only under exactly the version of the members that is known here: an agent that is qualified
    /// under an older one may be missing a change that a controller confirmed by the newer.
    pub fn handle_response(
        &mut self,
        from: SocketAddr,
        response: &FallbackResponse,
        follower: &Follower,
    ) {
        let is_qualified = response.qualified_under == Some(self.fallback_members_version);
        let mut requests = self.requests.iter_mut();
        let request = requests.find(|request| request.number == response.number);
        if let Some(request) = request.filter(|_| is_qualified) {
            request.responses.insert(from, response.versions.clone());
        }
        self.extend_freshness(follower);
    }

    /// Extends the freshness by each request that a majority has responded to, if the highest of their
    /// versions are present here. It counts from the request, as each response describes a later time.
    fn extend_freshness(&mut self, follower: &Follower) {
        let Some(fallback_members) = follower.map(MapName::Membership).fallback_members() else {
            return;
        };
        let (own_address, is_qualified, fault) = (self.own_address, self.is_qualified, self.fault);
        for request in &self.requests {
            let has_responded = |address: &SocketAddr| {
                (is_qualified && *address == own_address) || request.responses.contains_key(address)
            };
            let has_quorum = match fault {
                BrokenFallback::CountsTheLiving => !request.responses.is_empty(),
                _ => fallback_members.has_enough(has_responded, majority_of),
            };
            let is_up_to_date = request.responses.values().all(|versions| {
                FALLBACK_MAPS.iter().all(|name| {
                    let present = follower.map(*name).version;
                    versions
                        .get(name.index())
                        .is_none_or(|version| *version <= present)
                })
            });
            if has_quorum && (is_up_to_date || fault == BrokenFallback::NoPooling) {
                let until = request.sent_at + FALLBACK_LIFETIME - DRIFT_MARGIN;
                self.fresh_until = self.fresh_until.max(until);
            }
        }
    }
}
