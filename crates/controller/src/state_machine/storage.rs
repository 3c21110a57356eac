//! Writes to disk, and the outputs that must not leave before a write is synced.
//!
//! Invariant: a message that promises something, such as a vote, leaves only after what it promises is
//! on disk. So each write carries the outputs that depend on it, and a failed write drops them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::state::{ControllerState, StoredState};
use crate::state_machine::event::Event;
use crate::state_machine::output::ControllerOutput;
use caperworks::consensus::messages::Record;
use caperworks::identifiers::Version;
use caperworks::slots::{DiskWrite, SlotDisk};

/// How long after a failed write a complete slot is tried.
const WRITE_RETRY_PERIOD: Duration = Duration::from_secs(1);

/// A write that is not synced yet.
struct PendingWrite {
    ticket: u64,
    /// The versions of all maps that the write brings to disk.
    versions: Vec<Version>,
    /// What may leave once the write is synced.
    outputs: Vec<ControllerOutput>,
}

/// The disk as the state machine sees it: what is written, in flight and synced.
pub struct Storage {
    disk: SlotDisk,
    /// The ticket of the last write.
    last_ticket: u64,
    /// The writes in flight, oldest first.
    pending: VecDeque<PendingWrite>,
    /// The versions that a restart would find on the disk.
    synced_versions: Vec<Version>,
    /// The disk refused a write: no votes are given until a complete slot is written.
    is_failing: bool,
    retry_at: Duration,
    /// The last write of a complete slot, until it is synced.
    unsynced_slot: Option<u64>,
    /// The write that brings the last snapshot that was received to disk, until it is synced.
    unsynced_snapshot: Option<u64>,
}

impl Storage {
    /// Storage over a disk that was recovered.
    pub fn new(disk: SlotDisk) -> Self {
        Self {
            disk,
            last_ticket: 0,
            pending: VecDeque::new(),
            synced_versions: Vec::new(),
            is_failing: false,
            retry_at: Duration::ZERO,
            unsynced_slot: None,
            unsynced_snapshot: None,
        }
    }

    /// Whether the disk refused a write that was not made up for by a complete slot.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The length of the log, in bytes.
    pub fn log_length(&self) -> u64 {
        self.disk.log_length()
    }

    /// Whether a snapshot was received whose write is not synced.
    pub fn has_unsynced_snapshot(&self) -> bool {
        self.unsynced_snapshot.is_some()
    }

    /// The versions that a restart would find on the disk.
    pub fn synced_versions(&self) -> &[Version] {
        &self.synced_versions
    }

    /// Records that these versions are on the disk.
    pub fn mark_synced(&mut self, versions: Vec<Version>) {
        self.synced_versions = versions;
    }

    /// Ends all writes up to a ticket; gives what may leave now.
    fn complete_writes(&mut self, ticket: u64) -> Vec<ControllerOutput> {
        let mut released = Vec::new();
        while let Some(write) = self.pending.pop_front_if(|write| write.ticket <= ticket) {
            self.synced_versions = write.versions;
            released.extend(write.outputs);
        }
        self.unsynced_slot.take_if(|slot| *slot <= ticket);
        self.unsynced_snapshot.take_if(|write| *write <= ticket);
        self.disk.synced(ticket);
        released
    }

    /// Drops all writes in flight: what was to be written after a lost line has a gap before it.
    fn fail_writes(&mut self, ticket: u64) {
        let lost_slot = self.unsynced_slot.take_if(|slot| *slot >= ticket);
        if lost_slot.is_some() {
            self.disk.retry_same_slot();
        }
        self.pending.clear();
        self.last_ticket += 1;
    }
}

/// A write is synced: lets the outputs leave that waited for it.
pub(super) fn handle_synced(state: &mut ControllerState, ticket: u64) {
    let released = state.storage.complete_writes(ticket);
    state.outputs.extend(released);
    let storage = &mut state.storage;
    if storage.is_failing && ticket == storage.last_ticket {
        storage.is_failing = false;
        state.log_event(Event::DiskRecovered);
    }
}

