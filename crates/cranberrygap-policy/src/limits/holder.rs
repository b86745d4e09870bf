//! The entry's side: admits requests from leased shares.

mod borrowing;

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_wire::share;
use serde::Serialize;

use super::amount::Amount;
pub use super::line::MaxWait;
use super::renewals::Renewals;
use super::stock::Stock;
use super::stream::{Source, Stream};
use super::{LEASE_DURATION, RENEWAL_INTERVAL};
use crate::leader_calls;

/// Least time between two renewals, so that a shortage does not flood the leader.
const LEAST_GAP: duration::Span = duration::Span::from_millis(10);

/// Time after which an unanswered renewal is given up. Well below the lease, so
/// that several renewals fit into one.
pub const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(700);

/// Time between two renewals that only tell the leader of demand, which other entries lend
/// for; as many times the gap, so that the leader's work for them does not grow with the fleet.
const REPORT: duration::Span = duration::Span::from_secs(2);
const REPORT_GAPS: u64 = 16;

/// Shares of one entry.
#[derive(Debug)]
pub struct Holder {
    instance: id::Instance,
    boot: number::Boot,
    stocks: BTreeMap<id::Workspace, Stock>,
    renewals: Renewals,
    numbers: u64,
    closed: bool,
    /// Least time between two renewals.
    gap: duration::Span,
    /// Questions to the entries that lend.
    lenders: BTreeMap<id::Instance, Stream>,
}

/// Why a renewal is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RenewalReason {
    /// A period has passed, or the first one is sent.
    Interval,
    /// Requests wait for tokens.
    Shortage,
    /// The leader is to hear soon that a changed share has arrived.
    Confirmation,
    /// The last one got no answer.
    NoAnswer,
}

/// Tokens taken for one request; handed back to [`Holder::close_reservation`] at its end.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    workspace: id::Workspace,
    number: u64,
    cost: token::Count,
}

/// Answer to a request for tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are taken.
    Admitted(Reservation),
    /// The tokens are not here; [`Holder::poll`] decides on this ticket.
    Queued(u64),
}

/// What becomes of a request that waited for tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// The tokens are taken.
    Admitted(Reservation),
    /// They will not be there in time; after so long they could be.
    Refused(duration::Span),
}

/// State of one share for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Whose bucket.
    pub workspace: id::Workspace,
    /// Number of the share, 0 for none.
    pub share: u64,
    /// Rate of the share.
    pub rate: token::Rate,
    /// Most tokens that the share may hold.
    pub cap: token::Count,
    /// Tokens that are there.
    pub level: token::Count,
    /// End of the lease on this process's clock.
    pub until: duration::Instant,
}

impl Holder {
    /// A holder without any tokens, as after each start of the process.
    #[must_use]
    pub fn new(instance: id::Instance, boot: number::Boot) -> Self {
        Self {
            instance,
            boot,
            stocks: BTreeMap::new(),
            renewals: Renewals::default(),
            numbers: 0,
            closed: false,
            gap: LEAST_GAP,
            lenders: BTreeMap::new(),
        }
    }

