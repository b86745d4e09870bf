//! Where a peer is.

use cranberrygap_model::id;

/// Whether a peer is in the failure domain of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Place {
    /// It is in the same one.
    SameDomain,
    /// It is in another one.
    OtherDomain,
    /// It did not say, as processes of older software do not.
    #[default]
    Unknown,
}

impl Place {
    /// All places, in the order of their indices.
    pub const ALL: [Self; 3] = [Self::SameDomain, Self::OtherDomain, Self::Unknown];

    /// Place of a peer in `peer`, seen from `own`.
    #[must_use]
    pub fn new(own: &id::Domain, peer: Option<&id::Domain>) -> Self {
        match peer {
            Some(peer) if peer == own => Self::SameDomain,
            Some(_other) => Self::OtherDomain,
            None => Self::Unknown,
        }
    }

    /// Name in metrics and dumps.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SameDomain => "same_domain",
            Self::OtherDomain => "other_domain",
            Self::Unknown => "unknown_domain",
        }
    }

    pub(super) const fn index(self) -> usize {
        self as usize
    }
}
