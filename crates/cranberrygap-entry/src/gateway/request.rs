//! One request of a caller: reads it, checks it against the plan and responds.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranberrygap_model::{duration, id, subject, token};
use cranberrygap_policy::limits::holder;
use cranberrygap_policy::resend::scope;
use cranberrygap_policy::retry;
use cranberrygap_routing::origin;
use cranberrygap_routing::prompt::{backlog, prefix_cache};
use cranberrygap_state::traffic as state;
use cranberrygap_wire::{traffic, view as wire};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request as HttpRequest, Response, header, request};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use smol_str::{SmolStr, ToSmolStr as _};

use crate::admission;
use crate::digest;
use crate::metric;
use crate::quarantine;
use crate::view::{self, traffic as table};

use super::delivery;
use super::dialect;
use super::drain;
use super::failure::{self, Failure};
use super::forward;
use super::readers;
use super::response;
use super::{Gateway, origins, request_log};

/// Longest time to read a body. Callers are on fast networks and send some kilobytes.
const BODY_TIMEOUT: Duration = Duration::from_secs(8);

/// Largest body before a plan is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;

/// Retry delay that callers are given until a traffic plan is accepted. Operators send the
/// first one by hand or script.
const NO_PLAN_RETRY_AFTER: duration::Span = duration::Span::from_secs(1);

/// Retry delay of callers for whose body there is no memory. Callers that read nothing are cut
/// within a second, and bodies on their way end within a few.
const NO_MEMORY_RETRY_AFTER: duration::Span = duration::Span::from_secs(1);

/// Time after which callers leave a silent stream, also before its first event. It is the
/// longest of this time, four objectives and eight of the pauses that they allow.
const MIN_SILENCE_TIMEOUT: duration::Span = duration::Span::from_secs(2);
const SILENCE_TIMEOUT_OBJECTIVES: u64 = 4;
const SILENCE_TIMEOUT_PAUSES: u64 = 8;

/// The objective divided by this is the longest wait for tokens behind other requests of
/// the workspace.
const QUEUE_WAIT_DIVISOR: u64 = 4;

/// Upper limit of the wait for tokens behind other requests of the workspace.
const MAX_QUEUE_WAIT: duration::Span = duration::Span::from_millis(350);

/// The caller's wait for the first event divided by this is the wait for the leader to
/// grant tokens. A lost leader has a successor within a second or two, and a late response
/// is still a response; the rest of the time is for the endpoint.
const LEADER_WAIT_DIVISOR: u64 = 2;

/// When a request runs only alone. Objectives are below a second: the requests that a wave of
/// crashes hits are sent again at once, and must not wait for the leader or for each other.
pub(super) const ISOLATION: quarantine::Isolation = quarantine::Isolation::AfterSecondCrash;

/// Id that the caller gave a request; goes with the response to the connection's log.
#[derive(Debug, Clone)]
pub(super) struct Id(pub(super) SmolStr);

/// A request as it arrived, with its body.
#[derive(Debug)]
pub(crate) struct Request {
    pub method: Method,
    pub target: PathAndQuery,
    pub host: SmolStr,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory for the body, which is held until the last attempt has ended.
    _charge: readers::Charge,
    pub metadata: dialect::Metadata,
    pub chain: prefix_cache::Chain,
    pub arrived_at: duration::Instant,
    /// Version of the plan by which another entry forwarded the request.
    pub forwarded_by: Option<u64>,
    /// What began the stream, once its caller has an event of it.
    pub origin: Option<origin::Origin>,
    /// Number that selects a split of the route, the same for all attempts of a stream.
    pub split_draw: f64,
    /// What is suspected if an endpoint dies under the request.
    pub subjects: quarantine::Subjects,
}

/// What the plan in force says about a request.
#[derive(Debug, Clone)]
pub(crate) struct Resolution {
    pub route: traffic::Route,
    pub workspace: Option<Workspace>,
    pub service: id::Service,
    pub has_engine: bool,
    /// Requests in one batch of the service's engines; 0 without engines.
    pub slots: u32,
    /// Version of the plan.
    pub plan_version: u64,
}

/// The workspace that a request runs for.
#[derive(Debug, Clone)]
pub(crate) struct Workspace {
    pub name: id::Workspace,
    pub priority: Option<u32>,
    pub is_rate_limited: bool,
    pub plain_cost: u64,
    pub by_tokens: bool,
}

