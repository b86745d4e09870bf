//! When the planners run: soon after an event, but for a bounded share of the processor.

use cranberrygap_model::duration;

/// Time between two runs for each runner of the fleet.
///
/// A run looks at every runner, which takes a microsecond or two each, while events arrive from
/// each of them.
const INTERVAL_PER_RUNNER: duration::Span = duration::Span(50);

/// Shortest time between two updates from the replicated state, and the time per runner that
/// takes its place in a large fleet.
const UPDATE_INTERVAL: duration::Span = duration::Span::from_millis(100);
const UPDATE_INTERVAL_PER_RUNNER: duration::Span = duration::Span(250);

/// Times of the last run and the last update.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    last_run: Option<duration::Instant>,
    last_update: Option<duration::Instant>,
    is_run_requested: bool,
}

impl Pace {
    /// Records an event that the planners should look at soon.
    pub const fn request_run(&mut self) {
        self.is_run_requested = true;
    }

    /// Records a run at `now`.
    pub const fn record_run(&mut self, now: duration::Instant) {
        self.last_run = Some(now);
        self.is_run_requested = false;
    }

    /// Time of the next run in a fleet of `runners`; `wake` is when a planner has something due
    /// without any event.
    #[must_use]
    pub fn next_run(
        &self,
        now: duration::Instant,
        wake: Option<duration::Instant>,
        runners: usize,
    ) -> duration::Instant {
        let earliest = self.last_run.map_or(now, |last_run| {
            last_run.after(duration::Span(INTERVAL_PER_RUNNER.0 * runners as u64))
        });
        if self.is_run_requested {
            return earliest;
        }
        wake.unwrap_or_else(|| now.after(UPDATE_INTERVAL))
            .max(earliest)
    }

    /// Whether an update is due at `now` in a fleet of `runners`, and records it if so.
    pub fn try_update(&mut self, now: duration::Instant, runners: usize) -> bool {
        let by_runners = duration::Span(UPDATE_INTERVAL_PER_RUNNER.0 * runners as u64);
        let interval = UPDATE_INTERVAL.max(by_runners);
        // The ticker fires a little early or late.
        let tolerance = duration::Span(UPDATE_INTERVAL.0 / 10);
        let due = self
            .last_update
            .is_none_or(|last| now.after(tolerance) >= last.after(interval));
        if due {
            self.last_update = Some(now);
        }
        due
    }
}
