//! Token bucket of one workspace at the leader: the pool and the shares taken out of it.

mod delegation;
mod share_table;

use cranberrygap_model::{duration, id, token};
use cranberrygap_wire::share;

use super::amount::{self, Amount, FixedRate};
use super::guarantee::Guarantee;
use super::loan_issuer::{self, LoanIssuer, Supply};
use super::owner::Owner;
use super::{LEASE_DURATION, Limit};
use delegation::Delegation;
use share_table::ShareTable;

/// Divisor of the rate for the part that no share ever gets.
///
/// Clocks of two instances differ by up to some hundred millionths, and a holder with a fast
/// clock would accrue more than its rate. This part compensates for it.
const CLOCK_DRIFT_DIVISOR: u64 = 2_000;

/// Divisor of the lease for the time that the leader waits longer than the holder.
///
/// Clocks of two instances differ, as for `CLOCK_DRIFT_DIVISOR`.
const LEASE_MARGIN_DIVISOR: u64 = 64;

/// Tenths of the rate that shares get at most.
///
/// The rest accrues in the pool, from where an entry with new demand gets tokens at once.
const MAX_SHARED_TENTHS: u64 = 9;

/// Fraction of its entry's demand that a share gets as its own rate.
///
/// Tokens that accrue in a full share are lost, while those that accrue in the pool go to
/// whichever entry is short. The share's own rate carries the entry through a time without a
/// leader.
const SHARE_DEMAND_FRACTION: f64 = 0.5;

/// Duration of an entry's demand whose tokens its share may hold.
///
/// Refunds need free space in the share: with a shorter duration more of them were lost, with
/// a longer one more tokens were out of the other entries' reach (`measure limits`).
const CAP_DEMAND_DURATION: duration::Span = duration::Span::from_millis(2_000);

/// Factor on `MIN_CAP_REQUESTS` for an entry's first share, where another entry lends.
///
/// Without it, requests of several sizes would make shares come and go.
const FIRST_SHARE_FACTOR: f64 = 2.0;

/// Fraction of the burst that all shares together hold for their demand.
///
/// The rest stays in the pool for entries that are short of tokens.
const MAX_SHARED_BURST_FRACTION: f64 = 0.4;

/// Number of typical requests that a share must be able to hold; a smaller one is not granted.
///
/// Tokens that accrue in a share too small for a request are lost to everybody: at a rate of
/// 4,200 tokens per second, spread over 9 entries, a fifth of requests at 0.55 of the rate
/// were refused (`limits_unequal`). The tokens of such a workspace stay in the pool and are
/// lent.
const MIN_CAP_REQUESTS: f64 = 2.0;

/// Fraction by which the target rate may differ from a share's rate before the share changes.
///
/// Each change is an entry in the replicated log.
const RATE_TOLERANCE: f64 = 0.25;

/// Fraction by which the target cap may differ from a share's cap before the share changes.
///
/// A share that shrinks limits the refunds of running requests, so caps change only after a
/// large change of demand.
const CAP_TOLERANCE: f64 = 0.5;

/// Rate and cap under a share number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ShareTerms {
    pub(super) number: u64,
    pub(super) rate: FixedRate,
    pub(super) cap: Amount,
}

#[derive(Debug, Clone, Default)]
struct Share {
    /// Terms that the holder reported.
    held: ShareTerms,
    /// Terms that the holder also has if the last answer arrived.
    offered: ShareTerms,
    /// Rate and cap that the log allows the holder.
    logged: (FixedRate, Amount),
    /// Whether the share was read from the log and its holder has not reported yet.
    inherited: bool,
    lease_end: duration::Instant,
    /// Tokens per second that the entry's callers request.
    demand: f64,
    /// Recent cost of a typical request.
    typical_cost: f64,
    /// Rate and cap that the entry's demand calls for.
    desired: (FixedRate, Amount),
}

impl Share {
    fn rate(&self) -> FixedRate {
        self.held.rate.max(self.offered.rate)
    }

