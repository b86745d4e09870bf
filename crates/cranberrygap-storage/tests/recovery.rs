//! Recovery of a data folder after crashes, damage and failed writes.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod support;

use cranberrygap_storage::{check, disk, error};

/// Segment that the first opening creates.
const SEGMENT: &str = "log-0000000000000001.seg";

/// Unit in which a disk writes, in bytes.
const SECTOR: usize = 512;

#[test]
fn restart_finds_what_was_written() {
    let disk = support::Disk::default();
    let (mut folder, first) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    folder.write(&[support::append(3, 3..=4)]).unwrap();

    let (_, reopened) = support::open(&disk).unwrap();

    assert!(first.entries.is_empty());
    assert_eq!(
        support::positions(&reopened),
        [(2, 1), (2, 2), (3, 3), (3, 4)]
    );
    assert_eq!(reopened.hard.term.0, 3);
    assert_eq!(reopened.identity, first.identity);
}

// The process dies during a write. The incomplete record was never acknowledged, so
// it is truncated and the replica starts.
#[test]
fn torn_tail_is_cut() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    folder.write(&[support::append(2, 4..=5)]).unwrap();
    disk.change(SEGMENT, |bytes| bytes.truncate(bytes.len() - 3));

    let report = check::read(&disk);
    let (mut folder, reopened) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 4..=4)]).unwrap();
    let (_, last) = support::open(&disk).unwrap();

    assert!(
        report.torn_bytes > 0 && report.faults.is_empty(),
        "{report}"
    );
    assert_eq!(reopened.truncated_bytes, report.torn_bytes);
    assert_eq!(support::positions(&reopened), [(2, 1), (2, 2), (2, 3)]);
    assert_eq!(support::positions(&last).last(), Some(&(2, 4)));
}

// One bit of the last acknowledged record flips. If recovery took the record for a
// torn tail, it would silently truncate an acknowledged change.
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

// Power fails during a write. The file has its new length, but one sector was not
// written and contains zeros. Nothing in this write was acknowledged.
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

    let (_, reopened) = support::open(&disk).unwrap();

    assert!(reopened.truncated_bytes > 0);
    assert_eq!(support::positions(&reopened), [(2, 1), (2, 2), (2, 3)]);
}

// A disk block with an acknowledged record is corrupted. Recovery without the record
// would lose an accepted change, so the replica stops and reports the location.
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

// The only segment consists of its header, which stores the term and vote, and the
// header is corrupted. If it were taken for a torn tail, the replica could vote twice.
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

// An operator removes a segment to free disk space, which deletes accepted changes.
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
    disk.delete("log-0000000000000002.seg");

    let error = support::open(&disk).unwrap_err();

    assert!(
        error.to_string().contains("segment before it is missing"),
        "{error}"
    );
}

// The identity file is removed, but the log exists. With a new replica id the replica
// would forget the votes that it gave under the old id.
#[test]
fn log_without_identity_stops() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=3)]).unwrap();
    disk.delete("identity");

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

    let (_, reopened) = support::open(&disk).unwrap();

    assert_eq!(support::positions(&reopened), [(2, 12)]);
    assert_eq!(
        reopened.snapshot.unwrap().position,
        support::position(2, 11)
    );
    assert_eq!(disk.names("snapshot-").len(), 1);
    assert!(!disk.names("log-").contains(&SEGMENT.to_owned()));
}

// The process dies after it writes the leader's snapshot and before it restarts the
// log. The old log conflicts with the snapshot and must not be used.
#[test]
fn log_that_disagrees_with_the_snapshot_is_dropped() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    folder.write(&[support::append(2, 1..=20)]).unwrap();
    folder.write(&[support::snapshot(4, 15, false)]).unwrap();

    let (mut folder, reopened) = support::open(&disk).unwrap();
    folder.write(&[support::append(5, 16..=17)]).unwrap();
    let (_, last) = support::open(&disk).unwrap();

    assert!(reopened.entries.is_empty());
    assert_eq!(support::positions(&last), [(5, 16), (5, 17)]);
}

// A later segment replaces entries of a former leader below its own base, and a
// snapshot lets the earlier segments be removed. Recovery must not report this as
// damage, which would stop a healthy replica.
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

    let (_, reopened) = support::open(&disk).unwrap();

    let expected: Vec<(u64, u64)> = (26..=30).map(|index| (3, index)).collect();
    assert_eq!(support::positions(&reopened), expected);
}

// The disk is full. Neither this batch nor a later one may be acknowledged until a
// restart has read the content of the disk.
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

// After a failed fsync the operating system may report the next one as successful
// although the data never reached the disk, so the folder must not retry.
#[test]
fn failed_sync_is_not_tried_again() {
    let disk = support::Disk::default();
    let (mut folder, _) = support::open(&disk).unwrap();
    disk.fail_sync(true);
    let first = folder.write(&[support::append(2, 1..=3)]);
    disk.fail_sync(false);

    let second = folder.write(&[support::append(2, 4..=4)]);
    disk.lose_power();
    let (_, reopened) = support::open(&disk).unwrap();

    assert!(matches!(first, Err(error::Error::Io { .. })));
    assert!(matches!(second, Err(error::Error::Failed)));
    assert!(reopened.entries.is_empty());
}

// The process is killed between a write and its sync. The restart reads the data and
// may acknowledge it, so the next power loss must not lose it.
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
    let (_, reopened) = support::open(&disk).unwrap();

    assert_eq!(support::positions(&read), [(2, 1), (2, 2), (2, 3)]);
    assert_eq!(support::positions(&reopened), support::positions(&read));
}

// Two processes are started with the same folder, for example by two supervisors.
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
