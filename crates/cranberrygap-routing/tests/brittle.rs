//! Room at endpoints that fall over when they turn away too many requests.

use cranberrygap_model::{duration, rate};
use cranberrygap_routing::brittle::Guard;

const SLOTS: u32 = 8;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn brittle() -> Guard {
    let mut guard = Guard::default();
    guard.record_response(Some("3".parse::<rate::Rejections>().expect("a number")));
    guard
}

#[test]
fn other_endpoints_always_have_room() {
    let mut guard = Guard::default();

    guard.record_rejection(at(0), SLOTS);

    assert!(guard.has_room(at(0), 100 * SLOTS, SLOTS));
}

#[test]
fn brittle_endpoint_gets_no_more_than_its_slots() {
    let guard = brittle();

    assert!(guard.has_room(at(0), SLOTS - 1, SLOTS));
    assert!(!guard.has_room(at(0), SLOTS, SLOTS));
    assert!(
        guard.has_room(at(0), 1_000, 0),
        "unknown slots are no bound"
    );
}

// An endpoint that has less room than slots must not turn away one request after the other.
#[test]
fn rejection_closes_the_endpoint_and_lowers_its_room() {
    let mut guard = brittle();

    guard.record_rejection(at(0), SLOTS);

    assert!(!guard.has_room(at(999), 0, SLOTS));
    assert!(guard.has_room(at(1_000), 5, SLOTS));
    assert!(!guard.has_room(at(1_000), 6, SLOTS));
}

#[test]
fn further_rejections_lower_the_room_further_but_not_to_nothing() {
    let mut guard = brittle();

    for second in 0..20 {
        guard.record_rejection(at(second * 1_000), SLOTS);
    }

    assert!(guard.has_room(at(20_000), 0, SLOTS));
    assert!(!guard.has_room(at(20_000), 1, SLOTS));
}

#[test]
fn room_comes_back_after_a_while_without_rejections() {
    let mut guard = brittle();

    guard.record_rejection(at(0), 2);

    assert!(!guard.has_room(at(9_000), SLOTS - 1, SLOTS));
    assert!(guard.has_room(at(10_000), SLOTS - 1, SLOTS));
}

// A service that says so no more is free again.
#[test]
fn endpoint_that_does_not_say_so_any_more_is_free() {
    let mut guard = brittle();
    guard.record_rejection(at(0), SLOTS);

    guard.record_response(None);

    assert!(guard.has_room(at(0), SLOTS, SLOTS));
}

#[test]
fn malformed_numbers_are_refused() {
    for text in ["", "-1", "1.5", "many", "99999999999999999999", "+"] {
        let parsed = text.parse::<rate::Rejections>();

        let cause = parsed.unwrap_err().to_string();
        assert!(cause.contains("rejections"), "{text:?}: {cause}");
    }
    assert_eq!(" 4 ".parse::<rate::Rejections>().unwrap().to_string(), "4");
}
