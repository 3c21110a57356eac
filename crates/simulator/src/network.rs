//! The simulated network and disks: delay, loss, cuts, unsynced writes, torn writes.

use crate::prelude::*;

/// Which way a cut goes: from one set of places to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Cut {
    pub from: BTreeSet<usize>,
    pub to: BTreeSet<usize>,
}

/// Places whose messages are late, out of order and doubled.
#[derive(Debug, Clone)]
pub struct HttpFault {
    pub places: BTreeSet<usize>,
    pub most: Duration,
    pub doubled_per_thousand: u64,
}

#[derive(Debug, Clone)]
pub struct Network {
    pub same_zone: Duration,
    pub same_region: Duration,
    pub other_region: Duration,
    pub loss_per_thousand: u64,
    pub cuts: Vec<Cut>,
    /// Nodes that hear everything but votes and news of maps, as when one way is stuck.
    pub deaf: BTreeSet<usize>,
    /// Controllers that neither hear nor reach the other voters, but still grant to their followers.
    pub parted: BTreeSet<usize>,
    pub http_faults: Vec<HttpFault>,
}

impl Network {
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .iter()
            .any(|cut| cut.from.contains(&from) && cut.to.contains(&to))
    }

    /// What is muddled about the way between two places.
    pub fn http_fault(&self, from: usize, to: usize) -> Option<&HttpFault> {
        self.http_faults
            .iter()
            .find(|http_fault| http_fault.places.contains(&from) || http_fault.places.contains(&to))
    }
}

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
    pub fn power_lost(&mut self, chance: &mut Chance) {
        let writes: Vec<DiskWrite> = self
            .unsynced
            .drain(..)
            .flat_map(|(_, writes)| writes)
            .collect();
        let kept = chance.below(writes.len() as u64 + 1) as usize;
        for (place, write) in writes.iter().enumerate() {
            if place < kept {
                self.carry_out(write, write_length(write));
            } else if place == kept {
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
