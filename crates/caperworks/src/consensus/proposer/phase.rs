//! The current phase of a proposer, with the votes it has collected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::consensus::messages::{AcceptedProposal, ProposalNumber};
use crate::identifiers::{NodeId, Version};
use crate::replicated_map::Change;

/// The protocol phase that is in progress.
#[derive(Debug, Clone)]
pub(super) enum Phase {
    /// Nothing is being decided.
    Idle,
    /// Phase 1: collecting promises.
    Preparing {
        version: Version,
        number: ProposalNumber,
        promises: BTreeMap<NodeId, Option<AcceptedProposal>>,
        started_at: Duration,
    },
    /// Phase 2: collecting acceptances of a change.
    Accepting {
        version: Version,
        number: ProposalNumber,
        change: Change,
        accepted_by: BTreeSet<NodeId>,
        started_at: Duration,
        majority_since: Option<Duration>,
    },
}

impl Phase {
    /// Returns the proposal number in use, if a phase is in progress.
    pub(super) fn number(&self) -> Option<ProposalNumber> {
        match self {
            Phase::Preparing { number, .. } | Phase::Accepting { number, .. } => Some(*number),
            Phase::Idle => None,
        }
    }

    /// Returns whether the phase has timed out or its version has been decided in the meantime.
    pub(super) fn is_stuck(
        &self,
        now: Duration,
        phase_timeout: Duration,
        next_version: Version,
    ) -> bool {
        let (version, started_at, timeout) = match self {
            Phase::Idle => return false,
            Phase::Preparing {
                version,
                started_at,
                ..
            } => (version, started_at, phase_timeout),
            Phase::Accepting {
                version,
                started_at,
                ..
            } => (version, started_at, 2 * phase_timeout),
        };
        now.saturating_sub(*started_at) >= timeout || *version != next_version
    }
}
