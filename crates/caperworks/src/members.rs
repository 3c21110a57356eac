//! The members: nodes that hold a lease, as far as this node has heard.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::offset_before;
use crate::facts::{first_learned, FirstFacts, Kept, Member, ReceivedMember, Role};
use crate::identifiers::NodeId;

/// A member whose lease was not renewed for this long is no member.
pub const MEMBER_SPAN: Duration = Duration::from_millis(3000);

/// The nodes that hold a lease.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<NodeId, Kept<Member>>,
    learned: u64,
    /// How long a member that says nothing else than before need not be passed on.
    pub refresh: Duration,
}

impl Members {
    pub fn handle(&mut self, now: Duration, heard: &ReceivedMember) -> bool {
        let heard_at = now.saturating_sub(heard.age);
        if now.saturating_sub(heard_at) >= MEMBER_SPAN {
            return false;
        }
        let node = heard.member.node;
        if let Some(kept) = self.known.get(&node) {
            let said = (heard.member.counter, heard.member.silent);
            if said <= (kept.fact.counter, kept.fact.silent) {
                return false;
            }
        } else {
            // Why: a process that started again at the same address is a new node.
            self.known
                .retain(|_, kept| kept.fact.control != heard.member.control);
        }
        let mut fact = heard.member.clone();
        if fact.demand_unchanged {
            // Why kept and not asked for: it is told whole again in a moment.
            let before = self.known.get(&node).map(|kept| kept.fact.demand.clone());
            fact.demand = before.unwrap_or_default();
            fact.demand_unchanged = false;
        }
        let quiet = self.known.get(&node).filter(|kept| {
            let (said, before) = (&heard.member, &kept.fact);
            said.ready == before.ready
                && said.draining == before.draining
                && said.serving == before.serving
                && said.stands == before.stands
                && now.saturating_sub(kept.notified_at) < self.refresh
        });
        let (learned, notified_at) = match quiet {
            Some(kept) => (kept.learned, kept.notified_at),
            None => {
                self.learned += 1;
                (self.learned, now)
            }
        };
        self.known.insert(
            node,
            Kept {
                fact,
                heard_at,
                learned,
                notified_at,
            },
        );
        true
    }

    /// Counts a member that fell silent here as not ready, for everyone, until it is heard again.
    ///
    /// Why under the same counter: whoever has heard it later than we have knows better.
    pub fn mark_suspected(&mut self, now: Duration, node: NodeId) {
        let Some(kept) = self.known.get_mut(&node).filter(|kept| kept.fact.ready) else {
            return;
        };
        kept.fact.ready = false;
        kept.fact.silent = true;
        self.learned += 1;
        kept.learned = self.learned;
        kept.notified_at = now;
    }

    pub fn expire(&mut self, now: Duration) -> Vec<NodeId> {
        let mut gone = Vec::new();
        self.known.retain(|node, kept| {
            let is_alive = now.saturating_sub(kept.heard_at) < MEMBER_SPAN;
            if !is_alive {
                gone.push(*node);
            }
            is_alive
        });
        gone
    }

    pub fn learned(&self) -> u64 {
        self.learned
    }

    /// The offset up to which members were learned before a moment.
    pub fn offset_before(&self, moment: Duration) -> u64 {
        offset_before(self.known.values(), moment)
    }

    pub fn after(&self, now: Duration, offset: u64) -> Vec<ReceivedMember> {
        self.first_after(now, offset, usize::MAX).heard
    }

    /// The first facts learned after a place and at most so many, with their present age.
    pub fn first_after(
        &self,
        now: Duration,
        offset: u64,
        most: usize,
    ) -> FirstFacts<ReceivedMember> {
        let (first, more) = first_learned(self.known.values(), offset, most);
        let last = first.last().map(|kept| kept.learned);
        let heard = first.into_iter().map(|kept| ReceivedMember {
            member: kept.fact.clone(),
            age: now.saturating_sub(kept.heard_at),
        });
        FirstFacts {
            heard: heard.collect(),
            offset: last.filter(|_| more).unwrap_or(self.learned),
            more,
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|kept| &kept.fact)
    }

    pub fn ready_proxies(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.role == Role::Proxy && member.ready)
    }
}
