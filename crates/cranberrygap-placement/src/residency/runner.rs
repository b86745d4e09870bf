//! One runner as the leader knows it.

use std::collections::{BTreeSet, VecDeque};

use cranberrygap_model::{address, duration, id, number};
use smol_str::SmolStr;

use super::engine;
use super::inventory;
use super::order;

/// A model and one of its adapters.
pub type Adapter = (id::Model, SmolStr);

/// A change of the models at a runner, step by step.
#[derive(Debug, Clone, PartialEq)]
pub enum Move {
    /// Entries are told to send no more work for `victim`.
    Retiring {
        /// What goes.
        victim: id::Model,
        /// What comes after it.
        load: Option<id::Model>,
        /// When the entries were told, once they were.
        told: Option<duration::Instant>,
    },
    /// The runner drops `victim`.
    Unloading {
        /// What goes.
        victim: id::Model,
        /// What comes after it.
        load: Option<id::Model>,
    },
    /// The runner loads this.
    Loading(id::Model),
}

/// An order that has no answer yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// The order.
    pub order: order::Order,
    /// When it was sent last.
    pub at: duration::Instant,
    /// Announcement that came last before it was sent first.
    pub after: number::Sequence,
    /// Whether it was sent more than once.
    pub repeated: bool,
}

/// A model order that the runner carries out.
#[derive(Debug, Clone, PartialEq)]
pub struct Carried {
    /// What it does.
    pub action: order::Action,
    /// When it should be done.
    pub due: duration::Instant,
    /// Announcement that came last before it was ordered; only a later one can
    /// tell that it is done.
    pub after: number::Sequence,
}

/// One runner.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Its process.
    pub boot: number::Boot,
    /// Where it listens.
    pub address: address::Socket,
    /// Its service.
    pub service: id::Service,
    /// Whether it may get new work.
    pub ready: bool,
    /// Latest announcement.
    pub sequence: number::Sequence,
    /// Models that it holds by its latest announcement.
    pub announced: BTreeSet<id::Model>,
    /// What takes room.
    pub inventory: inventory::Inventory,
    /// Models of which its host memory holds a copy.
    pub cached: BTreeSet<id::Model>,
    /// Models of which its disk holds a copy.
    pub stored: BTreeSet<id::Model>,
    /// Asked for a report that has not come.
    pub asked: Option<duration::Instant>,
    /// An order without an answer.
    pub sent: Option<Sent>,
    /// A model order under way at the runner.
    pub carried: Option<Carried>,
    /// A change of its models that is not finished.
    pub moving: Option<Move>,
    /// Adapters to load next.
    pub wanted: VecDeque<Adapter>,
    /// No adapter order before this; the runner refused one while it was busy.
    pub adapters_after: duration::Instant,
}

impl Runner {
    /// Whether a model is there and stays for now.
    #[must_use]
    pub fn serves(&self, model: &id::Model) -> bool {
        self.ready
            && self.inventory.models().contains(model)
            && self.outgoing_model() != Some(model)
    }

    /// The model that is about to go.
    #[must_use]
    pub const fn outgoing_model(&self) -> Option<&id::Model> {
        match &self.moving {
            Some(Move::Retiring { victim, .. } | Move::Unloading { victim, .. }) => Some(victim),
            _ => None,
        }
    }

    /// The model that is on its way in.
    #[must_use]
    pub const fn coming(&self) -> Option<&id::Model> {
        match &self.moving {
            Some(Move::Retiring { load, .. } | Move::Unloading { load, .. }) => load.as_ref(),
            Some(Move::Loading(model)) => Some(model),
            None => None,
        }
    }

    /// The model that comes or goes by an order that it has or may have.
    #[must_use]
    pub fn under_way(&self) -> Option<&id::Model> {
        let sent = self.sent.as_ref().map(|sent| &sent.order.action);
        let carried = self.carried.as_ref().map(|carried| &carried.action);
        match carried.or(sent)? {
            order::Action::Load(model) | order::Action::Unload(model) => Some(model),
            order::Action::LoadAdapter(..) | order::Action::UnloadAdapter(..) => None,
        }
    }

    /// Whether its latest announcement differs from what is known by count. A report may
    /// be older than the announcement, so that it settles nothing while this lasts.
    #[must_use]
    pub fn is_disputed(&self) -> bool {
        let idle = self.carried.is_none() && self.sent.is_none();
        idle && self.inventory.is_reported() && self.announced != *self.inventory.models()
    }

    /// Models that it will serve once what was begun is done.
    pub fn settled(&self) -> impl Iterator<Item = &id::Model> {
        let leaving = self.outgoing_model();
        let stay = self
            .inventory
            .models()
            .iter()
            .filter(move |model| Some(*model) != leaving);
        let coming = self
            .coming()
            .filter(|model| !self.inventory.models().contains(model.as_str()));
        stay.chain(coming)
    }

    /// Memory that is free once what was begun is done.
    #[must_use]
    pub fn free(&self, engine: &engine::Engine) -> u64 {
        let adapters = self.inventory.adapters().keys().map(|(model, _)| model);
        let taken = engine.taken(self.settled(), adapters);
        engine.memory.0.saturating_sub(taken)
    }

    /// Whether a move of its models may begin.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        let free = self.moving.is_none() && self.carried.is_none();
        self.ready && free && self.inventory.count().is_some()
    }

    /// Time that a load of `model` takes here, and whether the store counts it.
    #[must_use]
    pub fn load_time(
        &self,
        model: &id::Model,
        weights: &engine::Weights,
    ) -> (duration::Span, bool) {
        if self.cached.contains(model) {
            return (weights.load_from_host, false);
        }
        if self.stored.contains(model) {
            return (weights.load_from_disk, false);
        }
        (weights.load_from_store, true)
    }
}
