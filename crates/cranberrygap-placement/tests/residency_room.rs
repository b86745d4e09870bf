//! No order exceeds a runner's capacity, in whatever order its messages arrive.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, size};
use cranberrygap_placement::residency::{engine, order, planner, runner};
use cranberrygap_wire::{endpoint, view};

const GIB: u64 = 1 << 30;

fn name(text: &str) -> id::Endpoint {
    text.parse().expect("a name")
}

fn model(text: &str) -> id::Model {
    text.parse().expect("a name")
}

fn adapter(text: &str) -> runner::Adapter {
    let (model_name, adapter) = text.split_once('/').expect("model/adapter");
    (model(model_name), adapter.into())
}

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn weights() -> engine::Weights {
    engine::Weights {
        size: size::Bytes(10 * GIB),
        adapter_size: size::Bytes(1 << 20),
        load_from_store: duration::Span::from_secs(4),
        load_from_host: duration::Span::from_millis(600),
        load_from_disk: duration::Span::from_millis(800),
    }
}

/// Runners with capacity for two models of 10 GiB and two adapters.
fn engine_with(models: &[&str]) -> engine::Engine {
    engine::Engine {
        memory: size::Bytes(21 * GIB),
        adapter_slots: 2,
        store_rate: 3.0,
        models: models.iter().map(|text| (model(text), weights())).collect(),
        former_models: BTreeMap::new(),
    }
}

/// An announcement of `r1` with models, and adapters as `model/adapter`.
fn announcement(sequence: u64, held: &[&str]) -> endpoint::Announcement {
    let resident: Vec<serde_json::Value> = held
        .iter()
        .map(|model| serde_json::json!({ "model": model, "size": "0B" }))
        .collect();
    let text = serde_json::json!({
        "endpoint": "r1", "boot": 1, "sequence": sequence,
        "address": "10.0.0.9:80", "domain": "a", "kind": "runner", "phase": "ready",
        "memory": "0B", "checks_fence": false, "resident": resident, "service": "lm",
        "details": { "started": 1, "slots": 64, "cached": [], "stored": [] },
    });
    serde_json::from_value(text).expect("an announcement")
}

fn update_endpoints(
    planner: &mut planner::Planner,
    now: u64,
    announcement: &endpoint::Announcement,
) {
    let all = std::iter::once((announcement, view::Health::Ready));
    planner.update_endpoints(at(now), all, |_| None);
}

/// A report of `r1` while it is idle.
fn report(accepted: u64, models: &[&str], adapters: &[&str]) -> order::Report {
    order::Report {
        boot: None,
        accepted,
        busy: false,
        models: models.iter().map(|text| model(text)).collect(),
        adapters: adapters.iter().map(|text| adapter(text)).collect(),
    }
}

/// The planner of a leader that may order after 100 ms.
fn new_planner(models: &[&str]) -> planner::Planner {
    succeeding_planner(models, None)
}

/// The same, where an earlier leader ordered nothing for processes that started before a time.
fn succeeding_planner(models: &[&str], settled_before: Option<u64>) -> planner::Planner {
    let service = "lm".parse().expect("a name");
    let wait = duration::Span::from_millis(100);
    planner::Planner::new(service, engine_with(models), at(0), wait, settled_before)
}

/// A planner that has `r1`'s announcement, and its report at 20 ms.
fn reported_planner(models: &[&str], held: &[&str], report: &order::Report) -> planner::Planner {
    let mut planner = new_planner(models);
    update_endpoints(&mut planner, 0, &announcement(1, held));
    planner.tick(at(10));
    planner.handle_report(at(20), &name("r1"), report);
    planner
}

fn request_adapter(planner: &mut planner::Planner, now: u64, ticket: u64, text: &str) {
    planner.request_adapter(at(now), ticket, &adapter(text), &name("r1"), false);
}

fn demand(rates: &[(&str, f64)]) -> BTreeMap<id::Model, f64> {
    let rates = rates.iter();
    rates.map(|(text, load)| (model(text), *load)).collect()
}

/// Orders that are due at `now`.
fn orders(planner: &mut planner::Planner, now: u64) -> Vec<order::Order> {
    let outputs = planner.tick(at(now)).into_iter();
    let orders = outputs.filter_map(|output| match output {
        planner::Output::Send(order) => Some(order),
        _ => None,
    });
    orders.collect()
}

