//! Moves of whole models: begun by the plan, carried out step by step.

use cranberrygap_model::{duration, id};
use cranberrygap_wire::view;

use super::{Output, Planner, REPEAT_AFTER, RETIRE_AFTER};
use crate::residency::order;
use crate::residency::rebalance;
use crate::residency::runner;

/// Least time between two plans. A plan looks at each model at each runner, while reports
/// and wishes for adapters come hundreds of times a second.
const PLAN_PERIOD: duration::Span = duration::Span::from_millis(90);

/// Least time between two looks for demand that may come, which is not urgent.
const PREPARE_PERIOD: duration::Span = duration::Span::from_millis(500);

/// Moves that one look may begin; the next look sees what they change.
const MOVES_A_LOOK: usize = 6;

/// Time for which demand must have been seen before copies are moved for demand that may
/// come: until then a model that is asked for now and then looks like a silent one.
const WATCH: duration::Span = duration::Span::from_secs(5);

/// Moves for demand that may come which go on at once. Each takes a runner's room for
/// the time of an unload and a load; a shift of demand needs other runners meanwhile.
const STANDING_MOVES: usize = 3;

impl Planner {
    /// Begins the moves that are worth their cost, once in a period.
    pub(super) fn plan(&mut self, now: duration::Instant) {
        if !is_due(self.planned, now, PLAN_PERIOD) {
            return;
        }
        self.planned = Some(now);
        self.plans += 1;
        for _move in 0..MOVES_A_LOOK {
            let at_once = self.engine.loads_at_once();
            let open = self.ceiling.is_open(now) && self.loading_from_store() < at_once;
            let draft = rebalance::Draft::new(&self.engine, &self.runners, &self.demand, open);
            let Some(wish) = draft.next() else {
                break;
            };
            self.begin(now, wish);
        }
        self.prepare(now);
    }

    /// Begins a move that makes ready for demand that may move.
    fn prepare(&mut self, now: duration::Instant) {
        let watched = self.asked.is_some_and(|since| now.since(since) >= WATCH);
        let moving = self.runners.values();
        let moving = moving.filter(|runner| runner.moving.is_some()).count();
        let due = is_due(self.prepared, now, PREPARE_PERIOD);
        if !watched || moving >= STANDING_MOVES || !due {
            return;
        }
        self.prepared = Some(now);
        let full = self.ceiling.is_full(now);
        let draft = rebalance::Draft::new(&self.engine, &self.runners, &self.demand, full);
        if let Some(wish) = draft.standing() {
            self.begin(now, wish);
        }
    }

    fn begin(&mut self, now: duration::Instant, wish: rebalance::Wish) {
        let weights = self.engine.models.get(&wish.load).copied();
        let Some(runner) = self.runners.get_mut(&wish.endpoint) else {
            return;
        };
        let counted = weights.is_some_and(|weights| runner.load_time(&wish.load, &weights).1);
        // Counted when the load is decided on: it begins within a second or two, and
        // another move must not count on the same one meanwhile.
        if counted {
            self.ceiling.take(now);
        }
        runner.moving = Some(match wish.victim {
            Some(victim) => runner::Move::Retiring {
                victim,
                load: Some(wish.load),
                told: None,
            },
            None => runner::Move::Loading(wish.load),
        });
        self.changed.insert(wish.endpoint);
    }

    /// The entries know what a runner is about to drop.
    ///
    /// Only word of the model that goes now counts: an earlier one may come after the move
    /// was begun.
    pub fn confirm_residency(&mut self, now: duration::Instant, word: &view::Residency) {
        let runner = self.runners.get_mut(&word.endpoint);
        let moving = runner.and_then(|runner| runner.moving.as_mut());
        if let Some(runner::Move::Retiring { victim, told, .. }) = moving
            && word.retiring.contains(victim)
        {
            told.get_or_insert(now);
        }
    }

    /// Sends what is due next at each runner.
    pub(super) fn advance(&mut self, now: duration::Instant, outputs: &mut Vec<Output>) {
        let names: Vec<id::Endpoint> = self.runners.keys().cloned().collect();
        for name in names {
            if let Some(order) = self.repeat(now, &name) {
                outputs.push(Output::Send(order));
                continue;
            }
            let Some(action) = self.next_action(now, &name) else {
                continue;
            };
            if self.meets_stray(now, &name, &action) {
                continue;
            }
            let number = self.next_number();
            let Some(runner) = self.runners.get_mut(&name) else {
                continue;
            };
            let Some(expect) = runner.inventory.count() else {
                continue;
            };
            let order = order::Order {
                number,
                endpoint: name,
                boot: runner.boot,
                address: runner.address,
                expected_count: expect,
                action,
            };
            runner.sent = Some(runner::Sent {
                order: order.clone(),
                at: now,
                after: runner.sequence,
                repeated: false,
            });
            self.goes_out(now, &order);
            outputs.push(Output::Send(order));
        }
    }

    /// The order without an answer, when it is time to send it again.
    fn repeat(&mut self, now: duration::Instant, name: &id::Endpoint) -> Option<order::Order> {
        let runner = self.runners.get_mut(name)?;
        let ready = runner.ready;
        let sent = runner.sent.as_mut()?;
        if !ready || now < sent.at.after(REPEAT_AFTER) {
            return None;
        }
        // A plan that came since may leave no room for it. The copies that were sent fitted
        // when they were, and whether one was accepted only the runner can say.
        if !self.engine.fits(&runner.inventory, &sent.order.action) {
            runner.sent = None;
            runner.moving = None;
            runner.inventory.forget_count();
            self.changed.insert(name.clone());
            return None;
        }
        sent.at = now;
        sent.repeated = true;
        Some(sent.order.clone())
    }

    fn next_action(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
    ) -> Option<order::Action> {
        let runner = self.runners.get_mut(name)?;
        if runner.sent.is_some() || runner.inventory.count().is_none() || !runner.ready {
            return None;
        }
        // A runner carries out one order at a time. It turns down any other until a
        // model has come or its streams have ended, and asked in vain it would have
        // to report before it gets the next one: one sees runners without orders for
        // seconds after their moves.
        if runner.carried.is_some() {
            return None;
        }
        match &runner.moving {
            Some(runner::Move::Retiring {
                victim,
                load,
                told: Some(told),
            }) if now >= told.after(RETIRE_AFTER) => {
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
                return self.checked_load(name, model);
            }
            _ => {}
        }
        self.next_adapter(now, name)
    }

    /// The load, if it fits into what the runner certainly has; else it is dropped.
    fn checked_load(&mut self, name: &id::Endpoint, model: id::Model) -> Option<order::Action> {
        let runner = self.runners.get_mut(name)?;
        let load = order::Action::Load(model);
        if !self.engine.fits(&runner.inventory, &load) {
            runner.moving = None;
            self.changed.insert(name.clone());
            return None;
        }
        Some(load)
    }
}

fn is_due(last: Option<duration::Instant>, now: duration::Instant, period: duration::Span) -> bool {
    last.is_none_or(|last| now >= last.after(period))
}
