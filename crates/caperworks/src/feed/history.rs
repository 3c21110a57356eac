//! The recent changes of one map, for replicas that are a little behind.

use std::collections::VecDeque;

use crate::consensus::messages::{CommittedChange, ConsensusMessage};
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap};

/// How much a history keeps, by [`Change::weight`](crate::replicated_map::Change::weight).
///
/// It is bounded by weight and not by count: one mapping of a fleet with very many routes is as large
/// as the map, and a few hundred of them would be more than a small machine has.
pub const HISTORY_WEIGHT: usize = 4096;

/// The first of the changes that a follower lacks.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstChanges {
    /// The changes, lowest version first.
    pub changes: Vec<CommittedChange>,
    /// Whether there are more after them.
    pub more: bool,
}

/// The length of a change in a message, in bytes.
fn encoded_length(numbered: &CommittedChange) -> usize {
    // Encoding into memory cannot fail for these types.
    minicbor::to_vec(numbered).expect("a change encodes").len()
}

/// The recent changes of one map, consecutive versions, at most [`HISTORY_WEIGHT`] of them.
#[derive(Debug, Clone, Default)]
pub struct History {
    changes: VecDeque<CommittedChange>,
    weight: usize,
}

impl History {
    /// Adds the next change, and drops the oldest ones beyond [`HISTORY_WEIGHT`].
    pub fn push(&mut self, numbered: CommittedChange) {
        self.weight += numbered.change.weight();
        self.changes.push_back(numbered);
        while self.weight > HISTORY_WEIGHT {
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

    /// All changes after a version; nothing if the history does not reach back so far.
    pub fn changes_after(&self, after: Version) -> Option<Vec<CommittedChange>> {
        let first = self.changes.front()?;
        let is_later = |numbered: &&CommittedChange| numbered.version > after;
        let reaches_back = first.version <= after.next();
        reaches_back.then(|| self.changes.iter().filter(is_later).cloned().collect())
    }

    /// The first of the changes after a version, as many as fit into `most_bytes` and one at least;
    /// nothing if the history does not reach back so far.
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
        let mut later = later.map(|numbered| numbered.in_form(form)).peekable();
        let mut changes = Vec::new();
        while let Some(numbered) = later.next_if(|numbered| {
            bytes += encoded_length(numbered);
            bytes <= max_bytes || changes.is_empty()
        }) {
            changes.push(numbered);
        }
        let more = later.next().is_some();
        Some(FirstChanges { changes, more })
    }

    /// The weight of all changes, by [`Change::weight`](crate::replicated_map::Change::weight).
    pub fn weight(&self) -> usize {
        self.weight
    }

    /// What a replica at version `after` needs to reach `map`: changes, or a full snapshot. Nothing
    /// when it is not behind.
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
