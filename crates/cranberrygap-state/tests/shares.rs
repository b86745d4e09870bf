//! What a new leader learns of the shares that its predecessor granted.

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

fn after(allocations: &[share::Allocation]) -> Vec<share::Allocation> {
    let mut shares = Shares::default();
    for allocation in allocations {
        let allocations = vec![allocation.clone()];
        shares.apply(&Step { allocations });
    }
    shares.iter().cloned().collect()
}

// A leader that does not know of what an entry lends, because it has a share too, hands the
// same tokens out again.
#[test]
fn an_entry_has_a_share_and_lends_at_once() {
    let (lent, held) = (allocation(true, 5_000), allocation(false, 300));

    let logged = after(&[lent.clone(), held.clone()]);

    assert_eq!(logged, [lent, held]);
}

// A share that was given back takes what its entry lends out of the log.
#[test]
fn an_entry_that_gives_its_share_back_still_lends() {
    let (lent, held) = (allocation(true, 5_000), allocation(false, 300));
    let closed = allocation(false, 0);

    let logged = after(&[held, lent.clone(), closed]);

    assert_eq!(logged, [lent]);
}

// An allocation that replaced nothing would count twice.
#[test]
fn a_later_allocation_takes_the_place_of_the_one_before() {
    let (first, second) = (allocation(true, 5_000), allocation(true, 4_000));

    let logged = after(&[first, second.clone()]);

    assert_eq!(logged, [second]);
}
