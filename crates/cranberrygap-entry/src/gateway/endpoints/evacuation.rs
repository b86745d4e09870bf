//! Endpoints of failure domains that are evacuated or returned.

use cranberrygap_model::duration;

use super::Inner;
use super::state::State;

impl Inner {
    pub(super) fn is_evacuated(&self, state: &State) -> bool {
        self.evacuations.is_evacuated(&state.domain)
    }

    pub(super) fn is_evacuating(&self, now: duration::Instant, state: &State) -> bool {
        self.evacuations.is_evacuating(now, &state.domain)
    }

    pub(super) fn has_just_returned(&self, now: duration::Instant, state: &State) -> bool {
        self.evacuations.has_just_returned(now, &state.domain)
    }
}
