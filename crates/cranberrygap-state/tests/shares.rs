//! Allocations that a new leader finds in the replicated state.

use cranberrygap_model::{id, number, token};
use cranberrygap_state::share::{Shares, Step};
use cranberrygap_wire::share;

fn allocation(lends: bool, cap: u64) -> share::Allocation {
    share::Allocation {
        workspace: id::Workspace::from_static("acme"),
        instance: id::Instance::from_static("entry-1"),
        boot: number::Boot(7),
        lends,
        share: 1,
        rate: token::Rate(cap as f64),
        cap: token::Count(cap),
    }
}

fn held_after(allocations: &[share::Allocation]) -> Vec<share::Allocation> {
    let mut shares = Shares::default();
    for allocation in allocations {
        let allocations = vec![allocation.clone()];
        shares.apply(&Step { allocations });
    }
    shares.iter().cloned().collect()
}

// An entry that lends may have a share, too. If the share replaced what the entry lends,
// a new leader would hand the same tokens out again.
#[test]
fn entry_has_a_share_and_lends_at_the_same_time() {
    let (lent, held) = (allocation(true, 5_000), allocation(false, 300));

    let held_by_entry = held_after(&[lent.clone(), held.clone()]);

    assert_eq!(held_by_entry, [lent, held]);
}

// Closing a share must not close what the same entry lends.
#[test]
fn entry_that_returns_its_share_still_lends() {
    let (lent, held) = (allocation(true, 5_000), allocation(false, 300));
    let closed = allocation(false, 0);

    let held_by_entry = held_after(&[held, lent.clone(), closed]);

    assert_eq!(held_by_entry, [lent]);
}

// An allocation that replaced nothing would count twice.
#[test]
fn later_allocation_replaces_the_one_before() {
    let (first, second) = (allocation(true, 5_000), allocation(true, 4_000));

    let held_by_entry = held_after(&[first, second.clone()]);

    assert_eq!(held_by_entry, [second]);
}
