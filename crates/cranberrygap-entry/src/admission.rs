//! Whether a workspace may spend tokens now.

mod permit;
mod split;

use std::fmt;

use cranberrygap_model::{duration, id, token};

use crate::view;

pub(crate) use permit::Permit;
pub(crate) use split::Split;

/// Spends tokens of workspaces; what it allows over all entries together stays
/// within each workspace's rate and burst.
pub(crate) trait Limiter: fmt::Debug + Send + Sync {
    /// Takes the upper bound of a request, or says after what time it may fit.
    fn reserve(
        &self,
        now: duration::Instant,
        workspace: &id::Workspace,
        tokens: token::Count,
    ) -> Result<(), duration::Span>;
    /// Gives back what a request reserved and did not use.
    fn refund(&self, now: duration::Instant, workspace: &id::Workspace, tokens: token::Count);
    /// Takes over rates and bursts of a new view.
    fn follow(&self, now: duration::Instant, view: &view::Snapshot);
    /// The whole state for a dump.
    fn dump(&self) -> serde_json::Value;
}
