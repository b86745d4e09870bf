//! What one entry holds of one workspace's bucket.

use cranberrygap_model::{duration, id, token};
use cranberrygap_wire::share;

use super::RENEWAL_INTERVAL;
use super::amount::{self, Amount, Flow};
use super::line::{Line, Outlook};
use super::loan_issuer::LOAN_DURATION;
use super::loans::Loans;
use super::room::Room;
use super::stream::Source;

/// Time over which the asked rate is averaged. Long enough to smooth single
/// requests, short enough to follow demand that moves between entries.
const AVERAGE: duration::Span = duration::Span::from_millis(1_500);

/// Weight of one request in what a usual one costs.
const USUAL_PART: f64 = 0.1;

/// Space that stays free for accrual while an answer is awaited, as time of the
/// share's own rate. Covers the usual round trip, so that no accrual is lost.
const SPARE: duration::Span = duration::Span::from_millis(100);

/// Time before its end at which a loan that nobody took is handed back.
const RETURN: duration::Span = duration::Span::from_millis(150);

/// Time for which an entry that had nothing to lend is not asked again. The leader hands it
/// over within some round trips.
const DENIED: duration::Span = duration::Span::from_millis(200);

#[derive(Debug, Clone, Default)]
pub(super) struct Stock {
    pub(super) share: u64,
    pub(super) rate: Flow,
    pub(super) cap: Amount,
    pub(super) level: Amount,
    pub(super) until: duration::Instant,
    /// Space kept free for tokens that may come with the awaited answer.
    aside: Amount,
    /// Least space beside the tokens since the awaited answer was asked for.
    least: Amount,
    /// Tokens to hand back with the next renewal, after the share shrank.
    surplus: Amount,
    /// The share changed and the leader does not know yet that it arrived.
    unconfirmed: bool,
    pub(super) line: Line,
    /// The entry that lends this workspace's tokens, if one does.
    pub(super) lender: Option<id::Instance>,
    /// Until when the leader is asked, since the entry that lends had nothing to lend.
    denied: Option<duration::Instant>,
    /// Whom the awaited answer about those in line is awaited from.
    asking: Option<Source>,
    loans: Loans,
    /// What the awaited answer was asked for: the first in line, and all.
    short: (Amount, Amount),
    pub(super) outlook: Option<Outlook>,
    /// What is handed back of loans when the holder closes.
    unlent_at_close: Amount,
    /// Cost of a usual request of late.
    usual: f64,
    accrued: duration::Instant,
    asked: Amount,
    demand: f64,
    measured: duration::Instant,
    pub(super) room: Room,
}

impl Stock {
    pub(super) fn new(now: duration::Instant) -> Self {
        Self {
            accrued: now,
            measured: now,
            ..Self::default()
        }
    }

    /// Brings the stock up to `now`: the lease may have run out, else tokens accrue.
    pub(super) fn advance(&mut self, now: duration::Instant) {
        if self.share != 0 && now >= self.until {
            self.lapse();
        }
        let gained = self.rate.over(now.since(self.accrued));
        self.accrued = self.accrued.max(now);
        self.level = self.level.plus(gained).min(self.ceiling());
        self.loans.expire(now);
        self.denied = self.denied.filter(|until| now < *until);
        self.observe();
    }

    /// Tokens that may be spent.
    pub(super) fn there(&self) -> Amount {
        self.level.plus(self.loans.free())
    }

    /// Takes `cost` if it is there.
    pub(super) fn take(&mut self, cost: Amount, number: u64) -> bool {
        if cost > self.there() {
            return false;
        }
        // What is lent runs out soon, so it goes first.
        let lent = self.loans.take(number, cost);
        self.level = self.level.minus(cost.minus(lent));
        self.room.open(number, self.space());
        true
    }

    /// Borrows from another lender from now on; it knows of nobody in line yet.
    pub(super) fn turn_to(&mut self, lender: Option<id::Instance>) {
        self.lender = lender;
        self.denied = None;
        self.outlook = None;
        self.line.forgotten();
    }

    /// `from` was asked and has nothing to lend; the leader may have the tokens meanwhile.
    pub(super) fn deny(&mut self, now: duration::Instant, from: &Source) {
        self.denied = Some(now.after(DENIED));
        if self.asking.as_ref() == Some(from) {
            self.asking = None;
            self.outlook = None;
            self.line.forgotten();
        }
    }

    /// When the entry that lends is to be asked again for those in line.
    pub(super) fn denied_until(&self) -> Option<duration::Instant> {
        self.denied.filter(|_| self.short() > Amount::ZERO)
    }

    /// Whether the entry that lends is to be asked.
    pub(super) const fn asks_lender(&self) -> bool {
        self.lender.is_some() && self.denied.is_none()
    }

