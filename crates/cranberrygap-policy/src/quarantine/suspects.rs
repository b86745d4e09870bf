//! Requests that run on each endpoint, and what their ends tell, as one entry sees them.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number, subject};
use serde::Serialize;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::completions;

/// Time for which a fingerprint stays suspect after its last crash.
///
/// Longer than callers keep resending a request, and short enough that a harmless request does
/// not stay suspect forever.
const SUSPICION_DURATION: duration::Span = duration::Span::from_secs(600);

/// Crashes under a part of prompts after which requests with it run only alone. Many requests hold
/// one part, so a wave of ordinary crashes hits it more often than each of them.
const PART_ISOLATION_CRASHES: usize = 3;

/// Time for which a completion keeps a part from being suspected. Common parts are completed all
/// the time, and a culprit never is.
const PART_CLEARANCE: duration::Span = duration::Span::from_secs(2);

/// Time for which a request whose connection broke is kept. A new boot of its endpoint may be
/// announced some seconds after the crash.
const BREAK_RETENTION: duration::Span = duration::Span::from_secs(15);

/// Most suspects that are kept; the oldest are dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// What is suspected if the endpoint of a request dies: the request itself and shared parts of its
/// prompt, in order.
pub type Subjects = SmallVec<[SmolStr; 4]>;

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
    /// Subjects of the requests of this entry that ran there.
    pub fingerprints: Vec<SmolStr>,
    /// The suspect that ran there with the leader's permission.
    pub probed: Option<SmolStr>,
}

/// When a request runs only alone, with the leader's permission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// After the first crash under it. A second one identifies the culprit, and innocent requests
    /// wait for an endpoint of their own.
    AfterFirstCrash,
    /// After the second crash under it. A wave of ordinary crashes then holds up hardly any
    /// request, and a third crash identifies the culprit.
    AfterSecondCrash,
}

/// Reason why a request may not be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// This boot of the endpoint is dead.
    Dead,
    /// The request runs only alone, and so does another request that runs there.
    OtherSuspect,
}

/// How a request at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With a complete response.
    Complete,
    /// With a response that ended with its connection. It looks the same if the endpoint died.
    Unconfirmed,
    /// Without a complete response, while its connection held.
    Incomplete,
    /// Its connection broke; the endpoint may have crashed.
    Broken,
}

/// Tracks running requests, dead endpoints and suspects.
#[derive(Debug, Default)]
pub struct Tracker {
    running: BTreeMap<Incarnation, BTreeMap<u64, Run>>,
    dead: BTreeMap<Incarnation, duration::Instant>,
    permissions: BTreeMap<Incarnation, (SmolStr, duration::Instant)>,
    suspects: BTreeMap<SmolStr, Suspicion>,
    completions: completions::Memory,
    last_number: u64,
}

/// A request that was sent to an endpoint.
#[derive(Debug)]
struct Run {
    subjects: Subjects,
    broken_at: Option<duration::Instant>,
    /// When its response ended with its connection.
    unconfirmed_since: Option<duration::Instant>,
}

/// Crashes under a fingerprint that this entry has seen.
#[derive(Debug)]
struct Suspicion {
    last_crash: duration::Instant,
    crashes: BTreeSet<Incarnation>,
}

