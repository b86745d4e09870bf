//! Lender's side of the rate limits: an entry that lends a workspace's tokens to the others.
//!
//! The leader leases the pool of a workspace to one entry as a large share, on the same terms
//! as any share. Other entries borrow from it for at most `LOAN_DURATION` and never beyond
//! the end of that lease, so that all loans have ended when the leader leases the pool to
//! another entry. Borrowers do not notice a leader that is late or gone for less than the
//! lease.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_wire::share;
use serde::Serialize;

use super::amount::{Amount, FixedRate};
use super::loan_issuer::{LOAN_DURATION, LoanIssuer, Supply};
use super::owner::Owner;
use super::renewals::Renewals;
use super::{LEASE_DURATION, RENEWAL_INTERVAL};
use crate::leader_calls;

/// Time between two renewals of a lender's shares; several fit into a lease.
const LENDER_RENEWAL_INTERVAL: duration::Span = duration::Span(LEASE_DURATION.0 / 4);

/// Time after which an unanswered renewal is given up.
///
/// The lease lasts twice as long, and each renewal that is given up adds another one to a
/// late leader's work.
pub const ANSWER_TIMEOUT: duration::Span = duration::Span(LEASE_DURATION.0 / 2);

/// Time between the end of a loan and the end of the lease that it is lent from.
///
/// Clocks of two instances differ by some hundred millionths.
const LOAN_END_MARGIN: duration::Span = duration::Span::from_millis(20);

/// Shortest useful loan.
const MIN_LOAN_DURATION: duration::Span = duration::Span::from_millis(50);

/// Time after which a borrower asks again while the leader has not leased the pool to this entry.
const RETRY_DELAY: duration::Span = duration::Span::from_millis(100);

/// Time for which the last answer to each borrower is kept.
const ANSWER_RETENTION: duration::Span = duration::Span(LOAN_DURATION.0 * 4);

/// Pools of the workspaces that the leader selected this entry to lend for.
#[derive(Debug)]
pub struct Lender {
    instance: id::Instance,
    boot: number::Boot,
    renewals: Renewals,
    closed: bool,
    min_interval: duration::Span,
    pools: BTreeMap<id::Workspace, Pool>,
    last_answers: BTreeMap<Owner, LastAnswer>,
}

/// Answer to the last loan request of one borrower.
#[derive(Debug)]
struct LastAnswer {
    at: duration::Instant,
    answer: share::Granted,
}

/// State of one pool, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Workspace of the pool.
    pub workspace: id::Workspace,
    /// Rate at which tokens accrue in the pool.
    pub rate: token::Rate,
    /// Most tokens that the pool and its loans may hold.
    pub cap: token::Count,
    /// Tokens in the pool.
    pub level: token::Count,
    /// Tokens of the loans that have not ended.
    pub lent: token::Count,
    /// End of the lease on this process's clock.
    pub until: duration::Instant,
}

impl Lender {
    /// Creates a lender without any pool.
    #[must_use]
    pub fn new(instance: id::Instance, boot: number::Boot) -> Self {
        Self {
            instance,
            boot,
            renewals: Renewals::default(),
            closed: false,
            min_interval: duration::Span(0),
            pools: BTreeMap::new(),
            last_answers: BTreeMap::new(),
        }
    }

    /// Sets the number of entries that renew at the same leader.
    pub fn set_entry_count(&mut self, count: usize) {
        self.min_interval = leader_calls::min_interval(count);
    }

    /// Sets the workspaces whose tokens this entry lends.
    pub fn set_workspaces(&mut self, now: duration::Instant, selected: &[id::Workspace]) {
        for (workspace, pool) in &mut self.pools {
            pool.is_selected = selected.contains(workspace);
        }
        for workspace in selected {
            self.pools
                .entry(workspace.clone())
                .or_insert_with(|| Pool::new(now));
        }
    }

