//! Records of streams, as entries send them to each other.

use cranberrygap_model::duration;
use serde::{Deserialize, Serialize};

use super::{Key, Origin};

/// The origin of a stream, and for how long it matters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub key: Key,
    /// What began it.
    pub origin: Origin,
    /// Time for which its caller may still come back.
    pub time_left: duration::Span,
}
