//! The frame around all data that a controller writes to disk: format number, generation, checksum.
//!
//! | bytes | field |
//! | --- | --- |
//! | 0..4 | magic number, of a slot or of a log line |
//! | 4..6, 6..8 | format number, and its complement |
//! | 8..12 | length of the payload |
//! | 12..16 | log lines: how many bytes of the log were known to be synced when the line was written |
//! | 16..24 | generation |
//! | 24..32 | XXH3 (64 bits) of bytes 0..24 and the payload |
//!
//! Every later format must keep bytes 0..8, so that an older program can detect a file in a format
//! that it does not support.

use std::fmt;

use crate::old_disk_format::read_old_frame;

/// The format that is written. Format 1 had no format number, see
/// [`old_disk_format`](crate::old_disk_format). Format 2 has the same frames, and its logs contain no
/// deregistrations.
pub const DISK_FORMAT: u16 = 3;
/// The earliest format with a format number.
const FIRST_NUMBERED_FORMAT: u16 = 2;

const SLOT_MAGIC: u32 = 0x4341_5346;
const LINE_MAGIC: u32 = 0x4341_4c46;
const CHECKED_HEADER_BYTES: usize = 24;

/// The length in bytes of the header before the payload of a frame.
pub const FRAME_HEADER_BYTES: usize = 32;

/// The number of a slot write. The log lines after a slot have the generation of that slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Generation(pub u64);

impl Generation {
    /// No slot has been written yet.
    pub const NONE: Generation = Generation(0);

    /// Returns the generation after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns whether this generation is written to the second slot.
    pub fn is_in_second_slot(self) -> bool {
        self.0.is_multiple_of(2)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The kind of a frame; each kind has its own magic number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// The complete state.
    Slot,
    /// One record, or the header of a log.
    LogLine,
}

/// A frame that was read and whose checksum matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiskFrame<'a> {
    /// The generation with which it was written.
    pub generation: Generation,
    /// The payload of the frame.
    pub payload: &'a [u8],
    /// The length on disk, including the header.
    pub length: usize,
    /// For log lines, how many bytes of the log were known to be synced; `None` in format 1.
    pub synced_before: Option<u64>,
    /// The format in which it was written.
    pub format: u16,
}

impl DiskFrame<'_> {
    /// Returns whether an earlier release wrote it, in a format that is no longer written.
    pub fn has_old_format(&self) -> bool {
        self.format != DISK_FORMAT
    }
}

impl FrameKind {
    fn magic(self) -> u32 {
        match self {
            FrameKind::Slot => SLOT_MAGIC,
            FrameKind::LogLine => LINE_MAGIC,
        }
    }
}

/// Reads the little-endian 32-bit number at an offset; `None` beyond the end.
pub(crate) fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let number = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(number.try_into().ok()?))
}

/// Reads the little-endian 64-bit number at an offset; `None` beyond the end.
pub(crate) fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let number = bytes.get(offset..offset + 8)?;
    Some(u64::from_le_bytes(number.try_into().ok()?))
}

/// Returns the digest by which a damaged snapshot is detected.
pub fn content_digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

fn frame_checksum(header: &[u8], payload: &[u8]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(header);
    hasher.update(payload);
    hasher.digest()
}

/// Encodes a frame around a payload, in the current format.
pub fn write_frame(
    kind: FrameKind,
    generation: Generation,
    synced_before: u64,
    payload: &[u8],
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend(kind.magic().to_le_bytes());
    bytes.extend(DISK_FORMAT.to_le_bytes());
    bytes.extend((!DISK_FORMAT).to_le_bytes());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend((synced_before as u32).to_le_bytes());
    bytes.extend(generation.0.to_le_bytes());
    let checksum = frame_checksum(&bytes, payload);
    bytes.extend(checksum.to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Returns the format number at the start of `bytes`, if a frame with a format number begins there.
///
/// The number is stored with its complement, so that a damaged byte is reported as damage and not as
/// a format of a later release.
fn format_at(kind: FrameKind, bytes: &[u8]) -> Option<u16> {
    let numbers = read_u32(bytes, 4).filter(|_| read_u32(bytes, 0) == Some(kind.magic()))?;
    let (format, complement) = (numbers as u16, (numbers >> 16) as u16);
    (format == !complement).then_some(format)
}

fn is_numbered_format(format: u16) -> bool {
    (FIRST_NUMBERED_FORMAT..=DISK_FORMAT).contains(&format)
}

/// Returns the format number of the frame at the start of `bytes` if this program cannot read it.
pub fn unknown_format_at(kind: FrameKind, bytes: &[u8]) -> Option<u16> {
    format_at(kind, bytes).filter(|format| !is_numbered_format(*format))
}

/// Reads the frame at the start of `bytes`, in any supported format; `None` if it is torn or damaged.
pub fn read_frame(kind: FrameKind, bytes: &[u8]) -> Option<DiskFrame<'_>> {
    let numbered = format_at(kind, bytes).filter(|format| is_numbered_format(*format));
    let Some(format) = numbered else {
        return read_old_frame(kind, bytes);
    };
    let length = read_u32(bytes, 8)? as usize;
    let end = FRAME_HEADER_BYTES.checked_add(length)?;
    let payload = bytes.get(FRAME_HEADER_BYTES..end)?;
    let checksum = frame_checksum(&bytes[..CHECKED_HEADER_BYTES], payload);
    let is_intact = read_u64(bytes, CHECKED_HEADER_BYTES)? == checksum;
    is_intact.then_some(DiskFrame {
        generation: Generation(read_u64(bytes, 16)?),
        payload,
        length: end,
        synced_before: Some(u64::from(read_u32(bytes, 12)?)),
        format,
    })
}
