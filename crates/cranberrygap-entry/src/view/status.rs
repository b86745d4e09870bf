//! Human-readable status of an entry's view.

use std::fmt;

use cranberrygap_model::{duration, id, number};

/// The view's source, revision and lease, and the revision that the leader reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Control process that sends the view.
    pub source: Option<id::Instance>,
    /// Revision that this entry holds.
    pub revision: number::Revision,
    /// Highest revision that the leader reported as committed.
    pub committed: number::Revision,
    /// Time since which the held revision is known to be older than the committed one.
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
