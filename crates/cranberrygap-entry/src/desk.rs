//! What an entry tells to other listeners of the same process.

use std::sync::Arc;

use cranberrygap_model::{address, duration, id};
use rand::seq::SliceRandom as _;

use crate::core;

/// Entries of a caller's own failure domain that make it enough to name only those.
/// With one alone, its callers would have nobody when it fails.
const ENOUGH: usize = 2;

/// Parts of the entry for other forms of the address answer and readiness checks.
#[derive(Debug, Clone)]
pub struct Desk {
    core: Arc<core::Core>,
}

impl Desk {
    pub(crate) const fn new(core: Arc<core::Core>) -> Self {
        Self { core }
    }

    /// Whether callers may come: there is a plan, a lease on it and no planned stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let view = self.core.view.current(self.core.now());
        let planned = view.is_some_and(|view| view.traffic().is_some());
        planned && !self.core.is_draining()
    }

    /// Where callers in `domain` should connect; empty when this entry does not know.
    ///
    /// Entries in the caller's own failure domain, if there are enough of them, else
    /// all: what crosses domains is slower, and paid for.
    #[must_use]
    pub fn addresses(&self, domain: Option<&id::Domain>) -> Vec<address::Socket> {
        let Ok(view) = self.core.serving_view() else {
            return Vec::new();
        };
        let near = view
            .active_entries()
            .filter(|member| Some(&member.domain) == domain);
        let mut addresses: Vec<address::Socket> = near.map(|member| member.address).collect();
        if addresses.len() < ENOUGH {
            let all = view.active_entries();
            addresses = all.map(|member| member.address).collect();
        }
        if addresses.is_empty() && !self.core.is_draining() {
            // The fleet has just started; this entry serves, as its lease shows.
            addresses.push(self.core.advertised_address());
        }
        addresses.shuffle(&mut rand::rng());
        addresses
    }

    /// Time for which callers may keep an answer.
    ///
    /// Some keep it three times as long, and a stopping entry must serve on until
    /// they are gone.
    #[must_use]
    pub fn lifetime(&self) -> duration::Span {
        const KEPT_TIMES: u64 = 3;
        let second = duration::Span::from_secs(1);
        let view = self.core.view.latest();
        let wanted = view.map(|view| view.defaults().address_lifetime);
        let stop = self.core.stop_within();
        let bound = duration::Span(stop.0.saturating_sub(second.0) / KEPT_TIMES);
        let lifetime = wanted.unwrap_or(bound).min(bound);
        duration::Span((lifetime.0 / second.0).max(1) * second.0)
    }
}
