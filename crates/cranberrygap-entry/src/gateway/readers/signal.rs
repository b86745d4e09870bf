//! Tells a caller's connection that it is cut.

use std::sync::OnceLock;
use std::task::{Context, Poll};

use cranberrygap_policy::memory;
use futures_util::task::AtomicWaker;

/// The cut of one connection, from the account to the connection's task.
#[derive(Debug, Default)]
pub(in super::super) struct Signal {
    cut: OnceLock<memory::Cut>,
    waker: AtomicWaker,
}

impl Signal {
    /// Wakes the connection's task.
    pub(super) fn send(&self, cut: memory::Cut) {
        // A holder is cut once at most.
        let _first = self.cut.set(cut);
        self.waker.wake();
    }

    /// Ready once the connection is cut.
    pub(in super::super) fn poll_cut(&self, cx: &Context<'_>) -> Poll<memory::Cut> {
        self.waker.register(cx.waker());
        self.cut
            .get()
            .map_or(Poll::Pending, |cut| Poll::Ready(*cut))
    }
}
