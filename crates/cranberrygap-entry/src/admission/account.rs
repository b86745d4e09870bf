//! What an entry sums up of its renewals and of the waits of its requests.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use cranberrygap_model::duration;
use cranberrygap_policy::limits::holder;

/// Time between two lines.
const SUMMARY: duration::Span = duration::Span::from_secs(5);

/// Counts since the last line.
#[derive(Debug, Default)]
pub(super) struct Account {
    since: duration::Instant,
    renewals: BTreeMap<holder::RenewalReason, u64>,
    unanswered: u64,
    answers: Waits,
    served: Waits,
    refused: Waits,
    at_once: u64,
}

#[derive(Debug, Default)]
struct Waits {
    count: u64,
    sum: u64,
    longest: u64,
}

impl Account {
    /// A renewal is sent.
    pub(super) fn renewed(&mut self, reason: holder::RenewalReason) {
        *self.renewals.entry(reason).or_default() += 1;
    }

    /// A renewal was answered after `span`, or was not.
    pub(super) fn answered(&mut self, span: duration::Span, answered: bool) {
        if answered {
            self.answers.add(span);
        } else {
            self.unanswered += 1;
        }
    }

    /// A request found its tokens here.
    pub(super) fn served_at_once(&mut self) {
        self.at_once += 1;
    }

    /// A request waited for `span`, and was served or refused then.
    pub(super) fn waited(&mut self, span: duration::Span, served: bool) {
        let waits = if served {
            &mut self.served
        } else {
            &mut self.refused
        };
        waits.add(span);
    }

    /// The next line, if it is time for one and there is something to say.
    pub(super) fn line(&mut self, now: duration::Instant) -> Option<String> {
        if now.since(self.since) < SUMMARY {
            return None;
        }
        let done = std::mem::take(self);
        self.since = now;
        let requests = done.at_once + done.served.count + done.refused.count;
        if requests == 0 {
            return None;
        }
        let mut line = format!("{} requests had their tokens at once", done.at_once);
        // Writing to a string does not fail.
        let _infallible = write!(
            line,
            ", {} waited {}, {} were refused after {}; renewals",
            done.served.count,
            done.served.spans(),
            done.refused.count,
            done.refused.spans(),
        );
        for (reason, count) in &done.renewals {
            let _infallible = write!(line, " {} {count},", name(*reason));
        }
        let _infallible = write!(
            line,
            " {} answered in {}, {} not",
            done.answers.count,
            done.answers.spans(),
            done.unanswered
        );
        Some(line)
    }
}

impl Waits {
    fn add(&mut self, span: duration::Span) {
        self.count += 1;
        self.sum += span.0;
        self.longest = self.longest.max(span.0);
    }

    fn spans(&self) -> String {
        let mean = self.sum / self.count.max(1);
        format!("{} ms, {} ms at most", mean / 1_000, self.longest / 1_000)
    }
}

const fn name(reason: holder::RenewalReason) -> &'static str {
    match reason {
        holder::RenewalReason::Interval => "by period",
        holder::RenewalReason::Shortage => "for shortage",
        holder::RenewalReason::Confirmation => "to confirm",
        holder::RenewalReason::NoAnswer => "after silence",
    }
}
