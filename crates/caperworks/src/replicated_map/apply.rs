//! How a committed change alters a map: the same way on every node.
//!
//! Invariants kept here: the map version grows by one with each change, and under the operators' own
//! versions an item never goes back to a lower one.

use crate::map_items::Value;
use crate::replicated_map::{Change, Item, Put, RecentChange, ReplicatedMap, REMEMBERED_CHANGES};
use crate::version_history::{VersionHistory, VersionStatus};

impl ReplicatedMap {
    /// What was confirmed under the operators' own versions of an item.
    pub fn history(&self, key: &str) -> VersionHistory {
        if let Some(history) = self.histories.get(key) {
            return history.clone();
        }
        self.items
            .get(key)
            .and_then(Item::numbered)
            .map(VersionHistory::of_stored)
            .unwrap_or_default()
    }

    /// A replica that has the histories of a change's items alone: enough to apply the change to it.
    ///
    /// The histories of all items are most of what a replica costs, and each change is tried on one.
    pub fn with_histories_of(&self, change: &Change) -> Self {
        let history = |put: &Put| {
            let history = self.histories.get(&put.key)?;
            Some((put.key.clone(), history.clone()))
        };
        Self {
            version: self.version,
            items: self.items.clone(),
            answered: self.answered.clone(),
            histories: change.puts.iter().filter_map(history).collect(),
            form: self.form,
        }
    }

    /// Whether the put changes nothing because a higher operators' version is present.
    ///
    /// Version 0 only fills an item that is absent.
    fn is_overtaken(&self, put: &Put) -> bool {
        match (put.numbered(), &put.written) {
            (Some(numbered), _) => {
                self.history(&put.key).standing(numbered) != VersionStatus::Newest
            }
            (None, Some(_)) => self.items.contains_key(&put.key),
            (None, None) => false,
        }
    }

    /// Applies a change that was committed for the version after this one.
    ///
    /// Every node applies the same changes in the same order, so this must depend on nothing but the
    /// map and the change.
    pub fn apply(&mut self, change: &Change) {
        self.version = self.version.next();
        for put in &change.puts {
            let overtaken = self.is_overtaken(put);
            self.remember_version(put);
            if !overtaken {
                self.apply_put(put);
            }
        }
        self.answered.push(RecentChange {
            id: change.id.clone(),
            version: self.version,
            digest: change.digest(),
        });
        if self.answered.len() > REMEMBERED_CHANGES {
            self.answered.remove(0);
        }
    }

    /// Records what the put confirms under the operators' own version, also where it is overtaken. A
    /// writer without versions starts the item's history anew.
    fn remember_version(&mut self, put: &Put) {
        if put.written.is_none() {
            self.histories.remove(&put.key);
        }
        let Some(numbered) = put.numbered() else {
            return;
        };
        let mut history = self.history(&put.key);
        if let VersionStatus::Newest | VersionStatus::Overtaken = history.standing(numbered) {
            history.confirm(numbered);
        }
        self.histories.insert(put.key.clone(), history);
    }

    /// Sets, drops or removes the item of a put.
    fn apply_put(&mut self, put: &Put) {
        let value = match (&put.value, &put.written) {
            (Some(value), _) => value.clone(),
            // A tombstone: an older change that arrives again must find that it was overtaken.
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
