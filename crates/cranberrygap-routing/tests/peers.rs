//! Choice of the entry that sends requests for one that is cut.

use std::net::{IpAddr, Ipv4Addr};

use cranberrygap_model::{address, duration, id};
use cranberrygap_routing::peers::{Candidate, Rejection, Table};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Entries that a request is offered to.
const OFFERS: usize = 3;

const DOMAINS: usize = 3;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn domains() -> Vec<id::Domain> {
    let names = (0..DOMAINS).map(|number| format!("domain-{number}"));
    names.map(|name| name.parse().expect("a name")).collect()
}

fn address(number: usize) -> address::Socket {
    let [.., high, low] = number.to_be_bytes();
    let host = IpAddr::V4(Ipv4Addr::new(10, 0, high, low));
    address::Socket((host, 80).into())
}

/// Entries of a fleet, in turn of all failure domains, without the first.
fn others(count: usize, domains: &[id::Domain]) -> Vec<Candidate<'_>> {
    let others = (1..count).map(|number| Candidate {
        address: address(number),
        domain: &domains[number % DOMAINS],
        in_use: 0,
    });
    others.collect()
}

/// Share of the requests of the first entry that an entry with a path gets, where the whole
/// domain of the first entry and every second entry of the others are cut, and nobody tells.
fn served_share(count: usize, seed: u64) -> f64 {
    const REQUESTS: u64 = 100;
    const INTERVAL: u64 = 100;
    let domains = domains();
    let candidates = others(count, &domains);
    let is_cut = |peer: address::Socket| {
        let found = candidates.iter().position(|it| it.address == peer);
        let number = found.expect("a known entry") + 1;
        number.is_multiple_of(DOMAINS) || number.is_multiple_of(2)
    };
    let mut random = SmallRng::seed_from_u64(seed);
    let mut table = Table::default();
    let mut served = 0_u32;
    for request in 0..REQUESTS {
        let now = at(10_000 + request * INTERVAL);
        let mut refused = Vec::new();
        for _ in 0..OFFERS {
            let chosen = table.choose(now, candidates.clone(), &domains[0], &refused, &mut random);
            let Some(chosen) = chosen else { break };
            if !is_cut(chosen.address) {
                table.record_taken(now, chosen.address);
                served += 1;
                break;
            }
            table.record_rejection(now, chosen.address, Rejection::Cut);
            refused.push(chosen.domain.clone());
        }
    }
    f64::from(served) / REQUESTS as f64
}

// Most entries are cut, and none has told the others: what one refuses must lead elsewhere,
// however many entries there are.
#[test]
fn requests_find_a_path_in_fleets_of_any_size() {
    for count in [8, 24, 73, 190, 390] {
        let shares = (1..=20).map(|seed| served_share(count, seed));
        let least = shares.fold(1.0, f64::min);

        assert!(least >= 0.75, "{count} entries: {least}");
    }
}

#[test]
fn entry_that_told_that_it_is_cut_gets_nothing_for_a_while() {
    let domains = domains();
    let candidates = others(4, &domains);
    let mut random = SmallRng::seed_from_u64(1);
    let mut table = Table::default();

    for candidate in &candidates {
        table.record_told(at(1_000), candidate.address, true);
    }

    let mut choose = |now| {
        table
            .choose(now, candidates.clone(), &domains[0], &[], &mut random)
            .is_some()
    };
    assert!(!choose(at(1_000)));
    assert!(!choose(at(5_999)));
    assert!(choose(at(6_000)), "what was told counts no longer");
}

#[test]
fn entry_that_is_not_cut_any_more_gets_requests_at_once() {
    let domains = domains();
    let candidates = others(2, &domains);
    let peer = candidates[0].address;
    let mut random = SmallRng::seed_from_u64(1);
    let mut table = Table::default();
    for second in 1..10 {
        table.record_rejection(at(second * 1_000), peer, Rejection::Cut);
    }
    assert_eq!(table.avoided_count(at(10_000)), 1);

    table.record_told(at(10_000), peer, false);

    let chosen = table.choose(at(10_000), candidates, &domains[0], &[], &mut random);
    assert_eq!(chosen.map(|chosen| chosen.address), Some(peer));
}

// A single near entry would get the requests of all others of its domain.
#[test]
fn near_entries_come_first_if_there_are_two() {
    let domains = domains();
    let table = Table::default();
    let mut random = SmallRng::seed_from_u64(1);
    let mut near_of = |count| {
        let candidates = others(count, &domains);
        let chosen = (0..200)
            .filter_map(|_| table.choose(at(0), candidates.clone(), &domains[0], &[], &mut random));
        chosen.filter(|chosen| *chosen.domain == domains[0]).count()
    };

    assert_eq!(near_of(9), 200);
    assert!(near_of(5) < 200);
}
