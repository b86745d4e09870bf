//! The delivery of one request: all its attempts and their combined outcome.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{duration, id};
use cranberrygap_policy::outcome::{Evidence, Outcome};
use cranberrygap_policy::resend::scope;
use cranberrygap_policy::retry;
use cranberrygap_response::defect::Defect;
use cranberrygap_routing::origin;
use cranberrygap_trace::note;
use salvo::http::{StatusCode, header};

use crate::core;
use crate::metric;
use crate::not_run;
use crate::quarantine;
use crate::queue;
use crate::refusal::Refusal;
use crate::resends;
use crate::route;
use crate::upstream;

use super::{
    ATTEMPT_ID_HEADER, Attempt, EXPECTED_SOFTWARE_HEADER, FIRST_BYTE_TIMEOUT, REQUEST_ID_HEADER,
    Request, Response,
};

/// Retry delay that callers are given when no engine holds the model.
const NO_ENGINE_RETRY_AFTER: duration::Span = duration::Span::from_secs(1);

/// Time between two searches for an engine on which no other suspect runs.
const SUSPECT_POLL_INTERVAL: duration::Span = duration::Span::from_millis(50);

/// Crashed engines after which a request is not sent again. The second crash identifies
/// the culprit; a third engine must not be lost to it.
const MAX_CRASHES: u32 = 2;

/// Largest body of a refusal that is read, in bytes, and the longest wait for it. Engines send a few
/// hundred bytes at once.
const MAX_STATEMENT_BYTES: usize = 16 << 10;
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(200);

/// When a request runs only alone. Its deadline leaves time to wait for an engine, and the other
/// requests of a crashed engine are not lost to the same culprit a second time.
const ISOLATION: quarantine::Isolation = quarantine::Isolation::AfterFirstCrash;

/// All attempts of one request.
#[derive(Debug)]
pub(crate) struct Delivery {
    core: Arc<core::Core>,
    request: Arc<Request>,
    tried: route::Tried,
    attempts: u32,
    crashes: u32,
    /// Engine of the last attempt.
    last_engine: Option<route::Destination>,
    /// Engine that wrote the first token, once the caller has one.
    first_engine: Option<route::Destination>,
    outcome: Outcome,
    /// What pays for the next attempt, unless it is the first.
    resend: Option<resends::Ticket>,
    /// Place in the queue; dropping it lets the next request in.
    _queue_place: Option<queue::Slot>,
}

impl Delivery {
    /// A delivery without any attempt yet.
    pub(crate) fn new(
        core: &Arc<core::Core>,
        request: &Arc<Request>,
        queue_place: Option<queue::Slot>,
    ) -> Self {
        Self {
            core: Arc::clone(core),
            request: Arc::clone(request),
            tried: route::Tried::new(),
            attempts: 0,
            crashes: 0,
            last_engine: None,
            first_engine: None,
            outcome: Outcome::NotRun,
            resend: None,
            _queue_place: queue_place,
        }
    }

    /// The request.
    pub(crate) fn request(&self) -> &Arc<Request> {
        &self.request
    }

    /// Whether it is proven that no engine ran the request.
    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// Time until the request must be answered.
    pub(crate) fn remaining(&self) -> duration::Span {
        self.request.deadline.since(self.core.now())
    }

    /// Sends the request until an engine responds.
    ///
    /// The engine continues after the first `delivered` tokens.
    ///
    /// # Errors
    ///
    /// The final refusal.
    pub(crate) async fn send(&mut self, delivered: u64) -> Result<Response, Refusal> {
        if delivered > 0 && self.first_engine.is_none() {
            self.first_engine.clone_from(&self.last_engine);
        }
        loop {
            self.check_quarantine()?;
            let (destination, run) = self.choose_engine().await?;
            match self.resend.take() {
                Some(resend) => resend.use_up(),
                None => resends::record_first_send(&self.core, &scope::Scope::Engines),
            }
            self.attempts += 1;
            self.last_engine = Some(destination.clone());
            let attempt = Attempt::new(&self.core, destination, &self.request, self.attempts, run);
            match self.send_attempt(attempt, delivered).await {
                Ok(answer) => return Ok(answer),
                Err((evidence, attempt)) => self.handle_failure(evidence, attempt).await?,
            }
        }
    }

