//! Application of committed changes, from messages and from log replay after a restart.
//!
//! Invariant of this module: the version of a map never decreases. A map advances by single changes
//! in order, or to a complete snapshot of a higher version.

use crate::consensus::messages::{
    CommittedChange, ConsensusMessage, ProposalNumber, Record, Replica,
};
use crate::consensus::voter::{Voter, VoterOutcome};
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{Change, MapName, ReplicatedMap};

impl Voter {
    /// Applies one log record after a restart.
    ///
    /// Records must be replayed in the order in which they were written. A record for any version
    /// other than the next one is skipped, because the slot already contains its effect.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Promised {
                map,
                version,
                proposal_number,
            } => {
                if let Some(replica) = self.replica_deciding(map, version) {
                    replica.promised = replica.promised.max(proposal_number);
                }
            }
            Record::Accepted {
                map,
                version,
                accepted,
            } => {
                if let Some(replica) = self.replica_deciding(map, version) {
                    replica.promised = replica.promised.max(accepted.proposal_number);
                    replica.accepted = Some(accepted);
                }
            }
            Record::Committed {
                map,
                version,
                change,
            } => {
                if self.map(map).version.next() == version {
                    self.advance(map, change);
                }
            }
            Record::Deregistered { .. } | Record::DeregistrationsForgotten { .. } => {}
        }
    }

    /// Returns the replica of a map if `version` is the next version that it decides.
    fn replica_deciding(&mut self, map: MapName, version: Version) -> Option<&mut Replica> {
        let replica = &mut self.replicas[map.index()];
        (replica.map.version.next() == version).then_some(replica)
    }

    /// Applies a committed change, and discards the promised and accepted proposals, which were for
    /// the version that is now decided.
    fn advance(&mut self, name: MapName, change: Change) {
        let replica = &mut self.replicas[name.index()];
        replica.map.apply(&change);
        replica.promised = ProposalNumber::NONE;
        replica.accepted = None;
        let version = replica.map.version;
        self.histories[name.index()].push(CommittedChange { version, change });
    }

    /// Applies a change and adds the log record for it.
    fn commit(
        &mut self,
        map: MapName,
        version: Version,
        change: Change,
        outcome: &mut VoterOutcome,
    ) {
        outcome.records.push(Record::Committed {
            map,
            version,
            change: change.clone(),
        });
        self.advance(map, change);
    }

    /// Handles a proposer's notice that a change is committed. Requests catch-up if more than this
    /// one change is missing.
    pub(super) fn handle_commit(
        &mut self,
        map: MapName,
        version: Version,
        change: Change,
        outcome: &mut VoterOutcome,
    ) {
        let own_version = self.map(map).version;
        if own_version.next() == version {
            self.commit(map, version, change, outcome);
            outcome.advanced.push(map);
        } else if own_version.next() < version {
            outcome.replies.push(ConsensusMessage::CatchUp {
                map,
                after: own_version,
                position: None,
            });
        }
    }

    /// Applies the committed changes from another replica that directly follow the local version.
    pub(super) fn handle_changes(
        &mut self,
        map: MapName,
        changes: Vec<CommittedChange>,
        outcome: &mut VoterOutcome,
    ) {
        for committed in changes {
            if self.map(map).version.next() == committed.version {
                self.commit(map, committed.version, committed.change, outcome);
                outcome.advanced = vec![map];
            }
        }
    }

    /// Installs a full snapshot from another replica. Ignores one that is not newer, and a reduced
    /// one, which does not contain the data that votes depend on.
    pub(super) fn handle_snapshot(
        &mut self,
        map: MapName,
        snapshot: ReplicatedMap,
        outcome: &mut VoterOutcome,
    ) {
        if snapshot.version <= self.map(map).version || snapshot.form == FeedForm::Reduced {
            return;
        }
        self.replicas[map.index()] = Replica {
            map: snapshot,
            promised: ProposalNumber::NONE,
            accepted: None,
        };
        self.histories[map.index()].clear();
        outcome.advanced.push(map);
        outcome.rewrite = true;
    }
}
