//! `/services/{name}/...`: forwards calls to plain services.

mod completion;
mod exchange;

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::{address, duration, id, token};
use cranberrygap_policy::outcome::{Evidence, Outcome};
use cranberrygap_policy::resend::scope;
use cranberrygap_policy::{claims, retry};
use cranberrygap_routing::origin;
use cranberrygap_trace::note;
use cranberrygap_wire::{claim, configuration};
use http_body_util::Full;
use salvo::http::{HeaderValue, Request, Response, header};
use salvo::{Depot, FlowCtrl, Handler};
use smol_str::SmolStr;

use crate::admission;
use crate::booking;
use crate::core;
use crate::engine;
use crate::gateway::pool;
use crate::refusal::Refusal;
use crate::resends;
use crate::route;
use crate::view;

use super::{auth, pattern};

/// Header with the key that identifies a booking, a call that runs at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest idempotency key, in bytes. It limits the size of a stored claim.
const MAX_KEY_BYTES: usize = 200;

/// Retry delay that callers are given when no endpoint can take the call.
const NO_ENDPOINT_RETRY_AFTER: duration::Span = duration::Span::from_secs(1);

/// Handler that forwards calls to plain services.
#[derive(Debug)]
pub(crate) struct Services {
    pub core: Arc<core::Core>,
}

/// A parsed call of a service.
#[derive(Debug)]
struct Call {
    id: id::Request,
    workspace: id::Workspace,
    service: id::Service,
    method: salvo::http::Method,
    /// Path and query that the service receives.
    path: String,
    content_type: Option<HeaderValue>,
    key: Option<SmolStr>,
    body: Bytes,
    deadline: duration::Span,
}

impl Call {
    /// Parts of the caller's request that the service receives.
    fn forwarded_parts(&self) -> [&[u8]; 5] {
        let key = self.key.as_deref().unwrap_or_default();
        let content_type = self.content_type.as_ref();
        [
            &self.body,
            self.path.as_bytes(),
            key.as_bytes(),
            self.id.as_str().as_bytes(),
            content_type.map_or(&[], HeaderValue::as_bytes),
        ]
    }

    /// The request that an endpoint receives.
    fn request(&self, address: address::Socket) -> http::Result<http::Request<Full<Bytes>>> {
        let mut builder = http::Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .header(header::HOST, address.to_string())
            .header(engine::REQUEST_ID_HEADER, self.id.as_str());
        if let Some(content_type) = &self.content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &self.key {
            builder = builder.header(IDEMPOTENCY_KEY, key.as_str());
        }
        builder.body(Full::new(Bytes::clone(&self.body)))
    }

    fn about(&self) -> note::About {
        note::About {
            workspace: Some(self.workspace.clone()),
            ..note::About::request(&self.id)
        }
    }
}

#[salvo::async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = super::request_id(req);
        super::write_request_id(&id, res);
        let mut about = note::About::request(&id);
        if let Err(refusal) = self.respond(&id, req, res, &mut about).await {
            self.core.trace.record_refusal(&about, &refusal);
            refusal.write(Some(&id), res);
        }
    }
}

impl Services {
    async fn respond(
        &self,
        id: &id::Request,
        request: &mut Request,
        response: &mut Response,
        about: &mut note::About,
    ) -> Result<(), Refusal> {
        let view = self.core.serving_view()?;
        let (workspace, secret) = auth::authenticate(request, &view)?;
        about.workspace = Some(workspace.clone());
        let call = self.parse(id, workspace, request, &view).await?;
        auth::check_key_exposure(&secret, &call.forwarded_parts())?;
        let cost = token::Count(service_cost(&view, &call.service));
        let limiter = &self.core.limiter;
        let mut permit = admission::Permit::reserve(limiter, &call.workspace, cost).await?;
        let outcome = if is_idempotent(&view, &call) {
            self.send_idempotent(&call).await
        } else {
            self.run_booking(call).await
        };
        if !matches!(&outcome, Err(refusal) if is_not_run(refusal)) {
            permit.mark_all_used();
        }
        completion::write(outcome?, response);
        Ok(())
    }

    async fn parse(
        &self,
        id: &id::Request,
        workspace: id::Workspace,
        request: &mut Request,
        view: &view::Snapshot,
    ) -> Result<Call, Refusal> {
        let name: Option<String> = request.param("name");
        let service: id::Service = name
            .and_then(|name| name.parse().ok())
            .ok_or(Refusal::PathUnknown)?;
        let endpoints = view.endpoints().values();
        if !endpoints
            .into_iter()
            .any(|endpoint| endpoint.announcement.service.as_ref() == Some(&service))
        {
            return Err(Refusal::PathUnknown);
        }
        let body = crate::server::read_body(request, &self.core).await?;
        Ok(Call {
            id: id.clone(),
            workspace,
            method: request.method().clone(),
            path: service_path(request, &service),
            content_type: request.headers().get(header::CONTENT_TYPE).cloned(),
            key: idempotency_key(request)?,
            body,
            deadline: booking_deadline(view, &service),
            service,
        })
    }

