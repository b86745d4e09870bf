//! Shares of one bucket, with their sums.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::duration;

use super::super::amount::{Amount, FixedRate};
use super::super::owner::Owner;
use super::Share;

/// Shares by owner.
///
/// Sums are updated with each change of a share, so that a renewal costs the same for any
/// number of entries.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareTable {
    shares: BTreeMap<Owner, Share>,
    rate: FixedRate,
    cap: Amount,
    demand: f64,
    /// Rate and cap that the demand of all entries calls for.
    desired: (FixedRate, Amount),
    /// Owners of shares that changed since the last allocations for the log.
    changed: BTreeSet<Owner>,
    /// Time before which no lease runs out.
    next_lease_end: Option<duration::Instant>,
}

impl ShareTable {
    pub(super) fn get(&self, owner: &Owner) -> Option<&Share> {
        self.shares.get(owner)
    }

    /// Returns the owners of shares that are not closed.
    pub(super) fn owners(&self) -> impl Iterator<Item = &Owner> {
        let open = self.shares.iter();
        let open =
            open.filter(|(_, share)| share.rate() > FixedRate::ZERO || share.cap() > Amount::ZERO);
        open.map(|(owner, _)| owner)
    }

    pub(super) fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns the sum of the rates that holders may have.
    pub(super) const fn rate(&self) -> FixedRate {
        self.rate
    }

    /// Returns the sum of the caps that holders may have.
    pub(super) const fn cap(&self) -> Amount {
        self.cap
    }

    /// Returns the tokens per second that callers request at all entries.
    pub(super) const fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns the rate and cap that the demand of all entries calls for.
    pub(super) const fn desired(&self) -> (FixedRate, Amount) {
        self.desired
    }

    /// Changes the share of `owner`, or a new empty one.
    pub(super) fn update<R>(&mut self, owner: &Owner, change: impl FnOnce(&mut Share) -> R) -> R {
        let share = self.shares.entry(owner.clone()).or_default();
        let before = (share.rate(), share.cap(), share.demand);
        let old_desired = share.desired;
        let result = change(share);
        let (rate, cap, demand) = before;
        self.desired = (
            self.desired.0.minus(old_desired.0).plus(share.desired.0),
            self.desired.1.minus(old_desired.1).plus(share.desired.1),
        );
        self.rate = self.rate.minus(rate).plus(share.rate());
        self.cap = self.cap.minus(cap).plus(share.cap());
        self.demand += share.demand - demand;
        let lease_end = share.lease_end;
        self.next_lease_end = Some(
            self.next_lease_end
                .map_or(lease_end, |end| end.min(lease_end)),
        );
        self.changed.insert(owner.clone());
        result
    }

    /// Returns the owners whose lease has run out at `now`.
    pub(super) fn expired_owners(&mut self, now: duration::Instant) -> Vec<Owner> {
        if self.next_lease_end.is_none_or(|end| now < end) {
            return Vec::new();
        }
        let (expired, running): (Vec<_>, Vec<_>) = self
            .shares
            .iter()
            .partition(|(_, share)| now >= share.lease_end);
        self.next_lease_end = running.into_iter().map(|(_, share)| share.lease_end).min();
        expired
            .into_iter()
            .map(|(owner, _)| owner.clone())
            .collect()
    }

    /// Removes and returns the owners of changed shares, in order.
    pub(super) fn take_changed(&mut self) -> BTreeSet<Owner> {
        std::mem::take(&mut self.changed)
    }

    /// Records what the log says of a share; drops a share that is closed and has no demand.
    pub(super) fn record_logged(&mut self, owner: &Owner, logged: (FixedRate, Amount)) {
        let Some(share) = self.shares.get_mut(owner) else {
            return;
        };
        share.logged = logged;
        if logged == (FixedRate::ZERO, Amount::ZERO) && share.demand < 1.0 {
            self.demand -= share.demand;
            self.shares.remove(owner);
        }
    }
}
