//! Dialects: how requests and responses carry the facts that the gateway needs.

use std::fmt;
use std::time::SystemTime;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::prefix_cache;
use http::{HeaderMap, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::statement;

/// Prompt parts that are stored without an allocation; callers send about three.
const INLINE_PROMPT_PARTS: usize = 4;

/// Facts of a request, independent of the headers that carry them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metadata {
    /// Id of the caller's attempt.
    pub id: Option<SmolStr>,
    /// Time that the caller waits for a response.
    pub timeout: Option<duration::Span>,
    /// Key of the caller. It is never forwarded or logged.
    pub key: Option<SmolStr>,
    /// Model that the request needs, if any.
    pub model: Option<id::Model>,
    /// Adapter of the model that the request needs, if any.
    pub adapter: Option<SmolStr>,
    /// Prompt tokens and most generated tokens, if the caller states them.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt, in order.
    pub prompt_parts: SmallVec<[prefix_cache::Part; INLINE_PROMPT_PARTS]>,
    /// Last event that the caller received of an interrupted stream.
    pub last_event_id: Option<SmolStr>,
    /// Id of the attempt that brought the first event of that stream.
    pub first_attempt: Option<SmolStr>,
}

impl Metadata {
    /// Whether the caller resumes a stream that it has events of.
    #[must_use]
    pub fn is_resumption(&self) -> bool {
        self.first_attempt.is_some() || self.last_event_id.is_some()
    }
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens in the prompt.
    pub prompt: u64,
    /// Most tokens to generate.
    pub output: u64,
}

/// Facts that an endpoint is told in addition to the caller's headers.
#[derive(Debug)]
pub struct Attempt<'request> {
    /// The only endpoint that may run the request.
    pub endpoint: &'request id::Endpoint,
    /// Workspace that the request runs for; `None` on routes without workspaces.
    pub workspace: Option<&'request id::Workspace>,
    /// Time left until the request's deadline.
    pub time_left: duration::Span,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Event after which the stream continues, if another endpoint began it.
    pub last_event_id: Option<&'request str>,
}

/// What the head of an endpoint's response means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// The response to this request.
    Answer,
    /// The endpoint did not run the request and will not run it.
    NotRun(NotRun),
    /// A response to another request, or one that the endpoint did not create.
    Foreign,
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// It has no capacity now.
    Full,
    /// Another process listens at the address, or it does not hold the model or adapter.
    Misdirected,
    /// It considers the request invalid.
    Wrong,
}

/// A convention of headers between callers, gateway and endpoints.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads the facts of a request.
    ///
    /// # Errors
    ///
    /// A sentence about a header that cannot be parsed.
    fn read_headers(&self, headers: &HeaderMap) -> Result<Metadata, SmolStr>;

    /// Turns the caller's headers into those for an endpoint.
    ///
    /// Removes the headers that the endpoint must not get and sets those of `attempt`.
    fn write_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Replaces the time that a caller waits for a response by the time that is left.
    fn write_time_left(&self, headers: &mut HeaderMap, time_left: duration::Span);

    /// Classifies the head of a response to the request named `id`.
    fn classify_response(
        &self,
        id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Classification;

    /// Reads what an endpoint says of itself in the head of a response, which arrived at `now`.
    fn read_statements(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        now: SystemTime,
    ) -> statement::Set;
}
