//! When the planners of runners run.

use cranberrygap_control::residency::pace;
use cranberrygap_model::duration;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

/// Number of runs within a second in a fleet of `runners`, with an event each millisecond.
fn runs_in_a_second(runners: usize) -> usize {
    let mut pace = pace::Pace::default();
    let mut runs = 0;
    for millis in 0..1_000 {
        pace.request_run();
        if pace.next_run(at(millis), None, runners) <= at(millis) {
            runs += 1;
            pace.record_run(at(millis));
        }
    }
    runs
}

// A run looks at every runner, and events come from every runner: without a limit the work grows
// with the square of their number, and elections wait behind it.
#[test]
fn runs_are_rarer_in_a_large_fleet() {
    let (small, planned, large) = (
        runs_in_a_second(18),
        runs_in_a_second(600),
        runs_in_a_second(3_000),
    );

    assert!(small >= 490, "{small}");
    assert!((30..=35).contains(&planned), "{planned}");
    assert!((6..=8).contains(&large), "{large}");
}

#[test]
fn event_after_a_pause_causes_a_run_at_once() {
    let mut pace = pace::Pace::default();
    pace.record_run(at(0));

    pace.request_run();

    assert!(pace.next_run(at(500), None, 78) <= at(500));
}

#[test]
fn run_waits_for_what_is_due_without_events() {
    let mut pace = pace::Pace::default();
    pace.record_run(at(0));

    assert_eq!(pace.next_run(at(10), Some(at(30)), 78), at(30));
}

#[test]
fn updates_are_rarer_in_a_large_fleet() {
    let updates = |runners: usize| {
        let mut pace = pace::Pace::default();
        let times = (0..3_000).step_by(100);
        times
            .filter(|millis| pace.try_update(at(*millis), runners))
            .count()
    };

    assert_eq!(updates(78), 30);
    assert_eq!(updates(600), 15);
    assert!(updates(3_000) <= 5);
}