fn is_load(order: &order::Order) -> bool {
    matches!(
        order.action,
        order::Action::Load(_) | order::Action::LoadAdapter(..)
    )
}

/// Actions of the orders in the ten seconds after `now`.
fn actions_within_ten_seconds(planner: &mut planner::Planner, now: u64) -> Vec<String> {
    let ticks = (0..100).map(|tick| now + tick * 100);
    let due = ticks.flat_map(|now| orders(planner, now));
    due.map(|order| order.action.to_string()).collect()
}

/// Sends one order and lets the runner answer it; returns the order's action.
fn order_and_answer(planner: &mut planner::Planner, now: u64, verdict: order::Verdict) -> String {
    let sent = orders(planner, now);
    let [sent] = sent.as_slice() else {
        panic!("one order, not {sent:?}");
    };
    planner.handle_verdict(at(now + 4), &name("r1"), sent.number, verdict);
    sent.action.to_string()
}

// A load has ended and a new leader has a report of it. An announcement made just before
// arrives late; if it were applied, it would free memory that is taken.
#[test]
fn older_announcement_frees_no_memory_shown_by_a_report() {
    let mut planner = reported_planner(&["a", "b", "c"], &["a"], &report(3, &["a", "b"], &[]));
    planner.set_demand(at(30), demand(&[("c", 0.9)]));

    // The adapter makes the announcement differ although its models don't.
    update_endpoints(&mut planner, 500, &announcement(2, &["a", "a/a1"]));
    let ordered = actions_within_ten_seconds(&mut planner, 600);

    assert_eq!(ordered, Vec::<String>::new());
}

// The announcement of a load's end is lost, so the runner is asked for a report; then an
// announcement from before the load arrives.
#[test]
fn older_announcement_frees_no_memory_of_an_overdue_load() {
    let mut planner = reported_planner(&["a", "b", "c"], &["a"], &report(0, &["a"], &[]));
    planner.set_demand(at(30), demand(&[("b", 0.9)]));
    let loaded = order_and_answer(&mut planner, 1_000, order::Verdict::Accepted);
    planner.handle_report(at(6_000), &name("r1"), &report(1, &["a", "b"], &[]));
    planner.set_demand(at(6_010), demand(&[("c", 0.9)]));

    update_endpoints(&mut planner, 6_100, &announcement(2, &["a", "a/a1"]));
    let ordered = actions_within_ten_seconds(&mut planner, 6_200);

    assert_eq!(loaded, "load b");
    assert_eq!(ordered, Vec::<String>::new());
}

// An announcement from before a model was loaded lists none of its adapters, which fill
// all slots.
#[test]
fn older_announcement_frees_no_adapter_slots() {
    let held = report(5, &["a", "b"], &["b/b1", "b/b2"]);
    let mut planner = reported_planner(&["a", "b"], &["a"], &held);
    let mut older = announcement(2, &["a", "a/a0"]);
    // On disk, so that no load from the store is needed.
    if let Some(details) = &mut older.details {
        details.stored = vec![model("b")];
    }

    update_endpoints(&mut planner, 500, &older);
    request_adapter(&mut planner, 600, 1, "a/a1");
    let ordered = orders(&mut planner, 600);

    assert!(!ordered.iter().any(is_load), "{ordered:?}");
}

// A request still uses the adapter, so the runner answers that it will unload it later.
// All slots are taken until the request ends.
#[test]
fn draining_adapter_keeps_its_slot() {
    let held = report(0, &["m"], &["m/a1", "m/a2"]);
    let mut planner = reported_planner(&["m"], &["m", "m/a1", "m/a2"], &held);
    request_adapter(&mut planner, 5_000, 1, "m/a3");
    let evicted = order_and_answer(&mut planner, 5_000, order::Verdict::Accepted);

    let ordered = orders(&mut planner, 5_010);

    assert!(evicted.starts_with("unload m/"), "{evicted}");
    assert!(!ordered.iter().any(is_load), "{ordered:?}");
}

