//! Loans of single requests' tokens to entries, issued by the leader or by a lender.
//!
//! A generation costs thousands of tokens at once, and a small workspace has a few thousand
//! per second for all entries together. Spread over entries as shares, no entry ever holds
//! what one request costs, and tokens that accrue in a full share are lost: callers within
//! their rate would be refused. So the tokens stay in the pool, and the leader lends them as
//! a whole to the first entry in the queue.
//!
//! A loan lasts [`LOAN_DURATION`] from the sending of the renewal that asked for it. It is
//! not in the log: a new leader lends nothing before all loans of its predecessor have ended.
//! While a loan may be spent, the pool leaves space for it, so that shares, loans and pool
//! together never hold more than the burst.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

use super::RENEWAL_INTERVAL;
use super::amount::{self, Amount, FixedRate};
use super::owner::Owner;
use super::wait_queue;

/// Time for which a loan may be spent, counted by its holder from the sending of the renewal.
///
/// Longer than nearly all answers take, and short because a new leader waits it out.
pub const LOAN_DURATION: duration::Span = duration::Span::from_millis(600);

/// Time by which the issuer's view of a loan is longer than its holder's.
///
/// The holder's clock may be slower by some hundred millionths, so the margin is a part of
/// the duration, as with leases.
const LOAN_MARGIN: duration::Span = duration::Span(LOAN_DURATION.0 / 64);

/// Time without a new request after which a waiting entry leaves the queue.
///
/// A waiting entry renews at least every quarter of a second.
const REQUEST_TIMEOUT: duration::Span = duration::Span::from_millis(600);

/// Fraction of the burst that an issuer keeps before it lends more than requested.
const RESERVED_BURST_FRACTION: f64 = 0.5;

/// Fraction of the pool beyond that reserve which one answer may lend in advance.
const ADVANCE_FRACTION: f64 = 0.25;

/// Tokens that an issuer can lend.
#[derive(Debug, Clone, Copy)]
pub(super) struct Supply {
    /// Tokens in the pool.
    pub(super) pool: Amount,
    /// Rate at which the pool accrues.
    pub(super) rate: FixedRate,
    /// Time from which the pool accrues.
    pub(super) accrues_from: duration::Instant,
    /// Most tokens that the pool may hold.
    pub(super) burst: Amount,
    /// Whether tokens may be lent in advance, beyond what is requested.
    pub(super) lends_in_advance: bool,
}

/// Loan for one request, and the times after which there may be more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Offer {
    /// Whole tokens that are lent now.
    pub(super) lent: Amount,
    /// Time until the first waiting request may get its tokens.
    pub(super) first_wait: duration::Span,
    /// Time until all requested tokens may be available.
    pub(super) total_wait: duration::Span,
}

/// Request of an entry that waits for tokens.
#[derive(Debug, Clone)]
struct Request {
    owner: Owner,
    /// Tokens that the entry's first waiting request lacks.
    first: Amount,
    /// Tokens that all its waiting requests lack.
    wanted: Amount,
    received_at: duration::Instant,
    /// Tokens of smaller requests that overtook this one.
    overtaken: Amount,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    remaining: Amount,
    end: duration::Instant,
}

/// Outstanding loans of one workspace and the queue of entries that wait for one.
#[derive(Debug, Clone, Default)]
pub(super) struct LoanIssuer {
    queue: VecDeque<Request>,
    loans: BTreeMap<Owner, VecDeque<Loan>>,
    /// Sum of the tokens that remain in all loans.
    outstanding: Amount,
    /// Time before which no loan ends.
    next_end: Option<duration::Instant>,
}

/// Instance name of a pool's guarantee in the log; no process has it with `GUARANTEE_BOOT`.
const GUARANTEE_INSTANCE: &str = "pool";

/// Boot of a pool's guarantee in the log.
const GUARANTEE_BOOT: number::Boot = number::Boot(0);

