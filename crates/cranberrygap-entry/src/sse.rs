//! Splits a stream of bytes into server-sent events. An event shares the buffer's memory
//! instead of copying it.

mod scanner;

use bytes::{Bytes, BytesMut};

pub use scanner::Scanner;

/// Largest number of buffered bytes. It limits the memory that an endpoint can occupy with an
/// event that never ends.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data:";
const DONE_MARKER: &[u8] = b"[DONE]";

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Collects bytes and splits them into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends the bytes that arrived.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if the buffered bytes would exceed the limit; the bytes are not added.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Removes and returns the next complete event, with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = find_subslice(&self.buffer, EVENT_END)? + EVENT_END.len();
        Some(self.buffer.split_to(end).freeze())
    }
}

/// Returns the data of an event; `None` for comments and other fields.
#[must_use]
pub fn data(event: &[u8]) -> Option<&[u8]> {
    let rest = event.strip_prefix(DATA_PREFIX)?;
    Some(rest.trim_ascii())
}

/// Whether an event's data marks the end of a stream.
#[must_use]
pub fn is_done(data: &[u8]) -> bool {
    data == DONE_MARKER
}

fn find_subslice(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
