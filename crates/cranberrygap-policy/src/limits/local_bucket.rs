//! Token bucket of one workspace at one entry: its share, its loans and its waiting requests.

use cranberrygap_model::{duration, id, token};
use cranberrygap_wire::share;

use super::RENEWAL_INTERVAL;
use super::amount::{self, Amount, FixedRate};
use super::loan_issuer::LOAN_DURATION;
use super::loan_requests::LoanSource;
use super::received_loans::ReceivedLoans;
use super::refund_limit::RefundLimit;
use super::wait_queue::{Forecast, WaitQueue};

/// Time constant of the moving average of demand.
///
/// Long enough to smooth single requests, short enough to follow demand that moves between
/// entries.
const DEMAND_TIME_CONSTANT: duration::Span = duration::Span::from_millis(1_500);

/// Weight of one request in the moving average of request costs.
const COST_WEIGHT: f64 = 0.1;

/// Time of accrual for which space stays free while an answer is awaited.
///
/// Covers the usual round trip, so that no accrued tokens are lost.
const ACCRUAL_RESERVE: duration::Span = duration::Span::from_millis(100);

/// Time before a loan's end at which its unspent tokens are returned.
const RETURN_BEFORE_END: duration::Span = duration::Span::from_millis(150);

/// Time for which a lender that had nothing to lend is not asked again.
///
/// The leader leases the pool to it within some round trips.
const DENIAL_DURATION: duration::Span = duration::Span::from_millis(200);

#[derive(Debug, Clone, Default)]
pub(super) struct LocalBucket {
    pub(super) share: u64,
    pub(super) rate: FixedRate,
    pub(super) cap: Amount,
    pub(super) level: Amount,
    pub(super) lease_end: duration::Instant,
    /// Space kept free for tokens that may arrive with the awaited answer.
    reserved_space: Amount,
    /// Least free space since the awaited answer was requested.
    min_free_space: Amount,
    /// Tokens to return with the next renewal, after the share shrank.
    surplus: Amount,
    /// Whether the share changed and the leader does not know yet that the change arrived.
    unconfirmed: bool,
    pub(super) queue: WaitQueue,
    /// Entry that lends this workspace's tokens, if any.
    pub(super) lender: Option<id::Instance>,
    /// Time until which the leader is asked because the lender had nothing to lend.
    denied_until: Option<duration::Instant>,
    /// Lender whose answer about waiting requests is awaited.
    asked_source: Option<LoanSource>,
    loans: ReceivedLoans,
    /// Tokens that the first and all waiting requests lacked when the lender was asked.
    asked_shortage: (Amount, Amount),
    pub(super) forecast: Option<Forecast>,
    /// Tokens of loans to return when the holder closes.
    returned_at_close: Amount,
    /// Moving average of request costs.
    typical_cost: f64,
    accrued_at: duration::Instant,
    /// Tokens that callers requested since `measured_at`.
    requested: Amount,
    /// Moving average of the tokens that callers request per second.
    demand: f64,
    measured_at: duration::Instant,
    pub(super) refunds: RefundLimit,
}

impl LocalBucket {
    pub(super) fn new(now: duration::Instant) -> Self {
        Self {
            accrued_at: now,
            measured_at: now,
            ..Self::default()
        }
    }

    /// Advances the bucket to `now`: drops a share whose lease has run out, then accrues tokens.
    pub(super) fn advance(&mut self, now: duration::Instant) {
        if self.share != 0 && now >= self.lease_end {
            self.drop_share();
        }
        let accrued = self.rate.accrued_in(now.since(self.accrued_at));
        self.accrued_at = self.accrued_at.max(now);
        self.level = self.level.plus(accrued).min(self.max_level());
        self.loans.expire(now);
        self.denied_until = self.denied_until.filter(|until| now < *until);
        self.observe_free_space();
    }

    /// Returns the tokens that may be spent.
    pub(super) fn available(&self) -> Amount {
        self.level.plus(self.loans.free())
    }

