//! Tests of the data folder on a real disk.

use std::path::PathBuf;

use caperworks::disk_frame::DISK_FORMAT;
use caperworks::slots::{DiskFile, Recovery, SlotDisk};
use runtime::disk::DataFolder;

const DISK_CAPACITY: u64 = 64 * 1024;

/// A folder of one test, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        Self(folder)
    }

    fn read(&self, part: DiskFile) -> Vec<u8> {
        std::fs::read(self.0.join(part.file_name())).expect("the file is there")
    }

    fn all(&self) -> Vec<Vec<u8>> {
        [DiskFile::FirstSlot, DiskFile::SecondSlot, DiskFile::Log]
            .map(|part| self.read(part))
            .to_vec()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Creates a data folder and writes a state and a line into it.
fn write_state_and_line(test_folder: &TestFolder) {
    let folder = DataFolder::open(&test_folder.0, DISK_CAPACITY, DISK_CAPACITY).expect("it opens");
    let mut disk = SlotDisk::new(DISK_CAPACITY, DISK_CAPACITY);
    let mut writes = disk.rewrite(b"a state").to_vec();
    writes.extend(disk.append(&[b"a line".to_vec()]));
    let (sender, done) = std::sync::mpsc::channel();
    let writer = folder.start_writer(move |ticket, is_synced| {
        let _ = sender.send((ticket, is_synced));
    });
    writer.send((1, writes)).expect("the writer is running");
    assert_eq!(done.recv(), Ok((1, true)));
    drop(writer);
    // The writer's thread holds the folder's lock until it ends.
    assert!(done.recv().is_err());
}

#[test]
fn reopened_data_folder_returns_state_and_log() {
    let test_folder = TestFolder::new("again");
    write_state_and_line(&test_folder);
    let folder = DataFolder::open(&test_folder.0, DISK_CAPACITY, DISK_CAPACITY).expect("it opens");
    let image = folder.image().expect("it reads");
    let expected = Recovery::Found {
        state: b"a state".to_vec(),
        lines: vec![b"a line".to_vec()],
    };
    assert_eq!(
        SlotDisk::new(DISK_CAPACITY, DISK_CAPACITY).recover(&image),
        expected
    );
}

#[test]
fn unknown_disk_format_is_reported_and_nothing_is_written() {
    for part in [DiskFile::FirstSlot, DiskFile::Log] {
        let test_folder = TestFolder::new(part.file_name());
        write_state_and_line(&test_folder);
        let mut bytes = test_folder.read(part);
        let format = DISK_FORMAT + 1;
        bytes[4..6].copy_from_slice(&format.to_le_bytes());
        bytes[6..8].copy_from_slice(&(!format).to_le_bytes());
        std::fs::write(test_folder.0.join(part.file_name()), &bytes).expect("it writes");
        let before = test_folder.all();
        // Files are not extended to a larger capacity either.
        let failure = DataFolder::open(&test_folder.0, 2 * DISK_CAPACITY, 2 * DISK_CAPACITY).err();
        let message = failure.expect("it is rejected").to_string();
        let named = format!("disk format {format},");
        for word in [part.file_name(), &named, "start the program", "Nothing"] {
            assert!(message.contains(word), "{message}");
        }
        assert_eq!(test_folder.all(), before);
    }
}
