//! The time bounds of key ownership.

use std::time::Duration;

/// How long a lease on a key range lives.
pub const KEY_RANGE_LEASE_DURATION: Duration = Duration::from_millis(6000);
/// The longest that a lease granted by the owner manager before may still live after a takeover: it
/// may have gone on granting until its own lease ended.
pub const OWNER_MANAGER_WAIT: Duration = Duration::from_millis(9000);
/// An owner that does not take up a key range for this long is not offered it again.
const UPTAKE_SPAN: Duration = Duration::from_millis(2500);

/// The time bounds that an owner manager goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerManagerTimings {
    /// How long a lease lives, by the instance's clock from when it sent its heartbeat.
    pub lease: Duration,
    /// How much longer a lease may last by our clock, as the clocks may drift.
    pub drift: Duration,
    /// How long a new owner manager waits before it moves what the one before may have leased out.
    pub wait: Duration,
    /// How long it waits if the one before was its own former incarnation, which has surely ended.
    pub wait_after_restart: Duration,
    /// How long an owner may take to take up a key range that it was offered.
    pub acceptance_timeout: Duration,
}

impl Default for OwnerManagerTimings {
    fn default() -> Self {
        Self {
            lease: KEY_RANGE_LEASE_DURATION,
            drift: Duration::ZERO,
            wait: OWNER_MANAGER_WAIT,
            wait_after_restart: OWNER_MANAGER_WAIT,
            acceptance_timeout: UPTAKE_SPAN,
        }
    }
}
