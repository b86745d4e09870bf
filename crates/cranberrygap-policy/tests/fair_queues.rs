//! Order in which workspaces are served.

use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::fairness::{Queue, Reason, Request};

fn at(millis: u64) -> duration::Instant {
    duration::Instant(millis * 1_000)
}

fn workspace(name: &str) -> id::Workspace {
    name.parse().expect("a valid name")
}

fn request(ticket: u64, name: &str) -> Request {
    Request {
        ticket,
        workspace: workspace(name),
        weight: 1.0,
        cost: token::Count(100),
        deadline: at(60_000),
    }
}

fn pop_workspaces(queue: &mut Queue, count: usize) -> Vec<String> {
    let popped = (0..count).filter_map(|_| queue.pop(at(0)));
    popped
        .map(|request| request.workspace.to_string())
        .collect()
}

// One workspace sends ten times its share. Served in order of arrival, the others would wait
// behind all of it.
#[test]
fn flood_of_one_workspace_does_not_delay_others() {
    let mut queue = Queue::new(100);
    for ticket in 0..20 {
        queue.push(at(0), request(ticket, "flood"));
    }
    queue.push(at(0), request(20, "quiet"));
    queue.push(at(0), request(21, "quiet"));

    let order = pop_workspaces(&mut queue, 4);

    let quiet = order.iter().filter(|name| *name == "quiet").count();
    assert_eq!(quiet, 2, "{order:?}");
}

#[test]
fn weight_doubles_the_service() {
    let mut queue = Queue::new(100);
    for ticket in 0..30 {
        let weight = if ticket % 2 == 0 { 2.0 } else { 1.0 };
        let name = if ticket % 2 == 0 { "double" } else { "single" };
        let request = Request {
            weight,
            ..request(ticket, name)
        };
        queue.push(at(0), request);
    }

    let order = pop_workspaces(&mut queue, 12);

    let double = order.iter().filter(|name| *name == "double").count();
    assert!((7..=9).contains(&double), "{order:?}");
}

// A workspace that was idle for long would be the only one served until its counter had
// caught up.
#[test]
fn idle_workspace_gains_no_credit() {
    let mut queue = Queue::new(100);
    for ticket in 0..20 {
        queue.push(at(0), request(ticket, "steady"));
    }
    pop_workspaces(&mut queue, 10);
    for ticket in 20..40 {
        queue.push(at(0), request(ticket, "idle"));
    }

    let order = pop_workspaces(&mut queue, 10);

    let idle = order.iter().filter(|name| *name == "idle").count();
    assert!((4..=6).contains(&idle), "{order:?}");
}

// A workspace that fills the queue must not keep the others out of it.
#[test]
fn full_queue_evicts_from_the_workspace_with_most_requests() {
    let mut queue = Queue::new(4);
    for ticket in 0..4 {
        assert_eq!(queue.push(at(0), request(ticket, "flood")), None);
    }

    let evicted = queue
        .push(at(0), request(4, "quiet"))
        .expect("one is refused");
    let refused = queue
        .push(at(0), request(5, "flood"))
        .expect("one is refused");

    assert_eq!((evicted.ticket, evicted.reason), (3, Reason::Full));
    assert_eq!((refused.ticket, refused.reason), (5, Reason::Full));
    assert_eq!(queue.len(), 4);
}

// Forty requests per second are served and a hundred wait. A request with a deadline of one
// second must be refused at once, with the time after which to retry.
#[test]
fn request_with_unreachable_deadline_is_refused_at_once() {
    let mut queue = Queue::new(1_000);
    for ticket in 0..200 {
        queue.push(at(0), request(ticket, "a"));
    }
    for turn in 0..100 {
        queue.pop(at(turn * 25));
    }

    let urgent = Request {
        deadline: at(3_500),
        ..request(500, "a")
    };
    let refused = queue.push(at(2_500), urgent).expect("it is refused");

    assert_eq!(
        (refused.ticket, refused.reason),
        (500, Reason::DeadlineUnreachable)
    );
    assert!(
        refused.retry_after > duration::Span::from_secs(1),
        "{refused:?}"
    );
}

#[test]
fn expired_request_is_removed() {
    let mut queue = Queue::new(10);
    queue.push(
        at(0),
        Request {
            deadline: at(10),
            ..request(1, "a")
        },
    );
    queue.push(at(0), request(2, "a"));

    let expired = queue.expire(at(10));

    assert_eq!(expired.len(), 1);
    assert_eq!(
        (expired[0].ticket, expired[0].reason),
        (1, Reason::DeadlinePassed)
    );
    assert_eq!(queue.len(), 1);
}

#[test]
fn refund_lowers_the_charge() {
    let mut queue = Queue::new(10);
    queue.push(at(0), request(1, "a"));
    let first = queue.pop(at(0)).expect("one waits");
    queue.correct_charge(&first, token::Count(10));

    let charged = queue.dump().counters[&workspace("a")];

    assert_eq!(charged, 10_000);
}
