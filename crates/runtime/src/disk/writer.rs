//! The thread that writes and syncs the files of a data folder.

use std::os::unix::fs::FileExt;

use caperworks::slots::DiskWrite;

use crate::disk::DataFolder;

/// The maximum number of tickets that are synced together.
const MAX_BATCH_TICKETS: usize = 64;

/// The writes of one ticket, in order.
type TicketWrites = (u64, Vec<DiskWrite>);

impl DataFolder {
    /// Starts the thread that carries out writes in order; writes that arrive close together are synced
    /// together. It ends when the sender is dropped.
    ///
    /// `done` is called for each ticket, in order: with `true` once all writes of its batch are synced, with
    /// `false` if any of them failed, after which the rest of the batch was not written.
    pub fn start_writer(
        self,
        done: impl Fn(u64, bool) + Send + 'static,
    ) -> std::sync::mpsc::Sender<TicketWrites> {
        let (sender, receiver) = std::sync::mpsc::channel::<TicketWrites>();
        std::thread::spawn(move || {
            while let Ok(first) = receiver.recv() {
                let rest = receiver.try_iter().take(MAX_BATCH_TICKETS - 1);
                let batch: Vec<TicketWrites> = std::iter::once(first).chain(rest).collect();
                let is_synced = self.write_batch(&batch);
                for (ticket, _) in &batch {
                    done(*ticket, is_synced);
                }
            }
        });
        sender
    }

    /// Writes and syncs a batch; stops at the first failed write, since later writes depend on earlier ones.
    /// Returns whether the whole batch is synced.
    fn write_batch(&self, batch: &[TicketWrites]) -> bool {
        let mut is_log_unsynced = false;
        let mut writes = batch.iter().flat_map(|(_, writes)| writes);
        let is_written = writes.all(|write| self.write(write, &mut is_log_unsynced).is_ok());
        let is_log_synced = !is_log_unsynced || self.log.sync_data().is_ok();
        is_log_synced && is_written
    }

    /// Carries out one write. A slot is synced at once, the log at the end of the batch.
    fn write(&self, write: &DiskWrite, is_log_unsynced: &mut bool) -> std::io::Result<()> {
        match write {
            DiskWrite::Log { offset, bytes } => {
                self.log.write_all_at(bytes, *offset)?;
                *is_log_unsynced = true;
                Ok(())
            }
            DiskWrite::Slot { second, bytes } => {
                let slot = &self.slots[usize::from(*second)];
                slot.write_all_at(bytes, 0)?;
                slot.sync_data()
            }
        }
    }
}
