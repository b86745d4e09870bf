//! Room at the brittle endpoints of one home entry, which it grants to all entries.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use cranberrygap_model::{duration, rate};

use super::Guard;

/// Time after which a place that was granted counts no more unless its entry told of the request.
const GRANT_DURATION: duration::Span = duration::Span::from_secs(1);

/// What an entry asks of the home of a brittle endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Entry that asks; `None` for the home itself.
    pub entry: Option<SocketAddr>,
    /// Rejections a second that the endpoint bears.
    pub bears: rate::Rejections,
    /// Requests that the endpoint runs at a time; 0 if their number is unknown.
    pub slots: u32,
    /// Requests that all entries told of.
    pub running: u32,
}

/// Brittle endpoints of one home, by the hash of their name.
#[derive(Debug, Default)]
pub struct Ledger {
    endpoints: BTreeMap<u32, Account>,
}

#[derive(Debug, Default)]
struct Account {
    guard: Guard,
    /// Places of which their entries told nothing yet, oldest first.
    granted: VecDeque<Granted>,
}

#[derive(Debug, Clone, Copy)]
struct Granted {
    at: duration::Instant,
    entry: Option<SocketAddr>,
}

impl Ledger {
    /// Takes a place for one request; false if there is none.
    pub fn take(&mut self, now: duration::Instant, endpoint: u32, claim: &Claim) -> bool {
        let account = self.endpoints.entry(endpoint).or_default();
        account.forget_old(now);
        account.guard.record_response(Some(claim.bears));
        let granted = u32::try_from(account.granted.len()).unwrap_or(u32::MAX);
        let running = claim.running.saturating_add(granted);
        if !account.guard.has_room(now, running, claim.slots) {
            return false;
        }
        account.granted.push_back(Granted {
            at: now,
            entry: claim.entry,
        });
        true
    }

    /// Records that an entry tells of a request; the place that it was granted counts no more.
    pub fn settle(&mut self, endpoint: u32, entry: Option<SocketAddr>) {
        let Some(account) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let mut granted = account.granted.iter();
        if let Some(place) = granted.position(|granted| granted.entry == entry) {
            account.granted.remove(place);
        }
    }

    /// Records that the endpoint turned a request away while it had `running` others.
    pub fn record_rejection(
        &mut self,
        now: duration::Instant,
        endpoint: u32,
        bears: rate::Rejections,
        running: u32,
    ) {
        let account = self.endpoints.entry(endpoint).or_default();
        account.guard.record_response(Some(bears));
        account.guard.record_rejection(now, running);
    }

    /// Forgets an endpoint, which has ended or restarted.
    pub fn forget(&mut self, endpoint: u32) {
        self.endpoints.remove(&endpoint);
    }
}

impl Account {
    fn forget_old(&mut self, now: duration::Instant) {
        while let Some(oldest) = self.granted.front()
            && now.since(oldest.at) >= GRANT_DURATION
        {
            self.granted.pop_front();
        }
    }
}
