//! Catch-up: how a replica that is behind gets the changes or the snapshot that it lacks.
//!
//! The receiver has at most one transfer in progress per map, with one peer. It asks with
//! [`ConsensusMessage::CatchUp`](crate::consensus::messages::ConsensusMessage::CatchUp) and gets
//! either the changes it lacks, a bounded number at a time, or a snapshot in chunks of at most
//! [`CHUNK_BYTES`], each requested when the one before it has arrived. A peer that times out is
//! replaced by another; the chunks received so far are kept if the other peer has the same version.
//! A snapshot replaces the map only when it is complete and its digest matches. The sender encodes a
//! map once and keeps at most one encoded snapshot per map and form.

use std::time::Duration;

use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;

mod receiver;
mod sender;
mod snapshot_rate;

pub use self::receiver::{
    BrokenCatchUp, CatchUpReceiver, CatchUpRequest, ChunkError, ChunkOutcome,
};
pub use self::sender::{FollowerUpdate, SnapshotSender};
pub use self::snapshot_rate::SnapshotRateLimiter;

/// The most bytes of a snapshot in one message.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// The most bytes of one map's changes in a lease grant.
///
/// The lease comes with the changes and must not wait long behind them on a slow link; a follower
/// that lacks more asks again at once.
pub const GRANT_UPDATE_BYTES: usize = 16 * 1024;
/// How long a peer may take over an answer before another is asked. Each timeout doubles it, so that
/// a path which is slow to all peers still delivers chunks in time.
pub const CHUNK_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest that a peer may take.
pub const MAX_CHUNK_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an encoded snapshot is kept after it was last requested.
pub const SNAPSHOT_IDLE_SPAN: Duration = Duration::from_secs(2);
/// The most weight of changes in one answer, by
/// [`Change::weight`](crate::replicated_map::Change::weight).
pub const UPDATE_WEIGHT: usize = 512;
/// The largest map that a follower takes in chunks, in bytes.
pub const MAX_FOLLOWER_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;
/// How soon the same snapshot is sent again in one message to a follower that did not get it.
pub const FULL_MAP_PERIOD: Duration = Duration::from_secs(1);

messages! {
    /// The progress of a transfer, as the receiver reports it with each request.
    #[derive(Copy, Eq, Default)]
    struct TransferPosition {
        /// Drawn anew for each peer that is asked; chunks with an earlier number are refused.
        0 transfer: u64,
        /// The version of the snapshot that is being received; zero when none is.
        1 version: Version,
        /// How many bytes of it have been received.
        2 offset: u64,
        /// The form in which the receiver wants the map, or the changes.
        #[cbor(default)]
        3 form: FeedForm,
        /// The most bytes of the next chunk; zero for [`CHUNK_BYTES`].
        #[cbor(default)]
        4 max_bytes: u32,
    }

    /// A chunk of one version of one encoded map.
    #[derive(Eq)]
    struct SnapshotChunk {
        0 map: MapName,
        1 version: Version,
        /// The transfer that it was requested for, see [`TransferPosition`].
        2 transfer: u64,
        /// The position of its first byte in the encoded map.
        3 offset: u64,
        /// The length of the encoded map, in bytes.
        4 total: u64,
        /// The digest of the complete encoded map.
        5 digest: u64,
        #[cbor(with = "minicbor::bytes")]
        6 bytes: Vec<u8>,
    }
}