    /// Notes that callers asked for `cost`.
    pub(super) fn ask(&mut self, cost: Amount) {
        self.asked = self.asked.plus(cost);
        let part = if self.usual > 0.0 { USUAL_PART } else { 1.0 };
        self.usual += (cost.as_f64() - self.usual) * part;
    }

    /// Gives back the unused part of reservation `number`, as far as it may return.
    pub(super) fn refund(&mut self, number: u64, unused: Amount) {
        self.asked = self.asked.minus(unused);
        let unused = unused.minus(self.loans.settle(number, unused));
        // Tokens that are on their way here count as if they had arrived when they
        // were asked for.
        let open = self.least.min(self.space()).minus(self.aside);
        let limit = if self.aside > Amount::ZERO {
            open
        } else {
            self.space()
        };
        let back = self.room.refund(number, unused.min(limit));
        self.level = self.level.plus(back);
        self.observe();
    }

    /// What the next renewal to the leader says; space is set aside for its answer.
    pub(super) fn demand(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        borrows: bool,
    ) -> share::Demand {
        self.measure(now);
        self.aside = Amount::ZERO;
        self.aside = Amount::from_count(self.space().minus(self.rate.over(SPARE)).whole());
        self.least = self.space();
        self.unconfirmed = false;
        let returned = std::mem::take(&mut self.surplus).whole();
        let closed = std::mem::take(&mut self.unlent_at_close);
        let soon = now.after(RENEWAL_INTERVAL);
        let unlent = self.loans.hand_back(soon, &Source::Leader).plus(closed);
        let (first, wanted) = self.wants(&Source::Leader, borrows);
        share::Demand {
            workspace: workspace.clone(),
            rate: token::Rate(self.demand),
            wanted: wanted.covering(),
            returned,
            room: self.aside.whole(),
            share: self.share,
            first: first.covering(),
            usual: amount::covering(self.usual),
            lent: self.loans.kept(&Source::Leader).covering(),
            unlent: unlent.whole(),
        }
    }

    /// What the next question to the entry that lends says.
    pub(super) fn question(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        lender: &Source,
        borrows: bool,
    ) -> share::Demand {
        self.measure(now);
        let unlent = self.loans.hand_back(now.after(RETURN), lender);
        let (first, wanted) = self.wants(lender, borrows);
        share::Demand {
            workspace: workspace.clone(),
            rate: token::Rate(self.demand),
            wanted: wanted.covering(),
            returned: token::Count(0),
            room: token::Count(0),
            share: 0,
            first: first.covering(),
            usual: amount::covering(self.usual),
            lent: self.loans.kept(lender).covering(),
            unlent: unlent.whole(),
        }
    }

    /// What `source` is told that those in line lack: nothing, unless it is to lend it.
    fn wants(&mut self, source: &Source, borrows: bool) -> (Amount, Amount) {
        if !borrows {
            return (Amount::ZERO, Amount::ZERO);
        }
        self.line.asked();
        self.asking = Some(source.clone());
        self.short = (self.first_short(), self.short());
        if self.short.1 == Amount::ZERO {
            self.asking = None;
            self.outlook = None;
        }
        self.short
    }

    /// Takes over what an answer to a renewal sent at `sent` grants until `until`.
    pub(super) fn apply(
        &mut self,
        now: duration::Instant,
        grant: &share::Grant,
        sent: duration::Instant,
        until: duration::Instant,
    ) {
        self.borrow(now, grant, sent.after(LOAN_DURATION), &Source::Leader);
        let cap = Amount::from_count(grant.cap);
        let shrinks = cap < self.cap;
        self.unconfirmed = grant.share != self.share;
        let tokens = Amount::from_count(grant.tokens);
        let growth = cap.minus(self.cap);
        self.room.observe(self.least.plus(growth).minus(tokens));
        self.aside = Amount::ZERO;
        self.share = grant.share;
        self.rate = Flow::from_rate(grant.rate);
        self.cap = cap;
        self.until = until;
        self.level = self.level.plus(tokens);
        if shrinks {
            self.surplus = self.surplus.plus(self.level.minus(cap));
        }
        self.level = self.level.min(cap);
        self.observe();
    }

    /// Takes over what is lent until `until`, and when there is more for those in line.
    pub(super) fn borrow(
        &mut self,
        now: duration::Instant,
        grant: &share::Grant,
        until: duration::Instant,
        from: &Source,
    ) {
        self.loans.add(Amount::from_count(grant.lent), until, from);
        if self.asking.as_ref() == Some(from) {
            self.outlook = (grant.wait.0 > 0).then(|| Outlook {
                first: self.short.0,
                wanted: self.short.1,
                first_at: now.after(grant.wait),
                all_at: now.after(grant.longest),
            });
        }
    }

