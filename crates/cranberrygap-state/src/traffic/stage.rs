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
    /// Who may use its routes; `None` from an earlier release, which did not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub access: Option<traffic::Access>,
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

fn is_empty(part: &traffic::Part) -> bool {
    *part == traffic::Part::default()
}
