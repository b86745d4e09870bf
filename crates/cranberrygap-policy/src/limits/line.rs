//! Requests of one workspace that wait for tokens, first come first served.

use std::collections::VecDeque;

use cranberrygap_model::duration;

use super::amount::{Amount, Flow};

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
