//! Order in which requests of several workspaces reach a group of endpoints.
//!
//! Virtual token counters (Sheng et al., OSDI 2024): each workspace has a
//! counter of the tokens that it was served, divided by its weight; the next
//! request comes from the workspace with the lowest one. A workspace at several
//! times its rate waits behind its own requests and not before others'.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, token};
use serde::Serialize;

mod pace;

use pace::Pace;

/// Counters are kept in thousandths of a token over the weight.
const SCALE: f64 = 1_000.0;

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: duration::Span = duration::Span::from_millis(100);

/// One waiting request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The caller's handle; unique in the queue.
    pub ticket: u64,
    /// Whose request it is.
    pub workspace: id::Workspace,
    /// Share of the endpoints relative to other workspaces.
    pub weight: f64,
    /// Tokens that it may cost.
    pub cost: token::Count,
    /// When its wait must be over.
    pub deadline: duration::Instant,
}

/// Why a request does not wait, or no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub ticket: u64,
    /// Why.
    pub reason: Reason,
    /// After this time it may fare better.
    pub retry_after: duration::Span,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The queue is full and its workspace has its part of it.
    Full,
    /// It would not be served before its deadline.
    Hopeless,
    /// Its deadline passed.
    Late,
}

/// Requests that wait for one group of endpoints.
#[derive(Debug)]
pub struct Queue {
    length: usize,
    waiting: BTreeMap<id::Workspace, VecDeque<Request>>,
    counters: BTreeMap<id::Workspace, u64>,
    count: usize,
    /// Lowest counter that a workspace may come back with.
    floor: u64,
    pace: Pace,
}

/// State of a queue for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Waiting requests of each workspace.
    pub waiting: BTreeMap<id::Workspace, usize>,
    /// Counter of each workspace in thousandths of a token.
    pub counters: BTreeMap<id::Workspace, u64>,
}

impl Queue {
    /// An empty queue for at most `length` requests.
    #[must_use]
    pub fn new(length: usize) -> Self {
        Self {
            length: length.max(1),
            waiting: BTreeMap::new(),
            counters: BTreeMap::new(),
            count: 0,
            floor: 0,
            pace: Pace::default(),
        }
    }

    /// Changes the bound of the queue.
    pub fn set_capacity(&mut self, length: usize) {
        self.length = length.max(1);
    }

    /// Takes a request; gives back who is refused for it, which may be itself.
    pub fn push(&mut self, now: duration::Instant, request: Request) -> Option<Refusal> {
        let wait = self.expected_wait(&request);
        if now.after(wait) > request.deadline {
            return Some(refusal(&request, Reason::Hopeless, wait));
        }
        self.lift(&request.workspace);
        let refused = if self.count >= self.length {
            let refused = self.make_room(&request, wait);
            if refused.ticket == request.ticket {
                return Some(refused);
            }
            Some(refused)
        } else {
            None
        };
        self.count += 1;
        self.waiting
            .entry(request.workspace.clone())
            .or_default()
            .push_back(request);
        refused
    }

    /// The next request to send, and charges its workspace for it.
    pub fn pop(&mut self, now: duration::Instant) -> Option<Request> {
        let next = self.next_workspace()?;
        let line = self.waiting.get_mut(&next)?;
        let request = line.pop_front()?;
        if line.is_empty() {
            self.waiting.remove(&next);
        }
        self.count -= 1;
        let counter = self.counters.entry(next).or_default();
        self.floor = self.floor.max(*counter);
        *counter = counter.saturating_add(charge(request.cost, request.weight));
        self.pace.served(now, request.cost);
        Some(request)
    }

    /// Corrects the charge of a request that cost `used` instead of `cost`.
    pub fn correct_charge(&mut self, request: &Request, used: token::Count) {
        let Some(counter) = self.counters.get_mut(&request.workspace) else {
            return;
        };
        let charged = charge(request.cost, request.weight);
        let right = charge(used, request.weight);
        *counter = counter.saturating_sub(charged).saturating_add(right);
    }