    /// Sends an idempotent call until an endpoint answers, within the retry budget and the
    /// deadline.
    async fn send_idempotent(&self, call: &Call) -> Result<completion::Completion, Refusal> {
        let deadline = self.core.now().after(call.deadline);
        let scope = scope::Scope::Service(call.service.clone());
        let mut resend: Option<resends::Ticket> = None;
        let mut tried = route::Tried::new();
        let mut outcome = Outcome::NotRun;
        for number in 1.. {
            let Some(destination) = self.choose_untried(call, &mut tried) else {
                break;
            };
            // After a failure, the idle connections may be dead as well.
            let reuse = if number > 1 {
                exchange::Reuse::Forbidden
            } else {
                exchange::Reuse::Allowed
            };
            match resend.take() {
                Some(resend) => resend.use_up(),
                None => resends::record_first_send(&self.core, &scope),
            }
            let completion = self.dispatch(call, &destination, reuse).await;
            let completion::Completion::Failed(evidence) = completion else {
                return Ok(completion);
            };
            outcome = outcome.combined_with(Outcome::from_evidence(evidence));
            let attempt = retry::Attempt {
                class: retry::Class::Idempotent,
                dispatches: number,
                outcome,
                deadline,
            };
            let decision = retry::decide(self.core.now(), attempt, &mut rand::rng());
            let retry::Decision::Retry(wait) = decision else {
                break;
            };
            let cause = resends::Cause::of(evidence);
            resend = resends::take(&self.core, &scope, cause);
            if resend.is_none() {
                break;
            }
            tokio::time::sleep(wait.to_std()).await;
        }
        if outcome == Outcome::NotRun {
            return Err(Refusal::NoEndpoint {
                retry_after: NO_ENDPOINT_RETRY_AFTER,
            });
        }
        Err(Refusal::EndpointFailed)
    }

    /// Chooses an endpoint that was not tried, or any if all were, and marks it as tried.
    fn choose_untried(&self, call: &Call, tried: &mut route::Tried) -> Option<route::Destination> {
        let mut destination = self.choose(call, tried);
        if destination.is_none() {
            tried.clear();
            destination = self.choose(call, tried);
        }
        let destination = destination?;
        tried.push(destination.endpoint.clone());
        Some(destination)
    }

    /// Runs a booking in a task of its own, so that a caller that disconnects does not cancel
    /// it before its outcome is recorded.
    async fn run_booking(&self, call: Call) -> Result<completion::Completion, Refusal> {
        let core = Arc::clone(&self.core);
        let task = tokio::spawn(async move { Self { core }.complete_booking(&call).await });
        task.await.unwrap_or(Err(Refusal::BookingUnknown))
    }

    /// Opens the claim, sends the call, records its outcome and returns the reply.
    async fn complete_booking(&self, call: &Call) -> Result<completion::Completion, Refusal> {
        let key = call.key.clone().ok_or(Refusal::IdempotencyKeyMissing)?;
        let booking = booking::Booking {
            workspace: call.workspace.clone(),
            key,
            call_hash: booking::hash_call(call.method.as_str(), &call.path, &call.body),
            request: call.id.clone(),
        };
        let mut state = claims::Booking::new();
        let mut input = booking.open_claim(&self.core).await;
        if let claims::Input::Verdict(claim::Verdict::Stored { .. }) = &input {
            let sentence = "the booking has run before; its stored answer was given";
            self.core.trace.note(&call.about(), "stored", sentence, &[]);
        }
        loop {
            let output = state.step(input).pop();
            input = match output {
                Some(claims::Output::Dispatch) => self.dispatch_booking(call).await,
                Some(claims::Output::Close {
                    claim,
                    outcome,
                    after,
                }) => {
                    tokio::time::sleep(after.to_std()).await;
                    booking.close_claim(&self.core, claim, outcome).await
                }
                Some(claims::Output::Reply(reply)) => {
                    return booking::to_result(reply)
                        .map(|stored| completion::from_stored(&stored));
                }
                None => return Err(Refusal::BookingUnknown),
            };
        }
    }

