//! Checks how the lines of a head end, which the HTTP library does not tell.

/// Place of the number of the status in its line, after `HTTP/1.1 `.
const STATUS_PLACE: usize = 9;

/// Place in a head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Place {
    /// Where a line begins.
    #[default]
    LineBegin,
    Line,
    /// After a CR at the begin of a line.
    BlankCr,
    /// After the blank line.
    End,
}

/// Reads a head up to its blank line. Heads of interim responses come before it.
#[derive(Debug, Clone, Default)]
pub(super) struct Scanner {
    place: Place,
    /// Number of lines that have arrived.
    lines: usize,
    /// Number of bytes of the line that arrives.
    line_bytes: usize,
    last: u8,
    /// Whether the first line ended with CR LF.
    has_cr_lf: bool,
    is_interim: bool,
    is_torn: bool,
}

impl Scanner {
    /// Reads bytes that arrived; what follows the head is not looked at.
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.place == Place::End {
                return;
            }
            self.read_byte(*byte);
        }
    }

    /// Whether the blank line ends with LF alone in a head whose first line ends with CR LF. The LF is
    /// then the rest of a line end or a part of the body, and the head ends too early or too late.
    pub(super) const fn is_torn(&self) -> bool {
        self.is_torn
    }

    fn read_byte(&mut self, byte: u8) {
        match (self.place, byte) {
            (Place::LineBegin, b'\r') => self.place = Place::BlankCr,
            (Place::LineBegin, b'\n') => {
                self.is_torn = self.has_cr_lf;
                self.end_head();
            }
            (Place::BlankCr, b'\n') => self.end_head(),
            (_, b'\n') => self.end_line(),
            _ => {
                self.place = Place::Line;
                if self.lines == 0 && self.line_bytes == STATUS_PLACE {
                    self.is_interim = byte == b'1';
                }
                self.line_bytes += 1;
                self.last = byte;
            }
        }
    }

    fn end_line(&mut self) {
        self.place = Place::LineBegin;
        if self.lines == 0 {
            self.has_cr_lf = self.last == b'\r';
        }
        self.lines += 1;
        self.line_bytes = 0;
    }

    fn end_head(&mut self) {
        // Blank lines may precede a head.
        let goes_on = self.lines == 0 || self.is_interim;
        if goes_on && !self.is_torn {
            *self = Self::default();
            return;
        }
        self.place = Place::End;
    }
}
