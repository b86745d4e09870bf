//! Requests to endpoints that bear only a few while they are cold, over all entries.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use cranberrygap_model::{duration, rate};
use cranberrygap_routing::cold::{Claim, GRANT_DURATION, Temperature, ledger, part};
use cranberrygap_routing::limit::Grant;

const ENDPOINT: u32 = 7;

/// Requests that a cold endpoint bears in a second: 1.5 times its limit and 5 more.
const BORNE: usize = 24;

/// Counts of entries before the endpoint, up to the planned size.
const ENTRIES: [u64; 4] = [8, 56, 100, 390];

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

fn claim(temperature: Temperature, max_wait: u64) -> Claim {
    let limit: rate::Limit = "13".parse().unwrap();
    Claim {
        limit,
        temperature,
        max_wait: duration::Span::from_millis(max_wait),
    }
}

/// Time from a grant to the arrival of the request, different from one to the next.
fn delay(number: u64) -> duration::Span {
    duration::Span(number.wrapping_mul(7_919_333) % GRANT_DURATION.0)
}

/// Most arrivals in any second.
fn most_in_a_second(arrivals: &mut [duration::Instant]) -> usize {
    arrivals.sort_unstable();
    let second = duration::Span::from_secs(1);
    let counts = arrivals.iter().enumerate().map(|(first, from)| {
        let later = arrivals[first..].iter();
        later.take_while(|at| at.since(*from) < second).count()
    });
    counts.max().unwrap_or_default()
}

/// Arrivals when each entry wants a request each 100 ms, from `from` to `until`.
fn arrivals(
    entries: u64,
    from: u64,
    until: u64,
    mut take: impl FnMut(duration::Instant) -> Grant,
) -> Vec<duration::Instant> {
    let wanted = (from * 1_000..until * 1_000).step_by(usize::try_from(100_000 / entries).unwrap());
    let mut arrivals = Vec::new();
    for (number, micros) in wanted.enumerate() {
        let now = duration::Instant(micros);
        if let Grant::After(wait) = take(now) {
            arrivals.push(now.after(wait).after(delay(number as u64)));
        }
    }
    arrivals
}

// A failure domain returns cold, and all entries send what waited. Its endpoints crash beyond
// their rate.
#[test]
fn cold_endpoint_gets_no_more_than_it_bears_however_many_entries_there_are() {
    for entries in ENTRIES {
        let mut ledger = ledger::Ledger::default();
        let claim = claim(Temperature::Cold, 250);

        let mut arrivals = arrivals(entries, 10_000, 16_000, |now| {
            ledger.take(now, ENDPOINT, at(0), &claim)
        });

        let most = most_in_a_second(&mut arrivals);
        assert!(most <= BORNE, "{most} in a second before {entries} entries");
        assert!(arrivals.len() > 70, "{} arrivals", arrivals.len());
    }
}

// An endpoint becomes cold without notice. What is under way by then has to be within its bound.
#[test]
fn warm_endpoint_gets_no_more_than_it_would_bear_cold() {
    for entries in ENTRIES {
        let mut ledger = ledger::Ledger::default();
        let mut arrivals = arrivals(entries, 10_000, 20_000, |now| {
            let temperature = if now < at(14_000) {
                Temperature::Warm
            } else {
                Temperature::Cold
            };
            ledger.take(now, ENDPOINT, at(0), &claim(temperature, 250))
        });

        let most = most_in_a_second(&mut arrivals);
        assert!(most <= BORNE, "{most} in a second before {entries} entries");
    }
}

// The home of an endpoint dies or an entry joins, and another entry becomes the home. Entries with
// the older view still use what the home before has granted.
#[test]
fn allowance_holds_across_a_change_of_home() {
    const CHANGE: u64 = 12_000;
    /// Longest time for which entries with the older view ask the home before.
    const LEASE: u64 = 2_450;
    for entries in ENTRIES {
        let (mut before, mut after) = (ledger::Ledger::default(), ledger::Ledger::default());
        let claim = claim(Temperature::Cold, 250);
        let mut both = arrivals(entries, 10_000, CHANGE + LEASE, |now| {
            before.take(now, ENDPOINT, at(0), &claim)
        });

        both.extend(arrivals(entries, CHANGE, 20_000, |now| {
            after.take(now, ENDPOINT, at(CHANGE), &claim)
        }));

        let most = most_in_a_second(&mut both);
        assert!(most <= BORNE, "{most} in a second before {entries} entries");
    }
}

// A home restarts and knows nothing of what it granted.
#[test]
fn restarted_home_grants_nothing_at_a_cold_endpoint_for_a_while() {
    let mut ledger = ledger::Ledger::default();
    let cold = claim(Temperature::Cold, 250);

    let early = ledger.take(at(1_000), ENDPOINT, at(0), &cold);
    let warm = ledger.take(at(1_000), ENDPOINT, at(0), &claim(Temperature::Warm, 250));
    let late = ledger.take(at(4_000), ENDPOINT, at(0), &cold);

    assert!(matches!(early, Grant::Full(_)), "{early:?}");
    assert!(matches!(warm, Grant::After(_)), "{warm:?}");
    assert!(matches!(late, Grant::After(_)), "{late:?}");
}

// An entry is cut off from the home of an endpoint and reaches the endpoint itself.
#[test]
fn entry_without_a_home_sends_nothing_to_a_cold_endpoint() {
    let mut part = part::Part::default();
    let mut take = |millis, temperature| part.take(at(millis), 56, &claim(temperature, 0));

    let cold = take(5_000, Temperature::Cold);
    let warm = take(5_000, Temperature::Warm);

    assert!(matches!(cold, Grant::Full(_)), "{cold:?}");
    assert_eq!(warm, Grant::After(duration::Span(0)));
}

// The homes of many endpoints die together. The other entries must not be without endpoints, nor
// send without bound.
#[test]
fn entries_without_a_home_keep_to_their_parts_at_a_warm_endpoint() {
    for entries in ENTRIES {
        let mut parts: Vec<part::Part> = (0..entries).map(|_| part::Part::default()).collect();
        let count = usize::try_from(entries).unwrap();
        let claim = claim(Temperature::Warm, 0);

        let mut number = 0;
        let arrivals = arrivals(entries, 10_000, 20_000, |now| {
            number += 1;
            parts[number % count].take(now, count, &claim)
        });

        // One at once for each entry, and four limits for 10 s.
        let most = count + 4 * 13 * 10;
        assert!(
            arrivals.len() >= 260 && arrivals.len() <= most + count,
            "{} of {most} before {entries} entries",
            arrivals.len()
        );
    }
}
