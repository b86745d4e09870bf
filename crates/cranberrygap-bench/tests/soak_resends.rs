//! The seeded run of the budgets of resends: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::resends::world::{self, Flaw, Kind, Scene};

const STEPS: u64 = 10_000;

/// Eight entries before endpoints that all fail, with one fault again and again.
fn scene(preferred: Kind) -> Scene {
    Scene {
        entries: 8,
        rate: 200.0,
        failing: [1.0; 2],
        cut: 0.0,
        preferred,
        preferred_share: 1.0,
    }
}

/// The invariant that a mistake breaks in a scene which is clean without it.
fn broken(flaw: Flaw, scene: &Scene) -> String {
    let clean = world::run_scene(1, STEPS, Flaw::None, scene.clone());
    assert!(clean.is_ok(), "{clean:?}");
    let found = world::run_scene(1, STEPS, flaw, scene.clone());
    found.expect_err("the mistake shows").invariant
}

#[test]
fn resends_stay_within_their_bounds_over_several_seeds() {
    let mut resends = 0;
    for seed in 1..=16 {
        let counts = world::run(seed, STEPS, Flaw::None);
        let counts = counts.unwrap_or_else(|violation| panic!("{violation}"));
        resends += counts["resends"].as_u64().unwrap_or_default();
    }

    assert!(resends > 1_000, "{resends}");
}

#[test]
fn processes_that_start_with_resends_are_found() {
    let invariant = broken(Flaw::BornWithResends, &scene(Kind::RestartMany));

    assert!(invariant.contains("budget"), "{invariant}");
}

#[test]
fn requests_that_pay_twice_are_found() {
    let mut scene = scene(Kind::Pause);
    scene.cut = 0.8;

    let invariant = broken(Flaw::PaidTwice, &scene);

    assert!(invariant.contains("budget"), "{invariant}");
}

// The first service has many requests that succeed, and pays for the resends of a route that goes
// to and fro between it and the second one.
#[test]
fn resends_that_another_service_pays_for_are_found() {
    let mut scene = scene(Kind::Move);
    scene.rate = 500.0;
    scene.failing = [0.0, 1.0];

    let invariant = broken(Flaw::PaidElsewhere, &scene);

    assert!(invariant.contains("budget"), "{invariant}");
}

#[test]
fn attempts_that_begin_anew_are_found() {
    let mut scene = scene(Kind::Cut);
    scene.rate = 20.0;

    let invariant = broken(Flaw::AttemptsAnew, &scene);

    assert!(invariant.contains("endpoints"), "{invariant}");
}
