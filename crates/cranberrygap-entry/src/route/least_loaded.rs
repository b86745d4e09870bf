//! Router that sends each request to the least loaded of a few endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::{load, router};
use cranberrygap_wire::{endpoint, view as wire_view};
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::view;

use super::{Destination, Query, Runner};

/// Time after a broken request during which an endpoint is used only if no other is left.
const FAILURE_BACKOFF: duration::Span = duration::Span::from_millis(1000);

/// Time after the last request during which this entry needs a runner's load.
const RECENT_USE: duration::Span = duration::Span::from_secs(10);

/// Time left that is assumed for each request. The queue ahead of the router has its own
/// deadline and has let the request through.
const ASSUMED_TIME_LEFT: duration::Span = duration::Span::from_secs(1);

/// A limit that no endpoint reaches: the emptiest endpoint takes the request.
const UNLIMITED_FILL: router::Fill = router::Fill::Spread(f64::MAX);

/// Power of few choices over delayed reports, corrected by the requests sent since.
#[derive(Debug)]
pub(crate) struct Router {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    router: router::Router,
    rng: SmallRng,
    /// Endpoints of the current view, shared with it.
    endpoints: Arc<BTreeMap<id::Endpoint, wire_view::Endpoint>>,
    /// Failure domains whose endpoints get no requests.
    evacuated: Arc<BTreeSet<id::Domain>>,
    by_model: BTreeMap<id::Model, Vec<id::Endpoint>>,
    by_service: BTreeMap<id::Service, Vec<id::Endpoint>>,
    leaving: BTreeSet<id::Endpoint>,
    failed_at: BTreeMap<id::Endpoint, duration::Instant>,
    last_used_at: BTreeMap<id::Endpoint, duration::Instant>,
}

impl Router {
    /// A router that knows no endpoint yet.
    pub(crate) fn new(seed: u64) -> Self {
        let inner = Inner {
            router: router::Router::new(router::Settings::builder().build()),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: Arc::default(),
            evacuated: Arc::default(),
            by_model: BTreeMap::new(),
            by_service: BTreeMap::new(),
            leaving: BTreeSet::new(),
            failed_at: BTreeMap::new(),
            last_used_at: BTreeMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }
}

impl Inner {
    /// Ready endpoints that serve the query and were not tried.
    fn candidates(&self, query: &Query<'_>) -> Vec<id::Endpoint> {
        let by_model = query.model.and_then(|model| self.by_model.get(model));
        let by_service = query
            .service
            .and_then(|service| self.by_service.get(service));
        let serving = by_model.or(by_service).into_iter().flatten();
        let admitted = serving.filter(|name| {
            let endpoint = self.endpoints.get(*name);
            endpoint.is_some_and(|endpoint| {
                let software = endpoint.announcement.software.as_ref();
                query.requirement.admits(software)
            })
        });
        let untried =
            admitted.filter(|name| !query.tried.contains(name) && !self.leaving.contains(*name));
        untried.cloned().collect()
    }

    fn is_past_backoff(&self, now: duration::Instant, name: &id::Endpoint) -> bool {
        self.failed_at
            .get(name)
            .is_none_or(|at| now.since(*at) >= FAILURE_BACKOFF)
    }

    /// The best endpoint with a free slot, or else the emptiest one.
    fn choose_best(&mut self, query: &Query<'_>, names: &[id::Endpoint]) -> Option<id::Endpoint> {
        let fill = match query.model {
            Some(_) => router::Fill::Spread(1.0),
            None => UNLIMITED_FILL,
        };
        self.choose_with_fill(query, names, fill)
            .or_else(|| self.choose_with_fill(query, names, UNLIMITED_FILL))
    }

    fn choose_with_fill(
        &mut self,
        query: &Query<'_>,
        names: &[id::Endpoint],
        fill: router::Fill,
    ) -> Option<id::Endpoint> {
        let placeholder;
        let model = if let Some(model) = query.model {
            model
        } else {
            // The model matters only for cached prompts, which services don't have.
            placeholder = names.first()?.as_str().parse().ok()?;
            &placeholder
        };
        let request = router::Request {
            model,
            prompt_blocks: &[],
            time_left: ASSUMED_TIME_LEFT,
            preferred: &[],
            fill,
            spill_fill: 0.0,
        };
        let residency = router::Residency::Resident(names);
        match self.router.choose(&mut self.rng, &request, &residency) {
            router::Choice::Dispatch(name) => Some(name),
            router::Choice::Wait | router::Choice::Refuse { .. } => None,
        }
    }

