//! Responses that end, and whether they are whole.

use cranberrygap_entry::{framing, sse};
use http::{HeaderMap, HeaderValue, StatusCode, header};

const CHUNKED: &str = "chunked";

fn framing(coding: Option<&str>, length: Option<u64>, kind: Option<&str>) -> framing::Framing {
    let mut headers = HeaderMap::new();
    let values = [
        (header::TRANSFER_ENCODING, coding),
        (header::CONTENT_TYPE, kind),
    ];
    for (name, value) in values {
        if let Some(value) = value {
            headers.insert(name, HeaderValue::from_str(value).expect("a header value"));
        }
    }
    framing::Framing::new(StatusCode::OK, &headers, length).expect("a sound head")
}

fn scanner(bytes: &str) -> sse::Scanner {
    let mut scanner = sse::Scanner::default();
    scanner.read(bytes.as_bytes());
    scanner
}

#[test]
fn framing_follows_the_headers() {
    let cases = [
        (None, Some(3), "length"),
        (Some(CHUNKED), None, "chunks"),
        (Some("Chunked"), None, "chunks"),
        (None, None, "connection"),
    ];

    for (coding, length, expected) in cases {
        let framing = framing(coding, length, None);
        assert_eq!(framing.as_str(), expected, "{coding:?} {length:?}");
        assert_eq!(framing.keeps_connection(), expected != "connection");
    }
}

// Half of a response that ended with its connection must not pass for all of it.
#[test]
fn body_that_ends_with_its_connection_is_checked_by_its_content() {
    let events = Some("text/event-stream; charset=utf-8");
    let cases = [
        (Some("application/json"), r#"{"seat":4}"#, true),
        (Some("application/json"), r#"{"seat":"#, false),
        (Some("application/problem+json"), r#"{"seat":"#, false),
        (events, "data: one\n\n", true),
        (events, "data: one\n\ndata: t", false),
        (events, "", false),
        (Some("text/plain"), "a part or all of it", true),
        (Some("text/plain"), "", false),
        (None, "a part or all of it", true),
    ];

    for (kind, body, expected) in cases {
        let framing = framing(None, None, kind);
        let is_whole = framing.is_whole(body.as_bytes());
        assert_eq!(is_whole, expected, "{kind:?} {body:?}");
    }
}

#[test]
fn body_with_a_length_or_chunks_is_whole_when_it_ends() {
    for (coding, length) in [(None, Some(1)), (Some(CHUNKED), None)] {
        let framing = framing(coding, length, Some("application/json"));

        assert!(framing.is_whole(b"{"), "{coding:?}");
    }
}

// A stream may end within an event although its framing is complete.
#[test]
fn stream_is_whole_between_events_only() {
    let cases = [
        ("data: one\n\n", true, true),
        ("data: one\r\n\r\n", true, true),
        ("data: one\r\r", true, true),
        ("\u{feff}data: one\n\n", true, true),
        ("data: one\n\n: bye\n", true, true),
        ("data: one\n\n: by", false, false),
        ("data: one\n", false, false),
        ("data: one\n\nid: 2\n", false, false),
        (": nothing but a comment\n\n", true, false),
        ("", true, false),
    ];

    for (bytes, with_length, with_connection) in cases {
        let scanner = scanner(bytes);
        let framed = framing(None, Some(1), None).is_whole_stream(&scanner);
        let unframed = framing(None, None, None).is_whole_stream(&scanner);
        assert_eq!(
            (framed, unframed),
            (with_length, with_connection),
            "{bytes:?}"
        );
    }
}

// Chunks with their sizes, or the rest of a head, passed for the body of a response whose head was
// broken. They are found however the body arrives.
#[test]
fn remnants_of_a_head_are_found_in_bodies() {
    let cases = [
        ("5\r\nhello\r\n0\r\n\r\n", true, true),
        ("5;a=\"b\"\r\nhello\r\n00\r\nX-Sum: 1\r\n\r\n", true, true),
        ("0\r\n\r\n", true, true),
        ("Content-Length: 5\r\n\r\nhello", true, true),
        ("Vary: *\r\ntransfer-encoding:chunked\r\n\r\n", true, true),
        ("Content-Length: 5\n\nhello", true, true),
        ("Vary: *\r\nX-Other: 1\r\n\r\nhello", true, true),
        ("\r\nhello", true, true),
        ("\r\n5\r\nhello\r\n0\r\n\r\n", true, true),
        // Texts have such lines, too.
        ("Vary: *\nX-Other: 1\n\nhello", false, false),
        ("\nhello", false, false),
        // A text may begin with a number, an event does not.
        ("5\r\nhello\r\n0\r\n\r\nmore", false, true),
        ("5\r\nhello", false, true),
        ("5\r\nhi", false, true),
        ("5\nhello\n0\n\n", false, false),
        ("12345678901234567\r\n", false, false),
        ("Content-Length: 5\r\nhello", false, false),
        ("Vary *\r\n\r\nContent-Length: 5\r\n\r\n", false, false),
        ("data: Content-Length: 5\r\n\r\n", false, false),
        ("", false, false),
    ];

    for (body, in_text, in_events) in cases {
        for (is_event_stream, expected) in [(false, in_text), (true, in_events)] {
            for size in [1, 2, 7, body.len().max(1)] {
                let mut remnants = framing(None, None, None)
                    .remnants(is_event_stream)
                    .expect("a body that ends with its connection");
                for part in body.as_bytes().chunks(size) {
                    remnants.read(part);
                }
                assert_eq!(remnants.has_found(), expected, "{body:?} {is_event_stream}");
            }
        }
    }
}

// What may be a part of a head must not reach the caller; events must not wait longer than their
// first name.
#[test]
fn first_bytes_of_events_are_held_until_they_are_known() {
    let cases = [
        ("", true),
        ("2", true),
        ("2b\r", true),
        ("Content-Type: text/event-stream\r\n", true),
        ("data", true),
        ("data:", false),
        ("id", true),
        ("id:", false),
        ("event:", false),
        (": comment", false),
        ("\u{feff}data", false),
        ("\n", false),
    ];

    for (bytes, expected) in cases {
        let mut remnants = framing(None, None, None).remnants(true).expect("a scanner");
        remnants.read(bytes.as_bytes());
        assert_eq!(remnants.is_undecided(), expected, "{bytes:?}");
    }
}

#[test]
fn body_whose_end_is_known_has_no_remnants() {
    for (coding, length) in [(None, Some(1)), (Some(CHUNKED), None)] {
        assert!(framing(coding, length, None).remnants(true).is_none());
    }
}
