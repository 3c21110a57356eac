//! Simulated disks: unsynced writes, and writes torn by a power loss.

use std::collections::VecDeque;

use caperworks::identifiers::RandomSource;
use caperworks::slots::{DiskImage, DiskWrite};

/// The disk of one controller: its synced content and the writes that are not synced yet.
#[derive(Debug, Clone, Default)]
pub struct SimDisk {
    pub synced: DiskImage,
    pub unsynced: VecDeque<(u64, Vec<DiskWrite>)>,
    pub fails_writes: bool,
}

fn write_at(bytes: &mut Vec<u8>, offset: usize, written: &[u8]) {
    if bytes.len() < offset + written.len() {
        bytes.resize(offset + written.len(), 0);
    }
    bytes[offset..offset + written.len()].copy_from_slice(written);
}

impl SimDisk {
    fn apply_write(&mut self, write: &DiskWrite, length: usize) {
        match write {
            DiskWrite::Slot { second, bytes } => {
                write_at(
                    &mut self.synced.slots[usize::from(*second)],
                    0,
                    &bytes[..length],
                );
            }
            DiskWrite::Log { offset, bytes } => {
                write_at(&mut self.synced.log, *offset as usize, &bytes[..length]);
            }
        }
    }

    /// Syncs all writes up to a ticket.
    pub fn sync(&mut self, ticket: u64) {
        while self
            .unsynced
            .front()
            .is_some_and(|(first, _)| *first <= ticket)
        {
            if let Some((_, writes)) = self.unsynced.pop_front() {
                for write in writes {
                    let length = write_length(&write);
                    self.apply_write(&write, length);
                }
            }
        }
    }

    /// The process ended while the machine goes on running: all writes are kept.
    pub fn on_process_exit(&mut self) {
        self.sync(u64::MAX);
    }

    /// The power was lost: a prefix of the unsynced writes is kept, the last of them possibly torn.
    pub fn on_power_loss(&mut self, random: &mut RandomSource) {
        let writes: Vec<DiskWrite> = self
            .unsynced
            .drain(..)
            .flat_map(|(_, writes)| writes)
            .collect();
        let kept = random.below(writes.len() as u64 + 1) as usize;
        for (index, write) in writes.iter().enumerate() {
            if index < kept {
                self.apply_write(write, write_length(write));
            } else if index == kept {
                let kept_bytes = random.below(write_length(write) as u64 + 1) as usize;
                self.apply_write(write, kept_bytes);
            }
        }
    }
}

fn write_length(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Slot { bytes, .. } | DiskWrite::Log { bytes, .. } => bytes.len(),
    }
}
