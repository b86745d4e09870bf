//! The choice of an endpoint for one request.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_wire::endpoint;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::batch;
use crate::load;
use crate::prefix;

/// How an entry routes.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Settings {
    /// Endpoints that are compared for each request.
    #[builder(default = 3)]
    pub sample_size: usize,
    /// Target time between tokens.
    #[builder(default = duration::Span::from_millis(27))]
    pub between_tokens: duration::Span,
    /// Part of a full batch that a whole cached prompt is worth.
    #[builder(default = 0.15)]
    pub prefix_weight: f64,
}

/// Where a model stands, as the view and the reports have it.
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
    /// Send it there.
    Dispatch(id::Endpoint),
    /// Keep it at the entry until a seat is free or the model is loaded.
    Wait,
    /// Refuse it as not run, at once: waiting cannot help.
    Refuse {
        /// When to come back.
        retry_after: duration::Span,
    },
}

/// How full an endpoint may be to get a request, as parts of its batch limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fill {
    /// Up to this part; the emptiest is best.
    Spread(f64),
    /// Up to this part, which may be above one; the fullest is best.
    ///
    /// For requests that have to run although their batch will be too large:
    /// one overfull endpoint misses its targets, rather than all of them.
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
    /// Endpoints that the plan wants to take the model's requests.
    pub preferred: &'a [id::Endpoint],
    /// How full an endpoint may be.
    pub fill: Fill,
    /// Part of its batch limit up to which an endpoint may be full that is not
    /// preferred; zero for none.
    pub spill_fill: f64,
}

/// One endpoint as an entry knows it.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Its corrected load.
    pub load: load::Estimate,
    /// Its batch within the latency target.
    pub batch: batch::Batch,
    /// Its cached prefixes.
    pub prefix: prefix::Index,
}

/// One entry's knowledge of the endpoints.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    peers: BTreeMap<id::Endpoint, EndpointState>,
}

