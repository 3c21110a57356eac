//! Catch-up of replicas that are behind, by missing changes or by snapshots in chunks.
//!
//! The receiver has at most one transfer in progress per map, with one peer at a time. It sends
//! [`ConsensusMessage::CatchUp`](crate::consensus::messages::ConsensusMessage::CatchUp) and receives
//! either the missing changes, a bounded number at a time, or a snapshot in chunks of at most
//! [`CHUNK_BYTES`], each requested when the previous one has arrived. After a timeout the receiver
//! switches to another peer, and keeps the chunks received so far if that peer has the same version.
//! A snapshot replaces the map only when it is complete and its digest matches. The sender encodes a
//! map once, and keeps at most one encoded snapshot per map and form.

use std::time::Duration;

use crate::identifiers::Version;
use crate::reduced_map::FeedForm;
use crate::replicated_map::MapName;

mod receiver;
mod sender;
mod snapshot_rate;

pub use self::receiver::{CatchUpFault, CatchUpReceiver, CatchUpRequest, ChunkError, ChunkOutcome};
pub use self::sender::{FollowerUpdate, SnapshotSender};
pub use self::snapshot_rate::SnapshotRateLimiter;

/// The maximum number of snapshot bytes in one message.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// The maximum number of bytes of one map's changes in a lease grant.
///
/// The lease is sent together with the changes and must not be delayed by them on a slow link. A
/// follower that is missing more changes requests them immediately.
pub const MAX_GRANT_UPDATE_BYTES: usize = 16 * 1024;
/// How long to wait for a response before switching to another peer. Each timeout doubles it, so that
/// chunks still arrive in time when the path to every peer is slow.
pub const CHUNK_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum of the doubled [`CHUNK_TIMEOUT`].
pub const MAX_CHUNK_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an encoded snapshot is kept after it was last requested.
pub const SNAPSHOT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum total weight of the changes in one response, as returned by
/// [`Change::weight`](crate::replicated_map::Change::weight).
pub const MAX_UPDATE_WEIGHT: usize = 512;
/// The largest snapshot in bytes that a follower accepts in chunks.
pub const MAX_FOLLOWER_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;
/// The minimum interval between full snapshots of the same map in one message to the same follower.
pub const MIN_FULL_MAP_INTERVAL: Duration = Duration::from_secs(1);

messages! {
    /// The progress of a transfer, as the receiver reports it with each request.
    #[derive(Copy, Eq, Default)]
    struct TransferPosition {
        /// The transfer number, a new one for each peer; chunks with an earlier number are rejected.
        0 transfer: u64,
        /// The version of the snapshot that is being received; zero when none is.
        1 version: Version,
        /// How many bytes of the snapshot have been received.
        2 offset: u64,
        /// The form in which the receiver requests the map or the changes.
        #[cbor(default)]
        3 form: FeedForm,
        /// The maximum length of the next chunk in bytes; zero means [`CHUNK_BYTES`].
        #[cbor(default)]
        4 max_bytes: u32,
    }

    /// A chunk of an encoded map at one version.
    #[derive(Eq)]
    struct SnapshotChunk {
        0 map: MapName,
        1 version: Version,
        /// The transfer for which it was requested, see [`TransferPosition`].
        2 transfer: u64,
        /// The offset of its first byte in the encoded map.
        3 offset: u64,
        /// The length of the encoded map in bytes.
        4 total: u64,
        /// The digest of the complete encoded map.
        5 digest: u64,
        #[cbor(with = "minicbor::bytes")]
        6 bytes: Vec<u8>,
    }
}
