//! Parsing of the log: the intact lines at its start, and whether the bytes after them indicate damage.
//!
//! Each line records how many bytes of the log were synced before it was written. A disk may perform
//! unsynced writes in any order, sector by sector, so an intact line after a broken one indicates
//! damage only if the broken line had already been synced.

use crate::disk_frame::{read_frame, FrameKind, Generation};

/// The intact lines of one generation at the start of the log.
pub(super) struct LogContents {
    pub(super) generation: Option<Generation>,
    pub(super) lines: Vec<Vec<u8>>,
    /// The length of the lines in bytes.
    pub(super) length: usize,
    /// Whether any line is in an older format.
    pub(super) has_old_format: bool,
}

/// The state of the log after its first broken line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogTail {
    /// There are no intact lines.
    Empty,
    /// Intact lines were written before the broken line was synced: power was lost in between.
    Unsynced,
    /// Intact lines were written after the broken line was synced: synced data has been lost.
    SyncedDataLost,
}

impl LogContents {
    /// Returns the contents of an empty log.
    pub(super) fn empty() -> Self {
        Self {
            generation: None,
            lines: Vec::new(),
            length: 0,
            has_old_format: false,
        }
    }

    /// Reads lines until one is broken or belongs to another generation. The empty line at the start
    /// of each log is its header and not a record.
    pub(super) fn read(log: &[u8]) -> Self {
        let mut contents = Self::empty();
        while let Some(line) = read_frame(FrameKind::LogLine, &log[contents.length..]) {
            if *contents.generation.get_or_insert(line.generation) != line.generation {
                break;
            }
            contents.length += line.length;
            contents.has_old_format |= line.has_old_format();
            if !line.payload.is_empty() {
                contents.lines.push(line.payload.to_vec());
            }
        }
        contents
    }

    /// Returns the state of the log after the intact lines.
    pub(super) fn tail(&self, log: &[u8], generation: Generation) -> LogTail {
        let mut tail = LogTail::Empty;
        for offset in self.length + 1..log.len() {
            let Some(line) = read_frame(FrameKind::LogLine, &log[offset..]) else {
                continue;
            };
            if line.generation != generation {
                continue;
            }
            let synced_before = line.synced_before.unwrap_or(u64::MAX);
            if synced_before > self.length as u64 {
                return LogTail::SyncedDataLost;
            }
            tail = LogTail::Unsynced;
        }
        tail
    }
}
