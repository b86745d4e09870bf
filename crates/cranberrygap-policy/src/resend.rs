//! Second sends that one entry may make, beside those of all others.

use std::collections::BTreeMap;

use cranberrygap_model::id;

/// Second sends earned by one request. Below the fifth that the fleet allows; each
/// entry earns only by its own requests, so the sum over all entries stays within
/// the fleet's share whatever the others do.
const EARNED: f64 = 0.17;

/// Second sends that all entries together may save up. The users allow 54 beyond the
/// share on fleets of seven or eight entries, and more on larger ones.
const MOST_SAVED: f64 = 32.0;

/// Second sends that any entry may save up: one, so that a request can be sent again
/// at all.
const LEAST_SAVED: f64 = 1.0;

/// Most that one entry may save up, so that a quiet one sends no burst of its own.
const MOST_SAVED_HERE: f64 = 4.0;

/// What is left for each service.
#[derive(Debug, Default)]
pub struct Budget {
    saved: BTreeMap<id::Service, f64>,
}

impl Budget {
    /// A request for a service arrived at one of `entries`.
    pub fn earn(&mut self, service: &id::Service, entries: usize) {
        // Without a bound that falls with the number of entries, a large fleet that has
        // been quiet could answer an outage by hundreds of second sends at once.
        let part = MOST_SAVED / entries.max(1) as f64;
        let most = part.clamp(LEAST_SAVED, MOST_SAVED_HERE);
        if let Some(saved) = self.saved.get_mut(service) {
            *saved = (*saved + EARNED).min(most);
            return;
        }
        self.saved.insert(service.clone(), LEAST_SAVED);
    }

    /// Takes one second send, if there is one.
    pub fn spend(&mut self, service: &id::Service) -> bool {
        let saved = self.saved.get_mut(service);
        let Some(saved) = saved.filter(|saved| **saved >= 1.0) else {
            return false;
        };
        *saved -= 1.0;
        true
    }
}
