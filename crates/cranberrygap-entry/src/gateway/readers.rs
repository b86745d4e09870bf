//! Memory that the gateway holds for its callers, and the signals to connections that are cut.

mod charge;
mod signal;

use std::collections::HashMap;
use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_model::size;
use cranberrygap_policy::memory;
use parking_lot::Mutex;

pub(super) use charge::Charge;
pub(super) use signal::Signal;

/// Bytes that are held for callers without a setting.
const DEFAULT_LIMIT: size::Bytes = size::Bytes(48 << 20);

/// The setting's share of memory that is held for callers. The rest is for connections, the view
/// and the decisions.
const MEMORY_DIVISOR: u64 = 3;

/// The account that all callers' connections share.
#[derive(Debug)]
pub(super) struct Readers {
    clock: clock::Clock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    account: memory::Account,
    signals: HashMap<memory::Holder, Arc<Signal>>,
}

impl Readers {
    /// An account for a process that may use `memory`, if that is set.
    pub(super) fn new(clock: clock::Clock, memory: Option<size::Bytes>) -> Self {
        let limit = memory.map_or(DEFAULT_LIMIT, |memory| {
            size::Bytes(memory.0 / MEMORY_DIVISOR)
        });
        let inner = Inner {
            account: memory::Account::new(limit),
            signals: HashMap::new(),
        };
        Self {
            clock,
            inner: Mutex::new(inner),
        }
    }

    /// Adds a connection of a caller; the signal tells when it is cut.
    pub(super) fn open(&self) -> (memory::Holder, Arc<Signal>) {
        let signal = Arc::new(Signal::default());
        let mut inner = self.inner.lock();
        let holder = inner.account.open(memory::Content::Unread);
        inner.signals.insert(holder, Arc::clone(&signal));
        (holder, signal)
    }

    /// Charges bytes to a holder and tells connections that are cut for them. False if the bytes
    /// are not granted.
    pub(super) fn charge(&self, holder: memory::Holder, bytes: usize, need: memory::Need) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let verdict = inner.account.charge(now, holder, to_size(bytes), need);
        let cuts = verdict.cuts.into_iter().filter_map(|cut| {
            let signal = inner.signals.remove(&cut.holder)?;
            Some((signal, cut))
        });
        let cuts: Vec<_> = cuts.collect();
        drop(inner);
        for (signal, cut) in cuts {
            signal.send(cut);
        }
        verdict.is_granted
    }

    /// Releases bytes that nobody reads any more.
    pub(super) fn release(&self, holder: memory::Holder, bytes: usize) {
        self.inner.lock().account.release(holder, to_size(bytes));
    }

    /// Records that a caller has taken bytes.
    pub(super) fn record_read(&self, holder: memory::Holder, bytes: usize) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        inner.account.record_read(now, holder, to_size(bytes));
    }

    /// Removes a holder with all its bytes.
    pub(super) fn close(&self, holder: memory::Holder) {
        let mut inner = self.inner.lock();
        inner.account.close(holder);
        inner.signals.remove(&holder);
    }

    fn open_transit(&self) -> memory::Holder {
        self.inner.lock().account.open(memory::Content::Transit)
    }
}

fn to_size(bytes: usize) -> size::Bytes {
    size::Bytes(bytes as u64)
}