impl Resolution {
    /// Whether the request may run more than once.
    pub(crate) const fn class(&self) -> retry::Class {
        match self.route.kind {
            traffic::Kind::Idempotent | traffic::Kind::Resumable => retry::Class::Idempotent,
            traffic::Kind::Once | traffic::Kind::Stream => retry::Class::AtMostOnce,
        }
    }

    /// What pays for resends of the request.
    pub(crate) fn scope(&self) -> scope::Scope {
        scope::Scope::Service(self.service.clone())
    }

    /// Priority of the request; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        let own_priority = self
            .workspace
            .as_ref()
            .and_then(|workspace| workspace.priority);
        own_priority.unwrap_or(self.route.priority)
    }

    /// Priority, limited to the ranks that the backlog of an endpoint has.
    pub(crate) fn rank(&self) -> usize {
        (self.priority() as usize).min(backlog::RANKS - 1)
    }
}

impl Request {
    /// Resolves the request against the plan in force at this moment.
    pub(crate) fn resolve(&self, view: &view::Snapshot) -> Result<Resolution, Failure> {
        let table = view
            .traffic()
            .ok_or_else(|| no_view_failure(NO_PLAN_RETRY_AFTER))?;
        let route = table.route(&self.host, self.target.path());
        let route = route.ok_or(Failure::NoRoute)?;
        let workspace = self.paying_workspace(table, route)?;
        let service = self.pick_service(route).ok_or(Failure::NoRoute)?;
        let service_plan = table.service(&service);
        Ok(Resolution {
            route: route.clone(),
            workspace,
            has_engine: service_plan.is_some_and(|service_plan| service_plan.engine.is_some()),
            slots: service_plan
                .and_then(|service_plan| service_plan.engine.as_ref())
                .map_or(0, |engine| engine.slots),
            service,
            plan_version: table.plan().version,
        })
    }

    fn paying_workspace(
        &self,
        table: &table::Table,
        route: &traffic::Route,
    ) -> Result<Option<Workspace>, Failure> {
        if route.public {
            return Ok(None);
        }
        match table.access() {
            Some(traffic::Access::Anyone) => return Ok(None),
            Some(traffic::Access::KeyHolders) => {}
            None => {
                let retry_after = failure::add_jitter(NO_PLAN_RETRY_AFTER);
                return Err(Failure::UnknownAccess { retry_after });
            }
        }
        let key = self.metadata.key.as_ref().ok_or(Failure::NoKey)?;
        let key = state::key_hash(key);
        let workspace = table.workspace(&key).ok_or(Failure::NoKey)?;
        Ok(Some(Workspace {
            name: workspace.workspace.clone(),
            priority: workspace.priority,
            is_rate_limited: workspace.rate.0 > 0.0,
            plain_cost: workspace.plain_cost,
            by_tokens: workspace.by_tokens,
        }))
    }

    /// The service that began the stream while the route leads to it, or else the one that the
    /// draw selects.
    fn pick_service(&self, route: &traffic::Route) -> Option<id::Service> {
        let origin = self.origin.as_ref();
        let mut splits = route.splits.iter().filter(|split| split.weight > 0);
        let began_there =
            |split: &&traffic::Split| origin.is_some_and(|origin| origin.service == split.service);
        let kept = splits.find(began_there);
        kept.map(|split| split.service.clone())
            .or_else(|| pick_split(route, self.split_draw))
    }

    /// Identifies the stream for entries that its caller may come back to; absent if the caller
    /// does not name the attempt that brought its first event.
    pub(crate) fn stream_key(&self, resolution: &Resolution) -> Option<origin::Key> {
        let metadata = &self.metadata;
        let own = metadata.id.as_ref().filter(|_| !metadata.is_resumption());
        let first = metadata.first_attempt.as_ref().or(own)?;
        let workspace = resolution.workspace.as_ref();
        let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
        let hash = digest::hash([workspace.as_bytes(), first.as_bytes()]);
        let (head, _tail) = hash.split_first_chunk()?;
        Some(origin::Key(u128::from_le_bytes(*head)))
    }

    /// Identifies what is asked for, whenever and wherever in the fleet it is sent again.
    ///
    /// The id and the deadline differ each time and are not part of it.
    fn fingerprint(&self, workspace: Option<&Workspace>) -> SmolStr {
        let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
        let target = format!("{} {}", self.method, self.target);
        digest::hash_parts([workspace.as_bytes(), target.as_bytes(), &self.body])
    }