// A runner said that it lacks an adapter before it accepted the adapter's load. The
// answer to another order arrives afterwards; the adapter is resident all the same.
#[test]
fn adapter_reported_missing_keeps_its_slot_until_a_report() {
    let mut planner = reported_planner(&["m"], &["m"], &report(0, &["m"], &[]));
    request_adapter(&mut planner, 1_000, 1, "m/a1");
    let first = order_and_answer(&mut planner, 1_000, order::Verdict::Accepted);
    request_adapter(&mut planner, 1_010, 2, "m/a2");
    let second = orders(&mut planner, 1_010);
    planner.request_adapter(at(1_012), 3, &adapter("m/a1"), &name("r1"), true);
    let accepted = order::Verdict::Accepted;
    planner.handle_verdict(at(1_014), &name("r1"), second[0].number, accepted);

    request_adapter(&mut planner, 1_020, 4, "m/a3");
    let ordered = orders(&mut planner, 1_020);

    assert_eq!(first, "load m/a1");
    assert_eq!(second[0].action.to_string(), "load m/a2");
    assert!(!ordered.iter().any(is_load), "{ordered:?}");
}

// An order of the previous leader loaded adapters while a load of this leader was
// overdue. The report that ends the load also lists them.
#[test]
fn report_after_an_overdue_load_updates_adapters() {
    let mut planner = reported_planner(&["a", "b"], &["a"], &report(0, &["a"], &[]));
    planner.set_demand(at(30), demand(&[("b", 0.9)]));
    let loaded = order_and_answer(&mut planner, 1_000, order::Verdict::Accepted);
    let later = report(3, &["a", "b"], &["a/a1", "a/a2"]);
    planner.handle_report(at(6_000), &name("r1"), &later);

    request_adapter(&mut planner, 6_100, 1, "a/a3");
    let ordered = orders(&mut planner, 6_100);

    assert_eq!(loaded, "load b");
    assert!(!ordered.iter().any(is_load), "{ordered:?}");
}

// A runner finished its load and now executes one of the previous leader. The count in
// its report includes that order, but its models don't yet.
#[test]
fn report_of_a_busy_runner_sets_no_count() {
    let mut planner = reported_planner(&["a", "b", "c", "x"], &[], &report(0, &[], &[]));
    planner.set_demand(at(30), demand(&[("b", 0.9)]));
    let loaded = order_and_answer(&mut planner, 1_000, order::Verdict::Accepted);
    // The count must be requested; the runner has finished the load and begun another.
    planner.request_adapter(at(4_500), 1, &adapter("b/b1"), &name("r1"), true);
    let busy = order::Report {
        busy: true,
        ..report(2, &["b"], &[])
    };
    planner.handle_report(at(4_600), &name("r1"), &busy);
    update_endpoints(&mut planner, 4_700, &announcement(2, &["b"]));
    planner.set_demand(at(4_710), demand(&[("b", 0.1), ("c", 0.9)]));

    // By now the other load has ended, and its announcement is late: c would be the third
    // model.
    let ordered = actions_within_ten_seconds(&mut planner, 8_500);

    assert_eq!(loaded, "load b");
    assert_eq!(ordered, Vec::<String>::new());
}

// A plan no longer lists a model that is still resident. Its adapters take the same
// memory as before.
#[test]
fn adapters_of_a_model_that_left_the_plan_take_memory() {
    let held = report(2, &["a", "old"], &["old/o1"]);
    let mut planner = reported_planner(&["a", "old", "c"], &["a", "old", "old/o1"], &held);
    let mut full_engine = engine_with(&["a", "c"]);
    full_engine.adapter_slots = 4;
    full_engine.memory = size::Bytes(20 * GIB + (1 << 20));

    planner.set_engine(at(500), full_engine);
    request_adapter(&mut planner, 600, 1, "a/a1");
    let ordered = orders(&mut planner, 600);

    assert!(!ordered.iter().any(is_load), "{ordered:?}");
}

// A plan lists a model with a smaller size, but the resident copy was loaded with the
// larger one.
#[test]
fn model_takes_the_memory_it_was_loaded_with() {
    let held = report(1, &["a"], &[]);
    let mut planner = reported_planner(&["a", "b"], &["a"], &held);
    let smaller = engine::Weights {
        size: size::Bytes(4 * GIB),
        ..weights()
    };
    let mut plan = engine_with(&["a", "b"]);
    plan.memory = size::Bytes(15 * GIB);
    plan.models.insert(model("a"), smaller);

    planner.set_engine(at(500), plan);
    planner.set_demand(at(510), demand(&[("b", 0.9)]));
    let ordered = actions_within_ten_seconds(&mut planner, 600);

    assert!(!ordered.contains(&"load b".to_owned()), "{ordered:?}");
}

