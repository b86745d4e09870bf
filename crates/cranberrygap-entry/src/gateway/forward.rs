//! Requests that another entry sends to an endpoint, since this one reaches none.
//!
//! The other entry gets the request as its caller sent it, over its public address: it checks
//! the key, charges the workspace, chooses the endpoint and keeps the limits. Nothing of this has
//! happened here, so nothing happens twice. The header that marks such a request only keeps it
//! from being forwarded once more, so a caller that sets it gains nothing.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::{address, duration, id};
use cranberrygap_policy::outcome;
use cranberrygap_routing::peers;
use futures_util::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::framing;
use crate::metric;
use crate::view;

use super::delivery::DEADLINE_GRACE;
use super::failure::{self, Failure};
use super::{Gateway, buffer, drain, endpoint_connection, request, request_log, response};

/// Marks a request that another entry forwarded; holds the version of that entry's plan.
const FORWARDED: HeaderName = HeaderName::from_static("cranberrygap-forwarded");

/// Names why an entry did not run a forwarded request and never will. Without it, a status that
/// promises the same is that of an endpoint, or of an entry of an earlier release, which passed such
/// statuses on after a run.
pub(super) const REFUSAL: HeaderName = HeaderName::from_static("cranberrygap-refusal");

/// Entries that a request is offered to.
const MAX_PEERS: usize = 3;

/// Time until an entry with another plan is expected to have the same one.
const PLAN_WAIT: duration::Span = duration::Span::from_millis(60);

/// Retry delay that callers are given when no entry reaches an endpoint.
const NO_PATH_RETRY_AFTER: duration::Span = duration::Span::from_secs(1);

/// Least time that must be left to offer a request to another entry.
const MIN_TIME_LEFT: duration::Span = duration::Span::from_millis(40);

/// Why another entry did not take a request.
enum Rejection {
    /// It could not be asked.
    Failed,
    /// It reaches no endpoint either.
    Cut,
    /// It has another plan.
    OtherPlan,
    /// The request was sent there and may have run.
    MayHaveRun,
    /// It was answered with a status that would promise that it did not run, and may have run.
    Withheld(StatusCode),
}

/// Whether a request was forwarded by another entry.
pub(super) fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(FORWARDED)
}

/// The version of the plan by which another entry forwarded a request. The header is removed.
pub(super) fn take_mark(headers: &mut HeaderMap) -> Option<u64> {
    let value = headers.remove(FORWARDED)?;
    let version = value.to_str().ok().and_then(|text| text.parse().ok());
    // A mark that cannot be read is one of no plan.
    Some(version.unwrap_or(u64::MAX))
}

/// Refuses a forwarded request that this entry cannot take as the other one would.
pub(super) fn check(gateway: &Gateway, mark: u64, plan_version: u64) -> Result<(), Failure> {
    if gateway.core.reach.is_cut() {
        return Err(no_path());
    }
    if mark != plan_version {
        let retry_after = failure::add_jitter(PLAN_WAIT);
        return Err(Failure::OtherPlan { retry_after });
    }
    Ok(())
}

/// Tells a forwarding entry why its request was not run.
pub(super) fn mark_refusal(headers: &mut HeaderMap, code: &'static str) {
    headers.insert(REFUSAL, HeaderValue::from_static(code));
}

/// The failure of a request for which no entry reaches an endpoint.
pub(super) fn no_path() -> Failure {
    let retry_after = failure::add_jitter(NO_PATH_RETRY_AFTER);
    Failure::NoPath { retry_after }
}

