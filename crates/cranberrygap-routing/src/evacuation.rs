//! Failure domains whose endpoints get no requests, and those that returned a moment ago.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id};

use crate::cold;

/// Time after the news of an evacuation in which endpoints of the failure domain still get
/// requests that no other endpoint can serve. Copies of their models are loaded elsewhere
/// meanwhile. Entries learn of an order up to 1.5 s after others, and the last request may arrive
/// 5 s after the acknowledgement.
const EVACUATION_TIME: duration::Span = duration::Span::from_secs(2);

/// Longest time between two views of an entry that follows the changes. One that was cut off or
/// has just started learns of an order long after the others.
const MAX_VIEW_GAP: duration::Span = duration::Span::from_secs(1);

/// What an entry knows of evacuations.
#[derive(Debug, Default)]
pub struct Book {
    /// Evacuated domains, with the time until which their endpoints still get what no other
    /// endpoint can serve.
    active: BTreeMap<id::Domain, duration::Instant>,
    /// When this entry learned of the return of domains.
    returned: BTreeMap<id::Domain, duration::Instant>,
    last_view_at: Option<duration::Instant>,
}

impl Book {
    /// Applies the evacuated domains of a view.
    pub fn apply_view(&mut self, now: duration::Instant, evacuated: &BTreeSet<id::Domain>) {
        let last_view_at = self.last_view_at.replace(now);
        let is_news = last_view_at.is_some_and(|at| now.since(at) < MAX_VIEW_GAP);
        let until = if is_news {
            now.after(EVACUATION_TIME)
        } else {
            now
        };
        let earlier = std::mem::take(&mut self.active);
        for (domain, until) in earlier {
            if evacuated.contains(&domain) {
                self.active.insert(domain, until);
            } else {
                self.returned.insert(domain, now);
            }
        }
        for domain in evacuated {
            self.active.entry(domain.clone()).or_insert(until);
        }
    }

    /// Whether the endpoints of a domain get no requests.
    #[must_use]
    pub fn is_evacuated(&self, domain: &id::Domain) -> bool {
        self.active.contains_key(domain)
    }

    /// Whether a domain was evacuated a moment ago, so that its endpoints still get what no other
    /// endpoint can serve.
    #[must_use]
    pub fn is_evacuating(&self, now: duration::Instant, domain: &id::Domain) -> bool {
        let until = self.active.get(domain);
        until.is_some_and(|until| now < *until)
    }

    /// Whether a domain returned a moment ago, so that its endpoints may be cold and not have said
    /// so.
    #[must_use]
    pub fn has_just_returned(&self, now: duration::Instant, domain: &id::Domain) -> bool {
        let returned_at = self.returned.get(domain);
        returned_at.is_some_and(|at| now.since(*at) < cold::RETURN_TIME)
    }
}
