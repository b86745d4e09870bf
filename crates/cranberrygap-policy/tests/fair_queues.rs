//! The order in which workspaces are served.

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

fn served(queue: &mut Queue, count: usize) -> Vec<String> {
    let popped = (0..count).filter_map(|_| queue.pop(at(0)));
    popped
        .map(|request| request.workspace.to_string())
        .collect()
}

// One rink sends ten times its share. Served in order of arrival, the others
// would wait behind all of it.
#[test]
fn flood_of_one_workspace_waits_behind_itself() {
    let mut queue = Queue::new(100);
    for ticket in 0..20 {
        queue.push(at(0), request(ticket, "flood"));
    }
    queue.push(at(0), request(20, "quiet"));
    queue.push(at(0), request(21, "quiet"));

    let order = served(&mut queue, 4);

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

    let order = served(&mut queue, 12);

    let double = order.iter().filter(|name| *name == "double").count();
    assert!((7..=9).contains(&double), "{order:?}");
}

// A workspace that rested for long would be served alone until it had caught up.
#[test]
fn rest_gives_no_credit() {
    let mut queue = Queue::new(100);
    for ticket in 0..20 {
        queue.push(at(0), request(ticket, "steady"));
    }
    served(&mut queue, 10);
    for ticket in 20..40 {
        queue.push(at(0), request(ticket, "rested"));
    }

    let order = served(&mut queue, 10);

    let rested = order.iter().filter(|name| *name == "rested").count();
    assert!((4..=6).contains(&rested), "{order:?}");
}

// A workspace that fills the queue must not keep the others out of it.
#[test]
fn full_queue_makes_room_for_whoever_has_least_in_it() {
    let mut queue = Queue::new(4);
    for ticket in 0..4 {
        assert_eq!(queue.push(at(0), request(ticket, "flood")), None);
    }

    let pushed_out = queue
        .push(at(0), request(4, "quiet"))
        .expect("one is refused");
    let refused = queue
        .push(at(0), request(5, "flood"))
        .expect("one is refused");

    assert_eq!((pushed_out.ticket, pushed_out.reason), (3, Reason::Full));
    assert_eq!((refused.ticket, refused.reason), (5, Reason::Full));
    assert_eq!(queue.len(), 4);
}

// Forty requests a second are served and a hundred wait. Whoever must be served
// within a second learns at once that it will not be, and when to come back.
#[test]
fn hopeless_request_is_refused_at_once() {
    let mut queue = Queue::new(1_000);
    for ticket in 0..200 {
        queue.push(at(0), request(ticket, "a"));
    }
    for turn in 0..100 {
        queue.pop(at(turn * 25));
    }

    let hurried = Request {
        deadline: at(3_500),
        ..request(500, "a")
    };
    let refused = queue.push(at(2_500), hurried).expect("it is refused");

    assert_eq!((refused.ticket, refused.reason), (500, Reason::Hopeless));
    assert!(
        refused.retry_after > duration::Span::from_secs(1),
        "{refused:?}"
    );
}

#[test]
fn late_request_is_taken_out() {
    let mut queue = Queue::new(10);
    queue.push(
        at(0),
        Request {
            deadline: at(10),
            ..request(1, "a")
        },
    );
    queue.push(at(0), request(2, "a"));

    let late = queue.expire(at(10));

    assert_eq!(late.len(), 1);
    assert_eq!((late[0].ticket, late[0].reason), (1, Reason::Late));
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
