//! Differences between the texts of two plans.
//!
//! Operators send the whole text for each change and read it back byte for byte. The log carries
//! what differs from the text before.

use std::collections::HashMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Shortest range that is kept by its place in the old text; a shorter one takes less space as text.
const MIN_KEPT_BYTES: usize = 64;

/// One step of building a text from an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Appends a range of the old text.
    Keep {
        /// First byte of the range.
        from: usize,
        /// Length of the range, in bytes.
        bytes: usize,
    },
    /// Appends new text.
    Insert(SmolStr),
}

/// An edit names a range that the old text does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the text before has {held} bytes and no range of {bytes} bytes at byte {from}")]
pub struct Error {
    from: usize,
    bytes: usize,
    held: usize,
}

/// Returns the edits that turn `old` into `new`.
#[must_use]
pub fn between(old: &str, new: &str) -> Vec<Edit> {
    let mut places: HashMap<&str, usize> = HashMap::new();
    let mut at = 0;
    for piece in pieces(old) {
        places.entry(piece).or_insert(at);
        at += piece.len();
    }
    let mut edits = Vec::new();
    let mut inserted = String::new();
    let mut kept: Option<Range<usize>> = None;
    for piece in pieces(new) {
        if let Some(kept) = &mut kept
            && old[kept.end..].starts_with(piece)
        {
            kept.end += piece.len();
            continue;
        }
        push_kept(&mut edits, kept.take());
        let place = places.get(piece).filter(|_| piece.len() >= MIN_KEPT_BYTES);
        if let Some(place) = place {
            push_inserted(&mut edits, &mut inserted);
            kept = Some(*place..*place + piece.len());
        } else {
            inserted.push_str(piece);
        }
    }
    push_kept(&mut edits, kept);
    push_inserted(&mut edits, &mut inserted);
    edits
}

/// Returns `old` with the edits applied.
///
/// # Errors
///
/// The edits are for another text.
pub fn apply(old: &str, edits: &[Edit]) -> Result<String, Error> {
    let mut text = String::new();
    for edit in edits {
        match edit {
            Edit::Keep { from, bytes } => {
                let range = old.get(*from..from.saturating_add(*bytes));
                text.push_str(range.ok_or(Error {
                    from: *from,
                    bytes: *bytes,
                    held: old.len(),
                })?);
            }
            Edit::Insert(inserted) => text.push_str(inserted),
        }
    }
    Ok(text)
}

/// Splits a text into the pieces that are compared. Routes and most other parts of a plan are JSON
/// objects.
fn pieces(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive('}')
}

fn push_kept(edits: &mut Vec<Edit>, kept: Option<Range<usize>>) {
    edits.extend(kept.map(|kept| Edit::Keep {
        from: kept.start,
        bytes: kept.len(),
    }));
}

fn push_inserted(edits: &mut Vec<Edit>, inserted: &mut String) {
    if !inserted.is_empty() {
        edits.push(Edit::Insert(SmolStr::new(&inserted)));
        inserted.clear();
    }
}