impl Router {
    /// A router that knows nothing of any endpoint yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            peers: BTreeMap::new(),
        }
    }

    /// Chooses for one request.
    pub fn choose(
        &self,
        rng: &mut impl Rng,
        question: &Request<'_>,
        residency: &Residency<'_>,
    ) -> Choice {
        let endpoints = match residency {
            Residency::Resident(endpoints) => endpoints,
            Residency::Expected(after) if *after <= question.time_left => return Choice::Wait,
            Residency::Expected(after) => {
                return Choice::Refuse {
                    retry_after: *after,
                };
            }
            Residency::Absent => {
                return Choice::Refuse {
                    retry_after: RETRY_ABSENT,
                };
            }
        };
        let preferred = endpoints.iter();
        let preferred: Vec<id::Endpoint> = preferred
            .filter(|endpoint| question.preferred.contains(endpoint))
            .cloned()
            .collect();
        let best = if preferred.is_empty() {
            self.best(rng, question, endpoints)
        } else {
            let best = self.best(rng, question, &preferred);
            best.or_else(|| self.spill(rng, question, endpoints))
        };
        match best {
            Some(endpoint) => Choice::Dispatch(endpoint),
            None => Choice::Wait,
        }
    }

    /// A request was sent.
    pub fn record_sent(&mut self, now: duration::Instant, endpoint: &id::Endpoint) {
        self.peer(endpoint).load.record_sent(now);
    }

    /// A request ended, whole or not.
    pub fn record_ended(&mut self, now: duration::Instant, endpoint: &id::Endpoint) {
        self.peer(endpoint).load.record_ended(now);
    }

    /// An answer was streamed with this mean time between tokens.
    pub fn observe_token_interval(
        &mut self,
        endpoint: &id::Endpoint,
        batch: f64,
        gap: duration::Span,
    ) {
        self.peer(endpoint).batch.observe(batch, gap);
    }

    /// An endpoint reported.
    pub fn apply_report(&mut self, now: duration::Instant, report: &endpoint::Report) {
        let requests = report.running + report.waiting;
        let peer = self.peer(&report.endpoint);
        peer.load.apply_report(now, report.age, requests);
        peer.prefix.observe(report);
    }

    /// What is known of an endpoint.
    #[must_use]
    pub fn endpoint(&self, endpoint: &id::Endpoint) -> Option<&EndpointState> {
        self.peers.get(endpoint)
    }

    /// All endpoints that are known.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeMap<id::Endpoint, EndpointState> {
        &self.peers
    }

    /// Forgets endpoints that the view no longer has.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.peers.retain(|endpoint, _| keep(endpoint));
    }

    fn peer(&mut self, endpoint: &id::Endpoint) -> &mut EndpointState {
        let target = self.settings.between_tokens;
        self.peers
            .entry(endpoint.clone())
            .or_insert_with(|| EndpointState {
                load: load::Estimate::default(),
                batch: batch::Batch::new(target),
                prefix: prefix::Index::default(),
            })
    }

    /// An endpoint beside the preferred ones, where it has seats to spare.
    ///
    /// A request there makes one more model active, and all steps longer. Under
    /// overload every model would become active everywhere, all batches shrink,
    /// and the overload would outlast its cause; one would see a fleet that
    /// stays late long after a failure domain came back. So only spare seats
    /// are taken, and only for requests that may go anywhere.
    fn spill(
        &self,
        rng: &mut impl Rng,
        question: &Request<'_>,
        endpoints: &[id::Endpoint],
    ) -> Option<id::Endpoint> {
        if question.spill_fill <= 0.0 {
            return None;
        }
        let question = Request {
            fill: Fill::Spread(question.spill_fill),
            ..*question
        };
        self.best(rng, &question, endpoints)
    }

    /// The best of a few endpoints drawn at random, and of the one that has
    /// most of the prompt cached. With all compared, entries with the same
    /// lagging reports would all pick the same endpoint.
    fn best(
        &self,
        rng: &mut impl Rng,
        question: &Request<'_>,
        endpoints: &[id::Endpoint],
    ) -> Option<id::Endpoint> {
        let drawn = endpoints.choose_multiple(rng, self.settings.sample_size);
        let cached = self.most_cached(question, endpoints);
        let open = drawn
            .chain(cached)
            .filter(|endpoint| self.has_seat(endpoint, question.fill));
        let scored = open.map(|endpoint| (self.score(question, endpoint), endpoint));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.1.clone())
    }

    fn most_cached<'a>(
        &self,
        question: &Request<'_>,
        endpoints: &'a [id::Endpoint],
    ) -> Option<&'a id::Endpoint> {
        if question.prompt_blocks.is_empty() {
            return None;
        }
        let hits = endpoints
            .iter()
            .map(|endpoint| (self.hit(question, endpoint), endpoint));
        let (hit, endpoint) = hits.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (hit > 0.0).then_some(endpoint)
    }

    fn has_seat(&self, endpoint: &id::Endpoint, fill: Fill) -> bool {
        let Some(peer) = self.peers.get(endpoint) else {
            return true;
        };
        let (Fill::Spread(part) | Fill::Pack(part)) = fill;
        f64::from(peer.load.requests()) < f64::from(peer.batch.limit()) * part
    }

    /// Part of the batch that is taken, less what the cached prefix is worth.
    fn score(&self, question: &Request<'_>, endpoint: &id::Endpoint) -> f64 {
        let Some(peer) = self.peers.get(endpoint) else {
            return 0.0;
        };
        let taken = f64::from(peer.load.requests()) / f64::from(peer.batch.limit());
        if let Fill::Pack(_) = question.fill {
            return -taken;
        }
        taken - self.settings.prefix_weight * self.hit(question, endpoint)
    }

    /// Part of the prompt that is cached there.
    fn hit(&self, question: &Request<'_>, endpoint: &id::Endpoint) -> f64 {
        let blocks = question.prompt_blocks.len().max(1);
        let peer = self.peers.get(endpoint);
        let cached = peer.map_or(0, |peer| {
            peer.prefix.hit(question.model, question.prompt_blocks)
        });
        cached as f64 / blocks as f64
    }
}

/// When to come back for a model that no endpoint has and no order brings. The
/// leader plans every few seconds, so that much may change the matter.
const RETRY_ABSENT: duration::Span = duration::Span::from_secs(5);
