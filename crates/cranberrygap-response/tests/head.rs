//! Heads of responses, and whether they are sound.

use cranberrygap_response::defect::Defect;
use cranberrygap_response::head::{End, Head};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

type Line<'line> = (&'line str, &'line [u8]);

/// What ends the body after a head with these lines.
fn check(lines: &[Line<'_>], body_length: Option<u64>) -> Result<End, Defect> {
    head(lines, body_length).map(Head::end)
}

/// The head with these lines, whose body has `body_length` bytes if the HTTP library knows.
fn head(lines: &[Line<'_>], body_length: Option<u64>) -> Result<Head, Defect> {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_bytes(value).expect("a value"));
    }
    Head::check(StatusCode::OK, &headers, body_length)
}

// A status that is none of HTTP reached callers as it came.
#[test]
fn status_that_ends_no_request_is_a_defect() {
    for number in (100..200).chain(600..1_000) {
        let status = StatusCode::from_u16(number).expect("a number of three digits");
        let head = Head::check(status, &HeaderMap::new(), Some(0));
        assert_eq!(head, Err(Defect::Status(status)));
    }
}

#[test]
fn end_is_what_the_head_tells() {
    let cases: [(&[Line<'_>], Option<u64>, End); 5] = [
        (&[("content-length", b"3")], Some(3), End::Length),
        (&[("transfer-encoding", b"chunked")], None, End::Chunks),
        (&[("transfer-encoding", b"CHUNKED")], None, End::Chunks),
        (&[], None, End::Connection),
        // The response to a request for the head alone has no body.
        (&[("transfer-encoding", b"chunked")], Some(0), End::Length),
    ];

    for (lines, body_length, expected) in cases {
        assert_eq!(check(lines, body_length), Ok(expected), "{lines:?}");
    }
}

// A spoilt status made a success with a body look like one without.
#[test]
fn body_of_a_response_without_content_is_a_defect() {
    let cases = [
        ("content-length", "20", Err(Defect::Content)),
        ("transfer-encoding", "chunked", Err(Defect::Content)),
        ("content-length", "0", Ok(End::Length)),
    ];

    for (name, value, expected) in cases {
        let name: HeaderName = name.parse().expect("a name");
        let headers = HeaderMap::from_iter([(name, HeaderValue::from_static(value))]);
        let head = Head::check(StatusCode::NO_CONTENT, &headers, Some(0));
        assert_eq!(head.map(Head::end), expected, "{value}");
    }
}

#[test]
fn length_that_is_repeated_is_one() {
    let cases: [&[Line<'_>]; 3] = [
        &[("content-length", b"20, 20")],
        &[("content-length", b"20"), ("content-length", b"20")],
        &[("content-length", b"0020,20")],
    ];

    for lines in cases {
        let head = head(lines, Some(20)).expect("a sound head");
        assert_eq!(
            (head.end(), head.length()),
            (End::Length, Some(20)),
            "{lines:?}"
        );
    }
}

// Libraries ignore the length of a response that has no body, and callers would get it as it came.
#[test]
fn length_that_is_not_one_number_is_a_defect() {
    let lengths: [&[u8]; 9] = [
        b"", b"2x", b"+20", b"-1", b"20.0", b"2 0", b"20, 21", b"20,", b"\xb2",
    ];

    for length in lengths {
        let lines = [("content-length", length)];
        assert_eq!(check(&lines, Some(0)), Err(Defect::Length), "{length:?}");
    }
}

// Two statements about the end of one body: readers that believe one of them differ.
#[test]
fn chunks_and_a_length_are_a_defect() {
    for length in ["5", "0", "2x", ""] {
        let lines: [Line<'_>; 2] = [
            ("transfer-encoding", b"chunked"),
            ("content-length", length.as_bytes()),
        ];
        assert_eq!(
            check(&lines, None),
            Err(Defect::CodingAndLength),
            "{length:?}"
        );
    }
}

// A body in a coding that is not known passed for one that ends with its connection.
#[test]
fn coding_other_than_chunks_is_a_defect() {
    let codings: [&[&[u8]]; 9] = [
        &[b"chunkeq"],
        &[b"identity"],
        &[b"gzip"],
        &[b""],
        &[b"gzip, chunked"],
        &[b"chunked, gzip"],
        &[b"chunked;a=b"],
        &[b"chunked", b"chunked"],
        &[b"chunked\xe9"],
    ];

    for values in codings {
        let lines: Vec<Line<'_>> = values
            .iter()
            .map(|value| ("transfer-encoding", *value))
            .collect();
        assert_eq!(check(&lines, None), Err(Defect::Coding), "{values:?}");
    }
}
