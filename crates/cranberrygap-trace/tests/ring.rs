//! Storage and queries of the decision ring.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

use cranberrygap_trace::ring;
use cranberrygap_wire::trace;

fn decision(at: u64, request: &str, model: &str) -> trace::Decision {
    trace::Decision {
        at,
        code: "sent".into(),
        endpoint: None,
        facts: Vec::new(),
        model: Some(model.parse().unwrap()),
        request: Some(request.parse().unwrap()),
        sentence: "sent to an engine".into(),
        workspace: None,
    }
}

fn ask(subject: trace::Subject, name: &str, limit: u32) -> trace::Ask {
    trace::Ask {
        limit,
        name: name.into(),
        subject,
    }
}

fn decision_times(told: &trace::Told) -> Vec<u64> {
    told.decisions.iter().map(|decision| decision.at).collect()
}

#[test]
fn latest_decisions_about_a_thing_are_told_oldest_first() {
    let ring = ring::Ring::new(8);
    for at in 1..=6 {
        ring.note(decision(at, &format!("r-{}", at % 2), "frames"));
    }

    let told = |ask| decision_times(&ring.tell("entry-1".parse().unwrap(), &ask));

    assert_eq!(told(ask(trace::Subject::Request, "r-0", 9)), [2, 4, 6]);
    assert_eq!(told(ask(trace::Subject::Model, "frames", 2)), [5, 6]);
    assert_eq!(told(ask(trace::Subject::Endpoint, "frames", 9)), [0_u64; 0]);
}

// A caller sends requests without end. The ring must not grow with them, and its
// answer must show from when on decisions are stored, so that an operator does not
// take a missing decision for proof that it was not taken.
#[test]
fn full_ring_forgets_its_oldest_and_says_since_when_it_knows() {
    let ring = ring::Ring::new(3);
    for at in 1..=10 {
        ring.note(decision(at, "r-1", "frames"));
    }

    let told = ring.tell(
        "entry-1".parse().unwrap(),
        &ask(trace::Subject::Request, "r-1", 100),
    );

    assert_eq!(ring.len(), 3);
    assert_eq!(decision_times(&told), [8, 9, 10]);
    assert_eq!(told.since, 8);
}

#[test]
fn long_texts_are_cut_at_a_character() {
    let ring = ring::Ring::new(1);
    let mut long = decision(1, "r-1", "frames");
    long.sentence = "é".repeat(400).into();
    ring.note(long);

    let told = ring.tell(
        "entry-1".parse().unwrap(),
        &ask(trace::Subject::Request, "r-1", 1),
    );

    assert_eq!(told.decisions[0].sentence, "é".repeat(128));
}
