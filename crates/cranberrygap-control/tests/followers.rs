//! Redirecting subscribers of the view from the leader to other control processes.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_control::redirect;
use cranberrygap_model::{duration, id};

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn entry() -> id::Instance {
    "entry-1".parse().unwrap()
}

// Encoding frames for many entries would take processor time that the leader needs for leases and
// shares.
#[test]
fn leader_redirects_new_subscribers() {
    let mut redirects = redirect::Redirects::default();

    assert!(!redirects.should_serve(at(0), &entry(), 4));
}

// The other control processes may be lost, and an entry without a view serves no requests.
#[test]
fn subscriber_that_comes_back_is_served_by_the_leader() {
    let mut redirects = redirect::Redirects::default();
    redirects.should_serve(at(0), &entry(), 4);

    assert!(redirects.should_serve(at(1_500), &entry(), 4));
}

#[test]
fn leader_of_a_small_group_serves_views() {
    let mut redirects = redirect::Redirects::default();

    assert!(redirects.should_serve(at(0), &entry(), 1));
}
