//! Requests that crash endpoints, and innocent requests that run beside them.

use cranberrygap_model::{duration, id, number};
use cranberrygap_policy::quarantine::{permission, suspects};
use smol_str::SmolStr;

const SOON: suspects::Isolation = suspects::Isolation::AfterFirstCrash;
const LATER: suspects::Isolation = suspects::Isolation::AfterSecondCrash;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn incarnation(boot: u64) -> suspects::Incarnation {
    suspects::Incarnation {
        endpoint: "runner-1".parse().expect("a valid name"),
        boot: number::Boot(boot),
    }
}

fn start(
    tracker: &mut suspects::Tracker,
    incarnation: &suspects::Incarnation,
    fingerprint: &SmolStr,
) -> u64 {
    tracker
        .start_request(at(0), incarnation, std::slice::from_ref(fingerprint), LATER)
        .expect("it may run there")
}

/// Crashes a boot of the endpoint while the requests run there.
fn crash_under(tracker: &mut suspects::Tracker, boot: u64, requests: &[&SmolStr]) {
    for request in requests {
        start(tracker, &incarnation(boot), request);
    }
    tracker.record_death(at(0), &incarnation(boot));
}

fn endpoint(name: &str) -> id::Endpoint {
    name.parse().expect("a valid name")
}

fn permission(fingerprint: &str, instance: &str) -> permission::Permission {
    permission::Permission {
        fingerprint: fingerprint.into(),
        instance: instance.parse().expect("a valid name"),
        boot: number::Boot(1),
        until: at(0),
    }
}

fn granting_table() -> (permission::Table, duration::Instant) {
    (permission::Table::new(at(0)), at(6_000))
}

#[test]
fn requests_on_a_dead_endpoint_become_suspect() {
    let mut tracker = suspects::Tracker::default();
    start(&mut tracker, &incarnation(1), &SmolStr::new("culprit"));
    start(&mut tracker, &incarnation(1), &SmolStr::new("innocent"));
    let done = start(&mut tracker, &incarnation(1), &SmolStr::new("finished"));
    tracker.finish_request(at(0), &incarnation(1), done, suspects::Ending::Complete);

    let crash = tracker.record_boot(at(5), &incarnation(2));

    assert_eq!(crash.len(), 1);
    assert_eq!(crash[0].fingerprints, ["culprit", "innocent"]);
    assert!(tracker.needs_permission(at(6), "innocent", SOON));
    assert!(!tracker.needs_permission(at(6), "finished", SOON));
    assert!(tracker.is_dead(&incarnation(1)));
}

// Requests notice one after the other that their connections broke, and the endpoint is shown
// to be dead only later. The first to notice must be reported with the others.
#[test]
fn request_whose_connection_broke_is_accused_of_the_crash() {
    let mut tracker = suspects::Tracker::default();
    let culprit = SmolStr::new("culprit");
    let run = start(&mut tracker, &incarnation(1), &culprit);
    let left = start(&mut tracker, &incarnation(1), &SmolStr::new("left"));

    tracker.finish_request(at(1), &incarnation(1), run, suspects::Ending::Broken);
    tracker.finish_request(at(1), &incarnation(1), left, suspects::Ending::Incomplete);
    let crash = tracker.record_death(at(400), &incarnation(1));

    assert_eq!(crash.map(|crash| crash.fingerprints), Some(vec![culprit]));
}

// Ordinary crashes come in waves that hit hundreds of requests. If one crash were enough to
// restrict a request of a route, each of them would wait for an endpoint of its own.
#[test]
fn route_request_needs_permission_only_after_its_second_crash() {
    let mut tracker = suspects::Tracker::default();
    let request = SmolStr::new("request");
    crash_under(&mut tracker, 1, &[&request]);

    let after_one = tracker.needs_permission(at(1), "request", LATER);
    crash_under(&mut tracker, 2, &[&request]);
    let after_two = tracker.needs_permission(at(1), "request", LATER);

    assert!(!after_one && after_two);
}

