//! The engine's HTTP handlers.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_wire::endpoint;
use salvo::conn::ConnCtrl;
use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::writing::Json;
use salvo::{Request, Response, handler};
use serde_json::json;

use crate::engine::{answer, cache, call, fault, state, token};

/// Header that carries the attempt id there and back.
pub const ATTEMPT: &str = "x-attempt-id";
/// Header with the software version that the entry expects.
pub const EXPECTED_SOFTWARE: &str = "x-expect-software";
/// Largest body that is read.
const LARGEST_BODY: usize = 16 << 20;
/// Bytes of prompt text that make a token.
const TEXT_OF_TOKEN: usize = 4;
/// How long a stalled answer is held open, longer than any test.
const STALL: Duration = Duration::from_hours(1);

/// `POST /v1/chat/completions`.
#[derive(Debug)]
pub struct Chat(pub Arc<state::State>);

#[handler]
impl Chat {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        complete(&self.0, answer::Form::Chat, req, res, conn).await;
    }
}

/// `POST /v1/completions`.
#[derive(Debug)]
pub struct Completion(pub Arc<state::State>);

#[handler]
impl Completion {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        complete(&self.0, answer::Form::Completion, req, res, conn).await;
    }
}

/// `GET /report?since=N`.
#[derive(Debug)]
pub struct Report(pub Arc<state::State>);

#[handler]
impl Report {
    fn handle(&self, req: &mut Request, res: &mut Response) {
        let since = req.query("since").unwrap_or_default();
        res.render(Json(self.0.report(since)));
    }
}

/// `POST /orders`.
#[derive(Debug)]
pub struct Order(pub Arc<state::State>);

#[handler]
impl Order {
    async fn handle(&self, req: &mut Request, res: &mut Response, conn: &mut ConnCtrl) {
        let Ok(order) = req.parse_json::<endpoint::Order>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let fault = *self.0.order_fault.lock();
        if fault == fault::OrderFault::Lost {
            conn.abort();
            return;
        }
        if let fault::OrderFault::Late(time) = fault {
            // The order goes on even if its sender gives up, as a late one does.
            let state = Arc::clone(&self.0);
            let late = tokio::spawn(async move {
                tokio::time::sleep(time).await;
                state.take(order)
            });
            if let Ok(verdict) = late.await {
                res.render(Json(verdict));
            }
            return;
        }
        let verdict = self.0.take(order);
        if fault == fault::OrderFault::AnswerLost {
            conn.abort();
        }
        res.render(Json(verdict));
    }
}

/// All that is needed to answer one call.
struct Work {
    state: Arc<state::State>,
    call: call::Call,
    tokens: token::Tokens,
    frame: answer::Frame,
    usage: answer::Usage,
    fault: fault::Fault,
}

async fn complete(
    state: &Arc<state::State>,
    form: answer::Form,
    req: &mut Request,
    res: &mut Response,
    conn: &mut ConnCtrl,
) {
    let Ok(body) = req.payload_with_max_size(LARGEST_BODY).await.cloned() else {
        return refuse(res, StatusCode::PAYLOAD_TOO_LARGE, "too_large");
    };
    if state.settings.keeps_record {
        state.record.keep(req, &body);
    }
    let call: call::Call = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(_malformed) => return refuse(res, StatusCode::BAD_REQUEST, "malformed"),
    };
    let mut prompt = call.text();
    let marker = state.settings.crash_marker.as_deref();
    if marker.is_some_and(|marker| prompt.contains(marker)) {
        state.crash.notify_one();
        return tokio::time::sleep(STALL).await;
    }
    let fault = *state.fault.lock();
    if fault == fault::Fault::Refuse {
        return refuse(res, StatusCode::SERVICE_UNAVAILABLE, "busy");
    }
    let software = state.software.lock().clone();
    let expected: Option<String> = req.header(EXPECTED_SOFTWARE);
    let own = software.as_ref().map(ToString::to_string);
    if expected.is_some() && expected != own {
        return refuse(res, StatusCode::MISDIRECTED_REQUEST, "other_software");
    }
    if !state.memory.lock().resident.contains_key(&call.model) {
        return refuse(res, StatusCode::NOT_FOUND, "model_not_found");
    }
    let mut attempt: String = req.header(ATTEMPT).unwrap_or_default();
    let last = state.last.lock().replace(state::Last {
        attempt: attempt.clone(),
        prompt: prompt.clone(),
    });
    if fault == fault::Fault::Crossed {
        let other = last.unwrap_or(state::Last {
            attempt: "another-attempt".to_owned(),
            prompt: "another prompt".to_owned(),
        });
        attempt = other.attempt;
        prompt = other.prompt;
    }
    if let Ok(value) = HeaderValue::from_str(&attempt) {
        res.headers_mut().insert(ATTEMPT, value);
    }
    let work = Work {
        state: Arc::clone(state),
        tokens: token::Tokens::of_version(call.model.as_str(), software.as_ref(), &prompt),
        frame: answer::Frame::new(form, format!("cmpl-{attempt}"), call.model.clone()),
        usage: answer::Usage {
            prompt: prompt.len().div_ceil(TEXT_OF_TOKEN) as u64,
            answer: call.length(state.settings.answer_length),
        },
        call,
        fault,
    };
    if let fault::Fault::Fail { status } = fault {
        let _answer = whole(&work, &prompt).await;
        res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        return res.render(Json(
            json!({"error": {"code": "failed", "message": "failed"}}),
        ));
    }
    if work.call.stream {
        let kind = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(CONTENT_TYPE, kind);
        let sender = res.channel();
        tokio::spawn(stream(work, prompt, sender));
        return;
    }
    match whole(&work, &prompt).await {
        Some(answer) => res.render(Json(answer)),
        None => conn.abort(),
    }
}