// An announcement may be outdated, or show an order of the previous leader. Only the
// runner can tell which.
#[test]
fn runner_with_a_differing_announcement_is_asked_for_a_report() {
    let mut planner = reported_planner(&["a", "b", "c"], &["a", "b"], &report(3, &["a", "b"], &[]));
    planner.tick(at(200));

    update_endpoints(&mut planner, 500, &announcement(2, &["a", "c"]));
    let outputs = planner.tick(at(600));

    assert!(
        outputs.contains(&planner::Output::FetchReport(name("r1"))),
        "{outputs:?}"
    );
    let differences = planner.take_differences();
    assert!(
        differences
            .iter()
            .any(|difference| difference.missing.contains("b")),
        "{differences:?}"
    );
}

// Two report requests were in flight. The answer to the first was made before an order
// that has been accepted since; the next order with its count would be rejected.
#[test]
fn report_older_than_an_accepted_order_is_ignored() {
    let mut planner = reported_planner(&["m"], &["m"], &report(0, &["m"], &[]));
    request_adapter(&mut planner, 1_000, 1, "m/a1");
    order_and_answer(&mut planner, 1_000, order::Verdict::Accepted);
    request_adapter(&mut planner, 1_010, 2, "m/a2");
    let refused = order_and_answer(&mut planner, 1_010, order::Verdict::Conflict);

    planner.handle_report(at(1_100), &name("r1"), &report(0, &["m"], &[]));
    let first_try = orders(&mut planner, 1_800);
    planner.handle_report(at(2_700), &name("r1"), &report(1, &["m"], &["m/a1"]));
    let later = orders(&mut planner, 2_800);

    assert_eq!(refused, "load m/a2");
    assert_eq!(first_try, []);
    assert_eq!(
        later.first().map(|order| order.expected_count),
        Some(1),
        "{later:?}"
    );
}

// The last request of a draining adapter has ended. The runner is asked while a request
// waits for the slot, and the slot goes to that request.
#[test]
fn slot_of_a_drained_adapter_is_reused() {
    let held = report(0, &["m"], &["m/a1", "m/a2"]);
    let mut planner = reported_planner(&["m"], &["m", "m/a1", "m/a2"], &held);
    request_adapter(&mut planner, 5_000, 1, "m/a3");
    let evicted = order_and_answer(&mut planner, 5_000, order::Verdict::Accepted);

    let outputs = planner.tick(at(5_010));
    let kept = report(1, &["m"], &["m/a1", "m/a2"]);
    planner.handle_report(at(5_020), &name("r1"), &kept);
    let first_try = orders(&mut planner, 5_330);
    planner.handle_report(at(5_340), &name("r1"), &report(1, &["m"], &["m/a2"]));
    let later = orders(&mut planner, 5_350);

    assert_eq!(evicted, "unload m/a1");
    assert!(
        outputs.contains(&planner::Output::FetchReport(name("r1"))),
        "{outputs:?}"
    );
    assert_eq!(first_try, []);
    let later: Vec<String> = later.iter().map(|order| order.action.to_string()).collect();
    assert_eq!(later, ["load m/a3"]);
}

// A report was requested before the runner restarted under the same name. Counts start
// anew with each process, so a count of the earlier process may look valid.
#[test]
fn report_of_another_process_is_ignored() {
    let mut planner = new_planner(&["a", "b", "c"]);
    update_endpoints(&mut planner, 0, &announcement(1, &["a", "b"]));
    planner.tick(at(10));
    let before = order::Report {
        boot: Some(number::Boot(7)),
        ..report(2, &[], &[])
    };

    planner.handle_report(at(20), &name("r1"), &before);
    planner.set_demand(at(30), demand(&[("c", 0.9)]));
    let ordered = actions_within_ten_seconds(&mut planner, 200);

    assert_eq!(ordered, Vec::<String>::new());
}

