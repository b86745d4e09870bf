//! Server-sent events, cut at their borders without copying.

use bytes::{Bytes, BytesMut};

/// Longest event that is held while its end has not arrived, in bytes. Bounds
/// what an endpoint that never ends an event can make us store.
const LONGEST_EVENT: usize = 1 << 20;

/// What ends an event.
const BORDER: &[u8] = b"\n\n";
const DATA: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// An event grew beyond the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {LONGEST_EVENT} bytes")]
pub struct TooLong;

/// Collects bytes and gives whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds bytes as they arrived.
    ///
    /// # Errors
    ///
    /// When an event has no end within the bound.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > LONGEST_EVENT {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Whether nothing of a further event has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole event with its border.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let end = find(&self.buffer, BORDER)? + BORDER.len();
        Some(self.buffer.split_to(end).freeze())
    }
}

/// The data of an event; `None` for comments and other fields.
#[must_use]
pub fn data(event: &[u8]) -> Option<&[u8]> {
    let rest = event.strip_prefix(DATA)?;
    Some(rest.trim_ascii())
}

/// Whether an event's data marks the end of a stream.
#[must_use]
pub fn is_done(data: &[u8]) -> bool {
    data == DONE
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
