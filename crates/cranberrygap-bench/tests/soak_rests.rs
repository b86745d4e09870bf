//! The seeded run of rests and drains: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::rests::world::{self, Flaw};

const STEPS: u64 = 20_000;

/// Whether a run with this mistake breaks a promise at one of a few seeds.
fn is_found(flaw: Flaw, promise: &str) -> bool {
    (1..=3).any(|seed| {
        let run = world::run(seed, STEPS, flaw);
        run.is_err_and(|violation| violation.invariant.contains(promise))
    })
}

#[test]
fn promise_holds_over_several_seeds() {
    for seed in 1..=6 {
        let result = world::run(seed, STEPS, Flaw::None);

        let counts = result.unwrap_or_else(|violation| panic!("{violation}"));
        let count = |name: &str| counts[name].as_u64().unwrap();
        assert!(count("rests") > 100 && count("drains") > 10, "{counts}");
    }
}

// All that waited for the end of a rest came at once, and was rejected again.
#[test]
fn slow_start_serves_no_fewer_than_all_requests_at_once() {
    let served = |flaw| {
        (1..=6)
            .map(|seed| world::served(seed, STEPS, flaw))
            .sum::<u64>()
    };

    let (slow, at_once) = (served(Flaw::None), served(Flaw::AtOnce));

    assert!(slow >= at_once, "{slow} and {at_once}");
}

// An endpoint that asked one request for a long rest and another one for a short rest got requests
// after the short one.
#[test]
fn short_rest_that_replaces_a_long_one_is_found() {
    assert!(is_found(Flaw::LastRestCounts, "rest"));
}

// The state of an endpoint is rebuilt with each view, and what it asked for went with it.
#[test]
fn rest_that_is_forgotten_with_a_view_is_found() {
    assert!(is_found(Flaw::ForgottenWithView, "rest"));
}

// A request waited for its connection while another one was rejected.
#[test]
fn check_at_the_choice_only_is_found() {
    assert!(is_found(Flaw::CheckedAtChoice, "rest"));
}

// Where all endpoints rest, any of them seemed better than none.
#[test]
fn fallback_to_endpoints_that_rest_is_found() {
    assert!(is_found(Flaw::Fallback, "rest"));
}

// The view says that the endpoint is ready.
#[test]
fn drain_that_is_not_read_is_found() {
    assert!(is_found(Flaw::DrainsIgnored, "drains"));
}
