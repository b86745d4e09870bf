//! Loan requests of an entry to one lender, one at a time.

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

/// Time after which an unanswered datagram is sent again.
const RESEND_INTERVAL: duration::Span = duration::Span::from_millis(25);

/// Time after which a loan request is given up.
///
/// An answer that arrives later is dropped with its tokens.
const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(150);

/// Shortest time between two loan requests to one lender.
const MIN_REQUEST_INTERVAL: duration::Span = duration::Span::from_millis(2);

/// Time after which a lender that did not answer is asked again.
const SILENT_LENDER_PAUSE: duration::Span = duration::Span::from_millis(100);

/// Loan request to one lender, and whether the lender answers.
#[derive(Debug, Default)]
pub(super) struct LoanRequests {
    pending: Option<Pending>,
    sent_at: Option<duration::Instant>,
    is_silent: bool,
}

/// Request whose answer is awaited.
#[derive(Debug)]
struct Pending {
    request: share::Renew,
    /// Time when it was first sent; loans are counted from then.
    first_sent_at: duration::Instant,
    /// Time when it was last sent.
    last_sent_at: duration::Instant,
}

impl LoanRequests {
    /// Returns whether the last request got no answer.
    pub(super) const fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Returns the earliest time for a new request, or `None` while an answer is awaited.
    pub(super) fn next_request_at(&self) -> Option<duration::Instant> {
        if self.pending.is_some() {
            return None;
        }
        let interval = if self.is_silent {
            SILENT_LENDER_PAUSE
        } else {
            MIN_REQUEST_INTERVAL
        };
        Some(
            self.sent_at
                .map_or_else(Default::default, |sent| sent.after(interval)),
        )
    }

    /// Returns when the awaited request must be sent again or given up.
    pub(super) fn resend_at(&self) -> Option<duration::Instant> {
        let pending = self.pending.as_ref()?;
        Some(pending.last_sent_at.after(RESEND_INTERVAL))
    }

    /// Gives up a request that has waited for too long; returns true if there was one.
    pub(super) fn give_up_expired(&mut self, now: duration::Instant) -> bool {
        let given_up = self
            .pending
            .as_ref()
            .is_some_and(|pending| now >= pending.first_sent_at.after(ANSWER_TIMEOUT));
        if given_up {
            self.pending = None;
            self.is_silent = true;
        }
        given_up
    }

    /// Returns the awaited request, to be sent again now.
    pub(super) fn resend(&mut self, now: duration::Instant) -> Option<share::Renew> {
        let pending = self.pending.as_mut()?;
        pending.last_sent_at = now;
        Some(pending.request.clone())
    }

    /// Records a request that is sent now.
    pub(super) fn record_sent(&mut self, now: duration::Instant, request: share::Renew) {
        self.sent_at = Some(now);
        self.pending = Some(Pending {
            request,
            first_sent_at: now,
            last_sent_at: now,
        });
    }

    /// Takes an answer; returns its request and when that was first sent, if it is the awaited one.
    pub(super) fn take_answer(
        &mut self,
        sequence: number::Sequence,
    ) -> Option<(share::Renew, duration::Instant)> {
        let pending = self
            .pending
            .take_if(|pending| pending.request.sequence == sequence)?;
        self.is_silent = false;
        Some((pending.request, pending.first_sent_at))
    }
}

/// Who lends a workspace's tokens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoanSource {
    /// The leader of the control group.
    Leader,
    /// An entry, possibly this one.
    Entry(id::Instance),
}
