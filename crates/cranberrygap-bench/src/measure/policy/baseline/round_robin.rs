//! Round robin over a static placement.

use crate::measure::policy::baseline::{LOOK_EVERY, Parked};
use crate::measure::policy::fleet::{Event, Fleet, Policy};

/// Takes turns among the runners that have the model. The placement follows
/// the demand at the start and stays; a runner that comes back loads what it
/// had before.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turns: Vec<usize>,
    placed: Vec<Vec<usize>>,
    parked: Parked,
}

impl RoundRobin {
    fn route(&mut self, fleet: &mut Fleet, request: usize) {
        let item = fleet.requests[request].item;
        let runners = 0..fleet.engines.len();
        let serving: Vec<usize> = runners.filter(|r| fleet.serves(*r, item)).collect();
        if serving.is_empty() {
            self.parked.push(request);
            return;
        }
        let turn = &mut self.turns[item];
        *turn += 1;
        fleet.dispatch(request, serving[*turn % serving.len()]);
    }

    fn start(&mut self, fleet: &mut Fleet) {
        self.turns = vec![0; fleet.items.len()];
        let engines = fleet.engines.iter();
        self.placed = engines
            .map(|engine| engine.resident.iter().copied().collect())
            .collect();
    }
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round robin, static placement"
    }

    fn step(&mut self, fleet: &mut Fleet, event: Event) {
        match event {
            Event::Arrived(request) | Event::Lost { request, .. } => self.route(fleet, request),
            Event::Returned(runner) => {
                for item in self.placed[runner].clone() {
                    fleet.load(runner, item);
                }
            }
            Event::Wake(_) => {
                if self.turns.is_empty() {
                    self.start(fleet);
                }
                for request in self.parked.take(fleet) {
                    self.route(fleet, request);
                }
                fleet.wake(LOOK_EVERY, 1);
            }
            _ => {}
        }
    }
}
