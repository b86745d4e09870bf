//! Budgets of resends, over many entries.

use cranberrygap_model::duration;
use cranberrygap_policy::resend::{self, scope, tally};

/// What the users allow: a share of the requests, and a fixed number over all entries.
const SHARE: f64 = 0.2;
const FIXED: f64 = 56.0;

const ENTRIES: usize = 8;

fn service() -> scope::Scope {
    scope::Scope::Service("app".parse().expect("a name"))
}

/// Time between two requests.
const INTERVAL: duration::Span = duration::Span::from_millis(50);

/// Resends that a budget gives when each of so many requests fails.
fn fail_all(budget: &mut resend::Budget, requests: usize) -> usize {
    let resent = (0..requests).filter(|number| {
        let now = duration::Instant(*number as u64 * INTERVAL.0);
        budget.earn(now, &service(), ENTRIES);
        budget.spend(&service())
    });
    resent.count()
}

// Entries that are killed again and again start with a budget each time. Resends that a new
// process brings along add up over the starts, however few requests there are.
#[test]
fn entries_that_start_again_mint_no_resends() {
    const STARTS: usize = 200;
    const REQUESTS: usize = 2;

    let resent: usize = (0..STARTS)
        .map(|_| fail_all(&mut resend::Budget::default(), REQUESTS))
        .sum();

    let allowed = SHARE * (STARTS * REQUESTS) as f64 + FIXED;
    assert!(
        resent as f64 <= allowed,
        "{resent} resent, {allowed} allowed"
    );
}

// Every request fails for a long time: the resends must not multiply the load.
#[test]
fn resends_stay_below_their_share_of_the_requests() {
    const REQUESTS: usize = 1_000;

    let resent = fail_all(&mut resend::Budget::default(), REQUESTS);

    assert!((100..=200).contains(&resent), "{resent}");
}

/// A budget after a quiet time with many requests, at one of `entries` entries.
fn after_quiet_time(from: duration::Instant, entries: usize) -> resend::Budget {
    let mut budget = resend::Budget::default();
    for number in 0..1_000 {
        let now = from.after(duration::Span(number * INTERVAL.0));
        budget.earn(now, &service(), entries);
    }
    budget
}

fn spend_all(budget: &mut resend::Budget) -> usize {
    (0..100).filter(|_| budget.spend(&service())).count()
}

// All endpoints fail after a quiet time. What all entries have saved comes at once.
#[test]
fn saved_resends_of_all_entries_stay_within_the_fixed_number() {
    for (entries, fixed) in [
        (1, 42),
        (2, 44),
        (8, 56),
        (9, 58),
        (73, 186),
        (191, 422),
        (390, 820),
    ] {
        let of_each = spend_all(&mut after_quiet_time(duration::Instant(0), entries));

        let saved = of_each * entries;
        assert!(saved <= fixed, "{entries} entries saved {saved}");
        assert!(of_each >= 1, "{entries} entries save none");
    }
}

// While a large fleet starts, each entry sees only the few that were there before it. A cap for
// few entries must not be held by many.
#[test]
fn entry_that_just_started_saves_no_more_than_one() {
    let mut budget = resend::Budget::default();
    for number in 0..59 {
        budget.earn(duration::Instant(number * INTERVAL.0), &service(), 2);
    }

    assert_eq!(spend_all(&mut budget), 1);
}

// Most entries die and come back: the survivors see a small fleet for a moment.
#[test]
fn entries_that_are_gone_for_a_moment_still_count() {
    let mut budget = after_quiet_time(duration::Instant(0), 191);
    let gone_at = duration::Instant(1_000 * INTERVAL.0);
    for number in 0..100 {
        let now = gone_at.after(duration::Span(number * INTERVAL.0));
        budget.earn(now, &service(), 3);
    }

    assert_eq!(spend_all(&mut budget), 1);
}

#[test]
fn counts_cover_the_last_window_from_the_first_second_on() {
    let at = |seconds| duration::Instant::default().after(duration::Span::from_secs(seconds));
    let mut tally = tally::Tally::default();
    tally.record(at(0), tally::Event::FirstSend);
    tally.record(at(5), tally::Event::Resend);

    let counts = [0, 5, 9, 10, 15].map(|seconds| {
        let counts = tally.counts(at(seconds));
        (counts.first_sends, counts.resends)
    });

    assert_eq!(counts, [(1, 1), (1, 1), (1, 1), (0, 1), (0, 0)]);
}
