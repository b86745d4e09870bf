//! Exact amounts and rates of tokens, so that no rounding makes a token.

use cranberrygap_model::{duration, token};
use serde::{Deserialize, Serialize};

const NANOS_PER_TOKEN: u64 = 1_000_000_000;
const MILLIS_PER_TOKEN: f64 = 1_000.0;

/// Largest number of tokens that is calculated with; larger limits are cut to it.
pub const MAX_TOKENS: u64 = 1_000_000_000;

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
pub struct FixedRate(pub u64);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// So many whole tokens, at most [`LARGEST`].
    #[must_use]
    pub fn from_count(count: token::Count) -> Self {
        Self(count.0.min(MAX_TOKENS) * NANOS_PER_TOKEN)
    }

    /// The whole tokens in it, the rest cut off.
    #[must_use]
    pub const fn floor(self) -> token::Count {
        token::Count(self.0 / NANOS_PER_TOKEN)
    }

    /// The whole tokens that cover it.
    #[must_use]
    pub const fn ceil(self) -> token::Count {
        token::Count(self.0.div_ceil(NANOS_PER_TOKEN))
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
        self.0 as f64 / NANOS_PER_TOKEN as f64
    }
}

impl FixedRate {
    /// No rate.
    pub const ZERO: Self = Self(0);

    /// The rate, rounded to a thousandth of a token a second.
    #[must_use]
    pub fn from_rate(rate: token::Rate) -> Self {
        let milli = (rate.0.max(0.0) * MILLIS_PER_TOKEN).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the float is not negative and the conversion saturates"
        )]
        let milli = milli as u64;
        Self(milli.min(MAX_TOKENS * 1_000))
    }

    /// The rate as configured and sent; [`Flow::from_rate`] gives the same back.
    #[must_use]
    pub fn to_rate(self) -> token::Rate {
        token::Rate(self.0 as f64 / MILLIS_PER_TOKEN)
    }

    /// Time in which `amount` accrues, rounded up; a day if it takes longer.
    #[must_use]
    pub fn time_to_accrue(self, amount: Amount) -> duration::Span {
        if amount == Amount::ZERO {
            return duration::Span(0);
        }
        let longest = duration::Span::from_secs(24 * 3_600);
        let needed = amount.0.div_ceil(self.0.max(1));
        duration::Span(needed).min(longest)
    }

    /// Tokens that accrue in `span`.
    #[must_use]
    pub const fn accrued_in(self, span: duration::Span) -> Amount {
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
pub(super) fn ceil_count(tokens: f64) -> token::Count {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the float is not negative and the conversion saturates"
    )]
    let count = tokens.ceil().max(0.0) as u64;
    token::Count(count)
}
