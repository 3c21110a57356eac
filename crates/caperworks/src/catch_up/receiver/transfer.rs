//! One transfer: the peer that is asked, the chunks received so far, and which chunk may come next.
//!
//! Invariant kept here: chunks are added in order and without gaps, and all of them come from the
//! snapshot that the first one began.

use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::receiver::refusal::ChunkError;
use crate::catch_up::{
    SnapshotChunk, TransferPosition, CHUNK_BYTES, CHUNK_TIMEOUT, MAX_CHUNK_TIMEOUT,
};
use crate::consensus::messages::ConsensusMessage;
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;

/// How long ago the last hint of a newer version may be before the timeouts are reset: peers announce
/// several times a second that they are ahead, so after a longer gap none of them was reachable.
const HINT_GAP: Duration = Duration::from_secs(1);
/// The bytes of the first chunk to a follower that only reads, which may be behind a slow link;
/// chunks that arrive promptly are followed by larger ones.
const FIRST_REDUCED_CHUNK_BYTES: u32 = 16 * 1024;
/// A chunk that took no longer came over a path that can bear a larger one.
const PROMPT_CHUNK: Duration = Duration::from_millis(150);
/// The most peers that are remembered as able to send a map.
const MOST_SOURCES: usize = 8;

/// The bytes of a transfer's first chunk, and of the next one after a timeout.
fn first_chunk_bytes(form: FeedForm) -> u32 {
    match form {
        FeedForm::Complete => CHUNK_BYTES as u32,
        FeedForm::Reduced => FIRST_REDUCED_CHUNK_BYTES,
    }
}

/// A request to one peer.
#[derive(Debug, Clone, PartialEq)]
pub struct CatchUpRequest {
    /// The peer's control address.
    pub to: SocketAddr,
    /// The map that is behind.
    pub map: MapName,
    /// The version that is present here.
    pub after: Version,
    /// The progress of the transfer.
    pub position: TransferPosition,
}

impl CatchUpRequest {
    /// The message that carries the request.
    pub fn message(&self) -> ConsensusMessage {
        ConsensusMessage::CatchUp {
            map: self.map,
            after: self.after,
            position: Some(self.position),
        }
    }
}

/// The bytes of a snapshot that have arrived.
#[derive(Debug, Clone)]
pub(super) struct PartialSnapshot {
    pub(super) version: Version,
    pub(super) total: u64,
    pub(super) digest: u64,
    pub(super) bytes: Vec<u8>,
}

/// A transfer of one map, in progress with one peer.
#[derive(Debug, Clone)]
pub(super) struct Transfer {
    number: u64,
    peer: SocketAddr,
    /// The version that peers are known to have.
    goal: Version,
    asked_at: Duration,
    timeout: Duration,
    hinted_at: Duration,
    timeouts_in_a_row: u32,
    sources: Vec<SocketAddr>,
    /// Whether the peer has sent a chunk under this number.
    peer_has_sent: bool,
    partial: Option<PartialSnapshot>,
    form: FeedForm,
    /// How many bytes the next chunk may have.
    chunk_bytes: u32,
}

impl Transfer {
    pub(super) fn new(
        now: Duration,
        number: u64,
        peer: SocketAddr,
        goal: Version,
        form: FeedForm,
    ) -> Self {
        Self {
            number,
            peer,
            goal,
            asked_at: now,
            timeout: CHUNK_TIMEOUT,
            hinted_at: now,
            timeouts_in_a_row: 0,
            sources: vec![peer],
            peer_has_sent: false,
            partial: None,
            form,
            chunk_bytes: first_chunk_bytes(form),
        }
    }

    /// The request for the next chunk, or for the changes after a version.
    pub(super) fn request(&self, map: MapName, after: Version) -> CatchUpRequest {
        let partial = self.partial.as_ref();
        CatchUpRequest {
            to: self.peer,
            map,
            after,
            position: TransferPosition {
                transfer: self.number,
                version: partial.map_or(Version(0), |partial| partial.version),
                offset: partial.map_or(0, |partial| partial.bytes.len() as u64),
                form: self.form,
                max_bytes: self.chunk_bytes,
            },
        }
    }

    /// A peer announced that it has `goal`.
    ///
    /// After a long gap between hints a network partition has healed, and the timeouts that grew
    /// during it say nothing of how fast the paths are now.
    pub(super) fn add_hint(&mut self, now: Duration, peer: SocketAddr, goal: Version) {
        if !self.sources.contains(&peer) && self.sources.len() < MOST_SOURCES {
            self.sources.push(peer);
        }
        self.goal = self.goal.max(goal);
        if now.saturating_sub(self.hinted_at) >= HINT_GAP {
            self.timeout = CHUNK_TIMEOUT;
        }
        self.hinted_at = now;
    }

