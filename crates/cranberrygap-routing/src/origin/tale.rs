//! What one entry tells others of a stream.

use cranberrygap_model::duration;
use serde::{Deserialize, Serialize};

use super::{Key, Origin};

/// The origin of a stream, as one entry tells it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tale {
    /// The stream.
    pub key: Key,
    /// What began it.
    pub origin: Origin,
    /// Time for which its caller may still come back.
    pub time_left: duration::Span,
}
