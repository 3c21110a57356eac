//! Tests of the disk slots and the log: torn writes, old formats and unknown formats.

use caperworks::disk_frame::{read_frame, FrameKind, DISK_FORMAT, FRAME_HEADER_BYTES};
use caperworks::identifiers::RandomSource;
use caperworks::slots::{DiskFile, DiskImage, DiskWrite, Recovery, SlotDisk, UnknownFormat};

const SLOT_CAPACITY: usize = 16 * 1024;
const LOG_CAPACITY: usize = 8 * 1024;
const SECTOR_BYTES: usize = 512;

fn new_disk() -> SlotDisk {
    SlotDisk::new(SLOT_CAPACITY as u64, LOG_CAPACITY as u64)
}

fn blank_image() -> DiskImage {
    DiskImage {
        slots: [vec![0; SLOT_CAPACITY], vec![0; SLOT_CAPACITY]],
        log: vec![0; LOG_CAPACITY],
    }
}

fn target<'a>(image: &'a mut DiskImage, write: &DiskWrite) -> &'a mut [u8] {
    match write {
        DiskWrite::Slot { second, bytes } => &mut image.slots[usize::from(*second)][..bytes.len()],
        DiskWrite::Log { offset, bytes } => {
            let start = *offset as usize;
            &mut image.log[start..start + bytes.len()]
        }
    }
}

fn bytes_of(write: &DiskWrite) -> &[u8] {
    match write {
        DiskWrite::Slot { bytes, .. } | DiskWrite::Log { bytes, .. } => bytes,
    }
}

fn apply_write(image: &mut DiskImage, write: &DiskWrite) {
    target(image, write).copy_from_slice(bytes_of(write));
}

/// Performs only the first `length` bytes of a write.
fn apply_write_prefix(image: &mut DiskImage, write: &DiskWrite, length: usize) {
    target(image, write)[..length].copy_from_slice(&bytes_of(write)[..length]);
}

/// Performs a random subset of the sectors of a write.
fn apply_random_sectors(image: &mut DiskImage, write: &DiskWrite, random: &mut RandomSource) {
    let first = match write {
        DiskWrite::Slot { .. } => 0,
        DiskWrite::Log { offset, .. } => *offset as usize,
    };
    let (target, bytes) = (target(image, write), bytes_of(write));
    let mut start = 0;
    while start < bytes.len() {
        let sector_end = ((first + start) / SECTOR_BYTES + 1) * SECTOR_BYTES - first;
        let end = sector_end.min(bytes.len());
        if random.below(2) == 0 {
            target[start..end].copy_from_slice(&bytes[start..end]);
        }
        start = end;
    }
}

fn state(seed: u64, length: usize) -> Vec<u8> {
    let mut random = RandomSource::seeded(seed);
    (0..length).map(|_| random.next_u64() as u8).collect()
}

fn line(number: u64, length: usize) -> Vec<u8> {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.extend(state(number, length));
    bytes
}

/// Returns a disk whose slots and log lines are all synced, and what recovery must find on it.
fn synced_disk(generations: u64, lines: u64) -> (SlotDisk, DiskImage, Recovery) {
    let (mut disk, mut image) = (new_disk(), blank_image());
    let mut ticket = 0;
    for generation in 1..=generations {
        for write in disk.rewrite(&state(generation, 3000)) {
            apply_write(&mut image, &write);
        }
        ticket += 1;
        disk.record_write(ticket);
        disk.record_sync(ticket);
    }
    let lines: Vec<Vec<u8>> = (1..=lines).map(|number| line(number, 90)).collect();
    for line in &lines {
        let write = disk
            .append(std::slice::from_ref(line))
            .expect("the line fits");
        apply_write(&mut image, &write);
        ticket += 1;
        disk.record_write(ticket);
        disk.record_sync(ticket);
    }
    let state = state(generations, 3000);
    (disk, image, Recovery::Found { state, lines })
}

