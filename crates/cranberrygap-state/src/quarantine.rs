//! Quarantine of requests that crash endpoints.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::{claim, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most suspects that are remembered; the oldest are evicted first.
const MAX_SUSPECTS: usize = 4_096;

/// Suspected requests, and requests that are refused for a time, by fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantines {
    suspects: BTreeMap<SmolStr, Suspect>,
    /// Ends of quarantines, in Unix milliseconds.
    #[serde(rename = "refused")]
    active: BTreeMap<SmolStr, u64>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Suspect {
    /// Time of the latest crash report, in Unix milliseconds.
    #[serde(rename = "latest")]
    last_report: u64,
    crashes: BTreeSet<(id::Endpoint, number::Boot)>,
}

/// Report of an endpoint that died while these requests ran on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The entry's report.
    pub crash: claim::Crash,
}

impl Quarantines {
    /// Applies a crash report; quarantines a request that is now known to crash endpoints.
    ///
    /// The quarantine lasts for `span`.
    pub fn apply(&mut self, at: u64, span: duration::Span, step: &Step) -> Vec<view::Change> {
        let mut changes = self.release_expired(at);
        let crash = &step.crash;
        for fingerprint in &crash.cleared {
            self.suspects.remove(fingerprint);
        }
        let process = (crash.endpoint.clone(), crash.boot);
        // Innocent requests run on the same endpoint as the culprit, and entries report
        // independently of each other. Only a suspect that ran there with the leader's
        // permission is certain to have been the only suspect there.
        let probed = crash.probed.clone();
        let culprit = probed.filter(|probed| self.is_suspect_elsewhere(probed, &process));
        for fingerprint in &crash.fingerprints {
            let suspect = self.suspects.entry(fingerprint.clone()).or_default();
            suspect.last_report = at;
            suspect.crashes.insert(process.clone());
        }
        if let Some(culprit) = culprit {
            changes.push(self.quarantine(&culprit, at + span.0 / 1_000));
        }
        self.evict_oldest_suspects();
        changes
    }

    fn is_suspect_elsewhere(
        &self,
        fingerprint: &SmolStr,
        process: &(id::Endpoint, number::Boot),
    ) -> bool {
        let suspect = self.suspects.get(fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes.iter().any(|other| other != process))
    }

    fn quarantine(&mut self, fingerprint: &SmolStr, until: u64) -> view::Change {
        self.suspects.remove(fingerprint);
        self.active.insert(fingerprint.clone(), until);
        view::Change::Quarantined {
            quarantine: view::Quarantine {
                fingerprint: fingerprint.clone(),
                until,
            },
        }
    }

    fn release_expired(&mut self, at: u64) -> Vec<view::Change> {
        let expired: Vec<SmolStr> = self
            .active
            .iter()
            .filter(|(_, until)| **until <= at)
            .map(|(fingerprint, _)| fingerprint.clone())
            .collect();
        for fingerprint in &expired {
            self.active.remove(fingerprint);
        }
        let released = |fingerprint| view::Change::Released { fingerprint };
        expired.into_iter().map(released).collect()
    }

    fn evict_oldest_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.last_report);
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// Returns the quarantined requests, and until when they are refused.
    pub fn active(&self) -> impl Iterator<Item = view::Quarantine> + '_ {
        self.active
            .iter()
            .map(|(fingerprint, until)| view::Quarantine {
                fingerprint: fingerprint.clone(),
                until: *until,
            })
    }
}
