//! Disk: two slots written in turn, with a short log between.
//!
//! A slot holds the whole state under a generation; the log holds what came after it, each line
//! under the same generation. All three lie in zones of a fixed size that are laid out before
//! use, so a full disk cannot take away the room to vote. Nothing counts until synced.

use crate::prelude::*;

pub const SLOT_MAGIC: u32 = 0x4341_5053;
pub const LINE_MAGIC: u32 = 0x4341_504c;
const SLOT_HEADER: usize = 24;
const LINE_HEADER: usize = 24;

/// What the host is to write, and to sync before it says so.
#[derive(Debug, Clone, PartialEq)]
pub enum DiskWrite {
    Slot { second: bool, bytes: Vec<u8> },
    Log { offset: u64, bytes: Vec<u8> },
}

/// The bytes found on disk at the start.
#[derive(Debug, Clone, Default)]
pub struct DiskImage {
    pub slots: [Vec<u8>; 2],
    pub log: Vec<u8>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Recovery {
    /// Nothing was ever written here.
    Empty,
    Found {
        state: Vec<u8>,
        lines: Vec<Vec<u8>>,
    },
    /// What was synced is not all there: the node must not vote on the strength of it.
    Damaged(String),
}

/// The layout's state machine.
#[derive(Debug, Clone)]
pub struct SlotDisk {
    generation: u64,
    log_length: u64,
    log_room: u64,
    slot_room: u64,
}

fn checksum(bytes: &[u8], seed: u64) -> u64 {
    let mut value = 0xcbf2_9ce4_8422_2325 ^ mix(seed);
    for chunk in bytes.chunks(8) {
        let mut word = [0_u8; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        value = mix(value ^ u64::from_le_bytes(word)).wrapping_add(chunk.len() as u64);
    }
    value
}

fn number_at(bytes: &[u8], offset: usize) -> u64 {
    let mut word = [0_u8; 8];
    if let Some(found) = bytes.get(offset..offset + 8) {
        word.copy_from_slice(found);
    }
    u64::from_le_bytes(word)
}

fn framed(magic: u32, generation: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SLOT_HEADER + payload.len());
    bytes.extend(magic.to_le_bytes());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(checksum(payload, generation ^ payload.len() as u64).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// Reads one framed stretch: its generation and payload, if it is whole.
fn unframed(magic: u32, bytes: &[u8]) -> Option<(u64, &[u8])> {
    let head = number_at(bytes, 0);
    if bytes.len() < SLOT_HEADER || head as u32 != magic {
        return None;
    }
    let length = (head >> 32) as usize;
    let generation = number_at(bytes, 8);
    let payload = bytes.get(SLOT_HEADER..SLOT_HEADER.checked_add(length)?)?;
    let good = number_at(bytes, 16) == checksum(payload, generation ^ length as u64);
    good.then_some((generation, payload))
}

impl SlotDisk {
    pub fn new(slot_room: u64, log_room: u64) -> Self {
        Self {
            generation: 0,
            log_length: 0,
            log_room,
            slot_room,
        }
    }

    /// Whether a state of this size fits a slot.
    pub fn slot_fits(&self, length: usize) -> bool {
        (length + SLOT_HEADER) as u64 <= self.slot_room
    }

    /// Makes sense of what lies on disk.
    pub fn recover(&mut self, image: &DiskImage) -> Recovery {
        let blank = |bytes: &[u8]| bytes.iter().all(|byte| *byte == 0);
        let slots = [
            unframed(SLOT_MAGIC, &image.slots[0]),
            unframed(SLOT_MAGIC, &image.slots[1]),
        ];
        let first_line = unframed(LINE_MAGIC, &image.log);
        let newest = slots
            .iter()
            .flatten()
            .max_by_key(|(generation, _)| *generation);
        let Some((generation, state)) = newest else {
            return if image.slots.iter().all(|slot| blank(slot)) && blank(&image.log) {
                Recovery::Empty
            } else if first_line.is_none() && image.slots.iter().any(|slot| blank(slot)) {
                // Why this is no damage: the very first slot was cut off while it was written,
                // and without a log line nothing was ever said on the strength of it.
                Recovery::Empty
            } else {
                Recovery::Damaged("neither slot is whole".to_string())
            };
        };
        let spoiled = slots
            .iter()
            .zip(&image.slots)
            .any(|(slot, bytes)| slot.is_none() && !blank(bytes));
        match first_line {
            // Why: the log went on from a later slot than the best one left, so that one is lost.
            Some((log_generation, _)) if log_generation > *generation => {
                return Recovery::Damaged(format!(
                    "the log follows slot {log_generation}, the best slot left is {generation}"
                ));
            }
            None if spoiled => {
                return Recovery::Damaged("a slot and the log's head are spoiled".to_string());
            }
            _ => {}
        }
        let mut lines = Vec::new();
        let mut offset = 0;
        while let Some((line_generation, payload)) = image
            .log
            .get(offset..)
            .and_then(|rest| unframed(LINE_MAGIC, rest))
        {
            if line_generation != *generation {
                break;
            }
            offset += LINE_HEADER + payload.len();
            if !payload.is_empty() {
                lines.push(payload.to_vec());
            }
        }
        // Why look beyond the break: a torn tail is the end of what was written, but a whole line
        // after a broken one means that something synced has rotted.
        let mut ahead = offset + 1;
        while ahead + LINE_HEADER <= image.log.len() {
            let rest = &image.log[ahead..];
            if rest[..4] == LINE_MAGIC.to_le_bytes()
                && unframed(LINE_MAGIC, rest)
                    .is_some_and(|(line_generation, _)| line_generation == *generation)
            {
                return Recovery::Damaged(format!("the log is broken at byte {offset}"));
            }
            ahead += 1;
        }
        self.generation = *generation;
        self.log_length = offset as u64;
        Recovery::Found {
            state: state.to_vec(),
            lines,
        }
    }

    /// After damage: goes on above every generation that can still be read, so that what is left
    /// of the old state can never pass for the newest.
    pub fn skip_generations(&mut self, image: &DiskImage) {
        let seen = [
            unframed(SLOT_MAGIC, &image.slots[0]),
            unframed(SLOT_MAGIC, &image.slots[1]),
            unframed(LINE_MAGIC, &image.log),
        ];
        let highest = seen
            .iter()
            .flatten()
            .map(|(generation, _)| *generation)
            .max();
        self.generation = highest.unwrap_or(0) + 1;
        self.log_length = self.log_room;
    }

    /// The last rewrite failed: the next one must go to the same slot, because the other one may
    /// hold the only whole state.
    pub fn same_slot_again(&mut self) {
        self.generation += 1;
    }

    /// Adds lines to the log; none when there is no room left and a slot is due.
    pub fn append(&mut self, lines: &[Vec<u8>]) -> Option<DiskWrite> {
        let mut bytes = Vec::new();
        for line in lines {
            bytes.extend(framed(LINE_MAGIC, self.generation, line));
        }
        if self.generation == 0 || self.log_length + bytes.len() as u64 > self.log_room {
            return None;
        }
        let offset = self.log_length;
        self.log_length += bytes.len() as u64;
        Some(DiskWrite::Log { offset, bytes })
    }

    /// Writes the whole state into the other slot, and starts the log anew once that is synced.
    ///
    /// The two writes must be carried out and synced in this order.
    pub fn rewrite(&mut self, state: &[u8]) -> [DiskWrite; 2] {
        self.generation += 1;
        let head = framed(LINE_MAGIC, self.generation, &[]);
        self.log_length = head.len() as u64;
        [
            DiskWrite::Slot {
                second: self.generation.is_multiple_of(2),
                bytes: framed(SLOT_MAGIC, self.generation, state),
            },
            DiskWrite::Log {
                offset: 0,
                bytes: head,
            },
        ]
    }
}