/// Sends a request, of which nothing has been sent yet, to another entry.
///
/// # Errors
///
/// When no other entry can take it, or the one that took it broke off.
pub(super) async fn forward(
    gateway: &Arc<Gateway>,
    request: &request::Request,
    resolution: &request::Resolution,
    log: &mut request_log::Log,
) -> Result<Response<response::Body>, Failure> {
    let deadline = request.deadline(&resolution.route);
    let mut refused: SmallVec<[id::Domain; MAX_PEERS]> = SmallVec::new();
    for _offer in 0..MAX_PEERS {
        let now = gateway.core.now();
        if deadline.since(now) <= MIN_TIME_LEFT {
            break;
        }
        let view = request::serving_view(gateway)?;
        let Some((peer, domain)) = choose_peer(gateway, &view, now, &refused) else {
            break;
        };
        drop(view);
        let offered = offer(gateway, peer, request, resolution, deadline).await;
        let core = &gateway.core;
        let now = core.now();
        let rejection = match offered {
            Ok(response) => {
                core.reach.peers().record_taken(now, peer);
                core.startup.record_response();
                let status = response.status().as_u16();
                log.add_step(
                    now,
                    format_args!("the entry at {peer} responded with {status}"),
                );
                core.count(metric::GATEWAY_SENDS, "forwarded");
                return Ok(response);
            }
            Err(rejection) => rejection,
        };
        match rejection {
            Rejection::Failed => {
                let failed = peers::Rejection::Failed;
                core.reach.peers().record_rejection(now, peer, failed);
                log.add_step(now, format_args!("the entry at {peer} cannot be asked"));
            }
            Rejection::Cut => {
                let cut = peers::Rejection::Cut;
                core.reach.peers().record_rejection(now, peer, cut);
                log.add_step(now, format_args!("the entry at {peer} is cut, too"));
                refused.push(domain);
            }
            Rejection::OtherPlan => {
                log.add_step(now, format_args!("the entry at {peer} has another plan"));
                tokio::time::sleep(PLAN_WAIT.to_std()).await;
            }
            Rejection::MayHaveRun => {
                // The other entry may have used all attempts that the route allows.
                let failed = peers::Rejection::Failed;
                core.reach.peers().record_rejection(now, peer, failed);
                if now >= deadline {
                    return Err(Failure::DeadlineExceeded);
                }
                return Err(Failure::Broken("the other entry broke off"));
            }
            Rejection::Withheld(status) => {
                core.reach.peers().record_taken(now, peer);
                core.startup.record_response();
                log.add_step(
                    now,
                    format_args!("the entry at {peer} responded with {status}, not as its own"),
                );
                core.count(metric::GATEWAY_SENDS, "forwarded");
                return Err(Failure::Withheld(status));
            }
        }
    }
    Err(no_path())
}

/// An entry that takes requests as far as known, and its failure domain.
fn choose_peer(
    gateway: &Gateway,
    view: &view::Snapshot,
    now: duration::Instant,
    refused: &[id::Domain],
) -> Option<(address::Socket, id::Domain)> {
    let core = &gateway.core;
    let others = view
        .active_entries()
        .filter(|member| member.instance != *core.instance());
    let candidates = others.map(|member| peers::Candidate {
        address: member.address,
        domain: &member.domain,
        in_use: gateway.peers.in_use(member.address),
    });
    let own_domain = &core.settings.entry.domain;
    let known = core.reach.peers();
    let candidates = candidates.collect();
    let chosen = known.choose(now, candidates, own_domain, refused, &mut rand::rng())?;
    Some((chosen.address, chosen.domain.clone()))
}

async fn offer(
    gateway: &Arc<Gateway>,
    peer: address::Socket,
    request: &request::Request,
    resolution: &request::Resolution,
    deadline: duration::Instant,
) -> Result<Response<response::Body>, Rejection> {
    let usage = gateway.peers.begin(peer);
    let opened = gateway.peers.pool.take(peer, true).await;
    let mut connection = opened.map_err(|_refused| Rejection::Failed)?;
    let endpoint_connection::Received { response, framing } = loop {
        // Opening a connection takes a part of the time that is handed on.
        let time_left = deadline.since(gateway.core.now());
        let timeout = duration::Span(time_left.0 + DEADLINE_GRACE.0).to_std();
        let outgoing = build(gateway, request, resolution.plan_version, time_left);
        let outgoing = outgoing.ok_or(Rejection::Failed)?;
        let sent = tokio::time::timeout(timeout, connection.send(outgoing)).await;
        match sent {
            Ok(Ok(received)) => break received,
            Ok(Err(endpoint_connection::Error::NotSent)) if connection.is_reused() => {
                let opened = gateway.peers.pool.open(peer).await;
                connection = opened.map_err(|_refused| Rejection::Failed)?;
            }
            Ok(Err(endpoint_connection::Error::NotSent)) => return Err(Rejection::Failed),
            Ok(Err(endpoint_connection::Error::Malformed(defect))) => {
                gateway.record_defect(&peer, defect);
                return Err(Rejection::MayHaveRun);
            }
            Ok(Err(endpoint_connection::Error::Unknown)) | Err(_) => {
                return Err(Rejection::MayHaveRun);
            }
        }
    };
    let refusal = response.headers().get(REFUSAL);
    match refusal.map(HeaderValue::as_bytes) {
        Some(b"no_path") => return Err(Rejection::Cut),
        Some(b"other_plan") => return Err(Rejection::OtherPlan),
        _ => {}
    }
    drain::record_mark(gateway, response.headers());
    let status = response.status();
    if refusal.is_none() && !outcome::may_pass_on(status.as_u16(), resolution.class()) {
        return Err(Rejection::Withheld(status));
    }
    let (head, body) = response.into_parts();
    let sent = body.size_hint().exact();
    let relay = Relay {
        gateway: Arc::clone(gateway),
        body,
        connection: Some(connection),
        framing,
        deadline: deadline.after(DEADLINE_GRACE),
        bytes_after_deadline: 0,
        id: request.metadata.id.clone(),
        _usage: usage,
    };
    let mut response = response::forwarded(head, relay.into_body());
    response::set_length(&mut response, &request.method, framing.length(), sent);
    Ok(response)
}

