//! A copy of the ledger on which a round plans.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::endpoint;

use crate::catalogue;
use crate::ledger;
use crate::plan;

/// Bytes per GiB.
const GIB: f64 = (1_u64 << 30) as f64;

/// One runner in the draft.
#[derive(Debug)]
pub struct Runner {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Index of the runner's failure domain.
    pub domain: usize,
    /// Whether orders can be sent to the runner.
    pub usable: bool,
    /// Free memory in bytes, less what this round already wants to load.
    pub free: u64,
    /// Demand per second that the runner should serve.
    pub capacity: f64,
    /// Demand per second assigned to the runner, including the cost of weights.
    pub load: f64,
    /// Indices of the base models that the runner has or will have.
    pub models: Vec<usize>,
}

impl Runner {
    /// Load as a share of the capacity.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        self.load / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Demand per second that can still be assigned.
    #[must_use]
    pub fn spare_capacity(&self) -> f64 {
        self.capacity - self.load
    }
}

/// One copy of a base model.
#[derive(Debug, Clone, Copy)]
pub struct Copy {
    /// Index of the copy's runner.
    pub runner: usize,
    /// Whether the copy serves now, as opposed to loading.
    pub serves: bool,
    /// Demand per second assigned to the copy; zero for a standby copy.
    pub share: f64,
}

/// One base model.
#[derive(Debug)]
pub struct Model {
    /// Name of the model.
    pub name: id::Model,
    /// Size in bytes of the model with all its adapters.
    pub footprint: u64,
    /// Expected demand per second, including that of the adapters.
    pub demand: f64,
    /// Demand per second that could not be assigned to the copies.
    pub overflow: f64,
    /// Demand per second that a runner serves less while the model is active there.
    pub activation_cost: f64,
    /// Copies on usable runners.
    pub copies: Vec<Copy>,
}

/// The fleet as one round sees and changes it.
#[derive(Debug)]
pub struct Draft<'a> {
    /// The ledger that the draft was made from.
    pub ledger: &'a ledger::Ledger,
    /// The weight store's list.
    pub catalogue: &'a catalogue::Catalogue,
    /// Settings of placement.
    pub settings: &'a plan::Settings,
    /// Runners in the order of their names.
    pub runners: Vec<Runner>,
    /// Base models in the order of their names.
    pub models: Vec<Model>,
    pub(super) indices: BTreeMap<id::Model, usize>,
    moves: Vec<plan::Move>,
}

impl<'a> Draft<'a> {
    /// Creates the draft of one round.
    #[must_use]
    pub fn new(
        ledger: &'a ledger::Ledger,
        catalogue: &'a catalogue::Catalogue,
        demand: &BTreeMap<id::Model, f64>,
        settings: &'a plan::Settings,
    ) -> Self {
        let models = models(catalogue, demand, settings);
        let names = models.iter().map(|model| model.name.clone());
        let indices = names.zip(0..).collect();
        let runners = runners(ledger, settings);
        let mut draft = Self {
            ledger,
            catalogue,
            settings,
            runners,
            models,
            indices,
            moves: Vec::new(),
        };
        draft.place_copies();
        draft
    }

    fn place_copies(&mut self) {
        for (runner, account) in self.ledger.accounts().values().enumerate() {
            if !self.runners[runner].usable {
                continue;
            }
            let loading = account.open.values().filter_map(loaded_model);
            for name in account.resident.keys().chain(loading) {
                let Some(&index) = self.indices.get(name) else {
                    continue;
                };
                if !account.will_serve(name) || self.runners[runner].models.contains(&index) {
                    continue;
                }
                let copy = Copy {
                    runner,
                    serves: account.serves(name),
                    share: 0.0,
                };
                self.models[index].copies.push(copy);
                self.runners[runner].models.push(index);
                self.reserve_adapter_memory(runner, index);
            }
        }
    }

    /// Reserves the memory of adapters that are still to be loaded beside a base model;
    /// without this another base model would take it.
    fn reserve_adapter_memory(&mut self, runner: usize, index: usize) {
        let endpoint = &self.runners[runner].endpoint;
        let Some(account) = self.ledger.accounts().get(endpoint) else {
            return;
        };
        let adapters = self.catalogue.adapters(&self.models[index].name).iter();
        let missing = adapters.filter(|adapter| {
            !account.resident.contains_key(*adapter) && !account.has_open_load(adapter)
        });
        let bytes: u64 = missing.map(|adapter| self.catalogue.size(adapter).0).sum();
        let runner = &mut self.runners[runner];
        runner.free = runner.free.saturating_sub(bytes);
    }

