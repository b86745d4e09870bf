//! Entry's side of the rate limits: admits requests from leased shares and loans.

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

/// Shortest time between two renewals, so that a shortage does not flood the leader.
const MIN_RENEWAL_INTERVAL: duration::Span = duration::Span::from_millis(10);

/// Time after which an unanswered renewal is given up.
///
/// Well below the lease, so that several renewals fit into one.
pub const ANSWER_TIMEOUT: duration::Span = duration::Span::from_millis(700);

/// Time between two renewals that only report demand that other entries lend for.
const DEMAND_REPORT_INTERVAL: duration::Span = duration::Span::from_secs(2);

/// Factor on the shortest renewal interval for these reports.
///
/// It keeps the leader's work for them from growing with the fleet.
const DEMAND_REPORT_FACTOR: u64 = 16;

/// Shares and loans of one entry.
#[derive(Debug)]
pub struct Holder {
    instance: id::Instance,
    boot: number::Boot,
    buckets: BTreeMap<id::Workspace, LocalBucket>,
    renewals: Renewals,
    last_ticket: u64,
    closed: bool,
    /// Shortest time between two renewals, for the current number of entries.
    min_interval: duration::Span,
    /// Loan requests to each lender.
    lenders: BTreeMap<id::Instance, LoanRequests>,
}

/// Reason for a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RenewalReason {
    /// The renewal interval has passed, or no renewal was sent yet.
    Interval,
    /// Requests wait for tokens.
    Shortage,
    /// The leader must soon learn that a changed share has arrived.
    Confirmation,
    /// The last renewal got no answer.
    NoAnswer,
}

/// Tokens taken for one request; passed to [`Holder::close_reservation`] at its end.
#[derive(Debug, PartialEq, Eq)]
pub struct Reservation {
    workspace: id::Workspace,
    ticket: u64,
    cost: token::Count,
}

/// Result of asking for a request's tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tokens are taken.
    Admitted(Reservation),
    /// The tokens are not available yet; [`Holder::poll`] decides on this ticket.
    Queued(u64),
}

/// Decision on a request that waited for tokens.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// The tokens are taken.
    Admitted(Reservation),
    /// The tokens will not be available in time, but may be after this time.
    Refused(duration::Span),
}

/// State of one share, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Workspace of the bucket.
    pub workspace: id::Workspace,
    /// Number of the share, 0 for none.
    pub share: u64,
    /// Rate of the share.
    pub rate: token::Rate,
    /// Most tokens that the share may hold.
    pub cap: token::Count,
    /// Tokens that may be spent now.
    pub level: token::Count,
    /// End of the lease on this process's clock.
    pub until: duration::Instant,
}

impl Holder {
    /// Creates a holder without any tokens, as after each start of the process.
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

    /// Sets the number of entries that renew at the same leader.
    pub fn set_entry_count(&mut self, count: usize) {
        self.min_interval = leader_calls::min_interval(count).max(MIN_RENEWAL_INTERVAL);
    }

