//! Guards against stale loads, which reach a later process of the same name.
//!
//! Counts start anew with each process, and an order does not say to which process its
//! count belongs. A delayed order is accepted when the new process reaches the count that
//! it names. So a runner is not brought to that count unless what the stale order loads
//! would fit.
//!
//! A new leader does not know which loads its predecessor ordered. Until the last of them has
//! arrived, a process that may have a predecessor of its own keeps room for any load.

use cranberrygap_model::{duration, id, number};

use super::Planner;
use crate::residency::order;
use crate::residency::runner;

/// Time after which an order is no longer delivered. Delayed orders take up to twelve
/// seconds; while one may still arrive, orders that would let it be accepted wait.
const MAX_DELIVERY_TIME: duration::Span = duration::Span::from_secs(15);

/// A load order of which a copy may still be delivered.
#[derive(Debug, Clone)]
pub(super) struct OutstandingLoad {
    order: order::Order,
    sent_at: duration::Instant,
}

/// Loads of an earlier leader that may still be delivered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Inheritance {
    until: duration::Instant,
    /// Processes that started before this time, in Unix milliseconds, get none of them.
    settled_before: u64,
}

impl Inheritance {
    /// The earlier leader orders nothing after `ordered_until`.
    pub(super) const fn new(ordered_until: duration::Instant, settled_before: u64) -> Self {
        Self {
            until: ordered_until.after(MAX_DELIVERY_TIME),
            settled_before,
        }
    }
}

impl OutstandingLoad {
    /// Whether the load was ordered under this number.
    pub(super) const fn has_number(&self, number: u64) -> bool {
        self.order.number == number
    }
}

impl Planner {
    /// Records a load order that is being sent.
    pub(super) fn record_outstanding_load(&mut self, now: duration::Instant, order: &order::Order) {
        self.outstanding_loads
            .retain(|load| now.since(load.sent_at) < MAX_DELIVERY_TIME);
        let is_load = matches!(
            order.action,
            order::Action::Load(_) | order::Action::LoadAdapter(..)
        );
        if is_load {
            let order = order.clone();
            self.outstanding_loads.push(OutstandingLoad {
                order,
                sent_at: now,
            });
        }
    }

    /// Whether a load of an earlier leader may land at a runner's process.
    fn may_get_inherited_load(&self, now: duration::Instant, runner: &runner::Runner) -> bool {
        self.inherited_loads.is_some_and(|inherited| {
            let is_recent = runner.has_restarted && runner.started >= inherited.settled_before;
            is_recent && now < inherited.until
        })
    }

    /// Whether an order brings its runner to the count of a stale load that would then
    /// not fit.
    pub(super) fn exposes_to_stale_load(
        &self,
        now: duration::Instant,
        name: &id::Endpoint,
        action: &order::Action,
    ) -> bool {
        let Some(runner) = self.runners.get(name) else {
            return false;
        };
        let Some(count) = runner.inventory.accepted_count() else {
            return false;
        };
        let may_get_inherited_load = self.may_get_inherited_load(now, runner);
        let is_exposed =
            |load: &&OutstandingLoad| is_stale_at_count(load, name, runner.boot, count + 1);
        let mut stale_loads = self.outstanding_loads.iter().filter(is_exposed).peekable();
        if !may_get_inherited_load && stale_loads.peek().is_none() {
            return false;
        }
        let inventory_after = runner.inventory.after_action(now, action);
        if may_get_inherited_load && !self.engine.fits_any_load(&inventory_after) {
            return true;
        }
        stale_loads.any(|load| !self.engine.fits(&inventory_after, &load.order.action))
    }
}

fn is_stale_at_count(
    load: &OutstandingLoad,
    name: &id::Endpoint,
    boot: number::Boot,
    count: u64,
) -> bool {
    load.order.endpoint == *name && load.order.boot != boot && load.order.expected_count == count
}
