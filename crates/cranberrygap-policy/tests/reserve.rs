//! Second sends over all entries.

use cranberrygap_model::id;
use cranberrygap_policy::resend;

fn service() -> id::Service {
    "lm".parse().expect("a name")
}

/// Second sends that `entries` make at once after a quiet time.
fn burst(entries: usize) -> usize {
    let mut all: Vec<resend::Budget> = (0..entries).map(|_| resend::Budget::default()).collect();
    for reserve in &mut all {
        for _request in 0..100 {
            reserve.earn(&service(), entries);
        }
    }
    let spent = all.iter_mut().map(|reserve| {
        let tries = std::iter::repeat_with(|| reserve.spend(&service()));
        tries.take_while(|spent| *spent).count()
    });
    spent.sum()
}

// All engines fail at once after a quiet time. Each entry has saved up second sends;
// a bound for each entry alone lets a fleet of 73 send nearly 300 at once, more than
// the users allow over all.
#[test]
fn saved_sends_of_a_large_fleet_are_bounded_together() {
    assert_eq!(burst(8), 32);
    assert_eq!(burst(73), 73);
}

#[test]
fn second_sends_stay_below_a_fifth_of_the_requests() {
    let mut reserve = resend::Budget::default();

    let mut spent = 0;
    for _request in 0..1_000 {
        reserve.earn(&service(), 8);
        spent += usize::from(reserve.spend(&service()));
    }

    assert!((150..=180).contains(&spent), "{spent}");
}

#[test]
fn services_do_not_share_what_is_saved() {
    let mut reserve = resend::Budget::default();
    reserve.earn(&service(), 8);

    let other = "app".parse().expect("a name");

    assert!(!reserve.spend(&other));
    assert!(reserve.spend(&service()));
}
