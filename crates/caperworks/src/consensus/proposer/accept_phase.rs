//! Phase 2: which change is proposed after a majority has promised, and when it is committed.
//!
//! Invariants of this module:
//!
//! - If any voter of the majority reports an accepted change, the one with the highest proposal
//!   number is proposed again, because it may already be committed and acknowledged to its writer.
//! - A change counts as committed only with the votes of a majority that includes at least one
//!   controller, and as many controllers as the options require.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::consensus::messages::ConsensusMessage;
use crate::consensus::proposer::outcome::{ProposalOutcome, ProposerOutcome};
use crate::consensus::proposer::pending::PendingProposal;
use crate::consensus::proposer::phase::Phase;
use crate::consensus::proposer::Proposer;
use crate::consensus::voter::Voter;
use crate::identifiers::{NodeId, Version};
use crate::map_items::VoterSet;
use crate::replicated_map::{Change, MapName};

impl Proposer {
    /// Starts phase 2 once a majority has promised, or becomes idle if there is nothing to propose.
    pub(super) fn start_accept_phase(
        &mut self,
        now: Duration,
        voter: &Voter,
        outcome: &mut ProposerOutcome,
    ) {
        let Phase::Preparing {
            version,
            number,
            promises,
            ..
        } = &self.phase
        else {
            return;
        };
        let (version, proposal_number) = (*version, *number);
        let already_accepted = promises
            .values()
            .flatten()
            .max_by_key(|accepted| accepted.proposal_number)
            .map(|accepted| accepted.change.clone());
        let change = match already_accepted {
            Some(change) => change,
            None => {
                self.recovery_requested = false;
                self.recovered_under = Some(self.phase_membership);
                self.complete_invalid(voter.map(self.name), outcome);
                match self.pending.front() {
                    Some(proposal) => proposal.change.clone(),
                    None => {
                        self.phase = Phase::Idle;
                        return;
                    }
                }
            }
        };
        if let Some(proposal) = self.pending.front_mut() {
            proposal.was_proposed |= proposal.change.id == change.id;
        }
        self.phase = Phase::Accepting {
            version,
            number: proposal_number,
            change: change.clone(),
            accepted_by: BTreeSet::new(),
            started_at: now,
            majority_since: None,
        };
        outcome.to_voters.push(ConsensusMessage::Accept {
            map: self.name,
            membership: voter.map(MapName::Membership).version,
            version,
            proposal_number,
            change,
        });
    }

    /// Commits the proposed change if it has enough votes. Called for each vote and on each tick.
    pub(super) fn commit_if_accepted(
        &mut self,
        now: Duration,
        voter: &Voter,
        outcome: &mut ProposerOutcome,
    ) {
        let Phase::Accepting {
            version,
            change,
            accepted_by,
            majority_since,
            ..
        } = &mut self.phase
        else {
            return;
        };
        let Some(voters) = voter.map(MapName::Membership).voters() else {
            return;
        };
        let majority = self.options.majority_override.unwrap_or(voters.majority());
        if accepted_by.len() < majority || *version != voter.map(self.name).version.next() {
            return;
        }
        let controllers = count_controllers(accepted_by, voters);
        let since = *majority_since.get_or_insert(now);
        let majority_age = now.saturating_sub(since);
        let (version, change) = (*version, change.clone());
        if !self.is_durable(controllers, majority_age) {
            return;
        }
        self.phase = Phase::Idle;
        self.backoff_until = Duration::ZERO;
        self.complete_committed(&change, version, outcome);
        outcome.to_voters.push(ConsensusMessage::Commit {
            map: self.name,
            version,
            change,
        });
    }

    /// Returns whether a change with a majority of votes is on enough controllers' disks.
    ///
    /// By default this waits for a second controller, so that a controller that confirms a change and
    /// then loses its disk does not take the only synced replica with it. The wait is bounded, so that
    /// an unreachable controller does not block all changes. Where the options require a number of
    /// synced controllers, the wait is not bounded: one disk fewer than that may be wiped right after
    /// the confirmation while all other nodes lose power, and a disk with the change must remain.
    fn is_durable(&self, controllers: usize, majority_age: Duration) -> bool {
        let required = self
            .options
            .synced_controllers
            .filter(|_| self.name == MapName::Configuration);
        let is_enough = match required {
            Some(required) => controllers >= required,
            None => {
                controllers >= 2
                    || majority_age >= self.options.second_controller_timeout
                    || self.options.majority_override.is_some()
            }
        };
        controllers > 0 && is_enough
    }

    /// Completes the proposal at the head of the queue if it is the change that was committed.
    fn complete_committed(
        &mut self,
        change: &Change,
        version: Version,
        outcome: &mut ProposerOutcome,
    ) {
        let is_own = |first: &PendingProposal| first.change.id == change.id;
        if self.pending.front().is_some_and(is_own) {
            if let Some(proposal) = self.pending.pop_front() {
                outcome.complete(proposal.ticket, ProposalOutcome::Accepted(version));
            }
        }
    }
}

/// Counts the nodes that are controllers; only controllers persist their state to disk.
fn count_controllers(nodes: &BTreeSet<NodeId>, voters: &VoterSet) -> usize {
    let is_controller = |node: &&NodeId| {
        let entry = voters.entry(**node);
        entry.is_some_and(|entry| entry.controller)
    };
    nodes.iter().filter(is_controller).count()
}
