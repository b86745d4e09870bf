//! Identity of the replica that owns a folder.

use cranberrygap_agreement::{formation, replica};
use cranberrygap_model::id;
use serde::{Deserialize, Serialize};

/// Identity of the replica that owns the folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Replica id, generated when the folder was created.
    pub replica: replica::Id,
    /// Instance that created the folder.
    pub instance: id::Instance,
    /// Consensus group and its founders, once the group is formed.
    pub formed: Option<formation::Formed>,
}
