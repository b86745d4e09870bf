//! Choice of the endpoint for the next attempt, and refusal under overload.

use std::sync::Arc;

use cranberrygap_model::{duration, id, software};
use cranberrygap_routing::admission::patience;
use cranberrygap_routing::origin;
use cranberrygap_routing::prompt::latency;
use cranberrygap_routing::{cold, limit};
use cranberrygap_wire::{method, traffic};
use smol_str::SmolStr;

use super::{Delivery, Failure, MIN_TIME_LEFT, NO_CAPACITY_RETRY_AFTER, endpoints};
use crate::gateway::{in_flight, request};
use crate::metric;
use crate::quarantine;

/// Share of the objective within which the first event must be predicted. The rest covers
/// what the prediction does not see: requests that other entries sent a moment ago.
const FIRST_EVENT_SHARE_OF_OBJECTIVE: f64 = 0.80;

/// Share of the allowed pause that reading the queued prompts may take, by rank. Less
/// urgent requests wait first.
const QUEUED_PREFILL_SHARE_OF_PAUSE: [f64; 3] = [0.81, 0.72, 0.59];

/// Share of the allowed pause for the steps of one event and the prompts sent meanwhile,
/// by rank.
///
/// An engine that spends a share `f` of its time on prompts makes its streams
/// `1 / (1 - f)` times as long. With events of 24 ms, the first value leaves 0.81 of the time for
/// prompts, and a stream takes five times as long; at 0.89 it takes nine times as long.
/// Hundreds of streams then end at their callers' deadline, with all their work lost.
const PREFILL_SHARE_OF_PAUSE: [f64; 3] = [0.89, 0.85, 0.80];

/// Time that a request waits for a copy of its model even if none may arrive in time. A
/// copy from the disk or host memory of an engine is there within a second or so.
const NEAR_COPY_WAIT: duration::Span = duration::Span::from_millis(1_500);

/// The objective divided by this is the longest wait for an engine that is not overloaded.
/// Bursts of a few requests pass within it; a refusal would make each of them late.
const OVERLOAD_WAIT_DIVISOR: u64 = 2;

/// Upper limit of the wait for an engine that is not overloaded.
const MAX_OVERLOAD_WAIT: duration::Span = duration::Span::from_millis(420);

/// Time between two searches for an engine that is not overloaded.
const OVERLOAD_POLL_INTERVAL: duration::Span = duration::Span::from_millis(15);

/// Longest wait for an engine that will serve the request late. Callers leave after 2.4 s
/// to 3.2 s without a sign; many longer waits end with a prompt that is read for nobody.
const MAX_LATE_WAIT: duration::Span = duration::Span::from_millis(1_500);

/// Time between two searches of a late request. Requests still in time search more often.
const LATE_POLL_INTERVAL: duration::Span = duration::Span::from_millis(40);

/// Share of the allowed pause for prompts if the request is late. Requests in time go
/// first.
const LATE_PREFILL_SHARE_OF_PAUSE: f64 = 0.71;

/// An engine's slots divided by this are those that late requests leave to those in time.
///
/// Under load, some request waits for every slot that becomes free. When late requests
/// could take all slots and overfill the batch, the requests after them were late as well:
/// of 4,987 streams on a heavy day, 1,449 were in time, against 2,081 before late requests
/// could wait for seconds.
const RESERVED_SLOTS_DIVISOR: u32 = 4;

/// Objectives that a large prompt waits before it may exceed the prefill budget.
///
/// A prompt that needs most of the budget fits only if nobody else sends for a while. When
/// others waited too, a third of the largest tenth of prompts were served, against three
/// in four of all prompts. After half an objective the recent prompts count less and less,
/// and after one and a half objectives the prompt goes, at the price of one pause.
const LARGE_PROMPT_WAIT_OBJECTIVES: f64 = 0.5;

/// Part of the caller's waiting time reserved for the transfer of the request and its
/// response.
const TRANSFER_MARGIN: duration::Span = duration::Span::from_millis(150);

/// Time beyond a load from the store until a copy is ready. The models that it replaces
/// have to be evicted first.
const EVICTION_TIME: duration::Span = duration::Span::from_millis(1_500);

/// Time between two searches for a copy.
const COPY_POLL_INTERVAL: duration::Span = duration::Span::from_millis(30);

