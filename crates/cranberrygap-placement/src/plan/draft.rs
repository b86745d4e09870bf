//! A copy of the ledger on which a round plans.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::endpoint;

use crate::catalogue;
use crate::ledger;
use crate::plan;

/// Bytes of a GiB.
const GIB: f64 = (1_u64 << 30) as f64;

/// One runner on the draft.
#[derive(Debug)]
pub struct Runner {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Its failure domain, numbered.
    pub domain: usize,
    /// Whether orders can go to it.
    pub usable: bool,
    /// Memory for further loads, with what this round wants already taken off.
    pub free: u64,
    /// Demand a second that it should serve.
    pub capacity: f64,
    /// Demand a second that is assigned to it, the cost of weights included.
    pub load: f64,
    /// Numbers of the base models that it has or will have.
    pub models: Vec<usize>,
}

impl Runner {
    /// Load as a part of the capacity.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        self.load / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Demand a second that may still be assigned.
    #[must_use]
    pub fn left(&self) -> f64 {
        self.capacity - self.load
    }
}

/// One copy of a base model.
#[derive(Debug, Clone, Copy)]
pub struct Copy {
    /// Number of its runner.
    pub runner: usize,
    /// Whether it serves now, as against being loaded.
    pub serves: bool,
    /// Demand a second that is assigned to it; zero where it only stands by.
    pub share: f64,
}

/// One base model.
#[derive(Debug)]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// Size with all its adapters.
    pub footprint: u64,
    /// Expected demand a second, its adapters' included.
    pub demand: f64,
    /// Demand that found no place on its copies.
    pub overflow: f64,
    /// Demand that having it active costs a runner beside what it serves.
    pub weight: f64,
    /// Its copies on usable runners.
    pub copies: Vec<Copy>,
}

/// The fleet as one round sees and changes it.
#[derive(Debug)]
pub struct Draft<'a> {
    /// The ledger it was made from.
    pub ledger: &'a ledger::Ledger,
    /// The store's list.
    pub catalogue: &'a catalogue::Catalogue,
    /// How placement weighs things.
    pub settings: &'a plan::Settings,
    /// Runners in the order of their names.
    pub runners: Vec<Runner>,
    /// Base models in the order of their names.
    pub models: Vec<Model>,
    pub(super) numbers: BTreeMap<id::Model, usize>,
    moves: Vec<plan::Move>,
}

impl<'a> Draft<'a> {
    /// The draft of one round.
    #[must_use]
    pub fn new(
        ledger: &'a ledger::Ledger,
        catalogue: &'a catalogue::Catalogue,
        demand: &BTreeMap<id::Model, f64>,
        settings: &'a plan::Settings,
    ) -> Self {
        let models = models(catalogue, demand, settings);
        let names = models.iter().map(|model| model.name.clone());
        let numbers = names.zip(0..).collect();
        let runners = runners(ledger, settings);
        let mut draft = Self {
            ledger,
            catalogue,
            settings,
            runners,
            models,
            numbers,
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
                let Some(&number) = self.numbers.get(name) else {
                    continue;
                };
                if !account.expects(name) || self.runners[runner].models.contains(&number) {
                    continue;
                }
                let copy = Copy {
                    runner,
                    serves: account.serves(name),
                    share: 0.0,
                };
                self.models[number].copies.push(copy);
                self.runners[runner].models.push(number);
                self.keep_for_adapters(runner, number);
            }
        }
    }

    /// Adapters that are still to be loaded beside a base model need their
    /// room; without this another base model would take it.
    fn keep_for_adapters(&mut self, runner: usize, number: usize) {
        let endpoint = &self.runners[runner].endpoint;
        let Some(account) = self.ledger.accounts().get(endpoint) else {
            return;
        };
        let adapters = self.catalogue.adapters(&self.models[number].name).iter();
        let missing = adapters
            .filter(|adapter| !account.resident.contains_key(*adapter) && !account.loads(adapter));
        let room: u64 = missing.map(|adapter| self.catalogue.size(adapter).0).sum();
        let runner = &mut self.runners[runner];
        runner.free = runner.free.saturating_sub(room);
    }

    /// Whether the runner has or will have the model.
    #[must_use]
    pub fn has(&self, runner: usize, number: usize) -> bool {
        self.runners[runner].models.contains(&number)
    }

    /// Wants a copy loaded.
    pub fn add(&mut self, runner: usize, number: usize, reason: plan::Reason) {
        let model = &mut self.models[number];
        model.copies.push(Copy {
            runner,
            serves: false,
            share: 0.0,
        });
        let target = &mut self.runners[runner];
        target.free = target.free.saturating_sub(model.footprint);
        target.models.push(number);
        let action = endpoint::Action::Load {
            model: model.name.clone(),
            size: self.catalogue.size(&model.name),
        };
        let endpoint = target.endpoint.clone();
        self.want(endpoint, action, reason);
    }

    /// Wants a copy and the adapters beside it unloaded.
    ///
    /// Its memory is not free before it is reported so; the load that needs the
    /// room follows in a later round.
    pub fn remove(&mut self, runner: usize, number: usize, reason: plan::Reason) {
        let model = &mut self.models[number];
        if let Some(position) = model.copies.iter().position(|copy| copy.runner == runner) {
            let copy = model.copies.remove(position);
            if copy.share > 0.0 {
                self.runners[runner].load -= copy.share + model.weight;
                model.overflow += copy.share;
            }
        }
        let name = self.models[number].name.clone();
        let target = &mut self.runners[runner];
        target.models.retain(|model| *model != number);
        let endpoint = target.endpoint.clone();
        self.unload_with_adapters(&endpoint, &name, reason);
    }

    /// Wants a base model and the adapters beside it unloaded.
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
            self.want(endpoint.clone(), action, reason);
        }
    }

    /// Wants one change.
    pub fn want(&mut self, endpoint: id::Endpoint, action: endpoint::Action, reason: plan::Reason) {
        self.moves.push(plan::Move {
            endpoint,
            action,
            reason,
        });
    }

    /// Takes out what the round wants.
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
    let of = |name: &id::Model| demand.get(name).copied().unwrap_or_default();
    let bases = catalogue.bases();
    bases
        .map(|name| {
            let adapters = catalogue.adapters(name).iter();
            Model {
                name: name.clone(),
                footprint: catalogue.footprint(name).0,
                demand: of(name) + adapters.map(of).sum::<f64>(),
                overflow: 0.0,
                weight: catalogue.size(name).0 as f64 / GIB * settings.demand_per_gib,
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
