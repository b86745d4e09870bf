//! Heads of responses, and whether they are sound.

use cranberrygap_response::defect::Defect;
use cranberrygap_response::head::{End, Head};
use http::{HeaderMap, HeaderName, HeaderValue};

type Line<'line> = (&'line str, &'line [u8]);

/// The head with these lines, whose body has `body_length` bytes if the HTTP library knows.
fn check(lines: &[Line<'_>], body_length: Option<u64>) -> Result<End, Defect> {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        let name: HeaderName = name.parse().expect("a name");
        headers.append(name, HeaderValue::from_bytes(value).expect("a value"));
    }
    Head::check(&headers, body_length).map(Head::end)
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
