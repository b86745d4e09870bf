//! The side of an entry that lends: lends a workspace's tokens to the others.
//!
//! The leader hands the pool of a workspace to one entry as a large share, under the same
//! lease as any share. Other entries borrow there for [`LOAN_DURATION`] at most and never beyond the
//! end of that lease, so that all of it is gone when the leader hands it to somebody else. A
//! leader that is late or gone for less than the lease is not noticed by who borrows.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_wire::share;
use serde::Serialize;

use super::amount::{Amount, Flow};
use super::loan_issuer::{LOAN_DURATION, LoanIssuer, Supply};
use super::owner::Owner;
use super::renewals::Renewals;
use super::{LEASE_DURATION, RENEWAL_INTERVAL};
use crate::leader_calls;

/// Time between two renewals of what is lent. Several fit into a lease.
const RENEWAL: duration::Span = duration::Span(LEASE_DURATION.0 / 4);

/// Time after which a renewal without an answer is given up. Its lease is good for twice
/// that, and a renewal that is given up is one more for a leader that is late.
pub const ANSWER_TIMEOUT: duration::Span = duration::Span(LEASE_DURATION.0 / 2);

/// Time kept between the end of a loan and that of the lease it is lent from: clocks of two
/// instances differ by some hundred millionths.
const MARGIN: duration::Span = duration::Span::from_millis(20);

/// Shortest loan that is of use to anybody.
const SHORTEST: duration::Span = duration::Span::from_millis(50);

/// Time after which somebody asks again here while the leader has not handed the pool over.
const EXPECTED: duration::Span = duration::Span::from_millis(100);

/// Time after which nothing of an entry that was not heard is awaited any more.
const FORGOTTEN: duration::Span = duration::Span(LOAN_DURATION.0 * 4);

/// What one entry lends of each workspace that the leader chose it for.
#[derive(Debug)]
pub struct Lender {
    instance: id::Instance,
    boot: number::Boot,
    renewals: Renewals,
    closed: bool,
    gap: duration::Span,
    pools: BTreeMap<id::Workspace, Pool>,
    heard: BTreeMap<Owner, Heard>,
}

/// The last question of an entry, and what it was answered.
#[derive(Debug)]
struct Heard {
    at: duration::Instant,
    answer: share::Granted,
}

/// State of one pool for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Whose tokens.
    pub workspace: id::Workspace,
    /// Rate of what is lent.
    pub rate: token::Rate,
    /// Most tokens that may be there or lent.
    pub cap: token::Count,
    /// Tokens that are there.
    pub level: token::Count,
    /// Tokens that are lent and may not be spent yet.
    pub lent: token::Count,
    /// End of the lease on this process's clock.
    pub until: duration::Instant,
}

