//! Attempts of callers.

use cranberrygap_model::{duration, id};
use smol_str::SmolStr;

/// One attempt of a caller; a caller that sends a request again makes a new one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Id that the attempt bears everywhere.
    pub id: SmolStr,
    /// Service of the attempt's route when it was sent.
    pub service: id::Service,
    /// Entry that the caller sent it to.
    pub entry: SmolStr,
    /// Time at which the caller sent it.
    pub sent_at: duration::Instant,
    /// Time for which the caller waits.
    pub timeout: duration::Span,
    /// Endpoints at which it may run.
    pub max_endpoints: usize,
}
