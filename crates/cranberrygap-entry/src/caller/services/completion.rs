//! How a call of a plain service ended.

use bytes::Bytes;
use cranberrygap_policy::claims;
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_wire::claim;
use salvo::http::{HeaderValue, Response, StatusCode, header};

use crate::booking;

/// How a dispatch ended.
#[derive(Debug)]
pub(super) enum Completion {
    Answered {
        status: StatusCode,
        content_type: HeaderValue,
        body: Bytes,
    },
    /// No whole answer came; the evidence tells what may have happened.
    Failed(Evidence),
}

pub(super) async fn read_answer(answer: reqwest::Response) -> Completion {
    let status = answer.status();
    let default = HeaderValue::from_static("application/octet-stream");
    let content_type = answer
        .headers()
        .get(header::CONTENT_TYPE)
        .cloned()
        .unwrap_or(default);
    // A body shorter than its announced length fails here; it must not be taken
    // for the whole answer.
    match answer.bytes().await {
        Ok(body) if says_not_run(status, &body) => Completion::Failed(Evidence::EndpointRefused),
        Ok(body) => Completion::Answered {
            status,
            content_type,
            body,
        },
        Err(_cause) => Completion::Failed(Evidence::CutAnswer),
    }
}

/// Whether the service itself says that it did not run the call. The status alone
/// proves nothing; something between may have set it.
fn says_not_run(status: StatusCode, body: &[u8]) -> bool {
    let refuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !refuses.contains(&status) {
        return false;
    }
    let said = serde_json::from_slice::<serde_json::Value>(body);
    said.is_ok_and(|said| said["outcome"] == "not_run")
}

/// What the decisions about bookings are told of it.
pub(super) fn to_input(completion: &Completion) -> claims::Input {
    match completion {
        Completion::Answered {
            status,
            content_type,
            body,
        } => {
            let content_type = content_type.to_str().unwrap_or_default();
            claims::Input::Answered(booking::response(status.as_u16(), content_type, body))
        }
        Completion::Failed(evidence) => claims::Input::Ended(*evidence),
    }
}

pub(super) fn from_stored(stored: &claim::Response) -> Completion {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let content_type = HeaderValue::from_str(&stored.content_type);
    let content_type = content_type.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    Completion::Answered {
        status,
        content_type,
        body: booking::stored_body(stored),
    }
}

pub(super) fn write(completion: Completion, response: &mut Response) {
    if let Completion::Answered {
        status,
        content_type,
        body,
    } = completion
    {
        response.status_code(status);
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response.body(body);
    }
}
