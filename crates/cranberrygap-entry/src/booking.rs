//! Calls of plain services that must not run twice.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cranberrygap_model::{duration, id};
use cranberrygap_policy::claims;
use cranberrygap_wire::{claim, method};
use smol_str::SmolStr;

use crate::core;
use crate::digest;
use crate::refusal::Refusal;

/// Longest wait for the control leader; a claim takes a few milliseconds.
const CLAIM_DEADLINE: duration::Span = duration::Span::from_secs(3);

/// One booking.
#[derive(Debug)]
pub(crate) struct Booking {
    pub workspace: id::Workspace,
    pub key: SmolStr,
    pub body_hash: SmolStr,
    pub request: id::Request,
}

impl Booking {
    /// Asks the control leader for the right to run this booking.
    pub(crate) async fn open(&self, core: &Arc<core::Core>) -> claims::Input {
        let open = claim::Open {
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            body: self.body_hash.clone(),
            request: self.request.clone(),
            instance: core.instance().clone(),
            boot: core.boot,
        };
        let verdict: Result<claim::Verdict, cranberrygap_link::error::Error> = core
            .leader
            .call(method::CLAIM_OPEN, &open, CLAIM_DEADLINE)
            .await;
        verdict.map_or(claims::Input::OpenFailed, claims::Input::Verdict)
    }

    /// Records how the booking ended.
    pub(crate) async fn close(
        &self,
        core: &Arc<core::Core>,
        claim: u64,
        outcome: claim::Outcome,
    ) -> claims::Input {
        let close = claim::Close {
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            claim,
            outcome,
        };
        let answer: Result<(), cranberrygap_link::error::Error> = core
            .leader
            .call(method::CLAIM_CLOSE, &close, CLAIM_DEADLINE)
            .await;
        answer.map_or(claims::Input::CloseFailed, |()| claims::Input::Closed)
    }
}

/// What the caller gets.
pub(crate) fn answer(reply: claims::Reply) -> Result<claim::Response, Refusal> {
    match reply {
        claims::Reply::Answer(response) => Ok(response),
        claims::Reply::NotRun => Err(Refusal::BookingNotRun),
        claims::Reply::NoQuorum => Err(Refusal::NoQuorum),
        claims::Reply::Unknown => Err(Refusal::BookingUnknown),
        claims::Reply::Running => Err(Refusal::BookingRunning),
        claims::Reply::Conflict => Err(Refusal::IdempotencyConflict),
        claims::Reply::Expired => Err(Refusal::BookingExpired),
    }
}

/// A service's answer in the form that is stored.
pub(crate) fn response(status: u16, content_type: &str, body: &[u8]) -> claim::Response {
    claim::Response {
        status,
        content_type: content_type.into(),
        body: STANDARD.encode(body).into(),
    }
}

/// The body of a stored answer.
pub(crate) fn stored_body(response: &claim::Response) -> Bytes {
    Bytes::from(
        STANDARD
            .decode(response.body.as_bytes())
            .unwrap_or_default(),
    )
}

/// Hash of what the call asks for, to tell a resend from another call.
pub(crate) fn body_hash(method: &str, path: &str, body: &[u8]) -> SmolStr {
    digest::of([method.as_bytes(), path.as_bytes(), body])
}
