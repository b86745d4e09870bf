//! Queue of one workspace's requests that wait for tokens.
//!
//! It is first come, first served, except that small requests may overtake large ones.

use std::collections::VecDeque;

use cranberrygap_model::duration;

use super::amount::{Amount, FixedRate};

/// Factor by which a request must be smaller than a queued one to overtake it.
const OVERTAKE_FACTOR: u64 = 3;

/// Request in the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) ticket: u64,
    pub(super) cost: Amount,
    /// Time until which the request waits behind others.
    pub(super) queue_deadline: duration::Instant,
    /// Time until which the request waits for the leader's answer.
    pub(super) leader_deadline: duration::Instant,
    stage: Stage,
    /// Tokens of smaller requests that overtook this one.
    overtaken: Amount,
}

/// Longest waits of a request for its tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MaxWait {
    /// Longest wait once the leader has answered that other requests come first.
    ///
    /// A workspace above its rate always has requests in the queue. Its tokens serve as many
    /// requests whether these wait for long or not; after a long wait each one is late, while
    /// after a short wait those that are served are in time.
    pub in_queue: duration::Span,
    /// Longest wait for the leader's answer.
    pub for_leader: duration::Span,
}

impl MaxWait {
    /// Sets both waits to `span`.
    #[must_use]
    pub const fn uniform(span: duration::Span) -> Self {
        Self {
            in_queue: span,
            for_leader: span,
        }
    }
}

/// Whether the leader or lender that is asked knows of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    New,
    Asked,
    Answered,
}

#[derive(Debug, Clone, Default)]
pub(super) struct WaitQueue {
    waiters: VecDeque<Waiter>,
    total_cost: Amount,
}

/// Forecast in an answer of when waiting requests may get their tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    /// Tokens that the first request lacked when it was made.
    pub(super) first_shortage: Amount,
    /// Tokens that all requests lacked then.
    pub(super) total_shortage: Amount,
    /// Time at which the first request's tokens may be available.
    pub(super) first_at: duration::Instant,
    /// Time at which the tokens of all requests may be available.
    pub(super) all_at: duration::Instant,
}

impl Forecast {
    /// Returns the time at which `shortage` tokens may be available.
    pub(super) fn available_at(&self, shortage: Amount) -> duration::Instant {
        if shortage <= self.first_shortage {
            return self.first_at;
        }
        let beyond_first = shortage.minus(self.first_shortage).as_f64();
        let total_beyond_first = self
            .total_shortage
            .minus(self.first_shortage)
            .as_f64()
            .max(1.0);
        let span = self.all_at.since(self.first_at);
        self.first_at
            .after(span.scaled(beyond_first / total_beyond_first))
    }
}

/// Returns whether a request of `cost` tokens may overtake one that arrived earlier.
///
/// The earlier request costs `earlier_cost` tokens, and requests of `overtaken` tokens have
/// overtaken it already. A booking costs a few tokens, a prompt thousands. Behind prompts,
/// each booking of a workspace above its rate would be late, although the tokens it needs are
/// available most of the time. Requests that overtake another one cost no more than that one
/// in total, so that small requests delay no large one forever.
pub(super) fn may_overtake(cost: Amount, earlier_cost: Amount, overtaken: Amount) -> bool {
    let is_small = cost.0.saturating_mul(OVERTAKE_FACTOR) <= earlier_cost.0;
    is_small && overtaken.plus(cost) <= earlier_cost
}

impl WaitQueue {
    pub(super) fn push(
        &mut self,
        now: duration::Instant,
        ticket: u64,
        cost: Amount,
        max_wait: MaxWait,
    ) {
        self.total_cost = self.total_cost.plus(cost);
        let mut index = self.waiters.len();
        while let Some(earlier) = index
            .checked_sub(1)
            .and_then(|index| self.waiters.get_mut(index))
        {
            if !may_overtake(cost, earlier.cost, earlier.overtaken) {
                break;
            }
            earlier.overtaken = earlier.overtaken.plus(cost);
            index -= 1;
        }
        let waiter = Waiter {
            ticket,
            cost,
            queue_deadline: now.after(max_wait.in_queue),
            leader_deadline: now.after(max_wait.for_leader),
            stage: Stage::New,
            overtaken: Amount::ZERO,
        };
        self.waiters.insert(index, waiter);
    }

