//! The executor: the store's limits, repetition, priorities, leader changes.

use cranberrygap_model::{duration, number};
use cranberrygap_placement::{journal, ledger, orders, plan};
use cranberrygap_wire::endpoint;

mod fixture;

use fixture::{catalogue, gib, name, report, seconds, weights};

const LEASE: duration::Span = duration::Span::from_secs(2);

fn executor(ledger: ledger::Ledger, now: duration::Instant) -> orders::Executor {
    let list: Vec<endpoint::Weights> = (0..40).map(|n| weights(&format!("m{n}"), 1)).collect();
    let known = catalogue(&list);
    orders::Executor::new(
        now,
        ledger,
        known,
        fixture::limits(),
        number::Fence(7),
        LEASE,
    )
}

fn wish(endpoint: &str, model: &str) -> plan::Move {
    plan::Move {
        endpoint: name(endpoint),
        action: endpoint::Action::Load {
            model: name(model),
            size: gib(1),
        },
        reason: plan::Reason::Unreachable,
    }
}

fn wishes() -> Vec<plan::Move> {
    (0..40).map(|n| wish("a", &format!("m{n}"))).collect()
}

fn intents(outputs: &[orders::Output]) -> Vec<endpoint::Order> {
    let intents = outputs.iter().filter_map(|output| match output {
        orders::Output::Propose(journal::Record::Intended { order }) => Some(order.clone()),
        _ => None,
    });
    intents.collect()
}

// The leader dies between sending an order and writing it down. Its successor
// would not know of it. So the first byte goes out after the commit.
#[test]
fn order_is_sent_only_after_its_intent_is_committed() {
    let mut executor = executor(fixture::ledger(&[]), seconds(0));

    let proposed = executor.step(seconds(1), orders::Input::Plan(vec![wish("a", "m1")]));
    let order = intents(&proposed).remove(0);
    let record = journal::Record::Intended {
        order: order.clone(),
    };
    let sent = executor.step(seconds(1), orders::Input::Committed(record));

    assert_eq!(proposed.len(), 1);
    assert_eq!(sent, vec![orders::Output::Send(order)]);
}

// After the loss of a failure domain dozens of loads are wanted at once. The
// store slows down for all of them beyond its rate and its slots.
#[test]
fn store_rate_and_slots_are_kept() {
    let mut executor = executor(fixture::ledger(&[]), seconds(0));
    let mut starts = Vec::new();

    for tenth in 0..100 {
        let now = duration::Instant(tenth * 100_000);
        let outputs = executor.step(now, orders::Input::Plan(wishes()));
        starts.push(intents(&outputs).len());
    }

    let first_second: usize = starts[..=10].iter().sum();
    assert!(
        first_second <= 3,
        "{first_second} starts in the first second"
    );
    assert_eq!(starts.iter().sum::<usize>(), 11);
}

// Eleven loads were on the way to a failure domain that died. They will never
// end, and if they held their slots for ever no repair could start.
#[test]
fn loads_towards_the_dead_give_their_slots_back_but_not_their_memory() {
    let mut executor = executor(fixture::ledger(&[]), seconds(0));
    for tenth in 0..100 {
        let now = duration::Instant(tenth * 100_000);
        executor.step(now, orders::Input::Plan(wishes()));
    }

    let later = executor.step(seconds(60), orders::Input::Plan(vec![wish("c", "m39")]));

    assert_eq!(intents(&later).len(), 1);
    assert_eq!(executor.ledger().accounts()["a"].free(), gib(89));
}

// An order or its answer is lost. The endpoint never loads and the model stays
// away, unless the same order is sent again.
#[test]
fn unanswered_order_is_sent_again_unchanged() {
    let mut executor = executor(fixture::ledger(&[]), seconds(0));
    let proposed = executor.step(seconds(1), orders::Input::Plan(vec![wish("a", "m1")]));
    let order = intents(&proposed).remove(0);
    let record = journal::Record::Intended {
        order: order.clone(),
    };
    executor.step(seconds(1), orders::Input::Committed(record));

    let early = executor.step(duration::Instant(1_500_000), orders::Input::Tick);
    let late = executor.step(seconds(3), orders::Input::Tick);

    assert!(early.is_empty());
    assert_eq!(late, vec![orders::Output::Send(order)]);
}

// A deposed leader goes on sending for the rest of its lease. An endpoint that
// ignores fences would obey both leaders.
#[test]
fn new_leader_waits_for_endpoints_that_ignore_fences() {
    let mut known = fixture::runner("a", "x");
    known.announcement.checks_fence = false;
    let mut ledger = ledger::Ledger::new(journal::Journal::default(), gib(0));
    ledger.update_endpoint(&known);
    fixture::show(&mut ledger, &report("a", 1, &[]));
    let mut executor = executor(ledger, seconds(10));

    let early = executor.step(seconds(11), orders::Input::Plan(vec![wish("a", "m1")]));
    let late = executor.step(seconds(12), orders::Input::Plan(vec![wish("a", "m1")]));

    assert_eq!((intents(&early).len(), intents(&late).len()), (0, 1));
}

#[test]
fn report_that_shows_the_result_ends_the_order_once() {
    let mut executor = executor(fixture::ledger(&[]), seconds(0));
    let proposed = executor.step(seconds(1), orders::Input::Plan(vec![wish("a", "m1")]));
    let order = intents(&proposed).remove(0);
    executor.step(
        seconds(1),
        orders::Input::Committed(journal::Record::Intended { order }),
    );

    let mut proposals = 0;
    for _report in 0..2 {
        let ticket = executor.ledger_mut().issue_ticket(&name("a")).unwrap();
        let input = orders::Input::Reported(ticket, report("a", 2, &["m1"]));
        proposals += executor.step(seconds(2), input).len();
    }

    assert_eq!(proposals, 1);
}
