//! The promise itself: over any window, at most rate times length plus burst.

use std::collections::VecDeque;

use cranberrygap_model::{duration, token};
use cranberrygap_policy::limits::Limit;

const NANO: u128 = 1_000_000_000;

/// Admissions that stay in the queue although they are settled. Older ones are
/// folded into one number, which is exact because their charge cannot change.
const KEPT: usize = 64;

/// Every admission over all entries, held against the limit over all windows.
///
/// An admission is charged with what it reserved, and with what it spent once
/// that is known. The largest excess over all windows that end now follows from
/// one pass: excess grows by each charge and drains at the rate, never below 0.
#[derive(Debug)]
pub struct Window {
    current: Limit,
    /// Larger limits that were replaced, and when they stop to count.
    replaced: Vec<(duration::Instant, Limit)>,
    /// Tokens that the rate allowed since the start, in billionths.
    allowed: u128,
    at: duration::Instant,
    folded: u128,
    folded_at: u128,
    admissions: VecDeque<Admission>,
    next: u64,
}

#[derive(Debug)]
struct Admission {
    number: u64,
    allowed: u128,
    charge: u128,
    settled: bool,
}

impl Window {
    /// Starts with nothing admitted.
    #[must_use]
    pub fn new(now: duration::Instant, limit: Limit) -> Self {
        Self {
            current: limit,
            replaced: Vec::new(),
            allowed: 0,
            at: now,
            folded: 0,
            folded_at: 0,
            admissions: VecDeque::new(),
            next: 0,
        }
    }

    /// Changes the limit; a larger old one still counts until `enforced`.
    pub fn configure(&mut self, now: duration::Instant, limit: Limit, enforced: duration::Instant) {
        self.advance(now);
        self.replaced.push((enforced, self.current));
        self.current = limit;
    }

    /// Notes an admission; gives its number and the largest excess in tokens
    /// over all windows that end now, which must not be above the burst.
    pub fn admit(&mut self, now: duration::Instant, cost: token::Count) -> (u64, u64) {
        self.advance(now);
        self.next += 1;
        self.admissions.push_back(Admission {
            number: self.next,
            allowed: self.allowed,
            charge: u128::from(cost.0) * NANO,
            settled: false,
        });
        (self.next, self.excess())
    }

    /// Notes what an admission spent in the end.
    pub fn settle(&mut self, number: u64, used: token::Count) {
        let found = self
            .admissions
            .iter_mut()
            .find(|admission| admission.number == number);
        if let Some(admission) = found {
            admission.charge = u128::from(used.0) * NANO;
            admission.settled = true;
        }
        self.fold();
    }

    /// The burst that counts now.
    #[must_use]
    pub fn burst(&self) -> u64 {
        self.limits().map(|limit| limit.burst.0).max().unwrap_or(0)
    }

    /// Tokens that one bucket over the whole fleet would hold now.
    pub fn level(&mut self, now: duration::Instant) -> u64 {
        self.advance(now);
        let excess = self.excess();
        self.burst().saturating_sub(excess)
    }

    fn limits(&self) -> impl Iterator<Item = &Limit> {
        let replaced = self.replaced.iter().map(|(_, limit)| limit);
        replaced.chain(std::iter::once(&self.current))
    }

    fn advance(&mut self, now: duration::Instant) {
        let rate = self
            .limits()
            .map(|limit| limit.rate.0)
            .fold(0.0_f64, f64::max);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rates are not negative and the conversion saturates"
        )]
        let milli = (rate * 1_000.0).round() as u128;
        self.allowed += milli * u128::from(now.since(self.at).0);
        self.at = self.at.max(now);
        let before = self.replaced.len();
        self.replaced.retain(|(enforced, _)| *enforced > now);
        if self.replaced.len() < before {
            // Windows that began under the larger limit are over; new ones begin.
            self.admissions.clear();
            self.folded = 0;
            self.folded_at = self.allowed;
        }
    }

    fn excess(&self) -> u64 {
        let mut excess = self.folded;
        let mut at = self.folded_at;
        for admission in &self.admissions {
            excess = excess.saturating_sub(admission.allowed - at) + admission.charge;
            at = admission.allowed;
        }
        excess = excess.saturating_sub(self.allowed - at);
        u64::try_from(excess.div_ceil(NANO)).unwrap_or(u64::MAX)
    }

    fn fold(&mut self) {
        while self.admissions.len() > KEPT {
            let Some(admission) = self.admissions.front() else {
                return;
            };
            if !admission.settled {
                return;
            }
            self.folded = self
                .folded
                .saturating_sub(admission.allowed - self.folded_at)
                + admission.charge;
            self.folded_at = admission.allowed;
            self.admissions.pop_front();
        }
    }
}