impl Lender {
    /// Nothing to lend yet.
    #[must_use]
    pub fn new(instance: id::Instance, boot: number::Boot) -> Self {
        Self {
            instance,
            boot,
            renewals: Renewals::default(),
            closed: false,
            gap: duration::Span(0),
            pools: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Takes over how many entries renew at the same leader.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.gap = leader_calls::min_interval(entries);
    }

    /// Takes over the workspaces whose tokens this entry is to lend.
    pub fn set_workspaces(&mut self, now: duration::Instant, chosen: &[id::Workspace]) {
        for (workspace, pool) in &mut self.pools {
            pool.chosen = chosen.contains(workspace);
        }
        for workspace in chosen {
            self.pools
                .entry(workspace.clone())
                .or_insert_with(|| Pool::new(now));
        }
    }

    /// Answers the question of an entry; `None` if it was overtaken by a later one.
    ///
    /// A question that comes twice gets the same answer, so that one whose answer was lost
    /// is not lent to twice. Workspaces that are not lent here are left out.
    pub fn answer(
        &mut self,
        now: duration::Instant,
        question: &share::Renew,
    ) -> Option<share::Granted> {
        let owner = Owner::of(question);
        if let Some(heard) = self.heard.get(&owner) {
            if question.sequence == heard.answer.sequence {
                return Some(heard.answer.clone());
            }
            if question.sequence < heard.answer.sequence {
                return None;
            }
        }
        let mut life = LOAN_DURATION;
        let mut grants = Vec::new();
        for demand in &question.demands {
            let Some(pool) = self.pools.get_mut(&demand.workspace) else {
                continue;
            };
            pool.advance(now);
            if pool.share == 0 {
                // The leader may have the tokens; whoever asks goes there.
                continue;
            }
            life = life.min(pool.life(now));
            grants.push(pool.lend(now, &owner, demand));
        }
        let answer = share::Granted {
            sequence: question.sequence,
            term: number::Term::default(),
            lease: life,
            grants,
        };
        self.heard
            .retain(|_, heard| now.since(heard.at) < FORGOTTEN);
        let heard = Heard {
            at: now,
            answer: answer.clone(),
        };
        self.heard.insert(owner, heard);
        Some(answer)
    }

    /// When the leader is to be asked next.
    #[must_use]
    pub fn next_renewal_at(&self) -> duration::Instant {
        if self.pools.is_empty() {
            return NEVER;
        }
        let Some(sent) = self.renewals.sent() else {
            return duration::Instant::default();
        };
        if self.renewals.is_awaited() {
            return sent.after(ANSWER_TIMEOUT);
        }
        if self.renewals.has_failed() {
            return sent.after(RENEWAL_INTERVAL.max(self.gap));
        }
        let urgent = self.pools.values().any(Pool::is_urgent);
        let span = if urgent {
            self.gap
        } else {
            RENEWAL.max(self.gap)
        };
        sent.after(span)
    }

    /// The renewal to send to the leader now.
    pub fn begin_renewal(&mut self, now: duration::Instant) -> share::Renew {
        let sequence = self.renewals.begin(now);
        self.pools.values_mut().for_each(|pool| pool.advance(now));
        self.pools.retain(|_, pool| !pool.is_done());
        let pools = self.pools.iter_mut();
        let demands = pools.map(|(workspace, pool)| pool.demand(workspace));
        share::Renew {
            instance: self.instance.clone(),
            boot: self.boot,
            sequence,
            lends: true,
            demands: demands.collect(),
        }
    }

    /// Applies the leader's answer; true when it was the awaited one.
    pub fn apply_grants(&mut self, now: duration::Instant, answer: &share::Granted) -> bool {
        let Some(sent) = self.renewals.answered(answer.sequence) else {
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

    /// Notes that a renewal got no answer.
    pub fn fail_renewal(&mut self, sequence: number::Sequence) {
        self.renewals.fail(sequence);
    }

    /// Lends nothing more, and hands all that is not lent back with the next renewal.
    pub fn close(&mut self, now: duration::Instant) {
        self.closed = true;
        for pool in self.pools.values_mut() {
            pool.advance(now);
            pool.close();
        }
    }

    /// Whether there is anything to hand back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// All pools, for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<Dump> {
        let dump = |(workspace, pool): (&id::Workspace, &Pool)| Dump {
            workspace: workspace.clone(),
            rate: pool.rate.to_rate(),
            cap: pool.cap.whole(),
            level: pool.level.whole(),
            lent: pool.lender.lent().whole(),
            until: pool.until,
        };
        self.pools.iter().map(dump).collect()
    }
}

/// What is lent of one workspace.
#[derive(Debug, Default)]
struct Pool {
    /// Whether the leader chose this entry.
    chosen: bool,
    share: u64,
    rate: Flow,
    cap: Amount,
    level: Amount,
    until: duration::Instant,
    accrued: duration::Instant,
    /// Tokens to hand back with the next renewal.
    surplus: Amount,
    /// The share changed and the leader does not know yet that it arrived.
    unconfirmed: bool,
    lender: LoanIssuer,
}

impl Pool {
    fn new(now: duration::Instant) -> Self {
        Self {
            chosen: true,
            accrued: now,
            ..Self::default()
        }
    }

    /// Brings the pool up to `now`: the lease may have run out, else tokens accrue.
    fn advance(&mut self, now: duration::Instant) {
        if self.share != 0 && now >= self.until {
            self.lapse();
        }
        self.lender.expire(now);
        let gained = self.rate.over(now.since(self.accrued));
        self.accrued = self.accrued.max(now);
        self.level = self.level.plus(gained);
        self.cut();
    }

    /// Loans that may still be spent are part of what the leader granted.
    fn cut(&mut self) {
        self.level = self.level.min(self.cap.minus(self.lender.lent()));
    }

    /// Time for which a loan may live.
    fn life(&self, now: duration::Instant) -> duration::Span {
        let left = self.until.since(now);
        LOAN_DURATION.min(duration::Span(left.0.saturating_sub(MARGIN.0)))
    }

    fn lend(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        demand: &share::Demand,
    ) -> share::Grant {
        let kept = Amount::from_count(demand.lent);
        let unlent = Amount::from_count(demand.unlent);
        let back = self.lender.confirm(owner, kept, unlent);
        self.level = self.level.plus(back);
        self.cut();
        let lends = self.life(now) >= SHORTEST;
        let supply = Supply {
            pool: if lends { self.level } else { Amount::ZERO },
            rate: self.rate,
            from: if lends { now } else { now.after(EXPECTED) },
            burst: self.cap,
            ahead: true,
        };
        let mut offer = self.lender.serve(now, owner, demand, &supply);
        if !lends {
            // The leader's next answer decides; nothing is known of the time after it.
            offer.wait = offer.wait.min(EXPECTED);
            offer.longest = offer.longest.min(EXPECTED);
        }
        self.level = self.level.minus(offer.lent);
        share::Grant {
            workspace: demand.workspace.clone(),
            share: 0,
            rate: token::Rate(0.0),
            cap: token::Count(0),
            tokens: token::Count(0),
            lent: offer.lent.whole(),
            wait: offer.wait,
            longest: offer.longest,
        }
    }

    /// What the next renewal says. No space is kept for tokens of the leader's pool: while it
    /// is awaited the pool goes on to fill.
    fn demand(&mut self, workspace: &id::Workspace) -> share::Demand {
        self.unconfirmed = false;
        let returned = std::mem::take(&mut self.surplus).whole();
        share::Demand {
            workspace: workspace.clone(),
            rate: token::Rate(0.0),
            wanted: token::Count(0),
            returned,
            room: token::Count(0),
            share: self.share,
            first: token::Count(0),
            usual: token::Count(0),
            lent: self.lender.lent().covering(),
            unlent: token::Count(0),
        }
    }

    fn apply(&mut self, grant: &share::Grant, until: duration::Instant) {
        self.unconfirmed = grant.share != self.share;
        self.share = grant.share;
        self.rate = Flow::from_rate(grant.rate);
        self.cap = Amount::from_count(grant.cap);
        self.until = until;
        self.level = self.level.plus(Amount::from_count(grant.tokens));
        let most = self.cap.minus(self.lender.lent());
        self.surplus = self.surplus.plus(self.level.minus(most));
        self.cut();
    }

    /// Whether the leader has to hear or give something soon.
    fn is_urgent(&self) -> bool {
        let holds = self.share != 0 && self.cap > Amount::ZERO;
        self.unconfirmed || self.chosen != holds
    }

    /// Whether nothing is held, owed or lent any more.
    fn is_done(&self) -> bool {
        let holds = self.cap > Amount::ZERO || self.lender.lent() > Amount::ZERO;
        !self.chosen && !holds && !self.unconfirmed && self.surplus.whole().0 == 0
    }

    fn close(&mut self) {
        self.chosen = false;
        self.surplus = self.surplus.plus(self.level);
        self.share = 0;
        self.rate = Flow::ZERO;
        self.cap = Amount::ZERO;
        self.level = Amount::ZERO;
        self.unconfirmed = true;
    }

    /// Forgets what the lease carried; all loans have ended before it.
    fn lapse(&mut self) {
        self.share = 0;
        self.rate = Flow::ZERO;
        self.cap = Amount::ZERO;
        self.level = Amount::ZERO;
        self.surplus = Amount::ZERO;
        self.unconfirmed = false;
    }
}

/// When nothing is ever due.
const NEVER: duration::Instant = duration::Instant(u64::MAX);