    fn cap(&self) -> Amount {
        self.held.cap.max(self.offered.cap)
    }
}

#[derive(Debug, Clone)]
pub(super) struct Bucket {
    rate: FixedRate,
    burst: Amount,
    pool: Amount,
    accrued_at: duration::Instant,
    shares: ShareTable,
    loans: LoanIssuer,
    guarantee: Guarantee,
    delegation: Delegation,
}

impl Bucket {
    pub(super) fn new(now: duration::Instant, limit: Limit) -> Self {
        let mut bucket = Self {
            rate: FixedRate::ZERO,
            burst: Amount::ZERO,
            pool: Amount::ZERO,
            accrued_at: now,
            shares: ShareTable::default(),
            loans: LoanIssuer::default(),
            guarantee: Guarantee::default(),
            delegation: Delegation::default(),
        };
        bucket.configure(now, limit);
        bucket
    }

    /// Sets the rate and burst.
    ///
    /// Shares above them shrink at their next renewals, so a smaller limit holds after one
    /// lease at the latest.
    pub(super) fn configure(&mut self, now: duration::Instant, limit: Limit) {
        self.accrue(now);
        let rate = FixedRate::from_rate(limit.rate);
        self.rate = rate.minus(FixedRate(rate.0.div_ceil(CLOCK_DRIFT_DIVISOR)));
        self.burst = Amount::from_count(limit.burst);
        self.cap_pool();
    }

    /// Sets the entry that lends in place of the leader.
    pub(super) fn set_lender(&mut self, lender: Option<&id::Instance>) {
        self.delegation.set_lender(lender);
    }

    /// Shortens the lease of a process that has ended and renews no more, to the end of its loans.
    pub(super) fn record_process_end(&mut self, now: duration::Instant, owner: &Owner) {
        let end = loan_issuer::loans_end(now);
        if self.shares.get(owner).is_some() {
            self.shares
                .update(owner, |share| share.lease_end = share.lease_end.min(end));
        }
    }

    /// Fills the pool; only correct for a workspace that never had a share.
    pub(super) fn fill(&mut self) {
        self.pool = self.burst;
        self.cap_pool();
    }

    /// Adds the tokens that an earlier leader guaranteed to keep in the pool.
    pub(super) fn restore_guarantee(&mut self, logged: &share::Allocation) {
        let guaranteed = Amount::from_count(logged.cap);
        let guaranteed_limit = (logged.rate, logged.share);
        self.guarantee.logged_amount = guaranteed;
        if guaranteed_limit != (self.rate.to_rate(), self.burst.floor().0) {
            return;
        }
        self.guarantee.amount = guaranteed;
        self.pool = self.pool.plus(guaranteed);
        self.cap_pool();
    }

    /// Starts with an empty pool that accrues once all loans of an earlier leader have ended.
    ///
    /// Loans are not in the log. A loan spent after the election would add to what the new
    /// pool has accrued, and a caller would get more than the burst.
    pub(super) fn start_after_predecessor(&mut self, now: duration::Instant) {
        self.accrued_at = loan_issuer::loans_end(now);
    }

    /// Adds a share from the log as if it had been renewed just now.
    pub(super) fn inherit_share(&mut self, now: duration::Instant, logged: &share::Allocation) {
        let terms = ShareTerms {
            number: logged.share,
            rate: FixedRate::from_rate(logged.rate),
            cap: Amount::from_count(logged.cap),
        };
        let share = Share {
            held: terms,
            offered: terms,
            logged: (terms.rate, terms.cap),
            inherited: true,
            lease_end: lease_end(now),
            ..Share::default()
        };
        let owner = Owner::from_allocation(logged);
        self.shares.update(&owner, |known| *known = share);
        self.cap_pool();
    }

