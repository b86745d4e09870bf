//! State of the endpoints of each service, and the choice among them.

mod cold;
mod evacuation;
mod gate;
mod homes;
mod limits;
mod notices;
mod questions;
mod room;
mod speeds;
mod state;

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_model::{address, duration, id, number, rate, software};
use cranberrygap_routing::brittle;
use cranberrygap_routing::cold::ledger as cold_ledger;
use cranberrygap_routing::evacuation as evacuations;
use cranberrygap_routing::gate::book as gate_book;
use cranberrygap_routing::limit;
use cranberrygap_routing::origin;
use cranberrygap_routing::prompt::{home, inquiry, latency, prefix_cache, selection, speed};
use cranberrygap_wire::view as wire_view;
use parking_lot::Mutex;
use smallvec::SmallVec;
use smol_str::{SmolStr, format_smolstr};

use crate::quarantine;
use crate::view;
use crate::view::traffic;

pub(crate) use gate::Verdict;
pub(crate) use limits::{Claim, Wanted};
pub(crate) use notices::Notice;
pub(crate) use questions::Question;
pub(crate) use room::News;
pub(crate) use speeds::Observed;
use state::State;

/// Endpoints that a request was already sent to.
pub(crate) type Tried = SmallVec<[id::Endpoint; 3]>;

/// Cost of an engine in another failure domain compared to a near one, as waiting time.
/// Traffic between domains is paid for, and takes a millisecond or two each way.
const REMOTE_PENALTY: duration::Span = duration::Span::from_millis(200);

/// Cost of each request at an engine for a suspect, as waiting time. All of them are lost if the
/// suspect crashes the engine.
const SUSPECT_RUNNING_PENALTY: duration::Span = duration::Span::from_millis(100);

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

/// Cost of an endpoint of a plain service that named a limit a moment ago, in running requests.
/// It is chosen last, even after one that fails every request.
const LIMIT_PENALTY_REQUESTS: u32 = 100;

/// Engines whose homes are asked before a choice: the best as far as this entry knows.
const MAX_ASKED_ENGINES: usize = 4;

/// Plain endpoints whose homes are asked before a choice.
const MAX_ASKED_PLAIN_ENDPOINTS: usize = 3;

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
    /// Software versions at which the request may run.
    pub requirement: origin::Requirement<'request>,
    /// Whether an engine with few requests is preferred, since it may crash.
    pub prefers_idle: bool,
    /// Whether only engines that hold the adapter are considered.
    pub only_with_adapter: bool,
    /// Whether only engines are considered that are spared because of their limits.
    pub only_spared: bool,
}

/// The endpoint that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Destination {
    pub endpoint: id::Endpoint,
    pub address: address::Socket,
    pub boot: number::Boot,
    /// Version of the software that this boot runs.
    pub software: Option<software::Version>,
}

impl Destination {
    /// Where it runs, as the quarantine sees it.
    pub(crate) fn place(&self) -> quarantine::Place {
        quarantine::Place {
            endpoint: self.endpoint.clone(),
            boot: self.boot,
            address: self.address,
        }
    }
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
    questions: questions::Outbox,
    limit_outbox: limits::Outbox,
    speed_outbox: speeds::Outbox,
}

#[derive(Debug, Default)]
struct Inner {
    endpoints: Arc<BTreeMap<id::Endpoint, wire_view::Endpoint>>,
    residencies: Arc<BTreeMap<id::Endpoint, wire_view::Residency>>,
    states: BTreeMap<id::Endpoint, State>,
    by_service: BTreeMap<id::Service, Vec<id::Endpoint>>,
    homes: homes::Homes,
    /// What other entries told of the endpoints that this entry is the home of.
    book: home::Book,
    /// What the homes of other endpoints told.
    learned: BTreeMap<u32, home::Learned>,
    /// Speeds of the engines that this entry is the home of.
    speeds: speed::book::Book,
    /// Speeds of all engines as far as their homes told them.
    known_speeds: speed::known::Known,
    /// Room at the endpoints with a limit that this entry is the home of.
    limits: limit::ledger::Ledger,
    /// Places at the brittle endpoints that this entry is the home of.
    places: brittle::ledger::Ledger,
    /// Services of which an endpoint said that it is brittle, with when it did.
    brittle_services: BTreeMap<id::Service, (rate::Rejections, duration::Instant)>,
    /// Room at the cold endpoints of this home.
    cold_rooms: cold_ledger::Ledger,
    /// Requests a second that a cold endpoint bears, by service.
    cold_limits: BTreeMap<id::Service, rate::Limit>,
    traffic: Option<Arc<traffic::Table>>,
    /// Failure domains whose endpoints get no requests.
    evacuations: evacuations::Book,
    /// Processes that asked this entry for rest, or drain.
    gate: gate_book::Book,
}