impl Isolation {
    /// Crashes after which a subject runs only alone.
    fn crashes(self, subject: &str) -> usize {
        if subject::is_part(subject) {
            return PART_ISOLATION_CRASHES;
        }
        match self {
            Self::AfterFirstCrash => 1,
            Self::AfterSecondCrash => 2,
        }
    }
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
        subjects: &[SmolStr],
        isolation: Isolation,
    ) -> Result<u64, Denial> {
        if self.dead.contains_key(incarnation) {
            return Err(Denial::Dead);
        }
        let mut suspects = subjects.iter();
        if suspects.any(|subject| self.needs_permission(now, subject, isolation))
            && self.has_other_suspect(now, incarnation, subjects, isolation)
        {
            return Err(Denial::OtherSuspect);
        }
        self.last_number += 1;
        let run = Run {
            subjects: subjects.iter().cloned().collect(),
            broken_at: None,
            unconfirmed_since: None,
        };
        self.running
            .entry(incarnation.clone())
            .or_default()
            .insert(self.last_number, run);
        Ok(self.last_number)
    }

    /// Records how a request ended; returns the suspects among its subjects, which are cleared.
    ///
    /// A suspect with a complete response is innocent, since a culprit crashes every endpoint. A
    /// response whose end is unconfirmed waits for [`Tracker::confirm`] or the endpoint's death.
    pub fn finish_request(
        &mut self,
        now: duration::Instant,
        incarnation: &Incarnation,
        number: u64,
        ending: Ending,
    ) -> Subjects {
        let Some(requests) = self.running.get_mut(incarnation) else {
            return Subjects::new();
        };
        match ending {
            Ending::Broken | Ending::Unconfirmed => {
                if let Some(run) = requests.get_mut(&number) {
                    let is_broken = ending == Ending::Broken;
                    run.broken_at = is_broken.then_some(now);
                    run.unconfirmed_since = (!is_broken).then_some(now);
                }
                Subjects::new()
            }
            Ending::Complete | Ending::Incomplete => {
                let run = requests.remove(&number);
                if requests.is_empty() {
                    self.running.remove(incarnation);
                }
                let complete = run.filter(|_| ending == Ending::Complete);
                complete.map_or_else(Subjects::new, |run| {
                    self.record_completion(now, incarnation, run.subjects)
                })
            }
        }
    }

    /// Records that an endpoint was alive after `since`; returns the suspects that are cleared.
    ///
    /// Responses that ended with their connections before were complete.
    pub fn confirm(
        &mut self,
        now: duration::Instant,
        incarnation: &Incarnation,
        since: duration::Instant,
    ) -> Subjects {
        let Some(requests) = self.running.get_mut(incarnation) else {
            return Subjects::new();
        };
        let ended = requests.extract_if(.., |_, run| {
            run.unconfirmed_since.is_some_and(|ended| ended <= since)
        });
        let confirmed: Vec<Subjects> = ended.map(|(_, run)| run.subjects).collect();
        if requests.is_empty() {
            self.running.remove(incarnation);
        }
        let confirmed = confirmed.into_iter();
        confirmed
            .flat_map(|subjects| self.record_completion(now, incarnation, subjects))
            .collect()
    }

    /// Whether the end of a response is unconfirmed still.
    #[must_use]
    pub fn is_unconfirmed(&self, incarnation: &Incarnation, number: u64) -> bool {
        let run = self
            .running
            .get(incarnation)
            .and_then(|runs| runs.get(&number));
        run.is_some_and(|run| run.unconfirmed_since.is_some())
    }

    /// Records that the subjects were completed; returns the suspects among them.
    fn record_completion(
        &mut self,
        now: duration::Instant,
        incarnation: &Incarnation,
        subjects: Subjects,
    ) -> Subjects {
        let mut cleared = Subjects::new();
        for subject in subjects {
            if self.suspects.remove(&subject).is_some() {
                cleared.push(subject.clone());
            }
            let place = incarnation.clone();
            self.completions.record(now, subject, place);
        }
        cleared
    }

    /// Records that an endpoint is dead and makes every request that ran on it suspect.
    ///
    /// An endpoint is dead when it refuses connections or has returned with another boot. A
    /// broken connection alone is no evidence: anything on the network path may have cut it,
    /// and innocent requests would become suspect. A request that was completed elsewhere since
    /// it was last suspected is not suspected either, nor is a part that was completed lately.
    pub fn record_death(
        &mut self,
        now: duration::Instant,
        incarnation: &Incarnation,
    ) -> Option<Crash> {
        self.drop_expired(now);
        let requests = self.running.remove(incarnation)?;
        self.dead.insert(incarnation.clone(), now);
        let subjects = requests.into_values().flat_map(|run| run.subjects);
        let subjects: BTreeSet<SmolStr> = subjects.collect();
        let mut accused = Vec::new();
        for fingerprint in subjects {
            let is_cleared = if subject::is_part(&fingerprint) {
                self.completions
                    .is_recent(now, &fingerprint, PART_CLEARANCE)
            } else {
                self.completions.take(now, &fingerprint).is_some()
            };
            if is_cleared {
                continue;
            }
            let suspicion = self.suspects.entry(fingerprint.clone());
            let suspicion = suspicion.or_insert_with(|| Suspicion {
                last_crash: now,
                crashes: BTreeSet::new(),
            });
            suspicion.last_crash = now;
            suspicion.crashes.insert(incarnation.clone());
            accused.push(fingerprint);
        }
        self.evict_oldest_suspects();
        let permission = self.permissions.remove(incarnation);
        let probed = permission
            .filter(|(_, until)| now < *until)
            .map(|(probed, _)| probed);
        Some(Crash {
            incarnation: incarnation.clone(),
            probed: probed.filter(|probed| accused.contains(probed)),
            fingerprints: accused,
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

    /// Returns whether this entry has seen so many crashes under a subject that it needs the
    /// leader's permission, whether or not the leader knows of them yet.
    #[must_use]
    pub fn needs_permission(
        &self,
        now: duration::Instant,
        fingerprint: &str,
        isolation: Isolation,
    ) -> bool {
        let suspicion = self.suspects.get(fingerprint);
        suspicion.is_some_and(|suspicion| {
            suspicion.crashes.len() >= isolation.crashes(fingerprint)
                && now.since(suspicion.last_crash) < SUSPICION_DURATION
        })
    }

    /// Returns where a request was completed, and forgets it.
    ///
    /// A completion speaks for a request once. A request that crashes endpoints only since a
    /// new version of its model is then stopped all the same.
    pub fn take_completion(
        &mut self,
        now: duration::Instant,
        fingerprint: &str,
    ) -> Option<Incarnation> {
        let completed_at = self.completions.take(now, fingerprint)?;
        self.suspects.remove(fingerprint);
        Some(completed_at)
    }

    /// Forgets the crashes under a request whose restriction ended.
    pub fn clear_suspicion(&mut self, fingerprint: &str) {
        self.suspects.remove(fingerprint);
    }

    /// Returns the endpoints with requests that run or whose connection broke.
    pub fn busy_endpoints(&self) -> impl Iterator<Item = &id::Endpoint> {
        let incarnations = self.running.keys();
        incarnations.map(|incarnation| &incarnation.endpoint)
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

    /// Whether another request runs there that is suspect by a subject beside `subjects`.
    fn has_other_suspect(
        &self,
        now: duration::Instant,
        incarnation: &Incarnation,
        subjects: &[SmolStr],
        isolation: Isolation,
    ) -> bool {
        let runs = self.running.get(incarnation).into_iter().flatten();
        let mut others = runs.flat_map(|(_, run)| &run.subjects);
        others
            .any(|other| !subjects.contains(other) && self.needs_permission(now, other, isolation))
    }

    fn drop_expired(&mut self, now: duration::Instant) {
        self.suspects
            .retain(|_, suspicion| now.since(suspicion.last_crash) < SUSPICION_DURATION);
        self.dead
            .retain(|_, since| now.since(*since) < SUSPICION_DURATION);
        self.running.retain(|_, requests| {
            requests.retain(|_, run| {
                let ended_at = run.broken_at.or(run.unconfirmed_since);
                ended_at.is_none_or(|ended_at| now.since(ended_at) < BREAK_RETENTION)
            });
            !requests.is_empty()
        });
    }

    fn evict_oldest_suspects(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspicion)| (suspicion.crashes.len(), suspicion.last_crash));
            let Some(oldest) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
