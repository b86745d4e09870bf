//! Forwards a stream as it arrives, and continues it at another engine when it breaks.

use bytes::{Bytes, BytesMut};
use cranberrygap_model::duration;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::framing::{self, remnant};
use crate::metric;
use crate::sse;

use super::buffer;
use super::delivery;
use super::endpoint_connection;
use super::in_flight;
use super::response::{self, Error};

/// Why a stream is not complete although its connection ended in good order.
const CUT_STREAM: &str = "the stream ended without an event or within one";

/// Why a stream is given up whose head was broken.
const BROKEN_HEAD: &str = "the body holds a part of its head or the sizes of chunks";

/// Why the end of a stream is not believed.
const WRONG_LENGTH: &str = "the stream goes on after its length";

/// Why a stream is given up that goes on without end.
const ENDLESS_STREAM: &str = "the stream brings no events";

/// Bytes without an event after which a stream is given up. Other content is no longer than a
/// response that is read to its end first.
const MAX_BYTES_WITHOUT_EVENT: usize = buffer::MAX_RESPONSE_BYTES;

/// A stream on its way to the caller. Dropping it, as when the caller leaves, closes the
/// connection to the engine, which then stops.
struct Relay {
    delivery: delivery::Delivery,
    upstream: Option<Upstream>,
    /// The events of the engine that sends now; other content has none.
    events: Option<Events>,
    last_event_id: Option<String>,
    /// Whether the caller has got any part of the stream in this response.
    has_passed_on: bool,
    /// Time at which the last event arrived.
    last_event_at: Option<duration::Instant>,
    /// Why the stream is late, if it is.
    late_cause: Option<&'static str>,
    /// Bytes that were ready after the deadline. Without a bound, bytes that are always ready
    /// would never let the time run out.
    bytes_after_deadline: usize,
}

/// Events on their way.
enum Events {
    /// Only whole events go on, since another engine starts after a whole one.
    Split(sse::Splitter),
    /// Bytes go on as they arrive.
    Passed(sse::Scanner),
}

impl Events {
    fn new(can_continue: bool) -> Self {
        if can_continue {
            return Self::Split(sse::Splitter::default());
        }
        Self::Passed(sse::Scanner::default())
    }

    fn scanner(&self) -> &sse::Scanner {
        match self {
            Self::Split(splitter) => splitter.scanner(),
            Self::Passed(scanner) => scanner,
        }
    }
}

struct Upstream {
    body: Incoming,
    framing: framing::Framing,
    /// Looks for parts of a broken head in the body, if its end is not known otherwise.
    remnants: Option<remnant::Scanner>,
    /// The first bytes, while it is not known what they are.
    held: BytesMut,
    connection: endpoint_connection::Connection,
    in_flight: in_flight::Request,
    /// Bytes that have arrived since the last event, and the number of that event.
    bytes_without_event: usize,
    last_event: u64,
}

/// A response whose body is the stream.
pub(super) fn relay(
    delivery: delivery::Delivery,
    reply: delivery::Reply,
) -> Response<response::Body> {
    let (head, upstream) = split_reply(reply);
    let is_event_stream = upstream.framing.is_event_stream();
    let can_continue = is_event_stream && delivery.is_repeatable();
    let last_event_id = delivery
        .request
        .metadata
        .last_event_id
        .as_deref()
        .map(str::to_owned);
    let relay = Relay {
        delivery,
        upstream: Some(upstream),
        events: is_event_stream.then(|| Events::new(can_continue)),
        last_event_id,
        has_passed_on: false,
        last_event_at: None,
        late_cause: None,
        bytes_after_deadline: 0,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next_bytes().await?;
        if next.is_err() {
            // The HTTP library drops what it has not written when a body fails. It writes while
            // the body is pending.
            tokio::task::yield_now().await;
        }
        Some((next.map(Frame::data), relay))
    });
    response::forwarded(head, StreamBody::new(frames).boxed_unsync())
}

fn split_reply(reply: delivery::Reply) -> (http::response::Parts, Upstream) {
    let (head, body) = reply.response.into_parts();
    let framing = reply.framing;
    let upstream = Upstream {
        body,
        framing,
        remnants: framing.remnants(framing.is_event_stream()),
        held: BytesMut::new(),
        connection: reply.connection,
        in_flight: reply.in_flight,
        bytes_without_event: 0,
        last_event: 0,
    };
    (head, upstream)
}

