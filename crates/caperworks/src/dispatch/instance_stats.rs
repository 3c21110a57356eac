//! What one proxy has observed of an instance and of a key.

use std::time::Duration;

use crate::dispatch::{HealthChecks, SlowStart};
use crate::identifiers::Incarnation;

/// The state of one key of a keyed service, kept while it is in use.
#[derive(Debug, Clone, Default)]
pub(crate) struct KeyStats {
    pub(crate) in_flight: u32,
    pub(crate) started_at: Duration,
    pub(crate) paused_until: Duration,
}

/// What one proxy has observed of an instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct InstanceStats {
    pub(crate) incarnation: Incarnation,
    /// Set when another incarnation responded at its address: this one has ended, even if it still
    /// sends heartbeats.
    pub(crate) has_ended: bool,
    pub(crate) in_flight: u32,
    pub(crate) reported_load: u32,
    pub(crate) load_reported_at: Duration,
    /// Set when it could not be reached: it is not chosen before a heartbeat with a higher counter,
    /// or before this time.
    pub(crate) unreachable_until: Option<(u64, Duration)>,
    /// When it last responded to a request.
    pub(crate) responded_at: Option<Duration>,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Duration,
    pub(crate) slow_start: Option<SlowStart>,
    pub(crate) health_checks: HealthChecks,
}
