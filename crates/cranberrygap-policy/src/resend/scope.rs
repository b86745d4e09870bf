//! What a budget of resends is kept for.

use std::fmt;

use cranberrygap_model::id;

/// Endpoints whose requests pay for each other's resends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The endpoints of one service.
    Service(id::Service),
    /// The engines that serve models by name.
    Engines,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(service) => write!(f, "{service}"),
            Self::Engines => f.write_str("(engines)"),
        }
    }
}
