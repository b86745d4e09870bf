//! Rate limits of workspaces, enforced across all entries through leased shares.
//!
//! Each workspace has one token bucket. On the leader, [`granter::Granter`] keeps the pool of
//! tokens that no entry has and leases shares of the rate and burst to entries; each entry
//! admits requests from its [`holder::Holder`]. To keep the leader out of the request path,
//! it leases the pool as one large share to an entry that it selects (see [`assignment`]),
//! whose [`lending::Lender`] lends tokens to the other entries. Tokens move between the pool,
//! shares and loans and are never created: over any window of length `t`, all entries
//! together admit at most `rate * t + burst`.

pub mod amount;
pub mod assignment;
pub mod granter;
pub mod holder;
pub mod lending;

mod bucket;
mod guarantee;
mod loan_issuer;
mod loan_requests;
mod local_bucket;
mod owner;
mod received_loans;
mod refund_limit;
mod renewals;
mod wait_queue;

use cranberrygap_model::{duration, token};

/// Duration of the lease on a share, counted by its holder from when it sends the renewal.
///
/// Longer than an election, so that entries keep admitting through a change of leader.
pub const LEASE_DURATION: duration::Span = duration::Span::from_secs(3);

/// Time between two renewals of an entry that is not short of tokens.
pub const RENEWAL_INTERVAL: duration::Span = duration::Span::from_millis(250);

/// Configured rate and burst of one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: token::Rate,
    /// Most tokens that may be spent at once.
    pub burst: token::Count,
}
