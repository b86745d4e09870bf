//! Splits a stream of bytes into server-sent events. An event shares the buffer's memory
//! instead of copying it.

mod scanner;

use bytes::{Bytes, BytesMut};

pub use scanner::Scanner;

/// Largest number of buffered bytes. It limits the memory that an endpoint can occupy with an
/// event that never ends.
const MAX_EVENT_BYTES: usize = 1 << 20;

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
    scanner: Scanner,
    /// Bytes of the buffer that the scanner has read.
    scanned: usize,
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
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    /// Removes and returns the next complete event, with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let ends_event = self.scan_byte()?;
            if !ends_event {
                continue;
            }
            if self.scanner.is_after_cr() && self.buffer.get(self.scanned) == Some(&b'\n') {
                self.scan_byte();
            }
            let length = std::mem::take(&mut self.scanned);
            return Some(self.buffer.split_to(length).freeze());
        }
    }

    /// Position in the stream after the events that were removed.
    #[must_use]
    pub fn scanner(&self) -> &Scanner {
        &self.scanner
    }

    /// Whether the next byte ends an event, `None` without one.
    fn scan_byte(&mut self) -> Option<bool> {
        let byte = *self.buffer.get(self.scanned)?;
        self.scanned += 1;
        Some(self.scanner.read_byte(byte))
    }
}

/// Returns the data of an event; `None` for comments and other fields.
#[must_use]
pub fn data(event: &[u8]) -> Option<&[u8]> {
    // The LF of a CR LF may come with the event after it.
    let rest = event.trim_ascii_start().strip_prefix(DATA_PREFIX)?;
    Some(rest.trim_ascii())
}

/// Whether an event's data marks the end of a stream.
#[must_use]
pub fn is_done(data: &[u8]) -> bool {
    data == DONE_MARKER
}
