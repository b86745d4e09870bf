//! Which homes are asked before a choice.

use cranberrygap_routing::prompt::inquiry::{self, Subject};
use rand::{Rng as _, SeedableRng as _, rngs};

const MOST: usize = 4;

fn subject(name: &str, cost: u64, least_cost: u64, same_domain: bool) -> Subject {
    Subject {
        endpoint: name.parse().expect("a name"),
        cost,
        least_cost,
        same_domain,
    }
}

/// The endpoint that is chosen, and how many homes elsewhere were asked. `loads` is what the homes
/// would answer.
fn choose(subjects: &mut [Subject], loads: &[u64], in_rounds: bool) -> (Subject, usize) {
    let mut far = 0;
    let mut learn = |subjects: &mut [Subject], asked: &[cranberrygap_model::id::Endpoint]| {
        for (subject, load) in subjects.iter_mut().zip(loads) {
            if asked.contains(&subject.endpoint) {
                subject.cost = subject.least_cost + load;
                far += usize::from(!subject.same_domain);
            }
        }
    };
    if in_rounds {
        let first = inquiry::first(subjects, MOST);
        learn(subjects, &first.asked);
        if first.defers {
            let second = inquiry::second(subjects, MOST, &first);
            learn(subjects, &second);
        }
    } else {
        let all: Vec<_> = subjects.iter().map(|one| one.endpoint.clone()).collect();
        learn(subjects, &all);
    }
    let best = subjects.iter().min_by_key(|subject| subject.cost);
    (best.expect("a subject").clone(), far)
}

// Each question about an endpoint elsewhere crosses failure domains twice. If one that could win
// were not asked about, its caller would get a busier endpoint than today.
#[test]
fn engines_in_three_domains_are_chosen_as_if_all_were_asked() {
    let mut random = rngs::StdRng::seed_from_u64(7);
    let (mut asked_in_rounds, mut asked_at_once) = (0, 0);
    for _ in 0..20_000 {
        let count = random.random_range(1..=MOST);
        let mut subjects = Vec::new();
        let mut loads = Vec::new();
        for number in 0..count {
            let same_domain = random.random_ratio(1, 3);
            let least = random.random_range(0..100) + if same_domain { 0 } else { 200 };
            let load = random.random_range(0..10) * random.random_range(0..50);
            // A home that was asked before has told an older load, which may be higher or lower.
            let known = load * random.random_range(0..4) / 2;
            subjects.push(subject(
                &format!("e-{number}"),
                least + known,
                least,
                same_domain,
            ));
            loads.push(load);
        }
        let (in_rounds, far) = choose(&mut subjects.clone(), &loads, true);
        let (at_once, far_at_once) = choose(&mut subjects, &loads, false);
        assert_eq!(in_rounds.cost, at_once.cost, "{subjects:?} {loads:?}");
        asked_in_rounds += far;
        asked_at_once += far_at_once;
    }
    assert!(
        asked_in_rounds * 4 < asked_at_once * 3,
        "{asked_in_rounds} of {asked_at_once}"
    );
}

// Without an endpoint in its own domain an entry would choose by loads that it never asked for.
#[test]
fn engines_elsewhere_only_are_asked_about_at_once() {
    let subjects = [subject("a", 210, 200, false), subject("b", 220, 200, false)];

    let first = inquiry::first(&subjects, MOST);

    assert_eq!(first.asked.len(), 2);
    assert!(!first.defers);
}

// The homes of near endpoints do not answer. What is deferred must still be asked about if the near
// ones are known to be busy.
#[test]
fn a_busy_near_engine_does_not_hide_an_idle_one() {
    let subjects = [
        subject("near", 400, 100, true),
        subject("far", 200, 200, false),
    ];

    let first = inquiry::first(&subjects, MOST);
    let second = inquiry::second(&subjects, MOST, &first);

    assert_eq!(first.asked, ["near".parse().unwrap()]);
    assert_eq!(second, ["far".parse().unwrap()]);
}