impl Relay {
    async fn next_bytes(&mut self) -> Option<Result<Bytes, Error>> {
        loop {
            let deadline = self.delivery.deadline().after(delivery::DEADLINE_GRACE);
            let time_left = deadline.since(self.delivery.gateway.core.now());
            let upstream = self.upstream.as_mut()?;
            if self.bytes_after_deadline > MAX_BYTES_WITHOUT_EVENT {
                return Some(Err(self.interrupt("the deadline passed")));
            }
            // What is ready is delivered also late.
            let frame = tokio::time::timeout(time_left.to_std(), upstream.body.frame()).await;
            match frame {
                Err(_elapsed) => return Some(Err(self.interrupt("the deadline passed"))),
                Ok(Some(Ok(frame))) => {
                    self.record_progress();
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let length = data.len();
                    if time_left.0 == 0 {
                        self.bytes_after_deadline += length;
                    }
                    let Some(data) = self.release(data) else {
                        if !self.continue_elsewhere(BROKEN_HEAD).await {
                            return Some(Err(self.interrupt(BROKEN_HEAD)));
                        }
                        continue;
                    };
                    let taken = self.take_complete_events(data);
                    if !self.brings_events(length) {
                        if !self.continue_elsewhere(ENDLESS_STREAM).await {
                            return Some(Err(self.interrupt(ENDLESS_STREAM)));
                        }
                        continue;
                    }
                    match taken {
                        Ok(data) if data.is_empty() => {}
                        other => return Some(self.pass_on(other)),
                    }
                }
                Ok(None) => {
                    let Some(cause) = self.defect_at_end().await else {
                        self.finish();
                        return self.take_rest().map(|rest| self.pass_on(Ok(rest)));
                    };
                    if !self.continue_elsewhere(cause).await {
                        return Some(Err(self.interrupt(cause)));
                    }
                }
                Ok(Some(Err(_broken))) => {
                    if !self.continue_elsewhere("the connection broke").await {
                        return Some(Err(self.interrupt("the connection broke")));
                    }
                }
            }
        }
    }

    /// Hands on what the caller gets next. Before the first bytes the origin of the stream is kept.
    fn pass_on(&mut self, next: Result<Bytes, Error>) -> Result<Bytes, Error> {
        if next.is_ok() && !std::mem::replace(&mut self.has_passed_on, true) {
            self.delivery.record_origin();
        }
        next
    }

    /// Records that more of the stream arrived, and whether it is late.
    fn record_progress(&mut self) {
        let now = self.delivery.gateway.core.now();
        let route = &self.delivery.resolution.route;
        let (objective, pause) = (route.objective, route.pause);
        let previous = self.last_event_at.replace(now);
        if let Some(upstream) = &mut self.upstream {
            let pause = previous.map(|previous| now.since(previous));
            upstream.in_flight.record_event(now, pause);
        }
        let (elapsed, limit, late_cause) = match previous {
            None => {
                self.delivery.record_first_event();
                let waited = now.since(self.delivery.request.arrived_at);
                (waited, Some(objective), "the first event")
            }
            Some(previous) => (now.since(previous), pause, "a pause between events"),
        };
        if self.late_cause.is_some() || limit.is_none_or(|limit| elapsed <= limit) {
            return;
        }
        self.late_cause = Some(late_cause);
        let step = format_args!("{late_cause} took {}ms", elapsed.0 / 1_000);
        self.delivery.log.add_step(now, step);
    }

    /// The bytes whose content is known, with those that were held back; `None` if they are a part
    /// of a broken head.
    fn release(&mut self, data: Bytes) -> Option<Bytes> {
        let Some(upstream) = &mut self.upstream else {
            return Some(data);
        };
        let Some(remnants) = &mut upstream.remnants else {
            return Some(data);
        };
        remnants.read(&data);
        if remnants.has_found() {
            return None;
        }
        if remnants.is_undecided() {
            upstream.held.extend_from_slice(&data);
            return Some(Bytes::new());
        }
        if upstream.held.is_empty() {
            return Some(data);
        }
        let mut held = std::mem::take(&mut upstream.held);
        held.extend_from_slice(&data);
        Some(held.freeze())
    }

