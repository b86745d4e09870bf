//! Questions of an entry to one lender of tokens, one at a time.

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

/// Time after which a datagram that got no answer is sent again.
const AGAIN: duration::Span = duration::Span::from_millis(25);

/// Time after which a question is given up; an answer that comes later is dropped with its
/// tokens.
const GIVEN_UP: duration::Span = duration::Span::from_millis(150);

/// Least time between two questions to one lender.
const GAP: duration::Span = duration::Span::from_millis(2);

/// Time after which a lender that gave no answer is asked again.
const PAUSE: duration::Span = duration::Span::from_millis(100);

/// What was asked of one lender, and whether it answers.
#[derive(Debug, Default)]
pub(super) struct Stream {
    awaited: Option<Awaited>,
    sent: Option<duration::Instant>,
    silent: bool,
}

#[derive(Debug)]
struct Awaited {
    question: share::Renew,
    /// When it was sent first; loans are counted from then.
    first: duration::Instant,
    /// When it was sent last.
    last: duration::Instant,
}

impl Stream {
    /// Whether the last question got no answer.
    pub(super) const fn is_silent(&self) -> bool {
        self.silent
    }

    /// When a new question may be sent at the earliest; `None` while one is awaited.
    pub(super) fn soonest(&self) -> Option<duration::Instant> {
        if self.awaited.is_some() {
            return None;
        }
        let gap = if self.silent { PAUSE } else { GAP };
        Some(
            self.sent
                .map_or_else(Default::default, |sent| sent.after(gap)),
        )
    }

    /// When the awaited question is to be sent again or given up.
    pub(super) fn again(&self) -> Option<duration::Instant> {
        let awaited = self.awaited.as_ref()?;
        Some(awaited.last.after(AGAIN))
    }

    /// Gives up a question that has waited for too long.
    pub(super) fn expire(&mut self, now: duration::Instant) -> bool {
        let given_up = self
            .awaited
            .as_ref()
            .is_some_and(|awaited| now >= awaited.first.after(GIVEN_UP));
        if given_up {
            self.awaited = None;
            self.silent = true;
        }
        given_up
    }

    /// The awaited question, to be sent again now.
    pub(super) fn repeat(&mut self, now: duration::Instant) -> Option<share::Renew> {
        let awaited = self.awaited.as_mut()?;
        awaited.last = now;
        Some(awaited.question.clone())
    }

    /// Notes a question that is sent now.
    pub(super) fn asked(&mut self, now: duration::Instant, question: share::Renew) {
        self.sent = Some(now);
        self.awaited = Some(Awaited {
            question,
            first: now,
            last: now,
        });
    }

    /// Takes an answer; gives its question and when that was sent, if it is the awaited one.
    pub(super) fn answered(
        &mut self,
        sequence: number::Sequence,
    ) -> Option<(share::Renew, duration::Instant)> {
        let awaited = self
            .awaited
            .take_if(|awaited| awaited.question.sequence == sequence)?;
        self.silent = false;
        Some((awaited.question, awaited.first))
    }
}

/// Who lends a workspace's tokens.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// The leader of the control group.
    Leader,
    /// Another entry, or this one.
    Entry(id::Instance),
}
