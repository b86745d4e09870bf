//! How the end of a response is known, and whether a response that ended is whole.
//!
//! The HTTP library reports a body that is shorter than its length, or lacks its last chunk, as
//! an error. A body that ends with its connection just ends, also if the endpoint died; only its
//! content can then tell that a part is missing.

pub mod remnant;

use std::fmt;

use cranberrygap_response::defect::Defect;
use cranberrygap_response::head::{End, Head};
use http::{HeaderMap, StatusCode, header};
use serde::de::IgnoredAny;

use crate::sse;

/// What a body holds, as far as it shows whether the body is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    Events,
    Json,
    Other,
    /// The response names no type.
    Unspecified,
}

/// How the end of a response is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Framing {
    end: End,
    /// The length that the head names, in bytes.
    length: Option<u64>,
    content: Content,
}

impl Framing {
    /// The framing of a response with this status and these headers, whose body has `body_length`
    /// bytes if the HTTP library knows.
    ///
    /// # Errors
    ///
    /// [`Defect`] if the head is no sound one.
    pub fn new(
        status: StatusCode,
        headers: &HeaderMap,
        body_length: Option<u64>,
    ) -> Result<Self, Defect> {
        let head = Head::check(status, headers, body_length)?;
        Ok(Self {
            end: head.end(),
            length: head.length(),
            content: content(headers),
        })
    }

    /// The length that the head names, in bytes. The response to `HEAD` names one without a body.
    #[must_use]
    pub const fn length(self) -> Option<u64> {
        self.length
    }

    /// Whether the response to a request for a stream holds server-sent events. Without a
    /// content type it is expected to.
    #[must_use]
    pub fn is_event_stream(self) -> bool {
        matches!(self.content, Content::Events | Content::Unspecified)
    }

    /// Whether the body can be checked only once all of it has arrived.
    #[must_use]
    pub fn needs_whole_body(self) -> bool {
        self.end == End::Connection && self.content == Content::Json
    }

    /// Whether the end of the body is marked. Another one looks the same if the endpoint died.
    #[must_use]
    pub fn has_known_end(self) -> bool {
        self.end != End::Connection
    }

    /// Whether the connection can carry another response.
    #[must_use]
    pub fn keeps_connection(self) -> bool {
        self.end != End::Connection
    }

    /// Looks for remnants of a broken head in the body; `None` if the head tells the end of it.
    #[must_use]
    pub fn remnants(self, is_event_stream: bool) -> Option<remnant::Scanner> {
        (self.end == End::Connection).then(|| remnant::Scanner::new(is_event_stream))
    }

    /// Whether a body that ended without an error is whole.
    ///
    /// An endpoint with nothing to say says so by a length, so an empty body that ends with its
    /// connection is not whole. Neither is JSON that cannot be parsed, nor a body with remnants of
    /// a head. For other content, the end of the connection has to be believed.
    #[must_use]
    pub fn is_whole(self, body: &[u8]) -> bool {
        if let Some(mut remnants) = self.remnants(self.content == Content::Events) {
            remnants.read(body);
            if remnants.has_found() {
                return false;
            }
        }
        if self.content == Content::Events {
            let mut scanner = sse::Scanner::default();
            scanner.read(body);
            return self.is_whole_stream(&scanner);
        }
        match (self.end, self.content) {
            (End::Length | End::Chunks, _) => true,
            (End::Connection, Content::Json) => serde_json::from_slice::<IgnoredAny>(body).is_ok(),
            (End::Connection, _) => !body.is_empty(),
        }
    }

    /// Whether a stream of events that ended without an error is whole. One that ends within an
    /// event is not, whatever its framing.
    #[must_use]
    pub fn is_whole_stream(self, scanner: &sse::Scanner) -> bool {
        let has_content = self.end != End::Connection || scanner.has_events();
        has_content && scanner.is_between_events()
    }

    /// Its name in logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self.end {
            End::Length => "length",
            End::Chunks => "chunks",
            End::Connection => "connection",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

fn content(headers: &HeaderMap) -> Content {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return Content::Unspecified;
    };
    let text = value.to_str().unwrap_or_default();
    let kind = text.split(';').next().unwrap_or(text).trim();
    if kind.eq_ignore_ascii_case("text/event-stream") {
        return Content::Events;
    }
    if kind.eq_ignore_ascii_case("application/json") || kind.to_ascii_lowercase().ends_with("+json")
    {
        return Content::Json;
    }
    Content::Other
}
