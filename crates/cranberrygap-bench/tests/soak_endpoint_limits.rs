//! The seeded run of endpoints' limits: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::endpoint_limits::world::{self, Fault};

const STEPS: u64 = 40_000;

#[test]
fn promise_holds_over_several_seeds() {
    for seed in 1..=6 {
        let result = world::run(seed, STEPS, Fault::None);

        let counts = result.unwrap_or_else(|violation| panic!("{violation}"));
        // Half of what an endpoint takes is the least that must be used under trouble.
        assert!(counts["used"].as_u64() >= Some(50), "{counts}");
    }
}

// Nobody reads what an endpoint in need names, and it gets as much as before.
#[test]
fn ignored_limits_are_found() {
    let violation = world::run(1, STEPS, Fault::Ignored).unwrap_err();

    assert!(violation.invariant.contains("what it names"), "{violation}");
}

// Eight entries keep to the limit, each for itself.
#[test]
fn limits_that_each_entry_keeps_alone_are_found() {
    let violation = world::run(1, STEPS, Fault::KeptAlone).unwrap_err();

    assert!(violation.invariant.contains("what it names"), "{violation}");
}
