//! The seeded run of the quarantine: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::Violation;
use cranberrygap_bench::soak::quarantine::parts::{self, Flaw, Setting};
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

fn run_parts(seed: u64, entries: usize, has_trouble: bool, flaw: Flaw) -> Result<(), Violation> {
    const TWO_SERIES: u64 = 9_000;
    let setting = Setting {
        entries,
        has_trouble,
        flaw,
    };
    parts::run(seed, TWO_SERIES, setting).map(drop)
}

// No two requests are alike that crash endpoints, and they share a part with nobody. Few of them
// may reach endpoints, and sound requests with the same first part must begin.
#[test]
fn parts_are_recognised_and_sound_requests_begin() {
    for (entries, has_trouble) in [(8, false), (8, true), (24, true)] {
        for seed in 1..=3 {
            let result = run_parts(seed, entries, has_trouble, Flaw::None);

            assert!(result.is_ok(), "{entries}: {}", result.unwrap_err());
        }
    }
}

// Without parts each request is seen once or twice.
#[test]
fn series_that_is_not_recognised_is_found() {
    let violation = run_parts(1, 8, false, Flaw::NoParts).unwrap_err();

    assert!(violation.invariant.contains("fifth crash"), "{violation}");
}

// Refusing the first part stops the series, and sound requests with it.
#[test]
fn condemned_first_part_is_found() {
    let violation = run_parts(1, 8, false, Flaw::CondemnedFirstPart).unwrap_err();

    assert!(
        violation.invariant.contains("sound requests"),
        "{violation}"
    );
}

// A stream that ends with its connection looks whole when its endpoint has died.
#[test]
fn believed_ends_are_found() {
    let violation = run_parts(1, 8, false, Flaw::BelievedEnds).unwrap_err();

    assert!(violation.invariant.contains("fifth crash"), "{violation}");
}