    /// Takes `cost` tokens if they are available.
    pub(super) fn take(&mut self, cost: Amount, number: u64) -> bool {
        if cost > self.available() {
            return false;
        }
        // Loans end soon, so they are spent first.
        let lent = self.loans.take(number, cost);
        self.level = self.level.minus(cost.minus(lent));
        self.refunds.record_reservation(number, self.free_space());
        true
    }

    /// Sets another lender, which knows of no waiting request yet.
    pub(super) fn set_lender(&mut self, lender: Option<id::Instance>) {
        self.lender = lender;
        self.denied_until = None;
        self.forecast = None;
        self.queue.mark_new();
    }

    /// Records that `from` has nothing to lend; the leader may have the tokens meanwhile.
    pub(super) fn record_denial(&mut self, now: duration::Instant, from: &LoanSource) {
        self.denied_until = Some(now.after(DENIAL_DURATION));
        if self.asked_source.as_ref() == Some(from) {
            self.asked_source = None;
            self.forecast = None;
            self.queue.mark_new();
        }
    }

    /// Returns when to ask the lender again for waiting requests.
    pub(super) fn retry_lender_at(&self) -> Option<duration::Instant> {
        self.denied_until.filter(|_| self.shortage() > Amount::ZERO)
    }

    /// Returns whether loans are requested from the lender.
    pub(super) const fn borrows_from_lender(&self) -> bool {
        self.lender.is_some() && self.denied_until.is_none()
    }

    /// Records that callers requested `cost` tokens.
    pub(super) fn record_request(&mut self, cost: Amount) {
        self.requested = self.requested.plus(cost);
        let weight = if self.typical_cost > 0.0 {
            COST_WEIGHT
        } else {
            1.0
        };
        self.typical_cost += (cost.as_f64() - self.typical_cost) * weight;
    }

    /// Refunds the unused part of a reservation, as far as the refund limit allows.
    pub(super) fn refund(&mut self, number: u64, unused: Amount) {
        self.requested = self.requested.minus(unused);
        let unused = unused.minus(self.loans.close_reservation(number, unused));
        // Tokens on their way to this entry count as if they had arrived when they were
        // requested.
        let unreserved = self
            .min_free_space
            .min(self.free_space())
            .minus(self.reserved_space);
        let limit = if self.reserved_space > Amount::ZERO {
            unreserved
        } else {
            self.free_space()
        };
        let refund = self.refunds.refund(number, unused.min(limit));
        self.level = self.level.plus(refund);
        self.observe_free_space();
    }

    /// Returns the demand for the next renewal, and reserves space for the tokens of its answer.
    pub(super) fn take_demand(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        borrows: bool,
    ) -> share::Demand {
        self.update_demand(now);
        self.reserved_space = Amount::ZERO;
        self.reserved_space = Amount::from_count(
            self.free_space()
                .minus(self.rate.accrued_in(ACCRUAL_RESERVE))
                .floor(),
        );
        self.min_free_space = self.free_space();
        self.unconfirmed = false;
        let returned = std::mem::take(&mut self.surplus).floor();
        let returned_at_close = std::mem::take(&mut self.returned_at_close);
        let return_before = now.after(RENEWAL_INTERVAL);
        let unlent = self
            .loans
            .take_ending(return_before, &LoanSource::Leader)
            .plus(returned_at_close);
        let (first, wanted) = self.record_asked(&LoanSource::Leader, borrows);
        share::Demand {
            workspace: workspace.clone(),
            rate: token::Rate(self.demand),
            wanted: wanted.ceil(),
            returned,
            room: self.reserved_space.floor(),
            share: self.share,
            first: first.ceil(),
            usual: amount::ceil_count(self.typical_cost),
            lent: self.loans.held_from(&LoanSource::Leader).ceil(),
            unlent: unlent.floor(),
        }
    }

