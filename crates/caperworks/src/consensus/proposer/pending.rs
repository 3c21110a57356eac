//! The queue of pending changes, and the cases in which one is completed without being proposed.

use std::time::Duration;

use crate::change_check::ChangeCheck;
use crate::configuration::{check_configuration, Fault};
use crate::consensus::proposer::outcome::{ProposalOutcome, ProposerOutcome};
use crate::consensus::proposer::Proposer;
use crate::identifiers::Version;
use crate::replicated_map::{Change, MapName, ReplicatedMap};

/// A change that is waiting to be decided.
#[derive(Debug, Clone)]
pub(super) struct PendingProposal {
    pub(super) ticket: u64,
    pub(super) change: Change,
    pub(super) queued_at: Duration,
    /// Whether it was sent to voters, so that some voter may have accepted it.
    pub(super) was_proposed: bool,
}

impl Proposer {
    /// Completes the proposals that have been pending for longer than the timeout.
    ///
    /// A change that was never proposed is certainly not committed. The outcome of one that was
    /// proposed is unknown: some voter may have accepted it, and any proposer that recovers it can
    /// still commit it.
    pub(super) fn expire_pending(&mut self, now: Duration, outcome: &mut ProposerOutcome) {
        let timeout = self.options.pending_timeout;
        self.pending.retain(|proposal| {
            let is_expired = now.saturating_sub(proposal.queued_at) >= timeout;
            if is_expired {
                let result = match proposal.was_proposed {
                    true => ProposalOutcome::Unknown,
                    false => ProposalOutcome::NoMajority,
                };
                outcome.complete(proposal.ticket, result);
            }
            !is_expired
        });
    }

    /// Completes the proposals at the head of the queue that the local map already contains.
    ///
    /// Called before phase 1, so no other conclusion may be drawn from the map: it may be out of date,
    /// and a change that conflicts with it may be valid for the committed version. A controller that
    /// lost its disk would otherwise reject every change as invalid.
    pub(super) fn complete_duplicates(
        &mut self,
        map: &ReplicatedMap,
        outcome: &mut ProposerOutcome,
    ) {
        while let Some(proposal) = self.pending.front() {
            let Some(ChangeCheck::Repeat(version)) = map.check_committed_before(&proposal.change)
            else {
                return;
            };
            outcome.complete(proposal.ticket, duplicate_result(proposal, version));
            self.pending.pop_front();
        }
    }

    /// Completes the proposals at the head of the queue that cannot be committed on top of the map.
    ///
    /// Called only after a majority has promised and none of these voters has accepted a change: the
    /// map is then known to be the latest committed version.
    pub(super) fn complete_invalid(&mut self, map: &ReplicatedMap, outcome: &mut ProposerOutcome) {
        while let Some(proposal) = self.pending.front() {
            let result = match self.check(map, &proposal.change) {
                ChangeCheck::Repeat(version) => duplicate_result(proposal, version),
                ChangeCheck::IdTaken(version) => ProposalOutcome::IdTaken(version),
                // If the change was proposed before, another change was committed for that version.
                // This can be concluded only from the latest committed map, which this one is.
                ChangeCheck::Conflicts(conflicts) => ProposalOutcome::Conflicts(conflicts),
                ChangeCheck::VersionsTaken(taken) => ProposalOutcome::VersionsTaken(taken),
                ChangeCheck::VersionsForgotten(keys) => ProposalOutcome::VersionsForgotten(keys),
                ChangeCheck::IdForgotten(version) => ProposalOutcome::IdForgotten(version),
                ChangeCheck::Fits => {
                    let faults = self.faults(map, &proposal.change);
                    if faults.is_empty() {
                        return;
                    }
                    if self.options.applies_valid_part {
                        self.inject_partial_change(map, faults, outcome);
                        return;
                    }
                    ProposalOutcome::Invalid(faults)
                }
            };
            outcome.complete(proposal.ticket, result);
            self.pending.pop_front();
        }
    }

    fn check(&self, map: &ReplicatedMap, change: &Change) -> ChangeCheck {
        match map.check_change(change) {
            ChangeCheck::VersionsTaken(_) if self.options.confirms_taken_versions => {
                ChangeCheck::Fits
            }
            check => check,
        }
    }

    fn faults(&self, map: &ReplicatedMap, change: &Change) -> Vec<Fault> {
        match self.name {
            MapName::Configuration => check_configuration(map, change),
            _ => Vec::new(),
        }
    }

    /// Fault injection: reports a change set as invalid, but proposes its valid part.
    fn inject_partial_change(
        &mut self,
        map: &ReplicatedMap,
        faults: Vec<Fault>,
        outcome: &mut ProposerOutcome,
    ) {
        if let Some(proposal) = self.pending.front_mut() {
            outcome.complete(proposal.ticket, ProposalOutcome::Invalid(faults));
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

/// Returns the result of a change that was committed at this version, by this proposal or by an
/// earlier one with the same id.
fn duplicate_result(proposal: &PendingProposal, version: Version) -> ProposalOutcome {
    match proposal.was_proposed {
        true => ProposalOutcome::Accepted(version),
        false => ProposalOutcome::Repeat(version),
    }
}
