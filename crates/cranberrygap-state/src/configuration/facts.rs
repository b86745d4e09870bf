//! What the fleet has; promises are held against it.

use std::collections::BTreeMap;

use cranberrygap_model::{id, size};

/// What the fleet has at this moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Facts {
    /// Memory of the largest runner; `None` before one announced itself.
    pub largest_memory: Option<size::Bytes>,
    /// Sizes of the models that the store lists.
    pub models: BTreeMap<id::Model, size::Bytes>,
    /// The workspaces that exist.
    pub workspaces: Vec<id::Workspace>,
}
