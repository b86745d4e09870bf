//! Second sends that this entry may make.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use parking_lot::Mutex;

/// Second sends earned by one request. Below the fifth that the fleet allows; each
/// entry earns only by its own requests, so the sum over all entries stays within
/// the fleet's share whatever the others do.
const EARNED: f64 = 0.17;

/// Second sends that may be saved up. All entries together save less than what the
/// fleet allows beyond the share.
const MOST_SAVED: f64 = 4.0;

/// What is left for each service.
#[derive(Debug, Default)]
pub(crate) struct Reserve {
    saved: Mutex<BTreeMap<id::Service, f64>>,
}

impl Reserve {
    /// A request for a service arrived.
    pub(crate) fn earn(&self, service: &id::Service) {
        let mut saved = self.saved.lock();
        if let Some(saved) = saved.get_mut(service) {
            *saved = (*saved + EARNED).min(MOST_SAVED);
            return;
        }
        saved.insert(service.clone(), 1.0);
    }

    /// Takes one second send, if there is one.
    pub(crate) fn spend(&self, service: &id::Service) -> bool {
        let mut saved = self.saved.lock();
        let Some(saved) = saved.get_mut(service).filter(|saved| **saved >= 1.0) else {
            return false;
        };
        *saved -= 1.0;
        true
    }
}
