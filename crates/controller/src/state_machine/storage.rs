//! Writes to disk, and the outputs that must not be released before a write is synced.
//!
//! Invariant: a message that makes a promise, such as a vote, is sent only after the promise has been synced
//! to disk. So each write carries the outputs that depend on it, and a failed write drops them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fault_injection::FaultInjection;
use crate::state::{ControllerState, StoredState};
use crate::state_machine::event::Event;
use crate::state_machine::output::ControllerOutput;
use caperworks::consensus::messages::Record;
use caperworks::identifiers::{InstanceId, Version};
use caperworks::slots::{DiskWrite, SlotDisk};

/// Time after a failed write until the controller tries to write a complete slot.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A write that has not been synced yet.
struct PendingWrite {
    ticket: u64,
    /// The versions of all maps that are on disk after the write.
    versions: Vec<Version>,
    /// The outputs to release once the write is synced.
    outputs: Vec<ControllerOutput>,
}

/// The state machine's view of the disk: which writes are in flight, and which state is synced.
pub struct Storage {
    disk: SlotDisk,
    /// The ticket of the last write.
    last_ticket: u64,
    /// The writes in flight, oldest first.
    pending: VecDeque<PendingWrite>,
    /// The versions that a restart would recover from disk.
    synced_versions: Vec<Version>,
    /// Whether a write failed: this node does not vote until a complete slot is written.
    is_failing: bool,
    retry_at: Duration,
    /// The ticket of the last write of a complete slot, until it is synced.
    unsynced_slot: Option<u64>,
    /// The ticket of the write of the last received snapshot, until it is synced.
    unsynced_snapshot: Option<u64>,
    /// The ticket of the last write of a deregistration, until it or a later write is synced.
    unsynced_deregistration: Option<u64>,
}

impl Storage {
    /// Returns storage on a recovered disk.
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
            unsynced_deregistration: None,
        }
    }

    /// Returns whether a write failed and no complete slot has been written since.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Returns the length of the log, in bytes.
    pub fn log_length(&self) -> u64 {
        self.disk.log_length()
    }

    /// Returns whether the write of a received snapshot is not synced yet.
    pub fn has_unsynced_snapshot(&self) -> bool {
        self.unsynced_snapshot.is_some()
    }

    /// Returns whether a deregistration that this node knows is not synced yet.
    pub fn has_unsynced_deregistration(&self) -> bool {
        self.unsynced_deregistration.is_some()
    }

    /// Returns the versions that a restart would recover from disk.
    pub fn synced_versions(&self) -> &[Version] {
        &self.synced_versions
    }

    /// Returns whether a complete state is on disk, and no other one is being written.
    pub fn has_synced_slot(&self) -> bool {
        !self.synced_versions.is_empty() && self.unsynced_slot.is_none()
    }

    /// Records that these versions are synced to disk.
    pub fn mark_synced(&mut self, versions: Vec<Version>) {
        self.synced_versions = versions;
    }

    /// Completes all writes up to a ticket, and returns the outputs to release.
    fn complete_writes(&mut self, ticket: u64) -> Vec<ControllerOutput> {
        let mut released = Vec::new();
        while let Some(write) = self.pending.pop_front_if(|write| write.ticket <= ticket) {
            self.synced_versions = write.versions;
            released.extend(write.outputs);
        }
        self.unsynced_slot.take_if(|slot| *slot <= ticket);
        self.unsynced_snapshot.take_if(|write| *write <= ticket);
        self.unsynced_deregistration
            .take_if(|write| *write <= ticket);
        self.disk.record_sync(ticket);
        released
    }

    /// Drops all writes in flight, since records after a lost record would leave a gap in the log.
    fn fail_writes(&mut self, ticket: u64) {
        let lost_slot = self.unsynced_slot.take_if(|slot| *slot >= ticket);
        if lost_slot.is_some() {
            self.disk.retry_same_slot();
        }
        self.pending.clear();
        self.last_ticket += 1;
    }
}

/// Handles a synced write by releasing the outputs that waited for it.
pub(super) fn handle_synced(state: &mut ControllerState, ticket: u64) {
    let released = state.storage.complete_writes(ticket);
    state.outputs.extend(released);
    let storage = &mut state.storage;
    if storage.is_failing && ticket == storage.last_ticket {
        storage.is_failing = false;
        state.log_event(Event::DiskRecovered);
    }
}

