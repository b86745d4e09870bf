//! What one entry holds of one workspace's bucket.

use cranberrygap_model::{duration, id, token};
use cranberrygap_wire::share;

use super::RENEWAL_INTERVAL;
use super::amount::{self, Amount, FixedRate};
use super::loan_issuer::LOAN_DURATION;
use super::loan_requests::LoanSource;
use super::received_loans::ReceivedLoans;
use super::refund_limit::RefundLimit;
use super::wait_queue::{Forecast, WaitQueue};

/// Time over which the asked rate is averaged. Long enough to smooth single
/// requests, short enough to follow demand that moves between entries.
const DEMAND_TIME_CONSTANT: duration::Span = duration::Span::from_millis(1_500);

/// Weight of one request in what a usual one costs.
const COST_WEIGHT: f64 = 0.1;

/// Space that stays free for accrual while an answer is awaited, as time of the
/// share's own rate. Covers the usual round trip, so that no accrual is lost.
const ACCRUAL_RESERVE: duration::Span = duration::Span::from_millis(100);

/// Time before its end at which a loan that nobody took is handed back.
const RETURN_BEFORE_END: duration::Span = duration::Span::from_millis(150);

/// Time for which an entry that had nothing to lend is not asked again. The leader hands it
/// over within some round trips.
const DENIAL_DURATION: duration::Span = duration::Span::from_millis(200);

#[derive(Debug, Clone, Default)]
pub(super) struct LocalBucket {
    pub(super) share: u64,
    pub(super) rate: FixedRate,
    pub(super) cap: Amount,
    pub(super) level: Amount,
    pub(super) lease_end: duration::Instant,
    /// Space kept free for tokens that may come with the awaited answer.
    reserved_space: Amount,
    /// Least space beside the tokens since the awaited answer was asked for.
    min_free_space: Amount,
    /// Tokens to hand back with the next renewal, after the share shrank.
    surplus: Amount,
    /// The share changed and the leader does not know yet that it arrived.
    unconfirmed: bool,
    pub(super) queue: WaitQueue,
    /// The entry that lends this workspace's tokens, if one does.
    pub(super) lender: Option<id::Instance>,
    /// Until when the leader is asked, since the entry that lends had nothing to lend.
    denied_until: Option<duration::Instant>,
    /// Whom the awaited answer about those in line is awaited from.
    asked_source: Option<LoanSource>,
    loans: ReceivedLoans,
    /// What the awaited answer was asked for: the first in line, and all.
    asked_shortage: (Amount, Amount),
    pub(super) forecast: Option<Forecast>,
    /// What is handed back of loans when the holder closes.
    returned_at_close: Amount,
    /// Cost of a usual request of late.
    typical_cost: f64,
    accrued_at: duration::Instant,
    requested: Amount,
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

    /// Brings the stock up to `now`: the lease may have run out, else tokens accrue.
    pub(super) fn advance(&mut self, now: duration::Instant) {
        if self.share != 0 && now >= self.lease_end {
            self.drop_share();
        }
        let gained = self.rate.accrued_in(now.since(self.accrued_at));
        self.accrued_at = self.accrued_at.max(now);
        self.level = self.level.plus(gained).min(self.max_level());
        self.loans.expire(now);
        self.denied_until = self.denied_until.filter(|until| now < *until);
        self.observe_free_space();
    }

    /// Tokens that may be spent.
    pub(super) fn available(&self) -> Amount {
        self.level.plus(self.loans.free())
    }

    /// Takes `cost` if it is there.
    pub(super) fn take(&mut self, cost: Amount, number: u64) -> bool {
        if cost > self.available() {
            return false;
        }
        // What is lent runs out soon, so it goes first.
        let lent = self.loans.take(number, cost);
        self.level = self.level.minus(cost.minus(lent));
        self.refunds.record_reservation(number, self.free_space());
        true
    }

    /// Borrows from another lender from now on; it knows of nobody in line yet.
    pub(super) fn set_lender(&mut self, lender: Option<id::Instance>) {
        self.lender = lender;
        self.denied_until = None;
        self.forecast = None;
        self.queue.mark_new();
    }

    /// `from` was asked and has nothing to lend; the leader may have the tokens meanwhile.
    pub(super) fn record_denial(&mut self, now: duration::Instant, from: &LoanSource) {
        self.denied_until = Some(now.after(DENIAL_DURATION));
        if self.asked_source.as_ref() == Some(from) {
            self.asked_source = None;
            self.forecast = None;
            self.queue.mark_new();
        }
    }

    /// When the entry that lends is to be asked again for those in line.
    pub(super) fn retry_lender_at(&self) -> Option<duration::Instant> {
        self.denied_until.filter(|_| self.shortage() > Amount::ZERO)
    }

    /// Whether the entry that lends is to be asked.
    pub(super) const fn borrows_from_lender(&self) -> bool {
        self.lender.is_some() && self.denied_until.is_none()
    }

