//! Who the folder belongs to.

use cranberrygap_agreement::{formation, replica};
use cranberrygap_model::id;
use serde::{Deserialize, Serialize};

/// Identity of the replica whose folder this is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn when the folder was created.
    pub replica: replica::Id,
    /// Instance that created it.
    pub instance: id::Instance,
    /// The group, once there is one.
    pub formed: Option<formation::Formed>,
}
