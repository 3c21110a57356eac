//! What other nodes have synced to disk, judged by their reports.

use std::fmt;

use crate::state::ControllerState;
use caperworks::identifiers::{NodeId, Version};

/// Whether a node has synced what this controller has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It is alive and has synced everything that this controller has.
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
    /// Returns whether a node has synced everything that this one has.
    pub fn replica_status(&self, node: NodeId) -> ReplicaStatus {
        if !self.liveness.is_alive(self.now, node) {
            return ReplicaStatus::Unreachable;
        }
        let own = self.versions();
        let reported = self.reported_synced_versions.get(&node);
        let Some(synced) = reported.filter(|synced| synced.len() == own.len()) else {
            return ReplicaStatus::Unreported;
        };
        match missing_versions(synced, &own) {
            0 => ReplicaStatus::Synced,
            versions => ReplicaStatus::Behind { versions },
        }
    }

    /// Returns whether a node is alive and has synced everything that this one has.
    pub fn is_synced_replica(&self, node: NodeId) -> bool {
        self.replica_status(node) == ReplicaStatus::Synced
    }
}

/// Returns how many versions a replica lacks, summed over all maps.
fn missing_versions(synced: &[Version], own: &[Version]) -> u64 {
    synced
        .iter()
        .zip(own)
        .map(|(synced, own)| own.0.saturating_sub(synced.0))
        .sum()
}
