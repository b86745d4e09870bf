//! What this entry knows of the endpoints of each service, and its choice.

mod node;
mod notices;

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_model::{address, duration, id, number};
use cranberrygap_routing::prompt::{backlog, latency, prefix_cache, selection};
use cranberrygap_wire::view as wire_view;
use parking_lot::Mutex;
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};

use crate::view;

use node::Node;
pub(crate) use notices::Notice;

/// Endpoints that a request was sent to.
pub(crate) type Tried = SmallVec<[id::Endpoint; 3]>;

/// What an engine in another failure domain costs beyond a near one. What goes
/// between domains is paid for, and takes a millisecond or two each way.
const FAR: duration::Span = duration::Span::from_millis(200);

/// What an adapter that has to be fetched costs: the leader is asked, orders it, and
/// it takes about ten milliseconds to come.
const FETCH: duration::Span = duration::Span::from_millis(60);

/// What a far endpoint of a plain service costs beyond a near one, in running requests.
const FAR_REQUESTS: u32 = 5;

/// What an endpoint of a plain service costs that fails all it gets, in running
/// requests. An endpoint of which one answer is known, and that a failure, counts as
/// failing a quarter; it must cost more than a far one, since what it fails may not be
/// repeated.
const FAILING_REQUESTS: f64 = 30.0;

/// Age at which what another entry said of its sends is not used any more.
const STALE: duration::Span = duration::Span::from_millis(1_200);

/// A request that wants an engine.
#[derive(Debug)]
pub(crate) struct Query<'request> {
    pub service: &'request id::Service,
    pub model: &'request id::Model,
    pub adapter: Option<&'request SmolStr>,
    pub chain: &'request prefix_cache::Chain,
    pub rank: usize,
    pub prompt: u64,
    /// Reading that an engine may get within the last moments.
    pub room: duration::Span,
    /// Reading beside which a large prompt may go though it does not fit.
    pub grace: duration::Span,
    pub pace: latency::Estimate,
    pub slots: u32,
    pub tried: &'request Tried,
    /// Whether only engines count that hold the adapter.
    pub only_ready: bool,
}

/// An endpoint that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    pub endpoint: id::Endpoint,
    pub address: address::Socket,
    pub boot: number::Boot,
}

/// An engine that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Seat {
    pub place: Place,
    /// Predicted time to the first event.
    pub first_event: duration::Span,
    /// Prompt tokens that it has to read.
    pub fresh: u64,
    /// Time that it takes to read these.
    pub reading: duration::Span,
    /// Reading that waits there already.
    pub backlog: duration::Span,
    /// What of it comes before this prompt.
    pub before: duration::Span,
    /// Requests that run or wait there.
    pub running: u32,
    /// Whether it may get the prompt beside what was sent there lately.
    pub fits: bool,
    /// Whether it holds the adapter that is wanted, if one is.
    pub ready: bool,
}

/// Endpoints by service, and what waits at each.
#[derive(Debug)]
pub(crate) struct Endpoints {
    domain: id::Domain,
    inner: Mutex<Inner>,
    paces: Mutex<latency::Estimator>,
    notices: notices::Outbox,
}

#[derive(Debug, Default)]
struct Inner {
    endpoints: Arc<BTreeMap<id::Endpoint, wire_view::Endpoint>>,
    residencies: Arc<BTreeMap<id::Endpoint, wire_view::Residency>>,
    nodes: BTreeMap<id::Endpoint, Node>,
    services: BTreeMap<id::Service, Vec<id::Endpoint>>,
    others: BTreeMap<address::Socket, Heard>,
}

/// What another entry said of its sends.
#[derive(Debug)]
struct Heard {
    at: duration::Instant,
    sequence: u64,
    tallies: BTreeMap<u32, backlog::Backlog>,
}

