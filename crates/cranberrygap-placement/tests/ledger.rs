//! The memory ledger: what counts as taken, and what proves that it is not.

use cranberrygap_model::number;
use cranberrygap_placement::{journal, ledger};
use cranberrygap_wire::{endpoint, view};

mod fixture;

use fixture::{catalogue, gib, load, name, report, show, unload, weights};

fn commit(ledger: &mut ledger::Ledger, order: &endpoint::Order) {
    let known = catalogue(&[]);
    ledger.intend(&known, order).expect("an admissible order");
    let order = order.clone();
    ledger.apply(&journal::Record::Intended { order });
}

fn free(ledger: &ledger::Ledger, endpoint: &str) -> u64 {
    ledger.accounts()[endpoint].free().0 / fixture::GIB
}

// An order is lost on its way and turns up much later. If its memory were given
// away meanwhile, the endpoint would run out of memory and crash.
#[test]
fn lost_load_stays_counted_without_evidence() {
    let mut ledger = fixture::ledger(&[]);
    commit(&mut ledger, &load("o1", "a", "m", 60));

    show(&mut ledger, &report("a", 1, &[]));

    assert_eq!(free(&ledger, "a"), 40);
    let second = ledger.intend(&catalogue(&[]), &load("o2", "a", "n", 60));
    assert_eq!(second, Err(ledger::Refusal::NoMemory));
}

// An unload that was only ordered has freed nothing yet. Counting it as free
// would let a load land beside the old model.
#[test]
fn unload_frees_memory_only_when_reported() {
    let mut ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m"])]);
    commit(&mut ledger, &unload("o1", "a", "m"));
    let before = free(&ledger, "a");

    show(&mut ledger, &report("a", 2, &[]));

    assert_eq!((before, free(&ledger, "a")), (90, 100));
    assert!(ledger.journal().open.is_empty());
}

// The leader dies with a load on the way, and its successor plans anew. Without
// the journal it would fill the same memory twice.
#[test]
fn successor_counts_inherited_orders() {
    let mut first = fixture::ledger(&[]);
    commit(&mut first, &load("o1", "a", "m", 60));
    let mut second = ledger::Ledger::new(first.journal().clone(), gib(0));
    second.update_endpoint(&fixture::runner("a", "x"));
    show(&mut second, &report("a", 1, &[]));

    let refused = second.intend(&catalogue(&[]), &load("o2", "a", "n", 60));

    assert_eq!(refused, Err(ledger::Refusal::NoMemory));
}

// A new leader has old news of an endpoint at best. An order on that ground
// could overfill it, so nothing goes out before its first report.
#[test]
fn no_order_before_the_first_report() {
    let mut ledger = ledger::Ledger::new(journal::Journal::default(), gib(0));
    ledger.update_endpoint(&fixture::runner("a", "x"));

    let refused = ledger.intend(&catalogue(&[]), &load("o1", "a", "m", 10));

    assert_eq!(refused, Err(ledger::Refusal::NotConfirmed));
}

// A report from before the load's end arrives after one from behind it. Taken
// for news it would hide the loaded model, and its memory would be used twice.
#[test]
fn older_report_changes_nothing() {
    let mut ledger = fixture::ledger(&[]);
    show(&mut ledger, &report("a", 5, &["m"]));

    show(&mut ledger, &report("a", 4, &[]));

    assert_eq!(free(&ledger, "a"), 90);
}

// A question is abandoned, the endpoint restarts, and the old answer comes late.
// It would bring the old boot's models back to life.
#[test]
fn answer_to_an_abandoned_question_is_ignored() {
    let mut ledger = fixture::ledger(&[]);
    let old = ledger.issue_ticket(&name("a")).unwrap();
    let restarted = endpoint::Report {
        boot: number::Boot(2),
        ..report("a", 0, &[])
    };
    show(&mut ledger, &restarted);

    let records = ledger.apply_report(old, &report("a", 9, &["m"]));

    assert!(records.is_empty());
    assert_eq!(ledger.accounts()["a"].boot, Some(number::Boot(2)));
}

