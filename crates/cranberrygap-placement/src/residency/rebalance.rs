//! Which model a runner should load next, and which it should drop for that.

use std::collections::BTreeMap;

use cranberrygap_model::id;

use super::engine;
use super::runner;

/// Part of a runner's time at which its models get a further copy. Half busy, a
/// prompt waits on average half as long as it takes to read; above that the wait
/// grows fast, and a load takes seconds to help.
const BUSY: f64 = 0.15;

/// Load of the new place against that of the best present one, above which a
/// further copy gains too little for the load that it costs.
const RELIEF: f64 = 0.65;

/// Loss of a victim against the gain of what takes its place. Below one, so that
/// two models of about the same demand do not drive each other out by turns.
const WORTH: f64 = 0.6;

/// Work below which a model's last copy may go to disk: a request in some seconds, each
/// some hundredths of a second of a runner.
const IDLE: f64 = 0.011;

/// What the return of such a model costs, in work: the move back, and the requests that
/// wait for it, each for about a second.
const RETURN: f64 = 0.032;
const RETURN_TIMES: f64 = 6.0;

/// Weight of demand for a model without a copy. All of it is lost; but loads from the
/// store are few, and a busy model whose copies turn a multiple of that away goes first.
const LOST: f64 = 4.0;

/// Work above which one victim counts as much as another: that of ten runners.
const MOST_MISSED: f64 = 10.0;

/// Parts into which a model's demand is cut when it is spread over its copies.
const PARTS: u32 = 8;

/// Work that stands for "nobody asked of late".
const SILENT: f64 = 0.000_1;

/// Copies that a model without demand should have, one that is asked for steadily at
/// least, by the room that there is.
///
/// Demand moves within six seconds to models for which nobody asked before, and a load
/// from the store takes as long: with one copy each, a third of their callers is refused
/// or late until the loads are done. A model that is asked for now and then has shown
/// what it needs; one that is silent may be the next. Copies beyond what present demand
/// needs stand there for it.
const STANDING: usize = 3;

/// How many copies more than the receiving model a victim has at least: a move that
/// only turns two models' numbers of copies around helps nobody.
const UNEVEN: usize = 2;

/// A model to load, and one to drop first if room is short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// Where.
    pub endpoint: id::Endpoint,
    /// What comes.
    pub load: id::Model,
    /// What goes.
    pub victim: Option<id::Model>,
}

/// Runners of one service and the demand that they see.
#[derive(Debug)]
pub struct Draft<'book> {
    engine: &'book engine::Engine,
    runners: &'book BTreeMap<id::Endpoint, runner::Runner>,
    demand: &'book BTreeMap<id::Model, f64>,
    store_open: bool,
    /// Places of the runners that have a copy, in the order of their names.
    copies: BTreeMap<&'book id::Model, Vec<usize>>,
    /// Confirmed copies that stay; one that is only on its way may fail.
    confirmed: BTreeMap<&'book id::Model, usize>,
    /// Part of its time that each runner's models take, by its place.
    load: Vec<f64>,
    /// Memory that is free once what was begun is done, by the same place.
    free: Vec<u64>,
}

impl<'book> Draft<'book> {
    /// Spreads `demand`, in seconds of one runner a second, over the copies that there
    /// are or will be.
    #[must_use]
    pub fn new(
        engine: &'book engine::Engine,
        runners: &'book BTreeMap<id::Endpoint, runner::Runner>,
        demand: &'book BTreeMap<id::Model, f64>,
        store_open: bool,
    ) -> Self {
        let mut copies: BTreeMap<&id::Model, Vec<usize>> = BTreeMap::new();
        let mut confirmed: BTreeMap<&id::Model, usize> = BTreeMap::new();
        let ready = runners.values().enumerate();
        for (place, runner) in ready.filter(|(_, runner)| runner.ready) {
            for model in runner.settled() {
                copies.entry(model).or_default().push(place);
            }
            for model in runner
                .inventory
                .models()
                .iter()
                .filter(|model| runner.serves(model))
            {
                *confirmed.entry(model).or_default() += 1;
            }
        }
        let mut draft = Self {
            engine,
            runners,
            demand,
            store_open,
            copies,
            confirmed,
            load: vec![0.0; runners.len()],
            free: runners.values().map(|runner| runner.free(engine)).collect(),
        };
        draft.spread();
        draft
    }

