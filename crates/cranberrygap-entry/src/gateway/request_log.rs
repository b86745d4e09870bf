//! Log of one request, written as a single line.

use std::fmt;
use std::fmt::Write as _;

use cranberrygap_model::duration;
use smol_str::SmolStr;

use crate::framing;

use super::log_limit::Limiter;

/// One in this many successful requests is logged.
const SUCCESS_SAMPLE_DIVISOR: u8 = 64;

/// Longest trail, in bytes. A request is sent a few times at most.
const MAX_TRAIL_BYTES: usize = 1_024;

/// The facts of one request and the steps of its delivery.
///
/// The steps are kept in memory and written only if the request fails or is sampled: a
/// line for each step of each request would cost more than serving some of them.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) id: Option<SmolStr>,
    pub(crate) route: SmolStr,
    pub(crate) workspace: SmolStr,
    pub(crate) model: SmolStr,
    /// Hash of what the request asks for, the same whenever a caller sends it again.
    pub(crate) fingerprint: SmolStr,
    /// Endpoint of the last attempt.
    pub(crate) endpoint: SmolStr,
    /// How the end of the last response is known.
    pub(crate) framing: Option<framing::Framing>,
    /// Version of the plan used last.
    pub(crate) plan_version: u64,
    /// Revision of the view used last.
    pub(crate) revision: u64,
    arrived_at: duration::Instant,
    trail: String,
}

impl Log {
    /// The log of a request that arrived at `arrived_at`.
    pub(crate) fn new(arrived_at: duration::Instant, id: Option<SmolStr>) -> Self {
        Self {
            id,
            arrived_at,
            ..Self::default()
        }
    }

    /// Adds a step to the trail.
    pub(crate) fn add_step(&mut self, now: duration::Instant, step: fmt::Arguments<'_>) {
        if self.trail.len() > MAX_TRAIL_BYTES {
            return;
        }
        let millis = now.since(self.arrived_at).0 / 1_000;
        // Writing to a string never fails.
        let _infallible = write!(self.trail, "{millis}ms {step}; ");
    }

    /// Writes the line of a request that failed with `code`.
    pub(crate) fn log_failure(
        &self,
        limiter: &Limiter,
        now: duration::Instant,
        code: &'static str,
        cause: &str,
        retry_after: Option<duration::Span>,
    ) {
        let retry_after_ms = retry_after.map_or(0, |delay| delay.0 / 1_000);
        self.write_line(limiter, now, |line| {
            spdlog::info!("gateway: a request failed", kv: {
                request = line.request,
                code,
                cause,
                after_ms = line.after_ms,
                retry_after_ms,
                route = self.route.as_str(),
                workspace = self.workspace.as_str(),
                model = self.model.as_str(),
                fingerprint = short(&self.fingerprint),
                endpoint = self.endpoint.as_str(),
                framing = self.framing.as_ref().map_or("", framing::Framing::as_str),
                plan = self.plan_version,
                revision = self.revision,
                trail = self.trail.as_str(),
                lines_dropped = line.dropped,
            });
        });
    }

    /// Writes the line of a served request, if it is sampled or was late. Callers
    /// complain about late requests, and the trail shows where the time went.
    pub(crate) fn log_success(
        &self,
        limiter: &Limiter,
        now: duration::Instant,
        late_cause: Option<&'static str>,
    ) {
        if late_cause.is_none() && !rand::random::<u8>().is_multiple_of(SUCCESS_SAMPLE_DIVISOR) {
            return;
        }
        self.write_line(limiter, now, |line| {
            spdlog::info!("gateway: a request was answered", kv: {
                request = line.request,
                late = late_cause.unwrap_or(""),
                after_ms = line.after_ms,
                route = self.route.as_str(),
                workspace = self.workspace.as_str(),
                model = self.model.as_str(),
                fingerprint = short(&self.fingerprint),
                endpoint = self.endpoint.as_str(),
                framing = self.framing.as_ref().map_or("", framing::Framing::as_str),
                plan = self.plan_version,
                revision = self.revision,
                trail = self.trail.as_str(),
                lines_dropped = line.dropped,
            });
        });
    }

    /// Calls `write` if the log limiter allows another line.
    fn write_line(
        &self,
        limiter: &Limiter,
        now: duration::Instant,
        write: impl FnOnce(&Fields<'_>),
    ) {
        let Some(dropped) = limiter.take_line(now) else {
            return;
        };
        write(&Fields {
            request: self.id.as_deref().unwrap_or("-"),
            after_ms: now.since(self.arrived_at).0 / 1_000,
            dropped,
        });
    }
}

/// The first characters of a fingerprint; they tell requests of one log apart.
fn short(fingerprint: &str) -> &str {
    const LENGTH: usize = 16;
    fingerprint.get(..LENGTH).unwrap_or(fingerprint)
}

/// Fields of every line about a request beside its facts.
struct Fields<'log> {
    request: &'log str,
    after_ms: u64,
    dropped: u64,
}
