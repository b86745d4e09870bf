//! What callers ask for: one handler a file.

pub(crate) mod addresses;
pub(crate) mod auth;
pub mod body;
pub(crate) mod generate;
pub(crate) mod models;
pub mod pattern;
pub(crate) mod services;

use cranberrygap_model::id;
use salvo::http::{HeaderValue, Request, Response, header};

use crate::engine;

/// The caller's request id, or a new one when it gave none that can be used.
pub(crate) fn request_id(request: &Request) -> id::Request {
    let given = request.headers().get(engine::REQUEST_ID_HEADER);
    let given = given
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    given.unwrap_or_else(|| {
        let drawn = format!("{:032x}", rand::random::<u128>());
        drawn.parse().expect("hexadecimal digits are a name")
    })
}

/// Writes the request id into the answer's head.
pub(crate) fn write_request_id(request: &id::Request, response: &mut Response) {
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        response
            .headers_mut()
            .insert(engine::REQUEST_ID_HEADER, value);
    }
}

/// Marks the answer's body as JSON.
pub(crate) fn write_json(response: &mut Response, body: String) {
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(body);
}
