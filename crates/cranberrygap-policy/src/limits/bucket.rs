//! One workspace's bucket at the leader: the pool and the shares taken out of it.

mod delegation;
mod holdings;

use cranberrygap_model::{duration, id, token};
use cranberrygap_wire::share;

use super::amount::{self, Amount, Flow};
use super::floor::Floor;
use super::loan_issuer::{self, LoanIssuer, Supply};
use super::owner::Owner;
use super::{LEASE_DURATION, Limit};
use delegation::Delegation;
use holdings::Holdings;

/// Part of the rate that no share ever gets: clocks of two instances differ by
/// up to some hundred millionths, and a holder whose clock is fast would accrue
/// more than its rate. One in this many is kept back against that.
const DRIFT: u64 = 2_000;

/// Part of the lease that the leader waits longer than the holder, for the same reason.
const LEASE_MARGIN: u64 = 64;

/// Part of the rate, in tenths, that shares get at most. The rest accrues in
/// the pool, from where an entry with new demand gets tokens at once.
const SHARED_TENTHS: u64 = 9;

/// Part of its entry's demand that a share gets as a rate of its own. What
/// accrues in a full share is lost; what accrues in the pool goes to whoever is
/// short. The own part carries the entry through a time without a leader.
const OWN_PART: f64 = 0.5;

/// Time of its demand that a share may hold. Space in it is what refunds need:
/// in shorter ones more of them were lost, in longer ones more tokens were out
/// of the other entries' reach (`measure limits`).
const STOCK: duration::Span = duration::Span::from_millis(2_000);

/// How many times as much an entry must be able to hold before it gets a share of its own
/// where another entry lends. Requests of several sizes would have it come and go.
const FIRST_SHARE: f64 = 2.0;

/// Part of the burst that shares hold for their demand, all together. The rest stays
/// in the pool for whoever is short.
const STOCKED: f64 = 0.4;

/// Usual requests that a share must be able to hold; one that holds less is none.
///
/// What accrues in a share too small for a request is lost to everybody: of a rate of
/// 4,200 tokens a second, spread over 9 entries, a fifth of requests at 0.55 of the rate
/// were refused (`limits_unequal`). Such a workspace's tokens stay in the pool and are lent.
const LEAST_STOCK: f64 = 2.0;

/// A share is left as it is while its target is within this part of it, because
/// each change is an entry in the replicated log.
const TOLERANCE: f64 = 0.25;

/// The same for the cap. A share that shrinks cuts the refunds of what runs, so
/// caps change only when demand has really moved.
const CAP_TOLERANCE: f64 = 0.5;

/// Rate and cap under a share number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Part {
    pub(super) number: u64,
    pub(super) rate: Flow,
    pub(super) cap: Amount,
}

#[derive(Debug, Clone, Default)]
struct Share {
    /// What the holder said that it has.
    held: Part,
    /// What it has as well if the last answer arrived.
    offered: Part,
    /// What the log says that it may have.
    logged: (Flow, Amount),
    /// Taken over from the log; the holder has not reported yet.
    inherited: bool,
    until: duration::Instant,
    demand: f64,
    /// Cost of a usual request of late.
    usual: f64,
    /// Rate and cap that its entry's demand asks for.
    wanted: (Flow, Amount),
}

impl Share {
    fn rate(&self) -> Flow {
        self.held.rate.max(self.offered.rate)
    }

    fn cap(&self) -> Amount {
        self.held.cap.max(self.offered.cap)
    }
}

#[derive(Debug, Clone)]
pub(super) struct Bucket {
    rate: Flow,
    burst: Amount,
    pool: Amount,
    accrued: duration::Instant,
    shares: Holdings,
    lender: LoanIssuer,
    floor: Floor,
    delegation: Delegation,
}

impl Bucket {
    pub(super) fn new(now: duration::Instant, limit: Limit) -> Self {
        let mut bucket = Self {
            rate: Flow::ZERO,
            burst: Amount::ZERO,
            pool: Amount::ZERO,
            accrued: now,
            shares: Holdings::default(),
            lender: LoanIssuer::default(),
            floor: Floor::default(),
            delegation: Delegation::default(),
        };
        bucket.configure(now, limit);
        bucket
    }

