//! `POST /v1/chat/completions` and `POST /v1/completions`.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_trace::note;
use cranberrygap_wire::configuration;
use salvo::http::{HeaderValue, Request, Response, header};
use salvo::{Depot, FlowCtrl, Handler};

use crate::admission;
use crate::attainment;
use crate::core;
use crate::engine;
use crate::queue;
use crate::refusal::Refusal;
use crate::relay;
use crate::view;

use super::{auth, body};

/// Limit on the requests that all entries together have at one engine.
///
/// Engines do not report their batch size, so the limit is above the largest batch that was
/// measured. A limit of 256 held back requests that the engine would have run.
const MAX_REQUESTS_PER_ENGINE: usize = 1_024;

/// Requests that one entry may always have at one engine, however many entries there are.
const MIN_REQUESTS_PER_ENGINE: usize = 4;

/// Largest response that is read whole, in bytes. The longest completions have some hundred
/// kilobytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Handler of the model requests on one path.
#[derive(Debug)]
pub(crate) struct Generate {
    pub core: Arc<core::Core>,
    pub path: &'static str,
    /// Key of the prompt in the body.
    pub prompt_key: &'static str,
}

#[salvo::async_trait]
impl Handler for Generate {
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

impl Generate {
    fn note_admitted(&self, about: &note::About, body: &body::Body) {
        self.core.trace.note(
            about,
            "admitted",
            "admitted: the share of its workspace covers the most it can cost",
            &[
                ("reserved_tokens", &body.max_cost()),
                ("prompt_tokens_at_most", &body.prompt_tokens),
                ("max_tokens", &body.max_tokens),
                ("streamed", &body.stream),
            ],
        );
    }

    /// Waits for a place at the model's engines, which is shared fairly among the workspaces.
    ///
    /// Returns `None` if no engine is ready.
    async fn enter_queue(
        &self,
        view: &view::Snapshot,
        workspace: &id::Workspace,
        engine_request: &engine::Request,
    ) -> Result<Option<queue::Slot>, Refusal> {
        let engines = self
            .core
            .router
            .ready_runner_count(&engine_request.body.model);
        if engines == 0 {
            // The router decides whether the request waits until the model is loaded.
            return Ok(None);
        }
        let entries = view.active_entries().count().max(1);
        let defaults = view.defaults();
        let target = configuration::Target::Workspace;
        let exception = view.exception(target, workspace.as_str());
        let weight = exception.and_then(|exception| exception.weight);
        let wish = queue::Request {
            model: engine_request.body.model.clone(),
            workspace: workspace.clone(),
            weight: weight.unwrap_or(defaults.weight),
            cost: engine_request.body.max_cost(),
            max_wait: defaults.queue_deadline,
            capacity: engines * (MAX_REQUESTS_PER_ENGINE / entries).max(MIN_REQUESTS_PER_ENGINE),
            max_waiting: defaults.queue_length as usize,
        };
        let result = self.core.queues.acquire(&wish).await;
        let refusal = |retry_after| Refusal::NoEndpoint { retry_after };
        result.map(Some).map_err(refusal)
    }

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
        let bytes = crate::server::read_body(request, &self.core).await?;
        auth::check_key_exposure(&secret, &[&bytes, id.as_str().as_bytes()])?;
        let default_max = default_max_tokens(&view, &workspace);
        let body = body::Body::parse(&bytes, self.prompt_key, default_max)?;
        if !view.has_model(&body.model) {
            return Err(Refusal::ModelUnknown(body.model.as_str().into()));
        }
        about.model = Some(body.model.clone());
        let fingerprint = body.fingerprint(&workspace, self.path);
        self.core.check_quarantine(&view, &fingerprint)?;
        let limiter = &self.core.limiter;
        let permit = admission::Permit::reserve(limiter, &workspace, body.max_cost()).await?;
        self.note_admitted(about, &body);
        let progress = attainment::Progress::start(&self.core, &body.model, view.defaults());
        let engine_request = engine::Request {
            id: id.clone(),
            about: about.clone(),
            path: self.path,
            fingerprint,
            deadline: self
                .core
                .arrival_time()
                .after(request_deadline(&view, &body.model)),
            body,
        };
        let queue_place = self.enter_queue(&view, &workspace, &engine_request).await?;
        let delivery = engine::Delivery::new(&self.core, &Arc::new(engine_request), queue_place);
        if delivery.request().body.stream {
            return respond_stream(response, delivery, permit, progress).await;
        }
        respond_whole(response, delivery, permit, progress).await
    }
}

async fn respond_stream(
    response: &mut Response,
    mut delivery: engine::Delivery,
    mut permit: admission::Permit,
    progress: attainment::Progress,
) -> Result<(), Refusal> {
    let answer = match delivery.send(0).await {
        Ok(answer) => answer,
        Err(refusal) => return Err(charge_refused(&delivery, &mut permit, refusal)),
    };
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, events);
    let no_cache = HeaderValue::from_static("no-cache");
    response
        .headers_mut()
        .insert(header::CACHE_CONTROL, no_cache);
    let relay = relay::Relay::new(delivery, answer, permit, progress);
    response.stream(relay.into_stream());
    Ok(())
}

/// Reads the whole answer before it sends a byte to the caller, so that a truncated answer
/// is a failure and does not pass for a shorter one.
async fn respond_whole(
    response: &mut Response,
    mut delivery: engine::Delivery,
    mut permit: admission::Permit,
    mut progress: attainment::Progress,
) -> Result<(), Refusal> {
    let (bytes, total) = match fetch_whole(&mut delivery).await {
        Ok(response) => response,
        Err(refusal) => return Err(charge_refused(&delivery, &mut permit, refusal)),
    };
    match total {
        Some(used) => permit.set_used(token::Count(used)),
        None => permit.mark_all_used(),
    }
    progress.record_token();
    progress.finish();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(bytes);
    Ok(())
}

/// Returns the whole answer and the number of tokens that it used, if the engine reports it.
async fn fetch_whole(delivery: &mut engine::Delivery) -> Result<(Bytes, Option<u64>), Refusal> {
    loop {
        let answer = delivery.send(0).await?;
        let mut attempt = answer.attempt;
        let body = answer.http.read_body(MAX_RESPONSE_BYTES).await;
        let evidence = match body {
            Ok(bytes) => match serde_json::from_slice::<serde_json::Value>(&bytes) {
                Ok(parsed) => {
                    attempt.record_complete();
                    return Ok((bytes, parsed["usage"]["total_tokens"].as_u64()));
                }
                Err(_malformed) => Evidence::CutAnswer,
            },
            Err(_cause) => Evidence::ConnectionBroke,
        };
        delivery.handle_failure(evidence, attempt).await?;
    }
}

/// Marks the whole reservation as used unless it is proven that no engine ran the request.
fn charge_refused(
    delivery: &engine::Delivery,
    permit: &mut admission::Permit,
    refusal: Refusal,
) -> Refusal {
    if !delivery.is_not_run() {
        permit.mark_all_used();
    }
    refusal
}

fn request_deadline(view: &view::Snapshot, model: &id::Model) -> duration::Span {
    let exception = view.exception(configuration::Target::Model, model.as_str());
    exception
        .and_then(|exception| exception.request_deadline)
        .unwrap_or(view.defaults().request_deadline)
}

fn default_max_tokens(view: &view::Snapshot, workspace: &id::Workspace) -> u64 {
    let exception = view.exception(configuration::Target::Workspace, workspace.as_str());
    exception
        .and_then(|exception| exception.max_tokens)
        .unwrap_or(view.defaults().max_tokens)
}