// An order got no answer, then its runner restarted under the same name. Counts start
// anew, and the order may be delivered seconds later, when the new process reaches its
// count.
#[test]
fn stale_order_fits_when_it_is_accepted() {
    let mut planner = reported_planner(&["m"], &["m"], &report(2, &["m"], &[]));
    request_adapter(&mut planner, 1_000, 1, "m/a1");
    let stale = orders(&mut planner, 1_000);
    let mut restarted = announcement(1, &["m"]);
    restarted.boot = number::Boot(2);
    update_endpoints(&mut planner, 1_100, &restarted);
    planner.tick(at(1_110));
    planner.handle_report(at(1_120), &name("r1"), &report(0, &["m"], &[]));

    let mut accepted = Vec::new();
    for (number, now) in (0..10).map(|tick| (tick, 1_200 + tick * 100)) {
        request_adapter(&mut planner, now, 10 + number, &format!("m/b{number}"));
        for order in orders(&mut planner, now).into_iter().filter(is_load) {
            planner.handle_verdict(
                at(now + 4),
                &name("r1"),
                order.number,
                order::Verdict::Accepted,
            );
            accepted.push(order.expected_count);
        }
    }

    // At count 2 both slots would be taken.
    assert_eq!(stale[0].expected_count, 2);
    assert_eq!(accepted, [0], "{accepted:?}");
}

// A delayed order of the previous leader unloaded a model, and its announcement has
// arrived. The requested report is older than that; without another request the model
// would count as served for ever.
#[test]
fn runner_is_asked_until_its_announcement_agrees() {
    let mut planner = reported_planner(&["a", "b"], &["a", "b"], &report(3, &["a", "b"], &[]));
    update_endpoints(&mut planner, 500, &announcement(2, &["a"]));
    planner.tick(at(600));
    planner.handle_report(at(610), &name("r1"), &report(3, &["a", "b"], &[]));

    let again = planner.tick(at(2_200));
    planner.handle_report(at(2_210), &name("r1"), &report(4, &["a"], &[]));
    let settled = planner.tick(at(4_000));

    let ask = planner::Output::FetchReport(name("r1"));
    assert!(again.contains(&ask), "{again:?}");
    assert!(!settled.contains(&ask), "{settled:?}");
}

/// Number of publications of `r1`'s residency and the orders that are due at `now`.
fn publications_and_orders(planner: &mut planner::Planner, now: u64) -> (usize, Vec<String>) {
    let mut published = 0;
    let mut ordered = Vec::new();
    for output in planner.tick(at(now)) {
        match output {
            planner::Output::PublishResidency(_) => published += 1,
            planner::Output::Send(order) => ordered.push(order.action.to_string()),
            _ => {}
        }
    }
    (published, ordered)
}

// A residency published before a move began does not name the outgoing model: entries go
// on sending requests for it to a runner that unloads it.
#[test]
fn residency_published_before_a_move_does_not_advance_it() {
    let mut planner = new_planner(&["hot", "spare", "cold"]);
    let first_runner = announcement(1, &["spare", "cold"]);
    let mut second_runner = announcement(1, &["hot", "spare"]);
    second_runner.endpoint = name("r2");
    let both = [&first_runner, &second_runner].into_iter();
    planner.update_endpoints(
        at(0),
        both.map(|announcement| (announcement, view::Health::Ready)),
        |_| None,
    );
    planner.tick(at(10));
    planner.handle_report(at(20), &name("r1"), &report(0, &["spare", "cold"], &[]));
    let (first, _) = publications_and_orders(&mut planner, 30);
    planner.set_demand(at(40), demand(&[("hot", 0.9)]));
    let (second, _) = publications_and_orders(&mut planner, 1_000);

    // The first residency is committed late; the second, which names the outgoing model,
    // never is.
    let outdated = view::Residency {
        endpoint: name("r1"),
        boot: number::Boot(1),
        retiring: Vec::new(),
        adapters: Vec::new(),
    };
    planner.confirm_residency(at(1_010), &outdated);
    let ordered: Vec<String> = (0..20)
        .flat_map(|tick| publications_and_orders(&mut planner, 1_100 + tick * 100).1)
        .collect();

    assert_eq!((first, second), (1, 1));
    assert_eq!(ordered, Vec::<String>::new());
}

/// Number of report requests to a runner whose adapter drains for `seconds`, when each request
/// is answered at once and still lists the adapter.
fn requests_while_an_adapter_drains(planner: &mut planner::Planner, seconds: u64) -> usize {
    const TICK_MILLIS: usize = 5;
    let mut requests = 0;
    for millis in (2_100..2_100 + seconds * 1_000).step_by(TICK_MILLIS) {
        let outputs = planner.tick(at(millis));
        for output in outputs {
            if let planner::Output::FetchReport(runner) = output {
                requests += 1;
                planner.handle_report(at(millis + 2), &runner, &report(2, &["a"], &["a/x", "a/y"]));
            }
        }
    }
    requests
}

