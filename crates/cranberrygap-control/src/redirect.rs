//! Who may follow the view from a process that leads.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

/// Time within which whoever was sent elsewhere and comes back has found nobody else.
const RETURN_WINDOW: duration::Span = duration::Span::from_secs(5);

/// Other control processes beside a leader that serve views in its place.
const MIN_OTHER_CONTROLS: usize = 2;

/// Those whom the leader has sent elsewhere.
///
/// Any control process can serve a view, and only the leader can grant leases and shares, so
/// its processor is kept for those.
#[derive(Debug, Default)]
pub struct Redirects {
    redirected_at: BTreeMap<id::Instance, duration::Instant>,
}

impl Redirects {
    /// Whether the leader serves the view to `instance`, beside so many other control
    /// processes: it does once the others turned out not to.
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

/// Whether a leader may send its followers elsewhere, beside so many others.
#[must_use]
pub const fn is_allowed(other_controls: usize) -> bool {
    other_controls >= MIN_OTHER_CONTROLS
}
