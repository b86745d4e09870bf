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
use super::amount::{self, Amount, Flow};
use super::line;
use super::owner::Owner;

/// Time for which a loan may be spent, counted by its holder from sending the renewal.
/// Longer than nearly all answers take, short since a new leader waits it out.
pub const LOAN_DURATION: duration::Span = duration::Span::from_millis(600);

/// Time by which the leader counts a loan longer than its holder, whose clock may be
/// slower by some hundred millionths; a part of the life as with leases.
const MARGIN: duration::Span = duration::Span(LOAN_DURATION.0 / 64);

/// Time after which an entry that asked and was not heard again has left the line. An
/// entry that waits renews each quarter of a second at least.
const SILENT: duration::Span = duration::Span::from_millis(600);

/// Part of the burst that a lender keeps before it lends more than is asked for.
const KEPT_BACK: f64 = 0.5;

/// Part of what the pool holds beyond it that one answer lends ahead.
const AHEAD: f64 = 0.25;

/// What a lender has for those who ask.
#[derive(Debug, Clone, Copy)]
pub(super) struct Supply {
    /// Tokens that are there.
    pub(super) pool: Amount,
    /// At which more come.
    pub(super) rate: Flow,
    /// When they begin to come.
    pub(super) from: duration::Instant,
    /// Most that the pool may hold.
    pub(super) burst: Amount,
    /// Whether more is lent than is asked for.
    pub(super) ahead: bool,
}

/// What one who asked gets, and when there may be more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Offer {
    /// Whole tokens that are lent now.
    pub(super) lent: Amount,
    /// Time until the first request in line may get its tokens.
    pub(super) wait: duration::Span,
    /// The same for all that were wanted.
    pub(super) longest: duration::Span,
}

/// An entry that waits for tokens.
#[derive(Debug, Clone)]
struct Ask {
    owner: Owner,
    first: Amount,
    wanted: Amount,
    heard: duration::Instant,
    /// What small asks that came later have taken before it.
    passed: Amount,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    left: Amount,
    until: duration::Instant,
}

/// Loans of one workspace and the entries that wait for one.
#[derive(Debug, Clone, Default)]
pub(super) struct LoanIssuer {
    asks: VecDeque<Ask>,
    loans: BTreeMap<Owner, VecDeque<Loan>>,
    /// Sum of what is left of the loans.
    lent: Amount,
    /// No loan ends before this.
    due: Option<duration::Instant>,
}

/// Under this name, which no instance bears with this boot, the log keeps what the pool
/// holds for certain.
const POOL: &str = "pool";
const POOL_BOOT: number::Boot = number::Boot(0);

/// The log's entry on what the pool of a workspace keeps under a limit.
///
/// The limit is part of it: a smaller one empties the pool before the next entry, and a
/// new leader that took the old promise for valid would lend what nobody has.
pub(super) fn promise(
    workspace: &id::Workspace,
    kept: Amount,
    rate: Flow,
    burst: Amount,
) -> share::Allocation {
    let rate = if kept > Amount::ZERO {
        rate
    } else {
        Flow::ZERO
    };
    share::Allocation {
        workspace: workspace.clone(),
        instance: id::Instance::from_static(POOL),
        boot: POOL_BOOT,
        lends: false,
        share: burst.whole().0,
        rate: rate.to_rate(),
        cap: kept.whole(),
    }
}

/// Whether an entry of the log is on a pool.
pub(super) fn is_promise(logged: &share::Allocation) -> bool {
    logged.boot == POOL_BOOT && logged.instance.as_str() == POOL
}

/// When all loans of an earlier leader have ended for certain, seen at `now`.
pub(super) fn cleared(now: duration::Instant) -> duration::Instant {
    now.after(LOAN_DURATION).after(MARGIN)
}

impl Ask {
    fn new(owner: &Owner) -> Self {
        Self {
            owner: owner.clone(),
            first: Amount::ZERO,
            wanted: Amount::ZERO,
            heard: duration::Instant::default(),
            passed: Amount::ZERO,
        }
    }
}

