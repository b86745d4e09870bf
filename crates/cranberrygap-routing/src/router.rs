//! Chooses an endpoint for one request.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_wire::endpoint;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::batch;
use crate::load;
use crate::prefix;

/// Settings of an entry's routing.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Settings {
    /// Number of endpoints sampled for each request.
    #[builder(default = 3)]
    pub sample_size: usize,
    /// Target time between tokens.
    #[builder(default = duration::Span::from_millis(27))]
    pub between_tokens: duration::Span,
    /// Share of a full batch that a fully cached prompt is worth.
    #[builder(default = 0.15)]
    pub prefix_weight: f64,
}

/// Where a model is resident, according to the view and the reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Residency<'a> {
    /// These ready endpoints have it; suspect and leaving ones are left out.
    Resident(&'a [id::Endpoint]),
    /// No ready endpoint has it, but a load can end after this time.
    Expected(duration::Span),
    /// No load can bring it.
    Absent,
}

/// What to do with a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this endpoint.
    Dispatch(id::Endpoint),
    /// Keep it at the entry until a slot is free or the model is loaded.
    Wait,
    /// Refuse it as not run, at once: waiting cannot help.
    Refuse {
        /// Time after which to try again.
        retry_after: duration::Span,
    },
}

/// How full an endpoint may be to get a request, as a share of its batch limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fill {
    /// Up to this share; the emptiest endpoint is best.
    Spread(f64),
    /// Up to this share, which may exceed one; the fullest endpoint is best.
    ///
    /// For requests that have to run although their batch becomes too large: one overfull
    /// endpoint misses its targets, rather than all of them.
    Pack(f64),
}

/// A request as routing sees it.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The model or adapter.
    pub model: &'a id::Model,
    /// Hashes of the prompt's leading blocks.
    pub prompt_blocks: &'a [u64],
    /// Time until the caller's deadline.
    pub time_left: duration::Span,
    /// Endpoints that the plan prefers for the model's requests.
    pub preferred: &'a [id::Endpoint],
    /// How full an endpoint may be.
    pub fill: Fill,
    /// Share of its batch limit up to which an endpoint may be full that is not
    /// preferred. Zero excludes such endpoints.
    pub spill_fill: f64,
}

/// State of one endpoint as an entry knows it.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Load estimate of the endpoint.
    pub load: load::Estimate,
    /// Batch limit of the endpoint within the latency target.
    pub batch: batch::Estimator,
    /// Prefixes that the endpoint has cached.
    pub prefix: prefix::Index,
}

