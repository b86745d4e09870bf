//! Passes a stream on as it comes, and has another engine go on when it breaks.

use bytes::{Bytes, BytesMut};
use cranberrygap_model::duration;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::metric;
use crate::sse;

use super::answer::{self, Cut};
use super::delivery;
use super::flight;
use super::line;

/// A stream on its way to the caller. Dropping it, which happens when the caller
/// leaves, closes the connection to the engine, which then stops.
struct Relay {
    delivery: delivery::Delivery,
    upstream: Option<Upstream>,
    /// Cuts events out of the bytes; only for streams that another engine may go
    /// on with, which begins after a whole event.
    splitter: Option<sse::Splitter>,
    last_event: Option<String>,
    /// When its last event came, once one has.
    last_came: Option<duration::Instant>,
    /// Why the stream is late, once it is.
    late: Option<&'static str>,
}

struct Upstream {
    body: Incoming,
    line: line::Line,
    flight: flight::Flight,
}

/// The answer whose body is the stream.
pub(super) fn relay(
    delivery: delivery::Delivery,
    head: Response<()>,
    body: Incoming,
    line: line::Line,
    flight: flight::Flight,
) -> Response<answer::Body> {
    let splitter = delivery.is_repeatable().then(sse::Splitter::default);
    let last_event = delivery
        .facts
        .ask
        .last_event_id
        .as_deref()
        .map(str::to_owned);
    let relay = Relay {
        delivery,
        upstream: Some(Upstream { body, line, flight }),
        splitter,
        last_event,
        last_came: None,
        late: None,
    };
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    head.map(|()| StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            let deadline = self.delivery.deadline().after(delivery::GRACE);
            let left = deadline.since(self.delivery.gateway.core.now());
            let upstream = self.upstream.as_mut()?;
            let frame = tokio::time::timeout(left.to_std(), upstream.body.frame()).await;
            match frame {
                Err(_elapsed) => return Some(Err(self.cut("the deadline passed"))),
                Ok(Some(Ok(frame))) => {
                    self.note_progress();
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.pass(data) {
                        Ok(data) if data.is_empty() => {}
                        other => return Some(other),
                    }
                }
                Ok(None) if self.is_between_events() => {
                    self.end();
                    return None;
                }
                Ok(None) => {
                    if !self.go_on("it ended within an event").await {
                        return Some(Err(self.cut("it ended within an event")));
                    }
                }
                Ok(Some(Err(_broken))) => {
                    if !self.go_on("the connection broke").await {
                        return Some(Err(self.cut("the connection broke")));
                    }
                }
            }
        }
    }

    /// Notes that more of the stream has come, and whether that is late.
    fn note_progress(&mut self) {
        let now = self.delivery.gateway.core.now();
        let route = &self.delivery.resolved.route;
        let (objective, pause) = (route.objective, route.pause);
        let before = self.last_came.replace(now);
        if let Some(upstream) = &mut self.upstream {
            let pause = before.map(|before| now.since(before));
            upstream.flight.event(now, pause);
        }
        let (passed, most, late) = match before {
            None => {
                self.delivery.note_first_event();
                let waited = now.since(self.delivery.facts.arrived);
                (waited, Some(objective), "the first event")
            }
            Some(before) => (now.since(before), pause, "a pause between events"),
        };
        if self.late.is_some() || most.is_none_or(|most| passed <= most) {
            return;
        }
        self.late = Some(late);
        let step = format_args!("{late} took {}ms", passed.0 / 1_000);
        self.delivery.story.step(now, step);
    }

    /// What of the bytes may go out now.
    fn pass(&mut self, data: Bytes) -> Result<Bytes, Cut> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(data);
        };
        if splitter.push(&data).is_err() {
            return Err(self.cut("an event is too long"));
        }
        let mut whole = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if let Some(id) = id(&event) {
                self.last_event = Some(id);
            }
            whole.extend_from_slice(&event);
        }
        Ok(whole.freeze())
    }

    fn is_between_events(&self) -> bool {
        self.splitter.as_ref().is_none_or(sse::Splitter::is_empty)
    }

    /// The stream is whole; its connection is kept.
    fn end(&mut self) {
        let now = self.delivery.gateway.core.now();
        if let Some(upstream) = self.upstream.take() {
            upstream.flight.end(now);
            self.delivery.gateway.pool.put(upstream.line);
        }
        self.delivery
            .story
            .ended(&self.delivery.gateway.volume, now, self.late);
    }

    /// Ends the answer so that the caller sees that it is not whole.
    fn cut(&mut self, cause: &'static str) -> Cut {
        let core = &self.delivery.gateway.core;
        let now = core.now();
        let volume = &self.delivery.gateway.volume;
        self.delivery
            .story
            .failed(volume, now, "stream_cut", cause, None);
        core.count(metric::GATEWAY_FAILURES, "stream_cut");
        self.upstream = None;
        Cut::other(cause)
    }

    /// Has another engine go on behind the last whole event that the caller has.
    async fn go_on(&mut self, cause: &'static str) -> bool {
        // The connection is closed first: an engine that still works on it stops.
        if let Some(upstream) = self.upstream.take() {
            upstream.flight.judge(false);
        }
        if self.splitter.is_none() {
            return false;
        }
        let last_event = self.last_event.clone();
        let resumed = self.delivery.resume(last_event.as_deref()).await;
        let Some(answered) = resumed else {
            return false;
        };
        let now = self.delivery.gateway.core.now();
        let resumed = format_args!("another engine goes on with the stream: {cause}");
        self.delivery.story.step(now, resumed);
        self.splitter = Some(sse::Splitter::default());
        self.upstream = Some(Upstream {
            body: answered.response.into_body(),
            line: answered.line,
            flight: answered.flight,
        });
        true
    }
}

/// The id of an event.
fn id(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
