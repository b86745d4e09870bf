//! One entry: its router and what waits there.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::{pending, router};
use rand::rngs::SmallRng;

use crate::measure::policy::fleet::Fleet;
use crate::measure::policy::ours::names::Names;
use crate::measure::policy::ours::tuning::Tuning;

/// An entry's routing state.
#[derive(Debug)]
pub struct Entry {
    /// Its router.
    pub router: router::Router,
    queues: BTreeMap<usize, pending::Queue>,
    served: BTreeMap<id::Workspace, f64>,
    late_after: duration::Span,
    late_fill: f64,
    crowd: f64,
    spill: f64,
    turn: usize,
}

/// A request that was sent, and the load that its endpoint was taken to have.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// The request.
    pub request: usize,
    /// Its runner.
    pub runner: usize,
    /// The endpoint's load with it.
    pub load: u32,
}

/// Time in which a missing model can be there: the store's start and its load.
const LOAD_TIME: duration::Span = duration::Span::from_secs(5);

impl Entry {
    /// An entry that knows nothing yet.
    #[must_use]
    pub fn new(tuning: &Tuning) -> Self {
        let settings = router::Settings::builder()
            .sample_size(tuning.choices)
            .prefix_weight(tuning.prefix_weight)
            .build();
        Self {
            router: router::Router::new(settings),
            queues: BTreeMap::new(),
            served: BTreeMap::new(),
            late_after: duration::Span(tuning.late_after),
            late_fill: tuning.late_fill,
            crowd: tuning.crowd,
            spill: tuning.spill,
            turn: 0,
        }
    }

    /// Takes a request in.
    pub fn push(&mut self, fleet: &Fleet, names: &Names, request: usize) {
        let asked = &fleet.requests[request];
        let workspace = &names.workspaces[asked.workspace];
        self.lift(workspace);
        let late_after = self.late_after;
        let queue = self
            .queues
            .entry(asked.item)
            .or_insert_with(|| pending::Queue::new(late_after));
        queue.push(pending::Request {
            request: name(request),
            model: names.models[asked.item].clone(),
            workspace: workspace.clone(),
            arrived: duration::Instant(asked.arrived),
            deadline: duration::Instant(asked.arrived + fleet.deployment.deadline),
        });
    }

    /// Sends what finds a seat, and refuses what no waiting can help.
    pub fn pump(
        &mut self,
        fleet: &mut Fleet,
        names: &Names,
        serving: &[Vec<id::Endpoint>],
        preferred: &[Vec<id::Endpoint>],
        rng: &mut SmallRng,
    ) -> Vec<Sent> {
        let items: Vec<usize> = self.queues.keys().copied().collect();
        self.turn += 1;
        let mut sent = Vec::new();
        for place in 0..items.len() {
            let item = items[(place + self.turn) % items.len()];
            let known = (serving[item].as_slice(), preferred[item].as_slice());
            self.pump_item(fleet, names, known, rng, item, &mut sent);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        sent
    }

    fn pump_item(
        &mut self,
        fleet: &mut Fleet,
        names: &Names,
        (serving, preferred): (&[id::Endpoint], &[id::Endpoint]),
        rng: &mut SmallRng,
        item: usize,
        sent: &mut Vec<Sent>,
    ) {
        let now = duration::Instant(fleet.now);
        let Some(queue) = self.queues.get_mut(&item) else {
            return;
        };
        for waiting in queue.expire(now) {
            fleet.refuse(number(&waiting.request));
        }
        let residency = if serving.is_empty() {
            router::Residency::Expected(LOAD_TIME)
        } else {
            router::Residency::Resident(serving)
        };
        for class in [pending::Class::Timely, pending::Class::Late] {
            while let Some(next) = queue.next(now, class, &self.served) {
                let next = next.clone();
                let request = number(&next.request);
                let asked = fleet.requests[request];
                let prompt = [u64::from(asked.prefix)];
                let fill = match class {
                    pending::Class::Timely => router::Fill::Spread(1.0),
                    pending::Class::Late if next.is_urgent(now) => router::Fill::Pack(self.crowd),
                    pending::Class::Late => router::Fill::Spread(self.late_fill),
                };
                let question = router::Request {
                    model: &next.model,
                    prompt_blocks: &prompt,
                    preferred,
                    time_left: duration::Span(fleet.left(request)),
                    fill,
                    spill_fill: if class == pending::Class::Timely {
                        self.spill
                    } else {
                        0.0
                    },
                };
                match self.router.choose(rng, &question, &residency) {
                    router::Choice::Wait => break,
                    router::Choice::Refuse { .. } => fleet.refuse(request),
                    router::Choice::Dispatch(endpoint) => {
                        self.router.record_sent(now, &endpoint);
                        let runner = names.runner(&endpoint);
                        fleet.dispatch(request, runner);
                        let cost = f64::from(asked.prompt + asked.output);
                        *self.served.entry(next.workspace.clone()).or_default() += cost;
                        let known = self.router.endpoint(&endpoint);
                        let load = known.map_or(0, |peer| peer.load.requests());
                        sent.push(Sent {
                            request,
                            runner,
                            load,
                        });
                    }
                }
                queue.remove(&next.workspace, &next.request);
            }
        }
    }

    /// A workspace that was idle must not use up what it saved meanwhile: its
    /// counter is lifted to the lowest of those that have requests waiting.
    fn lift(&mut self, workspace: &id::Workspace) {
        let lowest = self
            .served
            .iter()
            .filter(|(other, _)| *other != workspace)
            .map(|(_, served)| *served)
            .fold(f64::INFINITY, f64::min);
        let counter = self.served.entry(workspace.clone()).or_default();
        if lowest.is_finite() {
            *counter = counter.max(lowest);
        }
    }
}

fn name(request: usize) -> id::Request {
    let text = request.to_string();
    text.parse().expect("digits are a well-formed name")
}

fn number(request: &id::Request) -> usize {
    let text = request.as_str();
    text.parse().expect("the driver's requests are numbers")
}
