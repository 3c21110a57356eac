//! Settlement of a membership: shows that the voters may be changed once more.
//!
//! Majorities of two neighbouring memberships always intersect, but those of memberships two steps apart need
//! not. So before the voters change again, everything that the voters before may have decided must be committed
//! at a majority of the present ones.
//!
//! The voters' reports show this without a proposal of their own, which would compete with the changes of
//! operators: a voter that has synced the present membership never votes under an earlier one again. So a
//! change that was or will be decided under an earlier one has been accepted by one voter of each majority
//! that reported this, and is among the versions that they reported as possible then. Those versions are a
//! fixed target, which each voter reaches however many changes follow.

use std::collections::BTreeMap;

use crate::identifiers::{NodeId, Version};
use crate::replicated_map::{MapName, ReplicatedMap, ALL_MAPS};

/// What a voter reported about its replicas, in the order of `ALL_MAPS`.
#[derive(Debug, Clone, Copy)]
pub struct VoterReport<'report> {
    /// The highest versions that may have been committed, according to the voter.
    pub possible: &'report [Version],
    /// The committed versions that are synced to its disk.
    pub synced: &'report [Version],
}

/// The reports of the voters under one membership.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Settlement {
    membership: Version,
    /// The versions that each voter first reported as possible.
    possible: BTreeMap<NodeId, Vec<Version>>,
    /// The highest of them, once a majority has reported.
    required: Option<Vec<Version>>,
    /// The versions that each voter last reported as synced.
    synced: BTreeMap<NodeId, Vec<Version>>,
}

impl Settlement {
    /// Handles the report of a node. It counts if the node is a voter and has synced the present membership.
    pub fn handle_report(
        &mut self,
        membership: &ReplicatedMap,
        from: NodeId,
        report: VoterReport<'_>,
    ) {
        if self.membership != membership.version {
            *self = Self {
                membership: membership.version,
                ..Self::default()
            };
        }
        let Some(voters) = membership.voters() else {
            return;
        };
        let is_complete =
            report.possible.len() == ALL_MAPS.len() && report.synced.len() == ALL_MAPS.len();
        if voters.entry(from).is_none()
            || !is_complete
            || report.synced[MapName::Membership.index()] < membership.version
        {
            return;
        }
        self.synced.insert(from, report.synced.to_vec());
        if self.required.is_none() {
            self.possible
                .entry(from)
                .or_insert_with(|| report.possible.to_vec());
        }
        if self.required.is_none() && self.possible.len() >= voters.majority() {
            self.required = Some(highest(self.possible.values()));
        }
    }

    /// Returns the versions that a majority must have synced, once they are known.
    pub fn required(&self, membership: &ReplicatedMap) -> Option<&[Version]> {
        let required = self.required.as_deref();
        required.filter(|_| self.membership == membership.version)
    }

    /// Returns whether a majority of the voters has synced everything that may have been decided under an
    /// earlier membership.
    pub fn is_settled(&self, membership: &ReplicatedMap) -> bool {
        let (Some(required), Some(voters)) = (self.required(membership), membership.voters())
        else {
            return false;
        };
        let settled = self
            .synced
            .values()
            .filter(|synced| covers(synced, required));
        settled.count() >= voters.majority()
    }
}

/// Returns the highest version of each map.
fn highest<'report>(reports: impl Iterator<Item = &'report Vec<Version>>) -> Vec<Version> {
    let mut highest = vec![Version(0); ALL_MAPS.len()];
    for versions in reports {
        for (highest, version) in highest.iter_mut().zip(versions) {
            *highest = (*highest).max(*version);
        }
    }
    highest
}

/// Returns whether these versions are at least the required ones of all maps but the membership, which only the
/// voters under the version before can decide.
fn covers(synced: &[Version], required: &[Version]) -> bool {
    ALL_MAPS
        .iter()
        .filter(|name| **name != MapName::Membership)
        .all(|name| synced[name.index()] >= required[name.index()])
}