fn build(
    gateway: &Gateway,
    request: &request::Request,
    plan_version: u64,
    time_left: duration::Span,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = request.headers.clone();
    gateway.dialect.write_time_left(&mut headers, time_left);
    headers.insert(FORWARDED, HeaderValue::from(plan_version));
    let mut outgoing = Request::new(Full::new(Bytes::clone(&request.body)));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = Uri::try_from(request.target.as_str()).ok()?;
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// A response on its way from another entry. Dropping it, as when the caller leaves, closes the
/// connection to that entry, which then stops the endpoint.
struct Relay {
    gateway: Arc<Gateway>,
    body: Incoming,
    connection: Option<endpoint_connection::Connection>,
    framing: framing::Framing,
    deadline: duration::Instant,
    /// Bytes that were ready after the deadline; they are delivered also late, up to a bound.
    bytes_after_deadline: usize,
    /// Id of the request, for the log.
    id: Option<SmolStr>,
    _usage: super::peers::Usage,
}

impl Relay {
    fn into_body(self) -> response::Body {
        let frames = stream::unfold(self, |mut relay| async move {
            let next = relay.next_bytes().await?;
            if next.is_err() {
                // The HTTP library writes what has arrived while the body is pending.
                tokio::task::yield_now().await;
            }
            Some((next.map(Frame::data), relay))
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next_bytes(&mut self) -> Option<Result<Bytes, response::Error>> {
        self.connection.as_ref()?;
        loop {
            let time_left = self.deadline.since(self.gateway.core.now());
            if self.bytes_after_deadline > buffer::MAX_RESPONSE_BYTES {
                return Some(Err(self.interrupt("the deadline passed")));
            }
            let frame = tokio::time::timeout(time_left.to_std(), self.body.frame()).await;
            let cause = match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        if time_left.0 == 0 {
                            self.bytes_after_deadline += data.len();
                        }
                        return Some(Ok(data));
                    }
                    Err(_trailers) => continue,
                },
                Ok(None) => {
                    let mut connection = self.connection.take()?;
                    if connection.has_ended_response().await {
                        if self.framing.keeps_connection() {
                            self.gateway.peers.pool.put(connection);
                        }
                        return None;
                    }
                    return Some(Err(self.interrupt("the other entry sent more than it told")));
                }
                Ok(Some(Err(_broken))) => "the other entry broke off",
                Err(_elapsed) => "the deadline passed",
            };
            return Some(Err(self.interrupt(cause)));
        }
    }

    /// Ends the response so that the caller sees that it is incomplete.
    fn interrupt(&mut self, cause: &'static str) -> response::Error {
        self.connection = None;
        let core = &self.gateway.core;
        core.count(metric::GATEWAY_FAILURES, "stream_cut");
        if let Some(dropped_lines) = self.gateway.log_limiter.take_line(core.now()) {
            spdlog::info!("gateway: a forwarded request was cut", kv: {
                request = self.id.as_deref().unwrap_or("-"),
                cause,
                lines_dropped = dropped_lines,
            });
        }
        response::Error::other(cause)
    }
}
