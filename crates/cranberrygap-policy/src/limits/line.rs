//! Requests of one workspace that wait for tokens, first come first served but for small ones.

use std::collections::VecDeque;

use cranberrygap_model::duration;

use super::amount::{Amount, Flow};

/// How many times smaller than the first in line a request must be to go before it.
const SMALL: u64 = 3;

#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) ticket: u64,
    pub(super) cost: Amount,
    /// Until when it waits behind others, and until when for the leader's word.
    pub(super) in_line: duration::Instant,
    pub(super) for_leader: duration::Instant,
    stage: Stage,
    /// What small requests that came later have taken before it.
    passed: Amount,
}

/// How long a request waits for its tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MaxWait {
    /// How long it waits if the leader says that others come first.
    ///
    /// A workspace that asks for more than its rate has requests in line all the time. Its
    /// tokens serve as many whether these wait for long or not; after a long wait each of
    /// them is late, after a short one those that are served are in time.
    pub in_queue: duration::Span,
    /// How long it waits for the leader's word.
    pub for_leader: duration::Span,
}

impl MaxWait {
    /// The same for both.
    #[must_use]
    pub const fn uniform(span: duration::Span) -> Self {
        Self {
            in_queue: span,
            for_leader: span,
        }
    }
}

/// How far the leader's view of a waiting request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    New,
    Asked,
    Answered,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Line {
    waiters: VecDeque<Waiter>,
    total: Amount,
}

/// When waiting requests may get their tokens, as the leader said.
#[derive(Debug, Clone, Copy)]
pub(super) struct Outlook {
    /// Tokens short of the first in line at that time, and of all.
    pub(super) first: Amount,
    pub(super) wanted: Amount,
    /// When these may be there.
    pub(super) first_at: duration::Instant,
    pub(super) all_at: duration::Instant,
}

impl Outlook {
    /// When so many tokens may have come.
    pub(super) fn at(&self, short: Amount) -> duration::Instant {
        if short <= self.first {
            return self.first_at;
        }
        let more = short.minus(self.first).as_f64();
        let rest = self.wanted.minus(self.first).as_f64().max(1.0);
        let span = self.all_at.since(self.first_at);
        self.first_at.after(span.scaled(more / rest))
    }
}

/// Whether a request may go before one that came earlier and costs `first`, which
/// others that cost `passed` have overtaken already.
///
/// A booking costs a few tokens, a prompt thousands. In line behind prompts each
/// booking of a workspace above its rate would be late, though the tokens that it
/// needs are there most of the time. What goes before a request costs no more than
/// that one itself, so that small requests hold up no large one for good.
pub(super) fn may_pass(cost: Amount, first: Amount, passed: Amount) -> bool {
    let small = cost.0.saturating_mul(SMALL) <= first.0;
    small && passed.plus(cost) <= first
}

impl Line {
    pub(super) fn push(
        &mut self,
        now: duration::Instant,
        ticket: u64,
        cost: Amount,
        patience: MaxWait,
    ) {
        self.total = self.total.plus(cost);
        let mut place = self.waiters.len();
        while let Some(before) = place
            .checked_sub(1)
            .and_then(|place| self.waiters.get_mut(place))
        {
            if !may_pass(cost, before.cost, before.passed) {
                break;
            }
            before.passed = before.passed.plus(cost);
            place -= 1;
        }
        let waiter = Waiter {
            ticket,
            cost,
            in_line: now.after(patience.in_queue),
            for_leader: now.after(patience.for_leader),
            stage: Stage::New,
            passed: Amount::ZERO,
        };
        self.waiters.insert(place, waiter);
    }

    pub(super) fn front(&self) -> Option<Waiter> {
        self.waiters.front().copied()
    }

    pub(super) fn pop(&mut self) {
        if let Some(waiter) = self.waiters.pop_front() {
            self.total = self.total.minus(waiter.cost);
        }
    }

    /// Whether a request may take tokens that are there though others wait.
    pub(super) fn may_pass(&self, cost: Amount) -> bool {
        let mut waiters = self.waiters.iter();
        waiters.all(|waiter| may_pass(cost, waiter.cost, waiter.passed))
    }

    /// A request has gone before those in line.
    pub(super) fn pass(&mut self, cost: Amount) {
        for waiter in &mut self.waiters {
            waiter.passed = waiter.passed.plus(cost);
        }
    }

    /// Whether some in line are not known to the leader.
    pub(super) fn has_new(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.stage == Stage::New)
    }

    pub(super) fn total(&self) -> Amount {
        self.total
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Takes a request out whose caller has left.
    pub(super) fn remove(&mut self, ticket: u64) {
        let total = &mut self.total;
        self.waiters.retain(|waiter| {
            let keep = waiter.ticket != ticket;
            if !keep {
                *total = total.minus(waiter.cost);
            }
            keep
        });
    }

    /// Whoever was asked for those in line lends no more.
    pub(super) fn forgotten(&mut self) {
        for waiter in &mut self.waiters {
            waiter.stage = Stage::New;
        }
    }

    /// A renewal leaves that asks for what all in line lack.
    pub(super) fn asked(&mut self) {
        for waiter in &mut self.waiters {
            if waiter.stage == Stage::New {
                waiter.stage = Stage::Asked;
            }
        }
    }

    /// The answer to the last renewal has come.
    pub(super) fn answered(&mut self) {
        for waiter in &mut self.waiters {
            if waiter.stage == Stage::Asked {
                waiter.stage = Stage::Answered;
            }
        }
    }

    /// Takes out who cannot be served in time, with the time until it could be.
    ///
    /// A request that the leader's answer did not help, and that neither the share's own
    /// rate nor the pool will help before its deadline, is given up at once.
    pub(super) fn hopeless(
        &mut self,
        now: duration::Instant,
        level: Amount,
        rate: Flow,
        outlook: Option<Outlook>,
    ) -> Vec<(u64, duration::Span)> {
        let mut given_up = Vec::new();
        let mut ahead = Amount::ZERO;
        let mut total = self.total;
        self.waiters.retain(|waiter| {
            let needs = ahead.plus(waiter.cost);
            let short = needs.minus(level);
            let own = now.after(rate.time_for(short));
            // Without a word from the leader on those that still wait it may well have
            // tokens: others have taken here what came for them.
            let lent = outlook.map_or(now, |outlook| outlook.at(short));
            let served = own.min(lent);
            let late = served > waiter.in_line;
            let told = waiter.stage == Stage::Answered;
            let drop = now >= waiter.for_leader || (told && late);
            if drop {
                given_up.push((waiter.ticket, served.since(now)));
                total = total.minus(waiter.cost);
            } else {
                ahead = needs;
            }
            !drop
        });
        self.total = total;
        given_up
    }

    pub(super) fn next_deadline(&self) -> Option<duration::Instant> {
        let waiters = self.waiters.iter();
        waiters.map(|waiter| waiter.for_leader).min()
    }
}