/// Checks that a recovered disk stays usable: what is written next must be recovered at the next start.
fn check_writable(image: &DiskImage, case: &str) {
    let mut image = image.clone();
    let mut disk = new_disk();
    let Recovery::Found { state, mut lines } = disk.recover(&image) else {
        panic!("{case}: no state was recovered");
    };
    let next = line(999, 61);
    let writes = match disk.append(std::slice::from_ref(&next)) {
        Some(write) => {
            lines.push(next);
            vec![write]
        }
        None => {
            let complete = [state.clone(), lines.concat(), next].concat();
            lines.clear();
            let writes = disk.rewrite(&complete).to_vec();
            for write in &writes {
                apply_write(&mut image, write);
            }
            let found = new_disk().recover(&image);
            assert_eq!(
                found,
                Recovery::Found {
                    state: complete,
                    lines
                },
                "{case}"
            );
            return;
        }
    };
    for write in &writes {
        apply_write(&mut image, write);
    }
    let found = new_disk().recover(&image);
    assert_eq!(found, Recovery::Found { state, lines }, "{case}");
}

#[test]
fn slot_write_truncated_at_any_byte_recovers_the_old_or_new_state() {
    for generations in [1, 2, 3] {
        let (mut disk, image, before) = synced_disk(generations, 5);
        let next = state(77, 4000);
        let after = Recovery::Found {
            state: next.clone(),
            lines: Vec::new(),
        };
        let writes = disk.rewrite(&next);
        for (index, torn) in writes.iter().enumerate() {
            for cut in 0..=bytes_of(torn).len() {
                let mut found = image.clone();
                writes[..index]
                    .iter()
                    .for_each(|complete| apply_write(&mut found, complete));
                apply_write_prefix(&mut found, torn, cut);
                let recovered = new_disk().recover(&found);
                let is_slot_complete = index == 1 || cut == bytes_of(torn).len();
                let expected = if is_slot_complete { &after } else { &before };
                assert_eq!(&recovered, expected, "{generations} {index} {cut}");
                if cut % 97 == 0 {
                    check_writable(&found, "torn slot");
                }
            }
        }
    }
}

#[test]
fn slot_write_with_torn_sectors_recovers_the_old_or_new_state() {
    for seed in 0..400 {
        let mut random = RandomSource::seeded(seed);
        let (mut disk, image, before) = synced_disk(1 + seed % 3, seed % 7);
        let next = state(1000 + seed, 1000 + random.below(6000) as usize);
        let after = Recovery::Found {
            state: next.clone(),
            lines: Vec::new(),
        };
        let [slot, header] = disk.rewrite(&next);
        let mut found = image.clone();
        apply_random_sectors(&mut found, &slot, &mut random);
        let recovered = new_disk().recover(&found);
        assert!(recovered == before || recovered == after, "seed {seed}");
        check_writable(&found, "torn sectors of a slot");
        apply_write(&mut found, &slot);
        apply_random_sectors(&mut found, &header, &mut random);
        assert_eq!(new_disk().recover(&found), after, "seed {seed}");
        check_writable(&found, "torn sectors of the log header");
    }
}

#[test]
fn truncated_log_recovers_all_complete_lines() {
    let (_, image, complete) = synced_disk(2, 20);
    let Recovery::Found { state, lines } = complete else {
        panic!("the disk has a synced state");
    };
    let header_length = FRAME_HEADER_BYTES;
    let line_length = FRAME_HEADER_BYTES + lines[0].len();
    for cut in 0..header_length + line_length * lines.len() {
        let mut found = image.clone();
        found.log[cut..].fill(0);
        let kept = cut.saturating_sub(header_length) / line_length;
        let expected = Recovery::Found {
            state: state.clone(),
            lines: lines[..kept].to_vec(),
        };
        assert_eq!(new_disk().recover(&found), expected, "cut at {cut}");
        check_writable(&found, "truncated log");
    }
}

