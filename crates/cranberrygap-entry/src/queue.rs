//! Requests that wait at this entry for a place at a model's engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::fairness;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Queues kept although nobody waits or runs there; the rest is forgotten.
const MAX_IDLE_QUEUES: usize = 1_024;

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

/// Either a place or the time after which one may be free.
type Decision = Result<(), duration::Span>;

/// What a request needs to be queued.
#[derive(Debug, Clone)]
pub struct Request {
    /// The model.
    pub model: id::Model,
    /// Whose request it is.
    pub workspace: id::Workspace,
    /// Share of the engines relative to other workspaces.
    pub weight: f64,
    /// Tokens that it may cost.
    pub cost: token::Count,
    /// Longest wait.
    pub max_wait: duration::Span,
    /// Requests that this entry may have at the model's engines together.
    pub capacity: usize,
    /// Requests that may wait for the model.
    pub max_waiting: usize,
}

/// A place at a model's engines, free again when dropped.
#[derive(Debug)]
pub struct Slot {
    queues: Arc<Queues>,
    model: id::Model,
}

/// A ticket in a queue; given up when the caller leaves.
struct Ticket<'queues> {
    queues: &'queues Queues,
    model: &'queues id::Model,
    number: u64,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut lines = self.queues.by_model.lock();
        let Some(line) = lines.get_mut(self.model) else {
            return;
        };
        if line.waiters.remove(&self.number).is_some() {
            line.queue.remove(self.number);
            return;
        }
        // The place was given just when the caller left. Kept, it would be lost for
        // ever, and with enough of them the model would serve nobody.
        if let Ok(Ok(())) = self.decision.try_recv() {
            line.running -= 1;
            line.grant_slots(self.queues.clock.now());
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.queues.release(&self.model);
    }
}

impl Queues {
    /// No queues yet.
    #[must_use]
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            by_model: Mutex::default(),
        }
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// The time after which the same request may fare better, as soon as it is
    /// clear that it will not be served in time.
    pub async fn acquire(self: &Arc<Self>, wish: &Request) -> Result<Slot, duration::Span> {
        let place = || Slot {
            queues: Arc::clone(self),
            model: wish.model.clone(),
        };
        let (number, decided) = match self.enqueue(wish) {
            Enqueued::Admitted => return Ok(place()),
            Enqueued::Rejected(wait) => return Err(wait),
            Enqueued::Waiting(number, decided) => (number, decided),
        };
        let mut ticket = Ticket {
            queues: self,
            model: &wish.model,
            number,
            decision: decided,
        };
        let patience = wish.max_wait.to_std();
        match tokio::time::timeout(patience, &mut ticket.decision).await {
            Ok(Ok(decision)) => decision.map(|()| place()),
            Ok(Err(_)) | Err(_) => Err(wish.max_wait),
        }
    }

    fn enqueue(&self, wish: &Request) -> Enqueued {
        let now = self.clock.now();
        let mut lines = self.by_model.lock();
        if lines.len() >= MAX_IDLE_QUEUES {
            lines.retain(|_, line| line.running > 0 || !line.queue.is_empty());
        }
        let line = lines
            .entry(wish.model.clone())
            .or_insert_with(ModelQueue::new);
        line.capacity = wish.capacity;
        line.queue.set_capacity(wish.max_waiting);
        line.last_ticket += 1;
        let number = line.last_ticket;
        let request = fairness::Request {
            ticket: number,
            workspace: wish.workspace.clone(),
            weight: wish.weight,
            cost: wish.cost,
            deadline: now.after(wish.max_wait),
        };
        let (sender, decided) = oneshot::channel();
        if let Some(refused) = line.queue.push(now, request) {
            if refused.ticket == number {
                return Enqueued::Rejected(refused.retry_after);
            }
            if let Some(waiter) = line.waiters.remove(&refused.ticket) {
                // Whoever has left meanwhile needs no answer.
                let _gone = waiter.send(Err(refused.retry_after));
            }
        }
        line.waiters.insert(number, sender);
        line.grant_slots(now);
        if line.waiters.contains_key(&number) {
            return Enqueued::Waiting(number, decided);
        }
        Enqueued::Admitted
    }

    fn release(&self, model: &id::Model) {
        let now = self.clock.now();
        let mut lines = self.by_model.lock();
        if let Some(line) = lines.get_mut(model) {
            line.running -= 1;
            line.grant_slots(now);
        }
    }

    /// The whole state, for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let lines = self.by_model.lock();
        let busy = lines.iter().filter(|(_, line)| line.running > 0);
        let shown = busy.map(|(model, line)| {
            let state = serde_json::json!({
                "running": line.running, "capacity": line.capacity, "queue": line.queue.dump(),
            });
            (model.to_string(), state)
        });
        shown.collect::<serde_json::Map<_, _>>().into()
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

    /// Gives free places to whoever is next.
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
