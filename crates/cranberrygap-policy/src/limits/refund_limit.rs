//! Limits on the refunds of open reservations.

use std::collections::VecDeque;

use super::amount::Amount;

/// Most groups that are kept; reservations of older groups get no refund.
const MAX_GROUPS: usize = 4096;

/// Least free space of a share since each open reservation was made.
///
/// A request reserves its upper bound and returns the rest at its end. Had it reserved less
/// from the start, the share might have been full in between and tokens would have
/// overflowed. A refund of such tokens would let a workspace spend more than its burst after
/// long requests end together. So a refund is at most the least free space since the
/// reservation, which leaves the share with exactly the tokens it would hold had the smaller
/// amount been reserved.
#[derive(Debug, Clone, Default)]
pub(super) struct RefundLimit {
    /// Groups from old to new; the space only grows along the queue.
    groups: VecDeque<Group>,
}

/// Consecutive reservations with the same least free space.
#[derive(Debug, Clone, Copy)]
struct Group {
    first_reservation: u64,
    free_space: Amount,
}

impl RefundLimit {
    /// Records the current free space of the share.
    pub(super) fn observe_free_space(&mut self, free: Amount) {
        let mut first = None;
        while let Some(group) = self.groups.back() {
            if group.free_space <= free {
                break;
            }
            first = Some(group.first_reservation);
            self.groups.pop_back();
        }
        if let Some(first) = first {
            self.groups.push_back(Group {
                first_reservation: first,
                free_space: free,
            });
        }
    }

    /// Records reservation `number`, which leaves `free` space in the share.
    pub(super) fn record_reservation(&mut self, number: u64, free: Amount) {
        if self
            .groups
            .back()
            .is_some_and(|group| group.free_space == free)
        {
            return;
        }
        self.groups.push_back(Group {
            first_reservation: number,
            free_space: free,
        });
        if self.groups.len() > MAX_GROUPS {
            self.groups.pop_front();
        }
    }

    /// Takes a refund of at most `wanted` for reservation `number`.
    pub(super) fn refund(&mut self, number: u64, wanted: Amount) -> Amount {
        let group = self
            .groups
            .iter()
            .rev()
            .find(|group| group.first_reservation <= number);
        let space = group.map_or(Amount::ZERO, |group| group.free_space);
        let refund = wanted.min(space);
        for group in &mut self.groups {
            group.free_space = group.free_space.minus(refund);
        }
        refund
    }

    /// Ends all rights to refunds, because their share is gone.
    pub(super) fn clear(&mut self) {
        self.groups.clear();
    }
}
