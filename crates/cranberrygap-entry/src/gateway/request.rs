//! One request of a caller: read whole, checked against the plan, answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::limits::holder;
use cranberrygap_routing::prompt::{backlog, prefix_cache};
use cranberrygap_state::traffic as state;
use cranberrygap_wire::traffic;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header, request};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use smol_str::{SmolStr, ToSmolStr as _};

use crate::admission;
use crate::metric;
use crate::view::{self, traffic as table};

use super::answer;
use super::delivery;
use super::dialect;
use super::failure::{self, Failure};
use super::{Gateway, story};

/// Longest time for a body. Callers are on fast networks and send some kilobytes.
const BODY_TIME: Duration = Duration::from_secs(8);

/// Largest body before a plan says so.
const FIRST_BODY: u64 = 1 << 20;

/// Time that callers are told while no traffic plan was ever accepted: operators send
/// the first one by hand or script.
const PLAN_WAIT: duration::Span = duration::Span::from_secs(1);

/// Callers leave a stream in which nothing comes, also before its first event, after this
/// time, four objectives or eight of the pauses that they allow, whichever is longest.
const SILENCE: duration::Span = duration::Span::from_secs(2);
const SILENT_OBJECTIVES: u64 = 4;
const SILENT_PAUSES: u64 = 8;

/// Part of the objective, one in so many, for which a request waits for tokens behind
/// others of its workspace, and the longest such wait.
const LINE_PART: u64 = 4;
const LINE_WAIT: duration::Span = duration::Span::from_millis(350);

/// Part of the time for which its caller waits for a first sign, one in so many, for which
/// a request waits for the leader's word on its tokens. A leader that was lost has a
/// successor within a second or two, and a late answer is still an answer; the other part
/// is for the endpoint.
const LEADER_PART: u64 = 2;

/// A request as it came, once its body is there.
#[derive(Debug)]
pub(crate) struct Facts {
    pub method: Method,
    pub target: PathAndQuery,
    pub host: SmolStr,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub ask: dialect::Metadata,
    pub chain: prefix_cache::Chain,
    pub arrived: duration::Instant,
    /// Draws the part of a split route, the same for all its sends.
    pub roll: f64,
}

/// What the plan in force says about a request.
#[derive(Debug, Clone)]
pub(crate) struct Resolved {
    pub route: traffic::Route,
    pub workspace: Option<Payer>,
    pub service: id::Service,
    pub has_engine: bool,
    /// Requests in one batch of its engines, 0 where it has none.
    pub slots: u32,
    /// Version of the plan.
    pub plan: u64,
}

/// For whom a request runs.
#[derive(Debug, Clone)]
pub(crate) struct Payer {
    pub name: id::Workspace,
    pub priority: Option<u32>,
    pub limited: bool,
    pub plain_cost: u64,
    pub by_tokens: bool,
}

impl Resolved {
    /// Rank of the request, 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        let payer = self.workspace.as_ref().and_then(|payer| payer.priority);
        payer.unwrap_or(self.route.priority)
    }

    /// Rank as the endpoints tells ranks apart.
    pub(crate) fn rank(&self) -> usize {
        (self.priority() as usize).min(backlog::RANKS - 1)
    }
}

impl Facts {
    /// What the plan in force at this moment says.
    pub(crate) fn resolve(&self, view: &view::Snapshot) -> Result<Resolved, Failure> {
        let table = view.traffic().ok_or_else(|| no_view(PLAN_WAIT))?;
        let route = table.route(&self.host, self.target.path());
        let route = route.ok_or(Failure::NoRoute)?;
        let workspace = self.payer(table, route)?;
        let service = part(route, self.roll).ok_or(Failure::NoRoute)?;
        let known = table.service(&service);
        Ok(Resolved {
            route: route.clone(),
            workspace,
            has_engine: known.is_some_and(|known| known.engine.is_some()),
            slots: known
                .and_then(|known| known.engine.as_ref())
                .map_or(0, |engine| engine.slots),
            service,
            plan: table.plan().version,
        })
    }