    /// Ends the wait for the leader's answer.
    pub(super) fn answered(&mut self) {
        self.aside = Amount::ZERO;
        self.heard(&Source::Leader);
    }

    /// Those in line were told of, if this is whom they asked.
    pub(super) fn heard(&mut self, from: &Source) {
        if self.asking.as_ref() == Some(from) {
            self.line.answered();
        }
    }

    /// When a loan of `from` that nobody took is handed back.
    pub(super) fn returns_at(&self, from: &Source) -> Option<duration::Instant> {
        let end = self.loans.first_end(from)?;
        Some(duration::Instant(end.0.saturating_sub(RETURN.0)))
    }

    /// Whether a question to `source` has anything to say of this workspace.
    pub(super) fn concerns(&self, source: &Source) -> bool {
        let asked = self.asking.as_ref() == Some(source);
        asked || self.short() > Amount::ZERO || self.loans.has(source)
    }

    /// Whether the leader's answers carry anything for this workspace.
    pub(super) fn holds(&self) -> bool {
        let share = self.rate > Flow::ZERO || self.cap > Amount::ZERO;
        share || self.loans.has(&Source::Leader)
    }

    /// When the first in line can be served from accrual, or a deadline passes.
    pub(super) fn wake(&self) -> Option<duration::Instant> {
        let first = self.line.front()?;
        let served = self
            .accrued
            .after(self.rate.time_for(first.cost.minus(self.there())));
        let deadline = self.line.next_deadline()?;
        Some(served.min(deadline))
    }

    /// Tokens that waiting requests lack.
    pub(super) fn short(&self) -> Amount {
        self.line.total().minus(self.there())
    }

    /// Tokens that the first of them lacks.
    fn first_short(&self) -> Amount {
        let first = self.line.front();
        first.map_or(Amount::ZERO, |first| first.cost.minus(self.there()))
    }

    /// When the leader should be asked for what waiting requests lack.
    ///
    /// It said when they may get it; asked earlier it would say the same again, and with
    /// many entries above their rate it would do little else.
    pub(super) fn asks_at(&self, soonest: duration::Instant) -> Option<duration::Instant> {
        if self.short() == Amount::ZERO {
            return None;
        }
        if self.line.has_new() {
            return Some(soonest);
        }
        let told = self.outlook.map(|outlook| outlook.first_at);
        Some(told.unwrap_or(soonest).max(soonest))
    }

    /// Stops admitting and offers all tokens for return.
    pub(super) fn close(&mut self) {
        self.surplus = self.surplus.plus(self.level);
        self.unlent_at_close = self.loans.close();
        self.unconfirmed = true;
        self.share = 0;
        self.level = Amount::ZERO;
        self.rate = Flow::ZERO;
        self.cap = Amount::ZERO;
        self.room.clear();
    }

    /// Whether the leader should hear soon of a changed share, so that another
    /// entry may get what this one has no longer.
    pub(super) fn owes(&self) -> bool {
        self.unconfirmed
    }

    /// Whether there is nothing to hold, ask for or confirm.
    pub(super) fn idle(&self) -> bool {
        let holds = self.rate > Flow::ZERO || self.cap > Amount::ZERO;
        let asks = self.asked > Amount::ZERO || !self.line.is_empty() || self.demand >= 1.0;
        !holds && !asks && !self.unconfirmed && self.loans.is_empty()
    }

    /// Forgets everything that the lease carried.
    ///
    /// The leader may give rate and tokens of a lost share to another entry as
    /// soon as the lease has run out. A holder that went on would be seen as a
    /// workspace above its burst. Tokens and refunds end with the lease.
    fn lapse(&mut self) {
        self.share = 0;
        self.rate = Flow::ZERO;
        self.cap = Amount::ZERO;
        self.level = Amount::ZERO;
        self.aside = Amount::ZERO;
        self.surplus = Amount::ZERO;
        self.unconfirmed = false;
        self.room.clear();
    }

    fn ceiling(&self) -> Amount {
        self.cap.minus(self.aside)
    }

    /// Space that is not taken by tokens, set aside or not.
    fn space(&self) -> Amount {
        self.cap.minus(self.level)
    }

    fn observe(&mut self) {
        let space = self.space();
        self.least = self.least.min(space);
        self.room.observe(space);
    }

    fn measure(&mut self, now: duration::Instant) {
        let span = now.since(self.measured).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        let asked = std::mem::take(&mut self.asked).as_f64() / span;
        let part = 1.0 - (-span / AVERAGE.as_secs_f64()).exp();
        self.demand += (asked - self.demand) * part;
        self.measured = now;
    }
}
