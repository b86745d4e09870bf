//! Requests that crash endpoints, and the innocents beside them.

use cranberrygap_model::{duration, id, number};
use cranberrygap_policy::quarantine::{permission, suspects};
use smol_str::SmolStr;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn place(boot: u64) -> suspects::Incarnation {
    suspects::Incarnation {
        endpoint: "runner-1".parse().expect("a valid name"),
        boot: number::Boot(boot),
    }
}

fn start(
    watch: &mut suspects::Tracker,
    place: &suspects::Incarnation,
    fingerprint: &SmolStr,
) -> u64 {
    watch
        .start_request(at(0), place, fingerprint)
        .expect("it may run there")
}

fn endpoint(name: &str) -> id::Endpoint {
    name.parse().expect("a valid name")
}

fn leave(fingerprint: &str, instance: &str) -> permission::Permission {
    permission::Permission {
        fingerprint: fingerprint.into(),
        instance: instance.parse().expect("a valid name"),
        boot: number::Boot(1),
        until: at(0),
    }
}

fn open_table() -> (permission::Table, duration::Instant) {
    (permission::Table::new(at(0)), at(6_000))
}

#[test]
fn all_that_ran_on_a_dead_endpoint_is_suspect() {
    let mut watch = suspects::Tracker::default();
    start(&mut watch, &place(1), &SmolStr::new("culprit"));
    start(&mut watch, &place(1), &SmolStr::new("innocent"));
    let done = start(&mut watch, &place(1), &SmolStr::new("finished"));
    watch.finish_request(&place(1), done, true);

    let crash = watch.record_boot(at(5), &place(2));

    assert_eq!(crash.len(), 1);
    assert_eq!(crash[0].fingerprints, ["culprit", "innocent"]);
    assert!(watch.is_suspect(at(6), "innocent"));
    assert!(!watch.is_suspect(at(6), "finished"));
    assert!(watch.is_dead(&place(1)));
}

// An innocent shared an engine with a culprit and is retried. Once it is answered
// whole it must be free of suspicion: one that is sent often would otherwise be
// condemned at the next crash beside it.
#[test]
fn answered_suspect_is_cleared() {
    let mut watch = suspects::Tracker::default();
    let innocent = SmolStr::new("innocent");
    start(&mut watch, &place(1), &innocent);
    watch.record_death(at(0), &place(1));

    let again = start(&mut watch, &place(2), &innocent);
    let cleared = watch.finish_request(&place(2), again, true);

    assert!(cleared);
    assert!(!watch.is_suspect(at(1), "innocent"));
}

// Two suspects are retried on one endpoint, and it dies. Nothing would tell
// which of them did it. And on a dead one nothing should be tried at all.
#[test]
fn suspect_runs_neither_beside_another_nor_on_a_dead_endpoint() {
    let mut watch = suspects::Tracker::default();
    let (first, second) = (SmolStr::new("first"), SmolStr::new("second"));
    start(&mut watch, &place(1), &first);
    start(&mut watch, &place(1), &second);
    watch.record_death(at(0), &place(1));

    let dead = watch.start_request(at(1), &place(1), &first);
    let alone = watch.start_request(at(1), &place(2), &first);
    let shared = watch.start_request(at(1), &place(2), &second);
    let innocent = watch.start_request(at(1), &place(2), &SmolStr::new("innocent"));

    assert_eq!(dead, Err(suspects::Denial::Dead));
    assert_eq!(shared, Err(suspects::Denial::OtherSuspect));
    assert!(alone.is_ok() && innocent.is_ok());
}

// Two suspects of two entries run on one endpoint, and it dies. Nothing would
// tell which of them did it.
#[test]
fn one_suspect_at_a_time_has_an_endpoint() {
    let (mut table, now) = open_table();

    let first = table.try_grant(now, &endpoint("a"), &leave("culprit", "entry-1"));
    let second = table.try_grant(now, &endpoint("a"), &leave("innocent", "entry-2"));
    let elsewhere = table.try_grant(now, &endpoint("b"), &leave("innocent", "entry-2"));
    let twice = table.try_grant(now, &endpoint("c"), &leave("innocent", "entry-3"));

    assert!(first && elsewhere);
    assert!(!second && !twice);
}

// The leader that gave a leave is replaced; its successor knows nothing of it.
#[test]
fn new_leader_waits_for_the_leaves_of_the_old_one() {
    let mut table = permission::Table::new(at(0));

    let early = table.try_grant(at(4_999), &endpoint("a"), &leave("x", "entry-1"));
    let later = table.try_grant(at(5_200), &endpoint("a"), &leave("x", "entry-1"));

    assert!(!early);
    assert!(later);
}

#[test]
fn leave_ends_with_its_lease_or_its_request() {
    let (mut table, now) = open_table();
    table.try_grant(now, &endpoint("a"), &leave("x", "entry-1"));
    table.try_grant(now, &endpoint("b"), &leave("y", "entry-1"));

    table.release(&endpoint("a"), &leave("x", "entry-1"));
    let after_end = table.try_grant(now, &endpoint("a"), &leave("z", "entry-2"));
    let lapsed = now
        .after(permission::LEASE_DURATION)
        .after(duration::Span::from_secs(1));
    let after_lease = table.try_grant(lapsed, &endpoint("b"), &leave("z", "entry-2"));

    assert!(after_end);
    assert!(after_lease);
}