impl LoanIssuer {
    /// Forgets loans that nobody can spend any more, and who has left the line.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        if self.due.is_some_and(|due| now >= due) {
            self.drop_ended(now);
        }
        self.asks.retain(|ask| now.since(ask.heard) < SILENT);
    }

    fn drop_ended(&mut self, now: duration::Instant) {
        for loans in self.loans.values_mut() {
            loans.retain(|loan| now < loan.until);
        }
        self.loans.retain(|_, loans| !loans.is_empty());
        let left = self.loans.values().flatten();
        self.lent = left.fold(Amount::ZERO, |sum, loan| sum.plus(loan.left));
        let left = self.loans.values().flatten();
        self.due = left.map(|loan| loan.until).min();
    }

    /// Tokens that loans may still hold.
    pub(super) const fn lent(&self) -> Amount {
        self.lent
    }

    /// Takes what a holder says of its loans as evidence; gives what it hands back.
    ///
    /// A holder drops every answer but the awaited one, so when it renews it has just
    /// what it says: loans of answers that were lost are gone.
    pub(super) fn confirm(&mut self, owner: &Owner, kept: Amount, back: Amount) -> Amount {
        let Some(loans) = self.loans.get_mut(owner) else {
            return Amount::ZERO;
        };
        let known = loans
            .iter()
            .fold(Amount::ZERO, |sum, loan| sum.plus(loan.left));
        let mut gone = known.minus(kept);
        for loan in loans.iter_mut() {
            let part = gone.min(loan.left);
            loan.left = loan.left.minus(part);
            self.lent = self.lent.minus(part);
            gone = gone.minus(part);
        }
        loans.retain(|loan| loan.left > Amount::ZERO);
        back.min(known.minus(kept))
    }

    /// Notes what an entry waits for; `first` is zero when nobody waits there.
    ///
    /// A small ask goes before large ones that came earlier, as in an entry's own line.
    fn ask(&mut self, now: duration::Instant, owner: &Owner, first: Amount, wanted: Amount) {
        let position = self.asks.iter().position(|ask| ask.owner == *owner);
        if first == Amount::ZERO {
            if let Some(position) = position {
                self.asks.remove(position);
            }
            return;
        }
        let wanted = wanted.max(first);
        let (mut place, mut ask) = match position.and_then(|place| self.asks.remove(place)) {
            Some(known) => (position.unwrap_or_default(), known),
            None => (self.asks.len(), Ask::new(owner)),
        };
        ask.first = first;
        ask.wanted = wanted;
        ask.heard = now;
        while let Some(before) = place
            .checked_sub(1)
            .and_then(|place| self.asks.get_mut(place))
        {
            if !line::may_pass(first, before.first, before.passed) {
                break;
            }
            before.passed = before.passed.plus(first);
            place -= 1;
        }
        self.asks.insert(place, ask);
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
        self.ask(now, owner, first, wanted);
        let ahead = self.ahead(owner);
        if ahead.plus(first) > supply.pool {
            let late = supply.from.since(now);
            let time = |amount: Amount| {
                let missing = ahead.plus(amount).minus(supply.pool);
                duration::Span(supply.rate.time_for(missing).0 + late.0)
            };
            return Offer {
                lent: Amount::ZERO,
                wait: time(first),
                longest: time(wanted),
            };
        }
        let free = supply.pool.minus(ahead);
        // Short of all, only the first gets its tokens: parts of what the others need
        // would lie at one entry and serve nobody.
        let lent = if wanted > free {
            first
        } else {
            let rest = free.minus(wanted);
            let more = supply.ahead.then(|| more(demand, rest, supply.burst));
            wanted.plus(more.unwrap_or_default())
        };
        let lent = Amount::from_count(lent.whole());
        self.lend(now, owner, lent);
        Offer {
            lent,
            wait: duration::Span(0),
            longest: duration::Span(0),
        }
    }

    /// Entries in line.
    pub(super) fn askers(&self) -> impl Iterator<Item = &Owner> {
        self.asks.iter().map(|ask| &ask.owner)
    }

    /// What those before an entry in line wait for; all that wait if it does not.
    pub(super) fn ahead(&self, owner: &Owner) -> Amount {
        let before = self.asks.iter().take_while(|ask| ask.owner != *owner);
        before.fold(Amount::ZERO, |sum, ask| sum.plus(ask.wanted))
    }

    /// Lends to an entry, which goes to the end of the line with its next ask.
    fn lend(&mut self, now: duration::Instant, owner: &Owner, amount: Amount) {
        self.asks.retain(|ask| ask.owner != *owner);
        if amount > Amount::ZERO {
            let loan = Loan {
                left: amount,
                until: cleared(now),
            };
            self.lent = self.lent.plus(amount);
            self.due.get_or_insert(loan.until);
            self.loans.entry(owner.clone()).or_default().push_back(loan);
        }
    }
}

/// What may be lent beyond what is asked for, so that the next requests find their
/// tokens there: those of one period and one large one, as long as the pool is rich.
fn more(demand: &share::Demand, free: Amount, burst: Amount) -> Amount {
    let kept = burst.as_f64() * KEPT_BACK;
    let rich = (free.as_f64() - kept).max(0.0) * AHEAD;
    let period = demand.rate.0 * RENEWAL_INTERVAL.as_secs_f64();
    let useful = if demand.rate.0 >= 1.0 {
        period + demand.usual.0 as f64
    } else {
        0.0
    };
    let has = demand.lent.0 as f64;
    Amount::from_count(amount::covering((useful - has).max(0.0).min(rich)))
}
