//! Fair queueing of several workspaces' requests for one group of endpoints.
//!
//! Implements virtual token counters (Sheng et al., OSDI 2024): each workspace has a counter
//! of the tokens it was served, divided by its weight, and the next request comes from the
//! workspace with the lowest counter. A workspace at several times its rate waits behind its
//! own requests, not in front of those of other workspaces.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, token};
use serde::Serialize;

mod throughput;

use throughput::Throughput;

/// Counter units per token at weight 1: counters hold thousandths of a token divided by the weight.
const COUNTER_UNITS_PER_TOKEN: f64 = 1_000.0;

/// Shortest retry time that a refused caller gets.
const MIN_RETRY_AFTER: duration::Span = duration::Span::from_millis(100);

/// A request in the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifier that the queue's user chose; unique in the queue.
    pub ticket: u64,
    /// Workspace that sent the request.
    pub workspace: id::Workspace,
    /// Weight of the workspace relative to other workspaces.
    pub weight: f64,
    /// Most tokens that the request may cost.
    pub cost: token::Count,
    /// Time by which the request must leave the queue.
    pub deadline: duration::Instant,
}

/// A request that the queue refuses or drops, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Ticket of the refused request.
    pub ticket: u64,
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: duration::Span,
}

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue is full and the workspace already has its part of it.
    Full,
    /// The expected wait exceeds the request's deadline.
    #[serde(rename = "hopeless")]
    DeadlineUnreachable,
    /// The deadline passed while the request was in the queue.
    #[serde(rename = "late")]
    DeadlinePassed,
}

/// Queue of the requests that wait for one group of endpoints.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    waiting: BTreeMap<id::Workspace, VecDeque<Request>>,
    counters: BTreeMap<id::Workspace, u64>,
    waiting_count: usize,
    /// Lowest counter that a workspace may return with after an idle time.
    min_counter: u64,
    throughput: Throughput,
}