/// State of the endpoints that one entry knows.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    endpoints: BTreeMap<id::Endpoint, EndpointState>,
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
        }
    }

    /// Chooses what to do with one request.
    pub fn choose(
        &self,
        rng: &mut impl Rng,
        request: &Request<'_>,
        residency: &Residency<'_>,
    ) -> Choice {
        let endpoints = match residency {
            Residency::Resident(endpoints) => endpoints,
            Residency::Expected(after) if *after <= request.time_left => return Choice::Wait,
            Residency::Expected(after) => {
                return Choice::Refuse {
                    retry_after: *after,
                };
            }
            Residency::Absent => {
                return Choice::Refuse {
                    retry_after: ABSENT_RETRY_AFTER,
                };
            }
        };
        let preferred = endpoints.iter();
        let preferred: Vec<id::Endpoint> = preferred
            .filter(|endpoint| request.preferred.contains(endpoint))
            .cloned()
            .collect();
        let best = if preferred.is_empty() {
            self.best_of_sample(rng, request, endpoints)
        } else {
            let best = self.best_of_sample(rng, request, &preferred);
            best.or_else(|| self.choose_spill(rng, request, endpoints))
        };
        match best {
            Some(endpoint) => Choice::Dispatch(endpoint),
            None => Choice::Wait,
        }
    }

    /// Records a request that was sent to an endpoint.
    pub fn record_sent(&mut self, now: duration::Instant, endpoint: &id::Endpoint) {
        self.endpoint_mut(endpoint).load.record_sent(now);
    }

    /// Records the end of a request, complete or not.
    pub fn record_ended(&mut self, now: duration::Instant, endpoint: &id::Endpoint) {
        self.endpoint_mut(endpoint).load.record_ended(now);
    }

    /// Records the mean time between tokens of an answer at a batch size.
    pub fn observe_token_interval(
        &mut self,
        endpoint: &id::Endpoint,
        batch: f64,
        interval: duration::Span,
    ) {
        self.endpoint_mut(endpoint).batch.observe(batch, interval);
    }

    /// Applies an endpoint's report.
    pub fn apply_report(&mut self, now: duration::Instant, report: &endpoint::Report) {
        let requests = report.running + report.waiting;
        let state = self.endpoint_mut(&report.endpoint);
        state.load.apply_report(now, report.age, requests);
        state.prefix.apply_report(report);
    }

    /// State of one endpoint.
    #[must_use]
    pub fn endpoint(&self, endpoint: &id::Endpoint) -> Option<&EndpointState> {
        self.endpoints.get(endpoint)
    }

    /// All known endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeMap<id::Endpoint, EndpointState> {
        &self.endpoints
    }

    /// Forgets endpoints that the view no longer has.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.endpoints.retain(|endpoint, _| keep(endpoint));
    }

    fn endpoint_mut(&mut self, endpoint: &id::Endpoint) -> &mut EndpointState {
        let target = self.settings.between_tokens;
        self.endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointState {
                load: load::Estimate::default(),
                batch: batch::Estimator::new(target),
                prefix: prefix::Index::default(),
            })
    }

    /// Chooses an endpoint that is not preferred and has slots to spare.
    ///
    /// A request there makes one more model active, and all steps longer. Under overload
    /// every model would become active everywhere, all batches would shrink, and the
    /// overload would outlast its cause: the fleet would stay late long after a failure
    /// domain came back. So only spare slots are used, and only for requests that may go
    /// anywhere.
    fn choose_spill(
        &self,
        rng: &mut impl Rng,
        request: &Request<'_>,
        endpoints: &[id::Endpoint],
    ) -> Option<id::Endpoint> {
        if request.spill_fill <= 0.0 {
            return None;
        }
        let request = Request {
            fill: Fill::Spread(request.spill_fill),
            ..*request
        };
        self.best_of_sample(rng, &request, endpoints)
    }

    /// The best of a few endpoints drawn at random and of the one that has most of the
    /// prompt cached. If all were compared, entries with the same lagging reports would
    /// all pick the same endpoint.
    fn best_of_sample(
        &self,
        rng: &mut impl Rng,
        request: &Request<'_>,
        endpoints: &[id::Endpoint],
    ) -> Option<id::Endpoint> {
        let sampled = endpoints.choose_multiple(rng, self.settings.sample_size);
        let cached = self.most_cached(request, endpoints);
        let eligible = sampled
            .chain(cached)
            .filter(|endpoint| self.has_slot(endpoint, request.fill));
        let scored = eligible.map(|endpoint| (self.score(request, endpoint), endpoint));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.1.clone())
    }

    fn most_cached<'a>(
        &self,
        request: &Request<'_>,
        endpoints: &'a [id::Endpoint],
    ) -> Option<&'a id::Endpoint> {
        if request.prompt_blocks.is_empty() {
            return None;
        }
        let shares = endpoints
            .iter()
            .map(|endpoint| (self.cached_share(request, endpoint), endpoint));
        let (share, endpoint) = shares.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (share > 0.0).then_some(endpoint)
    }

    fn has_slot(&self, endpoint: &id::Endpoint, fill: Fill) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else {
            return true;
        };
        let (Fill::Spread(share) | Fill::Pack(share)) = fill;
        f64::from(state.load.requests()) < f64::from(state.batch.limit()) * share
    }

    /// Share of the batch that is taken, less what the cached prefix is worth.
    fn score(&self, request: &Request<'_>, endpoint: &id::Endpoint) -> f64 {
        let Some(state) = self.endpoints.get(endpoint) else {
            return 0.0;
        };
        let fill_level = f64::from(state.load.requests()) / f64::from(state.batch.limit());
        if let Fill::Pack(_) = request.fill {
            return -fill_level;
        }
        fill_level - self.settings.prefix_weight * self.cached_share(request, endpoint)
    }

    /// Share of the prompt that is cached at an endpoint.
    fn cached_share(&self, request: &Request<'_>, endpoint: &id::Endpoint) -> f64 {
        let blocks = request.prompt_blocks.len().max(1);
        let state = self.endpoints.get(endpoint);
        let cached = state.map_or(0, |state| {
            state
                .prefix
                .cached_blocks(request.model, request.prompt_blocks)
        });
        cached as f64 / blocks as f64
    }
}

/// Time after which to retry for a model that no endpoint has and no order loads. The
/// leader plans every few seconds, so the model may be planned by then.
const ABSENT_RETRY_AFTER: duration::Span = duration::Span::from_secs(5);
