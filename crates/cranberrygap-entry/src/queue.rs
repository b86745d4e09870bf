//! Queues of requests that wait for a slot at a model's engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::fairness;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Number of queues at which those without waiting or running requests are removed.
const CLEANUP_THRESHOLD: usize = 1_024;

/// The queues of one entry, one for each model.
#[derive(Debug)]
pub struct Queues {
    clock: clock::Clock,
    by_model: Mutex<BTreeMap<id::Model, ModelQueue>>,
}

#[derive(Debug)]
struct ModelQueue {
    queue: fairness::Queue,
    waiters: BTreeMap<u64, oneshot::Sender<Decision>>,
    running: usize,
    capacity: usize,
    last_ticket: u64,
}

/// A granted slot, or the time after which to retry.
type Decision = Result<(), duration::Span>;

/// Request for a slot at a model's engines.
#[derive(Debug, Clone)]
pub struct Request {
    /// Model that serves the request.
    pub model: id::Model,
    /// Workspace that sent the request.
    pub workspace: id::Workspace,
    /// Weight of the workspace relative to others.
    pub weight: f64,
    /// Maximum cost in tokens.
    pub cost: token::Count,
    /// Maximum time in the queue.
    pub max_wait: duration::Span,
    /// Number of requests that this entry may run at the model's engines at once.
    pub capacity: usize,
    /// Number of requests that may wait for the model.
    pub max_waiting: usize,
}

/// Slot at a model's engines, released when dropped.
#[derive(Debug)]
pub struct Slot {
    queues: Arc<Queues>,
    model: id::Model,
}

/// Position in a queue, removed from it when dropped.
struct Ticket<'queues> {
    queues: &'queues Queues,
    model: &'queues id::Model,
    number: u64,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut by_model = self.queues.by_model.lock();
        let Some(model_queue) = by_model.get_mut(self.model) else {
            return;
        };
        if model_queue.waiters.remove(&self.number).is_some() {
            model_queue.queue.remove(self.number);
            return;
        }
        // The slot was granted while the caller disconnected. It must be released, or
        // leaked slots would add up until the model could serve no request.
        if let Ok(Ok(())) = self.decision.try_recv() {
            model_queue.running -= 1;
            model_queue.grant_slots(self.queues.clock.now());
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.queues.release(&self.model);
    }
}

impl Queues {
    /// Creates an empty set of queues.
    #[must_use]
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            by_model: Mutex::default(),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, as soon as the queue knows that it cannot
    /// serve the request in time.
    pub async fn acquire(self: &Arc<Self>, request: &Request) -> Result<Slot, duration::Span> {
        let slot = || Slot {
            queues: Arc::clone(self),
            model: request.model.clone(),
        };
        let (number, decision) = match self.enqueue(request) {
            Enqueued::Admitted => return Ok(slot()),
            Enqueued::Rejected(wait) => return Err(wait),
            Enqueued::Waiting(number, decision) => (number, decision),
        };
        let mut ticket = Ticket {
            queues: self,
            model: &request.model,
            number,
            decision,
        };
        let max_wait = request.max_wait.to_std();
        match tokio::time::timeout(max_wait, &mut ticket.decision).await {
            Ok(Ok(decision)) => decision.map(|()| slot()),
            Ok(Err(_)) | Err(_) => Err(request.max_wait),
        }
    }

    fn enqueue(&self, request: &Request) -> Enqueued {
        let now = self.clock.now();
        let mut by_model = self.by_model.lock();
        if by_model.len() >= CLEANUP_THRESHOLD {
            by_model.retain(|_, model| model.running > 0 || !model.queue.is_empty());
        }
        let model_queue = by_model
            .entry(request.model.clone())
            .or_insert_with(ModelQueue::new);
        model_queue.capacity = request.capacity;
        model_queue.queue.set_capacity(request.max_waiting);
        model_queue.last_ticket += 1;
        let number = model_queue.last_ticket;
        let queued = fairness::Request {
            ticket: number,
            workspace: request.workspace.clone(),
            weight: request.weight,
            cost: request.cost,
            deadline: now.after(request.max_wait),
        };
        let (sender, decision) = oneshot::channel();
        if let Some(refused) = model_queue.queue.push(now, queued) {
            if refused.ticket == number {
                return Enqueued::Rejected(refused.retry_after);
            }
            if let Some(waiter) = model_queue.waiters.remove(&refused.ticket) {
                // A waiter that has left needs no answer.
                let _left = waiter.send(Err(refused.retry_after));
            }
        }
        model_queue.waiters.insert(number, sender);
        model_queue.grant_slots(now);
        if model_queue.waiters.contains_key(&number) {
            return Enqueued::Waiting(number, decision);
        }
        Enqueued::Admitted
    }

    fn release(&self, model: &id::Model) {
        let now = self.clock.now();
        let mut by_model = self.by_model.lock();
        if let Some(model_queue) = by_model.get_mut(model) {
            model_queue.running -= 1;
            model_queue.grant_slots(now);
        }
    }

    /// State of the queues with running requests, for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let by_model = self.by_model.lock();
        let running = by_model.iter().filter(|(_, model)| model.running > 0);
        let states = running.map(|(name, model)| {
            let state = serde_json::json!({
                "running": model.running, "capacity": model.capacity, "queue": model.queue.dump(),
            });
            (name.to_string(), state)
        });
        states.collect::<serde_json::Map<_, _>>().into()
    }
}

enum Enqueued {
    Admitted,
    Rejected(duration::Span),
    Waiting(u64, oneshot::Receiver<Decision>),
}

impl ModelQueue {
    fn new() -> Self {
        Self {
            queue: fairness::Queue::new(1),
            waiters: BTreeMap::new(),
            running: 0,
            capacity: 0,
            last_ticket: 0,
        }
    }

    /// Grants free slots to the next waiting requests.
    fn grant_slots(&mut self, now: duration::Instant) {
        while self.running < self.capacity {
            let Some(request) = self.queue.pop(now) else {
                return;
            };
            let Some(waiter) = self.waiters.remove(&request.ticket) else {
                continue;
            };
            if waiter.is_closed() {
                continue;
            }
            self.running += 1;
            if waiter.send(Ok(())).is_err() {
                self.running -= 1;
            }
        }
    }
}
