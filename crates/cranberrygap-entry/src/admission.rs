//! Whether a workspace may spend tokens now.

mod account;
mod exchange;
mod permit;
mod shares;

use std::fmt;

use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::limits::holder;
use futures_util::future::BoxFuture;

use crate::view;

pub(crate) use exchange::Exchange;
pub(crate) use permit::Permit;
pub(crate) use shares::Shares;

/// Why tokens were not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The workspace is above its rate.
    Now {
        /// Time after which the same request may fit.
        retry_after: duration::Span,
    },
    /// The request may cost more than the workspace can ever hold.
    Never {
        /// The workspace's burst.
        burst: token::Count,
    },
}

impl Refused {
    /// Time after which another try makes sense.
    pub(crate) const fn wait(self) -> duration::Span {
        match self {
            Self::Now { retry_after } => retry_after,
            Self::Never { .. } => duration::Span::from_secs(60),
        }
    }
}

/// Spends tokens of workspaces; what it allows over all entries together stays
/// within each workspace's rate and burst.
pub(crate) trait Limiter: fmt::Debug + Send + Sync {
    /// Takes the upper bound of a request; waits at most `patience` for tokens.
    fn reserve<'call>(
        &'call self,
        workspace: &'call id::Workspace,
        tokens: token::Count,
        patience: holder::MaxWait,
    ) -> BoxFuture<'call, Result<holder::Reservation, Refused>>;
    /// Ends a reservation; what was not used goes back.
    fn settle(&self, reservation: &holder::Reservation, used: token::Count);
    /// Takes over rates and bursts of a new view.
    fn apply_view(&self, view: &view::Snapshot);
    /// The whole state for a dump.
    fn dump(&self) -> serde_json::Value;
}
