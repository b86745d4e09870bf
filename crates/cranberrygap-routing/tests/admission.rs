//! Admission to the scarce slots of an engine, one test for each kind of load.

use cranberrygap_model::duration;
use cranberrygap_routing::admission::patience;

const SLOTS: u32 = 16;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

/// A request that arrives at 0 and must start within 11 s.
fn patience(rank: usize, objective_millis: u64, slots: u32) -> Option<patience::Patience> {
    patience::Patience::new(
        &patience::Request::builder()
            .rank(rank)
            .objective(duration::Span::from_millis(objective_millis))
            .slots(slots)
            .latest_start(at(11_000))
            .margin(duration::Span::from_millis(420))
            .build(),
    )
}

// Requests with 15 s to spare took all slots, and urgent ones that came a moment later were
// refused. A quarter of the slots stays free for them.
#[test]
fn least_urgent_first_urgent_after() {
    let patience = patience(2, 15_000, SLOTS).expect("time to spare");

    assert!(patience.admits(11));
    assert!(!patience.admits(12));
    assert!(patience.lasts(at(10_579)));
    assert!(
        !patience.lasts(at(10_580)),
        "it competes near its latest start"
    );
}

// Requests of rank 0 or without seconds to spare must not wait, and neither must those of a plan
// that doesn't tell the engines' slots.
#[test]
fn urgent_requests_and_unknown_slots_do_not_wait() {
    assert_eq!(patience(0, 15_000, SLOTS), None);
    assert_eq!(patience(1, 1_999, SLOTS), None);
    assert_eq!(patience(2, 15_000, 0), None);
    assert!(patience(1, 2_000, SLOTS).is_some());
}

// A burst that waits for one engine must not search at the same moments, nor miss its end.
#[test]
fn burst_of_least_urgent_requests_searches_at_different_times() {
    let patience = patience(2, 15_000, SLOTS).expect("time to spare");
    let intervals = [0.0, 0.5, 1.0].map(|draw| patience.interval(at(0), draw).0 / 1_000);

    assert_eq!(intervals, [180, 300, 420]);
    assert_eq!(
        patience.interval(at(10_570), 1.0),
        duration::Span::from_millis(10)
    );
    let mut now = at(0);
    let mut searches = 0;
    while patience.lasts(now) {
        now = now.after(patience.interval(now, 0.5));
        searches += 1;
    }
    assert!(searches < 60, "{searches} searches in 11 s");
}
