//! The callers: Zipf demand that shifts tenfold each hour, bursts, one greedy workspace.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::policy::deployment::{Deployment, Item};

/// One request as its caller sends it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// When it reaches an entry, in microseconds.
    pub arrived: u64,
    /// The entry that it reaches.
    pub entry: usize,
    /// Who sends it.
    pub workspace: usize,
    /// The model or adapter.
    pub item: usize,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Number of the shared prefix, and how many of the prompt's tokens it has.
    pub prefix: u32,
    /// Tokens of the shared prefix.
    pub shared: u32,
    /// Tokens of the answer.
    pub output: u32,
}

/// Draws requests in the order of their arrival, the same for every policy.
#[derive(Debug)]
pub struct Demand {
    rng: ChaCha8Rng,
    deployment: Deployment,
    adapters: Vec<Vec<usize>>,
    orders: Vec<Vec<usize>>,
    starts: Vec<u64>,
    bursts: Vec<u64>,
    weights: Vec<f64>,
    refreshed: u64,
    now: u64,
    greedy: usize,
    buckets: Vec<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;

/// Exponent of the Zipf distribution over the models.
const ZIPF: f64 = 1.0;

/// Ranks change places with the rank ten times as far down: a tenfold change.
const SHIFT: usize = 10;

/// Time in which a shift comes about.
const RAMP: u64 = 300 * SECOND;

/// Weights are computed anew this often.
const REFRESH: u64 = SECOND;

/// Factor, length and mean distance of one model's bursts.
const BURST: f64 = 3.0;
const BURST_TIME: u64 = 20 * SECOND;
const BURST_EVERY: u64 = 600 * SECOND;

/// The greedy workspace sends this many times its rate, from and to this time.
const GREED: f64 = 4.0;
const GREEDY: std::ops::Range<u64> = 100 * 60 * SECOND..120 * 60 * SECOND;

/// Ordinary demand as a part of a workspace's rate; operators promise about
/// what the fleet can serve.
const ORDINARY: f64 = 0.8;

/// Seconds of the rate that a workspace may send at once.
const BURST_SECONDS: f64 = 20.0;

/// Part of the requests for a model that name one of its adapters.
const ADAPTED: f64 = 0.5;

const MEAN_PROMPT: f64 = 350.0;
const MEAN_OUTPUT: f64 = 120.0;
const LONGEST: f64 = 1_000.0;

/// Shared prefixes (system prompts) of each workspace and model.
const PREFIXES: u32 = 4;

impl Demand {
    /// The demand of one seed.
    #[must_use]
    pub fn new(deployment: &Deployment, items: &[Item], hours: u64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let models = deployment.models;
        let mut adapters = vec![Vec::new(); models];
        for (number, item) in items.iter().enumerate().skip(models) {
            adapters[item.base].push(number);
        }
        let mut order: Vec<usize> = (0..models).collect();
        order.shuffle(&mut rng);
        let mut orders = vec![order];
        let mut starts = vec![0];
        for hour in 0..hours {
            let last = orders[orders.len() - 1].clone();
            orders.push(shifted(last, &mut rng));
            starts.push(hour * HOUR + rng.random_range(HOUR / 6..HOUR / 2));
        }
        let tokens = deployment.requests_per_second * (MEAN_PROMPT + MEAN_OUTPUT);
        let bucket = |share: &f64| {
            let rate = tokens * share / ORDINARY;
            Bucket {
                rate,
                burst: rate * BURST_SECONDS,
                level: rate * BURST_SECONDS,
                at: 0,
            }
        };
        Self {
            greedy: rng.random_range(0..deployment.workspaces.len()),
            buckets: deployment.workspaces.iter().map(bucket).collect(),
            bursts: vec![0; models],
            weights: vec![0.0; models],
            refreshed: u64::MAX,
            now: 0,
            deployment: deployment.clone(),
            adapters,
            orders,
            starts,
            rng,
        }
    }

    /// The next request that is within its workspace's rate; others are refused
    /// before any policy sees them, for all policies alike.
    pub fn draw_admitted(&mut self) -> Request {
        loop {
            let request = self.draw();
            let bucket = &mut self.buckets[request.workspace];
            let cost = f64::from(request.prompt + request.output);
            if bucket.takes(request.arrived, cost) {
                return request;
            }
        }
    }

