//! When an entry's path to the endpoints counts as cut.

use cranberrygap_model::id;
use cranberrygap_routing::path::{Path, State};

fn endpoint(number: usize) -> id::Endpoint {
    format!("i-{number}").parse().expect("a name")
}

fn cut_path() -> Path {
    let mut path = Path::default();
    path.record_failure(&endpoint(1));
    path.record_failure(&endpoint(2));
    path.record_round(3, 0);
    path
}

// One endpoint that is down must not send its entry's callers elsewhere.
#[test]
fn one_endpoint_that_fails_begins_no_check() {
    let mut path = Path::default();

    let checks: Vec<bool> = (0..5).map(|_| path.record_failure(&endpoint(1))).collect();

    assert_eq!(checks, [false; 5]);
    assert_eq!(path.state(), State::Direct);
}

#[test]
fn failures_with_a_connection_between_them_begin_no_check() {
    let mut path = Path::default();

    path.record_failure(&endpoint(1));
    path.record_success();

    assert!(!path.record_failure(&endpoint(2)));
}

// A wave of crashes takes several endpoints, and the entry reaches the others.
#[test]
fn one_endpoint_that_is_reached_keeps_the_path_direct() {
    let mut path = Path::default();
    path.record_failure(&endpoint(1));
    assert!(path.record_failure(&endpoint(2)));

    let needs_more = path.record_round(4, 1);

    assert!(!needs_more);
    assert_eq!(path.state(), State::Direct);
    assert!(path.failed().is_empty());
}

#[test]
fn several_failures_and_no_probe_that_arrives_cut_the_path() {
    let mut path = cut_path();

    assert!(path.is_cut());
    assert!(!path.record_failure(&endpoint(3)), "one check at a time");
}

// A connection that lives on says nothing of new ones.
#[test]
fn connection_does_not_end_a_cut() {
    let mut path = cut_path();

    path.record_success();

    assert!(path.is_cut());
}

#[test]
fn cut_ends_after_two_good_rounds_in_a_row() {
    let mut path = cut_path();

    let rounds = [(3, 3), (3, 1), (3, 2), (3, 3)];
    let more: Vec<bool> = rounds
        .into_iter()
        .map(|(probed, reached)| path.record_round(probed, reached))
        .collect();

    assert_eq!(more, [true, true, true, false]);
    assert_eq!(path.state(), State::Direct);
}

// Without endpoints there is nothing to reach, and nothing to end the cut.
#[test]
fn empty_round_does_not_end_a_cut() {
    let mut path = cut_path();

    assert!(path.record_round(0, 0));
}