    /// Notes that callers asked for `cost`.
    pub(super) fn record_request(&mut self, cost: Amount) {
        self.requested = self.requested.plus(cost);
        let part = if self.typical_cost > 0.0 {
            COST_WEIGHT
        } else {
            1.0
        };
        self.typical_cost += (cost.as_f64() - self.typical_cost) * part;
    }

    /// Gives back the unused part of reservation `number`, as far as it may return.
    pub(super) fn refund(&mut self, number: u64, unused: Amount) {
        self.requested = self.requested.minus(unused);
        let unused = unused.minus(self.loans.close_reservation(number, unused));
        // Tokens that are on their way here count as if they had arrived when they
        // were asked for.
        let open = self
            .min_free_space
            .min(self.free_space())
            .minus(self.reserved_space);
        let limit = if self.reserved_space > Amount::ZERO {
            open
        } else {
            self.free_space()
        };
        let back = self.refunds.refund(number, unused.min(limit));
        self.level = self.level.plus(back);
        self.observe_free_space();
    }

    /// What the next renewal to the leader says; space is set aside for its answer.
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
        let closed = std::mem::take(&mut self.returned_at_close);
        let soon = now.after(RENEWAL_INTERVAL);
        let unlent = self
            .loans
            .take_ending(soon, &LoanSource::Leader)
            .plus(closed);
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

    /// What the next question to the entry that lends says.
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

    /// What `source` is told that those in line lack: nothing, unless it is to lend it.
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

    /// Takes over what an answer to a renewal sent at `sent` grants until `until`.
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

    /// Takes over what is lent until `until`, and when there is more for those in line.
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

    /// Those in line were told of, if this is whom they asked.
    pub(super) fn record_answer(&mut self, from: &LoanSource) {
        if self.asked_source.as_ref() == Some(from) {
            self.queue.mark_answered();
        }
    }

    /// When a loan of `from` that nobody took is handed back.
    pub(super) fn return_loans_at(&self, from: &LoanSource) -> Option<duration::Instant> {
        let end = self.loans.first_unspent_end(from)?;
        Some(duration::Instant(end.0.saturating_sub(RETURN_BEFORE_END.0)))
    }

    /// Whether a question to `source` has anything to say of this workspace.
    pub(super) fn has_report_for(&self, source: &LoanSource) -> bool {
        let asked = self.asked_source.as_ref() == Some(source);
        asked || self.shortage() > Amount::ZERO || self.loans.has_from(source)
    }

    /// Whether the leader's answers carry anything for this workspace.
    pub(super) fn holds_leader_tokens(&self) -> bool {
        let share = self.rate > FixedRate::ZERO || self.cap > Amount::ZERO;
        share || self.loans.has_from(&LoanSource::Leader)
    }

    /// When the first in line can be served from accrual, or a deadline passes.
    pub(super) fn next_decision_at(&self) -> Option<duration::Instant> {
        let first = self.queue.front()?;
        let served = self
            .accrued_at
            .after(self.rate.time_to_accrue(first.cost.minus(self.available())));
        let deadline = self.queue.next_deadline()?;
        Some(served.min(deadline))
    }

    /// Tokens that waiting requests lack.
    pub(super) fn shortage(&self) -> Amount {
        self.queue.total_cost().minus(self.available())
    }

    /// Tokens that the first of them lacks.
    fn first_shortage(&self) -> Amount {
        let first = self.queue.front();
        first.map_or(Amount::ZERO, |first| first.cost.minus(self.available()))
    }

    /// When the leader should be asked for what waiting requests lack.
    ///
    /// It said when they may get it; asked earlier it would say the same again, and with
    /// many entries above their rate it would do little else.
    pub(super) fn next_request_at(&self, soonest: duration::Instant) -> Option<duration::Instant> {
        if self.shortage() == Amount::ZERO {
            return None;
        }
        if self.queue.has_new_requests() {
            return Some(soonest);
        }
        let forecast = self.forecast.map(|outlook| outlook.first_at);
        Some(forecast.unwrap_or(soonest).max(soonest))
    }

    /// Stops admitting and offers all tokens for return.
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

    /// Whether the leader should hear soon of a changed share, so that another
    /// entry may get what this one has no longer.
    pub(super) fn needs_confirmation(&self) -> bool {
        self.unconfirmed
    }

    /// Whether there is nothing to hold, ask for or confirm.
    pub(super) fn is_idle(&self) -> bool {
        let holds = self.rate > FixedRate::ZERO || self.cap > Amount::ZERO;
        let asks = self.requested > Amount::ZERO || !self.queue.is_empty() || self.demand >= 1.0;
        !holds && !asks && !self.unconfirmed && self.loans.is_empty()
    }

    /// Forgets everything that the lease carried.
    ///
    /// The leader may give rate and tokens of a lost share to another entry as
    /// soon as the lease has run out. A holder that went on would be seen as a
    /// workspace above its burst. Tokens and refunds end with the lease.
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

    /// Space that is not taken by tokens, set aside or not.
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
        let part = 1.0 - (-span / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand += (asked - self.demand) * part;
        self.measured_at = now;
    }
}