    /// The request itself and the parts of its prompt, but for the last, which belongs to it or to
    /// its session.
    fn find_subjects(&self, fingerprint: &SmolStr) -> quarantine::Subjects {
        let parts = &self.metadata.prompt_parts;
        let shared = parts.split_last().map_or(&[][..], |(_own, shared)| shared);
        let parts = shared.iter().map(|part| subject::part(part.id));
        std::iter::once(fingerprint.clone()).chain(parts).collect()
    }

    /// Tokens that the request costs its workspace.
    fn cost(&self, workspace: &Workspace) -> token::Count {
        if !workspace.by_tokens {
            return token::Count(1);
        }
        let tokens = self.metadata.tokens;
        token::Count(tokens.map_or(workspace.plain_cost, |tokens| tokens.prompt + tokens.output))
    }

    /// Time at which the caller leaves if nothing has arrived by then.
    pub(crate) fn silence_deadline(&self, route: &traffic::Route) -> duration::Instant {
        let is_stream = matches!(route.kind, traffic::Kind::Stream | traffic::Kind::Resumable);
        let deadline = self.deadline(route);
        if !is_stream {
            return deadline;
        }
        let by_objective = duration::Span(route.objective.0 * SILENCE_TIMEOUT_OBJECTIVES);
        let by_pause = duration::Span(route.pause.unwrap_or_default().0 * SILENCE_TIMEOUT_PAUSES);
        let timeout = MIN_SILENCE_TIMEOUT.max(by_objective).max(by_pause);
        self.arrived_at.after(timeout).min(deadline)
    }

    /// Time by which the caller must have its response.
    pub(crate) fn deadline(&self, route: &traffic::Route) -> duration::Instant {
        let timeout = self.metadata.timeout.unwrap_or(route.deadline);
        self.arrived_at.after(timeout.min(route.deadline))
    }
}

/// The service of the split that `draw` selects.
fn pick_split(route: &traffic::Route, draw: f64) -> Option<id::Service> {
    let total: u64 = route
        .splits
        .iter()
        .map(|split| u64::from(split.weight))
        .sum();
    let mut remaining = draw * total as f64;
    for split in &route.splits {
        remaining -= f64::from(split.weight);
        if remaining < 0.0 {
            return Some(split.service.clone());
        }
    }
    let weighted = route.splits.iter().rfind(|split| split.weight > 0);
    weighted.map(|split| split.service.clone())
}