// The same lookup runs a hundred times a second, and endpoints that it runs on crash for
// another reason. Since it is completed all the time, it must not be restricted.
#[test]
fn request_that_was_completed_since_is_not_accused() {
    let mut tracker = suspects::Tracker::default();
    let lookup = SmolStr::new("lookup");
    let run = start(&mut tracker, &incarnation(9), &lookup);
    tracker.finish_request(at(0), &incarnation(9), run, suspects::Ending::Complete);

    start(&mut tracker, &incarnation(1), &lookup);
    let first = tracker.record_death(at(0), &incarnation(1)).unwrap();
    start(&mut tracker, &incarnation(2), &lookup);
    let second = tracker.record_death(at(0), &incarnation(2)).unwrap();

    assert!(first.fingerprints.is_empty());
    // A completion speaks for a request once.
    assert_eq!(second.fingerprints, [lookup]);
}

// An innocent request shared an engine with a culprit and is retried. After a complete answer
// it must not be suspect: one that is sent often would otherwise be condemned at the next
// crash beside it.
#[test]
fn answered_suspect_is_cleared() {
    let mut tracker = suspects::Tracker::default();
    let innocent = SmolStr::new("innocent");
    start(&mut tracker, &incarnation(1), &innocent);
    tracker.record_death(at(0), &incarnation(1));

    let again = start(&mut tracker, &incarnation(2), &innocent);
    let complete = suspects::Ending::Complete;
    let cleared = tracker.finish_request(at(0), &incarnation(2), again, complete);

    assert_eq!(cleared.as_slice(), std::slice::from_ref(&innocent));
    assert!(!tracker.needs_permission(at(1), "innocent", SOON));
}

// Two suspects are retried on one endpoint, and it dies: nothing would tell which of them
// crashed it. On a dead endpoint, no request must be tried at all.
#[test]
fn suspect_runs_neither_beside_another_nor_on_a_dead_endpoint() {
    let mut tracker = suspects::Tracker::default();
    let (first, second) = (SmolStr::new("first"), SmolStr::new("second"));
    crash_under(&mut tracker, 1, &[&first, &second]);
    let mut try_start = |boot, fingerprint| {
        let subjects = std::slice::from_ref(fingerprint);
        tracker.start_request(at(1), &incarnation(boot), subjects, SOON)
    };

    let dead = try_start(1, &first);
    let alone = try_start(2, &first);
    let shared = try_start(2, &second);
    let innocent = try_start(2, &SmolStr::new("innocent"));

    assert_eq!(dead, Err(suspects::Denial::Dead));
    assert_eq!(shared, Err(suspects::Denial::OtherSuspect));
    assert!(alone.is_ok() && innocent.is_ok());
}

// Two suspects of two entries run on one endpoint, and it dies: nothing would tell which of
// them crashed it.
#[test]
fn endpoint_runs_one_suspect_at_a_time() {
    let (mut table, now) = granting_table();

    let first = table.try_grant(now, &endpoint("a"), &permission("culprit", "entry-1"));
    let second = table.try_grant(now, &endpoint("a"), &permission("innocent", "entry-2"));
    let elsewhere = table.try_grant(now, &endpoint("b"), &permission("innocent", "entry-2"));
    let twice = table.try_grant(now, &endpoint("c"), &permission("innocent", "entry-3"));

    assert!(first && elsewhere);
    assert!(!second && !twice);
}

// The leader that granted a permission is replaced, and its successor does not know of the
// permission.
#[test]
fn new_leader_waits_for_the_permissions_of_the_old_one() {
    let mut table = permission::Table::new(at(0));

    let early = table.try_grant(at(4_999), &endpoint("a"), &permission("x", "entry-1"));
    let later = table.try_grant(at(5_200), &endpoint("a"), &permission("x", "entry-1"));

    assert!(!early);
    assert!(later);
}

