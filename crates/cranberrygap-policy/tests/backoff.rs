//! Delays between attempts of many processes that fail together.

use std::collections::BTreeSet;

use cranberrygap_model::duration;
use cranberrygap_policy::backoff;

fn millis(millis: u64) -> duration::Span {
    duration::Span::from_millis(millis)
}

// All at once: 300 entries that lost their view asked again every 100 ms, while the control
// processes could serve 40 snapshots a second. None was ever served in time.
#[test]
fn delays_grow_with_failures_and_differ() {
    let mut backoff = backoff::Backoff::new(millis(100), millis(1_600));
    let delays: Vec<_> = (0..6).map(|_| backoff.next_delay(millis(0), 1.0)).collect();
    assert_eq!(delays, [100, 200, 400, 800, 1_600, 1_600].map(millis));

    backoff.reset();
    let spread: BTreeSet<_> = (0..10)
        .map(|tenth| {
            backoff
                .clone()
                .next_delay(millis(0), f64::from(tenth) / 10.0)
        })
        .collect();
    assert_eq!(spread.len(), 10);
    assert!(spread.first() >= Some(&millis(50)));
}

// A floor above the longest delay must not be cut to it, or large fleets would ask too often.
#[test]
fn delay_is_not_below_the_floor_of_a_large_fleet() {
    let mut backoff = backoff::Backoff::new(millis(60), millis(240));
    assert_eq!(backoff.next_delay(millis(480), 1.0), millis(480));
    assert_eq!(backoff.next_delay(millis(480), 0.0), millis(240));
}