    /// The bytes that can be forwarded now.
    fn take_complete_events(&mut self, data: Bytes) -> Result<Bytes, Error> {
        let splitter = match &mut self.events {
            Some(Events::Split(splitter)) => splitter,
            Some(Events::Passed(scanner)) => {
                scanner.read(&data);
                return Ok(data);
            }
            None => return Ok(data),
        };
        if splitter.push(&data).is_err() {
            if let Some(upstream) = &mut self.upstream {
                upstream.in_flight.record_break();
            }
            return Err(self.interrupt("an event is too long"));
        }
        let mut whole = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if let Some(id) = event_id(&event) {
                self.last_event_id = Some(id);
            }
            whole.extend_from_slice(&event);
        }
        Ok(whole.freeze())
    }

    /// Whether a stream of which so many bytes have arrived still brings events from time to time.
    fn brings_events(&mut self, length: usize) -> bool {
        let count = self
            .events
            .as_ref()
            .map_or(0, |events| events.scanner().event_count());
        let Some(upstream) = &mut self.upstream else {
            return true;
        };
        if count > std::mem::replace(&mut upstream.last_event, count) {
            upstream.bytes_without_event = 0;
            return true;
        }
        upstream.bytes_without_event = upstream.bytes_without_event.saturating_add(length);
        upstream.bytes_without_event <= MAX_BYTES_WITHOUT_EVENT
    }

    /// Why a stream that ended is not complete, if it is not.
    async fn defect_at_end(&mut self) -> Option<&'static str> {
        if !self.is_whole() {
            return Some(CUT_STREAM);
        }
        let connection = &mut self.upstream.as_mut()?.connection;
        (!connection.has_ended_response().await).then_some(WRONG_LENGTH)
    }

    /// Whether a stream that ended is complete by its content.
    fn is_whole(&self) -> bool {
        match (&self.upstream, &self.events) {
            (Some(upstream), Some(events)) => upstream.framing.is_whole_stream(events.scanner()),
            _ => true,
        }
    }

    /// The comments and blank lines after the last event.
    fn take_rest(&mut self) -> Option<Bytes> {
        let Some(Events::Split(splitter)) = &mut self.events else {
            return None;
        };
        let rest = splitter.take_rest();
        (!rest.is_empty()).then_some(rest)
    }

    /// Records that the stream is complete, and keeps its connection.
    fn finish(&mut self) {
        let now = self.delivery.gateway.core.now();
        if let Some(mut upstream) = self.upstream.take() {
            upstream.in_flight.record_end(now);
            upstream.in_flight.record_complete(upstream.framing);
            if upstream.framing.keeps_connection() {
                self.delivery.gateway.pool.put(upstream.connection);
            }
        }
        self.delivery
            .log
            .log_success(&self.delivery.gateway.log_limiter, now, self.late_cause);
    }

    /// Ends the response so that the caller sees that it is incomplete.
    fn interrupt(&mut self, cause: &'static str) -> Error {
        let core = &self.delivery.gateway.core;
        let now = core.now();
        let limiter = &self.delivery.gateway.log_limiter;
        self.delivery
            .log
            .log_failure(limiter, now, "stream_cut", cause, None);
        core.count(metric::GATEWAY_FAILURES, "stream_cut");
        self.upstream = None;
        Error::other(cause)
    }

    /// Continues the stream at another engine, after the last complete event that
    /// the caller has.
    async fn continue_elsewhere(&mut self, cause: &'static str) -> bool {
        // Closing the connection first stops an engine that still works on the request.
        if let Some(mut upstream) = self.upstream.take() {
            upstream.in_flight.record_break();
        }
        if !matches!(self.events, Some(Events::Split(_))) {
            return false;
        }
        let last_event_id = self.last_event_id.clone();
        let resumed = self.delivery.resume_stream(last_event_id.as_deref()).await;
        let Some(reply) = resumed.filter(|reply| reply.framing.is_event_stream()) else {
            return false;
        };
        let now = self.delivery.gateway.core.now();
        let resumed = format_args!("another engine continues the stream: {cause}");
        self.delivery.log.add_step(now, resumed);
        self.events = Some(Events::new(true));
        let (_head, upstream) = split_reply(reply);
        self.upstream = Some(upstream);
        true
    }
}

/// The id of an event.
fn event_id(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.split(['\r', '\n']);
    let id = lines.find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
