//! Requests that endpoints get which bear only a few a second while they are cold.
//!
//! An endpoint is cold after its start, and may become cold again without notice. So the home
//! entry of every endpoint of such a service grants its requests at all times, see [`ledger`]:
//! a bound that began with the news of coldness would come after what is under way by then.
//!
//! An entry without an answer of the home sends nothing to an endpoint that is cold as far as it
//! knows, and keeps to a small part of the limit at a warm one, see [`part`].

pub mod ledger;
pub mod part;

use cranberrygap_model::{duration, rate};
use serde::{Deserialize, Serialize};

/// Time within which a granted request has to be sent. Requests that were granted one after the
/// other arrive together if some of them are sent late.
pub const GRANT_DURATION: duration::Span = duration::Span::from_millis(150);

/// Time for which unused room is kept.
const BURST_TIME: duration::Span = duration::Span::from_millis(300);

/// Share of the limit that a warm endpoint gets, which may become cold at any moment.
const WARM_SHARE: f64 = 1.2;

/// Whether an endpoint is cold, as far as an entry knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Temperature {
    /// It said last that it is not cold.
    #[default]
    Warm,
    /// It started a moment ago, or said that it is cold again.
    Cold,
}

/// What an entry asks of the home of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Requests a second that the endpoint bears while it is cold.
    pub limit: rate::Limit,
    /// What the entry knows of the endpoint.
    pub temperature: Temperature,
    /// Longest wait of the request.
    pub max_wait: duration::Span,
}

impl Claim {
    /// Requests a second that the endpoint may get now.
    fn rate(&self) -> rate::Limit {
        match self.temperature {
            Temperature::Cold => self.limit,
            Temperature::Warm => self.limit.scaled(WARM_SHARE),
        }
    }
}
