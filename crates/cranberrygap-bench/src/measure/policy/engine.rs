//! One model runner: continuous batching, KV memory, prefix cache.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use cranberrygap_model::{id, number};
use cranberrygap_wire::endpoint;

use crate::measure::policy::demand::Request;
use crate::measure::policy::deployment::Item;

/// Fixed part of a step, in microseconds.
const STEP: f64 = 4_000.0;
/// Part of a step for each GiB of weights of a model with running requests.
const WEIGHTS: f64 = 60.0;
/// Part of a step for each request that decodes.
const DECODE: f64 = 300.0;
/// Part of a step for each token of a prompt.
const PREFILL: f64 = 12.0;
/// Tokens of prompts that one step takes at most.
const CHUNK: u32 = 1_024;
/// KV memory of one token, in MiB.
const TOKEN: u64 = 1;
/// Part of the memory that is kept for KV cache, in percent.
pub const KV_RESERVE: u64 = 20;
const PERCENT: u64 = 100;
/// Requests that an engine runs at once at most.
const MOST_RUNNING: usize = 256;
/// Tokens of shared prefixes that are kept cached at most.
const CACHE: u32 = 20_000;
const MIB_IN_GIB: f64 = 1_024.0;

/// A request that has a place in the batch or waits for one.
#[derive(Debug, Clone, Copy)]
struct Job {
    request: usize,
    model: usize,
    left: u32,
    output: u32,
    kv: u64,
}

/// What a step brought.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests whose first token came.
    pub first: Vec<usize>,
    /// Requests that ended.
    pub ended: Vec<usize>,
}

/// A runner's engine and memory.
#[derive(Debug)]
pub struct Engine {
    /// Whether the process runs.
    pub alive: bool,
    /// Rises with each restart.
    pub boot: u64,
    /// Rises with each change of the resident list.
    pub residency: u64,
    /// Items in memory.
    pub resident: BTreeSet<usize>,
    /// Items being loaded.
    pub loading: BTreeSet<usize>,
    /// Items that go as soon as no request uses them.
    pub draining: BTreeSet<usize>,
    /// When each item was last used.
    pub used: BTreeMap<usize, u64>,
    /// Whether a step is under way.
    pub stepping: bool,
    memory: u64,
    weights: u64,
    kv: u64,
    waiting: VecDeque<Job>,
    prefill: VecDeque<Job>,
    finishing: BinaryHeap<Reverse<(u64, usize)>>,
    running: BTreeMap<usize, Job>,
    by_item: BTreeMap<usize, u32>,
    active: BTreeMap<usize, u32>,
    arriving: Vec<usize>,
    steps: u64,
    cache: VecDeque<(usize, u32, u32)>,
    events: VecDeque<CacheChange>,
    last_event: u64,
}

/// A change of the prefix cache.
#[derive(Debug, Clone, Copy)]
struct CacheChange {
    sequence: u64,
    item: usize,
    prefix: u32,
    stored: bool,
}

/// Changes that an engine keeps for those that ask late; older ones are lost.
const KEPT_EVENTS: usize = 2_000;

