//! The stream of frames that one entry gets.

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
use crate::followers;
use crate::metric;
use crate::peers;
use crate::proposer;
use crate::replicated;

/// Time between heartbeats when nothing changes.
const HEARTBEAT: duration::Span = duration::Span::from_millis(250);

/// Time that a subscriber waits for this process to catch up with what the
/// subscriber has already seen elsewhere. Below the time that a subscriber waits for a
/// first frame; it asks another process after that.
const CATCH_UP: Duration = Duration::from_millis(400);

/// Time between looks while catching up.
const LOOK: Duration = Duration::from_millis(20);

/// Time without a known leader after which this process serves no view. It is
/// longer than an ordinary election.
const LEADERLESS: Duration = Duration::from_secs(2);

struct Feed {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    news: broadcast::Receiver<replicated::News>,
    clock: clock::Clock,
    gather: delta::Buffer,
    next: Option<view::Frame>,
    revision: number::Revision,
    led: time::Instant,
    /// Since when this process leads.
    leads: Option<time::Instant>,
    /// Whether the follower has found no other process.
    stays: bool,
    metrics: metric::Recorder,
}

/// Time after which a new leader sends its followers elsewhere; a change of the leader is
/// not the moment to look for another source.
const SETTLED: Duration = Duration::from_secs(3);

/// What goes out next.
#[derive(Serialize)]
#[serde(untagged)]
enum Sent {
    /// Changes that are written already.
    Delta(delta::Delta),
    /// Anything else.
    Whole(Box<view::Frame>),
}

/// Opens the stream for an entry that has seen `wanted.revision`.
///
/// # Errors
///
/// A fault when this process lags behind what the entry has seen: an entry that
/// changed over from a process that is ahead would otherwise go back in time.
pub(crate) async fn open(
    desk: &peers::Desk,
    wanted: &view::Subscribe,
) -> Result<BoxStream<'static, Box<RawValue>>, server::Fault> {
    let (state, proposer) = (&desk.state, &desk.proposer);
    let deadline = time::Instant::now() + CATCH_UP;
    while state.seen() < wanted.revision || proposer.status().leader.is_none() {
        if time::Instant::now() >= deadline {
            let sentence = "this control process is behind; ask another one";
            return Err(server::Fault::new(method::NO_QUORUM, sentence));
        }
        time::sleep(LOOK).await;
    }
    let others = state.other_controls();
    let leads = proposer.status().leads;
    if leads {
        let now = desk.detector.now();
        let mut followers = desk.followers.lock();
        if !followers.may_follow(now, &wanted.instance, others) {
            let sentence = "this control process leads; ask another one first";
            return Err(server::Fault::new(method::NO_QUORUM, sentence));
        }
    }
    spdlog::info!("view: {} follows from here", wanted.instance);
    let (snapshot, news) = state.subscribe();
    let feed = Feed {
        state: Arc::clone(state),
        proposer: proposer.clone(),
        news,
        clock: clock::Clock::start(),
        gather: delta::Buffer::default(),
        next: Some(snapshot),
        revision: number::Revision(0),
        led: time::Instant::now(),
        leads: None,
        stays: leads && followers::are_enough(others),
        metrics: desk.metrics.clone(),
    };
    Ok(stream::unfold(feed, Feed::step).boxed())
}

impl Feed {
    async fn step(mut self) -> Option<(Box<RawValue>, Self)> {
        let frame = self.next_frame().await?;
        let status = self.proposer.status();
        // A process that was cut off from the group goes on with an old view and
        // healthy connections. Ending the stream makes its entries look elsewhere.
        if status.leader.is_some() {
            self.led = time::Instant::now();
        } else if self.led.elapsed() > LEADERLESS {
            return None;
        }
        self.leads = status
            .leads
            .then(|| self.leads.unwrap_or_else(time::Instant::now));
        if self.goes_elsewhere() {
            return None;
        }
        Some(self.give(&frame))
    }

    /// Whether this process leads for a while and others can serve the follower.
    fn goes_elsewhere(&self) -> bool {
        let settled = self.leads.is_some_and(|since| since.elapsed() > SETTLED);
        settled && !self.stays && followers::are_enough(self.state.other_controls())
    }

    /// The next frame, once it is due.
    async fn next_frame(&mut self) -> Option<Sent> {
        let beat = self.clock.now().after(HEARTBEAT);
        loop {
            let now = self.clock.now();
            if let Some(snapshot) = self.next.take() {
                self.gather.reset(now);
                return Some(Sent::Whole(Box::new(snapshot)));
            }
            let due = self.gather.next_due(self.state.followers());
            let until = due.map_or(beat, |due| due.min(beat)).since(now);
            let Ok(news) = time::timeout(until.to_std(), self.news.recv()).await else {
                let heartbeat = view::Frame::Heartbeat {
                    revision: self.revision,
                };
                let delta = self.gather.take_delta(self.clock.now()).map(Sent::Delta);
                return Some(delta.unwrap_or(Sent::Whole(Box::new(heartbeat))));
            };
            match news {
                Ok(replicated::News::Changed(revision, changes)) => {
                    self.gather.push(revision, &changes);
                }
                Ok(replicated::News::Replaced) | Err(broadcast::error::RecvError::Lagged(_)) => {
                    let (snapshot, news) = self.state.subscribe();
                    self.news = news;
                    self.next = Some(snapshot);
                }
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }

    fn give(mut self, frame: &Sent) -> (Box<RawValue>, Self) {
        let (revision, kind) = match frame {
            Sent::Delta(delta) => (delta.revision, "delta"),
            Sent::Whole(frame) => match **frame {
                view::Frame::Snapshot { revision, .. } => (revision, "snapshot"),
                view::Frame::Delta { revision, .. } => (revision, "delta"),
                view::Frame::Heartbeat { revision } => (revision, "heartbeat"),
            },
        };
        self.revision = revision;
        let encode = || serde_json::value::to_raw_value(frame);
        let encoded = self.metrics.work(metric::Work::Frame, encode);
        let encoded = encoded.expect("frames have text keys only");
        self.metrics.count(metric::FRAMES, kind, 1);
        self.metrics
            .count(metric::FRAME_BYTES, kind, encoded.get().len());
        (encoded, self)
    }
}
