//! The delivery of one request to an endpoint, over all its attempts.

mod rest;
mod send;
mod statements;
mod target;

use std::sync::Arc;

use cranberrygap_model::{duration, id, software};
use cranberrygap_policy::{outcome, retry};
use cranberrygap_routing::origin;
use cranberrygap_wire::{traffic, view};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use crate::admission;
use crate::control;
use crate::framing;
use crate::metric;
use crate::quarantine;
use crate::resends;

use super::failure::{self, Failure};
use super::forward;
use super::request::{Request, Resolution};
use super::{
    Gateway, dialect, drain, endpoint_connection, endpoints, in_flight, request_log, response,
    stream,
};
use send::Outcome;
pub(super) use target::Target;

/// Least time that must be left for another attempt to be worthwhile.
const MIN_TIME_LEFT: duration::Span = duration::Span::from_millis(40);

/// Time beyond the deadline for which a response is awaited and a stream forwarded. An
/// endpoint that stops at the deadline says so a moment later, and what is ready is still
/// delivered.
pub(super) const DEADLINE_GRACE: duration::Span = duration::Span::from_millis(120);

/// Time beyond a route's deadline for which the caller of a stream may still come back.
const RETURN_TIME: duration::Span = duration::Span::from_secs(5);

/// Failed connection attempts after which a request is given up.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Failed connection attempts after which another entry gets a request that was not sent yet.
const FORWARD_CONNECT_FAILURES: u32 = 2;

/// Retry delay that callers are given when no endpoint has capacity.
const NO_CAPACITY_RETRY_AFTER: duration::Span = duration::Span::from_millis(500);

/// Retry delay of a suspect that cannot run alone now. Another suspect may have the endpoint.
const ALONE_RETRY_AFTER: duration::Span = duration::Span::from_secs(1);

/// A request and the state of its delivery.
#[derive(Debug)]
pub(crate) struct Delivery {
    pub(super) gateway: Arc<Gateway>,
    pub(super) request: Request,
    pub(super) resolution: Resolution,
    permit: Option<admission::Permit>,
    pub(super) log: request_log::Log,
    tried: endpoints::Tried,
    /// What the last attempt was sent to.
    sent_to: Option<origin::Origin>,
    attempts: u32,
    connect_failures: u32,
    /// Whether an endpoint may have run the request.
    may_have_run: bool,
    /// Whether the request runs only alone, since endpoints crashed under it.
    runs_alone: bool,
    /// What pays for the next attempt, unless it is the first.
    resend: Option<resends::Ticket>,
    /// Time until there is room at an endpoint whose limit left none.
    room_after: Option<duration::Span>,
    /// Time until which the request may use the room that an endpoint granted it.
    cold_room_until: duration::Instant,
    /// The registration of the next attempt, until it is written.
    run: Option<quarantine::Run>,
    /// The process of the last response, if it drains.
    draining: Option<view::Draining>,
    /// Tells the leader that the request's adapter is in use.
    adapter_use: Option<control::Use>,
}

/// The head of an endpoint's response and the connection that its body arrives over.
pub(super) struct Reply {
    pub(super) response: Response<Incoming>,
    pub(super) framing: framing::Framing,
    pub(super) connection: endpoint_connection::Connection,
    pub(super) in_flight: in_flight::Request,
}

/// How a request failed.
#[derive(Debug)]
pub(super) struct Failed {
    pub(super) log: request_log::Log,
    pub(super) failure: Failure,
    /// The process of the last response, if it drains and the entry that forwarded the request has
    /// to know it.
    pub(super) draining: Option<view::Draining>,
}

/// How a request ended before a stream began.
enum Completion {
    /// With a complete response.
    Responded(Box<Response<response::Body>>),
    /// With a failure of the gateway.
    Failed(Failure),
}

