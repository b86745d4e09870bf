//! Rate and burst of each workspace, kept over all entries together by leased shares.
//!
//! Each workspace has one token bucket. The leader's [`granter::Granter`] keeps
//! the pool and gives parts of rate and burst to entries as leases; each entry
//! admits requests from its [`holder::Holder`]. So that no request waits for the leader,
//! the pool goes as one large share to an entry of the leader's choice, whose
//! [`lending::Lender`] lends from it to the others. Tokens move between pool and
//! shares and are never made: over any window of length `t` all entries
//! together admit at most `rate * t + burst`.

pub mod amount;
pub mod assignment;
pub mod granter;
pub mod holder;
pub mod lending;

mod bucket;
mod floor;
mod line;
mod loan_issuer;
mod loans;
mod owner;
mod renewals;
mod room;
mod stock;
mod stream;

use cranberrygap_model::{duration, token};

/// Time for which a share holds, counted by its holder from sending the renewal.
/// Longer than an election, so that entries go on through a change of the leader.
pub const LEASE_DURATION: duration::Span = duration::Span::from_secs(3);

/// Time between two renewals of an entry that is not short of tokens.
pub const RENEWAL_INTERVAL: duration::Span = duration::Span::from_millis(250);

/// Rate and burst of one workspace as configured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: token::Rate,
    /// Most tokens that may be spent at once.
    pub burst: token::Count,
}