    fn rebuild_index(&mut self) {
        self.by_model.clear();
        self.by_service.clear();
        let ready = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_ready(endpoint))
            .filter(|(_, endpoint)| !self.evacuated.contains(&endpoint.announcement.domain));
        for (name, endpoint) in ready {
            for resident in &endpoint.announcement.resident {
                self.by_model
                    .entry(resident.model.clone())
                    .or_default()
                    .push(name.clone());
            }
            if let Some(service) = &endpoint.announcement.service {
                self.by_service
                    .entry(service.clone())
                    .or_default()
                    .push(name.clone());
            }
        }
    }
}

fn is_ready(endpoint: &wire_view::Endpoint) -> bool {
    endpoint.health == wire_view::Health::Ready
        && endpoint.announcement.phase == endpoint::Phase::Ready
}

impl super::Router for Router {
    fn choose(&self, now: duration::Instant, query: &Query<'_>) -> Option<Destination> {
        let mut inner = self.inner.lock();
        let candidates = inner.candidates(query).into_iter();
        let (usable, backing_off): (Vec<_>, Vec<_>) =
            candidates.partition(|name| inner.is_past_backoff(now, name));
        let names = if usable.is_empty() {
            backing_off
        } else {
            usable
        };
        let chosen = inner.choose_best(query, &names)?;
        inner.router.record_sent(now, &chosen);
        inner.last_used_at.insert(chosen.clone(), now);
        let announcement = &inner.endpoints.get(&chosen)?.announcement;
        Some(Destination {
            endpoint: chosen,
            address: announcement.address,
            boot: announcement.boot,
            software: announcement.software.clone(),
        })
    }

    fn record_ended(&self, now: duration::Instant, destination: &Destination, failed: bool) {
        let mut inner = self.inner.lock();
        if !inner.endpoints.contains_key(&destination.endpoint) {
            return;
        }
        inner.router.record_ended(now, &destination.endpoint);
        if failed {
            inner.failed_at.insert(destination.endpoint.clone(), now);
        }
    }

    fn apply_view(&self, view: &view::Snapshot) {
        let mut inner = self.inner.lock();
        let endpoints = view.endpoints();
        // Most revisions change something else; they need no new index.
        let evacuated = view.evacuated();
        if Arc::ptr_eq(endpoints, &inner.endpoints) && Arc::ptr_eq(evacuated, &inner.evacuated) {
            return;
        }
        inner.evacuated = Arc::clone(evacuated);
        inner.router.retain(|name| endpoints.contains_key(name));
        inner
            .failed_at
            .retain(|name, _| endpoints.contains_key(name));
        inner
            .last_used_at
            .retain(|name, _| endpoints.contains_key(name));
        // A leave announced here holds until the endpoint comes back with a new boot; the
        // log may still show the endpoint as ready for a moment.
        let previous = std::mem::take(&mut inner.endpoints);
        inner.leaving.retain(|name| {
            let boot = |endpoint: &wire_view::Endpoint| endpoint.announcement.boot;
            let previous_boot = previous.get(name).map(boot);
            endpoints
                .get(name)
                .map(boot)
                .is_some_and(|boot| Some(boot) == previous_boot)
        });
        inner.endpoints = Arc::clone(endpoints);
        inner.rebuild_index();
    }

    fn apply_report(&self, now: duration::Instant, report: &endpoint::Report) {
        let mut inner = self.inner.lock();
        if inner.endpoints.contains_key(&report.endpoint) {
            inner.router.apply_report(now, report);
        }
    }

    fn mark_leaving(&self, endpoint: &id::Endpoint) {
        self.inner.lock().leaving.insert(endpoint.clone());
    }

    fn ready_runner_count(&self, model: &id::Model) -> usize {
        self.inner.lock().by_model.get(model).map_or(0, Vec::len)
    }

    fn runners(&self, now: duration::Instant) -> Vec<Runner> {
        let inner = self.inner.lock();
        let runners = inner
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_runner(endpoint));
        let listed = runners.map(|(name, endpoint)| Runner {
            endpoint: name.clone(),
            address: endpoint.announcement.address,
            recently_used: inner
                .last_used_at
                .get(name)
                .is_some_and(|at| now.since(*at) < RECENT_USE),
        });
        listed.collect()
    }

    fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        let states = inner.endpoints.iter().map(|(name, endpoint)| {
            let load = inner.router.endpoint(name).map(|peer| &peer.load);
            let state = serde_json::json!({
                "ready": is_ready(endpoint) && !inner.leaving.contains(name),
                "in_flight": load.map(load::Estimate::own_requests),
                "requests": load.map(load::Estimate::requests),
            });
            (name.to_string(), state)
        });
        states.collect::<serde_json::Map<_, _>>().into()
    }
}

fn is_runner(endpoint: &wire_view::Endpoint) -> bool {
    endpoint.announcement.kind == endpoint::Kind::Runner
}
