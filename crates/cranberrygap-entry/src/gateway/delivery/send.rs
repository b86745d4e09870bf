//! One send of a request, from the connection to the answer.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::duration;
use cranberrygap_wire::traffic;
use http::{HeaderMap, Request, Response, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;

use super::aim::Aim;
use super::{
    Answered, Delivery, FULL_WAIT, Failure, GRACE, LEAST_LEFT, answer, dialect, flight, line,
};
use crate::gateway::request;

/// Time that a request takes on its way to an endpoint and its answer back.
const TRANSIT: duration::Span = duration::Span::from_millis(6);

/// Longest wait for the answer to a request that may be repeated elsewhere. Nearly
/// all answers of the users' services come within half of it.
const IMPATIENCE: duration::Span = duration::Span::from_millis(900);

/// Largest answer that is held until it is whole, in bytes.
const LARGEST_HELD: usize = 1 << 20;

/// What came of one send.
pub(super) enum Sent {
    /// An answer's head, with what it came over.
    Answered(Box<Answered>),
    /// The endpoint did not run it.
    NotRun(dialect::NotRun),
    /// No connection; nothing was sent.
    Unreachable,
    /// It was sent, and no answer came.
    Unknown(&'static str),
}

/// What came of using one connection.
enum Exchange {
    /// Nothing was written; tells whether the connection had been used before.
    NotSent {
        reused: bool,
    },
    Done(Sent),
}

impl Delivery {
    /// One send, from the connection to the head of the answer.
    pub(super) async fn send(
        &mut self,
        aim: &Aim,
        last_event: Option<&str>,
    ) -> Result<Sent, Failure> {
        let careful = !matches!(self.kind(), traffic::Kind::Idempotent);
        let opened = self.gateway.pool.take(aim.place.address, careful).await;
        let Ok(mut line) = opened else {
            let core = &self.gateway.core;
            core.endpoints.unreachable(core.now(), &aim.place);
            return Ok(Sent::Unreachable);
        };
        loop {
            // Opening may have taken long. What is in force now decides whether it
            // may still be sent.
            let view = request::serving_view(&self.gateway)?;
            self.resolved = self.facts.resolve(&view)?;
            drop(view);
            let left = self.deadline().since(self.now());
            if left <= LEAST_LEFT {
                return Err(self.no_endpoint(FULL_WAIT, "out of time"));
            }
            let request = self.request(aim, duration::Span(left.0 - TRANSIT.0), last_event)?;
            match self.exchange(aim, line, request, left).await {
                // The endpoint closed an idle connection; nothing of it arrived.
                Exchange::NotSent { reused: true } => {
                    match line::Line::open(aim.place.address).await {
                        Ok(fresh) => line = fresh,
                        Err(_refused) => return Ok(Sent::Unreachable),
                    }
                }
                Exchange::NotSent { reused: false } => return Ok(Sent::Unreachable),
                Exchange::Done(sent) => return Ok(sent),
            }
        }
    }

    async fn exchange(
        &mut self,
        aim: &Aim,
        mut line: line::Line,
        request: Request<Full<Bytes>>,
        left: duration::Span,
    ) -> Exchange {
        let core = Arc::clone(&self.gateway.core);
        let chain = self.facts.ask.model.is_some().then_some(&self.facts.chain);
        let rank = self.resolved.rank();
        let flight = flight::Flight::new(&core, aim, rank, chain);
        let mut patience = left.0 + GRACE.0;
        if self.kind() == traffic::Kind::Idempotent && self.sends + 1 < self.resolved.route.attempts
        {
            patience = patience.min(IMPATIENCE.0);
        }
        let patience = duration::Span(patience).to_std();
        let reused = line.is_reused();
        let answered = tokio::time::timeout(patience, line.send(request)).await;
        if matches!(answered, Ok(Err(line::Lost::NotSent))) {
            return Exchange::NotSent { reused };
        }
        self.sends += 1;
        self.tried.push(aim.place.endpoint.clone());
        let response = match answered {
            Ok(Ok(response)) => {
                line.note_idle_time(response.headers());
                response
            }
            Ok(Err(_lost)) => {
                flight.judge(false);
                self.use_permit();
                return Exchange::Done(Sent::Unknown("the connection ended without an answer"));
            }
            Err(_elapsed) => {
                flight.judge(false);
                self.use_permit();
                return Exchange::Done(Sent::Unknown("no answer in time"));
            }
        };
        let id = self.facts.ask.id.as_deref();
        let judged =
            self.gateway
                .dialect
                .classify_response(id, response.status(), response.headers());
        Exchange::Done(match judged {
            dialect::Classification::Answer => {
                self.use_permit();
                Sent::Answered(Box::new(Answered {
                    response,
                    line,
                    flight,
                }))
            }
            dialect::Classification::NotRun(cause) => {
                flight.judge(cause != dialect::NotRun::Full);
                drop(flight);
                self.discard(response.into_body(), line).await;
                Sent::NotRun(cause)
            }
            dialect::Classification::Foreign => {
                flight.judge(false);
                self.use_permit();
                Sent::Unknown("an answer to another request came")
            }
        })
    }

    fn use_permit(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.mark_all_used();
        }
    }

    fn request(
        &self,
        aim: &Aim,
        left: duration::Span,
        last_event: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut headers = self.facts.headers.clone();
        let payer = self.resolved.workspace.as_ref();
        let told = dialect::Attempt {
            endpoint: &aim.place.endpoint,
            workspace: payer.map(|payer| &payer.name),
            time_left: left,
            priority: self.resolved.priority(),
            last_event_id: last_event,
        };
        self.gateway.dialect.write_headers(&mut headers, &told);
        let mut request = Request::new(Full::new(Bytes::clone(&self.facts.body)));
        *request.method_mut() = self.facts.method.clone();
        let uri = Uri::try_from(self.facts.target.as_str());
        *request.uri_mut() = uri.map_err(|cause| Failure::Malformed(cause.to_string().into()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads an answer to its end before a byte goes out, so that a cut one is a
    /// failure and not a shorter answer.
    pub(super) async fn hold(
        &self,
        answered: Answered,
    ) -> Result<Response<answer::Body>, &'static str> {
        let Answered {
            response,
            line,
            mut flight,
        } = answered;
        let (head, body) = response.into_parts();
        let patience = duration::Span(self.deadline().since(self.now()).0 + GRACE.0);
        let collecting = Limited::new(body, LARGEST_HELD).collect();
        let collected = tokio::time::timeout(patience.to_std(), collecting).await;
        let whole = match collected {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(_broken)) => {
                flight.judge(false);
                return Err("the answer broke off");
            }
            Err(_elapsed) => return Err("the answer did not end in time"),
        };
        flight.read();
        self.gateway.pool.put(line);
        let mut response = Response::new(answer::whole(whole));
        *response.status_mut() = head.status;
        *response.headers_mut() = passed(head.headers);
        Ok(response)
    }

    /// Reads a small body that nobody wants, so that its connection can be kept.
    pub(super) async fn discard(&self, body: Incoming, line: line::Line) {
        const SMALL: usize = 16 << 10;
        const AT_ONCE: std::time::Duration = std::time::Duration::from_millis(20);
        let reading = Limited::new(body, SMALL).collect();
        if let Ok(Ok(_whole)) = tokio::time::timeout(AT_ONCE, reading).await {
            self.gateway.pool.put(line);
        }
    }
}

/// Headers of an endpoint's answer that the caller gets.
pub(super) fn passed(mut headers: HeaderMap) -> HeaderMap {
    answer::strip_hop_by_hop(&mut headers);
    headers
}
