//! What a restart finds after crashes, damage and failed writes.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use cranberrygap_storage::{check, disk, error};

/// The segment that is written to after the first opening.
const SEGMENT: &str = "log-0000000000000001.seg";

/// What a disk writes at once.
const SECTOR: usize = 512;

#[test]
fn restart_finds_what_was_written() {
    let disk = support::Disk::default();
    let (mut folder, first) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    folder.write(&[support::append(3, 3..=4)]).unwrap();

    let (_, again) = support::open(&disk).unwrap();

    assert!(first.entries.is_empty());
    assert_eq!(support::found(&again), [(2, 1), (2, 2), (3, 3), (3, 4)]);
    assert_eq!(again.hard.term.0, 3);
    assert_eq!(again.identity, first.identity);
}

// The process dies in the middle of a write. The half record was never
// acknowledged; it is cut, and the replica goes on.
#[test]
fn torn_tail_is_cut() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    folder.write(&[support::append(2, 4..=5)]).unwrap();
    disk.change(SEGMENT, |bytes| bytes.truncate(bytes.len() - 3));

    let report = check::read(&disk);
    let (mut folder, again) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 4..=4)]).unwrap();
    let (_, last) = support::open(&disk).unwrap();

    assert!(
        report.torn_bytes > 0 && report.faults.is_empty(),
        "{report}"
    );
    assert_eq!(again.truncated_bytes, report.torn_bytes);
    assert_eq!(support::found(&again), [(2, 1), (2, 2), (2, 3)]);
    assert_eq!(support::found(&last).last(), Some(&(2, 4)));
}

// The very last record was acknowledged, and then one bit of it goes bad. Taken
// for a torn tail it would be cut without a word, and the change with it.
#[test]
fn damaged_last_record_is_not_taken_for_a_torn_one() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    let before = disk.length(SEGMENT);
    folder.write(&[support::append(2, 4..=5)]).unwrap();
    let whole = disk.length(SEGMENT);

    for at in before..whole {
        disk.change(SEGMENT, |bytes| bytes[at] ^= 1);
        let opened = support::open(&disk);
        assert!(opened.is_err(), "byte {at} of {before} to {whole}");
        disk.change(SEGMENT, |bytes| bytes[at] ^= 1);
    }
}

// Power fails during a write. The file has its new length, but a sector of it
// was not written yet and holds zeros. Nothing in it was acknowledged.
#[test]
fn unwritten_sector_is_a_torn_tail() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    folder.write(&[support::append(2, 4..=200)]).unwrap();
    let last_sector = disk.length(SEGMENT) / SECTOR * SECTOR;
    disk.change(SEGMENT, |bytes| {
        bytes[last_sector - SECTOR..last_sector].fill(0);
    });

    let (_, again) = support::open(&disk).unwrap();

    assert!(again.truncated_bytes > 0);
    assert_eq!(support::found(&again), [(2, 1), (2, 2), (2, 3)]);
}

// A disk block goes bad under a record that was acknowledged. Going on without
// it would lose an accepted change, so the replica stops and says where.
#[test]
fn damaged_middle_stops_with_file_and_offset() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    folder.write(&[support::append(2, 4..=5)]).unwrap();
    disk.change(SEGMENT, |bytes| {
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
    });

    let error = support::open(&disk).unwrap_err();
    let report = check::read(&disk);

    let error::Error::Damaged { file, offset, .. } = &error else {
        panic!("{error}");
    };
    assert_eq!(file, SEGMENT);
    assert!(*offset > 0);
    assert!(error.to_string().contains("replace it in the group"));
    assert_eq!(report.faults.len(), 1, "{report}");
    assert!(report.to_string().contains("wrong: log-"));
}

// The only segment has nothing but its header, which holds the term and the vote,
// and the header goes bad. Taken for a torn tail, the vote could be given again.
#[test]
fn damaged_header_of_the_only_segment_stops() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.record_group(support::formed()).unwrap();
    disk.change(SEGMENT, |bytes| bytes[20] ^= 1);

    let error = support::open(&disk).unwrap_err();

    assert!(error.to_string().contains("damaged at byte 0"), "{error}");
}

#[test]
fn damaged_snapshot_stops() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=9)]).unwrap();
    folder.write(&[support::snapshot(2, 7, false)]).unwrap();
    let name = disk.names("snapshot-").remove(0);
    disk.change(&name, |bytes| {
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
    });

    let error = support::open(&disk).unwrap_err();

    assert!(
        error.to_string().contains("the checksum is wrong"),
        "{error}"
    );
}

// Someone removes a segment to make room. Accepted changes are gone with it.
#[test]
fn missing_segment_stops() {
    let disk = support::Disk::default();
    for term in 1..=3 {
        let (mut folder, _) = support::open(&disk).unwrap();
        let index = term * 10;
        folder
            .write(&[support::append(term, index - 9..=index)])
            .unwrap();
    }
    disk.forget("log-0000000000000002.seg");

    let error = support::open(&disk).unwrap_err();

    assert!(
        error.to_string().contains("segment before it is missing"),
        "{error}"
    );
}

