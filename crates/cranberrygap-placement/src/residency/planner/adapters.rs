//! Adapters: fetched when a request needs one, dropped when room is short.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use smol_str::SmolStr;

use super::{Output, Planner, Waiter};
use crate::residency::order;
use crate::residency::runner;

/// Time from the acceptance of an adapter's load until requests may use it. The
/// largest took 9.7 ms on the users' runners; the rest is for the way of the order.
const FETCH: duration::Span = duration::Span::from_millis(12);

/// Longest wait for an adapter; whoever asked tries another way then. An adapter
/// behind seven others at the same runner is there within 200 ms.
const PATIENCE: duration::Span = duration::Span::from_millis(450);

/// Time since its last use for which an adapter is not dropped. Requests for it
/// may be under way to the runner.
const IN_USE: duration::Span = duration::Span::from_millis(1_500);

impl Planner {
    /// Asks for an adapter on behalf of a request; the ticket comes back in
    /// [`Output::ResolveAdapter`].
    ///
    /// `missing` tells that the preferred runner said that it lacks the adapter.
    pub fn request_adapter(
        &mut self,
        now: duration::Instant,
        ticket: u64,
        adapter: &runner::Adapter,
        preferred: &id::Endpoint,
        missing: bool,
    ) {
        if missing && let Some(runner) = self.runners.get_mut(preferred) {
            runner.inventory.doubt(adapter);
            self.changed.insert(preferred.clone());
        }
        let endpoint = self.choose(now, adapter, preferred);
        let mut waiter = Waiter {
            ticket,
            endpoint: endpoint.clone().unwrap_or_else(|| preferred.clone()),
            adapter: adapter.clone(),
            ready: None,
            deadline: now.after(PATIENCE),
        };
        // A leader that may not order yet can only name a runner that has it already;
        // whoever asks is better told at once than after a wait in vain.
        let may_order = now >= self.opens;
        match endpoint.and_then(|name| self.runners.get_mut(&name)) {
            None => waiter.deadline = now,
            Some(runner) if runner.inventory.offers(adapter) => {
                runner.inventory.used(now, adapter);
                waiter.ready = Some(now);
            }
            Some(_) if !may_order => waiter.deadline = now,
            Some(runner) if runner.wanted.contains(adapter) => {}
            Some(runner) => runner.wanted.push_back(adapter.clone()),
        }
        self.waiters.push(waiter);
    }

