//! The shares of one bucket, with their sums.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::duration;

use super::super::amount::{Amount, FixedRate};
use super::super::owner::Owner;
use super::Share;

/// Shares by holder. Sums are kept while shares change, so that a renewal costs the same
/// however many entries there are.
#[derive(Debug, Clone, Default)]
pub(super) struct ShareTable {
    shares: BTreeMap<Owner, Share>,
    rate: FixedRate,
    cap: Amount,
    demand: f64,
    /// What the demand of all entries asks for.
    desired: (FixedRate, Amount),
    /// Shares that changed since the log was last told.
    changed: BTreeSet<Owner>,
    /// No lease runs out before this.
    next_lease_end: Option<duration::Instant>,
}

impl ShareTable {
    pub(super) fn get(&self, owner: &Owner) -> Option<&Share> {
        self.shares.get(owner)
    }

    pub(super) fn owners(&self) -> impl Iterator<Item = &Owner> {
        let live = self.shares.iter();
        let live =
            live.filter(|(_, share)| share.rate() > FixedRate::ZERO || share.cap() > Amount::ZERO);
        live.map(|(owner, _)| owner)
    }

    pub(super) fn len(&self) -> usize {
        self.shares.len()
    }

    /// Sum of the rates that holders may have.
    pub(super) const fn rate(&self) -> FixedRate {
        self.rate
    }

    /// Sum of the caps that holders may have.
    pub(super) const fn cap(&self) -> Amount {
        self.cap
    }

    /// Tokens a second that callers ask for at all entries.
    pub(super) const fn demand(&self) -> f64 {
        self.demand
    }

    /// Rate and cap that the demand of all entries asks for.
    pub(super) const fn desired(&self) -> (FixedRate, Amount) {
        self.desired
    }

    /// Changes the share of `owner`, an empty one if it has none.
    pub(super) fn update<R>(&mut self, owner: &Owner, change: impl FnOnce(&mut Share) -> R) -> R {
        let share = self.shares.entry(owner.clone()).or_default();
        let before = (share.rate(), share.cap(), share.demand);
        let wanted = share.desired;
        let result = change(share);
        let (rate, cap, demand) = before;
        self.desired = (
            self.desired.0.minus(wanted.0).plus(share.desired.0),
            self.desired.1.minus(wanted.1).plus(share.desired.1),
        );
        self.rate = self.rate.minus(rate).plus(share.rate());
        self.cap = self.cap.minus(cap).plus(share.cap());
        self.demand += share.demand - demand;
        let until = share.lease_end;
        self.next_lease_end = Some(self.next_lease_end.map_or(until, |due| due.min(until)));
        self.changed.insert(owner.clone());
        result
    }

    /// Holders whose lease has run out at `now`.
    pub(super) fn expired_owners(&mut self, now: duration::Instant) -> Vec<Owner> {
        if self.next_lease_end.is_none_or(|due| now < due) {
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

    /// Takes out the holders of changed shares, in order.
    pub(super) fn take_changed(&mut self) -> BTreeSet<Owner> {
        std::mem::take(&mut self.changed)
    }

    /// Notes what the log says of a share, and drops it if neither log nor callers know it.
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
