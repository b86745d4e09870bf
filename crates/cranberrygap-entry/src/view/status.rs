//! Where an entry's view stands, for people.

use std::fmt;

use cranberrygap_model::{duration, id, number};

/// The view's source and revision, and what the leader was known to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The control process that the view is followed from.
    pub source: Option<id::Instance>,
    /// Revision in force here.
    pub revision: number::Revision,
    /// Revision that the leader had when it last answered.
    pub committed: number::Revision,
    /// Since when it is known that the leader had more.
    pub behind_since: Option<duration::Instant>,
    /// End of the lease.
    pub lease_end: duration::Instant,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {} from ", self.revision)?;
        match &self.source {
            Some(source) => write!(f, "{source}")?,
            None => f.write_str("nobody")?,
        }
        write!(f, ", the leader had {}", self.committed)?;
        if let Some(since) = self.behind_since {
            write!(f, ", behind since {since}")?;
        }
        write!(f, ", lease to {}", self.lease_end)
    }
}