    /// Sends a booking that holds its claim, over a connection of its own.
    async fn dispatch_booking(&self, call: &Call) -> claims::Input {
        let sentence = "the right to run the booking once was committed";
        self.core
            .trace
            .note(&call.about(), "claimed", sentence, &[]);
        let Some(destination) = self.choose(call, &route::Tried::new()) else {
            return claims::Input::Ended(Evidence::NeverDispatched);
        };
        let reuse = exchange::Reuse::Forbidden;
        let completion = self.dispatch(call, &destination, reuse).await;
        completion::to_input(&completion)
    }

    fn choose(&self, call: &Call, tried: &route::Tried) -> Option<route::Destination> {
        let query = route::Query {
            model: None,
            service: Some(&call.service),
            tried,
            requirement: origin::Requirement::Any,
        };
        self.core.router.choose(self.core.now(), &query)
    }

    async fn dispatch(
        &self,
        call: &Call,
        destination: &route::Destination,
        reuse: exchange::Reuse,
    ) -> completion::Completion {
        let about = call.about().at(&destination.endpoint);
        let sentence = "sent to the endpoint";
        self.core.trace.note(&about, "sent", sentence, &[]);
        let completion = self.send(call, destination, reuse).await;
        let sentence = match &completion {
            completion::Completion::Answered { .. } => "the endpoint answered",
            completion::Completion::Failed(evidence) => match Outcome::from_evidence(*evidence) {
                Outcome::NotRun => "it is proven that the call did not run",
                _ => "no whole answer came; the call may have run",
            },
        };
        self.core.trace.note(&about, "ended", sentence, &[]);
        let failed = matches!(completion, completion::Completion::Failed(_));
        self.core
            .router
            .record_ended(self.core.now(), destination, failed);
        completion
    }

    async fn send(
        &self,
        call: &Call,
        destination: &route::Destination,
        reuse: exchange::Reuse,
    ) -> completion::Completion {
        let Ok(request) = call.request(destination.address) else {
            return completion::Completion::Failed(Evidence::NeverDispatched);
        };
        let connections = &self.core.service_connections;
        let (address, time_limit) = (destination.address, call.deadline.to_std());
        match exchange::run(connections, address, &request, reuse, time_limit).await {
            Ok(response) => completion::from_response(response),
            Err(exchange::Error::Failed(evidence)) => completion::Completion::Failed(evidence),
            Err(exchange::Error::Malformed(defect)) => {
                let about = call.about().at(&destination.endpoint);
                engine::record_defect(&self.core, &about, defect);
                completion::Completion::Failed(Evidence::CutAnswer)
            }
        }
    }
}

/// Closes idle connections to services that have expired.
pub(crate) async fn sweep_connections(core: Arc<core::Core>) {
    loop {
        tokio::time::sleep(pool::SWEEP_INTERVAL).await;
        core.service_connections.close_expired();
    }
}

fn is_not_run(refusal: &Refusal) -> bool {
    refusal.outcome() == cranberrygap_wire::caller::Outcome::NotRun
}

fn service_path(request: &Request, service: &id::Service) -> String {
    let path = request.uri().path();
    let prefix = format!("/services/{service}");
    let rest = path.strip_prefix(prefix.as_str()).unwrap_or(path);
    let rest = if rest.is_empty() { "/" } else { rest };
    match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    }
}

fn idempotency_key(request: &Request) -> Result<Option<SmolStr>, Refusal> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_cause| Refusal::IdempotencyKeyMissing)?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(Refusal::IdempotencyKeyMissing);
    }
    Ok(Some(SmolStr::new(text)))
}

fn exception<'view>(
    view: &'view view::Snapshot,
    service: &id::Service,
) -> Option<&'view configuration::Exception> {
    view.exception(configuration::Target::Service, service.as_str())
}

fn is_idempotent(view: &view::Snapshot, call: &Call) -> bool {
    let path = call.path.split('?').next().unwrap_or_default();
    let patterns = exception(view, &call.service).map(|exception| &exception.idempotent);
    let mut patterns = patterns.into_iter().flatten();
    patterns.any(|pattern| pattern::matches(pattern, call.method.as_str(), path))
}

fn service_cost(view: &view::Snapshot, service: &id::Service) -> u64 {
    let exceptional = exception(view, service).and_then(|exception| exception.service_cost);
    exceptional.unwrap_or(view.defaults().service_cost)
}

fn booking_deadline(view: &view::Snapshot, service: &id::Service) -> duration::Span {
    let exceptional = exception(view, service).and_then(|exception| exception.booking_deadline);
    exceptional.unwrap_or(view.defaults().booking_deadline)
}
