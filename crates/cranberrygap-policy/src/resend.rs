//! Budget of resends at one entry, within a limit for all entries together.
//!
//! A resend is paid for by requests that this process sent before, and a process starts with
//! none. What all entries send again in some time is then at most what they had saved at its
//! begin and a share of the requests sent in it, whichever of them start, stop or stand still
//! meanwhile; what one entry saves is bounded.

mod entries;
pub mod scope;
pub mod tally;

use std::collections::BTreeMap;

use cranberrygap_model::duration;

/// Share of a resend that one request adds to the budget until the configuration is known.
///
/// Below the fifth that the fleet allows, since a resend may be sent up to two seconds after it
/// is taken from the budget. Equals the configuration's default.
const DEFAULT_SHARE: f64 = 0.17;

/// Most resends that all entries together may accumulate, beside one for each entry.
///
/// The users allow 54 beyond the share on fleets of seven or eight entries, and more on
/// larger ones.
const MAX_SAVED_FLEET: f64 = 32.0;

/// Resends that every entry may accumulate, so that a request can be resent at all.
const MIN_SAVED_CAP: f64 = 1.0;

/// Resends left for each scope.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    saved: BTreeMap<scope::Scope, f64>,
    entries: entries::Count,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            share: DEFAULT_SHARE,
            saved: BTreeMap::new(),
            entries: entries::Count::default(),
        }
    }
}

impl Budget {
    /// Sets the resends that one request adds, between 0 and 1.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Returns the resends that one request adds.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Adds the share of one request, at one of `entries` entries.
    pub fn earn(&mut self, now: duration::Instant, scope: &scope::Scope, entries: usize) {
        self.entries.record(now, entries);
        let max_saved = self.max_saved(now);
        if !self.saved.contains_key(scope) {
            self.saved.insert(scope.clone(), 0.0);
        }
        if let Some(saved) = self.saved.get_mut(scope) {
            *saved = (*saved + self.share).min(max_saved);
        }
    }

    /// Takes one resend from the budget; returns false if none is left.
    pub fn spend(&mut self, scope: &scope::Scope) -> bool {
        let saved = self.saved.get_mut(scope);
        let Some(saved) = saved.filter(|saved| **saved >= 1.0) else {
            return false;
        };
        *saved -= 1.0;
        true
    }

    /// Returns a resend that was taken and not sent. What is beyond the cap is lost.
    pub fn give_back(&mut self, now: duration::Instant, scope: &scope::Scope) {
        let max_saved = self.max_saved(now);
        if let Some(saved) = self.saved.get_mut(scope) {
            *saved = (*saved + 1.0).min(max_saved);
        }
    }

    /// Returns the resends left for a scope.
    #[must_use]
    pub fn saved(&self, scope: &scope::Scope) -> f64 {
        self.saved.get(scope).copied().unwrap_or_default()
    }

    /// Returns the most resends that this entry may accumulate for a scope.
    #[must_use]
    pub fn max_saved(&self, now: duration::Instant) -> f64 {
        // Without a cap that falls with the number of entries, a large fleet after a quiet
        // time could answer an outage with hundreds of resends at once.
        let Some(entries) = self.entries.most(now) else {
            return MIN_SAVED_CAP;
        };
        let fleet_part = MAX_SAVED_FLEET / entries.max(1) as f64;
        fleet_part.max(MIN_SAVED_CAP)
    }
}
