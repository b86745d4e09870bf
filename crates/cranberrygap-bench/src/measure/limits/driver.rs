//! Runs one demand against one scheme and counts.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, token};
use cranberrygap_policy::limits::Limit;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::soak::limits::window;

use super::demand;
use super::scheme::{Decision, Scheme};

/// Time between two losses of the leader and time without one.
const LOSS_PERIOD: duration::Span = duration::Span::from_secs(20);
const WITHOUT_LEADER: duration::Span = duration::Span::from_secs(1);

/// One run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Run {
    pub(super) seed: u64,
    pub(super) entries: usize,
    pub(super) seconds: u64,
    pub(super) shape: demand::Shape,
}

/// What was counted.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Result {
    requests: u64,
    refused: u64,
    /// Refused although one bucket for the whole fleet, charged with all that
    /// was admitted so far, held enough at that moment.
    needless: u64,
    needless_percent: f64,
    /// Tokens above rate times length plus burst in the worst window.
    overshoot: u64,
    wait_p50_ms: f64,
    wait_p99_ms: f64,
    messages_a_second: f64,
    records_a_second: f64,
}

struct Count {
    window: window::Window,
    arrivals: Vec<demand::Arrival>,
    admissions: BTreeMap<u64, u64>,
    ending: BTreeSet<(duration::Instant, u64)>,
    waits: Histogram<u64>,
    refused: u64,
    needless: u64,
    overshoot: u64,
}

/// Runs to the end of the demand.
pub(super) fn run(run: &Run, mut scheme: Box<dyn Scheme>) -> Result {
    let mut random = SmallRng::seed_from_u64(run.seed);
    let arrivals = run.shape.arrivals(run.entries, run.seconds, &mut random);
    let limit = Limit {
        rate: token::Rate(demand::RATE as f64),
        burst: token::Count(demand::BURST),
    };
    let mut count = Count {
        window: window::Window::new(duration::Instant(0), limit),
        arrivals,
        admissions: BTreeMap::new(),
        ending: BTreeSet::new(),
        waits: Histogram::new(3).expect("3 digits are a valid precision"),
        refused: 0,
        needless: 0,
        overshoot: 0,
    };
    let mut changes = leader_changes(run);
    let mut position = 0;
    loop {
        let arrival = count.arrivals.get(position).map(|arrival| arrival.at);
        let ending = count.ending.first().map(|(at, _)| *at);
        let change = changes.first().map(|(at, _)| *at);
        let Some(at) = arrival else { break };
        let at = [ending, change, scheme.next()]
            .into_iter()
            .flatten()
            .fold(at, Ord::min);
        scheme.advance(at);
        if change == Some(at) {
            let (_, leads) = changes.remove(0);
            scheme.lead(at, leads);
        } else if ending == Some(at) {
            count.end(at, scheme.as_mut());
        } else if arrival == Some(at) {
            let request = &count.arrivals[position];
            let cost = token::Count(request.cost);
            scheme.arrive(at, request.entry, position as u64, cost);
            position += 1;
        }
        for (request, decision) in scheme.decisions() {
            count.decide(at, request, decision);
        }
    }
    count.result(run, scheme.costs())
}

fn leader_changes(run: &Run) -> Vec<(duration::Instant, bool)> {
    if !run.shape.loses_leader() {
        return Vec::new();
    }
    let losses = (1..=run.seconds / 20).map(|number| duration::Instant(LOSS_PERIOD.0 * number));
    losses
        .flat_map(|at| [(at, false), (at.after(WITHOUT_LEADER), true)])
        .collect()
}

impl Count {
    fn end(&mut self, now: duration::Instant, scheme: &mut dyn Scheme) {
        let Some((_, request)) = self.ending.pop_first() else {
            return;
        };
        let used = token::Count(self.of(request).used);
        scheme.end(now, request, used);
        if let Some(admission) = self.admissions.remove(&request) {
            self.window.settle(admission, used);
        }
    }

    fn decide(&mut self, now: duration::Instant, request: u64, decision: Decision) {
        let arrival = *self.of(request);
        if decision == Decision::Refused {
            self.refused += 1;
            let needless = self.window.level(now) >= arrival.cost;
            self.needless += u64::from(needless);
            return;
        }
        let (admission, excess) = self.window.admit(now, token::Count(arrival.cost));
        self.overshoot = self.overshoot.max(excess.saturating_sub(demand::BURST));
        self.admissions.insert(request, admission);
        self.ending.insert((now.after(arrival.runs), request));
        self.waits.saturating_record(now.since(arrival.at).0);
    }

    fn of(&self, request: u64) -> &demand::Arrival {
        let index = usize::try_from(request).expect("positions fit");
        &self.arrivals[index]
    }

    fn result(&self, run: &Run, (messages, records): (u64, u64)) -> Result {
        let requests = self.arrivals.len() as u64;
        let millis = |quantile| self.waits.value_at_quantile(quantile) as f64 / 1e3;
        Result {
            requests,
            refused: self.refused,
            needless: self.needless,
            needless_percent: self.needless as f64 * 100.0 / requests as f64,
            overshoot: self.overshoot,
            wait_p50_ms: millis(0.5),
            wait_p99_ms: millis(0.99),
            messages_a_second: messages as f64 / run.seconds as f64,
            records_a_second: records as f64 / run.seconds as f64,
        }
    }
}
