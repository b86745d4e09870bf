//! Leader's side of the rate limits: leases shares of each workspace's rate and burst to entries.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_wire::share;
use serde::Serialize;

use super::bucket::Bucket;
use super::loan_issuer;
use super::owner::Owner;
use super::{LEASE_DURATION, Limit};

/// Pools and shares of all workspaces during one leader's term.
#[derive(Debug, Clone)]
pub struct Granter {
    term: number::Term,
    buckets: BTreeMap<id::Workspace, Bucket>,
    last_renewals: BTreeMap<Owner, LastRenewal>,
    next_share: u64,
}

#[derive(Debug, Clone, Copy)]
struct LastRenewal {
    sequence: number::Sequence,
    received_at: duration::Instant,
}

/// Whether an earlier leader may have granted from a workspace's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The workspace was added in this leader's term.
    ///
    /// No earlier leader can have granted from its bucket, which starts full.
    Added,
    /// An earlier leader may have granted; the pool counts as spent.
    Inherited,
}

/// Result of a renewal.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Allocations to commit, in this order, before the answer is sent.
    pub allocations: Vec<share::Allocation>,
    /// Answer to the entry.
    pub granted: share::Granted,
}

/// Reason why a renewal gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A later renewal of the same process was answered before.
    #[error("renewal {0} came after a later one")]
    Superseded(number::Sequence),
}

/// State of one bucket, for a dump.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// Workspace of the bucket.
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
    /// Creates the granter of a new leader from every allocation in the log.
    ///
    /// A logged share may have been renewed just before the election, so it counts as held
    /// until a full lease from now has run out.
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
            last_renewals: BTreeMap::new(),
            next_share: 1,
        };
        for (workspace, limit) in limits {
            granter.configure(now, workspace, *limit, Origin::Inherited);
        }
        for allocation in logged {
            granter.next_share = granter.next_share.max(allocation.share + 1);
            let Some(bucket) = granter.buckets.get_mut(&allocation.workspace) else {
                continue;
            };
            if !loan_issuer::is_guarantee(allocation) {
                bucket.inherit_share(now, allocation);
            }
        }
        // Guarantees are restored after all shares are known, so that none counts beyond the
        // burst.
        for allocation in logged
            .iter()
            .filter(|logged| loan_issuer::is_guarantee(logged))
        {
            if let Some(bucket) = granter.buckets.get_mut(&allocation.workspace) {
                bucket.restore_guarantee(allocation);
            }
        }
        granter
    }

    /// Sets the rate and burst of a workspace.
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
            Origin::Inherited => bucket.start_after_predecessor(now),
        }
        self.buckets.insert(workspace.clone(), bucket);
    }

    /// Sets the entry that lends a workspace's tokens in place of this leader.
    ///
    /// The lender is leased all of the rate and burst that no other share needs, on the same
    /// terms as other shares.
    pub fn set_lender(&mut self, workspace: &id::Workspace, lender: Option<&id::Instance>) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.set_lender(lender);
        }
    }

    /// Records that a process of an entry has ended because its instance runs another one now.
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
                bucket.record_process_end(now, &owner);
            }
        }
    }

    /// Returns whether an entry currently has a lease to lend a workspace's tokens.
    #[must_use]
    pub fn is_lender(&self, workspace: &id::Workspace, instance: &id::Instance) -> bool {
        let bucket = self.buckets.get(workspace);
        let mut owners = bucket.into_iter().flat_map(Bucket::owners);
        owners.any(|owner| owner.lends && owner.instance == *instance)
    }

    /// Returns whether entries with most of a workspace's demand cannot reach its lender.
    #[must_use]
    pub fn is_lender_unreachable(&self, workspace: &id::Workspace) -> bool {
        let bucket = self.buckets.get(workspace);
        bucket.is_some_and(Bucket::is_lender_unreachable)
    }

    /// Returns the processes that have a share.
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
    /// [`Error::Superseded`] if a later renewal of the same process was answered before.
    pub fn renew(
        &mut self,
        now: duration::Instant,
        renewal: &share::Renew,
    ) -> Result<Answer, Error> {
        let owner = Owner::from_renewal(renewal);
        self.check_sequence(now, &owner, renewal.sequence)?;
        let mut allocations = Vec::new();
        let mut grants = Vec::new();
        for demand in &renewal.demands {
            let Some(bucket) = self.buckets.get_mut(&demand.workspace) else {
                continue;
            };
            bucket.expire(now);
            self.next_share = self.next_share.max(demand.share + 1);
            grants.push(bucket.renew(now, &owner, demand, &mut self.next_share));
            allocations.extend(bucket.take_unlogged(&demand.workspace));
        }
        let granted = share::Granted {
            sequence: renewal.sequence,
            term: self.term,
            lease: LEASE_DURATION,
            grants,
        };
        Ok(Answer {
            allocations,
            granted,
        })
    }

    /// Closes shares whose lease has certainly run out; returns the allocations to commit.
    pub fn expire(&mut self, now: duration::Instant) -> Vec<share::Allocation> {
        let is_outdated =
            |last: &LastRenewal| now.since(last.received_at) > duration::Span(LEASE_DURATION.0 * 2);
        self.last_renewals.retain(|_, last| !is_outdated(last));
        let mut allocations = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            bucket.expire(now);
            allocations.extend(bucket.take_unlogged(workspace));
        }
        allocations
    }

    /// Returns the state of all buckets, for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<Dump> {
        let dump = |(workspace, bucket): (&id::Workspace, &Bucket)| {
            let (rate, cap, pool) = bucket.totals();
            Dump {
                workspace: workspace.clone(),
                rate: rate.to_rate(),
                cap: cap.floor(),
                pool: pool.floor(),
                shares: bucket.share_count(),
            }
        };
        self.buckets.iter().map(dump).collect()
    }

    /// Rejects a renewal that arrives after a later one of the same process.
    ///
    /// A delayed renewal reports a share that its sender no longer has in that form; taken as
    /// evidence, it would free rate that is in use.
    fn check_sequence(
        &mut self,
        now: duration::Instant,
        owner: &Owner,
        sequence: number::Sequence,
    ) -> Result<(), Error> {
        if let Some(last) = self.last_renewals.get(owner)
            && sequence <= last.sequence
        {
            return Err(Error::Superseded(sequence));
        }
        let last = LastRenewal {
            sequence,
            received_at: now,
        };
        self.last_renewals.insert(owner.clone(), last);
        Ok(())
    }
}
