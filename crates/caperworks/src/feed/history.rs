//! The recent changes of one map, for replicas that are only slightly behind.

use std::collections::VecDeque;

use crate::consensus::messages::{CommittedChange, ConsensusMessage};
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap};

/// The maximum weight of a history, by [`Change::weight`](crate::replicated_map::Change::weight).
///
/// It is bounded by weight and not by count: one mapping of a fleet with very many routes is as large
/// as the map, and a few hundred of them would exceed the memory of a small machine.
pub const MAX_HISTORY_WEIGHT: usize = 4096;

/// The first of the changes that a follower is missing.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstChanges {
    /// The changes, lowest version first.
    pub changes: Vec<CommittedChange>,
    /// Whether more changes follow them.
    pub more: bool,
}

/// Returns the length of a change in a message, in bytes.
fn encoded_length(committed: &CommittedChange) -> usize {
    // Encoding into memory cannot fail for these types.
    minicbor::to_vec(committed).expect("a change encodes").len()
}

/// The recent changes of one map, with consecutive versions and a total weight of at most
/// [`MAX_HISTORY_WEIGHT`].
#[derive(Debug, Clone, Default)]
pub struct History {
    changes: VecDeque<CommittedChange>,
    weight: usize,
}

impl History {
    /// Adds the next change, and drops the oldest ones beyond [`MAX_HISTORY_WEIGHT`].
    pub fn push(&mut self, committed: CommittedChange) {
        self.weight += committed.change.weight();
        self.changes.push_back(committed);
        while self.weight > MAX_HISTORY_WEIGHT {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.weight -= oldest.change.weight();
        }
    }

    /// Drops all changes; called when a snapshot replaces the map, which leaves a gap before it.
    pub fn clear(&mut self) {
        self.changes.clear();
        self.weight = 0;
    }

    /// Returns all changes after a version, or `None` if the history does not reach back that far.
    pub fn changes_after(&self, after: Version) -> Option<Vec<CommittedChange>> {
        let first = self.changes.front()?;
        let is_later = |committed: &&CommittedChange| committed.version > after;
        let reaches_back = first.version <= after.next();
        reaches_back.then(|| self.changes.iter().filter(is_later).cloned().collect())
    }

    /// Returns the first changes after a version: as many as fit into `max_bytes`, and at least one.
    /// Returns `None` if the history does not reach back that far.
    pub fn first_changes_after(
        &self,
        after: Version,
        form: FeedForm,
        max_bytes: usize,
    ) -> Option<FirstChanges> {
        let first = self.changes.front()?;
        if first.version > after.next() {
            return None;
        }
        let skipped = (after.next().0 - first.version.0) as usize;
        let mut bytes = 0;
        let later = self.changes.iter().skip(skipped);
        let mut later = later.map(|committed| committed.with_form(form)).peekable();
        let mut changes = Vec::new();
        while let Some(committed) = later.next_if(|committed| {
            bytes += encoded_length(committed);
            bytes <= max_bytes || changes.is_empty()
        }) {
            changes.push(committed);
        }
        let more = later.next().is_some();
        Some(FirstChanges { changes, more })
    }

    /// Returns the weight of all changes, by [`Change::weight`](crate::replicated_map::Change::weight).
    pub fn weight(&self) -> usize {
        self.weight
    }

    /// Returns the updates by which a replica at version `after` reaches `map`: changes, or a full snapshot.
    /// Returns `None` if the replica is not behind.
    pub fn updates_after(
        &self,
        name: MapName,
        map: &ReplicatedMap,
        after: Version,
    ) -> Option<ConsensusMessage> {
        if after >= map.version {
            return None;
        }
        Some(match self.changes_after(after) {
            Some(changes) => ConsensusMessage::updates(map.form, name, changes),
            None => ConsensusMessage::Snapshot {
                map: name,
                full_map: map.clone(),
            },
        })
    }
}
