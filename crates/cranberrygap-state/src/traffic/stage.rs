//! Changes of the traffic plan in parts.
//!
//! A change of the plan may be as large as the largest plan. A single command of that size would
//! keep each replica and each entry from heartbeats and leases while it is encoded, sent and
//! applied. So the leader commits it as parts of bounded size, and the last one puts all in force.

use cranberrygap_wire::{traffic, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::text;

/// One part of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The change.
    pub stage: traffic::Stage,
    /// Number of the part, counted from 0.
    pub number: u32,
    /// Routes, services and workspaces.
    #[serde(default, skip_serializing_if = "is_empty")]
    pub change: traffic::Part,
    /// Changes of the text.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<text::Edit>,
    /// Piece of the JSON of a [`traffic::Part`] that exceeds a command by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fragment: Option<Fragment>,
}

/// Piece of a JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The piece.
    pub text: SmolStr,
    /// Whether the text ends with it.
    pub is_last: bool,
}

/// Last part of a change, which puts it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Adoption {
    /// The part.
    pub last: Part,
    /// Version of the plan that the change starts from; `None` for the first plan.
    pub base: Option<u64>,
    /// Version of the new plan.
    pub version: u64,
    /// Bounds of the new plan.
    pub bounds: traffic::Bounds,
    /// Hash of the new text, for the audit trail.
    pub text_hash: SmolStr,
}

/// Parts of a change that have arrived so far.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Staged {
    stage: traffic::Stage,
    parts: Vec<traffic::Part>,
    edits: Vec<text::Edit>,
    fragments: String,
}

/// Reason why a change cannot be put in force.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Fragments do not form a part.
    #[error("a part in fragments cannot be read: {0}")]
    Fragments(#[from] serde_json::Error),
    /// The edits are for another text.
    #[error(transparent)]
    Text(#[from] text::Error),
}

impl Staged {
    pub(super) const fn new(stage: traffic::Stage) -> Self {
        Self {
            stage,
            parts: Vec::new(),
            edits: Vec::new(),
            fragments: String::new(),
        }
    }

    /// Whether `part` follows the parts that have arrived.
    pub(super) fn expects(&self, part: &Part) -> bool {
        self.stage == part.stage && self.parts.len() as u64 == u64::from(part.number)
    }

    /// Adds a part and returns what entries are told of it.
    pub(super) fn push(&mut self, part: &Part) -> Result<view::Change, Error> {
        let mut change = part.change.clone();
        if let Some(fragment) = &part.fragment {
            self.fragments.push_str(&fragment.text);
            if fragment.is_last {
                change = serde_json::from_str(&self.fragments)?;
                self.fragments.clear();
            }
        }
        self.edits.extend_from_slice(&part.edits);
        self.parts.push(change.clone());
        Ok(view::Change::Staged {
            stage: self.stage.clone(),
            number: part.number,
            part: change,
        })
    }

    pub(super) fn into_parts(self) -> Vec<traffic::Part> {
        self.parts
    }

    pub(super) fn edits(&self) -> &[text::Edit] {
        &self.edits
    }

    /// Returns the parts for entries, which do not get the text.
    #[must_use]
    pub fn view(&self) -> view::Staged {
        view::Staged {
            stage: self.stage.clone(),
            parts: self.parts.clone(),
        }
    }
}

/// Splits a change into parts of about `max_bytes` of JSON each; there is at least one.
#[must_use]
pub fn split(
    stage: &traffic::Stage,
    change: traffic::Part,
    edits: Vec<text::Edit>,
    max_bytes: usize,
) -> Vec<Part> {
    let mut splitter = Splitter {
        stage: stage.clone(),
        max_bytes,
        parts: Vec::new(),
        bytes: max_bytes,
    };
    splitter.add_all(change.workspaces, |part| &mut part.workspaces);
    splitter.add_all(change.removed_workspaces, |part| {
        &mut part.removed_workspaces
    });
    splitter.add_all(change.services, |part| &mut part.services);
    splitter.add_all(change.removed_services, |part| &mut part.removed_services);
    splitter.add_all(change.routes, |part| &mut part.routes);
    splitter.add_all(change.removed_routes, |part| &mut part.removed_routes);
    for edit in edits {
        splitter.add_edit(edit);
    }
    if splitter.parts.is_empty() {
        splitter.open_part();
    }
    splitter.parts
}

/// Parts that are being filled.
struct Splitter {
    stage: traffic::Stage,
    max_bytes: usize,
    parts: Vec<Part>,
    /// Size of the last part.
    bytes: usize,
}

impl Splitter {
    fn add_all<T: Serialize>(
        &mut self,
        items: Vec<T>,
        list: impl Fn(&mut traffic::Part) -> &mut Vec<T>,
    ) {
        for item in items {
            let bytes = json_bytes(&item);
            if bytes > self.max_bytes {
                let mut change = traffic::Part::default();
                list(&mut change).push(item);
                self.add_fragments(&change);
                continue;
            }
            list(&mut self.part_with_room(bytes).change).push(item);
        }
    }

    fn add_edit(&mut self, edit: text::Edit) {
        let text::Edit::Insert(inserted) = edit else {
            let bytes = json_bytes(&edit);
            self.part_with_room(bytes).edits.push(edit);
            return;
        };
        for piece in chunks(&inserted, self.max_bytes / 4) {
            let edit = text::Edit::Insert(SmolStr::new(piece));
            let bytes = json_bytes(&edit);
            self.part_with_room(bytes).edits.push(edit);
        }
    }

    fn add_fragments(&mut self, change: &traffic::Part) {
        let json = serde_json::to_string(change).expect("a part has text keys only");
        let mut rest = json.len();
        for piece in chunks(&json, self.max_bytes / 4) {
            rest -= piece.len();
            self.open_part().fragment = Some(Fragment {
                text: SmolStr::new(piece),
                is_last: rest == 0,
            });
        }
        // What follows begins a part of its own.
        self.bytes = self.max_bytes;
    }

    fn part_with_room(&mut self, bytes: usize) -> &mut Part {
        let has_room = self.bytes + bytes <= self.max_bytes;
        self.bytes += bytes;
        if !has_room {
            self.bytes = bytes;
            return self.open_part();
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn open_part(&mut self) -> &mut Part {
        let number = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        self.parts.push(Part {
            stage: self.stage.clone(),
            number,
            change: traffic::Part::default(),
            edits: Vec::new(),
            fragment: None,
        });
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

/// Splits a text into pieces of at most `max_bytes`, or of one character if that has more.
fn chunks(text: &str, max_bytes: usize) -> impl Iterator<Item = &str> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let first = rest.chars().next()?;
        let end = rest.floor_char_boundary(max_bytes).max(first.len_utf8());
        let (piece, after) = rest.split_at(end);
        rest = after;
        Some(piece)
    })
}

fn json_bytes(value: &impl Serialize) -> usize {
    let json = serde_json::to_vec(value);
    json.expect("parts of a plan have text keys only").len()
}

fn is_empty(part: &traffic::Part) -> bool {
    *part == traffic::Part::default()
}
