//! Finds what is left of a broken head in a body that ends with its connection.
//!
//! A head that was broken where it tells the end of its body may look like one that says nothing of
//! it. The sizes of chunks are then a part of the body, or the rest of the head is, behind a blank
//! line that does not belong there.

mod chunks;
mod fields;

/// Looks for remnants in a body while it arrives.
#[derive(Debug, Clone)]
pub struct Scanner {
    chunks: chunks::Scanner,
    fields: fields::Scanner,
    is_event_stream: bool,
}

impl Scanner {
    /// A scanner of a body of which nothing has arrived.
    #[must_use]
    pub fn new(is_event_stream: bool) -> Self {
        Self {
            chunks: chunks::Scanner::default(),
            fields: fields::Scanner::default(),
            is_event_stream,
        }
    }

    /// Reads bytes that arrived.
    pub fn read(&mut self, bytes: &[u8]) {
        self.chunks.read(bytes);
        self.fields.read(bytes);
    }

    /// Whether the first lines must be held back, since it is not known yet what they are. Content
    /// without events is judged at its end: it may have no lines.
    #[must_use]
    pub fn is_undecided(&self) -> bool {
        self.is_event_stream && (self.chunks.is_undecided() || self.fields.is_undecided())
    }

    /// Whether the body is known to hold remnants.
    ///
    /// Text may begin with a number, so that only a body of whole chunks, up to the last one, is
    /// known to be in chunks. An event never begins with the size of one.
    #[must_use]
    pub fn has_found(&self) -> bool {
        let is_chunked = if self.is_event_stream {
            self.chunks.has_size()
        } else {
            self.chunks.is_whole()
        };
        is_chunked || self.fields.has_head()
    }
}
