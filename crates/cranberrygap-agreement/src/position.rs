//! Positions in the log.

use cranberrygap_model::number;
use serde::{Deserialize, Serialize};

/// Term and index of an entry; ordered as Raft compares logs, by term first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term in which the entry was proposed.
    pub term: number::Term,
    /// Index of the entry.
    pub index: number::Index,
}
