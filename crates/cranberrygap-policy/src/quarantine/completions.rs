//! Memory of subjects that were completed recently.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::duration;
use smol_str::SmolStr;

use super::suspects::Incarnation;

/// Time for which a completion is remembered.
const RETENTION: duration::Span = duration::Span::from_secs(60);

/// Most completions that are remembered; the oldest are forgotten first.
const MAX_COMPLETIONS: usize = 4_096;

/// Completed subjects.
#[derive(Debug, Default)]
pub(super) struct Memory {
    completed: BTreeMap<SmolStr, Completion>,
    /// Completions in the order of their time; some are no longer the latest of their request.
    order: VecDeque<(duration::Instant, SmolStr)>,
}

/// The latest completion of a request.
#[derive(Debug)]
struct Completion {
    at: duration::Instant,
    incarnation: Incarnation,
}

impl Memory {
    /// Records that a request was completed at an endpoint.
    pub(super) fn record(
        &mut self,
        now: duration::Instant,
        fingerprint: SmolStr,
        incarnation: Incarnation,
    ) {
        let completion = Completion {
            at: now,
            incarnation,
        };
        self.completed.insert(fingerprint.clone(), completion);
        self.order.push_back((now, fingerprint));
        while let Some((at, _)) = self.order.front()
            && (self.order.len() > MAX_COMPLETIONS || now.since(*at) >= RETENTION)
        {
            self.forget_oldest();
        }
    }

    /// Returns where a request was completed, and forgets it.
    pub(super) fn take(
        &mut self,
        now: duration::Instant,
        fingerprint: &str,
    ) -> Option<Incarnation> {
        let completion = self.completed.remove(fingerprint);
        let recent = completion.filter(|completion| now.since(completion.at) < RETENTION);
        recent.map(|completion| completion.incarnation)
    }

    /// Whether a subject was completed less than `span` ago.
    pub(super) fn is_recent(
        &self,
        now: duration::Instant,
        subject: &str,
        span: duration::Span,
    ) -> bool {
        let completion = self.completed.get(subject);
        completion.is_some_and(|completion| now.since(completion.at) < span)
    }

    fn forget_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        let latest = self.completed.get(&fingerprint);
        if latest.is_some_and(|completion| completion.at == at) {
            self.completed.remove(&fingerprint);
        }
    }
}
