//! Arrival of requests at a process that stood still.

use cranberrygap_model::duration;
use cranberrygap_policy::stall;

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

/// A detector that ticks from 0 to `until`.
fn ticking(until: u64) -> stall::Detector {
    let mut detector = stall::Detector::default();
    for millis in (0..=until).step_by(100) {
        detector.tick(at(millis));
    }
    detector
}

// A request waits in the socket of a process that is suspended. Counted from its reading, it would
// have all of its time left.
#[test]
fn request_that_is_read_after_a_stall_counts_from_its_begin() {
    let mut detector = ticking(1_000);

    let first = detector.arrival(at(3_000));
    detector.tick(at(3_010));
    let second = detector.arrival(at(3_090));
    let later = detector.arrival(at(3_100));

    assert_eq!((first, second, later), (at(1_000), at(1_000), at(3_100)));
}

#[test]
fn late_ticks_of_a_busy_process_are_no_stall() {
    let mut detector = ticking(1_000);

    let arrival = detector.arrival(at(1_290));

    assert_eq!(arrival, at(1_290));
}

#[test]
fn first_request_of_a_process_arrives_when_it_is_read() {
    assert_eq!(stall::Detector::default().arrival(at(5_000)), at(5_000));
}
