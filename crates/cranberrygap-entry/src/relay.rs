//! Passes an engine's stream on to the caller, event by event.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use cranberrygap_model::{id, token};
use futures_util::stream;
use futures_util::{Stream, StreamExt as _};
use serde::Deserialize;

use crate::admission;
use crate::attainment;
use crate::engine;
use crate::refusal::Refusal;
use crate::sse;

type Upstream = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

/// A stream on its way from an engine to a caller.
///
/// Dropping it, which happens when the caller leaves, closes the connection to
/// the engine, which then stops generating.
pub(crate) struct Relay {
    upstream: Upstream,
    splitter: sse::Splitter,
    permit: admission::Permit,
    sent: engine::Sent,
    request: id::Request,
    tokens: u64,
    prompt: u64,
    progress: attainment::Progress,
    finished: bool,
}

#[derive(Deserialize)]
struct Chunk {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl Relay {
    /// A relay of `answer`; `prompt` is the bound on the prompt's tokens.
    pub(crate) fn new(
        answer: engine::Answer,
        permit: admission::Permit,
        request: id::Request,
        prompt: u64,
        progress: attainment::Progress,
    ) -> Self {
        Self {
            upstream: Box::pin(answer.response.bytes_stream()),
            splitter: sse::Splitter::default(),
            permit,
            sent: answer.sent,
            request,
            tokens: 0,
            prompt,
            progress,
            finished: false,
        }
    }

    /// The relay as the body of a response.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
        stream::unfold(self, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((Ok(bytes), relay))
        })
    }

    /// The next whole events, `None` after the end.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.finished {
            match self.upstream.next().await {
                Some(Ok(bytes)) if self.splitter.push(&bytes).is_ok() => {
                    let events = self.whole_events();
                    if !events.is_empty() {
                        return Some(events);
                    }
                }
                // The engine's stream broke, ended without its end mark, or sent an
                // event without end. A clean end here would let the caller take a
                // part for the whole answer, so it gets an error event.
                _ => return Some(self.broken()),
            }
        }
        None
    }

    fn whole_events(&mut self) -> Bytes {
        let mut first = Bytes::new();
        let mut joined = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            self.note(&event);
            if first.is_empty() {
                first = event;
                continue;
            }
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&event);
        }
        if joined.is_empty() {
            first
        } else {
            joined.freeze()
        }
    }

    fn note(&mut self, event: &[u8]) {
        let Some(data) = sse::data(event) else {
            return;
        };
        if sse::is_done(data) {
            self.progress.finish();
            self.finished = true;
            return;
        }
        self.tokens += 1;
        self.progress.token();
        let used = usage(data).unwrap_or(self.prompt + self.tokens);
        self.permit.set_used(token::Count(used));
    }

    fn broken(&mut self) -> Bytes {
        self.finished = true;
        self.sent.fail();
        let refusal = Refusal::EndpointFailed.to_wire(Some(&self.request));
        let event = serde_json::json!({ "error": refusal });
        Bytes::from(format!("data: {event}\n\n"))
    }
}

/// Tokens that the engine says it used, in the last chunk before the end mark.
fn usage(data: &[u8]) -> Option<u64> {
    const MARK: &[u8] = b"\"usage\"";
    if !data.windows(MARK.len()).any(|window| window == MARK) {
        return None;
    }
    let chunk: Chunk = serde_json::from_slice(data).ok()?;
    chunk.usage.map(|usage| usage.total_tokens)
}
