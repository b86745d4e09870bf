//! Answers of the state to committed commands.

use cranberrygap_wire::{claim, operator};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Answer to one command; all replicas reach the same one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Answer {
    /// The command was accepted, and there is no more to say.
    Done,
    /// Nothing was changed, for this reason.
    Refused(SmolStr),
    /// Nothing was changed, since the state is not the one that the command was made for.
    Outdated,
    /// Answer to a configuration.
    Applied(operator::Applied),
    /// Answer to a new key.
    Issued(operator::Issued),
    /// Answer to a withdrawn key.
    Withdrawn(operator::Withdrawn),
    /// Answer to a drain.
    Drained(operator::Drained),
    /// Answer to the evacuation of a failure domain, or to its withdrawal.
    Evacuation(operator::Evacuation),
    /// Answer to a release.
    Released(operator::Released),
    /// Answer to an entry that asks to run a booking.
    Claimed(claim::Verdict),
}
