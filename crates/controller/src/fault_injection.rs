//! Fault injection: a test leaves one safeguard of a controller out, to prove that the invariant checkers
//! and scenarios notice when it does not hold.
//!
//! This is the only seam for it: a controller is started with [`ControllerOptions::inject`], the code
//! beside a safeguard asks `ControllerState::injects`, and parts of other crates are set up here. The
//! daemon never injects anything.

use crate::state::options::ControllerOptions;
use crate::state::ControllerState;
use caperworks::catch_up::{CatchUpFault, CatchUpReceiver};
use caperworks::consensus::proposer::ProposerOptions;
use caperworks::ownership::OwnerManager;

/// The safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FaultInjection {
    /// None: the controller works as it should.
    #[default]
    None,
    /// One vote is a majority.
    SingleVoteMajority,
    /// Votes leave before they are synced.
    UnsyncedVotes,
    /// Leases are granted without a quorum read.
    GrantsWithoutQuorum,
    /// Key ranges are reassigned before their leases expire.
    EarlyReassignment,
    /// A key range counts as released when a heartbeat does not hold it, whenever it was sent.
    TrustsOldHeartbeats,
    /// Leases of key ranges are granted for twelve seconds.
    OverlongLeases,
    /// The sound part of a faulty change set is applied.
    PartialChangeSets,
    /// Reads are answered without having heard a majority.
    ReadsWithoutQuorum,
    /// Changes are confirmed to operators whether or not the agents hold them.
    ConfirmsWithoutAgents,
    /// Instances' calls are acknowledged by a controller that hears no other.
    AcknowledgesWithoutQuorum,
    /// Reads are answered from a quorum read that began before they arrived.
    EarlyQuorumReads,
    /// Changes without a version are taken whenever they were sent.
    UnfencedChanges,
    /// A snapshot that was received counts as held before it is synced.
    UnsyncedSnapshot,
    /// The digest of a snapshot is not checked.
    UncheckedSnapshot,
    /// Leadership roles are taken by whoever is next, behind or not.
    LeadsWhileBehind,
}

impl FaultInjection {
    /// Leaves the safeguard out of the proposers that are made with these options.
    fn apply_to_proposers(self, options: &mut ProposerOptions) {
        if self == Self::SingleVoteMajority {
            options.majority_override = Some(1);
        }
        options.applies_valid_part = self == Self::PartialChangeSets;
    }

    /// Leaves the safeguard out of the receiver of snapshots.
    pub(crate) fn apply_to_catch_up(self, receiver: &mut CatchUpReceiver) {
        if self == Self::UncheckedSnapshot {
            receiver.broken = CatchUpFault::SkipsDigest;
        }
    }

    /// Leaves the safeguard out of the owner manager.
    pub(crate) fn apply_to_owner_manager(self, manager: &mut OwnerManager) {
        manager.hasty = self == Self::EarlyReassignment;
        manager.takes_silence = self == Self::TrustsOldHeartbeats;
        manager.generous = self == Self::OverlongLeases;
    }
}

impl ControllerOptions {
    /// Leaves a safeguard out.
    pub fn inject(mut self, fault: FaultInjection) -> Self {
        self.fault_injection = fault;
        fault.apply_to_proposers(&mut self.proposer);
        self
    }
}

impl ControllerState {
    /// Whether this safeguard is left out.
    pub(crate) fn injects(&self, fault: FaultInjection) -> bool {
        self.options.fault_injection == fault
    }
}