    /// Takes out all requests whose deadline has passed.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<Refusal> {
        let mut refused = Vec::new();
        let pace = &self.pace;
        for line in self.waiting.values_mut() {
            let queued = line.iter().map(|request| request.cost.0).sum();
            let wait = pace.time_for(token::Count(queued));
            line.retain(|request| {
                let late = now >= request.deadline;
                if late {
                    refused.push(refusal(request, Reason::Late, wait));
                }
                !late
            });
        }
        self.waiting.retain(|_, line| !line.is_empty());
        self.count -= refused.len();
        refused
    }

    /// Takes out a request whose caller has left; false if it is not there.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.count;
        for line in self.waiting.values_mut() {
            let length = line.len();
            line.retain(|request| request.ticket != ticket);
            self.count -= length - line.len();
        }
        self.waiting.retain(|_, line| !line.is_empty());
        self.count < before
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether nobody waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// When the next deadline passes.
    #[must_use]
    pub fn next_deadline(&self) -> Option<duration::Instant> {
        let requests = self.waiting.values().flatten();
        requests.map(|request| request.deadline).min()
    }

    /// The whole state, for a dump.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let lengths = self.waiting.iter();
        Dump {
            waiting: lengths
                .map(|(name, line)| (name.clone(), line.len()))
                .collect(),
            counters: self.counters.clone(),
        }
    }

    fn next_workspace(&self) -> Option<id::Workspace> {
        let waiting = self.waiting.keys();
        let lowest = waiting.min_by_key(|name| self.counters.get(*name).copied().unwrap_or(0));
        lowest.cloned()
    }

    /// Lifts the counter of a workspace that comes back from idleness.
    ///
    /// Without it, a workspace that rested for an hour would be served alone until
    /// it had caught up, and everybody else would wait.
    fn lift(&mut self, workspace: &id::Workspace) {
        if self.waiting.contains_key(workspace) {
            return;
        }
        let counters = &self.counters;
        let of = |name: &id::Workspace| counters.get(name).copied().unwrap_or(0);
        let lowest = self.waiting.keys().map(of).min().unwrap_or(self.floor);
        let counter = self.counters.entry(workspace.clone()).or_default();
        *counter = (*counter).max(lowest);
        self.forget();
    }

    /// Forgets counters that lifting would raise anyway, so that workspaces that
    /// are gone leave nothing behind.
    fn forget(&mut self) {
        let (waiting, floor) = (&self.waiting, self.floor);
        if waiting.is_empty() {
            self.counters.retain(|_, counter| *counter >= floor);
        }
    }

    /// Refuses the newest request of the workspace with the most in the queue.
    ///
    /// If the newcomer were always refused, one workspace could fill the queue and
    /// keep the others out of it, whatever the counters say.
    fn make_room(&mut self, request: &Request, wait: duration::Span) -> Refusal {
        let own = self
            .waiting
            .get(&request.workspace)
            .map_or(0, VecDeque::len);
        let longest = self.waiting.iter().max_by_key(|(_, line)| line.len());
        let longest = longest.map(|(name, line)| (name.clone(), line.len()));
        let Some((name, length)) = longest else {
            return refusal(request, Reason::Full, wait);
        };
        if length <= own + 1 {
            return refusal(request, Reason::Full, wait);
        }
        let newest = self.waiting.get_mut(&name).and_then(VecDeque::pop_back);
        match newest {
            Some(newest) => {
                self.count -= 1;
                let wait = self.expected_wait(&newest);
                refusal(&newest, Reason::Full, wait)
            }
            None => refusal(request, Reason::Full, wait),
        }
    }

    /// Time until a request that came now would be sent, by the recent pace: its
    /// workspace's queue and as much of each other one as goes before it.
    fn expected_wait(&self, request: &Request) -> duration::Span {
        let own = self.waiting.get(&request.workspace);
        let own: u64 = own.map_or(0, |line| line.iter().map(|r| r.cost.0).sum());
        let reach = (own + request.cost.0) as f64 / request.weight.max(f64::MIN_POSITIVE);
        let mut ahead = own;
        for (name, line) in &self.waiting {
            if *name == request.workspace {
                continue;
            }
            let queued: u64 = line.iter().map(|r| r.cost.0).sum();
            let weight = line.front().map_or(1.0, |r| r.weight);
            ahead += queued.min(whole(reach * weight));
        }
        self.pace.time_for(token::Count(ahead))
    }
}

fn refusal(request: &Request, reason: Reason, wait: duration::Span) -> Refusal {
    Refusal {
        ticket: request.ticket,
        reason,
        retry_after: wait.max(LEAST_RETRY),
    }
}

fn charge(cost: token::Count, weight: f64) -> u64 {
    whole(cost.0 as f64 * SCALE / weight.max(0.01))
}

fn whole(value: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the float is not negative and the conversion saturates"
    )]
    let whole = value.max(0.0).round() as u64;
    whole
}
