//! Records of changes of the replicated group.
//!
//! The agreement protocol keeps the group itself, because it must know the group
//! before anything can be applied. What operators did to the group is recorded here,
//! so that history and audit trail show it.

use std::fmt;

use cranberrygap_model::id;
use cranberrygap_wire::operator;
use serde::{Deserialize, Serialize};

/// An operator's change of the group, after it was made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Operator who asked, and the reason.
    pub author: operator::Author,
    /// Control process that was added or removed.
    pub instance: id::Instance,
    /// Change that was made.
    pub change: Change,
}

/// Kind of change of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The process votes from now on.
    Added,
    /// The process no longer belongs to the group.
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