/// The objective divided by this is the longest wait for room at an endpoint with a limit.
const ROOM_WAIT_DIVISOR: u64 = 4;

/// Longest wait for the leader when an adapter is missing.
const ADAPTER_REQUEST_TIMEOUT: duration::Span = duration::Span::from_millis(600);

/// Where the next attempt goes.
#[derive(Debug)]
pub(in crate::gateway) struct Target {
    pub(in crate::gateway) destination: endpoints::Destination,
    /// Time that the engine takes to read the prompt.
    pub(in crate::gateway) prefill_time: duration::Span,
    pub(in crate::gateway) latency_sample: Option<in_flight::Sample>,
}

impl Delivery {
    /// Handles an endpoint that does not hold the expected model or adapter.
    pub(super) fn handle_missing_model(&self, target: &Target) {
        let Some(model) = &self.request.metadata.model else {
            return;
        };
        let core = &self.gateway.core;
        let adapter = self.request.metadata.adapter.as_ref();
        core.endpoints
            .record_missing(&target.destination, model, adapter);
        let Some(adapter) = adapter else {
            return;
        };
        let request = self.adapter_request(model, adapter, &target.destination.endpoint, true);
        let core = Arc::clone(core);
        tokio::spawn(async move {
            // If this message is lost, the leader learns it from the next request.
            let result: Result<traffic::Placed, _> = core
                .leader
                .call(method::ADAPTER_WANT, &request, ADAPTER_REQUEST_TIMEOUT)
                .await;
            if let Err(cause) = result {
                spdlog::debug!(
                    "gateway: reporting a missing adapter to the leader failed: {cause}"
                );
            }
        });
    }