/// State of a queue, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Number of waiting requests of each workspace.
    pub waiting: BTreeMap<id::Workspace, usize>,
    /// Counter of each workspace, in thousandths of a token.
    pub counters: BTreeMap<id::Workspace, u64>,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` requests.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            waiting: BTreeMap::new(),
            counters: BTreeMap::new(),
            waiting_count: 0,
            min_counter: 0,
            throughput: Throughput::default(),
        }
    }

    /// Sets the most requests that the queue holds.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// Adds a request; returns the request that is refused for it, which may be the same one.
    pub fn push(&mut self, now: duration::Instant, request: Request) -> Option<Refusal> {
        let wait = self.expected_wait(&request);
        if now.after(wait) > request.deadline {
            return Some(refusal(&request, Reason::DeadlineUnreachable, wait));
        }
        self.raise_counter(&request.workspace);
        let refused = if self.waiting_count >= self.capacity {
            let refused = self.evict_newest(&request, wait);
            if refused.ticket == request.ticket {
                return Some(refused);
            }
            Some(refused)
        } else {
            None
        };
        self.waiting_count += 1;
        self.waiting
            .entry(request.workspace.clone())
            .or_default()
            .push_back(request);
        refused
    }

    /// Removes and returns the next request to send, and charges its workspace for it.
    pub fn pop(&mut self, now: duration::Instant) -> Option<Request> {
        let next = self.next_workspace()?;
        let requests = self.waiting.get_mut(&next)?;
        let request = requests.pop_front()?;
        if requests.is_empty() {
            self.waiting.remove(&next);
        }
        self.waiting_count -= 1;
        let counter = self.counters.entry(next).or_default();
        self.min_counter = self.min_counter.max(*counter);
        *counter = counter.saturating_add(charge(request.cost, request.weight));
        self.throughput.record(now, request.cost);
        Some(request)
    }

    /// Corrects the charge of a request that cost `used` tokens instead of `cost`.
    pub fn correct_charge(&mut self, request: &Request, used: token::Count) {
        let Some(counter) = self.counters.get_mut(&request.workspace) else {
            return;
        };
        let charged = charge(request.cost, request.weight);
        let actual = charge(used, request.weight);
        *counter = counter.saturating_sub(charged).saturating_add(actual);
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<Refusal> {
        let mut refused = Vec::new();
        let throughput = &self.throughput;
        for requests in self.waiting.values_mut() {
            let queued = requests.iter().map(|request| request.cost.0).sum();
            let wait = throughput.time_for(token::Count(queued));
            requests.retain(|request| {
                let is_expired = now >= request.deadline;
                if is_expired {
                    refused.push(refusal(request, Reason::DeadlinePassed, wait));
                }
                !is_expired
            });
        }
        self.waiting.retain(|_, requests| !requests.is_empty());
        self.waiting_count -= refused.len();
        refused
    }

    /// Removes the request of a caller that left; returns false if it is not in the queue.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.waiting_count;
        for requests in self.waiting.values_mut() {
            let length = requests.len();
            requests.retain(|request| request.ticket != ticket);
            self.waiting_count -= length - requests.len();
        }
        self.waiting.retain(|_, requests| !requests.is_empty());
        self.waiting_count < before
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting_count
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting_count == 0
    }

    /// Returns the earliest deadline of all waiting requests.
    #[must_use]
    pub fn next_deadline(&self) -> Option<duration::Instant> {
        let requests = self.waiting.values().flatten();
        requests.map(|request| request.deadline).min()
    }

    /// Returns the state of the queue, for a dump.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let waiting = self.waiting.iter();
        Dump {
            waiting: waiting
                .map(|(name, requests)| (name.clone(), requests.len()))
                .collect(),
            counters: self.counters.clone(),
        }
    }

    fn next_workspace(&self) -> Option<id::Workspace> {
        let waiting = self.waiting.keys();
        let lowest = waiting.min_by_key(|name| self.counters.get(*name).copied().unwrap_or(0));
        lowest.cloned()
    }

    /// Raises the counter of a workspace that returns from an idle time.
    ///
    /// Without this, a workspace that was idle for an hour would be the only one served until
    /// its counter had caught up, and all others would wait.
    fn raise_counter(&mut self, workspace: &id::Workspace) {
        if self.waiting.contains_key(workspace) {
            return;
        }
        let counters = &self.counters;
        let counter_of = |name: &id::Workspace| counters.get(name).copied().unwrap_or(0);
        let lowest = self
            .waiting
            .keys()
            .map(counter_of)
            .min()
            .unwrap_or(self.min_counter);
        let counter = self.counters.entry(workspace.clone()).or_default();
        *counter = (*counter).max(lowest);
        self.drop_idle_counters();
    }

    /// Drops counters that `raise_counter` would raise anyway.
    ///
    /// No state stays behind for workspaces that are gone.
    fn drop_idle_counters(&mut self) {
        let (waiting, min_counter) = (&self.waiting, self.min_counter);
        if waiting.is_empty() {
            self.counters.retain(|_, counter| *counter >= min_counter);
        }
    }

    /// Refuses the newest request of the workspace with the most requests in the queue.
    ///
    /// If the arriving request were always the one refused, one workspace could fill the
    /// queue and keep the others out, whatever the counters say.
    fn evict_newest(&mut self, request: &Request, wait: duration::Span) -> Refusal {
        let own_count = self
            .waiting
            .get(&request.workspace)
            .map_or(0, VecDeque::len);
        let longest = self
            .waiting
            .iter()
            .max_by_key(|(_, requests)| requests.len());
        let longest = longest.map(|(name, requests)| (name.clone(), requests.len()));
        let Some((name, length)) = longest else {
            return refusal(request, Reason::Full, wait);
        };
        if length <= own_count + 1 {
            return refusal(request, Reason::Full, wait);
        }
        let newest = self.waiting.get_mut(&name).and_then(VecDeque::pop_back);
        match newest {
            Some(newest) => {
                self.waiting_count -= 1;
                let wait = self.expected_wait(&newest);
                refusal(&newest, Reason::Full, wait)
            }
            None => refusal(request, Reason::Full, wait),
        }
    }

    /// Returns the time until a request that arrives now would be sent, at the recent throughput.
    ///
    /// The requests ahead of it are its workspace's own and, of each other workspace, as many
    /// as the counters let through first.
    fn expected_wait(&self, request: &Request) -> duration::Span {
        let own_requests = self.waiting.get(&request.workspace);
        let own_cost: u64 =
            own_requests.map_or(0, |requests| requests.iter().map(|r| r.cost.0).sum());
        let normalized_cost =
            (own_cost + request.cost.0) as f64 / request.weight.max(f64::MIN_POSITIVE);
        let mut ahead = own_cost;
        for (name, requests) in &self.waiting {
            if *name == request.workspace {
                continue;
            }
            let queued: u64 = requests.iter().map(|r| r.cost.0).sum();
            let weight = requests.front().map_or(1.0, |r| r.weight);
            ahead += queued.min(round_to_u64(normalized_cost * weight));
        }
        self.throughput.time_for(token::Count(ahead))
    }
}

fn refusal(request: &Request, reason: Reason, wait: duration::Span) -> Refusal {
    Refusal {
        ticket: request.ticket,
        reason,
        retry_after: wait.max(MIN_RETRY_AFTER),
    }
}

fn charge(cost: token::Count, weight: f64) -> u64 {
    round_to_u64(cost.0 as f64 * COUNTER_UNITS_PER_TOKEN / weight.max(0.01))
}

fn round_to_u64(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the float is not negative and the conversion saturates"
    )]
    let whole = value.max(0.0).round() as u64;
    whole
}
