//! The result of a call of a plain service.

use bytes::Bytes;
use cranberrygap_policy::claims;
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_wire::claim;
use http::{HeaderValue, Response, StatusCode, header};

use crate::booking;
use crate::not_run;

/// Result of sending a call to an endpoint.
#[derive(Debug)]
pub(super) enum Completion {
    Answered {
        status: StatusCode,
        content_type: HeaderValue,
        body: Bytes,
    },
    /// No whole response arrived; the evidence shows what may have happened.
    Failed(Evidence),
}

/// Converts the whole response of an endpoint.
pub(super) fn from_response(response: Response<Bytes>) -> Completion {
    let status = response.status();
    if reports_not_run(status, response.body()) {
        return Completion::Failed(Evidence::EndpointRefused);
    }
    let default = HeaderValue::from_static("application/octet-stream");
    let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
    Completion::Answered {
        status,
        content_type: content_type.unwrap_or(default),
        body: response.into_body(),
    }
}

/// Whether the service itself reports that it did not run the call.
fn reports_not_run(status: StatusCode, body: &[u8]) -> bool {
    let refusal_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    refusal_statuses.contains(&status) && not_run::is_stated(body)
}

/// Converts the result into the input of a booking's state machine.
pub(super) fn to_input(completion: &Completion) -> claims::Input {
    match completion {
        Completion::Answered {
            status,
            content_type,
            body,
        } => {
            let content_type = content_type.to_str().unwrap_or_default();
            claims::Input::Answered(booking::to_stored(status.as_u16(), content_type, body))
        }
        Completion::Failed(evidence) => claims::Input::Ended(*evidence),
    }
}

/// Converts the stored response of an earlier booking.
pub(super) fn from_stored(stored: &claim::Response) -> Completion {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let content_type = HeaderValue::from_str(&stored.content_type);
    let content_type = content_type.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    Completion::Answered {
        status,
        content_type,
        body: booking::decode_body(stored),
    }
}

/// Writes an endpoint's response to the caller; a failure writes nothing.
pub(super) fn write(completion: Completion, response: &mut salvo::http::Response) {
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
