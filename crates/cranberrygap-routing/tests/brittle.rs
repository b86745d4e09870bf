//! Room at endpoints that fall over when they turn away too many requests.

use cranberrygap_model::{duration, rate};
use cranberrygap_routing::brittle::{Guard, ledger};
use cranberrygap_routing::prompt::home;

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

const ENDPOINT: u32 = 7;

fn claim(entry: u8, running: u32) -> ledger::Claim {
    ledger::Claim {
        entry: Some(([10, 0, 0, entry], 7_600).into()),
        bears: "3".parse().expect("a number"),
        slots: SLOTS,
        running,
    }
}

fn entries(count: u8) -> Vec<home::Entry> {
    let entries = (0..count).map(|number| home::Entry {
        instance: format!("entry-{number}").parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        address: cranberrygap_model::address::Socket(([10, 0, 0, number], 7_600).into()),
    });
    entries.collect()
}

// Entries that ask in the same milliseconds know the same load. Each place must be granted once.
#[test]
fn home_grants_each_place_once() {
    let mut ledger = ledger::Ledger::default();

    let granted = (0..100).filter(|entry| ledger.take(at(5), ENDPOINT, &claim(*entry, 2)));

    assert_eq!(granted.count(), SLOTS as usize - 2);
}

#[test]
fn place_counts_until_its_entry_tells_of_the_request() {
    let mut ledger = ledger::Ledger::default();
    assert!(ledger.take(at(0), ENDPOINT, &claim(1, SLOTS - 1)));
    assert!(!ledger.take(at(1), ENDPOINT, &claim(2, SLOTS - 1)));

    ledger.settle(ENDPOINT, claim(1, 0).entry);

    assert!(ledger.take(at(2), ENDPOINT, &claim(2, SLOTS - 1)));
}

#[test]
fn place_of_a_request_that_is_never_sent_is_free_again() {
    let mut ledger = ledger::Ledger::default();
    assert!(ledger.take(at(0), ENDPOINT, &claim(1, SLOTS - 1)));

    assert!(!ledger.take(at(999), ENDPOINT, &claim(2, SLOTS - 1)));
    assert!(ledger.take(at(1_000), ENDPOINT, &claim(2, SLOTS - 1)));
}

// Room that one entry learned to be smaller must be smaller for all.
#[test]
fn rejection_of_one_entry_closes_the_endpoint_for_all() {
    let mut ledger = ledger::Ledger::default();

    ledger.record_rejection(at(0), ENDPOINT, claim(1, 0).bears, SLOTS);

    assert!(!ledger.take(at(500), ENDPOINT, &claim(2, 0)));
    assert!(!ledger.take(at(1_000), ENDPOINT, &claim(2, 6)));
    assert!(ledger.take(at(1_000), ENDPOINT, &claim(2, 5)));
}

// Entries whose home is gone must not each take the whole endpoint.
#[test]
fn parts_of_all_entries_fit_the_slots() {
    for count in [1, 3, 8, 20, 200] {
        let entries = entries(count);
        let parts = entries
            .iter()
            .map(|entry| home::part(ENDPOINT, SLOTS, &entry.instance, &entries));

        let sum: u32 = parts.sum();

        assert!(sum <= SLOTS && sum > SLOTS / 2, "{count} entries: {sum}");
    }
}
