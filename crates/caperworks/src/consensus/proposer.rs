//! The Paxos proposer: decides the next version of one replicated map.
//!
//! A proposer is a state machine without I/O. The caller queues changes with [`Proposer::propose`],
//! forwards the voters' responses to [`Proposer::handle`], calls [`Proposer::tick`] as time passes, and
//! sends the messages that each returns. One version is decided at a time; pending changes are
//! decided in the order in which they were queued.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::consensus::messages::{ConsensusMessage, ProposalNumber};
use crate::consensus::proposer::pending::PendingProposal;
use crate::consensus::proposer::phase::Phase;
use crate::consensus::voter::Voter;
use crate::identifiers::{NodeId, RandomSource, Version};
use crate::replicated_map::{Change, MapName};

mod accept_phase;
mod options;
mod outcome;
mod pending;
mod phase;

pub use self::options::ProposerOptions;
pub use self::outcome::{ProposalOutcome, ProposerOutcome};

/// The minimum and the maximum backoff after a phase that timed out.
const BACKOFF: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(80)];

/// The proposer of one node for one map.
#[derive(Debug, Clone)]
pub struct Proposer {
    name: MapName,
    node: NodeId,
    options: ProposerOptions,
    pending: VecDeque<PendingProposal>,
    phase: Phase,
    /// The highest counter of a proposal number that this proposer used or received in a rejection.
    highest_counter: u64,
    backoff_until: Duration,
    recovery_requested: bool,
    /// The version of the membership under which the current phase was started.
    phase_membership: Version,
    /// The version of the membership under which a majority last reported that no change is accepted
    /// but undecided.
    recovered_under: Option<Version>,
}

impl Proposer {
    /// Creates an idle proposer for one map.
    pub fn new(name: MapName, node: NodeId, options: ProposerOptions) -> Self {
        Self {
            name,
            node,
            options,
            pending: VecDeque::new(),
            phase: Phase::Idle,
            highest_counter: 0,
            backoff_until: Duration::ZERO,
            recovery_requested: false,
            phase_membership: Version(0),
            recovered_under: None,
        }
    }

    /// Queues a change. Its result is reported with `ticket`, after
    /// [`ProposerOptions::pending_timeout`] at the latest.
    pub fn propose(&mut self, now: Duration, ticket: u64, change: Change) {
        self.pending.push_back(PendingProposal {
            ticket,
            change,
            queued_at: now,
            was_proposed: false,
        });
    }

    /// Returns whether a change is pending or a recovery was requested.
    pub fn has_work(&self) -> bool {
        !self.pending.is_empty() || self.recovery_requested
    }

    /// Returns whether a phase is in progress.
    pub fn has_proposal(&self) -> bool {
        !matches!(self.phase, Phase::Idle)
    }

    /// Requests a recovery: a proposal that commits any change that voters have accepted but that is
    /// not known to be committed.
    pub fn request_recovery(&mut self) {
        self.recovery_requested = true;
    }

    /// Returns whether a majority of this membership has reported that no change is accepted but
    /// undecided, for instance from the previous membership.
    pub fn is_recovered(&self, membership: Version) -> bool {
        self.recovered_under == Some(membership)
    }

    /// Expires pending changes, abandons a phase that is stuck, and starts the next one. Must be
    /// called several times per [`ProposerOptions::phase_timeout`].
    pub fn tick(
        &mut self,
        now: Duration,
        voter: &Voter,
        random: &mut RandomSource,
    ) -> ProposerOutcome {
        let mut outcome = ProposerOutcome::default();
        self.expire_pending(now, &mut outcome);
        self.abandon_phase_of_old_membership(voter);
        let next_version = voter.map(self.name).version.next();
        if self
            .phase
            .is_stuck(now, self.options.phase_timeout, next_version)
        {
            self.phase = Phase::Idle;
            // The backoff is random, because two proposers that retry in lockstep would preempt each
            // other forever.
            self.backoff_until = now + random.between(BACKOFF[0], BACKOFF[1]);
        }
        self.commit_if_accepted(now, voter, &mut outcome);
        self.start_prepare_phase(now, voter, &mut outcome);
        outcome
    }