/// Returns a disk with several unsynced writes torn by sector, its synced lines, and the unsynced ones.
fn torn_log(seed: u64) -> (DiskImage, Vec<Vec<u8>>, Vec<Vec<u8>>) {
    let mut random = RandomSource::seeded(seed);
    let (mut disk, mut image, complete) = synced_disk(2, seed % 9);
    let Recovery::Found { lines: synced, .. } = complete else {
        panic!("the disk has a synced state");
    };
    let mut unsynced = Vec::new();
    for number in 0..1 + random.below(8) {
        let line = line(100 + number, random.below(900) as usize);
        let write = disk
            .append(std::slice::from_ref(&line))
            .expect("the line fits");
        apply_random_sectors(&mut image, &write, &mut random);
        unsynced.push(line);
    }
    (image, synced, unsynced)
}

#[test]
fn torn_unsynced_lines_never_lose_a_synced_line() {
    let mut full_logs = 0;
    for seed in 0..2000 {
        let (image, synced, unsynced) = torn_log(seed);
        let mut disk = new_disk();
        let Recovery::Found { lines, .. } = disk.recover(&image) else {
            panic!("seed {seed}: synced data is lost");
        };
        let all = [synced.clone(), unsynced].concat();
        assert!(lines.len() >= synced.len(), "seed {seed}");
        assert_eq!(lines, all[..lines.len()], "seed {seed}");
        check_writable(&image, &format!("seed {seed}"));
        full_logs += u32::from(disk.append(&[vec![1]]).is_none());
    }
    println!("{full_logs} of 2000 logs had intact lines after a broken one");
    assert!(
        full_logs > 50,
        "only {full_logs} logs had intact lines after a broken one"
    );
}

#[test]
fn corrupted_synced_line_is_reported_as_damage() {
    let (_, image, _) = synced_disk(2, 6);
    let line_length = FRAME_HEADER_BYTES + line(1, 90).len();
    // Damage to the last line may be taken for a torn write, because nothing was written after it.
    for index in 0..FRAME_HEADER_BYTES + line_length * 5 {
        for bit in [0x01, 0x80] {
            let mut corrupted = image.clone();
            corrupted.log[index] ^= bit;
            let recovered = new_disk().recover(&corrupted);
            assert!(matches!(recovered, Recovery::Damaged(_)), "byte {index}");
        }
    }
}

/// Disk format 1, as written by releases before format numbers were introduced.
mod old_format {
    use caperworks::identifiers::mix;

    pub const SLOT_MAGIC: u32 = 0x4341_5053;
    pub const LINE_MAGIC: u32 = 0x4341_504c;

