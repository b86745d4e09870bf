//! Notices about dispatched prompts, which the endpoint's home gets at once.

use std::net::SocketAddr;

use cranberrygap_model::{address, duration};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Destination, Endpoints};

/// A prompt that was sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    /// Short hash of the engine's name.
    #[serde(rename = "digest")]
    pub name_hash: u32,
    /// Rank of the request.
    pub rank: u8,
    /// Time that the engine takes to read the prompt, in microseconds.
    #[serde(rename = "reading")]
    pub prefill_micros: u32,
}

/// Notices that are not sent yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: Mutex<Vec<Notice>>,
    added: Notify,
}

impl Endpoints {
    /// Counts a prompt at an engine from the moment at which the engine is chosen.
    ///
    /// Requests that wait for the same engine search again within milliseconds. If the
    /// prompt counted only once its connection is open, several requests would go at the
    /// same moment.
    pub(crate) fn reserve_prefill(
        &self,
        now: duration::Instant,
        destination: &Destination,
        rank: usize,
        prefill_time: duration::Span,
    ) {
        let prefill_micros = u32::try_from(prefill_time.0).unwrap_or(u32::MAX);
        let mut inner = self.inner.lock();
        let Some(state) = inner.states.get_mut(&destination.endpoint) else {
            return;
        };
        state.recent_prompts.record(now, prefill_micros);
        let name_hash = state.name_hash;
        drop(inner);
        self.add_notice(name_hash, rank, prefill_micros);
    }

    /// Queues a notice for the home of an endpoint.
    pub(super) fn add_notice(&self, name_hash: u32, rank: usize, prefill_micros: u32) {
        let rank = u8::try_from(rank).unwrap_or(u8::MAX);
        let notice = Notice {
            name_hash,
            rank,
            prefill_micros,
        };
        self.notices.pending.lock().push(notice);
        self.notices.added.notify_one();
    }

    /// Waits for notices to send to the homes of their endpoints.
    pub(crate) async fn next_notices(&self) -> Vec<Notice> {
        loop {
            let pending = std::mem::take(&mut *self.notices.pending.lock());
            if !pending.is_empty() {
                return pending;
            }
            self.notices.added.notified().await;
        }
    }

    /// Records that a home is told of prompts; it gets a report soon after.
    pub(crate) fn record_notices(&self, home: address::Socket) {
        self.inner.lock().homes.record_notices(home);
    }

    /// Address of an endpoint's home, `None` for this entry.
    pub(crate) fn home_of(&self, endpoint: u32) -> Option<address::Socket> {
        self.inner.lock().homes.address(endpoint)
    }

    /// Applies another entry's notices of prompts at endpoints of this home.
    pub(crate) fn apply_notices(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        notices: &[Notice],
    ) {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return;
        }
        for notice in notices {
            let rank = usize::from(notice.rank);
            let micros = notice.prefill_micros;
            inner
                .book
                .apply_prompt(now, from, notice.name_hash, rank, micros);
            inner.places.settle(notice.name_hash, Some(from));
        }
    }
}
