//! The seeded run of requests within rate on a quiet day.

use cranberrygap_bench::soak::Part as _;
use cranberrygap_bench::soak::demand::{Demand, day, trouble, way};

const STEPS: u64 = 800;

/// Steps for a trouble, which comes after a fifth of them.
const TROUBLED_STEPS: u64 = 1_000;

fn troubled(trouble: trouble::Trouble) -> Result<serde_json::Value, String> {
    let day = day::Day::default();
    let way = way::Kind::Lending;
    let outcome = Demand { day, way, trouble }.run(1, TROUBLED_STEPS);
    outcome.map_err(|violation| violation.to_string())
}

fn outcome(way: way::Kind, entries: usize, control_core: u64) -> Result<serde_json::Value, String> {
    let day = day::Day::quiet(entries, control_core);
    let trouble = trouble::Trouble::Nothing;
    let outcome = Demand { day, way, trouble }.run(1, STEPS);
    outcome.map_err(|violation| violation.to_string())
}

// Requests within their workspace's rate wait for a leader that has no time for renewals.
#[test]
fn requests_within_rate_do_not_wait_for_a_leader_with_little_processor() {
    let outcome = outcome(way::Kind::Lending, 69, 75);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

// The same with a leader that has more, before fewer and more entries.
#[test]
fn requests_within_rate_do_not_wait_in_fleets_of_other_sizes() {
    for entries in [65, 73] {
        let outcome = outcome(way::Kind::Lending, entries, 150);

        assert!(
            outcome.is_ok(),
            "{entries} entries: {}",
            outcome.unwrap_err()
        );
    }
}

// A run whose bounds hold even where each request waits for the leader shows nothing.
#[test]
fn requests_that_wait_for_a_leader_with_little_processor_break_the_bounds() {
    let outcome = outcome(way::Kind::Leader, 69, 75);

    let broken = outcome.expect_err("a leader that lends to all entries keeps the bounds");
    assert!(broken.contains("requests within rate"), "{broken}");
}

// The bounds can be kept: with a whole core for the leader they are.
#[test]
fn requests_within_rate_are_served_by_a_leader_with_a_whole_core() {
    let outcome = outcome(way::Kind::Leader, 69, 1_000);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

// Requests depend on a leader that is there all the time.
#[test]
fn requests_within_rate_do_not_notice_that_the_leader_changes() {
    let outcome = troubled(trouble::Trouble::LeaderGone);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

// Requests depend on how soon the leader answers.
#[test]
fn requests_within_rate_do_not_notice_that_the_leader_is_late() {
    let outcome = troubled(trouble::Trouble::LateAnswers);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

// A lost datagram costs its request the time of the leader's word.
#[test]
fn requests_within_rate_do_not_notice_lost_datagrams() {
    let outcome = troubled(trouble::Trouble::LostDatagrams);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

// A lender that is gone is noticed by callers; a run that cannot tell would show nothing.
#[test]
fn the_loss_of_a_lender_breaks_the_bounds_of_a_quiet_day() {
    let outcome = troubled(trouble::Trouble::LenderDies);

    let broken = outcome.expect_err("a lender that is gone is not noticed");
    assert!(broken.contains("requests within rate"), "{broken}");
}
