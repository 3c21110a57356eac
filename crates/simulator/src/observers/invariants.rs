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
    /// A write ran more than once.
    RanTwice,
    /// A request ran although its client received the report that it had not run.
    RanAfterNotRun,
    /// A client received a response to another request, or to one that never ran.
    WrongResponse,
    /// An instance ran a request for another service.
    RanForAnother,
    /// A request reached an instance long after it had started draining.
    ReachedLeaving,
    /// A request was sent under an outdated configuration.
    OldConfiguration,
    /// A proxy went back to an older configuration.
    SlippedBack,
    /// Accepted changes do not form a single sequence of versions.
    ForkedMap,
    /// An accepted change is missing from a map.
    LostChange,
    /// A rejected change took effect, completely or in part.
    PartiallyApplied,
    /// A request was served in a zone long after the zone was closed.
    ClosedZone,
    /// The retries for a service exceeded a fifth of its first attempts and a fixed allowance.
    TooManyRetries,
    /// An instance that was warming up received more requests than its slow start allows.
    ColdFlooded,
    /// Two instances owned the same key range at the same time.
    TwoOwners,
    /// A key range lease had more than ten seconds left.
    LeaseTooLong,
    /// A request left its home regions.
    LeftHome,
    /// Most traffic was not served again within the limit after a major fault.
    NotRecovered,
    /// No change was accepted within the limit after a major fault.
    ChangesNotAccepted,
    /// Ordinary traffic was not served under a hot key, a surge or a slow instance.
    Sunk,
    /// A proxy delayed a rejection.
    LateRefusal,
    /// A read returned less than had been accepted before.
    StaleRead,
    /// A follower that could reach the controllers received an accepted version too late.
    LateFollower,
}
