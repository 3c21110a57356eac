//! One transfer: the current peer, the chunks received so far, and which chunk may come next.
//!
//! Invariant of this module: chunks are added in order and without gaps, and all of them belong to
//! the same snapshot as the first one.

use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::receiver::chunk_error::ChunkError;
use crate::catch_up::{
    SnapshotChunk, TransferPosition, CHUNK_BYTES, CHUNK_TIMEOUT, MAX_CHUNK_TIMEOUT,
};
use crate::consensus::messages::ConsensusMessage;
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;

/// After this long without an announcement of a newer version, the timeout is reset. Peers announce
/// several times a second that they are ahead, so during a longer gap none of them was reachable.
const ANNOUNCEMENT_GAP: Duration = Duration::from_secs(1);
/// The length in bytes of the first chunk for a read-only follower, which may be behind a slow link.
/// Chunks that arrive promptly are followed by larger ones.
const FIRST_REDUCED_CHUNK_BYTES: u32 = 16 * 1024;
/// A chunk that arrives within this time is followed by a larger one.
const PROMPT_CHUNK_TIME: Duration = Duration::from_millis(150);
/// The maximum number of peers that are remembered as sources of a map.
const MAX_SOURCES: usize = 8;

/// Returns the length in bytes of the first chunk of a transfer, and of the first after a timeout.
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
    /// The local version.
    pub after: Version,
    /// The progress of the transfer.
    pub position: TransferPosition,
}

impl CatchUpRequest {
    /// Returns the message that carries the request.
    pub fn message(&self) -> ConsensusMessage {
        ConsensusMessage::CatchUp {
            map: self.map,
            after: self.after,
            position: Some(self.position),
        }
    }
}

/// A snapshot of which some bytes have been received.
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
    /// The highest version that a peer is known to have.
    target_version: Version,
    requested_at: Duration,
    timeout: Duration,
    announced_at: Duration,
    consecutive_timeouts: u32,
    sources: Vec<SocketAddr>,
    /// Whether the peer has sent a chunk with the current transfer number.
    peer_has_sent: bool,
    partial: Option<PartialSnapshot>,
    form: FeedForm,
    /// The maximum length of the next chunk.
    chunk_bytes: u32,
}

impl Transfer {
    pub(super) fn new(
        now: Duration,
        number: u64,
        peer: SocketAddr,
        target_version: Version,
        form: FeedForm,
    ) -> Self {
        Self {
            number,
            peer,
            target_version,
            requested_at: now,
            timeout: CHUNK_TIMEOUT,
            announced_at: now,
            consecutive_timeouts: 0,
            sources: vec![peer],
            peer_has_sent: false,
            partial: None,
            form,
            chunk_bytes: first_chunk_bytes(form),
        }
    }

    /// Returns the request for the next chunk, or for the changes after a version.
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

    /// Handles an announcement by a peer that it has version `target_version`.
    ///
    /// A long gap between announcements means that a network partition has healed. The timeout that
    /// grew during the partition does not reflect how fast the paths are now, so it is reset.
    pub(super) fn record_announcement(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        target_version: Version,
    ) {
        if !self.sources.contains(&peer) && self.sources.len() < MAX_SOURCES {
            self.sources.push(peer);
        }
        self.target_version = self.target_version.max(target_version);
        if now.saturating_sub(self.announced_at) >= ANNOUNCEMENT_GAP {
            self.timeout = CHUNK_TIMEOUT;
        }
        self.announced_at = now;
    }

    /// Returns whether the peer has not responded within the timeout.
    pub(super) fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.requested_at) >= self.timeout
    }

    /// Counts a timeout and returns the number of consecutive ones.
    pub(super) fn count_timeout(&mut self) -> u32 {
        self.consecutive_timeouts += 1;
        self.consecutive_timeouts
    }

    /// Switches to the next peer under a new transfer number, with twice the timeout and small chunks.
    pub(super) fn switch_peer(&mut self, now: Duration, number: u64) {
        self.number = number;
        self.requested_at = now;
        self.timeout = (self.timeout * 2).min(MAX_CHUNK_TIMEOUT);
        self.chunk_bytes = first_chunk_bytes(self.form);
        let index = self.sources.iter().position(|source| *source == self.peer);
        let next = index.map_or(0, |index| index + 1) % self.sources.len().max(1);
        self.peer = self.sources.get(next).copied().unwrap_or(self.peer);
        self.peer_has_sent = false;
    }

    /// Records a response from the peer, and increases the chunk length if it arrived promptly.
    pub(super) fn record_response(&mut self, now: Duration) {
        if now.saturating_sub(self.requested_at) <= PROMPT_CHUNK_TIME {
            self.chunk_bytes = (self.chunk_bytes * 2).min(CHUNK_BYTES as u32);
        }
        self.requested_at = now;
    }

    /// Discards a partial snapshot after the peer responded with changes, so that the next request
    /// is for the changes that are still missing.
    pub(super) fn restart_with_changes(&mut self, now: Duration) {
        self.partial = None;
        self.requested_at = now;
        self.consecutive_timeouts = 0;
    }

    /// Returns whether the local version has reached the highest version that peers are known to have.
    pub(super) fn is_reached(&self, local_version: Version) -> bool {
        local_version >= self.target_version
    }

    /// Returns whether no snapshot newer than the local version is being received.
    pub(super) fn is_superseded(&self, local_version: Version) -> bool {
        let partial = self.partial.as_ref();
        partial.is_none_or(|partial| partial.version <= local_version)
    }

    /// Returns how many bytes are buffered.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.bytes.len())
    }

    /// Checks whether a chunk may come next, given what has been received so far.
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

    /// Checks whether a chunk continues the partial snapshot or may start another one.
    fn check_continuation(
        &self,
        partial: &PartialSnapshot,
        chunk: &SnapshotChunk,
    ) -> Result<(), ChunkError> {
        let is_same = chunk.version == partial.version;
        if !is_same && chunk.offset == 0 && (!self.peer_has_sent || chunk.version > partial.version)
        {
            // The sender no longer has, or never had, the version of the partial snapshot: start over.
            return Ok(());
        }
        if chunk.version < partial.version {
            return Err(ChunkError::OlderVersion);
        }
        if !is_same || (chunk.total, chunk.digest) != (partial.total, partial.digest) {
            return Err(ChunkError::OtherSnapshot);
        }
        match chunk.offset.cmp(&(partial.bytes.len() as u64)) {
            std::cmp::Ordering::Less => Err(ChunkError::Duplicate),
            std::cmp::Ordering::Greater => Err(ChunkError::AfterGap),
            std::cmp::Ordering::Equal => Ok(()),
        }
    }

    /// Returns whether a chunk has the requested length or the maximum length; senders of an earlier
    /// release support only the latter.
    fn has_right_length(&self, chunk: &SnapshotChunk) -> bool {
        let remaining = chunk.total.saturating_sub(chunk.offset);
        let length = chunk.bytes.len() as u64;
        let accepted = [u64::from(self.chunk_bytes), CHUNK_BYTES as u64];
        length > 0
            && accepted
                .iter()
                .any(|maximum| length == remaining.min(*maximum))
    }

    /// Adds a chunk that has been checked, and returns the snapshot once it is complete.
    pub(super) fn add(&mut self, chunk: SnapshotChunk) -> Option<PartialSnapshot> {
        self.peer_has_sent = true;
        self.consecutive_timeouts = 0;
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
