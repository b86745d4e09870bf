//! A streamed answer that is resumed on another engine.

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

// An engine dies in the middle of an answer; another one goes on behind the last
// token. The dead one was only cut off and sends its next token after all. The
// caller would read that token twice.
#[test]
fn late_tokens_of_a_given_up_attempt_are_left_out() {
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

// An engine that does not know how to resume begins anew. The caller would read
// the beginning twice; more tokens than were asked for give it away.
#[test]
fn engine_that_begins_anew_is_found() {
    let (first, second) = (attempt("a"), attempt("b"));
    let mut stream = Stream::new(first.clone(), 4);
    deliver(&mut stream, &first, 3);
    stream.resume(second.clone());
    deliver(&mut stream, &second, 1);

    let surplus = stream.accept(&second, Event::Token);

    assert_eq!(surplus, Decision::Broken);
}

// An engine closes its stream cleanly in the middle. Passed on as it is, the
// caller would take half an answer for the whole.
#[test]
fn end_mark_before_the_finish_is_a_cut_answer() {
    let only = attempt("a");
    let mut stream = Stream::new(only.clone(), 4);
    deliver(&mut stream, &only, 2);

    let end = stream.accept(&only, Event::End);

    assert_eq!(end, Decision::Broken);
    assert!(!stream.is_ended());
}
