//! Baseline: each entry has an equal part of rate and burst for itself.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, token};

use super::demand;
use super::scheme::{Decision, Scheme};

/// An ordinary token bucket.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: duration::Instant,
}

impl Bucket {
    pub(super) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: duration::Instant(0),
        }
    }

    pub(super) fn take(&mut self, now: duration::Instant, cost: u64) -> bool {
        self.fill(now);
        let admits = self.level >= cost as f64;
        if admits {
            self.level -= cost as f64;
        }
        admits
    }

    pub(super) fn refund(&mut self, now: duration::Instant, tokens: u64) {
        self.fill(now);
        self.level = (self.level + tokens as f64).min(self.burst);
    }

    fn fill(&mut self, now: duration::Instant) {
        let gained = self.rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
    }
}

pub(super) struct Split {
    buckets: Vec<Bucket>,
    running: BTreeMap<u64, (usize, u64)>,
    decisions: Vec<(u64, Decision)>,
}

impl Split {
    pub(super) fn new(entries: usize) -> Self {
        let parts = entries as f64;
        let bucket = Bucket::new(demand::RATE as f64 / parts, demand::BURST as f64 / parts);
        Self {
            buckets: vec![bucket; entries],
            running: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }
}

impl Scheme for Split {
    fn name(&self) -> &'static str {
        "static split"
    }

    fn arrive(&mut self, now: duration::Instant, entry: usize, request: u64, cost: token::Count) {
        let admitted = self.buckets[entry].take(now, cost.0);
        if admitted {
            self.running.insert(request, (entry, cost.0));
        }
        let decision = if admitted {
            Decision::Admitted
        } else {
            Decision::Refused
        };
        self.decisions.push((request, decision));
    }

    fn end(&mut self, now: duration::Instant, request: u64, used: token::Count) {
        if let Some((entry, cost)) = self.running.remove(&request) {
            self.buckets[entry].refund(now, cost - used.0);
        }
    }

    fn lead(&mut self, _now: duration::Instant, _leads: bool) {}

    fn next(&self) -> Option<duration::Instant> {
        None
    }

    fn advance(&mut self, _now: duration::Instant) {}

    fn decisions(&mut self) -> Vec<(u64, Decision)> {
        std::mem::take(&mut self.decisions)
    }

    fn costs(&self) -> (u64, u64) {
        (0, 0)
    }
}