/// Handles a failed write by dropping the outputs that waited for it. The node stops voting until a complete
/// slot is written.
pub(super) fn handle_write_failed(state: &mut ControllerState, ticket: u64) {
    let storage = &mut state.storage;
    storage.fail_writes(ticket);
    storage.retry_at = state.now + WRITE_RETRY_INTERVAL;
    if !storage.is_failing {
        storage.is_failing = true;
        state.log_event(Event::DiskWriteFailed);
    }
}

/// Writes a complete slot after a failed write, once the retry is due.
pub(super) fn retry_failed_write(state: &mut ControllerState) {
    if state.storage.is_failing && state.now >= state.storage.retry_at {
        state.storage.retry_at = state.now + WRITE_RETRY_INTERVAL;
        state.write_slot(Vec::new());
    }
}

impl ControllerState {
    /// Encodes the complete state for a slot.
    fn encode_state(&self) -> Vec<u8> {
        let stored = StoredState {
            node: self.node,
            replicas: self.voter.replicas().to_vec(),
            founding: self.founding.proposed.clone(),
            may_found: (self.founding.may_found && !self.is_founded()).then_some(true),
            deregistered: self.deregistered_ids(),
        };
        // Encoding these types into memory cannot fail.
        minicbor::to_vec(stored).expect("state encodes")
    }

    /// Writes a complete slot, and releases the outputs once it is synced.
    ///
    /// A state that is too large for a slot is not written, since a truncated slot would lose everything.
    /// The disk then counts as failing, and the outputs are dropped.
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

    /// Writes a complete slot that includes a received snapshot.
    ///
    /// Until the slot is synced, the snapshot does not count as stored on this node.
    pub fn write_snapshot(&mut self, outputs: Vec<ControllerOutput>) {
        let ticket = self.storage.last_ticket + 1;
        self.write_slot(outputs);
        if !self.injects(FaultInjection::UnsyncedSnapshot) {
            self.storage.unsynced_snapshot = Some(ticket);
        }
    }

    /// Appends records to the log, or writes a complete slot if the log is full. Releases the outputs once the
    /// write is synced.
    ///
    /// While the disk is failing nothing is written and the outputs are dropped: the log has a gap, and the
    /// next complete slot will include the records.
    pub fn write_records(&mut self, records: &[Record], outputs: Vec<ControllerOutput>) {
        if self.storage.is_failing {
            return;
        }
        let encoded: Vec<Vec<u8>> = records
            .iter()
            .map(|record| minicbor::to_vec(record).expect("records encode"))
            .collect();
        match self.storage.disk.append(&encoded) {
            Some(write) => self.begin_write(vec![write], outputs),
            None => self.write_slot(outputs),
        }
    }

    /// Writes to disk that instances deregistered, and releases the outputs once that is synced.
    pub fn write_deregistrations(&mut self, ids: Vec<InstanceId>, outputs: Vec<ControllerOutput>) {
        let storage = &mut self.storage;
        storage.unsynced_deregistration = Some(storage.last_ticket + 1);
        self.write_records(&[Record::Deregistered { ids }], outputs);
    }

    /// Returns the instances that have deregistered, for a slot.
    fn deregistered_ids(&self) -> Option<Vec<InstanceId>> {
        let known = self.instances.deregistrations().ids();
        let ids: Vec<InstanceId> = known
            .chain(&self.deregistration_storage.recovered)
            .cloned()
            .collect();
        (!ids.is_empty()).then_some(ids)
    }

    /// Begins a write, and releases the outputs once it is synced.
    fn begin_write(&mut self, writes: Vec<DiskWrite>, mut outputs: Vec<ControllerOutput>) {
        let versions = self.versions();
        let skips_sync = self.injects(FaultInjection::UnsyncedVotes);
        let storage = &mut self.storage;
        storage.last_ticket += 1;
        let ticket = storage.last_ticket;
        storage.disk.record_write(ticket);
        self.outputs
            .push(ControllerOutput::Write { ticket, writes });
        if skips_sync {
            self.outputs.append(&mut outputs);
        }
        storage.pending.push_back(PendingWrite {
            ticket,
            versions,
            outputs,
        });
    }
}
