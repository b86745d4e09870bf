//! Least loaded routing with least-recently-used placement.

use crate::measure::policy::baseline::{LOOK_EVERY, Parked};
use crate::measure::policy::fleet::{Event, Fleet, Policy};

/// Sends to the runner with the fewest requests among those that have the
/// model, by their true numbers. Where none has it, or all that have it are
/// full, the model is loaded on the least loaded runner, which unloads what was
/// used least recently and has no request. The last copy of a model is unloaded
/// only where nothing else makes room.
#[derive(Debug, Default)]
pub struct LeastLoaded {
    parked: Parked,
}

/// Requests on one runner from which on a model gets another copy: about the
/// batch that keeps the latency targets.
const FULL: usize = 32;

impl LeastLoaded {
    fn route(&mut self, fleet: &mut Fleet, request: usize) {
        let item = fleet.requests[request].item;
        let model = fleet.items[item].base;
        let runners = 0..fleet.engines.len();
        let serving = runners.filter(|r| fleet.serves(*r, item));
        let best = serving.min_by_key(|r| fleet.engines[*r].load());
        let full = best.is_none_or(|runner| fleet.engines[runner].load() >= FULL);
        if full {
            self.copy(fleet, model);
        }
        match best {
            Some(runner) => fleet.dispatch(request, runner),
            None => self.park(fleet, request, item),
        }
    }

    fn park(&mut self, fleet: &mut Fleet, request: usize, item: usize) {
        let model = fleet.items[item].base;
        if item != model {
            let bases = (0..fleet.engines.len()).filter(|r| fleet.serves(*r, model));
            let best = bases.min_by_key(|r| fleet.engines[*r].load());
            if let Some(runner) = best {
                load(fleet, self, runner, &[item]);
            }
        }
        self.parked.push(request);
    }

    /// Loads one more copy, one at a time for each model.
    fn copy(&mut self, fleet: &mut Fleet, model: usize) {
        let mut engines = fleet.engines.iter();
        if engines.any(|engine| engine.loading.contains(&model)) {
            return;
        }
        let mut targets: Vec<usize> = (0..fleet.engines.len())
            .filter(|r| fleet.engines[*r].alive && !fleet.engines[*r].resident.contains(&model))
            .collect();
        targets.sort_by_key(|r| fleet.engines[*r].load());
        let items: Vec<usize> = std::iter::once(model)
            .chain(fleet.adapters(model))
            .collect();
        for runner in targets {
            if load(fleet, self, runner, &items) {
                return;
            }
        }
    }
}

/// Loads items on a runner, making room where that is needed.
fn load(fleet: &mut Fleet, policy: &mut LeastLoaded, runner: usize, items: &[usize]) -> bool {
    let needed = |fleet: &Fleet| -> u64 {
        let engine = &fleet.engines[runner];
        let missing = items
            .iter()
            .filter(|item| !engine.resident.contains(item) && !engine.loading.contains(item));
        missing.map(|item| fleet.items[*item].size).sum()
    };
    let size = needed(fleet);
    if fleet.engines[runner].free() < size && !evict(fleet, policy, runner, size) {
        return false;
    }
    for item in items {
        fleet.load(runner, *item);
    }
    true
}

/// Unloads idle models, least recently used first, until `size` is free.
fn evict(fleet: &mut Fleet, policy: &mut LeastLoaded, runner: usize, size: u64) -> bool {
    let engine = &fleet.engines[runner];
    let idle = engine.resident.iter().copied();
    let mut idle: Vec<usize> = idle
        .filter(|item| !fleet.is_adapter(*item) && !engine.uses(*item))
        .collect();
    let last = |model: usize| {
        let others = (0..fleet.engines.len()).filter(|r| *r != runner);
        others.filter(|r| fleet.serves(*r, model)).count() == 0
    };
    idle.sort_by_key(|model| (last(*model), engine.used.get(model).copied()));
    let mut free = engine.free();
    let mut victims = Vec::new();
    for model in idle {
        if free >= size {
            break;
        }
        let there = std::iter::once(model).chain(fleet.adapters(model));
        for item in there.filter(|item| engine.resident.contains(item)) {
            free += fleet.items[item].size;
            victims.push(item);
        }
    }
    if free < size {
        return false;
    }
    for item in victims {
        fleet.unload(policy, runner, item);
    }
    fleet.engines[runner].free() >= size
}

impl Policy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least loaded, least-recently-used placement"
    }

    fn step(&mut self, fleet: &mut Fleet, event: Event) {
        match event {
            Event::Arrived(request) | Event::Lost { request, .. } => self.route(fleet, request),
            Event::Loaded { .. } => {
                for request in self.parked.take(fleet) {
                    self.route(fleet, request);
                }
            }
            Event::Wake(_) => {
                for request in self.parked.take(fleet) {
                    self.route(fleet, request);
                }
                fleet.wake(LOOK_EVERY, 1);
            }
            _ => {}
        }
    }
}
