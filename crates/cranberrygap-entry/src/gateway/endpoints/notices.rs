//! Sends that the other entries are told of at once.

use cranberrygap_model::{address, duration};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Endpoints, Place};

/// Prompts that take less than so many microseconds are not told at once: a twentieth of
/// the pause that streams allow.
const SMALLEST: u32 = 15_000;

/// One prompt that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    /// Short name of the engine.
    pub digest: u32,
    /// Rank of the request.
    pub rank: u8,
    /// Microseconds that the engine takes to read the prompt.
    pub reading: u32,
}

/// Notices that are not sent yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: Mutex<Vec<Notice>>,
    news: Notify,
}

impl Endpoints {
    /// Counts a prompt as sent to an engine from the moment at which that is decided.
    ///
    /// Requests that wait for the same engine look again within milliseconds. Were it
    /// counted only once its connection stands, several would go at the same moment.
    pub(crate) fn claim(
        &self,
        now: duration::Instant,
        place: &Place,
        rank: usize,
        reading: duration::Span,
    ) {
        let reading = u32::try_from(reading.0).unwrap_or(u32::MAX);
        let mut inner = self.inner.lock();
        let Some(node) = inner.nodes.get_mut(&place.endpoint) else {
            return;
        };
        node.window.record(now, reading);
        let digest = node.digest;
        drop(inner);
        if reading < SMALLEST {
            return;
        }
        let rank = u8::try_from(rank).unwrap_or(u8::MAX);
        let notice = Notice {
            digest,
            rank,
            reading,
        };
        self.notices.waiting.lock().push(notice);
        self.notices.news.notify_one();
    }

    /// Waits for sends that the others should know of.
    pub(crate) async fn notices(&self) -> Vec<Notice> {
        loop {
            let waiting = std::mem::take(&mut *self.notices.waiting.lock());
            if !waiting.is_empty() {
                return waiting;
            }
            self.notices.news.notified().await;
        }
    }

    /// Takes sends that another entry tells of.
    pub(crate) fn noticed(
        &self,
        now: duration::Instant,
        from: address::Socket,
        notices: &[Notice],
    ) {
        let mut inner = self.inner.lock();
        for notice in notices {
            let mut nodes = inner.nodes.values_mut();
            if let Some(node) = nodes.find(|node| node.digest == notice.digest) {
                node.window.record(now, notice.reading);
            }
            // Until it tells of all it has sent, which takes the place of this.
            if let Some(heard) = inner.others.get_mut(&from) {
                let tally = heard.tallies.entry(notice.digest).or_default();
                tally.add(usize::from(notice.rank), notice.reading);
            }
        }
    }
}