    /// Answers a loan request; returns `None` if a later one was answered before.
    ///
    /// A request that arrives twice gets the same answer, so that a borrower whose answer was
    /// lost gets no second loan. Workspaces that this entry does not lend for are left out of
    /// the answer.
    pub fn answer_loan_request(
        &mut self,
        now: duration::Instant,
        request: &share::Renew,
    ) -> Option<share::Granted> {
        let owner = Owner::from_renewal(request);
        if let Some(last) = self.last_answers.get(&owner) {
            if request.sequence == last.answer.sequence {
                return Some(last.answer.clone());
            }
            if request.sequence < last.answer.sequence {
                return None;
            }
        }
        let mut loan_duration = LOAN_DURATION;
        let mut grants = Vec::new();
        for demand in &request.demands {
            let Some(pool) = self.pools.get_mut(&demand.workspace) else {
                continue;
            };
            pool.advance(now);
            if pool.share == 0 {
                // The leader may have the tokens, so the borrower turns to the leader.
                continue;
            }
            loan_duration = loan_duration.min(pool.loan_duration(now));
            grants.push(pool.lend(now, &owner, demand));
        }
        let answer = share::Granted {
            sequence: request.sequence,
            term: number::Term::default(),
            lease: loan_duration,
            grants,
        };
        self.last_answers
            .retain(|_, last| now.since(last.at) < ANSWER_RETENTION);
        let last = LastAnswer {
            at: now,
            answer: answer.clone(),
        };
        self.last_answers.insert(owner, last);
        Some(answer)
    }

    /// Returns the time at which the next renewal is due.
    #[must_use]
    pub fn next_renewal_at(&self) -> duration::Instant {
        if self.pools.is_empty() {
            return NEVER;
        }
        let Some(sent) = self.renewals.sent_at() else {
            return duration::Instant::default();
        };
        if self.renewals.is_awaited() {
            return sent.after(ANSWER_TIMEOUT);
        }
        if self.renewals.has_failed() {
            return sent.after(RENEWAL_INTERVAL.max(self.min_interval));
        }
        let is_urgent = self.pools.values().any(Pool::is_urgent);
        let interval = if is_urgent {
            self.min_interval
        } else {
            LENDER_RENEWAL_INTERVAL.max(self.min_interval)
        };
        sent.after(interval)
    }

    /// Returns the renewal to send to the leader now.
    pub fn begin_renewal(&mut self, now: duration::Instant) -> share::Renew {
        let sequence = self.renewals.begin(now);
        self.pools.values_mut().for_each(|pool| pool.advance(now));
        self.pools.retain(|_, pool| !pool.is_finished());
        let pools = self.pools.iter_mut();
        let demands = pools.map(|(workspace, pool)| pool.take_demand(workspace));
        share::Renew {
            instance: self.instance.clone(),
            boot: self.boot,
            sequence,
            lends: true,
            demands: demands.collect(),
        }
    }

    /// Applies the leader's answer; returns true if it was the awaited one.
    pub fn apply_grants(&mut self, now: duration::Instant, answer: &share::Granted) -> bool {
        let Some(sent) = self.renewals.take_answer(answer.sequence) else {
            return false;
        };
        let until = sent.after(answer.lease);
        if now >= until || self.closed {
            return true;
        }
        for grant in &answer.grants {
            if let Some(pool) = self.pools.get_mut(&grant.workspace) {
                pool.advance(now);
                pool.apply(grant, until);
            }
        }
        true
    }

    /// Records that a renewal got no answer.
    pub fn fail_renewal(&mut self, sequence: number::Sequence) {
        self.renewals.fail(sequence);
    }

    /// Stops lending and returns all tokens without a loan with the next renewal.
    pub fn close(&mut self, now: duration::Instant) {
        self.closed = true;
        for pool in self.pools.values_mut() {
            pool.advance(now);
            pool.close();
        }
    }

    /// Returns whether there is no pool, so that nothing must be returned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Returns the state of all pools, for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<Dump> {
        let dump = |(workspace, pool): (&id::Workspace, &Pool)| Dump {
            workspace: workspace.clone(),
            rate: pool.rate.to_rate(),
            cap: pool.cap.floor(),
            level: pool.level.floor(),
            lent: pool.loans.outstanding().floor(),
            until: pool.lease_end,
        };
        self.pools.iter().map(dump).collect()
    }
}

/// Pool of one workspace.
#[derive(Debug, Default)]
struct Pool {
    /// Whether the leader selected this entry as lender.
    is_selected: bool,
    share: u64,
    rate: FixedRate,
    cap: Amount,
    level: Amount,
    lease_end: duration::Instant,
    accrued_at: duration::Instant,
    /// Tokens to return with the next renewal.
    surplus: Amount,
    /// Whether the share changed and the leader does not know yet that the change arrived.
    unconfirmed: bool,
    loans: LoanIssuer,
}

impl Pool {
    fn new(now: duration::Instant) -> Self {
        Self {
            is_selected: true,
            accrued_at: now,
            ..Self::default()
        }
    }

    /// Advances the pool to `now`: drops a share whose lease has run out, then accrues tokens.
    fn advance(&mut self, now: duration::Instant) {
        if self.share != 0 && now >= self.lease_end {
            self.drop_share();
        }
        self.loans.expire(now);
        let accrued = self.rate.accrued_in(now.since(self.accrued_at));
        self.accrued_at = self.accrued_at.max(now);
        self.level = self.level.plus(accrued);
        self.cap_level();
    }