// The identity is removed, but the log is there. With a new id the replica would
// forget what it voted under the old one.
#[test]
fn log_without_identity_stops() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    disk.forget("identity");

    let error = support::open(&disk).unwrap_err();

    assert!(
        error.to_string().contains("`identity` is missing"),
        "{error}"
    );
}

#[test]
fn snapshot_replaces_older_segments_and_snapshots() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=9)]).unwrap();
    folder.write(&[support::snapshot(2, 5, false)]).unwrap();
    drop(folder);
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 10..=12)]).unwrap();
    folder.write(&[support::snapshot(2, 11, false)]).unwrap();

    let (_, again) = support::open(&disk).unwrap();

    assert_eq!(support::found(&again), [(2, 12)]);
    assert_eq!(again.snapshot.unwrap().position, support::position(2, 11));
    assert_eq!(disk.names("snapshot-").len(), 1);
    assert!(!disk.names("log-").contains(&SEGMENT.to_owned()));
}

// The leader's snapshot is written, and the process dies before the log is begun
// anew. What the old log holds disagrees with the snapshot and must not be read.
#[test]
fn log_that_disagrees_with_the_snapshot_is_dropped() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=20)]).unwrap();
    folder.write(&[support::snapshot(4, 15, false)]).unwrap();

    let (mut folder, again) = support::open(&disk).unwrap();
    folder.write(&[support::append(5, 16..=17)]).unwrap();
    let (_, last) = support::open(&disk).unwrap();

    assert!(again.entries.is_empty());
    assert_eq!(support::found(&last), [(5, 16), (5, 17)]);
}

// Entries of a fallen leader are replaced in a later segment, below where that
// segment began, and a snapshot makes the earlier segments needless. A restart
// took this for damage and stopped a healthy replica.
#[test]
fn entries_replaced_below_a_segment_that_is_gone_are_read() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=20)]).unwrap();
    for term in [2, 3] {
        drop(folder);
        (folder, _) = support::open(&disk).unwrap();
        let from = if term == 2 { 21 } else { 15 };
        folder.write(&[support::append(term, from..=30)]).unwrap();
    }
    folder.write(&[support::snapshot(3, 25, false)]).unwrap();

    let (_, again) = support::open(&disk).unwrap();

    let expected: Vec<(u64, u64)> = (26..=30).map(|index| (3, index)).collect();
    assert_eq!(support::found(&again), expected);
}

// The disk is full. Nothing of the batch may be acknowledged, and nothing later
// either, until a restart has found out what is there.
#[test]
fn full_disk_stops_acknowledging() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    disk.fill_up(true);

    let first = folder.write(&[support::append(2, 1..=3)]);
    disk.fill_up(false);
    let second = folder.write(&[support::append(2, 1..=3)]);

    assert!(matches!(first, Err(error::Error::Io { .. })));
    assert!(matches!(second, Err(error::Error::Failed)));
    assert!(folder.has_failed());
}

// After a failed sync the system reports the next one as done, although the data
// never reached the disk. The folder must not try again.
#[test]
fn failed_sync_is_not_tried_again() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    disk.fail_sync(true);
    let first = folder.write(&[support::append(2, 1..=3)]);
    disk.fail_sync(false);

    let second = folder.write(&[support::append(2, 4..=4)]);
    disk.lose_power();
    let (_, again) = support::open(&disk).unwrap();

    assert!(matches!(first, Err(error::Error::Io { .. })));
    assert!(matches!(second, Err(error::Error::Failed)));
    assert!(again.entries.is_empty());
}

// The process is killed between a write and its sync. The restart reads the
// data, and acknowledges it; the next loss of power must not take it away.
#[test]
fn what_a_restart_reads_survives_the_next_loss_of_power() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    disk.fail_sync(true);
    drop(folder.write(&[support::append(2, 1..=3)]));
    disk.fail_sync(false);

    let (folder, read) = support::open(&disk).unwrap();
    drop(folder);
    disk.lose_power();
    let (_, again) = support::open(&disk).unwrap();

    assert_eq!(support::found(&read), [(2, 1), (2, 2), (2, 3)]);
    assert_eq!(support::found(&again), support::found(&read));
}

// Two processes are started on one folder, for instance by two supervisors.
#[test]
fn second_process_is_refused() {
    let root = tempfile::tempdir().unwrap();
    let first = disk::Disk::lock(root.path()).unwrap();

    let second = disk::Disk::lock(root.path());
    drop(first);
    let third = disk::Disk::lock(root.path());

    assert!(matches!(second, Err(error::Error::Locked { .. })));
    third.unwrap();
}

#[test]
fn folder_of_another_instance_is_refused() {
    let disk = support::Disk::default();
    drop(support::open(&disk).unwrap());
    let other = "control-2".parse().unwrap();

    let opened =
        cranberrygap_storage::folder::Folder::open(Box::new(disk.clone()), &other, support::OWN);

    assert!(matches!(opened, Err(error::Error::Foreign { .. })));
}
