//! What entries send to failure domains that are evacuated or return.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::collections::BTreeSet;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::evacuation::Book;

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn domain() -> id::Domain {
    "b".parse().unwrap()
}

fn evacuated() -> BTreeSet<id::Domain> {
    BTreeSet::from([domain()])
}

/// A book whose entry had views at these times, and then one with the evacuation at 10 s.
fn book(views: &[u64]) -> Book {
    let mut book = Book::default();
    for millis in views {
        book.apply_view(at(*millis), &BTreeSet::new());
    }
    book.apply_view(at(10_000), &evacuated());
    book
}

#[test]
fn entry_that_follows_the_changes_ends_with_what_only_the_domain_can_serve() {
    let book = book(&[9_500]);

    assert!(book.is_evacuated(&domain()));
    assert!(book.is_evacuating(at(11_999), &domain()));
    assert!(!book.is_evacuating(at(12_000), &domain()));
}

// An entry was cut off or has restarted, and the order was given long before it learns of it.
// It must not send to the domain any more.
#[test]
fn entry_that_learns_late_of_an_evacuation_sends_nothing() {
    for views in [[].as_slice(), &[9_000]] {
        let book = book(views);

        assert!(book.is_evacuated(&domain()));
        assert!(!book.is_evacuating(at(10_000), &domain()), "{views:?}");
    }
}

// Each change of the fleet brings a view. An evacuation that began again with each of them would
// never end what goes to the domain.
#[test]
fn later_views_do_not_prolong_an_evacuation() {
    let mut book = book(&[9_500]);

    for millis in [10_500, 11_000, 11_500] {
        book.apply_view(at(millis), &evacuated());
    }

    assert!(!book.is_evacuating(at(12_000), &domain()));
}

// A domain returns cold, and its endpoints say so with their next heartbeats only.
#[test]
fn returned_domain_counts_as_cold_until_its_endpoints_were_heard() {
    let mut book = book(&[9_500]);

    book.apply_view(at(15_000), &BTreeSet::new());

    assert!(!book.is_evacuated(&domain()));
    assert!(book.has_just_returned(at(17_499), &domain()));
    assert!(!book.has_just_returned(at(17_500), &domain()));
}
