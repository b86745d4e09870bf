//! The leader's side: gives parts of each workspace's rate and burst to entries.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_wire::share;
use serde::Serialize;

use super::bucket::Bucket;
use super::loan_issuer;
use super::owner::Owner;
use super::{LEASE_DURATION, Limit};

/// Pools and shares of all workspaces during one leader's period of office.
#[derive(Debug, Clone)]
pub struct Granter {
    term: number::Term,
    buckets: BTreeMap<id::Workspace, Bucket>,
    sequences: BTreeMap<Owner, Seen>,
    next: u64,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    sequence: number::Sequence,
    at: duration::Instant,
}

/// What came before a workspace's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The workspace was added in this leader's period of office: no earlier
    /// leader can have granted from its bucket, which starts full.
    Added,
    /// An earlier leader may have granted; its pool counts as spent.
    Inherited,
}

/// What a renewal leads to.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Allocations to commit, in this order, before the answer may be sent.
    pub allocations: Vec<share::Allocation>,
    /// The answer for the entry.
    pub granted: share::Granted,
}

/// Why a renewal gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A later renewal of the same process was answered before.
    #[error("renewal {0} came after a later one")]
    Late(number::Sequence),
}

/// State of one bucket for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Whose bucket.
    pub workspace: id::Workspace,
    /// Sum of the rates that holders may have.
    pub rate: token::Rate,
    /// Sum of the caps that holders may have.
    pub cap: token::Count,
    /// Tokens in the pool.
    pub pool: token::Count,
    /// Number of shares.
    pub shares: usize,
}

impl Granter {
    /// The granter of a new leader, with every allocation that is in the log.
    ///
    /// A logged share may have been renewed just before the election and counts
    /// as held until its lease has run out from now.
    #[must_use]
    pub fn new(
        now: duration::Instant,
        term: number::Term,
        limits: &BTreeMap<id::Workspace, Limit>,
        logged: &[share::Allocation],
    ) -> Self {
        let mut granter = Self {
            term,
            buckets: BTreeMap::new(),
            sequences: BTreeMap::new(),
            next: 1,
        };
        for (workspace, limit) in limits {
            granter.configure(now, workspace, *limit, Origin::Inherited);
        }
        for allocation in logged {
            granter.next = granter.next.max(allocation.share + 1);
            let Some(bucket) = granter.buckets.get_mut(&allocation.workspace) else {
                continue;
            };
            if !loan_issuer::is_promise(allocation) {
                bucket.inherit(now, allocation);
            }
        }
        // What shares hold is known now, so that no promise counts beyond the burst.
        for allocation in logged
            .iter()
            .filter(|logged| loan_issuer::is_promise(logged))
        {
            if let Some(bucket) = granter.buckets.get_mut(&allocation.workspace) {
                bucket.keep(allocation);
            }
        }
        granter
    }

    /// Sets rate and burst of a workspace.
    pub fn configure(
        &mut self,
        now: duration::Instant,
        workspace: &id::Workspace,
        limit: Limit,
        origin: Origin,
    ) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.configure(now, limit);
            return;
        }
        let mut bucket = Bucket::new(now, limit);
        match origin {
            Origin::Added => bucket.fill(),
            Origin::Inherited => bucket.succeed(now),
        }
        self.buckets.insert(workspace.clone(), bucket);
    }

    /// Takes over which entry lends a workspace's tokens in place of this leader.
    ///
    /// It gets all of rate and burst that no share is to have, under a lease like theirs.
    pub fn set_lender(&mut self, workspace: &id::Workspace, delegate: Option<&id::Instance>) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.set_delegate(delegate);
        }
    }

    /// A process of an entry has ended: its instance runs another one now.
    pub fn record_process_end(
        &mut self,
        now: duration::Instant,
        instance: &id::Instance,
        boot: number::Boot,
    ) {
        for lends in [false, true] {
            let owner = Owner {
                instance: instance.clone(),
                boot,
                lends,
            };
            for bucket in self.buckets.values_mut() {
                bucket.ended(now, &owner);
            }
        }
    }

    /// Whether an entry may lend a workspace's tokens for now.
    #[must_use]
    pub fn is_lender(&self, workspace: &id::Workspace, instance: &id::Instance) -> bool {
        let bucket = self.buckets.get(workspace);
        let mut owners = bucket.into_iter().flat_map(Bucket::owners);
        owners.any(|owner| owner.lends && owner.instance == *instance)
    }

    /// Whether most callers of a workspace are at entries that do not reach the one that lends.
    #[must_use]
    pub fn is_lender_unreachable(&self, workspace: &id::Workspace) -> bool {
        let bucket = self.buckets.get(workspace);
        bucket.is_some_and(Bucket::is_delegate_avoided)
    }

    /// Processes that have a share.
    #[must_use]
    pub fn holders(&self) -> BTreeSet<(id::Instance, number::Boot)> {
        let owners = self.buckets.values().flat_map(Bucket::owners);
        owners
            .map(|owner| (owner.instance.clone(), owner.boot))
            .collect()
    }

    /// Answers a renewal.
    ///
    /// # Errors
    ///
    /// [`Error::Late`] for a renewal that was overtaken by a later one.
    pub fn renew(&mut self, now: duration::Instant, renew: &share::Renew) -> Result<Answer, Error> {
        let owner = Owner::of(renew);
        self.check(now, &owner, renew.sequence)?;
        let mut records = Vec::new();
        let mut grants = Vec::new();
        for demand in &renew.demands {
            let Some(bucket) = self.buckets.get_mut(&demand.workspace) else {
                continue;
            };
            bucket.expire(now);
            self.next = self.next.max(demand.share + 1);
            grants.push(bucket.renew(now, &owner, demand, &mut self.next));
            records.extend(bucket.unlogged(&demand.workspace));
        }
        let granted = share::Granted {
            sequence: renew.sequence,
            term: self.term,
            lease: LEASE_DURATION,
            grants,
        };
        Ok(Answer {
            allocations: records,
            granted,
        })
    }

    /// Closes shares whose lease has run out for certain; gives what to commit.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<share::Allocation> {
        let long_gone = |seen: &Seen| now.since(seen.at) > duration::Span(LEASE_DURATION.0 * 2);
        self.sequences.retain(|_, seen| !long_gone(seen));
        let mut records = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            bucket.expire(now);
            records.extend(bucket.unlogged(workspace));
        }
        records
    }

    /// All buckets, for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<Dump> {
        let dump = |(workspace, bucket): (&id::Workspace, &Bucket)| {
            let (rate, cap, pool) = bucket.totals();
            Dump {
                workspace: workspace.clone(),
                rate: rate.to_rate(),
                cap: cap.whole(),
                pool: pool.whole(),
                shares: bucket.shares(),
            }
        };
        self.buckets.iter().map(dump).collect()
    }

    /// A delayed renewal tells of a share that its sender no longer has in that
    /// form; taken as evidence it would free rate that is in use.
    fn check(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        sequence: number::Sequence,
    ) -> Result<(), Error> {
        if let Some(seen) = self.sequences.get(owner)
            && sequence <= seen.sequence
        {
            return Err(Error::Late(sequence));
        }
        let seen = Seen { sequence, at: now };
        self.sequences.insert(owner.clone(), seen);
        Ok(())
    }
}
