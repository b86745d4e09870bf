//! Orders to runners and what becomes of them.

use std::fmt;

use cranberrygap_model::{address, id, number};
use smol_str::SmolStr;

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Load a model.
    Load(id::Model),
    /// Drop a model with its adapters.
    Unload(id::Model),
    /// Load an adapter of a model that is there.
    LoadAdapter(id::Model, SmolStr),
    /// Drop an adapter.
    UnloadAdapter(id::Model, SmolStr),
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Tells its answer from that to another one.
    pub number: u64,
    /// Who shall carry it out.
    pub endpoint: id::Endpoint,
    /// The process that it is meant for.
    pub boot: number::Boot,
    /// Where the runner listens.
    pub address: address::Socket,
    /// Orders that the runner has accepted before.
    pub expected_count: u64,
    /// What it asks for.
    pub action: Action,
}

/// What a runner answers to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It carries it out.
    Accepted,
    /// What is asked for holds already, or held at once.
    Holds,
    /// Another order is under way, or it has accepted another number of orders.
    Conflict,
    /// It does not take the order; the same one will not do.
    Refused,
}

/// What a runner says of itself when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Its process, where it tells that.
    pub boot: Option<number::Boot>,
    /// Orders that it has accepted.
    pub accepted: u64,
    /// Whether a model is being loaded or dropped.
    pub busy: bool,
    /// Models that it holds.
    pub models: Vec<id::Model>,
    /// Adapters that it holds or fetches, as model and adapter.
    pub adapters: Vec<(id::Model, SmolStr)>,
}

impl Action {
    /// Whether it concerns a whole model, which makes the runner busy.
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
