//! Requests that wait at an entry for a seat or a load.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id};

/// One waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub request: id::Request,
    /// The model or adapter.
    pub model: id::Model,
    /// Who asks.
    pub workspace: id::Workspace,
    /// When it came.
    pub arrived: duration::Instant,
    /// When its caller gives up.
    pub deadline: duration::Instant,
}

/// Whether a request's first token can still come in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// It can.
    Timely,
    /// It can no longer.
    Late,
}

impl Request {
    /// Whether so much of the time until its deadline is gone that it should
    /// run even where that makes a batch too large for the latency targets.
    ///
    /// Under overload late requests would wait behind all timely ones until
    /// their deadline, and be refused although their workspace is within its
    /// rate. A third of the time leaves the rest for a slow answer.
    #[must_use]
    pub fn is_urgent(&self, now: duration::Instant) -> bool {
        let whole = self.deadline.since(self.arrived);
        now.since(self.arrived).0 > whole.0 / URGENT_PART
    }
}

/// Part of the time until the deadline after which a request is urgent.
const URGENT_PART: u64 = 3;

/// Waiting requests of one model, fair among workspaces.
///
/// A request whose first token can still come in time goes before those that
/// are late already. First come, first served would do the contrary: after a
/// burst every request would be a little late, and none would attain.
#[derive(Debug, Clone)]
pub struct Queue {
    first_token: duration::Span,
    lines: BTreeMap<id::Workspace, Line>,
    earliest: duration::Instant,
}

/// Waiting requests of one workspace, each part in order of arrival.
#[derive(Debug, Clone, Default)]
struct Line {
    timely: VecDeque<Request>,
    late: VecDeque<Request>,
}

const NEVER: duration::Instant = duration::Instant(u64::MAX);

impl Queue {
    /// A queue for a target time to the first token.
    #[must_use]
    pub fn new(first_token: duration::Span) -> Self {
        Self {
            first_token,
            lines: BTreeMap::new(),
            earliest: NEVER,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Request) {
        self.earliest = self.earliest.min(waiting.deadline);
        let line = self.lines.entry(waiting.workspace.clone()).or_default();
        line.timely.push_back(waiting);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.values().map(Line::len).sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes out all whose deadline has come; their final answer is due at once.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<Request> {
        if now < self.earliest {
            return Vec::new();
        }
        let mut expired = Vec::new();
        let mut earliest = NEVER;
        for line in self.lines.values_mut() {
            for part in [&mut line.timely, &mut line.late] {
                let all = std::mem::take(part);
                let (gone, kept): (VecDeque<_>, VecDeque<_>) =
                    all.into_iter().partition(|waiting| waiting.deadline <= now);
                expired.extend(gone);
                let first = kept.iter().map(|waiting| waiting.deadline).min();
                earliest = earliest.min(first.unwrap_or(NEVER));
                *part = kept;
            }
        }
        self.earliest = earliest;
        expired
    }

    /// The next request of a class.
    ///
    /// `served` is each workspace's virtual token counter: least served first.
    pub fn next(
        &mut self,
        now: duration::Instant,
        class: Class,
        served: &BTreeMap<id::Workspace, f64>,
    ) -> Option<&Request> {
        for line in self.lines.values_mut() {
            line.age(now, self.first_token);
        }
        let of = |waiting: &&Request| served.get(&waiting.workspace).copied().unwrap_or_default();
        let fronts = self.lines.values().filter_map(|line| line.front(class));
        fronts.min_by(|a, b| of(a).total_cmp(&of(b)))
    }

    /// Removes a request that was sent or cancelled.
    pub fn remove(&mut self, workspace: &id::Workspace, request: &id::Request) -> Option<Request> {
        let line = self.lines.get_mut(workspace)?;
        let waiting = line.remove(request)?;
        if line.len() == 0 {
            self.lines.remove(workspace);
        }
        Some(waiting)
    }
}

impl Line {
    fn front(&self, class: Class) -> Option<&Request> {
        match class {
            Class::Timely => self.timely.front(),
            Class::Late => self.late.front(),
        }
    }

    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Moves those whose first token can no longer come in time.
    fn age(&mut self, now: duration::Instant, first_token: duration::Span) {
        while let Some(first) = self.timely.front() {
            if now.since(first.arrived) < first_token {
                return;
            }
            self.late.extend(self.timely.pop_front());
        }
    }

    fn remove(&mut self, request: &id::Request) -> Option<Request> {
        for part in [&mut self.timely, &mut self.late] {
            let position = part.iter().position(|waiting| waiting.request == *request);
            if let Some(position) = position {
                return part.remove(position);
            }
        }
        None
    }
}
