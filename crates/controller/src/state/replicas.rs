//! What other nodes have synced to disk, judged by their reports.

use std::fmt;
use std::time::Duration;

use crate::state::ControllerState;
use caperworks::identifiers::{NodeId, Version};

/// A replica that has synced everything that this controller had this long ago is up to date: it follows the
/// changes as they come.
pub const MAX_REPLICA_LAG: Duration = Duration::from_secs(1);

/// Whether a node has synced certain versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It is alive and has synced the versions.
    Synced,
    /// No message from it has arrived within the suspicion timeout.
    Unreachable,
    /// It has not reported yet what it has synced.
    Unreported,
    /// It has not synced this many versions, summed over all maps.
    Behind {
        /// The number of versions.
        versions: u64,
    },
}

impl fmt::Display for ReplicaStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Synced => write!(formatter, "synced"),
            Self::Unreachable => write!(formatter, "unreachable"),
            Self::Unreported => write!(formatter, "has not reported its synced versions"),
            Self::Behind { versions } => write!(formatter, "behind by {versions} versions"),
        }
    }
}

impl ControllerState {
    /// Records the versions that this controller has now.
    pub(crate) fn record_versions(&mut self) {
        let versions = self.versions();
        self.recent_versions.record(self.now, versions);
    }

    /// Returns the versions that this controller had some time ago.
    pub fn versions_before(&self, age: Duration) -> Vec<Version> {
        let recent = self.recent_versions.at(self.now.saturating_sub(age));
        recent.map_or_else(|| self.versions(), <[Version]>::to_vec)
    }

    /// Returns whether a node is alive and has synced these versions.
    pub fn replica_status(&self, node: NodeId, required: &[Version]) -> ReplicaStatus {
        if !self.liveness.is_alive(self.now, node) {
            return ReplicaStatus::Unreachable;
        }
        let reported = self.reported_synced_versions.get(&node);
        let Some(synced) = reported.filter(|synced| synced.len() == required.len()) else {
            return ReplicaStatus::Unreported;
        };
        match missing_versions(synced, required) {
            0 => ReplicaStatus::Synced,
            versions => ReplicaStatus::Behind { versions },
        }
    }

    /// Returns whether a node is alive and has synced these versions.
    pub fn has_synced(&self, node: NodeId, required: &[Version]) -> bool {
        self.replica_status(node, required) == ReplicaStatus::Synced
    }
}

/// Returns how many versions a replica lacks, summed over all maps.
fn missing_versions(synced: &[Version], required: &[Version]) -> u64 {
    synced
        .iter()
        .zip(required)
        .map(|(synced, required)| required.0.saturating_sub(synced.0))
        .sum()
}
