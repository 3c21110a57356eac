//! Recovery at start: finds the newest intact slot and the log lines after it, or detects that synced
//! data has been lost.
//!
//! Invariant of this module: synced data is either recovered completely or reported as damaged. A
//! controller that voted after losing synced data could help to commit two changes under one version.

use thiserror::Error;

use crate::disk_frame::{read_frame, FrameKind, Generation};
use crate::slots::image::{DiskImage, UnknownFormat};
use crate::slots::log_contents::{LogContents, LogTail};
use crate::slots::SlotDisk;

/// The result of recovery.
#[derive(Debug, Clone, PartialEq)]
pub enum Recovery {
    /// Nothing has ever been synced to this disk.
    Empty,
    /// The state in the newest slot, and the log records after it, in order.
    Found {
        /// The payload of the slot.
        state: Vec<u8>,
        /// The payloads of the log lines.
        lines: Vec<Vec<u8>>,
    },
    /// Synced data is missing or damaged: the node must not vote on the basis of this state.
    Damaged(DiskDamage),
}

/// The reason why the data on disk cannot be used. A retry does not help: the controller has to join
/// again with an empty disk, or be started with the release that wrote the data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DiskDamage {
    /// A file was written by a later release.
    #[error("file {} has the unknown format {}", .0.part.file_name(), .0.format)]
    UnknownFormat(UnknownFormat),
    /// Data was written, but no slot is intact.
    #[error("no intact slot found")]
    NoIntactSlot,
    /// The log belongs to a later generation than the newest intact slot.
    #[error("the log has generation {log}, but the newest intact slot has generation {slot}")]
    SlotLost {
        /// The generation of the log.
        log: Generation,
        /// The generation of the newest intact slot.
        slot: Generation,
    },
    /// A slot is damaged, and without an intact log header it is unknown whether it was the newest.
    #[error("a slot and the log header are corrupted")]
    SlotAndLogDamaged,
    /// A log line that was synced is damaged.
    #[error("the log is corrupted at byte {offset}")]
    LogDamaged {
        /// The offset in bytes where the intact lines end.
        offset: usize,
    },
}

impl SlotDisk {
    /// Recovers the state from the contents of the disk; called once at start.
    ///
    /// After [`Recovery::Damaged`], call [`SlotDisk::skip_generations`] before anything is written.
    pub fn recover(&mut self, image: &DiskImage) -> Recovery {
        self.recover_intact(image).unwrap_or_else(Recovery::Damaged)
    }

    fn recover_intact(&mut self, image: &DiskImage) -> Result<Recovery, DiskDamage> {
        if let Some(unknown) = image.unknown_format() {
            return Err(DiskDamage::UnknownFormat(unknown));
        }
        let slots = [
            read_frame(FrameKind::Slot, &image.slots[0]),
            read_frame(FrameKind::Slot, &image.slots[1]),
        ];
        let log = LogContents::read(&image.log);
        let newest = slots.iter().flatten().max_by_key(|slot| slot.generation);
        let Some(newest) = newest else {
            return recover_without_slot(image, &log);
        };
        let generation = newest.generation;
        let has_damaged_slot = slots
            .iter()
            .zip(&image.slots)
            .any(|(slot, bytes)| slot.is_none() && !is_blank(bytes));
        check_newest(generation, log.generation, has_damaged_slot)?;
        // Lines of an older generation are ignored, because the slot was written after them and
        // contains their effect.
        let is_current = log.generation == Some(generation);
        let log = if is_current {
            log
        } else {
            LogContents::empty()
        };
        let tail = log.tail(&image.log, generation);
        if tail == LogTail::SyncedDataLost {
            return Err(DiskDamage::LogDamaged { offset: log.length });
        }
        self.generation = generation;
        // In two cases the log is treated as full, so that a slot is written next. If there are intact
        // unsynced lines after a broken one, a line appended before them would make them valid again.
        // And a log never mixes formats, because an older release would take the lines in the newer
        // format for a torn tail.
        let is_full = tail == LogTail::Unsynced || log.has_old_format || newest.has_old_format();
        self.log_length = if is_full {
            self.log_capacity
        } else {
            log.length as u64
        };
        self.log_synced = log.length as u64;
        Ok(Recovery::Found {
            state: newest.payload.to_vec(),
            lines: log.lines,
        })
    }

    /// Continues after damage with a generation higher than every readable one, so that remains of the
    /// old state can never be taken for the newest.
    pub fn skip_generations(&mut self, image: &DiskImage) {
        let readable = [
            read_frame(FrameKind::Slot, &image.slots[0]),
            read_frame(FrameKind::Slot, &image.slots[1]),
            read_frame(FrameKind::LogLine, &image.log),
        ];
        let highest = readable
            .iter()
            .flatten()
            .map(|frame| frame.generation)
            .max();
        self.generation = highest.unwrap_or(Generation::NONE).next();
        self.log_length = self.log_capacity;
    }
}

fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

/// Decides, without an intact slot, whether nothing was ever synced or all synced data is lost.
///
/// One blank slot and no log line are not damage: power was lost while the very first slot was being
/// written, and nothing had been confirmed on the basis of it.
fn recover_without_slot(image: &DiskImage, log: &LogContents) -> Result<Recovery, DiskDamage> {
    let are_blank = image.slots.iter().all(|slot| is_blank(slot)) && is_blank(&image.log);
    let is_first_torn = log.generation.is_none() && image.slots.iter().any(|slot| is_blank(slot));
    if are_blank || is_first_torn {
        Ok(Recovery::Empty)
    } else {
        Err(DiskDamage::NoIntactSlot)
    }
}

/// Checks that no slot later than the newest intact one can have been synced.
fn check_newest(
    newest: Generation,
    log: Option<Generation>,
    has_damaged_slot: bool,
) -> Result<(), DiskDamage> {
    match log {
        Some(log) if log > newest => Err(DiskDamage::SlotLost { log, slot: newest }),
        None if has_damaged_slot => Err(DiskDamage::SlotAndLogDamaged),
        _ => Ok(()),
    }
}
