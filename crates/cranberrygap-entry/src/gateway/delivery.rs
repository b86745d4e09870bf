//! One request on its way to an endpoint, over all its sends.

mod aim;
mod send;

use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_wire::traffic;
use http::Response;
use hyper::body::Incoming;

use crate::admission;
use crate::control;
use crate::metric;

use super::failure::{self, Failure};
use super::request::{Facts, Resolved};
use super::{Gateway, answer, dialect, endpoints, flight, line, story, stream};
pub(super) use aim::Aim;
use send::Sent;

/// Least time that must be left for a send to be an honest try.
const LEAST_LEFT: duration::Span = duration::Span::from_millis(40);

/// Time beyond its deadline for which an answer is awaited, and a stream passed on. An
/// endpoint that stops at the deadline says so a moment later, and what is ready is
/// still delivered.
pub(super) const GRACE: duration::Span = duration::Span::from_millis(120);

/// Connections that may fail to open before the request is given up.
const MOST_OPENS: u32 = 3;

/// Time that callers are told when an endpoint had no room.
const FULL_WAIT: duration::Span = duration::Span::from_millis(500);

/// One request and what it has been through.
#[derive(Debug)]
pub(crate) struct Delivery {
    pub(super) gateway: Arc<Gateway>,
    pub(super) facts: Facts,
    pub(super) resolved: Resolved,
    permit: Option<admission::Permit>,
    pub(super) story: story::Story,
    tried: endpoints::Tried,
    sends: u32,
    opens: u32,
    /// Tells the leader that the request's adapter is in use.
    adapter: Option<control::Use>,
}

/// The head of an answer and what its body comes over.
pub(super) struct Answered {
    pub(super) response: Response<Incoming>,
    pub(super) line: line::Line,
    pub(super) flight: flight::Flight,
}

/// How a request has ended before a stream began.
enum Ended {
    /// With a whole answer.
    Whole(Box<Response<answer::Body>>),
    /// With a failure of its own.
    Failed(Failure),
}

