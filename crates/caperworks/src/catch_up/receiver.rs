//! The receiving side of catch-up: one transfer per map, continued with another peer after a timeout.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::receiver::transfer::{PartialSnapshot, Transfer};
use crate::catch_up::SnapshotChunk;
use crate::disk_frame::content_digest;
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap, ALL_MAPS};

mod chunk_error;
mod transfer;

pub use self::chunk_error::ChunkError;
pub use self::transfer::CatchUpRequest;

/// The number of consecutive timeouts after which a transfer is abandoned. The next announcement of a
/// newer version starts another.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 8;

/// The result of handling a chunk.
#[derive(Debug, Clone, PartialEq)]
pub enum ChunkOutcome {
    /// More chunks or changes are needed: the next request.
    Next(CatchUpRequest),
    /// The snapshot is complete and its digest matches.
    Snapshot(ReplicatedMap),
    /// The chunk was rejected and discarded.
    Rejected(ChunkError),
}

/// Fault injection into the receiver, to test the invariant checkers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CatchUpFault {
    /// No fault.
    #[default]
    None,
    /// Does not verify the digest of the complete snapshot.
    SkipsDigest,
}

/// The receiving side of one node: at most one transfer per map.
#[derive(Debug, Clone)]
pub struct CatchUpReceiver {
    transfers: BTreeMap<MapName, Transfer>,
    last_number: u64,
    max_bytes: u64,
    form: FeedForm,
    /// The fault to inject; none in production.
    pub fault: CatchUpFault,
}

impl CatchUpReceiver {
    /// Creates a receiver without transfers. `first_number` distinguishes the transfers of this
    /// incarnation from those of earlier ones; snapshots of more than `max_bytes` are rejected.
    pub fn new(first_number: u64, max_bytes: u64) -> Self {
        Self {
            transfers: BTreeMap::new(),
            last_number: first_number >> 1,
            max_bytes,
            form: FeedForm::Complete,
            fault: CatchUpFault::None,
        }
    }

    /// Sets the form in which the receiver requests maps and changes.
    pub fn with_form(mut self, form: FeedForm) -> Self {
        self.form = form;
        self
    }

    /// Returns whether a transfer of this map is in progress.
    pub fn is_receiving(&self, map: MapName) -> bool {
        self.transfers.contains_key(&map)
    }

    /// Returns how many bytes of incomplete snapshots are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.transfers.values().map(Transfer::buffered_bytes).sum()
    }

    fn next_transfer_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Handles an announcement by a peer that it has version `target_version` of a map that is at
    /// `local_version` here.
    ///
    /// Starts a transfer and returns its first request, unless one is already in progress.
    pub fn handle_announcement(
        &mut self,
        now: Duration,
        map: MapName,
        local_version: Version,
        peer: SocketAddr,
        target_version: Version,
    ) -> Option<CatchUpRequest> {
        if let Some(transfer) = self.transfers.get_mut(&map) {
            transfer.record_announcement(now, peer, target_version);
            return None;
        }
        let transfer = Transfer::new(
            now,
            self.next_transfer_number(),
            peer,
            target_version,
            self.form,
        );
        let request = transfer.request(map, local_version);
        self.transfers.insert(map, transfer);
        Some(request)
    }

    /// Switches each transfer that has timed out to the next peer, and returns the requests to send.
    /// Abandons a transfer after eight consecutive timeouts.
    pub fn tick(
        &mut self,
        now: Duration,
        local_version: impl Fn(MapName) -> Version,
    ) -> Vec<CatchUpRequest> {
        let mut requests = Vec::new();
        for map in ALL_MAPS {
            let is_timed_out = |transfer: &Transfer| transfer.is_timed_out(now);
            if !self.transfers.get(&map).is_some_and(is_timed_out) {
                continue;
            }
            let number = self.next_transfer_number();
            let Some(transfer) = self.transfers.get_mut(&map) else {
                continue;
            };
            if transfer.count_timeout() >= MAX_CONSECUTIVE_TIMEOUTS {
                self.transfers.remove(&map);
                continue;
            }
            transfer.switch_peer(now, number);
            requests.push(transfer.request(map, local_version(map)));
        }
        requests
    }

    /// Handles a chunk: adds it to the snapshot, or rejects it without changing the transfer.
    ///
    /// Returns a complete snapshot for the caller to install. The transfer ends when the caller then
    /// calls [`CatchUpReceiver::handle_changes`].
    pub fn handle_chunk(
        &mut self,
        now: Duration,
        from: SocketAddr,
        local_version: Version,
        chunk: SnapshotChunk,
    ) -> ChunkOutcome {
        let map = chunk.map;
        let Some(transfer) = self.transfers.get_mut(&map) else {
            return ChunkOutcome::Rejected(ChunkError::NotRequested);
        };
        if let Err(error) = transfer.check(from, local_version, &chunk) {
            return ChunkOutcome::Rejected(error);
        }
        if chunk.total > self.max_bytes {
            return ChunkOutcome::Rejected(ChunkError::TooLarge);
        }
        transfer.record_response(now);
        let Some(snapshot) = transfer.add(chunk) else {
            return ChunkOutcome::Next(transfer.request(map, local_version));
        };
        match self.decode(&snapshot) {
            Ok(decoded) => ChunkOutcome::Snapshot(decoded),
            Err(error) => ChunkOutcome::Rejected(error),
        }
    }

    /// Verifies the digest of a complete snapshot and decodes it.
    fn decode(&self, snapshot: &PartialSnapshot) -> Result<ReplicatedMap, ChunkError> {
        let is_intact = content_digest(&snapshot.bytes) == snapshot.digest;
        if !is_intact && self.fault != CatchUpFault::SkipsDigest {
            return Err(ChunkError::WrongDigest);
        }
        minicbor::decode::<ReplicatedMap>(&snapshot.bytes)
            .ok()
            .filter(|decoded| decoded.version == snapshot.version)
            .ok_or(ChunkError::Unreadable)
    }

    /// Handles a response with changes, an empty response, or the installation of a snapshot.
    /// `local_version` is the version afterwards, and `advanced` whether the response advanced it.
    ///
    /// Returns the next request if more is known to be missing; otherwise the transfer ends.
    pub fn handle_changes(
        &mut self,
        now: Duration,
        map: MapName,
        local_version: Version,
        advanced: bool,
    ) -> Option<CatchUpRequest> {
        let transfer = self.transfers.get_mut(&map)?;
        if !transfer.is_superseded(local_version) {
            return None;
        }
        if !advanced || transfer.is_reached(local_version) {
            self.transfers.remove(&map);
            return None;
        }
        transfer.restart_with_changes(now);
        Some(transfer.request(map, local_version))
    }
}
