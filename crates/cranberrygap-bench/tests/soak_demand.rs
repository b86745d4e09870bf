//! The seeded run of requests within rate on a quiet day.

use cranberrygap_bench::soak::Part as _;
use cranberrygap_bench::soak::demand::{Demand, day};

const STEPS: u64 = 800;

fn outcome(entries: usize, control_core: u64) -> Result<serde_json::Value, String> {
    let day = day::Day::quiet(entries, control_core);
    let outcome = Demand { day }.run(1, STEPS);
    outcome.map_err(|violation| violation.to_string())
}

// Requests within their workspace's rate wait for a leader that has no time for renewals.
#[test]
fn requests_within_rate_do_not_wait_for_a_leader_with_little_processor() {
    let outcome = outcome(69, 75);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}

// The bounds can be kept: with a whole core for the leader they are.
#[test]
fn requests_within_rate_are_served_by_a_leader_with_a_whole_core() {
    let outcome = outcome(69, 1_000);

    assert!(outcome.is_ok(), "{}", outcome.unwrap_err());
}
