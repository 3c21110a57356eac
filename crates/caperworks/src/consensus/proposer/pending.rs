//! The queue of pending changes: when each is answered without being proposed.

use std::time::Duration;

use crate::configuration::{check_configuration, Fault};
use crate::consensus::proposer::outcome::{ProposalOutcome, ProposerOutcome};
use crate::consensus::proposer::Proposer;
use crate::identifiers::Version;
use crate::map_weighing::ChangeCheck;
use crate::replicated_map::{Change, MapName, ReplicatedMap};

/// A change that waits to be decided.
#[derive(Debug, Clone)]
pub(super) struct PendingProposal {
    pub(super) ticket: u64,
    pub(super) change: Change,
    pub(super) since: Duration,
    /// Whether some voter may have accepted it.
    pub(super) offered: bool,
}

impl Proposer {
    /// Answers the proposals that have been pending for too long.
    ///
    /// A change that was never proposed is certainly not committed. One that was proposed may have
    /// been accepted by some voter and can still be committed by any proposer that recovers it, so
    /// its result is unknown.
    pub(super) fn expire_pending(&mut self, now: Duration, outcome: &mut ProposerOutcome) {
        let timeout = self.options.give_up;
        self.pending.retain(|proposal| {
            let is_expired = now.saturating_sub(proposal.since) >= timeout;
            if is_expired {
                let result = match proposal.offered {
                    true => ProposalOutcome::Unknown,
                    false => ProposalOutcome::NoMajority,
                };
                outcome.complete(proposal.ticket, result);
            }
            !is_expired
        });
    }

    /// Answers the proposals at the head of the queue that the map is known to have committed.
    ///
    /// Called before phase 1, so nothing else may be concluded from the map: it may be out of date,
    /// and a change that does not fit it may fit the committed version. A controller that lost its
    /// disk would otherwise call every change invalid.
    pub(super) fn complete_repeats(&mut self, map: &ReplicatedMap, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let Some(ChangeCheck::Repeat(version)) = map.answered_before(&proposal.change) else {
                return;
            };
            outcome.complete(proposal.ticket, repeat_result(proposal, version));
            self.pending.pop_front();
        }
    }

    /// Answers the proposals at the head of the queue that cannot be committed on top of the map.
    ///
    /// Called only after a majority has promised and none of them has accepted anything: then the map
    /// is known to be the latest committed version.
    pub(super) fn complete_unfit(&mut self, map: &ReplicatedMap, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let result = match self.standpoint(map, &proposal.change) {
                ChangeCheck::Repeat(version) => repeat_result(proposal, version),
                ChangeCheck::IdTaken(version) => ProposalOutcome::IdTaken(version),
                // A change that was proposed before and no longer fits lost its version to another
                // one. Only a decided map may say so, which this one is.
                ChangeCheck::Conflicts(conflicts) => ProposalOutcome::Conflicts(conflicts),
                ChangeCheck::VersionsTaken(taken) => ProposalOutcome::VersionsTaken(taken),
                ChangeCheck::VersionsForgotten(keys) => ProposalOutcome::VersionsForgotten(keys),
                ChangeCheck::IdForgotten(version) => ProposalOutcome::IdForgotten(version),
                ChangeCheck::Fits => {
                    let faults = self.faults(map, &proposal.change);
                    if faults.is_empty() {
                        return;
                    }
                    if self.options.applies_partially {
                        self.inject_partial_change(map, faults, outcome);
                        return;
                    }
                    ProposalOutcome::Faulty(faults)
                }
            };
            outcome.complete(proposal.ticket, result);
            self.pending.pop_front();
        }
    }

    fn standpoint(&self, map: &ReplicatedMap, change: &Change) -> ChangeCheck {
        match map.check_change(change) {
            ChangeCheck::VersionsTaken(_) if self.options.confirms_taken_versions => {
                ChangeCheck::Fits
            }
            standpoint => standpoint,
        }
    }

    fn faults(&self, map: &ReplicatedMap, change: &Change) -> Vec<Fault> {
        match self.name {
            MapName::Configuration => check_configuration(map, change),
            _ => Vec::new(),
        }
    }

    /// Fault injection: reports a change set as invalid and proposes the valid part of it.
    fn inject_partial_change(
        &mut self,
        map: &ReplicatedMap,
        faults: Vec<Fault>,
        outcome: &mut ProposerOutcome,
    ) {
        if let Some(proposal) = self.pending.front_mut() {
            outcome.complete(proposal.ticket, ProposalOutcome::Faulty(faults));
            proposal.ticket = u64::MAX;
            let id = proposal.change.id.clone();
            proposal.change.puts.retain(|put| {
                let alone = Change {
                    id: id.clone(),
                    puts: vec![put.clone()],
                    guards: Vec::new(),
                };
                check_configuration(map, &alone).is_empty()
            });
        }
    }
}

/// A change that was committed at this version: by this proposal, or by an earlier one of the same id.
fn repeat_result(proposal: &PendingProposal, version: Version) -> ProposalOutcome {
    match proposal.offered {
        true => ProposalOutcome::Accepted(version),
        false => ProposalOutcome::Repeat(version),
    }
}
