//! The seeded run of the quarantine: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::quarantine::world;

const STEPS: u64 = 20_000;

#[test]
fn promises_hold_over_several_seeds() {
    for seed in 1..=4 {
        let result = world::run(seed, STEPS, world::Fault::None);

        assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

// All that shared an engine with a culprit is refused for ten minutes, and the
// callers of innocent requests cannot tell why.
#[test]
fn condemned_innocents_are_found() {
    let violation = world::run(1, STEPS, world::Fault::CondemnedAll).unwrap_err();

    assert!(violation.invariant.contains("innocent"), "{violation}");
}

// An entry that does not look at verdicts loses one engine after another to a
// request that its caller keeps on sending.
#[test]
fn culprit_that_goes_on_is_found() {
    let violation = world::run(1, STEPS, world::Fault::IgnoredVerdicts).unwrap_err();

    assert!(
        violation.invariant.contains("condemned request"),
        "{violation}"
    );
}
