//! The fleet in virtual time: engines, store, failures, and the clock.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::measure::policy::demand::{Demand, Request};
use crate::measure::policy::deployment::{Deployment, Item};
use crate::measure::policy::engine::Engine;
use crate::measure::policy::failure;
use crate::measure::policy::score::Score;
use crate::measure::policy::store::Store;

/// What a policy decides on.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A request reached an entry.
    Arrived(usize),
    /// A request ended whole.
    Answered {
        /// The request.
        request: usize,
        /// Its runner.
        runner: usize,
    },
    /// A request's endpoint died or refused it; it has to go elsewhere.
    Lost {
        /// The request.
        request: usize,
        /// Its runner.
        runner: usize,
    },
    /// A load ended.
    Loaded {
        /// The runner.
        runner: usize,
        /// The item.
        item: usize,
    },
    /// An item's memory was given back.
    Unloaded {
        /// The runner.
        runner: usize,
        /// The item.
        item: usize,
    },
    /// A runner was found dead.
    Died(usize),
    /// A runner is back with empty memory.
    Returned(usize),
    /// A time that the policy asked for has come.
    Wake(u64),
}

/// A policy under measurement.
pub trait Policy {
    /// Its name in the result.
    fn name(&self) -> &'static str;
    /// Decides on one event.
    fn step(&mut self, fleet: &mut Fleet, event: Event);
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Step {
        runner: usize,
        boot: u64,
    },
    Loaded {
        runner: usize,
        boot: u64,
        item: usize,
    },
    Failure(usize),
    Found(usize),
    Answer {
        request: usize,
        runner: usize,
    },
    Lost {
        request: usize,
        runner: usize,
    },
    Wake(u64),
    Expire,
}

/// Per-request progress.
#[derive(Debug, Clone, Copy, Default)]
pub struct Track {
    first: Option<u64>,
    done: bool,
}

/// Time until a dead runner's silence or refused connections are noticed.
const DETECTION: u64 = 1_000_000;

/// Time after which a request to a dead runner is known to be lost.
const LOST_AFTER: u64 = 200_000;

/// How often deadlines of requests in engines' queues are looked at.
const EXPIRE_EVERY: u64 = 1_000_000;

/// The fleet that a policy acts on.
#[derive(Debug)]
pub struct Fleet {
    /// Virtual time in microseconds.
    pub now: u64,
    /// Sizes.
    pub deployment: Deployment,
    /// Models and adapters.
    pub items: Vec<Item>,
    /// The runners.
    pub engines: Vec<Engine>,
    /// All requests so far.
    pub requests: Vec<Request>,
    /// Expected demand for each base model at the start.
    pub first_weights: Vec<f64>,
    tracks: Vec<Track>,
    demand: Demand,
    store: Store,
    failures: Vec<failure::Failure>,
    agenda: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    counter: u64,
    score: Score,
    copies: Vec<u32>,
    missing: BTreeSet<usize>,
    missing_since: u64,
    end: u64,
}

impl Fleet {
    /// A fleet at time zero, filled with the initial placement.
    #[must_use]
    pub fn new(deployment: Deployment, hours: u64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let items = deployment.items(&mut rng);
        let end = hours * 3_600_000_000;
        let demand = Demand::new(&deployment, &items, hours, seed);
        let failures = failure::schedule(&deployment, end, &mut rng);
        let mut fleet = Self {
            now: 0,
            engines: (0..deployment.runners)
                .map(|_| Engine::new(deployment.memory))
                .collect(),
            first_weights: demand.first_weights(),
            requests: Vec::new(),
            tracks: Vec::new(),
            demand,
            store: Store::new(&deployment),
            agenda: BinaryHeap::new(),
            counter: 0,
            score: Score::new(deployment.workspaces.len()),
            copies: vec![0; items.len()],
            missing: (0..items.len()).collect(),
            missing_since: 0,
            end,
            failures,
            items,
            deployment,
        };
        fleet.fill();
        for number in 0..fleet.failures.len() {
            fleet.plan(fleet.failures[number].at, Happening::Failure(number));
        }
        fleet.arrange_arrival();
        fleet.plan(EXPIRE_EVERY, Happening::Expire);
        fleet
    }