impl Endpoints {
    /// Creates a table without endpoints for an entry in `domain`.
    ///
    /// `gossip_port` is the port at which all entries tell and ask each other of their load.
    pub(crate) fn new(
        instance: id::Instance,
        domain: id::Domain,
        gossip_port: Option<u16>,
    ) -> Self {
        let inner = Inner {
            homes: homes::Homes::new(instance, gossip_port),
            ..Inner::default()
        };
        Self {
            domain,
            inner: Mutex::new(inner),
            latencies: Mutex::default(),
            notices: notices::Outbox::default(),
            questions: questions::Outbox::default(),
            limit_outbox: limits::Outbox::default(),
            speed_outbox: speeds::Outbox::default(),
        }
    }

    /// Applies the endpoints of a new view.
    pub(crate) fn apply_view(&self, now: duration::Instant, view: &view::Snapshot) {
        let mut inner = self.inner.lock();
        inner.homes.apply_view(now, view);
        inner.evacuations.apply_view(now, view.evacuated());
        inner.apply_traffic(view);
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
        let candidates = inner.candidates(now, query);
        let choice = selection::choose(&query.to_request(), candidates.into_iter())?;
        let state = inner.states.get(&choice.endpoint)?;
        Some(Choice {
            has_adapter: state.holds_adapter(query.adapter_name().as_ref()),
            destination: state.destination(),
            time_to_first_event: choice.time_to_first_event,
            uncached_tokens: choice.uncached_tokens,
            prefill_time: choice.prefill_time,
            queued_prefill: choice.queued_prefill,
            prefill_ahead: choice.prefill_ahead,
            running: choice.running,
            fits_budget: choice.fits(&query.to_request()),
        })
    }

    /// Asks the homes of the best engines for their load, so that a choice right after it
    /// knows what the other entries have sent.
    pub(crate) async fn refresh_engines(&self, now: duration::Instant, query: &Query<'_>) {
        let subjects = |inner: &Inner| inner.engine_subjects(now, query);
        self.ask_homes(now, MAX_ASKED_ENGINES, subjects).await;
    }

    /// Asks the homes of the best endpoints of a plain service for their load.
    pub(crate) async fn refresh_plain_endpoints(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) {
        let subjects = |inner: &Inner| inner.plain_subjects(now, service, tried, requirement);
        self.ask_homes(now, MAX_ASKED_PLAIN_ENDPOINTS, subjects)
            .await;
    }

    /// Asks the homes of the best endpoints: first those of near ones, then those of others that
    /// may still be chosen.
    async fn ask_homes(
        &self,
        now: duration::Instant,
        most: usize,
        subjects: impl Fn(&Inner) -> Vec<inquiry::Subject>,
    ) {
        let (first, questions) = {
            let inner = self.inner.lock();
            let first = inquiry::first(&subjects(&inner), most);
            let questions = inner.questions_about(now, first.asked.iter());
            (first, questions)
        };
        self.questions.ask(now, questions).await;
        if !first.defers {
            return;
        }
        let questions = {
            let inner = self.inner.lock();
            let second = inquiry::second(&subjects(&inner), most, &first);
            inner.questions_about(now, second.iter())
        };
        self.questions.ask(now, questions).await;
    }

    /// Latency of requests for a model, as this entry observed it.
    pub(crate) fn latency(&self, service: &id::Service, model: &id::Model) -> latency::Estimate {
        self.latencies.lock().estimate(service, model)
    }

    /// Adds observations to the latency estimates.
    pub(crate) fn observe_latency(&self, observe: impl FnOnce(&mut latency::Estimator)) {
        observe(&mut self.latencies.lock());
    }

    /// Destination of an engine, if it still serves the model and has a version that the request
    /// may run at.
    pub(crate) fn destination(
        &self,
        now: duration::Instant,
        endpoint: &id::Endpoint,
        model: &id::Model,
        requirement: origin::Requirement<'_>,
    ) -> Option<Destination> {
        let inner = self.inner.lock();
        let state = inner.states.get(endpoint)?;
        let is_usable = state.ready
            && state.holds_model(model)
            && !inner.is_evacuated(state)
            && inner.is_open(now, state);
        (is_usable && requirement.admits(state.software.as_ref())).then(|| state.destination())
    }

