//! Tokens that one entry lends to the others under the leader's lease.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number, token};
use cranberrygap_policy::limits::{self, assignment, granter, holder, lending};

const BURST: u64 = 100_000;

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn name(text: &str) -> id::Instance {
    text.parse().expect("a valid name")
}

fn workspace() -> id::Workspace {
    "rink".parse().expect("a valid name")
}

fn leader() -> granter::Granter {
    let mut granter = granter::Granter::new(at(0), number::Term(1), &BTreeMap::new(), &[]);
    let limit = limits::Limit {
        rate: token::Rate(100_000.0),
        burst: token::Count(BURST),
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

fn entry(text: &str) -> holder::Holder {
    let mut holder = holder::Holder::new(name(text), number::Boot(7));
    let lenders = BTreeMap::from([(workspace(), name("lender"))]);
    holder.set_lenders(at(0), &lenders);
    holder
}

fn renew(lending: &mut lending::Lender, granter: &mut granter::Granter, now: duration::Instant) {
    let renewal = lending.begin_renewal(now);
    let answer = granter
        .renew(now, &renewal)
        .expect("renewals come in order");
    assert!(lending.apply_grants(now, &answer.granted));
}

fn request(holder: &mut holder::Holder, now: duration::Instant, cost: u64) -> bool {
    let patience = holder::MaxWait::uniform(duration::Span::from_millis(500));
    let verdict = holder.admit(now, &workspace(), token::Count(cost), patience);
    matches!(verdict, holder::Admission::Admitted(_))
}

/// A request whose tokens are not there.
fn ask(holder: &mut holder::Holder, now: duration::Instant, cost: u64) {
    assert!(!request(holder, now, cost));
}

/// Sends all questions that are due; gives how many requests were admitted then.
fn borrow(
    holder: &mut holder::Holder,
    lending: &mut lending::Lender,
    now: duration::Instant,
) -> usize {
    for (to, question) in holder.due_loan_requests(now) {
        assert_eq!(to, name("lender"));
        let answer = lending
            .answer(now, &question)
            .expect("questions come in order");
        holder.apply_loans(now, &to, &answer);
    }
    let decisions = holder.poll(now).into_iter();
    decisions
        .filter(|(_, decision)| matches!(decision, holder::Decision::Admitted(_)))
        .count()
}

// A request must get its tokens while the leader does not answer at all.
#[test]
fn request_is_admitted_while_the_leader_is_silent() {
    let (mut granter, mut lending, mut holder) = (leader(), lender(), entry("a"));
    renew(&mut lending, &mut granter, at(0));

    let mut admitted = 0;
    for millis in (100..2_000).step_by(100) {
        admitted += usize::from(request(&mut holder, at(millis), 2_000));
        admitted += borrow(&mut holder, &mut lending, at(millis));
    }

    assert_eq!(admitted, 19);
}

// A renewal must not ask the leader for what another entry lends.
#[test]
fn leader_is_not_asked_for_what_an_entry_lends() {
    let (mut granter, mut lending, mut holder) = (leader(), lender(), entry("a"));
    renew(&mut lending, &mut granter, at(0));
    let renewal = holder.begin_renewal(at(0));
    let answer = granter
        .renew(at(0), &renewal)
        .expect("renewals come in order");
    holder.apply_grants(at(0), &answer.granted);

    ask(&mut holder, at(100), 2_000);

    assert!(
        holder.next_renewal_at() > at(500),
        "due at {}",
        holder.next_renewal_at()
    );
    assert_eq!(holder.next_loan_request_at(), Some(at(0)));
}

// An idle entry must not take up the leader's time.
#[test]
fn entry_without_demand_renews_nothing() {
    let (mut granter, mut holder) = (leader(), entry("a"));
    let renewal = holder.begin_renewal(at(0));
    let answer = granter
        .renew(at(0), &renewal)
        .expect("renewals come in order");
    holder.apply_grants(at(0), &answer.granted);

    assert!(holder.next_renewal_at() > at(3_600_000));
}

// A share that was closed must not go on being renewed as if it were one.
#[test]
fn closed_share_is_not_renewed() {
    let (mut granter, mut holder) = (leader(), entry("a"));
    for millis in (0..3_000).step_by(50) {
        request(&mut holder, at(millis), 10);
        let renewal = holder.begin_renewal(at(millis));
        let answer = granter
            .renew(at(millis), &renewal)
            .expect("renewals come in order");
        holder.apply_grants(at(millis), &answer.granted);
    }
    let had_a_share = holder.dump()[0].cap.0 > 0;

    // Another entry lends, and the demand falls to requests too large for a share.
    let others: Vec<holder::Holder> = (0..60)
        .map(|number| entry(&format!("e-{number}")))
        .collect();
    let mut others = others;
    for millis in (3_000..9_000).step_by(500) {
        for other in others.iter_mut().chain([&mut holder]) {
            request(other, at(millis), 3_000);
            let renewal = other.begin_renewal(at(millis));
            let answer = granter
                .renew(at(millis), &renewal)
                .expect("renewals come in order");
            other.apply_grants(at(millis), &answer.granted);
            other.poll(at(millis));
        }
    }

    assert!(had_a_share);
    assert_eq!(holder.dump()[0].cap.0, 0);
    assert!(
        holder.next_renewal_at() >= at(8_500 + 1_000),
        "due at {}",
        holder.next_renewal_at()
    );
}

// An entry whose lease has run out must not lend: the leader may have given its tokens away.
#[test]
fn nothing_is_lent_beyond_the_lease() {
    let (mut granter, mut lending, mut holder) = (leader(), lender(), entry("a"));
    renew(&mut lending, &mut granter, at(0));

    ask(&mut holder, at(2_990), 2_000);
    let admitted = borrow(&mut holder, &mut lending, at(2_990));

    assert_eq!(admitted, 0);
}

// A loan that is made late in a lease must end with it.
#[test]
fn loan_ends_with_the_lease_that_it_is_lent_from() {
    let (mut granter, mut lending, mut holder) = (leader(), lender(), entry("a"));
    renew(&mut lending, &mut granter, at(0));
    ask(&mut holder, at(2_700), 2_000);
    let question = holder.due_loan_requests(at(2_700)).remove(0).1;

    let answer = lending
        .answer(at(2_700), &question)
        .expect("it is the first");

    assert!(answer.grants[0].lent.0 >= 2_000);
    assert!(at(2_700).after(answer.lease) < at(3_000));
}

// A question that is sent again because its answer was lost must not be lent to twice.
#[test]
fn repeated_question_gets_the_same_tokens() {
    let (mut granter, mut lending, mut holder) = (leader(), lender(), entry("a"));
    renew(&mut lending, &mut granter, at(0));
    ask(&mut holder, at(100), 2_000);
    let first = holder.due_loan_requests(at(100)).remove(0).1;
    let again = holder.due_loan_requests(at(130)).remove(0).1;

    let one = lending.answer(at(101), &first).expect("it is the first");
    let before = lending.dump()[0].level;
    let other = lending.answer(at(131), &again).expect("it is the same");

    assert_eq!(first, again);
    assert_eq!(one, other);
    assert!(lending.dump()[0].level >= before);
}

// A lender that another one follows has loans out that may still be spent; the next one must
// not get their room before they have ended.
#[test]
fn successor_gets_no_room_of_loans_that_may_be_spent() {
    let (mut granter, mut lending, mut holder) = (leader(), lender(), entry("a"));
    renew(&mut lending, &mut granter, at(0));
    ask(&mut holder, at(100), 60_000);
    borrow(&mut holder, &mut lending, at(100));
    let mut next = lending::Lender::new(name("next"), number::Boot(2));
    next.set_workspaces(at(110), &[workspace()]);
    granter.set_lender(&workspace(), Some(&name("next")));
    lending.set_workspaces(at(110), &[]);

    renew(&mut lending, &mut granter, at(120));
    renew(&mut lending, &mut granter, at(130));
    renew(&mut next, &mut granter, at(140));
    let held = next.dump()[0].cap.0;

    assert!(held <= BURST - 60_000, "{held}");
    renew(&mut lending, &mut granter, at(800));
    renew(&mut lending, &mut granter, at(810));
    renew(&mut next, &mut granter, at(820));
    assert_eq!(next.dump()[0].cap.0, BURST);
}

// A new leader that did not count what an entry may lend would give it out once more.
#[test]
fn new_leader_counts_what_an_entry_lends() {
    let (mut granter, mut lending) = (leader(), lender());
    let renewal = lending.begin_renewal(at(0));
    let answer = granter
        .renew(at(0), &renewal)
        .expect("renewals come in order");
    let limit = limits::Limit {
        rate: token::Rate(100_000.0),
        burst: token::Count(BURST),
    };
    let known = BTreeMap::from([(workspace(), limit)]);

    let successor = granter::Granter::new(at(500), number::Term(2), &known, &answer.allocations);

    let dump = &successor.dump()[0];
    assert_eq!(dump.cap.0, BURST);
    assert_eq!(dump.pool.0, 0);
    assert!(successor.is_lender(&workspace(), &name("lender")));
}

// A lender that does not answer must not keep requests from the leader.
#[test]
fn leader_is_asked_when_the_lender_is_silent() {
    let mut holder = entry("a");
    let idle = holder.begin_renewal(at(0));
    holder.fail_renewal(idle.sequence);
    ask(&mut holder, at(1_000), 2_000);

    for millis in 1_000..1_200 {
        holder.due_loan_requests(at(millis));
    }
    let renewal = holder.begin_renewal(at(1_200));

    assert_eq!(renewal.demands[0].first.0, 2_000);
}

// A restarted process must not wait for the lease of the one before it.
#[test]
fn restarted_lender_lends_again_before_the_old_lease_ends() {
    let (mut granter, mut lending) = (leader(), lender());
    renew(&mut lending, &mut granter, at(0));
    let mut restarted = lending::Lender::new(name("lender"), number::Boot(2));
    restarted.set_workspaces(at(300), &[workspace()]);

    granter.record_process_end(at(300), &name("lender"), number::Boot(1));
    granter.expire(at(1_000));
    renew(&mut restarted, &mut granter, at(1_000));

    assert_eq!(restarted.dump()[0].cap.0, BURST);
}

fn candidates(names: &[&str]) -> assignment::Candidates {
    names.iter().map(|text| (name(text), true)).collect()
}

// Lenders that changed with each change of the fleet would cost tokens each time.
#[test]
fn lender_stays_while_it_can_lend() {
    let chosen = BTreeMap::from([(workspace(), name("b"))]);
    let workspaces = [workspace()];

    let fit = candidates(&["a", "b", "c"]);
    let stays = assignment::changes(workspaces.iter(), &chosen, &fit, |_| false);
    let gone = assignment::changes(workspaces.iter(), &chosen, &candidates(&["a"]), |_| false);
    let lost = assignment::changes(workspaces.iter(), &chosen, &fit, |_| true);

    assert!(stays.is_empty());
    assert_eq!(gone[0].instance, Some(name("a")));
    assert!(lost[0].instance.is_some() && lost[0].instance != Some(name("b")));
}

// One entry that lends for most workspaces would be the next process that all wait for.
#[test]
fn workspaces_are_spread_over_entries() {
    let workspaces: Vec<id::Workspace> = (0..12)
        .map(|number| format!("rink-{number}").parse().expect("a valid name"))
        .collect();
    let fit = candidates(&["a", "b", "c", "d"]);

    let chosen = assignment::changes(workspaces.iter(), &BTreeMap::new(), &fit, |_| false);

    for instance in fit.keys() {
        let lent = chosen
            .iter()
            .filter(|lender| lender.instance.as_ref() == Some(instance));
        assert_eq!(lent.count(), 3);
    }
}