    /// Returns the demand for the next loan request to the lender.
    pub(super) fn take_loan_demand(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        lender: &LoanSource,
        borrows: bool,
    ) -> share::Demand {
        self.update_demand(now);
        let unlent = self.loans.take_ending(now.after(RETURN_BEFORE_END), lender);
        let (first, wanted) = self.record_asked(lender, borrows);
        share::Demand {
            workspace: workspace.clone(),
            rate: token::Rate(self.demand),
            wanted: wanted.ceil(),
            returned: token::Count(0),
            room: token::Count(0),
            share: 0,
            first: first.ceil(),
            usual: amount::ceil_count(self.typical_cost),
            lent: self.loans.held_from(lender).ceil(),
            unlent: unlent.floor(),
        }
    }

    /// Records that `source` is asked; returns the tokens that the first and all requests lack.
    ///
    /// Both are zero unless `source` is to lend them.
    fn record_asked(&mut self, source: &LoanSource, borrows: bool) -> (Amount, Amount) {
        if !borrows {
            return (Amount::ZERO, Amount::ZERO);
        }
        self.queue.mark_asked();
        self.asked_source = Some(source.clone());
        self.asked_shortage = (self.first_shortage(), self.shortage());
        if self.asked_shortage.1 == Amount::ZERO {
            self.asked_source = None;
            self.forecast = None;
        }
        self.asked_shortage
    }

    /// Applies what the answer to a renewal sent at `sent` grants until `until`.
    pub(super) fn apply(
        &mut self,
        now: duration::Instant,
        grant: &share::Grant,
        sent: duration::Instant,
        until: duration::Instant,
    ) {
        self.add_loan(now, grant, sent.after(LOAN_DURATION), &LoanSource::Leader);
        let cap = Amount::from_count(grant.cap);
        let shrinks = cap < self.cap;
        self.unconfirmed = grant.share != self.share;
        let tokens = Amount::from_count(grant.tokens);
        let growth = cap.minus(self.cap);
        self.refunds
            .observe_free_space(self.min_free_space.plus(growth).minus(tokens));
        self.reserved_space = Amount::ZERO;
        self.share = grant.share;
        self.rate = FixedRate::from_rate(grant.rate);
        self.cap = cap;
        self.lease_end = until;
        self.level = self.level.plus(tokens);
        if shrinks {
            self.surplus = self.surplus.plus(self.level.minus(cap));
        }
        self.level = self.level.min(cap);
        self.observe_free_space();
    }

    /// Adds a loan that lasts until `until`, and the forecast for waiting requests.
    pub(super) fn add_loan(
        &mut self,
        now: duration::Instant,
        grant: &share::Grant,
        until: duration::Instant,
        from: &LoanSource,
    ) {
        self.loans.add(Amount::from_count(grant.lent), until, from);
        if self.asked_source.as_ref() == Some(from) {
            self.forecast = (grant.wait.0 > 0).then(|| Forecast {
                first_shortage: self.asked_shortage.0,
                total_shortage: self.asked_shortage.1,
                first_at: now.after(grant.wait),
                all_at: now.after(grant.longest),
            });
        }
    }

    /// Ends the wait for the leader's answer.
    pub(super) fn end_renewal(&mut self) {
        self.reserved_space = Amount::ZERO;
        self.record_answer(&LoanSource::Leader);
    }

    /// Marks waiting requests as answered if `from` was asked for them.
    pub(super) fn record_answer(&mut self, from: &LoanSource) {
        if self.asked_source.as_ref() == Some(from) {
            self.queue.mark_answered();
        }
    }

    /// Returns when unspent loans of `from` must be returned.
    pub(super) fn return_loans_at(&self, from: &LoanSource) -> Option<duration::Instant> {
        let end = self.loans.first_unspent_end(from)?;
        Some(duration::Instant(end.0.saturating_sub(RETURN_BEFORE_END.0)))
    }

    /// Returns whether a loan request to `source` has anything to report of this workspace.
    pub(super) fn has_report_for(&self, source: &LoanSource) -> bool {
        let asked = self.asked_source.as_ref() == Some(source);
        asked || self.shortage() > Amount::ZERO || self.loans.has_from(source)
    }

