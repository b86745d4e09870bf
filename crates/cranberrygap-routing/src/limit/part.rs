//! An entry's own part of a limit.

use cranberrygap_model::{duration, rate};

use super::{Grant, bucket};

/// Divisor of an entry's own part, beside the number of entries. The home may still grant the
/// whole limit to the entries that it hears.
const PART_DIVISOR: f64 = 2.0;

/// An entry's own part of a limit, for as long as the home does not answer.
#[derive(Debug, Default)]
pub(super) struct Part {
    bucket: Option<bucket::Bucket>,
}

impl Part {
    /// Takes room for one request of one of `entries`.
    pub(super) fn take(
        &mut self,
        now: duration::Instant,
        limit: rate::Limit,
        entries: usize,
        max_wait: duration::Span,
    ) -> Grant {
        let part = limit.divided_by(PART_DIVISOR * entries as f64);
        let bucket = self
            .bucket
            .get_or_insert_with(|| bucket::Bucket::new(now, part));
        bucket.take(now, part, max_wait).into()
    }
}
