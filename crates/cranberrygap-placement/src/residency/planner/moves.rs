//! Moves of whole models: begun by the planner, executed step by step.

use cranberrygap_model::{duration, id};
use cranberrygap_wire::view;

use super::{Output, Planner, RESEND_AFTER, UNLOAD_DELAY};
use crate::residency::order;
use crate::residency::rebalance;
use crate::residency::runner;

/// Minimum time between two plans. A plan considers each model at each runner, while
/// reports and adapter requests arrive hundreds of times per second.
const PLAN_PERIOD: duration::Span = duration::Span::from_millis(90);

/// Minimum time between two plans for each runner, which bounds a plan's share of the processor
/// in a large fleet.
const PLAN_PERIOD_PER_RUNNER: duration::Span = duration::Span(2_000);

/// Minimum time between two plans of standby copies, which are not urgent.
const STANDBY_PERIOD: duration::Span = duration::Span::from_millis(500);

/// Maximum number of moves that one plan begins; the next plan sees their effect.
const MAX_MOVES_PER_PLAN: usize = 6;

/// Time for which demand must have been observed before standby copies are placed. Until
/// then a model with occasional requests looks like a silent one.
const DEMAND_WARMUP: duration::Span = duration::Span::from_secs(5);

/// Maximum number of concurrent standby moves. Each takes a runner's memory for the time
/// of an unload and a load; a shift of demand needs other runners meanwhile.
const MAX_STANDBY_MOVES: usize = 3;

impl Planner {
    /// Begins the moves that are worth their cost, at most once per period.
    pub(super) fn plan_moves(&mut self, now: duration::Instant) {
        let by_runners = duration::Span(PLAN_PERIOD_PER_RUNNER.0 * self.runners.len() as u64);
        if !is_due(self.planned_at, now, PLAN_PERIOD.max(by_runners)) {
            return;
        }
        self.planned_at = Some(now);
        self.plan_count += 1;
        for _move in 0..MAX_MOVES_PER_PLAN {
            let max_store_loads = self.engine.concurrent_loads();
            let store_available =
                self.load_bucket.has_token(now) && self.count_store_loads() < max_store_loads;
            let rebalancer = rebalance::Rebalancer::new(
                &self.engine,
                &self.runners,
                &self.demand,
                store_available,
            );
            let Some(placement) = rebalancer.next_placement() else {
                break;
            };
            self.begin_move(now, placement);
        }
        self.plan_standby_move(now);
    }

    /// Begins a move that places a standby copy for future demand.
    fn plan_standby_move(&mut self, now: duration::Instant) {
        let warmed_up = self
            .demand_since
            .is_some_and(|since| now.since(since) >= DEMAND_WARMUP);
        let moving = self.runners.values();
        let moving = moving.filter(|runner| runner.moving.is_some()).count();
        let due = is_due(self.standby_planned_at, now, STANDBY_PERIOD);
        if !warmed_up || moving >= MAX_STANDBY_MOVES || !due {
            return;
        }
        self.standby_planned_at = Some(now);
        let bucket_full = self.load_bucket.is_full(now);
        let rebalancer =
            rebalance::Rebalancer::new(&self.engine, &self.runners, &self.demand, bucket_full);
        if let Some(placement) = rebalancer.standby_placement() {
            self.begin_move(now, placement);
        }
    }

    fn begin_move(&mut self, now: duration::Instant, placement: rebalance::Placement) {
        let weights = self.engine.models.get(&placement.load).copied();
        let Some(runner) = self.runners.get_mut(&placement.endpoint) else {
            return;
        };
        let from_store =
            weights.is_some_and(|weights| runner.load_time(&placement.load, &weights).1);
        // The token is taken when the load is decided: it starts within a second or two,
        // and another move must not count on the same token meanwhile.
        if from_store {
            self.load_bucket.take(now);
        }
        runner.moving = Some(match placement.evict {
            Some(victim) => runner::Move::Retiring {
                victim,
                load: Some(placement.load),
                told: None,
            },
            None => runner::Move::Loading(placement.load),
        });
        self.unpublished.insert(placement.endpoint);
    }