impl Engine {
    /// An engine with empty memory.
    #[must_use]
    pub fn new(memory: u64) -> Self {
        Self {
            alive: true,
            boot: 1,
            residency: 1,
            resident: BTreeSet::new(),
            loading: BTreeSet::new(),
            draining: BTreeSet::new(),
            used: BTreeMap::new(),
            stepping: false,
            memory,
            weights: 0,
            kv: 0,
            waiting: VecDeque::new(),
            prefill: VecDeque::new(),
            finishing: BinaryHeap::new(),
            running: BTreeMap::new(),
            by_item: BTreeMap::new(),
            active: BTreeMap::new(),
            arriving: Vec::new(),
            steps: 0,
            cache: VecDeque::new(),
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Requests in the batch and in the queue.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests in the batch.
    #[must_use]
    pub fn batch(&self) -> usize {
        self.running.len()
    }

    /// Whether any request here uses the item.
    #[must_use]
    pub fn uses(&self, item: usize) -> bool {
        self.by_item.contains_key(&item)
    }

    /// Memory that weights take, those being loaded included.
    #[must_use]
    pub fn weights(&self) -> u64 {
        self.weights
    }

    /// Memory for weights beside the KV reserve.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.room().saturating_sub(self.weights)
    }

    fn room(&self) -> u64 {
        self.memory - self.memory / PERCENT * KV_RESERVE
    }

    /// Takes memory for an item that is being loaded.
    ///
    /// # Panics
    ///
    /// When memory would be overcommitted; no policy may do that.
    pub fn reserve(&mut self, item: usize, size: u64) {
        assert!(self.weights + size <= self.room(), "memory overcommitted");
        self.weights += size;
        self.loading.insert(item);
    }

    /// An item's load ended.
    pub fn loaded(&mut self, item: usize) {
        self.loading.remove(&item);
        self.resident.insert(item);
        self.residency += 1;
    }

    /// Gives back an item's memory.
    pub fn drop_item(&mut self, item: usize, size: u64) {
        if self.resident.remove(&item) {
            self.weights -= size;
            self.residency += 1;
        }
        self.draining.remove(&item);
        self.used.remove(&item);
    }

    /// Takes a request; it waits here for a place in the batch.
    pub fn take(&mut self, now: u64, number: usize, request: &Request, items: &[Item]) {
        let model = items[request.item].base;
        let hit = self.cached(request);
        self.used.insert(request.item, now);
        self.used.insert(model, now);
        *self.by_item.entry(request.item).or_default() += 1;
        if request.item != model {
            *self.by_item.entry(model).or_default() += 1;
        }
        self.waiting.push_back(Job {
            request: number,
            model,
            left: request.prompt - hit,
            output: request.output,
            kv: u64::from(request.prompt + request.output) * TOKEN,
        });
    }

    /// Tokens of a request's prompt that are cached.
    #[must_use]
    pub fn cached(&self, request: &Request) -> u32 {
        let key = (request.item, request.prefix);
        let found = self.cache.iter().find(|entry| (entry.0, entry.1) == key);
        found.map_or(0, |entry| entry.2.min(request.shared))
    }

    /// Starts a step; gives its time, or nothing where there is no work.
    pub fn start(&mut self, items: &[Item]) -> Option<u64> {
        self.admit();
        if self.running.is_empty() {
            self.stepping = false;
            return None;
        }
        self.stepping = true;
        let mut budget = CHUNK;
        while budget > 0 {
            let Some(job) = self.prefill.front_mut() else {
                break;
            };
            let part = job.left.min(budget);
            job.left -= part;
            budget -= part;
            if job.left > 0 {
                break;
            }
            if let Some(job) = self.prefill.pop_front() {
                self.arriving.push(job.request);
            }
        }
        let gib: f64 = self
            .active
            .keys()
            .map(|model| items[*model].size as f64 / MIB_IN_GIB)
            .sum();
        let tokens = f64::from(CHUNK - budget);
        let decoding = self.finishing.len() as f64;
        let time = STEP + WEIGHTS * gib + DECODE * decoding + PREFILL * tokens;
        Some(whole(time))
    }

    /// Ends the step under way.
    pub fn finish(&mut self) -> Progress {
        self.steps += 1;
        let mut progress = Progress::default();
        while let Some(Reverse((step, request))) = self.finishing.peek().copied() {
            if step > self.steps {
                break;
            }
            self.finishing.pop();
            progress.ended.push(request);
        }
        for request in std::mem::take(&mut self.arriving) {
            let output = self.running.get(&request).map_or(1, |job| job.output);
            let last = self.steps + u64::from(output.saturating_sub(1).max(1));
            self.finishing.push(Reverse((last, request)));
            progress.first.push(request);
        }
        for request in &progress.ended {
            self.release(*request);
        }
        progress
    }

    /// Notes a shared prefix as cached after a request's prompt was computed.
    pub fn remember(&mut self, request: &Request) {
        let key = (request.item, request.prefix);
        let before = self.cache.len();
        self.cache.retain(|entry| (entry.0, entry.1) != key);
        if self.cache.len() == before {
            self.note(key.0, key.1, true);
        }
        self.cache.push_back((key.0, key.1, request.shared));
        let mut total: u32 = self.cache.iter().map(|entry| entry.2).sum();
        while total > CACHE {
            let Some(oldest) = self.cache.pop_front() else {
                break;
            };
            total -= oldest.2;
            self.note(oldest.0, oldest.1, false);
        }
    }

    /// Cache events after a sequence number, and the last number.
    #[must_use]
    pub fn events_since(
        &self,
        since: u64,
        names: &[id::Model],
    ) -> (Vec<endpoint::CacheEvent>, number::Sequence) {
        let first = self.events.partition_point(|event| event.sequence <= since);
        let events = self.events.range(first..).map(|event| {
            let sequence = number::Sequence(event.sequence);
            let model = names[event.item].clone();
            let block = u64::from(event.prefix);
            if event.stored {
                endpoint::CacheEvent::Stored {
                    block,
                    model,
                    sequence,
                }
            } else {
                endpoint::CacheEvent::Removed {
                    block,
                    model,
                    sequence,
                }
            }
        });
        (events.collect(), number::Sequence(self.last_event))
    }

    fn note(&mut self, item: usize, prefix: u32, stored: bool) {
        self.last_event += 1;
        self.events.push_back(CacheChange {
            sequence: self.last_event,
            item,
            prefix,
            stored,
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Counts one request less for an item.
    pub fn release_item(&mut self, request: &Request, items: &[Item]) {
        let model = items[request.item].base;
        lower(&mut self.by_item, request.item);
        if request.item != model {
            lower(&mut self.by_item, model);
        }
    }

    /// The process dies; gives the requests that were on it.
    pub fn crash(&mut self) -> Vec<usize> {
        let running = self.running.keys().copied();
        let lost = running.chain(self.waiting.iter().map(|job| job.request));
        let lost = lost.collect();
        let memory = self.memory;
        let boot = self.boot;
        *self = Self::new(memory);
        self.alive = false;
        self.boot = boot + 1;
        lost
    }

    /// Takes out requests of the queue for which `gone` holds.
    pub fn expire(&mut self, gone: impl Fn(usize) -> bool) -> Vec<usize> {
        let expired: Vec<usize> = self
            .waiting
            .iter()
            .map(|job| job.request)
            .filter(|request| gone(*request))
            .collect();
        self.waiting.retain(|job| !expired.contains(&job.request));
        expired
    }

    fn admit(&mut self) {
        let room = self.memory / PERCENT * KV_RESERVE;
        while let Some(job) = self.waiting.front().copied() {
            let fits = self.kv + job.kv <= room && self.running.len() < MOST_RUNNING;
            if !fits && !self.running.is_empty() {
                return;
            }
            self.waiting.pop_front();
            self.kv += job.kv;
            *self.active.entry(job.model).or_default() += 1;
            self.running.insert(job.request, job);
            self.prefill.push_back(job);
        }
    }

    fn release(&mut self, request: usize) {
        if let Some(job) = self.running.remove(&request) {
            self.kv -= job.kv;
            lower(&mut self.active, job.model);
        }
    }
}

fn lower(counts: &mut BTreeMap<usize, u32>, key: usize) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a step's time is positive and short"
)]
fn whole(time: f64) -> u64 {
    time as u64
}
