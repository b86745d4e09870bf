//! What this entry knows of the replicated state, and until when it may use it.

mod recovery;
mod snapshot;
pub mod source;
mod status;
pub mod traffic;

use std::sync::Arc;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::view;
use parking_lot::RwLock;

pub use recovery::Outage;
pub use snapshot::Snapshot;
pub use status::Status;

/// The view and the lease under which it may be used.
#[derive(Debug, Default)]
pub struct Holder {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    snapshot: Option<Arc<Snapshot>>,
    lease_end: duration::Instant,
    /// Revision that the leader had committed when it last answered.
    committed: number::Revision,
    /// Since when it is known that the leader had committed more than is held here.
    behind_since: Option<duration::Instant>,
    /// Control process that the view is followed from.
    source: Option<id::Instance>,
    /// When the view was last known to be all that the leader had committed.
    last_current_at: duration::Instant,
    recovery: recovery::Estimate,
}

/// Time for which an entry serves on once it knows that its view is behind.
///
/// It may learn of that half a second late, with its next heartbeat, and a change must be
/// in force two seconds after it was accepted. Without this bound one saw an entry whose
/// source hung refuse a key 2.6 s after it was issued, under a lease of the time before.
const MAX_LAG: duration::Span = duration::Span::from_millis(1_000);

/// A frame that does not follow what was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A delta came before any snapshot.
    #[error("a delta came before a snapshot")]
    NoSnapshot,
    /// The frame is older than what this entry has in force.
    #[error("revision {offered} is older than {held}")]
    Older {
        /// Revision of the frame.
        offered: number::Revision,
        /// Revision that is in force here.
        held: number::Revision,
    },
}

impl Holder {
    /// The newest snapshot, whether or not the lease runs.
    pub fn latest(&self) -> Option<Arc<Snapshot>> {
        self.inner.read().snapshot.clone()
    }

    /// The snapshot to serve from, `None` when the lease is out.
    pub fn current(&self, now: duration::Instant) -> Option<Arc<Snapshot>> {
        let inner = self.inner.read();
        if now >= inner.lease_end || inner.is_behind(now, MAX_LAG) {
            return None;
        }
        inner.snapshot.clone()
    }

    /// Whether the view has been behind what the leader had committed for `span`.
    pub fn is_behind(&self, now: duration::Instant, span: duration::Span) -> bool {
        self.inner.read().is_behind(now, span)
    }

    /// The revision in force here, 0 before the first snapshot.
    pub fn revision(&self) -> number::Revision {
        self.inner
            .read()
            .snapshot
            .as_ref()
            .map_or_else(number::Revision::default, |s| s.revision())
    }

    /// The revision of the last change that the leader waits for, 0 before the first
    /// snapshot.
    pub fn binding_revision(&self) -> number::Revision {
        let inner = self.inner.read();
        let held = inner.snapshot.as_ref();
        held.map_or_else(number::Revision::default, |held| held.binding_revision())
    }

    /// Notes from which control process frames come from now on.
    pub fn set_source(&self, source: id::Instance) {
        self.inner.write().source = Some(source);
    }

    /// Time at `now` since the view was last known to be the newest.
    pub fn age(&self, now: duration::Instant) -> duration::Span {
        now.since(self.inner.read().last_current_at)
    }

    /// Where the view stands, for the log.
    pub fn status(&self) -> Status {
        let inner = self.inner.read();
        let held = inner.snapshot.as_ref();
        Status {
            source: inner.source.clone(),
            revision: held.map_or_else(number::Revision::default, |held| held.revision()),
            committed: inner.committed,
            behind_since: inner.behind_since,
            lease_end: inner.lease_end,
        }
    }

    /// End of the lease.
    pub fn lease_end(&self) -> duration::Instant {
        self.inner.read().lease_end
    }

    /// Notes at `now` that the leader did not answer.
    pub fn record_failure(&self, now: duration::Instant, absence: Outage) {
        self.inner.write().recovery.record_failure(now, absence);
    }

    /// Time after which a caller that cannot be served at `now` should come back.
    pub fn retry_after(&self, now: duration::Instant) -> duration::Span {
        self.inner.read().recovery.retry_after(now)
    }

    /// Takes a frame of the subscription.
    ///
    /// # Errors
    ///
    /// A frame out of order; the subscription must then start anew.
    pub fn apply_frame(&self, frame: view::Frame) -> Result<(), Error> {
        let mut inner = self.inner.write();
        let held = inner.snapshot.as_ref().map(|snapshot| snapshot.revision());
        let next = match frame {
            view::Frame::Heartbeat { .. } => return Ok(()),
            view::Frame::Snapshot { revision, state } => {
                check_order(revision, held.unwrap_or_default())?;
                Snapshot::new(revision, state)
            }
            view::Frame::Delta { revision, changes } => {
                let base = inner.snapshot.as_ref().ok_or(Error::NoSnapshot)?;
                check_order(revision, base.revision())?;
                base.with_changes(revision, changes)
            }
        };
        if next.revision() >= inner.committed {
            inner.behind_since = None;
        }
        inner.snapshot = Some(Arc::new(next));
        Ok(())
    }

    /// Takes the leader's answer to a confirmation that was sent at `sent`.
    ///
    /// The lease is counted from sending, so that it ends here before the leader
    /// may think it over. It is not renewed while this entry lags behind what the
    /// leader had committed at the answer before: an entry whose subscription
    /// hangs at an old revision, while its heartbeats reach the leader, would
    /// otherwise go on accepting a key that was withdrawn.
    pub fn apply_confirmation(&self, sent: duration::Instant, confirmed: &view::Confirmed) {
        let mut inner = self.inner.write();
        inner.recovery.record_answer();
        let held = inner
            .snapshot
            .as_ref()
            .map_or_else(number::Revision::default, |s| s.revision());
        let lags = held < inner.committed;
        inner.committed = inner.committed.max(confirmed.revision);
        if held < inner.committed {
            inner.behind_since.get_or_insert(sent);
        } else {
            inner.last_current_at = inner.last_current_at.max(sent);
        }
        if lags {
            return;
        }
        inner.lease_end = inner.lease_end.max(sent.after(confirmed.lease));
    }
}

impl Inner {
    fn is_behind(&self, now: duration::Instant, span: duration::Span) -> bool {
        self.behind_since
            .is_some_and(|since| now >= since.after(span))
    }
}

fn check_order(offered: number::Revision, held: number::Revision) -> Result<(), Error> {
    if offered < held {
        return Err(Error::Older { offered, held });
    }
    Ok(())
}
