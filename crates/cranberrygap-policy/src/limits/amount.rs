//! Fixed-point amounts and rates of tokens, so that no rounding error creates a token.

use cranberrygap_model::{duration, token};
use serde::{Deserialize, Serialize};

const NANOS_PER_TOKEN: u64 = 1_000_000_000;
const MILLIS_PER_TOKEN: f64 = 1_000.0;

/// Most tokens that the arithmetic supports; larger limits are reduced to it.
pub const MAX_TOKENS: u64 = 1_000_000_000;

/// Amount of tokens in billionths of a token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(pub u64);

/// Rate in thousandths of a token per second.
///
/// One unit accrues exactly one billionth of a token per microsecond.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FixedRate(pub u64);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the amount of `count` whole tokens, at most [`MAX_TOKENS`].
    #[must_use]
    pub fn from_count(count: token::Count) -> Self {
        Self(count.0.min(MAX_TOKENS) * NANOS_PER_TOKEN)
    }

    /// Returns the number of whole tokens, rounded down.
    #[must_use]
    pub const fn floor(self) -> token::Count {
        token::Count(self.0 / NANOS_PER_TOKEN)
    }

    /// Returns the number of whole tokens, rounded up.
    #[must_use]
    pub const fn ceil(self) -> token::Count {
        token::Count(self.0.div_ceil(NANOS_PER_TOKEN))
    }

    /// Returns the sum, saturating at the largest value of the type.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the amount in tokens.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / NANOS_PER_TOKEN as f64
    }
}

impl FixedRate {
    /// No rate.
    pub const ZERO: Self = Self(0);

    /// Converts a rate, rounded to a thousandth of a token per second.
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

    /// Converts to a rate as configured and sent; [`FixedRate::from_rate`] reverses it.
    #[must_use]
    pub fn to_rate(self) -> token::Rate {
        token::Rate(self.0 as f64 / MILLIS_PER_TOKEN)
    }

    /// Returns the time in which `amount` accrues, rounded up, at most one day.
    #[must_use]
    pub fn time_to_accrue(self, amount: Amount) -> duration::Span {
        if amount == Amount::ZERO {
            return duration::Span(0);
        }
        let longest = duration::Span::from_secs(24 * 3_600);
        let needed = amount.0.div_ceil(self.0.max(1));
        duration::Span(needed).min(longest)
    }

    /// Returns the tokens that accrue in `span`.
    #[must_use]
    pub const fn accrued_in(self, span: duration::Span) -> Amount {
        Amount(self.0.saturating_mul(span.0))
    }

    /// Returns the sum, saturating at the largest value of the type.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Rounds a nonnegative number of tokens up to whole tokens.
pub(super) fn ceil_count(tokens: f64) -> token::Count {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the float is not negative and the conversion saturates"
    )]
    let count = tokens.ceil().max(0.0) as u64;
    token::Count(count)
}
