//! The errors of a data folder.

use std::path::PathBuf;

use caperworks::disk_frame::DISK_FORMAT;
use thiserror::Error;

/// A data folder cannot be opened or read. The process must not start; no stored data has been changed, except
/// that missing files may have been allocated.
#[derive(Debug, Error)]
pub enum DataFolderError {
    /// The folder cannot be created.
    #[error("cannot create the data folder {}", folder.display())]
    CannotCreate {
        /// The folder.
        folder: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// Another process uses the folder.
    #[error("the data folder {} is in use by another process", folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// A file cannot be opened.
    #[error("cannot open {}", file.display())]
    CannotOpen {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// The file's space cannot be allocated; usually because the disk is full.
    #[error("cannot allocate the space of {}", file.display())]
    CannotAllocate {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// A later release wrote the file.
    #[error(
        "{} is of disk format {format}, and this program knows formats up to {DISK_FORMAT}: start the \
         program that wrote it, or a later one. To discard the state of this controller, empty the \
         data folder; it then joins again and copies the maps from the others. Nothing was written.",
        file.display()
    )]
    UnknownFormat {
        /// The file.
        file: PathBuf,
        /// Its format number.
        format: u16,
    },
    /// Any other failure of the disk.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
