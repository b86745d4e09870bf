//! One entry that lends for more workspaces than one question has room for.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder, lending};

const BURST: u64 = 100_000;
const COST: u64 = 2_000;
const END: u64 = 5_000;
const PERIOD: u64 = 250;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn lender_name() -> id::Instance {
    "lender".parse().expect("a valid name")
}

fn named(count: usize) -> Vec<id::Workspace> {
    let names = (0..count).map(|number| format!("rink-{number:02}"));
    names
        .map(|name| name.parse().expect("a valid name"))
        .collect()
}

fn leader(workspaces: &[id::Workspace]) -> granter::Granter {
    let mut granter = granter::Granter::new(at(0), number::Term(1), &BTreeMap::new(), &[]);
    let limit = limits::Limit {
        rate: token::Rate(BURST as f64),
        burst: token::Count(BURST),
    };
    for workspace in workspaces {
        granter.configure(at(0), workspace, limit, granter::Origin::Added);
        granter.set_lender(workspace, Some(&lender_name()));
    }
    granter
}

/// Requests that each workspace's caller sent in turn, one after the other, and those that
/// were admitted, in a fleet whose links and processes are all sound.
fn admitted(workspaces: &[id::Workspace]) -> BTreeMap<id::Workspace, usize> {
    let mut granter = leader(workspaces);
    let mut lending = lending::Lender::new(lender_name(), number::Boot(1));
    lending.set_workspaces(at(0), workspaces);
    let mut holder = holder::Holder::new("a".parse().expect("a valid name"), number::Boot(7));
    let lenders = workspaces.iter().cloned();
    let lenders: BTreeMap<_, _> = lenders.map(|name| (name, lender_name())).collect();
    holder.set_lenders(at(0), &lenders);
    let patience = holder::MaxWait::uniform(duration::Span::from_millis(1_000));
    let names = workspaces.iter().cloned();
    let mut admitted: BTreeMap<_, usize> = names.map(|name| (name, 0)).collect();
    let mut tickets: BTreeMap<u64, id::Workspace> = BTreeMap::new();
    for millis in (0..END).step_by(5) {
        let now = at(millis);
        if lending.next_renewal_at() <= now {
            let renewal = lending.begin_renewal(now);
            let answer = granter.renew(now, &renewal).expect("in order");
            lending.apply_grants(now, &answer.granted);
        }
        if millis % PERIOD == 0 {
            for workspace in workspaces.iter().cloned() {
                match holder.admit(now, &workspace, token::Count(COST), patience) {
                    holder::Admission::Admitted(_) => *admitted.entry(workspace).or_default() += 1,
                    holder::Admission::Queued(ticket) => drop(tickets.insert(ticket, workspace)),
                }
            }
        }
        for (to, question) in holder.due_loan_requests(now) {
            let answer = lending.answer(now, &question).expect("in order");
            holder.apply_loans(now, &to, &answer);
        }
        if holder.next_renewal_at() <= now {
            let renewal = holder.begin_renewal(now);
            let answer = granter.renew(now, &renewal).expect("in order");
            holder.apply_grants(now, &answer.granted);
        }
        for (ticket, decision) in holder.poll(now) {
            if let (Some(workspace), holder::Decision::Admitted(_)) =
                (tickets.remove(&ticket), decision)
            {
                *admitted.entry(workspace).or_default() += 1;
            }
        }
    }
    admitted
}

/// Workspaces of which less than nearly all requests were admitted.
fn starved(count: usize) -> Vec<(id::Workspace, usize)> {
    let each = usize::try_from(END / PERIOD).expect("it is small");
    let admitted = admitted(&named(count)).into_iter();
    admitted
        .filter(|(_, admitted)| admitted * 20 < each * 19)
        .collect()
}

// The load can be served.
#[test]
fn workspaces_of_one_question_are_served() {
    assert_eq!(starved(16), []);
}

// Workspaces that come last by name would get nothing while sixteen before them are in use.
#[test]
fn no_workspace_starves_beside_others_of_the_same_lender() {
    assert_eq!(starved(20), []);
}
