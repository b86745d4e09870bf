//! A part of a core, and what it was spent on.

use std::collections::BTreeMap;

use serde::Serialize;

/// What a process spends its time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Calls for tokens: reading, deciding, answering.
    Renewal,
    /// Commits that renewals wait for.
    Commit,
    /// Entries' confirmations and leases.
    Confirmation,
    /// Silence of entries and endpoints.
    Silence,
    /// Messages between replicas, beside those of commits that renewals wait for.
    Protocol,
    /// Commands of the log.
    Apply,
    /// Where models and adapters go.
    Placement,
    /// Adapters that entries ask for.
    Want,
    /// What no other kind of work tells.
    Rest,
    /// Requests of callers.
    Request,
}

/// A part of a core that takes one piece of work after the other.
#[derive(Debug, Clone)]
pub struct Processor {
    /// Thousandths of a core.
    part: u64,
    busy_until: u64,
    /// Processor time by kind, in microseconds of a whole core.
    spent: BTreeMap<Work, u64>,
}

impl Processor {
    /// One that has so many thousandths of a core.
    #[must_use]
    pub const fn new(part: u64) -> Self {
        Self {
            part,
            busy_until: 0,
            spent: BTreeMap::new(),
        }
    }

    /// Takes a piece of work at `now`; gives when it is done.
    pub fn take(&mut self, now: u64, work: Work, micros: u64) -> u64 {
        const WHOLE: u64 = 1_000;
        *self.spent.entry(work).or_default() += micros;
        self.busy_until = self.busy_until.max(now) + micros * WHOLE / self.part;
        self.busy_until
    }

    /// Work that is not done yet, as time from `now`.
    #[must_use]
    pub const fn behind(&self, now: u64) -> u64 {
        self.busy_until.saturating_sub(now)
    }

    /// Processor time by kind, in microseconds.
    #[must_use]
    pub const fn spent(&self) -> &BTreeMap<Work, u64> {
        &self.spent
    }
}
