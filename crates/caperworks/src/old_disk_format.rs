//! Disk format 1, which earlier releases wrote without a format number; supported for reading only.
//!
//! A frame consists of a magic number, the payload length, the generation, a checksum, and the
//! payload. The checksum is specific to this format and covers the payload, its length and the
//! generation.

use crate::disk_frame::{read_u32, read_u64, DiskFrame, FrameKind, Generation};
use crate::identifiers::mix;

const SLOT_MAGIC: u32 = 0x4341_5053;
const LINE_MAGIC: u32 = 0x4341_504c;
const HEADER_BYTES: usize = 24;

/// Reads the format 1 frame at the start of `bytes`; `None` if it is torn or damaged.
pub fn read_old_frame(kind: FrameKind, bytes: &[u8]) -> Option<DiskFrame<'_>> {
    let magic = match kind {
        FrameKind::Slot => SLOT_MAGIC,
        FrameKind::LogLine => LINE_MAGIC,
    };
    if bytes.len() < HEADER_BYTES || read_u32(bytes, 0)? != magic {
        return None;
    }
    let length = read_u32(bytes, 4)? as usize;
    let generation = read_u64(bytes, 8)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    let is_intact = read_u64(bytes, 16)? == checksum(payload, generation ^ length as u64);
    is_intact.then_some(DiskFrame {
        generation: Generation(generation),
        payload,
        length: HEADER_BYTES + length,
        synced_before: None,
        format: 1,
    })
}

/// Returns the checksum of format 1.
fn checksum(bytes: &[u8], seed: u64) -> u64 {
    let mut value = 0xcbf2_9ce4_8422_2325 ^ mix(seed);
    for chunk in bytes.chunks(8) {
        let mut word = [0_u8; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        value = mix(value ^ u64::from_le_bytes(word)).wrapping_add(chunk.len() as u64);
    }
    value
}