impl Endpoints {
    pub(crate) fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            inner: Mutex::default(),
            paces: Mutex::default(),
            notices: notices::Outbox::default(),
        }
    }

    /// Takes over the endpoints of a new view.
    pub(crate) fn apply_view(&self, now: duration::Instant, view: &view::Snapshot) {
        let mut inner = self.inner.lock();
        let same = Arc::ptr_eq(view.endpoints(), &inner.endpoints)
            && Arc::ptr_eq(view.residencies(), &inner.residencies);
        if same {
            return;
        }
        inner.endpoints = Arc::clone(view.endpoints());
        inner.residencies = Arc::clone(view.residencies());
        inner.index(now, &self.domain);
    }

    /// The engine with the earliest first event for a request.
    pub(crate) fn seat(&self, now: duration::Instant, query: &Query<'_>) -> Option<Seat> {
        let inner = self.inner.lock();
        let adapter = query
            .adapter
            .map(|adapter| format_smolstr!("{}/{adapter}", query.model));
        let ready = |node: &Node| {
            let adapter = adapter.as_ref();
            adapter.is_none_or(|adapter| node.adapters.contains(adapter.as_str()))
        };
        let usable: Vec<&Node> = inner
            .untried(query.service, query.tried)
            .filter(|node| node.holds(query.model))
            .filter(|node| !query.only_ready || ready(node))
            .collect();
        let trusted = trusted(now, &usable);
        let home = home(query, &trusted);
        let candidates = trusted.iter().map(|node| selection::Candidate {
            endpoint: &node.endpoint,
            backlog: inner.tally(now, node),
            recent_prefill: node.window.prefill_time(now),
            cached_tokens: node.memory.cached_tokens(now, query.chain),
            has_affinity: home == Some(&node.endpoint),
            same_domain: node.near,
            has_adapter: ready(node),
            failure_rate: node.failures.part(now),
        });
        let wanted = selection::Request {
            rank: query.rank,
            prompt_tokens: query.prompt,
            shared_tokens: query.chain.shared_tokens(),
            prefill_budget: query.room,
            large_prompt_grace: query.grace,
            latency: query.pace,
            slots: query.slots,
            remote_penalty: FAR,
            adapter_penalty: FETCH,
        };
        let choice = selection::choose(&wanted, candidates)?;
        let node = inner.nodes.get(&choice.endpoint)?;
        Some(Seat {
            ready: ready(node),
            place: node.place(),
            first_event: choice.time_to_first_event,
            fresh: choice.uncached_tokens,
            reading: choice.prefill_time,
            backlog: choice.queued_prefill,
            before: choice.prefill_ahead,
            running: choice.running,
            fits: choice.fits(&wanted),
        })
    }

    /// What requests for a model take, as far as this entry saw.
    pub(crate) fn pace(&self, service: &id::Service, model: &id::Model) -> latency::Estimate {
        self.paces.lock().estimate(service, model)
    }

    /// Learns from what came back.
    pub(crate) fn learn(&self, work: impl FnOnce(&mut latency::Estimator)) {
        work(&mut self.paces.lock());
    }

    /// Where an engine is, if it still serves a model.
    pub(crate) fn place(&self, endpoint: &id::Endpoint, model: &id::Model) -> Option<Place> {
        let inner = self.inner.lock();
        let node = inner.nodes.get(endpoint)?;
        (node.ready && node.holds(model)).then(|| node.place())
    }

    /// The endpoint of a plain service with the fewest requests of this entry.
    pub(crate) fn plain(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
    ) -> Option<Place> {
        let inner = self.inner.lock();
        let usable: Vec<&Node> = inner.untried(service, tried).collect();
        let trusted = trusted(now, &usable);
        let best = trusted.into_iter().min_by_key(|node| {
            let running = inner.tally(now, node).running;
            let far = u32::from(!node.near) * FAR_REQUESTS;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a part of one, times a small number"
            )]
            let failing = (node.failures.part(now) * FAILING_REQUESTS) as u32;
            let mixed = prefix_cache::affinity(now.0, &node.endpoint);
            (running + far + failing, mixed)
        });
        best.map(Node::place)
    }

    /// Whether any endpoint of a service may get work.
    pub(crate) fn serves(&self, service: &id::Service) -> bool {
        let inner = self.inner.lock();
        inner.untried(service, &Tried::new()).next().is_some()
    }

    /// Counts a request as sent.
    pub(crate) fn sent(
        &self,
        now: duration::Instant,
        place: &Place,
        rank: usize,
        reading: u32,
        chain: Option<&prefix_cache::Chain>,
    ) {
        self.change(place, |node| {
            node.own.add(rank, reading);
            if let Some(chain) = chain {
                node.memory.record_sent(now, chain);
            }
        });
    }

    /// A prompt was read.
    pub(crate) fn read(&self, place: &Place, rank: usize, reading: u32) {
        self.change(place, |node| node.own.finish_prefill(rank, reading));
    }

    /// A request has ended.
    pub(crate) fn ended(&self, place: &Place) {
        self.change(place, |node| node.own.finish_request());
    }

    /// Whether an endpoint answered a request as it should.
    pub(crate) fn judged(&self, now: duration::Instant, place: &Place, good: bool) {
        self.change(place, |node| node.failures.count(now, good));
    }

    /// An endpoint could not be reached.
    pub(crate) fn unreachable(&self, now: duration::Instant, place: &Place) {
        self.change(place, |node| node.unreachable = Some(now));
    }

    /// An endpoint said that it lacks a model or adapter.
    pub(crate) fn lacks(&self, place: &Place, model: &id::Model, adapter: Option<&SmolStr>) {
        self.change(place, |node| match adapter {
            Some(adapter) => {
                node.adapters
                    .remove(format_smolstr!("{model}/{adapter}").as_str());
            }
            None => {
                node.models.remove(model.as_str());
            }
        });
    }

    /// An adapter is ready at an engine.
    pub(crate) fn has(&self, place: &Place, model: &id::Model, adapter: &SmolStr) {
        self.change(place, |node| {
            node.adapters.insert(format_smolstr!("{model}/{adapter}"));
        });
    }

    fn change(&self, place: &Place, work: impl FnOnce(&mut Node)) {
        let mut inner = self.inner.lock();
        let node = inner.nodes.get_mut(&place.endpoint);
        if let Some(node) = node.filter(|node| node.boot == place.boot) {
            work(node);
        }
    }

    /// What this entry has sent, for the others.
    pub(crate) fn own(&self) -> Vec<(u32, backlog::Backlog)> {
        let inner = self.inner.lock();
        let nodes = inner.nodes.values();
        let busy = nodes.filter(|node| !node.own.is_empty());
        busy.map(|node| (node.digest, node.own)).collect()
    }

    /// Takes what another entry has sent.
    pub(crate) fn heard(
        &self,
        now: duration::Instant,
        from: address::Socket,
        sequence: u64,
        tallies: Vec<(u32, backlog::Backlog)>,
    ) {
        let mut inner = self.inner.lock();
        let known = inner.others.get(&from);
        // A datagram may overtake another; after a restart the count begins anew.
        let old =
            known.is_some_and(|known| sequence <= known.sequence && now.since(known.at) < STALE);
        if old {
            return;
        }
        let tallies = tallies.into_iter().collect();
        let heard = Heard {
            at: now,
            sequence,
            tallies,
        };
        inner.others.insert(from, heard);
        inner
            .others
            .retain(|_, heard| now.since(heard.at) < duration::Span::from_secs(10));
    }

    /// The endpoints for people.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        let shown = inner.nodes.iter().map(|(name, node)| {
            let state = serde_json::json!({
                "ready": node.ready, "models": node.models, "adapters": node.adapters,
                "retiring": node.retiring, "unread": node.own.unread, "running": node.own.running,
            });
            (name.to_string(), state)
        });
        shown.collect::<serde_json::Map<_, _>>().into()
    }
}

