//! Which control process an entry follows.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// Time for which a control process that did not serve is not preferred.
const AVOIDANCE_TIME: duration::Span = duration::Span::from_secs(3);

/// A control process that may serve the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the control process.
    pub instance: id::Instance,
    /// Whether it is in the entry's failure domain.
    pub is_near: bool,
    /// Whether it leads. The leader serves only those that find no other process.
    pub leads: bool,
}

/// Preference for control processes in the entry's own failure domain.
///
/// Each change of the view is sent to every entry. Sent from another failure domain, it crosses
/// the boundary once for each entry rather than once for the domain.
#[derive(Debug, Clone)]
pub struct Preference {
    /// Number of this entry, by which entries without a near process spread over the others.
    seed: u64,
    failed_at: BTreeMap<id::Instance, duration::Instant>,
}

impl Preference {
    /// Creates the preference of an entry that knows of no failure.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            failed_at: BTreeMap::new(),
        }
    }

    /// Records that a control process did not serve the view, or no longer does.
    pub fn record_failure(&mut self, now: duration::Instant, instance: &id::Instance) {
        self.failed_at
            .retain(|_, at| now.since(*at) < AVOIDANCE_TIME);
        self.failed_at.insert(instance.clone(), now);
    }

    /// Index of the control process to follow, `None` if all of them failed lately.
    #[must_use]
    pub fn choose(&self, now: duration::Instant, candidates: &[Candidate]) -> Option<usize> {
        let usable = candidates.iter().enumerate();
        let usable = usable.filter(|(_, candidate)| self.is_usable(now, candidate));
        let best = usable
            .max_by_key(|(_, candidate)| (candidate.is_near, self.weight(&candidate.instance)));
        best.map(|(index, _)| index)
    }

    fn is_usable(&self, now: duration::Instant, candidate: &Candidate) -> bool {
        let failed_at = self.failed_at.get(&candidate.instance);
        !candidate.leads && failed_at.is_none_or(|at| now.since(*at) >= AVOIDANCE_TIME)
    }

    fn weight(&self, instance: &id::Instance) -> u64 {
        const PRIME: u64 = 0x0100_0000_01b3;
        let bytes = instance.as_str().bytes();
        let hash = bytes.fold(self.seed, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        });
        (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}