    /// Caps the level so that the pool and its loans hold no more than the leader granted.
    fn cap_level(&mut self) {
        self.level = self.level.min(self.cap.minus(self.loans.outstanding()));
    }

    /// Returns the duration of a loan made now.
    fn loan_duration(&self, now: duration::Instant) -> duration::Span {
        let remaining = self.lease_end.since(now);
        LOAN_DURATION.min(duration::Span(
            remaining.0.saturating_sub(LOAN_END_MARGIN.0),
        ))
    }

    fn lend(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        demand: &share::Demand,
    ) -> share::Grant {
        let still_held = Amount::from_count(demand.lent);
        let unlent = Amount::from_count(demand.unlent);
        let returned = self.loans.confirm_loans(owner, still_held, unlent);
        self.level = self.level.plus(returned);
        self.cap_level();
        let can_lend = self.loan_duration(now) >= MIN_LOAN_DURATION;
        let supply = Supply {
            pool: if can_lend { self.level } else { Amount::ZERO },
            rate: self.rate,
            accrues_from: if can_lend {
                now
            } else {
                now.after(RETRY_DELAY)
            },
            burst: self.cap,
            lends_in_advance: true,
        };
        let mut offer = self.loans.serve(now, owner, demand, &supply);
        if !can_lend {
            // The leader's next answer decides; nothing is known of the time after it.
            offer.first_wait = offer.first_wait.min(RETRY_DELAY);
            offer.total_wait = offer.total_wait.min(RETRY_DELAY);
        }
        self.level = self.level.minus(offer.lent);
        share::Grant {
            workspace: demand.workspace.clone(),
            share: 0,
            rate: token::Rate(0.0),
            cap: token::Count(0),
            tokens: token::Count(0),
            lent: offer.lent.floor(),
            wait: offer.first_wait,
            longest: offer.total_wait,
        }
    }

    /// Returns the demand for the next renewal.
    ///
    /// No space is kept free for tokens of the leader's pool, because this pool keeps filling
    /// while the answer is awaited.
    fn take_demand(&mut self, workspace: &id::Workspace) -> share::Demand {
        self.unconfirmed = false;
        let returned = std::mem::take(&mut self.surplus).floor();
        share::Demand {
            workspace: workspace.clone(),
            rate: token::Rate(0.0),
            wanted: token::Count(0),
            returned,
            room: token::Count(0),
            share: self.share,
            first: token::Count(0),
            usual: token::Count(0),
            lent: self.loans.outstanding().ceil(),
            unlent: token::Count(0),
        }
    }

    fn apply(&mut self, grant: &share::Grant, until: duration::Instant) {
        self.unconfirmed = grant.share != self.share;
        self.share = grant.share;
        self.rate = FixedRate::from_rate(grant.rate);
        self.cap = Amount::from_count(grant.cap);
        self.lease_end = until;
        self.level = self.level.plus(Amount::from_count(grant.tokens));
        let max_level = self.cap.minus(self.loans.outstanding());
        self.surplus = self.surplus.plus(self.level.minus(max_level));
        self.cap_level();
    }

    /// Returns whether the next renewal must not wait for the regular interval.
    fn is_urgent(&self) -> bool {
        let has_share = self.share != 0 && self.cap > Amount::ZERO;
        self.unconfirmed || self.is_selected != has_share
    }

    /// Returns whether the pool has nothing left to hold, lend, return or confirm.
    fn is_finished(&self) -> bool {
        let holds_tokens = self.cap > Amount::ZERO || self.loans.outstanding() > Amount::ZERO;
        !self.is_selected && !holds_tokens && !self.unconfirmed && self.surplus.floor().0 == 0
    }

    fn close(&mut self) {
        self.is_selected = false;
        self.surplus = self.surplus.plus(self.level);
        self.share = 0;
        self.rate = FixedRate::ZERO;
        self.cap = Amount::ZERO;
        self.level = Amount::ZERO;
        self.unconfirmed = true;
    }

    /// Drops the share when its lease has run out; all its loans have ended before.
    fn drop_share(&mut self) {
        self.share = 0;
        self.rate = FixedRate::ZERO;
        self.cap = Amount::ZERO;
        self.level = Amount::ZERO;
        self.surplus = Amount::ZERO;
        self.unconfirmed = false;
    }
}

/// Time of a renewal that is never due.
const NEVER: duration::Instant = duration::Instant(u64::MAX);
