//! Budget of resends at one entry, within a limit for all entries together.

pub mod tally;

use std::collections::BTreeMap;

use cranberrygap_model::id;

/// Resends that one request adds to the budget.
///
/// Below the fifth that the fleet allows. Each entry earns only through its own requests, so
/// the sum over all entries stays within the fleet's share whatever the others do.
pub const RESENDS_PER_REQUEST: f64 = 0.17;

/// Most resends that all entries together may accumulate.
///
/// The users allow 54 beyond the share on fleets of seven or eight entries, and more on
/// larger ones.
const MAX_SAVED_FLEET: f64 = 32.0;

/// Resends that every entry may accumulate, so that a request can be resent at all.
const MIN_SAVED_CAP: f64 = 1.0;

/// Most resends that one entry may accumulate.
///
/// Keeps an entry with little traffic from sending a burst.
pub const MAX_SAVED_ENTRY: f64 = 4.0;

/// Resends left for each service.
#[derive(Debug, Default)]
pub struct Budget {
    saved: BTreeMap<id::Service, f64>,
}

impl Budget {
    /// Adds the share of one request for a service, at one of `entries` entries.
    pub fn earn(&mut self, service: &id::Service, entries: usize) {
        // Without a cap that falls with the number of entries, a large fleet after a quiet
        // time could answer an outage with hundreds of resends at once.
        let fleet_part = MAX_SAVED_FLEET / entries.max(1) as f64;
        let max_saved = fleet_part.clamp(MIN_SAVED_CAP, MAX_SAVED_ENTRY);
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + RESENDS_PER_REQUEST).min(max_saved);
            return;
        }
        self.saved.insert(service.clone(), MIN_SAVED_CAP);
    }

    /// Takes one resend from the budget; returns false if none is left.
    pub fn spend(&mut self, service: &id::Service) -> bool {
        let saved = self.saved.get_mut(service);
        let Some(saved) = saved.filter(|saved| **saved >= 1.0) else {
            return false;
        };
        *saved -= 1.0;
        true
    }

    /// Returns the resends left for a service.
    #[must_use]
    pub fn saved(&self, service: &id::Service) -> f64 {
        self.saved.get(service).copied().unwrap_or_default()
    }
}