#[test]
fn permission_ends_with_its_lease_or_its_request() {
    let (mut table, now) = granting_table();
    table.try_grant(now, &endpoint("a"), &permission("x", "entry-1"));
    table.try_grant(now, &endpoint("b"), &permission("y", "entry-1"));

    table.release(&endpoint("a"), &permission("x", "entry-1"));
    let after_end = table.try_grant(now, &endpoint("a"), &permission("z", "entry-2"));
    let lease_end = now
        .after(permission::LEASE_DURATION)
        .after(duration::Span::from_secs(1));
    let after_lease = table.try_grant(lease_end, &endpoint("b"), &permission("z", "entry-2"));

    assert!(after_end);
    assert!(after_lease);
}

/// Starts a request with a part of its prompt.
fn start_with_part(tracker: &mut suspects::Tracker, boot: u64, request: &str, part: &str) -> u64 {
    let subjects = [SmolStr::new(request), SmolStr::new(part)];
    let started = tracker.start_request(at(0), &incarnation(boot), &subjects, LATER);
    started.expect("it may run there")
}

// A response that ends with its connection looks whole when its endpoint has died between two
// events. Taken for complete, it would clear the culprit.
#[test]
fn unconfirmed_end_is_accused_if_its_endpoint_is_dead() {
    let mut tracker = suspects::Tracker::default();
    let run = start_with_part(&mut tracker, 1, "culprit", "part:bad");

    let ending = suspects::Ending::Unconfirmed;
    let cleared = tracker.finish_request(at(10), &incarnation(1), run, ending);
    let crash = tracker.record_death(at(200), &incarnation(1)).unwrap();

    assert!(cleared.is_empty());
    assert_eq!(crash.fingerprints, ["culprit", "part:bad"]);
}

#[test]
fn unconfirmed_end_is_complete_once_its_endpoint_was_alive_after_it() {
    let mut tracker = suspects::Tracker::default();
    let run = start_with_part(&mut tracker, 1, "request", "part:sound");
    let ending = suspects::Ending::Unconfirmed;
    tracker.finish_request(at(10), &incarnation(1), run, ending);

    tracker.confirm(at(20), &incarnation(1), at(9));
    assert!(
        tracker.is_unconfirmed(&incarnation(1), run),
        "sent before the end"
    );
    tracker.confirm(at(20), &incarnation(1), at(10));

    assert!(!tracker.is_unconfirmed(&incarnation(1), run));
    assert!(tracker.record_death(at(30), &incarnation(1)).is_none());
    start_with_part(&mut tracker, 2, "other", "part:sound");
    let crash = tracker.record_death(at(40), &incarnation(2)).unwrap();
    assert_eq!(crash.fingerprints, ["other"]);
}

// Most requests hold a common part, and endpoints crash in waves for other reasons.
#[test]
fn part_that_was_completed_lately_is_not_accused() {
    let mut tracker = suspects::Tracker::default();
    let complete = suspects::Ending::Complete;
    let run = start_with_part(&mut tracker, 9, "request", "part:common");
    tracker.finish_request(at(1_000), &incarnation(9), run, complete);

    let mut accused = Vec::new();
    for (boot, now) in [(1, 1_100), (2, 2_999), (3, 3_000)] {
        start_with_part(
            &mut tracker,
            boot,
            &format!("request-{boot}"),
            "part:common",
        );
        let crash = tracker.record_death(at(now), &incarnation(boot)).unwrap();
        accused.push(
            crash
                .fingerprints
                .iter()
                .any(|subject| subject == "part:common"),
        );
    }

    assert_eq!(accused, [false, false, true]);
}

// A request that crashes endpoints by itself comes on probation sooner than one of its parts.
#[test]
fn part_needs_permission_only_after_its_third_crash() {
    let mut tracker = suspects::Tracker::default();
    let mut needs = Vec::new();
    for boot in 1..=3 {
        start_with_part(&mut tracker, boot, &format!("request-{boot}"), "part:bad");
        tracker.record_death(at(0), &incarnation(boot));
        needs.push(tracker.needs_permission(at(1), "part:bad", LATER));
    }

    assert_eq!(needs, [false, false, true]);
}
