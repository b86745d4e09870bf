//! The steps of an entry from its start to its first response.
//!
//! After a loss of power all processes start together, and one of the steps may wait for something
//! that does not come. The log names it.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cadence::Timed as _;
use cranberrygap_model::duration;
use cranberrygap_wire::view as wire_view;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

use crate::core;
use crate::metric;

/// Time between two looks for the next step.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a step that was not taken is logged, and again after as long.
const OVERDUE_AFTER: duration::Span = duration::Span::from_secs(5);

/// A step of the start; each needs the ones before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// A control process has sent its view.
    View,
    /// The view has a traffic plan.
    Plan,
    /// The leader has granted a lease on the view.
    Lease,
    /// An endpoint is ready.
    Endpoint,
    /// A request has got a response from an endpoint.
    Response,
}

impl Step {
    const ALL: [Self; 5] = [
        Self::View,
        Self::Plan,
        Self::Lease,
        Self::Endpoint,
        Self::Response,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::View => "view",
            Self::Plan => "plan",
            Self::Lease => "lease",
            Self::Endpoint => "endpoint",
            Self::Response => "response",
        }
    }

    fn is_taken(self, core: &core::Core) -> bool {
        let Some(view) = core.view.latest() else {
            return false;
        };
        match self {
            Self::View => true,
            Self::Plan => view.traffic().is_some(),
            Self::Lease => core.view.current(core.now()).is_some(),
            Self::Endpoint => {
                let mut endpoints = view.endpoints().values();
                endpoints.any(|endpoint| endpoint.health == wire_view::Health::Ready)
            }
            Self::Response => core.startup.has_responded.load(Ordering::Relaxed),
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The steps that were taken.
#[derive(Debug, Default)]
pub(crate) struct Startup {
    has_responded: AtomicBool,
    responded: Notify,
    taken: Mutex<Vec<(Step, duration::Instant)>>,
}

impl Startup {
    /// Records that a request got a response from an endpoint.
    pub(crate) fn record_response(&self) {
        if !self.has_responded.swap(true, Ordering::Relaxed) {
            self.responded.notify_one();
        }
    }

    /// The steps with their times since the start, for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let taken = self.taken.lock();
        let taken = taken
            .iter()
            .map(|(step, at)| (step.to_string(), serde_json::json!(at)));
        taken.collect::<serde_json::Map<_, _>>().into()
    }
}

/// Logs and measures each step, until the last one is taken.
pub(crate) async fn watch(core: Arc<core::Core>) {
    let mut overdue_at = core.now().after(OVERDUE_AFTER);
    for step in Step::ALL {
        while !step.is_taken(&core) {
            let now = core.now();
            if now >= overdue_at {
                overdue_at = now.after(OVERDUE_AFTER);
                spdlog::info!("startup: waits for its first {step} after {now}");
            }
            // A process without requests may wait long for the last step.
            let wait = if step == Step::Response {
                OVERDUE_AFTER.to_std()
            } else {
                LOOK_INTERVAL
            };
            let _elapsed = time::timeout(wait, core.startup.responded.notified()).await;
        }
        let now = core.now();
        core.startup.taken.lock().push((step, now));
        let timed = core
            .metrics
            .time_with_tags(metric::STARTUP, duration::Span(now.0).to_std());
        timed.with_tag_value(step.as_str()).send();
        spdlog::info!("startup: first {step} after {now}");
    }
}