    /// Chooses the endpoint for the next attempt.
    pub(super) async fn choose_target(&mut self) -> Result<Target, Failure> {
        let view = request::serving_view(&self.gateway)?;
        // The plan may have changed while the request waited; the plan in force at the
        // time of sending decides.
        self.resolution = self.request.resolve(&view)?;
        self.check_origin()?;
        self.log.plan_version = self.resolution.plan_version;
        self.log.revision = view.revision().0;
        let quarantine = &self.gateway.core.quarantine;
        let subjects = &self.request.subjects;
        let stage = quarantine.stage(self.now(), &view, subjects, request::ISOLATION);
        drop(view);
        match stage {
            quarantine::Stage::Refused(left) => {
                return Err(Failure::Quarantined { retry_after: left });
            }
            quarantine::Stage::PartRefused => return Err(Failure::PartQuarantined),
            quarantine::Stage::Free | quarantine::Stage::Probation => {}
        }
        self.runs_alone = stage == quarantine::Stage::Probation;
        let time_left = self.deadline().since(self.now());
        if time_left <= MIN_TIME_LEFT {
            return Err(self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "out of time"));
        }
        self.count_kept_away();
        let chosen = match self.engine_model().cloned() {
            Some(model) => self.choose_engine(&model).await,
            None => self.choose_plain_endpoint().await,
        };
        chosen.map_err(|failure| self.failure_by_limit(failure))
    }

    /// Software versions at which the request may run.
    pub(super) fn requirement(&self) -> origin::Requirement<'_> {
        origin::Requirement::of(self.request.origin.as_ref())
    }

    /// Refuses a request whose stream began at another service than its route leads to now.
    pub(super) fn check_origin(&self) -> Result<(), Failure> {
        let origin = self.request.origin.as_ref();
        if origin.is_none_or(|origin| origin.service == self.resolution.service) {
            return Ok(());
        }
        let cause = "the route does not lead to the stream's service any more";
        Err(self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, cause))
    }

    /// Counts a stream that does not go on, since no endpoint of its version can take it.
    pub(super) fn record_unversioned(&mut self, failure: &Failure) {
        let is_refused = matches!(failure, Failure::NoEndpoint { .. } | Failure::NotRun { .. });
        let Some(origin) = self.request.origin.as_ref().filter(|_| is_refused) else {
            return;
        };
        let software = software::name(origin.software.as_ref());
        let now = self.gateway.core.now();
        let step = format_args!("no endpoint of version {software} can take the stream");
        self.log.add_step(now, step);
        self.gateway
            .core
            .count(metric::GATEWAY_STREAMS, "no_version");
    }

    /// The failure of a request for which only endpoints without room by their limits are left:
    /// its caller is told when there is room.
    fn failure_by_limit(&self, failure: Failure) -> Failure {
        match (failure, self.room_after) {
            (Failure::NoEndpoint { .. } | Failure::NotRun { .. }, Some(room_after)) => {
                self.no_endpoint_failure(room_after, "the endpoints' limits leave no room")
            }
            (other, _) => other,
        }
    }

    /// Takes room at an endpoint, and waits a moment for it. Without room the endpoint is not
    /// considered any more.
    async fn take_room(&mut self, destination: &endpoints::Destination) -> bool {
        let max_wait = duration::Span(self.resolution.route.objective.0 / ROOM_WAIT_DIVISOR);
        let endpoints = &self.gateway.core.endpoints;
        let grant = endpoints.take_room(self.now(), destination, max_wait).await;
        match grant {
            limit::Grant::Unlimited => {}
            limit::Grant::After(wait) => {
                if wait.0 > 0 {
                    tokio::time::sleep(wait.to_std()).await;
                }
            }
            limit::Grant::Full(wait) => {
                let (now, endpoint) = (self.now(), &destination.endpoint);
                let step = format_args!("the limit of {endpoint} leaves no room");
                self.log.add_step(now, step);
                self.room_after = Some(self.room_after.map_or(wait, |other| other.min(wait)));
                self.tried.push(destination.endpoint.clone());
                return false;
            }
        }
        self.take_place(destination).await && self.take_cold_room(destination).await
    }

    /// Takes room at an endpoint that is cold, and waits a moment for it.
    async fn take_cold_room(&mut self, destination: &endpoints::Destination) -> bool {
        let max_wait = duration::Span(self.resolution.route.objective.0 / ROOM_WAIT_DIVISOR);
        let endpoints = &self.gateway.core.endpoints;
        let grant = endpoints
            .take_cold_room(self.now(), destination, max_wait)
            .await;
        match grant {
            limit::Grant::Unlimited => {}
            limit::Grant::After(wait) if wait.0 == 0 => {}
            limit::Grant::After(wait) => tokio::time::sleep(wait.to_std()).await,
            limit::Grant::Full(_) => {
                let (now, endpoint) = (self.now(), &destination.endpoint);
                self.log
                    .add_step(now, format_args!("{endpoint} gets no more requests now"));
                return false;
            }
        }
        self.cold_room_until = self.now().after(cold::GRANT_DURATION);
        true
    }

    /// Takes room anew if the request could not be sent within the time of its grant.
    pub(super) async fn renew_cold_room(&mut self, target: &Target) -> bool {
        self.now() < self.cold_room_until || self.take_cold_room(&target.destination).await
    }

    /// Takes a place at a brittle endpoint. Without one the endpoint is not considered for a
    /// moment.
    async fn take_place(&mut self, destination: &endpoints::Destination) -> bool {
        let endpoints = &self.gateway.core.endpoints;
        let has_place = endpoints.take_place(self.now(), destination).await;
        if !has_place {
            let (now, endpoint) = (self.now(), &destination.endpoint);
            self.log
                .add_step(now, format_args!("{endpoint} has no place"));
        }
        has_place
    }

    async fn choose_plain_endpoint(&mut self) -> Result<Target, Failure> {
        let core = Arc::clone(&self.gateway.core);
        let service = self.resolution.service.clone();
        core.endpoints
            .refresh_plain_endpoints(self.now(), &service, &self.tried, self.requirement())
            .await;
        let wait = duration::Span(self.resolution.route.objective.0 / ROOM_WAIT_DIVISOR);
        let give_up_at = self.now().after(wait);
        let destination = loop {
            let requirement = self.requirement();
            let endpoints = &core.endpoints;
            let found =
                endpoints.choose_plain_endpoint(self.now(), &service, &self.tried, requirement);
            let Some(destination) = found else {
                let now = self.now();
                let is_open =
                    endpoints.has_untried_endpoint(now, &service, &self.tried, requirement);
                if let Some(end) = self.rest_end().filter(|_| !is_open) {
                    self.wait_for_rest(end).await?;
                    continue;
                }
                if now >= give_up_at || !is_open {
                    return Err(self.no_endpoint_failure(
                        NO_CAPACITY_RETRY_AFTER,
                        "no endpoint is ready or has room",
                    ));
                }
                tokio::time::sleep(OVERLOAD_POLL_INTERVAL.to_std()).await;
                continue;
            };
            if self.take_room(&destination).await {
                break destination;
            }
        };
        Ok(Target {
            destination,
            prefill_time: duration::Span(0),
            latency_sample: None,
        })
    }

    async fn choose_engine(&mut self, model: &id::Model) -> Result<Target, Failure> {
        let choice = self.wait_for_capacity(model).await?;
        self.log_choice(&choice);
        let adapter = self.request.metadata.adapter.clone();
        let destination = match adapter.filter(|_| !choice.has_adapter) {
            Some(adapter) => {
                self.load_adapter(model, &adapter, &choice.destination)
                    .await?
            }
            None => choice.destination.clone(),
        };
        if destination != choice.destination {
            if !self.take_room(&destination).await {
                return Err(self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "no room"));
            }
            self.reserve_prefill(&destination, choice.prefill_time);
        }
        Ok(Target {
            destination,
            prefill_time: choice.prefill_time,
            latency_sample: Some(self.latency_sample(model, &choice)),
        })
    }

    fn latency_sample(&self, model: &id::Model, choice: &endpoints::Choice) -> in_flight::Sample {
        in_flight::Sample {
            service: self.resolution.service.clone(),
            model: model.clone(),
            prefill_ahead: choice.prefill_ahead,
            uncached_tokens: choice.uncached_tokens,
            max_output_tokens: self.max_output_tokens(),
            had_free_slot: choice.has_adapter && choice.running < self.resolution.slots,
            event_interval: self.latency(model).event_interval(),
        }
    }

    /// How long the request leaves free slots to urgent ones; `None` if it has no time to spare.
    ///
    /// A stream that goes on elsewhere has none: its caller sees a pause.
    fn patience(&self, model: &id::Model) -> Option<patience::Patience> {
        if self.may_have_run || self.request.origin.is_some() {
            return None;
        }
        let objective = self.resolution.route.objective;
        let latency = self.latency(model);
        let first_event = latency.prefill_time(self.prompt_tokens()).0 + latency.event_interval().0;
        let on_time = objective.scaled(FIRST_EVENT_SHARE_OF_OBJECTIVE).0;
        let on_time = duration::Span(on_time.saturating_sub(first_event));
        let on_time_start = self.request.arrived_at.after(on_time);
        patience::Patience::new(
            &patience::Request::builder()
                .rank(self.resolution.rank())
                .objective(objective)
                .slots(self.resolution.slots)
                .latest_start(on_time_start.min(self.latest_start(model)))
                .margin(MAX_OVERLOAD_WAIT)
                .build(),
        )
    }

    /// Leaves the slots of full engines to urgent requests, as long as the request has time to
    /// spare. Returns the time from which it competes for one.
    async fn leave_scarce_slots(
        &mut self,
        model: &id::Model,
    ) -> Result<duration::Instant, Failure> {
        let arrived_at = self.request.arrived_at;
        let Some(patience) = self.patience(model) else {
            return Ok(arrived_at);
        };
        let mut has_waited = false;
        while patience.lasts(self.now()) {
            let choice = self.find_engine(model, false).await?;
            if patience.admits(choice.running) {
                break;
            }
            if !has_waited {
                let cause = "more urgent requests come first";
                let failure = self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, cause);
                self.log_wait(&choice, &failure);
                has_waited = true;
            }
            let interval = patience.interval(self.now(), rand::random());
            tokio::time::sleep(interval.to_std()).await;
        }
        Ok(if has_waited { self.now() } else { arrived_at })
    }

    /// The best engine that is not overloaded; waits a moment for one.
    async fn wait_for_capacity(&mut self, model: &id::Model) -> Result<endpoints::Choice, Failure> {
        let objective = self.resolution.route.objective;
        let wait = duration::Span(objective.0 / OVERLOAD_WAIT_DIVISOR).min(MAX_OVERLOAD_WAIT);
        let competes_from = self.leave_scarce_slots(model).await?;
        let late_from = competes_from.after(wait);
        let give_up_at = competes_from.after(MAX_LATE_WAIT);
        let give_up_at = give_up_at.min(self.latest_start(model));
        let mut logged_cause = "";
        loop {
            let late = self.now() >= late_from;
            let choice = self.find_engine(model, late).await?;
            let Err(failure) = self.check_overload(&choice, late) else {
                if self.take_room(&choice.destination).await {
                    self.reserve_prefill(&choice.destination, choice.prefill_time);
                    return Ok(choice);
                }
                if self.now() >= give_up_at {
                    let retry_after = NO_CAPACITY_RETRY_AFTER;
                    return Err(self.no_endpoint_failure(retry_after, "no engine has room"));
                }
                continue;
            };
            if let Some(choice) = self.choose_spared_engine(model, late).await {
                self.reserve_prefill(&choice.destination, choice.prefill_time);
                return Ok(choice);
            }
            if failure.cause() != logged_cause {
                self.log_wait(&choice, &failure);
                logged_cause = failure.static_cause();
            }
            if self.now() >= give_up_at {
                self.log_choice(&choice);
                return Err(failure);
            }
            let interval = if late {
                LATE_POLL_INTERVAL
            } else {
                OVERLOAD_POLL_INTERVAL
            };
            tokio::time::sleep(interval.to_std()).await;
        }
    }

    /// An engine with room that is spared because of its limit. It serves what the others would
    /// serve late.
    async fn choose_spared_engine(
        &mut self,
        model: &id::Model,
        late: bool,
    ) -> Option<endpoints::Choice> {
        loop {
            let query = endpoints::Query {
                only_spared: true,
                ..self.query(model, false, late)
            };
            let endpoints = &self.gateway.core.endpoints;
            let choice = endpoints.choose_engine(self.now(), &query)?;
            self.check_overload(&choice, late).ok()?;
            if self.take_room(&choice.destination).await {
                return Some(choice);
            }
        }
    }

    /// The latest time to send the request to an engine.
    ///
    /// The caller then sees the first event before it leaves, and the whole response
    /// before the deadline.
    fn latest_start(&self, model: &id::Model) -> duration::Instant {
        let latency = self.latency(model);
        let first_event = latency.prefill_time(self.prompt_tokens()).0
            + latency.event_interval().0
            + TRANSFER_MARGIN.0;
        let whole_response = first_event + latency.answer_time(self.max_output_tokens()).0;
        let silence_deadline = self.request.silence_deadline(&self.resolution.route).0;
        let first_event = silence_deadline.saturating_sub(first_event);
        let whole_response = self.deadline().0.saturating_sub(whole_response);
        duration::Instant(first_event.min(whole_response))
    }

    fn latency(&self, model: &id::Model) -> latency::Estimate {
        let endpoints = &self.gateway.core.endpoints;
        endpoints.latency(&self.resolution.service, model)
    }

    /// Counts the prompt at the engine before another request chooses it.
    fn reserve_prefill(&self, destination: &endpoints::Destination, prefill_time: duration::Span) {
        let (now, rank) = (self.now(), self.resolution.rank());
        let endpoints = &self.gateway.core.endpoints;
        endpoints.reserve_prefill(now, destination, rank, prefill_time);
    }

    fn log_wait(&mut self, choice: &endpoints::Choice, failure: &Failure) {
        let now = self.now();
        let endpoint = &choice.destination.endpoint;
        let (running, cause) = (choice.running, failure.cause());
        self.log.add_step(
            now,
            format_args!("waits for {endpoint}, which runs {running} requests: {cause}"),
        );
    }

    fn log_choice(&mut self, choice: &endpoints::Choice) {
        let now = self.now();
        self.log.add_step(
            now,
            format_args!(
                "chooses {}, {}ms of prompts queued there, {} tokens to read, first event in {}ms, adapter {}",
                choice.destination.endpoint,
                choice.queued_prefill.0 / 1_000,
                choice.uncached_tokens,
                choice.time_to_first_event.0 / 1_000,
                if choice.has_adapter { "there" } else { "missing" },
            ),
        );
    }

    /// The best engine that holds the model; waits a moment for one.
    async fn find_engine(
        &self,
        model: &id::Model,
        late: bool,
    ) -> Result<endpoints::Choice, Failure> {
        let endpoints = &self.gateway.core.endpoints;
        let query = self.query(model, false, late);
        endpoints.refresh_engines(self.now(), &query).await;
        let started = self.now();
        if let Some(choice) = endpoints.choose_engine(started, &query) {
            return Ok(choice);
        }
        let latest_start = self.latest_start(model);
        let copy_ready = started.after(self.load_time(model)).after(EVICTION_TIME);
        // A model whose engines rest for a moment is as near as a copy that is being loaded.
        let rest_end = self.rest_end();
        // A request with enough time for a load waits for it; others wait for a copy that is near,
        // as do those that need one of several versions: a load may go to an engine of any.
        let until = if copy_ready <= latest_start && !self.needs_one_of_several_versions() {
            copy_ready.after(EVICTION_TIME).min(latest_start)
        } else {
            self.request
                .arrived_at
                .after(NEAR_COPY_WAIT)
                .min(latest_start)
        };
        loop {
            let now = self.now();
            let service = &self.resolution.service;
            let has_hope = self.tried.is_empty()
                && endpoints.has_usable_endpoint(now, service, self.requirement());
            let is_rested_soon = rest_end.is_some_and(|end| now < end && end < until);
            if now >= until || !(has_hope || is_rested_soon) {
                if let Some(end) = rest_end.filter(|end| *end < copy_ready || !has_hope) {
                    return Err(self.rest_failure(end));
                }
                let retry_after = copy_ready.since(now).max(NO_CAPACITY_RETRY_AFTER);
                return Err(self.no_endpoint_failure(retry_after, "no engine holds the model"));
            }
            tokio::time::sleep(COPY_POLL_INTERVAL.to_std()).await;
            let query = self.query(model, false, late);
            if let Some(choice) = endpoints.choose_engine(self.now(), &query) {
                return Ok(choice);
            }
        }
    }

    /// Whether the stream goes on at one of several versions that serve.
    fn needs_one_of_several_versions(&self) -> bool {
        let view = self.gateway.core.view.latest();
        self.request.origin.is_some()
            && view.is_some_and(|view| {
                origin::sole_origin(view.versions(), &self.resolution.service).is_none()
            })
    }

    /// Time to load the model from the store, according to the plan in force.
    fn load_time(&self, model: &id::Model) -> duration::Span {
        let view = self.gateway.core.view.latest();
        let table = view.as_ref().and_then(|view| view.traffic());
        let service = table.and_then(|table| table.service(&self.resolution.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let models = engine.into_iter().flat_map(|engine| &engine.models);
        let planned = models.into_iter().find(|planned| planned.model == *model);
        planned.map_or(duration::Span(0), |planned| planned.load)
    }

    fn query<'request>(
        &'request self,
        model: &'request id::Model,
        only_with_adapter: bool,
        late: bool,
    ) -> endpoints::Query<'request> {
        let latency = self.latency(model);
        endpoints::Query {
            service: &self.resolution.service,
            model,
            adapter: self.request.metadata.adapter.as_ref(),
            chain: &self.request.chain,
            rank: self.resolution.rank(),
            prompt_tokens: self.prompt_tokens(),
            prefill_budget: self.prefill_budget(&latency, late),
            large_prompt_grace: self.large_prompt_grace(),
            latency,
            slots: self.resolution.slots,
            tried: &self.tried,
            requirement: self.requirement(),
            prefers_idle: self.runs_alone,
            only_with_adapter,
            only_spared: false,
        }
    }

    /// Prefill time that an engine may get within the pause that its streams allow.
    fn prefill_budget(&self, latency: &latency::Estimate, late: bool) -> duration::Span {
        const UNLIMITED: duration::Span = duration::Span(u64::MAX);
        let rank = self.resolution.rank().min(PREFILL_SHARE_OF_PAUSE.len() - 1);
        let share = if late {
            LATE_PREFILL_SHARE_OF_PAUSE
        } else {
            PREFILL_SHARE_OF_PAUSE[rank]
        };
        let event_time = latency.event_interval();
        self.resolution.route.pause.map_or(UNLIMITED, |pause| {
            duration::Span(pause.scaled(share).0.saturating_sub(event_time.0))
        })
    }

    /// Prefill time beside which a large prompt may go after a long wait.
    fn large_prompt_grace(&self) -> duration::Span {
        let waited = self.now().since(self.request.arrived_at).as_secs_f64();
        let objectives = waited / self.resolution.route.objective.as_secs_f64().max(0.001);
        let pause = self.resolution.route.pause.unwrap_or_default();
        pause.scaled((objectives - LARGE_PROMPT_WAIT_OBJECTIVES).clamp(0.0, 1.0))
    }

    fn prompt_tokens(&self) -> u64 {
        let tokens = self.request.metadata.tokens;
        tokens.map_or(0, |tokens| tokens.prompt)
    }

    fn max_output_tokens(&self) -> u64 {
        let tokens = self.request.metadata.tokens;
        tokens.map_or(0, |tokens| tokens.output)
    }

    /// Refuses a request that would be late at this engine.
    ///
    /// It would only make the requests after it late.
    fn check_overload(&self, choice: &endpoints::Choice, late: bool) -> Result<(), Failure> {
        let objective = self.resolution.route.objective;
        let limit = objective.scaled(FIRST_EVENT_SHARE_OF_OBJECTIVE);
        let waited = self.now().since(self.request.arrived_at);
        // A request that waited for a copy is late already; it is served if its engine is
        // not overloaded.
        let limit = if waited > limit {
            limit
        } else {
            duration::Span(limit.0 - waited.0)
        };
        if choice.time_to_first_event > limit && !late {
            let excess = duration::Span(choice.time_to_first_event.0 - limit.0);
            return Err(self.no_endpoint_failure(
                excess.max(NO_CAPACITY_RETRY_AFTER),
                "the first event would be late",
            ));
        }
        let slots = self.resolution.slots;
        if late && slots > 0 && choice.running >= slots - slots / RESERVED_SLOTS_DIVISOR {
            return Err(
                self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "the engine's batch is full")
            );
        }
        self.check_stream_pauses(choice)
    }

    /// Refuses a request that would make the engine's streams pause for too long.
    ///
    /// An engine reads prompts between the tokens of its streams. While prompts never run
    /// out, each token waits for a part of them, and an event holds several tokens: every
    /// stream of that engine becomes late, and streams take many times as long as usual
    /// until their callers give up.
    fn check_stream_pauses(&self, choice: &endpoints::Choice) -> Result<(), Failure> {
        let Some(pause) = self.resolution.route.pause else {
            return Ok(());
        };
        let queued = choice.queued_prefill;
        let share = QUEUED_PREFILL_SHARE_OF_PAUSE[self
            .resolution
            .rank()
            .min(QUEUED_PREFILL_SHARE_OF_PAUSE.len() - 1)];
        let limit = pause.scaled(share);
        if queued <= limit && choice.fits_budget {
            return Ok(());
        }
        let excess = duration::Span(queued.0.saturating_sub(limit.0));
        Err(self.no_endpoint_failure(
            excess.max(NO_CAPACITY_RETRY_AFTER),
            "the engine's streams would pause",
        ))
    }

    fn adapter_request(
        &self,
        model: &id::Model,
        adapter: &SmolStr,
        endpoint: &id::Endpoint,
        is_missing: bool,
    ) -> traffic::Want {
        traffic::Want {
            service: self.resolution.service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            endpoint: endpoint.clone(),
            expires: is_missing,
        }
    }

    /// Asks the leader to load an adapter, preferably at the chosen engine.
    async fn load_adapter(
        &self,
        model: &id::Model,
        adapter: &SmolStr,
        preferred: &endpoints::Destination,
    ) -> Result<endpoints::Destination, Failure> {
        let core = &self.gateway.core;
        let request = self.adapter_request(model, adapter, &preferred.endpoint, false);
        let result: Result<traffic::Placed, _> = core
            .leader
            .call(method::ADAPTER_WANT, &request, ADAPTER_REQUEST_TIMEOUT)
            .await;
        let endpoint = match result {
            Ok(placed) => placed.endpoint,
            Err(cause) => {
                spdlog::info!(
                    "gateway: requesting adapter {model}/{adapter} from the leader failed: {cause}"
                );
                None
            }
        };
        if let Some(destination) = endpoint.and_then(|endpoint| {
            core.endpoints
                .destination(core.now(), &endpoint, model, self.requirement())
        }) {
            core.endpoints.record_adapter(&destination, model, adapter);
            return Ok(destination);
        }
        // Without a leader, an engine that holds the adapter already serves the request,
        // if later.
        let choice = core
            .endpoints
            .choose_engine(core.now(), &self.query(model, true, false));
        let choice = choice.ok_or_else(|| {
            self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "no engine holds the adapter")
        })?;
        self.check_overload(&choice, false)?;
        Ok(choice.destination)
    }
}
