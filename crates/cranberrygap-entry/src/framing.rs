//! How the end of a response is known, and whether a response that ended is whole.

use std::fmt;

use http::{HeaderMap, header};

/// What ends the body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has a known length.
    Length,
    /// The body comes in chunks, of which the last is marked.
    Chunks,
    /// The body ends with its connection. An endpoint that dies ends it in the same way.
    Connection,
}

impl Framing {
    /// The framing of a response with these headers, whose body has `length` bytes if the HTTP
    /// library knows.
    #[must_use]
    pub fn new(headers: &HeaderMap, length: Option<u64>) -> Self {
        if length.is_some() {
            return Self::Length;
        }
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        let last = codings.iter().next_back();
        let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        if last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            return Self::Chunks;
        }
        Self::Connection
    }

    /// Its name in logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