    /// Takes a new rate and burst. Shares above them shrink at their next
    /// renewals, so a smaller limit holds after one lease at the latest.
    pub(super) fn configure(&mut self, now: duration::Instant, limit: Limit) {
        self.accrue(now);
        let rate = Flow::from_rate(limit.rate);
        self.rate = rate.minus(Flow(rate.0.div_ceil(DRIFT)));
        self.burst = Amount::from_count(limit.burst);
        self.cut();
    }

    /// Takes over who lends in place of the leader.
    pub(super) fn set_delegate(&mut self, delegate: Option<&id::Instance>) {
        self.delegation.follow(delegate);
    }

    /// A process has ended, so that it renews no more; what it lent ends with its loans.
    pub(super) fn ended(&mut self, now: duration::Instant, owner: &Owner) {
        let end = loan_issuer::cleared(now);
        if self.shares.get(owner).is_some() {
            self.shares
                .update(owner, |share| share.until = share.until.min(end));
        }
    }

    /// Fills the pool. Only right for a workspace that never had a share.
    pub(super) fn fill(&mut self) {
        self.pool = self.burst;
        self.cut();
    }

    /// Takes over what an earlier leader promised to keep in the pool.
    pub(super) fn keep(&mut self, logged: &share::Allocation) {
        let kept = Amount::from_count(logged.cap);
        let made_for = (logged.rate, logged.share);
        self.floor.logged = kept;
        if made_for != (self.rate.to_rate(), self.burst.whole().0) {
            return;
        }
        self.floor.kept = kept;
        self.pool = self.pool.plus(kept);
        self.cut();
    }

    /// Starts empty, and accrues once all that an earlier leader lent has ended.
    ///
    /// Loans are not in the log. One that is spent after the election would come on top
    /// of what the new pool has gathered, and a caller would get more than the burst.
    pub(super) fn succeed(&mut self, now: duration::Instant) {
        self.accrued = loan_issuer::cleared(now);
    }

    /// Takes over a share from the log as if it had been renewed just now.
    pub(super) fn inherit(&mut self, now: duration::Instant, logged: &share::Allocation) {
        let part = Part {
            number: logged.share,
            rate: Flow::from_rate(logged.rate),
            cap: Amount::from_count(logged.cap),
        };
        let share = Share {
            held: part,
            offered: part,
            logged: (part.rate, part.cap),
            inherited: true,
            until: expiry(now),
            ..Share::default()
        };
        let owner = Owner::logged(logged);
        self.shares.update(&owner, |known| *known = share);
        self.cut();
    }

    /// Answers one demand; `next` numbers a share that changes.
    pub(super) fn renew(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        demand: &share::Demand,
        next: &mut u64,
    ) -> share::Grant {
        self.accrue(now);
        self.confirm(owner, demand);
        self.note(owner, demand);
        let target = self.target(now, owner);
        let (held, offered) = self.shares.update(owner, |share| {
            let held = share.held;
            if (target.rate, target.cap) == (held.rate, held.cap) {
                share.offered = held;
            } else {
                share.offered = Part {
                    number: *next,
                    ..target
                };
                *next += 1;
            }
            share.until = expiry(now);
            (held, share.offered)
        });
        let (wait, longest, lent) = self.serve(now, owner, demand);
        let tokens = self.move_tokens(owner, demand, held, offered);
        self.floor.settle(now, self.pool);
        share::Grant {
            workspace: demand.workspace.clone(),
            share: offered.number,
            rate: offered.rate.to_rate(),
            cap: offered.cap.whole(),
            tokens,
            lent,
            wait,
            longest,
        }
    }

