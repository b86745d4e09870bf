//! Quarantine of requests that crash endpoints.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number, subject};
use cranberrygap_wire::{claim, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most suspects that are remembered; those with the fewest crashes are evicted first.
const MAX_SUSPECTS: usize = 4_096;

/// Crashed endpoints after which a request runs only alone, with the leader's permission.
///
/// A wave of ordinary crashes hits hundreds of requests once and hardly any twice.
const PROBATION_CRASHES: usize = 2;

/// The same for a part of prompts.
const PART_PROBATION_CRASHES: usize = 3;

/// Doublings of the time for which a part is refused, at most.
const MAX_DOUBLINGS: u32 = 6;

/// Most requests on probation; those whose probation ends first are released first.
const MAX_PROBATIONS: usize = 1_024;

/// Suspected requests and parts of prompts, and those that are restricted or refused for a time, by
/// subject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantines {
    suspects: BTreeMap<SmolStr, Suspect>,
    /// Ends of quarantines, in Unix milliseconds.
    #[serde(rename = "refused")]
    active: BTreeMap<SmolStr, u64>,
    /// Ends of probations, in Unix milliseconds.
    #[serde(default)]
    probations: BTreeMap<SmolStr, u64>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Suspect {
    /// Time of the latest crash report, in Unix milliseconds.
    #[serde(rename = "latest")]
    last_report: u64,
    crashes: BTreeSet<(id::Endpoint, number::Boot)>,
    /// Times that it was quarantined.
    #[serde(default)]
    verdicts: u32,
}

/// Report of an endpoint that died while these requests ran on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The entry's report.
    pub crash: claim::Crash,
}

impl Quarantines {
    /// Applies a crash report.
    ///
    /// A subject under which several endpoints crashed comes on probation, and one that crashed
    /// an endpoint alone is quarantined. Both last for `span`. A death under a quarantined part
    /// is explained and accuses nothing else.
    pub fn apply(&mut self, at: u64, span: duration::Span, step: &Step) -> Vec<view::Change> {
        let until = at + span.0 / 1_000;
        let mut changes = self.release_expired(at, span);
        let crash = &step.crash;
        for fingerprint in &crash.cleared {
            changes.extend(self.release(fingerprint));
        }
        let process = (crash.endpoint.clone(), crash.boot);
        if let Some(explaining) = self.explaining_part(crash, &process) {
            self.accuse(at, &explaining, &process);
            return changes;
        }
        let accused = crash.fingerprints.iter();
        let accused = accused.filter(|fingerprint| !self.active.contains_key(*fingerprint));
        let accused: Vec<SmolStr> = accused.cloned().collect();
        for fingerprint in &accused {
            self.accuse(at, fingerprint, &process);
        }
        // Innocent requests run on the same endpoint as the culprit, and entries report
        // independently of each other. Only a suspect that ran there with the leader's
        // permission is certain to have been the only suspect there.
        let probed = crash.probed.as_ref();
        let culprit = probed.and_then(|probed| self.find_culprit(probed, &accused));
        for fingerprint in &accused {
            if culprit.as_ref() != Some(fingerprint) && self.needs_probation(fingerprint) {
                changes.extend(self.put_on_probation(fingerprint, until));
            }
        }
        if let Some(culprit) = culprit {
            changes.push(self.quarantine(at, span, &culprit));
            if subject::is_part(&culprit) {
                changes.extend(self.release_explained(&culprit));
            }
        }
        self.evict_oldest_suspects();
        changes
    }

    fn accuse(&mut self, at: u64, subject: &SmolStr, process: &(id::Endpoint, number::Boot)) {
        let suspect = self.suspects.entry(subject.clone()).or_default();
        suspect.last_report = at;
        suspect.crashes.insert(process.clone());
    }