    /// Records that the entries know a runner's retiring models.
    ///
    /// Only a residency that names the current outgoing model counts: an earlier one may
    /// be committed after the move began.
    pub fn confirm_residency(&mut self, now: duration::Instant, residency: &view::Residency) {
        let runner = self.runners.get_mut(&residency.endpoint);
        let moving = runner.and_then(|runner| runner.moving.as_mut());
        if let Some(runner::Move::Retiring { victim, told, .. }) = moving
            && residency.retiring.contains(victim)
        {
            told.get_or_insert(now);
        }
    }

    /// Sends the next due order of each runner.
    pub(super) fn send_due_orders(&mut self, now: duration::Instant, outputs: &mut Vec<Output>) {
        let names: Vec<id::Endpoint> = self.runners.keys().cloned().collect();
        for name in names {
            if let Some(order) = self.resend_due(now, &name) {
                outputs.push(Output::Send(order));
                continue;
            }
            let Some(action) = self.next_action(now, &name) else {
                continue;
            };
            if self.exposes_to_stale_load(now, &name, &action) {
                continue;
            }
            let number = self.next_order_number();
            let Some(runner) = self.runners.get_mut(&name) else {
                continue;
            };
            let Some(expected_count) = runner.inventory.accepted_count() else {
                continue;
            };
            let order = order::Order {
                number,
                endpoint: name,
                boot: runner.boot,
                address: runner.address,
                expected_count,
                action,
            };
            runner.in_flight = Some(runner::InFlight {
                order: order.clone(),
                sent_at: now,
                sequence_before: runner.sequence,
                resent: false,
            });
            self.record_outstanding_load(now, &order);
            outputs.push(Output::Send(order));
        }
    }

    /// Returns the unanswered order when it is due to be sent again.
    fn resend_due(&mut self, now: duration::Instant, name: &id::Endpoint) -> Option<order::Order> {
        let runner = self.runners.get_mut(name)?;
        let ready = runner.ready;
        let in_flight = runner.in_flight.as_mut()?;
        if !ready || now < in_flight.sent_at.after(RESEND_AFTER) {
            return None;
        }
        // A newer plan may leave no capacity for the order. The copies already sent did
        // fit when they were sent, and only the runner knows whether one was accepted.
        if !self.engine.fits(&runner.inventory, &in_flight.order.action) {
            runner.in_flight = None;
            runner.moving = None;
            runner.inventory.forget_count();
            self.unpublished.insert(name.clone());
            return None;
        }
        in_flight.sent_at = now;
        in_flight.resent = true;
        Some(in_flight.order.clone())
    }

    fn next_action(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
    ) -> Option<order::Action> {
        let runner = self.runners.get_mut(name)?;
        if runner.in_flight.is_some()
            || runner.inventory.accepted_count().is_none()
            || !runner.ready
        {
            return None;
        }
        // A runner executes one order at a time. It rejects any other until a model has
        // loaded or its streams have ended, and after such a rejection it has to report
        // before the next order, which leaves runners without orders for seconds after
        // their moves.
        if runner.execution.is_some() {
            return None;
        }
        match &runner.moving {
            Some(runner::Move::Retiring {
                victim,
                load,
                told: Some(told),
            }) if now >= told.after(UNLOAD_DELAY) => {
                let (victim, load) = (victim.clone(), load.clone());
                runner.moving = Some(runner::Move::Unloading {
                    victim: victim.clone(),
                    load,
                });
                return Some(order::Action::Unload(victim));
            }
            Some(runner::Move::Unloading { victim, .. }) => {
                return Some(order::Action::Unload(victim.clone()));
            }
            Some(runner::Move::Loading(model)) => {
                let model = model.clone();
                return self.load_if_it_fits(name, model);
            }
            _ => {}
        }
        self.next_adapter_action(now, name)
    }

    /// Returns the load if it fits into the known inventory, else cancels the move.
    fn load_if_it_fits(&mut self, name: &id::Endpoint, model: id::Model) -> Option<order::Action> {
        let runner = self.runners.get_mut(name)?;
        let load = order::Action::Load(model);
        if !self.engine.fits(&runner.inventory, &load) {
            runner.moving = None;
            self.unpublished.insert(name.clone());
            return None;
        }
        Some(load)
    }
}

fn is_due(last: Option<duration::Instant>, now: duration::Instant, period: duration::Span) -> bool {
    last.is_none_or(|last| now >= last.after(period))
}
