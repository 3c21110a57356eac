//! The invariants that the observers check, and their violations.

use std::time::Duration;

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub invariant: Invariant,
    pub at: Duration,
    pub details: String,
}

/// The invariants, named by how they are violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    RanTwice,
    RanAfterNotRun,
    WrongResponse,
    RanForAnother,
    ReachedLeaving,
    OldConfiguration,
    SlippedBack,
    ForkedMap,
    LostChange,
    PartiallyApplied,
    ClosedZone,
    TooManyRetries,
    ColdFlooded,
    TwoOwners,
    LeaseTooLong,
    LeftHome,
    NotRecovered,
    /// Ordinary traffic was not served under a hot key, a surge or a slow instance.
    Sunk,
    /// A proxy delayed a rejection.
    LateRefusal,
    /// A read returned less than had been accepted before.
    StaleRead,
    /// A follower that could reach the controllers received an accepted version too late.
    LateFollower,
}
