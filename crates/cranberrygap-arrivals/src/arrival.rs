//! Arrivals of attempts at endpoints.

use cranberrygap_model::{duration, id};
use smol_str::SmolStr;

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a response of the endpoint, whole or broken off, or without one.
    Ran,
    /// The endpoint turned it away without running it.
    Rejected,
    /// It ended the endpoint.
    Crashed,
    /// The endpoint ended for another reason.
    Lost,
}

/// One request that reached an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the caller's attempt.
    pub attempt: SmolStr,
    /// Entry that sent it, where that is known; otherwise it is the one that the caller asked.
    pub sender: Option<SmolStr>,
    /// What is asked for, the same in all attempts of a caller.
    pub content: SmolStr,
    /// Service of the endpoint.
    pub service: id::Service,
    /// Boot of the endpoint.
    pub endpoint: SmolStr,
    /// Time of the arrival.
    pub at: duration::Instant,
    /// Time that the endpoint was given; `None` if it was not told.
    pub time_left: Option<duration::Span>,
    /// How it ended.
    pub end: End,
}