impl From<Failure> for Ended {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl Delivery {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        facts: Facts,
        resolved: Resolved,
        permit: Option<admission::Permit>,
        story: story::Story,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            facts,
            resolved,
            permit,
            story,
            tried: endpoints::Tried::new(),
            sends: 0,
            opens: 0,
            adapter: None,
        }
    }

    fn now(&self) -> duration::Instant {
        self.gateway.core.now()
    }

    pub(super) fn deadline(&self) -> duration::Instant {
        self.facts.deadline(&self.resolved.route)
    }

    const fn kind(&self) -> traffic::Kind {
        self.resolved.route.kind
    }

    /// Whether a further run of the request does no harm.
    pub(super) const fn is_repeatable(&self) -> bool {
        matches!(
            self.kind(),
            traffic::Kind::Idempotent | traffic::Kind::Resumable
        )
    }

    const fn is_stream(&self) -> bool {
        matches!(
            self.kind(),
            traffic::Kind::Stream | traffic::Kind::Resumable
        )
    }

    /// Sends until an answer is there or nothing more may be tried; what does not come
    /// to an answer gives its story back.
    pub(super) async fn run(mut self) -> Result<Response<answer::Body>, (story::Story, Failure)> {
        let counted = self.count_demand();
        match self.attempts().await {
            Ok(Answered {
                response,
                line,
                flight,
            }) => {
                let (head, body) = response.into_parts();
                let mut response = Response::new(());
                *response.status_mut() = head.status;
                *response.headers_mut() = send::passed(head.headers);
                Ok(stream::relay(self, response, body, line, flight))
            }
            Err(Ended::Whole(response)) => {
                let now = self.now();
                let waited = now.since(self.facts.arrived);
                let late = (waited > self.resolved.route.objective).then_some("the answer");
                self.story.ended(&self.gateway.volume, now, late);
                Ok(*response)
            }
            Err(Ended::Failed(failure)) => {
                let refused =
                    matches!(failure, Failure::NoEndpoint { .. } | Failure::NotRun { .. });
                if let (Some((model, work)), true) = (counted, refused) {
                    self.gateway.core.demand.refused(&model, work);
                }
                Err((self.story, failure))
            }
        }
    }

    /// A stream that has begun, or how the request has ended.
    async fn attempts(&mut self) -> Result<Answered, Ended> {
        loop {
            let core = Arc::clone(&self.gateway.core);
            let aim = tokio::select! {
                biased;
                aim = self.aim() => aim?,
                () = core.closes() => return Err(Failure::stopping().into()),
            };
            let sent = self.send(&aim, None).await?;
            self.note(&aim, &sent);
            match sent {
                Sent::Answered(answered) => {
                    if let Some(answered) = self.answered(*answered).await? {
                        return Ok(answered);
                    }
                }
                Sent::NotRun(cause) => self.not_run(&aim, cause)?,
                Sent::Unreachable => {
                    self.opens += 1;
                    if self.opens >= MOST_OPENS {
                        return Err(self.no_endpoint(FULL_WAIT, "unreachable").into());
                    }
                }
                Sent::Unknown(cause) => {
                    if !self.is_repeatable() || !self.may_repeat() {
                        return Err(self.broken(cause).into());
                    }
                }
            }
        }
    }

    /// A stream to pass on, `None` to try again, or how the request has ended.
    async fn answered(&mut self, answered: Answered) -> Result<Option<Answered>, Ended> {
        let status = answered.response.status();
        answered.flight.judge(!status.is_server_error());
        if status.is_server_error() && self.is_repeatable() && self.may_repeat() {
            self.discard(answered.response.into_body(), answered.line)
                .await;
            return Ok(None);
        }
        if self.is_stream() && status.is_success() {
            return Ok(Some(answered));
        }
        match self.hold(answered).await {
            Ok(response) => Err(Ended::Whole(Box::new(response))),
            Err(cause) => {
                let now = self.now();
                self.story.step(now, format_args!("{cause}"));
                if self.is_repeatable() && self.may_repeat() {
                    return Ok(None);
                }
                Err(Failure::Broken(cause).into())
            }
        }
    }

    /// Notes for the log what came of a send.
    fn note(&mut self, aim: &Aim, sent: &Sent) {
        let now = self.now();
        let endpoint = &aim.place.endpoint;
        match sent {
            Sent::Answered(answered) => {
                let status = answered.response.status().as_u16();
                self.story
                    .step(now, format_args!("{endpoint} answers {status}"));
                self.gateway.core.count(metric::GATEWAY_SENDS, "answered");
            }
            Sent::NotRun(cause) => {
                self.story
                    .step(now, format_args!("{endpoint} did not run it: {cause:?}"));
                self.gateway.core.count(metric::GATEWAY_SENDS, "not_run");
            }
            Sent::Unreachable => {
                self.story
                    .step(now, format_args!("{endpoint} cannot be reached"));
                self.gateway
                    .core
                    .count(metric::GATEWAY_SENDS, "unreachable");
            }
            Sent::Unknown(cause) => {
                self.story.step(now, format_args!("{endpoint}: {cause}"));
                self.gateway.core.count(metric::GATEWAY_SENDS, "unknown");
            }
        }
    }

    /// What is known once a send had no answer.
    fn broken(&self, cause: &'static str) -> Failure {
        if self.now() >= self.deadline() {
            return Failure::TimeOut;
        }
        Failure::Broken(cause)
    }

    /// Whether the request may go to a further endpoint; spends what it costs.
    fn may_repeat(&mut self) -> bool {
        let left = self.deadline().since(self.now());
        self.sends < self.resolved.route.attempts
            && left > LEAST_LEFT
            && self.gateway.reserve.lock().spend(&self.resolved.service)
    }

    fn not_run(&mut self, aim: &Aim, cause: dialect::NotRun) -> Result<(), Failure> {
        if cause == dialect::NotRun::Misdirected {
            self.lacking(aim);
        }
        if self.may_repeat() {
            return Ok(());
        }
        let wait = failure::spread(FULL_WAIT);
        Err(Failure::NotRun { wait })
    }

    fn no_endpoint(&self, wait: duration::Span, cause: &'static str) -> Failure {
        let wait = failure::spread(wait);
        if self.sends == 0 {
            return Failure::NoEndpoint { wait, cause };
        }
        Failure::NotRun { wait }
    }

    /// Tells the leader that the request's model is wanted.
    fn count_demand(&mut self) -> Option<(id::Model, duration::Span)> {
        let model = self.facts.ask.model.clone()?;
        if !self.resolved.has_engine {
            return None;
        }
        let adapter = self.facts.ask.adapter.as_ref();
        let core = &self.gateway.core;
        self.adapter = adapter.and_then(|adapter| control::Use::new(core, &model, adapter));
        let tokens = self.facts.ask.tokens.unwrap_or_default();
        let pace = core.endpoints.pace(&self.resolved.service, &model);
        let work = pace.engine_time(tokens.prompt, tokens.output, self.resolved.slots);
        core.demand.asked(&model, adapter, work);
        Some((model, work))
    }

    /// The first event of the stream goes out.
    pub(super) fn note_first_event(&mut self) {
        let core = &self.gateway.core;
        let now = core.now();
        let waited = now.since(self.facts.arrived);
        self.story
            .step(now, format_args!("the first event goes out"));
        core.time(metric::GATEWAY_FIRST_EVENT, waited);
    }

    /// Has another engine go on with a stream behind `last_event`.
    pub(super) async fn resume(&mut self, last_event: Option<&str>) -> Option<Answered> {
        if !self.is_repeatable() || !self.may_repeat() {
            return None;
        }
        let aim = self.aim().await.ok()?;
        match self.send(&aim, last_event).await.ok()? {
            Sent::Answered(answered) if answered.response.status().is_success() => Some(*answered),
            _ => None,
        }
    }
}
