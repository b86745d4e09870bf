//! Requests that run on each endpoint, and suspects of crashes, as one entry sees them.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};
use serde::Serialize;
use smol_str::SmolStr;

/// Time for which a fingerprint stays suspect.
///
/// Longer than callers keep resending a request, and short enough that a common harmless
/// request, such as a health check, does not stay suspect forever.
const SUSPICION_DURATION: duration::Span = duration::Span::from_secs(600);

/// Most suspects that are kept; the oldest are dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// One boot of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Incarnation {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Boot of the endpoint.
    pub boot: number::Boot,
}

/// Death of an endpoint, to be reported to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Endpoint and boot that died.
    pub incarnation: Incarnation,
    /// Fingerprints of the requests of this entry that ran there.
    pub fingerprints: Vec<SmolStr>,
    /// The suspect that ran there with the leader's permission.
    pub probed: Option<SmolStr>,
}

/// Reason why a request may not be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// This boot of the endpoint is dead.
    Dead,
    /// The request is suspect, and so is another request that runs there.
    OtherSuspect,
}

/// Tracks running requests, dead endpoints and suspects.
#[derive(Debug, Default)]
pub struct Tracker {
    running: BTreeMap<Incarnation, BTreeMap<u64, SmolStr>>,
    dead: BTreeMap<Incarnation, duration::Instant>,
    permissions: BTreeMap<Incarnation, (SmolStr, duration::Instant)>,
    suspects: BTreeMap<SmolStr, duration::Instant>,
    last_number: u64,
}

impl Tracker {
    /// Records that a request starts; the returned number is for [`Tracker::finish_request`].
    ///
    /// # Errors
    ///
    /// [`Denial`] when the request must not be sent to this endpoint.
    pub fn start_request(
        &mut self,
        now: duration::Instant,
        incarnation: &Incarnation,
        fingerprint: &SmolStr,
    ) -> Result<u64, Denial> {
        if self.dead.contains_key(incarnation) {
            return Err(Denial::Dead);
        }
        if self.is_suspect(now, fingerprint)
            && self.has_other_suspect(now, incarnation, fingerprint)
        {
            return Err(Denial::OtherSuspect);
        }
        self.last_number += 1;
        self.running
            .entry(incarnation.clone())
            .or_default()
            .insert(self.last_number, fingerprint.clone());
        Ok(self.last_number)
    }

    /// Records that a request ended without a crash; returns true if it was suspect.
    ///
    /// A suspect with a complete answer is innocent, since a culprit crashes every endpoint.
    pub fn finish_request(
        &mut self,
        incarnation: &Incarnation,
        number: u64,
        answered: bool,
    ) -> bool {
        let Some(requests) = self.running.get_mut(incarnation) else {
            return false;
        };
        let fingerprint = requests.remove(&number);
        if requests.is_empty() {
            self.running.remove(incarnation);
        }
        match fingerprint {
            Some(fingerprint) if answered => self.suspects.remove(&fingerprint).is_some(),
            _ => false,
        }
    }

    /// Records that an endpoint is dead and makes every request that runs on it suspect.
    ///
    /// An endpoint is dead when it refuses connections or has returned with another boot. A
    /// broken connection alone is no evidence: anything on the network path may have cut it,
    /// and innocent requests would become suspect.
    pub fn record_death(
        &mut self,
        now: duration::Instant,
        incarnation: &Incarnation,
    ) -> Option<Crash> {
        let requests = self.running.remove(incarnation)?;
        self.dead.insert(incarnation.clone(), now);
        let fingerprints: BTreeSet<SmolStr> = requests.into_values().collect();
        for fingerprint in &fingerprints {
            self.suspects.insert(fingerprint.clone(), now);
        }
        self.drop_expired(now);
        let permission = self.permissions.remove(incarnation);
        let probed = permission
            .filter(|(_, until)| now < *until)
            .map(|(probed, _)| probed);
        Some(Crash {
            incarnation: incarnation.clone(),
            probed,
            fingerprints: fingerprints.into_iter().collect(),
        })
    }

    /// Records the boot that an endpoint announces; returns the crashes of its earlier boots.
    pub fn record_boot(&mut self, now: duration::Instant, incarnation: &Incarnation) -> Vec<Crash> {
        let is_earlier = |other: &&Incarnation| {
            other.endpoint == incarnation.endpoint && other.boot != incarnation.boot
        };
        let earlier: Vec<Incarnation> = self.running.keys().filter(is_earlier).cloned().collect();
        let crashes = earlier
            .iter()
            .filter_map(|incarnation| self.record_death(now, incarnation));
        crashes.collect()
    }

    /// Returns whether a request needs the leader's permission before it is sent again.
    #[must_use]
    pub fn is_suspect(&self, now: duration::Instant, fingerprint: &str) -> bool {
        let since = self.suspects.get(fingerprint);
        since.is_some_and(|since| now.since(*since) < SUSPICION_DURATION)
    }

    /// Records the leader's permission for one suspect to run on an endpoint until `until`.
    pub fn hold_permission(
        &mut self,
        incarnation: &Incarnation,
        fingerprint: &SmolStr,
        until: duration::Instant,
    ) {
        self.permissions
            .insert(incarnation.clone(), (fingerprint.clone(), until));
    }

    /// Records that a suspect no longer runs on an endpoint.
    pub fn release_permission(&mut self, incarnation: &Incarnation, fingerprint: &str) {
        let held = self.permissions.get(incarnation);
        if held.is_some_and(|(holder, _)| holder == fingerprint) {
            self.permissions.remove(incarnation);
        }
    }

    /// Adds the suspects of a crash that another entry reported.
    pub fn add_suspects(&mut self, now: duration::Instant, fingerprints: &[SmolStr]) {
        for fingerprint in fingerprints {
            self.suspects.insert(fingerprint.clone(), now);
        }
        self.drop_expired(now);
    }

    /// Returns whether this boot of the endpoint is known to be dead.
    #[must_use]
    pub fn is_dead(&self, incarnation: &Incarnation) -> bool {
        self.dead.contains_key(incarnation)
    }

    /// Returns the number of suspects, for a dump.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    fn has_other_suspect(
        &self,
        now: duration::Instant,
        incarnation: &Incarnation,
        fingerprint: &str,
    ) -> bool {
        let mut running = self.running.get(incarnation).into_iter().flatten();
        running.any(|(_, other)| other != fingerprint && self.is_suspect(now, other))
    }

    fn drop_expired(&mut self, now: duration::Instant) {
        self.suspects
            .retain(|_, since| now.since(*since) < SUSPICION_DURATION);
        self.dead
            .retain(|_, since| now.since(*since) < SUSPICION_DURATION);
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, since)| **since);
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