/// Serves one request.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    request: HttpRequest<Incoming>,
) -> Response<response::Body> {
    let arrived_at = gateway.core.arrival_time();
    let (head, body) = request.into_parts();
    let is_forwarded = forward::is_marked(&head.headers);
    let mut log = request_log::Log::new(arrived_at, None);
    let mut draining = None;
    let responded = respond(&gateway, arrived_at, head, body, &mut log, &mut draining).await;
    let mut response = responded.unwrap_or_else(|failure| {
        record_failure(&gateway, &log, &failure);
        let mut response = failure.to_response();
        if is_forwarded && failure.says_not_run() {
            forward::mark_refusal(response.headers_mut(), failure.code());
        }
        if let Some(draining) = &draining {
            drain::mark(response.headers_mut(), draining);
        }
        response
    });
    if let Some(id) = log.id.take() {
        response.extensions_mut().insert(Id(id));
    }
    let status = response.status();
    gateway
        .core
        .count(metric::GATEWAY_REQUESTS, status.as_str());
    if gateway.core.is_draining() {
        // Callers that keep the connection would send their next request to a process that
        // is about to end.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn record_failure(gateway: &Gateway, log: &request_log::Log, failure: &Failure) {
    let now = gateway.core.now();
    let (code, cause, retry_after) = (failure.code(), failure.cause(), failure.retry_after());
    log.log_failure(&gateway.log_limiter, now, code, cause, retry_after);
    gateway.core.count(metric::GATEWAY_FAILURES, code);
    if let Failure::Withheld(status) = failure {
        let status = status.as_str();
        gateway
            .core
            .count(metric::GATEWAY_WITHHELD_STATUSES, status);
    }
}

/// The response to a request; a failure leaves its log and the process that drains, if the response
/// has to name one.
async fn respond(
    gateway: &Arc<Gateway>,
    arrived_at: duration::Instant,
    head: request::Parts,
    body: Incoming,
    log: &mut request_log::Log,
    draining: &mut Option<wire::Draining>,
) -> Result<Response<response::Body>, Failure> {
    let metadata = gateway.dialect.read_headers(&head.headers);
    let metadata = metadata.map_err(Failure::Malformed)?;
    log.id.clone_from(&metadata.id);
    let (body, charge) = read_body(gateway, body).await?;
    let mut received = to_request(arrived_at, head, body, charge, metadata)?;
    let view = serving_view(gateway)?;
    let resolution = received.resolve(&view)?;
    log.revision = view.revision().0;
    log_resolution(log, &received, &resolution);
    received.subjects = received.find_subjects(&log.fingerprint);
    let quarantine = &gateway.core.quarantine;
    let stage = quarantine.stage(gateway.core.now(), &view, &received.subjects, ISOLATION);
    match stage {
        quarantine::Stage::Refused(retry_after) => {
            return Err(Failure::Quarantined { retry_after });
        }
        quarantine::Stage::PartRefused => return Err(Failure::PartQuarantined),
        quarantine::Stage::Free | quarantine::Stage::Probation => {}
    }
    drop(view);
    match received.forwarded_by {
        Some(mark) => {
            log.add_step(
                gateway.core.now(),
                format_args!("another entry forwarded it"),
            );
            forward::check(gateway, mark, resolution.plan_version)?;
        }
        None if gateway.core.reach.is_cut() => {
            let response = forward::forward(gateway, &received, &resolution, log).await?;
            log.log_success(&gateway.log_limiter, gateway.core.now(), None);
            return Ok(response);
        }
        None => {}
    }
    received.origin = origins::find(gateway, &received, &resolution, log).await?;
    let permit = reserve_tokens(gateway, &received, &resolution).await?;
    log_token_wait(gateway, &received, log);
    // The delivery continues the log, also after the head of a stream is sent; it returns
    // the log if it fails before that.
    let id = log.id.clone();
    let taken_log = std::mem::replace(log, request_log::Log::new(arrived_at, id));
    let delivery = delivery::Delivery::new(gateway, received, resolution, permit, taken_log);
    delivery.run().await.map_err(|failed| {
        *log = failed.log;
        *draining = failed.draining;
        failed.failure
    })
}

fn log_resolution(log: &mut request_log::Log, received: &Request, resolution: &Resolution) {
    log.route = resolution.route.name.clone();
    log.plan_version = resolution.plan_version;
    log.fingerprint = received.fingerprint(resolution.workspace.as_ref());
    if let Some(workspace) = &resolution.workspace {
        log.workspace = SmolStr::new(workspace.name.as_str());
    }
    if let Some(model) = &received.metadata.model {
        log.model = SmolStr::new(model.as_str());
    }
}

/// Logs a wait for tokens that a caller may have noticed.
fn log_token_wait(gateway: &Gateway, received: &Request, log: &mut request_log::Log) {
    const NOTICEABLE_WAIT: duration::Span = duration::Span::from_millis(20);
    let now = gateway.core.now();
    if now.since(received.arrived_at) > NOTICEABLE_WAIT {
        log.add_step(now, format_args!("its body and tokens are received"));
    }
}

fn no_view_failure(retry_after: duration::Span) -> Failure {
    let retry_after = failure::add_jitter(retry_after);
    Failure::NoView { retry_after }
}

fn no_memory_failure() -> Failure {
    let retry_after = failure::add_jitter(NO_MEMORY_RETRY_AFTER);
    Failure::NoMemory { retry_after }
}

/// The view to serve from.
pub(crate) fn serving_view(gateway: &Gateway) -> Result<Arc<view::Snapshot>, Failure> {
    let now = gateway.core.now();
    let view = gateway.core.view.current(now);
    gateway
        .core
        .record_time(metric::VIEW_AGE, gateway.core.view.age(now));
    view.ok_or_else(|| no_view_failure(gateway.core.view.retry_after(now)))
}

fn to_request(
    arrived_at: duration::Instant,
    head: request::Parts,
    body: Bytes,
    charge: readers::Charge,
    metadata: dialect::Metadata,
) -> Result<Request, Failure> {
    let host = host_name(&head).ok_or_else(|| Failure::Malformed("the host is missing".into()))?;
    let target = head.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let model = metadata.model.as_ref().map_or("", id::Model::as_str);
    let chain =
        prefix_cache::Chain::new(model, metadata.adapter.as_deref(), &metadata.prompt_parts);
    let mut headers = head.headers;
    response::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let forwarded_by = forward::take_mark(&mut headers);
    let first_attempt = metadata.first_attempt.as_ref().or(metadata.id.as_ref());
    let split_draw = first_attempt.map_or_else(rand::random, |id| draw(id));
    Ok(Request {
        method: head.method,
        target,
        host,
        headers,
        body,
        _charge: charge,
        metadata,
        chain,
        arrived_at,
        forwarded_by,
        origin: None,
        split_draw,
        subjects: quarantine::Subjects::new(),
    })
}

/// A number from 0 to 1 by the id of an attempt.
fn draw(id: &str) -> f64 {
    /// Bits that a floating-point number holds exactly.
    const BITS: u32 = 53;
    let hash = digest::hash([id.as_bytes(), b"split"]);
    let (head, _tail) = hash.split_first_chunk().unwrap_or((&[0; 8], &[]));
    let bits = u64::from_le_bytes(*head) >> (u64::BITS - BITS);
    bits as f64 / (1_u64 << BITS) as f64
}

/// The host that the caller names, in lower case and without a port.
fn host_name(head: &request::Parts) -> Option<SmolStr> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let named = head
        .uri
        .authority()
        .map(http::uri::Authority::as_str)
        .or(named)?;
    let name = named.split(':').next().unwrap_or(named);
    Some(name.to_ascii_lowercase().to_smolstr())
}

