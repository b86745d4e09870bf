//! Each check finds the fault that it is for, and nothing where there is none.

use cranberrygap_arrivals::check::Check as _;
use cranberrygap_arrivals::{
    arrival, attempt, check, fault, finding, record, rules, stall, statement, stream,
};
use cranberrygap_model::duration;

const SECOND: u64 = 1_000_000;

fn rules() -> rules::Rules {
    rules::Rules::builder()
        .share(0.2)
        .fixed(5.0)
        .window(duration::Span::from_secs(10))
        .tolerance(duration::Span::from_millis(500))
        .settling(duration::Span::from_secs(3))
        .max_crashes(3)
        .max_late_arrivals(3)
        .build()
}

fn at(seconds: f64) -> duration::Instant {
    duration::Instant::default().after(duration::Span(SECOND).scaled(seconds))
}

fn attempt(number: usize, seconds: f64) -> attempt::Attempt {
    attempt::Attempt {
        id: format!("a-{number}").into(),
        service: "app".parse().expect("a name"),
        entry: "entry-1".into(),
        sent_at: at(seconds),
        timeout: duration::Span::from_secs(3),
        max_endpoints: 2,
    }
}

fn arrival(number: usize, endpoint: &str, seconds: f64) -> arrival::Arrival {
    arrival::Arrival {
        attempt: format!("a-{number}").into(),
        sender: None,
        content: format!("c-{number}").into(),
        service: "app".parse().expect("a name"),
        endpoint: endpoint.into(),
        at: at(seconds),
        time_left: Some(duration::Span::from_millis(2_400)),
        end: arrival::End::Ran,
    }
}

/// Number of the first attempt that arrives twice.
const REPEATED: usize = 60;

/// Two hundred attempts in twenty seconds, so many of which arrive twice.
fn repeated(repeats: usize) -> record::Record {
    let mut record = record::Record::default();
    for number in 0..200 {
        let seconds = number as f64 / 10.0;
        record.attempts.push(attempt(number, seconds));
        record.arrivals.push(arrival(number, "i-1", seconds));
    }
    for number in REPEATED..REPEATED + repeats {
        let seconds = number as f64 / 10.0 + 0.2;
        record.arrivals.push(arrival(number, "i-2", seconds));
    }
    record
}

fn names(findings: &[finding::Finding]) -> Vec<&'static str> {
    findings.iter().map(|finding| finding.check).collect()
}

#[test]
fn repeats_within_share_and_fixed_number_are_allowed() {
    let findings = check::findings(&repeated(25), &rules());

    assert_eq!(findings, []);
}

#[test]
fn repeat_beyond_share_and_fixed_number_is_found() {
    let findings = check::findings(&repeated(26), &rules());

    assert_eq!(names(&findings), ["budget"]);
    assert_eq!((findings[0].seen, findings[0].allowed), (26.0, 25.0));
}

// A repeat is paid for where it arrives: one service's requests allow none at another.
#[test]
fn repeats_count_at_the_service_where_they_arrive() {
    let mut record = repeated(6);
    let moved = record.arrivals.iter_mut();
    for arrival in moved.filter(|arrival| arrival.endpoint == "i-2") {
        arrival.service = "other".parse().expect("a name");
    }

    let findings = check::findings(&record, &rules());

    assert_eq!(names(&findings), ["budget"]);
    assert_eq!(findings[0].subject, "other");
}

#[test]
fn rejected_arrivals_count_as_repeats() {
    let mut record = repeated(26);
    for arrival in &mut record.arrivals {
        arrival.end = arrival::End::Rejected;
    }

    assert_eq!(names(&check::findings(&record, &rules())), ["budget"]);
}

#[test]
fn attempt_at_more_endpoints_than_allowed_is_found() {
    let mut record = repeated(1);
    record.arrivals.push(arrival(REPEATED, "i-3", 6.4));

    let findings = check::findings(&record, &rules());

    assert_eq!(names(&findings), ["endpoints"]);
    assert_eq!((findings[0].seen, findings[0].allowed), (3.0, 2.0));
}

#[test]
fn endpoint_that_ended_does_not_count_for_an_attempt() {
    let mut record = repeated(1);
    record.arrivals[REPEATED].end = arrival::End::Lost;
    record.arrivals.push(arrival(REPEATED, "i-3", 6.4));

    assert_eq!(check::findings(&record, &rules()), []);
}

// An entry that hands on the caller's own number, whatever has passed of it, is found.
#[test]
fn deadline_that_was_copied_is_found() {
    let mut record = repeated(1);
    for arrival in &mut record.arrivals {
        arrival.time_left = Some(duration::Span::from_secs(3));
    }
    let late = record.arrivals.iter_mut();
    for arrival in late.filter(|arrival| arrival.endpoint == "i-2") {
        arrival.at = at(6.6);
    }

    let findings = check::findings(&record, &rules());

    assert_eq!(names(&findings), ["deadline"]);
    assert_eq!((findings[0].seen, findings[0].allowed), (3_000.0, 2_900.0));
}

