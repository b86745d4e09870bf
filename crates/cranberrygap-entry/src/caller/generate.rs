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

/// Requests that all entries together keep at one engine. Engines do not say how
/// many they batch; this is above what any of them did in `measure path`, where a
/// bound of 256 held requests back that the engine would have run.
const AT_ONE_ENGINE: usize = 1_024;

/// Places that one entry has at one engine at least.
const LEAST_PLACES: usize = 4;

/// Answers model requests on one path.
#[derive(Debug)]
pub(crate) struct Generate {
    pub core: Arc<core::Core>,
    pub path: &'static str,
    /// Key of the body that holds the prompt.
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
        if let Err(refusal) = self.answer(&id, req, res, &mut about).await {
            self.core.trace.refused(&about, &refusal);
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
                ("reserved_tokens", &body.bound()),
                ("prompt_tokens_at_most", &body.prompt),
                ("max_tokens", &body.max_tokens),
                ("streamed", &body.stream),
            ],
        );
    }

    /// A place at the model's engines, in fair order among the workspaces.
    async fn place(
        &self,
        view: &view::Snapshot,
        workspace: &id::Workspace,
        call: &engine::Request,
    ) -> Result<Option<queue::Slot>, Refusal> {
        let engines = self.core.router.ready_runner_count(&call.body.model);
        if engines == 0 {
            // Whether to wait for a load is the router's to say.
            return Ok(None);
        }
        let entries = view.active_entries().count().max(1);
        let defaults = view.defaults();
        let target = configuration::Target::Workspace;
        let exception = view.exception(target, workspace.as_str());
        let weight = exception.and_then(|exception| exception.weight);
        let wish = queue::Request {
            model: call.body.model.clone(),
            workspace: workspace.clone(),
            weight: weight.unwrap_or(defaults.weight),
            cost: call.body.bound(),
            max_wait: defaults.queue_deadline,
            capacity: engines * (AT_ONE_ENGINE / entries).max(LEAST_PLACES),
            max_waiting: defaults.queue_length as usize,
        };
        let entered = self.core.queues.acquire(&wish).await;
        let refused = |retry_after| Refusal::NoEndpoint { retry_after };
        entered.map(Some).map_err(refused)
    }

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
        let bytes = crate::server::read_body(request, &self.core).await?;
        auth::check_hidden(&secret, &[&bytes, id.as_str().as_bytes()])?;
        let default_max = max_tokens(&view, &workspace);
        let body = body::Body::read(&bytes, self.prompt_key, default_max)?;
        if !view.has_model(&body.model) {
            return Err(Refusal::ModelUnknown(body.model.as_str().into()));
        }
        about.model = Some(body.model.clone());
        let fingerprint = body.fingerprint(&workspace, self.path);
        core::Core::check_quarantine(&view, &fingerprint)?;
        let limiter = &self.core.limiter;
        let permit = admission::Permit::reserve(limiter, &workspace, body.bound()).await?;
        self.note_admitted(about, &body);
        let progress = attainment::Progress::arrived(&self.core, &body.model, view.defaults());
        let call = engine::Request {
            id: id.clone(),
            about: about.clone(),
            path: self.path,
            fingerprint,
            deadline: self.core.now().after(deadline(&view, &body.model)),
            body,
        };
        let place = self.place(&view, &workspace, &call).await?;
        let delivery = engine::Delivery::new(&self.core, &Arc::new(call), place);
        if delivery.request().body.stream {
            return stream(response, delivery, permit, progress).await;
        }
        whole(response, delivery, permit, progress).await
    }
}

async fn stream(
    response: &mut Response,
    mut delivery: engine::Delivery,
    mut permit: admission::Permit,
    progress: attainment::Progress,
) -> Result<(), Refusal> {
    let answer = match delivery.send(0).await {
        Ok(answer) => answer,
        Err(refusal) => return Err(refused(&delivery, &mut permit, refusal)),
    };
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, events);
    let fresh = HeaderValue::from_static("no-cache");
    response.headers_mut().insert(header::CACHE_CONTROL, fresh);
    let relay = relay::Relay::new(delivery, answer, permit, progress);
    response.stream(relay.into_stream());
    Ok(())
}

/// Reads the whole answer before a byte goes out, so that a cut one is a failure
/// and not a shorter answer.
async fn whole(
    response: &mut Response,
    mut delivery: engine::Delivery,
    mut permit: admission::Permit,
    mut progress: attainment::Progress,
) -> Result<(), Refusal> {
    let (bytes, total) = match read_whole(&mut delivery).await {
        Ok(read) => read,
        Err(refusal) => return Err(refused(&delivery, &mut permit, refusal)),
    };
    match total {
        Some(used) => permit.set_used(token::Count(used)),
        None => permit.mark_all_used(),
    }
    progress.token();
    progress.finish();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(bytes);
    Ok(())
}

/// The whole answer and the tokens that it used.
async fn read_whole(delivery: &mut engine::Delivery) -> Result<(Bytes, Option<u64>), Refusal> {
    loop {
        let answer = delivery.send(0).await?;
        let mut sent = answer.attempt;
        let evidence = match answer.http.bytes().await {
            Ok(bytes) => match serde_json::from_slice::<serde_json::Value>(&bytes) {
                Ok(parsed) => {
                    sent.record_complete();
                    return Ok((bytes, parsed["usage"]["total_tokens"].as_u64()));
                }
                Err(_malformed) => Evidence::CutAnswer,
            },
            Err(_cause) => Evidence::ConnectionBroke,
        };
        delivery.handle_failure(evidence, sent).await?;
    }
}

/// Counts the whole reservation as used unless it is proven that nothing ran.
fn refused(
    delivery: &engine::Delivery,
    permit: &mut admission::Permit,
    refusal: Refusal,
) -> Refusal {
    if !delivery.is_not_run() {
        permit.mark_all_used();
    }
    refusal
}

fn deadline(view: &view::Snapshot, model: &id::Model) -> duration::Span {
    let exception = view.exception(configuration::Target::Model, model.as_str());
    exception
        .and_then(|exception| exception.request_deadline)
        .unwrap_or(view.defaults().request_deadline)
}

fn max_tokens(view: &view::Snapshot, workspace: &id::Workspace) -> u64 {
    let exception = view.exception(configuration::Target::Workspace, workspace.as_str());
    exception
        .and_then(|exception| exception.max_tokens)
        .unwrap_or(view.defaults().max_tokens)
}
