//! Requests that wait at an entry for a seat or a load.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// One waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
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

/// Waiting requests of one model, fair among workspaces.
///
/// A request whose first token can still come in time goes before those that
/// are late already. First come, first served would do the contrary: after a
/// burst every request would be a little late, and none would attain.
#[derive(Debug, Clone)]
pub struct Queue {
    first_token: duration::Span,
    waiting: BTreeMap<id::Workspace, Vec<Waiting>>,
}

impl Queue {
    /// A queue for a target time to the first token.
    #[must_use]
    pub fn new(first_token: duration::Span) -> Self {
        Self {
            first_token,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let line = self.waiting.entry(waiting.workspace.clone()).or_default();
        line.push(waiting);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.values().map(Vec::len).sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.values().all(Vec::is_empty)
    }

    /// Takes out all whose deadline has come; their final answer is due at once.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for line in self.waiting.values_mut() {
            expired.extend(line.extract_if(.., |waiting| waiting.deadline <= now));
        }
        self.waiting.retain(|_, line| !line.is_empty());
        expired
    }

    /// The next request to send, and whether its first token can be in time.
    ///
    /// `served` is each workspace's virtual token counter: least served first.
    #[must_use]
    pub fn next(
        &self,
        now: duration::Instant,
        served: &BTreeMap<id::Workspace, f64>,
    ) -> Option<(&Waiting, bool)> {
        let of = |workspace: &id::Workspace| served.get(workspace).copied().unwrap_or_default();
        let timely = self.best(of, |waiting| !self.is_late(now, waiting));
        if let Some(waiting) = timely {
            return Some((waiting, true));
        }
        self.best(of, |_| true).map(|waiting| (waiting, false))
    }

    /// Removes a request that was sent or cancelled.
    pub fn remove(&mut self, workspace: &id::Workspace, request: &id::Request) -> Option<Waiting> {
        let line = self.waiting.get_mut(workspace)?;
        let position = line
            .iter()
            .position(|waiting| waiting.request == *request)?;
        let waiting = line.remove(position);
        if line.is_empty() {
            self.waiting.remove(workspace);
        }
        Some(waiting)
    }

    /// Whether the first token can no longer come in time.
    fn is_late(&self, now: duration::Instant, waiting: &Waiting) -> bool {
        now.since(waiting.arrived) >= self.first_token
    }

    fn best(
        &self,
        served: impl Fn(&id::Workspace) -> f64,
        eligible: impl Fn(&Waiting) -> bool,
    ) -> Option<&Waiting> {
        let firsts = self.waiting.values();
        let firsts = firsts.filter_map(|line| line.iter().find(|waiting| eligible(waiting)));
        firsts.min_by(|a, b| served(&a.workspace).total_cmp(&served(&b.workspace)))
    }
}
