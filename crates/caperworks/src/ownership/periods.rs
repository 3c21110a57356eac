//! The time bounds of key ownership.

use std::time::Duration;

/// Duration of a lease on a key range.
pub const KEY_RANGE_LEASE_DURATION: Duration = Duration::from_millis(6000);
/// Upper bound of how long a lease granted by the previous owner manager may be valid after a takeover:
/// the previous one may have granted leases until its own lease expired.
pub const OWNER_MANAGER_TAKEOVER_WAIT: Duration = Duration::from_millis(9000);
/// A key range is not offered again under the same epoch to an owner that has not accepted it for this
/// long.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The time bounds of an owner manager.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerManagerTimings {
    /// Duration of a lease by the instance's clock, from when it sent its heartbeat.
    pub lease: Duration,
    /// How much longer a lease may be valid by the owner manager's clock, as the clocks may drift.
    pub drift: Duration,
    /// How long an owner manager waits at the start of a term, or after a restart, before it moves key
    /// ranges that may have been leased out before: for such a lease with drift, and for how long the
    /// owner manager of an earlier term may go on granting.
    pub wait: Duration,
    /// How long an owner may take to accept a key range that it was offered.
    pub acceptance_timeout: Duration,
}

impl Default for OwnerManagerTimings {
    fn default() -> Self {
        Self {
            lease: KEY_RANGE_LEASE_DURATION,
            drift: Duration::ZERO,
            wait: OWNER_MANAGER_TAKEOVER_WAIT,
            acceptance_timeout: ACCEPTANCE_TIMEOUT,
        }
    }
}
