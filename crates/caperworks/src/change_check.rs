//! Validation of a change before it is proposed: whether it can be applied to the map, was committed
//! before, or must be rejected.
//!
//! The proposer checks the change against a map that is known to be the latest version. The effect of
//! the change is implemented in [`replicated_map`](crate::replicated_map).

use std::collections::BTreeMap;

use crate::identifiers::Version;
use crate::replicated_map::{
    Change, Conflict, ReplicatedMap, TakenVersion, MAP_VERSION_GUARD, REMEMBERED_CHANGES,
};
use crate::version_history::{VersionHistory, VersionStatus};

/// The result of the check of a change against a map.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeCheck {
    /// The change may be proposed on top of the map.
    Fits,
    /// The same change was committed before, at this version.
    Repeat(Version),
    /// Another change with the same id was committed before, at this version.
    IdTaken(Version),
    /// These items are no longer at the versions that the writer read.
    Conflicts(Vec<Conflict>),
    /// Other contents were confirmed under the operator versions of these items.
    VersionsTaken(Vec<TakenVersion>),
    /// The operator versions of these items are so old that they are no longer in the history.
    VersionsForgotten(Vec<String>),
    /// The writer read such an old version of the map that a change with the same id may have been
    /// committed and removed from the map since. The map is at this version.
    IdForgotten(Version),
}

impl ReplicatedMap {
    /// Returns whether the same change, or another one with the same id, was committed before.
    ///
    /// This is checked first: a caller that did not receive the response repeats the change, and the
    /// repetition must not be rejected as conflicting with the first, successful attempt.
    pub fn check_committed_before(&self, change: &Change) -> Option<ChangeCheck> {
        let recent = self
            .recent_changes
            .iter()
            .find(|recent| recent.id == change.id)?;
        Some(match recent.digest == change.digest() {
            true => ChangeCheck::Repeat(recent.version),
            false => ChangeCheck::IdTaken(recent.version),
        })
    }

    /// Checks a change against this map and returns the first reason to reject it, if any.
    pub fn check_change(&self, change: &Change) -> ChangeCheck {
        self.check_committed_before(change)
            .or_else(|| self.check_forgotten_id(change))
            .or_else(|| self.check_operator_versions(change))
            .or_else(|| self.conflicts(change))
            .unwrap_or(ChangeCheck::Fits)
    }

    /// Checks whether the writer read such an old version of the map that a change with the same id may
    /// have been committed and removed from the map since. If it were applied again, it would undo
    /// later changes.
    fn check_forgotten_id(&self, change: &Change) -> Option<ChangeCheck> {
        let read = change
            .guards
            .iter()
            .find(|guard| guard.key == MAP_VERSION_GUARD)?
            .expected;
        let remembered_after = self.version.0.saturating_sub(REMEMBERED_CHANGES as u64);
        (read.0 < remembered_after).then_some(ChangeCheck::IdForgotten(self.version))
    }

    /// Checks the operator version of each put against the confirmed versions, including those of the
    /// puts before it in the same change.
    ///
    /// Versions that are certainly taken are reported in preference to versions that are no longer in
    /// the history, because they are more informative to the caller.
    fn check_operator_versions(&self, change: &Change) -> Option<ChangeCheck> {
        let mut histories: BTreeMap<&str, VersionHistory> = BTreeMap::new();
        let mut taken = Vec::new();
        let mut forgotten = Vec::new();
        for put in &change.puts {
            let Some(put_version) = put.operator_version() else {
                continue;
            };
            let history = histories
                .entry(&put.key)
                .or_insert_with(|| self.history(&put.key));
            match history.status_of(put_version) {
                VersionStatus::Newest | VersionStatus::Superseded => history.confirm(put_version),
                VersionStatus::Confirmed => {}
                VersionStatus::Taken(confirmed) => taken.push(TakenVersion {
                    key: put.key.clone(),
                    confirmed,
                    newest: history.newest().unwrap_or(confirmed),
                }),
                VersionStatus::Forgotten => forgotten.push(put.key.clone()),
            }
        }
        match (taken.is_empty(), forgotten.is_empty()) {
            (false, _) => Some(ChangeCheck::VersionsTaken(taken)),
            (true, false) => Some(ChangeCheck::VersionsForgotten(forgotten)),
            (true, true) => None,
        }
    }

    /// Returns the items that are no longer at the versions that the writer read.
    fn conflicts(&self, change: &Change) -> Option<ChangeCheck> {
        let guards = change
            .guards
            .iter()
            .filter(|guard| guard.key != MAP_VERSION_GUARD)
            .map(|guard| (&guard.key, guard.expected));
        let conflicts: Vec<Conflict> = change
            .puts
            .iter()
            .filter_map(|put| Some((&put.key, put.expected?)))
            .chain(guards)
            .filter_map(|(key, expected)| {
                let current = self.item_version(key);
                (expected != current).then(|| Conflict {
                    key: key.clone(),
                    expected,
                    current,
                })
            })
            .collect();
        (!conflicts.is_empty()).then_some(ChangeCheck::Conflicts(conflicts))
    }
}
