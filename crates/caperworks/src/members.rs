//! The members: the nodes that have a lease, according to the reports that this node received.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::offset_before;
use crate::facts::{first_facts_after, FactBatch, FactEntry, Member, ReceivedMember, Role};
use crate::identifiers::NodeId;
use crate::messages::ProxyPosition;

/// A member that has not renewed its lease for this long is removed.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(3000);

/// The nodes that have a lease.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<NodeId, FactEntry<Member>>,
    /// The highest offset that was assigned to a change.
    latest_offset: u64,
    /// How long a member that reports no change need not be forwarded to followers.
    pub refresh_interval: Duration,
}

impl Members {
    /// Merges a report of a member; returns whether it changed anything.
    pub fn handle(&mut self, now: Duration, received: &ReceivedMember) -> bool {
        let received_at = now.saturating_sub(received.age);
        if now.saturating_sub(received_at) >= MEMBER_TIMEOUT {
            return false;
        }
        let node = received.member.node;
        if let Some(entry) = self.known.get(&node) {
            let reported = (received.member.counter, received.member.suspected);
            if reported <= (entry.fact.counter, entry.fact.suspected) {
                return false;
            }
        } else {
            // A process that was restarted at the same address is a new node and replaces the old one.
            self.known
                .retain(|_, entry| entry.fact.control != received.member.control);
        }
        let mut fact = received.member.clone();
        if fact.demand_unchanged {
            // The demand is not requested when it is unknown: it is soon reported in full again.
            let previous = self.known.get(&node).map(|entry| entry.fact.demand.clone());
            fact.demand = previous.unwrap_or_default();
            fact.demand_unchanged = false;
        }
        let unchanged = self.known.get(&node).filter(|entry| {
            let (reported, previous) = (&received.member, &entry.fact);
            reported.ready == previous.ready
                && reported.draining == previous.draining
                && reported.serving == previous.serving
                && reported.client_zones == previous.client_zones
                && now.saturating_sub(entry.notified_at) < self.refresh_interval
        });
        let (offset, notified_at) = match unchanged {
            Some(entry) => (entry.offset, entry.notified_at),
            None => {
                self.latest_offset += 1;
                (self.latest_offset, now)
            }
        };
        self.known.insert(
            node,
            FactEntry {
                fact,
                received_at,
                offset,
                notified_at,
            },
        );
        true
    }

    /// Marks a member that stopped renewing its lease here as not ready, also for all followers, until
    /// its next report.
    ///
    /// The counter stays the same, so that a later report that another node received takes precedence.
    pub fn mark_suspected(&mut self, now: Duration, node: NodeId) {
        let Some(entry) = self.known.get_mut(&node).filter(|entry| entry.fact.ready) else {
            return;
        };
        entry.fact.ready = false;
        entry.fact.suspected = true;
        self.latest_offset += 1;
        entry.offset = self.latest_offset;
        entry.notified_at = now;
    }

    /// Removes and returns the members that have not renewed their lease in time.
    pub fn expire(&mut self, now: Duration) -> Vec<NodeId> {
        let mut expired = Vec::new();
        self.known.retain(|node, entry| {
            let is_alive = now.saturating_sub(entry.received_at) < MEMBER_TIMEOUT;
            if !is_alive {
                expired.push(*node);
            }
            is_alive
        });
        expired
    }

    /// Returns the offset of the latest change.
    pub fn latest_offset(&self) -> u64 {
        self.latest_offset
    }

    /// Returns the offset up to which members were recorded before `moment`.
    pub fn offset_before(&self, moment: Duration) -> u64 {
        offset_before(self.known.values(), moment)
    }

    /// Returns the members that were recorded after an offset, with the current age of each report.
    pub fn after(&self, now: Duration, offset: u64) -> Vec<ReceivedMember> {
        self.first_after(now, offset, usize::MAX).received
    }

    /// Returns the first members that were recorded after an offset, at most `max_count`, with the
    /// current age of each report.
    pub fn first_after(
        &self,
        now: Duration,
        offset: u64,
        max_count: usize,
    ) -> FactBatch<ReceivedMember> {
        let (first, more) = first_facts_after(self.known.values(), offset, max_count);
        let last = first.last().map(|entry| entry.offset);
        let received = first.into_iter().map(|entry| ReceivedMember {
            member: entry.fact.clone(),
            age: now.saturating_sub(entry.received_at),
        });
        FactBatch {
            received: received.collect(),
            offset: last.filter(|_| more).unwrap_or(self.latest_offset),
            more,
        }
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|entry| &entry.fact)
    }

    /// Returns the position of a proxy among all known proxies, in the order of their addresses.
    ///
    /// An address remains when the process restarts, and a proxy counts until its lease is over, so that the
    /// positions of the others change seldom.
    pub fn position_of(&self, proxy: &Member) -> ProxyPosition {
        let mut position = ProxyPosition {
            index: 0,
            proxies: 0,
        };
        for member in self.iter().filter(|member| member.role == Role::Proxy) {
            position.proxies += 1;
            position.index += u32::from(member.control < proxy.control);
        }
        position
    }

    /// Returns the proxies that are ready for requests.
    pub fn ready_proxies(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.role == Role::Proxy && member.ready)
    }
}