    fn payer(
        &self,
        table: &table::Table,
        route: &traffic::Route,
    ) -> Result<Option<Payer>, Failure> {
        if route.public || !table.has_workspaces() {
            return Ok(None);
        }
        let key = self.ask.key.as_ref().ok_or(Failure::NoKey)?;
        let key = state::key_hash(key);
        let workspace = table.workspace(&key).ok_or(Failure::NoKey)?;
        Ok(Some(Payer {
            name: workspace.workspace.clone(),
            priority: workspace.priority,
            limited: workspace.rate.0 > 0.0,
            plain_cost: workspace.plain_cost,
            by_tokens: workspace.by_tokens,
        }))
    }

    /// Tokens that the request costs its workspace.
    fn cost(&self, payer: &Payer) -> token::Count {
        if !payer.by_tokens {
            return token::Count(1);
        }
        let tokens = self.ask.tokens;
        token::Count(tokens.map_or(payer.plain_cost, |tokens| tokens.prompt + tokens.output))
    }

    /// The moment at which the caller leaves if nothing has come by then.
    pub(crate) fn silence_ends(&self, route: &traffic::Route) -> duration::Instant {
        let is_stream = matches!(route.kind, traffic::Kind::Stream | traffic::Kind::Resumable);
        let deadline = self.deadline(route);
        if !is_stream {
            return deadline;
        }
        let by_objective = duration::Span(route.objective.0 * SILENT_OBJECTIVES);
        let by_pause = duration::Span(route.pause.unwrap_or_default().0 * SILENT_PAUSES);
        let longest = SILENCE.max(by_objective).max(by_pause);
        self.arrived.after(longest).min(deadline)
    }

    /// The moment by which the caller must have its answer.
    pub(crate) fn deadline(&self, route: &traffic::Route) -> duration::Instant {
        let patience = self.ask.timeout.unwrap_or(route.deadline);
        self.arrived.after(patience.min(route.deadline))
    }
}

/// The service that a split route's draw falls on.
fn part(route: &traffic::Route, roll: f64) -> Option<id::Service> {
    let total: u64 = route
        .splits
        .iter()
        .map(|split| u64::from(split.weight))
        .sum();
    let mut left = roll * total as f64;
    for split in &route.splits {
        left -= f64::from(split.weight);
        if left < 0.0 {
            return Some(split.service.clone());
        }
    }
    let weighted = route.splits.iter().rfind(|split| split.weight > 0);
    weighted.map(|split| split.service.clone())
}

/// Answers one request.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<answer::Body> {
    let arrived = gateway.core.now();
    let (head, body) = request.into_parts();
    let mut told = story::Story::new(arrived, None);
    let mut response = match answer(&gateway, arrived, head, body, &mut told).await {
        Ok(response) => response,
        Err(failure) => {
            let now = gateway.core.now();
            let (code, cause, wait) = (failure.code(), failure.cause(), failure.wait());
            told.failed(&gateway.volume, now, code, cause, wait);
            gateway.core.count(metric::GATEWAY_FAILURES, code);
            failure.answer()
        }
    };
    let status = response.status();
    gateway
        .core
        .count(metric::GATEWAY_REQUESTS, status.as_str());
    if gateway.core.is_draining() {
        // Callers that keep the connection would send their next request to a
        // process that is about to end.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer(
    gateway: &Arc<Gateway>,
    arrived: duration::Instant,
    head: request::Parts,
    body: Incoming,
    told: &mut story::Story,
) -> Result<Response<answer::Body>, Failure> {
    let ask = gateway.dialect.read_headers(&head.headers);
    let ask = ask.map_err(Failure::Malformed)?;
    told.id.clone_from(&ask.id);
    let body = read_body(gateway, body).await?;
    let facts = facts(arrived, head, body, ask)?;
    let view = serving_view(gateway)?;
    let resolved = facts.resolve(&view)?;
    told.revision = view.revision().0;
    let entries = view.active_entries().count();
    drop(view);
    note(told, &facts, &resolved);
    let permit = pay(gateway, &facts, &resolved).await?;
    note_payment(gateway, &facts, told);
    gateway.reserve.lock().earn(&resolved.service, entries);
    // The delivery goes on to tell the story, also after the head of a stream has gone
    // out; what is left here is told if it fails before.
    let delivery = delivery::Delivery::new(gateway, facts, resolved, permit, std::mem::take(told));
    match delivery.run().await {
        Ok(response) => Ok(response),
        Err((story, failure)) => {
            *told = story;
            Err(failure)
        }
    }
}

