//! Which model a runner should load next, and which one it should evict for that.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::id;

use super::engine;
use super::runner;

/// Share of a runner's time at which its models get another copy. At half load a prompt
/// waits on average half as long as its prefill takes; above that the wait grows fast,
/// and a load takes seconds to help.
const EXTRA_COPY_LOAD: f64 = 0.15;

/// Maximum load of the new runner relative to the least loaded existing copy; above it
/// another copy gains too little for the cost of its load.
const MAX_RELATIVE_LOAD: f64 = 0.65;

/// Maximum ratio of an eviction's loss to the gain of the model that takes its place.
/// Below one, so that two models of similar demand don't evict each other in turns.
const MAX_LOSS_PER_GAIN: f64 = 0.6;

/// Maximum work of a model whose last copy may be left to a runner's disk: a request
/// every few seconds, each taking some hundredths of a second of a runner.
const MAX_IDLE_WORK: f64 = 0.011;

/// Cost of reloading such a model, in work: the move back, and the requests that wait for
/// it, each for about a second.
const RELOAD_COST: f64 = 0.032;
const RELOAD_COST_PER_WORK: f64 = 6.0;

/// Weight of demand for a model without a copy. All of that demand is lost; but loads
/// from the store are few, and a busy model whose copies reject a multiple of it goes
/// first.
const UNSERVED_WEIGHT: f64 = 4.0;

/// Work above which all evictions count as equally costly: that of ten runners.
const MAX_EVICTION_LOSS: f64 = 10.0;

/// Number of parts into which a model's demand is split when it is spread over its
/// copies.
const DEMAND_PARTS: u32 = 8;

/// Maximum work of a model that counts as silent.
const MAX_SILENT_WORK: f64 = 0.000_1;

/// Number of copies that a model without demand should have, and a steadily requested one
/// at least, if memory allows.
///
/// Demand shifts within six seconds to models without recent requests, and a load from
/// the store takes as long: with one copy each, a third of their requests are refused or
/// late until the loads finish. A model with occasional requests has shown what it needs;
/// a silent one may be next. Copies beyond what current demand needs are kept ready for
/// that shift.
const STANDBY_COPIES: usize = 3;

/// Minimum number of copies that an evicted model has beyond the receiving one: a move
/// that only swaps the copy counts of two models gains nothing.
const MIN_COPY_SURPLUS: usize = 2;

/// A model to load, and a model to evict first if memory is short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The runner.
    pub endpoint: id::Endpoint,
    /// The model to load.
    pub load: id::Model,
    /// The model to evict.
    pub evict: Option<id::Model>,
}

/// Runners of one service with the current demand spread over them.
#[derive(Debug)]
pub struct Rebalancer<'planner> {
    engine: &'planner engine::Engine,
    runners: &'planner BTreeMap<id::Endpoint, runner::Runner>,
    demand: &'planner BTreeMap<id::Model, f64>,
    store_available: bool,
    /// Indices of the runners that have a copy, in the order of their names.
    copies: BTreeMap<&'planner id::Model, Vec<usize>>,
    /// Number of confirmed copies that stay; a copy that is still loading may fail.
    confirmed_copies: BTreeMap<&'planner id::Model, usize>,
    /// Share of each runner's time that its models take, by runner index.
    loads: Vec<f64>,
    /// Free memory in bytes once the moves under way are done, by runner index.
    free_memory: Vec<u64>,
    /// Models that a ready runner can load from its own disk or host memory within a second.
    stored_models: BTreeSet<&'planner id::Model>,
    /// Runners whose models may be moved, with their indices.
    idle_runners: Vec<(usize, &'planner id::Endpoint, &'planner runner::Runner)>,
}