    fn checksum(bytes: &[u8], seed: u64) -> u64 {
        let mut value = 0xcbf2_9ce4_8422_2325 ^ mix(seed);
        for chunk in bytes.chunks(8) {
            let mut word = [0_u8; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            value = mix(value ^ u64::from_le_bytes(word)).wrapping_add(chunk.len() as u64);
        }
        value
    }

    pub fn framed(magic: u32, generation: u64, payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(magic.to_le_bytes());
        bytes.extend((payload.len() as u32).to_le_bytes());
        bytes.extend(generation.to_le_bytes());
        bytes.extend(checksum(payload, generation ^ payload.len() as u64).to_le_bytes());
        bytes.extend(payload);
        bytes
    }
}

/// Returns the disk of an old release: slots of generations 1 and 2, and log lines after the second.
fn old_image(lines: &[Vec<u8>]) -> DiskImage {
    let mut image = blank_image();
    for generation in [1, 2] {
        let bytes = old_format::framed(old_format::SLOT_MAGIC, generation, &state(generation, 500));
        let slot = &mut image.slots[usize::from(generation == 2)];
        slot[..bytes.len()].copy_from_slice(&bytes);
    }
    let mut log = old_format::framed(old_format::LINE_MAGIC, 2, &[]);
    for line in lines {
        log.extend(old_format::framed(old_format::LINE_MAGIC, 2, line));
    }
    image.log[..log.len()].copy_from_slice(&log);
    image
}

#[test]
fn old_disk_format_is_read_and_the_new_format_is_written() {
    let lines: Vec<Vec<u8>> = (0..4).map(|number| line(number, 50)).collect();
    let mut image = old_image(&lines);
    let mut disk = new_disk();
    let expected = Recovery::Found {
        state: state(2, 500),
        lines,
    };
    assert_eq!(disk.recover(&image), expected);
    check_writable(&image, "old format");
    assert_eq!(
        disk.append(&[line(9, 9)]),
        None,
        "a log does not mix formats"
    );
    for write in disk.rewrite(&state(3, 700)) {
        apply_write(&mut image, &write);
    }
    let expected = Recovery::Found {
        state: state(3, 700),
        lines: Vec::new(),
    };
    assert_eq!(new_disk().recover(&image), expected);
    let written = read_frame(FrameKind::Slot, &image.slots[0]).expect("the slot is intact");
    assert!(
        written.synced_before.is_some(),
        "the slot is in the new format"
    );
}

#[test]
fn torn_first_slot_after_a_format_upgrade_recovers_the_old_state() {
    let lines: Vec<Vec<u8>> = (0..4).map(|number| line(number, 50)).collect();
    let image = old_image(&lines);
    let mut disk = new_disk();
    let before = disk.recover(&image);
    let [slot, _] = disk.rewrite(&state(3, 700));
    for cut in 0..bytes_of(&slot).len() {
        let mut found = image.clone();
        apply_write_prefix(&mut found, &slot, cut);
        assert_eq!(new_disk().recover(&found), before, "cut at {cut}");
    }
}

#[test]
fn corrupted_byte_in_the_old_format_never_recovers_a_wrong_state() {
    let lines: Vec<Vec<u8>> = (0..3).map(|number| line(number, 20)).collect();
    let image = old_image(&lines);
    let log_length = 24 * 4 + lines.concat().len();
    for index in 0..log_length {
        let mut corrupted = image.clone();
        corrupted.log[index] ^= 0x40;
        match new_disk().recover(&corrupted) {
            Recovery::Damaged(_) => {}
            Recovery::Found { lines: found, .. } => assert_eq!(found, lines[..2], "byte {index}"),
            Recovery::Empty => panic!("byte {index}: recovered as empty"),
        }
    }
    for index in 0..24 + 500 {
        let mut corrupted = image.clone();
        corrupted.slots[1][index] ^= 0x40;
        let recovered = new_disk().recover(&corrupted);
        assert!(matches!(recovered, Recovery::Damaged(_)), "byte {index}");
    }
}

/// Replaces the format number of a frame.
fn renumber(bytes: &mut [u8], format: u16) {
    bytes[4..6].copy_from_slice(&format.to_le_bytes());
    bytes[6..8].copy_from_slice(&(!format).to_le_bytes());
}

#[test]
fn unknown_disk_format_reports_the_file_and_the_format_number() {
    let (_, image, _) = synced_disk(2, 3);
    let second_line = FRAME_HEADER_BYTES + FRAME_HEADER_BYTES + line(1, 90).len();
    for (part, offset) in [
        (DiskFile::FirstSlot, 0),
        (DiskFile::SecondSlot, 0),
        (DiskFile::Log, 0),
        (DiskFile::Log, second_line),
    ] {
        let mut found = image.clone();
        let bytes = match part {
            DiskFile::FirstSlot => &mut found.slots[0],
            DiskFile::SecondSlot => &mut found.slots[1],
            DiskFile::Log => &mut found.log,
        };
        renumber(&mut bytes[offset..], DISK_FORMAT + 7);
        let format = DISK_FORMAT + 7;
        assert_eq!(found.unknown_format(), Some(UnknownFormat { part, format }));
        let recovered = new_disk().recover(&found);
        assert!(matches!(recovered, Recovery::Damaged(_)), "{part:?}");
    }
    assert_eq!(image.unknown_format(), None);
    assert_eq!(old_image(&[line(1, 20)]).unknown_format(), None);
}

#[test]
fn corrupted_format_number_is_not_reported_as_an_unknown_format() {
    let (_, image, _) = synced_disk(2, 3);
    for index in 0..8 {
        for bit in 0..8 {
            let mut corrupted = image.clone();
            corrupted.slots[1][index] ^= 1 << bit;
            assert_eq!(corrupted.unknown_format(), None, "byte {index} bit {bit}");
        }
    }
}
