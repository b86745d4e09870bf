//! Notes on changes of the replicated group.
//!
//! The group itself is kept by the agreement protocol, which must know it before
//! anything can be applied. What operators did to it is noted here, so that
//! history and audit trail show it.

use std::fmt;

use cranberrygap_model::id;
use cranberrygap_wire::operator;
use serde::{Deserialize, Serialize};

/// An operator's change of the group, after it was made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Who asked and why.
    pub author: operator::Author,
    /// The control process.
    pub instance: id::Instance,
    /// What was done.
    pub change: Change,
}

/// What was done to the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The process votes from now on.
    Added,
    /// The process does not belong to the group any more.
    Removed,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Added => "added to the group",
            Self::Removed => "removed from the group",
        })
    }
}
