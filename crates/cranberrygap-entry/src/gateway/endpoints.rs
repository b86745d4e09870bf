//! State of the endpoints of each service, and the choice among them.

mod notices;
mod state;

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_model::{address, duration, id, number};
use cranberrygap_routing::prompt::{backlog, latency, prefix_cache, selection};
use cranberrygap_wire::view as wire_view;
use parking_lot::Mutex;
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};

use crate::view;

pub(crate) use notices::Notice;
use state::State;

/// Endpoints that a request was already sent to.
pub(crate) type Tried = SmallVec<[id::Endpoint; 3]>;

/// Cost of an engine in another failure domain compared to a near one, as waiting time.
/// Traffic between domains is paid for, and takes a millisecond or two each way.
const REMOTE_PENALTY: duration::Span = duration::Span::from_millis(200);

/// Cost of an adapter that has to be loaded, as waiting time. The leader is asked and
/// orders the load, which takes about ten milliseconds.
const ADAPTER_PENALTY: duration::Span = duration::Span::from_millis(60);

/// Cost of an endpoint of a plain service in another failure domain, in running requests.
const REMOTE_PENALTY_REQUESTS: u32 = 5;

/// Cost of an endpoint of a plain service that fails every request, in running requests.
///
/// An endpoint whose only known response is a failure counts as failing a quarter. It must
/// cost more than an endpoint in another failure domain, since a request that it fails may
/// not be sent again.
const FAILURE_PENALTY_REQUESTS: f64 = 30.0;

/// Age at which the backlog that another entry announced is no longer used.
const MAX_BACKLOG_AGE: duration::Span = duration::Span::from_millis(1_200);

/// A request that needs an engine.
#[derive(Debug)]
pub(crate) struct Query<'request> {
    pub service: &'request id::Service,
    pub model: &'request id::Model,
    pub adapter: Option<&'request SmolStr>,
    pub chain: &'request prefix_cache::Chain,
    pub rank: usize,
    pub prompt_tokens: u64,
    /// Prefill time that an engine may get within the last moments.
    pub prefill_budget: duration::Span,
    /// Prefill time beside which a large prompt may go although it does not fit.
    pub large_prompt_grace: duration::Span,
    pub latency: latency::Estimate,
    pub slots: u32,
    pub tried: &'request Tried,
    /// Whether only engines that hold the adapter are considered.
    pub only_with_adapter: bool,
}

/// The endpoint that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Destination {
    pub endpoint: id::Endpoint,
    pub address: address::Socket,
    pub boot: number::Boot,
}

/// The engine chosen for a request, with the estimates behind the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Choice {
    pub destination: Destination,
    /// Predicted time to the first event.
    pub time_to_first_event: duration::Span,
    /// Prompt tokens that the engine has to read.
    pub uncached_tokens: u64,
    /// Time that the engine takes to read them.
    pub prefill_time: duration::Span,
    /// Prefill time of the prompts that wait there already.
    pub queued_prefill: duration::Span,
    /// Part of `queued_prefill` that comes before this prompt.
    pub prefill_ahead: duration::Span,
    /// Requests that run or wait there.
    pub running: u32,
    /// Whether the prompt fits beside those sent there recently.
    pub fits_budget: bool,
    /// Whether the engine holds the requested adapter, if there is one.
    pub has_adapter: bool,
}

/// Endpoints by service, with the backlog of each.
#[derive(Debug)]
pub(crate) struct Endpoints {
    domain: id::Domain,
    inner: Mutex<Inner>,
    latencies: Mutex<latency::Estimator>,
    notices: notices::Outbox,
}

#[derive(Debug, Default)]
struct Inner {
    endpoints: Arc<BTreeMap<id::Endpoint, wire_view::Endpoint>>,
    residencies: Arc<BTreeMap<id::Endpoint, wire_view::Residency>>,
    states: BTreeMap<id::Endpoint, State>,
    by_service: BTreeMap<id::Service, Vec<id::Endpoint>>,
    other_entries: BTreeMap<address::Socket, Announcement>,
}