impl<'planner> Rebalancer<'planner> {
    /// Spreads `demand` over the existing and incoming copies. Demand is in seconds of
    /// one runner per second.
    #[must_use]
    pub fn new(
        engine: &'planner engine::Engine,
        runners: &'planner BTreeMap<id::Endpoint, runner::Runner>,
        demand: &'planner BTreeMap<id::Model, f64>,
        store_available: bool,
    ) -> Self {
        let mut copies: BTreeMap<&id::Model, Vec<usize>> = BTreeMap::new();
        let mut confirmed_copies: BTreeMap<&id::Model, usize> = BTreeMap::new();
        let mut stored_models = BTreeSet::new();
        let ready = runners.values().enumerate();
        for (index, runner) in ready.filter(|(_, runner)| runner.ready) {
            stored_models.extend(runner.disk_copies.iter().chain(&runner.host_copies));
            for model in runner.future_models() {
                copies.entry(model).or_default().push(index);
            }
            for model in runner
                .inventory
                .models()
                .iter()
                .filter(|model| runner.serves(model))
            {
                *confirmed_copies.entry(model).or_default() += 1;
            }
        }
        let mut rebalancer = Self {
            engine,
            runners,
            demand,
            store_available,
            copies,
            confirmed_copies,
            loads: vec![0.0; runners.len()],
            free_memory: runners
                .values()
                .map(|runner| runner.free_memory(engine))
                .collect(),
            stored_models,
            idle_runners: idle_runners(runners),
        };
        rebalancer.spread_demand();
        rebalancer
    }

    /// Assigns each part of a model's demand to its least loaded copy, models with few
    /// copies first, since they have the least choice.
    fn spread_demand(&mut self) {
        let mut models: Vec<(&id::Model, f64)> = self
            .demand
            .iter()
            .map(|(model, work)| (model, *work))
            .collect();
        models.sort_by_key(|(model, _)| self.copy_count(model));
        for (model, work) in models {
            let Some(copies) = self.copies.get(model) else {
                continue;
            };
            for _part in 0..DEMAND_PARTS {
                let least_loaded = copies
                    .iter()
                    .min_by(|left, right| self.loads[**left].total_cmp(&self.loads[**right]));
                if let Some(index) = least_loaded {
                    self.loads[*index] += work / f64::from(DEMAND_PARTS);
                }
            }
        }
    }

    /// Number of copies that a model has or will have.
    #[must_use]
    pub fn copy_count(&self, model: &id::Model) -> usize {
        self.copies.get(model).map_or(0, Vec::len)
    }

    /// Share of a runner's time that its models take.
    #[must_use]
    pub fn runner_load(&self, endpoint: &id::Endpoint) -> f64 {
        let index = self.runners.keys().position(|name| name == endpoint);
        index.map_or(0.0, |index| self.loads[index])
    }

    /// The most useful placement, if any is worth its cost.
    #[must_use]
    pub fn next_placement(&self) -> Option<Placement> {
        let mut ranked: Vec<(f64, &id::Model)> = self.models_needing_copies();
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        ranked
            .into_iter()
            .find_map(|(_, model)| self.place_copy(model))
    }

    /// A placement of a standby copy for demand that may shift to its model.
    #[must_use]
    pub fn standby_placement(&self) -> Option<Placement> {
        let is_silent = |model: &&id::Model| self.work(model) <= MAX_SILENT_WORK;
        let models = self.engine.models.keys().filter(is_silent);
        let mut models: Vec<&id::Model> = models
            .filter(|model| (1..STANDBY_COPIES).contains(&self.copy_count(model)))
            .collect();
        models.sort_by_key(|model| self.copy_count(model));
        models
            .into_iter()
            .find_map(|model| self.place_standby(model))
    }

    /// Whether any runner could begin to load a model now.
    ///
    /// While the store allows no load, most models that need a copy can go nowhere, and no
    /// runner has to be looked at for them.
    fn is_loadable(&self, model: &id::Model) -> bool {
        self.store_available || self.stored_models.contains(model)
    }

