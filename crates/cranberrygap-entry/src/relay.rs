//! Relays an engine's stream to the caller, event by event.

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
use crate::framing::remnant;
use crate::refusal::Refusal;
use crate::sse;

type Upstream = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

/// Bytes that may still be ready after the deadline. Without a bound, bytes that are always ready
/// would never let the time run out.
const MAX_BYTES_AFTER_DEADLINE: usize = 1 << 20;

/// Event that marks the end of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Relay of one stream from engines to a caller.
///
/// It is dropped when the caller disconnects. That closes the connection to the engine,
/// which then stops generating.
pub(crate) struct Relay {
    delivery: engine::Delivery,
    upstream: Upstream,
    /// Looks for parts of a broken head in the body, if its end is not known otherwise.
    remnants: Option<remnant::Scanner>,
    attempt: Option<engine::Attempt>,
    splitter: sse::Splitter,
    progress: policy::Stream,
    permit: admission::Permit,
    attainment: attainment::Progress,
    /// Whether no byte has arrived from the engine in this attempt.
    awaiting_first_byte: bool,
    /// Bytes that were ready after the deadline. They are delivered also late, up to a bound.
    bytes_after_deadline: usize,
    finished: bool,
}

impl Relay {
    /// Creates a relay of `response`, which resumes on another engine if the connection breaks.
    pub(crate) fn new(
        delivery: engine::Delivery,
        response: engine::Response,
        permit: admission::Permit,
        attainment: attainment::Progress,
    ) -> Self {
        let max_tokens = delivery.request().body.max_tokens.0;
        Self {
            delivery,
            progress: policy::Stream::new(response.attempt_id, max_tokens),
            remnants: response.http.framing().remnants(true),
            upstream: Box::pin(response.http.into_stream()),
            attempt: Some(response.attempt),
            splitter: sse::Splitter::default(),
            permit,
            attainment,
            awaiting_first_byte: true,
            bytes_after_deadline: 0,
            finished: false,
        }
    }

    /// Converts the relay into the body of a response.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> + Send {
        stream::unfold(self, |mut relay| async move {
            let bytes = relay.next_events().await?;
            Some((Ok(bytes), relay))
        })
    }

    /// Returns the next complete events, or `None` after the end.
    async fn next_events(&mut self) -> Option<Bytes> {
        while !self.finished {
            let timeout = self.read_timeout();
            let is_over = self.bytes_after_deadline > MAX_BYTES_AFTER_DEADLINE;
            let next = async {
                if is_over {
                    std::future::pending::<()>().await;
                }
                self.upstream.next().await
            };
            let evidence = match tokio::time::timeout(timeout.to_std(), next).await {
                Err(_elapsed) => Evidence::Silence,
                Ok(None) => Evidence::CutAnswer,
                Ok(Some(Err(_cause))) => Evidence::ConnectionBroke,
                Ok(Some(Ok(bytes))) => match self.accept_bytes(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return Some(events),
                    Err(evidence) => evidence,
                },
            };
            if let Some(last_event) = self.resume(evidence).await {
                return Some(last_event);
            }
        }
        None
    }

    /// Longest wait for the next bytes from the engine.
    fn read_timeout(&self) -> duration::Span {
        let timeout = if self.awaiting_first_byte {
            engine::FIRST_BYTE_TIMEOUT
        } else {
            engine::TOKEN_TIMEOUT
        };
        timeout.min(self.delivery.remaining())
    }

    /// Counts bytes that were ready after the deadline.
    fn count_late_bytes(&mut self, bytes: &[u8]) {
        if self.delivery.remaining().0 == 0 {
            self.bytes_after_deadline += bytes.len();
        }
    }

    /// Accepts bytes from the engine and returns the events to send to the caller.
    ///
    /// # Errors
    ///
    /// The evidence of the failure if the stream is malformed.
    fn accept_bytes(&mut self, bytes: &[u8]) -> Result<Bytes, Evidence> {
        self.awaiting_first_byte = false;
        self.count_late_bytes(bytes);
        if let Some(remnants) = &mut self.remnants {
            remnants.read(bytes);
            if remnants.has_found() {
                return Err(Evidence::CutAnswer);
            }
        }
        if self.splitter.push(bytes).is_err() {
            return Err(Evidence::CutAnswer);
        }
        let mut first = Bytes::new();
        let mut joined = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            match self.accept_event(&event) {
                policy::Decision::Deliver if first.is_empty() => first = event,
                policy::Decision::Deliver => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&event);
                }
                policy::Decision::Skip => {}
                // The events before the malformed one go to the caller. The empty stream makes
                // the next read fail and the relay resume.
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

    /// Decides whether the caller gets an event, and records its tokens.
    fn accept_event(&mut self, event: &[u8]) -> policy::Decision {
        let Some(data) = sse::data(event) else {
            return policy::Decision::Deliver;
        };
        let attempt_id = self.progress.attempt().clone();
        if sse::is_done(data) {
            let decision = self.progress.accept(&attempt_id, policy::Event::End);
            if decision == policy::Decision::Deliver {
                self.complete();
            }
            return decision;
        }
        let chunk = chunk::Chunk::parse(data);
        let mut decision = policy::Decision::Skip;
        for event in chunk.events() {
            let next = self.progress.accept(&attempt_id, event);
            if next == policy::Decision::Broken {
                return next;
            }
            if next == policy::Decision::Deliver {
                decision = next;
            }
            if event == policy::Event::Token {
                self.attainment.record_token();
            }
        }
        let estimate = self.delivery.request().body.prompt_tokens.0 + self.progress.delivered();
        self.permit
            .set_used(token::Count(chunk.total_tokens().unwrap_or(estimate)));
        decision
    }

    /// Records that the stream is complete.
    fn complete(&mut self) {
        self.attainment.finish();
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.record_complete();
        }
        self.finished = true;
    }

    /// Resumes the stream after the last token that the caller has, on another engine or
    /// connection.
    ///
    /// Returns the last event of the stream if that is impossible or not needed.
    async fn resume(&mut self, evidence: Evidence) -> Option<Bytes> {
        if self.progress.is_finished() {
            // All tokens and the finish reason have arrived; only the end marker is missing.
            self.complete();
            return Some(Bytes::from_static(DONE_EVENT));
        }
        let Some(attempt) = self.attempt.take() else {
            return Some(self.error_event(&Refusal::EndpointFailed));
        };
        if let Err(refusal) = self.delivery.handle_failure(evidence, attempt).await {
            return Some(self.error_event(&refusal));
        }
        match self.delivery.send(self.progress.delivered()).await {
            Err(refusal) => Some(self.error_event(&refusal)),
            Ok(response) => {
                self.progress.resume(response.attempt_id);
                self.remnants = response.http.framing().remnants(true);
                self.upstream = Box::pin(response.http.into_stream());
                self.attempt = Some(response.attempt);
                self.splitter = sse::Splitter::default();
                self.awaiting_first_byte = true;
                None
            }
        }
    }

    /// Ends the stream with an error event.
    ///
    /// Without the event, the caller would mistake a truncated stream for a complete one.
    fn error_event(&mut self, refusal: &Refusal) -> Bytes {
        self.finished = true;
        let refusal = refusal.to_wire(Some(&self.delivery.request().id));
        let event = serde_json::json!({ "error": refusal });
        Bytes::from(format!("data: {event}\n\n"))
    }
}
