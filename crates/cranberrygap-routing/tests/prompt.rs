//! Selection of the engine by the time to the first event.

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{backlog, latency, prefix_cache, selection};

fn endpoint(name: &str) -> id::Endpoint {
    name.parse().expect("a name")
}

fn candidate(name: &id::Endpoint, backlog_tokens: u32) -> selection::Candidate<'_> {
    let mut backlog = backlog::Backlog::default();
    // A token takes 50 us to prefill.
    backlog.add(2, backlog_tokens * 50);
    selection::Candidate {
        endpoint: name,
        backlog,
        recent_prefill: duration::Span(0),
        cached_tokens: 0,
        has_affinity: false,
        same_domain: true,
        has_adapter: true,
        failure_rate: 0.0,
        speed: None,
    }
}

fn request(rank: usize) -> selection::Request {
    selection::Request {
        rank,
        prompt_tokens: 1_460,
        shared_tokens: 1_200,
        prefill_budget: duration::Span(u64::MAX),
        large_prompt_grace: duration::Span(0),
        latency: latency::Estimate::default(),
        slots: 64,
        remote_penalty: duration::Span::from_millis(200),
        running_penalty: duration::Span(0),
        adapter_penalty: duration::Span::from_millis(60),
    }
}

fn chosen<'name>(
    request: &selection::Request,
    candidates: impl IntoIterator<Item = selection::Candidate<'name>>,
) -> String {
    let choice = selection::choose(request, candidates.into_iter());
    choice.expect("a choice").endpoint.to_string()
}

fn parts(ids: &[u64]) -> Vec<prefix_cache::Part> {
    let part = |id: &u64| prefix_cache::Part {
        id: *id,
        tokens: 400,
    };
    ids.iter().map(part).collect()
}

#[test]
fn engine_with_the_smaller_backlog_is_chosen() {
    let (full, free) = (endpoint("full"), endpoint("free"));

    let name = chosen(
        &request(2),
        [candidate(&full, 9_000), candidate(&free, 500)],
    );

    assert_eq!(name, "free");
}

// Eight entries choose between the same engines without seeing each other's choices. The
// engine that has a prompt cached saves more than half of its prefill, so it is worth a
// short queue, but not a long one.
#[test]
fn cached_prompt_is_worth_a_short_queue_only() {
    let (cached, free) = (endpoint("keeper"), endpoint("free"));
    let with_cache = |backlog_tokens| selection::Candidate {
        cached_tokens: 1_200,
        ..candidate(&cached, backlog_tokens)
    };

    assert_eq!(
        chosen(&request(2), [with_cache(1_000), candidate(&free, 0)]),
        "keeper"
    );
    assert_eq!(
        chosen(&request(2), [with_cache(6_000), candidate(&free, 0)]),
        "free"
    );
}

#[test]
fn urgent_request_ignores_less_urgent_backlog() {
    let name = endpoint("one");
    let waiting = candidate(&name, 20_000);

    let estimate = latency::Estimate::default();
    let urgent = estimate.time_to_first_event(&waiting.backlog, 0, 500, 64);
    let usual = estimate.time_to_first_event(&waiting.backlog, 2, 500, 64);

    assert!(urgent < duration::Span::from_millis(100), "{urgent}");
    assert!(usual > duration::Span::from_millis(900), "{usual}");
}

#[test]
fn remote_engine_is_used_when_the_local_one_is_overloaded() {
    let (local, remote) = (endpoint("near"), endpoint("far"));
    let remote_engine = || selection::Candidate {
        same_domain: false,
        ..candidate(&remote, 0)
    };

    assert_eq!(
        chosen(&request(2), [candidate(&local, 2_000), remote_engine()]),
        "near"
    );
    assert_eq!(
        chosen(&request(2), [candidate(&local, 9_000), remote_engine()]),
        "far"
    );
}

// An engine answers health checks and fails two in five requests. Without a record of its
// answers it looks idle, since failed requests end at once, and it gets all of them.
#[test]
fn failing_engine_is_used_less_though_it_looks_idle() {
    let (bad, good) = (endpoint("bad"), endpoint("good"));
    let failing = selection::Candidate {
        failure_rate: 0.4,
        ..candidate(&bad, 0)
    };

    assert_eq!(
        chosen(&request(2), [failing, candidate(&good, 2_000)]),
        "good"
    );
}

#[test]
fn part_counts_as_cached_only_with_all_parts_before_it() {
    let now = duration::Instant(1);
    let mut tracker = prefix_cache::Tracker::default();
    tracker.record_sent(
        now,
        &prefix_cache::Chain::new("m", None, &parts(&[1, 2, 3])),
    );

    let same = prefix_cache::Chain::new("m", None, &parts(&[1, 2, 9]));
    let behind_other = prefix_cache::Chain::new("m", None, &parts(&[8, 2, 3]));
    let other_adapter = prefix_cache::Chain::new("m", Some("a1"), &parts(&[1, 2, 3]));

    assert_eq!(tracker.cached_tokens(now, &same), 800);
    assert_eq!(tracker.cached_tokens(now, &behind_other), 0);
    assert_eq!(tracker.cached_tokens(now, &other_adapter), 0);
}

#[test]
fn part_unused_for_long_does_not_count_as_cached() {
    let mut tracker = prefix_cache::Tracker::default();
    let chain = prefix_cache::Chain::new("m", None, &parts(&[1, 2]));
    tracker.record_sent(duration::Instant(0), &chain);

    let later = duration::Instant(0).after(duration::Span::from_secs(60));

    assert_eq!(tracker.cached_tokens(later, &chain), 0);
}

#[test]
fn requests_of_one_session_belong_to_one_engine() {
    let engines = ["e1", "e2", "e3", "e4"].map(endpoint);
    let home = |last: u64| {
        let chain = prefix_cache::Chain::new("m", None, &parts(&[1, 2, last]));
        let session = chain.session().expect("a session");
        let names = engines.iter();
        names
            .max_by_key(|name| prefix_cache::affinity(session, name))
            .cloned()
    };

    assert_eq!(home(10), home(11));
}

#[test]
fn backlog_is_empty_when_all_requests_have_ended() {
    let mut backlog = backlog::Backlog::default();
    backlog.add(1, 700);
    backlog.add(9, 300);
    assert_eq!(backlog.prefill_ahead(1).0, 700);
    assert_eq!(backlog.prefill_ahead(3).0, 1_000);

    backlog.finish_prefill(1, 700);
    backlog.finish_prefill(9, 300);
    backlog.finish_request();
    backlog.finish_request();

    assert!(backlog.is_empty());
}
