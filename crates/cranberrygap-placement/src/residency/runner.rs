//! State of one runner as the leader knows it.

use std::collections::{BTreeSet, VecDeque};

use cranberrygap_model::{address, duration, id, number};
use smol_str::SmolStr;

use super::engine;
use super::inventory;
use super::order;
use super::report_request;

/// A model and one of its adapters.
pub type Adapter = (id::Model, SmolStr);

/// A change of the models at a runner, step by step.
#[derive(Debug, Clone, PartialEq)]
pub enum Move {
    /// The entries are told to send no more requests for `victim`.
    Retiring {
        /// The model that is evicted.
        victim: id::Model,
        /// The model that is loaded afterwards.
        load: Option<id::Model>,
        /// When the entries were told, if they were.
        told: Option<duration::Instant>,
    },
    /// The runner unloads `victim`.
    Unloading {
        /// The model that is evicted.
        victim: id::Model,
        /// The model that is loaded afterwards.
        load: Option<id::Model>,
    },
    /// The runner loads this model.
    Loading(id::Model),
}

/// An order that was sent and has no answer yet.
#[derive(Debug, Clone, PartialEq)]
pub struct InFlight {
    /// The order.
    pub order: order::Order,
    /// When the order was last sent.
    pub sent_at: duration::Instant,
    /// Sequence number of the last announcement before the order was first sent.
    pub sequence_before: number::Sequence,
    /// Whether the order was sent more than once.
    pub resent: bool,
}

/// A model order that the runner executes.
#[derive(Debug, Clone, PartialEq)]
pub struct Execution {
    /// The action of the order.
    pub action: order::Action,
    /// When the execution should be done.
    pub due_at: duration::Instant,
    /// Sequence number of the last announcement before the order. Only a later
    /// announcement can show the result.
    pub sequence_before: number::Sequence,
}

/// State of one runner.
#[derive(Debug, Clone)]
pub struct Runner {
    /// The runner process.
    pub boot: number::Boot,
    /// Time at which the process started, in Unix milliseconds.
    pub started: u64,
    /// Whether another process ran under this name before.
    pub has_restarted: bool,
    /// Address of the runner.
    pub address: address::Socket,
    /// Service of the runner.
    pub service: id::Service,
    /// Whether the runner may get new requests.
    pub ready: bool,
    /// Sequence number of the latest announcement.
    pub sequence: number::Sequence,
    /// Models in the latest announcement.
    pub announced: BTreeSet<id::Model>,
    /// Models and adapters that occupy the runner.
    pub inventory: inventory::Inventory,
    /// Models with a copy in the runner's host memory.
    pub host_copies: BTreeSet<id::Model>,
    /// Models with a copy on the runner's disk.
    pub disk_copies: BTreeSet<id::Model>,
    /// When the next report may be requested.
    pub report_schedule: report_request::Schedule,
    /// The order that has no answer yet.
    pub in_flight: Option<InFlight>,
    /// The model order that the runner executes.
    pub execution: Option<Execution>,
    /// The unfinished change of the runner's models.
    pub moving: Option<Move>,
    /// Adapters to load next.
    pub wanted_adapters: VecDeque<Adapter>,
    /// Earliest time of the next adapter order. It is set when the runner rejects one
    /// because it is busy.
    pub adapter_orders_after: duration::Instant,
}

impl Runner {
    /// Whether the runner serves a model and will keep it for now.
    #[must_use]
    pub fn serves(&self, model: &id::Model) -> bool {
        self.ready
            && self.inventory.models().contains(model)
            && self.outgoing_model() != Some(model)
    }

    /// The model that is about to be unloaded.
    #[must_use]
    pub const fn outgoing_model(&self) -> Option<&id::Model> {
        match &self.moving {
            Some(Move::Retiring { victim, .. } | Move::Unloading { victim, .. }) => Some(victim),
            _ => None,
        }
    }

    /// The model that is about to be loaded.
    #[must_use]
    pub const fn incoming_model(&self) -> Option<&id::Model> {
        match &self.moving {
            Some(Move::Retiring { load, .. } | Move::Unloading { load, .. }) => load.as_ref(),
            Some(Move::Loading(model)) => Some(model),
            None => None,
        }
    }

    /// The model that an in-flight or executing order loads or unloads.
    #[must_use]
    pub fn model_in_progress(&self) -> Option<&id::Model> {
        let in_flight = self
            .in_flight
            .as_ref()
            .map(|in_flight| &in_flight.order.action);
        let execution = self.execution.as_ref().map(|execution| &execution.action);
        match execution.or(in_flight)? {
            order::Action::Load(model) | order::Action::Unload(model) => Some(model),
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => None,
        }
    }

    /// Whether the latest announcement differs from the inventory while no order is open.
    /// A report may be older than the announcement, so it decides nothing while this
    /// lasts.
    #[must_use]
    pub fn has_conflicting_announcement(&self) -> bool {
        let idle = self.execution.is_none() && self.in_flight.is_none();
        idle && self.inventory.has_report() && self.announced != *self.inventory.models()
    }

    /// Models that the runner serves once the moves under way are done.
    pub fn future_models(&self) -> impl Iterator<Item = &id::Model> {
        let outgoing = self.outgoing_model();
        let stay = self
            .inventory
            .models()
            .iter()
            .filter(move |model| Some(*model) != outgoing);
        let incoming = self
            .incoming_model()
            .filter(|model| !self.inventory.models().contains(model.as_str()));
        stay.chain(incoming)
    }

    /// Free memory in bytes once the moves under way are done.
    #[must_use]
    pub fn free_memory(&self, engine: &engine::Engine) -> u64 {
        let adapters = self.inventory.adapters().keys().map(|(model, _)| model);
        let used = engine.memory_used(self.future_models(), adapters);
        engine.memory.0.saturating_sub(used)
    }

    /// Whether a move of the runner's models may begin.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        let unoccupied = self.moving.is_none() && self.execution.is_none();
        self.ready && unoccupied && self.inventory.accepted_count().is_some()
    }

    /// Time of a load of `model` at the runner. The flag is set if the load counts
    /// against the store's rate.
    #[must_use]
    pub fn load_time(
        &self,
        model: &id::Model,
        weights: &engine::Weights,
    ) -> (duration::Span, bool) {
        if self.host_copies.contains(model) {
            return (weights.load_from_host, false);
        }
        if self.disk_copies.contains(model) {
            return (weights.load_from_disk, false);
        }
        (weights.load_from_store, true)
    }
}
