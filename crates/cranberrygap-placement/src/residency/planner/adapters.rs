//! Adapters: loaded when a request needs one, evicted when slots or memory run short.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use smol_str::SmolStr;

use super::{Output, Planner, Waiter};
use crate::residency::order;
use crate::residency::runner;

/// Time from the acceptance of an adapter's load until requests may use the adapter. The
/// largest adapter took 9.7 ms on the users' runners; the rest covers the delivery of the
/// order.
const FETCH_TIME: duration::Span = duration::Span::from_millis(12);

/// Longest wait for an adapter, after which the entry tries another way. An adapter
/// queued behind seven others at the same runner arrives within 200 ms.
const ADAPTER_TIMEOUT: duration::Span = duration::Span::from_millis(450);

/// Time since its last use before an adapter may be evicted. Requests for it may be on
/// their way to the runner.
const MIN_IDLE_TIME: duration::Span = duration::Span::from_millis(1_500);

impl Planner {
    /// Requests an adapter on behalf of a request.
    ///
    /// [`Output::ResolveAdapter`] returns the ticket. `missing` is set if the preferred
    /// runner answered that it lacks the adapter.
    pub fn request_adapter(
        &mut self,
        now: duration::Instant,
        ticket: u64,
        adapter: &runner::Adapter,
        preferred: &id::Endpoint,
        missing: bool,
    ) {
        if missing && let Some(runner) = self.runners.get_mut(preferred) {
            runner.inventory.mark_missing(adapter);
            runner.report_schedule.record_news();
            self.unpublished.insert(preferred.clone());
        }
        let endpoint = self.choose_runner(now, adapter, preferred);
        let mut waiter = Waiter {
            ticket,
            endpoint: endpoint.clone().unwrap_or_else(|| preferred.clone()),
            adapter: adapter.clone(),
            ready_at: None,
            deadline: now.after(ADAPTER_TIMEOUT),
        };
        // A leader that may not order yet can only name a runner that already has the
        // adapter; an immediate failure is better for the caller than a wait in vain.
        let may_order = now >= self.orders_allowed_at;
        match endpoint.and_then(|name| self.runners.get_mut(&name)) {
            None => waiter.deadline = now,
            Some(runner) if runner.inventory.offers(adapter) => {
                runner.inventory.mark_used(now, adapter);
                waiter.ready_at = Some(now);
            }
            Some(_) if !may_order => waiter.deadline = now,
            Some(runner) if runner.wanted_adapters.contains(adapter) => {}
            Some(runner) => runner.wanted_adapters.push_back(adapter.clone()),
        }
        self.waiters.push(waiter);
    }

