//! Requests that endpoints get which bear only a few a second while they are cold.
//!
//! The home entry of a cold endpoint grants its requests, see [`ledger`]. An entry without a
//! grant, or without an answer of the home, sends nothing there.
//!
//! An endpoint is cold after its start, as its first announcement tells, and when its failure
//! domain returns from an evacuation. One that becomes cold without notice gets what it got
//! before until its next heartbeat. A bound on warm endpoints as well would close that gap; it
//! refuses requests of busy models that warm endpoints serve.

pub mod ledger;

use cranberrygap_model::{duration, rate};
use serde::{Deserialize, Serialize};

/// Time within which a granted request has to be sent. Requests that were granted one after the
/// other arrive together if some of them are sent late.
pub const GRANT_DURATION: duration::Span = duration::Span::from_millis(150);

/// Time for which the endpoints of a failure domain that returns from an evacuation count as cold:
/// that of two heartbeats, by which they tell themselves.
pub const RETURN_TIME: duration::Span = duration::Span::from_millis(2_500);

/// Time in which the grants of an endpoint are counted: a second, and the time within which a
/// grant is used. All requests that arrive within a second were granted within it.
const WINDOW: duration::Span = duration::Span(1_000_000 + GRANT_DURATION.0);

/// Whether an endpoint is cold, as far as an entry knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Temperature {
    /// It said last that it is not cold.
    #[default]
    Warm,
    /// It started a moment ago, or said that it is cold again.
    Cold,
}

/// What an entry asks of the home of a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Requests a second that the endpoint bears while it is cold.
    pub limit: rate::Limit,
    /// Longest wait of the request.
    pub max_wait: duration::Span,
}

impl Claim {
    /// Requests that the endpoint may be granted within [`WINDOW`].
    fn most(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast keeps to the type's range"
        )]
        let most = (self.limit.per_second() * WINDOW.as_secs_f64()) as usize;
        most.max(1)
    }
}
