//! Requests that crash endpoints.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::{claim, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Suspects that are remembered; the oldest go first.
const MOST_SUSPECTS: usize = 4_096;

/// Suspects and what is refused for a time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantines {
    suspects: BTreeMap<SmolStr, Suspect>,
    refused: BTreeMap<SmolStr, u64>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Suspect {
    latest: u64,
    crashes: BTreeSet<(id::Endpoint, number::Boot)>,
}

/// An endpoint died while these requests ran on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What an entry reported.
    pub crash: claim::Crash,
}

impl Quarantines {
    /// Takes a report; a request that is now known to crash endpoints is
    /// refused for `term`.
    pub fn apply(&mut self, at: u64, term: duration::Span, step: &Step) -> Vec<view::Change> {
        let mut changes = self.release(at);
        let crash = &step.crash;
        for fingerprint in &crash.cleared {
            self.suspects.remove(fingerprint);
        }
        let place = (crash.endpoint.clone(), crash.boot);
        // Innocents share the endpoint with the culprit, and entries report apart
        // from each other. Only of the suspect that ran there by the leader's leave
        // is it certain that no other suspect did.
        let probed = crash.probed.clone();
        let culprit = probed.filter(|probed| self.is_suspect_elsewhere(probed, &place));
        for fingerprint in &crash.fingerprints {
            let suspect = self.suspects.entry(fingerprint.clone()).or_default();
            suspect.latest = at;
            suspect.crashes.insert(place.clone());
        }
        if let Some(culprit) = culprit {
            changes.push(self.condemn(&culprit, at + term.0 / 1_000));
        }
        self.forget_oldest();
        changes
    }

    fn is_suspect_elsewhere(
        &self,
        fingerprint: &SmolStr,
        place: &(id::Endpoint, number::Boot),
    ) -> bool {
        let suspect = self.suspects.get(fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes.iter().any(|other| other != place))
    }

    fn condemn(&mut self, fingerprint: &SmolStr, until: u64) -> view::Change {
        self.suspects.remove(fingerprint);
        self.refused.insert(fingerprint.clone(), until);
        view::Change::Quarantined {
            quarantine: view::Quarantine {
                fingerprint: fingerprint.clone(),
                until,
            },
        }
    }

    fn release(&mut self, at: u64) -> Vec<view::Change> {
        let over: Vec<SmolStr> = self
            .refused
            .iter()
            .filter(|(_, until)| **until <= at)
            .map(|(fingerprint, _)| fingerprint.clone())
            .collect();
        for fingerprint in &over {
            self.refused.remove(fingerprint);
        }
        let released = |fingerprint| view::Change::Released { fingerprint };
        over.into_iter().map(released).collect()
    }

    fn forget_oldest(&mut self) {
        while self.suspects.len() > MOST_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.latest);
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// What is refused, and until when.
    pub fn refused(&self) -> impl Iterator<Item = view::Quarantine> + '_ {
        self.refused
            .iter()
            .map(|(fingerprint, until)| view::Quarantine {
                fingerprint: fingerprint.clone(),
                until: *until,
            })
    }
}
