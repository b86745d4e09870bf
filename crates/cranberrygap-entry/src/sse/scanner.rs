//! Finds the ends of server-sent events without keeping their bytes.

/// Byte order mark that may precede a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Kind of the line that is being read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    /// None of its bytes has arrived.
    #[default]
    Empty,
    Comment,
    Field,
}

/// Whether the byte order mark may still come.
#[derive(Debug, Clone, Copy)]
enum Mark {
    /// This many of its bytes have arrived, and nothing else.
    Expected(usize),
    Past,
}

impl Default for Mark {
    fn default() -> Self {
        Self::Expected(0)
    }
}

/// Position in a stream of events: between two of them or within one.
///
/// Lines end with LF, CR LF or CR, and a blank line ends an event.
#[derive(Debug, Clone, Copy, Default)]
pub struct Scanner {
    line: Line,
    /// Whether a field has arrived since the last blank line.
    has_field: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same line end.
    after_cr: bool,
    mark: Mark,
    event_count: u64,
}

impl Scanner {
    /// Reads bytes that arrived.
    pub fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.read_byte(*byte);
        }
    }

    /// Reads one byte; true if it ends a blank line, which ends an event.
    pub(super) fn read_byte(&mut self, byte: u8) -> bool {
        if self.is_mark_byte(byte) {
            return false;
        }
        let completes_line_end = std::mem::take(&mut self.after_cr) && byte == b'\n';
        if completes_line_end {
            return false;
        }
        match byte {
            b'\r' | b'\n' => {
                self.after_cr = byte == b'\r';
                self.end_line()
            }
            _ => {
                if self.line == Line::Empty {
                    self.line = if byte == b':' {
                        Line::Comment
                    } else {
                        Line::Field
                    };
                }
                false
            }
        }
    }

    /// Whether no part of a further event has arrived, nor of a comment.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.line == Line::Empty && !self.has_field
    }

    /// Whether a whole event has arrived.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        self.event_count > 0
    }

    /// Number of whole events that have arrived. Comments are none.
    #[must_use]
    pub const fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether an LF that follows belongs to the last line end.
    pub(super) fn is_after_cr(&self) -> bool {
        self.after_cr
    }

    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        if line != Line::Empty {
            self.has_field |= line == Line::Field;
            return false;
        }
        self.event_count += u64::from(std::mem::take(&mut self.has_field));
        true
    }

    fn is_mark_byte(&mut self, byte: u8) -> bool {
        let Mark::Expected(arrived) = self.mark else {
            return false;
        };
        if BYTE_ORDER_MARK.get(arrived) == Some(&byte) {
            self.mark = Mark::Expected(arrived + 1);
            return true;
        }
        self.mark = Mark::Past;
        if (1..BYTE_ORDER_MARK.len()).contains(&arrived) {
            // What looked like the mark is the name of a field.
            self.line = Line::Field;
        }
        false
    }
}
