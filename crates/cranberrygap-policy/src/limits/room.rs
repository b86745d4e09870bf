//! How much of each open reservation may still be refunded.

use std::collections::VecDeque;

use super::amount::Amount;

/// Groups kept at most; the reservations of older groups get no refund.
const MOST_GROUPS: usize = 4096;

/// Least free space of a share since each open reservation was made.
///
/// A request reserves its upper bound and gives the rest back at its end. Had it
/// reserved less from the start, the share might have been full in between and
/// tokens would have overflowed. A refund of such tokens lets a workspace spend
/// more than its burst after long requests end together. So a refund is at most
/// the least free space since the reservation: just what the share would hold
/// had the smaller amount been taken from the start.
#[derive(Debug, Clone, Default)]
pub(super) struct Room {
    /// From old to new; the space only grows along the queue.
    groups: VecDeque<Group>,
}

#[derive(Debug, Clone, Copy)]
struct Group {
    first: u64,
    space: Amount,
}

impl Room {
    /// Notes the free space of the share at this moment.
    pub(super) fn observe(&mut self, free: Amount) {
        let mut first = None;
        while let Some(group) = self.groups.back() {
            if group.space <= free {
                break;
            }
            first = Some(group.first);
            self.groups.pop_back();
        }
        if let Some(first) = first {
            self.groups.push_back(Group { first, space: free });
        }
    }

    /// Notes reservation `number`, after which `free` space is left in the share.
    pub(super) fn open(&mut self, number: u64, free: Amount) {
        if self.groups.back().is_some_and(|group| group.space == free) {
            return;
        }
        self.groups.push_back(Group {
            first: number,
            space: free,
        });
        if self.groups.len() > MOST_GROUPS {
            self.groups.pop_front();
        }
    }

    /// Takes a refund of at most `wanted` for reservation `number`.
    pub(super) fn refund(&mut self, number: u64, wanted: Amount) -> Amount {
        let group = self.groups.iter().rev().find(|group| group.first <= number);
        let space = group.map_or(Amount::ZERO, |group| group.space);
        let refund = wanted.min(space);
        for group in &mut self.groups {
            group.space = group.space.minus(refund);
        }
        refund
    }

    /// Ends all claims to refunds; the share that they came from is gone.
    pub(super) fn clear(&mut self) {
        self.groups.clear();
    }
}