impl From<Failure> for Completion {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl Delivery {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        request: Request,
        resolution: Resolution,
        permit: Option<admission::Permit>,
        log: request_log::Log,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            request,
            resolution,
            permit,
            log,
            tried: endpoints::Tried::new(),
            sent_to: None,
            attempts: 0,
            connect_failures: 0,
            may_have_run: false,
            runs_alone: false,
            resend: None,
            room_after: None,
            cold_room_until: duration::Instant::default(),
            run: None,
            draining: None,
            adapter_use: None,
        }
    }

    fn now(&self) -> duration::Instant {
        self.gateway.core.now()
    }

    pub(super) fn deadline(&self) -> duration::Instant {
        self.request.deadline(&self.resolution.route)
    }

    const fn kind(&self) -> traffic::Kind {
        self.resolution.route.kind
    }

    /// Whether running the request again does no harm.
    pub(super) fn is_repeatable(&self) -> bool {
        self.resolution.class() == retry::Class::Idempotent
    }

    const fn is_stream(&self) -> bool {
        matches!(
            self.kind(),
            traffic::Kind::Stream | traffic::Kind::Resumable
        )
    }

    /// Sends the request until it has a response or no attempt is left.
    pub(super) async fn run(mut self) -> Result<Response<response::Body>, Box<Failed>> {
        let counted_demand = self.count_demand();
        match self.send_until_response().await {
            Ok(reply) => {
                let mark = self.drain_mark();
                let mut response = stream::relay(self, reply);
                if let Some(draining) = mark {
                    drain::mark(response.headers_mut(), &draining);
                }
                Ok(response)
            }
            Err(Completion::Responded(mut response)) => {
                if let Some(draining) = self.drain_mark() {
                    drain::mark(response.headers_mut(), &draining);
                }
                let now = self.now();
                let waited = now.since(self.request.arrived_at);
                let late_cause = (waited > self.resolution.route.objective).then_some("the answer");
                self.log
                    .log_success(&self.gateway.log_limiter, now, late_cause);
                Ok(*response)
            }
            Err(Completion::Failed(failure)) => {
                let was_refused =
                    matches!(failure, Failure::NoEndpoint { .. } | Failure::NotRun { .. });
                if let (Some((model, work)), true) = (counted_demand, was_refused) {
                    self.gateway.core.demand.record_refusal(&model, work);
                }
                self.record_unversioned(&failure);
                let failure = self.truthful(failure);
                let draining = self.drain_mark();
                Err(Box::new(Failed {
                    log: self.log,
                    failure,
                    draining,
                }))
            }
        }
    }

    /// The response whose stream has begun, or how the request ended.
    async fn send_until_response(&mut self) -> Result<Reply, Completion> {
        loop {
            let core = Arc::clone(&self.gateway.core);
            let target = tokio::select! {
                biased;
                target = self.choose_target() => target?,
                () = core.wait_for_closing() => return Err(Failure::stopping().into()),
            };
            let outcome = self.send(&target, None).await?;
            self.log_attempt(&target, &outcome);
            match outcome {
                Outcome::Response(reply) => {
                    if let Some(reply) = self.handle_response(*reply).await? {
                        return Ok(reply);
                    }
                }
                Outcome::NotRun(cause) => self.handle_not_run(&target, cause)?,
                Outcome::Withdrawn(_) => {}
                Outcome::Unreachable => {
                    self.connect_failures += 1;
                    if self.should_forward() {
                        return Err(self.forward().await);
                    }
                    if self.connect_failures >= MAX_CONNECT_FAILURES {
                        return Err(self
                            .no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "unreachable")
                            .into());
                    }
                }
                Outcome::Unknown(cause) => {
                    self.may_have_run = true;
                    if !self.is_repeatable() || !self.try_take_resend(resends::Cause::Unanswered) {
                        return Err(self.failure_after_send(cause).into());
                    }
                }
            }
        }
    }

    /// The process that drains, if the entry that forwarded the request has to know it.
    fn drain_mark(&self) -> Option<view::Draining> {
        self.request.forwarded_by?;
        self.draining.clone()
    }

    /// Whether another entry gets the request, of which nothing was sent so far.
    fn should_forward(&self) -> bool {
        let is_own = self.request.forwarded_by.is_none() && !self.may_have_run;
        let is_stuck =
            self.connect_failures >= FORWARD_CONNECT_FAILURES || self.gateway.core.reach.is_cut();
        is_own && self.attempts == 0 && is_stuck
    }

    /// Has another entry send the request; its workspace pays there.
    async fn forward(&mut self) -> Completion {
        self.permit = None;
        let forwarding = forward::forward(
            &self.gateway,
            &self.request,
            &self.resolution,
            &mut self.log,
        );
        match forwarding.await {
            Ok(response) => Completion::Responded(Box::new(response)),
            Err(failure) => Completion::Failed(failure),
        }
    }

    /// A response whose stream can be forwarded, `None` to try again, or how the request
    /// ended.
    async fn handle_response(&mut self, reply: Reply) -> Result<Option<Reply>, Completion> {
        let status = reply.response.status();
        reply.in_flight.record_outcome(!status.is_server_error());
        if !outcome::may_pass_on(status.as_u16(), self.resolution.class()) {
            self.discard_body(reply.response.into_body(), reply.framing, reply.connection)
                .await;
            return Err(Failure::Withheld(status).into());
        }
        if status.is_server_error()
            && self.is_repeatable()
            && self.try_take_resend(resends::Cause::Failed)
        {
            self.may_have_run = true;
            self.discard_body(reply.response.into_body(), reply.framing, reply.connection)
                .await;
            return Ok(None);
        }
        // Without content, a cut could not be shown to the caller.
        let can_show_cut = status != StatusCode::NO_CONTENT;
        if self.is_stream()
            && status.is_success()
            && can_show_cut
            && !reply.framing.needs_whole_body()
        {
            return Ok(Some(reply));
        }
        match self.buffer_response(reply).await {
            Ok(response) => {
                if self.is_stream() && status.is_success() {
                    self.record_origin();
                }
                Err(Completion::Responded(Box::new(response)))
            }
            Err(cause) => {
                self.may_have_run = true;
                let now = self.now();
                self.log.add_step(now, format_args!("{cause}"));
                if self.is_repeatable() && self.try_take_resend(resends::Cause::Cut) {
                    return Ok(None);
                }
                Err(Failure::Broken(cause).into())
            }
        }
    }

    /// Logs and counts the result of an attempt.
    fn log_attempt(&mut self, target: &Target, outcome: &Outcome) {
        let now = self.now();
        let endpoint = &target.destination.endpoint;
        match outcome {
            Outcome::Response(reply) => {
                let status = reply.response.status().as_u16();
                let boot = target.destination.boot;
                let software = software::name(target.destination.software.as_ref());
                let step = format_args!(
                    "{endpoint} of version {software}, boot {boot}, responded with {status}"
                );
                self.log.add_step(now, step);
                self.gateway.core.count(metric::GATEWAY_SENDS, "answered");
            }
            Outcome::NotRun(cause) => {
                self.log.add_step(
                    now,
                    format_args!("{endpoint} did not run the request: {cause:?}"),
                );
                self.gateway.core.count(metric::GATEWAY_SENDS, "not_run");
            }
            Outcome::Unreachable => {
                self.log
                    .add_step(now, format_args!("{endpoint} cannot be reached"));
                self.gateway
                    .core
                    .count(metric::GATEWAY_SENDS, "unreachable");
            }
            Outcome::Withdrawn(cause) => {
                self.log
                    .add_step(now, format_args!("{endpoint} gets no request: {cause}"));
                self.gateway.core.count(metric::GATEWAY_SENDS, "withdrawn");
            }
            Outcome::Unknown(cause) => {
                self.log.add_step(now, format_args!("{endpoint}: {cause}"));
                self.gateway.core.count(metric::GATEWAY_SENDS, "unknown");
            }
        }
    }

    /// The failure of a request that was sent and got no response.
    fn failure_after_send(&self, cause: &'static str) -> Failure {
        if self.now() >= self.deadline() {
            return Failure::DeadlineExceeded;
        }
        Failure::Broken(cause)
    }

    /// Takes one resend from the budget; true if the request may be sent again.
    fn try_take_resend(&mut self, cause: resends::Cause) -> bool {
        let time_left = self.deadline().since(self.now());
        self.attempts < self.resolution.route.attempts
            && time_left > MIN_TIME_LEFT
            && self.take_resend(cause)
    }

    fn take_resend(&mut self, cause: resends::Cause) -> bool {
        // One that was taken before and not sent pays for this one.
        if self.resend.is_none() {
            let core = &self.gateway.core;
            self.resend = resends::take(core, &self.resolution.scope(), cause);
        }
        self.resend.is_some()
    }

    fn handle_not_run(&mut self, target: &Target, cause: dialect::NotRun) -> Result<(), Failure> {
        if cause == dialect::NotRun::Misdirected {
            self.handle_missing_model(target);
        }
        if self.try_take_resend(resends::Cause::Rejected) {
            return Ok(());
        }
        let retry_after = failure::add_jitter(self.retry_after_rejection());
        Err(Failure::NotRun { retry_after })
    }

    /// The failure to report: a request that an endpoint may have run is not called "not run",
    /// whatever kept it from being sent again.
    fn truthful(&mut self, failure: Failure) -> Failure {
        if !self.may_have_run || !failure.says_not_run() {
            return failure;
        }
        let (now, code, cause) = (self.now(), failure.code(), failure.cause());
        self.log
            .add_step(now, format_args!("is not sent again: {code} {cause}"));
        self.failure_after_send("the request was sent and is not sent again")
    }

    fn no_endpoint_failure(&self, retry_after: duration::Span, cause: &'static str) -> Failure {
        let retry_after = failure::add_jitter(retry_after);
        if self.attempts == 0 {
            return Failure::NoEndpoint { retry_after, cause };
        }
        Failure::NotRun { retry_after }
    }

    /// Counts the demand for the request's model, which the leader is told.
    fn count_demand(&mut self) -> Option<(id::Model, duration::Span)> {
        let model = self.request.metadata.model.clone()?;
        if !self.resolution.has_engine {
            return None;
        }
        let adapter = self.request.metadata.adapter.as_ref();
        let core = &self.gateway.core;
        self.adapter_use = adapter.and_then(|adapter| control::Use::new(core, &model, adapter));
        let tokens = self.request.metadata.tokens.unwrap_or_default();
        let latency = core.endpoints.latency(&self.resolution.service, &model);
        let work = latency.engine_time(tokens.prompt, tokens.output, self.resolution.slots);
        core.demand.record_route_request(&model, adapter, work);
        Some((model, work))
    }

    /// Keeps the origin of a stream of which an event is forwarded. From now on it goes on only at
    /// the version that began it.
    pub(super) fn record_origin(&mut self) {
        if self.kind() != traffic::Kind::Resumable {
            return;
        }
        if self.request.origin.is_none() {
            self.request.origin = self.sent_to.clone();
        }
        let (Some(key), Some(origin)) = (
            self.request.stream_key(&self.resolution),
            &self.request.origin,
        ) else {
            return;
        };
        let record = origin::Record {
            key,
            origin: origin.clone(),
            time_left: duration::Span(self.resolution.route.deadline.0 + RETURN_TIME.0),
        };
        let core = &self.gateway.core;
        let insertion = core.origins.record(core.now(), &record);
        metric::count_origin(core, insertion);
        if insertion == origin::Insertion::Conflict {
            let id = self.request.metadata.id.as_deref().unwrap_or("-");
            spdlog::warn!(
                "gateway: the stream of {id} has two origins, and cannot go on elsewhere"
            );
        }
    }

    /// Records that the first event of the stream is forwarded.
    pub(super) fn record_first_event(&mut self) {
        let core = &self.gateway.core;
        let now = core.now();
        let waited = now.since(self.request.arrived_at);
        let metadata = &self.request.metadata;
        let first_attempt = metadata.first_attempt.as_deref();
        let event = metadata.last_event_id.as_deref();
        if let Some(event) = event {
            let first_attempt = first_attempt.unwrap_or("-");
            let step = format_args!("the stream of {first_attempt} is resumed after event {event}");
            self.log.add_step(now, step);
        } else {
            self.log
                .add_step(now, format_args!("the first event is forwarded"));
        }
        let tag = if event.is_some() {
            "resumed"
        } else {
            "started"
        };
        core.count(metric::GATEWAY_STREAMS, tag);
        core.record_time(metric::GATEWAY_FIRST_EVENT, waited);
    }

    /// Chooses the engine at which a broken stream continues: the same one once more if no other
    /// engine of its version can take it. A connection may break while its engine goes on.
    async fn choose_next_target(&mut self) -> Result<Target, Failure> {
        match self.choose_target().await {
            Err(Failure::NoEndpoint { .. } | Failure::NotRun { .. })
                if self.request.origin.is_some() && !self.tried.is_empty() =>
            {
                self.tried.clear();
                self.choose_target().await
            }
            chosen => chosen,
        }
    }

    /// Continues the stream at another engine, after `last_event_id`.
    pub(super) async fn resume_stream(&mut self, last_event_id: Option<&str>) -> Option<Reply> {
        self.may_have_run = true;
        if !self.is_repeatable() || !self.try_take_resend(resends::Cause::Cut) {
            return None;
        }
        loop {
            let target = match self.choose_next_target().await {
                Ok(target) => target,
                Err(failure) => {
                    self.record_unversioned(&failure);
                    return None;
                }
            };
            let outcome = self.send(&target, last_event_id).await.ok()?;
            self.log_attempt(&target, &outcome);
            match outcome {
                Outcome::Response(reply) if reply.response.status().is_success() => {
                    let core = &self.gateway.core;
                    core.count(metric::GATEWAY_STREAMS, "continued");
                    return Some(*reply);
                }
                Outcome::Withdrawn(_) => {}
                _ => return None,
            }
        }
    }
}
