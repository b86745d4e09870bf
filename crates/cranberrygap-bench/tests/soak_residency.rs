//! The residency run holds, and each of its checks is able to fail.

use cranberrygap_bench::soak::Part;
use cranberrygap_bench::soak::residency::{Residency, Variant};

/// Two times trouble and calm.
const STEPS: u64 = 14_000;

fn caught(variant: Variant) -> String {
    let part = Residency { variant };
    let found = (1..=3).find_map(|seed| part.run(seed, STEPS).err());
    found.map_or_else(String::new, |violation| violation.to_string())
}

#[test]
fn runners_are_kept_within_their_room_and_serve_again() {
    assert_eq!(caught(Variant::Sound), "");
}

// An order that a leader gave up on lands seconds later. Carried out though its runner has
// accepted others since, it loads what there is no room for any more.
#[test]
fn late_orders_that_are_taken_whatever_their_count_are_caught() {
    let invariant = caught(Variant::IgnoresCount);

    assert!(invariant.contains("was ordered to load"), "{invariant}");
}

// A runner reports its models without its adapters. Its places would be given out twice.
#[test]
fn reports_without_adapters_are_caught() {
    let invariant = caught(Variant::HidesAdapters);

    assert!(invariant.contains("over its"), "{invariant}");
}

// No runner ever reports. A book that orders nothing keeps every runner within its room and
// serves nobody.
#[test]
fn runners_without_orders_are_caught() {
    let invariant = caught(Variant::KeepsReports);

    assert!(invariant.contains("not served"), "{invariant}");
}