    fn place_standby(&self, model: &'planner id::Model) -> Option<Placement> {
        if !self.is_loadable(model) {
            return None;
        }
        let weights = self.engine.models.get(model)?;
        let copies = self.copy_count(model);
        let idle = self.idle_runners.iter().copied();
        let options = idle.filter_map(|(index, name, runner)| {
            let (time, from_store) = runner.load_time(model, weights);
            if runner.inventory.models().contains(model) || (from_store && !self.store_available) {
                return None;
            }
            let free = self.free_memory[index];
            let fits = free >= weights.size.0;
            let evicted = if fits {
                None
            } else {
                Some(self.spare_copy(name, runner, free, model, copies + MIN_COPY_SURPLUS)?)
            };
            let loss = evicted.map_or(0.0, |evicted| self.eviction_loss(evicted));
            Some((loss + time.as_secs_f64() * 0.01, name, evicted))
        });
        let (_, name, evicted) = options.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(Placement {
            endpoint: name.clone(),
            load: model.clone(),
            evict: evicted.cloned(),
        })
    }

    /// A model at a runner that can spare its copy: the load of the remaining ones stays
    /// below the level that calls for another copy.
    fn spare_copy(
        &self,
        name: &id::Endpoint,
        runner: &'planner runner::Runner,
        free: u64,
        incoming: &id::Model,
        min_copies: usize,
    ) -> Option<&'planner id::Model> {
        let candidates = self
            .sufficient_evictions(runner, free, incoming)
            .filter(|model| {
                let others = self.confirmed_elsewhere(name, model);
                let load_per_copy = self.work(model) / others.max(1) as f64;
                others + 1 >= min_copies && load_per_copy < EXTRA_COPY_LOAD * MAX_RELATIVE_LOAD
            });
        candidates.min_by(|left, right| {
            self.eviction_loss(left)
                .total_cmp(&self.eviction_loss(right))
        })
    }

    /// Models that need a copy, with the work that is lost until they get it.
    fn models_needing_copies(&self) -> Vec<(f64, &'planner id::Model)> {
        let models = self.engine.models.keys();
        let needed = models.filter_map(|model| {
            let work = self.demand.get(model).copied().unwrap_or_default();
            let Some(lowest_load) = self.lowest_copy_load(model) else {
                // No caller can be served. Without demand a copy on a runner's disk
                // suffices; otherwise the model must be loaded again eventually.
                if work <= MAX_SILENT_WORK && self.stored_models.contains(model) {
                    return None;
                }
                return Some((work * UNSERVED_WEIGHT, model));
            };
            // The next copy goes where it relieves each copy most. By total demand alone
            // the busiest model would get copy after copy while a model with a single
            // overloaded copy waits.
            let relief = work / (self.copy_count(model) + 1) as f64;
            (lowest_load > EXTRA_COPY_LOAD).then_some((relief, model))
        });
        needed.collect()
    }

    fn lowest_copy_load(&self, model: &id::Model) -> Option<f64> {
        let copies = self.copies.get(model)?.iter();
        copies.map(|index| self.loads[*index]).reduce(f64::min)
    }

    fn place_copy(&self, model: &'planner id::Model) -> Option<Placement> {
        if !self.is_loadable(model) {
            return None;
        }
        let weights = self.engine.models.get(model)?;
        let lowest_load = self.lowest_copy_load(model);
        let idle = self.idle_runners.iter().copied();
        let options = idle.filter_map(|(index, name, runner)| {
            let load = self.loads[index];
            if runner.inventory.models().contains(model) {
                return None;
            }
            let (time, from_store) = runner.load_time(model, weights);
            if from_store && !self.store_available {
                return None;
            }
            if lowest_load.is_some_and(|lowest_load| load > lowest_load * MAX_RELATIVE_LOAD) {
                return None;
            }
            let free = self.free_memory[index];
            let fits = free >= weights.size.0;
            let evicted = if fits {
                None
            } else {
                Some(self.eviction_candidate(name, runner, free, model)?)
            };
            // A second of load time weighs as much as a tenth of a runner's time; so does
            // the work that the other copies of the evicted model have to take over.
            let loss = evicted.map_or(0.0, |evicted| {
                self.eviction_loss(evicted).min(MAX_EVICTION_LOSS)
            });
            let cost = load + time.as_secs_f64() * 0.1 + loss;
            Some((cost, name, evicted))
        });
        let best = options.min_by(|left, right| left.0.total_cmp(&right.0));
        let (_, name, evicted) = best?;
        Some(Placement {
            endpoint: name.clone(),
            load: model.clone(),
            evict: evicted.cloned(),
        })
    }

    /// The model at a runner whose eviction costs least, if `incoming` is worth more.
    ///
    /// The last copy of a model is evicted only if the model had no recent requests and
    /// the runner keeps it on its disk, from where it can be loaded within a second. Half
    /// of all models have no requests at any time; each copy of them that is kept is
    /// missing for a model whose callers are refused.
    fn eviction_candidate(
        &self,
        name: &id::Endpoint,
        runner: &'planner runner::Runner,
        free: u64,
        incoming: &id::Model,
    ) -> Option<&'planner id::Model> {
        let gain = self.copy_gain(incoming);
        let candidates = self
            .sufficient_evictions(runner, free, incoming)
            .filter(|model| {
                let can_reload =
                    runner.disk_copies.contains(*model) && self.work(model) < MAX_IDLE_WORK;
                can_reload || self.confirmed_elsewhere(name, model) > 0
            });
        let cheapest = candidates.min_by(|left, right| {
            self.eviction_loss(left)
                .total_cmp(&self.eviction_loss(right))
        });
        cheapest.filter(|model| self.eviction_loss(model) < gain * MAX_LOSS_PER_GAIN)
    }

    /// Models at a runner each of which frees enough memory for the incoming one.
    fn sufficient_evictions(
        &self,
        runner: &'planner runner::Runner,
        free: u64,
        incoming: &id::Model,
    ) -> impl Iterator<Item = &'planner id::Model> {
        let weights = self.engine.models.get(incoming);
        let needed = weights.map_or(u64::MAX, |weights| weights.size.0);
        let models = runner.inventory.models().iter();
        models.filter(move |model| free + self.engine.model_size(model) >= needed)
    }

    /// Number of confirmed copies at other runners.
    fn confirmed_elsewhere(&self, name: &id::Endpoint, model: &id::Model) -> usize {
        let runner = self.runners.get(name);
        let serves_here = runner.is_some_and(|runner| runner.serves(model));
        let total = self
            .confirmed_copies
            .get(model)
            .copied()
            .unwrap_or_default();
        total - usize::from(serves_here)
    }

    fn work(&self, model: &id::Model) -> f64 {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// Work that one more copy takes off each of the others.
    fn copy_gain(&self, model: &id::Model) -> f64 {
        let work = self.work(model);
        match self.copy_count(model) {
            0 => f64::MAX,
            copies => work / (copies * (copies + 1)) as f64,
        }
    }

    /// Work that one copy less adds to each of the others.
    fn eviction_loss(&self, model: &id::Model) -> f64 {
        let work = self.work(model);
        match self.copy_count(model) {
            0 | 1 if work < MAX_IDLE_WORK => RELOAD_COST + work * RELOAD_COST_PER_WORK,
            0 | 1 => f64::MAX,
            copies => work / (copies * (copies - 1)) as f64,
        }
    }
}

/// Runners whose models may be moved, with their indices.
fn idle_runners(
    runners: &BTreeMap<id::Endpoint, runner::Runner>,
) -> Vec<(usize, &id::Endpoint, &runner::Runner)> {
    let runners = runners.iter().enumerate();
    let runners = runners.map(|(index, (name, runner))| (index, name, runner));
    runners.filter(|(_, _, runner)| runner.is_idle()).collect()
}
