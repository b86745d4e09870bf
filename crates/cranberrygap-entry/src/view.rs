//! The entry's copy of the replicated state and the lease under which it is used.

pub mod preference;
mod recovery;
mod snapshot;
pub mod source;
mod staged;
mod status;
pub mod traffic;

use std::sync::Arc;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::view;
use parking_lot::RwLock;

pub use recovery::Outage;
pub use snapshot::Snapshot;
pub use status::Status;

/// Holds the current view and its lease.
#[derive(Debug, Default)]
pub struct Holder {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    snapshot: Option<Arc<Snapshot>>,
    lease_end: duration::Instant,
    /// Highest revision that the leader reported as committed.
    committed: number::Revision,
    /// Time since which the held revision is known to be older than the committed one.
    behind_since: Option<duration::Instant>,
    /// Control process that sends the view's frames.
    source: Option<id::Instance>,
    /// Last time at which the view was known to hold all that the leader had committed.
    last_current_at: duration::Instant,
    recovery: recovery::Estimate,
}

/// Time for which an entry keeps serving from a view that is known to be behind.
///
/// The entry learns of the lag up to half a second late, with its next heartbeat, and a
/// change must be in force two seconds after it was accepted. Without this limit, an entry
/// whose source hung refused a key 2.6 s after it was issued, because its earlier lease
/// was still valid.
const MAX_LAG: duration::Span = duration::Span::from_millis(1_000);

/// Error for a frame that is out of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A delta arrived before any snapshot.
    #[error("a delta came before a snapshot")]
    NoSnapshot,
    /// A plan came into force before all of its parts arrived.
    #[error("parts of a plan are missing")]
    MissingParts,
    /// A plan came into force that changes another one than this entry has.
    #[error("a change of the plan starts from another plan")]
    OtherPlan,
    /// The frame is older than the revision that this entry holds.
    #[error("revision {offered} is older than {held}")]
    Older {
        /// Revision of the frame.
        offered: number::Revision,
        /// Revision that this entry holds.
        held: number::Revision,
    },
}

impl Holder {
    /// The newest snapshot, even if the lease has expired.
    pub fn latest(&self) -> Option<Arc<Snapshot>> {
        self.inner.read().snapshot.clone()
    }

    /// The snapshot to serve from, `None` when the lease has expired or the view has been
    /// behind for too long.
    pub fn current(&self, now: duration::Instant) -> Option<Arc<Snapshot>> {
        let inner = self.inner.read();
        if now >= inner.lease_end || inner.is_behind(now, MAX_LAG) {
            return None;
        }
        inner.snapshot.clone()
    }

    /// Whether the view has been behind the leader for at least `span`.
    pub fn is_behind(&self, now: duration::Instant, span: duration::Span) -> bool {
        self.inner.read().is_behind(now, span)
    }

    /// The revision that this entry holds, 0 before the first snapshot.
    pub fn revision(&self) -> number::Revision {
        self.inner
            .read()
            .snapshot
            .as_ref()
            .map_or_else(number::Revision::default, |s| s.revision())
    }

    /// Revision of the last change that the leader waits for this entry to confirm, 0
    /// before the first snapshot.
    pub fn binding_revision(&self) -> number::Revision {
        let inner = self.inner.read();
        let snapshot = inner.snapshot.as_ref();
        snapshot.map_or_else(number::Revision::default, |snapshot| {
            snapshot.binding_revision()
        })
    }

    /// Sets the control process that sends the next frames.
    pub fn set_source(&self, source: id::Instance) {
        self.inner.write().source = Some(source);
    }

    /// Time from when the view was last known to be current until `now`.
    pub fn age(&self, now: duration::Instant) -> duration::Span {
        now.since(self.inner.read().last_current_at)
    }

    /// Summary of the view's state for the log.
    pub fn status(&self) -> Status {
        let inner = self.inner.read();
        let snapshot = inner.snapshot.as_ref();
        Status {
            source: inner.source.clone(),
            revision: snapshot
                .map_or_else(number::Revision::default, |snapshot| snapshot.revision()),
            committed: inner.committed,
            behind_since: inner.behind_since,
            lease_end: inner.lease_end,
        }
    }

    /// End of the lease.
    pub fn lease_end(&self) -> duration::Instant {
        self.inner.read().lease_end
    }

    /// Records that the leader gave no answer at `now`.
    pub fn record_failure(&self, now: duration::Instant, outage: Outage) {
        self.inner.write().recovery.record_failure(now, outage);
    }

    /// Time after which a caller that cannot be served at `now` should retry.
    pub fn retry_after(&self, now: duration::Instant) -> duration::Span {
        self.inner.read().recovery.retry_after(now)
    }

    /// Applies a frame of the subscription.
    ///
    /// # Errors
    ///
    /// Fails when the frame is out of order or needs one that is missing; the subscription must then
    /// be restarted.
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
                base.with_changes(revision, changes)?
            }
        };
        inner.replace(Arc::new(next));
        Ok(())
    }

    /// Replaces the view by that of another source.
    ///
    /// # Errors
    ///
    /// Fails when it is older than the present one.
    pub fn adopt(&self, snapshot: Arc<Snapshot>) -> Result<(), Error> {
        let mut inner = self.inner.write();
        let held = inner.snapshot.as_ref().map(|snapshot| snapshot.revision());
        check_order(snapshot.revision(), held.unwrap_or_default())?;
        inner.replace(snapshot);
        Ok(())
    }

    /// Applies the leader's answer to a confirmation that was sent at `sent`.
    ///
    /// The lease starts at the time of sending, so that it expires here before the leader
    /// considers it expired. It is not renewed while this entry is behind the revision of
    /// the previous answer: an entry whose subscription hangs at an old revision, while
    /// its heartbeats reach the leader, would otherwise keep accepting a withdrawn key.
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
    fn replace(&mut self, snapshot: Arc<Snapshot>) {
        if snapshot.revision() >= self.committed {
            self.behind_since = None;
        }
        self.snapshot = Some(snapshot);
    }

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