impl Inner {
    fn index(&mut self, now: duration::Instant, domain: &id::Domain) {
        let mut before = std::mem::take(&mut self.nodes);
        self.services.clear();
        for (name, known) in self.endpoints.iter() {
            let Some(service) = &known.announcement.service else {
                continue;
            };
            let told = self.residencies.get(name);
            let old = before.remove(name);
            let node = Node::new(now, known, told, domain, old);
            self.services
                .entry(service.clone())
                .or_default()
                .push(name.clone());
            self.nodes.insert(name.clone(), node);
        }
    }

    /// Endpoints of a service that are ready; those that are only silent if no
    /// other is.
    fn untried(&self, service: &id::Service, tried: &Tried) -> impl Iterator<Item = &Node> {
        let names = self.services.get(service).into_iter().flatten();
        let nodes = names.filter_map(|name| self.nodes.get(name));
        let open = nodes.filter(|node| !tried.contains(&node.endpoint));
        let any_ready = open.clone().any(|node| node.ready);
        open.filter(move |node| node.ready || (node.suspect && !any_ready))
    }

    /// Own sends and those that other entries told of.
    fn tally(&self, now: duration::Instant, node: &Node) -> backlog::Backlog {
        let others = self.others.values();
        let fresh = others.filter(|heard| now.since(heard.at) < STALE);
        let told = fresh.filter_map(|heard| heard.tallies.get(&node.digest));
        told.fold(node.own, backlog::Backlog::combined)
    }
}

/// Endpoints that could be reached of late, or all if none could.
fn trusted<'nodes>(now: duration::Instant, nodes: &[&'nodes Node]) -> Vec<&'nodes Node> {
    let reached = nodes.iter().filter(|node| node.is_reached(now));
    let reached: Vec<&Node> = reached.copied().collect();
    if reached.is_empty() {
        return nodes.to_vec();
    }
    reached
}

/// The engine to which a prompt's session belongs.
fn home<'nodes>(query: &Query<'_>, nodes: &[&'nodes Node]) -> Option<&'nodes id::Endpoint> {
    let session = query.chain.session()?;
    let names = nodes.iter().map(|node| &node.endpoint);
    names.max_by_key(|name| prefix_cache::affinity(session, name))
}
