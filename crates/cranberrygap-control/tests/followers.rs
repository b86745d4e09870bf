//! The leader leaves views to other control processes while there are some.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_control::redirect;
use cranberrygap_model::{duration, id};

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn entry() -> id::Instance {
    "entry-1".parse().unwrap()
}

// Frames of many entries take the processor that leases and shares need.
#[test]
fn leader_redirects_new_subscribers() {
    let mut redirects = redirect::Redirects::default();

    assert!(!redirects.should_serve(at(0), &entry(), 4));
}

// The others may be lost, and an entry without a view serves nobody.
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
