//! Tokens that the leader lends for single requests, beside the shares.
//!
//! A generation costs thousands of tokens at once, and a small workspace has a few
//! thousand a second for all entries together. Spread over entries as shares, no entry
//! ever holds what one request costs, and what accrues in a full share is lost: callers
//! within their rate would be refused. So the tokens stay in the pool, and the leader
//! lends them whole to whoever is first in line.
//!
//! A loan lives for [`LOAN_DURATION`] from the sending of the renewal that asked for it. It is
//! not in the log: a new leader lends nothing before all loans of its predecessor have
//! ended. While a loan may live the pool leaves room for it, so that shares, loans and
//! pool together never hold more than the burst.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

use super::RENEWAL_INTERVAL;
use super::amount::{self, Amount, FixedRate};
use super::owner::Owner;
use super::wait_queue;

/// Time for which a loan may be spent, counted by its holder from sending the renewal.
/// Longer than nearly all answers take, short since a new leader waits it out.
pub const LOAN_DURATION: duration::Span = duration::Span::from_millis(600);

/// Time by which the leader counts a loan longer than its holder, whose clock may be
/// slower by some hundred millionths; a part of the life as with leases.
const LOAN_MARGIN: duration::Span = duration::Span(LOAN_DURATION.0 / 64);

/// Time after which an entry that asked and was not heard again has left the line. An
/// entry that waits renews each quarter of a second at least.
const REQUEST_TIMEOUT: duration::Span = duration::Span::from_millis(600);

/// Part of the burst that a lender keeps before it lends more than is asked for.
const RESERVED_BURST_FRACTION: f64 = 0.5;

/// Part of what the pool holds beyond it that one answer lends ahead.
const ADVANCE_FRACTION: f64 = 0.25;

/// What a lender has for those who ask.
#[derive(Debug, Clone, Copy)]
pub(super) struct Supply {
    /// Tokens that are there.
    pub(super) pool: Amount,
    /// At which more come.
    pub(super) rate: FixedRate,
    /// When they begin to come.
    pub(super) accrues_from: duration::Instant,
    /// Most that the pool may hold.
    pub(super) burst: Amount,
    /// Whether more is lent than is asked for.
    pub(super) lends_in_advance: bool,
}

/// What one who asked gets, and when there may be more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Offer {
    /// Whole tokens that are lent now.
    pub(super) lent: Amount,
    /// Time until the first request in line may get its tokens.
    pub(super) first_wait: duration::Span,
    /// The same for all that were wanted.
    pub(super) total_wait: duration::Span,
}

/// An entry that waits for tokens.
#[derive(Debug, Clone)]
struct Request {
    owner: Owner,
    first: Amount,
    wanted: Amount,
    received_at: duration::Instant,
    /// What small asks that came later have taken before it.
    overtaken: Amount,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    remaining: Amount,
    end: duration::Instant,
}

/// Loans of one workspace and the entries that wait for one.
#[derive(Debug, Clone, Default)]
pub(super) struct LoanIssuer {
    queue: VecDeque<Request>,
    loans: BTreeMap<Owner, VecDeque<Loan>>,
    /// Sum of what is left of the loans.
    outstanding: Amount,
    /// No loan ends before this.
    next_end: Option<duration::Instant>,
}

/// Under this name, which no instance bears with this boot, the log keeps what the pool
/// holds for certain.
const GUARANTEE_INSTANCE: &str = "pool";
const GUARANTEE_BOOT: number::Boot = number::Boot(0);

/// The log's entry on what the pool of a workspace keeps under a limit.
///
/// The limit is part of it: a smaller one empties the pool before the next entry, and a
/// new leader that took the old promise for valid would lend what nobody has.
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

/// Whether an entry of the log is on a pool.
pub(super) fn is_guarantee(logged: &share::Allocation) -> bool {
    logged.boot == GUARANTEE_BOOT && logged.instance.as_str() == GUARANTEE_INSTANCE
}

