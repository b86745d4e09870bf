//! Bookings: calls of plain services that run at most once.

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

/// Longest wait for the control leader. A claim takes a few milliseconds.
const CLAIM_TIMEOUT: duration::Span = duration::Span::from_secs(3);

/// A call that runs at most once, identified by its workspace and idempotency key.
#[derive(Debug)]
pub(crate) struct Booking {
    pub workspace: id::Workspace,
    pub key: SmolStr,
    pub call_hash: SmolStr,
    pub request: id::Request,
}

impl Booking {
    /// Opens the claim at the control leader, which grants the right to run this booking.
    pub(crate) async fn open_claim(&self, core: &Arc<core::Core>) -> claims::Input {
        let open = claim::Open {
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            body: self.call_hash.clone(),
            request: self.request.clone(),
            instance: core.instance().clone(),
            boot: core.boot,
        };
        let verdict: Result<claim::Verdict, cranberrygap_link::error::Error> = core
            .leader
            .call(method::CLAIM_OPEN, &open, CLAIM_TIMEOUT)
            .await;
        verdict.map_or(claims::Input::OpenFailed, claims::Input::Verdict)
    }

    /// Closes the claim with the outcome of the booking.
    pub(crate) async fn close_claim(
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
        let result: Result<(), cranberrygap_link::error::Error> = core
            .leader
            .call(method::CLAIM_CLOSE, &close, CLAIM_TIMEOUT)
            .await;
        result.map_or(claims::Input::CloseFailed, |()| claims::Input::Closed)
    }
}

/// Converts a reply into the stored response or a refusal.
pub(crate) fn to_result(reply: claims::Reply) -> Result<claim::Response, Refusal> {
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

/// Converts a service's response into the form that is stored in the claim.
pub(crate) fn to_stored(status: u16, content_type: &str, body: &[u8]) -> claim::Response {
    claim::Response {
        status,
        content_type: content_type.into(),
        body: STANDARD.encode(body).into(),
    }
}

/// Decodes the body of a stored response.
pub(crate) fn decode_body(response: &claim::Response) -> Bytes {
    Bytes::from(
        STANDARD
            .decode(response.body.as_bytes())
            .unwrap_or_default(),
    )
}

/// Hash of a call, which distinguishes a resend from another call with the same key.
pub(crate) fn hash_call(method: &str, path: &str, body: &[u8]) -> SmolStr {
    digest::hash_parts([method.as_bytes(), path.as_bytes(), body])
}
