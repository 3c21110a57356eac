//! The maps and their recent changes, for a node that serves followers without being a voter.

use std::collections::BTreeMap;

use crate::consensus::messages::{CommittedChange, ConsensusMessage};
use crate::feed::follower::Follower;
use crate::feed::history::History;
use crate::identifiers::Version;
use crate::replicated_map::MapName;

/// A follower's replica with the recent changes of each map.
#[derive(Debug, Clone, Default)]
pub struct FeedCache {
    follower: Follower,
    histories: BTreeMap<MapName, History>,
}

impl FeedCache {
    /// Returns the replica.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Applies changes or a snapshot as [`Follower::apply_updates`] does, and keeps the history up to date.
    pub fn apply_updates(&mut self, updates: &ConsensusMessage) -> Option<MapName> {
        let Some(message) = updates.follower_updates() else {
            let advanced = self.follower.apply_updates(updates)?;
            self.histories.entry(advanced).or_default().clear();
            return Some(advanced);
        };
        let before = self.follower.map(message.map).version;
        let advanced = self.follower.apply_updates(updates)?;
        let after = self.follower.map(advanced).version;
        let history = self.histories.entry(advanced).or_default();
        let is_new =
            |committed: &&CommittedChange| committed.version > before && committed.version <= after;
        for committed in message.changes.iter().filter(is_new) {
            history.push(committed.clone());
        }
        Some(advanced)
    }

    /// Returns the updates for a follower at version `after`: changes, or a full snapshot. Returns `None` if
    /// the follower is not behind.
    pub fn updates_after(&self, name: MapName, after: Version) -> Option<ConsensusMessage> {
        let map = self.follower.map(name);
        match self.histories.get(&name) {
            Some(history) => history.updates_after(name, map, after),
            None => History::default().updates_after(name, map, after),
        }
    }
}