/// The backlog that another entry announced.
#[derive(Debug)]
struct Announcement {
    received_at: duration::Instant,
    sequence: u64,
    backlogs: BTreeMap<u32, backlog::Backlog>,
}

impl Endpoints {
    pub(crate) fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            inner: Mutex::default(),
            latencies: Mutex::default(),
            notices: notices::Outbox::default(),
        }
    }

    /// Applies the endpoints of a new view.
    pub(crate) fn apply_view(&self, now: duration::Instant, view: &view::Snapshot) {
        let mut inner = self.inner.lock();
        let same = Arc::ptr_eq(view.endpoints(), &inner.endpoints)
            && Arc::ptr_eq(view.residencies(), &inner.residencies);
        if same {
            return;
        }
        inner.endpoints = Arc::clone(view.endpoints());
        inner.residencies = Arc::clone(view.residencies());
        inner.rebuild_states(now, &self.domain);
    }

    /// The engine with the earliest first event for a request.
    pub(crate) fn choose_engine(
        &self,
        now: duration::Instant,
        query: &Query<'_>,
    ) -> Option<Choice> {
        let inner = self.inner.lock();
        let adapter = query
            .adapter
            .map(|adapter| format_smolstr!("{}/{adapter}", query.model));
        let has_adapter = |state: &State| {
            let adapter = adapter.as_ref();
            adapter.is_none_or(|adapter| state.adapters.contains(adapter.as_str()))
        };
        let usable: Vec<&State> = inner
            .usable_states(query.service, query.tried)
            .filter(|state| state.holds_model(query.model))
            .filter(|state| !query.only_with_adapter || has_adapter(state))
            .collect();
        let reachable_states = filter_reachable(now, &usable);
        let home = session_engine(query, &reachable_states);
        let candidates = reachable_states.iter().map(|state| selection::Candidate {
            endpoint: &state.endpoint,
            backlog: inner.backlog(now, state),
            recent_prefill: state.recent_prompts.prefill_time(now),
            cached_tokens: state.prefix_cache.cached_tokens(now, query.chain),
            has_affinity: home == Some(&state.endpoint),
            same_domain: state.same_domain,
            has_adapter: has_adapter(state),
            failure_rate: state.failures.failure_rate(now),
        });
        let request = selection::Request {
            rank: query.rank,
            prompt_tokens: query.prompt_tokens,
            shared_tokens: query.chain.shared_tokens(),
            prefill_budget: query.prefill_budget,
            large_prompt_grace: query.large_prompt_grace,
            latency: query.latency,
            slots: query.slots,
            remote_penalty: REMOTE_PENALTY,
            adapter_penalty: ADAPTER_PENALTY,
        };
        let choice = selection::choose(&request, candidates)?;
        let state = inner.states.get(&choice.endpoint)?;
        Some(Choice {
            has_adapter: has_adapter(state),
            destination: state.destination(),
            time_to_first_event: choice.time_to_first_event,
            uncached_tokens: choice.uncached_tokens,
            prefill_time: choice.prefill_time,
            queued_prefill: choice.queued_prefill,
            prefill_ahead: choice.prefill_ahead,
            running: choice.running,
            fits_budget: choice.fits(&request),
        })
    }

    /// Latency of requests for a model, as this entry observed it.
    pub(crate) fn latency(&self, service: &id::Service, model: &id::Model) -> latency::Estimate {
        self.latencies.lock().estimate(service, model)
    }

    /// Adds observations to the latency estimates.
    pub(crate) fn observe_latency(&self, observe: impl FnOnce(&mut latency::Estimator)) {
        observe(&mut self.latencies.lock());
    }

    /// Destination of an engine, if it still serves the model.
    pub(crate) fn destination(
        &self,
        endpoint: &id::Endpoint,
        model: &id::Model,
    ) -> Option<Destination> {
        let inner = self.inner.lock();
        let state = inner.states.get(endpoint)?;
        (state.ready && state.holds_model(model)).then(|| state.destination())
    }

    /// The endpoint of a plain service with the fewest requests of this entry.
    pub(crate) fn choose_plain_endpoint(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
    ) -> Option<Destination> {
        let inner = self.inner.lock();
        let usable: Vec<&State> = inner.usable_states(service, tried).collect();
        let reachable_states = filter_reachable(now, &usable);
        let best = reachable_states.into_iter().min_by_key(|state| {
            let running = inner.backlog(now, state).running;
            let remote_penalty = u32::from(!state.same_domain) * REMOTE_PENALTY_REQUESTS;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a share of one, times a small number"
            )]
            let failure_penalty =
                (state.failures.failure_rate(now) * FAILURE_PENALTY_REQUESTS) as u32;
            let tie_breaker = prefix_cache::affinity(now.0, &state.endpoint);
            (running + remote_penalty + failure_penalty, tie_breaker)
        });
        best.map(State::destination)
    }

    /// Whether any endpoint of a service can get requests.
    pub(crate) fn has_usable_endpoint(&self, service: &id::Service) -> bool {
        let inner = self.inner.lock();
        inner.usable_states(service, &Tried::new()).next().is_some()
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(
        &self,
        now: duration::Instant,
        destination: &Destination,
        rank: usize,
        prefill_micros: u32,
        chain: Option<&prefix_cache::Chain>,
    ) {
        self.update_state(destination, |state| {
            state.own_backlog.add(rank, prefill_micros);
            if let Some(chain) = chain {
                state.prefix_cache.record_sent(now, chain);
            }
        });
    }

    /// Records that an engine has read a prompt.
    pub(crate) fn record_prefill(
        &self,
        destination: &Destination,
        rank: usize,
        prefill_micros: u32,
    ) {
        self.update_state(destination, |state| {
            state.own_backlog.finish_prefill(rank, prefill_micros);
        });
    }

    /// Records that a request ended.
    pub(crate) fn record_ended(&self, destination: &Destination) {
        self.update_state(destination, |state| state.own_backlog.finish_request());
    }

    /// Records whether an endpoint responded as it should.
    pub(crate) fn record_outcome(
        &self,
        now: duration::Instant,
        destination: &Destination,
        success: bool,
    ) {
        self.update_state(destination, |state| state.failures.record(now, success));
    }

    /// Records that an endpoint could not be reached.
    pub(crate) fn record_unreachable(&self, now: duration::Instant, destination: &Destination) {
        self.update_state(destination, |state| state.unreachable_at = Some(now));
    }

    /// Records that an endpoint does not hold a model or adapter.
    pub(crate) fn record_missing(
        &self,
        destination: &Destination,
        model: &id::Model,
        adapter: Option<&SmolStr>,
    ) {
        self.update_state(destination, |state| match adapter {
            Some(adapter) => {
                state
                    .adapters
                    .remove(format_smolstr!("{model}/{adapter}").as_str());
            }
            None => {
                state.models.remove(model.as_str());
            }
        });
    }

    /// Records that an engine holds an adapter.
    pub(crate) fn record_adapter(
        &self,
        destination: &Destination,
        model: &id::Model,
        adapter: &SmolStr,
    ) {
        self.update_state(destination, |state| {
            state.adapters.insert(format_smolstr!("{model}/{adapter}"));
        });
    }

    fn update_state(&self, destination: &Destination, update: impl FnOnce(&mut State)) {
        let mut inner = self.inner.lock();
        let state = inner.states.get_mut(&destination.endpoint);
        if let Some(state) = state.filter(|state| state.boot == destination.boot) {
            update(state);
        }
    }

    /// Backlog that this entry caused at each endpoint, for the other entries.
    pub(crate) fn own_backlogs(&self) -> Vec<(u32, backlog::Backlog)> {
        let inner = self.inner.lock();
        let states = inner.states.values();
        let busy = states.filter(|state| !state.own_backlog.is_empty());
        busy.map(|state| (state.name_hash, state.own_backlog))
            .collect()
    }

    /// Applies the backlog that another entry announced.
    pub(crate) fn apply_backlogs(
        &self,
        now: duration::Instant,
        from: address::Socket,
        sequence: u64,
        backlogs: Vec<(u32, backlog::Backlog)>,
    ) {
        let mut inner = self.inner.lock();
        let previous = inner.other_entries.get(&from);
        // Datagrams may arrive out of order, and the sequence starts anew when the entry
        // restarts.
        let is_old = previous.is_some_and(|previous| {
            sequence <= previous.sequence && now.since(previous.received_at) < MAX_BACKLOG_AGE
        });
        if is_old {
            return;
        }
        let backlogs = backlogs.into_iter().collect();
        let announcement = Announcement {
            received_at: now,
            sequence,
            backlogs,
        };
        inner.other_entries.insert(from, announcement);
        inner.other_entries.retain(|_, announcement| {
            now.since(announcement.received_at) < duration::Span::from_secs(10)
        });
    }

    /// State of all endpoints, for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock();
        let states = inner.states.iter().map(|(name, state)| {
            let value = serde_json::json!({
                "ready": state.ready, "models": state.models, "adapters": state.adapters,
                "retiring": state.retiring, "unread": state.own_backlog.queued_micros, "running": state.own_backlog.running,
            });
            (name.to_string(), value)
        });
        states.collect::<serde_json::Map<_, _>>().into()
    }
}

