//! Ids of replicas and of the group that they form.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of a replica, drawn at random when its data folder is created.
///
/// A replica that restarts with an empty folder has lost its votes and its
/// acknowledgements. Under its old id it could help to elect two leaders in one
/// term or lose accepted changes. The new folder gives it a new id, so that
/// nothing sent to the old id or counted for it concerns the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// Id of a group of replicas, drawn at random when the group is formed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Group(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