/// Returns the log entry for the guarantee of a workspace's pool under a limit.
///
/// The limit is part of the entry: a smaller limit empties the pool before the next entry,
/// and a new leader that took the old guarantee as valid would lend tokens that do not exist.
pub(super) fn guarantee_entry(
    workspace: &id::Workspace,
    kept: Amount,
    rate: FixedRate,
    burst: Amount,
) -> share::Allocation {
    let rate = if kept > Amount::ZERO {
        rate
    } else {
        FixedRate::ZERO
    };
    share::Allocation {
        workspace: workspace.clone(),
        instance: id::Instance::from_static(GUARANTEE_INSTANCE),
        boot: GUARANTEE_BOOT,
        lends: false,
        share: burst.floor().0,
        rate: rate.to_rate(),
        cap: kept.floor(),
    }
}

/// Returns whether a log entry is the guarantee of a pool.
pub(super) fn is_guarantee(logged: &share::Allocation) -> bool {
    logged.boot == GUARANTEE_BOOT && logged.instance.as_str() == GUARANTEE_INSTANCE
}

/// Returns when all loans made up to `now`, also by an earlier leader, have certainly ended.
pub(super) fn loans_end(now: duration::Instant) -> duration::Instant {
    now.after(LOAN_DURATION).after(LOAN_MARGIN)
}

impl Request {
    fn new(owner: &Owner) -> Self {
        Self {
            owner: owner.clone(),
            first: Amount::ZERO,
            wanted: Amount::ZERO,
            received_at: duration::Instant::default(),
            overtaken: Amount::ZERO,
        }
    }
}

