//! `/services/{name}/...`: calls of plain services.

mod ending;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::outcome::{Evidence, Outcome};
use cranberrygap_policy::{claims, retry};
use cranberrygap_trace::note;
use cranberrygap_wire::{claim, configuration};
use salvo::http::{HeaderValue, Request, Response, header};
use salvo::{Depot, FlowCtrl, Handler};
use smol_str::SmolStr;

use crate::admission;
use crate::booking;
use crate::core;
use crate::engine;
use crate::refusal::Refusal;
use crate::route;
use crate::view;

use super::{auth, pattern};

/// Header by which callers name a booking.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest idempotency key, in bytes. Bounds what a claim stores.
const LONGEST_KEY: usize = 200;

/// Wait before callers may try again when no endpoint serves.
const NO_ENDPOINT_WAIT: duration::Span = duration::Span::from_secs(1);

/// Passes calls on to a plain service.
#[derive(Debug)]
pub(crate) struct Services {
    pub core: Arc<core::Core>,
}

/// One call, checked and admitted.
#[derive(Debug)]
struct Call {
    id: id::Request,
    workspace: id::Workspace,
    service: id::Service,
    method: salvo::http::Method,
    /// Path and query as the service sees them.
    path: String,
    content_type: Option<HeaderValue>,
    key: Option<SmolStr>,
    body: Bytes,
    deadline: duration::Span,
}

impl Call {
    /// Everything of the caller's that the service will see.
    fn passed_on(&self) -> [&[u8]; 5] {
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
        if let Err(refusal) = self.answer(&id, req, res, &mut about).await {
            self.core.trace.refused(&about, &refusal);
            refusal.write(Some(&id), res);
        }
    }
}

impl Services {
    async fn answer(
        &self,
        id: &id::Request,
        request: &mut Request,
        response: &mut Response,
        about: &mut note::About,
    ) -> Result<(), Refusal> {
        let view = self.core.serving_view()?;
        let (workspace, secret) = auth::workspace(request, &view)?;
        about.workspace = Some(workspace.clone());
        let call = self.read(id, workspace, request, &view).await?;
        auth::check_hidden(&secret, &call.passed_on())?;
        let cost = token::Count(cost(&view, &call.service));
        let limiter = &self.core.limiter;
        let mut permit = admission::Permit::reserve(limiter, &call.workspace, cost).await?;
        let outcome = if is_idempotent(&view, &call) {
            self.look_up(&call).await
        } else {
            self.book(call).await
        };
        if !matches!(&outcome, Err(refusal) if is_not_run(refusal)) {
            permit.mark_all_used();
        }
        ending::write(outcome?, response);
        Ok(())
    }

    async fn read(
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
        let known = view.endpoints().values();
        if !known
            .into_iter()
            .any(|e| e.announcement.service.as_ref() == Some(&service))
        {
            return Err(Refusal::PathUnknown);
        }
        let body = crate::server::read_body(request, &self.core).await?;
        Ok(Call {
            id: id.clone(),
            workspace,
            method: request.method().clone(),
            path: passed_path(request, &service),
            content_type: request.headers().get(header::CONTENT_TYPE).cloned(),
            key: idempotency_key(request)?,
            body,
            deadline: deadline(view, &service),
            service,
        })
    }

    /// Sends a call that may be repeated until an endpoint answers, as far as the
    /// retry budget and the deadline allow.
    async fn look_up(&self, call: &Call) -> Result<ending::Ending, Refusal> {
        let deadline = self.core.now().after(call.deadline);
        self.core.retry_budget.lock().record_request();
        let mut tried = route::Tried::new();
        let mut outcome = Outcome::NotRun;
        for number in 1.. {
            let Some(choice) = self.choose_another(call, &mut tried) else {
                break;
            };
            let client = if number > 1 {
                self.core.upstream.fresh()
            } else {
                self.core.upstream.pooled()
            };
            let ending = self.dispatch(call, &choice, client).await;
            let ending::Ending::Failed(evidence) = ending else {
                return Ok(ending);
            };
            outcome = outcome.combined_with(Outcome::from_evidence(evidence));
            let attempt = retry::Attempt {
                class: retry::Class::Idempotent,
                dispatches: number,
                outcome,
                deadline,
            };
            if !self.may_send_again(attempt).await {
                break;
            }
        }
        if outcome == Outcome::NotRun {
            return Err(Refusal::NoEndpoint {
                retry_after: NO_ENDPOINT_WAIT,
            });
        }
        Err(Refusal::EndpointFailed)
    }

    /// Asks the retry budget and waits as it says.
    async fn may_send_again(&self, attempt: retry::Attempt) -> bool {
        let now = self.core.now();
        let decision = {
            let mut budget = self.core.retry_budget.lock();
            budget.decide(now, attempt, &mut rand::rng())
        };
        let retry::Decision::Retry(wait) = decision else {
            return false;
        };
        tokio::time::sleep(wait.to_std()).await;
        true
    }

    /// An endpoint that was not tried, or the first again when all were.
    fn choose_another(&self, call: &Call, tried: &mut route::Tried) -> Option<route::Destination> {
        let mut choice = self.choose(call, tried);
        if choice.is_none() {
            tried.clear();
            choice = self.choose(call, tried);
        }
        let choice = choice?;
        tried.push(choice.endpoint.clone());
        Some(choice)
    }

