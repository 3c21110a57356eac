//! The on-disk layout of a controller: two slots that are written alternately, and a write-ahead log.
//!
//! A slot contains the complete state at one generation; the log contains the records after it, each
//! with the same generation. All three files have a fixed size and are preallocated, so that a full
//! disk cannot prevent a controller from voting. Data counts only once it is synced.
//!
//! [`SlotDisk`] does no I/O: it returns writes for the host to perform, and is notified when they have
//! been synced. Recovery at start is in `recovery`.

use std::collections::VecDeque;

use crate::disk_frame::{write_frame, FrameKind, Generation, FRAME_HEADER_BYTES};

mod image;
mod log_contents;
mod recovery;

pub use self::image::{DiskFile, DiskImage, UnknownFormat};
pub use self::recovery::{DiskDamage, Recovery};

/// A write for the host to perform and sync, and then to report with [`SlotDisk::record_sync`].
#[derive(Debug, Clone, PartialEq)]
pub enum DiskWrite {
    /// Replaces the contents of a slot.
    Slot {
        /// Whether it is the second slot.
        second: bool,
        /// The frame to write at the slot's start.
        bytes: Vec<u8>,
    },
    /// Writes to the log.
    Log {
        /// The position in the file, in bytes.
        offset: u64,
        /// One or more frames.
        bytes: Vec<u8>,
    },
}

/// The state machine of the on-disk layout.
#[derive(Debug, Clone)]
pub struct SlotDisk {
    /// The generation of the newest slot.
    generation: Generation,
    log_length: u64,
    /// How many bytes of the log are known to be synced.
    log_synced: u64,
    /// For each write that is not known to be synced: its ticket, and the length of the log after it.
    log_writes: VecDeque<(u64, u64)>,
    log_capacity: u64,
    slot_capacity: u64,
}

impl SlotDisk {
    /// Creates the state of a blank disk with slots and a log of these sizes in bytes.
    pub fn new(slot_capacity: u64, log_capacity: u64) -> Self {
        Self {
            generation: Generation::NONE,
            log_length: 0,
            log_synced: 0,
            log_writes: VecDeque::new(),
            log_capacity,
            slot_capacity,
        }
    }

    /// Returns whether a state of this many bytes fits into a slot.
    pub fn fits_slot(&self, length: usize) -> bool {
        (length + FRAME_HEADER_BYTES) as u64 <= self.slot_capacity
    }

    /// Returns how many bytes of the log have been written.
    pub fn log_length(&self) -> u64 {
        self.log_length
    }

    /// Makes the next rewrite go to the same slot after a rewrite has failed, because the other slot
    /// may contain the only intact state.
    pub fn retry_same_slot(&mut self) {
        self.generation = self.generation.next();
    }

    /// Records the ticket of the write that was just returned to the host.
    pub fn record_write(&mut self, ticket: u64) {
        self.log_writes.push_back((ticket, self.log_length));
    }

    /// Records that the host has synced every write up to this ticket.
    pub fn record_sync(&mut self, ticket: u64) {
        while let Some((written, length)) = self.log_writes.front().copied() {
            if written > ticket {
                return;
            }
            self.log_writes.pop_front();
            self.log_synced = length;
        }
    }

    /// Appends lines to the log. Returns `None` if they do not fit or no slot has been written yet; the
    /// caller must then call [`SlotDisk::rewrite`].
    pub fn append(&mut self, lines: &[Vec<u8>]) -> Option<DiskWrite> {
        let mut bytes = Vec::new();
        for line in lines {
            let synced = self.log_synced;
            bytes.extend(write_frame(
                FrameKind::LogLine,
                self.generation,
                synced,
                line,
            ));
        }
        let is_full = self.log_length + bytes.len() as u64 > self.log_capacity;
        if self.generation == Generation::NONE || is_full {
            return None;
        }
        let offset = self.log_length;
        self.log_length += bytes.len() as u64;
        Some(DiskWrite::Log { offset, bytes })
    }

    /// Writes the complete state to the other slot, and then restarts the log.
    ///
    /// The two writes must be performed and synced in this order, because the header of the new log
    /// certifies that its slot is complete. Tickets of writes to the previous log are discarded.
    pub fn rewrite(&mut self, state: &[u8]) -> [DiskWrite; 2] {
        self.generation = self.generation.next();
        let header = write_frame(FrameKind::LogLine, self.generation, 0, &[]);
        self.log_length = header.len() as u64;
        self.log_synced = 0;
        self.log_writes.clear();
        [
            DiskWrite::Slot {
                second: self.generation.is_in_second_slot(),
                bytes: write_frame(FrameKind::Slot, self.generation, 0, state),
            },
            DiskWrite::Log {
                offset: 0,
                bytes: header,
            },
        ]
    }
}
