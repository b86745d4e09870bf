//! Who may follow the view from a process that leads.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// Time within which whoever was sent elsewhere and comes back has found nobody else.
const COMES_BACK: duration::Span = duration::Span::from_secs(5);

/// Other control processes beside a leader that serve views in its place.
const ENOUGH: usize = 2;

/// Those whom the leader has sent elsewhere.
///
/// Any control process can serve a view, and only the leader can grant leases and shares, so
/// its processor is kept for those.
#[derive(Debug, Default)]
pub struct Followers {
    sent_away: BTreeMap<id::Instance, duration::Instant>,
}

impl Followers {
    /// Whether the leader serves the view to `instance`, beside so many other control
    /// processes: it does once the others turned out not to.
    pub fn may_follow(
        &mut self,
        now: duration::Instant,
        instance: &id::Instance,
        others: usize,
    ) -> bool {
        if !are_enough(others) {
            return true;
        }
        self.sent_away.retain(|_, at| now.since(*at) < COMES_BACK);
        if self.sent_away.remove(instance).is_some() {
            return true;
        }
        self.sent_away.insert(instance.clone(), now);
        false
    }
}

/// Whether a leader may send its followers elsewhere, beside so many others.
#[must_use]
pub const fn are_enough(others: usize) -> bool {
    others >= ENOUGH
}