    /// Handles the response of a voter. Ignores responses from nodes that are not voters and
    /// responses to earlier phases.
    pub fn handle(
        &mut self,
        now: Duration,
        from: NodeId,
        response: &ConsensusMessage,
        voter: &Voter,
    ) -> ProposerOutcome {
        let mut outcome = ProposerOutcome::default();
        let Some(voters) = voter.map(MapName::Membership).voters() else {
            return outcome;
        };
        if voters.entry(from).is_none() {
            return outcome;
        }
        self.abandon_phase_of_old_membership(voter);
        match (response, &mut self.phase) {
            (
                ConsensusMessage::Promise {
                    version,
                    proposal_number,
                    accepted,
                    ..
                },
                Phase::Preparing {
                    version: own_version,
                    number,
                    promises,
                    ..
                },
            ) if version == own_version && proposal_number == number => {
                promises.insert(from, accepted.clone());
                let majority = self.options.majority_override.unwrap_or(voters.majority());
                if promises.len() >= majority {
                    self.start_accept_phase(now, voter, &mut outcome);
                }
            }
            (
                ConsensusMessage::Accepted {
                    version,
                    proposal_number,
                    ..
                },
                Phase::Accepting {
                    version: own_version,
                    number,
                    accepted_by,
                    ..
                },
            ) if version == own_version && proposal_number == number => {
                accepted_by.insert(from);
                self.commit_if_accepted(now, voter, &mut outcome);
            }
            (
                ConsensusMessage::Reject {
                    version,
                    proposal_number,
                    promised,
                    voter_version,
                    ..
                },
                phase,
            ) if phase.number() == Some(*proposal_number) => {
                self.highest_counter = self.highest_counter.max(promised.counter);
                if *voter_version < Version(version.0 - 1) {
                    let missing = voter.updates_after(self.name, *voter_version);
                    outcome
                        .to_voter
                        .extend(missing.map(|message| (from, message)));
                }
            }
            _ => {}
        }
        outcome
    }

    /// Abandons the phase if the membership has changed since it was started: votes collected under
    /// one membership do not count towards a majority of another.
    fn abandon_phase_of_old_membership(&mut self, voter: &Voter) {
        if self.phase_membership != voter.map(MapName::Membership).version {
            self.phase = Phase::Idle;
        }
    }

    /// Starts phase 1 if there is something to decide, no phase is in progress and the backoff is over.
    fn start_prepare_phase(&mut self, now: Duration, voter: &Voter, outcome: &mut ProposerOutcome) {
        if self.has_proposal() || now < self.backoff_until {
            return;
        }
        let replica = voter.replica(self.name);
        if replica.accepted.is_none() {
            self.complete_duplicates(&replica.map, outcome);
        }
        let membership = voter.map(MapName::Membership);
        if !self.has_work() || membership.voters().is_none() {
            return;
        }
        self.highest_counter = self.highest_counter.max(replica.promised.counter) + 1;
        let proposal_number = ProposalNumber {
            counter: self.highest_counter,
            node: self.node,
        };
        let version = replica.map.version.next();
        self.phase_membership = membership.version;
        self.phase = Phase::Preparing {
            version,
            number: proposal_number,
            promises: BTreeMap::new(),
            started_at: now,
        };
        outcome.to_voters.push(ConsensusMessage::Prepare {
            map: self.name,
            membership: membership.version,
            version,
            proposal_number,
        });
    }
}

/// Returns whether a proposer's map is recovered under this membership; if not, requests the recovery.
///
/// Called before the voters are changed: a change that the previous voters may have accepted must be
/// decided while every majority of the current voters still intersects every majority of the
/// previous ones.
pub fn ensure_recovered(proposer: &mut Proposer, membership: Version) -> bool {
    let is_recovered = proposer.is_recovered(membership);
    if !is_recovered {
        proposer.request_recovery();
    }
    is_recovered
}