impl Inner {
    fn rebuild_states(&mut self, now: duration::Instant, domain: &id::Domain) {
        let mut previous_states = std::mem::take(&mut self.states);
        self.by_service.clear();
        for (name, endpoint) in self.endpoints.iter() {
            let Some(service) = &endpoint.announcement.service else {
                continue;
            };
            let residency = self.residencies.get(name);
            let previous = previous_states.remove(name);
            let state = State::new(now, endpoint, residency, domain, previous);
            self.by_service
                .entry(service.clone())
                .or_default()
                .push(name.clone());
            self.states.insert(name.clone(), state);
        }
    }

    /// Ready endpoints of a service that were not tried; suspect ones if none is ready.
    fn usable_states(&self, service: &id::Service, tried: &Tried) -> impl Iterator<Item = &State> {
        let names = self.by_service.get(service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let untried = states.filter(|state| !tried.contains(&state.endpoint));
        let any_ready = untried.clone().any(|state| state.ready);
        untried.filter(move |state| state.ready || (state.suspect && !any_ready))
    }

    /// Backlog of an endpoint, caused by this entry and the others.
    fn backlog(&self, now: duration::Instant, state: &State) -> backlog::Backlog {
        let others = self.other_entries.values();
        let fresh =
            others.filter(|announcement| now.since(announcement.received_at) < MAX_BACKLOG_AGE);
        let theirs = fresh.filter_map(|announcement| announcement.backlogs.get(&state.name_hash));
        theirs.fold(state.own_backlog, backlog::Backlog::combined)
    }
}

/// Endpoints that can be reached as far as known, or all if there are none.
fn filter_reachable<'states>(
    now: duration::Instant,
    states: &[&'states State],
) -> Vec<&'states State> {
    let reached = states.iter().filter(|state| state.is_reachable(now));
    let reached: Vec<&State> = reached.copied().collect();
    if reached.is_empty() {
        return states.to_vec();
    }
    reached
}

/// The engine that the prompt's session has the highest affinity to.
fn session_engine<'states>(
    query: &Query<'_>,
    states: &[&'states State],
) -> Option<&'states id::Endpoint> {
    let session = query.chain.session()?;
    let names = states.iter().map(|state| &state.endpoint);
    names.max_by_key(|name| prefix_cache::affinity(session, name))
}
