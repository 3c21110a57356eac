//! The settings of a proposer.

use std::time::Duration;

/// Timeouts and durability requirements of a proposer. The defaults suit round-trip times between
/// machines of about a millisecond.
#[derive(Debug, Clone)]
pub struct ProposerOptions {
    /// How long phase 1 may take before it is restarted; phase 2 may take twice as long.
    pub phase_timeout: Duration,
    /// How long to wait for the vote of a second controller once a majority has accepted.
    pub second_controller_timeout: Duration,
    /// How long a change may stay pending before it is reported as not committed or unknown.
    pub pending_timeout: Duration,
    /// On how many controllers' disks a configuration change must be synced before it counts as
    /// committed, without a time limit. If `None`, the proposer waits for a second controller for at
    /// most `second_controller_timeout`.
    pub synced_controllers: Option<usize>,
    /// Fault injection, to test the invariant checkers: this many votes count as a majority.
    pub majority_override: Option<usize>,
    /// Fault injection, to test the invariant checkers: the valid part of an invalid change set is
    /// applied.
    pub applies_valid_part: bool,
    /// Fault injection, to test the invariant checkers: a change is confirmed although its version
    /// was already confirmed with other contents.
    pub confirms_taken_versions: bool,
}

impl Default for ProposerOptions {
    fn default() -> Self {
        Self {
            phase_timeout: Duration::from_millis(300),
            second_controller_timeout: Duration::from_millis(250),
            pending_timeout: Duration::from_millis(2500),
            synced_controllers: None,
            majority_override: None,
            applies_valid_part: false,
            confirms_taken_versions: false,
        }
    }
}
