//! Endpoints of failure domains that are evacuated.

use cranberrygap_model::duration;
use cranberrygap_routing::cold;

use super::Inner;
use super::state::State;

/// Time after the news of an evacuation in which endpoints of the failure domain still get
/// requests that no other endpoint can serve. Copies of their models are loaded elsewhere
/// meanwhile. Entries learn of an order up to 1.5 s after others, and the last request may arrive
/// 5 s after the acknowledgement.
const EVACUATION_TIME: duration::Span = duration::Span::from_secs(2);

impl Inner {
    /// Whether the endpoints of a state's failure domain get no requests.
    pub(super) fn is_evacuated(&self, state: &State) -> bool {
        self.evacuated.contains_key(&state.domain)
    }

    /// Whether the failure domain returned from an evacuation a moment ago, so that its endpoints
    /// may be cold and not have said so.
    pub(super) fn has_just_returned(&self, now: duration::Instant, state: &State) -> bool {
        let returned_at = self.returned.get(&state.domain);
        returned_at.is_some_and(|at| now.since(*at) < cold::RETURN_TIME)
    }

    /// Whether the failure domain was evacuated a moment ago.
    pub(super) fn is_evacuating(&self, now: duration::Instant, state: &State) -> bool {
        let evacuated_at = self.evacuated.get(&state.domain);
        evacuated_at.is_some_and(|at| now.since(*at) < EVACUATION_TIME)
    }
}