    /// Answers one demand; `next` is the number for a share that changes.
    pub(super) fn renew(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        demand: &share::Demand,
        next: &mut u64,
    ) -> share::Grant {
        self.accrue(now);
        self.confirm_share(owner, demand);
        self.record_demand(owner, demand);
        let target = self.target_terms(now, owner);
        let (held, offered) = self.shares.update(owner, |share| {
            let held = share.held;
            if (target.rate, target.cap) == (held.rate, held.cap) {
                share.offered = held;
            } else {
                share.offered = ShareTerms {
                    number: *next,
                    ..target
                };
                *next += 1;
            }
            share.lease_end = lease_end(now);
            (held, share.offered)
        });
        let (wait, longest, lent) = self.lend(now, owner, demand);
        let tokens = self.move_tokens(owner, demand, held, offered);
        self.guarantee.update(now, self.pool);
        share::Grant {
            workspace: demand.workspace.clone(),
            share: offered.number,
            rate: offered.rate.to_rate(),
            cap: offered.cap.floor(),
            tokens,
            lent,
            wait,
            longest,
        }
    }

    /// Lends the tokens that an entry waits for, or returns the times after which it may get them.
    fn lend(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        demand: &share::Demand,
    ) -> (duration::Span, duration::Span, token::Count) {
        if owner.lends {
            return (duration::Span(0), duration::Span(0), token::Count(0));
        }
        let supply = Supply {
            pool: self.pool,
            rate: self.rate.minus(self.shared_rate()),
            accrues_from: self.accrued_at,
            burst: self.burst,
            // Where another entry lends, only entries that cannot reach it borrow from the leader.
            lends_in_advance: !self.delegation.has_lender(),
        };
        let offer = self.loans.serve(now, owner, demand, &supply);
        self.pool = self.pool.minus(offer.lent);
        self.cap_pool();
        if self.delegation.has_lender() && demand.first.0 > 0 {
            let waiting = Amount::from_count(demand.wanted);
            let direct_demand = self.direct_demand();
            self.delegation
                .reserve_direct(now, direct_demand, waiting, (self.rate, self.burst));
            if supply.rate == FixedRate::ZERO {
                // The lender has the tokens and may return some at any time.
                return (duration::Span(0), duration::Span(0), offer.lent.floor());
            }
        }
        (offer.first_wait, offer.total_wait, offer.lent.floor())
    }

    /// Returns the demand of the entries that wait for the leader's tokens.
    fn direct_demand(&self) -> f64 {
        let waiting = self.loans.waiting_owners();
        let shares = waiting.filter_map(|owner| self.shares.get(owner));
        shares.map(|share| share.demand).sum()
    }

    /// Returns whether entries with most of the demand cannot reach the lender.
    pub(super) fn is_lender_unreachable(&self) -> bool {
        let total_demand = self.shares.demand();
        self.delegation
            .is_lender_unreachable(self.direct_demand(), total_demand)
    }