    /// Takes over how many entries renew at the same leader.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.gap = leader_calls::min_interval(entries).max(LEAST_GAP);
    }

    /// Takes `cost` tokens of `workspace`, or lets the request wait for them
    /// as long as its patience lasts.
    pub fn admit(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        cost: token::Count,
        patience: MaxWait,
    ) -> Admission {
        let stock = self
            .stocks
            .entry(workspace.clone())
            .or_insert_with(|| Stock::new(now));
        stock.advance(now);
        let amount = Amount::from_count(cost);
        stock.ask(amount);
        self.numbers += 1;
        if stock.line.may_pass(amount) && stock.take(amount, self.numbers) {
            stock.line.pass(amount);
            return Admission::Admitted(Reservation {
                workspace: workspace.clone(),
                number: self.numbers,
                cost,
            });
        }
        stock.line.push(now, self.numbers, amount, patience);
        Admission::Queued(self.numbers)
    }

    /// Decides on waiting requests; to be called after each answer and at [`Holder::next_decision_at`].
    pub fn poll(&mut self, now: duration::Instant) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        for (workspace, stock) in &mut self.stocks {
            stock.advance(now);
            while let Some(waiter) = stock.line.front() {
                if !stock.take(waiter.cost, waiter.ticket) {
                    break;
                }
                stock.line.pop();
                let reservation = Reservation {
                    workspace: workspace.clone(),
                    number: waiter.ticket,
                    cost: waiter.cost.whole(),
                };
                decided.push((waiter.ticket, Decision::Admitted(reservation)));
            }
            let (there, rate, outlook) = (stock.there(), stock.rate, stock.outlook);
            let hopeless = stock.line.hopeless(now, there, rate, outlook);
            let refused = hopeless.into_iter();
            decided.extend(refused.map(|(ticket, wait)| (ticket, Decision::Refused(wait))));
        }
        decided
    }

    /// When [`Holder::poll`] can next decide something by the passing of time.
    #[must_use]
    pub fn next_decision_at(&self) -> Option<duration::Instant> {
        self.stocks.values().filter_map(Stock::wake).min()
    }

    /// Forgets a waiting request whose caller has left.
    pub fn cancel(&mut self, ticket: u64) {
        for stock in self.stocks.values_mut() {
            stock.line.remove(ticket);
        }
    }

    /// Ends a reservation of which `used` tokens were spent; refunds the rest.
    pub fn close_reservation(
        &mut self,
        now: duration::Instant,
        reservation: &Reservation,
        used: token::Count,
    ) {
        let Some(stock) = self.stocks.get_mut(&reservation.workspace) else {
            return;
        };
        stock.advance(now);
        let unused = token::Count(reservation.cost.0.saturating_sub(used.0));
        stock.refund(reservation.number, Amount::from_count(unused));
    }

    /// When the next renewal is to be sent.
    #[must_use]
    pub fn next_renewal_at(&self) -> duration::Instant {
        let Some(sent) = self.renewals.sent() else {
            return duration::Instant::default();
        };
        if self.renewals.is_awaited() {
            return sent.after(ANSWER_TIMEOUT);
        }
        let soonest = sent.after(self.gap);
        if self.renewals.has_failed() {
            return sent.after(RENEWAL_INTERVAL.max(self.gap));
        }
        if self.stocks.values().any(Stock::owes) {
            return soonest;
        }
        let latest = self.latest(sent);
        let asks = self.asks_leader_at(soonest);
        asks.map_or(latest, |asks| asks.min(latest))
    }

    /// When the leader is to be asked for what those in line lack.
    fn asks_leader_at(&self, soonest: duration::Instant) -> Option<duration::Instant> {
        let stocks = self.stocks.values();
        let stocks = stocks.filter(|stock| self.source(stock) == Source::Leader);
        stocks.filter_map(|stock| stock.asks_at(soonest)).min()
    }

    /// When the leader is to hear of this entry at the latest.
    fn latest(&self, sent: duration::Instant) -> duration::Instant {
        let mut active = self.stocks.values().filter(|stock| !stock.idle());
        if active
            .clone()
            .any(|stock| stock.holds() || stock.lender.is_none())
        {
            return sent.after(RENEWAL_INTERVAL.max(self.gap));
        }
        if active.next().is_some() {
            return sent.after(REPORT.max(duration::Span(self.gap.0 * REPORT_GAPS)));
        }
        NEVER
    }

    /// Who lends to a stock: the leader while the entry that should does not answer.
    fn source(&self, stock: &Stock) -> Source {
        match &stock.lender {
            Some(lender) if stock.asks_lender() && !self.is_silent(lender) => {
                Source::Entry(lender.clone())
            }
            _ => Source::Leader,
        }
    }

    fn is_silent(&self, lender: &id::Instance) -> bool {
        self.lenders.get(lender).is_none_or(Stream::is_silent)
    }

    /// Why a renewal that is due now is sent.
    #[must_use]
    pub fn renewal_reason(&self) -> RenewalReason {
        let Some(sent) = self.renewals.sent() else {
            return RenewalReason::Interval;
        };
        if self.renewals.has_failed() || self.renewals.is_awaited() {
            return RenewalReason::NoAnswer;
        }
        if self.stocks.values().any(Stock::owes) {
            return RenewalReason::Confirmation;
        }
        let asks = self.asks_leader_at(sent.after(self.gap));
        match asks {
            Some(asks) if asks < self.latest(sent) => RenewalReason::Shortage,
            _ => RenewalReason::Interval,
        }
    }

    /// The renewal to send now. An answer that is still awaited is given up: if
    /// it comes late it is dropped with its tokens.
    pub fn begin_renewal(&mut self, now: duration::Instant) -> share::Renew {
        let sequence = self.renewals.begin(now);
        self.stocks
            .values_mut()
            .for_each(|stock| stock.advance(now));
        self.stocks
            .retain(|_, stock| !stock.idle() || stock.lender.is_some());
        let sources = self.stocks.values().map(|stock| self.source(stock));
        let sources: Vec<Source> = sources.collect();
        let mut demands = Vec::new();
        for ((workspace, stock), source) in self.stocks.iter_mut().zip(sources) {
            if stock.idle() {
                continue;
            }
            let borrows = source == Source::Leader;
            let mut demand = stock.demand(now, workspace, borrows);
            if self.closed {
                demand.rate = token::Rate(0.0);
                demand.wanted = token::Count(0);
                demand.room = token::Count(0);
                demand.first = token::Count(0);
                demand.usual = token::Count(0);
            }
            demands.push(demand);
        }
        share::Renew {
            instance: self.instance.clone(),
            boot: self.boot,
            sequence,
            lends: false,
            demands,
        }
    }

    /// Applies an answer; true when it was the awaited one. [`Holder::poll`] is
    /// to be called then.
    ///
    /// The lease runs from the sending of the renewal. The leader counts from
    /// its answer, which is later, so this holder stops first.
    pub fn apply_grants(&mut self, now: duration::Instant, answer: &share::Granted) -> bool {
        let Some(sent) = self.renewals.answered(answer.sequence) else {
            return false;
        };
        let until = sent.after(answer.lease);
        for stock in self.stocks.values_mut() {
            stock.advance(now);
            stock.answered();
        }
        if now >= until || self.closed {
            return true;
        }
        for grant in &answer.grants {
            if let Some(stock) = self.stocks.get_mut(&grant.workspace) {
                stock.apply(now, grant, sent, until);
            }
        }
        true
    }

    /// Notes that a renewal got no answer; should one come after all, it is
    /// dropped with its tokens.
    pub fn fail_renewal(&mut self, sequence: number::Sequence) {
        self.renewals.fail(sequence);
    }

    /// Admits nothing more and hands all tokens back with the next renewal.
    pub fn close(&mut self, now: duration::Instant) {
        self.closed = true;
        for stock in self.stocks.values_mut() {
            stock.advance(now);
            stock.close();
        }
    }

    /// Number of the last renewal that was sent.
    #[must_use]
    pub fn last_sequence(&self) -> number::Sequence {
        self.renewals.sequence()
    }

    /// Longest time that this holder may still admit after its last answer.
    #[must_use]
    pub const fn lease_duration() -> duration::Span {
        LEASE_DURATION
    }

    /// All shares, for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<Dump> {
        let dump = |(workspace, stock): (&id::Workspace, &Stock)| Dump {
            workspace: workspace.clone(),
            share: stock.share,
            rate: stock.rate.to_rate(),
            cap: stock.cap.whole(),
            level: stock.there().whole(),
            until: stock.until,
        };
        self.stocks.iter().map(dump).collect()
    }
}

/// When nothing is ever due.
const NEVER: duration::Instant = duration::Instant(u64::MAX);