impl LoanIssuer {
    /// Drops loans that have ended, and requests of entries that left the queue.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        if self.next_end.is_some_and(|end| now >= end) {
            self.drop_ended_loans(now);
        }
        self.queue
            .retain(|request| now.since(request.received_at) < REQUEST_TIMEOUT);
    }

    fn drop_ended_loans(&mut self, now: duration::Instant) {
        for loans in self.loans.values_mut() {
            loans.retain(|loan| now < loan.end);
        }
        self.loans.retain(|_, loans| !loans.is_empty());
        let loans = self.loans.values().flatten();
        self.outstanding = loans.fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining));
        let loans = self.loans.values().flatten();
        self.next_end = loans.map(|loan| loan.end).min();
    }

    /// Returns the tokens that loans may still hold.
    pub(super) const fn outstanding(&self) -> Amount {
        self.outstanding
    }

    /// Updates a holder's loans from its report; returns the tokens that it gives back.
    ///
    /// A holder drops every answer but the awaited one, so when it renews it has exactly what
    /// it reports: loans of lost answers are gone.
    pub(super) fn confirm_loans(
        &mut self,
        owner: &Owner,
        still_held: Amount,
        returned_tokens: Amount,
    ) -> Amount {
        let Some(loans) = self.loans.get_mut(owner) else {
            return Amount::ZERO;
        };
        let issued = loans
            .iter()
            .fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining));
        let mut lost = issued.minus(still_held);
        for loan in loans.iter_mut() {
            let part = lost.min(loan.remaining);
            loan.remaining = loan.remaining.minus(part);
            self.outstanding = self.outstanding.minus(part);
            lost = lost.minus(part);
        }
        loans.retain(|loan| loan.remaining > Amount::ZERO);
        returned_tokens.min(issued.minus(still_held))
    }

    /// Queues what an entry waits for; a `first` of zero removes the entry.
    ///
    /// A small request goes before larger ones that arrived earlier, as in an entry's own
    /// queue.
    fn enqueue(&mut self, now: duration::Instant, owner: &Owner, first: Amount, wanted: Amount) {
        let position = self
            .queue
            .iter()
            .position(|request| request.owner == *owner);
        if first == Amount::ZERO {
            if let Some(position) = position {
                self.queue.remove(position);
            }
            return;
        }
        let wanted = wanted.max(first);
        let (mut index, mut request) = match position.and_then(|index| self.queue.remove(index)) {
            Some(known) => (position.unwrap_or_default(), known),
            None => (self.queue.len(), Request::new(owner)),
        };
        request.first = first;
        request.wanted = wanted;
        request.received_at = now;
        while let Some(earlier) = index
            .checked_sub(1)
            .and_then(|index| self.queue.get_mut(index))
        {
            if !wait_queue::may_overtake(first, earlier.first, earlier.overtaken) {
                break;
            }
            earlier.overtaken = earlier.overtaken.plus(first);
            index -= 1;
        }
        self.queue.insert(index, request);
    }

    /// Lends the tokens that an entry waits for, or returns the times after which it may get them.
    pub(super) fn serve(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        demand: &share::Demand,
        supply: &Supply,
    ) -> Offer {
        let first = Amount::from_count(demand.first);
        let wanted = Amount::from_count(demand.wanted).max(first);
        self.enqueue(now, owner, first, wanted);
        let ahead = self.tokens_ahead(owner);
        if ahead.plus(first) > supply.pool {
            let delay = supply.accrues_from.since(now);
            let time_until = |amount: Amount| {
                let missing = ahead.plus(amount).minus(supply.pool);
                duration::Span(supply.rate.time_to_accrue(missing).0 + delay.0)
            };
            return Offer {
                lent: Amount::ZERO,
                first_wait: time_until(first),
                total_wait: time_until(wanted),
            };
        }
        let free = supply.pool.minus(ahead);
        // When not all requested tokens are available, only the first request gets its
        // tokens: parts of what the others need would sit at one entry without serving any
        // request.
        let lent = if wanted > free {
            first
        } else {
            let remaining = free.minus(wanted);
            let advance = supply
                .lends_in_advance
                .then(|| advance_tokens(demand, remaining, supply.burst));
            wanted.plus(advance.unwrap_or_default())
        };
        let lent = Amount::from_count(lent.floor());
        self.issue(now, owner, lent);
        Offer {
            lent,
            first_wait: duration::Span(0),
            total_wait: duration::Span(0),
        }
    }

    /// Returns the entries in the queue.
    pub(super) fn waiting_owners(&self) -> impl Iterator<Item = &Owner> {
        self.queue.iter().map(|request| &request.owner)
    }

    /// Returns the tokens that entries ahead of `owner` wait for.
    ///
    /// All queued entries count as ahead of an owner that is not queued.
    pub(super) fn tokens_ahead(&self, owner: &Owner) -> Amount {
        let earlier = self
            .queue
            .iter()
            .take_while(|request| request.owner != *owner);
        earlier.fold(Amount::ZERO, |sum, request| sum.plus(request.wanted))
    }

    /// Issues a loan to an entry, which joins the end of the queue with its next request.
    fn issue(&mut self, now: duration::Instant, owner: &Owner, amount: Amount) {
        self.queue.retain(|request| request.owner != *owner);
        if amount > Amount::ZERO {
            let loan = Loan {
                remaining: amount,
                end: loans_end(now),
            };
            self.outstanding = self.outstanding.plus(amount);
            self.next_end.get_or_insert(loan.end);
            self.loans.entry(owner.clone()).or_default().push_back(loan);
        }
    }
}

/// Returns the tokens to lend in advance, so that the next requests find theirs at the entry.
///
/// These are the tokens of one renewal interval and one typical request, limited while the
/// pool is low.
fn advance_tokens(demand: &share::Demand, free: Amount, burst: Amount) -> Amount {
    let reserved = burst.as_f64() * RESERVED_BURST_FRACTION;
    let max_advance = (free.as_f64() - reserved).max(0.0) * ADVANCE_FRACTION;
    let interval_demand = demand.rate.0 * RENEWAL_INTERVAL.as_secs_f64();
    let expected_use = if demand.rate.0 >= 1.0 {
        interval_demand + demand.usual.0 as f64
    } else {
        0.0
    };
    let held = demand.lent.0 as f64;
    Amount::from_count(amount::ceil_count(
        (expected_use - held).max(0.0).min(max_advance),
    ))
}
