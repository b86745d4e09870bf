//! Stream of view frames to one entry.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::{clock, server};
use cranberrygap_model::{duration, number};
use cranberrygap_wire::{method, view};
use futures_util::StreamExt as _;
use futures_util::stream::{self, BoxStream};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::sync::broadcast;
use tokio::time;

use crate::delta;
use crate::metric;
use crate::peers;
use crate::proposer;
use crate::redirect;
use crate::replicated;

/// Time between heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: duration::Span = duration::Span::from_millis(250);

/// Longest time that a subscriber waits for this process to reach the revision it has seen. Shorter
/// than a subscriber's wait for its first frame, after which it asks another process.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two checks while catching up.
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a known leader after which this process ends its streams. Longer than an ordinary
/// election.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

struct Subscription {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    updates: broadcast::Receiver<replicated::Update>,
    clock: clock::Clock,
    buffer: delta::Buffer,
    next_snapshot: Option<view::Frame>,
    revision: number::Revision,
    leader_known_at: time::Instant,
    /// When this process began to lead, if it does.
    leading_since: Option<time::Instant>,
    /// Whether the leader serves this subscriber because it found no other process.
    served_by_leader: bool,
    metrics: metric::Recorder,
}

/// Time after which a new leader redirects its subscribers. They should not have to find another
/// source during a change of leadership.
const REDIRECT_DELAY: Duration = Duration::from_secs(3);

/// Frame to send next.
#[derive(Serialize)]
#[serde(untagged)]
enum Outgoing {
    /// Changes that are already encoded.
    Delta(delta::Delta),
    /// Any other frame.
    Whole(Box<view::Frame>),
}

/// Opens the stream for an entry that has seen `wanted.revision`.
///
/// # Errors
///
/// A fault when this process is behind what the entry has seen, which would otherwise go back to an
/// older view when it changes its source, or when this process leads and other processes should
/// serve the entry.
pub(crate) async fn open(
    context: &peers::Context,
    wanted: &view::Subscribe,
) -> Result<BoxStream<'static, Box<RawValue>>, server::Fault> {
    let (state, proposer) = (&context.state, &context.proposer);
    let deadline = time::Instant::now() + CATCH_UP_TIMEOUT;
    while state.view_revision() < wanted.revision || proposer.status().leader.is_none() {
        if time::Instant::now() >= deadline {
            let message = "this control process is behind; ask another one";
            return Err(server::Fault::new(method::NO_QUORUM, message));
        }
        time::sleep(CATCH_UP_CHECK_INTERVAL).await;
    }
    let other_controls = state.other_controls();
    let leads = proposer.status().leads;
    if leads {
        let now = context.detector.now();
        let mut redirects = context.redirects.lock();
        if !redirects.should_serve(now, &wanted.instance, other_controls) {
            let message = "this control process leads; ask another one first";
            return Err(server::Fault::new(method::NO_QUORUM, message));
        }
    }
    let mut buffer = delta::Buffer::default();
    let resumed = wanted
        .founded
        .and_then(|founded| state.resume(founded, wanted.revision));
    let (updates, next_snapshot) = if let Some((missed, updates)) = resumed {
        let from = wanted.revision;
        spdlog::info!("view: {} goes on from revision {from}", wanted.instance);
        for update in missed {
            buffer.push(update.revision, &update.changes);
        }
        (updates, None)
    } else {
        spdlog::info!("view: {} subscribes", wanted.instance);
        let (snapshot, updates) = state.subscribe();
        (updates, Some(snapshot))
    };
    let subscription = Subscription {
        state: Arc::clone(state),
        proposer: proposer.clone(),
        updates,
        clock: clock::Clock::start(),
        buffer,
        next_snapshot,
        revision: wanted.revision,
        leader_known_at: time::Instant::now(),
        leading_since: None,
        served_by_leader: leads && redirect::is_allowed(other_controls),
        metrics: context.metrics.clone(),
    };
    Ok(stream::unfold(subscription, Subscription::next_item).boxed())
}

impl Subscription {
    async fn next_item(mut self) -> Option<(Box<RawValue>, Self)> {
        let frame = self.next_frame().await?;
        let status = self.proposer.status();
        // A process that is cut off from the group has an old view but working connections. Ending
        // its streams makes the entries find another process.
        if status.leader.is_some() {
            self.leader_known_at = time::Instant::now();
        } else if self.leader_known_at.elapsed() > LEADERLESS_TIMEOUT {
            return None;
        }
        self.leading_since = status
            .leads
            .then(|| self.leading_since.unwrap_or_else(time::Instant::now));
        if self.should_redirect() {
            return None;
        }
        Some(self.encode(frame).await)
    }

    /// Returns whether this process has led for a while and others can serve the subscriber.
    fn should_redirect(&self) -> bool {
        let has_led_long = self
            .leading_since
            .is_some_and(|since| since.elapsed() > REDIRECT_DELAY);
        has_led_long && !self.served_by_leader && redirect::is_allowed(self.state.other_controls())
    }

    /// Waits until the next frame is due and returns it.
    async fn next_frame(&mut self) -> Option<Outgoing> {
        let next_heartbeat = self.clock.now().after(HEARTBEAT_INTERVAL);
        loop {
            let now = self.clock.now();
            if let Some(snapshot) = self.next_snapshot.take() {
                self.buffer.reset(now);
                return Some(Outgoing::Whole(Box::new(snapshot)));
            }
            let due = self.buffer.next_due(self.state.subscribers());
            let until = due
                .map_or(next_heartbeat, |due| due.min(next_heartbeat))
                .since(now);
            let Ok(update) = time::timeout(until.to_std(), self.updates.recv()).await else {
                let heartbeat = view::Frame::Heartbeat {
                    revision: self.revision,
                };
                let delta = self
                    .buffer
                    .take_delta(self.clock.now())
                    .map(Outgoing::Delta);
                return Some(delta.unwrap_or(Outgoing::Whole(Box::new(heartbeat))));
            };
            match update {
                Ok(replicated::Update::Changed(revision, changes)) => {
                    self.buffer.push(revision, &changes);
                }
                Ok(replicated::Update::Replaced) | Err(broadcast::error::RecvError::Lagged(_)) => {
                    let (snapshot, update) = self.state.subscribe();
                    self.updates = update;
                    self.next_snapshot = Some(snapshot);
                }
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }

    async fn encode(mut self, frame: Outgoing) -> (Box<RawValue>, Self) {
        let (revision, kind) = match &frame {
            Outgoing::Delta(delta) => (delta.revision, "delta"),
            Outgoing::Whole(frame) => match **frame {
                view::Frame::Snapshot { revision, .. } => (revision, "snapshot"),
                view::Frame::Delta { revision, .. } => (revision, "delta"),
                view::Frame::Heartbeat { revision } => (revision, "heartbeat"),
            },
        };
        self.revision = revision;
        let metrics = self.metrics.clone();
        let encode = move || {
            let encode = || serde_json::value::to_raw_value(&frame);
            let encoded = metrics.measure(metric::Work::Frame, encode);
            encoded.expect("frames have text keys only")
        };
        let encoded = if kind == "snapshot" {
            // The whole state takes long to encode where the traffic plan is large.
            tokio::task::spawn_blocking(encode).await
        } else {
            Ok(encode())
        };
        let encoded = encoded.expect("encoding does not panic");
        self.metrics.count(metric::FRAMES, kind, 1);
        self.metrics
            .count(metric::FRAME_BYTES, kind, encoded.get().len());
        (encoded, self)
    }
}
