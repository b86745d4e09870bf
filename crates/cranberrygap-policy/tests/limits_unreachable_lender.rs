//! A lender that reaches the leader but not its borrowers in time, or the other way round.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder, lending};

const END_MILLIS: u64 = 10_000;
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
    let mut lender = lending::Lender::new(name("lender"), number::Boot(1));
    lender.set_workspaces(at(0), &[workspace()]);
    lender
}

fn entry() -> holder::Holder {
    let mut holder = holder::Holder::new(name("a"), number::Boot(7));
    let lenders = BTreeMap::from([(workspace(), name("lender"))]);
    holder.set_lenders(at(0), &lenders);
    holder
}

/// Processes that the lender reaches; everything else is sound.
#[derive(Clone, Copy, PartialEq)]
enum Reach {
    All,
    OnlyLeader,
    OnlyEntries,
}

/// Returns the requests at one entry and how many of them were admitted.
fn count_served(
    mut granter: granter::Granter,
    interval_millis: u64,
    reach: Reach,
) -> (usize, usize) {
    let (mut lender, mut holder) = (lender(), entry());
    let max_wait = holder::MaxWait::uniform(duration::Span::from_millis(1_000));
    let (mut asked, mut admitted) = (0, 0);
    for millis in (0..END_MILLIS).step_by(5) {
        let now = at(millis);
        if reach != Reach::OnlyEntries && lender.next_renewal_at() <= now {
            let renewal = lender.begin_renewal(now);
            let answer = granter.renew(now, &renewal).expect("in order");
            lender.apply_grants(now, &answer.granted);
        }
        if millis % interval_millis == 0 {
            asked += 1;
            let admission = holder.admit(now, &workspace(), token::Count(COST), max_wait);
            admitted += usize::from(matches!(admission, holder::Admission::Admitted(_)));
        }
        for (to, loan_request) in holder.due_loan_requests(now) {
            if reach != Reach::OnlyLeader {
                let answer = lender
                    .answer_loan_request(now, &loan_request)
                    .expect("in order");
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

fn small_workspace() -> granter::Granter {
    leader(4_000.0, 5_000)
}

fn large_workspace() -> granter::Granter {
    leader(100_000.0, 100_000)
}

// The loads of the tests below can be served.
#[test]
fn requests_are_served_while_the_lender_reaches_all() {
    let (asked, admitted) = count_served(small_workspace(), 2_500, Reach::All);
    assert_eq!(admitted, asked);
    let (asked, admitted) = count_served(large_workspace(), 100, Reach::All);
    assert_eq!(admitted, asked);
}

// The lender renews its lease but does not answer borrowers, because a link is cut or it is
// slow. All callers of an entry at a fifth of their rate would be refused for as long as that
// lasts.
#[test]
fn requests_are_served_while_the_lender_reaches_only_the_leader() {
    let (asked, admitted) = count_served(small_workspace(), 2_500, Reach::OnlyLeader);

    assert_eq!(admitted, asked);
}

// The same in a workspace large enough for shares, at a fifth of its rate.
#[test]
fn large_workspace_is_served_while_the_lender_reaches_only_the_leader() {
    let (asked, admitted) = count_served(large_workspace(), 100, Reach::OnlyLeader);

    assert!(admitted * 20 >= asked * 19, "{admitted} of {asked}");
}

// A selected lender without tokens must not keep requests from the leader, which has all the
// tokens.
#[test]
fn requests_are_served_while_the_lender_reaches_only_entries() {
    let (asked, admitted) = count_served(small_workspace(), 2_500, Reach::OnlyEntries);

    assert_eq!(admitted, asked);
}
