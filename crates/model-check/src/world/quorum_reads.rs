//! Quorum reads in the model.

use crate::bound::{Bound, InjectedBug};
use crate::invariants::Violation;
use crate::node::{ReadState, QUORUM_READ_TIME};
use crate::world::World;
use caperworks::leases::QuorumReads;
use caperworks::map_items::VoterSet;
use caperworks::replicated_map::MapName;

impl World {
    pub(super) fn begin_quorum_read(&mut self, bound: &Bound, index: u8) -> Result<(), Violation> {
        let accepted = self.accepted;
        self.change(index, |node| {
            if node.read == ReadState::NotCalled {
                node.read = ReadState::Called { accepted };
            }
            node.quorum_reads_left -= 1;
            let number = node.quorum_reads.begin(QUORUM_READ_TIME);
            let voters = node.voter.get().map(MapName::Membership).voters();
            let waiting = voters
                .iter()
                .flat_map(|voters| &voters.entries)
                .map(|entry| entry.node)
                .collect();
            node.open_quorum_read = Some((number, waiting));
        });
        self.finish_read(bound, index)
    }

    pub(super) fn respond_to_quorum_read(
        &mut self,
        bound: &Bound,
        index: u8,
        voter: u8,
    ) -> Result<(), Violation> {
        let responder = self.node(voter);
        let (from, versions) = (responder.id, responder.voter.get().highest_possible());
        self.change(index, |node| {
            let voters = node.voter.get().map(MapName::Membership).voters();
            let majority = voters.map_or(usize::MAX, VoterSet::majority);
            if let Some((number, waiting)) = &mut node.open_quorum_read {
                waiting.remove(&from);
                node.quorum_reads
                    .handle_response(from, *number, versions, majority);
            }
        });
        self.finish_read(bound, index)
    }

    /// Completes the read if the node may serve it, and checks that the result is not stale.
    pub(super) fn finish_read(&mut self, bound: &Bound, index: u8) -> Result<(), Violation> {
        let node = self.node(index);
        let ReadState::Called { accepted } = node.read else {
            return Ok(());
        };
        let read = node.version(MapName::Configuration);
        let membership = node.version(MapName::Membership);
        let is_confirmed =
            node.quorum_reads
                .confirmed(QUORUM_READ_TIME)
                .is_some_and(|quorum_read| {
                    let is_current = bound.injected_bug == InjectedBug::ReadsUnderOldMembership
                        || quorum_read.is_under(membership);
                    is_current && quorum_read.versions[MapName::Configuration.index()] <= read
                });
        if !is_confirmed && bound.injected_bug != InjectedBug::ReadsWithoutQuorum {
            return Ok(());
        }
        // With an earlier quorum read, a call is served at the moment when it arrives.
        let accepted = match bound.injected_bug {
            InjectedBug::ReadsByEarlierQuorumRead => self.accepted,
            _ => accepted,
        };
        if read < accepted {
            let node = node.id;
            return Err(Violation::StaleRead {
                node,
                read,
                accepted,
            });
        }
        self.change(index, |node| {
            node.read = ReadState::Completed;
            node.open_quorum_read = None;
            node.quorum_reads = QuorumReads::default();
        });
        Ok(())
    }
}
