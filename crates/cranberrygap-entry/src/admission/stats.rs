//! Statistics of share renewals and of requests that wait for tokens, for the log.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use cranberrygap_model::duration;
use cranberrygap_policy::limits::holder;

/// Time between two summary lines.
const LOG_INTERVAL: duration::Span = duration::Span::from_secs(5);

/// Counts since the last summary line.
#[derive(Debug, Default)]
pub(super) struct Stats {
    period_start: duration::Instant,
    renewals: BTreeMap<holder::RenewalReason, u64>,
    unanswered_renewals: u64,
    renewal_times: Durations,
    admitted_waits: Durations,
    refused_waits: Durations,
    admitted_at_once: u64,
}

#[derive(Debug, Default)]
struct Durations {
    count: u64,
    total_micros: u64,
    longest_micros: u64,
}

impl Stats {
    /// Counts a renewal that is sent.
    pub(super) fn record_renewal(&mut self, reason: holder::RenewalReason) {
        *self.renewals.entry(reason).or_default() += 1;
    }

    /// Counts a renewal that got an answer, or none, after `span`.
    pub(super) fn record_answer(&mut self, span: duration::Span, has_answer: bool) {
        if has_answer {
            self.renewal_times.add(span);
        } else {
            self.unanswered_renewals += 1;
        }
    }

    /// Counts a request that was admitted without waiting.
    pub(super) fn record_admitted_at_once(&mut self) {
        self.admitted_at_once += 1;
    }

    /// Counts a request that waited for `span` before it was admitted or refused.
    pub(super) fn record_wait(&mut self, span: duration::Span, admitted: bool) {
        let waits = if admitted {
            &mut self.admitted_waits
        } else {
            &mut self.refused_waits
        };
        waits.add(span);
    }

    /// The next summary line, if one is due and there were requests.
    pub(super) fn summary_line(&mut self, now: duration::Instant) -> Option<String> {
        if now.since(self.period_start) < LOG_INTERVAL {
            return None;
        }
        let finished = std::mem::take(self);
        self.period_start = now;
        let requests = finished.admitted_at_once
            + finished.admitted_waits.count
            + finished.refused_waits.count;
        if requests == 0 {
            return None;
        }
        let mut line = format!("{} requests admitted at once", finished.admitted_at_once);
        // Writing to a string never fails.
        let _infallible = write!(
            line,
            ", {} after waiting {}, {} refused after {}; renewals",
            finished.admitted_waits.count,
            finished.admitted_waits.describe(),
            finished.refused_waits.count,
            finished.refused_waits.describe(),
        );
        for (reason, count) in &finished.renewals {
            let _infallible = write!(line, " {} {count},", reason_label(*reason));
        }
        let _infallible = write!(
            line,
            " {} answered in {}, {} unanswered",
            finished.renewal_times.count,
            finished.renewal_times.describe(),
            finished.unanswered_renewals
        );
        Some(line)
    }
}

impl Durations {
    fn add(&mut self, span: duration::Span) {
        self.count += 1;
        self.total_micros += span.0;
        self.longest_micros = self.longest_micros.max(span.0);
    }

    fn describe(&self) -> String {
        let mean = self.total_micros / self.count.max(1);
        format!(
            "{} ms, {} ms at most",
            mean / 1_000,
            self.longest_micros / 1_000
        )
    }
}

const fn reason_label(reason: holder::RenewalReason) -> &'static str {
    match reason {
        holder::RenewalReason::Interval => "by period",
        holder::RenewalReason::Shortage => "for shortage",
        holder::RenewalReason::Confirmation => "for confirmation",
        holder::RenewalReason::NoAnswer => "after no answer",
    }
}
