//! How callers and endpoints word what the gateway has to know.

use std::fmt;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::prefix_cache;
use http::{HeaderMap, StatusCode};
use smallvec::SmallVec;
use smol_str::SmolStr;

/// Parts of a prompt that are kept without an allocation; callers send about three.
const USUAL_PARTS: usize = 4;

/// The facts of a request, whatever headers they came in.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metadata {
    /// Names the caller's attempt.
    pub id: Option<SmolStr>,
    /// Time that the caller waits.
    pub timeout: Option<duration::Span>,
    /// The key that the caller shows. It is never passed on or logged.
    pub key: Option<SmolStr>,
    /// The model, if one is wanted.
    pub model: Option<id::Model>,
    /// Its adapter, if one is wanted.
    pub adapter: Option<SmolStr>,
    /// Prompt tokens and most generated tokens, where the caller counts them.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt in order.
    pub prompt_parts: SmallVec<[prefix_cache::Part; USUAL_PARTS]>,
    /// Last event that the caller has of a stream that broke off.
    pub last_event_id: Option<SmolStr>,
}

/// Tokens of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// In its prompt.
    pub prompt: u64,
    /// Generated at most.
    pub output: u64,
}

/// What an endpoint is told beside what the caller sent.
#[derive(Debug)]
pub struct Attempt<'request> {
    /// The only endpoint that shall run it.
    pub endpoint: &'request id::Endpoint,
    /// For whom it runs; none on routes without workspaces.
    pub workspace: Option<&'request id::Workspace>,
    /// Time that is left.
    pub time_left: duration::Span,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Event after which the stream goes on, if another one has begun it.
    pub last_event_id: Option<&'request str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// The answer to this request.
    Answer,
    /// It did not run the request and will not.
    NotRun(NotRun),
    /// An answer to another request, or none of the endpoint's making.
    Foreign,
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// It has no room now.
    Full,
    /// Another process listens there, or it does not hold the model or adapter.
    Misdirected,
    /// It takes the request for wrong.
    Wrong,
}

/// A form of requests.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads the facts of a request.
    ///
    /// # Errors
    ///
    /// A sentence about a header that cannot be understood.
    fn read_headers(&self, headers: &HeaderMap) -> Result<Metadata, SmolStr>;

    /// Makes the headers for an endpoint from those of the caller: takes out what
    /// is not for it and writes what it is told.
    fn write_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Judges the head of an answer to the request named `id`.
    fn classify_response(
        &self,
        id: Option<&str>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Classification;
}
