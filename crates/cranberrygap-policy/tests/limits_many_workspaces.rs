//! A lender of more workspaces than fit into one loan request.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder, lending};

const BURST: u64 = 100_000;
const COST: u64 = 2_000;
const END_MILLIS: u64 = 5_000;
const REQUEST_INTERVAL_MILLIS: u64 = 250;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn lender_name() -> id::Instance {
    "lender".parse().expect("a valid name")
}

fn workspaces_named(count: usize) -> Vec<id::Workspace> {
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

/// Returns the number of admitted requests of each workspace.
///
/// Each caller sends one request after the other, and all links and processes are sound.
fn count_admitted(workspaces: &[id::Workspace]) -> BTreeMap<id::Workspace, usize> {
    let mut granter = leader(workspaces);
    let mut lender = lending::Lender::new(lender_name(), number::Boot(1));
    lender.set_workspaces(at(0), workspaces);
    let mut holder = holder::Holder::new("a".parse().expect("a valid name"), number::Boot(7));
    let lenders = workspaces.iter().cloned();
    let lenders: BTreeMap<_, _> = lenders.map(|name| (name, lender_name())).collect();
    holder.set_lenders(at(0), &lenders);
    let max_wait = holder::MaxWait::uniform(duration::Span::from_millis(1_000));
    let names = workspaces.iter().cloned();
    let mut admitted: BTreeMap<_, usize> = names.map(|name| (name, 0)).collect();
    let mut tickets: BTreeMap<u64, id::Workspace> = BTreeMap::new();
    for millis in (0..END_MILLIS).step_by(5) {
        let now = at(millis);
        if lender.next_renewal_at() <= now {
            let renewal = lender.begin_renewal(now);
            let answer = granter.renew(now, &renewal).expect("in order");
            lender.apply_grants(now, &answer.granted);
        }
        if millis % REQUEST_INTERVAL_MILLIS == 0 {
            for workspace in workspaces.iter().cloned() {
                match holder.admit(now, &workspace, token::Count(COST), max_wait) {
                    holder::Admission::Admitted(_) => *admitted.entry(workspace).or_default() += 1,
                    holder::Admission::Queued(ticket) => drop(tickets.insert(ticket, workspace)),
                }
            }
        }
        for (to, loan_request) in holder.due_loan_requests(now) {
            let answer = lender
                .answer_loan_request(now, &loan_request)
                .expect("in order");
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

/// Returns the workspaces of which less than 95% of all requests were admitted.
fn starved_workspaces(count: usize) -> Vec<(id::Workspace, usize)> {
    let requests = usize::try_from(END_MILLIS / REQUEST_INTERVAL_MILLIS).expect("it is small");
    let admitted = count_admitted(&workspaces_named(count)).into_iter();
    admitted
        .filter(|(_, admitted)| admitted * 20 < requests * 19)
        .collect()
}

// The load can be served.
#[test]
fn workspaces_of_one_loan_request_are_served() {
    assert_eq!(starved_workspaces(16), []);
}

// Workspaces that come last by name would get nothing while sixteen before them are in use.
#[test]
fn no_workspace_starves_beside_others_of_the_same_lender() {
    assert_eq!(starved_workspaces(20), []);
}