    /// Whether the peer has not answered in time.
    pub(super) fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.asked_at) >= self.timeout
    }

    /// Counts a timeout; returns how many there were in a row.
    pub(super) fn count_timeout(&mut self) -> u32 {
        self.timeouts_in_a_row += 1;
        self.timeouts_in_a_row
    }

    /// Turns to the next peer under a new number, with twice the timeout and small chunks.
    pub(super) fn switch_peer(&mut self, now: Duration, number: u64) {
        self.number = number;
        self.asked_at = now;
        self.timeout = (self.timeout * 2).min(MAX_CHUNK_TIMEOUT);
        self.chunk_bytes = first_chunk_bytes(self.form);
        let index = self.sources.iter().position(|source| *source == self.peer);
        let next = index.map_or(0, |index| index + 1) % self.sources.len().max(1);
        self.peer = self.sources.get(next).copied().unwrap_or(self.peer);
        self.peer_has_sent = false;
    }

    /// The peer answered now: chunks that come promptly may grow.
    pub(super) fn record_response(&mut self, now: Duration) {
        if now.saturating_sub(self.asked_at) <= PROMPT_CHUNK {
            self.chunk_bytes = (self.chunk_bytes * 2).min(CHUNK_BYTES as u32);
        }
        self.asked_at = now;
    }

    /// The peer answered with changes and more are missing: the next request asks for changes.
    pub(super) fn restart_with_changes(&mut self, now: Duration) {
        self.partial = None;
        self.asked_at = now;
        self.timeouts_in_a_row = 0;
    }

    /// Whether the version here has reached what peers are known to have.
    pub(super) fn is_reached(&self, local_version: Version) -> bool {
        local_version >= self.goal
    }

    /// Whether no snapshot is being received that is newer than the version here.
    pub(super) fn is_overtaken(&self, local_version: Version) -> bool {
        let partial = self.partial.as_ref();
        partial.is_none_or(|partial| partial.version <= local_version)
    }

    /// The bytes that have been buffered.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.bytes.len())
    }

    /// Whether a chunk may come next, given what has arrived so far.
    pub(super) fn check(
        &self,
        from: SocketAddr,
        local_version: Version,
        chunk: &SnapshotChunk,
    ) -> Result<(), ChunkError> {
        if chunk.transfer != self.number {
            return Err(ChunkError::OtherTransfer);
        }
        if from != self.peer {
            return Err(ChunkError::OtherPeer);
        }
        if chunk.version <= local_version {
            return Err(ChunkError::OlderVersion);
        }
        if !self.has_right_length(chunk) {
            return Err(ChunkError::WrongLength);
        }
        match &self.partial {
            Some(partial) => self.check_continuation(partial, chunk),
            None if chunk.offset == 0 => Ok(()),
            None => Err(ChunkError::AfterGap),
        }
    }

    /// Whether a chunk continues the snapshot that was begun, or may begin another.
    fn check_continuation(
        &self,
        partial: &PartialSnapshot,
        chunk: &SnapshotChunk,
    ) -> Result<(), ChunkError> {
        let is_same = chunk.version == partial.version;
        if !is_same && chunk.offset == 0 && (!self.peer_has_sent || chunk.version > partial.version)
        {
            // The sender no longer has, or never had, the version that was begun: start over.
            return Ok(());
        }
        if chunk.version < partial.version {
            return Err(ChunkError::OlderVersion);
        }
        if !is_same || (chunk.total, chunk.digest) != (partial.total, partial.digest) {
            return Err(ChunkError::OtherSnapshot);
        }
        match chunk.offset.cmp(&(partial.bytes.len() as u64)) {
            std::cmp::Ordering::Less => Err(ChunkError::Doubled),
            std::cmp::Ordering::Greater => Err(ChunkError::AfterGap),
            std::cmp::Ordering::Equal => Ok(()),
        }
    }

    /// Whether a chunk has as many bytes as were asked for, or as a chunk may have at most: senders of
    /// an earlier release know only that one length.
    fn has_right_length(&self, chunk: &SnapshotChunk) -> bool {
        let remaining = chunk.total.saturating_sub(chunk.offset);
        let length = chunk.bytes.len() as u64;
        let accepted = [u64::from(self.chunk_bytes), CHUNK_BYTES as u64];
        length > 0 && accepted.iter().any(|most| length == remaining.min(*most))
    }

    /// Adds a chunk that was checked; returns the snapshot once it is complete.
    pub(super) fn add(&mut self, chunk: SnapshotChunk) -> Option<PartialSnapshot> {
        self.peer_has_sent = true;
        self.timeouts_in_a_row = 0;
        if chunk.offset == 0 {
            self.partial = Some(PartialSnapshot {
                version: chunk.version,
                total: chunk.total,
                digest: chunk.digest,
                bytes: Vec::new(),
            });
        }
        let partial = self.partial.as_mut()?;
        partial.bytes.extend(chunk.bytes);
        if (partial.bytes.len() as u64) < partial.total {
            return None;
        }
        self.partial.take()
    }
}
