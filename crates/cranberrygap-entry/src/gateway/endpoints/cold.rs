//! Requests to endpoints that bear only a few while they are cold, granted by their homes.

use std::net::SocketAddr;

use cranberrygap_model::{address, duration};
use cranberrygap_routing::{cold, limit};

use super::limits::Wanted;
use super::{Destination, Endpoints, Inner};

/// Time for which an endpoint without room is not asked for it again.
const FULL_TIME: duration::Span = duration::Span::from_millis(40);

impl Endpoints {
    /// Takes room for one request at an endpoint, if that may be cold.
    pub(crate) async fn take_cold_room(
        &self,
        now: duration::Instant,
        destination: &Destination,
        max_wait: duration::Span,
    ) -> limit::Grant {
        let (endpoint, home, claim) = {
            let mut inner = self.inner.lock();
            let Some((endpoint, claim)) = inner.cold_claim(destination, max_wait) else {
                return limit::Grant::Unlimited;
            };
            let Some(home) = inner.homes.address(endpoint) else {
                let grant = inner.grant_cold(now, endpoint, &claim);
                inner.record_cold(now, destination, grant);
                return grant;
            };
            (endpoint, home, claim)
        };
        let granted = self.claim_cold(now, home, endpoint, claim).await;
        let mut inner = self.inner.lock();
        let entries = inner.homes.entry_count();
        let state = inner.states.get_mut(&destination.endpoint);
        let grant = match (granted, state) {
            (Some(grant), _) => grant,
            (None, Some(state)) => state.cold_part.take(now, entries, &claim),
            (None, None) => limit::Grant::Full(FULL_TIME),
        };
        inner.record_cold(now, destination, grant);
        grant
    }

    async fn claim_cold(
        &self,
        now: duration::Instant,
        home: address::Socket,
        endpoint: u32,
        claim: cold::Claim,
    ) -> Option<limit::Grant> {
        let wanted = Wanted::Cold(claim);
        self.limit_outbox.claim(now, home, endpoint, wanted).await
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
    /// What to ask the home of an endpoint; `None` if the endpoint is never cold.
    fn cold_claim(
        &self,
        destination: &Destination,
        max_wait: duration::Span,
    ) -> Option<(u32, cold::Claim)> {
        let state = self.states.get(&destination.endpoint)?;
        let limit = *self.cold_limits.get(&state.service)?;
        let temperature = if state.boot == destination.boot {
            state.temperature
        } else {
            cold::Temperature::Cold
        };
        let claim = cold::Claim {
            limit,
            temperature,
            max_wait,
        };
        Some((state.name_hash, claim))
    }

    /// Grants room at an endpoint of this home.
    fn grant_cold(
        &mut self,
        now: duration::Instant,
        endpoint: u32,
        claim: &cold::Claim,
    ) -> limit::Grant {
        let Some(home_since) = self.homes.own_since(endpoint) else {
            // The entry that asks has another view. The home of this one grants the room.
            return limit::Grant::Full(FULL_TIME);
        };
        // The entry that asks may know less of the endpoint.
        let mut states = self.states.values();
        let state = states.find(|state| state.name_hash == endpoint);
        let known = state.map_or(cold::Temperature::Cold, |state| state.temperature);
        let mut claim = *claim;
        if known == cold::Temperature::Cold {
            claim.temperature = known;
        }
        self.cold_rooms.take(now, endpoint, home_since, &claim)
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
