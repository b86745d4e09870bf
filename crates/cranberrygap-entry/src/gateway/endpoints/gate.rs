//! Endpoints that asked this entry for rest, or said that they drain.

use cranberrygap_model::{duration, id};
use cranberrygap_routing::gate;
use cranberrygap_routing::origin;

use super::state::State;
use super::{Destination, Endpoints, Inner, Tried};

/// Answer to the last question before a request is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may be written now.
    Go,
    /// It may not; why, for the log.
    Stop(&'static str),
}

/// Requests that could have gone to an endpoint, by why they did not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct KeptAway {
    pub by_rest: bool,
    pub by_drain: bool,
}

impl Endpoints {
    /// Records that a process asks for rest; returns whether it did not rest before.
    ///
    /// Where the view names another process at the address by now, the response may be its own.
    pub(crate) fn record_rest(
        &self,
        now: duration::Instant,
        destination: &Destination,
        length: duration::Span,
    ) -> bool {
        let mut inner = self.inner.lock();
        let Inner { states, gate, .. } = &mut *inner;
        let named = states.get(&destination.endpoint);
        let named = named.filter(|state| state.address == destination.address);
        if let Some(state) = named.filter(|state| state.boot != destination.boot) {
            gate.rest(now, state.process(), length);
        }
        gate.rest(now, destination.process(), length)
    }

    /// Records that a process drains; returns whether that is new.
    pub(crate) fn record_drain(&self, now: duration::Instant, process: gate::Process<'_>) -> bool {
        self.inner.lock().gate.drain(now, process)
    }

    /// Records that a process accepted a request.
    pub(crate) fn record_accepted(&self, destination: &Destination) {
        let mut inner = self.inner.lock();
        inner.gate.record_accepted(destination.process());
    }

    /// Whether a request that was chosen for a process may be written to it now. What was known
    /// when it was chosen may have changed since.
    pub(crate) fn enter(&self, now: duration::Instant, destination: &Destination) -> Verdict {
        let mut inner = self.inner.lock();
        let state = inner.states.get(&destination.endpoint);
        let is_evacuated = state
            .is_some_and(|state| inner.is_evacuated(state) && !inner.is_evacuating(now, state));
        if is_evacuated {
            return Verdict::Stop("its failure domain is evacuated");
        }
        match inner.gate.enter(now, destination.process()) {
            gate::Passage::Open => Verdict::Go,
            gate::Passage::After(_) => Verdict::Stop("it rests"),
            gate::Passage::Closed => Verdict::Stop("it drains"),
        }
    }

    /// Takes back a request that was let through and of which nothing was written.
    pub(crate) fn leave(&self, destination: &Destination) {
        self.inner.lock().gate.leave(destination.process());
    }

    /// The earliest time at which an endpoint of a service that rests may get a request again.
    pub(crate) fn rest_end(
        &self,
        now: duration::Instant,
        service: &id::Service,
        model: Option<&id::Model>,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> Option<duration::Instant> {
        let inner = self.inner.lock();
        let closed = inner.closed_states(now, service, model);
        let closed = closed.filter(|(state, _)| {
            !tried.contains(&state.endpoint) && requirement.admits(state.software.as_ref())
        });
        let ends = closed.filter_map(|(_, passage)| match passage {
            gate::Passage::After(end) => Some(end),
            gate::Passage::Open | gate::Passage::Closed => None,
        });
        ends.min()
    }

    /// Whether an endpoint of a service, which holds a model if one is given, neither rests nor
    /// drains.
    pub(crate) fn has_open_endpoint(
        &self,
        now: duration::Instant,
        service: &id::Service,
        model: Option<&id::Model>,
        requirement: origin::Requirement<'_>,
    ) -> bool {
        let inner = self.inner.lock();
        let nothing_tried = Tried::new();
        let mut usable = inner.usable_states(now, service, &nothing_tried, requirement);
        usable.any(|state| model.is_none_or(|model| state.holds_model(model)))
    }

    /// Counts a request at the endpoints that do not get it since they rest or drain.
    pub(crate) fn record_kept_away(
        &self,
        now: duration::Instant,
        service: &id::Service,
        model: Option<&id::Model>,
    ) -> KeptAway {
        let mut inner = self.inner.lock();
        let mut kept_away = KeptAway::default();
        let closed = inner.closed_states(now, service, model);
        let closed: Vec<_> = closed
            .map(|(state, passage)| (state.endpoint.clone(), state.boot, passage))
            .collect();
        for (endpoint, boot, passage) in closed {
            let process = gate::Process {
                endpoint: &endpoint,
                boot,
            };
            inner.gate.record_kept_away(process);
            match passage {
                gate::Passage::After(_) => kept_away.by_rest = true,
                gate::Passage::Closed => kept_away.by_drain = true,
                gate::Passage::Open => {}
            }
        }
        kept_away
    }

    /// Forgets rests and drains that are over, and returns the rests.
    pub(crate) fn prune_gate(&self, now: duration::Instant) -> Vec<gate::Ended> {
        self.inner.lock().gate.prune(now)
    }
}

impl Inner {
    /// Whether the process of an endpoint neither rests nor drains.
    pub(super) fn is_open(&self, now: duration::Instant, state: &State) -> bool {
        self.gate.passage(now, state.process()) == gate::Passage::Open
    }

    /// Endpoints that serve a service, and a model if one is given, and rest or drain now.
    fn closed_states<'inner>(
        &'inner self,
        now: duration::Instant,
        service: &id::Service,
        model: Option<&id::Model>,
    ) -> impl Iterator<Item = (&'inner State, gate::Passage)> {
        let names = self.by_service.get(service);
        let names = names
            .filter(|_| !self.gate.is_empty())
            .into_iter()
            .flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let states = states.filter(move |state| {
            state.ready
                && !self.is_evacuated(state)
                && model.is_none_or(|model| state.holds_model(model))
        });
        states.filter_map(move |state| {
            let passage = self.gate.passage(now, state.process());
            (passage != gate::Passage::Open).then_some((state, passage))
        })
    }

    /// Keeps the drains of the processes in a view.
    pub(super) fn record_seen(&mut self, now: duration::Instant) {
        if self.gate.is_empty() {
            return;
        }
        for state in self.states.values() {
            self.gate.record_seen(now, state.process());
        }
    }
}

impl State {
    /// The process that the view names.
    pub(super) const fn process(&self) -> gate::Process<'_> {
        gate::Process {
            endpoint: &self.endpoint,
            boot: self.boot,
        }
    }
}

impl Destination {
    /// The process that a request goes to.
    pub(crate) const fn process(&self) -> gate::Process<'_> {
        gate::Process {
            endpoint: &self.endpoint,
            boot: self.boot,
        }
    }
}
