//! The contents of the data folder's files at start.

use crate::disk_frame::{unknown_format_at, FrameKind};
use crate::slots::log_contents::LogContents;

/// The bytes of each file in the data folder, up to the last byte that was written.
#[derive(Debug, Clone, Default)]
pub struct DiskImage {
    /// The two slots, which are written alternately.
    pub slots: [Vec<u8>; 2],
    /// The write-ahead log.
    pub log: Vec<u8>,
}

/// A file in a format that this program cannot read, written by a later release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownFormat {
    /// Which file it is.
    pub part: DiskFile,
    /// Its format number.
    pub format: u16,
}

/// The files of a controller's data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFile {
    /// The slot of odd generations.
    FirstSlot,
    /// The slot of even generations.
    SecondSlot,
    /// The write-ahead log.
    Log,
}

impl DiskFile {
    /// Returns the name of the file.
    pub fn file_name(self) -> &'static str {
        match self {
            DiskFile::FirstSlot => "slot-1",
            DiskFile::SecondSlot => "slot-2",
            DiskFile::Log => "log",
        }
    }
}

impl DiskImage {
    /// Returns the first file with a frame of an unknown format, if any. A controller must then not
    /// write anything, because it would destroy the data of a later release.
    pub fn unknown_format(&self) -> Option<UnknownFormat> {
        let unknown = |part, kind, bytes: &[u8]| {
            unknown_format_at(kind, bytes).map(|format| UnknownFormat { part, format })
        };
        unknown(DiskFile::FirstSlot, FrameKind::Slot, &self.slots[0])
            .or_else(|| unknown(DiskFile::SecondSlot, FrameKind::Slot, &self.slots[1]))
            .or_else(|| {
                let end = LogContents::read(&self.log).length;
                let rest = self.log.get(end..).unwrap_or_default();
                unknown(DiskFile::Log, FrameKind::LogLine, rest)
            })
    }
}
