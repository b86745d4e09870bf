//! Exact amounts and rates of tokens, so that no rounding makes a token.

use cranberrygap_model::{duration, token};
use serde::{Deserialize, Serialize};

const NANO: u64 = 1_000_000_000;
const MILLI: f64 = 1_000.0;

/// Largest number of tokens that is calculated with; larger limits are cut to it.
pub const LARGEST: u64 = 1_000_000_000;

/// An amount of tokens in billionths of a token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(pub u64);

/// A rate in thousandths of a token a second.
///
/// One microsecond of it is a whole number of billionths of a token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Flow(pub u64);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// So many whole tokens, at most [`LARGEST`].
    #[must_use]
    pub fn from_count(count: token::Count) -> Self {
        Self(count.0.min(LARGEST) * NANO)
    }

    /// The whole tokens in it, the rest cut off.
    #[must_use]
    pub const fn whole(self) -> token::Count {
        token::Count(self.0 / NANO)
    }

    /// The whole tokens that cover it.
    #[must_use]
    pub const fn covering(self) -> token::Count {
        token::Count(self.0.div_ceil(NANO))
    }

    /// The sum, at most the largest value of the type.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The amount in tokens.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / NANO as f64
    }
}

impl Flow {
    /// No rate.
    pub const ZERO: Self = Self(0);

    /// The rate, rounded to a thousandth of a token a second.
    #[must_use]
    pub fn from_rate(rate: token::Rate) -> Self {
        let milli = (rate.0.max(0.0) * MILLI).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the float is not negative and the conversion saturates"
        )]
        let milli = milli as u64;
        Self(milli.min(LARGEST * 1_000))
    }

    /// The rate as configured and sent; [`Flow::from_rate`] gives the same back.
    #[must_use]
    pub fn to_rate(self) -> token::Rate {
        token::Rate(self.0 as f64 / MILLI)
    }

    /// Time in which `amount` accrues, rounded up; a day if it takes longer.
    #[must_use]
    pub fn time_for(self, amount: Amount) -> duration::Span {
        if amount == Amount::ZERO {
            return duration::Span(0);
        }
        let longest = duration::Span::from_secs(24 * 3_600);
        let needed = amount.0.div_ceil(self.0.max(1));
        duration::Span(needed).min(longest)
    }

    /// Tokens that accrue in `span`.
    #[must_use]
    pub const fn over(self, span: duration::Span) -> Amount {
        Amount(self.0.saturating_mul(span.0))
    }

    /// The sum, at most the largest value of the type.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// The whole tokens that cover a number which is not negative.
pub(super) fn covering(tokens: f64) -> token::Count {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the float is not negative and the conversion saturates"
    )]
    let count = tokens.ceil().max(0.0) as u64;
    token::Count(count)
}
