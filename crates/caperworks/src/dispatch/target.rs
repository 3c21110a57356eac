//! The instance that an attempt is sent to.

use std::net::SocketAddr;

use crate::dispatch::AttemptEnd;
use crate::facts::Heartbeat;
use crate::identifiers::{Epoch, Incarnation, InstanceId, ServiceName, Zone};

/// The target of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    pub service: ServiceName,
    pub instance: InstanceId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub zone: Zone,
    pub key_range: Option<(u32, Epoch)>,
    pub key: Option<u64>,
}

impl Target {
    /// Returns whether retries must avoid this target after an attempt that ended this way.
    ///
    /// For keyed services only a rejection by the instance counts: a key range has one owner, and a
    /// connection that could not be opened does not show whether the owner still holds the key
    /// range.
    pub fn is_used_up(&self, end: AttemptEnd) -> bool {
        self.key_range.is_none() || end == AttemptEnd::RejectedByInstance
    }
}

/// Returns the target for an instance with this heartbeat.
pub(crate) fn target_of(
    heartbeat: &Heartbeat,
    key_range: Option<(u32, Epoch)>,
    key: Option<u64>,
) -> Target {
    Target {
        service: heartbeat.service.clone(),
        instance: heartbeat.id.clone(),
        incarnation: heartbeat.incarnation,
        address: heartbeat.address,
        zone: heartbeat.zone.clone(),
        key_range,
        key,
    }
}
