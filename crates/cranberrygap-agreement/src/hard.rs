//! Raft's hard state: what a replica must remember across restarts to vote safely.

use cranberrygap_model::number;
use serde::{Deserialize, Serialize};

use crate::replica;

/// Term and vote; made durable before any message that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Latest term seen.
    pub term: number::Term,
    /// Replica that this one voted for in the term, or has followed since.
    pub vote: Option<replica::Id>,
}