    pub(super) fn front(&self) -> Option<Waiter> {
        self.waiters.front().copied()
    }

    pub(super) fn pop(&mut self) {
        if let Some(waiter) = self.waiters.pop_front() {
            self.total_cost = self.total_cost.minus(waiter.cost);
        }
    }

    /// Returns whether a request may take available tokens although others wait.
    pub(super) fn may_overtake_all(&self, cost: Amount) -> bool {
        let mut waiters = self.waiters.iter();
        waiters.all(|waiter| may_overtake(cost, waiter.cost, waiter.overtaken))
    }

    /// Records that a request overtook all queued ones.
    pub(super) fn record_overtaking(&mut self, cost: Amount) {
        for waiter in &mut self.waiters {
            waiter.overtaken = waiter.overtaken.plus(cost);
        }
    }

    /// Returns whether the lender does not know of some queued requests.
    pub(super) fn has_new_requests(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.stage == Stage::New)
    }

    pub(super) fn total_cost(&self) -> Amount {
        self.total_cost
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes the request of a caller that left.
    pub(super) fn remove(&mut self, ticket: u64) {
        let total = &mut self.total_cost;
        self.waiters.retain(|waiter| {
            let keep = waiter.ticket != ticket;
            if !keep {
                *total = total.minus(waiter.cost);
            }
            keep
        });
    }

    /// Marks all requests as new, because the lender that was asked lends no more.
    pub(super) fn mark_new(&mut self) {
        for waiter in &mut self.waiters {
            waiter.stage = Stage::New;
        }
    }

    /// Marks new requests as asked for, as a renewal or loan request is sent for all of them.
    pub(super) fn mark_asked(&mut self) {
        for waiter in &mut self.waiters {
            if waiter.stage == Stage::New {
                waiter.stage = Stage::Asked;
            }
        }
    }

    /// Marks requests as answered when the answer has arrived.
    pub(super) fn mark_answered(&mut self) {
        for waiter in &mut self.waiters {
            if waiter.stage == Stage::Asked {
                waiter.stage = Stage::Answered;
            }
        }
    }

    /// Removes requests that cannot be served in time, with the time until they could be.
    ///
    /// A request is refused at once if the leader's answer did not help and neither the
    /// share's own rate nor the pool will help before its deadline.
    pub(super) fn remove_unservable(
        &mut self,
        now: duration::Instant,
        level: Amount,
        rate: FixedRate,
        forecast: Option<Forecast>,
    ) -> Vec<(u64, duration::Span)> {
        let mut removed = Vec::new();
        let mut ahead = Amount::ZERO;
        let mut total = self.total_cost;
        self.waiters.retain(|waiter| {
            let needed = ahead.plus(waiter.cost);
            let shortage = needed.minus(level);
            let accrued_at = now.after(rate.time_to_accrue(shortage));
            // Without a forecast for the remaining requests, the leader may well have tokens:
            // other requests took the ones that arrived.
            let lent_at = forecast.map_or(now, |forecast| forecast.available_at(shortage));
            let served_at = accrued_at.min(lent_at);
            let is_late = served_at > waiter.queue_deadline;
            let is_answered = waiter.stage == Stage::Answered;
            let is_removed = now >= waiter.leader_deadline || (is_answered && is_late);
            if is_removed {
                removed.push((waiter.ticket, served_at.since(now)));
                total = total.minus(waiter.cost);
            } else {
                ahead = needed;
            }
            !is_removed
        });
        self.total_cost = total;
        removed
    }

    pub(super) fn next_deadline(&self) -> Option<duration::Instant> {
        let waiters = self.waiters.iter();
        waiters.map(|waiter| waiter.leader_deadline).min()
    }
}
