//! Changes of the traffic plan, split into parts of bounded size.

use cranberrygap_wire::traffic;
use serde::Serialize;
use smol_str::SmolStr;

use super::{stage, text};

/// Splits a change into parts of about `max_bytes` of JSON each; there is at least one.
pub(super) fn split(
    name: &traffic::Stage,
    change: traffic::Part,
    edits: Vec<text::Edit>,
    max_bytes: usize,
) -> Vec<stage::Part> {
    let mut splitter = Splitter {
        name: name.clone(),
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
    name: traffic::Stage,
    max_bytes: usize,
    parts: Vec<stage::Part>,
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
            self.open_part().fragment = Some(stage::Fragment {
                text: SmolStr::new(piece),
                is_last: rest == 0,
            });
        }
        // What follows begins a part of its own.
        self.bytes = self.max_bytes;
    }

    fn part_with_room(&mut self, bytes: usize) -> &mut stage::Part {
        let has_room = self.bytes + bytes <= self.max_bytes;
        self.bytes += bytes;
        if !has_room {
            self.bytes = bytes;
            return self.open_part();
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    fn open_part(&mut self) -> &mut stage::Part {
        let number = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        self.parts.push(stage::Part {
            stage: self.name.clone(),
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