    /// Records a failed attempt; returns once the request may be sent again.
    ///
    /// # Errors
    ///
    /// The final refusal, at once.
    pub(crate) async fn handle_failure(
        &mut self,
        evidence: Evidence,
        mut attempt: Attempt,
    ) -> Result<(), Refusal> {
        self.crashes += u32::from(attempt.record_failure(evidence).await);
        drop(attempt);
        let outcome = Outcome::from_evidence(evidence);
        self.outcome = if self.attempts <= 1 {
            outcome
        } else {
            self.outcome.combined_with(outcome)
        };
        self.check_quarantine()?;
        if self.crashes >= MAX_CRASHES {
            return Err(Refusal::EndpointFailed);
        }
        let retry_attempt = retry::Attempt {
            class: retry::Class::Idempotent,
            dispatches: self.attempts,
            outcome: self.outcome,
            deadline: self.request.deadline,
        };
        let decision = retry::decide(self.core.now(), retry_attempt, &mut rand::rng());
        let wait = match decision {
            retry::Decision::Retry(wait) => wait,
            retry::Decision::GiveUp(reason) => return Err(self.refusal(reason)),
        };
        self.resend = resends::take(
            &self.core,
            &scope::Scope::Engines,
            resends::Cause::of(evidence),
        );
        if self.resend.is_none() {
            return Err(self.refusal(retry::Reason::BudgetExhausted));
        }
        tokio::time::sleep(wait.to_std()).await;
        Ok(())
    }

    fn refusal(&self, reason: retry::Reason) -> Refusal {
        if self.is_not_run() {
            return Refusal::NoEndpoint {
                retry_after: NO_ENGINE_RETRY_AFTER,
            };
        }
        match reason {
            retry::Reason::DeadlineExceeded => Refusal::DeadlineExceeded,
            _ => Refusal::EndpointFailed,
        }
    }

    /// Refuses a request that is quarantined. One that may have run is not called "not run".
    fn check_quarantine(&self) -> Result<(), Refusal> {
        let Some(view) = self.core.view.latest() else {
            return Ok(());
        };
        let checked = self.core.check_quarantine(&view, &self.request.fingerprint);
        checked.map_err(|refusal| self.refusal_after(refusal))
    }

    fn refusal_after(&self, refusal: Refusal) -> Refusal {
        if self.is_not_run() {
            return refusal;
        }
        Refusal::EndpointFailed
    }

    /// Chooses an engine and registers the request there.
    ///
    /// A suspect waits for an engine without another suspect.
    async fn choose_engine(&mut self) -> Result<(route::Destination, quarantine::Run), Refusal> {
        loop {
            let destination = self.choose_untried()?;
            let place = quarantine::Place {
                endpoint: destination.endpoint.clone(),
                boot: destination.boot,
                address: destination.address,
            };
            let fingerprint = &self.request.fingerprint;
            let subjects = std::slice::from_ref(fingerprint);
            let begun = quarantine::Run::begin(&self.core, place, subjects, ISOLATION).await;
            let denial = match begun {
                Ok(run) => return Ok((destination, run)),
                Err(denial) => denial,
            };
            let now = self.core.now();
            self.core.router.record_ended(now, &destination, false);
            if let quarantine::Denial::Refused(retry_after) = denial {
                return Err(self.refusal_after(Refusal::Quarantined { retry_after }));
            }
            if self.remaining() <= SUSPECT_POLL_INTERVAL {
                return Err(self.refusal(retry::Reason::DeadlineExceeded));
            }
            if self.is_every_engine_tried() {
                tokio::time::sleep(SUSPECT_POLL_INTERVAL.to_std()).await;
            }
        }
    }

    /// Whether every engine was looked at.
    fn is_every_engine_tried(&self) -> bool {
        let Some(destination) = self.ask_router() else {
            return true;
        };
        self.core
            .router
            .record_ended(self.core.now(), &destination, false);
        false
    }

    fn choose_untried(&mut self) -> Result<route::Destination, Refusal> {
        if let Some(destination) = self.ask_router() {
            self.tried.push(destination.endpoint.clone());
            return Ok(destination);
        }
        // No other engine holds the model; the same one may answer on a new connection.
        self.tried.clear();
        let destination = self.ask_router();
        destination.ok_or_else(|| self.refusal(retry::Reason::AttemptsExhausted))
    }

