//! One endpoint as this entry knows it.

use std::collections::BTreeSet;

use cranberrygap_model::{address, duration, id, number};
use cranberrygap_routing::prompt::{backlog, prefix_cache, window};
use cranberrygap_wire::{endpoint, view};
use smol_str::SmolStr;

use super::Place;

/// Time for which an endpoint that could not be reached gets no request.
const DISTRUST: duration::Span = duration::Span::from_millis(800);

/// Time in which what is known of an endpoint's failures loses half its weight.
const HALF_LIFE: duration::Span = duration::Span::from_secs(3);

/// Good answers that an endpoint is taken to have given before any is known, so
/// that a single failure does not condemn it.
const CREDIT: f64 = 3.0;

/// One endpoint.
#[derive(Debug)]
pub(super) struct Node {
    pub endpoint: id::Endpoint,
    pub boot: number::Boot,
    pub address: address::Socket,
    pub near: bool,
    pub ready: bool,
    pub suspect: bool,
    pub models: BTreeSet<SmolStr>,
    pub adapters: BTreeSet<SmolStr>,
    pub retiring: Vec<id::Model>,
    pub own: backlog::Backlog,
    /// Prompts that any entry sent there within the last moments.
    pub window: window::Window,
    pub memory: prefix_cache::Tracker,
    pub failures: Failures,
    pub unreachable: Option<duration::Instant>,
    pub digest: u32,
}

/// How often an endpoint failed of late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Failures {
    bad: f64,
    all: f64,
    at: duration::Instant,
}

impl Node {
    pub(super) fn new(
        now: duration::Instant,
        known: &view::Endpoint,
        told: Option<&view::Residency>,
        domain: &id::Domain,
        old: Option<Self>,
    ) -> Self {
        let announced = &known.announcement;
        let old = old.filter(|old| old.boot == announced.boot);
        let told = told.filter(|told| told.boot == announced.boot);
        let models: BTreeSet<SmolStr> = announced
            .resident
            .iter()
            .map(|resident| SmolStr::new(resident.model.as_str()))
            .collect();
        // The leader knows what it ordered; before its first word the endpoint's own
        // list counts, in which adapters stand beside models.
        let adapters = told.map_or_else(
            || {
                models
                    .iter()
                    .filter(|name| name.contains('/'))
                    .cloned()
                    .collect()
            },
            |told| {
                let adapters = told.adapters.iter();
                adapters.map(|name| SmolStr::new(name.as_str())).collect()
            },
        );
        let old = old.map(|old| {
            (
                old.own,
                old.window,
                old.memory,
                old.failures,
                old.unreachable,
            )
        });
        let (own, window, memory, failures, unreachable) = old.unwrap_or_default();
        let leaving = announced.phase == endpoint::Phase::Leaving;
        let taken_away = announced
            .details
            .as_ref()
            .is_some_and(|details| details.gone_at.is_some());
        let stays = !leaving && !taken_away;
        Self {
            endpoint: announced.endpoint.clone(),
            boot: announced.boot,
            address: announced.address,
            near: announced.domain == *domain,
            ready: known.health == view::Health::Ready && stays,
            suspect: known.health == view::Health::Suspect && stays,
            models,
            adapters,
            retiring: told.map(|told| told.retiring.clone()).unwrap_or_default(),
            own,
            window,
            memory,
            failures: failures.faded(now),
            unreachable,
            digest: digest(&announced.endpoint),
        }
    }

    /// Whether a model is there and stays.
    pub(super) fn holds(&self, model: &id::Model) -> bool {
        self.models.contains(model.as_str()) && !self.retiring.contains(model)
    }

    pub(super) fn is_reached(&self, now: duration::Instant) -> bool {
        self.unreachable.is_none_or(|at| now.since(at) >= DISTRUST)
    }

    pub(super) fn place(&self) -> Place {
        Place {
            endpoint: self.endpoint.clone(),
            address: self.address,
            boot: self.boot,
        }
    }
}

impl Failures {
    /// Counts an answer.
    pub(super) fn count(&mut self, now: duration::Instant, good: bool) {
        *self = self.faded(now);
        self.all += 1.0;
        if !good {
            self.bad += 1.0;
        }
    }

    /// Part of the answers of late that were failures, 0 to 1.
    pub(super) fn part(&self, now: duration::Instant) -> f64 {
        let faded = self.faded(now);
        faded.bad / (faded.all + CREDIT)
    }

    fn faded(self, now: duration::Instant) -> Self {
        let lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(lives);
        Self {
            bad: self.bad * factor,
            all: self.all * factor,
            at: now,
        }
    }
}

/// A short name for messages between entries.
fn digest(endpoint: &id::Endpoint) -> u32 {
    const SEED: u64 = 0;
    let long = prefix_cache::affinity(SEED, endpoint);
    let [_, _, _, _, tail @ ..] = long.to_be_bytes();
    u32::from_be_bytes(tail)
}
