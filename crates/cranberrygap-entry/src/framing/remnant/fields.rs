//! Tells whether a body begins with the rest of a head.

use smallvec::SmallVec;

/// Fields that tell the end of a body.
const FRAMING: [&[u8]; 2] = [b"content-length", b"transfer-encoding"];

/// Fields of server-sent events. No head has them.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Bytes of the longest name that is looked for.
const MAX_NAME_BYTES: usize = 17;

/// What comes next, if all before it were fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Next {
    /// The name of a field, or the blank line.
    #[default]
    Name,
    Value,
    /// The end of the blank line.
    BlankEnd,
    /// Anything: the lines before were fields up to a blank line, or not fields.
    Anything,
}

/// Reads the first lines of a body for as long as they are fields.
#[derive(Debug, Clone, Default)]
pub(super) struct Scanner {
    next: Next,
    /// The first bytes of the name that arrives, one more than the longest that is looked for.
    name: SmallVec<[u8; MAX_NAME_BYTES + 1]>,
    /// Whether one of the fields tells the end of a body.
    names_framing: bool,
    /// Whether a line ended in another way than heads are written. Texts often have such lines.
    has_bare_lf: bool,
    /// The byte before.
    last: u8,
    /// Whether all lines up to the blank one belong to a head.
    has_head: bool,
}

impl Scanner {
    pub(super) fn read(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.next == Next::Anything {
                return;
            }
            self.next = self.read_byte(*byte);
            self.last = *byte;
        }
    }

    /// Whether the first lines may still become the rest of a head.
    pub(super) fn is_undecided(&self) -> bool {
        self.next != Next::Anything
    }

    /// Whether the body begins with the rest of a head: fields, or nothing, before a blank line.
    pub(super) const fn has_head(&self) -> bool {
        self.has_head
    }

    fn read_byte(&mut self, byte: u8) -> Next {
        match (self.next, byte) {
            (Next::Name, b':') if !self.name.is_empty() => self.end_name(),
            (Next::Name, b'\r') if self.name.is_empty() => Next::BlankEnd,
            (Next::Name, b'\n') if self.name.is_empty() => {
                self.has_bare_lf = true;
                self.end_fields()
            }
            (Next::Name, _) if is_name_byte(byte) => {
                if self.name.len() <= MAX_NAME_BYTES {
                    self.name.push(byte.to_ascii_lowercase());
                }
                Next::Name
            }
            (Next::Value, b'\n') => {
                self.has_bare_lf |= self.last != b'\r';
                Next::Name
            }
            (Next::Value, _) => Next::Value,
            (Next::BlankEnd, b'\n') => self.end_fields(),
            _ => Next::Anything,
        }
    }

    fn end_name(&mut self) -> Next {
        let name = std::mem::take(&mut self.name);
        if EVENT_FIELDS.contains(&name.as_slice()) {
            return Next::Anything;
        }
        self.names_framing |= FRAMING.contains(&name.as_slice());
        Next::Value
    }

    fn end_fields(&mut self) -> Next {
        self.has_head = self.names_framing || !self.has_bare_lf;
        Next::Anything
    }
}

/// Whether a byte may be part of the name of a field.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
