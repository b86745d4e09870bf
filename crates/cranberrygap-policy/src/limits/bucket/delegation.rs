//! The entry that lends in place of the leader, and what is left for it.

use cranberrygap_model::{duration, id, token};

use super::super::amount::{self, Amount, FixedRate};
use super::super::owner::Owner;

/// Part of rate and burst, as a divisor, by which more is kept for shares than their demand
/// asks for, and twice that before the entry that lends gets it back. Each change of what it
/// lends is an entry in the log and two renewals.
const RESERVE_STEP_DIVISOR: u64 = 32;

/// Time for which a part is kept here for entries that do not reach the one that lends,
/// after the last of them asked.
const DIRECT_RESERVE_DURATION: duration::Span = duration::Span::from_secs(5);

/// Steps in which more is kept for them.
const DIRECT_RESERVE_STEPS: u64 = 8;

/// Part of all demand from which on an entry that lends is taken for one that does not.
const UNREACHABLE_FRACTION: f64 = 0.5;

/// Part of the demand of these entries that is kept for them.
const DIRECT_RESERVE_FACTOR: f64 = 1.5;

/// Rate and tokens.
pub(super) type RateAndTokens = (FixedRate, Amount);

/// Who lends, and what the leader keeps from it.
#[derive(Debug, Clone, Default)]
pub(super) struct Delegation {
    lender: Option<id::Instance>,
    /// For entries that ask the leader though another one lends: they do not reach it.
    direct_reserve: RateAndTokens,
    /// Until when that is kept.
    direct_reserve_end: duration::Instant,
}

impl Delegation {
    /// Takes over who lends; nobody has asked past a new one.
    pub(super) fn set_lender(&mut self, lender: Option<&id::Instance>) {
        if self.lender.as_ref() != lender {
            *self = Self {
                lender: lender.cloned(),
                ..Self::default()
            };
        }
    }

    /// Whether an entry lends.
    pub(super) const fn has_lender(&self) -> bool {
        self.lender.is_some()
    }

    /// Keeps a part for entries with so much demand that ask for `waiting` tokens here.
    pub(super) fn reserve_direct(
        &mut self,
        now: duration::Instant,
        demand: f64,
        waiting: Amount,
        (rate, burst): RateAndTokens,
    ) {
        let before = self.current_direct_reserve(now);
        let part = demand * DIRECT_RESERVE_FACTOR;
        let asked = FixedRate::from_rate(token::Rate(part)).min(rate);
        let of_burst = burst.as_f64() * (part / rate.to_rate().0.max(1.0)).min(1.0);
        let needed = Amount::from_count(amount::ceil_count(of_burst)).max(waiting.plus(waiting));
        // In steps, since each change of what is lent is an entry in the log.
        let step = |all: u64, part: u64| part.next_multiple_of((all / DIRECT_RESERVE_STEPS).max(1));
        self.direct_reserve = (
            FixedRate(step(rate.0, asked.0)).max(before.0).min(rate),
            Amount(step(burst.0, needed.0)).max(before.1).min(burst),
        );
        self.direct_reserve_end = now.after(DIRECT_RESERVE_DURATION);
    }

    /// What is kept for entries that ask here.
    fn current_direct_reserve(&self, now: duration::Instant) -> RateAndTokens {
        if now < self.direct_reserve_end {
            self.direct_reserve
        } else {
            (FixedRate::ZERO, Amount::ZERO)
        }
    }

    /// Whether entries with most of all demand do not reach the one that lends.
    pub(super) fn is_lender_unreachable(&self, direct_demand: f64, total_demand: f64) -> bool {
        self.has_lender()
            && direct_demand >= 1.0
            && direct_demand > total_demand * UNREACHABLE_FRACTION
    }

    /// What `owner` is to have of `all`, where shares want `wanted` and it has `held`.
    pub(super) fn target_terms(
        &self,
        now: duration::Instant,
        owner: &Owner,
        limits: RateAndTokens,
        desired: RateAndTokens,
        held: RateAndTokens,
    ) -> RateAndTokens {
        if self.lender.as_ref() != Some(&owner.instance) {
            return (FixedRate::ZERO, Amount::ZERO);
        }
        let direct = self.current_direct_reserve(now);
        let rate = desired.0.plus(direct.0);
        let cap = desired.1.plus(direct.1);
        (
            FixedRate(delegable(limits.0.0, rate.0, held.0.0)),
            Amount(delegable(limits.1.0, cap.0, held.1.0)),
        )
    }
}

/// What of `all` can be lent when `wanted` is kept: as much as is lent now, while that leaves
/// enough and not too much.
fn delegable(limit: u64, desired: u64, lent: u64) -> u64 {
    let step = limit / RESERVE_STEP_DIVISOR;
    let kept = limit.saturating_sub(lent);
    let all_lent = desired == 0 && kept == 0;
    let reserve_fits = desired > 0 && kept >= desired && kept - desired <= step * 2;
    if all_lent || reserve_fits {
        return lent;
    }
    let reserve = if desired == 0 { 0 } else { desired + step };
    limit.saturating_sub(reserve)
}
