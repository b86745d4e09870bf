//! An entry's own part of the limit, for as long as the home does not answer.

use cranberrygap_model::duration;

use super::{BURST_TIME, Claim, Temperature};
use crate::limit::{Grant, bucket};

/// Limits that all entries may use together without their home. A home is silent for some of them
/// or, when it has died, for those that were not killed with it.
const LIMITS_OF_ALL: f64 = 4.0;

/// An entry's own part at one endpoint.
#[derive(Debug, Default)]
pub struct Part {
    bucket: Option<bucket::Bucket>,
}

impl Part {
    /// Takes room for one request of one of `entries`; there is none at a cold endpoint.
    pub fn take(&mut self, now: duration::Instant, entries: usize, claim: &Claim) -> Grant {
        if claim.temperature == Temperature::Cold {
            return Grant::Full(claim.max_wait);
        }
        let part = claim.limit.divided_by(entries as f64 / LIMITS_OF_ALL);
        let new = || bucket::Bucket::new(duration::Instant::default(), part);
        let bucket = self.bucket.get_or_insert_with(new);
        bucket.take(now, part, BURST_TIME, claim.max_wait).into()
    }
}
