//! Owner of a share of a workspace's rate and burst.

use cranberrygap_model::{id, number};
use cranberrygap_wire::share;

/// A process, and the purpose of its share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    /// Instance that runs the process.
    pub(super) instance: id::Instance,
    /// Boot of the process.
    pub(super) boot: number::Boot,
    /// Whether the share is for lending to other entries rather than for the entry's own callers.
    pub(super) lends: bool,
}

impl Owner {
    /// Returns the sender of a renewal.
    pub(super) fn from_renewal(renewal: &share::Renew) -> Self {
        Self {
            instance: renewal.instance.clone(),
            boot: renewal.boot,
            lends: renewal.lends,
        }
    }

    /// Returns the owner of a logged share.
    pub(super) fn from_allocation(allocation: &share::Allocation) -> Self {
        Self {
            instance: allocation.instance.clone(),
            boot: allocation.boot,
            lends: allocation.lends,
        }
    }
}
