//! The sending side of catch-up: changes if the history reaches back far enough, and otherwise chunks
//! of an encoded snapshot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catch_up::{
    SnapshotChunk, TransferPosition, CHUNK_BYTES, MAX_GRANT_UPDATE_BYTES, MAX_UPDATE_WEIGHT,
    SNAPSHOT_IDLE_TIMEOUT,
};
use crate::consensus::messages::{CommittedChange, ConsensusMessage};
use crate::consensus::voter::Voter;
use crate::disk_frame::content_digest;
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap};

/// An encoded map, kept for as long as chunks of it are requested.
#[derive(Debug, Clone)]
struct EncodedSnapshot {
    version: Version,
    digest: u64,
    bytes: Vec<u8>,
    used_at: Duration,
}

/// The updates that a follower receives with a lease grant.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerUpdate {
    /// The follower is up to date.
    UpToDate,
    /// Everything that is missing, in one message.
    Inline(ConsensusMessage),
    /// As many changes as fit into one message; more are missing after them.
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
    /// Returns how many times a map was encoded.
    pub fn encodings(&self) -> u64 {
        self.encodings
    }

    /// Returns how many bytes of encoded snapshots are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.snapshots
            .values()
            .map(|snapshot| snapshot.bytes.len())
            .sum()
    }

    /// Drops the snapshots that have not been requested for [`SNAPSHOT_IDLE_TIMEOUT`].
    pub fn tick(&mut self, now: Duration) {
        self.snapshots
            .retain(|_, snapshot| now.saturating_sub(snapshot.used_at) < SNAPSHOT_IDLE_TIMEOUT);
    }

    /// Returns the updates for a follower at version `after` to send with a lease grant.
    ///
    /// These are at most `max_bytes` of changes, lowest version first, or a snapshot if it fits into
    /// [`MAX_GRANT_UPDATE_BYTES`]. The follower has to request a larger snapshot in chunks.
    pub fn updates_for_follower(
        &mut self,
        now: Duration,
        voter: &Voter,
        map: MapName,
        after: Version,
        form: FeedForm,
        max_bytes: usize,
    ) -> FollowerUpdate {
        let current = voter.map(map);
        if after >= current.version {
            return FollowerUpdate::UpToDate;
        }
        let history = voter.history(map);
        if let Some(first) = history.first_changes_after(after, form, max_bytes) {
            let message = ConsensusMessage::updates(form, map, first.changes);
            return match first.more {
                true => FollowerUpdate::Partial(message),
                false => FollowerUpdate::Inline(message),
            };
        }
        if self.encoded(now, map, current, after, form).bytes.len() > MAX_GRANT_UPDATE_BYTES {
            return FollowerUpdate::InChunks;
        }
        let full_map = map_in_form(current, form);
        FollowerUpdate::Inline(ConsensusMessage::Snapshot { map, full_map })
    }

    /// Responds to a catch-up request from a peer at version `after`: with changes if the history
    /// reaches back far enough, and with a chunk otherwise. A peer that is up to date gets an empty
    /// list of changes, which ends its transfer immediately.
    pub fn respond(
        &mut self,
        now: Duration,
        voter: &Voter,
        map: MapName,
        after: Version,
        position: TransferPosition,
    ) -> ConsensusMessage {
        let current = voter.map(map);
        if after >= current.version {
            return ConsensusMessage::updates(position.form, map, Vec::new());
        }
        let history = voter.history(map);
        let changes = match position.form {
            FeedForm::Complete => history.changes_after(after).map(first_changes),
            FeedForm::Reduced => history
                .first_changes_after(after, position.form, MAX_GRANT_UPDATE_BYTES)
                .map(|first| first.changes),
        };
        match changes {
            Some(changes) => ConsensusMessage::updates(position.form, map, changes),
            None => ConsensusMessage::Chunk {
                chunk: self.chunk(now, map, current, after, position),
            },
        }
    }

    /// Returns the chunk at the receiver's position, or the first one if the receiver's version is no
    /// longer encoded.
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

    /// Returns an encoded snapshot of the map newer than `after`, encoding the map if there is none.
    ///
    /// The snapshot may be older than the current version: a map that advances during every transfer
    /// would otherwise be encoded again for every chunk, and no transfer would complete.
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

/// Returns the length of a chunk for a requested length; zero requests [`CHUNK_BYTES`].
fn chunk_length(requested: u32) -> usize {
    match requested as usize {
        0 => CHUNK_BYTES,
        requested => requested.min(CHUNK_BYTES),
    }
}

/// Returns the first changes, at least one, whose total weight fits into [`MAX_UPDATE_WEIGHT`].
fn first_changes(mut changes: Vec<CommittedChange>) -> Vec<CommittedChange> {
    let mut weight = 0;
    let fitting = changes.iter().take_while(|committed| {
        weight += committed.change.weight();
        weight <= MAX_UPDATE_WEIGHT
    });
    let count = fitting.count().max(1);
    changes.truncate(count);
    changes
}
