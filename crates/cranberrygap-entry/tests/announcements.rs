//! What an entry passes on of announcements that arrive late or out of order.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_entry::announce;
use cranberrygap_wire::endpoint;

fn announcement(boot: u64, sequence: u64) -> endpoint::Announcement {
    let announcement = serde_json::json!({
        "endpoint": "runner-1", "boot": boot, "sequence": sequence,
        "address": "127.0.0.1:9", "domain": "oslo-1", "kind": "runner", "phase": "ready",
        "memory": "80GiB", "checks_fence": true, "resident": [],
    });
    serde_json::from_value(announcement).unwrap()
}

/// Boots and sequences of the heartbeats.
fn seen(batch: &announce::Batch) -> Vec<(u64, u64)> {
    let seen = batch.seen.iter();
    seen.map(|seen| (seen.boot.0, seen.sequence.0)).collect()
}

/// Boots of the announcements.
fn boots(batch: &announce::Batch) -> Vec<u64> {
    let announcements = batch.announcements.iter();
    announcements.map(|one| one.boot.0).collect()
}

// A heartbeat that a partition held up arrives after its sender has crashed and come back:
// the leader would not hear the living process in this batch.
#[test]
fn late_heartbeat_of_a_former_process_hides_none_of_its_successor() {
    let inbox = announce::Inbox::default();
    inbox.accept(announcement(1, 1)).unwrap();
    inbox.accept(announcement(2, 1)).unwrap();
    drop(inbox.drain());
    inbox.accept(announcement(2, 9)).unwrap();

    inbox.accept(announcement(1, 40)).unwrap();

    assert!(seen(&inbox.drain()).contains(&(2, 9)));
}

// The same before the leader has the successor's content.
#[test]
fn late_announcement_of_a_former_process_replaces_none_of_its_successor() {
    let inbox = announce::Inbox::default();
    inbox.accept(announcement(2, 1)).unwrap();

    inbox.accept(announcement(1, 40)).unwrap();

    assert!(boots(&inbox.drain()).contains(&2));
}

// The same while the batch with the successor's content is on its way to a leader that
// does not answer: what is put back would lack that content.
#[test]
fn late_announcement_of_a_former_process_loses_no_batch_that_failed() {
    let inbox = announce::Inbox::default();
    inbox.accept(announcement(2, 1)).unwrap();
    let failed = inbox.drain();
    inbox.accept(announcement(1, 40)).unwrap();

    inbox.restore(failed);

    assert!(boots(&inbox.drain()).contains(&2));
}

// After a late word, the successor's next heartbeat is taken for new content, and the former
// process's next one too, without end where two processes have one name.
#[test]
fn heartbeats_of_two_processes_are_no_new_content() {
    let inbox = announce::Inbox::default();
    inbox.accept(announcement(1, 1)).unwrap();
    inbox.accept(announcement(2, 1)).unwrap();
    drop(inbox.drain());

    inbox.accept(announcement(1, 2)).unwrap();
    inbox.accept(announcement(2, 2)).unwrap();

    assert!(!inbox.has_new_content());
}

// A delayed heartbeat of the former process must not undo its own leave either.
#[test]
fn older_announcement_of_the_same_process_is_refused() {
    let inbox = announce::Inbox::default();
    inbox.accept(announcement(1, 2)).unwrap();
    inbox.accept(announcement(2, 1)).unwrap();

    let taken = inbox.accept(announcement(1, 1));

    assert_eq!(taken, Err(announce::Error::Older));
}

// An endpoint restarts while the leader is away. The leader takes the later one of one batch
// for the successor, so the order in which they came must not depend on their boots.
#[test]
fn processes_are_passed_on_in_the_order_in_which_they_came() {
    let inbox = announce::Inbox::default();
    inbox.accept(announcement(9, 1)).unwrap();
    let failed = inbox.drain();
    inbox.accept(announcement(3, 1)).unwrap();

    inbox.restore(failed);

    assert_eq!(boots(&inbox.drain()), [9, 3]);
}

// Without a bound, strangers on the listener could make an entry store without end.
#[test]
fn processes_of_one_endpoint_are_bounded() {
    let inbox = announce::Inbox::default();

    for boot in 1..=100 {
        inbox.accept(announcement(boot, 1)).unwrap();
    }

    let boots = boots(&inbox.drain());
    assert!(boots.len() <= 8, "{boots:?}");
    assert!(boots.contains(&100), "{boots:?}");
}
