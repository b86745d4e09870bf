//! Streams as their callers received them.

use cranberrygap_model::duration;
use smol_str::SmolStr;

/// One attempt of a caller at a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Id of the attempt.
    pub attempt: SmolStr,
    /// Entry that the caller sent it to.
    pub entry: SmolStr,
    /// Time at which the caller sent it.
    pub sent_at: duration::Instant,
    /// Software versions that wrote the events that it brought, in their order.
    pub versions: Vec<SmolStr>,
    /// Whether the caller had events of the stream before.
    pub is_return: bool,
    /// Whether two endpoints that the entry could send it to had served long enough: of any version,
    /// or of the stream's if the caller came back.
    pub is_possible: bool,
}

/// A stream over all attempts of its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stream {
    /// What is asked for.
    pub content: SmolStr,
    /// The attempts, in their order.
    pub parts: Vec<Part>,
}

impl Stream {
    /// Returns the versions of all events, each once.
    #[must_use]
    pub fn versions(&self) -> Vec<&SmolStr> {
        let mut versions: Vec<&SmolStr> =
            self.parts.iter().flat_map(|part| &part.versions).collect();
        versions.sort();
        versions.dedup();
        versions
    }
}
