//! Choice of the endpoint, corrected load, prefix index, waiting requests.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::str::FromStr;

use cranberrygap_model::{duration, id, number, size};
use cranberrygap_routing::{batch, load, pending, prefix, router};
use cranberrygap_wire::endpoint;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("a well-formed name")
}

fn millis(count: u64) -> duration::Instant {
    duration::Instant(count * 1_000)
}

fn report(endpoint: &str, running: u32, events: Vec<endpoint::CacheEvent>) -> endpoint::Report {
    let last = events.last().map(|event| match event {
        endpoint::CacheEvent::Stored { sequence, .. }
        | endpoint::CacheEvent::Removed { sequence, .. }
        | endpoint::CacheEvent::Cleared { sequence } => *sequence,
    });
    endpoint::Report {
        age: duration::Span(0),
        boot: number::Boot(1),
        cache_size: size::Bytes(0),
        cache_used: size::Bytes(0),
        endpoint: name(endpoint),
        events,
        phase: None,
        resident: Vec::new(),
        residency: number::Sequence(0),
        running,
        sequence: last.unwrap_or_default(),
        waiting: 0,
    }
}

fn stored(sequence: u64, block: u64) -> endpoint::CacheEvent {
    endpoint::CacheEvent::Stored {
        model: name("m"),
        block,
        sequence: number::Sequence(sequence),
    }
}

fn choose(
    router: &router::Router,
    prompt: &[u64],
    residency: &router::Residency<'_>,
) -> router::Choice {
    let model = name("m");
    let question = router::Request {
        model: &model,
        prompt_blocks: prompt,
        time_left: duration::Span::from_secs(10),
        fill: router::Fill::Spread(1.0),
        spill_fill: 0.5,
        preferred: &[],
    };
    router.choose(&mut SmallRng::seed_from_u64(1), &question, residency)
}

fn router() -> router::Router {
    router::Router::new(router::Settings::builder().build())
}

fn waiting(request: &str, workspace: &str, arrived: u64) -> pending::Request {
    pending::Request {
        request: name(request),
        model: name("m"),
        workspace: name(workspace),
        arrived: millis(arrived),
        deadline: millis(arrived + 5_000),
    }
}

// The endpoint that was idle at the last report gets all requests until the
// next one. Callers see their first tokens late there while others idle.
#[test]
fn lagging_reports_cause_no_herd() {
    let mut router = router();
    let endpoints = [name("a"), name("b")];
    router.apply_report(millis(0), &report("a", 2, Vec::new()));
    router.apply_report(millis(0), &report("b", 4, Vec::new()));
    let mut counts: BTreeMap<id::Endpoint, u32> = BTreeMap::new();

    for request in 1..=20 {
        let residency = router::Residency::Resident(&endpoints);
        if let router::Choice::Dispatch(endpoint) = choose(&router, &[], &residency) {
            router.record_sent(millis(request), &endpoint);
            *counts.entry(endpoint).or_default() += 1;
        }
    }

    assert_eq!(counts[&endpoints[0]], 11);
    assert_eq!(counts[&endpoints[1]], 9);
}

#[test]
fn load_counts_what_was_sent_since_the_report_was_taken() {
    let mut load = load::Estimate::default();
    load.record_sent(millis(10));
    load.record_sent(millis(90));

    load.apply_report(millis(100), duration::Span::from_millis(50), 7);

    assert_eq!(load.requests(), 8);
}

#[test]
fn full_endpoints_let_the_request_wait() {
    let mut router = router();
    router.apply_report(millis(0), &report("a", 16, Vec::new()));

    let choice = choose(&router, &[], &router::Residency::Resident(&[name("a")]));

    assert_eq!(choice, router::Choice::Wait);
}

