//! What the state answers to a committed command.

use cranberrygap_wire::{claim, operator};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The answer to one command; every replica comes to the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Answer {
    /// Taken, there is nothing more to say.
    Done,
    /// Nothing was changed, for this reason.
    Refused(SmolStr),
    /// To a configuration.
    Applied(operator::Applied),
    /// To a new key.
    Issued(operator::Issued),
    /// To a withdrawn key.
    Withdrawn(operator::Withdrawn),
    /// To a drain.
    Drained(operator::Drained),
    /// To an entry that asks to run a booking.
    Claimed(claim::Verdict),
}