/// A planner whose runner `r1` drains one adapter and is asked for a third one.
fn planner_with_a_draining_adapter() -> planner::Planner {
    let held = report(1, &["a"], &["a/x", "a/y"]);
    let mut planner = reported_planner(&["a"], &["a", "a/x", "a/y"], &held);
    request_adapter(&mut planner, 2_000, 1, "a/z");
    let ordered = order_and_answer(&mut planner, 2_010, order::Verdict::Accepted);
    assert!(ordered.starts_with("unload"), "{ordered}");
    planner
}

// Reports asked for as fast as they come: hundreds of connections a second to one runner while
// an adapter waits for its streams to end.
#[test]
fn runner_with_a_draining_adapter_is_asked_at_a_bounded_rate() {
    let mut planner = planner_with_a_draining_adapter();

    let requests = requests_while_an_adapter_drains(&mut planner, 12);

    assert!(requests <= 40, "{requests} requests in 12 s");
    assert!(requests >= 6, "{requests} requests in 12 s");
}

// A slot that is free again stays unused until the next request for a report.
#[test]
fn announcement_without_a_draining_adapter_brings_a_report() {
    let mut planner = planner_with_a_draining_adapter();
    planner.tick(at(2_100));
    planner.handle_report(at(2_110), &name("r1"), &report(2, &["a"], &["a/x", "a/y"]));
    planner.tick(at(2_120));

    update_endpoints(&mut planner, 2_450, &announcement(2, &["a", "a/y"]));
    let outputs = planner.tick(at(2_460));

    let ask = planner::Output::FetchReport(name("r1"));
    assert!(outputs.contains(&ask), "{outputs:?}");
}

/// Times in milliseconds at which a new leader orders loads at `r1`, which is empty, if an earlier
/// leader ordered nothing for processes before this time.
fn loads_of_a_new_leader(settled_before: Option<u64>, has_restarted: bool) -> Vec<u64> {
    let mut planner = succeeding_planner(&["a", "b"], settled_before);
    update_endpoints(&mut planner, 0, &announcement(1, &[]));
    planner.record_restarts(|_| has_restarted);
    planner.tick(at(10));
    planner.handle_report(at(20), &name("r1"), &report(0, &[], &[]));
    planner.set_demand(at(20), demand(&[("a", 0.5), ("b", 0.5)]));
    let mut loads = Vec::new();
    let mut held: Vec<&str> = Vec::new();
    for now in (100..30_000).step_by(100) {
        for order in orders(&mut planner, now) {
            let accepted = order::Verdict::Accepted;
            planner.handle_verdict(at(now + 4), &name("r1"), order.number, accepted);
            if let order::Action::Load(loaded) = &order.action {
                loads.push(now);
                held.push(if loaded.as_str() == "a" { "a" } else { "b" });
                let sequence = 1 + held.len() as u64;
                update_endpoints(&mut planner, now + 50, &announcement(sequence, &held));
            }
        }
    }
    loads
}

// The leader before ordered a load at an earlier process of the runner's name, and no log knows
// its count. It may land once the new process has accepted as many orders as it names, and must
// fit then.
#[test]
fn load_of_an_earlier_leader_fits_whenever_it_lands() {
    const DELIVERED: u64 = 15_100;

    let loads = loads_of_a_new_leader(Some(1), true);

    assert_eq!(loads.len(), 2, "{loads:?}");
    assert!(loads[0] < 1_000 && loads[1] >= DELIVERED, "{loads:?}");
}

// A process that has been up for long or is the first of its name gets no such load, and neither
// does any without an earlier leader.
#[test]
fn runner_without_loads_of_an_earlier_leader_is_filled_at_once() {
    for (settled_before, has_restarted) in [(None, true), (Some(2), true), (Some(1), false)] {
        let loads = loads_of_a_new_leader(settled_before, has_restarted);

        assert_eq!(loads.len(), 2, "{loads:?}");
        assert!(loads[1] < 1_000, "{loads:?}");
    }
}
