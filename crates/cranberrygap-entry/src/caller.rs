//! HTTP handlers of the callers' API, one in each file.

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

/// Returns the request id that the caller supplied, or a random one if it is missing or invalid.
pub(crate) fn request_id(request: &Request) -> id::Request {
    let supplied = request.headers().get(engine::REQUEST_ID_HEADER);
    let supplied = supplied
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    supplied.unwrap_or_else(|| {
        let random = format!("{:032x}", rand::random::<u128>());
        random
            .parse()
            .expect("hexadecimal digits form a valid request id")
    })
}

/// Sets the request id header of the response.
pub(crate) fn write_request_id(request: &id::Request, response: &mut Response) {
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        response
            .headers_mut()
            .insert(engine::REQUEST_ID_HEADER, value);
    }
}

/// Sets a JSON body with its content type.
pub(crate) fn write_json(response: &mut Response, body: String) {
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(body);
}
