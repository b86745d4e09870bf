//! Orders to runners, their answers, and the reports of runners.

use std::fmt;

use cranberrygap_model::{address, id, number};
use smol_str::SmolStr;

/// A change that an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Load a model.
    Load(id::Model),
    /// Unload a model with its adapters.
    Unload(id::Model),
    /// Load an adapter of a resident model.
    LoadAdapter(id::Model, SmolStr),
    /// Unload an adapter.
    UnloadAdapter(id::Model, SmolStr),
}

/// An order to one runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Identifies the order when its answer arrives.
    pub number: u64,
    /// The runner that executes the order.
    pub endpoint: id::Endpoint,
    /// The runner process that the order is meant for.
    pub boot: number::Boot,
    /// Address of the runner.
    pub address: address::Socket,
    /// Number of orders that the runner has accepted before this one.
    pub expected_count: u64,
    /// The change that the order asks for.
    pub action: Action,
}

/// A runner's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The runner executes the order.
    Accepted,
    /// The requested state already holds, or was reached at once.
    Holds,
    /// Another order is executing, or the runner has accepted another number of orders.
    Conflict,
    /// The runner rejects the order; sending the same order again cannot succeed.
    Refused,
}

/// A runner's answer to a status request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The runner process, if the runner reports it.
    pub boot: Option<number::Boot>,
    /// Number of orders that the runner has accepted.
    pub accepted: u64,
    /// Whether a model is being loaded or unloaded.
    pub busy: bool,
    /// Models that the runner holds.
    pub models: Vec<id::Model>,
    /// Adapters that the runner holds or fetches, as model and adapter.
    pub adapters: Vec<(id::Model, SmolStr)>,
}

impl Action {
    /// Whether the action concerns a whole model, which makes the runner busy.
    #[must_use]
    pub const fn is_model(&self) -> bool {
        matches!(self, Self::Load(_) | Self::Unload(_))
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(model) => write!(f, "load {model}"),
            Self::Unload(model) => write!(f, "unload {model}"),
            Self::LoadAdapter(model, adapter) => write!(f, "load {model}/{adapter}"),
            Self::UnloadAdapter(model, adapter) => write!(f, "unload {model}/{adapter}"),
        }
    }
}
