//! The files of the data folder: allocated at a fixed size, and read without the zeros at their end.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;

use crate::disk::error::DataFolderError;

/// How many bytes are read at once.
const READ_BYTES: usize = 64 * 1024;
/// How many bytes are written at once when a file is allocated.
const ZERO_FILL_BYTES: usize = 256 * 1024;
/// How many zeros at the end are kept: more than any state or record ends in.
const ZERO_TAIL_BYTES: usize = 64 * 1024;

/// Opens a file, and fills it with zeros up to `size`.
///
/// The zeros are written because a hole takes no space, and the disk could be full when it is needed.
pub(super) fn allocate_file(path: &Path, size: u64) -> Result<File, DataFolderError> {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
        .map_err(|source| DataFolderError::CannotOpen {
            file: path.to_path_buf(),
            source,
        })?;
    let present = file.metadata()?.len();
    if present < size {
        fill_with_zeros(&file, present, size).map_err(|source| {
            DataFolderError::CannotAllocate {
                file: path.to_path_buf(),
                source,
            }
        })?;
        file.sync_all()?;
    }
    Ok(file)
}

fn fill_with_zeros(file: &File, from: u64, to: u64) -> std::io::Result<()> {
    let zeros = vec![0_u8; ZERO_FILL_BYTES];
    let mut offset = from;
    while offset < to {
        let count = (to - offset).min(zeros.len() as u64) as usize;
        file.write_all_at(&zeros[..count], offset)?;
        offset += count as u64;
    }
    Ok(())
}

/// Reads a file without most of the zeros at its end.
///
/// Most of the space is never used, and should not take up memory on a small machine. Some zeros are kept
/// because a payload may end in them.
pub(super) fn read_without_tail(file: &File) -> std::io::Result<Vec<u8>> {
    let length = file.metadata()?.len();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; READ_BYTES];
    let mut offset = 0;
    while offset < length {
        let count = (length - offset).min(READ_BYTES as u64) as usize;
        file.read_exact_at(&mut chunk[..count], offset)?;
        if let Some(last) = chunk[..count].iter().rposition(|byte| *byte != 0) {
            bytes.resize(offset as usize, 0);
            bytes.extend_from_slice(&chunk[..=last]);
        }
        offset += count as u64;
    }
    let length_with_tail = (bytes.len() + ZERO_TAIL_BYTES).min(length as usize);
    bytes.resize(length_with_tail, 0);
    Ok(bytes)
}

/// Reads a file; returns no bytes if it does not exist.
pub(super) fn read_if_present(path: &Path) -> Result<Vec<u8>, DataFolderError> {
    match File::open(path) {
        Ok(file) => Ok(read_without_tail(&file)?),
        Err(failure) if failure.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
        Err(source) => Err(DataFolderError::CannotOpen {
            file: path.to_path_buf(),
            source,
        }),
    }
}
