//! Loads of engines, kept by their home entries and asked for before a choice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cranberrygap_model::{address, duration, id};
use cranberrygap_routing::prompt::{backlog, home, reports};

const PREFILL_MICROS: u32 = 60_000;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn domain(number: usize) -> id::Domain {
    format!("domain-{number}").parse().expect("a name")
}

fn socket(number: usize) -> SocketAddr {
    format!("10.0.{}.{}:7601", number / 200, number % 200 + 1)
        .parse()
        .expect("an address")
}

/// Entries that are spread evenly over the failure domains.
fn entries(count: usize, domains: usize) -> Vec<home::Entry> {
    let entries = (0..count).map(|number| home::Entry {
        instance: format!("entry-{number}").parse().expect("a name"),
        domain: domain(number % domains),
        address: address::Socket(socket(number)),
    });
    entries.collect()
}

fn backlog_of(requests: u32) -> backlog::Backlog {
    let mut backlog = backlog::Backlog::default();
    for _request in 0..requests {
        backlog.add(0, PREFILL_MICROS);
    }
    backlog
}

#[test]
fn home_is_in_the_failure_domain_of_its_engine() {
    let entries = entries(191, 5);

    let homes = (0..78).map(|engine| home::choose(engine, &domain(3), &entries));

    for found in homes {
        assert_eq!(found.map(|entry| &entry.domain), Some(&domain(3)));
    }
}

#[test]
fn engine_of_a_domain_without_entries_has_a_home_elsewhere() {
    let entries = entries(6, 2);

    let found = home::choose(7, &domain(9), &entries);

    assert!(found.is_some());
}

#[test]
fn homes_are_spread_over_the_entries() {
    let entries = entries(390, 7);
    let mut engines_by_home: BTreeMap<address::Socket, usize> = BTreeMap::new();

    for engine in 0..600 {
        let found = home::choose(engine * 7_919, &domain(engine as usize % 7), &entries);
        *engines_by_home
            .entry(found.expect("entries exist").address)
            .or_default() += 1;
    }

    let most = engines_by_home.values().max();
    assert!(most <= Some(&8), "{most:?}");
}

// An entry that stops must not make all others ask new homes.
#[test]
fn departure_of_an_entry_moves_only_the_engines_of_that_home() {
    let all = entries(60, 3);
    let without_one: Vec<home::Entry> = all.iter().skip(1).cloned().collect();

    let moved = (0..200_u32).filter(|engine| {
        let before = home::choose(*engine, &domain(0), &all);
        let after = home::choose(*engine, &domain(0), &without_one);
        before != after && before.map(|entry| &entry.instance) != Some(&all[0].instance)
    });

    assert_eq!(moved.count(), 0);
}

#[test]
fn load_leaves_out_the_part_of_the_asker() {
    let mut book = home::Book::default();
    book.apply_backlogs(at(0), socket(1), 1, &[(5, backlog_of(2))]);
    book.apply_backlogs(at(0), socket(2), 1, &[(5, backlog_of(3))]);

    let load = book.load_without(at(10), 5, Some(socket(1)));

    assert_eq!(load.backlog, backlog_of(3));
}

// A datagram that arrives late must not bring back requests that have ended.
#[test]
fn older_backlog_is_ignored() {
    let mut book = home::Book::default();
    book.apply_backlogs(at(0), socket(1), 2, &[]);
    book.apply_backlogs(at(10), socket(1), 1, &[(5, backlog_of(2))]);

    let load = book.load_without(at(20), 5, None);

    assert_eq!(load, home::Load::default());
}

// The requests of an entry that died must not count for ever.
#[test]
fn backlog_of_a_silent_entry_expires() {
    let mut book = home::Book::default();
    book.apply_backlogs(at(0), socket(1), 1, &[(5, backlog_of(2))]);

    let load = book.load_without(at(1_300), 5, None);

    assert_eq!(load, home::Load::default());
}

#[test]
fn prompt_counts_until_the_next_backlog() {
    let mut book = home::Book::default();
    book.apply_prompt(at(0), socket(1), 5, 0, PREFILL_MICROS);
    let told = book.load_without(at(1), 5, None);

    book.apply_backlogs(at(100), socket(1), 1, &[]);
    let ended = book.load_without(at(101), 5, None);

    assert_eq!(told.backlog, backlog_of(1));
    assert_eq!(ended.backlog, backlog::Backlog::default());
    assert_eq!(ended.recent_micros, PREFILL_MICROS);
}

#[test]
fn learned_load_loses_recent_prompts_and_then_expires() {
    let load = home::Load {
        backlog: backlog_of(1),
        recent_micros: 90_000,
        limit: None,
    };
    let learned = home::Learned::new(at(0), load);

    assert_eq!(learned.load(at(100)).recent_micros, 60_000);
    assert_eq!(learned.load(at(400)).recent_micros, 0);
    assert_eq!(learned.load(at(400)).backlog, backlog_of(1));
    assert_eq!(learned.load(at(1_200)), home::Load::default());
}

