//! Room at the cold endpoints of one home entry, by the hash of their name.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::duration;

use super::{Claim, WINDOW};
use crate::limit::Grant;

/// Time for which an entry that became the home grants nothing: entries with an older view ask the
/// home before for as long as their lease lasts, and use its grants after that.
pub const HANDOVER_TIME: duration::Span = duration::Span::from_millis(3_700);

/// Endpoints of one home.
#[derive(Debug, Default)]
pub struct Ledger {
    endpoints: BTreeMap<u32, Grants>,
}

/// Times for which requests were granted within [`WINDOW`], in order; some are still to come.
#[derive(Debug, Default)]
struct Grants {
    times: VecDeque<duration::Instant>,
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
        if since < HANDOVER_TIME {
            return Grant::Full(duration::Span(HANDOVER_TIME.0 - since.0));
        }
        let grants = self.endpoints.entry(endpoint).or_default();
        grants.take(now, claim.most(), claim.max_wait).into()
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u32) {
        self.endpoints.remove(&endpoint);
    }
}

impl Grants {
    /// Takes room for one request that can wait for `max_wait`, beside `most - 1` others within
    /// [`WINDOW`]; returns its wait, or the time until there is room if that is longer.
    fn take(
        &mut self,
        now: duration::Instant,
        most: usize,
        max_wait: duration::Span,
    ) -> Result<duration::Span, duration::Span> {
        while let Some(oldest) = self.times.front()
            && now.since(*oldest) >= WINDOW
        {
            self.times.pop_front();
        }
        let limiting = self.times.len().checked_sub(most);
        let limiting = limiting.and_then(|index| self.times.get(index));
        let earliest = limiting.map_or(now, |limiting| limiting.after(WINDOW));
        let latest = self.times.back().copied().unwrap_or_default();
        let at = earliest.max(latest).max(now);
        let wait = at.since(now);
        if wait > max_wait {
            return Err(wait);
        }
        self.times.push_back(at);
        Ok(wait)
    }
}
