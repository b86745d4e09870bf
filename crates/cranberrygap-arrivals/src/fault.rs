//! Faults of entries.

use cranberrygap_model::duration;
use smol_str::SmolStr;

/// A moment at which an entry was killed, started, stopped, frozen or thawed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the entry.
    pub entry: SmolStr,
    /// When it happened.
    pub at: duration::Instant,
}
