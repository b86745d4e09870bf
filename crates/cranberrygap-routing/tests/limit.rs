//! Limits that endpoints name, kept by their home entry and by entries without one.

use cranberrygap_model::{duration, rate};
use cranberrygap_routing::limit::{Grant, Report, Statement, known, ledger};

const ENDPOINT: u32 = 7;
const NO_WAIT: duration::Span = duration::Span(0);

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn limit(text: &str) -> rate::Limit {
    text.parse().expect("a limit")
}

fn named(text: &str, millis: u64) -> Statement {
    Statement {
        limit: Some(limit(text)),
        at: at(millis),
    }
}

/// Requests that are granted when one is wanted each millisecond from `from` to `until`.
fn granted(from: u64, until: u64, mut take: impl FnMut(duration::Instant) -> Grant) -> usize {
    let grants = (from..until).map(|millis| take(at(millis)));
    grants
        .filter(|grant| matches!(grant, Grant::After(_)))
        .count()
}

// Eight entries send to an endpoint that takes 1.3 requests a second from all of them.
#[test]
fn home_grants_the_limit_once_for_all_entries() {
    let mut ledger = ledger::Ledger::default();

    let count = granted(1_000, 5_000, |now| {
        ledger.take(now, ENDPOINT, named("1.3", 1_000), NO_WAIT)
    });

    assert_eq!(count, 5);
}

// A caller that can wait a moment gets the next place, in order, and needs not ask again.
#[test]
fn request_that_can_wait_is_told_how_long() {
    let mut ledger = ledger::Ledger::default();
    let max_wait = duration::Span::from_millis(300);
    let mut take = |millis| ledger.take(at(millis), ENDPOINT, named("10", 0), max_wait);

    let waits = [
        take(1_000),
        take(1_000),
        take(1_000),
        take(1_000),
        take(1_000),
    ];

    let after = |millis| Grant::After(duration::Span::from_millis(millis));
    let full = Grant::Full(duration::Span::from_millis(400));
    assert_eq!(waits, [after(100), after(200), after(300), full, full]);
}

// Each entry that its home does not answer would begin with room for a request; eight of them
// would exceed a small limit together.
#[test]
fn entries_without_a_home_stay_within_half_of_the_limit_together() {
    let mut entries: Vec<known::Known> = (0..8).map(|_| known::Known::default()).collect();

    let counts = entries.iter_mut().map(|entry| {
        granted(0, 20_000, |now| {
            entry.take_part(now, limit("4"), 8, NO_WAIT)
        })
    });

    let total: usize = counts.sum();
    assert!((30..=40).contains(&total), "{total} in 20 s at 4 a second");
}

// The home restarts and knows nothing; the first entry that asks tells it.
#[test]
fn new_home_learns_the_limit_from_a_claim() {
    let mut ledger = ledger::Ledger::default();
    let unknown = Statement::default();

    let before = ledger.take(at(5_000), ENDPOINT, unknown, NO_WAIT);
    let first = ledger.take(at(5_000), ENDPOINT, named("2", 4_000), NO_WAIT);
    let other = ledger.take(at(5_400), ENDPOINT, unknown, NO_WAIT);
    let later = ledger.take(at(5_500), ENDPOINT, unknown, NO_WAIT);

    assert_eq!(before, Grant::Unlimited);
    assert_eq!(first, Grant::Full(duration::Span::from_millis(500)));
    assert_eq!(other, Grant::Full(duration::Span::from_millis(100)));
    assert_eq!(later, Grant::After(NO_WAIT));
}

// An entry that has not sent to the endpoint for a while still believes in its limit, and asks
// after others have heard that it recovered.
#[test]
fn older_statement_does_not_bring_a_limit_back() {
    let mut ledger = ledger::Ledger::default();
    ledger.record(at(1_000), ENDPOINT, named("2", 1_000));
    let recovered = Statement {
        limit: None,
        at: at(3_000),
    };
    ledger.record(at(3_000), ENDPOINT, recovered);

    let grant = ledger.take(at(4_000), ENDPOINT, named("2", 2_000), NO_WAIT);
    let anew = ledger.take(at(5_000), ENDPOINT, named("2", 4_500), NO_WAIT);

    assert_eq!(grant, Grant::Unlimited);
    assert!(anew != Grant::Unlimited);
}

// Answers to requests from before the limit arrive after it; one without a limit must not end it.
#[test]
fn response_to_an_earlier_request_does_not_end_a_limit() {
    let mut known = known::Known::default();
    known.record(at(1_000), at(900), Some(limit("1.3")), None);

    let earlier = known.record(at(1_100), at(950), None, None);
    let still = known.current(None);
    let later = known.record(at(2_000), at(1_500), None, None);

    assert_eq!(earlier, None);
    assert!(still.is_some());
    assert_eq!(later.map(|report: Report| report.limit), Some(None));
    assert_eq!(known.current(None), None);
}

// The next process at the endpoint's name starts without a limit.
#[test]
fn restarted_endpoint_has_no_limit() {
    let mut ledger = ledger::Ledger::default();
    ledger.record(at(1_000), ENDPOINT, named("2", 1_000));

    ledger.forget(ENDPOINT);

    let grant = ledger.take(at(1_500), ENDPOINT, Statement::default(), NO_WAIT);
    assert_eq!(grant, Grant::Unlimited);
}
