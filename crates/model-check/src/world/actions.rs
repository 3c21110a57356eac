//! The events that are possible in a state.

use std::collections::BTreeSet;

use crate::bound::{Bound, InjectedBug, MembershipStep};
use crate::node::{Node, ReadState};
use crate::world::{Action, Request, World};
use caperworks::consensus::messages::{ConsensusMessage, ProposalNumber};
use caperworks::identifiers::Version;
use caperworks::map_items::VoterEntry;
use caperworks::replicated_map::MapName;

impl World {
    /// Returns all events that are possible within the bound.
    pub fn actions(&self, bound: &Bound) -> Vec<Action> {
        let mut actions = Vec::new();
        self.add_deliveries(bound, &mut actions);
        for (index, node) in self.running() {
            self.add_node_actions(bound, index, node, &mut actions);
        }
        self.add_management(bound, &mut actions);
        actions
    }

    pub(super) fn add_deliveries(&self, bound: &Bound, actions: &mut Vec<Action>) {
        for (number, (_, request)) in self.requests.iter().enumerate() {
            if !self.would_vote(bound, request) {
                continue;
            }
            let request = number as u8;
            actions.push(Action::Deliver {
                request,
                reply_lost: false,
            });
            if self.lost_replies > 0 {
                actions.push(Action::Deliver {
                    request,
                    reply_lost: true,
                });
            }
        }
    }

    pub(super) fn add_node_actions(
        &self,
        bound: &Bound,
        index: u8,
        node: &Node,
        actions: &mut Vec<Action>,
    ) {
        if node.configuration_proposals > 0 && node.configuration.get().has_work() {
            let map = MapName::Configuration;
            actions.push(Action::Begin { index, map });
        }
        if node.membership_proposals > 0 && node.membership.get().has_work() {
            let map = MapName::Membership;
            actions.push(Action::Begin { index, map });
        }
        if !node.is_synced() {
            actions.push(Action::Sync { index });
        }
        for map in super::MAPS {
            self.add_learn_actions(index, node, map, actions);
        }
        if self.restarts > 0 {
            actions.push(Action::Restart { index });
        }
        if bound.wiped.contains(&node.id) {
            actions.push(Action::Wipe { index });
        }
        if bound.readers.contains(&node.id) {
            self.add_read_actions(index, node, actions);
        }
    }

    /// Adds one source for each later version that some node has.
    pub(super) fn add_learn_actions(
        &self,
        index: u8,
        node: &Node,
        map: MapName,
        actions: &mut Vec<Action>,
    ) {
        let mut seen = BTreeSet::from([node.version(map)]);
        for (source, other) in self.running() {
            let version = other.version(map);
            if version > node.version(map) && seen.insert(version) {
                actions.push(Action::Learn { index, source, map });
            }
        }
    }

    pub(super) fn add_read_actions(&self, index: u8, node: &Node, actions: &mut Vec<Action>) {
        let may_begin = node.open_quorum_read.is_none() && node.quorum_reads_left > 0;
        if may_begin && node.read != ReadState::Completed {
            actions.push(Action::BeginQuorumRead { index });
        }
        let Some((_, waiting)) = &node.open_quorum_read else {
            return;
        };
        for (voter, other) in self.running() {
            if waiting.contains(&other.id) {
                actions.push(Action::RespondToQuorumRead { index, voter });
            }
        }
    }

    pub(super) fn add_management(&self, bound: &Bound, actions: &mut Vec<Action>) {
        let manager = self
            .index_of(bound.manager)
            .map(|index| self.node(index))
            .filter(|node| node.is_running);
        let is_due = manager.is_some_and(|node| {
            node.requested_under != Some(node.version(MapName::Membership))
                && self.next_voters(bound, node).is_some()
        });
        if is_due {
            actions.push(Action::Manage);
            self.add_reports(bound, actions);
        }
    }

    /// Adds the reports that tell the manager something new.
    fn add_reports(&self, bound: &Bound, actions: &mut Vec<Action>) {
        let Some(manager) = self.index_of(bound.manager) else {
            return;
        };
        if !bound.settles_by_reports {
            return;
        }
        let known = &self.node(manager).settlement;
        for (voter, _) in self.running() {
            if self.settlement_after_report(manager, voter) != *known {
                actions.push(Action::Report { voter });
            }
        }
    }

    /// Returns the voters after the first membership step that has not been made yet.
    pub(super) fn next_voters(&self, bound: &Bound, manager: &Node) -> Option<Vec<VoterEntry>> {
        let voters = manager.voter.get().map(MapName::Membership).voters()?;
        let mut entries = voters.entries.clone();
        for step in &bound.membership_steps {
            match step {
                // A node that replaces a wiped one exists only after the wipe.
                MembershipStep::Join(id)
                    if voters.entry(*id).is_none() && self.index_of(*id).is_some() =>
                {
                    entries.push(super::entry(*id));
                    return Some(entries);
                }
                MembershipStep::Leave(id) if voters.entry(*id).is_some() => {
                    entries.retain(|entry| entry.node != *id);
                    return Some(entries);
                }
                _ => {}
            }
        }
        None
    }

    /// Returns the map, membership, version and proposal number of a request.
    pub(super) fn proposal_fields(
        message: &ConsensusMessage,
    ) -> Option<(MapName, Version, Version, ProposalNumber)> {
        match message {
            ConsensusMessage::Prepare {
                map,
                membership,
                version,
                proposal_number,
            }
            | ConsensusMessage::Accept {
                map,
                membership,
                version,
                proposal_number,
                ..
            } => Some((*map, *membership, *version, *proposal_number)),
            _ => None,
        }
    }

    /// Returns whether the voter would vote on a request now. Rejections need not be delivered, because
    /// a proposer also learns their contents through other events.
    pub(super) fn would_vote(&self, bound: &Bound, request: &Request) -> bool {
        let Some((map, membership, version, proposal_number)) =
            Self::proposal_fields(&request.message)
        else {
            return false;
        };
        let Some(index) = self.index_of(request.voter) else {
            return false;
        };
        let node = self.node(index);
        let replica = node.voter.get().replica(map);
        let matches_membership = bound.injected_bug == InjectedBug::VotesUnderAnyMembership
            || membership == node.version(MapName::Membership);
        node.is_running
            && matches_membership
            && replica.map.version.next() == version
            && proposal_number >= replica.promised
    }

    /// Removes requests on which their voters will never vote again.
    pub(super) fn drop_obsolete_requests(&mut self, bound: &Bound) {
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain(|(_, request)| self.may_be_voted_on(bound, request));
        self.requests = requests;
    }

    pub(super) fn may_be_voted_on(&self, bound: &Bound, request: &Request) -> bool {
        let Some((map, membership, version, proposal_number)) =
            Self::proposal_fields(&request.message)
        else {
            return false;
        };
        let Some(index) = self.index_of(request.voter) else {
            return false;
        };
        let node = self.node(index);
        // Compare with the synced state: a restart may revert the node to it, but never further.
        let replica = node.synced.get().replica(map);
        let may_match_membership = bound.injected_bug == InjectedBug::VotesUnderAnyMembership
            || membership >= node.synced.get().map(MapName::Membership).version;
        let next = replica.map.version.next();
        let is_preempted = version == next && proposal_number < replica.promised;
        node.is_running && may_match_membership && version >= next && !is_preempted
    }
}
