//! Claims: each booking runs at most once, also after its claim was removed.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_model::number;
use cranberrygap_state::{answer, command, member};
use cranberrygap_wire::claim;

const DAY_MILLIS: u64 = 24 * 3_600_000;

/// Unix time in milliseconds at which the tests begin; UUIDs of version 7 carry such times.
const START_MILLIS: u64 = 1_800_000_000_000;

fn group() -> fixture::Group {
    fixture::Group {
        at: START_MILLIS,
        ..fixture::Group::default()
    }
}

fn verdict(answer: answer::Answer) -> claim::Verdict {
    match answer {
        answer::Answer::Claimed(verdict) => verdict,
        other => panic!("a claim was expected, found {other:?}"),
    }
}

fn timed_key(at: u64) -> String {
    let digits = format!("{at:012x}");
    format!("{}-{}-7abc-8def-0123456789ab", &digits[..8], &digits[8..])
}

// The answer to a booking is lost and the caller sends it again. If the booking ran twice,
// it would take effect twice.
#[test]
fn resend_gets_the_stored_answer() {
    let mut group = group();
    let first = verdict(group.answer(fixture::open("k", "body")));
    let running = verdict(group.answer(fixture::open("k", "body")));
    group.commit(fixture::close("k", 1, fixture::response("e30=")));

    let resent = verdict(group.answer(fixture::open("k", "body")));

    assert_eq!(first, claim::Verdict::Granted { claim: 1 });
    assert_eq!(running, claim::Verdict::Running);
    let outcome = fixture::response("e30=");
    assert_eq!(resent, claim::Verdict::Stored { outcome });
}

#[test]
fn other_body_under_the_same_key_is_refused() {
    let mut group = group();
    group.commit(fixture::open("k", "body"));

    let other = verdict(group.answer(fixture::open("k", "other")));

    assert_eq!(other, claim::Verdict::Conflict);
}

#[test]
fn booking_that_did_not_run_may_be_claimed_again() {
    let mut group = group();
    group.commit(fixture::open("k", "body"));
    group.commit(fixture::close("k", 1, claim::Outcome::NotRun));

    let again = verdict(group.answer(fixture::open("k", "body")));

    assert_eq!(again, claim::Verdict::Granted { claim: 2 });
}

// The close of a first attempt that did not run is delayed until a second attempt runs.
// It must not allow a third one.
#[test]
fn late_close_of_an_earlier_claim_changes_nothing() {
    let mut group = group();
    group.commit(fixture::open("k", "body"));
    group.commit(fixture::close("k", 1, claim::Outcome::NotRun));
    group.commit(fixture::open("k", "body"));

    group.commit(fixture::close("k", 1, claim::Outcome::NotRun));

    let third = verdict(group.answer(fixture::open("k", "body")));
    assert_eq!(third, claim::Verdict::Running);
}

// An entry dies between dispatch and answer. Nobody knows whether the booking ran, so it
// must not run again.
#[test]
fn running_booking_of_a_restarted_entry_becomes_unknown() {
    let mut group = group();
    let member = serde_json::json!({
        "instance": "entry-1", "domain": "oslo-1", "role": "entry",
        "address": "127.0.0.1:1", "phase": "active",
    });
    let seen = |boot: u64| {
        command::Command::Member(member::Step::Seen {
            member: serde_json::from_value(member.clone()).unwrap(),
            boot: number::Boot(boot),
        })
    };
    group.commit(seen(1));
    group.commit(fixture::open("k", "body"));

    group.commit(seen(2));

    let resent = verdict(group.answer(fixture::open("k", "body")));
    let outcome = claim::Outcome::Unknown;
    assert_eq!(resent, claim::Verdict::Stored { outcome });
}

// A caller sends a booking again long after its claim was removed. It must not run a
// second time.
#[test]
fn key_cannot_run_again_after_its_claim_was_removed() {
    for key in ["plain".to_owned(), timed_key(START_MILLIS)] {
        let mut group = group();
        group.commit(fixture::open(&key, "body"));
        group.commit(fixture::close(&key, 1, fixture::response("e30=")));

        group.at += 2 * DAY_MILLIS;
        let resent = verdict(group.answer(fixture::open(&key, "body")));

        assert_eq!(resent, claim::Verdict::Expired, "key {key}");
        assert_eq!(group.fleet.claims.count(), 0);
    }
}

// Keys that carry their time need no fingerprint once they are old, and a longer
// retention set later must not make removed keys valid again.
#[test]
fn timed_keys_leave_no_fingerprint_and_stay_expired() {
    let mut group = group();
    let key = timed_key(START_MILLIS);
    group.commit(fixture::open(&key, "body"));
    group.commit(fixture::close(&key, 1, claim::Outcome::Unknown));
    group.at += 2 * DAY_MILLIS;
    group.commit(fixture::open("other", "body"));

    group.commit(fixture::configure(
        "c",
        "ada",
        0,
        "[defaults]\nclaim_retention = 900h\n",
    ));
    let resent = verdict(group.answer(fixture::open(&key, "body")));

    assert_eq!(resent, claim::Verdict::Expired);
    assert_eq!(group.fleet.claims.fingerprints(), 0);
}
