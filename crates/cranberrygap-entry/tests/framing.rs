//! Responses that end, and whether they are whole.

use cranberrygap_entry::{framing, sse};
use cranberrygap_response::head;
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
    let head = head::Head::check(StatusCode::OK, &headers, length).expect("a sound head");
    framing::Framing::new(head, &headers)
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
