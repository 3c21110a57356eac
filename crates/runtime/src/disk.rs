//! The data folder: slot and log files of a fixed size, written and synced on a separate thread.

use std::fs::File;
use std::path::Path;

use caperworks::slots::{DiskFile, DiskImage};
use tokio::signal::unix::{signal, SignalKind};

use crate::disk::files::{allocate_file, read_if_present, read_without_tail};

mod error;
mod files;
mod writer;

pub use self::error::DataFolderError;

/// Makes a write beyond a file size limit fail with an error instead of raising a fatal signal.
///
/// Otherwise `SIGXFSZ` ends the process, while a failing disk must only stop this controller from
/// voting. Once a handler was installed, the signal no longer ends the process, even after the handler
/// is dropped.
pub fn raise_file_limits() -> std::io::Result<()> {
    drop(signal(SignalKind::from_raw(libc::SIGXFSZ))?);
    Ok(())
}

/// The open files of a data folder.
pub struct DataFolder {
    slots: [File; 2],
    log: File,
    /// Locked for as long as the process runs, so that no second one writes here.
    _lock: File,
}

impl DataFolder {
    /// Opens a data folder, and creates missing files. The sizes are in bytes.
    ///
    /// Fails if another process uses the folder, or a later release wrote it; then nothing is written.
    pub fn open(
        folder: &Path,
        slot_capacity: u64,
        log_capacity: u64,
    ) -> Result<Self, DataFolderError> {
        std::fs::create_dir_all(folder).map_err(|source| DataFolderError::CannotCreate {
            folder: folder.to_path_buf(),
            source,
        })?;
        let lock = File::create(folder.join("lock"))?;
        if lock.try_lock().is_err() {
            return Err(DataFolderError::InUse {
                folder: folder.to_path_buf(),
            });
        }
        reject_unknown_format(folder)?;
        let opened = Self {
            slots: [
                allocate_file(&folder.join(DiskFile::FirstSlot.file_name()), slot_capacity)?,
                allocate_file(
                    &folder.join(DiskFile::SecondSlot.file_name()),
                    slot_capacity,
                )?,
            ],
            log: allocate_file(&folder.join(DiskFile::Log.file_name()), log_capacity)?,
            _lock: lock,
        };
        // The names of new files are durable only once the folder is synced as well.
        File::open(folder)?.sync_all()?;
        Ok(opened)
    }

    /// Returns the contents of all files, for recovery.
    pub fn image(&self) -> std::io::Result<DiskImage> {
        Ok(DiskImage {
            slots: [
                read_without_tail(&self.slots[0])?,
                read_without_tail(&self.slots[1])?,
            ],
            log: read_without_tail(&self.log)?,
        })
    }
}

/// Fails if a later release wrote a file in the folder. Called before anything is written.
fn reject_unknown_format(folder: &Path) -> Result<(), DataFolderError> {
    let read = |part: DiskFile| read_if_present(&folder.join(part.file_name()));
    let image = DiskImage {
        slots: [read(DiskFile::FirstSlot)?, read(DiskFile::SecondSlot)?],
        log: read(DiskFile::Log)?,
    };
    match image.unknown_format() {
        None => Ok(()),
        Some(unknown) => Err(DataFolderError::UnknownFormat {
            file: folder.join(unknown.part.file_name()),
            format: unknown.format,
        }),
    }
}
