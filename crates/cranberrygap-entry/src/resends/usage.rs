//! Use of the budget within one scope.

use cranberrygap_model::duration;
use cranberrygap_policy::resend::tally;

/// Share of the bound at which operators are warned.
const WARNING_SHARE: f64 = 0.75;

/// What was sent within one scope lately.
#[derive(Debug, Default)]
pub(super) struct Usage {
    pub(super) tally: tally::Tally,
    pub(super) warned_at: Option<duration::Instant>,
}

impl Usage {
    /// Whether the bound is near, and operators were not told in this window.
    pub(super) fn is_warning_due(
        &self,
        now: duration::Instant,
        counts: tally::Counts,
        bound: f64,
    ) -> bool {
        let was_told = self
            .warned_at
            .is_some_and(|at| now.since(at) < tally::WINDOW);
        let is_near = f64::from(counts.resends) >= bound * WARNING_SHARE;
        !was_told && (is_near || counts.denied > 0)
    }
}
