//! The replica of a follower: it advances by single changes or to a snapshot, and never moves to an earlier
//! version.

use crate::consensus::messages::{ConsensusMessage, FollowerChanges};
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap, ALL_MAPS};

/// A follower's replica of all maps.
#[derive(Debug, Clone)]
pub struct Follower {
    maps: Vec<ReplicatedMap>,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            maps: ALL_MAPS.iter().map(|_| ReplicatedMap::empty()).collect(),
        }
    }
}

impl Follower {
    /// Returns one map at the version that is known here.
    pub fn map(&self, name: MapName) -> &ReplicatedMap {
        &self.maps[name.index()]
    }

    /// Returns the versions of all maps, in the order of [`ALL_MAPS`].
    pub fn versions(&self) -> Vec<Version> {
        self.maps.iter().map(|map| map.version).collect()
    }

    /// Returns whether this replica has at least these versions of the maps in `wants`.
    pub fn has_versions(&self, versions: &[Version], wants: &[MapName]) -> bool {
        wants.iter().all(|name| {
            let wanted = versions.get(name.index()).copied().unwrap_or_default();
            self.map(*name).version >= wanted
        })
    }

    /// Applies changes or a snapshot; returns the map if it advanced. Other messages, and updates that are not
    /// newer, change nothing.
    pub fn apply_updates(&mut self, updates: &ConsensusMessage) -> Option<MapName> {
        if let ConsensusMessage::Snapshot { map, full_map } = updates {
            return self.install_snapshot(*map, full_map);
        }
        self.apply_changes(updates.follower_updates()?)
    }

    fn install_snapshot(&mut self, name: MapName, snapshot: &ReplicatedMap) -> Option<MapName> {
        let map = &mut self.maps[name.index()];
        let is_later = snapshot.version > map.version;
        if is_later {
            *map = snapshot.clone();
        }
        is_later.then_some(name)
    }

    /// Applies the changes that follow on the version here. A gap means that a message was lost: the
    /// next request continues from the version that is present.
    fn apply_changes(&mut self, message: FollowerChanges<'_>) -> Option<MapName> {
        let map = &mut self.maps[message.map.index()];
        let before = map.version;
        for committed in message.changes {
            if committed.version != map.version.next() {
                continue;
            }
            match message.form {
                FeedForm::Complete => map.apply(&committed.change),
                FeedForm::Reduced => map.apply_reduced(&committed.change),
            }
        }
        (map.version > before).then_some(message.map)
    }
}
