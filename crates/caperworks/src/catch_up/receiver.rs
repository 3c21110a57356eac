//! The receiving side of catch-up: one transfer per map, resumed with another peer after a timeout.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catch_up::receiver::transfer::{PartialSnapshot, Transfer};
use crate::catch_up::SnapshotChunk;
use crate::disk_frame::content_digest;
use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::{MapName, ReplicatedMap, ALL_MAPS};

mod refusal;
mod transfer;

pub use self::refusal::ChunkError;
pub use self::transfer::CatchUpRequest;

/// After so many timeouts in a row a transfer is given up; the next hint begins another.
const MOST_TIMEOUTS: u32 = 8;

/// What follows from a chunk.
#[derive(Debug, Clone, PartialEq)]
pub enum ChunkOutcome {
    /// More is to come: the request for it.
    Next(CatchUpRequest),
    /// The snapshot is complete and its digest matches.
    Snapshot(ReplicatedMap),
    /// The chunk was refused; nothing of it is kept.
    Refused(ChunkError),
}

/// Fault injection into the receiver, to prove the invariant checkers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BrokenCatchUp {
    /// No fault.
    #[default]
    Nothing,
    /// The digest of the complete snapshot is not checked.
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
    pub broken: BrokenCatchUp,
}

impl CatchUpReceiver {
    /// A receiver without transfers. `first_number` tells this incarnation's transfers from those of
    /// an earlier one; a snapshot of more than `most_bytes` is refused.
    pub fn new(first_number: u64, max_bytes: u64) -> Self {
        Self {
            transfers: BTreeMap::new(),
            last_number: first_number >> 1,
            max_bytes,
            form: FeedForm::Complete,
            broken: BrokenCatchUp::Nothing,
        }
    }

    /// The same receiver, requesting maps and changes in this form.
    pub fn in_form(mut self, form: FeedForm) -> Self {
        self.form = form;
        self
    }

    /// Whether a transfer of this map is in progress.
    pub fn is_receiving(&self, map: MapName) -> bool {
        self.transfers.contains_key(&map)
    }

    /// The bytes of incomplete snapshots that are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.transfers.values().map(Transfer::buffered_bytes).sum()
    }

    fn draw_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A peer announced that it has version `goal` of a map that is at `held` here.
    ///
    /// Begins a transfer and returns its first request, unless one is in progress already.
    pub fn behind(
        &mut self,
        now: Duration,
        map: MapName,
        held: Version,
        peer: SocketAddr,
        goal: Version,
    ) -> Option<CatchUpRequest> {
        if let Some(transfer) = self.transfers.get_mut(&map) {
            transfer.add_hint(now, peer, goal);
            return None;
        }
        let transfer = Transfer::new(now, self.draw_number(), peer, goal, self.form);
        let request = transfer.request(map, held);
        self.transfers.insert(map, transfer);
        Some(request)
    }

    /// Handles time passing: requests from the next peer where one has timed out, and gives a
    /// transfer up after eight in a row.
    pub fn tick(
        &mut self,
        now: Duration,
        held: impl Fn(MapName) -> Version,
    ) -> Vec<CatchUpRequest> {
        let mut requests = Vec::new();
        for map in ALL_MAPS {
            let is_timed_out = |transfer: &Transfer| transfer.is_timed_out(now);
            if !self.transfers.get(&map).is_some_and(is_timed_out) {
                continue;
            }
            let number = self.draw_number();
            let Some(transfer) = self.transfers.get_mut(&map) else {
                continue;
            };
            if transfer.count_timeout() >= MOST_TIMEOUTS {
                self.transfers.remove(&map);
                continue;
            }
            transfer.switch_peer(now, number);
            requests.push(transfer.request(map, held(map)));
        }
        requests
    }

    /// Handles a chunk: adds it to the snapshot, or refuses it without a trace.
    ///
    /// `held` is the version that is present here. A complete snapshot is returned for the caller to
    /// install; the transfer ends when [`CatchUpReceiver::handle_changes`] reports that it did.
    pub fn handle_chunk(
        &mut self,
        now: Duration,
        from: SocketAddr,
        held: Version,
        chunk: SnapshotChunk,
    ) -> ChunkOutcome {
        let map = chunk.map;
        let Some(transfer) = self.transfers.get_mut(&map) else {
            return ChunkOutcome::Refused(ChunkError::NotAskedFor);
        };
        if let Err(refusal) = transfer.check(from, held, &chunk) {
            return ChunkOutcome::Refused(refusal);
        }
        if chunk.total > self.max_bytes {
            return ChunkOutcome::Refused(ChunkError::TooLarge);
        }
        transfer.record_response(now);
        let Some(snapshot) = transfer.add(chunk) else {
            return ChunkOutcome::Next(transfer.request(map, held));
        };
        match self.decode(&snapshot) {
            Ok(decoded) => ChunkOutcome::Snapshot(decoded),
            Err(refusal) => ChunkOutcome::Refused(refusal),
        }
    }

    /// Decodes a complete snapshot after a check of its digest.
    fn decode(&self, snapshot: &PartialSnapshot) -> Result<ReplicatedMap, ChunkError> {
        let is_intact = content_digest(&snapshot.bytes) == snapshot.digest;
        if !is_intact && self.broken != BrokenCatchUp::SkipsDigest {
            return Err(ChunkError::WrongDigest);
        }
        minicbor::decode::<ReplicatedMap>(&snapshot.bytes)
            .ok()
            .filter(|decoded| decoded.version == snapshot.version)
            .ok_or(ChunkError::Unreadable)
    }

    /// The peer answered with changes, with none, or a snapshot was installed; `held` is the version
    /// that is present now, and `moved` whether the answer advanced it.
    ///
    /// Returns the next request where more is known to be missing; otherwise the transfer ends.
    pub fn handle_changes(
        &mut self,
        now: Duration,
        map: MapName,
        held: Version,
        moved: bool,
    ) -> Option<CatchUpRequest> {
        let transfer = self.transfers.get_mut(&map)?;
        if !transfer.is_overtaken(held) {
            return None;
        }
        if !moved || transfer.is_reached(held) {
            self.transfers.remove(&map);
            return None;
        }
        transfer.restart_with_changes(now);
        Some(transfer.request(map, held))
    }
}
