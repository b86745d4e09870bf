//! All dispatches of one request, with what is known of them together.

use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_policy::outcome::{Evidence, Outcome};
use cranberrygap_policy::retry;
use salvo::http::{StatusCode, header};

use crate::core;
use crate::queue;
use crate::refusal::Refusal;
use crate::route;

use super::{
    ATTEMPT_ID_HEADER, Attempt, FIRST_BYTE_TIMEOUT, REQUEST_ID_HEADER, Request, Response, leave,
    sent,
};

/// Wait before callers may try again when no engine holds the model.
const NO_ENGINE_WAIT: duration::Span = duration::Span::from_secs(1);

/// Wait until another look for an engine on which no other suspect runs.
const SUSPECT_WAIT: duration::Span = duration::Span::from_millis(50);

/// Crashed engines after which a request is not sent again. The second crash
/// names the culprit; a third engine must not be lost to it.
const MOST_CRASHES: u32 = 2;

/// The dispatches of one request.
#[derive(Debug)]
pub(crate) struct Delivery {
    core: Arc<core::Core>,
    call: Arc<Request>,
    tried: route::Tried,
    attempts: u32,
    crashes: u32,
    outcome: Outcome,
    /// Free for the next request when this one ends.
    _place: Option<queue::Place>,
}

impl Delivery {
    /// Nothing was sent yet.
    pub(crate) fn new(
        core: &Arc<core::Core>,
        call: &Arc<Request>,
        place: Option<queue::Place>,
    ) -> Self {
        let mut budget = core.retries.lock();
        if let Some(view) = core.view.latest() {
            budget.set_share(view.defaults().retry_share);
        }
        budget.record_request();
        drop(budget);
        Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            tried: route::Tried::new(),
            attempts: 0,
            crashes: 0,
            outcome: Outcome::NotRun,
            _place: place,
        }
    }

    /// The request.
    pub(crate) fn request(&self) -> &Arc<Request> {
        &self.call
    }

    /// Whether it is proven that no engine ran it.
    pub(crate) fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }

    /// Time until the request must be answered.
    pub(crate) fn remaining(&self) -> duration::Span {
        self.call.deadline.since(self.core.now())
    }

    /// Sends the request until an engine begins to answer behind the first
    /// `delivered` tokens.
    ///
    /// # Errors
    ///
    /// The final refusal.
    pub(crate) async fn send(&mut self, delivered: u64) -> Result<Response, Refusal> {
        loop {
            self.check_quarantine()?;
            let (choice, started) = self.choose().await?;
            self.attempts += 1;
            let sent = Attempt::new(&self.core, choice, &self.call, self.attempts, started);
            match self.attempt(sent, delivered).await {
                Ok(answer) => return Ok(answer),
                Err((evidence, sent)) => self.handle_failure(evidence, sent).await?,
            }
        }
    }

    /// Takes note of a dispatch that was not answered; returns when the request
    /// may be sent again.
    ///
    /// # Errors
    ///
    /// The final refusal, at once.
    pub(crate) async fn handle_failure(
        &mut self,
        evidence: Evidence,
        mut sent: Attempt,
    ) -> Result<(), Refusal> {
        self.crashes += u32::from(sent.record_failure(evidence).await);
        drop(sent);
        let outcome = Outcome::from_evidence(evidence);
        self.outcome = if self.attempts <= 1 {
            outcome
        } else {
            self.outcome.combined_with(outcome)
        };
        self.check_quarantine()?;
        if self.crashes >= MOST_CRASHES {
            return Err(Refusal::EndpointFailed);
        }
        let attempt = retry::Attempt {
            class: retry::Class::Idempotent,
            dispatches: self.attempts,
            outcome: self.outcome,
            deadline: self.call.deadline,
        };
        let now = self.core.now();
        let decision = self
            .core
            .retries
            .lock()
            .decide(now, attempt, &mut rand::rng());
        match decision {
            retry::Decision::Retry(wait) => {
                tokio::time::sleep(wait.to_std()).await;
                Ok(())
            }
            retry::Decision::GiveUp(reason) => Err(self.refusal(reason)),
        }
    }

    fn refusal(&self, reason: retry::Reason) -> Refusal {
        if self.is_not_run() {
            return Refusal::NoEndpoint {
                retry_after: NO_ENGINE_WAIT,
            };
        }
        match reason {
            retry::Reason::DeadlineExceeded => Refusal::DeadlineExceeded,
            _ => Refusal::EndpointFailed,
        }
    }

    fn check_quarantine(&self) -> Result<(), Refusal> {
        let Some(view) = self.core.view.latest() else {
            return Ok(());
        };
        core::Core::check_quarantine(&view, &self.call.fingerprint)
    }

    /// An engine to send to, with the note that the request runs there; a suspect
    /// waits for one without another suspect.
    async fn choose(&mut self) -> Result<(route::Destination, sent::Started), Refusal> {
        loop {
            let choice = self.choose_once()?;
            if let Some(started) = self.start(&choice).await {
                return Ok((choice, started));
            }
            let now = self.core.now();
            self.core.router.record_ended(now, &choice, false);
            if self.remaining() <= SUSPECT_WAIT {
                return Err(self.refusal(retry::Reason::DeadlineExceeded));
            }
            if self.all_tried() {
                tokio::time::sleep(SUSPECT_WAIT.to_std()).await;
            }
        }
    }

    /// Notes that the request runs there, if it may.
    async fn start(&self, choice: &route::Destination) -> Option<sent::Started> {
        let place = sent::place(choice);
        let now = self.core.now();
        let fingerprint = &self.call.fingerprint;
        let (running, is_suspect) = {
            let mut watch = self.core.watch.lock();
            let started = watch.start_request(now, &place, fingerprint);
            (started.ok()?, watch.is_suspect(now, fingerprint))
        };
        if !is_suspect {
            let leave = None;
            return Some(sent::Started { running, leave });
        }
        let leave = leave::Leave::ask(&self.core, &place, fingerprint).await;
        if leave.is_none() {
            self.core
                .watch
                .lock()
                .finish_request(&place, running, false);
            return None;
        }
        Some(sent::Started { running, leave })
    }

    /// Whether no engine is left that was not looked at.
    fn all_tried(&self) -> bool {
        let Some(choice) = self.ask_router() else {
            return true;
        };
        self.core
            .router
            .record_ended(self.core.now(), &choice, false);
        false
    }

    fn choose_once(&mut self) -> Result<route::Destination, Refusal> {
        if let Some(choice) = self.ask_router() {
            self.tried.push(choice.endpoint.clone());
            return Ok(choice);
        }
        // Nobody else has the model: the same engine may answer on a new connection.
        self.tried.clear();
        let choice = self.ask_router();
        choice.ok_or_else(|| self.refusal(retry::Reason::AttemptsExhausted))
    }

    fn ask_router(&self) -> Option<route::Destination> {
        let wanted = route::Query {
            model: Some(&self.call.body.model),
            service: None,
            tried: &self.tried,
        };
        self.core.router.choose(self.core.now(), &wanted)
    }

    async fn attempt(
        &self,
        sent: Attempt,
        delivered: u64,
    ) -> Result<Response, (Evidence, Attempt)> {
        let Ok(attempt) = format!("{:032x}", rand::random::<u128>()).parse::<id::Attempt>() else {
            return Err((Evidence::NeverDispatched, sent));
        };
        // After a failure the pooled connections may be dead as well.
        let client = if self.attempts > 1 {
            self.core.upstream.fresh()
        } else {
            self.core.upstream.pooled()
        };
        let sending = client
            .post(format!("http://{}{}", sent.address(), self.call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_ID_HEADER, attempt.as_str())
            .header(REQUEST_ID_HEADER, self.call.id.as_str())
            .timeout(self.remaining().to_std())
            .body(self.call.body.resumed(delivered))
            .send();
        let limit = if self.call.body.stream {
            FIRST_BYTE_TIMEOUT.min(self.remaining())
        } else {
            self.remaining()
        };
        let response = match tokio::time::timeout(limit.to_std(), sending).await {
            Err(_elapsed) => return Err((Evidence::Silence, sent)),
            Ok(Err(cause)) => return Err((evidence_of(&cause), sent)),
            Ok(Ok(response)) => response,
        };
        let echoed = response.headers().get(ATTEMPT_ID_HEADER);
        let is_own = echoed.is_none_or(|echoed| echoed.as_bytes() == attempt.as_str().as_bytes());
        if !is_own {
            return Err((Evidence::CrossedAnswer, sent));
        }
        if let Some(refused) = refused(response.status()) {
            return Err((refused, sent));
        }
        Ok(Response {
            response,
            attempt_id: attempt,
            attempt: sent,
        })
    }
}

/// What an error of the client proves.
pub(crate) fn evidence_of(cause: &reqwest::Error) -> Evidence {
    if cause.is_connect() {
        return Evidence::ConnectFailed;
    }
    if cause.is_timeout() {
        return Evidence::DeadlinePassed;
    }
    Evidence::ConnectionBroke
}

/// What a status other than success proves.
fn refused(status: StatusCode) -> Option<Evidence> {
    match status {
        StatusCode::OK => None,
        // The engine's own word that it did not run the request.
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Some(Evidence::EndpointRefused)
        }
        _ => Some(Evidence::CutAnswer),
    }
}
