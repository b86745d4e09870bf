//! The seeded run of the limits: clean as built, and able to find mistakes.

use cranberrygap_bench::soak::limits::world;

const STEPS: u64 = 40_000;

fn found(fault: world::Fault) -> bool {
    (1..=12).any(|seed| world::run(seed, STEPS, world::Lenders::Leader, fault).is_err())
}

#[test]
fn promise_holds_over_several_seeds() {
    for seed in 1..=3 {
        for lenders in [world::Lenders::Leader, world::Lenders::Entries] {
            let result = world::run(seed, STEPS, lenders, world::Fault::None);

            assert!(result.is_ok(), "{}", result.unwrap_err());
        }
    }
}

// A new leader that does not read the logged shares gives the same rate and
// burst out a second time. A workspace would be seen above its burst.
#[test]
fn forgotten_log_is_found() {
    assert!(found(world::Fault::ForgottenLog));
}

// An entry that is cut off and does not stop at the end of its lease spends
// tokens that the leader has given to another entry by then.
#[test]
fn endless_lease_is_found() {
    assert!(found(world::Fault::EndlessLease));
}

// An answer that puts more tokens into a share than left the pool makes tokens
// out of nothing; a burst at one entry would be larger than the workspace's.
#[test]
fn minted_tokens_are_found() {
    assert!(found(world::Fault::MintedTokens));
}

// The same with entries that lend: one that is cut off goes on to lend what the leader has
// given to somebody else.
#[test]
fn endless_lease_is_found_where_entries_lend() {
    let lenders = world::Lenders::Entries;
    let fault = world::Fault::EndlessLease;

    let found = (1..=12).any(|seed| world::run(seed, STEPS, lenders, fault).is_err());

    assert!(found);
}