    /// The quarantined part under which a process died.
    fn explaining_part(
        &self,
        crash: &claim::Crash,
        process: &(id::Endpoint, number::Boot),
    ) -> Option<SmolStr> {
        let mut parts = self
            .active
            .keys()
            .filter(|subject| subject::is_part(subject));
        let explains = |part: &&SmolStr| {
            let suspect = self.suspects.get(*part);
            let is_known = suspect.is_some_and(|suspect| suspect.crashes.contains(process));
            is_known || crash.fingerprints.contains(*part)
        };
        parts.find(explains).cloned()
    }

    /// The culprit of a crash, of which the suspect `probed` was the only one there.
    ///
    /// The request has several subjects, and the one with the most crashes explains them best. Of
    /// those with as many, the request itself is taken before a part of it, which sound requests
    /// may hold; the part then stays on probation.
    fn find_culprit(&self, probed: &SmolStr, accused: &[SmolStr]) -> Option<SmolStr> {
        let count = |subject: &SmolStr| {
            let suspect = self.suspects.get(subject);
            suspect.map_or(0, |suspect| suspect.crashes.len())
        };
        let is_suspect = |subject: &&SmolStr| {
            let may_stand_with = subject::is_part(probed) || subject::is_part(subject);
            *subject == probed || (may_stand_with && self.probations.contains_key(*subject))
        };
        let suspects = accused.iter().filter(is_suspect);
        let culprit = suspects.max_by_key(|subject| {
            (
                count(subject),
                !subject::is_part(subject),
                *subject == probed,
            )
        })?;
        (count(culprit) >= probation_crashes(culprit)).then(|| culprit.clone())
    }