/// When all loans of an earlier leader have ended for certain, seen at `now`.
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
    /// Forgets loans that nobody can spend any more, and who has left the line.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        if self.next_end.is_some_and(|due| now >= due) {
            self.drop_ended_loans(now);
        }
        self.queue
            .retain(|ask| now.since(ask.received_at) < REQUEST_TIMEOUT);
    }

    fn drop_ended_loans(&mut self, now: duration::Instant) {
        for loans in self.loans.values_mut() {
            loans.retain(|loan| now < loan.end);
        }
        self.loans.retain(|_, loans| !loans.is_empty());
        let left = self.loans.values().flatten();
        self.outstanding = left.fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining));
        let left = self.loans.values().flatten();
        self.next_end = left.map(|loan| loan.end).min();
    }

    /// Tokens that loans may still hold.
    pub(super) const fn outstanding(&self) -> Amount {
        self.outstanding
    }

    /// Takes what a holder says of its loans as evidence; gives what it hands back.
    ///
    /// A holder drops every answer but the awaited one, so when it renews it has just
    /// what it says: loans of answers that were lost are gone.
    pub(super) fn confirm_loans(&mut self, owner: &Owner, kept: Amount, back: Amount) -> Amount {
        let Some(loans) = self.loans.get_mut(owner) else {
            return Amount::ZERO;
        };
        let known = loans
            .iter()
            .fold(Amount::ZERO, |sum, loan| sum.plus(loan.remaining));
        let mut gone = known.minus(kept);
        for loan in loans.iter_mut() {
            let part = gone.min(loan.remaining);
            loan.remaining = loan.remaining.minus(part);
            self.outstanding = self.outstanding.minus(part);
            gone = gone.minus(part);
        }
        loans.retain(|loan| loan.remaining > Amount::ZERO);
        back.min(known.minus(kept))
    }

    /// Notes what an entry waits for; `first` is zero when nobody waits there.
    ///
    /// A small ask goes before large ones that came earlier, as in an entry's own line.
    fn enqueue(&mut self, now: duration::Instant, owner: &Owner, first: Amount, wanted: Amount) {
        let position = self.queue.iter().position(|ask| ask.owner == *owner);
        if first == Amount::ZERO {
            if let Some(position) = position {
                self.queue.remove(position);
            }
            return;
        }
        let wanted = wanted.max(first);
        let (mut index, mut ask) = match position.and_then(|place| self.queue.remove(place)) {
            Some(known) => (position.unwrap_or_default(), known),
            None => (self.queue.len(), Request::new(owner)),
        };
        ask.first = first;
        ask.wanted = wanted;
        ask.received_at = now;
        while let Some(before) = index
            .checked_sub(1)
            .and_then(|place| self.queue.get_mut(place))
        {
            if !wait_queue::may_overtake(first, before.first, before.overtaken) {
                break;
            }
            before.overtaken = before.overtaken.plus(first);
            index -= 1;
        }
        self.queue.insert(index, ask);
    }

    /// Lends what an entry waits for, if it is its turn, or says when it may be.
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
            let late = supply.accrues_from.since(now);
            let time = |amount: Amount| {
                let missing = ahead.plus(amount).minus(supply.pool);
                duration::Span(supply.rate.time_to_accrue(missing).0 + late.0)
            };
            return Offer {
                lent: Amount::ZERO,
                first_wait: time(first),
                total_wait: time(wanted),
            };
        }
        let free = supply.pool.minus(ahead);
        // Short of all, only the first gets its tokens: parts of what the others need
        // would lie at one entry and serve nobody.
        let lent = if wanted > free {
            first
        } else {
            let rest = free.minus(wanted);
            let more = supply
                .lends_in_advance
                .then(|| advance_tokens(demand, rest, supply.burst));
            wanted.plus(more.unwrap_or_default())
        };
        let lent = Amount::from_count(lent.floor());
        self.issue(now, owner, lent);
        Offer {
            lent,
            first_wait: duration::Span(0),
            total_wait: duration::Span(0),
        }
    }

    /// Entries in line.
    pub(super) fn waiting_owners(&self) -> impl Iterator<Item = &Owner> {
        self.queue.iter().map(|ask| &ask.owner)
    }

    /// What those before an entry in line wait for; all that wait if it does not.
    pub(super) fn tokens_ahead(&self, owner: &Owner) -> Amount {
        let before = self.queue.iter().take_while(|ask| ask.owner != *owner);
        before.fold(Amount::ZERO, |sum, ask| sum.plus(ask.wanted))
    }

    /// Lends to an entry, which goes to the end of the line with its next ask.
    fn issue(&mut self, now: duration::Instant, owner: &Owner, amount: Amount) {
        self.queue.retain(|ask| ask.owner != *owner);
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

/// What may be lent beyond what is asked for, so that the next requests find their
/// tokens there: those of one period and one large one, as long as the pool is rich.
fn advance_tokens(demand: &share::Demand, free: Amount, burst: Amount) -> Amount {
    let kept = burst.as_f64() * RESERVED_BURST_FRACTION;
    let rich = (free.as_f64() - kept).max(0.0) * ADVANCE_FRACTION;
    let period = demand.rate.0 * RENEWAL_INTERVAL.as_secs_f64();
    let useful = if demand.rate.0 >= 1.0 {
        period + demand.usual.0 as f64
    } else {
        0.0
    };
    let has = demand.lent.0 as f64;
    Amount::from_count(amount::ceil_count((useful - has).max(0.0).min(rich)))
}
