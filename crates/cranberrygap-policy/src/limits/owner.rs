//! Who holds a part of a workspace's rate and burst.

use cranberrygap_model::{id, number};
use cranberrygap_wire::share;

/// A process, and what it holds the part for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Owner {
    /// The instance.
    pub(super) instance: id::Instance,
    /// Its process.
    pub(super) boot: number::Boot,
    /// Whether it lends to other entries, rather than admitting its own callers.
    pub(super) lends: bool,
}

impl Owner {
    /// The sender of a renewal.
    pub(super) fn from_renewal(renew: &share::Renew) -> Self {
        Self {
            instance: renew.instance.clone(),
            boot: renew.boot,
            lends: renew.lends,
        }
    }

    /// Whose share an entry of the log is on.
    pub(super) fn from_allocation(allocation: &share::Allocation) -> Self {
        Self {
            instance: allocation.instance.clone(),
            boot: allocation.boot,
            lends: allocation.lends,
        }
    }
}