fn note(told: &mut story::Story, facts: &Facts, resolved: &Resolved) {
    told.route = resolved.route.name.clone();
    told.plan = resolved.plan;
    if let Some(payer) = &resolved.workspace {
        told.workspace = SmolStr::new(payer.name.as_str());
    }
    if let Some(model) = &facts.ask.model {
        told.model = SmolStr::new(model.as_str());
    }
}

/// Notes a wait for tokens that a caller may have felt.
fn note_payment(gateway: &Gateway, facts: &Facts, told: &mut story::Story) {
    const FELT: duration::Span = duration::Span::from_millis(20);
    let now = gateway.core.now();
    if now.since(facts.arrived) > FELT {
        told.step(now, format_args!("its body and tokens are there"));
    }
}

fn no_view(wait: duration::Span) -> Failure {
    let wait = failure::spread(wait);
    Failure::NoView { wait }
}

/// The view to serve from.
pub(crate) fn serving_view(gateway: &Gateway) -> Result<Arc<view::Snapshot>, Failure> {
    let now = gateway.core.now();
    let view = gateway.core.view.current(now);
    gateway
        .core
        .time(metric::VIEW_AGE, gateway.core.view.age(now));
    view.ok_or_else(|| no_view(gateway.core.view.wait(now)))
}

fn facts(
    arrived: duration::Instant,
    head: request::Parts,
    body: Bytes,
    ask: dialect::Metadata,
) -> Result<Facts, Failure> {
    let host = host(&head).ok_or_else(|| Failure::Malformed("there is no host".into()))?;
    let target = head.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let model = ask.model.as_ref().map_or("", id::Model::as_str);
    let chain = prefix_cache::Chain::new(model, ask.adapter.as_deref(), &ask.prompt_parts);
    let mut headers = head.headers;
    answer::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    Ok(Facts {
        method: head.method,
        target,
        host,
        headers,
        body,
        ask,
        chain,
        arrived,
        roll: rand::random(),
    })
}

/// The host that the caller names, in lower case and without a port.
fn host(head: &request::Parts) -> Option<SmolStr> {
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

async fn read_body(gateway: &Gateway, mut body: Incoming) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let view = gateway.core.view.latest();
    let table = view.as_ref().and_then(|view| view.traffic());
    let most = table.map_or(FIRST_BODY, |table| table.plan().bounds.body);
    if body.size_hint().lower() > most {
        return Err(Failure::TooLarge);
    }
    let reading = async {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| Failure::BrokenBody)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if (whole.len() + data.len()) as u64 > most {
                return Err(Failure::TooLarge);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    };
    let read = tokio::time::timeout(BODY_TIME, reading).await;
    read.unwrap_or(Err(Failure::SlowBody))
}

/// Reserves what the request costs; none for workspaces without a limit.
async fn pay(
    gateway: &Gateway,
    facts: &Facts,
    resolved: &Resolved,
) -> Result<Option<admission::Permit>, Failure> {
    let Some(payer) = resolved.workspace.as_ref().filter(|payer| payer.limited) else {
        return Ok(None);
    };
    let limiter = &gateway.core.limiter;
    let cost = facts.cost(payer);
    let given = facts.silence_ends(&resolved.route).since(facts.arrived);
    let objective = resolved.route.objective;
    let patience = holder::MaxWait {
        in_queue: duration::Span(objective.0 / LINE_PART).min(LINE_WAIT),
        for_leader: duration::Span(given.0 / LEADER_PART),
    };
    let reserved = admission::Permit::reserve_with_max_wait(limiter, &payer.name, cost, patience);
    let permit = tokio::select! {
        biased;
        permit = reserved => permit,
        () = gateway.core.closes() => return Err(Failure::stopping()),
    };
    match permit {
        Ok(permit) => Ok(Some(permit)),
        Err(refused) => Err(Failure::OverRate {
            wait: failure::spread(refused.retry_after()),
        }),
    }
}
