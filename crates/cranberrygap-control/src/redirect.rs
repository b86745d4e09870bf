//! Redirects subscribers of the view from the leader to other control processes.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// Time within which a subscriber that comes back counts as having found no other process.
const RETURN_WINDOW: duration::Span = duration::Span::from_secs(5);

/// Other control processes that must exist before a leader redirects subscribers to them.
const MIN_OTHER_CONTROLS: usize = 2;

/// Subscribers that the leader redirected recently.
///
/// Any control process can serve a view, but only the leader can grant leases and shares, so its
/// processor time is kept for those.
#[derive(Debug, Default)]
pub struct Redirects {
    redirected_at: BTreeMap<id::Instance, duration::Instant>,
}

impl Redirects {
    /// Returns whether the leader should serve the view to `instance`.
    ///
    /// It does if there are too few other control processes, or if the instance comes back after a
    /// redirect.
    pub fn should_serve(
        &mut self,
        now: duration::Instant,
        instance: &id::Instance,
        other_controls: usize,
    ) -> bool {
        if !is_allowed(other_controls) {
            return true;
        }
        self.redirected_at
            .retain(|_, at| now.since(*at) < RETURN_WINDOW);
        if self.redirected_at.remove(instance).is_some() {
            return true;
        }
        self.redirected_at.insert(instance.clone(), now);
        false
    }
}

/// Returns whether a leader may redirect subscribers, given the number of other control processes.
#[must_use]
pub const fn is_allowed(other_controls: usize) -> bool {
    other_controls >= MIN_OTHER_CONTROLS
}
