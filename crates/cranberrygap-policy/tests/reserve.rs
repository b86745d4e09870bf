//! Resends over all entries.

use cranberrygap_model::duration;
use cranberrygap_policy::resend::{self, scope};

/// A time at which a process does not count as new any more.
const LATER: duration::Instant = duration::Instant(60_000_000);

fn service() -> scope::Scope {
    scope::Scope::Service("lm".parse().expect("a name"))
}

/// Returns the resends that `entries` make at once after a quiet time.
fn burst(entries: usize) -> usize {
    let mut all: Vec<resend::Budget> = (0..entries).map(|_| resend::Budget::default()).collect();
    for budget in &mut all {
        for _request in 0..100 {
            budget.earn(LATER, &service(), entries);
        }
    }
    let spent = all.iter_mut().map(|budget| {
        let tries = std::iter::repeat_with(|| budget.spend(&service()));
        tries.take_while(|spent| *spent).count()
    });
    spent.sum()
}

// All engines fail at once after a quiet time in which each entry has accumulated resends.
// With a cap for each entry alone, a fleet of 73 would send nearly 300 at once, more than the
// users allow over all.
#[test]
fn resends_of_a_large_fleet_are_bounded_together() {
    assert_eq!(burst(8), 32);
    assert_eq!(burst(73), 73);
}

#[test]
fn resends_stay_below_a_fifth_of_the_requests() {
    let mut budget = resend::Budget::default();

    let mut spent = 0;
    for _request in 0..1_000 {
        budget.earn(LATER, &service(), 8);
        spent += usize::from(budget.spend(&service()));
    }

    assert!((150..=180).contains(&spent), "{spent}");
}

#[test]
fn services_do_not_share_their_budgets() {
    const REQUESTS_FOR_ONE_RESEND: usize = 6;
    let mut budget = resend::Budget::default();
    for _request in 0..REQUESTS_FOR_ONE_RESEND {
        budget.earn(LATER, &service(), 8);
    }

    let other = scope::Scope::Service("app".parse().expect("a name"));

    assert!(!budget.spend(&other));
    assert!(budget.spend(&service()));
}
