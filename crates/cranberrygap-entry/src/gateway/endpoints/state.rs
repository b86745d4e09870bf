//! State of one endpoint, as this entry knows it.

use std::collections::BTreeSet;

use cranberrygap_model::{address, duration, id, number, software};
use cranberrygap_routing::brittle;
use cranberrygap_routing::cold;
use cranberrygap_routing::limit::known;
use cranberrygap_routing::prompt::{backlog, prefix_cache, window};
use cranberrygap_wire::{endpoint, view};
use smol_str::SmolStr;

use super::Destination;

/// Time for which an endpoint that could not be reached gets no request.
const UNREACHABLE_BACKOFF: duration::Span = duration::Span::from_millis(800);

/// Half-life of the weight of an endpoint's past failures.
const FAILURE_HALF_LIFE: duration::Span = duration::Span::from_secs(3);

/// Good responses assumed of each endpoint before any is known. A single failure then does
/// not rule it out.
const ASSUMED_SUCCESSES: f64 = 3.0;

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct State {
    pub endpoint: id::Endpoint,
    pub service: id::Service,
    pub boot: number::Boot,
    pub address: address::Socket,
    /// Version of the software that this boot runs.
    pub software: Option<software::Version>,
    pub domain: id::Domain,
    pub same_domain: bool,
    pub ready: bool,
    pub suspect: bool,
    pub models: BTreeSet<SmolStr>,
    pub adapters: BTreeSet<SmolStr>,
    pub retiring: Vec<id::Model>,
    pub own_backlog: backlog::Backlog,
    /// Prompts that any entry sent there recently.
    pub recent_prompts: window::Window,
    pub prefix_cache: prefix_cache::Tracker,
    pub failures: Failures,
    pub unreachable_at: Option<duration::Instant>,
    pub limit: known::Known,
    pub room: brittle::Guard,
    pub temperature: cold::Temperature,
    /// Time until which there is no room, by its home.
    pub full_until: duration::Instant,
    /// Requests that it runs at a time; 0 if it does not say.
    pub slots: u32,
    pub name_hash: u32,
}

/// Share of recent responses that were failures.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Failures {
    failed: f64,
    total: f64,
    updated_at: duration::Instant,
}

impl State {
    pub(super) fn new(
        now: duration::Instant,
        service: &id::Service,
        endpoint: &view::Endpoint,
        residency: Option<&view::Residency>,
        domain: &id::Domain,
        previous: Option<Self>,
    ) -> Self {
        let announced = &endpoint.announcement;
        let previous = previous.filter(|previous| previous.boot == announced.boot);
        let residency = residency.filter(|residency| residency.boot == announced.boot);
        let models: BTreeSet<SmolStr> = announced
            .resident
            .iter()
            .map(|resident| SmolStr::new(resident.model.as_str()))
            .collect();
        // The leader knows what it ordered. Until it reports for the first time, the
        // endpoint's own list counts, which holds adapters beside models.
        let adapters = residency.map_or_else(
            || {
                models
                    .iter()
                    .filter(|name| name.contains('/'))
                    .cloned()
                    .collect()
            },
            |residency| {
                let adapters = residency.adapters.iter();
                adapters.map(|name| SmolStr::new(name.as_str())).collect()
            },
        );
        let previous = previous.map(|previous| {
            (
                previous.own_backlog,
                previous.recent_prompts,
                previous.prefix_cache,
                previous.failures,
                previous.unreachable_at,
                previous.limit,
                previous.room,
            )
        });
        let (own_backlog, recent_prompts, prefix_cache, failures, unreachable_at, limit, room) =
            previous.unwrap_or_default();
        let leaving = announced.phase == endpoint::Phase::Leaving;
        let is_removed = announced
            .details
            .as_ref()
            .is_some_and(|details| details.gone_at.is_some());
        let is_staying = !leaving && !is_removed;
        Self {
            endpoint: announced.endpoint.clone(),
            service: service.clone(),
            boot: announced.boot,
            address: announced.address,
            software: announced.software.clone(),
            domain: announced.domain.clone(),
            same_domain: announced.domain == *domain,
            ready: endpoint.health == view::Health::Ready && is_staying,
            suspect: endpoint.health == view::Health::Suspect && is_staying,
            models,
            adapters,
            retiring: residency
                .map(|residency| residency.retiring.clone())
                .unwrap_or_default(),
            own_backlog,
            recent_prompts,
            prefix_cache,
            failures: failures.decayed(now),
            unreachable_at,
            limit,
            room,
            temperature: temperature(announced),
            full_until: now,
            slots: announced
                .details
                .as_ref()
                .map_or(0, |details| details.slots),
            name_hash: name_hash(&announced.endpoint),
        }
    }

    /// Whether the endpoint holds a model and keeps it.
    pub(super) fn holds_model(&self, model: &id::Model) -> bool {
        self.models.contains(model.as_str()) && !self.retiring.contains(model)
    }

    /// Whether the endpoint holds an adapter, named as `model/adapter`, if one is given.
    pub(super) fn holds_adapter(&self, name: Option<&SmolStr>) -> bool {
        name.is_none_or(|name| self.adapters.contains(name))
    }

    pub(super) fn is_reachable(&self, now: duration::Instant) -> bool {
        self.unreachable_at
            .is_none_or(|at| now.since(at) >= UNREACHABLE_BACKOFF)
    }

    pub(super) fn destination(&self) -> Destination {
        Destination {
            endpoint: self.endpoint.clone(),
            address: self.address,
            boot: self.boot,
            software: self.software.clone(),
        }
    }
}

impl Failures {
    /// Counts a response.
    pub(super) fn record(&mut self, now: duration::Instant, success: bool) {
        *self = self.decayed(now);
        self.total += 1.0;
        if !success {
            self.failed += 1.0;
        }
    }

    /// Share of recent responses that were failures, 0 to 1.
    pub(super) fn failure_rate(&self, now: duration::Instant) -> f64 {
        let decayed = self.decayed(now);
        decayed.failed / (decayed.total + ASSUMED_SUCCESSES)
    }

    fn decayed(self, now: duration::Instant) -> Self {
        let half_lives = now.since(self.updated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        Self {
            failed: self.failed * factor,
            total: self.total * factor,
            updated_at: now,
        }
    }
}

fn temperature(announced: &endpoint::Announcement) -> cold::Temperature {
    match &announced.details {
        Some(details) if details.cold => cold::Temperature::Cold,
        _ => cold::Temperature::Warm,
    }
}

/// A short hash of the endpoint's name, for messages between entries.
fn name_hash(endpoint: &id::Endpoint) -> u32 {
    const SEED: u64 = 0;
    let hash = prefix_cache::affinity(SEED, endpoint);
    let [_, _, _, _, tail @ ..] = hash.to_be_bytes();
    u32::from_be_bytes(tail)
}
