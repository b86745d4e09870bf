//! Sends each request to the best of a few endpoints by their corrected load.

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

/// Time for which an endpoint that broke a request is used only when there is
/// no other.
const DISTRUST: duration::Span = duration::Span::from_millis(1000);

/// Time after its last request for which a runner's load matters here.
const USE: duration::Span = duration::Span::from_secs(10);

/// Time that a request is taken to have left; the queue before this has its own
/// deadline and has let the request through.
const LEFT: duration::Span = duration::Span::from_secs(1);

/// A bound that no endpoint reaches: the emptiest takes the request.
const ANY_FILL: router::Fill = router::Fill::Spread(f64::MAX);

/// Power of few choices over lagging reports, corrected by what was sent since.
#[derive(Debug)]
pub(crate) struct Router {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    router: router::Router,
    rng: SmallRng,
    /// As the view has them, shared with it.
    endpoints: Arc<BTreeMap<id::Endpoint, wire_view::Endpoint>>,
    by_model: BTreeMap<id::Model, Vec<id::Endpoint>>,
    by_service: BTreeMap<id::Service, Vec<id::Endpoint>>,
    left: BTreeSet<id::Endpoint>,
    failed: BTreeMap<id::Endpoint, duration::Instant>,
    used: BTreeMap<id::Endpoint, duration::Instant>,
}

impl Router {
    /// A router that knows no endpoint yet.
    pub(crate) fn new(seed: u64) -> Self {
        let inner = Inner {
            router: router::Router::new(router::Settings::builder().build()),
            rng: SmallRng::seed_from_u64(seed),
            endpoints: Arc::default(),
            by_model: BTreeMap::new(),
            by_service: BTreeMap::new(),
            left: BTreeSet::new(),
            failed: BTreeMap::new(),
            used: BTreeMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
        }
    }
}

impl Inner {
    /// Ready endpoints that serve what is wanted and were not tried.
    fn candidates(&self, wanted: &Query<'_>) -> Vec<id::Endpoint> {
        let by_model = wanted.model.and_then(|model| self.by_model.get(model));
        let by_service = wanted
            .service
            .and_then(|service| self.by_service.get(service));
        let holders = by_model.or(by_service).into_iter().flatten();
        let open =
            holders.filter(|name| !wanted.tried.contains(name) && !self.left.contains(*name));
        open.cloned().collect()
    }

    fn is_trusted(&self, now: duration::Instant, name: &id::Endpoint) -> bool {
        self.failed
            .get(name)
            .is_none_or(|at| now.since(*at) >= DISTRUST)
    }

    /// The best with a free seat, or else the emptiest.
    fn best(&mut self, wanted: &Query<'_>, names: &[id::Endpoint]) -> Option<id::Endpoint> {
        let first = match wanted.model {
            Some(_) => router::Fill::Spread(1.0),
            None => ANY_FILL,
        };
        self.draw(wanted, names, first)
            .or_else(|| self.draw(wanted, names, ANY_FILL))
    }

    fn draw(
        &mut self,
        wanted: &Query<'_>,
        names: &[id::Endpoint],
        fill: router::Fill,
    ) -> Option<id::Endpoint> {
        let none;
        let model = if let Some(model) = wanted.model {
            model
        } else {
            // It matters for cached prompts only, which services don't have.
            none = names.first()?.as_str().parse().ok()?;
            &none
        };
        let question = router::Request {
            model,
            prompt_blocks: &[],
            time_left: LEFT,
            preferred: &[],
            fill,
            spill_fill: 0.0,
        };
        let residency = router::Residency::Resident(names);
        match self.router.choose(&mut self.rng, &question, &residency) {
            router::Choice::Dispatch(name) => Some(name),
            router::Choice::Wait | router::Choice::Refuse { .. } => None,
        }
    }

    fn index(&mut self) {
        self.by_model.clear();
        self.by_service.clear();
        let ready = self.endpoints.iter().filter(|(_, known)| is_ready(known));
        for (name, known) in ready {
            for resident in &known.announcement.resident {
                self.by_model
                    .entry(resident.model.clone())
                    .or_default()
                    .push(name.clone());
            }
            if let Some(service) = &known.announcement.service {
                self.by_service
                    .entry(service.clone())
                    .or_default()
                    .push(name.clone());
            }
        }
    }
}

