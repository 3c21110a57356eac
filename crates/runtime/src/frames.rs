//! Frames on a control connection: a length of four bytes, and an envelope in `minicbor`.

use std::io;
use std::time::{Duration, Instant};

use caperworks::messages::Envelope;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::progress_watch::ProgressWatch;

/// The maximum length of a frame.
const MAX_FRAME_BYTES: usize = 24 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// A connection is closed if the peer accepts no byte of a frame for this long.
const WRITE_PROGRESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Invalid data on a connection, which its reader then closes.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("invalid frame length of {0} bytes")]
    Length(usize),
    #[error("{0}")]
    Encoding(#[from] minicbor::decode::Error),
    #[error("trailing bytes after the message in a frame")]
    TrailingBytes,
}

/// What was read from a connection.
pub enum FrameRead {
    Envelope(Box<Envelope>),
    /// Bytes of a frame that is still incomplete some time after its first byte.
    Partial,
}

/// Reads the frames of one connection until the peer closes or resets it.
///
/// Fails on bytes that are not a valid frame; the connection must then be closed, as nothing after them can be
/// read.
pub async fn read_frames(
    stream: OwnedReadHalf,
    mut handler: impl FnMut(FrameRead),
) -> Result<(), FrameError> {
    let mut reader = BufReader::new(stream);
    loop {
        // A peer may close the connection or exit between frames, which is not an error.
        let Ok(length) = reader.read_u32().await else {
            return Ok(());
        };
        let length = length as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(FrameError::Length(length));
        }
        let mut bytes = vec![0; length];
        if !fill(&mut reader, &mut bytes, &mut handler).await {
            return Ok(());
        }
        handler(FrameRead::Envelope(Box::new(decode(&bytes)?)));
    }
}

fn decode(bytes: &[u8]) -> Result<Envelope, FrameError> {
    let mut decoder = minicbor::Decoder::new(bytes);
    let envelope: Envelope = decoder.decode()?;
    if decoder.position() != bytes.len() {
        return Err(FrameError::TrailingBytes);
    }
    Ok(envelope)
}

/// Reads until the buffer is full; returns whether it is.
async fn fill(
    reader: &mut BufReader<OwnedReadHalf>,
    bytes: &mut [u8],
    handler: &mut impl FnMut(FrameRead),
) -> bool {
    let mut watch = ProgressWatch::begin(Instant::now());
    let mut filled = 0;
    while filled < bytes.len() {
        match reader.read(&mut bytes[filled..]).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => filled += count,
        }
        if filled < bytes.len() && watch.bytes_received(Instant::now()) {
            handler(FrameRead::Partial);
        }
    }
    true
}

/// Writes one frame. Fails if the connection fails, or if the peer accepts nothing within
/// `WRITE_PROGRESS_TIMEOUT`.
pub async fn write_frame(stream: &mut OwnedWriteHalf, envelope: &[u8]) -> io::Result<()> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + envelope.len());
    frame.extend_from_slice(&(envelope.len() as u32).to_be_bytes());
    frame.extend_from_slice(envelope);
    let mut written = 0;
    while written < frame.len() {
        let writing = stream.write(&frame[written..]);
        let count = tokio::time::timeout(WRITE_PROGRESS_TIMEOUT, writing).await??;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        written += count;
    }
    Ok(())
}
