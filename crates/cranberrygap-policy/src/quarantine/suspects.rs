//! What runs on each endpoint, as one entry knows it.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};
use serde::Serialize;
use smol_str::SmolStr;

/// Time for which a fingerprint stays suspect here. Longer than callers keep on
/// sending a request again; short enough that a common harmless request, such
/// as a health check, is not held against for ever.
const SUSPICION: duration::Span = duration::Span::from_secs(600);

/// Suspects that are remembered; the oldest go first.
const MOST_SUSPECTS: usize = 4_096;

/// One life of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Incarnation {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Its boot.
    pub boot: number::Boot,
}

/// An endpoint died; the leader is to be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Which one.
    pub incarnation: Incarnation,
    /// Fingerprints of what ran there from this entry.
    pub fingerprints: Vec<SmolStr>,
    /// The suspect that ran there by the leader's leave.
    pub probed: Option<SmolStr>,
}

/// Why a request may not be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// This life of the endpoint is over.
    Dead,
    /// The request is suspect, and so is another one that runs there.
    OtherSuspect,
}

/// What runs where, and who is suspected.
#[derive(Debug, Default)]
pub struct Tracker {
    running: BTreeMap<Incarnation, BTreeMap<u64, SmolStr>>,
    dead: BTreeMap<Incarnation, duration::Instant>,
    leases: BTreeMap<Incarnation, (SmolStr, duration::Instant)>,
    suspects: BTreeMap<SmolStr, duration::Instant>,
    next: u64,
}

impl Tracker {
    /// Notes that a request runs from now on; the number is for [`Tracker::finish_request`].
    ///
    /// # Errors
    ///
    /// Why it must not be sent there.
    pub fn start_request(
        &mut self,
        now: duration::Instant,
        place: &Incarnation,
        fingerprint: &SmolStr,
    ) -> Result<u64, Denial> {
        if self.dead.contains_key(place) {
            return Err(Denial::Dead);
        }
        if self.is_suspect(now, fingerprint) && self.has_other_suspect(now, place, fingerprint) {
            return Err(Denial::OtherSuspect);
        }
        self.next += 1;
        self.running
            .entry(place.clone())
            .or_default()
            .insert(self.next, fingerprint.clone());
        Ok(self.next)
    }

    /// Notes that a request ended without harm to its endpoint; a suspect that
    /// was answered whole is innocent, since a culprit crashes every endpoint.
    ///
    /// True if it was suspected.
    pub fn finish_request(&mut self, place: &Incarnation, number: u64, answered: bool) -> bool {
        let Some(requests) = self.running.get_mut(place) else {
            return false;
        };
        let fingerprint = requests.remove(&number);
        if requests.is_empty() {
            self.running.remove(place);
        }
        match fingerprint {
            Some(fingerprint) if answered => self.suspects.remove(&fingerprint).is_some(),
            _ => false,
        }
    }

    /// Notes that the endpoint is dead: it refuses connections or came back with
    /// another boot. All that runs there becomes suspect.
    ///
    /// A broken connection alone is no evidence; something on the way may have
    /// cut it, and innocents would be suspected.
    pub fn record_death(&mut self, now: duration::Instant, place: &Incarnation) -> Option<Crash> {
        let requests = self.running.remove(place)?;
        self.dead.insert(place.clone(), now);
        let fingerprints: BTreeSet<SmolStr> = requests.into_values().collect();
        for fingerprint in &fingerprints {
            self.suspects.insert(fingerprint.clone(), now);
        }
        self.forget(now);
        let lease = self.leases.remove(place);
        let probed = lease
            .filter(|(_, until)| now < *until)
            .map(|(probed, _)| probed);
        Some(Crash {
            incarnation: place.clone(),
            probed,
            fingerprints: fingerprints.into_iter().collect(),
        })
    }

    /// Notes the boot with which an endpoint announces itself now; gives the
    /// crash of an earlier one.
    pub fn record_boot(&mut self, now: duration::Instant, place: &Incarnation) -> Vec<Crash> {
        let is_earlier =
            |other: &&Incarnation| other.endpoint == place.endpoint && other.boot != place.boot;
        let earlier: Vec<Incarnation> = self.running.keys().filter(is_earlier).cloned().collect();
        let crashes = earlier
            .iter()
            .filter_map(|place| self.record_death(now, place));
        crashes.collect()
    }

    /// Whether a request needs the leader's leave before it is sent again.
    #[must_use]
    pub fn is_suspect(&self, now: duration::Instant, fingerprint: &str) -> bool {
        let since = self.suspects.get(fingerprint);
        since.is_some_and(|since| now.since(*since) < SUSPICION)
    }

    /// Notes that the leader lets a suspect run there until then, and no other.
    pub fn hold_permission(
        &mut self,
        place: &Incarnation,
        fingerprint: &SmolStr,
        until: duration::Instant,
    ) {
        self.leases
            .insert(place.clone(), (fingerprint.clone(), until));
    }

    /// Notes that a suspect runs there no longer.
    pub fn release_permission(&mut self, place: &Incarnation, fingerprint: &str) {
        let held = self.leases.get(place);
        if held.is_some_and(|(holder, _)| holder == fingerprint) {
            self.leases.remove(place);
        }
    }

    /// Notes that another entry's crash made these suspect.
    pub fn add_suspects(&mut self, now: duration::Instant, fingerprints: &[SmolStr]) {
        for fingerprint in fingerprints {
            self.suspects.insert(fingerprint.clone(), now);
        }
        self.forget(now);
    }

    /// Whether this life of the endpoint is known to be over.
    #[must_use]
    pub fn is_dead(&self, place: &Incarnation) -> bool {
        self.dead.contains_key(place)
    }

    /// Number of suspects, for a dump.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    fn has_other_suspect(
        &self,
        now: duration::Instant,
        place: &Incarnation,
        fingerprint: &str,
    ) -> bool {
        let mut running = self.running.get(place).into_iter().flatten();
        running.any(|(_, other)| other != fingerprint && self.is_suspect(now, other))
    }

    fn forget(&mut self, now: duration::Instant) {
        self.suspects
            .retain(|_, since| now.since(*since) < SUSPICION);
        self.dead.retain(|_, since| now.since(*since) < SUSPICION);
        while self.suspects.len() > MOST_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, since)| **since);
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
