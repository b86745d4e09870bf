//! Delegation of a bucket's pool to the entry that lends, and the part that the leader keeps.
//!
//! Entries that cannot reach the lender send direct requests to the leader, which keeps a
//! direct reserve for them.

use cranberrygap_model::{duration, id, token};

use super::super::amount::{self, Amount, FixedRate};
use super::super::owner::Owner;

/// Divisor of rate and burst for one step of the part that is kept for shares.
///
/// The leader keeps one step more than shares need, and returns tokens to the lender once it
/// keeps two steps too many. Each change of what is lent is an entry in the log and two
/// renewals.
const RESERVE_STEP_DIVISOR: u64 = 32;

/// Time for which the direct reserve is kept after the last direct request.
const DIRECT_RESERVE_DURATION: duration::Span = duration::Span::from_secs(5);

/// Number of steps in which the direct reserve grows up to the whole rate and burst.
const DIRECT_RESERVE_STEPS: u64 = 8;

/// Fraction of all demand above which direct requests make the lender count as unreachable.
const UNREACHABLE_FRACTION: f64 = 0.5;

/// Factor of the direct reserve's rate over the demand of direct requests.
const DIRECT_RESERVE_FACTOR: f64 = 1.5;

/// Rate and number of tokens.
pub(super) type RateAndTokens = (FixedRate, Amount);

/// The lender of a bucket, and what the leader keeps back from it.
#[derive(Debug, Clone, Default)]
pub(super) struct Delegation {
    lender: Option<id::Instance>,
    /// Part kept for direct requests.
    direct_reserve: RateAndTokens,
    /// Time until which `direct_reserve` is kept.
    direct_reserve_end: duration::Instant,
}

impl Delegation {
    /// Sets the lender; a new one starts without a direct reserve.
    pub(super) fn set_lender(&mut self, lender: Option<&id::Instance>) {
        if self.lender.as_ref() != lender {
            *self = Self {
                lender: lender.cloned(),
                ..Self::default()
            };
        }
    }

    /// Returns whether an entry lends.
    pub(super) const fn has_lender(&self) -> bool {
        self.lender.is_some()
    }

    /// Sets the direct reserve for direct requests with this demand that wait for `waiting` tokens.
    pub(super) fn reserve_direct(
        &mut self,
        now: duration::Instant,
        demand: f64,
        waiting: Amount,
        (rate, burst): RateAndTokens,
    ) {
        let previous = self.current_direct_reserve(now);
        let kept_rate = demand * DIRECT_RESERVE_FACTOR;
        let needed_rate = FixedRate::from_rate(token::Rate(kept_rate)).min(rate);
        let burst_part = burst.as_f64() * (kept_rate / rate.to_rate().0.max(1.0)).min(1.0);
        let needed_tokens =
            Amount::from_count(amount::ceil_count(burst_part)).max(waiting.plus(waiting));
        // The reserve grows in steps, since each change of what is lent is an entry in the log.
        let round_up =
            |limit: u64, part: u64| part.next_multiple_of((limit / DIRECT_RESERVE_STEPS).max(1));
        self.direct_reserve = (
            FixedRate(round_up(rate.0, needed_rate.0))
                .max(previous.0)
                .min(rate),
            Amount(round_up(burst.0, needed_tokens.0))
                .max(previous.1)
                .min(burst),
        );
        self.direct_reserve_end = now.after(DIRECT_RESERVE_DURATION);
    }

    /// Returns the direct reserve, or nothing once its time is over.
    fn current_direct_reserve(&self, now: duration::Instant) -> RateAndTokens {
        if now < self.direct_reserve_end {
            self.direct_reserve
        } else {
            (FixedRate::ZERO, Amount::ZERO)
        }
    }

    /// Returns whether direct requests make up most of all demand.
    pub(super) fn is_lender_unreachable(&self, direct_demand: f64, total_demand: f64) -> bool {
        self.has_lender()
            && direct_demand >= 1.0
            && direct_demand > total_demand * UNREACHABLE_FRACTION
    }

    /// Returns the part of `limits` for `owner`, where shares need `desired` and it has `held`.
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

/// Returns how much of `limit` can be lent when `desired` is kept for shares.
///
/// The result is what is lent now while that leaves enough and not too much.
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
