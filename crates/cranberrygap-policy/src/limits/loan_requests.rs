//! Questions of an entry to one lender of tokens, one at a time.

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

/// Time after which a datagram that got no answer is sent again.
const RESEND_INTERVAL: duration::Span = duration::Span::from_millis(25);

/// Time after which a question is given up; an answer that comes later is dropped with its
/// tokens.
const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(150);

/// Least time between two questions to one lender.
const MIN_REQUEST_INTERVAL: duration::Span = duration::Span::from_millis(2);

/// Time after which a lender that gave no answer is asked again.
const SILENT_LENDER_PAUSE: duration::Span = duration::Span::from_millis(100);

/// What was asked of one lender, and whether it answers.
#[derive(Debug, Default)]
pub(super) struct LoanRequests {
    pending: Option<Pending>,
    sent_at: Option<duration::Instant>,
    is_silent: bool,
}

#[derive(Debug)]
struct Pending {
    request: share::Renew,
    /// When it was sent first; loans are counted from then.
    first_sent_at: duration::Instant,
    /// When it was sent last.
    last_sent_at: duration::Instant,
}

impl LoanRequests {
    /// Whether the last question got no answer.
    pub(super) const fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// When a new question may be sent at the earliest; `None` while one is awaited.
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

    /// When the awaited question is to be sent again or given up.
    pub(super) fn resend_at(&self) -> Option<duration::Instant> {
        let awaited = self.pending.as_ref()?;
        Some(awaited.last_sent_at.after(RESEND_INTERVAL))
    }

    /// Gives up a question that has waited for too long.
    pub(super) fn give_up_expired(&mut self, now: duration::Instant) -> bool {
        let given_up = self
            .pending
            .as_ref()
            .is_some_and(|awaited| now >= awaited.first_sent_at.after(ANSWER_TIMEOUT));
        if given_up {
            self.pending = None;
            self.is_silent = true;
        }
        given_up
    }

    /// The awaited question, to be sent again now.
    pub(super) fn resend(&mut self, now: duration::Instant) -> Option<share::Renew> {
        let awaited = self.pending.as_mut()?;
        awaited.last_sent_at = now;
        Some(awaited.request.clone())
    }

    /// Notes a question that is sent now.
    pub(super) fn record_sent(&mut self, now: duration::Instant, request: share::Renew) {
        self.sent_at = Some(now);
        self.pending = Some(Pending {
            request,
            first_sent_at: now,
            last_sent_at: now,
        });
    }

    /// Takes an answer; gives its question and when that was sent, if it is the awaited one.
    pub(super) fn take_answer(
        &mut self,
        sequence: number::Sequence,
    ) -> Option<(share::Renew, duration::Instant)> {
        let awaited = self
            .pending
            .take_if(|awaited| awaited.request.sequence == sequence)?;
        self.is_silent = false;
        Some((awaited.request, awaited.first_sent_at))
    }
}

/// Who lends a workspace's tokens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoanSource {
    /// The leader of the control group.
    Leader,
    /// Another entry, or this one.
    Entry(id::Instance),
}
