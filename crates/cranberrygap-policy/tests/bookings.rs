//! Bookings at the entry, from the claim to the outcome.

use cranberrygap_policy::claims::{Booking, Input, Output, Reply};
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_wire::claim;

fn response() -> claim::Response {
    claim::Response {
        status: 201,
        content_type: "application/json".into(),
        body: "e30=".into(),
    }
}

fn dispatched_booking() -> Booking {
    let mut booking = Booking::new();
    let outputs = booking.step(Input::Verdict(claim::Verdict::Granted { claim: 4 }));
    assert_eq!(outputs, [Output::Dispatch]);
    booking
}

fn closed_outcome(outputs: &[Output]) -> Option<&claim::Outcome> {
    match outputs {
        [
            Output::Close {
                claim: 4, outcome, ..
            },
        ] => Some(outcome),
        _ => None,
    }
}

// If the caller were answered first and the entry died then, a resend through another entry
// would find a claim without an outcome.
#[test]
fn outcome_is_stored_before_the_caller_is_answered() {
    let mut booking = dispatched_booking();

    let ended = booking.step(Input::Answered(response()));
    let closed = booking.step(Input::Closed);

    assert_eq!(
        closed_outcome(&ended),
        Some(&claim::Outcome::Answered(response()))
    );
    assert_eq!(closed, [Output::Reply(Reply::Answer(response()))]);
}

#[test]
fn claim_without_an_answer_is_not_dispatched() {
    let mut booking = Booking::new();

    let outputs = booking.step(Input::OpenFailed);
    let late = booking.step(Input::Verdict(claim::Verdict::Granted { claim: 4 }));

    assert_eq!(outputs, [Output::Reply(Reply::NoQuorum)]);
    assert_eq!(late, []);
}

#[test]
fn every_other_verdict_is_an_answer_without_a_dispatch() {
    let unknown = claim::Verdict::Stored {
        outcome: claim::Outcome::Unknown,
    };
    let stored = claim::Verdict::Stored {
        outcome: claim::Outcome::Answered(response()),
    };
    let verdicts = [
        (claim::Verdict::Running, Reply::Running),
        (claim::Verdict::Conflict, Reply::Conflict),
        (claim::Verdict::Expired, Reply::Expired),
        (unknown, Reply::Unknown),
        (stored, Reply::Answer(response())),
    ];
    for (verdict, reply) in verdicts {
        let outputs = Booking::new().step(Input::Verdict(verdict));

        assert_eq!(outputs, [Output::Reply(reply)]);
    }
}

#[test]
fn broken_connection_makes_a_booking_unknown_and_a_refused_one_not_run() {
    let broke = dispatched_booking().step(Input::Ended(Evidence::ConnectionBroke));
    let refused = dispatched_booking().step(Input::Ended(Evidence::ConnectFailed));

    assert_eq!(closed_outcome(&broke), Some(&claim::Outcome::Unknown));
    assert_eq!(closed_outcome(&refused), Some(&claim::Outcome::NotRun));
}

#[test]
fn outcome_is_reported_a_bounded_number_of_times() {
    let mut booking = dispatched_booking();
    let mut outputs = booking.step(Input::Answered(response()));
    let mut closes_sent = 0;

    while closed_outcome(&outputs).is_some() {
        closes_sent += 1;
        assert!(closes_sent < 10, "reported forever");
        outputs = booking.step(Input::CloseFailed);
    }

    assert_eq!(outputs, [Output::Reply(Reply::Answer(response()))]);
}
