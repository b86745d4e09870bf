//! The seeded run of the quarantine: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::Violation;
use cranberrygap_bench::soak::quarantine::world::{self, Fault, Trouble};
use cranberrygap_policy::quarantine::suspects::Isolation;

const STEPS: u64 = 20_000;

fn run_api(seed: u64, fault: Fault) -> Result<serde_json::Value, Violation> {
    world::run(
        seed,
        STEPS,
        Isolation::AfterFirstCrash,
        Trouble::None,
        fault,
    )
}

fn run_routes(seed: u64, trouble: Trouble, fault: Fault) -> Result<serde_json::Value, Violation> {
    world::run(seed, STEPS, Isolation::AfterSecondCrash, trouble, fault)
}

#[test]
fn promises_hold_over_several_seeds() {
    for seed in 1..=4 {
        let result = run_api(seed, Fault::None);

        assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

// Requests of routes are isolated later, and the same request comes to several entries at once
// while entries restart, leaders change and endpoints crash for other reasons.
#[test]
fn promises_hold_for_routes_under_every_trouble() {
    for trouble in [Trouble::None, Trouble::Processes, Trouble::Crashes] {
        for seed in 1..=4 {
            let result = run_routes(seed, trouble, Fault::None);

            assert!(result.is_ok(), "{trouble:?}: {}", result.unwrap_err());
        }
    }
}

// All that shared an engine with a culprit is refused for ten minutes, and the
// callers of innocent requests cannot tell why.
#[test]
fn condemned_innocents_are_found() {
    let api = run_api(1, Fault::CondemnedAll).unwrap_err();
    let routes = run_routes(1, Trouble::None, Fault::CondemnedAll).unwrap_err();

    assert!(api.invariant.contains("innocent"), "{api}");
    assert!(routes.invariant.contains("innocent"), "{routes}");
}

// An entry that does not look at verdicts loses one engine after another to a
// request that its caller keeps on sending.
#[test]
fn culprit_that_goes_on_is_found() {
    let api = run_api(1, Fault::IgnoredVerdicts).unwrap_err();
    let routes = run_routes(1, Trouble::None, Fault::IgnoredVerdicts).unwrap_err();

    assert!(api.invariant.contains("condemned request"), "{api}");
    assert!(routes.invariant.contains("condemned request"), "{routes}");
}

// Entries keep what they see of crashes to themselves, and the caller goes to another entry
// each time.
#[test]
fn crashes_that_nobody_is_told_of_are_found() {
    let violation = run_routes(1, Trouble::None, Fault::NoReports).unwrap_err();

    assert!(violation.invariant.contains("third crash"), "{violation}");
}
