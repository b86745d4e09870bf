//! The entry that lends in place of the leader, and what is left for it.

use cranberrygap_model::{duration, id, token};

use super::super::amount::{self, Amount, Flow};
use super::super::owner::Owner;

/// Part of rate and burst, as a divisor, by which more is kept for shares than their demand
/// asks for, and twice that before the entry that lends gets it back. Each change of what it
/// lends is an entry in the log and two renewals.
const RESERVE_STEP: u64 = 32;

/// Time for which a part is kept here for entries that do not reach the one that lends,
/// after the last of them asked.
const DIRECT: duration::Span = duration::Span::from_secs(5);

/// Steps in which more is kept for them.
const DIRECT_STEPS: u64 = 8;

/// Part of all demand from which on an entry that lends is taken for one that does not.
const MOST: f64 = 0.5;

/// Part of the demand of these entries that is kept for them.
const DIRECT_PART: f64 = 1.5;

/// Rate and tokens.
pub(super) type Part = (Flow, Amount);

/// Who lends, and what the leader keeps from it.
#[derive(Debug, Clone, Default)]
pub(super) struct Delegation {
    entry: Option<id::Instance>,
    /// For entries that ask the leader though another one lends: they do not reach it.
    direct: Part,
    /// Until when that is kept.
    until: duration::Instant,
}

impl Delegation {
    /// Takes over who lends; nobody has asked past a new one.
    pub(super) fn follow(&mut self, entry: Option<&id::Instance>) {
        if self.entry.as_ref() != entry {
            *self = Self {
                entry: entry.cloned(),
                ..Self::default()
            };
        }
    }

    /// Whether an entry lends.
    pub(super) const fn is_made(&self) -> bool {
        self.entry.is_some()
    }

    /// Keeps a part for entries with so much demand that ask for `waiting` tokens here.
    pub(super) fn keep(
        &mut self,
        now: duration::Instant,
        demand: f64,
        waiting: Amount,
        (rate, burst): Part,
    ) {
        let before = self.kept(now);
        let part = demand * DIRECT_PART;
        let asked = Flow::from_rate(token::Rate(part)).min(rate);
        let of_burst = burst.as_f64() * (part / rate.to_rate().0.max(1.0)).min(1.0);
        let needed = Amount::from_count(amount::covering(of_burst)).max(waiting.plus(waiting));
        // In steps, since each change of what is lent is an entry in the log.
        let step = |all: u64, part: u64| part.next_multiple_of((all / DIRECT_STEPS).max(1));
        self.direct = (
            Flow(step(rate.0, asked.0)).max(before.0).min(rate),
            Amount(step(burst.0, needed.0)).max(before.1).min(burst),
        );
        self.until = now.after(DIRECT);
    }

    /// What is kept for entries that ask here.
    fn kept(&self, now: duration::Instant) -> Part {
        if now < self.until {
            self.direct
        } else {
            (Flow::ZERO, Amount::ZERO)
        }
    }

    /// Whether entries with most of all demand do not reach the one that lends.
    pub(super) fn is_avoided(&self, direct: f64, all: f64) -> bool {
        self.is_made() && direct >= 1.0 && direct > all * MOST
    }

    /// What `owner` is to have of `all`, where shares want `wanted` and it has `held`.
    pub(super) fn part(
        &self,
        now: duration::Instant,
        owner: &Owner,
        all: Part,
        wanted: Part,
        held: Part,
    ) -> Part {
        if self.entry.as_ref() != Some(&owner.instance) {
            return (Flow::ZERO, Amount::ZERO);
        }
        let direct = self.kept(now);
        let rate = wanted.0.plus(direct.0);
        let cap = wanted.1.plus(direct.1);
        (
            Flow(delegable(all.0.0, rate.0, held.0.0)),
            Amount(delegable(all.1.0, cap.0, held.1.0)),
        )
    }
}

/// What of `all` can be lent when `wanted` is kept: as much as is lent now, while that leaves
/// enough and not too much.
fn delegable(all: u64, wanted: u64, lent: u64) -> u64 {
    let step = all / RESERVE_STEP;
    let kept = all.saturating_sub(lent);
    let useful = wanted == 0 && kept == 0;
    let enough = wanted > 0 && kept >= wanted && kept - wanted <= step * 2;
    if useful || enough {
        return lent;
    }
    let reserve = if wanted == 0 { 0 } else { wanted + step };
    all.saturating_sub(reserve)
}
