//! Tokens of a new leader besides those that an entry still lends under its lease.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, granter, holder, lending};
use cranberrygap_state::share as state;
use cranberrygap_wire::share;

const RATE: u64 = 100_000;
const BURST: u64 = 100_000;
const COST: u64 = 500;

/// Time at which the second leader takes over, in milliseconds.
const TAKEOVER_MILLIS: u64 = 3_500;
const END_MILLIS: u64 = 5_500;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

fn workspace() -> id::Workspace {
    "rink".parse().unwrap()
}

fn limit() -> limits::Limit {
    limits::Limit {
        rate: token::Rate(RATE as f64),
        burst: token::Count(BURST),
    }
}

fn leader() -> granter::Granter {
    let mut granter = granter::Granter::new(at(0), number::Term(1), &BTreeMap::new(), &[]);
    granter.configure(at(0), &workspace(), limit(), granter::Origin::Added);
    granter.set_lender(&workspace(), Some(&name("lender")));
    granter
}

fn successor(logged: &state::Shares) -> granter::Granter {
    let limits_by_workspace = BTreeMap::from([(workspace(), limit())]);
    let logged: Vec<share::Allocation> = logged.iter().cloned().collect();
    granter::Granter::new(
        at(TAKEOVER_MILLIS),
        number::Term(2),
        &limits_by_workspace,
        &logged,
    )
}

fn entry(text: &str, boot: u64, lender: Option<&str>) -> holder::Holder {
    let mut holder = holder::Holder::new(name(text), number::Boot(boot));
    let lenders = lender.map(|lender| (workspace(), name(lender)));
    holder.set_lenders(at(0), &lenders.into_iter().collect());
    holder
}

/// Returns the leader's answer after logging its records.
fn answer(
    granter: &mut granter::Granter,
    log: &mut state::Shares,
    now: duration::Instant,
    renewal: &share::Renew,
) -> share::Granted {
    let answer = granter.renew(now, renewal).unwrap();
    log.apply(&state::Step {
        allocations: answer.allocations,
    });
    answer.granted
}

/// Requests more tokens than the rate allows and returns how many were admitted.
fn admitted(holder: &mut holder::Holder, now: duration::Instant) -> u64 {
    let max_wait = holder::MaxWait::uniform(duration::Span::from_millis(200));
    let mut tokens = 0;
    for _request in 0..2 {
        let verdict = holder.admit(now, &workspace(), token::Count(COST), max_wait);
        tokens += u64::from(matches!(verdict, holder::Admission::Admitted(_))) * COST;
    }
    let decided = holder.poll(now).into_iter();
    let late = decided
        .filter(|(_, decision)| matches!(decision, holder::Decision::Admitted(_)))
        .count() as u64;
    tokens + late * COST
}

// An entry that lends and has a share of its own loses contact with the control processes when a
// new leader takes over. Callers there get the tokens it holds until its lease ends, so the new
// leader must not grant the same tokens to others before.
#[test]
fn new_leader_grants_no_tokens_that_an_entry_may_lend() {
    let mut log = state::Shares::default();
    let mut first = leader();
    let mut lending = lending::Lender::new(name("lender"), number::Boot(1));
    lending.set_workspaces(at(0), &[workspace()]);
    let mut own = entry("lender", 1, Some("lender"));
    let mut other = entry("other", 2, None);
    let mut second = None;
    let mut spent = 0;
    for millis in (0..END_MILLIS).step_by(5) {
        let now = at(millis);
        let before_takeover = millis < TAKEOVER_MILLIS;
        if before_takeover {
            if lending.next_renewal_at() <= now {
                let renewal = lending.begin_renewal(now);
                let granted = answer(&mut first, &mut log, now, &renewal);
                lending.apply_grants(now, &granted);
            }
            if own.next_renewal_at() <= now {
                let renewal = own.begin_renewal(now);
                let granted = answer(&mut first, &mut log, now, &renewal);
                own.apply_grants(now, &granted);
            }
            // A light load creates the entry's own share but spends little of it.
            if millis % 100 == 0 {
                admitted(&mut own, now);
            }
        } else {
            let leader = second.get_or_insert_with(|| successor(&log));
            if other.next_renewal_at() <= now {
                let renewal = other.begin_renewal(now);
                let granted = answer(leader, &mut log, now, &renewal);
                other.apply_grants(now, &granted);
            }
            spent += admitted(&mut own, now) + admitted(&mut other, now);
        }
        for (_, question) in own.due_loan_requests(now) {
            let granted = lending.answer_loan_request(now, &question).unwrap();
            own.apply_loans(now, &name("lender"), &granted);
        }
    }

    let max_tokens = BURST + RATE * (END_MILLIS - TAKEOVER_MILLIS) / 1_000;
    assert!(spent <= max_tokens, "{spent} of {max_tokens}");
}
