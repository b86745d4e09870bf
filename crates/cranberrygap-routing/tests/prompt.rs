//! The choice of the engine by the time to the first event.

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{backlog, latency, prefix_cache, selection};

fn endpoint(name: &str) -> id::Endpoint {
    name.parse().expect("a name")
}

fn candidate(name: &id::Endpoint, unread: u32) -> selection::Candidate<'_> {
    let mut tally = backlog::Backlog::default();
    // Where a token takes 50 us to read.
    tally.add(2, unread * 50);
    selection::Candidate {
        endpoint: name,
        backlog: tally,
        recent_prefill: duration::Span(0),
        cached_tokens: 0,
        has_affinity: false,
        same_domain: true,
        has_adapter: true,
        failure_rate: 0.0,
    }
}

fn wanted(rank: usize) -> selection::Request {
    selection::Request {
        rank,
        prompt_tokens: 1_460,
        shared_tokens: 1_200,
        prefill_budget: duration::Span(u64::MAX),
        large_prompt_grace: duration::Span(0),
        latency: latency::Estimate::default(),
        slots: 64,
        remote_penalty: duration::Span::from_millis(200),
        adapter_penalty: duration::Span::from_millis(60),
    }
}

fn chosen<'name>(
    wanted: &selection::Request,
    candidates: impl IntoIterator<Item = selection::Candidate<'name>>,
) -> String {
    let choice = selection::choose(wanted, candidates.into_iter());
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
fn engine_with_fewer_unread_tokens_goes_first() {
    let (full, free) = (endpoint("full"), endpoint("free"));

    let name = chosen(&wanted(2), [candidate(&full, 9_000), candidate(&free, 500)]);

    assert_eq!(name, "free");
}

// Eight entries choose between the same engines without seeing each other. The one
// that keeps a prompt saves more than half of its reading, so it is worth a short
// queue, but not a long one.
#[test]
fn kept_prompt_is_worth_a_short_queue_only() {
    let (keeper, free) = (endpoint("keeper"), endpoint("free"));
    let keeping = |unread| selection::Candidate {
        cached_tokens: 1_200,
        ..candidate(&keeper, unread)
    };

    assert_eq!(
        chosen(&wanted(2), [keeping(1_000), candidate(&free, 0)]),
        "keeper"
    );
    assert_eq!(
        chosen(&wanted(2), [keeping(6_000), candidate(&free, 0)]),
        "free"
    );
}

#[test]
fn urgent_request_does_not_count_what_is_read_after_it() {
    let name = endpoint("one");
    let waiting = candidate(&name, 20_000);

    let pace = latency::Estimate::default();
    let urgent = pace.time_to_first_event(&waiting.backlog, 0, 500, 64);
    let usual = pace.time_to_first_event(&waiting.backlog, 2, 500, 64);

    assert!(urgent < duration::Span::from_millis(100), "{urgent}");
    assert!(usual > duration::Span::from_millis(900), "{usual}");
}

#[test]
fn engine_in_another_failure_domain_takes_what_the_near_one_cannot() {
    let (near, far) = (endpoint("near"), endpoint("far"));
    let far_away = || selection::Candidate {
        same_domain: false,
        ..candidate(&far, 0)
    };

    assert_eq!(
        chosen(&wanted(2), [candidate(&near, 2_000), far_away()]),
        "near"
    );
    assert_eq!(
        chosen(&wanted(2), [candidate(&near, 9_000), far_away()]),
        "far"
    );
}

// An engine answers health checks and fails two in five requests. Without a memory of
// its answers it looks idle, since failed requests end at once, and gets all of them.
#[test]
fn failing_engine_is_used_less_though_it_looks_idle() {
    let (bad, good) = (endpoint("bad"), endpoint("good"));
    let failing = selection::Candidate {
        failure_rate: 0.4,
        ..candidate(&bad, 0)
    };

    assert_eq!(
        chosen(&wanted(2), [failing, candidate(&good, 2_000)]),
        "good"
    );
}

#[test]
fn part_is_kept_only_behind_all_parts_before_it() {
    let now = duration::Instant(1);
    let mut kept = prefix_cache::Tracker::default();
    kept.record_sent(
        now,
        &prefix_cache::Chain::new("m", None, &parts(&[1, 2, 3])),
    );

    let same = prefix_cache::Chain::new("m", None, &parts(&[1, 2, 9]));
    let behind_other = prefix_cache::Chain::new("m", None, &parts(&[8, 2, 3]));
    let other_adapter = prefix_cache::Chain::new("m", Some("a1"), &parts(&[1, 2, 3]));

    assert_eq!(kept.cached_tokens(now, &same), 800);
    assert_eq!(kept.cached_tokens(now, &behind_other), 0);
    assert_eq!(kept.cached_tokens(now, &other_adapter), 0);
}

#[test]
fn part_that_nobody_used_for_long_is_not_counted_on() {
    let mut kept = prefix_cache::Tracker::default();
    let chain = prefix_cache::Chain::new("m", None, &parts(&[1, 2]));
    kept.record_sent(duration::Instant(0), &chain);

    let later = duration::Instant(0).after(duration::Span::from_secs(60));

    assert_eq!(kept.cached_tokens(later, &chain), 0);
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
fn tally_is_empty_again_when_all_have_ended() {
    let mut tally = backlog::Backlog::default();
    tally.add(1, 700);
    tally.add(9, 300);
    assert_eq!(tally.prefill_ahead(1).0, 700);
    assert_eq!(tally.prefill_ahead(3).0, 1_000);

    tally.finish_prefill(1, 700);
    tally.finish_prefill(9, 300);
    tally.finish_request();
    tally.finish_request();

    assert!(tally.is_empty());
}
