//! What became of one request, told in one line of the log.

use std::fmt;
use std::fmt::Write as _;

use cranberrygap_model::duration;
use smol_str::SmolStr;

use super::volume::Volume;

/// One in so many requests that went well is told.
const SAMPLED: u8 = 64;

/// Longest trail, in bytes. A request is sent a few times at most.
const LONGEST_TRAIL: usize = 1_024;

/// The facts of one request and the steps that it took.
///
/// The steps are kept while it runs and written only when it fails, or as a sample:
/// a line for each step of each request would cost more than serving some of them.
#[derive(Debug, Default)]
pub(crate) struct Story {
    pub(crate) id: Option<SmolStr>,
    pub(crate) route: SmolStr,
    pub(crate) workspace: SmolStr,
    pub(crate) model: SmolStr,
    /// Version of the plan that decided last.
    pub(crate) plan: u64,
    /// Revision of the view that decided last.
    pub(crate) revision: u64,
    begun: duration::Instant,
    trail: String,
}

impl Story {
    /// A request that arrived at `begun`.
    pub(crate) fn new(begun: duration::Instant, id: Option<SmolStr>) -> Self {
        Self {
            id,
            begun,
            ..Self::default()
        }
    }

    /// Notes a step at `now`.
    pub(crate) fn step(&mut self, now: duration::Instant, step: fmt::Arguments<'_>) {
        if self.trail.len() > LONGEST_TRAIL {
            return;
        }
        let millis = now.since(self.begun).0 / 1_000;
        // Writing to a string does not fail.
        let _infallible = write!(self.trail, "{millis}ms {step}; ");
    }

    /// Tells of a request that failed with `code`.
    pub(crate) fn failed(
        &self,
        volume: &Volume,
        now: duration::Instant,
        code: &'static str,
        cause: &str,
        retry_after: Option<duration::Span>,
    ) {
        let retry_after_ms = retry_after.map_or(0, |wait| wait.0 / 1_000);
        self.tell(volume, now, |line| {
            spdlog::info!("gateway: a request failed", kv: {
                request = line.request,
                code,
                cause,
                after_ms = line.after_ms,
                retry_after_ms,
                route = self.route.as_str(),
                workspace = self.workspace.as_str(),
                model = self.model.as_str(),
                plan = self.plan,
                revision = self.revision,
                trail = self.trail.as_str(),
                lines_dropped = line.dropped,
            });
        });
    }

    /// Tells of a request that was served, if it is one of the sample or was `late`:
    /// callers complain of those, and the trail says where the time went.
    pub(crate) fn ended(
        &self,
        volume: &Volume,
        now: duration::Instant,
        late: Option<&'static str>,
    ) {
        if late.is_none() && !rand::random::<u8>().is_multiple_of(SAMPLED) {
            return;
        }
        self.tell(volume, now, |line| {
            spdlog::info!("gateway: a request was answered", kv: {
                request = line.request,
                late = late.unwrap_or(""),
                after_ms = line.after_ms,
                route = self.route.as_str(),
                workspace = self.workspace.as_str(),
                model = self.model.as_str(),
                plan = self.plan,
                revision = self.revision,
                trail = self.trail.as_str(),
                lines_dropped = line.dropped,
            });
        });
    }

    /// Has a line written if the log may take one.
    fn tell(&self, volume: &Volume, now: duration::Instant, write: impl FnOnce(&Line<'_>)) {
        let Some(dropped) = volume.admit(now) else {
            return;
        };
        write(&Line {
            request: self.id.as_deref().unwrap_or("-"),
            after_ms: now.since(self.begun).0 / 1_000,
            dropped,
        });
    }
}

/// What every line about a request says besides its facts.
struct Line<'story> {
    request: &'story str,
    after_ms: u64,
    dropped: u64,
}