// A report made before the evidence in the log reaches a new leader. It would
// undo what was proven already.
#[test]
fn report_below_the_logged_floor_is_ignored() {
    let mut first = fixture::ledger(&[]);
    commit(&mut first, &load("o1", "a", "m", 10));
    show(&mut first, &report("a", 7, &["m"]));
    let mut second = ledger::Ledger::new(first.journal().clone(), gib(0));
    second.update_endpoint(&fixture::runner("a", "x"));

    show(&mut second, &report("a", 6, &[]));

    assert_eq!(second.accounts()["a"].boot, None);
}

#[test]
fn restart_ends_all_orders_of_the_old_boot() {
    let mut ledger = fixture::ledger(&[]);
    commit(&mut ledger, &load("o1", "a", "m", 60));
    let restarted = endpoint::Report {
        boot: number::Boot(2),
        ..report("a", 0, &[])
    };

    show(&mut ledger, &restarted);

    assert_eq!(free(&ledger, "a"), 100);
}

#[test]
fn refusal_ends_an_order() {
    let mut ledger = fixture::ledger(&[]);
    commit(&mut ledger, &load("o1", "a", "m", 60));
    let refused = endpoint::Verdict::Refused {
        order: name("o1"),
        code: "stale_fence".into(),
    };

    let record = ledger.hear(&refused).unwrap();
    ledger.apply(&record);

    assert_eq!(free(&ledger, "a"), 100);
}

// Two unloads of the last two copies are planned at once, or the other copy is
// on an endpoint that just died. Callers would find the model unreachable.
#[test]
fn last_confirmed_copy_is_never_unloaded() {
    let known = catalogue(&[weights("m", 10)]);
    let mut ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m"])]);
    ledger.intend(&known, &unload("o1", "a", "m")).unwrap();

    let second = ledger.intend(&known, &unload("o2", "c", "m"));

    assert_eq!(second, Err(ledger::Refusal::LastCopy));
    let mut ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m"])]);
    ledger.update_endpoint(&view::Endpoint {
        health: view::Health::Suspect,
        ..fixture::runner("c", "y")
    });
    let third = ledger.intend(&known, &unload("o3", "a", "m"));
    assert_eq!(third, Err(ledger::Refusal::LastCopy));
}

#[test]
fn reserve_for_the_cache_is_kept() {
    let mut ledger = ledger::Ledger::new(journal::Journal::default(), gib(20));
    ledger.update_endpoint(&fixture::runner("a", "x"));
    show(&mut ledger, &report("a", 1, &[]));

    assert_eq!(ledger.accounts()["a"].free(), gib(80));
}

// A base model and its adapter are on two endpoints, the adapter on one of them
// only. Unloading the base there would leave the adapter without its base.
#[test]
fn base_is_kept_where_its_adapter_has_no_other_place() {
    let known = catalogue(&[weights("m", 10), fixture::adapter("t", "m")]);
    let mut ledger = fixture::ledger(&[("a", &["m", "t"]), ("c", &["m"])]);

    let refused = ledger.intend(&known, &unload("o1", "a", "m"));

    assert_eq!(refused, Err(ledger::Refusal::LastCopy));
}

// An endpoint restarts between two reports, and its announcement comes first.
// On the strength of its old report another endpoint's last copy would go.
#[test]
fn announced_restart_voids_the_old_report() {
    let known = catalogue(&[weights("m", 10)]);
    let mut ledger = fixture::ledger(&[("a", &["m"]), ("c", &["m"])]);
    let mut restarted = fixture::runner("a", "x");
    restarted.announcement.boot = number::Boot(2);
    ledger.update_endpoint(&restarted);

    let refused = ledger.intend(&known, &unload("o1", "c", "m"));

    assert_eq!(refused, Err(ledger::Refusal::LastCopy));
}
