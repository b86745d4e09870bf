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
        assert_eq!(detector.tick(at(millis)), None);
    }
    detector
}

// A request waits in the socket of a process that is suspended. Counted from its reading, it would
// have all of its time left.
#[test]
fn request_that_is_read_after_a_stall_counts_from_its_begin() {
    let mut detector = ticking(1_000);

    let first = detector.arrival(at(3_000));
    assert_eq!(detector.tick(at(3_010)), None);
    let second = detector.arrival(at(3_090));
    assert_eq!(detector.tick(at(3_110)), None);
    assert_eq!(detector.tick(at(3_210)), None);
    let later = detector.arrival(at(3_250));

    assert_eq!((first, second, later), (at(1_000), at(1_000), at(3_250)));
}

// A process that was suspended gets little processor time after it. What waited is read later than
// the backlog time, and its endpoint must not be told of time that the caller does not have.
#[test]
fn request_that_a_late_process_reads_after_a_stall_counts_from_its_begin() {
    let mut detector = ticking(1_000);

    assert!(detector.tick(at(3_000)).is_some());
    assert_eq!(detector.tick(at(3_160)), None);
    assert_eq!(detector.tick(at(3_330)), None);
    let read_late = detector.arrival(at(3_480));

    assert_eq!(read_late, at(1_000));
}

// A process that is always late has read its backlog at some time. Its requests must not count as
// old for good.
#[test]
fn lateness_prolongs_a_stall_for_a_bounded_time() {
    let mut detector = ticking(1_000);

    for late in (3_000..=5_600).step_by(200) {
        detector.tick(at(late));
    }
    let arrival = detector.arrival(at(5_700));

    assert_eq!(arrival, at(5_700));
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

#[test]
fn tick_after_a_stall_tells_how_long_it_was() {
    let mut detector = ticking(1_000);

    let stood_still = detector.tick(at(3_000));
    let again = detector.tick(at(3_010));

    assert_eq!(stood_still, Some(duration::Span::from_millis(2_000)));
    assert_eq!(again, None);
}

// A request is decided under a lease, and the process stands still before it writes it. Its lease
// ends meanwhile, and an endpoint with other software may serve in the place of the one that was
// chosen.
#[test]
fn request_that_may_be_written_after_the_lease_is_found() {
    let mut detector = ticking(1_000);
    let lease_end = at(2_500);

    let before = detector.may_have_delayed(at(1_000), lease_end);
    let stood_still = detector.tick(at(2_600));
    let beyond = detector.may_have_delayed(at(1_000), lease_end);
    let within = detector.may_have_delayed(at(1_000), at(2_700));
    let decided_later = detector.may_have_delayed(at(2_601), at(5_000));

    assert!(stood_still.is_some());
    assert_eq!(
        (before, beyond, within, decided_later),
        (false, true, false, false)
    );
}