#[test]
fn missing_deadline_is_found() {
    let mut record = repeated(0);
    record.arrivals[0].time_left = None;

    assert_eq!(names(&check::findings(&record, &rules())), ["deadline"]);
}

#[test]
fn times_of_an_entry_that_had_a_fault_are_not_held_against_it() {
    let mut record = repeated(0);
    record.arrivals[50].time_left = None;
    record.faults.push(fault::Fault {
        entry: "entry-1".into(),
        at: at(4.0),
    });

    assert_eq!(check::findings(&record, &rules()), []);
}

// An arrival that the run read late, since it stood still itself, bears the number of its sending.
#[test]
fn stall_of_the_run_is_not_held_against_an_entry() {
    let mut record = repeated(1);
    for arrival in &mut record.arrivals {
        arrival.time_left = Some(duration::Span::from_secs(3));
    }
    let late = record.arrivals.iter_mut();
    for arrival in late.filter(|arrival| arrival.endpoint == "i-2") {
        arrival.at = at(6.8);
    }
    let found = check::findings(&record, &rules());
    record.stalls.push(stall::Stall {
        from: at(6.1),
        until: at(6.5),
    });

    let excused = check::findings(&record, &rules());

    assert_eq!(names(&found), ["deadline"]);
    assert_eq!(excused, []);
}

/// A request that ends three endpoints within a second, and arrives so often five seconds later.
fn deadly(late: usize) -> record::Record {
    let mut record = record::Record::default();
    for number in 0..3 + late {
        let seconds = if number < 3 { 0.3 * number as f64 } else { 5.0 };
        record.attempts.push(attempt(number, seconds));
        let mut arrival = arrival(number, &format!("i-{number}"), seconds);
        arrival.content = "deadly".into();
        arrival.end = arrival::End::Crashed;
        record.arrivals.push(arrival);
    }
    record
}

#[test]
fn request_that_goes_on_ending_endpoints_is_found() {
    let stopped = check::findings(&deadly(3), &rules());
    let goes_on = check::findings(&deadly(4), &rules());

    assert_eq!(stopped, []);
    assert_eq!(names(&goes_on), ["crashes"]);
    assert_eq!((goes_on[0].seen, goes_on[0].allowed), (4.0, 3.0));
}

fn part(number: usize, versions: &[&str], is_return: bool) -> stream::Part {
    stream::Part {
        attempt: format!("a-{number}").into(),
        entry: "entry-1".into(),
        sent_at: at(number as f64),
        versions: versions.iter().map(|version| (*version).into()).collect(),
        is_return,
        is_possible: true,
    }
}

/// Twenty streams that break, of which so many go on when their callers come back.
fn returned(going_on: usize) -> record::Record {
    let streams = (0..20).map(|number| {
        let rest: &[&str] = if number < going_on { &["v1"] } else { &[] };
        stream::Stream {
            content: format!("c-{number}").into(),
            parts: vec![part(number, &["v1"], false), part(number + 1, rest, true)],
        }
    });
    record::Record {
        streams: streams.collect(),
        ..record::Record::default()
    }
}

#[test]
fn stream_of_one_version_is_allowed() {
    assert!(check::findings(&returned(20), &rules()).is_empty());
}

#[test]
fn stream_of_two_versions_is_found() {
    let mut record = returned(20);
    record.streams[3].parts[1].versions = vec!["v2".into()];

    let findings = check::findings(&record, &rules());

    assert_eq!(names(&findings), ["versions"]);
    assert_eq!(findings[0].subject, "c-3");
}

// An entry may mix versions within one response, too.
#[test]
fn response_of_two_versions_is_found() {
    let mut record = returned(20);
    record.streams[3].parts[0].versions = vec!["v1".into(), "v2".into()];

    assert_eq!(names(&check::findings(&record, &rules())), ["versions"]);
}

#[test]
fn callers_that_are_refused_when_they_come_back_are_found() {
    let half = check::findings(&returned(10), &rules());
    let fewer = check::findings(&returned(9), &rules());

    assert!(half.is_empty(), "{half:?}");
    assert_eq!(names(&fewer), ["returns"]);
}

#[test]
fn callers_that_come_back_in_vain_are_excused() {
    let mut disturbed = returned(0);
    disturbed.faults = (0..25)
        .map(|number| fault::Fault {
            entry: "entry-1".into(),
            at: at(f64::from(number)),
        })
        .collect();
    let mut impossible = returned(0);
    for stream in &mut impossible.streams {
        stream.parts[1].is_possible = false;
    }
    let mut few = returned(0);
    few.streams.truncate(11);

    for record in [disturbed, impossible, few] {
        assert!(check::findings(&record, &rules()).is_empty());
    }
}