    /// Versions at which the rest of the answer may come from.
    fn requirement(&self) -> origin::Requirement<'_> {
        let first = self.first_engine.as_ref();
        first.map_or(origin::Requirement::Any, |first| {
            origin::Requirement::Only(first.software.as_ref())
        })
    }

    fn ask_router(&self) -> Option<route::Destination> {
        let query = route::Query {
            model: Some(&self.request.body.model),
            service: None,
            tried: &self.tried,
            requirement: self.requirement(),
        };
        self.core.router.choose(self.core.now(), &query)
    }

    async fn send_attempt(
        &self,
        attempt: Attempt,
        delivered: u64,
    ) -> Result<Response, (Evidence, Attempt)> {
        let Ok(attempt_id) = format!("{:032x}", rand::random::<u128>()).parse::<id::Attempt>()
        else {
            return Err((Evidence::NeverDispatched, attempt));
        };
        // After a failure, the pooled connections may be dead as well.
        let client = if self.attempts > 1 {
            self.core.upstream.unpooled()
        } else {
            self.core.upstream.pooled()
        };
        let call = client
            .post(format!("http://{}{}", attempt.address(), self.request.path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_ID_HEADER, attempt_id.as_str())
            .header(REQUEST_ID_HEADER, self.request.id.as_str())
            .timeout(self.remaining().to_std())
            .body(self.request.body.resume_after(delivered));
        let engine = self.last_engine.as_ref();
        let software = engine.and_then(|engine| engine.software.as_ref());
        let call = match software {
            Some(software) => call.header(EXPECTED_SOFTWARE_HEADER, software.as_str()),
            None => call,
        };
        let call = upstream::send(call);
        let timeout = if self.request.body.stream {
            FIRST_BYTE_TIMEOUT.min(self.remaining())
        } else {
            self.remaining()
        };
        let response = match tokio::time::timeout(timeout.to_std(), call).await {
            Err(_elapsed) => return Err((Evidence::Silence, attempt)),
            Ok(Err(cause)) => {
                if let upstream::Error::Malformed(defect) = cause {
                    record_defect(&self.core, attempt.about(), defect);
                }
                return Err((evidence_of(&cause), attempt));
            }
            Ok(Ok(response)) => response,
        };
        let echoed = response.headers().get(ATTEMPT_ID_HEADER);
        let is_own =
            echoed.is_none_or(|echoed| echoed.as_bytes() == attempt_id.as_str().as_bytes());
        if !is_own {
            return Err((Evidence::CrossedAnswer, attempt));
        }
        if response.status() != StatusCode::OK {
            return Err((evidence_of_failure(response).await, attempt));
        }
        Ok(Response {
            http: response,
            attempt_id,
            attempt,
        })
    }
}

/// Counts and notes a response that is not believed.
pub(crate) fn record_defect(core: &core::Core, about: &note::About, defect: Defect) {
    core.count(metric::MALFORMED_RESPONSES, defect.as_str());
    core.trace.note(about, "malformed", defect, &[]);
}

/// What the lack of a response proves.
fn evidence_of(cause: &upstream::Error) -> Evidence {
    let cause = match cause {
        upstream::Error::Http(cause) => cause,
        upstream::Error::Malformed(_) => return Evidence::CutAnswer,
    };
    if cause.is_connect() {
        return Evidence::ConnectFailed;
    }
    if cause.is_timeout() {
        return Evidence::DeadlinePassed;
    }
    Evidence::ConnectionBroke
}

/// What a response other than success proves.
async fn evidence_of_failure(response: upstream::Response) -> Evidence {
    let may_state = [
        StatusCode::NOT_FOUND,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let status = response.status();
    // An engine of another version gives 421, which has no other meaning.
    if status == StatusCode::MISDIRECTED_REQUEST
        || (may_state.contains(&status) && states_not_run(response).await)
    {
        return Evidence::EndpointRefused;
    }
    Evidence::CutAnswer
}

/// Whether the body of a refusal states that the engine did not run the request.
async fn states_not_run(response: upstream::Response) -> bool {
    let framing = response.framing();
    let reading = response.read_body(MAX_STATEMENT_BYTES);
    let body = tokio::time::timeout(STATEMENT_TIMEOUT, reading).await;
    matches!(body, Ok(Ok(body)) if framing.is_whole(&body) && not_run::is_stated(&body))
}