    /// Demand for each base model at the start, as parts of one.
    #[must_use]
    pub fn first_weights(&self) -> Vec<f64> {
        let total: f64 = (1..=self.deployment.models).map(zipf).sum();
        let mut weights = vec![0.0; self.deployment.models];
        for (rank, model) in self.orders[0].iter().enumerate() {
            weights[*model] = zipf(rank + 1) / total;
        }
        weights
    }

    fn draw(&mut self) -> Request {
        if self.refreshed == u64::MAX || self.now >= self.refreshed + REFRESH {
            self.refresh();
        }
        let shares = self.shares();
        let factor: f64 = shares.iter().sum();
        let pressure: f64 = self.weights.iter().sum();
        let rate = self.deployment.requests_per_second * factor * pressure;
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        self.now += micros(gap);
        let workspace = pick(&mut self.rng, &shares);
        let model = self.model(workspace);
        let item = self.item(model);
        let prompt = self.length(MEAN_PROMPT).max(16);
        let prefix = self.rng.random_range(0..PREFIXES);
        Request {
            arrived: self.now,
            entry: self.rng.random_range(0..self.deployment.entries),
            workspace,
            item,
            prompt,
            prefix: u32::try_from(workspace).unwrap_or_default() * PREFIXES + prefix,
            shared: prompt / 2,
            output: self.length(MEAN_OUTPUT).max(2),
        }
    }

    fn shares(&self) -> Vec<f64> {
        let mut shares = self.deployment.workspaces.to_vec();
        if GREEDY.contains(&self.now) {
            shares[self.greedy] *= GREED / ORDINARY;
        }
        shares
    }

    /// A model by its weight; the rivals' favourites differ by a rotation for
    /// a third of the requests.
    fn model(&mut self, workspace: usize) -> usize {
        let model = pick(&mut self.rng, &self.weights);
        if self.rng.random_range(0..3) > 0 {
            return model;
        }
        (model + workspace) % self.deployment.models
    }

    fn item(&mut self, model: usize) -> usize {
        let adapters = &self.adapters[model];
        if adapters.is_empty() || self.rng.random::<f64>() > ADAPTED {
            return model;
        }
        adapters[self.rng.random_range(0..adapters.len())]
    }

    fn length(&mut self, mean: f64) -> u32 {
        let drawn = -self.rng.random::<f64>().max(1e-12).ln() * mean;
        u32::try_from(micros(drawn.min(LONGEST) / SECOND as f64)).unwrap_or_default()
    }

    fn refresh(&mut self) {
        self.refreshed = self.now;
        let models = self.deployment.models;
        let total: f64 = (1..=models).map(zipf).sum();
        let mut weights = vec![0.0; models];
        for (order, start) in self.orders.iter().zip(&self.starts) {
            let part = ramp(self.now, *start);
            for (rank, model) in order.iter().enumerate() {
                let aim = zipf(rank + 1) / total;
                let old = weights[*model];
                weights[*model] = old + (aim - old) * part;
            }
        }
        for (model, weight) in weights.iter_mut().enumerate() {
            let chance = REFRESH as f64 / BURST_EVERY as f64;
            if self.rng.random::<f64>() < chance {
                self.bursts[model] = self.now + BURST_TIME;
            }
            if self.bursts[model] > self.now {
                *weight *= BURST;
            }
        }
        self.weights = weights;
    }
}

impl Bucket {
    fn takes(&mut self, now: u64, cost: f64) -> bool {
        let grown = (now - self.at) as f64 / SECOND as f64 * self.rate;
        self.level = (self.level + grown).min(self.burst);
        self.at = now;
        if self.level < cost {
            return false;
        }
        self.level -= cost;
        true
    }
}

/// Each of the first ranks changes places with one about ten times further down.
fn shifted(mut order: Vec<usize>, rng: &mut ChaCha8Rng) -> Vec<usize> {
    for rank in 0..order.len() / SHIFT {
        let low = (rank + 1) * SHIFT - 1;
        let other = rng.random_range(low..(low + SHIFT).min(order.len()));
        order.swap(rank, other);
    }
    order
}

fn ramp(now: u64, start: u64) -> f64 {
    if start == 0 {
        return 1.0;
    }
    (now.saturating_sub(start) as f64 / RAMP as f64).min(1.0)
}

fn zipf(rank: usize) -> f64 {
    (rank as f64).powf(-ZIPF)
}

fn pick(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = rng.random::<f64>() * total;
    for (number, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return number;
        }
    }
    weights.len() - 1
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans drawn here are positive and short"
)]
fn micros(seconds: f64) -> u64 {
    (seconds * SECOND as f64) as u64
}
