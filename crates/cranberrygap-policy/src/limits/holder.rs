//! The entry's side: admits requests from leased shares.

mod borrowing;

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_wire::share;
use serde::Serialize;

use super::amount::Amount;
use super::loan_requests::{LoanRequests, LoanSource};
use super::local_bucket::LocalBucket;
use super::renewals::Renewals;
pub use super::wait_queue::MaxWait;
use super::{LEASE_DURATION, RENEWAL_INTERVAL};
use crate::leader_calls;

/// Least time between two renewals, so that a shortage does not flood the leader.
const MIN_RENEWAL_INTERVAL: duration::Span = duration::Span::from_millis(10);

/// Time after which an unanswered renewal is given up. Well below the lease, so
/// that several renewals fit into one.
pub const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(700);

/// Time between two renewals that only tell the leader of demand, which other entries lend
/// for; as many times the gap, so that the leader's work for them does not grow with the fleet.
const DEMAND_REPORT_INTERVAL: duration::Span = duration::Span::from_secs(2);
const DEMAND_REPORT_FACTOR: u64 = 16;

/// Shares of one entry.
#[derive(Debug)]
pub struct Holder {
    instance: id::Instance,
    boot: number::Boot,
    buckets: BTreeMap<id::Workspace, LocalBucket>,
    renewals: Renewals,
    last_ticket: u64,
    closed: bool,
    /// Least time between two renewals.
    min_interval: duration::Span,
    /// Questions to the entries that lend.
    lenders: BTreeMap<id::Instance, LoanRequests>,
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
    ticket: u64,
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
            buckets: BTreeMap::new(),
            renewals: Renewals::default(),
            last_ticket: 0,
            closed: false,
            min_interval: MIN_RENEWAL_INTERVAL,
            lenders: BTreeMap::new(),
        }
    }

    /// Takes over how many entries renew at the same leader.
    pub fn set_entry_count(&mut self, count: usize) {
        self.min_interval = leader_calls::min_interval(count).max(MIN_RENEWAL_INTERVAL);
    }

    /// Takes `cost` tokens of `workspace`, or lets the request wait for them
    /// as long as its patience lasts.
    pub fn admit(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        cost: token::Count,
        max_wait: MaxWait,
    ) -> Admission {
        let stock = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBucket::new(now));
        stock.advance(now);
        let amount = Amount::from_count(cost);
        stock.record_request(amount);
        self.last_ticket += 1;
        if stock.queue.may_overtake_all(amount) && stock.take(amount, self.last_ticket) {
            stock.queue.record_overtaking(amount);
            return Admission::Admitted(Reservation {
                workspace: workspace.clone(),
                ticket: self.last_ticket,
                cost,
            });
        }
        stock.queue.push(now, self.last_ticket, amount, max_wait);
        Admission::Queued(self.last_ticket)
    }

    /// Decides on waiting requests; to be called after each answer and at [`Holder::next_decision_at`].
    pub fn poll(&mut self, now: duration::Instant) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        for (workspace, stock) in &mut self.buckets {
            stock.advance(now);
            while let Some(waiter) = stock.queue.front() {
                if !stock.take(waiter.cost, waiter.ticket) {
                    break;
                }
                stock.queue.pop();
                let reservation = Reservation {
                    workspace: workspace.clone(),
                    ticket: waiter.ticket,
                    cost: waiter.cost.floor(),
                };
                decided.push((waiter.ticket, Decision::Admitted(reservation)));
            }
            let (available, rate, forecast) = (stock.available(), stock.rate, stock.forecast);
            let unservable = stock
                .queue
                .remove_unservable(now, available, rate, forecast);
            let refused = unservable.into_iter();
            decided.extend(refused.map(|(ticket, wait)| (ticket, Decision::Refused(wait))));
        }
        decided
    }

    /// When [`Holder::poll`] can next decide something by the passing of time.
    #[must_use]
    pub fn next_decision_at(&self) -> Option<duration::Instant> {
        self.buckets
            .values()
            .filter_map(LocalBucket::next_decision_at)
            .min()
    }

    /// Forgets a waiting request whose caller has left.
    pub fn cancel(&mut self, ticket: u64) {
        for stock in self.buckets.values_mut() {
            stock.queue.remove(ticket);
        }
    }

    /// Ends a reservation of which `used` tokens were spent; refunds the rest.
    pub fn close_reservation(
        &mut self,
        now: duration::Instant,
        reservation: &Reservation,
        used: token::Count,
    ) {
        let Some(stock) = self.buckets.get_mut(&reservation.workspace) else {
            return;
        };
        stock.advance(now);
        let unused = token::Count(reservation.cost.0.saturating_sub(used.0));
        stock.refund(reservation.ticket, Amount::from_count(unused));
    }

    /// When the next renewal is to be sent.
    #[must_use]
    pub fn next_renewal_at(&self) -> duration::Instant {
        let Some(sent) = self.renewals.sent_at() else {
            return duration::Instant::default();
        };
        if self.renewals.is_awaited() {
            return sent.after(ANSWER_TIMEOUT);
        }
        let earliest = sent.after(self.min_interval);
        if self.renewals.has_failed() {
            return sent.after(RENEWAL_INTERVAL.max(self.min_interval));
        }
        if self.buckets.values().any(LocalBucket::needs_confirmation) {
            return earliest;
        }
        let latest = self.latest_renewal_at(sent);
        let request_at = self.leader_request_at(earliest);
        request_at.map_or(latest, |asks| asks.min(latest))
    }

    /// When the leader is to be asked for what those in line lack.
    fn leader_request_at(&self, earliest: duration::Instant) -> Option<duration::Instant> {
        let stocks = self.buckets.values();
        let stocks = stocks.filter(|stock| self.loan_source(stock) == LoanSource::Leader);
        stocks
            .filter_map(|stock| stock.next_request_at(earliest))
            .min()
    }

    /// When the leader is to hear of this entry at the latest.
    fn latest_renewal_at(&self, sent: duration::Instant) -> duration::Instant {
        let mut active = self.buckets.values().filter(|stock| !stock.is_idle());
        if active
            .clone()
            .any(|stock| stock.holds_leader_tokens() || stock.lender.is_none())
        {
            return sent.after(RENEWAL_INTERVAL.max(self.min_interval));
        }
        if active.next().is_some() {
            return sent.after(
                DEMAND_REPORT_INTERVAL
                    .max(duration::Span(self.min_interval.0 * DEMAND_REPORT_FACTOR)),
            );
        }
        NEVER
    }

    /// Who lends to a stock: the leader while the entry that should does not answer.
    fn loan_source(&self, stock: &LocalBucket) -> LoanSource {
        match &stock.lender {
            Some(lender) if stock.borrows_from_lender() && !self.is_lender_silent(lender) => {
                LoanSource::Entry(lender.clone())
            }
            _ => LoanSource::Leader,
        }
    }

    fn is_lender_silent(&self, lender: &id::Instance) -> bool {
        self.lenders.get(lender).is_none_or(LoanRequests::is_silent)
    }

    /// Why a renewal that is due now is sent.
    #[must_use]
    pub fn renewal_reason(&self) -> RenewalReason {
        let Some(sent) = self.renewals.sent_at() else {
            return RenewalReason::Interval;
        };
        if self.renewals.has_failed() || self.renewals.is_awaited() {
            return RenewalReason::NoAnswer;
        }
        if self.buckets.values().any(LocalBucket::needs_confirmation) {
            return RenewalReason::Confirmation;
        }
        let request_at = self.leader_request_at(sent.after(self.min_interval));
        match request_at {
            Some(asks) if asks < self.latest_renewal_at(sent) => RenewalReason::Shortage,
            _ => RenewalReason::Interval,
        }
    }

    /// The renewal to send now. An answer that is still awaited is given up: if
    /// it comes late it is dropped with its tokens.
    pub fn begin_renewal(&mut self, now: duration::Instant) -> share::Renew {
        let sequence = self.renewals.begin(now);
        self.buckets
            .values_mut()
            .for_each(|stock| stock.advance(now));
        self.buckets
            .retain(|_, stock| !stock.is_idle() || stock.lender.is_some());
        let sources = self.buckets.values().map(|stock| self.loan_source(stock));
        let sources: Vec<LoanSource> = sources.collect();
        let mut demands = Vec::new();
        for ((workspace, stock), source) in self.buckets.iter_mut().zip(sources) {
            if stock.is_idle() {
                continue;
            }
            let borrows = source == LoanSource::Leader;
            let mut demand = stock.take_demand(now, workspace, borrows);
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
        let Some(sent) = self.renewals.take_answer(answer.sequence) else {
            return false;
        };
        let until = sent.after(answer.lease);
        for stock in self.buckets.values_mut() {
            stock.advance(now);
            stock.end_renewal();
        }
        if now >= until || self.closed {
            return true;
        }
        for grant in &answer.grants {
            if let Some(stock) = self.buckets.get_mut(&grant.workspace) {
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
        for stock in self.buckets.values_mut() {
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
        let dump = |(workspace, stock): (&id::Workspace, &LocalBucket)| Dump {
            workspace: workspace.clone(),
            share: stock.share,
            rate: stock.rate.to_rate(),
            cap: stock.cap.floor(),
            level: stock.available().floor(),
            until: stock.lease_end,
        };
        self.buckets.iter().map(dump).collect()
    }
}

/// When nothing is ever due.
const NEVER: duration::Instant = duration::Instant(u64::MAX);
