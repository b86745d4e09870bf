//! What the fleet has; a configuration is validated against it.

use std::collections::BTreeMap;

use cranberrygap_model::{id, size};

/// Memory, models and workspaces of the fleet at present.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Facts {
    /// Memory of the largest runner; `None` before any runner announced itself.
    pub largest_memory: Option<size::Bytes>,
    /// Sizes of the models that the weight store lists.
    pub models: BTreeMap<id::Model, size::Bytes>,
    /// Existing workspaces.
    pub workspaces: Vec<id::Workspace>,
}