/// Requests at each of `engines` after a burst of one request from each of `count` entries, a
/// millisecond apart. Each entry sends to the engine that the given loads show as least loaded.
fn burst(count: u32, engines: u32, ask: impl Fn(&home::Book, u64, u32) -> home::Load) -> Vec<u32> {
    let mut book = home::Book::default();
    let mut sent = vec![0; engines as usize];
    for entry in 0..count {
        let now = u64::from(entry);
        let least = (0..engines).min_by_key(|engine| {
            let load = ask(&book, now, *engine);
            (load.backlog.running, (*engine + entry) % engines)
        });
        let engine = least.expect("engines exist");
        sent[engine as usize] += 1;
        book.apply_prompt(at(now), socket(entry as usize), engine, 0, PREFILL_MICROS);
    }
    sent
}

// Many users come at once for one hot model: each entry sends a single request, so none has any
// knowledge of its own about the copies.
#[test]
fn burst_of_many_entries_is_spread_evenly_over_the_copies() {
    let asked = burst(191, 12, |book, now, engine| {
        book.load_without(at(now), engine, None)
    });

    let (least, most) = (asked.iter().min(), asked.iter().max());
    assert!(most <= Some(&17) && least >= Some(&15), "{asked:?}");
}

// What an entry sends must not grow with the number of entries.
#[test]
fn entry_tells_only_the_homes_of_the_engines_it_uses() {
    let used = [3, 11, 42];
    let counts = [20, 191, 390].map(|count| {
        let entries = entries(count, 5);
        let homes = used
            .iter()
            .map(|engine| home::choose(*engine, &domain(1), &entries));
        let homes: BTreeSet<address::Socket> = homes.flatten().map(|entry| entry.address).collect();
        homes.len()
    });

    assert!(
        counts.iter().all(|count| *count <= used.len()),
        "{counts:?}"
    );
}

// An entry of many sends a request now and then, and it ends before the entry looks at what has
// changed. Its home counted each of them for a second after its end, and engines with free places
// looked full.
#[test]
fn request_that_ends_between_two_reports_is_not_counted_any_more() {
    let home_address = address::Socket(socket(0));
    let mut book = home::Book::default();
    let mut reports = reports::Reports::default();
    let mut sequence = 0;
    let mut report = |book: &mut home::Book, reports: &mut reports::Reports, millis| {
        for report in reports.due(at(millis), BTreeMap::new()) {
            sequence += 1;
            book.apply_backlogs(at(millis), socket(1), sequence, &report.backlogs);
        }
    };
    report(&mut book, &mut reports, 0);

    reports.record_notices(home_address);
    book.apply_prompt(at(20), socket(1), 5, 0, PREFILL_MICROS);
    let while_it_runs = book.load_without(at(100), 5, None);
    report(&mut book, &mut reports, 150);
    let after_its_end = book.load_without(at(160), 5, None);

    assert_eq!(while_it_runs.backlog, backlog_of(1));
    assert_eq!(after_its_end.backlog, backlog::Backlog::default());
}

// The same beside a request that runs on: the entry's backlog is the same at both of its looks.
#[test]
fn request_that_ends_beside_a_longer_one_is_not_counted_any_more() {
    let home_address = address::Socket(socket(0));
    let mut book = home::Book::default();
    let mut reports = reports::Reports::default();
    let long = || BTreeMap::from([(home_address, vec![(5, backlog_of(1))])]);
    for (sequence, report) in (1..).zip(reports.due(at(0), long())) {
        book.apply_backlogs(at(0), socket(1), sequence, &report.backlogs);
    }

    reports.record_notices(home_address);
    book.apply_prompt(at(20), socket(1), 5, 0, PREFILL_MICROS);
    for (sequence, report) in (2..).zip(reports.due(at(150), long())) {
        book.apply_backlogs(at(150), socket(1), sequence, &report.backlogs);
    }

    let load = book.load_without(at(160), 5, None);
    assert_eq!(load.backlog, backlog_of(1));
}

// Reports that say nothing new cost datagrams, and a home forgets what it is not told again.
#[test]
fn unchanged_backlog_is_reported_again_and_an_ended_one_twice() {
    let home_address = address::Socket(socket(0));
    let mut reports = reports::Reports::default();
    let backlogs = |requests| {
        let backlog = (requests > 0).then(|| (5, backlog_of(requests)));
        BTreeMap::from([(home_address, backlog.into_iter().collect::<Vec<_>>())])
    };
    let mut due = |millis, requests| reports.due(at(millis), backlogs(requests)).len();

    let sent = [
        due(0, 1),
        due(150, 1),
        due(300, 2),
        due(450, 2),
        due(800, 2),
        due(950, 0),
    ];
    let last = [due(1_100, 0), due(1_450, 0), due(1_600, 0)];

    assert_eq!(sent, [1, 0, 1, 0, 1, 1]);
    assert_eq!(last[..2], [0, 1]);
}