    /// Runs a call that may run at most once, in a task of its own: a caller that
    /// leaves must not stop it half way, with its outcome unrecorded.
    async fn book(&self, call: Call) -> Result<ending::Ending, Refusal> {
        let core = Arc::clone(&self.core);
        let task = tokio::spawn(async move { Self { core }.book_once(&call).await });
        task.await.unwrap_or(Err(Refusal::BookingUnknown))
    }

    async fn book_once(&self, call: &Call) -> Result<ending::Ending, Refusal> {
        let key = call.key.clone().ok_or(Refusal::IdempotencyKeyMissing)?;
        let booking = booking::Booking {
            workspace: call.workspace.clone(),
            key,
            body_hash: booking::body_hash(call.method.as_str(), &call.path, &call.body),
            request: call.id.clone(),
        };
        let mut decisions = claims::Booking::new();
        let mut input = booking.open(&self.core).await;
        if let claims::Input::Verdict(claim::Verdict::Stored { .. }) = &input {
            let sentence = "the booking has run before; its stored answer was given";
            self.core.trace.note(&call.about(), "stored", sentence, &[]);
        }
        loop {
            let output = decisions.step(input).pop();
            input = match output {
                Some(claims::Output::Dispatch) => self.run_booking(call).await,
                Some(claims::Output::Close {
                    claim,
                    outcome,
                    after,
                }) => {
                    tokio::time::sleep(after.to_std()).await;
                    booking.close(&self.core, claim, outcome).await
                }
                Some(claims::Output::Reply(reply)) => {
                    return booking::answer(reply).map(|stored| ending::from_stored(&stored));
                }
                None => return Err(Refusal::BookingUnknown),
            };
        }
    }

    /// Sends a booking, which has its claim by now, over a connection of its own.
    async fn run_booking(&self, call: &Call) -> claims::Input {
        let sentence = "the right to run the booking once was committed";
        self.core
            .trace
            .note(&call.about(), "claimed", sentence, &[]);
        let Some(choice) = self.choose(call, &route::Tried::new()) else {
            return claims::Input::Ended(Evidence::NeverDispatched);
        };
        let client = self.core.upstream.fresh();
        let ending = self.dispatch(call, &choice, client).await;
        ending::to_input(&ending)
    }

    fn choose(&self, call: &Call, tried: &route::Tried) -> Option<route::Destination> {
        let wanted = route::Query {
            model: None,
            service: Some(&call.service),
            tried,
        };
        self.core.router.choose(self.core.now(), &wanted)
    }

    async fn dispatch(
        &self,
        call: &Call,
        choice: &route::Destination,
        client: &reqwest::Client,
    ) -> ending::Ending {
        let about = call.about().at(&choice.endpoint);
        let sentence = "sent to the endpoint";
        self.core.trace.note(&about, "sent", sentence, &[]);
        let ending = self.send(call, choice, client).await;
        let sentence = match &ending {
            ending::Ending::Answered { .. } => "the endpoint answered",
            ending::Ending::Failed(evidence) => match Outcome::from_evidence(*evidence) {
                Outcome::NotRun => "it is proven that the call did not run",
                _ => "no whole answer came; the call may have run",
            },
        };
        self.core.trace.note(&about, "ended", sentence, &[]);
        let failed = matches!(ending, ending::Ending::Failed(_));
        self.core
            .router
            .record_ended(self.core.now(), choice, failed);
        ending
    }

    async fn send(
        &self,
        call: &Call,
        choice: &route::Destination,
        client: &reqwest::Client,
    ) -> ending::Ending {
        let url = format!("http://{}{}", choice.address, call.path);
        let mut sending = client
            .request(call.method.clone(), url)
            .timeout(Duration::from_micros(call.deadline.0))
            .header(engine::REQUEST_ID_HEADER, call.id.as_str())
            .body(Bytes::clone(&call.body));
        if let Some(content_type) = &call.content_type {
            sending = sending.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.key {
            sending = sending.header(IDEMPOTENCY_KEY, key.as_str());
        }
        match sending.send().await {
            Ok(answer) => ending::read_answer(answer).await,
            Err(cause) => ending::Ending::Failed(engine::evidence_of(&cause)),
        }
    }
}

fn is_not_run(refusal: &Refusal) -> bool {
    refusal.outcome() == cranberrygap_wire::caller::Outcome::NotRun
}

fn passed_path(request: &Request, service: &id::Service) -> String {
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
    if text.is_empty() || text.len() > LONGEST_KEY {
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
    patterns.any(|pattern| pattern::covers(pattern, call.method.as_str(), path))
}

fn cost(view: &view::Snapshot, service: &id::Service) -> u64 {
    let excepted = exception(view, service).and_then(|exception| exception.service_cost);
    excepted.unwrap_or(view.defaults().service_cost)
}

fn deadline(view: &view::Snapshot, service: &id::Service) -> duration::Span {
    let excepted = exception(view, service).and_then(|exception| exception.booking_deadline);
    excepted.unwrap_or(view.defaults().booking_deadline)
}