    /// Drops shares whose lease has certainly run out; their tokens count as spent.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        self.loans.expire(now);
        self.accrue(now);
        for owner in self.shares.expired_owners(now) {
            self.shares.update(&owner, |share| {
                share.held = ShareTerms::default();
                share.offered = ShareTerms::default();
                share.inherited = false;
                share.demand = 0.0;
                share.desired = Default::default();
            });
        }
    }

    /// Returns the allocations that differ from the log, which count as logged from now on.
    ///
    /// Shrunk shares come first, so that no prefix of the log adds up to more than the limit.
    pub(super) fn take_unlogged(&mut self, workspace: &id::Workspace) -> Vec<share::Allocation> {
        let mut smaller = Vec::new();
        let mut larger = Vec::new();
        if self.guarantee.amount != self.guarantee.logged_amount {
            let grows = self.guarantee.amount > self.guarantee.logged_amount;
            let list = if grows { &mut larger } else { &mut smaller };
            list.push(loan_issuer::guarantee_entry(
                workspace,
                self.guarantee.amount,
                self.rate,
                self.burst,
            ));
            self.guarantee.logged_amount = self.guarantee.amount;
        }
        for owner in self.shares.take_changed() {
            let Some(share) = self.shares.get(&owner) else {
                continue;
            };
            let allowed = (share.rate(), share.cap());
            if allowed != share.logged {
                let grows = allowed.0 > share.logged.0 || allowed.1 > share.logged.1;
                let list = if grows { &mut larger } else { &mut smaller };
                list.push(share::Allocation {
                    workspace: workspace.clone(),
                    instance: owner.instance.clone(),
                    boot: owner.boot,
                    lends: owner.lends,
                    share: share.held.number.max(share.offered.number),
                    rate: allowed.0.to_rate(),
                    cap: allowed.1.ceil(),
                });
            }
            self.shares.record_logged(&owner, allowed);
        }
        smaller.append(&mut larger);
        smaller
    }

    /// Returns the sums of the rates and caps that holders may have, and the pool.
    pub(super) fn totals(&self) -> (FixedRate, Amount, Amount) {
        (self.shared_rate(), self.shared_cap(), self.pool)
    }

    /// Returns the owners that may currently have a share.
    pub(super) fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.shares.owners()
    }

    pub(super) fn share_count(&self) -> usize {
        self.shares.len()
    }

    fn accrue(&mut self, now: duration::Instant) {
        let accrued = self
            .rate
            .minus(self.shared_rate())
            .accrued_in(now.since(self.accrued_at));
        self.accrued_at = self.accrued_at.max(now);
        self.pool = self.pool.plus(accrued);
        self.cap_pool();
    }

    fn cap_pool(&mut self) {
        let leased = self.shared_cap().plus(self.loans.outstanding());
        self.pool = self.pool.min(self.burst.minus(leased));
    }

    const fn shared_rate(&self) -> FixedRate {
        self.shares.rate()
    }

    const fn shared_cap(&self) -> Amount {
        self.shares.cap()
    }

    /// Updates a share from the share number that its holder reports.
    ///
    /// A holder ignores answers to all but its last renewal, so it has exactly this share
    /// until the answer to this renewal arrives.
    fn confirm_share(&mut self, owner: &Owner, demand: &share::Demand) {
        let lends = owner.lends;
        let lent_tokens = Amount::from_count(demand.lent);
        let (was_open, is_known) = self.shares.update(owner, |share| {
            let before = share.cap();
            let numbers = [share.held.number, share.offered.number];
            let was_open = share.rate() > FixedRate::ZERO || share.cap() > Amount::ZERO;
            let is_known = share.inherited || demand.share == 0 || numbers.contains(&demand.share);
            if demand.share == 0 || !is_known {
                share.held = ShareTerms::default();
            } else if share.inherited {
                share.held.number = demand.share;
            } else if demand.share == share.offered.number {
                share.held = share.offered;
            }
            if lends {
                // Tokens that it has lent may be spent until their loans end, also when its
                // share shrinks.
                share.held.cap = share.held.cap.max(lent_tokens.min(before));
            }
            share.inherited = false;
            share.offered = share.held;
            (was_open, is_known)
        });
        self.cap_pool();
        // The tokens of a share that the leader has closed already count as spent.
        if was_open && is_known {
            self.pool = self.pool.plus(Amount::from_count(demand.returned));
        }
        if !lends {
            let unlent = Amount::from_count(demand.unlent);
            let returned = self.loans.confirm_loans(owner, lent_tokens, unlent);
            self.pool = self.pool.plus(returned);
            self.cap_pool();
        }
    }

    fn record_demand(&mut self, owner: &Owner, demand: &share::Demand) {
        self.shares.update(owner, |share| {
            share.demand = demand.rate.0;
            share.typical_cost = demand.usual.0 as f64;
        });
    }

    /// Returns the rate and cap that the share gets from now on.
    fn target_terms(&mut self, now: duration::Instant, owner: &Owner) -> ShareTerms {
        let Some(share) = self.shares.get(owner) else {
            return ShareTerms::default();
        };
        let held = share.held;
        let max_rate = self.rate.minus(self.shared_rate().minus(share.rate()));
        let available_cap = self.burst.minus(self.shared_cap().minus(share.cap()));
        // Loans of the leader may be spent in addition to all shares.
        let loans = if now < self.accrued_at {
            self.burst
        } else {
            self.loans.outstanding()
        };
        let max_cap = available_cap.minus(loans).max(held.cap.min(available_cap));
        let desired = if owner.lends {
            let limits = (self.rate, self.burst);
            let held_terms = (held.rate, held.cap);
            let desired = self.shares.desired();
            self.delegation
                .target_terms(now, owner, limits, desired, held_terms)
        } else {
            let desired = self.desired_terms(share);
            self.shares.update(owner, |share| share.desired = desired);
            desired
        };
        ShareTerms {
            number: held.number,
            rate: desired.0.min(max_rate),
            cap: Amount::from_count(desired.1.min(max_cap).floor()),
        }
    }

    /// Returns the rate and cap that an entry's demand calls for.
    fn desired_terms(&self, share: &Share) -> (FixedRate, Amount) {
        let share_demand = self.shares.demand() * SHARE_DEMAND_FRACTION;
        let sharable = self.rate.0 / 10 * MAX_SHARED_TENTHS;
        let scale = (FixedRate(sharable).to_rate().0 / share_demand.max(1.0)).min(1.0);
        let target_cap = self.target_cap(share);
        let (previous, min_requests) = if !self.delegation.has_lender() {
            ((share.held.rate, share.held.cap), MIN_CAP_REQUESTS)
        } else if share.desired.1 > Amount::ZERO {
            (share.desired, MIN_CAP_REQUESTS)
        } else {
            (share.desired, MIN_CAP_REQUESTS * FIRST_SHARE_FACTOR)
        };
        if target_cap < share.typical_cost.max(1.0) * min_requests {
            return (FixedRate::ZERO, Amount::ZERO);
        }
        let desired_rate = share.demand * SHARE_DEMAND_FRACTION * scale;
        let rate = with_hysteresis(previous.0.to_rate().0, desired_rate, RATE_TOLERANCE);
        let cap = with_hysteresis(previous.1.as_f64(), target_cap, CAP_TOLERANCE);
        (
            FixedRate::from_rate(token::Rate(rate)),
            Amount::from_count(amount::ceil_count(cap)),
        )
    }

    /// Returns the tokens that a share may hold for its demand.
    ///
    /// The pool cannot hold what shares may hold. With a burst of about one second's rate,
    /// shares for two seconds of demand left no space for the pool, and all tokens that
    /// accrued there were lost: workspaces at half their rate were refused.
    fn target_cap(&self, share: &Share) -> f64 {
        let demand_fraction = share.demand / self.shares.demand().max(1.0);
        let fair_cap = self.burst.as_f64() * MAX_SHARED_BURST_FRACTION * demand_fraction;
        fair_cap.min(share.demand * CAP_DEMAND_DURATION.as_secs_f64())
    }

    /// Moves tokens from the pool into the space that the holder keeps free.
    fn move_tokens(
        &mut self,
        owner: &Owner,
        demand: &share::Demand,
        held: ShareTerms,
        offered: ShareTerms,
    ) -> token::Count {
        let growth = offered.cap.minus(held.cap);
        let free_space = Amount::from_count(demand.room).plus(growth);
        let shrinks = offered.cap < held.cap;
        let max_tokens = if shrinks { Amount::ZERO } else { free_space };
        // Waiting entries come first.
        let free = self.pool.minus(self.loans.tokens_ahead(owner));
        let tokens = free.min(max_tokens).floor();
        self.pool = self.pool.minus(Amount::from_count(tokens));
        self.cap_pool();
        tokens
    }
}

fn lease_end(now: duration::Instant) -> duration::Instant {
    now.after(LEASE_DURATION)
        .after(duration::Span(LEASE_DURATION.0 / LEASE_MARGIN_DIVISOR))
}

/// Returns the old value while the new one is within the tolerance, otherwise the new one.
fn with_hysteresis(old: f64, new: f64, tolerance: f64) -> f64 {
    if new < 1.0 {
        return 0.0;
    }
    if (new - old).abs() <= old * tolerance {
        return old;
    }
    new
}