/// Reads a body to its end, so that no endpoint holds a part of it while the rest is on its way.
async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
) -> Result<(Bytes, readers::Charge), Failure> {
    let mut charge = readers::Charge::new(&gateway.readers);
    if body.is_end_stream() {
        return Ok((Bytes::new(), charge));
    }
    let view = gateway.core.view.latest();
    let table = view.as_ref().and_then(|view| view.traffic());
    let max_bytes = table.map_or(DEFAULT_MAX_BODY_BYTES, |table| table.plan().bounds.body);
    if body.size_hint().lower() > max_bytes {
        return Err(Failure::TooLarge);
    }
    let read_all = async {
        let mut whole = BytesMut::new();
        let mut length = 0;
        let mut has_memory = true;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| Failure::BrokenBody)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            length += data.len();
            if length as u64 > max_bytes {
                return Err(Failure::TooLarge);
            }
            if !has_memory {
                continue;
            }
            if !charge.grow(length) {
                // The rest is read and dropped. A caller that still sends would get a reset in
                // place of the refusal, and not know that nothing ran.
                has_memory = false;
                whole = BytesMut::new();
                charge.clear();
                continue;
            }
            whole.extend_from_slice(&data);
        }
        if !has_memory {
            return Err(no_memory_failure());
        }
        Ok((whole.freeze(), charge))
    };
    let result = tokio::time::timeout(BODY_TIMEOUT, read_all).await;
    result.unwrap_or(Err(Failure::SlowBody))
}

/// Reserves the tokens that the request costs; `None` for workspaces without a limit.
async fn reserve_tokens(
    gateway: &Gateway,
    received: &Request,
    resolution: &Resolution,
) -> Result<Option<admission::Permit>, Failure> {
    let Some(workspace) = resolution
        .workspace
        .as_ref()
        .filter(|workspace| workspace.is_rate_limited)
    else {
        return Ok(None);
    };
    let limiter = &gateway.core.limiter;
    let cost = received.cost(workspace);
    let silence_timeout = received
        .silence_deadline(&resolution.route)
        .since(received.arrived_at);
    let objective = resolution.route.objective;
    let max_wait = holder::MaxWait {
        in_queue: duration::Span(objective.0 / QUEUE_WAIT_DIVISOR).min(MAX_QUEUE_WAIT),
        for_leader: duration::Span(silence_timeout.0 / LEADER_WAIT_DIVISOR),
    };
    let reserved =
        admission::Permit::reserve_with_max_wait(limiter, &workspace.name, cost, max_wait);
    let permit = tokio::select! {
        biased;
        permit = reserved => permit,
        () = gateway.core.wait_for_closing() => return Err(Failure::stopping()),
    };
    match permit {
        Ok(permit) => Ok(Some(permit)),
        Err(rejection) => Err(Failure::OverRate {
            retry_after: failure::add_jitter(rejection.retry_after()),
        }),
    }
}
