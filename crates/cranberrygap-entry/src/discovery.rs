//! Discovery of entries and readiness, for other listeners of the same process.

use std::sync::Arc;

use cranberrygap_model::{address, duration, id};
use cranberrygap_wire::view as wire_view;
use rand::seq::SliceRandom as _;

use crate::core;

/// Number of entries that a failure domain needs for its callers to get only those. With a
/// single entry, they would have no other when it fails.
const MIN_DOMAIN_ENTRIES: usize = 2;

/// Address lists and readiness of an entry, for listeners that use another protocol.
#[derive(Debug, Clone)]
pub struct Discovery {
    core: Arc<core::Core>,
}

impl Discovery {
    pub(crate) const fn new(core: Arc<core::Core>) -> Self {
        Self { core }
    }

    /// Whether the entry is ready: it has a traffic plan and a lease on it and is not draining.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.core.view.current(self.core.now());
        let has_plan = view.is_some_and(|view| view.traffic().is_some());
        has_plan && !self.core.is_draining()
    }

    /// Addresses that callers in `domain` should connect to; empty if this entry has no view
    /// that it may serve.
    ///
    /// Lists the entries in the caller's failure domain if there are enough of them, else all
    /// entries: traffic between domains is slower and costs money.
    #[must_use]
    pub fn addresses(&self, domain: Option<&id::Domain>) -> Vec<address::Socket> {
        let Ok(view) = self.core.serving_view() else {
            return Vec::new();
        };
        let all: Vec<&wire_view::Member> = view.active_entries().collect();
        let reaching = self.entries_with_paths(&all);
        let listed = if reaching.is_empty() { &all } else { &reaching };
        let same_domain = listed.iter().filter(|entry| Some(&entry.domain) == domain);
        let mut addresses: Vec<address::Socket> = same_domain.map(|entry| entry.address).collect();
        if addresses.len() < MIN_DOMAIN_ENTRIES {
            addresses = listed.iter().map(|entry| entry.address).collect();
        }
        if addresses.is_empty() && !self.core.is_draining() {
            // The fleet has just started and lists no entry yet. This entry holds a lease, so it
            // can serve.
            addresses.push(self.core.advertised_address());
        }
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Entries that reach endpoints as far as known. The others serve their callers by these.
    fn entries_with_paths<'view>(
        &self,
        entries: &[&'view wire_view::Member],
    ) -> Vec<&'view wire_view::Member> {
        let (now, reach) = (self.core.now(), &self.core.reach);
        let peers = reach.peers();
        let has_path = |entry: &&&wire_view::Member| {
            if entry.instance == *self.core.instance() {
                return !reach.is_cut();
            }
            !peers.is_known_cut(now, entry.address)
        };
        entries.iter().filter(has_path).copied().collect()
    }

    /// Time for which callers may keep an address list, in whole seconds, at least one.
    ///
    /// Some callers keep it three times as long, and a stopping entry must serve until they
    /// have left. The time is therefore below a third of the entry's stop timeout.
    #[must_use]
    pub fn lifetime(&self) -> duration::Span {
        const MAX_LIFETIMES_KEPT: u64 = 3;
        let second = duration::Span::from_secs(1);
        let view = self.core.view.latest();
        let configured = view.map(|view| view.defaults().address_lifetime);
        let stop_timeout = self.core.stop_within();
        let bound = duration::Span(stop_timeout.0.saturating_sub(second.0) / MAX_LIFETIMES_KEPT);
        let lifetime = configured.unwrap_or(bound).min(bound);
        duration::Span((lifetime.0 / second.0).max(1) * second.0)
    }
}