    /// Gives each part of a model's demand to its least loaded copy, models with
    /// few copies first, since they have the least choice.
    fn spread(&mut self) {
        let mut models: Vec<(&id::Model, f64)> = self
            .demand
            .iter()
            .map(|(model, work)| (model, *work))
            .collect();
        models.sort_by_key(|(model, _)| self.count(model));
        for (model, work) in models {
            let Some(copies) = self.copies.get(model) else {
                continue;
            };
            for _part in 0..PARTS {
                let least = copies
                    .iter()
                    .min_by(|left, right| self.load[**left].total_cmp(&self.load[**right]));
                if let Some(place) = least {
                    self.load[*place] += work / f64::from(PARTS);
                }
            }
        }
    }

    /// Number of copies that a model has or will have.
    #[must_use]
    pub fn count(&self, model: &id::Model) -> usize {
        self.copies.get(model).map_or(0, Vec::len)
    }

    /// Part of a runner's time that its models take.
    #[must_use]
    pub fn load(&self, endpoint: &id::Endpoint) -> f64 {
        let place = self.runners.keys().position(|name| name == endpoint);
        place.map_or(0.0, |place| self.load[place])
    }

    /// The most useful move, if any is worth its cost.
    #[must_use]
    pub fn next(&self) -> Option<Wish> {
        let mut wanted: Vec<(f64, &id::Model)> = self.pressures();
        wanted.sort_by(|left, right| right.0.total_cmp(&left.0));
        wanted.into_iter().find_map(|(_, model)| self.place(model))
    }

    /// A copy that stands ready for demand that may move to its model.
    #[must_use]
    pub fn standing(&self) -> Option<Wish> {
        let silent = |model: &&id::Model| self.work(model) <= SILENT;
        let models = self.engine.models.keys().filter(silent);
        let mut models: Vec<&id::Model> = models
            .filter(|model| (1..STANDING).contains(&self.count(model)))
            .collect();
        models.sort_by_key(|model| self.count(model));
        models.into_iter().find_map(|model| self.stand(model))
    }

    /// Runners whose models may be moved, with their places.
    fn idle(&self) -> impl Iterator<Item = (usize, &'book id::Endpoint, &'book runner::Runner)> {
        let runners = self.runners.iter().enumerate();
        let runners = runners.map(|(place, (name, runner))| (place, name, runner));
        runners.filter(|(_, _, runner)| runner.is_idle())
    }

    fn stand(&self, model: &'book id::Model) -> Option<Wish> {
        let weights = self.engine.models.get(model)?;
        let copies = self.count(model);
        let idle = self.idle();
        let options = idle.filter_map(|(place, name, runner)| {
            let (time, counted) = runner.load_time(model, weights);
            if runner.inventory.models().contains(model) || (counted && !self.store_open) {
                return None;
            }
            let free = self.free[place];
            let room = free >= weights.size.0;
            let victim = if room {
                None
            } else {
                Some(self.spare(name, runner, free, model, copies + UNEVEN)?)
            };
            let missed = victim.map_or(0.0, |victim| self.loss(victim));
            Some((missed + time.as_secs_f64() * 0.01, name, victim))
        });
        let (_, name, victim) = options.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(Wish {
            endpoint: name.clone(),
            load: model.clone(),
            victim: victim.cloned(),
        })
    }

