//! Room at endpoints that fall over when they turn away too many requests.

use cranberrygap_model::{duration, rate};

use super::state::State;
use super::{Destination, Endpoints, Inner};

impl Endpoints {
    /// Records what a response says of the rejections that its endpoint bears, and whether it
    /// turned the request away for want of room; returns whether what it says is new.
    pub(crate) fn record_room(
        &self,
        now: duration::Instant,
        destination: &Destination,
        bears: Option<rate::Rejections>,
        was_rejected: bool,
    ) -> bool {
        let mut inner = self.inner.lock();
        let state = inner.states.get(&destination.endpoint);
        let Some(state) = state.filter(|state| state.boot == destination.boot) else {
            return false;
        };
        let running = inner.running(now, state);
        let mut is_new = false;
        if let Some(state) = inner.states.get_mut(&destination.endpoint) {
            is_new = state.room.bears() != bears;
            state.room.record_response(bears);
            if was_rejected {
                state.room.record_rejection(now, running);
            }
        }
        is_new
    }
}

impl Inner {
    /// Requests that all entries have at an endpoint, as far as known.
    fn running(&self, now: duration::Instant, state: &State) -> u32 {
        state.own_backlog.running + self.load_of_others(now, state).backlog.running
    }

    /// Whether an endpoint may get another request without a risk that it falls over.
    pub(super) fn has_room(&self, now: duration::Instant, state: &State) -> bool {
        state
            .room
            .has_room(now, self.running(now, state), state.slots)
    }
}
