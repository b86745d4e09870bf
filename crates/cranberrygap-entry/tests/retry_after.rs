//! The forms in which endpoints ask to be left alone for a time.

use std::time::{Duration, SystemTime};

use cranberrygap_entry::gateway::retry_after;
use cranberrygap_model::duration::Span;
use http::{HeaderMap, HeaderName, HeaderValue, header};

/// 6 November 1994, 08:49:30 GMT.
fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_770)
}

fn headers(lines: &[(HeaderName, &str)]) -> HeaderMap {
    let lines = lines.iter();
    lines
        .map(|(name, value)| (name.clone(), HeaderValue::from_str(value).expect("a value")))
        .collect()
}

fn read(values: &[&str]) -> Option<Span> {
    let lines: Vec<_> = values
        .iter()
        .map(|value| (header::RETRY_AFTER, *value))
        .collect();
    retry_after::read(&headers(&lines), now()).expect("a known form")
}

#[test]
fn seconds_may_have_fractions() {
    assert_eq!(read(&["3"]), Some(Span::from_secs(3)));
    assert_eq!(read(&[" 0.25 "]), Some(Span::from_millis(250)));
    assert_eq!(read(&["0"]), Some(Span(0)));
    assert_eq!(read(&[]), None);
}

// The shorter of two values would end the rest early.
#[test]
fn longest_of_several_values_counts() {
    assert_eq!(read(&["1", "4", "2"]), Some(Span::from_secs(4)));
    assert_eq!(read(&["soon", "2"]), Some(Span::from_secs(2)));
}

// The endpoint's clock may be hours off; its own date tells how long it means.
#[test]
fn date_counts_from_the_date_of_the_response() {
    let until = "Sun, 06 Nov 1994 08:49:37 GMT";
    let own = "Sun, 06 Nov 1994 08:49:32 GMT";
    let with_date = headers(&[(header::RETRY_AFTER, until), (header::DATE, own)]);

    let counted = retry_after::read(&with_date, SystemTime::UNIX_EPOCH);

    assert_eq!(counted.expect("a date"), Some(Span::from_secs(5)));
    assert_eq!(read(&[until]), Some(Span::from_secs(7)));
    assert_eq!(read(&["Sun, 06 Nov 1994 08:49:20 GMT"]), Some(Span(0)));
}

#[test]
fn absurd_lengths_are_a_day() {
    const DAY: Span = Span::from_secs(24 * 60 * 60);
    assert_eq!(read(&["1e300"]), Some(DAY));
    assert_eq!(read(&["Sat, 06 Nov 2094 08:49:37 GMT"]), Some(DAY));
}

// A word without meaning must not count as a rest without end, or as none that was asked for.
#[test]
fn words_without_meaning_are_errors() {
    for word in ["-1", "-0.5", "nan", "inf", "soon", "", "3 s"] {
        let read = retry_after::read(&headers(&[(header::RETRY_AFTER, word)]), now());
        assert!(read.is_err(), "{word}: {read:?}");
    }
}
