//! Sends a model request to an engine and brings back the start of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_model::{duration, id};
use cranberrygap_trace::note;
use salvo::http::{StatusCode, header};

use crate::caller::body;
use crate::core;
use crate::refusal::Refusal;
use crate::route;

/// Engines that one request may be sent to.
const MOST_ATTEMPTS: usize = 3;

/// Header that names one dispatch; an engine that echoes it shows that the
/// answer belongs to the request.
pub(crate) const ATTEMPT: &str = "x-attempt-id";

/// Header that names the request.
pub(crate) const REQUEST: &str = "x-request-id";

/// Wait before callers may try again when no engine holds the model.
const NO_ENGINE_WAIT: duration::Span = duration::Span::from_secs(1);

/// One model request on its way.
#[derive(Debug)]
pub(crate) struct Call {
    pub request: id::Request,
    /// What decisions about it are about.
    pub about: note::About,
    pub path: &'static str,
    pub body: body::Body,
}

/// An engine's answer that has begun.
#[derive(Debug)]
pub(crate) struct Answer {
    pub response: reqwest::Response,
    pub sent: Sent,
}

/// A request that was sent to an engine; tells the router when it ends.
#[derive(Debug)]
pub(crate) struct Sent {
    core: Arc<core::Core>,
    choice: route::Choice,
    about: note::About,
    at: duration::Instant,
    failed: bool,
}

impl Sent {
    /// The engine broke the request.
    pub(crate) fn fail(&mut self) {
        self.failed = true;
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let time = self.core.now().since(self.at);
        let (code, sentence) = if self.failed {
            ("broken", "the endpoint failed, or its answer was not whole")
        } else {
            ("ended", "the endpoint's part ended")
        };
        let facts: [(&'static str, &dyn std::fmt::Display); 1] = [("took", &time)];
        self.core.trace.note(&self.about, code, sentence, &facts);
        self.core
            .router
            .ended(self.core.now(), &self.choice, self.failed);
    }
}

/// Sends `call` to one engine after another until one answers.
pub(crate) async fn dispatch(core: &Arc<core::Core>, call: &Call) -> Result<Answer, Refusal> {
    let mut tried = route::Tried::new();
    for _attempt in 0..MOST_ATTEMPTS {
        let wanted = route::Wanted {
            model: Some(&call.body.model),
            service: None,
            tried: &tried,
        };
        let Some(choice) = core.router.choose(core.now(), &wanted) else {
            break;
        };
        tried.push(choice.endpoint.clone());
        let about = call.about.at(&choice.endpoint);
        core.trace.note(
            &about,
            "sent",
            format_args!("sent to {}, the best endpoint by load", choice.endpoint),
            &[("attempt", &tried.len()), ("address", &choice.address)],
        );
        let sent = Sent {
            core: Arc::clone(core),
            about,
            at: core.now(),
            choice,
            failed: false,
        };
        if let Some(answer) = attempt(core, call, sent).await {
            return Ok(answer);
        }
    }
    if tried.is_empty() {
        return Err(Refusal::NoEndpoint {
            retry_after: NO_ENGINE_WAIT,
        });
    }
    Err(Refusal::EndpointFailed)
}

async fn attempt(core: &Arc<core::Core>, call: &Call, mut sent: Sent) -> Option<Answer> {
    let attempt = format!("{:032x}", rand::random::<u128>());
    let deadline = core.view.latest()?.defaults().request_deadline;
    let url = format!("http://{}{}", sent.choice.address, call.path);
    let sending = core
        .upstream
        .pooled()
        .post(url)
        .header(header::CONTENT_TYPE, "application/json")
        .header(ATTEMPT, &attempt)
        .header(REQUEST, call.request.as_str())
        .timeout(Duration::from_micros(deadline.0))
        .body(Bytes::clone(&call.body.dispatched))
        .send();
    let response = sending.await;
    let Ok(response) = response else {
        sent.fail();
        return None;
    };
    let echoed = response.headers().get(ATTEMPT);
    let is_own = echoed.is_none_or(|echoed| echoed.as_bytes() == attempt.as_bytes());
    if !is_own || response.status() != StatusCode::OK {
        sent.fail();
        return None;
    }
    Some(Answer { response, sent })
}
