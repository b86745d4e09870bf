//! Requests of one workspace that wait for tokens, first come first served but for small ones.

use std::collections::VecDeque;

use cranberrygap_model::duration;

use super::amount::{Amount, Flow};

/// How many times smaller than the first in line a request must be to go before it.
const SMALL: u64 = 8;

#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) ticket: u64,
    pub(super) cost: Amount,
    pub(super) deadline: duration::Instant,
    stage: Stage,
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
    /// What has gone before the first in line.
    passed: Amount,
}

impl Line {
    pub(super) fn push(&mut self, ticket: u64, cost: Amount, deadline: duration::Instant) {
        self.total = self.total.plus(cost);
        self.waiters.push_back(Waiter {
            ticket,
            cost,
            deadline,
            stage: Stage::New,
        });
    }

    pub(super) fn front(&self) -> Option<Waiter> {
        self.waiters.front().copied()
    }

    pub(super) fn pop(&mut self) {
        if let Some(waiter) = self.waiters.pop_front() {
            self.total = self.total.minus(waiter.cost);
            self.passed = Amount::ZERO;
        }
    }

    /// Whether a request may take tokens that are there though others wait.
    ///
    /// A booking costs a few tokens, a prompt thousands. In line behind prompts each
    /// booking of a workspace above its rate would be late, though the tokens that it
    /// needs are there most of the time. What goes before the first in line costs no
    /// more than that one itself, so that small requests hold up no large one for good.
    pub(super) fn may_pass(&self, cost: Amount) -> bool {
        let Some(first) = self.waiters.front() else {
            return true;
        };
        let small = cost.0.saturating_mul(SMALL) <= first.cost.0;
        small && self.passed.plus(cost) <= first.cost
    }

    /// A request has gone before those in line.
    pub(super) fn pass(&mut self, cost: Amount) {
        if !self.waiters.is_empty() {
            self.passed = self.passed.plus(cost);
        }
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
    /// A request that the leader's answer did not help and that the share's own
    /// rate will not help before its deadline is given up at once.
    pub(super) fn hopeless(
        &mut self,
        now: duration::Instant,
        level: Amount,
        rate: Flow,
    ) -> Vec<(u64, duration::Span)> {
        let mut given_up = Vec::new();
        let mut ahead = Amount::ZERO;
        let mut total = self.total;
        self.waiters.retain(|waiter| {
            let needs = ahead.plus(waiter.cost);
            let wait = rate.time_for(needs.minus(level));
            let late = now.after(wait) > waiter.deadline;
            let drop = now >= waiter.deadline || (waiter.stage == Stage::Answered && late);
            if drop {
                given_up.push((waiter.ticket, wait));
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
        self.waiters.iter().map(|waiter| waiter.deadline).min()
    }
}
