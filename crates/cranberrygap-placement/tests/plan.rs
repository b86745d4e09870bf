//! Placement: copies over failure domains, demand, adapters, versions.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_placement::{catalogue, ledger, plan};
use cranberrygap_wire::{endpoint, view};

mod fixture;

use fixture::{adapter, catalogue, name, version, weights};

fn settings() -> plan::Settings {
    plan::Settings::builder()
        .demand_per_accelerator(10.0)
        .build()
}

fn moves(
    ledger: &ledger::Ledger,
    known: &catalogue::Catalogue,
    demand: &[(&str, f64)],
) -> Vec<plan::Move> {
    let demand: BTreeMap<id::Model, f64> = demand
        .iter()
        .map(|(model, rate)| (name(model), *rate))
        .collect();
    plan::plan(ledger, known, &demand, &BTreeMap::new(), &settings()).moves
}

fn texts(moves: &[plan::Move]) -> Vec<String> {
    let text = |wish: &plan::Move| match &wish.action {
        endpoint::Action::Load { model, .. } => format!("load {model} on {}", wish.endpoint),
        endpoint::Action::Unload { model } => format!("unload {model} on {}", wish.endpoint),
        endpoint::Action::Role { role } => format!("{role} on {}", wish.endpoint),
    };
    moves.iter().map(text).collect()
}

fn wide(model: &str) -> endpoint::Weights {
    weights(model, 10)
}

#[test]
fn model_without_copy_gets_two_in_different_domains() {
    let ledger = fixture::ledger(&[]);

    let moves = moves(&ledger, &catalogue(&[wide("m")]), &[]);

    let domains: Vec<&id::Domain> = moves
        .iter()
        .map(|wish| &ledger.accounts()[&wish.endpoint].domain)
        .collect();
    assert_eq!(moves.len(), 2);
    assert_ne!(domains[0], domains[1]);
}

#[test]
fn quiet_fleet_with_two_copies_each_does_not_move() {
    let ledger = fixture::ledger(&[("a", &["m", "n"]), ("c", &["m", "n"])]);

    let moves = moves(&ledger, &catalogue(&[wide("m"), wide("n")]), &[("m", 20.0)]);

    assert!(moves.is_empty(), "{:?}", texts(&moves));
}

// A failure domain is lost with one copy of each model. Until they are back, a
// second loss would make models unreachable; models with no copy come first.
#[test]
fn loss_of_a_domain_is_repaired_by_what_users_lose() {
    let mut ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m", "n"])]);
    for endpoint in ["c", "d"] {
        ledger.update_endpoint(&view::Endpoint {
            health: view::Health::Gone,
            ..fixture::runner(endpoint, "y")
        });
    }

    let moves = moves(&ledger, &catalogue(&[wide("m"), wide("n")]), &[("m", 30.0)]);

    assert_eq!(texts(&moves)[0], "load n on b");
}

#[test]
fn pressed_model_gets_a_copy_on_an_idle_runner() {
    let ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m"])]);

    let moves = moves(&ledger, &catalogue(&[wide("m")]), &[("m", 75.0)]);

    assert!(!moves.is_empty());
    let targets = ["b", "d"].map(name::<id::Endpoint>);
    assert!(moves.iter().all(|wish| targets.contains(&wish.endpoint)));
}

#[test]
fn adapters_follow_their_base_model() {
    let ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m"])]);

    let moves = moves(&ledger, &catalogue(&[wide("m"), adapter("t", "m")]), &[]);

    assert_eq!(texts(&moves), ["load t on a", "load t on c"]);
}

// A new version is rolled out. If the old one went first, callers of the name
// would be refused until the load ends.
#[test]
fn old_version_goes_after_the_new_one_serves() {
    let known = catalogue(&[version("m-1", "m"), version("m-2", "m")]);
    let before = fixture::ledger(&[("a", &["m-1"]), ("c", &["m-1"])]);
    let half = fixture::ledger(&[("a", &["m-1", "m-2"]), ("c", &["m-1"])]);
    let after = fixture::ledger(&[("a", &["m-1", "m-2"]), ("c", &["m-1", "m-2"])]);

    let unloads = |ledger: &ledger::Ledger| {
        let moves = moves(ledger, &known, &[]);
        let retired = |wish: &&plan::Move| wish.reason == plan::Reason::Retired;
        moves.iter().filter(retired).count()
    };

    assert_eq!(
        [unloads(&before), unloads(&half), unloads(&after)],
        [0, 0, 2]
    );
}

// The fleet is full when a domain dies, and a model is left without a copy. A
// second copy of another model has to make room, never a last one.
#[test]
fn second_copies_make_room_for_a_lost_model() {
    let full: Vec<String> = (0..10).map(|n| format!("m{n}")).collect();
    let full: Vec<&str> = full.iter().map(String::as_str).collect();
    let mut ledger = fixture::ledger(&[("a", &full), ("b", &full)]);
    for endpoint in ["c", "d"] {
        ledger.update_endpoint(&view::Endpoint {
            health: view::Health::Gone,
            ..fixture::runner(endpoint, "y")
        });
    }
    let mut list: Vec<endpoint::Weights> = full.iter().map(|model| wide(model)).collect();
    list.push(wide("lost"));

    let known = catalogue(&list);
    let moves = moves(&ledger, &known, &[("m0", 9.0)]);

    let texts = texts(&moves);
    let unloads: Vec<&String> = texts
        .iter()
        .filter(|text| text.starts_with("unload"))
        .collect();
    assert_eq!(unloads.len(), 1, "{texts:?}");
    assert!(!unloads[0].contains("m0 "));
}