    fn needs_probation(&self, subject: &str) -> bool {
        let suspect = self.suspects.get(subject);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= probation_crashes(subject))
    }

    /// Takes the crashes under a quarantined part off all other subjects, and releases those that
    /// nothing else accuses.
    fn release_explained(&mut self, part: &SmolStr) -> Vec<view::Change> {
        let explained = self.suspects.get(part);
        let explained = explained
            .map(|part| part.crashes.clone())
            .unwrap_or_default();
        let mut cleared = Vec::new();
        for (other, suspect) in &mut self.suspects {
            if other == part {
                continue;
            }
            let before = suspect.crashes.len();
            suspect.crashes.retain(|crash| !explained.contains(crash));
            if suspect.crashes.len() < before && suspect.crashes.len() < PROBATION_CRASHES {
                cleared.push(other.clone());
            }
        }
        let released = cleared.iter().filter_map(|subject| self.release(subject));
        released.collect()
    }

    /// Forgets all that is known of a request; `None` if it was not restricted.
    ///
    /// A request with a complete response crashes no endpoint, and an operator may know better.
    pub fn release(&mut self, fingerprint: &SmolStr) -> Option<view::Change> {
        self.suspects.remove(fingerprint);
        let was_refused = self.active.remove(fingerprint).is_some();
        let was_on_probation = self.probations.remove(fingerprint).is_some();
        (was_refused || was_on_probation).then(|| view::Change::Released {
            fingerprint: fingerprint.clone(),
        })
    }

    /// The restricted request whose fingerprint begins like this.
    ///
    /// # Errors
    ///
    /// A sentence for the operator if there is none or more than one.
    pub fn find(&self, beginning: &str) -> Result<SmolStr, SmolStr> {
        let restricted = self.active.keys().chain(self.probations.keys());
        let mut found = restricted.filter(|fingerprint| fingerprint.starts_with(beginning));
        match (found.next(), found.next()) {
            (Some(only), None) => Ok(only.clone()),
            (Some(_), Some(_)) => Err(format!(
                "several restricted requests begin with {beginning}; name more of the fingerprint"
            )
            .into()),
            (None, _) => Err(format!(
                "no restricted request begins with {beginning}; show quarantines lists them"
            )
            .into()),
        }
    }

    fn put_on_probation(&mut self, fingerprint: &SmolStr, until: u64) -> Vec<view::Change> {
        if self.probations.insert(fingerprint.clone(), until).is_some() {
            return Vec::new();
        }
        let mut changes = vec![view::Change::Quarantined {
            quarantine: probation(fingerprint, until),
        }];
        if self.probations.len() > MAX_PROBATIONS {
            let first = self.probations.iter().min_by_key(|(_, until)| **until);
            let first = first.map(|(fingerprint, _)| fingerprint.clone());
            changes.extend(first.and_then(|first| self.release(&first)));
        }
        changes
    }

    /// Quarantines a subject for `span`. A part that was quarantined before has crashed another
    /// endpoint at its trial, and is refused for twice as long each time.
    fn quarantine(&mut self, at: u64, span: duration::Span, fingerprint: &SmolStr) -> view::Change {
        let suspect = self.suspects.entry(fingerprint.clone()).or_default();
        let doublings = suspect.verdicts.min(MAX_DOUBLINGS);
        suspect.verdicts += 1;
        let until = at + ((span.0 / 1_000) << doublings);
        self.probations.remove(fingerprint);
        self.active.insert(fingerprint.clone(), until);
        view::Change::Quarantined {
            quarantine: quarantine(fingerprint, until),
        }
    }

    /// Ends what is over. A part comes on probation first, so that its trial costs one endpoint at
    /// most.
    fn release_expired(&mut self, at: u64, span: duration::Span) -> Vec<view::Change> {
        let mut changes = Vec::new();
        let is_over =
            |(subject, until): &(&SmolStr, &u64)| subject::is_part(subject) && **until <= at;
        let tried: Vec<SmolStr> = self
            .active
            .iter()
            .filter(is_over)
            .map(|(part, _)| part.clone())
            .collect();
        for part in tried {
            self.active.remove(&part);
            changes.extend(self.put_on_probation(&part, at + span.0 / 1_000));
        }
        let (active, probations) = (&self.active, &self.probations);
        self.suspects.retain(|subject, suspect| {
            let is_restricted = active.contains_key(subject) || probations.contains_key(subject);
            is_restricted || at < suspect.last_report + span.0 / 1_000
        });
        let ends = self.active.iter().chain(&self.probations);
        let expired = ends.filter(|(_, until)| **until <= at);
        let expired: Vec<SmolStr> = expired
            .map(|(fingerprint, _)| fingerprint.clone())
            .collect();
        let released = expired.iter();
        changes.extend(released.filter_map(|fingerprint| self.release(fingerprint)));
        changes
    }

    fn evict_oldest_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let candidates = self.suspects.iter();
            let is_restricted = |subject: &SmolStr| {
                self.active.contains_key(subject) || self.probations.contains_key(subject)
            };
            let oldest = candidates
                .filter(|(subject, _)| !is_restricted(subject))
                .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last_report));
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// Returns the quarantined requests, and until when they are refused.
    pub fn active(&self) -> impl Iterator<Item = view::Quarantine> + '_ {
        let active = self.active.iter();
        active.map(|(fingerprint, until)| quarantine(fingerprint, *until))
    }

    /// Returns the requests that run only alone, and until when.
    pub fn on_probation(&self) -> impl Iterator<Item = view::Quarantine> + '_ {
        let probations = self.probations.iter();
        probations.map(|(fingerprint, until)| probation(fingerprint, *until))
    }
}

/// Crashed endpoints after which a subject runs only alone.
fn probation_crashes(subject: &str) -> usize {
    if subject::is_part(subject) {
        PART_PROBATION_CRASHES
    } else {
        PROBATION_CRASHES
    }
}

fn quarantine(fingerprint: &SmolStr, until: u64) -> view::Quarantine {
    view::Quarantine {
        fingerprint: fingerprint.clone(),
        until,
        probation: None,
    }
}

fn probation(fingerprint: &SmolStr, until: u64) -> view::Quarantine {
    view::Quarantine {
        probation: Some(true),
        ..quarantine(fingerprint, until)
    }
}
