//! Memory that a process holds for callers that read slowly or not at all.

use cranberrygap_model::{duration, size};
use cranberrygap_policy::memory::{self, Content, Need};

const UNIT: size::Bytes = size::Bytes(64 << 10);

fn at(millis: u64) -> duration::Instant {
    duration::Instant::default().after(duration::Span::from_millis(millis))
}

/// An account with room for `units`.
fn account(units: u64) -> memory::Account {
    memory::Account::new(size::Bytes(units * UNIT.0))
}

fn holders(verdict: &memory::Verdict) -> Vec<memory::Holder> {
    verdict.cuts.iter().map(|cut| cut.holder).collect()
}

// Thousands of callers stop reading. The account would grow without bound, or the streams of callers
// that read would be cut with them.
#[test]
fn readers_that_stop_are_cut_and_others_are_not() {
    const STOPPED: usize = 2_000;
    let mut account = account(600);
    let reader = account.open(Content::Unread);
    let mut cuts = Vec::new();

    for step in 0..STOPPED as u64 {
        let now = at(step * 10);
        let stopped = account.open(Content::Unread);
        let verdict = account.charge(now, stopped, UNIT, Need::Deferrable);
        cuts.extend(holders(&verdict));
        let verdict = account.charge(now, reader, size::Bytes(4_096), Need::Required);
        assert!(verdict.is_granted, "at {step}");
        cuts.extend(holders(&verdict));
        account.record_read(now, reader, size::Bytes(4_096));
        assert!(account.held().0 <= 600 * UNIT.0 + 4_096);
    }

    // The reader's bytes take the place of one stopped stream.
    assert_eq!(cuts.len(), STOPPED - 599);
    assert!(!cuts.contains(&reader));
    assert!(cuts.is_sorted(), "the longest unread is not cut first");
}

// A caller that read a moment ago and one that has read nothing for long hold the same. Cutting the
// larger or the older stream would hit one that is read.
#[test]
fn longest_unread_holder_is_cut() {
    let mut account = account(2);
    let (slow, stopped, new) = (
        account.open(Content::Unread),
        account.open(Content::Unread),
        account.open(Content::Unread),
    );
    assert!(
        account
            .charge(at(0), slow, UNIT, Need::Deferrable)
            .is_granted
    );
    assert!(
        account
            .charge(at(10), stopped, UNIT, Need::Deferrable)
            .is_granted
    );
    account.record_read(at(1_500), slow, size::Bytes(1));

    let verdict = account.charge(at(2_000), new, UNIT, Need::Deferrable);

    let cut = memory::Cut {
        holder: stopped,
        held: UNIT,
        unread: duration::Span::from_millis(1_990),
    };
    assert!(verdict.is_granted);
    assert_eq!(verdict.cuts.as_slice(), [cut]);
}

// All engines deliver at once: callers that read are behind for a moment. None is cut for that, and
// what can wait is not read.
#[test]
fn burst_defers_reads_and_cuts_nobody() {
    let mut account = account(2);
    let held = [account.open(Content::Unread), account.open(Content::Unread)];
    for holder in held {
        account.charge(at(0), holder, UNIT, Need::Deferrable);
    }
    let late = account.open(Content::Unread);

    let deferred = account.charge(at(900), late, UNIT, Need::Deferrable);
    let required = account.charge(at(900), late, UNIT, Need::Required);
    account.record_read(at(950), held[0], UNIT);
    account.release(late, UNIT);
    let retried = account.charge(at(960), late, UNIT, Need::Deferrable);

    assert_eq!(deferred, memory::Verdict::default());
    assert!(required.is_granted && required.cuts.is_empty());
    assert!(retried.is_granted);
}

// A request body that is sent to an endpoint cannot be cut for a caller that does not read.
#[test]
fn bodies_in_transit_are_not_cut() {
    let mut account = account(1);
    let body = account.open(Content::Transit);
    account.charge(at(0), body, UNIT, Need::Deferrable);
    let stopped = account.open(Content::Unread);

    let verdict = account.charge(at(60_000), stopped, UNIT, Need::Deferrable);

    assert_eq!(verdict, memory::Verdict::default());
    account.close(body);
    assert_eq!(account.held(), size::Bytes(0));
}

// The connection of a holder that was cut ends a moment later. What it releases until then would be
// taken from others, and the account would admit more than there is.
#[test]
fn holder_that_was_cut_changes_nothing_any_more() {
    let mut account = account(1);
    let stopped = account.open(Content::Unread);
    account.charge(at(0), stopped, UNIT, Need::Deferrable);
    let new = account.open(Content::Unread);
    let verdict = account.charge(at(5_000), new, UNIT, Need::Deferrable);
    assert_eq!(holders(&verdict), [stopped]);

    account.record_read(at(5_001), stopped, UNIT);
    let more = account.charge(at(5_002), stopped, UNIT, Need::Required);
    account.close(stopped);

    assert!(!more.is_granted);
    assert_eq!(account.held(), UNIT);
}

// A caller that reads nothing asks for more itself, as the account is full of its own bytes.
#[test]
fn holder_that_asks_is_cut_if_it_is_the_longest_unread() {
    let mut account = account(1);
    let stopped = account.open(Content::Unread);
    account.charge(at(0), stopped, UNIT, Need::Deferrable);

    let verdict = account.charge(at(1_000), stopped, UNIT, Need::Required);

    assert!(!verdict.is_granted);
    assert_eq!(holders(&verdict), [stopped]);
}
