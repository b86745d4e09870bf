//! Keys of callers.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_state::{answer, fleet, key};
use cranberrygap_wire::view;

#[test]
fn issued_key_is_found_by_the_hash_of_its_secret() {
    let mut group = fixture::Group::default();
    let secret = fixture::secret(7);

    group.commit(fixture::issue("c-1", "fjordtall", &secret));

    let found = group
        .fleet
        .keys
        .keys()
        .find(|found| found.hash == key::hash(secret.reveal()));
    assert_eq!(found.unwrap().workspace.as_str(), "fjordtall");
}

// The answer to the issue of a key is lost and the operator sends it again. A second key
// would be valid for ever without anybody knowing of it.
#[test]
fn resent_issue_makes_no_second_key() {
    let mut group = fixture::Group::default();
    let issue = fixture::issue("c-1", "fjordtall", &fixture::secret(7));

    let first = group.answer(issue.clone());
    let second = group.answer(issue);

    assert_eq!(first, second);
    assert_eq!(group.fleet.keys.keys().count(), 1);
}

#[test]
fn withdrawn_key_is_removed_from_the_view() {
    let mut group = fixture::Group::default();
    let secret = fixture::secret(7);
    group.commit(fixture::issue("c-1", "fjordtall", &secret));

    let (_, changes) = group.commit(fixture::withdraw("c-2", &secret));
    let again = group.answer(fixture::withdraw("c-3", &secret));

    let key = secret.key().clone();
    assert_eq!(changes, [view::Change::KeyWithdrawn { key }]);
    assert!(matches!(again, answer::Answer::Refused(_)));
    assert_eq!(group.fleet.keys.keys().count(), 0);
}

#[test]
fn no_secret_is_in_the_state_or_in_debug_texts() {
    let mut group = fixture::Group::default();
    let secret = fixture::secret(7);
    group.commit(fixture::issue("c-1", "fjordtall", &secret));

    let (_, hidden) = secret.reveal().rsplit_once('.').unwrap();
    let state = String::from_utf8(group.fleet.snapshot()).unwrap();

    assert!(!state.contains(hidden));
    assert!(!format!("{secret:?}").contains(hidden));
}

#[test]
fn snapshot_restores_the_whole_state() {
    let mut group = fixture::Group::default();
    group.commit(fixture::issue("c-1", "fjordtall", &fixture::secret(7)));
    group.commit(fixture::configure("c-2", "ada", 0, "[defaults]\n"));
    group.commit(fixture::announce(1, 1));
    group.commit(fixture::open("k-1", "body"));
    group.commit(fixture::close("k-1", 1, fixture::response("e30=")));

    let restored = fleet::Fleet::restore(&group.fleet.snapshot()).unwrap();

    assert_eq!(restored, group.fleet);
}
