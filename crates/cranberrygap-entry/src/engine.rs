//! Sends a model request to engines until one answers it.

mod delivery;
mod leave;
mod sent;

use cranberrygap_model::{duration, id};
use cranberrygap_trace::note;
use smol_str::SmolStr;

use crate::caller::body;

pub(crate) use delivery::{Delivery, evidence_of};
pub(crate) use sent::Attempt;

/// Header that names one dispatch; an engine that echoes it shows that the
/// answer belongs to the request.
pub(crate) const ATTEMPT_ID_HEADER: &str = "x-attempt-id";

/// Header that names the request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest wait for the first byte of a stream. Several times what an engine at
/// its limit takes; a connection that has gone silent is left after it.
pub(crate) const FIRST_BYTE_TIMEOUT: duration::Span = duration::Span::from_secs(5);

/// Longest wait between two tokens, a hundred times the usual one. Something
/// between the ends may have lost track of the connection; then no error comes
/// either, and the caller would wait for ever.
pub(crate) const TOKEN_TIMEOUT: duration::Span = duration::Span::from_secs(3);

/// One model request on its way.
#[derive(Debug)]
pub(crate) struct Request {
    pub id: id::Request,
    /// What decisions about it are about.
    pub about: note::About,
    pub path: &'static str,
    pub body: body::Body,
    /// Names the request wherever in the fleet it arrives again.
    pub fingerprint: SmolStr,
    /// When it must be answered.
    pub deadline: duration::Instant,
}

/// An engine's answer that has begun.
#[derive(Debug)]
pub(crate) struct Response {
    pub response: reqwest::Response,
    pub attempt_id: id::Attempt,
    pub attempt: Attempt,
}
