//! Calls of plain services that must not run twice.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cranberrygap_model::{duration, id};
use cranberrygap_wire::{claim, method};
use smol_str::SmolStr;

use crate::core;
use crate::refusal::Refusal;

/// Longest wait for the control leader; a claim takes a few milliseconds.
const CLAIM_DEADLINE: duration::Span = duration::Span::from_secs(3);

/// Tries to record an outcome; without it the claim stays running until its
/// holder is known to be gone, and then is unknown.
const CLOSE_TRIES: usize = 3;

/// One booking.
#[derive(Debug)]
pub(crate) struct Booking {
    pub workspace: id::Workspace,
    pub key: SmolStr,
    pub body_hash: SmolStr,
    pub request: id::Request,
}

/// What a claim allows.
#[derive(Debug)]
pub(crate) enum Permission {
    /// Run it now, under this claim.
    Run(u64),
    /// It has run; this is the answer.
    Stored(claim::Response),
}

impl Booking {
    /// Asks the control leader for the right to run this booking.
    pub(crate) async fn open(&self, core: &Arc<core::Core>) -> Result<Permission, Refusal> {
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
        // Nothing is dispatched before the claim is granted, so that whatever went
        // wrong on the way, this request has not run.
        match verdict.map_err(|_cause| Refusal::NoQuorum)? {
            claim::Verdict::Granted { claim } => Ok(Permission::Run(claim)),
            claim::Verdict::Stored { outcome } => stored(outcome),
            claim::Verdict::Expired => Err(Refusal::BookingExpired),
            claim::Verdict::Running => Err(Refusal::BookingRunning),
            claim::Verdict::Conflict => Err(Refusal::IdempotencyConflict),
        }
    }

    /// Records how the booking ended.
    pub(crate) async fn close(
        &self,
        core: &Arc<core::Core>,
        claim: u64,
        outcome: claim::Outcome,
    ) -> bool {
        let close = claim::Close {
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            claim,
            outcome,
        };
        for _try in 0..CLOSE_TRIES {
            let answer: Result<(), cranberrygap_link::error::Error> = core
                .leader
                .call(method::CLAIM_CLOSE, &close, CLAIM_DEADLINE)
                .await;
            if answer.is_ok() {
                return true;
            }
        }
        false
    }
}

fn stored(outcome: claim::Outcome) -> Result<Permission, Refusal> {
    match outcome {
        claim::Outcome::Answered(response) => Ok(Permission::Stored(response)),
        claim::Outcome::NotRun => Err(Refusal::BookingNotRun),
        claim::Outcome::Unknown => Err(Refusal::BookingUnknown),
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
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str().into()
}
