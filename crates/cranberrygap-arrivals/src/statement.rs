//! What endpoints say of themselves in responses.

use cranberrygap_model::duration;
use smol_str::SmolStr;

/// What a response asks of the entry that got it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// No request for so long.
    Rest(duration::Span),
    /// No new request any more.
    Drain,
}

/// A response by which an endpoint asks something of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// Id of the attempt that got the response.
    pub attempt: SmolStr,
    /// Boot of the endpoint.
    pub endpoint: SmolStr,
    /// A rest counts from the endpoint's response, a drain from the time at which the caller got
    /// it from the entry.
    pub at: duration::Instant,
    /// What it asks for.
    pub wish: Wish,
}
