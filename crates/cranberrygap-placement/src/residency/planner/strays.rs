//! Orders to a process that has ended, which may land at the next one of its name.
//!
//! Counts begin anew with each process, and nothing in an order tells of which process a
//! count is. One that is late lands when the new process has the count that it names. So a
//! runner is not brought to that count without room for what the order loads.

use cranberrygap_model::{duration, id, number};

use super::Planner;
use crate::residency::order;

/// Time after which an order does not land any more. Late ones take up to twelve seconds;
/// while one may come, its runner may have to wait with what would meet it.
const LIFE: duration::Span = duration::Span::from_secs(15);

/// An order of which a copy may be on its way.
#[derive(Debug, Clone)]
pub(super) struct Stray {
    order: order::Order,
    at: duration::Instant,
}

impl Stray {
    /// Whether it is the order of this number.
    pub(super) const fn is(&self, number: u64) -> bool {
        self.order.number == number
    }
}

impl Planner {
    /// Notes an order that goes out.
    pub(super) fn goes_out(&mut self, now: duration::Instant, order: &order::Order) {
        self.strays.retain(|stray| now.since(stray.at) < LIFE);
        let loads = matches!(
            order.action,
            order::Action::Load(_) | order::Action::LoadAdapter(..)
        );
        if loads {
            let order = order.clone();
            self.strays.push(Stray { order, at: now });
        }
    }

    /// Whether an order brings its runner to the count of one to an earlier process that it
    /// would have no room for.
    pub(super) fn meets_stray(
        &self,
        now: duration::Instant,
        name: &id::Endpoint,
        action: &order::Action,
    ) -> bool {
        let Some(runner) = self.runners.get(name) else {
            return false;
        };
        let Some(count) = runner.inventory.count() else {
            return false;
        };
        let meets = |stray: &&Stray| is_met(stray, name, runner.boot, count + 1);
        let mut met = self.strays.iter().filter(meets).peekable();
        if met.peek().is_none() {
            return false;
        }
        let after = runner.inventory.after(now, action);
        met.any(|stray| !self.engine.fits(&after, &stray.order.action))
    }
}

fn is_met(stray: &Stray, name: &id::Endpoint, boot: number::Boot, count: u64) -> bool {
    stray.order.endpoint == *name && stray.order.boot != boot && stray.order.expected_count == count
}
