//! Processes of endpoints that an entry sends nothing to, since they asked for it.
//!
//! A process may ask an entry for rest, or say that it drains. Both hold for that process whatever
//! the view says of it, so they are kept by process in a [`book`], beside the state that is rebuilt
//! with each view. After a rest requests come back by [`ramp`].

pub mod book;

mod ramp;

use cranberrygap_model::{duration, id, number};

/// One process of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process<'name> {
    /// Name of the endpoint, which later processes may bear too.
    pub endpoint: &'name id::Endpoint,
    /// Drawn anew at each start.
    pub boot: number::Boot,
}

/// Whether a process may get a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// Now.
    Open,
    /// Not before this time, by the rest that it asked for.
    After(duration::Instant),
    /// Not any more, since it drains.
    Closed,
}

/// A rest that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The endpoint that rested.
    pub endpoint: id::Endpoint,
    /// Time from the first rejection to the end of the last rest.
    pub length: duration::Span,
    /// Requests that went elsewhere or were refused meanwhile.
    pub kept_away: u64,
}