    /// Whether the endpoint still runs the process that was chosen.
    pub(crate) fn is_current(&self, destination: &Destination) -> bool {
        let inner = self.inner.lock();
        let state = inner.states.get(&destination.endpoint);
        state.is_some_and(|state| {
            state.boot == destination.boot && state.software == destination.software
        })
    }

    /// The endpoint of a plain service with the fewest requests of this entry.
    pub(crate) fn choose_plain_endpoint(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> Option<Destination> {
        let inner = self.inner.lock();
        let costs = inner.plain_costs(now, service, tried, requirement);
        let costs = costs.into_iter();
        let best = costs.min_by_key(|(cost, _)| *cost);
        best.map(|(_, state)| state.destination())
    }

    /// Whether any endpoint of a service can get requests.
    pub(crate) fn has_usable_endpoint(
        &self,
        now: duration::Instant,
        service: &id::Service,
        requirement: origin::Requirement<'_>,
    ) -> bool {
        self.has_untried_endpoint(now, service, &Tried::new(), requirement)
    }

    /// Whether any endpoint of a service beside those in `tried` can get requests, now or once it
    /// has room.
    pub(crate) fn has_untried_endpoint(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> bool {
        let inner = self.inner.lock();
        let mut usable = inner.usable_states(now, service, tried, requirement);
        usable.next().is_some()
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
        let mut plain_endpoint = None;
        let mut sent_to = None;
        self.update_state(destination, |state| {
            sent_to = Some(state.name_hash);
            state.own_backlog.add(rank, prefill_micros);
            match chain {
                Some(chain) => state.prefix_cache.record_sent(now, chain),
                None => plain_endpoint = Some(state.name_hash),
            }
        });
        if let Some(name_hash) = sent_to {
            self.inner.lock().places.settle(name_hash, None);
        }
        // A prompt was told of when its engine was chosen.
        if let Some(name_hash) = plain_endpoint {
            self.add_notice(name_hash, rank, prefill_micros);
        }
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
    pub(crate) fn record_ended(&self, now: duration::Instant, destination: &Destination) {
        self.update_state(destination, |state| state.own_backlog.finish_request());
        self.tell_end(now, &destination.endpoint);
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

    /// State of all endpoints, for operators.
    pub(crate) fn dump(&self, now: duration::Instant) -> serde_json::Value {
        let inner = self.inner.lock();
        let states = inner.states.iter().map(|(name, state)| {
            let value = serde_json::json!({
                "ready": state.ready, "models": state.models, "adapters": state.adapters,
                "retiring": state.retiring, "unread": state.own_backlog.queued_micros, "running": state.own_backlog.running,
                "limit": state.limit.named(), "temperature": state.temperature, "evacuated": inner.is_evacuated(state),
                "bears_rejections": state.room.bears().map(|bears| bears.to_string()),
                "gate": inner.gate.describe(now, state.process()),
                "speed": inner.dump_speed(state),
            });
            (name.to_string(), value)
        });
        states.collect::<serde_json::Map<_, _>>().into()
    }
}

impl Inner {
    fn apply_traffic(&mut self, view: &view::Snapshot) {
        let same = match (view.traffic(), &self.traffic) {
            (Some(new), Some(old)) => Arc::ptr_eq(new, old),
            (new, old) => new.is_none() && old.is_none(),
        };
        if same {
            return;
        }
        self.traffic = view.traffic().cloned();
        let services = self.traffic.iter();
        let services = services.flat_map(|table| &table.plan().services);
        let limits = services.filter_map(|planned| {
            let limit = planned.cold_limit?;
            Some((planned.service.clone(), limit))
        });
        self.cold_limits = limits.collect();
    }

    fn rebuild_states(&mut self, now: duration::Instant, domain: &id::Domain) {
        let mut previous_states = std::mem::take(&mut self.states);
        self.by_service.clear();
        self.homes.clear_endpoints();
        for (name, endpoint) in self.endpoints.iter() {
            let Some(service) = &endpoint.announcement.service else {
                continue;
            };
            let residency = self.residencies.get(name);
            let previous = previous_states.remove(name);
            let previous_boot = previous.as_ref().map(|previous| previous.boot);
            let state = State::new(now, service, endpoint, residency, domain, previous);
            if previous_boot.is_some_and(|boot| boot != state.boot) {
                self.limits.forget(state.name_hash);
                self.places.forget(state.name_hash);
                self.speeds.forget(state.name_hash);
                self.known_speeds.forget(state.name_hash);
            }
            self.homes
                .set_endpoint(state.name_hash, &endpoint.announcement.domain);
            self.by_service
                .entry(service.clone())
                .or_default()
                .push(name.clone());
            self.states.insert(name.clone(), state);
        }
        for gone in previous_states.values() {
            self.limits.forget(gone.name_hash);
            self.places.forget(gone.name_hash);
            self.cold_rooms.forget(gone.name_hash);
            self.speeds.forget(gone.name_hash);
            self.known_speeds.forget(gone.name_hash);
        }
        self.homes.forget_gone_endpoints();
        self.record_seen(now);
    }

    /// Ready endpoints of a service that were not tried, of versions that the request may run at;
    /// suspect ones if none is ready. Those of evacuated failure domains, those that rest and those
    /// that drain are not among them.
    fn usable_states<'inner>(
        &'inner self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> impl Iterator<Item = &'inner State> {
        let in_service = |state: &&State| !self.is_evacuated(state);
        self.usable_states_among(now, service, tried, requirement, in_service)
    }

    /// The same of those that were evacuated a moment ago. They still get requests that no other
    /// endpoint can serve.
    fn usable_evacuating_states<'inner>(
        &'inner self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> impl Iterator<Item = &'inner State> {
        let is_evacuating = move |state: &&State| self.is_evacuating(now, state);
        self.usable_states_among(now, service, tried, requirement, is_evacuating)
    }

    fn usable_states_among<'inner>(
        &'inner self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
        is_considered: impl Fn(&&'inner State) -> bool + Clone,
    ) -> impl Iterator<Item = &'inner State> {
        let names = self.by_service.get(service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let states = states.filter(is_considered);
        let states = states.filter(move |state| self.is_open(now, state));
        let states = states.filter(move |state| requirement.admits(state.software.as_ref()));
        let untried = states.filter(|state| !tried.contains(&state.endpoint));
        let any_ready = untried.clone().any(|state| state.ready);
        untried.filter(move |state| state.ready || (state.suspect && !any_ready))
    }

    /// Candidates for a request among the engines that hold its model.
    fn candidates<'inner>(
        &'inner self,
        now: duration::Instant,
        query: &Query<'_>,
    ) -> Vec<selection::Candidate<'inner>> {
        let adapter = query.adapter_name();
        let adapter = adapter.as_ref();
        let holds = |state: &&State| {
            state.holds_model(query.model)
                && (!query.only_with_adapter || state.holds_adapter(adapter))
        };
        let (service, tried, requirement) = (query.service, query.tried, query.requirement);
        let usable = self.usable_states(now, service, tried, requirement);
        let mut usable: Vec<&State> = usable.filter(holds).collect();
        if usable.is_empty() {
            let evacuating = self.usable_evacuating_states(now, service, tried, requirement);
            usable.extend(evacuating.filter(holds));
        }
        usable.retain(|state| self.has_room(now, state));
        let usable = self.filter_by_limit(now, usable, query.only_spared);
        let reachable_states = filter_reachable(now, &usable);
        let session_engine = session_engine(query, &reachable_states);
        let model = speed::model_key(query.model);
        let peers = self.known_speeds.peers(model);
        let candidates = reachable_states.iter().map(|state| {
            let others = self.load_of_others(now, state);
            let own_prompts = state.recent_prompts.prefill_time(now);
            selection::Candidate {
                endpoint: &state.endpoint,
                backlog: state.own_backlog.combined(&others.backlog),
                recent_prefill: duration::Span(own_prompts.0 + u64::from(others.recent_micros)),
                cached_tokens: state.prefix_cache.cached_tokens(now, query.chain),
                has_affinity: session_engine == Some(&state.endpoint),
                same_domain: state.same_domain,
                has_adapter: state.holds_adapter(adapter),
                failure_rate: state.failures.failure_rate(now),
                speed: Some(self.speed(now, state, model, &peers)),
            }
        });
        candidates.collect()
    }

    /// Engines that are not spared because of their limits, or all if there are no others; with
    /// `only_spared` those that are spared.
    fn filter_by_limit<'states>(
        &self,
        now: duration::Instant,
        states: Vec<&'states State>,
        only_spared: bool,
    ) -> Vec<&'states State> {
        let (spared, others): (Vec<&State>, Vec<&State>) = states
            .into_iter()
            .partition(|state| self.is_spared(now, state));
        if only_spared || others.is_empty() {
            return spared;
        }
        others
    }

