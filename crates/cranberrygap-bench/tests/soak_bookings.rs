//! The seeded run of bookings: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::bookings::world;

const STEPS: u64 = 20_000;

fn found(fault: world::Fault) -> bool {
    (1..=6).any(|seed| world::run(seed, STEPS, fault).is_err())
}

#[test]
fn promises_hold_over_several_seeds() {
    for seed in 1..=4 {
        let result = world::run(seed, STEPS, world::Fault::None);

        assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

// An entry that sends a booking again after a broken connection may run it twice;
// two firms would get the same letter.
#[test]
fn second_dispatch_is_found() {
    assert!(found(world::Fault::SentAgain));
}

// A caller that is told "not run" sends the booking again under a new key.
#[test]
fn untrue_not_run_is_found() {
    assert!(found(world::Fault::BrokenIsNotRun));
}

// Two entries that hold the same claim both run the booking.
#[test]
fn second_grant_is_found() {
    assert!(found(world::Fault::GrantedAgain));
}

// A leader that starts without the committed claims grants them once more.
#[test]
fn forgotten_claims_are_found() {
    assert!(found(world::Fault::ForgottenClaims));
}
