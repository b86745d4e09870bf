//! Continuous batching: places in the batch, and the time of a token.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Requests that run and those that wait for a place.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: usize,
    arrivals: u64,
    /// Lower priority numbers first, then in order of arrival.
    waiting: BTreeMap<(i64, u64), oneshot::Sender<()>>,
}

/// A place in the batch; given back when dropped.
#[derive(Debug)]
pub struct Place<'a> {
    batch: &'a Batch,
}

impl Batch {
    /// A batch with so many places.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            inner: Mutex::default(),
        }
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.inner.lock().running
    }

    /// Requests that wait for a place.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let inner = self.inner.lock();
        inner
            .waiting
            .values()
            .filter(|wait| !wait.is_closed())
            .count()
    }

    /// Waits for a place; a lower priority number goes first.
    pub async fn enter(&self, priority: i64) -> Place<'_> {
        let turn = {
            let mut inner = self.inner.lock();
            if inner.running < self.slots {
                inner.running += 1;
                return Place { batch: self };
            }
            let (sender, turn) = oneshot::channel();
            inner.arrivals += 1;
            let key = (priority, inner.arrivals);
            inner.waiting.insert(key, sender);
            turn
        };
        // The sender is only dropped after it has sent, since places are handed over.
        let _handed_over = turn.await;
        Place { batch: self }
    }

    /// Time of one token with the batch as it is now.
    #[must_use]
    pub fn token_time(&self, alone: Duration, each: Duration) -> Duration {
        let further = self.running().saturating_sub(1);
        alone + each * u32::try_from(further).unwrap_or(u32::MAX)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = self.batch.inner.lock();
        while let Some((_, turn)) = inner.waiting.pop_first() {
            if turn.send(()).is_ok() {
                return;
            }
        }
        inner.running -= 1;
    }
}