    /// Chooses the runner that has or should load an adapter.
    fn choose_runner(
        &self,
        now: duration::Instant,
        adapter: &runner::Adapter,
        preferred: &id::Endpoint,
    ) -> Option<id::Endpoint> {
        let serving = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.serves(&adapter.0));
        let best = serving.min_by_key(|(name, runner)| {
            let available =
                runner.inventory.offers(adapter) || runner.wanted_adapters.contains(adapter);
            let blocked = now < self.orders_allowed_at
                || runner.execution.is_some()
                || runner.inventory.is_withheld(adapter)
                || now < runner.adapter_orders_after
                || !runner.has_adapter_slot(now, self.engine.adapter_slots);
            let full = runner.inventory.adapters().len() >= self.engine.adapter_slots;
            // The entry's preference goes first unless that runner cannot load the
            // adapter now.
            let is_preferred = *name == preferred;
            (
                blocked && !available,
                !(is_preferred || available),
                !is_preferred,
                full,
                runner.inventory.adapters().len(),
            )
        });
        best.map(|(name, _)| name.clone())
    }

    /// Records that requests used an adapter.
    pub fn mark_adapter_used(&mut self, now: duration::Instant, adapter: &runner::Adapter) {
        for runner in self.runners.values_mut() {
            runner.inventory.mark_used(now, adapter);
        }
    }

    /// The next adapter order for a runner.
    pub(super) fn next_adapter_action(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
    ) -> Option<order::Action> {
        let slots = self.engine.adapter_slots;
        let runner = self.runners.get_mut(name)?;
        if now < runner.adapter_orders_after {
            return None;
        }
        let mut wanted = std::mem::take(&mut runner.wanted_adapters);
        wanted.retain(|wanted| !runner.inventory.offers(wanted) && runner.serves(&wanted.0));
        runner.wanted_adapters = wanted;
        // A draining adapter cannot be loaded before it is gone, and one reported missing
        // may be there.
        let mut candidates = runner.wanted_adapters.iter();
        let next = candidates.find(|wanted| !runner.inventory.is_withheld(wanted))?;
        let adapters = runner.inventory.adapters().keys().map(|(model, _)| model);
        let with_next = adapters.chain(std::iter::once(&next.0));
        let incoming = runner
            .incoming_model()
            .filter(|model| !runner.inventory.models().contains(*model));
        let models = runner.inventory.models().iter().chain(incoming);
        let fits = self.engine.memory_used(models, with_next) <= self.engine.memory.0;
        if runner.inventory.adapters().len() < slots && fits {
            let (model, adapter) = next.clone();
            return Some(order::Action::LoadAdapter(model, adapter));
        }
        // Slots that are about to become free suffice for all waiting adapters.
        if runner.inventory.draining_count() >= runner.wanted_adapters.len() {
            return None;
        }
        runner.idle_adapter_eviction(now)
    }

    /// Marks waiters as ready if a report shows their adapter.
    pub(super) fn mark_waiters_ready(&mut self, now: duration::Instant, name: &id::Endpoint) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let inventory = &runner.inventory;
        runner
            .wanted_adapters
            .retain(|wanted| !inventory.offers(wanted));
        let waiters = self.waiters.iter_mut();
        for waiter in waiters.filter(|waiter| waiter.endpoint == *name) {
            if inventory.offers(&waiter.adapter) {
                waiter.ready_at.get_or_insert(now);
            }
        }
    }

    /// Applies an accepted adapter order; `is_finished` means that nothing of it is left
    /// to execute.
    pub(super) fn apply_adapter_action(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        action: &order::Action,
        is_finished: bool,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        match action {
            order::Action::LoadAdapter(model, adapter) => {
                let key = (model.clone(), adapter.clone());
                runner.wanted_adapters.retain(|wanted| *wanted != key);
                runner.inventory.add_adapter(now, key.clone());
                let waiters = self.waiters.iter_mut();
                let waits_for_it =
                    |waiter: &&mut Waiter| waiter.endpoint == *name && waiter.adapter == key;
                for waiter in waiters.filter(waits_for_it) {
                    waiter.ready_at.get_or_insert(now.after(FETCH_TIME));
                }
            }
            order::Action::UnloadAdapter(model, adapter) => {
                let key = (model.clone(), adapter.clone());
                if is_finished {
                    runner.inventory.remove_adapter(&key);
                } else {
                    runner.inventory.mark_draining(&key);
                }
            }
            order::Action::Load(_) | order::Action::Unload(_) => {}
        }
        self.unpublished.insert(name.clone());
    }

    /// Fails the waiters of an adapter that the runner rejected.
    pub(super) fn fail_adapter(&mut self, name: &id::Endpoint, action: &order::Action) {
        let order::Action::LoadAdapter(model, adapter) = action else {
            return;
        };
        let key = (model.clone(), adapter.clone());
        if let Some(runner) = self.runners.get_mut(name) {
            runner.wanted_adapters.retain(|wanted| *wanted != key);
        }
        for waiter in &mut self.waiters {
            if waiter.endpoint == *name && waiter.adapter == key {
                waiter.deadline = duration::Instant(0);
            }
        }
    }

    /// Answers the waiters whose adapter is available and those past their deadline.
    pub(super) fn resolve_waiters(&mut self, now: duration::Instant, outputs: &mut Vec<Output>) {
        let runners = &self.runners;
        self.waiters.retain(|waiter| {
            let available = waiter.has_adapter(runners);
            if available && waiter.ready_at.is_some_and(|ready| now >= ready) {
                outputs.push(Output::ResolveAdapter(
                    waiter.ticket,
                    Some(waiter.endpoint.clone()),
                ));
                return false;
            }
            if now >= waiter.deadline {
                outputs.push(Output::ResolveAdapter(waiter.ticket, None));
                return false;
            }
            true
        });
    }

    /// Time at which the next waiter can be answered, if known.
    #[must_use]
    pub fn next_wake(&self) -> Option<duration::Instant> {
        let ready = self.waiters.iter().filter_map(|waiter| {
            let ready = waiter.ready_at?;
            waiter.has_adapter(&self.runners).then_some(ready)
        });
        ready.min()
    }
}

impl Waiter {
    /// Whether the runner holds the adapter.
    fn has_adapter(&self, runners: &BTreeMap<id::Endpoint, runner::Runner>) -> bool {
        let runner = runners.get(&self.endpoint);
        runner.is_some_and(|runner| runner.inventory.offers(&self.adapter))
    }
}

impl runner::Runner {
    /// Whether one more adapter fits into the slots, counting those that can be evicted.
    fn has_adapter_slot(&self, now: duration::Instant, slots: usize) -> bool {
        let offered = self.inventory.offered_adapters();
        let idle = offered
            .filter(|(_, used)| now.since(**used) >= MIN_IDLE_TIME)
            .count();
        let taken = self.inventory.adapters().len() - idle;
        taken + self.wanted_adapters.len() < slots
    }

    /// The order that evicts the least recently used idle adapter.
    fn idle_adapter_eviction(&self, now: duration::Instant) -> Option<order::Action> {
        let offered = self.inventory.offered_adapters();
        let idle = offered.filter(|(_, used)| now.since(**used) >= MIN_IDLE_TIME);
        let ((model, adapter), _) = idle.min_by_key(|(_, used)| **used)?;
        Some(order::Action::UnloadAdapter(
            model.clone(),
            SmolStr::clone(adapter),
        ))
    }
}
