//! Requests that wait at this entry for a place at a model's engines.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::fairness;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Queues kept although nobody waits or runs there; the rest is forgotten.
const MOST_IDLE: usize = 1_024;

/// The queues of one entry, one for each model.
#[derive(Debug)]
pub struct Queues {
    clock: clock::Clock,
    lines: Mutex<BTreeMap<id::Model, Line>>,
}

#[derive(Debug)]
struct Line {
    queue: fairness::Queue,
    waiters: BTreeMap<u64, oneshot::Sender<Decision>>,
    running: usize,
    capacity: usize,
    next: u64,
}

/// Either a place or the time after which one may be free.
type Decision = Result<(), duration::Span>;

/// What a request needs to be queued.
#[derive(Debug, Clone)]
pub struct Wish {
    /// The model.
    pub model: id::Model,
    /// Whose request it is.
    pub workspace: id::Workspace,
    /// Share of the engines relative to other workspaces.
    pub weight: f64,
    /// Tokens that it may cost.
    pub cost: token::Count,
    /// Longest wait.
    pub patience: duration::Span,
    /// Requests that this entry may have at the model's engines together.
    pub capacity: usize,
    /// Requests that may wait for the model.
    pub length: usize,
}

/// A place at a model's engines, free again when dropped.
#[derive(Debug)]
pub struct Place {
    queues: Arc<Queues>,
    model: id::Model,
}

/// A ticket in a queue; given up when the caller leaves.
struct Ticket<'queues> {
    queues: &'queues Queues,
    model: &'queues id::Model,
    number: u64,
    decided: oneshot::Receiver<Decision>,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let mut lines = self.queues.lines.lock();
        let Some(line) = lines.get_mut(self.model) else {
            return;
        };
        if line.waiters.remove(&self.number).is_some() {
            line.queue.remove(self.number);
            return;
        }
        // The place was given just when the caller left. Kept, it would be lost for
        // ever, and with enough of them the model would serve nobody.
        if let Ok(Ok(())) = self.decided.try_recv() {
            line.running -= 1;
            line.serve(self.queues.clock.now());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queues.free(&self.model);
    }
}

impl Queues {
    /// No queues yet.
    #[must_use]
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            lines: Mutex::default(),
        }
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// The time after which the same request may fare better, as soon as it is
    /// clear that it will not be served in time.
    pub async fn enter(self: &Arc<Self>, wish: &Wish) -> Result<Place, duration::Span> {
        let place = || Place {
            queues: Arc::clone(self),
            model: wish.model.clone(),
        };
        let (number, decided) = match self.join(wish) {
            Joined::Placed => return Ok(place()),
            Joined::Refused(wait) => return Err(wait),
            Joined::Waits(number, decided) => (number, decided),
        };
        let mut ticket = Ticket {
            queues: self,
            model: &wish.model,
            number,
            decided,
        };
        let patience = wish.patience.to_std();
        match tokio::time::timeout(patience, &mut ticket.decided).await {
            Ok(Ok(decision)) => decision.map(|()| place()),
            Ok(Err(_)) | Err(_) => Err(wish.patience),
        }
    }

    fn join(&self, wish: &Wish) -> Joined {
        let now = self.clock.now();
        let mut lines = self.lines.lock();
        if lines.len() >= MOST_IDLE {
            lines.retain(|_, line| line.running > 0 || !line.queue.is_empty());
        }
        let line = lines.entry(wish.model.clone()).or_insert_with(Line::new);
        line.capacity = wish.capacity;
        line.queue.set_capacity(wish.length);
        line.next += 1;
        let number = line.next;
        let request = fairness::Request {
            ticket: number,
            workspace: wish.workspace.clone(),
            weight: wish.weight,
            cost: wish.cost,
            deadline: now.after(wish.patience),
        };
        let (sender, decided) = oneshot::channel();
        if let Some(refused) = line.queue.push(now, request) {
            if refused.ticket == number {
                return Joined::Refused(refused.retry_after);
            }
            if let Some(waiter) = line.waiters.remove(&refused.ticket) {
                // Whoever has left meanwhile needs no answer.
                let _gone = waiter.send(Err(refused.retry_after));
            }
        }
        line.waiters.insert(number, sender);
        line.serve(now);
        if line.waiters.contains_key(&number) {
            return Joined::Waits(number, decided);
        }
        Joined::Placed
    }

    fn free(&self, model: &id::Model) {
        let now = self.clock.now();
        let mut lines = self.lines.lock();
        if let Some(line) = lines.get_mut(model) {
            line.running -= 1;
            line.serve(now);
        }
    }

    /// The whole state, for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let lines = self.lines.lock();
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

enum Joined {
    Placed,
    Refused(duration::Span),
    Waits(u64, oneshot::Receiver<Decision>),
}

impl Line {
    fn new() -> Self {
        Self {
            queue: fairness::Queue::new(1),
            waiters: BTreeMap::new(),
            running: 0,
            capacity: 0,
            next: 0,
        }
    }

    /// Gives free places to whoever is next.
    fn serve(&mut self, now: duration::Instant) {
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
