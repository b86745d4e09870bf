//! Passes an engine's stream on to the caller, event by event.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use cranberrygap_model::{duration, token};
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_policy::stream as policy;
use futures_util::stream;
use futures_util::{Stream, StreamExt as _};

use crate::admission;
use crate::attainment;
use crate::chunk;
use crate::engine;
use crate::refusal::Refusal;
use crate::sse;

type Upstream = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

const END: &[u8] = b"data: [DONE]\n\n";

/// A stream on its way from engines to a caller.
///
/// Dropping it, which happens when the caller leaves, closes the connection to
/// the engine, which then stops generating.
pub(crate) struct Relay {
    delivery: engine::Delivery,
    upstream: Upstream,
    sent: Option<engine::Attempt>,
    splitter: sse::Splitter,
    progress: policy::Stream,
    permit: admission::Permit,
    attained: attainment::Progress,
    /// Nothing came yet over the connection of this attempt.
    opening: bool,
    finished: bool,
}

impl Relay {
    /// A relay of `answer`, which goes on over other engines when it breaks.
    pub(crate) fn new(
        delivery: engine::Delivery,
        answer: engine::Response,
        permit: admission::Permit,
        attained: attainment::Progress,
    ) -> Self {
        let limit = delivery.request().body.max_tokens.0;
        Self {
            delivery,
            progress: policy::Stream::new(answer.attempt_id, limit),
            upstream: Box::pin(answer.http.bytes_stream()),
            sent: Some(answer.attempt),
            splitter: sse::Splitter::default(),
            permit,
            attained,
            opening: true,
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
            let limit = self.limit();
            let evidence = match tokio::time::timeout(limit.to_std(), self.upstream.next()).await {
                Err(_elapsed) => Evidence::Silence,
                Ok(None) => Evidence::CutAnswer,
                Ok(Some(Err(_cause))) => Evidence::ConnectionBroke,
                Ok(Some(Ok(bytes))) => match self.take(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return Some(events),
                    Err(evidence) => evidence,
                },
            };
            if let Some(last) = self.go_on(evidence).await {
                return Some(last);
            }
        }
        None
    }

    fn limit(&self) -> duration::Span {
        let limit = if self.opening {
            engine::FIRST_BYTE_TIMEOUT
        } else {
            engine::TOKEN_TIMEOUT
        };
        limit.min(self.delivery.remaining())
    }

    /// The events in `bytes` that the caller gets.
    fn take(&mut self, bytes: &[u8]) -> Result<Bytes, Evidence> {
        self.opening = false;
        if self.splitter.push(bytes).is_err() {
            return Err(Evidence::CutAnswer);
        }
        let mut first = Bytes::new();
        let mut joined = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            match self.judge(&event) {
                policy::Decision::Deliver if first.is_empty() => first = event,
                policy::Decision::Deliver => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&event);
                }
                policy::Decision::Skip => {}
                // What came before it is the caller's; the next read finds the rest.
                policy::Decision::Broken if !first.is_empty() => {
                    self.upstream = Box::pin(stream::empty());
                    break;
                }
                policy::Decision::Broken => return Err(Evidence::CutAnswer),
            }
        }
        if joined.is_empty() {
            Ok(first)
        } else {
            Ok(joined.freeze())
        }
    }

    fn judge(&mut self, event: &[u8]) -> policy::Decision {
        let Some(data) = sse::data(event) else {
            return policy::Decision::Deliver;
        };
        let attempt = self.progress.attempt().clone();
        if sse::is_done(data) {
            let decision = self.progress.accept(&attempt, policy::Event::End);
            if decision == policy::Decision::Deliver {
                self.end();
            }
            return decision;
        }
        let chunk = chunk::Chunk::read(data);
        let mut decision = policy::Decision::Skip;
        for event in chunk.events() {
            let next = self.progress.accept(&attempt, event);
            if next == policy::Decision::Broken {
                return next;
            }
            if next == policy::Decision::Deliver {
                decision = next;
            }
            if event == policy::Event::Token {
                self.attained.token();
            }
        }
        let estimate = self.delivery.request().body.prompt.0 + self.progress.delivered();
        self.permit
            .set_used(token::Count(chunk.total_tokens().unwrap_or(estimate)));
        decision
    }

    fn end(&mut self) {
        self.attained.finish();
        if let Some(sent) = self.sent.as_mut() {
            sent.record_complete();
        }
        self.finished = true;
    }

    /// Resumes on another engine or connection behind the last token that the
    /// caller has; gives the last event if that cannot be.
    async fn go_on(&mut self, evidence: Evidence) -> Option<Bytes> {
        if self.progress.is_finished() {
            // All tokens and the reason of the end are there, only the mark is not.
            self.end();
            return Some(Bytes::from_static(END));
        }
        let Some(sent) = self.sent.take() else {
            return Some(self.broken(&Refusal::EndpointFailed));
        };
        if let Err(refusal) = self.delivery.handle_failure(evidence, sent).await {
            return Some(self.broken(&refusal));
        }
        match self.delivery.send(self.progress.delivered()).await {
            Err(refusal) => Some(self.broken(&refusal)),
            Ok(answer) => {
                self.progress.resume(answer.attempt_id);
                self.upstream = Box::pin(answer.http.bytes_stream());
                self.sent = Some(answer.attempt);
                self.splitter = sse::Splitter::default();
                self.opening = true;
                None
            }
        }
    }

    /// An error event. A clean end here would let the caller take a part for the
    /// whole answer.
    fn broken(&mut self, refusal: &Refusal) -> Bytes {
        self.finished = true;
        let refusal = refusal.to_wire(Some(&self.delivery.request().id));
        let event = serde_json::json!({ "error": refusal });
        Bytes::from(format!("data: {event}\n\n"))
    }
}
