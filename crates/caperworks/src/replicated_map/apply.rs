//! Deterministic application of committed changes to a map.
//!
//! Invariants of this module: each change increases the map version by one, and the operator version
//! of an item never decreases.

use crate::map_items::Value;
use crate::replicated_map::{Change, Item, Put, RecentChange, ReplicatedMap, REMEMBERED_CHANGES};
use crate::version_history::{VersionHistory, VersionStatus};

impl ReplicatedMap {
    /// Returns the confirmed operator versions of an item.
    pub fn history(&self, key: &str) -> VersionHistory {
        if let Some(history) = self.histories.get(key) {
            return history.clone();
        }
        self.items
            .get(key)
            .and_then(Item::operator_version)
            .map(VersionHistory::from_stored)
            .unwrap_or_default()
    }

    /// Returns a copy of the map with only the histories of the items in `change`, which is sufficient
    /// to apply that change.
    ///
    /// Each change is tried on a copy, and the histories of all items make up most of its cost.
    pub fn with_histories_of(&self, change: &Change) -> Self {
        let history = |put: &Put| {
            let history = self.histories.get(&put.key)?;
            Some((put.key.clone(), history.clone()))
        };
        Self {
            version: self.version,
            items: self.items.clone(),
            recent_changes: self.recent_changes.clone(),
            histories: change.puts.iter().filter_map(history).collect(),
            form: self.form,
        }
    }

    /// Returns whether the put has no effect because a higher operator version is present.
    ///
    /// Version 0 only sets an item that is absent.
    fn is_superseded(&self, put: &Put) -> bool {
        match (put.operator_version(), &put.written) {
            (Some(put_version), _) => {
                self.history(&put.key).status_of(put_version) != VersionStatus::Newest
            }
            (None, Some(_)) => self.items.contains_key(&put.key),
            (None, None) => false,
        }
    }

    /// Applies the change that was committed for the next version.
    ///
    /// Every node applies the same changes in the same order, so the result must depend only on the
    /// map and the change.
    pub fn apply(&mut self, change: &Change) {
        self.version = self.version.next();
        for put in &change.puts {
            let is_superseded = self.is_superseded(put);
            self.record_version(put);
            if !is_superseded {
                self.apply_put(put);
            }
        }
        self.recent_changes.push(RecentChange {
            id: change.id.clone(),
            version: self.version,
            digest: change.digest(),
        });
        if self.recent_changes.len() > REMEMBERED_CHANGES {
            self.recent_changes.remove(0);
        }
    }

    /// Records the operator version that the put confirms, even if the put is superseded. A put
    /// without `written` deletes the history of the item.
    fn record_version(&mut self, put: &Put) {
        if put.written.is_none() {
            self.histories.remove(&put.key);
        }
        let Some(put_version) = put.operator_version() else {
            return;
        };
        let mut history = self.history(&put.key);
        if let VersionStatus::Newest | VersionStatus::Superseded = history.status_of(put_version) {
            history.confirm(put_version);
        }
        self.histories.insert(put.key.clone(), history);
    }

    /// Sets, drops or removes the item of a put.
    fn apply_put(&mut self, put: &Put) {
        let value = match (&put.value, &put.written) {
            (Some(value), _) => value.clone(),
            // Keep a tombstone, so that an older change that is sent again is recognised as superseded.
            (None, Some(_)) => Value::Dropped,
            (None, None) => {
                self.items.remove(&put.key);
                return;
            }
        };
        let item = Item {
            version: self.version,
            value,
            written: put.written.clone(),
        };
        self.items.insert(put.key.clone(), item);
    }
}
