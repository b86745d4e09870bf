//! One attempt of a request, from the connection to the response.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::duration;
use cranberrygap_routing::origin;
use cranberrygap_wire::traffic;
use http::{Request, Response, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;

use super::target::Target;
use super::{
    ALONE_RETRY_AFTER, DEADLINE_GRACE, Delivery, Failure, MIN_TIME_LEFT, NO_CAPACITY_RETRY_AFTER,
    Reply, dialect, endpoint_connection, endpoints, failure, in_flight, response,
};
use crate::framing;
use crate::gateway::{buffer, request};
use crate::quarantine;
use crate::reach;
use crate::resends;

/// Network time of a request to an endpoint and of its response.
const NETWORK_TIME: duration::Span = duration::Span::from_millis(6);

/// Longest wait for the response to a request that may be sent again elsewhere. Nearly all
/// responses of the users' services arrive within half of it.
const REPEATABLE_ATTEMPT_TIMEOUT: duration::Span = duration::Span::from_millis(900);

/// Result of one attempt.
pub(super) enum Outcome {
    /// The head of a response, and its connection.
    Response(Box<Reply>),
    /// The endpoint did not run the request.
    NotRun(dialect::NotRun),
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The endpoint may not get the request any more; nothing was sent.
    Withdrawn(&'static str),
    /// The request was sent, and no response arrived.
    Unknown(&'static str),
}

/// When it was decided to send a request, and until when the view behind that was valid.
#[derive(Debug, Clone, Copy)]
struct Decision {
    at: duration::Instant,
    lease_end: duration::Instant,
}

/// Result of sending over one connection.
enum Exchange {
    /// Nothing was written; `reused` tells whether the connection had been used before.
    NotSent {
        reused: bool,
    },
    Done(Outcome),
}

impl Delivery {
    /// Sends the request once and waits for the head of the response.
    pub(super) async fn send(
        &mut self,
        target: &Target,
        last_event_id: Option<&str>,
    ) -> Result<Outcome, Failure> {
        match self.begin_run(target).await {
            Ok(run) => self.run = Some(run),
            Err(quarantine::Denial::Dead) => {
                let core = &self.gateway.core;
                core.endpoints
                    .record_unreachable(core.now(), &target.destination);
                return Ok(Outcome::Unreachable);
            }
            Err(quarantine::Denial::NotAlone) => {
                let retry_after = failure::add_jitter(ALONE_RETRY_AFTER);
                return Err(Failure::Quarantined { retry_after });
            }
            Err(quarantine::Denial::Refused(retry_after)) => {
                return Err(Failure::Quarantined { retry_after });
            }
            Err(quarantine::Denial::PartRefused) => return Err(Failure::PartQuarantined),
        }
        let once_only = !matches!(self.kind(), traffic::Kind::Idempotent);
        let opening = self
            .gateway
            .pool
            .take(target.destination.address, once_only)
            .await;
        let Ok(mut connection) = opening else {
            return Ok(self.record_unreachable(target));
        };
        if !connection.is_reused() {
            self.gateway.core.reach.record_connected();
        }
        loop {
            // Connecting may have taken long. The view and plan in force now decide
            // whether the request may still be sent.
            let view = request::serving_view(&self.gateway)?;
            self.resolution = self.request.resolve(&view)?;
            drop(view);
            self.check_origin()?;
            if !self.may_begin_at(target) {
                return Ok(Outcome::Unreachable);
            }
            if !self.renew_cold_room(target).await {
                self.gateway.pool.put(connection);
                return Ok(Outcome::Withdrawn("it has no room while it is cold"));
            }
            if !self.is_paid() {
                return Err(self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "no resend is left"));
            }
            let time_left = self.deadline().since(self.now());
            if time_left <= MIN_TIME_LEFT {
                return Err(self.no_endpoint_failure(NO_CAPACITY_RETRY_AFTER, "out of time"));
            }
            let decision = Decision {
                at: self.now(),
                lease_end: self.gateway.core.view.lease_end(),
            };
            let request = self.build_request(
                target,
                duration::Span(time_left.0 - NETWORK_TIME.0),
                last_event_id,
            )?;
            // Nothing may be awaited between this check and the write.
            let is_writable = connection.is_ready().await;
            let endpoints = &self.gateway.core.endpoints;
            if let endpoints::Verdict::Stop(cause) =
                endpoints.enter(self.now(), &target.destination)
            {
                self.gateway.pool.put(connection);
                return Ok(Outcome::Withdrawn(cause));
            }
            let exchange = if is_writable {
                self.exchange(target, connection, request, time_left, decision)
                    .await
            } else {
                Exchange::NotSent {
                    reused: connection.is_reused(),
                }
            };
            if matches!(exchange, Exchange::NotSent { .. }) {
                self.gateway.core.endpoints.leave(&target.destination);
            }
            match exchange {
                // The endpoint closed an idle connection; nothing of the request arrived.
                Exchange::NotSent { reused: true } => {
                    match self.gateway.pool.open(target.destination.address).await {
                        Ok(fresh) => connection = fresh,
                        Err(_refused) => return Ok(self.record_unreachable(target)),
                    }
                }
                Exchange::NotSent { reused: false } => return Ok(Outcome::Unreachable),
                Exchange::Done(outcome) => return Ok(outcome),
            }
        }
    }

    /// Whether the endpoint of a stream is still the one that was chosen, and has the version that
    /// the stream may go on at.
    fn may_begin_at(&self, target: &Target) -> bool {
        if self.kind() != traffic::Kind::Resumable {
            return true;
        }
        let destination = &target.destination;
        let endpoints = &self.gateway.core.endpoints;
        endpoints.is_current(destination)
            && self.requirement().admits(destination.software.as_ref())
    }

    /// Whether the service of the request, which may have changed, pays for a resend.
    fn is_paid(&mut self) -> bool {
        let scope = self.resolution.scope();
        let resend = self.resend.as_mut();
        resend.is_none_or(|resend| resend.transfer(&scope))
    }

    fn record_unreachable(&self, target: &Target) -> Outcome {
        let core = &self.gateway.core;
        core.endpoints
            .record_unreachable(core.now(), &target.destination);
        reach::record_unreachable(core, &target.destination.endpoint);
        Outcome::Unreachable
    }

    /// Registers the request at an endpoint before anything is sent.
    async fn begin_run(&self, target: &Target) -> Result<quarantine::Run, quarantine::Denial> {
        let (core, subjects) = (&self.gateway.core, &self.request.subjects);
        let place = target.destination.place();
        quarantine::Run::begin(core, place, subjects, request::ISOLATION).await
    }

    async fn exchange(
        &mut self,
        target: &Target,
        mut connection: endpoint_connection::Connection,
        request: Request<Full<Bytes>>,
        time_left: duration::Span,
        decision: Decision,
    ) -> Exchange {
        let core = Arc::clone(&self.gateway.core);
        let chain = self
            .request
            .metadata
            .model
            .is_some()
            .then_some(&self.request.chain);
        let rank = self.resolution.rank();
        let mut in_flight = in_flight::Request::new(&core, target, rank, chain);
        let mut timeout = time_left.0 + DEADLINE_GRACE.0;
        if self.kind() == traffic::Kind::Idempotent
            && self.attempts + 1 < self.resolution.route.attempts
        {
            timeout = timeout.min(REPEATABLE_ATTEMPT_TIMEOUT.0);
        }
        let timeout = duration::Span(timeout).to_std();
        let reused = connection.is_reused();
        let sent_at = self.now();
        let result = tokio::time::timeout(timeout, connection.send(request)).await;
        if matches!(result, Ok(Err(endpoint_connection::Error::NotSent))) {
            return Exchange::NotSent { reused };
        }
        in_flight.attach(self.run.take());
        match self.resend.take() {
            Some(resend) => resend.use_up(),
            None => resends::record_first_send(&core, &self.resolution.scope()),
        }
        self.attempts += 1;
        self.tried.push(target.destination.endpoint.clone());
        self.log.endpoint = SmolStr::new(target.destination.endpoint.as_str());
        self.sent_to = Some(origin::Origin {
            service: self.resolution.service.clone(),
            software: target.destination.software.clone(),
        });
        let endpoint_connection::Received { response, framing } = match result {
            Ok(Ok(received)) => received,
            Ok(Err(failed)) => {
                in_flight.record_break();
                self.mark_permit_used();
                let cause = match failed {
                    endpoint_connection::Error::Malformed(defect) => {
                        let endpoint = &target.destination.endpoint;
                        self.gateway.record_defect(endpoint, defect);
                        defect.cause()
                    }
                    _ => "the connection ended without an answer",
                };
                return Exchange::Done(Outcome::Unknown(cause));
            }
            Err(_elapsed) => {
                in_flight.record_outcome(false);
                self.mark_permit_used();
                return Exchange::Done(Outcome::Unknown("no answer in time"));
            }
        };
        if self.kind() == traffic::Kind::Resumable
            && core.may_have_outlasted(decision.at, decision.lease_end)
        {
            // Entries without a lease are not waited for before another version serves.
            self.mark_permit_used();
            return Exchange::Done(Outcome::Unknown("the entry stood still beyond its lease"));
        }
        let place = target.destination.place();
        quarantine::record_alive(&core, &place.incarnation(), sent_at);
        self.log.framing = Some(framing);
        let id = self.request.metadata.id.as_deref();
        let classification =
            self.gateway
                .dialect
                .classify_response(id, response.status(), response.headers());
        self.record_statements(target, sent_at, &response, classification);
        Exchange::Done(match classification {
            dialect::Classification::Answer => {
                core.startup.record_response();
                self.mark_permit_used();
                Outcome::Response(Box::new(Reply {
                    response,
                    framing,
                    connection,
                    in_flight,
                }))
            }
            dialect::Classification::NotRun(cause) => {
                in_flight.record_outcome(cause != dialect::NotRun::Full);
                drop(in_flight);
                self.discard_body(response.into_body(), framing, connection)
                    .await;
                Outcome::NotRun(cause)
            }
            dialect::Classification::Foreign => {
                in_flight.record_outcome(false);
                self.mark_permit_used();
                Outcome::Unknown("an answer to another request came")
            }
        })
    }

    fn mark_permit_used(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.mark_all_used();
        }
    }

    fn build_request(
        &self,
        target: &Target,
        time_left: duration::Span,
        last_event_id: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut headers = self.request.headers.clone();
        let workspace = self.resolution.workspace.as_ref();
        let attempt = dialect::Attempt {
            endpoint: &target.destination.endpoint,
            workspace: workspace.map(|workspace| &workspace.name),
            time_left,
            priority: self.resolution.priority(),
            last_event_id,
        };
        self.gateway.dialect.write_headers(&mut headers, &attempt);
        let mut request = Request::new(Full::new(Bytes::clone(&self.request.body)));
        *request.method_mut() = self.request.method.clone();
        let uri = Uri::try_from(self.request.target.as_str());
        *request.uri_mut() = uri.map_err(|cause| Failure::Malformed(cause.to_string().into()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads a response to its end before any of it is forwarded.
    ///
    /// A truncated response is then a failure rather than a shorter response.
    pub(super) async fn buffer_response(
        &self,
        reply: Reply,
    ) -> Result<Response<response::Body>, &'static str> {
        let Reply {
            response,
            framing,
            mut connection,
            mut in_flight,
        } = reply;
        let (head, body) = response.into_parts();
        let timeout = duration::Span(self.deadline().since(self.now()).0 + DEADLINE_GRACE.0);
        let reading = buffer::read(&self.gateway.readers, body);
        let whole = match tokio::time::timeout(timeout.to_std(), reading).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(cause)) => {
                in_flight.record_break();
                return Err(cause.cause());
            }
            Err(_elapsed) => return Err("the answer did not end in time"),
        };
        if !framing.is_whole(&whole) {
            in_flight.record_break();
            return Err("the answer ended with its connection and is not whole");
        }
        if !connection.has_ended_response().await {
            in_flight.record_break();
            return Err("the answer is longer than its head tells");
        }
        in_flight.record_prefill();
        if head.status.is_success() {
            in_flight.record_complete(framing);
        }
        if framing.keeps_connection() {
            self.gateway.pool.put(connection);
        }
        let sent = whole.len() as u64;
        let mut response = response::forwarded(head, response::full_body(whole));
        let method = &self.request.method;
        response::set_length(&mut response, method, framing.length(), Some(sent));
        Ok(response)
    }

    /// Reads a small body that nobody needs, so that its connection can be reused.
    pub(super) async fn discard_body(
        &self,
        body: Incoming,
        framing: framing::Framing,
        connection: endpoint_connection::Connection,
    ) {
        const MAX_DISCARDED_BYTES: usize = 16 << 10;
        const DISCARD_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(20);
        if !framing.keeps_connection() {
            return;
        }
        let reading = Limited::new(body, MAX_DISCARDED_BYTES).collect();
        if let Ok(Ok(_whole)) = tokio::time::timeout(DISCARD_TIMEOUT, reading).await {
            self.gateway.pool.put(connection);
        }
    }
}