#[test]
fn cached_prefix_draws_a_request() {
    let mut router = router();
    let endpoints = [name("a"), name("b")];
    router.apply_report(millis(0), &report("a", 1, vec![stored(1, 7), stored(2, 8)]));
    router.apply_report(millis(0), &report("b", 0, Vec::new()));

    let choice = choose(&router, &[7, 8], &router::Residency::Resident(&endpoints));

    assert_eq!(choice, router::Choice::Dispatch(name("a")));
}

// Cache events are lost. The evicted block would still draw requests to an
// endpoint that has to compute it again.
#[test]
fn gap_in_cache_events_empties_the_index() {
    let mut index = prefix::Index::default();
    index.observe(&report("a", 0, vec![stored(1, 7)]));
    let before = index.hit(&name("m"), &[7]);

    let lost = index.observe(&report("a", 0, vec![stored(3, 9)]));

    assert!(lost);
    assert_eq!((before, index.hit(&name("m"), &[7])), (1, 0));
    assert_eq!(index.hit(&name("m"), &[9]), 1);
}

#[test]
fn late_and_doubled_events_change_nothing() {
    let mut index = prefix::Index::default();
    index.observe(&report("a", 0, vec![stored(1, 7), stored(2, 8)]));
    let removed = endpoint::CacheEvent::Removed {
        model: name("m"),
        block: 7,
        sequence: number::Sequence(1),
    };

    let lost = index.observe(&report("a", 0, vec![removed]));

    assert!(!lost);
    assert_eq!(index.hit(&name("m"), &[7, 8]), 2);
}

// No load can end within the caller's deadline. Kept waiting, the caller would
// learn of it only at the deadline; refused at once it can go elsewhere.
#[test]
fn request_is_refused_at_once_when_no_load_can_help() {
    let router = router();
    let late = router::Residency::Expected(duration::Span::from_secs(60));
    let soon = router::Residency::Expected(duration::Span::from_secs(4));

    let refused = choose(&router, &[], &late);
    let waits = choose(&router, &[], &soon);

    let retry_after = duration::Span::from_secs(60);
    assert_eq!(refused, router::Choice::Refuse { retry_after });
    assert_eq!(waits, router::Choice::Wait);
}

#[test]
fn batch_limit_is_learned_from_the_time_between_tokens() {
    let mut batch = batch::Batch::new(duration::Span::from_millis(27));
    for round in 0..400_u32 {
        let size = f64::from(10 + round % 30);
        let micros = 8_000 + u64::from(10 + round % 30) * 500;
        batch.observe(size, duration::Span(micros));
    }

    let limit = batch.limit();

    // 8 ms and 0.5 ms for each request reach 94% of 27 ms at 34.8 requests.
    assert!((33..=36).contains(&limit), "{limit}");
}

#[test]
fn timely_requests_go_before_late_ones() {
    let mut queue = pending::Queue::new(duration::Span::from_millis(320));
    queue.push(waiting("late", "w", 0));
    queue.push(waiting("timely", "w", 400));

    let served = BTreeMap::new();
    let next = queue.next(millis(500), pending::Class::Timely, &served);
    assert_eq!(next.unwrap().request, name("timely"));

    let next = queue.next(millis(500), pending::Class::Late, &served);
    assert_eq!(next.unwrap().request, name("late"));
}

// One workspace sends several times its usual load. Served in order of arrival
// the others would wait behind all of it.
#[test]
fn least_served_workspace_goes_first() {
    let mut queue = pending::Queue::new(duration::Span::from_millis(320));
    queue.push(waiting("r1", "greedy", 0));
    queue.push(waiting("r2", "modest", 5));
    let served = BTreeMap::from([(name("greedy"), 900.0), (name("modest"), 20.0)]);

    let next = queue.next(millis(10), pending::Class::Timely, &served);

    assert_eq!(next.unwrap().request, name("r2"));
}

#[test]
fn expired_requests_come_out_at_once() {
    let mut queue = pending::Queue::new(duration::Span::from_millis(320));
    queue.push(waiting("r1", "w", 0));

    let expired = queue.expire(millis(5_000));

    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}
