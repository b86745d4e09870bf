//! Notices about dispatched prompts, which other entries get at once.

use cranberrygap_model::{address, duration};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{Destination, Endpoints};

/// Least prefill time that causes a notice, in microseconds. It is a twentieth of the
/// pause that streams allow.
const MIN_NOTICE_PREFILL_MICROS: u32 = 15_000;

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
        if prefill_micros < MIN_NOTICE_PREFILL_MICROS {
            return;
        }
        let rank = u8::try_from(rank).unwrap_or(u8::MAX);
        let notice = Notice {
            name_hash,
            rank,
            prefill_micros,
        };
        self.notices.pending.lock().push(notice);
        self.notices.added.notify_one();
    }

    /// Waits for notices to send to the other entries.
    pub(crate) async fn next_notices(&self) -> Vec<Notice> {
        loop {
            let pending = std::mem::take(&mut *self.notices.pending.lock());
            if !pending.is_empty() {
                return pending;
            }
            self.notices.added.notified().await;
        }
    }

    /// Applies notices of another entry.
    pub(crate) fn apply_notices(
        &self,
        now: duration::Instant,
        from: address::Socket,
        notices: &[Notice],
    ) {
        let mut inner = self.inner.lock();
        for notice in notices {
            let mut states = inner.states.values_mut();
            if let Some(state) = states.find(|state| state.name_hash == notice.name_hash) {
                state.recent_prompts.record(now, notice.prefill_micros);
            }
            // Counts until the other entry's next full backlog, which replaces it.
            if let Some(announcement) = inner.other_entries.get_mut(&from) {
                let backlog = announcement.backlogs.entry(notice.name_hash).or_default();
                backlog.add(usize::from(notice.rank), notice.prefill_micros);
            }
        }
    }
}