/// A request of `entry-1` every quarter of a second for six seconds, all at one endpoint.
fn steady() -> record::Record {
    let mut record = record::Record::default();
    for number in 0..24 {
        let seconds = number as f64 / 4.0;
        record.attempts.push(attempt(number, seconds));
        record.arrivals.push(arrival(number, "i-1", seconds));
    }
    record
}

fn states(number: usize, endpoint: &str, wish: statement::Wish) -> statement::Statement {
    statement::Statement {
        attempt: format!("a-{number}").into(),
        endpoint: endpoint.into(),
        at: at(number as f64 / 4.0),
        wish,
    }
}

fn rest(seconds: f64) -> statement::Wish {
    statement::Wish::Rest(duration::Span(SECOND).scaled(seconds))
}

// Half a second after the rejection at 1 s requests may be on their way: of those from 1.75 s on,
// two may arrive in a rest of 1.2 s, and a third in a longer one breaks it.
#[test]
fn third_request_in_a_rest_is_found() {
    let mut record = steady();
    record.statements = vec![states(4, "i-1", rest(1.2))];
    assert_eq!(check::findings(&record, &rules()), []);

    record.statements = vec![states(4, "i-1", rest(1.4))];
    let findings = check::findings(&record, &rules());

    assert_eq!(names(&findings), ["rests"]);
    assert_eq!((findings[0].seen, findings[0].at), (3.0, at(2.25)));
}

// The entry of a caller's attempt was asked, and no other one.
#[test]
fn rest_binds_the_entry_that_was_asked_only() {
    let mut record = steady();
    record.statements = vec![states(4, "i-1", rest(4.0))];
    for attempt in &mut record.attempts[5..] {
        attempt.entry = "entry-2".into();
    }
    assert_eq!(check::findings(&record, &rules()), []);

    record.statements = vec![states(4, "i-2", rest(4.0))];
    assert_eq!(check::findings(&record, &rules()), []);
}

// An entry that is cut off has another one send its requests. That one was not asked for rest.
#[test]
fn requests_that_another_entry_sends_are_its_own() {
    let mut record = steady();
    record.statements = vec![
        states(4, "i-1", rest(4.0)),
        states(4, "i-1", statement::Wish::Drain),
    ];
    for arrival in &mut record.arrivals[5..] {
        arrival.sender = Some("entry-2".into());
    }

    assert_eq!(check::findings(&record, &rules()), []);
}

#[test]
fn fault_of_the_entry_excuses_requests_in_a_rest() {
    let mut record = steady();
    record.statements = vec![
        states(4, "i-1", rest(4.0)),
        states(4, "i-1", statement::Wish::Drain),
    ];
    record.faults = vec![fault::Fault {
        entry: "entry-1".into(),
        at: at(1.6),
    }];

    assert_eq!(check::findings(&record, &rules()), []);
}

// The caller got the announcement at 1 s; what callers send from 3 s on must go elsewhere.
#[test]
fn request_after_an_announced_drain_is_found() {
    let mut record = steady();
    record.statements = vec![states(4, "i-1", statement::Wish::Drain)];

    let findings = check::findings(&record, &rules());

    assert_eq!(names(&findings), ["drains"]);
    assert_eq!(findings[0].at, at(3.25));
}

#[test]
fn requests_sent_before_the_bound_of_a_drain_may_arrive_after_it() {
    let mut record = steady();
    record.statements = vec![states(4, "i-1", statement::Wish::Drain)];
    for attempt in &mut record.attempts {
        attempt.sent_at = attempt.sent_at.min(at(2.9));
    }

    assert_eq!(check::Drains.run(&record, &rules()), []);
}

// A caller takes the promise for its word and sends the request again.
#[test]
fn attempt_that_ran_after_a_promise_is_found() {
    let mut record = record::Record::default();
    for number in 0..4 {
        record.attempts.push(attempt(number, 1.0));
        record.promised.push(format!("a-{number}").into());
    }
    let mut rejected = arrival(1, "i-1", 1.1);
    rejected.end = arrival::End::Rejected;
    record.arrivals.push(rejected);
    let clean = check::findings(&record, &rules());
    record.arrivals.push(arrival(2, "i-1", 1.2));
    record.arrivals.push(arrival(7, "i-1", 1.2));

    let found = check::findings(&record, &rules());

    assert_eq!(clean, []);
    assert_eq!(names(&found), ["promises"]);
    assert_eq!((found[0].seen, found[0].subject.as_str()), (1.0, "a-2"));
}