    /// A copy at a runner that its model can do without: the others stay below what
    /// would ask for a further copy.
    fn spare(
        &self,
        name: &id::Endpoint,
        runner: &'book runner::Runner,
        free: u64,
        coming: &id::Model,
        least: usize,
    ) -> Option<&'book id::Model> {
        let spared = self.fitting(runner, free, coming).filter(|model| {
            let others = self.count_elsewhere(name, model);
            let each = self.work(model) / others.max(1) as f64;
            others + 1 >= least && each < BUSY * RELIEF
        });
        spared.min_by(|left, right| self.loss(left).total_cmp(&self.loss(right)))
    }

    /// Models that need a copy, with what is lost while they wait for it.
    fn pressures(&self) -> Vec<(f64, &'book id::Model)> {
        let models = self.engine.models.keys();
        let pressed = models.filter_map(|model| {
            let work = self.demand.get(model).copied().unwrap_or_default();
            let Some(least) = self.least_load(model) else {
                // Nobody can be served. Without demand a copy on a runner's disk is near
                // enough, else the model must come back in the end.
                if work <= SILENT && self.is_stored(model) {
                    return None;
                }
                return Some((work * LOST, model));
            };
            // The next copy goes where it takes most off each copy; by the whole demand
            // alone the busiest model would get one after the other while a model with
            // a single overloaded copy waits.
            let relief = work / (self.count(model) + 1) as f64;
            (least > BUSY).then_some((relief, model))
        });
        pressed.collect()
    }

    /// Whether a runner can have a model back from its own disk within a second.
    fn is_stored(&self, model: &id::Model) -> bool {
        let mut ready = self.runners.values().filter(|runner| runner.ready);
        ready.any(|runner| runner.stored.contains(model) || runner.cached.contains(model))
    }

    fn least_load(&self, model: &id::Model) -> Option<f64> {
        let copies = self.copies.get(model)?.iter();
        copies.map(|place| self.load[*place]).reduce(f64::min)
    }

    fn place(&self, model: &'book id::Model) -> Option<Wish> {
        let weights = self.engine.models.get(model)?;
        let present = self.least_load(model);
        let idle = self.idle();
        let options = idle.filter_map(|(place, name, runner)| {
            let load = self.load[place];
            if runner.inventory.models().contains(model) {
                return None;
            }
            let (time, counted) = runner.load_time(model, weights);
            if counted && !self.store_open {
                return None;
            }
            if present.is_some_and(|present| load > present * RELIEF) {
                return None;
            }
            let free = self.free[place];
            let room = free >= weights.size.0;
            let victim = if room {
                None
            } else {
                Some(self.victim(name, runner, free, model)?)
            };
            // A second of load time weighs as much as a tenth of a runner's time, and so
            // does what the other copies of the victim have to take over.
            let missed = victim.map_or(0.0, |victim| self.loss(victim).min(MOST_MISSED));
            let cost = load + time.as_secs_f64() * 0.1 + missed;
            Some((cost, name, victim))
        });
        let best = options.min_by(|left, right| left.0.total_cmp(&right.0));
        let (_, name, victim) = best?;
        Some(Wish {
            endpoint: name.clone(),
            load: model.clone(),
            victim: victim.cloned(),
        })
    }

    /// The model at a runner whose copy is missed least, if `coming` is worth more.
    ///
    /// The last copy of a model goes only if nobody asked for it of late and the runner
    /// keeps it on its disk, from where it is back within a second. Half of all models
    /// are asked for by nobody at a time; each copy of them that is kept is one that a
    /// model lacks whose callers are refused.
    fn victim(
        &self,
        name: &id::Endpoint,
        runner: &'book runner::Runner,
        free: u64,
        coming: &id::Model,
    ) -> Option<&'book id::Model> {
        let gain = self.gain(coming);
        let fitting = self.fitting(runner, free, coming).filter(|model| {
            let returns = runner.stored.contains(*model) && self.work(model) < IDLE;
            returns || self.count_elsewhere(name, model) > 0
        });
        let cheapest = fitting.min_by(|left, right| self.loss(left).total_cmp(&self.loss(right)));
        cheapest.filter(|model| self.loss(model) < gain * WORTH)
    }

    /// Models at a runner of which any makes room enough for the one that comes.
    fn fitting(
        &self,
        runner: &'book runner::Runner,
        free: u64,
        coming: &id::Model,
    ) -> impl Iterator<Item = &'book id::Model> {
        let coming = self.engine.models.get(coming);
        let needed = coming.map_or(u64::MAX, |weights| weights.size.0);
        let models = runner.inventory.models().iter();
        models.filter(move |model| free + self.engine.size(model) >= needed)
    }

    /// Confirmed copies at other runners.
    fn count_elsewhere(&self, name: &id::Endpoint, model: &id::Model) -> usize {
        let runner = self.runners.get(name);
        let here = runner.is_some_and(|runner| runner.serves(model));
        let all = self.confirmed.get(model).copied().unwrap_or_default();
        all - usize::from(here)
    }

    fn work(&self, model: &id::Model) -> f64 {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// Work that one more copy takes off each of the others.
    fn gain(&self, model: &id::Model) -> f64 {
        let work = self.work(model);
        match self.count(model) {
            0 => f64::MAX,
            copies => work / (copies * (copies + 1)) as f64,
        }
    }

    /// Work that one copy less puts on each of the others.
    fn loss(&self, model: &id::Model) -> f64 {
        let work = self.work(model);
        match self.count(model) {
            0 | 1 if work < IDLE => RETURN + work * RETURN_TIMES,
            0 | 1 => f64::MAX,
            copies => work / (copies * (copies - 1)) as f64,
        }
    }
}
