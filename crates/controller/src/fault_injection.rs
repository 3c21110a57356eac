//! Fault injection: a test disables one safeguard of a controller, to prove that the invariant checkers and
//! scenarios detect its absence.
//!
//! All fault injection goes through this module: a test starts a controller with
//! [`ControllerOptions::inject`], the code next to a safeguard checks `ControllerState::injects`, and the
//! safeguards in other crates are configured here. The daemon never injects faults.

use crate::state::options::ControllerOptions;
use crate::state::ControllerState;
use caperworks::catch_up::{CatchUpFault, CatchUpReceiver};
use caperworks::consensus::proposer::ProposerOptions;
use caperworks::ownership::OwnerManager;

/// The fault that is injected, which is a disabled safeguard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FaultInjection {
    /// No fault: all safeguards are enabled.
    #[default]
    None,
    /// A single vote counts as a majority.
    SingleVoteMajority,
    /// Votes are sent before they are synced to disk.
    UnsyncedVotes,
    /// Leases are granted without a quorum read.
    GrantsWithoutQuorum,
    /// Key ranges are reassigned before their leases expire.
    EarlyReassignment,
    /// An instance's announcement of its termination counts as the end of its key range leases.
    TerminationEndsLeases,
    /// A key range counts as released if any heartbeat does not list it, even one that was sent too early.
    TrustsOldHeartbeats,
    /// Key range leases are granted for twelve seconds.
    OverlongLeases,
    /// The valid part of a faulty change set is applied.
    PartialChangeSets,
    /// Reads are served without a quorum read.
    ReadsWithoutQuorum,
    /// Changes are confirmed to operators whether or not the agents have them.
    ConfirmsWithoutAgents,
    /// Instances' calls are acknowledged by a controller without contact to a majority.
    AcknowledgesWithoutQuorum,
    /// Deregistrations are acknowledged and kept in memory alone.
    UnsyncedDeregistrations,
    /// Reads are served after a quorum read that began before they arrived.
    EarlyQuorumReads,
    /// Changes without a version are accepted regardless of their age.
    UnfencedChanges,
    /// A received snapshot counts as stored before it is synced.
    UnsyncedSnapshot,
    /// The digest of a snapshot is not checked.
    UncheckedSnapshot,
    /// The next controller in line becomes leader even while it is behind.
    LeadsWhileBehind,
    /// A seed takes part in the founding whatever its disk and the other seeds show.
    FoundsWithoutEvidence,
    /// A founding is accepted also after a later one.
    AcceptsEarlierFounding,
    /// The commit of any founding counts, whichever was accepted.
    AnyFoundingCommit,
    /// A controller becomes a voter only at a moment at which it has synced what the voter manager has then.
    CandidatesNeedPresentVersions,
}

impl FaultInjection {
    /// Disables the safeguard in proposers with these options.
    fn apply_to_proposers(self, options: &mut ProposerOptions) {
        if self == Self::SingleVoteMajority {
            options.majority_override = Some(1);
        }
        options.applies_valid_part = self == Self::PartialChangeSets;
    }

    /// Disables the safeguard in the receiver of snapshots.
    pub(crate) fn apply_to_catch_up(self, receiver: &mut CatchUpReceiver) {
        if self == Self::UncheckedSnapshot {
            receiver.fault = CatchUpFault::SkipsDigest;
        }
    }

    /// Disables the safeguard in the owner manager.
    pub(crate) fn apply_to_owner_manager(self, manager: &mut OwnerManager) {
        manager.skips_lease_wait = self == Self::EarlyReassignment;
        manager.ends_leases_on_termination = self == Self::TerminationEndsLeases;
        manager.infers_release = self == Self::TrustsOldHeartbeats;
        manager.grants_long_leases = self == Self::OverlongLeases;
    }
}

impl ControllerOptions {
    /// Injects a fault by disabling a safeguard.
    pub fn inject(mut self, fault: FaultInjection) -> Self {
        self.fault_injection = fault;
        fault.apply_to_proposers(&mut self.proposer);
        self
    }
}

impl ControllerState {
    /// Returns whether this fault is injected.
    pub(crate) fn injects(&self, fault: FaultInjection) -> bool {
        self.options.fault_injection == fault
    }
}
