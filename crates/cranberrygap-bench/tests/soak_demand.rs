//! The seeded run of requests within rate on a quiet day.

use cranberrygap_bench::soak::Part as _;
use cranberrygap_bench::soak::demand::{Demand, day, way};

const STEPS: u64 = 800;

fn outcome(way: way::Kind, entries: usize, control_core: u64) -> Result<serde_json::Value, String> {
    let day = day::Day::quiet(entries, control_core);
    let outcome = Demand { day, way }.run(1, STEPS);
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
