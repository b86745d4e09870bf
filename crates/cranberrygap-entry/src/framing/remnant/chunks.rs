//! Tells whether a body is in chunks.

/// Most digits of the size of a chunk. Longer numbers are none.
const MAX_SIZE_DIGITS: u32 = 15;

/// What comes next, if all before it were chunks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Next {
    /// The first size, behind blank lines that a broken head may leave.
    #[default]
    Begin,
    BeginLf,
    /// Digits of a size, of which some have arrived.
    Size,
    /// The rest of the line with a size.
    Extension,
    /// The end of the line with a size.
    SizeEnd,
    /// The content of a chunk, of which so many bytes are left.
    Content,
    /// The two bytes after a chunk.
    ContentCr,
    ContentLf,
    /// The begin of a line after the last chunk: a trailer or the blank one.
    Trailer,
    TrailerText,
    TrailerEnd,
    /// The end of the blank line.
    LastEnd,
    /// Nothing: the last chunk has arrived.
    Nothing,
    /// Anything: the body is not in chunks.
    Anything,
}

/// Reads a body as chunks for as long as it is in chunks.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Scanner {
    next: Next,
    digits: u32,
    left: u64,
    has_size: bool,
}

impl Scanner {
    pub(super) fn read(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first() {
            match self.next {
                Next::Anything => return,
                Next::Content => {
                    let length = usize::try_from(self.left).unwrap_or(usize::MAX);
                    let length = length.min(bytes.len());
                    self.left -= length as u64;
                    bytes = &bytes[length..];
                    if self.left == 0 {
                        self.next = Next::ContentCr;
                    }
                }
                _ => {
                    self.next = self.read_byte(*byte);
                    bytes = rest;
                }
            }
        }
    }

    /// Whether the first line may still become the size of a chunk.
    pub(super) fn is_undecided(&self) -> bool {
        !self.has_size && self.next != Next::Anything
    }

    /// Whether the first line is the size of a chunk.
    pub(super) const fn has_size(&self) -> bool {
        self.has_size
    }

    /// Whether all of the body is in chunks and the last one has arrived.
    pub(super) fn is_whole(&self) -> bool {
        self.next == Next::Nothing
    }

    fn read_byte(&mut self, byte: u8) -> Next {
        match (self.next, byte) {
            (Next::Begin, b'\r') => Next::BeginLf,
            (Next::BeginLf, b'\n') => Next::Begin,
            (Next::Begin | Next::Size, _) if byte.is_ascii_hexdigit() => self.read_digit(byte),
            (Next::Size, b'\r') if self.digits > 0 => Next::SizeEnd,
            (Next::Size, b';' | b' ' | b'\t') if self.digits > 0 => Next::Extension,
            (Next::Extension, b'\r') => Next::SizeEnd,
            (Next::Extension, b' '..=b'~' | b'\t') => Next::Extension,
            (Next::SizeEnd, b'\n') => self.end_size(),
            (Next::ContentCr, b'\r') => Next::ContentLf,
            (Next::ContentLf, b'\n') => Next::Size,
            (Next::Trailer, b'\r') => Next::LastEnd,
            (Next::Trailer | Next::TrailerText, b' '..=b'~' | b'\t') => Next::TrailerText,
            (Next::TrailerText, b'\r') => Next::TrailerEnd,
            (Next::TrailerEnd, b'\n') => Next::Trailer,
            (Next::LastEnd, b'\n') => Next::Nothing,
            _ => Next::Anything,
        }
    }

    fn read_digit(&mut self, byte: u8) -> Next {
        const HEX: u32 = 16;
        let digit = char::from(byte).to_digit(HEX).unwrap_or_default();
        self.digits += 1;
        self.left = self.left * u64::from(HEX) + u64::from(digit);
        if self.digits > MAX_SIZE_DIGITS {
            return Next::Anything;
        }
        Next::Size
    }

    fn end_size(&mut self) -> Next {
        self.has_size = true;
        self.digits = 0;
        if self.left > 0 {
            return Next::Content;
        }
        Next::Trailer
    }
}
