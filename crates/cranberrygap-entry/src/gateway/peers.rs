//! Connections to other entries, and the requests that they have of this one.

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrygap_model::address;
use parking_lot::Mutex;

use super::pool;

type Counts = Mutex<BTreeMap<address::Socket, usize>>;

/// Other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) pool: pool::Pool,
    in_use: Arc<Counts>,
}

impl Peers {
    /// Entries that requests are sent to over the connections of `pool`.
    pub(super) fn new(pool: pool::Pool) -> Self {
        Self {
            pool,
            in_use: Arc::default(),
        }
    }

    /// Requests of this entry that another one has now.
    pub(super) fn in_use(&self, peer: address::Socket) -> usize {
        self.in_use.lock().get(&peer).copied().unwrap_or_default()
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn begin(&self, peer: address::Socket) -> Usage {
        *self.in_use.lock().entry(peer).or_default() += 1;
        Usage {
            peer,
            in_use: Arc::clone(&self.in_use),
        }
    }
}

/// A request that another entry has.
#[derive(Debug)]
pub(super) struct Usage {
    peer: address::Socket,
    in_use: Arc<Counts>,
}

impl Drop for Usage {
    fn drop(&mut self) {
        let mut in_use = self.in_use.lock();
        let Some(count) = in_use.get_mut(&self.peer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            in_use.remove(&self.peer);
        }
    }
}
