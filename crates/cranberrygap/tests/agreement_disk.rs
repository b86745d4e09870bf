//! Disks that are lost, damaged or used twice.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::fs;
use std::path::PathBuf;

use cranberrygap_wire::{method, operator, view};
use support::{fleet, group, process, wait};

async fn controls() -> fleet::Fleet {
    let shape = fleet::Shape::builder()
        .controls(3)
        .entries(0)
        .engines(0)
        .services(0);
    fleet::Fleet::start(shape.build()).await
}

fn data(fleet: &fleet::Fleet, name: &str) -> PathBuf {
    fleet.folder().join(format!("data-{name}"))
}

async fn key_count(fleet: &fleet::Fleet) -> usize {
    let keys: Vec<view::Key> = fleet.ask_leader(method::KEY_LIST, &()).await;
    keys.len()
}

fn author(change: &str) -> operator::Author {
    operator::Author {
        change: change.parse().unwrap(),
        by: "ada".into(),
        why: "a test".into(),
    }
}

/// The largest log segment in a folder.
fn segment(folder: &PathBuf) -> PathBuf {
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap());
    let segments = entries.filter(|entry| entry.file_name().to_string_lossy().ends_with(".seg"));
    let largest = segments.max_by_key(|entry| entry.metadata().unwrap().len());
    largest.unwrap().path()
}

// An instance's disk is replaced and its control process starts with an empty
// folder. It must not vote as the replica that it was; operators put it in again
// under its new id, and right after that another instance fails.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_comes_back_as_a_learner_and_another_may_fail() {
    let mut fleet = controls().await;
    for _ in 0..5 {
        fleet.issue("statistics").await;
    }
    let (leader, _) = group::leader(&fleet).await;
    let names = ["control-1", "control-2", "control-3"];
    let mut others = names.iter().filter(|name| **name != leader);
    let (lost, failing) = (*others.next().unwrap(), *others.next().unwrap());

    fleet.process(lost).kill();
    fs::remove_dir_all(data(&fleet, lost)).unwrap();
    fleet.process(lost).restart();
    wait::until("it is noticed", async || {
        let log = fleet.processes[lost].log();
        log.contains("it does not start as that voter")
    })
    .await;
    let place = lost.rsplit_once('-').unwrap().1.parse::<usize>().unwrap() - 1;
    let instance = lost.parse().unwrap();
    let leave = operator::Leave {
        author: author("out"),
        instance,
    };
    let _without: operator::Group = fleet.ask_leader(method::MEMBER_REMOVE, &leave).await;
    let join = operator::Join {
        author: author("in"),
        peer: format!("{lost}@{}", fleet.controls[place].peers)
            .parse()
            .unwrap(),
        domain: "oslo-1".parse().unwrap(),
    };
    let with: operator::Group = fleet.ask_leader(method::MEMBER_ADD, &join).await;
    fleet.process(failing).kill();

    fleet.issue("statistics").await;
    assert_eq!(with.voters.len(), 3, "{with:?}");
    assert_eq!(key_count(&fleet).await, 6);
}

// A block under acknowledged changes goes bad. The process must not start as if
// they had never been; it says where the damage is, and the command too.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_log_stops_the_process_with_file_and_offset() {
    let mut fleet = controls().await;
    for _ in 0..5 {
        fleet.issue("statistics").await;
    }
    wait::until("the replica has them", async || {
        let dump = fleet.dump(fleet.controls[1].admin).await;
        let keys = dump["fleet"]["view"]["keys"].as_array();
        keys.is_some_and(|keys| keys.len() == 5)
    })
    .await;
    let folder = data(&fleet, "control-2");
    let check = ["storage", "check", folder.to_str().unwrap()];
    let before = group::run(&fleet, &check).await;

    fleet.process("control-2").kill();
    let path = segment(&folder);
    let mut bytes = fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).unwrap();
    let after = group::run(&fleet, &check).await;
    let binary = env!("CARGO_BIN_EXE_cranberrygap-control");
    let mut damaged = process::Process::start("control-2", binary, fleet.folder());
    let status = damaged.ended().await;

    assert!(before.status.success(), "{}", group::text(&before));
    assert!(group::text(&before).contains("nothing is wrong"));
    assert_eq!(after.status.code(), Some(1));
    assert!(group::text(&after).contains(".seg: damaged at byte"));
    assert!(!status.success());
    assert!(damaged.log().contains(".seg: damaged at byte"));
    assert_eq!(key_count(&fleet).await, 5);
}

// A supervisor starts a second process on the folder of a running one.
#[tokio::test(flavor = "multi_thread")]
async fn second_process_on_one_folder_ends_at_once() {
    let fleet = controls().await;
    let binary = env!("CARGO_BIN_EXE_cranberrygap-control");
    let _running = fleet.dump(fleet.controls[0].admin).await;

    let mut second = process::Process::start("control-1", binary, fleet.folder());
    let status = second.ended().await;

    assert!(!status.success());
    assert!(second.log().contains("another process uses this folder"));
}
