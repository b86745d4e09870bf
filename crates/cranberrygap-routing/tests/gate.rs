//! What endpoints get that asked for rest or that drain.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_model::{duration, id, number};
use cranberrygap_routing::gate::book::Book;
use cranberrygap_routing::gate::{Passage, Process};

const REST: duration::Span = duration::Span::from_secs(3);

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn endpoint() -> id::Endpoint {
    "i-1".parse().unwrap()
}

const fn process(endpoint: &id::Endpoint, boot: u64) -> Process<'_> {
    Process {
        endpoint,
        boot: number::Boot(boot),
    }
}

/// Requests that enter between two times, one every 10 ms wanting to.
fn entering(book: &mut Book, process: Process<'_>, from: u64, until: u64) -> usize {
    let times = (from..until).step_by(10);
    times
        .filter(|millis| book.enter(at(*millis), process) == Passage::Open)
        .count()
}

#[test]
fn rest_lasts_as_long_as_asked() {
    let name = endpoint();
    let rests = process(&name, 1);
    let mut book = Book::default();

    assert!(book.rest(at(1_000), rests, REST));

    assert_eq!(book.passage(at(1_000), rests), Passage::After(at(4_000)));
    assert_eq!(book.passage(at(3_999), rests), Passage::After(at(4_000)));
    assert_eq!(book.passage(at(4_000), rests), Passage::Open);
    assert_eq!(book.passage(at(1_000), process(&name, 2)), Passage::Open);
}

// An endpoint that asked one request for a long rest may ask the next one for a short one.
#[test]
fn latest_end_of_overlapping_rests_counts() {
    let name = endpoint();
    let rests = process(&name, 1);
    let mut book = Book::default();
    book.rest(at(0), rests, REST);

    assert!(!book.rest(at(1_000), rests, duration::Span::from_millis(200)));
    book.record_accepted(rests);
    assert_eq!(book.passage(at(2_999), rests), Passage::After(at(3_000)));

    book.rest(at(2_000), rests, REST);
    assert_eq!(book.passage(at(4_999), rests), Passage::After(at(5_000)));
}

// All that waited would come at once at the end of a rest, and be rejected again.
#[test]
fn requests_come_back_slowly_after_a_rest() {
    let name = endpoint();
    let rests = process(&name, 1);
    let mut book = Book::default();
    book.rest(at(0), rests, REST);

    assert_eq!(entering(&mut book, rests, 0, 3_200), 1);
    book.record_accepted(rests);
    assert_eq!(entering(&mut book, rests, 3_200, 3_400), 3);
    for _accepted in 0..8 {
        book.record_accepted(rests);
    }
    assert_eq!(entering(&mut book, rests, 3_400, 3_600), 20);
}

// A response may be lost. The endpoint must not be left without requests for that.
#[test]
fn slow_start_ends_without_responses_too() {
    let name = endpoint();
    let rests = process(&name, 1);
    let mut book = Book::default();
    book.rest(at(0), rests, REST);

    assert_eq!(entering(&mut book, rests, 3_000, 5_000), 10);
    assert_eq!(entering(&mut book, rests, 5_000, 5_200), 20);
}

#[test]
fn request_that_is_not_written_leaves_its_turn_to_the_next() {
    let name = endpoint();
    let rests = process(&name, 1);
    let mut book = Book::default();
    book.rest(at(0), rests, REST);
    assert_eq!(book.enter(at(3_000), rests), Passage::Open);
    assert_eq!(book.passage(at(3_000), rests), Passage::After(at(3_200)));

    book.leave(rests);

    assert_eq!(book.enter(at(3_000), rests), Passage::Open);
}

// The endpoint was missing from one view, and came back without its past.
#[test]
fn drain_outlives_views_without_the_endpoint() {
    let name = endpoint();
    let drains = process(&name, 1);
    let mut book = Book::default();
    assert!(book.drain(at(0), drains));

    book.prune(at(300_000));
    book.record_seen(at(300_000), drains);
    book.prune(at(899_999));

    assert_eq!(book.passage(at(899_999), drains), Passage::Closed);
    assert_eq!(book.passage(at(899_999), process(&name, 2)), Passage::Open);
    book.prune(at(900_000));
    assert!(book.is_empty());
}

#[test]
fn ended_rest_tells_what_it_kept_away() {
    let name = endpoint();
    let rests = process(&name, 1);
    let mut book = Book::default();
    book.rest(at(0), rests, REST);
    book.record_kept_away(rests);
    book.record_kept_away(rests);
    // Rejected again by the first request after the rest.
    book.enter(at(3_000), rests);
    assert!(!book.rest(at(3_010), rests, REST));
    assert!(book.prune(at(6_100)).is_empty());

    let ended = book.prune(at(8_010));

    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].length, duration::Span::from_millis(6_010));
    assert_eq!(ended[0].kept_away, 2);
    assert!(book.is_empty());
}

// An endpoint restarted and rejected a request before any view named its new process. The rest was
// booked on the process before, and the view opened the endpoint.
#[test]
fn rest_that_the_next_process_may_have_asked_for_binds_it() {
    let name = endpoint();
    let mut book = Book::default();
    book.rest(at(1_000), process(&name, 1), REST);
    book.drain(at(1_000), process(&name, 1));

    book.record_seen(at(1_300), process(&name, 2));

    let next = book.passage(at(1_300), process(&name, 2));
    assert_eq!(next, Passage::After(at(4_000)));
}

#[test]
fn rest_of_a_process_that_ended_long_ago_binds_no_other() {
    let name = endpoint();
    let mut book = Book::default();
    book.rest(at(1_000), process(&name, 1), duration::Span::from_secs(60));

    book.record_seen(at(4_000), process(&name, 2));

    assert_eq!(book.passage(at(4_000), process(&name, 2)), Passage::Open);
}

// The next process was known, and missing from the view while a request that was meant for the one
// before reached it.
#[test]
fn longer_rest_that_was_booked_on_the_process_before_binds_a_known_one() {
    let name = endpoint();
    let mut book = Book::default();
    book.rest(
        at(1_000),
        process(&name, 2),
        duration::Span::from_millis(100),
    );
    book.rest(at(1_050), process(&name, 1), REST);

    book.record_seen(at(1_300), process(&name, 2));

    let next = book.passage(at(1_300), process(&name, 2));
    assert_eq!(next, Passage::After(at(4_050)));
}
