//! The simulated disks: unsynced writes, and writes cut off by a loss of power.

use std::collections::VecDeque;

use caperworks::identifiers::RandomSource;
use caperworks::slots::{DiskImage, DiskWrite};

/// One controller's disk: what is synced, and what is written but not synced.
#[derive(Debug, Clone, Default)]
pub struct SimDisk {
    pub synced: DiskImage,
    pub unsynced: VecDeque<(u64, Vec<DiskWrite>)>,
    pub refuses: bool,
}

fn lay(bytes: &mut Vec<u8>, offset: usize, part: &[u8]) {
    if bytes.len() < offset + part.len() {
        bytes.resize(offset + part.len(), 0);
    }
    bytes[offset..offset + part.len()].copy_from_slice(part);
}

impl SimDisk {
    fn carry_out(&mut self, write: &DiskWrite, length: usize) {
        match write {
            DiskWrite::Slot { second, bytes } => {
                lay(
                    &mut self.synced.slots[usize::from(*second)],
                    0,
                    &bytes[..length],
                );
            }
            DiskWrite::Log { offset, bytes } => {
                lay(&mut self.synced.log, *offset as usize, &bytes[..length]);
            }
        }
    }

    /// Syncs everything up to a ticket.
    pub fn sync(&mut self, ticket: u64) {
        while self
            .unsynced
            .front()
            .is_some_and(|(first, _)| *first <= ticket)
        {
            if let Some((_, writes)) = self.unsynced.pop_front() {
                for write in writes {
                    let length = write_length(&write);
                    self.carry_out(&write, length);
                }
            }
        }
    }

    /// The process ended but the machine did not: all that was written is kept.
    pub fn process_ended(&mut self) {
        self.sync(u64::MAX);
    }

    /// The power went: a part of what was not synced may be there, cut off anywhere.
    pub fn power_lost(&mut self, chance: &mut RandomSource) {
        let writes: Vec<DiskWrite> = self
            .unsynced
            .drain(..)
            .flat_map(|(_, writes)| writes)
            .collect();
        let kept = chance.below(writes.len() as u64 + 1) as usize;
        for (index, write) in writes.iter().enumerate() {
            if index < kept {
                self.carry_out(write, write_length(write));
            } else if index == kept {
                let cut = chance.below(write_length(write) as u64 + 1) as usize;
                self.carry_out(write, cut);
            }
        }
    }
}

fn write_length(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Slot { bytes, .. } | DiskWrite::Log { bytes, .. } => bytes.len(),
    }
}
