//! The reasons for which a snapshot chunk is rejected.

use thiserror::Error;

/// The reason why a chunk was rejected. A rejected chunk is discarded and the transfer continues; if
/// the peer sends no valid chunk within the timeout, the receiver switches to another peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// No transfer of this map is in progress.
    #[error("no transfer of this map is in progress")]
    NotRequested,
    /// It belongs to another transfer, usually an earlier one.
    #[error("chunk belongs to another transfer")]
    OtherTransfer,
    /// It came from a peer to which no request was sent.
    #[error("chunk came from a peer other than the requested one")]
    OtherPeer,
    /// Its version is not newer than the local one, or is older than the one being received.
    #[error("chunk is of an older version")]
    OlderVersion,
    /// It was received before.
    #[error("chunk was already received")]
    Duplicate,
    /// The bytes before it have not arrived.
    #[error("chunk leaves a gap after the bytes received so far")]
    AfterGap,
    /// It is shorter or longer than a chunk at its offset must be.
    #[error("chunk has the wrong length for its offset")]
    WrongLength,
    /// The complete snapshot would exceed the maximum size.
    #[error("snapshot exceeds the maximum size")]
    TooLarge,
    /// Its total length or digest differs from that of the previous chunks.
    #[error("chunk belongs to another snapshot")]
    OtherSnapshot,
    /// All bytes have arrived, but the digest differs.
    #[error("digest of the complete snapshot does not match")]
    WrongDigest,
    /// The digest matches, but the bytes do not decode to a map of this version.
    #[error("complete snapshot does not decode to a map of its version")]
    Unreadable,
}
