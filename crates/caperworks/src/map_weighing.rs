//! The check of a change before it is proposed: whether it fits the map, was committed before, or must
//! be rejected.
//!
//! The check is made by the proposer against a map that is known to be the latest one. What a change
//! then does is decided in [`replicated_map`](crate::replicated_map) alone.

use std::collections::BTreeMap;

use crate::identifiers::Version;
use crate::replicated_map::{
    Change, Conflict, ReplicatedMap, TakenVersion, MAP_READ, REMEMBERED_CHANGES,
};
use crate::version_history::{VersionHistory, VersionStatus};

/// The result of the check of a change against a map.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeCheck {
    /// It may be proposed on top of the map.
    Fits,
    /// The same change was committed before, at this version.
    Repeat(Version),
    /// The change's id was used before for something else.
    IdTaken(Version),
    /// These items are not as the change's writer saw them.
    Conflicts(Vec<Conflict>),
    /// Other contents were confirmed under the operators' own versions of these items.
    VersionsTaken(Vec<TakenVersion>),
    /// So old that it is not known any more what was confirmed under the versions of these items.
    VersionsForgotten(Vec<String>),
    /// Its writer read the map so long ago that its id may have been accepted and forgotten since.
    IdForgotten(Version),
}

impl ReplicatedMap {
    /// Whether a change of this id was committed before: the same one, or another use of the id.
    ///
    /// This is checked first: a caller that lost our answer repeats the change, and must not be told
    /// that it conflicts with its own first success.
    pub fn answered_before(&self, change: &Change) -> Option<ChangeCheck> {
        let answered = self
            .answered
            .iter()
            .find(|answered| answered.id == change.id)?;
        Some(match answered.digest == change.digest() {
            true => ChangeCheck::Repeat(answered.version),
            false => ChangeCheck::IdTaken(answered.version),
        })
    }

    /// Checks a change against this map; the first reason to reject it wins.
    pub fn check_change(&self, change: &Change) -> ChangeCheck {
        self.answered_before(change)
            .or_else(|| self.forgotten_id(change))
            .or_else(|| self.weigh_versions(change))
            .or_else(|| self.conflicts(change))
            .unwrap_or(ChangeCheck::Fits)
    }

    /// Whether the change was written against a version so old that its id may have been committed and
    /// forgotten since. Applied once more, an old change would undo later ones.
    fn forgotten_id(&self, change: &Change) -> Option<ChangeCheck> {
        let read = change
            .guards
            .iter()
            .find(|guard| guard.key == MAP_READ)?
            .expected;
        let remembered_after = self.version.0.saturating_sub(REMEMBERED_CHANGES as u64);
        (read.0 < remembered_after).then_some(ChangeCheck::IdForgotten(self.version))
    }

    /// Checks each put against what was confirmed under the operators' own versions, including the
    /// puts before it in the same change.
    ///
    /// Versions that are certainly taken are reported before those that are forgotten: they tell the
    /// caller more.
    fn weigh_versions(&self, change: &Change) -> Option<ChangeCheck> {
        let mut histories: BTreeMap<&str, VersionHistory> = BTreeMap::new();
        let mut taken = Vec::new();
        let mut forgotten = Vec::new();
        for put in &change.puts {
            let Some(numbered) = put.numbered() else {
                continue;
            };
            let history = histories
                .entry(&put.key)
                .or_insert_with(|| self.history(&put.key));
            match history.standing(numbered) {
                VersionStatus::Newest | VersionStatus::Overtaken => history.confirm(numbered),
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

    /// The items that are not as the change's writer saw them.
    fn conflicts(&self, change: &Change) -> Option<ChangeCheck> {
        let guards = change
            .guards
            .iter()
            .filter(|guard| guard.key != MAP_READ)
            .map(|guard| (&guard.key, guard.expected));
        let conflicts: Vec<Conflict> = change
            .puts
            .iter()
            .filter_map(|put| Some((&put.key, put.expected?)))
            .chain(guards)
            .filter_map(|(key, expected)| {
                let present = self.present(key);
                (expected != present).then(|| Conflict {
                    key: key.clone(),
                    expected,
                    present,
                })
            })
            .collect();
        (!conflicts.is_empty()).then_some(ChangeCheck::Conflicts(conflicts))
    }
}
