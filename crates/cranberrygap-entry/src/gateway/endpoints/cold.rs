//! Requests to endpoints that bear only a few while they are cold, granted by their homes.

use std::net::SocketAddr;

use cranberrygap_model::duration;
use cranberrygap_routing::{cold, limit};

use super::limits::Wanted;
use super::{Destination, Endpoints, Inner};

/// Time for which an endpoint without room is not asked for it again.
const FULL_TIME: duration::Span = duration::Span::from_millis(40);

impl Endpoints {
    /// Takes room for one request at an endpoint, if that is cold.
    pub(crate) async fn take_cold_room(
        &self,
        now: duration::Instant,
        destination: &Destination,
        max_wait: duration::Span,
    ) -> limit::Grant {
        let (endpoint, home, claim) = {
            let mut inner = self.inner.lock();
            let Some((endpoint, claim)) = inner.cold_claim(now, destination, max_wait) else {
                return limit::Grant::Unlimited;
            };
            let Some(home) = inner.homes.address(endpoint) else {
                let grant = inner.grant_cold(now, endpoint, &claim);
                inner.record_cold(now, destination, grant);
                return grant;
            };
            (endpoint, home, claim)
        };
        let wanted = Wanted::Cold(claim);
        let granted = self.limit_outbox.claim(now, home, endpoint, wanted).await;
        let grant = granted.unwrap_or(limit::Grant::Full(FULL_TIME));
        self.inner.lock().record_cold(now, destination, grant);
        grant
    }

    /// Answers another entry's claim; `None` for an entry that the view does not know.
    pub(crate) fn answer_cold(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        endpoint: u32,
        claim: &cold::Claim,
    ) -> Option<limit::Grant> {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return None;
        }
        Some(inner.grant_cold(now, endpoint, claim))
    }
}

impl Inner {
    /// What to ask the home of an endpoint; `None` if the endpoint is not cold.
    fn cold_claim(
        &self,
        now: duration::Instant,
        destination: &Destination,
        max_wait: duration::Span,
    ) -> Option<(u32, cold::Claim)> {
        let state = self.states.get(&destination.endpoint)?;
        let limit = *self.cold_limits.get(&state.service)?;
        let is_other_boot = state.boot != destination.boot;
        let is_cold = state.temperature == cold::Temperature::Cold
            || is_other_boot
            || self.has_just_returned(now, state);
        is_cold.then_some((state.name_hash, cold::Claim { limit, max_wait }))
    }

    /// Grants room at a cold endpoint of this home.
    fn grant_cold(
        &mut self,
        now: duration::Instant,
        endpoint: u32,
        claim: &cold::Claim,
    ) -> limit::Grant {
        match self.homes.own_since(endpoint) {
            Some(home_since) => self.cold_rooms.take(now, endpoint, home_since, claim),
            // The entry that asks has another view. The home of this one grants the room.
            None => limit::Grant::Full(FULL_TIME),
        }
    }

    fn record_cold(
        &mut self,
        now: duration::Instant,
        destination: &Destination,
        grant: limit::Grant,
    ) {
        let state = self.states.get_mut(&destination.endpoint);
        if let (limit::Grant::Full(_), Some(state)) = (grant, state) {
            state.full_until = now.after(FULL_TIME);
        }
    }
}
