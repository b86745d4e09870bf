//! Identities of replicas and of the group that they form.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A replica, drawn at random when its data folder is created.
///
/// A replica that comes back with an empty folder has forgotten its votes and
/// what it acknowledged. One would notice two leaders in one term, or accepted
/// changes gone. It draws a new id with its new folder, so that nothing sent to
/// or counted for the old one concerns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// A group of replicas, drawn at random when the group is formed.
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