    /// The runner that has or should get an adapter.
    fn choose(
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
            let there = runner.inventory.offers(adapter) || runner.wanted.contains(adapter);
            let blocked = now < self.opens
                || runner.carried.is_some()
                || runner.inventory.is_withheld(adapter)
                || now < runner.adapters_after
                || !runner.has_adapter_place(now, self.engine.adapter_slots);
            let full = runner.inventory.adapters().len() >= self.engine.adapter_slots;
            // The wish of the entry goes first unless the runner cannot take it now.
            let wished = *name == preferred;
            (
                blocked && !there,
                !(wished || there),
                !wished,
                full,
                runner.inventory.adapters().len(),
            )
        });
        best.map(|(name, _)| name.clone())
    }

    /// Adapters that requests used of late.
    pub fn mark_adapter_used(&mut self, now: duration::Instant, adapter: &runner::Adapter) {
        for runner in self.runners.values_mut() {
            runner.inventory.used(now, adapter);
        }
    }

    /// The next order about adapters at a runner.
    pub(super) fn next_adapter(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
    ) -> Option<order::Action> {
        let slots = self.engine.adapter_slots;
        let runner = self.runners.get_mut(name)?;
        if now < runner.adapters_after {
            return None;
        }
        let mut wanted = std::mem::take(&mut runner.wanted);
        wanted.retain(|wanted| !runner.inventory.offers(wanted) && runner.serves(&wanted.0));
        runner.wanted = wanted;
        // One that goes cannot come back before it has gone, and one that is doubted may be there.
        let mut possible = runner.wanted.iter();
        let next = possible.find(|wanted| !runner.inventory.is_withheld(wanted))?;
        let adapters = runner.inventory.adapters().keys().map(|(model, _)| model);
        let with_it = adapters.chain(std::iter::once(&next.0));
        let coming = runner
            .coming()
            .filter(|model| !runner.inventory.models().contains(*model));
        let models = runner.inventory.models().iter().chain(coming);
        let fits = self.engine.taken(models, with_it) <= self.engine.memory.0;
        if runner.inventory.adapters().len() < slots && fits {
            let (model, adapter) = next.clone();
            return Some(order::Action::LoadAdapter(model, adapter));
        }
        // Places that are about to be free are enough for those who wait.
        if runner.inventory.leaving() >= runner.wanted.len() {
            return None;
        }
        runner.idle_adapter(now)
    }

    /// Who waits for an adapter that turned out to be there waits no longer.
    pub(super) fn adapters_told(&mut self, now: duration::Instant, name: &id::Endpoint) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        let room = &runner.inventory;
        runner.wanted.retain(|wanted| !room.offers(wanted));
        let waiting = self.waiters.iter_mut();
        for waiter in waiting.filter(|waiter| waiter.endpoint == *name) {
            if room.offers(&waiter.adapter) {
                waiter.ready.get_or_insert(now);
            }
        }
    }

    /// An order about an adapter was taken; `is_over` tells that nothing of it is left to do.
    pub(super) fn adapter_taken(
        &mut self,
        now: duration::Instant,
        name: &id::Endpoint,
        action: &order::Action,
        is_over: bool,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        match action {
            order::Action::LoadAdapter(model, adapter) => {
                let key = (model.clone(), adapter.clone());
                runner.wanted.retain(|wanted| *wanted != key);
                runner.inventory.fetch(now, key.clone());
                let waiting = self.waiters.iter_mut();
                let same = |waiter: &&mut Waiter| waiter.endpoint == *name && waiter.adapter == key;
                for waiter in waiting.filter(same) {
                    waiter.ready.get_or_insert(now.after(FETCH));
                }
            }
            order::Action::UnloadAdapter(model, adapter) => {
                let key = (model.clone(), adapter.clone());
                if is_over {
                    runner.inventory.dropped(&key);
                } else {
                    runner.inventory.leave(&key);
                }
            }
            order::Action::Load(_) | order::Action::Unload(_) => {}
        }
        self.changed.insert(name.clone());
    }

    /// A runner does not take an adapter; whoever waits for it learns so at once.
    pub(super) fn give_up_adapter(&mut self, name: &id::Endpoint, action: &order::Action) {
        let order::Action::LoadAdapter(model, adapter) = action else {
            return;
        };
        let key = (model.clone(), adapter.clone());
        if let Some(runner) = self.runners.get_mut(name) {
            runner.wanted.retain(|wanted| *wanted != key);
        }
        for waiter in &mut self.waiters {
            if waiter.endpoint == *name && waiter.adapter == key {
                waiter.deadline = duration::Instant(0);
            }
        }
    }

    /// Answers who waits for an adapter that is there, or has waited too long.
    pub(super) fn settle_waiters(&mut self, now: duration::Instant, outputs: &mut Vec<Output>) {
        let runners = &self.runners;
        self.waiters.retain(|waiter| {
            let there = waiter.is_there(runners);
            if there && waiter.ready.is_some_and(|ready| now >= ready) {
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

    /// When somebody who waits can be answered next, if that is known.
    #[must_use]
    pub fn next_wake(&self) -> Option<duration::Instant> {
        let ready = self.waiters.iter().filter_map(|waiter| {
            let ready = waiter.ready?;
            waiter.is_there(&self.runners).then_some(ready)
        });
        ready.min()
    }
}

impl Waiter {
    /// Whether its runner holds the adapter.
    fn is_there(&self, runners: &BTreeMap<id::Endpoint, runner::Runner>) -> bool {
        let runner = runners.get(&self.endpoint);
        runner.is_some_and(|runner| runner.inventory.offers(&self.adapter))
    }
}

impl runner::Runner {
    /// Whether one more adapter finds a place, or one that can be dropped for it.
    fn has_adapter_place(&self, now: duration::Instant, slots: usize) -> bool {
        let offered = self.inventory.offered_adapters();
        let idle = offered
            .filter(|(_, used)| now.since(**used) >= IN_USE)
            .count();
        let taken = self.inventory.adapters().len() - idle;
        taken + self.wanted.len() < slots
    }

    /// The order that drops the adapter that was used least of late.
    fn idle_adapter(&self, now: duration::Instant) -> Option<order::Action> {
        let offered = self.inventory.offered_adapters();
        let idle = offered.filter(|(_, used)| now.since(**used) >= IN_USE);
        let ((model, adapter), _) = idle.min_by_key(|(_, used)| **used)?;
        Some(order::Action::UnloadAdapter(
            model.clone(),
            SmolStr::clone(adapter),
        ))
    }
}
