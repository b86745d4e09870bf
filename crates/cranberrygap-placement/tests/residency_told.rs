//! What entries were told, and what is done because of it.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, size};
use cranberrygap_placement::residency::{book, engine, order, runner};
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
        load: duration::Span::from_secs(4),
        warm: duration::Span::from_millis(600),
        disk: duration::Span::from_millis(800),
    }
}

/// Runners with room for two models of 10 GiB and two adapters.
fn room(models: &[&str]) -> engine::Engine {
    engine::Engine {
        memory: size::Bytes(21 * GIB),
        adapter_slots: 2,
        store_rate: 3.0,
        models: models.iter().map(|text| (model(text), weights())).collect(),
        former: BTreeMap::new(),
    }
}

/// What `r1` announces: models, and adapters as `model/adapter`.
fn announced(sequence: u64, held: &[&str]) -> endpoint::Announcement {
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

/// What `r1` reports while it is idle.
fn report(accepted: u64, models: &[&str], adapters: &[&str]) -> order::Report {
    order::Report {
        boot: None,
        accepted,
        busy: false,
        models: models.iter().map(|text| model(text)).collect(),
        adapters: adapters.iter().map(|text| adapter(text)).collect(),
    }
}

/// The book of a leader that may order after 100 ms.
fn opened(models: &[&str]) -> book::Book {
    let service = "lm".parse().expect("a name");
    let wait = duration::Span::from_millis(100);
    book::Book::new(service, room(models), at(0), wait)
}

fn demand(rates: &[(&str, f64)]) -> BTreeMap<id::Model, f64> {
    let rates = rates.iter();
    rates.map(|(text, load)| (model(text), *load)).collect()
}

/// Times at which the book says what is to be told of `r1`, and orders, from a time on.
fn told_and_ordered(book: &mut book::Book, now: u64) -> (usize, Vec<String>) {
    let mut told = 0;
    let mut ordered = Vec::new();
    for output in book.tick(at(now)) {
        match output {
            book::Output::Tell(_) => told += 1,
            book::Output::Send(order) => ordered.push(order.action.to_string()),
            _ => {}
        }
    }
    (told, ordered)
}

// What was told before a move began says nothing of its victim: entries that were not told
// go on sending requests for it to a runner that drops it.
#[test]
fn word_of_before_a_move_does_not_let_it_go_on() {
    let mut book = opened(&["hot", "spare", "cold"]);
    let found = announced(1, &["spare", "cold"]);
    let mut other = announced(1, &["hot", "spare"]);
    other.endpoint = name("r2");
    let both = [&found, &other].into_iter();
    book.follow(
        at(0),
        both.map(|found| (found, view::Health::Ready)),
        |_| None,
    );
    book.tick(at(10));
    book.reported(at(20), &name("r1"), &report(0, &["spare", "cold"], &[]));
    let (first, _) = told_and_ordered(&mut book, 30);
    book.set_demand(at(40), demand(&[("hot", 0.9)]));
    let (second, _) = told_and_ordered(&mut book, 1_000);

    // The first word is committed late; the second, which names the victim, never is.
    let early = view::Residency {
        endpoint: name("r1"),
        boot: number::Boot(1),
        retiring: Vec::new(),
        adapters: Vec::new(),
    };
    book.told(at(1_010), &early);
    let ordered: Vec<String> = (0..20)
        .flat_map(|look| told_and_ordered(&mut book, 1_100 + look * 100).1)
        .collect();

    assert_eq!((first, second), (1, 1));
    assert_eq!(ordered, Vec::<String>::new());
}
