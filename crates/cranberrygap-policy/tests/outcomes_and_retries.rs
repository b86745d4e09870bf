//! Outcomes of evidence, and decisions on retries.

use cranberrygap_model::duration;
use cranberrygap_policy::outcome::{Evidence, Outcome};
use cranberrygap_policy::{resend, retry};
use expect_test::expect;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const EVIDENCE: [Evidence; 9] = [
    Evidence::NeverDispatched,
    Evidence::ConnectFailed,
    Evidence::EndpointRefused,
    Evidence::WholeAnswer,
    Evidence::ConnectionBroke,
    Evidence::CutAnswer,
    Evidence::CrossedAnswer,
    Evidence::Silence,
    Evidence::DeadlinePassed,
];

fn attempt(class: retry::Class, dispatches: u32, outcome: Outcome) -> retry::Attempt {
    retry::Attempt {
        class,
        dispatches,
        outcome,
        deadline: duration::Instant(10_000_000),
    }
}

fn decide(attempt: retry::Attempt) -> retry::Decision {
    let mut random = SmallRng::seed_from_u64(1);
    retry::decide(duration::Instant(0), attempt, &mut random)
}

// A connection breaks while the request is being written. If the caller were told that the
// booking did not run, it would send the booking again, and the booking would run twice.
#[test]
fn only_proof_gives_not_run() {
    let table: Vec<String> = EVIDENCE
        .iter()
        .map(|evidence| format!("{evidence:?}: {}", Outcome::from_evidence(*evidence)))
        .collect();

    expect![[r"
        NeverDispatched: not_run
        ConnectFailed: not_run
        EndpointRefused: not_run
        WholeAnswer: answered
        ConnectionBroke: unknown
        CutAnswer: unknown
        CrossedAnswer: unknown
        Silence: unknown
        DeadlinePassed: unknown"]]
    .assert_eq(&table.join("\n"));
}

#[test]
fn one_unknown_attempt_makes_the_request_unknown() {
    let outcome = Outcome::Unknown.combined_with(Outcome::NotRun);

    assert_eq!(outcome, Outcome::Unknown);
    assert_eq!(
        Outcome::NotRun.combined_with(Outcome::NotRun),
        Outcome::NotRun
    );
    assert_eq!(
        Outcome::Unknown.combined_with(Outcome::Answered),
        Outcome::Answered
    );
}

#[test]
fn booking_that_may_have_run_is_not_sent_again() {
    let unknown = decide(attempt(retry::Class::AtMostOnce, 1, Outcome::Unknown));
    let not_run = decide(attempt(retry::Class::AtMostOnce, 1, Outcome::NotRun));

    assert_eq!(unknown, retry::Decision::GiveUp(retry::Reason::MayHaveRun));
    assert!(matches!(not_run, retry::Decision::Retry(_)));
}

// All endpoints of a model fail at once. If every request were sent three times, the rest of
// the fleet would get three times the load.
#[test]
fn retries_stay_below_their_share_of_the_traffic() {
    let scope = resend::scope::Scope::Engines;
    let mut budget = resend::Budget::default();
    budget.set_share(0.1);

    let mut retries = 0;
    for millis in 0..1_000 {
        let now = duration::Instant::default().after(duration::Span::from_millis(millis));
        budget.earn(now, &scope, 1);
        let decision = decide(attempt(retry::Class::Idempotent, 1, Outcome::Unknown));
        let may_retry = matches!(decision, retry::Decision::Retry(_));
        retries += u32::from(may_retry && budget.spend(&scope));
    }

    assert!((90..=101).contains(&retries), "{retries}");
}

#[test]
fn retry_does_not_outlive_the_deadline_or_the_attempts() {
    let mut late = attempt(retry::Class::Idempotent, 1, Outcome::Unknown);
    late.deadline = duration::Instant(0);

    let late = decide(late);
    let third = decide(attempt(retry::Class::Idempotent, 3, Outcome::Unknown));

    assert_eq!(
        late,
        retry::Decision::GiveUp(retry::Reason::DeadlineExceeded)
    );
    assert_eq!(
        third,
        retry::Decision::GiveUp(retry::Reason::AttemptsExhausted)
    );
}
