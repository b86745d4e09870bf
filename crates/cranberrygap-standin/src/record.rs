//! What a stand-in was sent, so that a test can search it.

use std::collections::VecDeque;

use parking_lot::Mutex;
use salvo::Request;

/// Requests kept; older ones are dropped.
const KEPT: usize = 4096;

/// One request as it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Method and path with query.
    pub target: String,
    /// Headers, one `name: value` a line.
    pub headers: String,
    /// The body as text.
    pub body: String,
}

impl Seen {
    /// Value of a header, empty when it was not sent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let pairs = self
            .headers
            .lines()
            .filter_map(|line| line.split_once(": "));
        let mut found = pairs.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map_or("", |(_, value)| value)
    }
}

/// The last requests that a stand-in saw.
#[derive(Debug, Default)]
pub struct Record {
    seen: Mutex<VecDeque<Seen>>,
}

impl Record {
    /// Keeps a request.
    pub fn keep(&self, request: &Request, body: &[u8]) {
        let headers = request.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            format!("{name}: {value}\n")
        });
        let seen = Seen {
            target: format!("{} {}", request.method(), request.uri()),
            headers: headers.collect(),
            body: String::from_utf8_lossy(body).into_owned(),
        };
        let mut kept = self.seen.lock();
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back(seen);
    }

    /// All requests that are kept, oldest first.
    #[must_use]
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().iter().cloned().collect()
    }

    /// Whether any target, header or body holds the text.
    #[must_use]
    pub fn contains(&self, text: &str) -> bool {
        let seen = self.seen.lock();
        seen.iter().any(|request| {
            request.target.contains(text)
                || request.headers.contains(text)
                || request.body.contains(text)
        })
    }
}
