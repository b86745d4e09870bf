//! The placement run holds, and each of its checks is able to fail.

use cranberrygap_bench::soak::Part;
use cranberrygap_bench::soak::placement::{Placement, Variant};

const STEPS: u64 = 20_000;

fn caught(variant: Variant) -> String {
    let part = Placement::new(variant);
    let found = (1..=6).find_map(|seed| part.run(seed, STEPS).err());
    found.map_or_else(String::new, |violation| violation.invariant)
}

#[test]
fn sound_logic_keeps_every_invariant() {
    assert_eq!(caught(Variant::Sound), "");
}

// A leader falls with loads on the way, and its successor knows nothing of
// them. An endpoint would run out of memory when they land.
#[test]
fn forgotten_orders_are_caught() {
    let invariant = caught(Variant::ForgetsOrders);

    assert!(invariant.contains("of memory"), "{invariant}");
}

// An order goes out before it stands in the log. If its leader falls then,
// nobody knows of it.
#[test]
fn early_sending_is_caught() {
    let invariant = caught(Variant::SendsEarly);

    assert!(invariant.contains("before its commit"), "{invariant}");
}

// An answer from before a restart or an unload arrives late and brings an old
// list back. Models would be counted where they are no longer, and their other
// copies unloaded, or memory given out twice.
#[test]
fn old_reports_taken_as_new_are_caught() {
    assert_ne!(caught(Variant::TrustsOldReports), "");
}

// More loads are started than the store serves at full speed. After the loss
// of a failure domain every repair would take longer.
#[test]
fn excess_of_the_store_limits_is_caught() {
    let invariant = caught(Variant::IgnoresStore);

    assert!(invariant.contains("loads"), "{invariant}");
}
