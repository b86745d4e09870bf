//! An entry that lends and renews at the leader, but does not answer who asks it in time, or the
//! other way round.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder, lending};

const END: u64 = 10_000;
const COST: u64 = 2_000;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn name(text: &str) -> id::Instance {
    text.parse().expect("a valid name")
}

fn workspace() -> id::Workspace {
    "rink".parse().expect("a valid name")
}

fn leader(rate: f64, burst: u64) -> granter::Granter {
    let mut granter = granter::Granter::new(at(0), number::Term(1), &BTreeMap::new(), &[]);
    let limit = limits::Limit {
        rate: token::Rate(rate),
        burst: token::Count(burst),
    };
    granter.configure(at(0), &workspace(), limit, granter::Origin::Added);
    granter.set_lender(&workspace(), Some(&name("lender")));
    granter
}

fn lender() -> lending::Lender {
    let mut lending = lending::Lender::new(name("lender"), number::Boot(1));
    lending.set_workspaces(at(0), &[workspace()]);
    lending
}

fn entry() -> holder::Holder {
    let mut holder = holder::Holder::new(name("a"), number::Boot(7));
    let lenders = BTreeMap::from([(workspace(), name("lender"))]);
    holder.set_lenders(at(0), &lenders);
    holder
}

/// What the entry that lends reaches; everything else is sound.
#[derive(Clone, Copy, PartialEq)]
enum Reach {
    All,
    OnlyLeader,
    OnlyEntries,
}

/// Requests that came to one entry, and those of them that were admitted.
fn served(mut granter: granter::Granter, each: u64, reach: Reach) -> (usize, usize) {
    let (mut lending, mut holder) = (lender(), entry());
    let patience = holder::MaxWait::uniform(duration::Span::from_millis(1_000));
    let (mut asked, mut admitted) = (0, 0);
    for millis in (0..END).step_by(5) {
        let now = at(millis);
        if reach != Reach::OnlyEntries && lending.next_renewal_at() <= now {
            let renewal = lending.begin_renewal(now);
            let answer = granter.renew(now, &renewal).expect("in order");
            lending.apply_grants(now, &answer.granted);
        }
        if millis % each == 0 {
            asked += 1;
            let verdict = holder.admit(now, &workspace(), token::Count(COST), patience);
            admitted += usize::from(matches!(verdict, holder::Admission::Admitted(_)));
        }
        for (to, question) in holder.due_loan_requests(now) {
            if reach != Reach::OnlyLeader {
                let answer = lending.answer(now, &question).expect("in order");
                holder.apply_loans(now, &to, &answer);
            }
        }
        if holder.next_renewal_at() <= now {
            let renewal = holder.begin_renewal(now);
            let answer = granter.renew(now, &renewal).expect("in order");
            holder.apply_grants(now, &answer.granted);
        }
        granter.expire(now);
        let decided = holder.poll(now).into_iter();
        admitted += decided
            .filter(|(_, decision)| matches!(decision, holder::Decision::Admitted(_)))
            .count();
    }
    (asked, admitted)
}

fn small() -> granter::Granter {
    leader(4_000.0, 5_000)
}

fn large() -> granter::Granter {
    leader(100_000.0, 100_000)
}

// The loads below can be served.
#[test]
fn requests_are_served_while_the_lender_reaches_all() {
    let (asked, admitted) = served(small(), 2_500, Reach::All);
    assert_eq!(admitted, asked);
    let (asked, admitted) = served(large(), 100, Reach::All);
    assert_eq!(admitted, asked);
}

// All callers of an entry at a fifth of their rate would be refused for as long as a link is
// cut, or the entry that lends is slow, while that one goes on to renew its lease.
#[test]
fn requests_are_served_while_the_lender_reaches_only_the_leader() {
    let (asked, admitted) = served(small(), 2_500, Reach::OnlyLeader);

    assert_eq!(admitted, asked);
}

// The same in a workspace large enough for shares, at a fifth of its rate.
#[test]
fn large_workspace_is_served_while_the_lender_reaches_only_the_leader() {
    let (asked, admitted) = served(large(), 100, Reach::OnlyLeader);

    assert!(admitted * 20 >= asked * 19, "{admitted} of {asked}");
}

// An entry that was chosen and has nothing to lend must not keep requests from the leader,
// which has all the tokens.
#[test]
fn requests_are_served_while_the_lender_reaches_only_entries() {
    let (asked, admitted) = served(small(), 2_500, Reach::OnlyEntries);

    assert_eq!(admitted, asked);
}