/// Counts a request that ends early as cancelled.
struct Progress<'a> {
    state: &'a state::State,
    done: bool,
}

impl<'a> Progress<'a> {
    fn begin(state: &'a state::State) -> Self {
        state.counts.lock().started += 1;
        Self { state, done: false }
    }
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        let mut counts = self.state.counts.lock();
        if self.done {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
    }
}

async fn whole(work: &Work, prompt: &str) -> Option<serde_json::Value> {
    let _place = work.state.batch.enter(work.call.priority).await;
    let mut progress = Progress::begin(&work.state);
    work.prefill(prompt).await;
    for place in work.call.resume_from..work.usage.answer {
        match work.fault {
            fault::Fault::Stall { after } if place >= after => tokio::time::sleep(STALL).await,
            fault::Fault::Cut { after } if place >= after => return None,
            _ => work.wait_token().await,
        }
    }
    progress.done = true;
    let text = work.tokens.text(work.call.resume_from, work.usage.answer);
    Some(work.frame.whole(&text, work.finish(), work.usage))
}

async fn stream(work: Work, prompt: String, mut sender: BodySender) {
    let place = tokio::select! {
        place = work.state.batch.enter(work.call.priority) => place,
        () = closed(&sender) => return,
    };
    let mut progress = Progress::begin(&work.state);
    work.prefill(&prompt).await;
    if send_all(&work, &mut sender).await.is_some() {
        progress.done = true;
    }
    drop(place);
}

/// None when the client has left or a fault cut the answer off.
async fn send_all(work: &Work, sender: &mut BodySender) -> Option<()> {
    for place in work.call.resume_from..work.usage.answer {
        match work.fault {
            fault::Fault::Stall { after } if place >= after => {
                closed(sender).await;
                return None;
            }
            fault::Fault::Cut { after } if place >= after => {
                sender.send_error(std::io::Error::other("cut off"));
                return None;
            }
            _ => work.wait_token().await,
        }
        if sender.is_closed() {
            return None;
        }
        let event = work.frame.token(&work.tokens.at(place));
        sender.send_data(event).await.ok()?;
    }
    let mut end = work.frame.last(work.finish());
    if work.call.wants_usage() {
        end.push_str(&work.frame.usage(work.usage));
    }
    end.push_str("data: [DONE]\n\n");
    sender.send_data(end).await.ok()
}

/// Time between looks at whether a client has left.
const CLOSED_POLL: Duration = Duration::from_millis(5);

async fn closed(sender: &BodySender) {
    while !sender.is_closed() {
        tokio::time::sleep(CLOSED_POLL).await;
    }
}

impl Work {
    fn finish(&self) -> &'static str {
        self.call.finish(self.state.settings.answer_length)
    }

    async fn prefill(&self, prompt: &str) {
        if let fault::Fault::Late(time) = self.fault {
            tokio::time::sleep(time).await;
        }
        let blocks = cache::blocks(&self.call.model, prompt);
        let hits = self.state.cache.lock().read(&self.call.model, &blocks);
        let unread = prompt.len().saturating_sub(hits * cache::BLOCK_TEXT);
        let tokens = u32::try_from(unread.div_ceil(TEXT_OF_TOKEN)).unwrap_or(u32::MAX);
        let time = self.state.settings.prefill_time * tokens;
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    async fn wait_token(&self) {
        let settings = &self.state.settings;
        let batch = &self.state.batch;
        let time = batch.token_time(settings.token_time, settings.token_time_each);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }
}

fn refuse(res: &mut Response, status: StatusCode, code: &str) {
    res.status_code(status);
    res.render(Json(json!({
        "error": {"code": code, "message": code, "type": "invalid_request_error"},
        "code": code,
        "outcome": "not_run",
        "message": code,
    })));
}
