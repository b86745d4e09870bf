//! Room at endpoints that fall over when they turn away too many requests.
//!
//! The home of such an endpoint grants its places to all entries, one request at a time. An entry
//! whose home does not answer keeps to its part of the slots.

use std::net::SocketAddr;

use cranberrygap_model::{duration, id, rate};
use cranberrygap_routing::brittle::ledger;
use cranberrygap_routing::limit;
use serde::{Deserialize, Serialize};

use super::limits::Wanted;
use super::state::State;
use super::{Destination, Endpoints, Inner};

/// Time for which a process of a service counts as brittle, before it has responded, after
/// another one of the service said that it is.
const SERVICE_MEMORY: duration::Span = duration::Span::from_secs(30);

/// Time for which an endpoint without room is not asked for it again.
const FULL_TIME: duration::Span = duration::Span::from_millis(40);

/// What the home of a brittle endpoint is told.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum News {
    /// A request has ended.
    Ended,
    /// The endpoint turned a request away, and bears so many rejections a second.
    Rejected(rate::Rejections),
}

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
        let (endpoint, service) = (state.name_hash, state.service.clone());
        let is_new = state.room.bears() != bears;
        if let Some(state) = inner.states.get_mut(&destination.endpoint) {
            state.room.record_response(bears);
            if was_rejected {
                state.room.record_rejection(now, running);
            }
        }
        let Some(bears) = bears else {
            return is_new;
        };
        inner.brittle_services.insert(service, (bears, now));
        if !was_rejected {
            return is_new;
        }
        if inner.homes.is_own(endpoint) {
            inner.places.record_rejection(now, endpoint, bears, running);
        } else {
            self.limit_outbox.push_news(endpoint, News::Rejected(bears));
        }
        is_new
    }

    /// Takes a place for one request at an endpoint, if that is brittle; false if there is none.
    pub(crate) async fn take_place(
        &self,
        now: duration::Instant,
        destination: &Destination,
    ) -> bool {
        let (endpoint, home, bears) = {
            let mut inner = self.inner.lock();
            let state = inner.states.get(&destination.endpoint);
            let state = state.filter(|state| state.boot == destination.boot);
            let brittle = state.and_then(|state| Some((state.name_hash, inner.bears(now, state)?)));
            let Some((endpoint, bears)) = brittle else {
                return true;
            };
            let Some(home) = inner.homes.address(endpoint) else {
                return inner.grant_place(now, endpoint, None, bears);
            };
            (endpoint, home, bears)
        };
        let wanted = Wanted::Place(bears);
        let granted = self.limit_outbox.claim(now, home, endpoint, wanted).await;
        let mut inner = self.inner.lock();
        let Inner { homes, states, .. } = &mut *inner;
        let Some(state) = states.get_mut(&destination.endpoint) else {
            return true;
        };
        let has_place = match granted {
            Some(grant) => !matches!(grant, limit::Grant::Full(_)),
            None => state.own_backlog.running < homes.part(endpoint, state.slots),
        };
        if !has_place {
            state.full_until = now.after(FULL_TIME);
        }
        has_place
    }

    /// Answers another entry's claim of a place; `None` for one that the view does not know.
    pub(crate) fn grant_place(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        endpoint: u32,
        bears: rate::Rejections,
    ) -> Option<limit::Grant> {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return None;
        }
        let is_granted = inner.grant_place(now, endpoint, Some(from), bears);
        Some(if is_granted {
            limit::Grant::After(duration::Span(0))
        } else {
            limit::Grant::Full(FULL_TIME)
        })
    }

    /// Applies what another entry tells of brittle endpoints of this home.
    pub(crate) fn apply_news(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        news: &[(u32, News)],
    ) {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return;
        }
        for (endpoint, news) in news {
            match news {
                News::Ended => inner.book.apply_end(from, *endpoint),
                News::Rejected(bears) => {
                    let running = inner.running_at(now, *endpoint);
                    inner
                        .places
                        .record_rejection(now, *endpoint, *bears, running);
                }
            }
        }
    }

    /// Takes the news of brittle endpoints that their homes were not told yet.
    pub(crate) fn take_news(&self) -> Vec<(u32, News)> {
        self.limit_outbox.take_news()
    }

    /// Waits for news of brittle endpoints to tell their homes.
    pub(crate) async fn next_news(&self) -> Vec<(u32, News)> {
        self.limit_outbox.next_news().await
    }

    /// Tells the home of a brittle endpoint that a request has ended.
    pub(super) fn tell_end(&self, now: duration::Instant, endpoint: &id::Endpoint) {
        let inner = self.inner.lock();
        let Some(state) = inner.states.get(endpoint) else {
            return;
        };
        let is_told = inner.bears(now, state).is_some() && !inner.homes.is_own(state.name_hash);
        let name_hash = state.name_hash;
        drop(inner);
        if is_told {
            self.limit_outbox.push_news(name_hash, News::Ended);
        }
    }
}

impl Inner {
    /// Requests that all entries have at an endpoint, as far as known.
    fn running(&self, now: duration::Instant, state: &State) -> u32 {
        state.own_backlog.running + self.load_of_others(now, state).backlog.running
    }

    /// Requests that all entries have at an endpoint of this home.
    fn running_at(&self, now: duration::Instant, endpoint: u32) -> u32 {
        let mut states = self.states.values();
        let state = states.find(|state| state.name_hash == endpoint);
        state.map_or(0, |state| self.running(now, state))
    }

    /// Whether an endpoint may get another request without a risk that it falls over, as far as
    /// this entry knows before it asks for a place.
    pub(super) fn has_room(&self, now: duration::Instant, state: &State) -> bool {
        let is_full = now < state.full_until;
        let running = self.running(now, state);
        !is_full && state.room.has_room(now, running, state.slots)
    }

    /// Rejections a second that an endpoint bears; `None` if it does not fall over.
    fn bears(&self, now: duration::Instant, state: &State) -> Option<rate::Rejections> {
        if state.room.has_response() {
            return state.room.bears();
        }
        let (bears, at) = self.brittle_services.get(&state.service)?;
        (now.since(*at) < SERVICE_MEMORY).then_some(*bears)
    }

    /// Grants a place at an endpoint of this home.
    fn grant_place(
        &mut self,
        now: duration::Instant,
        endpoint: u32,
        entry: Option<SocketAddr>,
        bears: rate::Rejections,
    ) -> bool {
        let mut states = self.states.values();
        let Some(state) = states.find(|state| state.name_hash == endpoint) else {
            // An endpoint that this entry does not know yet has no requests.
            return true;
        };
        let claim = ledger::Claim {
            entry,
            bears,
            slots: state.slots,
            running: self.running(now, state),
        };
        self.places.take(now, endpoint, &claim)
    }
}
