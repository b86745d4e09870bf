//! Which control process an entry follows.

use cranberrygap_entry::view::preference;
use cranberrygap_model::{duration, id};

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn name(text: &str) -> id::Instance {
    text.parse().expect("a name")
}

fn candidate(text: &str, is_near: bool, leads: bool) -> preference::Candidate {
    preference::Candidate {
        instance: name(text),
        is_near,
        leads,
    }
}

/// Five control processes, one in each failure domain; the entry is in that of `near`.
fn controls(near: &str, leader: &str) -> Vec<preference::Candidate> {
    let names = ["a", "b", "c", "d", "e"];
    let candidates = names.map(|text| candidate(text, text == near, text == leader));
    candidates.to_vec()
}

// A delta for each entry crosses the boundary of the failure domain instead of one.
#[test]
fn near_process_is_followed() {
    let candidates = controls("d", "a");

    for seed in 0..50 {
        let chosen = preference::Preference::new(seed).choose(at(0), &candidates);
        assert_eq!(chosen, Some(3), "seed {seed}");
    }
}

// The leader has no processor time to spare for views.
#[test]
fn entries_beside_the_leader_spread_over_the_others() {
    let candidates = controls("c", "c");
    let mut followers = [0; 5];

    for seed in 0..400_u64 {
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen = preference::Preference::new(seed).choose(at(0), &candidates);
        followers[chosen.expect("four processes do not lead")] += 1;
    }

    assert_eq!(followers[2], 0);
    let others = [followers[0], followers[1], followers[3], followers[4]];
    assert!(
        others.iter().all(|count| (60..140).contains(count)),
        "{others:?}"
    );
}

// An entry that asks a dead process again at once has no view meanwhile.
#[test]
fn failed_process_is_avoided_for_a_while() {
    let candidates = controls("d", "a");
    let mut preference = preference::Preference::new(1);
    preference.record_failure(at(0), &name("d"));

    let meanwhile = preference.choose(at(1_000), &candidates);
    let later = preference.choose(at(3_100), &candidates);

    assert!(meanwhile.is_some_and(|chosen| chosen != 3), "{meanwhile:?}");
    assert_eq!(later, Some(3));
}

#[test]
fn nothing_is_preferred_while_all_fail() {
    let candidates = vec![candidate("a", true, false), candidate("b", false, true)];
    let mut preference = preference::Preference::new(1);
    preference.record_failure(at(0), &name("a"));

    assert_eq!(preference.choose(at(100), &candidates), None);
}