    /// Cost of the usable endpoints of a plain service, in running requests; the time breaks
    /// ties.
    fn plain_costs(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> Vec<((u32, u64), &State)> {
        let usable = self.usable_states(now, service, tried, requirement);
        let mut usable: Vec<&State> = usable.collect();
        if usable.is_empty() {
            usable.extend(self.usable_evacuating_states(now, service, tried, requirement));
        }
        usable.retain(|state| self.has_room(now, state));
        let reachable_states = filter_reachable(now, &usable);
        let costs = reachable_states.into_iter().map(|state| {
            let others = self.load_of_others(now, state);
            let running = state.own_backlog.running + others.backlog.running;
            let remote_penalty = u32::from(!state.same_domain) * REMOTE_PENALTY_REQUESTS;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a share of one, times a small number"
            )]
            let failure_penalty =
                (state.failures.failure_rate(now) * FAILURE_PENALTY_REQUESTS) as u32;
            let limit_penalty = u32::from(self.is_spared(now, state)) * LIMIT_PENALTY_REQUESTS;
            let tie_breaker = prefix_cache::affinity(now.0, &state.endpoint);
            let cost = running + remote_penalty + failure_penalty + limit_penalty;
            ((cost, tie_breaker), state)
        });
        costs.collect()
    }

    /// Engines that may be chosen for a request.
    fn engine_subjects(&self, now: duration::Instant, query: &Query<'_>) -> Vec<inquiry::Subject> {
        let request = query.to_request();
        let subjects = self.candidates(now, query).into_iter().map(|candidate| {
            let state = self.states.get(candidate.endpoint);
            let without_others = state.map_or(candidate, |state| selection::Candidate {
                backlog: state.own_backlog,
                recent_prefill: state.recent_prompts.prefill_time(now),
                ..candidate
            });
            inquiry::Subject {
                endpoint: candidate.endpoint.clone(),
                cost: selection::cost(&request, candidate),
                least_cost: selection::cost(&request, without_others),
                same_domain: candidate.same_domain,
            }
        });
        subjects.collect()
    }

    /// Endpoints of a plain service that may be chosen.
    fn plain_subjects(
        &self,
        now: duration::Instant,
        service: &id::Service,
        tried: &Tried,
        requirement: origin::Requirement<'_>,
    ) -> Vec<inquiry::Subject> {
        let mut costs = self.plain_costs(now, service, tried, requirement);
        // Among equal costs, those that the tie-breaker prefers are asked about.
        costs.sort_by_key(|(cost, _)| *cost);
        let subjects = costs.into_iter().map(|((cost, _), state)| {
            let of_others = self.load_of_others(now, state).backlog.running;
            inquiry::Subject {
                endpoint: state.endpoint.clone(),
                cost: u64::from(cost),
                least_cost: u64::from(cost.saturating_sub(of_others)),
                same_domain: state.same_domain,
            }
        });
        subjects.collect()
    }

    /// Load of an endpoint that other entries cause, as its home knows it.
    fn load_of_others(&self, now: duration::Instant, state: &State) -> home::Load {
        if self.homes.is_own(state.name_hash) {
            return self.book.load_without(now, state.name_hash, None);
        }
        let learned = self.learned.get(&state.name_hash);
        learned.map_or_else(home::Load::default, |learned| learned.load(now))
    }
}

impl Query<'_> {
    /// Name under which engines list the requested adapter, if there is one.
    fn adapter_name(&self) -> Option<SmolStr> {
        self.adapter
            .map(|adapter| format_smolstr!("{}/{adapter}", self.model))
    }

    fn to_request(&self) -> selection::Request {
        selection::Request {
            rank: self.rank,
            prompt_tokens: self.prompt_tokens,
            shared_tokens: self.chain.shared_tokens(),
            prefill_budget: self.prefill_budget,
            large_prompt_grace: self.large_prompt_grace,
            latency: self.latency,
            slots: self.slots,
            remote_penalty: REMOTE_PENALTY,
            running_penalty: if self.prefers_idle {
                SUSPECT_RUNNING_PENALTY
            } else {
                duration::Span(0)
            },
            adapter_penalty: ADAPTER_PENALTY,
        }
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
