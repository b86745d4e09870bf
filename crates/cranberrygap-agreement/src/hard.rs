//! What a replica must not forget about elections.

use cranberrygap_model::number;
use serde::{Deserialize, Serialize};

use crate::replica;

/// Term and vote; durable before anything that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Latest term seen.
    pub term: number::Term,
    /// Whom this replica voted for in that term, or follows in it since.
    pub vote: Option<replica::Id>,
}