    /// Returns whether the bucket holds a share or a loan of the leader.
    pub(super) fn holds_leader_tokens(&self) -> bool {
        let has_share = self.rate > FixedRate::ZERO || self.cap > Amount::ZERO;
        has_share || self.loans.has_from(&LoanSource::Leader)
    }

    /// Returns when the first waiting request can be served from accrual, or a deadline passes.
    pub(super) fn next_decision_at(&self) -> Option<duration::Instant> {
        let first = self.queue.front()?;
        let served = self
            .accrued_at
            .after(self.rate.time_to_accrue(first.cost.minus(self.available())));
        let deadline = self.queue.next_deadline()?;
        Some(served.min(deadline))
    }

    /// Returns the tokens that waiting requests lack.
    pub(super) fn shortage(&self) -> Amount {
        self.queue.total_cost().minus(self.available())
    }

    /// Returns the tokens that the first waiting request lacks.
    fn first_shortage(&self) -> Amount {
        let first = self.queue.front();
        first.map_or(Amount::ZERO, |first| first.cost.minus(self.available()))
    }

    /// Returns when to ask for the tokens that waiting requests lack.
    ///
    /// An earlier answer forecast when they may be available; asked before that time, the
    /// leader would give the same answer, and with many entries above their rate it would do
    /// little else.
    pub(super) fn next_request_at(&self, earliest: duration::Instant) -> Option<duration::Instant> {
        if self.shortage() == Amount::ZERO {
            return None;
        }
        if self.queue.has_new_requests() {
            return Some(earliest);
        }
        let forecast = self.forecast.map(|forecast| forecast.first_at);
        Some(forecast.unwrap_or(earliest).max(earliest))
    }

    /// Stops admitting requests and marks all tokens for return.
    pub(super) fn close(&mut self) {
        self.surplus = self.surplus.plus(self.level);
        self.returned_at_close = self.loans.close();
        self.unconfirmed = true;
        self.share = 0;
        self.level = Amount::ZERO;
        self.rate = FixedRate::ZERO;
        self.cap = Amount::ZERO;
        self.refunds.clear();
    }

    /// Returns whether the leader must soon learn of a changed share.
    ///
    /// Another entry may then get what this entry no longer has.
    pub(super) fn needs_confirmation(&self) -> bool {
        self.unconfirmed
    }

    /// Returns whether there is nothing to hold, request or confirm.
    pub(super) fn is_idle(&self) -> bool {
        let has_share = self.rate > FixedRate::ZERO || self.cap > Amount::ZERO;
        let has_demand =
            self.requested > Amount::ZERO || !self.queue.is_empty() || self.demand >= 1.0;
        !has_share && !has_demand && !self.unconfirmed && self.loans.is_empty()
    }

    /// Drops the share and all its tokens and refunds when its lease has run out.
    ///
    /// The leader may give rate and tokens of a lost share to another entry as soon as the
    /// lease has run out. With a holder that went on, the workspace would exceed its burst.
    fn drop_share(&mut self) {
        self.share = 0;
        self.rate = FixedRate::ZERO;
        self.cap = Amount::ZERO;
        self.level = Amount::ZERO;
        self.reserved_space = Amount::ZERO;
        self.surplus = Amount::ZERO;
        self.unconfirmed = false;
        self.refunds.clear();
    }

    fn max_level(&self) -> Amount {
        self.cap.minus(self.reserved_space)
    }

    /// Returns the space without tokens, reserved or not.
    fn free_space(&self) -> Amount {
        self.cap.minus(self.level)
    }

    fn observe_free_space(&mut self) {
        let space = self.free_space();
        self.min_free_space = self.min_free_space.min(space);
        self.refunds.observe_free_space(space);
    }

    fn update_demand(&mut self, now: duration::Instant) {
        let span = now.since(self.measured_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let asked = std::mem::take(&mut self.requested).as_f64() / span;
        let weight = 1.0 - (-span / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand += (asked - self.demand) * weight;
        self.measured_at = now;
    }
}