    /// Takes `cost` tokens of `workspace`, or queues the request for at most `max_wait`.
    pub fn admit(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        cost: token::Count,
        max_wait: MaxWait,
    ) -> Admission {
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| LocalBucket::new(now));
        bucket.advance(now);
        let amount = Amount::from_count(cost);
        bucket.record_request(amount);
        self.last_ticket += 1;
        if bucket.queue.may_overtake_all(amount) && bucket.take(amount, self.last_ticket) {
            bucket.queue.record_overtaking(amount);
            return Admission::Admitted(Reservation {
                workspace: workspace.clone(),
                ticket: self.last_ticket,
                cost,
            });
        }
        bucket.queue.push(now, self.last_ticket, amount, max_wait);
        Admission::Queued(self.last_ticket)
    }

    /// Decides on waiting requests; called after each answer and at [`Holder::next_decision_at`].
    pub fn poll(&mut self, now: duration::Instant) -> Vec<(u64, Decision)> {
        let mut decided = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            bucket.advance(now);
            while let Some(waiter) = bucket.queue.front() {
                if !bucket.take(waiter.cost, waiter.ticket) {
                    break;
                }
                bucket.queue.pop();
                let reservation = Reservation {
                    workspace: workspace.clone(),
                    ticket: waiter.ticket,
                    cost: waiter.cost.floor(),
                };
                decided.push((waiter.ticket, Decision::Admitted(reservation)));
            }
            let (available, rate, forecast) = (bucket.available(), bucket.rate, bucket.forecast);
            let unservable = bucket
                .queue
                .remove_unservable(now, available, rate, forecast);
            let refused = unservable.into_iter();
            decided.extend(refused.map(|(ticket, wait)| (ticket, Decision::Refused(wait))));
        }
        decided
    }

    /// Returns the time at which [`Holder::poll`] may next decide without a new answer.
    #[must_use]
    pub fn next_decision_at(&self) -> Option<duration::Instant> {
        self.buckets
            .values()
            .filter_map(LocalBucket::next_decision_at)
            .min()
    }

    /// Drops a waiting request whose caller left.
    pub fn cancel(&mut self, ticket: u64) {
        for bucket in self.buckets.values_mut() {
            bucket.queue.remove(ticket);
        }
    }

    /// Ends a reservation of which `used` tokens were spent, and refunds the rest.
    pub fn close_reservation(
        &mut self,
        now: duration::Instant,
        reservation: &Reservation,
        used: token::Count,
    ) {
        let Some(bucket) = self.buckets.get_mut(&reservation.workspace) else {
            return;
        };
        bucket.advance(now);
        let unused = token::Count(reservation.cost.0.saturating_sub(used.0));
        bucket.refund(reservation.ticket, Amount::from_count(unused));
    }

    /// Returns the time at which the next renewal is due.
    #[must_use]
    pub fn next_renewal_at(&self) -> duration::Instant {
        let Some(sent_at) = self.renewals.sent_at() else {
            return duration::Instant::default();
        };
        if self.renewals.is_awaited() {
            return sent_at.after(ANSWER_TIMEOUT);
        }
        let earliest = sent_at.after(self.min_interval);
        if self.renewals.has_failed() {
            return sent_at.after(RENEWAL_INTERVAL.max(self.min_interval));
        }
        if self.buckets.values().any(LocalBucket::needs_confirmation) {
            return earliest;
        }
        let latest = self.latest_renewal_at(sent_at);
        let request_at = self.leader_request_at(earliest);
        request_at.map_or(latest, |at| at.min(latest))
    }

    /// Returns when to ask the leader for the tokens that waiting requests lack.
    fn leader_request_at(&self, earliest: duration::Instant) -> Option<duration::Instant> {
        let buckets = self.buckets.values();
        let buckets = buckets.filter(|bucket| self.loan_source(bucket) == LoanSource::Leader);
        buckets
            .filter_map(|bucket| bucket.next_request_at(earliest))
            .min()
    }

    /// Returns the latest time for the next renewal if no request waits.
    fn latest_renewal_at(&self, sent_at: duration::Instant) -> duration::Instant {
        let mut active = self.buckets.values().filter(|bucket| !bucket.is_idle());
        if active
            .clone()
            .any(|bucket| bucket.holds_leader_tokens() || bucket.lender.is_none())
        {
            return sent_at.after(RENEWAL_INTERVAL.max(self.min_interval));
        }
        if active.next().is_some() {
            return sent_at.after(
                DEMAND_REPORT_INTERVAL
                    .max(duration::Span(self.min_interval.0 * DEMAND_REPORT_FACTOR)),
            );
        }
        NEVER
    }

    /// Returns who lends to a local bucket: the leader while its lender does not answer.
    fn loan_source(&self, bucket: &LocalBucket) -> LoanSource {
        match &bucket.lender {
            Some(lender) if bucket.borrows_from_lender() && !self.is_lender_silent(lender) => {
                LoanSource::Entry(lender.clone())
            }
            _ => LoanSource::Leader,
        }
    }

    fn is_lender_silent(&self, lender: &id::Instance) -> bool {
        self.lenders.get(lender).is_none_or(LoanRequests::is_silent)
    }

    /// Returns the reason for a renewal that is due now.
    #[must_use]
    pub fn renewal_reason(&self) -> RenewalReason {
        let Some(sent_at) = self.renewals.sent_at() else {
            return RenewalReason::Interval;
        };
        if self.renewals.has_failed() || self.renewals.is_awaited() {
            return RenewalReason::NoAnswer;
        }
        if self.buckets.values().any(LocalBucket::needs_confirmation) {
            return RenewalReason::Confirmation;
        }
        let request_at = self.leader_request_at(sent_at.after(self.min_interval));
        match request_at {
            Some(at) if at < self.latest_renewal_at(sent_at) => RenewalReason::Shortage,
            _ => RenewalReason::Interval,
        }
    }

    /// Returns the renewal to send now.
    ///
    /// An answer that is still awaited is given up: if it arrives late, it is dropped with
    /// its tokens.
    pub fn begin_renewal(&mut self, now: duration::Instant) -> share::Renew {
        let sequence = self.renewals.begin(now);
        self.buckets
            .values_mut()
            .for_each(|bucket| bucket.advance(now));
        self.buckets
            .retain(|_, bucket| !bucket.is_idle() || bucket.lender.is_some());
        let sources = self.buckets.values().map(|bucket| self.loan_source(bucket));
        let sources: Vec<LoanSource> = sources.collect();
        let mut demands = Vec::new();
        for ((workspace, bucket), source) in self.buckets.iter_mut().zip(sources) {
            if bucket.is_idle() {
                continue;
            }
            let borrows = source == LoanSource::Leader;
            let mut demand = bucket.take_demand(now, workspace, borrows);
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

    /// Applies an answer to a renewal; returns true if it was the awaited one.
    ///
    /// [`Holder::poll`] must be called then. The lease runs from the sending of the renewal. The
    /// leader counts from its answer, which is later, so this holder stops first.
    pub fn apply_grants(&mut self, now: duration::Instant, answer: &share::Granted) -> bool {
        let Some(sent_at) = self.renewals.take_answer(answer.sequence) else {
            return false;
        };
        let until = sent_at.after(answer.lease);
        for bucket in self.buckets.values_mut() {
            bucket.advance(now);
            bucket.end_renewal();
        }
        if now >= until || self.closed {
            return true;
        }
        for grant in &answer.grants {
            if let Some(bucket) = self.buckets.get_mut(&grant.workspace) {
                bucket.apply(now, grant, sent_at, until);
            }
        }
        true
    }

    /// Records that a renewal got no answer.
    ///
    /// An answer that arrives later is dropped with its tokens.
    pub fn fail_renewal(&mut self, sequence: number::Sequence) {
        self.renewals.fail(sequence);
    }

    /// Stops admitting requests and returns all tokens with the next renewal.
    pub fn close(&mut self, now: duration::Instant) {
        self.closed = true;
        for bucket in self.buckets.values_mut() {
            bucket.advance(now);
            bucket.close();
        }
    }

    /// Returns the number of the last message that was sent.
    #[must_use]
    pub fn last_sequence(&self) -> number::Sequence {
        self.renewals.sequence()
    }

    /// Returns the longest time that a holder may still admit after its last answer.
    #[must_use]
    pub const fn lease_duration() -> duration::Span {
        LEASE_DURATION
    }

    /// Returns the state of all shares, for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<Dump> {
        let dump = |(workspace, bucket): (&id::Workspace, &LocalBucket)| Dump {
            workspace: workspace.clone(),
            share: bucket.share,
            rate: bucket.rate.to_rate(),
            cap: bucket.cap.floor(),
            level: bucket.available().floor(),
            until: bucket.lease_end,
        };
        self.buckets.iter().map(dump).collect()
    }
}

/// Time of a renewal that is never due.
const NEVER: duration::Instant = duration::Instant(u64::MAX);
