//! Bodies and headers of responses to callers.

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

use super::{drain, forward};

/// Why a body ends early. The caller's connection is then cut, so that a partial body is
/// never taken for a whole one.
pub(crate) type Error = std::io::Error;

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, Error>;

/// A body whose content is complete.
pub(crate) fn full_body(content: impl Into<Bytes>) -> Body {
    let full = Full::new(content.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Headers that concern a single connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Removes headers that concern a single connection or that `Connection` names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The response by which a caller gets an endpoint's. Its version is not that of the endpoint's: with
/// it the caller would read the body in another way than it is sent.
pub(super) fn forwarded(endpoint: Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = endpoint.status;
    *response.headers_mut() = forwarded_headers(endpoint.headers);
    response
}

/// Headers of an endpoint's response that are forwarded to the caller. Its length is not: the body
/// that is sent may have another one.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    // Only entries tell each other these.
    headers.remove(forward::REFUSAL);
    headers.remove(drain::DRAINING);
    headers
}

/// Names the length of the body that is sent. The response to a request for the head alone names
/// the length that its endpoint `declared`.
pub(super) fn set_length(
    response: &mut Response<Body>,
    method: &Method,
    declared: Option<u64>,
    sent: Option<u64>,
) {
    let length = match (method, response.status()) {
        (&Method::HEAD, _) => declared,
        (_, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) => None,
        _ => sent,
    };
    if let Some(length) = length {
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
}
