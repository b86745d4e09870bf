//! Room at the endpoints of one home entry, by the hash of their name.

use std::collections::BTreeMap;

use cranberrygap_model::duration;

use super::{BURST_TIME, Claim, Temperature};
use crate::limit::{Grant, bucket};

/// Time for which an entry that became the home grants nothing at a cold endpoint: entries with an
/// older view ask the home before for as long as their lease lasts, and use its grants after that.
pub const HANDOVER_TIME: duration::Span = duration::Span::from_millis(3_700);

/// Endpoints of one home.
#[derive(Debug, Default)]
pub struct Ledger {
    endpoints: BTreeMap<u32, bucket::Bucket>,
}

impl Ledger {
    /// Takes room for one request at an endpoint whose home this entry is since `home_since`.
    pub fn take(
        &mut self,
        now: duration::Instant,
        endpoint: u32,
        home_since: duration::Instant,
        claim: &Claim,
    ) -> Grant {
        let since = now.since(home_since);
        if claim.temperature == Temperature::Cold && since < HANDOVER_TIME {
            return Grant::Full(duration::Span(HANDOVER_TIME.0 - since.0));
        }
        let rate = claim.rate();
        let new = || bucket::Bucket::new(now, rate);
        let bucket = self.endpoints.entry(endpoint).or_insert_with(new);
        bucket.take(now, rate, BURST_TIME, claim.max_wait).into()
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u32) {
        self.endpoints.remove(&endpoint);
    }
}
