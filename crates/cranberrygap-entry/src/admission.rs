//! Token limits: decides whether a workspace may spend tokens now.

mod loans;
mod permit;
mod shares;
mod stats;

use std::fmt;

use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::limits::holder;
use futures_util::future::BoxFuture;

use crate::view;

pub(crate) use loans::Exchange;
pub(crate) use permit::Permit;
pub(crate) use shares::Shares;

/// Why a reservation is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The workspace is above its rate.
    OverRate {
        /// Time after which the same request may be admitted.
        retry_after: duration::Span,
    },
    /// The request may cost more tokens than the workspace's burst.
    ExceedsBurst {
        /// Burst of the workspace.
        burst: token::Count,
    },
}

impl Rejection {
    /// Time after which a retry may be admitted.
    pub(crate) const fn retry_after(self) -> duration::Span {
        match self {
            Self::OverRate { retry_after } => retry_after,
            Self::ExceedsBurst { .. } => duration::Span::from_secs(60),
        }
    }
}

/// Reserves tokens of workspaces.
///
/// All entries together stay within the rate and burst of each workspace.
pub(crate) trait Limiter: fmt::Debug + Send + Sync {
    /// Reserves the most tokens that a request may use, waiting up to `max_wait` for them.
    fn reserve<'call>(
        &'call self,
        workspace: &'call id::Workspace,
        tokens: token::Count,
        max_wait: holder::MaxWait,
    ) -> BoxFuture<'call, Result<holder::Reservation, Rejection>>;
    /// Closes a reservation and returns its unused tokens.
    fn close_reservation(&self, reservation: &holder::Reservation, used: token::Count);
    /// Applies the rates and bursts of a new view.
    fn apply_view(&self, view: &view::Snapshot);
    /// The whole state, for a dump.
    fn dump(&self) -> serde_json::Value;
}
