//! Streamed answers that are resumed on another engine.

use cranberrygap_model::id;
use cranberrygap_policy::stream::{Decision, Event, Stream};

fn attempt(name: &str) -> id::Attempt {
    name.parse().expect("a valid name")
}

fn deliver(stream: &mut Stream, from: &id::Attempt, tokens: u64) {
    for _ in 0..tokens {
        assert_eq!(stream.accept(from, Event::Token), Decision::Deliver);
    }
}

// An engine is cut off in the middle of an answer, and another one resumes after the last
// token. The first engine then sends its next token after all, which the caller would get
// twice.
#[test]
fn late_tokens_of_a_given_up_attempt_are_dropped() {
    let (first, second) = (attempt("a"), attempt("b"));
    let mut stream = Stream::new(first.clone(), 10);
    deliver(&mut stream, &first, 3);

    let resume_from = stream.resume(second.clone());
    let late = stream.accept(&first, Event::Token);
    let role = stream.accept(&second, Event::Other);
    deliver(&mut stream, &second, 7);

    assert_eq!(resume_from, 3);
    assert_eq!(late, Decision::Skip);
    assert_eq!(role, Decision::Skip);
    assert_eq!(stream.accept(&second, Event::Finish), Decision::Deliver);
    assert_eq!(stream.accept(&second, Event::End), Decision::Deliver);
    assert!(stream.is_ended());
    assert_eq!(stream.delivered(), 10);
}

// An engine that cannot resume restarts the answer, and the caller would get the beginning
// twice. More tokens than requested reveal it.
#[test]
fn engine_that_restarts_the_answer_is_detected() {
    let (first, second) = (attempt("a"), attempt("b"));
    let mut stream = Stream::new(first.clone(), 4);
    deliver(&mut stream, &first, 3);
    stream.resume(second.clone());
    deliver(&mut stream, &second, 1);

    let surplus = stream.accept(&second, Event::Token);

    assert_eq!(surplus, Decision::Broken);
}

// An engine closes its stream cleanly in the middle. If the end mark were passed on, the
// caller would take half an answer for the whole.
#[test]
fn end_mark_without_a_finish_reason_is_a_truncated_answer() {
    let only = attempt("a");
    let mut stream = Stream::new(only.clone(), 4);
    deliver(&mut stream, &only, 2);

    let end = stream.accept(&only, Event::End);

    assert_eq!(end, Decision::Broken);
    assert!(!stream.is_ended());
}
