//! Log lines and counts of announcements that return no process to service.

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_state::endpoint::stale;
use cranberrygap_wire::endpoint;

use crate::metric;
use crate::replicated;
use crate::throttle;

/// Time between two log lines about stale announcements.
const STALE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two log lines about processes that drain and announce that they are ready. Each of
/// their heartbeats says so, for as long as they run.
const DRAINED_LOG_INTERVAL: Duration = Duration::from_mins(1);

/// Recorder of what speaks against announcements.
#[derive(Debug)]
pub(crate) struct Recorder {
    state: Arc<replicated::State>,
    metrics: metric::Recorder,
    stale_log: throttle::Throttle,
    drained_log: throttle::Throttle,
}

impl Recorder {
    /// Creates a recorder that compares with `state` and counts in `metrics`.
    pub(crate) const fn new(state: Arc<replicated::State>, metrics: metric::Recorder) -> Self {
        Self {
            state,
            metrics,
            stale_log: throttle::Throttle::new(STALE_LOG_INTERVAL),
            drained_log: throttle::Throttle::new(DRAINED_LOG_INTERVAL),
        }
    }

    /// Returns whether an announcement has to be dropped.
    ///
    /// What speaks against it is counted, and logged unless something else was just before.
    pub(crate) fn is_stale(&self, announcement: &endpoint::Announcement) -> bool {
        let objection = self
            .state
            .read(|fleet| fleet.endpoints.objection(announcement));
        if let Some(objection) = &objection {
            self.record(announcement, objection);
        }
        objection.is_some_and(|objection| objection.is_stale())
    }

    fn record(&self, announcement: &endpoint::Announcement, objection: &stale::Objection) {
        self.metrics
            .count(metric::OBJECTIONS, objection.reason.tag(), 1);
        let (log, outcome) = if objection.is_stale() {
            (&self.stale_log, "is dropped")
        } else {
            (&self.drained_log, "brings it no requests")
        };
        if log.allow() {
            spdlog::info!(
                "endpoint: heartbeat {} of {}, boot {}, {outcome}: {}; known are boot {} and its \
                 heartbeat {}",
                announcement.sequence,
                announcement.endpoint,
                announcement.boot,
                objection.reason,
                objection.boot,
                objection.sequence
            );
        }
    }
}