    /// Lends what an entry waits for, if it is its turn, or says when it may be.
    fn serve(
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
            from: self.accrued,
            burst: self.burst,
            // Where another entry lends, only who does not reach it borrows here.
            ahead: !self.delegation.is_made(),
        };
        let offer = self.lender.serve(now, owner, demand, &supply);
        self.pool = self.pool.minus(offer.lent);
        self.cut();
        if self.delegation.is_made() && demand.first.0 > 0 {
            let waiting = Amount::from_count(demand.wanted);
            let asked = self.direct_demand();
            self.delegation
                .keep(now, asked, waiting, (self.rate, self.burst));
            if supply.rate == Flow::ZERO {
                // The tokens are with the entry that lends; what it hands back comes any time.
                return (duration::Span(0), duration::Span(0), offer.lent.whole());
            }
        }
        (offer.wait, offer.longest, offer.lent.whole())
    }

    /// Demand of the entries that wait for the leader's tokens.
    fn direct_demand(&self) -> f64 {
        let askers = self.lender.askers();
        let known = askers.filter_map(|owner| self.shares.get(owner));
        known.map(|share| share.demand).sum()
    }

    /// Whether entries with most of the demand do not reach the one that lends.
    pub(super) fn is_delegate_avoided(&self) -> bool {
        let all = self.shares.demand();
        self.delegation.is_avoided(self.direct_demand(), all)
    }

    /// Drops shares whose lease has run out for certain; their tokens are spent.
    pub(super) fn expire(&mut self, now: duration::Instant) {
        self.lender.expire(now);
        self.accrue(now);
        for owner in self.shares.expired(now) {
            self.shares.update(&owner, |share| {
                share.held = Part::default();
                share.offered = Part::default();
                share.inherited = false;
                share.demand = 0.0;
                share.wanted = Default::default();
            });
        }
    }

    /// Allocations that differ from the log; they count as logged from now on.
    ///
    /// Shrunk shares come first, so that no prefix of the log adds up to more
    /// than the limit.
    pub(super) fn unlogged(&mut self, workspace: &id::Workspace) -> Vec<share::Allocation> {
        let mut smaller = Vec::new();
        let mut larger = Vec::new();
        if self.floor.kept != self.floor.logged {
            let grows = self.floor.kept > self.floor.logged;
            let list = if grows { &mut larger } else { &mut smaller };
            list.push(loan_issuer::promise(
                workspace,
                self.floor.kept,
                self.rate,
                self.burst,
            ));
            self.floor.logged = self.floor.kept;
        }
        for owner in self.shares.take_changed() {
            let Some(share) = self.shares.get(&owner) else {
                continue;
            };
            let most = (share.rate(), share.cap());
            if most != share.logged {
                let grows = most.0 > share.logged.0 || most.1 > share.logged.1;
                let list = if grows { &mut larger } else { &mut smaller };
                list.push(share::Allocation {
                    workspace: workspace.clone(),
                    instance: owner.instance.clone(),
                    boot: owner.boot,
                    lends: owner.lends,
                    share: share.held.number.max(share.offered.number),
                    rate: most.0.to_rate(),
                    cap: most.1.covering(),
                });
            }
            self.shares.log(&owner, most);
        }
        smaller.append(&mut larger);
        smaller
    }

    /// Sum of the rates and caps that holders may have, and the pool.
    pub(super) fn totals(&self) -> (Flow, Amount, Amount) {
        (self.shared_rate(), self.shared_cap(), self.pool)
    }

    /// Who may have a share for now.
    pub(super) fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.shares.owners()
    }

    pub(super) fn shares(&self) -> usize {
        self.shares.len()
    }

    fn accrue(&mut self, now: duration::Instant) {
        let gained = self
            .rate
            .minus(self.shared_rate())
            .over(now.since(self.accrued));
        self.accrued = self.accrued.max(now);
        self.pool = self.pool.plus(gained);
        self.cut();
    }

    fn cut(&mut self) {
        let out = self.shared_cap().plus(self.lender.lent());
        self.pool = self.pool.min(self.burst.minus(out));
    }

    const fn shared_rate(&self) -> Flow {
        self.shares.rate()
    }

    const fn shared_cap(&self) -> Amount {
        self.shares.cap()
    }

    /// Takes the reported share number as evidence of what the holder has.
    ///
    /// A holder ignores answers to all but its last renewal, so it has just this
    /// share until the answer to this renewal arrives.
    fn confirm(&mut self, owner: &Owner, demand: &share::Demand) {
        let lends = owner.lends;
        let out = Amount::from_count(demand.lent);
        let (lives, known) = self.shares.update(owner, |share| {
            let before = share.cap();
            let numbers = [share.held.number, share.offered.number];
            let lives = share.rate() > Flow::ZERO || share.cap() > Amount::ZERO;
            let known = share.inherited || demand.share == 0 || numbers.contains(&demand.share);
            if demand.share == 0 || !known {
                share.held = Part::default();
            } else if share.inherited {
                share.held.number = demand.share;
            } else if demand.share == share.offered.number {
                share.held = share.offered;
            }
            if lends {
                // What it has lent may be spent until it ends, also when its share is smaller.
                share.held.cap = share.held.cap.max(out.min(before));
            }
            share.inherited = false;
            share.offered = share.held;
            (lives, known)
        });
        self.cut();
        // Tokens of a share that was given up here count as spent already.
        if lives && known {
            self.pool = self.pool.plus(Amount::from_count(demand.returned));
        }
        if !lends {
            let unlent = Amount::from_count(demand.unlent);
            let back = self.lender.confirm(owner, out, unlent);
            self.pool = self.pool.plus(back);
            self.cut();
        }
    }

    fn note(&mut self, owner: &Owner, demand: &share::Demand) {
        self.shares.update(owner, |share| {
            share.demand = demand.rate.0;
            share.usual = demand.usual.0 as f64;
        });
    }

    /// Rate and cap that the share is to have from now on.
    fn target(&mut self, now: duration::Instant, owner: &Owner) -> Part {
        let Some(share) = self.shares.get(owner) else {
            return Part::default();
        };
        let held = share.held;
        let rate = self.rate.minus(self.shared_rate().minus(share.rate()));
        let cap = self.burst.minus(self.shared_cap().minus(share.cap()));
        // Loans of the leader may be spent beside all shares.
        let loans = if now < self.accrued {
            self.burst
        } else {
            self.lender.lent()
        };
        let grown = cap.minus(loans).max(held.cap.min(cap));
        let wanted = if owner.lends {
            let all = (self.rate, self.burst);
            let left = (held.rate, held.cap);
            let wanted = self.shares.wanted();
            self.delegation.part(now, owner, all, wanted, left)
        } else {
            let wanted = self.wanted(share);
            self.shares.update(owner, |share| share.wanted = wanted);
            wanted
        };
        Part {
            number: held.number,
            rate: wanted.0.min(rate),
            cap: Amount::from_count(wanted.1.min(grown).whole()),
        }
    }

    /// Rate and cap that an entry's demand asks for.
    fn wanted(&self, share: &Share) -> (Flow, Amount) {
        let asked = self.shares.demand() * OWN_PART;
        let sharable = self.rate.0 / 10 * SHARED_TENTHS;
        let shrink = (Flow(sharable).to_rate().0 / asked.max(1.0)).min(1.0);
        let stock = self.stock(share);
        let (before, least) = if !self.delegation.is_made() {
            ((share.held.rate, share.held.cap), LEAST_STOCK)
        } else if share.wanted.1 > Amount::ZERO {
            (share.wanted, LEAST_STOCK)
        } else {
            (share.wanted, LEAST_STOCK * FIRST_SHARE)
        };
        if stock < share.usual.max(1.0) * least {
            return (Flow::ZERO, Amount::ZERO);
        }
        let wanted = share.demand * OWN_PART * shrink;
        let rate = settle(before.0.to_rate().0, wanted, TOLERANCE);
        let cap = settle(before.1.as_f64(), stock, CAP_TOLERANCE);
        (
            Flow::from_rate(token::Rate(rate)),
            Amount::from_count(amount::covering(cap)),
        )
    }

    /// Tokens that a share may hold for its demand.
    ///
    /// What shares may hold is not there for the pool. With a burst of about a
    /// second's rate, shares for two seconds of demand left no room for the pool, and
    /// all that accrued there was lost: workspaces at half their rate were refused.
    fn stock(&self, share: &Share) -> f64 {
        let part = share.demand / self.shares.demand().max(1.0);
        let fair = self.burst.as_f64() * STOCKED * part;
        fair.min(share.demand * STOCK.as_secs_f64())
    }

    /// Moves tokens from the pool into space that the holder keeps free.
    fn move_tokens(
        &mut self,
        owner: &Owner,
        demand: &share::Demand,
        held: Part,
        offered: Part,
    ) -> token::Count {
        let growth = offered.cap.minus(held.cap);
        let space = Amount::from_count(demand.room).plus(growth);
        let shrinks = offered.cap < held.cap;
        let most = if shrinks { Amount::ZERO } else { space };
        // Those in line come first.
        let free = self.pool.minus(self.lender.ahead(owner));
        let tokens = free.min(most).whole();
        self.pool = self.pool.minus(Amount::from_count(tokens));
        self.cut();
        tokens
    }
}

fn expiry(now: duration::Instant) -> duration::Instant {
    now.after(LEASE_DURATION)
        .after(duration::Span(LEASE_DURATION.0 / LEASE_MARGIN))
}

/// The old value while the new one is close to it, else the new one.
fn settle(old: f64, new: f64, tolerance: f64) -> f64 {
    if new < 1.0 {
        return 0.0;
    }
    if (new - old).abs() <= old * tolerance {
        return old;
    }
    new
}
