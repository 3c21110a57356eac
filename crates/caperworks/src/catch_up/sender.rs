//! The sending side of catch-up: changes where the history reaches back far enough, and chunks of an
//! encoded snapshot otherwise.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catch_up::{
    SnapshotChunk, TransferPosition, CHUNK_BYTES, GRANT_UPDATE_BYTES, SNAPSHOT_IDLE_SPAN,
    UPDATE_WEIGHT,
};
use crate::consensus::messages::{ConsensusMessage, NumberedChange};
use crate::consensus::voter::Voter;
use crate::disk_frame::content_digest;
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap};

/// A map in encoded form, kept for as long as chunks of it are requested.
#[derive(Debug, Clone)]
struct EncodedSnapshot {
    version: Version,
    digest: u64,
    bytes: Vec<u8>,
    used_at: Duration,
}

/// What a follower gets with a lease grant.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerUpdate {
    /// It is up to date.
    Nothing,
    /// All that it lacks, in one message.
    Inline(ConsensusMessage),
    /// As many changes as one message may carry; there are more after them.
    Partial(ConsensusMessage),
    /// The map is too large for one message: the follower has to request it in chunks.
    InChunks,
}

/// The sending side of one node: at most one encoded snapshot per map and form, shared by all
/// receivers.
#[derive(Debug, Clone, Default)]
pub struct SnapshotSender {
    snapshots: BTreeMap<(MapName, FeedForm), EncodedSnapshot>,
    encodings: u64,
}

impl SnapshotSender {
    /// How many times a map was encoded.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }

    /// The bytes of encoded snapshots that are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.snapshots
            .values()
            .map(|snapshot| snapshot.bytes.len())
            .sum()
    }

    /// Handles time passing: drops the snapshots that were not requested for [`SNAPSHOT_IDLE_SPAN`].
    pub fn tick(&mut self, now: Duration) {
        self.snapshots
            .retain(|_, snapshot| now.saturating_sub(snapshot.used_at) < SNAPSHOT_IDLE_SPAN);
    }

    /// What a follower at version `after` gets with a lease grant: at most so many bytes of changes, lowest
    /// version first, or a snapshot if that fits into [`GRANT_UPDATE_BYTES`]; a larger one it has to request.
    pub fn updates_for_follower(
        &mut self,
        now: Duration,
        voter: &Voter,
        map: MapName,
        after: Version,
        form: FeedForm,
        max_bytes: usize,
    ) -> FollowerUpdate {
        let present = voter.map(map);
        if after >= present.version {
            return FollowerUpdate::Nothing;
        }
        let history = voter.history(map);
        if let Some(first) = history.first_changes_after(after, form, max_bytes) {
            let message = ConsensusMessage::updates(form, map, first.changes);
            return match first.more {
                true => FollowerUpdate::Partial(message),
                false => FollowerUpdate::Inline(message),
            };
        }
        if self.encoded(now, map, present, after, form).bytes.len() > GRANT_UPDATE_BYTES {
            return FollowerUpdate::InChunks;
        }
        let full_map = map_in_form(present, form);
        FollowerUpdate::Inline(ConsensusMessage::Snapshot { map, full_map })
    }

    /// Answers a catch-up request of a peer at version `after`: with changes where the history reaches
    /// back so far, and with a chunk otherwise. A peer that is up to date gets no changes, which ends
    /// its transfer at once.
    pub fn respond(
        &mut self,
        now: Duration,
        voter: &Voter,
        map: MapName,
        after: Version,
        position: TransferPosition,
    ) -> ConsensusMessage {
        let present = voter.map(map);
        if after >= present.version {
            return ConsensusMessage::updates(position.form, map, Vec::new());
        }
        let history = voter.history(map);
        let changes = match position.form {
            FeedForm::Complete => history.changes_after(after).map(first_changes),
            FeedForm::Reduced => history
                .first_changes_after(after, position.form, GRANT_UPDATE_BYTES)
                .map(|first| first.changes),
        };
        match changes {
            Some(changes) => ConsensusMessage::updates(position.form, map, changes),
            None => ConsensusMessage::Chunk {
                chunk: self.chunk(now, map, present, after, position),
            },
        }
    }

    /// The chunk at the receiver's position; from the start if its version is no longer encoded.
    fn chunk(
        &mut self,
        now: Duration,
        name: MapName,
        map: &ReplicatedMap,
        after: Version,
        position: TransferPosition,
    ) -> SnapshotChunk {
        let snapshot = self.encoded(now, name, map, after, position.form);
        let total = snapshot.bytes.len();
        let requested = position.offset as usize;
        let resumes = position.version == snapshot.version && requested < total;
        let offset = if resumes { requested } else { 0 };
        let end = total.min(offset + chunk_length(position.max_bytes));
        SnapshotChunk {
            map: name,
            version: snapshot.version,
            transfer: position.transfer,
            offset: offset as u64,
            total: total as u64,
            digest: snapshot.digest,
            bytes: snapshot.bytes[offset..end].to_vec(),
        }
    }

    /// An encoded version of the map after `after`, encoded now if there is none.
    ///
    /// An earlier version than the present one serves as well: a map that advances during every
    /// transfer would otherwise be encoded for every chunk, and no transfer would end.
    fn encoded(
        &mut self,
        now: Duration,
        name: MapName,
        map: &ReplicatedMap,
        after: Version,
        form: FeedForm,
    ) -> &EncodedSnapshot {
        let is_usable = |snapshot: &EncodedSnapshot| snapshot.version > after;
        let key = (name, form);
        if !self.snapshots.get(&key).is_some_and(is_usable) {
            // Encoding into memory cannot fail for these types.
            let bytes = minicbor::to_vec(map_in_form(map, form)).expect("a map encodes");
            self.encodings += 1;
            let snapshot = EncodedSnapshot {
                version: map.version,
                digest: content_digest(&bytes),
                bytes,
                used_at: now,
            };
            self.snapshots.insert(key, snapshot);
        }
        let snapshot = self.snapshots.get_mut(&key).expect("it was just inserted");
        snapshot.used_at = now;
        snapshot
    }
}

fn map_in_form(map: &ReplicatedMap, form: FeedForm) -> ReplicatedMap {
    match form {
        FeedForm::Complete => map.clone(),
        FeedForm::Reduced => map.reduced(),
    }
}

/// The length of a chunk, given what was asked for; zero asks for [`CHUNK_BYTES`].
fn chunk_length(asked: u32) -> usize {
    match asked as usize {
        0 => CHUNK_BYTES,
        asked => asked.min(CHUNK_BYTES),
    }
}

/// As many of the changes, from the first on, as fit into [`UPDATE_WEIGHT`]; at least one.
fn first_changes(mut changes: Vec<NumberedChange>) -> Vec<NumberedChange> {
    let mut weight = 0;
    let fitting = changes.iter().take_while(|numbered| {
        weight += numbered.change.weight();
        weight <= UPDATE_WEIGHT
    });
    let count = fitting.count().max(1);
    changes.truncate(count);
    changes
}
