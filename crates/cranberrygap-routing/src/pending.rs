//! Requests that wait at an entry for a slot or a load.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id};

/// One waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub request: id::Request,
    /// The model or adapter.
    pub model: id::Model,
    /// The workspace that sent it.
    pub workspace: id::Workspace,
    /// When it arrived.
    pub arrived: duration::Instant,
    /// When its caller gives up.
    pub deadline: duration::Instant,
}

/// Whether a request's first token can still arrive in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It can.
    Timely,
    /// It no longer can.
    Late,
}

impl Request {
    /// Whether the request should run even in a batch too large for the latency targets.
    ///
    /// That is so once a third of the time until its deadline has passed. Under overload
    /// late requests would wait behind all timely ones until their deadline, and be
    /// refused although their workspace is within its rate. A third of the time leaves
    /// the rest for a slow answer.
    #[must_use]
    pub fn is_urgent(&self, now: duration::Instant) -> bool {
        let whole = self.deadline.since(self.arrived);
        now.since(self.arrived).0 > whole.0 / URGENT_DIVISOR
    }
}

/// Divisor of the time until the deadline after which a request is urgent.
const URGENT_DIVISOR: u64 = 3;

/// Waiting requests of one model, fair among workspaces.
///
/// A request whose first token can still arrive in time goes before those that are late
/// already. First come, first served would do the opposite: after a burst every request
/// would be a little late, and none would be in time.
#[derive(Debug, Clone)]
pub struct Queue {
    first_token: duration::Span,
    workspaces: BTreeMap<id::Workspace, WorkspaceQueue>,
    earliest: duration::Instant,
}

/// Waiting requests of one workspace, by class and in order of arrival.
#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
    timely: VecDeque<Request>,
    late: VecDeque<Request>,
}

const NEVER: duration::Instant = duration::Instant(u64::MAX);

impl Queue {
    /// Creates a queue for a target time to the first token.
    #[must_use]
    pub fn new(first_token: duration::Span) -> Self {
        Self {
            first_token,
            workspaces: BTreeMap::new(),
            earliest: NEVER,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        self.earliest = self.earliest.min(request.deadline);
        let queue = self
            .workspaces
            .entry(request.workspace.clone())
            .or_default();
        queue.timely.push_back(request);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workspaces.values().map(WorkspaceQueue::len).sum()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes out all requests whose deadline has passed. Their final answer is due at
    /// once.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<Request> {
        if now < self.earliest {
            return Vec::new();
        }
        let mut expired = Vec::new();
        let mut earliest = NEVER;
        for queue in self.workspaces.values_mut() {
            for class_queue in [&mut queue.timely, &mut queue.late] {
                let all = std::mem::take(class_queue);
                let (due, kept): (VecDeque<_>, VecDeque<_>) =
                    all.into_iter().partition(|waiting| waiting.deadline <= now);
                expired.extend(due);
                let first = kept.iter().map(|waiting| waiting.deadline).min();
                earliest = earliest.min(first.unwrap_or(NEVER));
                *class_queue = kept;
            }
        }
        self.earliest = earliest;
        expired
    }

    /// The next request of a class.
    ///
    /// `served` is the virtual token counter of each workspace; the least served goes
    /// first.
    pub fn next(
        &mut self,
        now: duration::Instant,
        class: Class,
        served: &BTreeMap<id::Workspace, f64>,
    ) -> Option<&Request> {
        for queue in self.workspaces.values_mut() {
            queue.move_late_requests(now, self.first_token);
        }
        let served_tokens =
            |waiting: &&Request| served.get(&waiting.workspace).copied().unwrap_or_default();
        let fronts = self
            .workspaces
            .values()
            .filter_map(|queue| queue.front(class));
        fronts.min_by(|a, b| served_tokens(a).total_cmp(&served_tokens(b)))
    }

    /// Removes a request that was sent or cancelled.
    pub fn remove(&mut self, workspace: &id::Workspace, request: &id::Request) -> Option<Request> {
        let queue = self.workspaces.get_mut(workspace)?;
        let waiting = queue.remove(request)?;
        if queue.len() == 0 {
            self.workspaces.remove(workspace);
        }
        Some(waiting)
    }
}

impl WorkspaceQueue {
    fn front(&self, class: Class) -> Option<&Request> {
        match class {
            Class::Timely => self.timely.front(),
            Class::Late => self.late.front(),
        }
    }

    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Moves the requests to the late class whose first token can no longer arrive in
    /// time.
    fn move_late_requests(&mut self, now: duration::Instant, first_token: duration::Span) {
        while let Some(first) = self.timely.front() {
            if now.since(first.arrived) < first_token {
                return;
            }
            self.late.extend(self.timely.pop_front());
        }
    }

    fn remove(&mut self, request: &id::Request) -> Option<Request> {
        for class_queue in [&mut self.timely, &mut self.late] {
            let position = class_queue
                .iter()
                .position(|waiting| waiting.request == *request);
            if let Some(position) = position {
                return class_queue.remove(position);
            }
        }
        None
    }
}