    /// Whether the runner has or will have the model.
    #[must_use]
    pub fn has_copy(&self, runner: usize, index: usize) -> bool {
        self.runners[runner].models.contains(&index)
    }

    /// Adds a copy and the move that loads it.
    pub fn add_copy(&mut self, runner: usize, index: usize, reason: plan::Reason) {
        let model = &mut self.models[index];
        model.copies.push(Copy {
            runner,
            serves: false,
            share: 0.0,
        });
        let target = &mut self.runners[runner];
        target.free = target.free.saturating_sub(model.footprint);
        target.models.push(index);
        let action = endpoint::Action::Load {
            model: model.name.clone(),
            size: self.catalogue.size(&model.name),
        };
        let endpoint = target.endpoint.clone();
        self.add_move(endpoint, action, reason);
    }

    /// Removes a copy and adds the moves that unload it with its adapters.
    ///
    /// The memory counts as free only once it is reported so; the load that needs it
    /// follows in a later round.
    pub fn remove_copy(&mut self, runner: usize, index: usize, reason: plan::Reason) {
        let model = &mut self.models[index];
        if let Some(position) = model.copies.iter().position(|copy| copy.runner == runner) {
            let copy = model.copies.remove(position);
            if copy.share > 0.0 {
                self.runners[runner].load -= copy.share + model.activation_cost;
                model.overflow += copy.share;
            }
        }
        let name = self.models[index].name.clone();
        let target = &mut self.runners[runner];
        target.models.retain(|model| *model != index);
        let endpoint = target.endpoint.clone();
        self.unload_with_adapters(&endpoint, &name, reason);
    }

    /// Adds the moves that unload a base model and the adapters beside it.
    pub fn unload_with_adapters(
        &mut self,
        endpoint: &id::Endpoint,
        base: &id::Model,
        reason: plan::Reason,
    ) {
        let Some(account) = self.ledger.accounts().get(endpoint) else {
            return;
        };
        let adapters = self.catalogue.adapters(base).iter();
        let names = adapters.chain(std::iter::once(base));
        for name in names.filter(|name| account.resident.contains_key(*name)) {
            let action = endpoint::Action::Unload {
                model: name.clone(),
            };
            self.add_move(endpoint.clone(), action, reason);
        }
    }

    /// Adds one move.
    pub fn add_move(
        &mut self,
        endpoint: id::Endpoint,
        action: endpoint::Action,
        reason: plan::Reason,
    ) {
        self.moves.push(plan::Move {
            endpoint,
            action,
            reason,
        });
    }

    /// Takes the moves of the round.
    pub fn take_moves(&mut self) -> Vec<plan::Move> {
        std::mem::take(&mut self.moves)
    }
}

fn loaded_model(order: &endpoint::Order) -> Option<&id::Model> {
    match &order.action {
        endpoint::Action::Load { model, .. } => Some(model),
        _ => None,
    }
}

fn models(
    catalogue: &catalogue::Catalogue,
    demand: &BTreeMap<id::Model, f64>,
    settings: &plan::Settings,
) -> Vec<Model> {
    let demand_of = |name: &id::Model| demand.get(name).copied().unwrap_or_default();
    let bases = catalogue.bases();
    bases
        .map(|name| {
            let adapters = catalogue.adapters(name).iter();
            Model {
                name: name.clone(),
                footprint: catalogue.footprint(name).0,
                demand: demand_of(name) + adapters.map(demand_of).sum::<f64>(),
                overflow: 0.0,
                activation_cost: catalogue.size(name).0 as f64 / GIB * settings.demand_per_gib,
                copies: Vec::new(),
            }
        })
        .collect()
}

fn runners(ledger: &ledger::Ledger, settings: &plan::Settings) -> Vec<Runner> {
    let mut domains: BTreeMap<&id::Domain, usize> = BTreeMap::new();
    let accounts = ledger.accounts().iter();
    accounts
        .map(|(endpoint, account)| {
            let next = domains.len();
            Runner {
                endpoint: endpoint.clone(),
                domain: *domains.entry(&account.domain).or_insert(next),
                usable: account.is_usable(),
                free: account.free().0,
                capacity: f64::from(account.accelerators.max(1))
                    * settings.demand_per_accelerator
                    * settings.max_utilisation,
                load: 0.0,
                models: Vec::new(),
            }
        })
        .collect()
}