    /// Runs a policy to the end; gives its result.
    pub fn run(mut self, policy: &mut dyn Policy) -> serde_json::Value {
        policy.step(&mut self, Event::Wake(0));
        while let Some(Reverse((at, _, happening))) = self.agenda.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.happen(policy, happening);
        }
        self.now = self.end;
        self.note_missing();
        let accelerators = f64::from(self.deployment.accelerators) * self.deployment.runners as f64;
        let seconds = self.end as f64 / 1e6;
        self.score.report(policy.name(), accelerators, seconds)
    }

    /// Wakes the policy after some time with a number of its own.
    pub fn wake(&mut self, after: u64, number: u64) {
        self.plan(self.now + after, Happening::Wake(number));
    }

    /// Sends a request to a runner; it comes back as lost where it cannot run.
    pub fn dispatch(&mut self, request: usize, runner: usize) {
        let asked = self.requests[request];
        let model = self.items[asked.item].base;
        let engine = &mut self.engines[runner];
        let there = engine.resident.contains(&asked.item) && engine.resident.contains(&model);
        let draining = engine.draining.contains(&asked.item) || engine.draining.contains(&model);
        if !engine.alive || !there || draining {
            self.score.bounced += 1;
            let after = if engine.alive {
                self.deployment.round_trip
            } else {
                LOST_AFTER
            };
            self.plan(self.now + after, Happening::Lost { request, runner });
            return;
        }
        engine.take(self.now, request, &asked, &self.items);
        self.start(runner);
    }

    /// Refuses a request as not run; it was within its workspace's rate.
    pub fn refuse(&mut self, request: usize) {
        self.tracks[request].done = true;
        let refused = self.requests[request];
        self.score.refuse(&refused);
    }

    /// Loads an item; the policy has made sure that memory suffices.
    pub fn load(&mut self, runner: usize, item: usize) {
        let adapter = self.is_adapter(item);
        let size = self.items[item].size;
        let engine = &mut self.engines[runner];
        if !engine.alive || engine.resident.contains(&item) || engine.loading.contains(&item) {
            return;
        }
        engine.reserve(item, size);
        let boot = engine.boot;
        let end = if adapter {
            self.score.adapter_loads += 1;
            self.store.load_adapter(self.now)
        } else {
            self.score.moves += 1;
            self.store.load(self.now)
        };
        self.plan(end, Happening::Loaded { runner, boot, item });
    }

    /// Unloads an item as soon as no request uses it.
    pub fn unload(&mut self, policy: &mut dyn Policy, runner: usize, item: usize) {
        let engine = &mut self.engines[runner];
        if !engine.resident.contains(&item) {
            return;
        }
        engine.draining.insert(item);
        self.count(item, false);
        self.drain(policy, runner);
    }

    /// Whether an item is an adapter.
    #[must_use]
    pub fn is_adapter(&self, item: usize) -> bool {
        item >= self.deployment.models
    }

    /// Adapters of a base model.
    pub fn adapters(&self, model: usize) -> impl Iterator<Item = usize> {
        let adapters = self.items.iter().enumerate().skip(self.deployment.models);
        let of = adapters.filter(move |(_, item)| item.base == model);
        of.map(|(number, _)| number)
    }

    /// Whether a runner serves an item now.
    #[must_use]
    pub fn serves(&self, runner: usize, item: usize) -> bool {
        let engine = &self.engines[runner];
        let model = self.items[item].base;
        let has = |item| engine.resident.contains(&item) && !engine.draining.contains(&item);
        engine.alive && has(item) && has(model)
    }

    /// Time from a request's arrival to its caller's giving up, minus what passed.
    #[must_use]
    pub fn left(&self, request: usize) -> u64 {
        let deadline = self.requests[request].arrived + self.deployment.deadline;
        deadline.saturating_sub(self.now)
    }

    /// Mean time between tokens of a request that just ended.
    #[must_use]
    pub fn gap(&self, request: usize) -> Option<u64> {
        let first = self.tracks[request].first?;
        let gaps = u64::from(self.requests[request].output.saturating_sub(1).max(1));
        Some((self.now - first) / gaps)
    }

    fn happen(&mut self, policy: &mut dyn Policy, happening: Happening) {
        match happening {
            Happening::Arrival => {
                let request = self.requests.len() - 1;
                self.arrange_arrival();
                policy.step(self, Event::Arrived(request));
            }
            Happening::Step { runner, boot } => self.stepped(policy, runner, boot),
            Happening::Loaded { runner, boot, item } => self.loaded(policy, runner, boot, item),
            Happening::Failure(number) => self.fail(policy, number),
            Happening::Found(runner) => policy.step(self, Event::Died(runner)),
            Happening::Answer { request, runner } => {
                policy.step(self, Event::Answered { request, runner });
            }
            Happening::Lost { request, runner } => {
                policy.step(self, Event::Lost { request, runner });
            }
            Happening::Wake(number) => policy.step(self, Event::Wake(number)),
            Happening::Expire => self.expire(),
        }
    }

    fn plan(&mut self, at: u64, happening: Happening) {
        self.counter += 1;
        self.agenda.push(Reverse((at, self.counter, happening)));
    }

    /// The next request is drawn when the one before arrives.
    fn arrange_arrival(&mut self) {
        let request = self.demand.draw_admitted();
        if request.arrived <= self.end {
            self.score.request(&request);
        }
        self.requests.push(request);
        self.tracks.push(Track::default());
        self.plan(request.arrived, Happening::Arrival);
    }

    fn start(&mut self, runner: usize) {
        let engine = &mut self.engines[runner];
        if engine.stepping {
            return;
        }
        let boot = engine.boot;
        if let Some(time) = engine.start(&self.items) {
            self.plan(self.now + time, Happening::Step { runner, boot });
        }
    }

    fn stepped(&mut self, policy: &mut dyn Policy, runner: usize, boot: u64) {
        if self.engines[runner].boot != boot {
            return;
        }
        let progress = self.engines[runner].finish();
        let back = self.deployment.round_trip / 2;
        for request in progress.first {
            let asked = self.requests[request];
            self.engines[runner].remember(&asked);
            self.tracks[request].first.get_or_insert(self.now + back);
        }
        for request in progress.ended {
            let asked = self.requests[request];
            self.engines[runner].release_item(&asked, &self.items);
            self.tracks[request].done = true;
            let first = self.tracks[request].first.unwrap_or(self.now);
            self.score.answer(&asked, first, self.now + back);
            self.plan(self.now + back, Happening::Answer { request, runner });
        }
        self.engines[runner].stepping = false;
        self.drain(policy, runner);
        self.start(runner);
    }

    fn loaded(&mut self, policy: &mut dyn Policy, runner: usize, boot: u64, item: usize) {
        self.store.ended(self.is_adapter(item));
        if self.engines[runner].boot != boot {
            return;
        }
        self.engines[runner].loaded(item);
        self.engines[runner].used.insert(item, self.now);
        self.count(item, true);
        policy.step(self, Event::Loaded { runner, item });
    }

    fn drain(&mut self, policy: &mut dyn Policy, runner: usize) {
        if self.engines[runner].draining.is_empty() {
            return;
        }
        let engine = &self.engines[runner];
        let idle = engine.draining.iter().filter(|item| !engine.uses(**item));
        for item in idle.copied().collect::<Vec<_>>() {
            let size = self.items[item].size;
            self.engines[runner].drop_item(item, size);
            policy.step(self, Event::Unloaded { runner, item });
        }
    }

    fn fail(&mut self, policy: &mut dyn Policy, number: usize) {
        let failure = self.failures[number].clone();
        for runner in failure.runners {
            if failure.back {
                self.engines[runner].alive = true;
                policy.step(self, Event::Returned(runner));
                continue;
            }
            let serving: Vec<usize> = self.serving(runner);
            for request in self.engines[runner].crash() {
                self.plan(self.now + LOST_AFTER, Happening::Lost { request, runner });
            }
            for item in serving {
                self.count(item, false);
            }
            self.plan(self.now + DETECTION, Happening::Found(runner));
        }
    }

    fn serving(&self, runner: usize) -> Vec<usize> {
        let engine = &self.engines[runner];
        let serving = engine.resident.difference(&engine.draining);
        serving.copied().collect()
    }

    fn expire(&mut self) {
        for runner in 0..self.engines.len() {
            let now = self.now;
            let deadline = self.deployment.deadline;
            let requests = &self.requests;
            let gone = |request: usize| requests[request].arrived + deadline <= now;
            for request in self.engines[runner].expire(gone) {
                let asked = self.requests[request];
                self.engines[runner].release_item(&asked, &self.items);
                self.refuse(request);
            }
        }
        self.plan(self.now + EXPIRE_EVERY, Happening::Expire);
    }

    fn count(&mut self, item: usize, more: bool) {
        self.note_missing();
        if more {
            self.copies[item] += 1;
            self.missing.remove(&item);
        } else {
            self.copies[item] -= 1;
            if self.copies[item] == 0 {
                self.missing.insert(item);
            }
        }
    }

    fn note_missing(&mut self) {
        if !self.missing.is_empty() {
            self.score.unreachable += self.now - self.missing_since;
        }
        self.missing_since = self.now;
    }

    /// The initial placement, the same for every policy: two copies of each
    /// model in different failure domains, then more copies of what has most
    /// demand for each copy, while memory lasts. Adapters are with their bases.
    fn fill(&mut self) {
        let mut models: Vec<usize> = (0..self.deployment.models).collect();
        models.sort_by(|a, b| self.first_weights[*b].total_cmp(&self.first_weights[*a]));
        let mut placed = vec![0_u32; models.len()];
        for _copy in 0..2 {
            for model in &models {
                placed[*model] += u32::from(self.put(*model));
            }
        }
        while let Some(model) = models.iter().copied().max_by(|a, b| {
            let per_copy = |model: usize| self.first_weights[model] / f64::from(placed[model]);
            per_copy(*a).total_cmp(&per_copy(*b))
        }) {
            if self.put(model) {
                placed[model] += 1;
            } else {
                models.retain(|other| *other != model);
            }
        }
    }

    fn put(&mut self, model: usize) -> bool {
        let items: Vec<usize> = std::iter::once(model).chain(self.adapters(model)).collect();
        let size: u64 = items.iter().map(|item| self.items[*item].size).sum();
        let holders =
            (0..self.engines.len()).filter(|r| self.engines[*r].resident.contains(&model));
        let domains: Vec<usize> = holders.map(|r| self.deployment.domain(r)).collect();
        let free = (0..self.engines.len()).filter(|runner| {
            let engine = &self.engines[*runner];
            engine.free() >= size && !engine.resident.contains(&model)
        });
        let best = free.max_by_key(|runner| {
            let new = !domains.contains(&self.deployment.domain(*runner));
            (new, self.engines[*runner].free())
        });
        let Some(runner) = best else {
            return false;
        };
        for item in items {
            let size = self.items[item].size;
            self.engines[runner].reserve(item, size);
            self.engines[runner].loaded(item);
            self.count(item, true);
        }
        true
    }
}
