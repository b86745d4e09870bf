//! Sends a model request to engines until one of them answers.

mod attempt;
mod delivery;

use cranberrygap_model::{duration, id};
use cranberrygap_trace::note;
use smol_str::SmolStr;

use crate::caller::body;
use crate::upstream;

pub(crate) use attempt::Attempt;
pub(crate) use delivery::{Delivery, record_defect};

/// Header with the id of one attempt. An engine that echoes it shows that the response
/// belongs to the request.
pub(crate) const ATTEMPT_ID_HEADER: &str = "x-attempt-id";

/// Header with the id of the request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the version of the only software that may run the request. An engine that has
/// started again with another one is found out before its entry has heard of it.
pub(crate) const EXPECTED_SOFTWARE_HEADER: &str = "x-expect-software";

/// Longest wait for the first byte of a stream.
///
/// It is several times what an engine at its limit takes. A connection that stays silent
/// for longer is given up.
pub(crate) const FIRST_BYTE_TIMEOUT: duration::Span = duration::Span::from_secs(5);

/// Longest wait between two tokens, a hundred times the usual time. A device between the
/// two ends may have dropped the connection without an error, and the caller would wait
/// for ever.
pub(crate) const TOKEN_TIMEOUT: duration::Span = duration::Span::from_secs(3);

/// A model request that is sent to engines.
#[derive(Debug)]
pub(crate) struct Request {
    pub id: id::Request,
    /// Subject of the notes that the trace keeps about the request.
    pub about: note::About,
    pub path: &'static str,
    pub body: body::Body,
    /// Identifies the request wherever in the fleet it arrives again.
    pub fingerprint: SmolStr,
    /// Time by which the request must be answered.
    pub deadline: duration::Instant,
}

/// The response of an engine, whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Response {
    pub http: upstream::Response,
    pub attempt_id: id::Attempt,
    pub attempt: Attempt,
}
