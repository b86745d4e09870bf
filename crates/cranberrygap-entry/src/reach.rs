//! Whether this entry, and the others, reach endpoints.
//!
//! An entry can lose its path to all endpoints while callers, other entries and the control
//! processes still reach it. Its requests then go to another entry.

mod teller;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, duration, id};
use cranberrygap_routing::{path, peers};
use cranberrygap_wire::view as wire_view;
use futures_util::future;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use parking_lot::{Mutex, MutexGuard};
use rand::seq::SliceRandom as _;
use tokio::sync::Notify;
use tokio::time;

use crate::core;

pub(crate) use teller::Teller;

/// Endpoints in one round of probes.
const PROBES: usize = 4;

/// Longest wait for the connection of a probe. Endpoints are some milliseconds away.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two rounds of probes while no endpoint can be reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// What this entry knows of its own path and of other entries.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    path: Mutex<path::Path>,
    peers: Mutex<peers::Table>,
    changed: Notify,
}

impl Reach {
    /// Whether this entry reaches no endpoint.
    pub(crate) fn is_cut(&self) -> bool {
        self.path.lock().is_cut()
    }

    /// Records that an endpoint took a connection.
    pub(crate) fn record_connected(&self) {
        self.path.lock().record_success();
    }

    /// What is known of the paths of other entries.
    pub(crate) fn peers(&self) -> MutexGuard<'_, peers::Table> {
        self.peers.lock()
    }

    /// Waits until the other entries have to be told whether this one is cut.
    pub(crate) async fn next_news(&self, teller: &mut Teller) -> bool {
        loop {
            if let Some(is_cut) = teller.take_due(self.is_cut()) {
                return is_cut;
            }
            let wait = teller.wait();
            // Either way there may be something to tell.
            let _elapsed = time::timeout(wait, self.changed.notified()).await;
        }
    }

    /// The state for a dump.
    pub(crate) fn dump(&self, now: duration::Instant) -> serde_json::Value {
        let path = self.path.lock();
        serde_json::json!({
            "endpoints_cut": path.is_cut(),
            "failed_endpoints": path.failed(),
            "avoided_entries": self.peers.lock().avoided_count(now),
        })
    }
}

/// Records that an endpoint took no connection, and begins to probe others once several did not.
pub(crate) fn record_unreachable(core: &Arc<core::Core>, endpoint: &id::Endpoint) {
    if core.reach.path.lock().record_failure(endpoint) {
        tokio::spawn(probe(Arc::clone(core)));
    }
}

/// Whether this entry reaches an endpoint beside `endpoint`; true if there is none to try.
pub(crate) async fn reaches_others(core: &core::Core, endpoint: &id::Endpoint) -> bool {
    let addresses = sample(core, std::slice::from_ref(endpoint));
    let mut probes: FuturesUnordered<_> = probes(core, &addresses).collect();
    while let Some(reached) = probes.next().await {
        if reached {
            return true;
        }
    }
    addresses.is_empty()
}

/// Sends rounds of probes until endpoints can be reached.
async fn probe(core: Arc<core::Core>) {
    let failed = core.reach.path.lock().failed().to_vec();
    let mut addresses = sample(&core, &failed);
    let mut was_cut = false;
    loop {
        if addresses.is_empty() {
            addresses = sample(&core, &[]);
        }
        let results = future::join_all(probes(&core, &addresses)).await;
        let reached = results.iter().filter(|reached| **reached).count();
        let is_cut = core.reach.path.lock().record_round(results.len(), reached);
        if is_cut != was_cut {
            core.reach.changed.notify_one();
        }
        if is_cut && !was_cut {
            spdlog::warn!(
                "reach: {} endpoints took no connection, nor did {} others: requests go to other entries",
                failed.len(),
                results.len()
            );
        }
        if !is_cut {
            if was_cut {
                spdlog::info!("reach: endpoints can be reached again");
            }
            return;
        }
        was_cut = true;
        time::sleep(PROBE_INTERVAL).await;
        addresses = sample(&core, &[]);
    }
}

/// Opens a connection to each address; whether it was opened.
fn probes<'core>(
    core: &'core core::Core,
    addresses: &[address::Socket],
) -> impl Iterator<Item = impl Future<Output = bool> + use<'core>> {
    let addresses = addresses.to_vec();
    addresses.into_iter().map(move |address| async move {
        let connecting = core.dialer.connect(address.0);
        matches!(time::timeout(PROBE_TIMEOUT, connecting).await, Ok(Ok(_)))
    })
}

/// Addresses of a few ready endpoints beside those of `known`, of as many services as possible.
fn sample(core: &core::Core, known: &[id::Endpoint]) -> Vec<address::Socket> {
    let Some(view) = core.view.latest() else {
        return Vec::new();
    };
    let endpoints = view.endpoints().values();
    let mut ready: Vec<_> = endpoints
        .filter(|endpoint| endpoint.health == wire_view::Health::Ready)
        .map(|endpoint| &endpoint.announcement)
        .filter(|announcement| !view.evacuated().contains(&announcement.domain))
        .filter(|announcement| !known.contains(&announcement.endpoint))
        .collect();
    ready.shuffle(&mut rand::rng());
    let mut counts: BTreeMap<Option<&id::Service>, usize> = BTreeMap::new();
    ready.sort_by_cached_key(|announcement| {
        let count = counts.entry(announcement.service.as_ref()).or_default();
        *count += 1;
        *count
    });
    ready.truncate(PROBES);
    ready
        .iter()
        .map(|announcement| announcement.address)
        .collect()
}
