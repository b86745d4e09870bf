//! What processes asked one entry for.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use smallvec::SmallVec;

use super::{Ended, Passage, Process, ramp};

/// Time for which a drain is remembered after no view names the process any more. An endpoint may
/// be missing from the views of a new leader until its next heartbeat.
const DRAIN_MEMORY: duration::Span = duration::Span::from_secs(600);

/// Time in which a view names the next process of an endpoint. A response that is read until then
/// may come from that one already, though the request was meant for the one before.
const NEWS_TIME: duration::Span = duration::Span::from_secs(3);

/// Processes of one name that may be known at a time.
type Processes = SmallVec<[State; 1]>;

/// Rests and drains by process.
#[derive(Debug, Default)]
pub struct Book {
    states: BTreeMap<id::Endpoint, Processes>,
    is_without_slow_start: bool,
}

#[derive(Debug)]
struct State {
    boot: number::Boot,
    rest: Option<Rest>,
    /// When the process was last known to live, once it drains.
    drains_since: Option<duration::Instant>,
    kept_away: u64,
}

#[derive(Debug, Clone, Copy)]
struct Rest {
    began_at: duration::Instant,
    /// When the process asked last.
    asked_at: duration::Instant,
    until: duration::Instant,
    ramp: ramp::Ramp,
}

impl Book {
    /// A book by which all requests come back at the end of a rest, to compare with.
    #[must_use]
    pub fn without_slow_start() -> Self {
        Self {
            is_without_slow_start: true,
            ..Self::default()
        }
    }

    /// Records that a process asks for rest; returns whether it did not rest before.
    ///
    /// The latest end of all its rests counts. Neither a shorter one nor a request that it serves
    /// meanwhile ends a rest.
    pub fn rest(
        &mut self,
        now: duration::Instant,
        process: Process<'_>,
        length: duration::Span,
    ) -> bool {
        let until = now.after(length);
        let state = self.state(process);
        match &mut state.rest {
            Some(rest) if now < rest.until => {
                rest.asked_at = now;
                rest.until = rest.until.max(until);
                false
            }
            // It was asked again, and rejected that: the same rest goes on.
            Some(rest) if !rest.ramp.is_over(rest.until, now) => {
                rest.asked_at = now;
                rest.until = until;
                rest.ramp = ramp::Ramp::default();
                false
            }
            rest => {
                *rest = Some(Rest {
                    began_at: now,
                    asked_at: now,
                    until,
                    ramp: ramp::Ramp::default(),
                });
                true
            }
        }
    }

    /// Records that a process drains; returns whether that is new.
    pub fn drain(&mut self, now: duration::Instant, process: Process<'_>) -> bool {
        self.state(process).drains_since.replace(now).is_none()
    }

    /// Whether a process may get a request.
    #[must_use]
    pub fn passage(&self, now: duration::Instant, process: Process<'_>) -> Passage {
        let Some(state) = self.find(process) else {
            return Passage::Open;
        };
        if state.drains_since.is_some() {
            return Passage::Closed;
        }
        let Some(rest) = &state.rest else {
            return Passage::Open;
        };
        let next_at = if self.is_without_slow_start || rest.ramp.is_over(rest.until, now) {
            rest.until
        } else {
            rest.ramp.next_at(rest.until)
        };
        if now < next_at {
            return Passage::After(next_at);
        }
        Passage::Open
    }

    /// Lets one request pass that is written next, or tells why not.
    pub fn enter(&mut self, now: duration::Instant, process: Process<'_>) -> Passage {
        let passage = self.passage(now, process);
        let rest = self.find_mut(process).and_then(|state| state.rest.as_mut());
        if let (Passage::Open, Some(rest)) = (passage, rest) {
            rest.ramp.record_sent();
        }
        passage
    }

    /// Takes back a request that passed and was not written.
    pub fn leave(&mut self, process: Process<'_>) {
        let rest = self.find_mut(process).and_then(|state| state.rest.as_mut());
        if let Some(rest) = rest {
            rest.ramp.record_unsent();
        }
    }

    /// Records that a process accepted a request.
    pub fn record_accepted(&mut self, process: Process<'_>) {
        let rest = self.find_mut(process).and_then(|state| state.rest.as_mut());
        if let Some(rest) = rest {
            rest.ramp.record_accepted();
        }
    }

    /// Counts a request that a process does not get.
    pub fn record_kept_away(&mut self, process: Process<'_>) {
        if let Some(state) = self.find_mut(process) {
            state.kept_away += 1;
        }
    }

    /// What a process asked for, for operators; empty if it asked for nothing.
    #[must_use]
    pub fn describe(&self, now: duration::Instant, process: Process<'_>) -> String {
        match self.passage(now, process) {
            Passage::Open if self.find(process).is_some() => "comes back from a rest".to_owned(),
            Passage::Open => String::new(),
            Passage::After(next_at) => format!("rests for {}", next_at.since(now)),
            Passage::Closed => "drains".to_owned(),
        }
    }

    /// Whether no process asked for anything.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Records that a view names a process.
    ///
    /// A rest that was asked for a moment before the first view with this process may be its own.
    /// A drain is not taken over: it does not end, and the next response says so again.
    pub fn record_seen(&mut self, now: duration::Instant, process: Process<'_>) {
        let Some(states) = self.states.get_mut(process.endpoint) else {
            return;
        };
        let rests = states.iter().filter(|state| state.boot != process.boot);
        let recent = rests
            .filter_map(|state| state.rest)
            .filter(|rest| now < rest.until && now.since(rest.asked_at) < NEWS_TIME);
        let other = recent.max_by_key(|rest| rest.until);
        let known = states.iter_mut().find(|state| state.boot == process.boot);
        if let Some(since) = known.and_then(|state| state.drains_since.as_mut()) {
            *since = now;
        }
        let Some(other) = other else {
            return;
        };
        let state = self.state(process);
        if state.rest.is_none_or(|rest| rest.until < other.until) {
            state.rest = Some(other);
        }
    }

    /// Forgets what is over, and returns the rests that have ended.
    pub fn prune(&mut self, now: duration::Instant) -> Vec<Ended> {
        let mut ended = Vec::new();
        self.states.retain(|endpoint, states| {
            states.retain(|state| {
                if let Some(rest) = state.rest
                    && rest.ramp.is_over(rest.until, now)
                    && now >= rest.until
                {
                    state.rest = None;
                    ended.push(Ended {
                        endpoint: endpoint.clone(),
                        length: rest.until.since(rest.began_at),
                        kept_away: std::mem::take(&mut state.kept_away),
                    });
                }
                let is_draining = state
                    .drains_since
                    .is_some_and(|since| now.since(since) < DRAIN_MEMORY);
                state.rest.is_some() || is_draining
            });
            !states.is_empty()
        });
        ended
    }

    fn find(&self, process: Process<'_>) -> Option<&State> {
        let states = self.states.get(process.endpoint)?;
        states.iter().find(|state| state.boot == process.boot)
    }

    fn find_mut(&mut self, process: Process<'_>) -> Option<&mut State> {
        let states = self.states.get_mut(process.endpoint)?;
        states.iter_mut().find(|state| state.boot == process.boot)
    }

    fn state(&mut self, process: Process<'_>) -> &mut State {
        let states = self.states.entry(process.endpoint.clone()).or_default();
        let known = states.iter().position(|state| state.boot == process.boot);
        let place = known.unwrap_or_else(|| {
            states.push(State {
                boot: process.boot,
                rest: None,
                drains_since: None,
                kept_away: 0,
            });
            states.len() - 1
        });
        &mut states[place]
    }
}