fn is_ready(known: &wire_view::Endpoint) -> bool {
    known.health == wire_view::Health::Ready && known.announcement.phase == endpoint::Phase::Ready
}

impl super::Router for Router {
    fn choose(&self, now: duration::Instant, wanted: &Query<'_>) -> Option<Destination> {
        let mut inner = self.inner.lock();
        let candidates = inner.candidates(wanted).into_iter();
        let (trusted, doubted): (Vec<_>, Vec<_>) =
            candidates.partition(|name| inner.is_trusted(now, name));
        let names = if trusted.is_empty() { doubted } else { trusted };
        let best = inner.best(wanted, &names)?;
        inner.router.record_sent(now, &best);
        inner.used.insert(best.clone(), now);
        let announcement = &inner.endpoints.get(&best)?.announcement;
        Some(Destination {
            endpoint: best,
            address: announcement.address,
            boot: announcement.boot,
        })
    }

    fn record_ended(&self, now: duration::Instant, choice: &Destination, failed: bool) {
        let mut inner = self.inner.lock();
        if !inner.endpoints.contains_key(&choice.endpoint) {
            return;
        }
        inner.router.record_ended(now, &choice.endpoint);
        if failed {
            inner.failed.insert(choice.endpoint.clone(), now);
        }
    }

    fn apply_view(&self, view: &view::Snapshot) {
        let mut inner = self.inner.lock();
        let known = view.endpoints();
        // Most revisions change something else; nothing is indexed anew for them.
        if Arc::ptr_eq(known, &inner.endpoints) {
            return;
        }
        inner.router.retain(|name| known.contains_key(name));
        inner.failed.retain(|name, _| known.contains_key(name));
        inner.used.retain(|name, _| known.contains_key(name));
        // A leave that arrived here holds until the endpoint comes back with a new
        // boot; the log may still show it as ready for a moment.
        let before = std::mem::take(&mut inner.endpoints);
        inner.left.retain(|name| {
            let boot = |known: &wire_view::Endpoint| known.announcement.boot;
            let was = before.get(name).map(boot);
            known
                .get(name)
                .map(boot)
                .is_some_and(|boot| Some(boot) == was)
        });
        inner.endpoints = Arc::clone(known);
        inner.index();
    }

    fn apply_report(&self, now: duration::Instant, report: &endpoint::Report) {
        let mut inner = self.inner.lock();
        if inner.endpoints.contains_key(&report.endpoint) {
            inner.router.apply_report(now, report);
        }
    }

    fn mark_leaving(&self, endpoint: &id::Endpoint) {
        self.inner.lock().left.insert(endpoint.clone());
    }

    fn ready_runner_count(&self, model: &id::Model) -> usize {
        self.inner.lock().by_model.get(model).map_or(0, Vec::len)
    }

    fn runners(&self, now: duration::Instant) -> Vec<Runner> {
        let inner = self.inner.lock();
        let runners = inner.endpoints.iter().filter(|(_, known)| is_runner(known));
        let told = runners.map(|(name, known)| Runner {
            endpoint: name.clone(),
            address: known.announcement.address,
            recently_used: inner.used.get(name).is_some_and(|at| now.since(*at) < USE),
        });
        told.collect()
    }

    fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        let shown = inner.endpoints.iter().map(|(name, known)| {
            let load = inner.router.endpoint(name).map(|peer| &peer.load);
            let state = serde_json::json!({
                "ready": is_ready(known) && !inner.left.contains(name),
                "in_flight": load.map(load::Estimate::own_requests),
                "requests": load.map(load::Estimate::requests),
            });
            (name.to_string(), state)
        });
        shown.collect::<serde_json::Map<_, _>>().into()
    }
}

fn is_runner(known: &wire_view::Endpoint) -> bool {
    known.announcement.kind == endpoint::Kind::Runner
}