/// A write failed: drops what waited for it, and stops voting until a complete slot is written.
pub(super) fn handle_write_failed(state: &mut ControllerState, ticket: u64) {
    let storage = &mut state.storage;
    storage.fail_writes(ticket);
    storage.retry_at = state.now + WRITE_RETRY_PERIOD;
    if !storage.is_failing {
        storage.is_failing = true;
        state.log_event(Event::DiskWriteFailed);
    }
}

/// After a failed write: writes a complete slot when that is due.
pub(super) fn retry_failed_write(state: &mut ControllerState) {
    if state.storage.is_failing && state.now >= state.storage.retry_at {
        state.storage.retry_at = state.now + WRITE_RETRY_PERIOD;
        state.write_slot(Vec::new());
    }
}

impl ControllerState {
    /// The complete state as it is written to a slot.
    fn encode_state(&self) -> Vec<u8> {
        let stored = StoredState {
            node: self.node,
            replicas: self.voter.replicas().to_vec(),
            founding: self.founding.proposed.clone(),
        };
        // Encoding these types into memory cannot fail.
        minicbor::to_vec(stored).expect("state encodes")
    }

    /// Writes a complete slot; the outputs leave once it is synced.
    ///
    /// A state that is too large for a slot is not written, since a slot cut short would lose everything;
    /// the disk then counts as failing, and the outputs never leave.
    pub fn write_slot(&mut self, outputs: Vec<ControllerOutput>) {
        let encoded = self.encode_state();
        if !self.storage.disk.fits_slot(encoded.len()) {
            self.storage.is_failing = true;
            let event = Event::StateTooLarge {
                bytes: encoded.len() as u64,
            };
            self.log_event(event);
            return;
        }
        let writes = self.storage.disk.rewrite(&encoded).to_vec();
        self.begin_write(writes, outputs);
        self.storage.unsynced_slot = Some(self.storage.last_ticket);
    }

    /// Writes a complete slot with a snapshot that was received.
    ///
    /// Until it is synced, the snapshot does not count as held by this node.
    pub fn write_snapshot(&mut self, outputs: Vec<ControllerOutput>) {
        let ticket = self.storage.last_ticket + 1;
        self.write_slot(outputs);
        if !self.injects(FaultInjection::UnsyncedSnapshot) {
            self.storage.unsynced_snapshot = Some(ticket);
        }
    }

    /// Appends records to the log, or writes a complete slot when the log is full; the outputs leave once
    /// that is synced.
    ///
    /// While the disk is failing nothing is written and the outputs are dropped: the log has a gap, and
    /// the slot that makes up for it holds the records too.
    pub fn write_records(&mut self, records: &[Record], outputs: Vec<ControllerOutput>) {
        if self.storage.is_failing {
            return;
        }
        let lines: Vec<Vec<u8>> = records
            .iter()
            .map(|record| minicbor::to_vec(record).expect("records encode"))
            .collect();
        match self.storage.disk.append(&lines) {
            Some(write) => self.begin_write(vec![write], outputs),
            None => self.write_slot(outputs),
        }
    }

    /// Begins a write; the outputs leave once it is synced.
    fn begin_write(&mut self, writes: Vec<DiskWrite>, mut outputs: Vec<ControllerOutput>) {
        let versions = self.versions();
        let leaves_at_once = self.injects(FaultInjection::UnsyncedVotes);
        let storage = &mut self.storage;
        storage.last_ticket += 1;
        let ticket = storage.last_ticket;
        storage.disk.record_write(ticket);
        self.outputs
            .push(ControllerOutput::Write { ticket, writes });
        if leaves_at_once {
            self.outputs.append(&mut outputs);
        }
        storage.pending.push_back(PendingWrite {
            ticket,
            versions,
            outputs,
        });
    }
}
