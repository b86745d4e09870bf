//! Prompts paced over the pause that streams allow, at a modelled engine.

use std::collections::VecDeque;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{backlog, latency, selection, window};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A step without prompts.
const STEP: duration::Span = duration::Span::from_millis(8);

/// Prompt tokens that one step may read.
const PIECE: u64 = 4_096;

/// Tokens of a stream in one event, and so steps between two events.
const EVENT: usize = 3;

/// Reading that may be sent within the window: 0.9 of a pause of 300 ms.
const ROOM: duration::Span = duration::Span::from_millis(270);

/// Prompt tokens that the modelled engine reads in a millisecond.
const READ_A_MILLI: u64 = 20;

const fn reading(tokens: u64) -> duration::Span {
    duration::Span(tokens * 1_000 / READ_A_MILLI)
}

const fn millis(count: u64) -> duration::Instant {
    duration::Instant(count * 1_000)
}

fn endpoint(name: &str) -> id::Endpoint {
    name.parse().expect("a name")
}

/// Prompts by the time at which they reach the entries: many small, few large ones.
fn arrivals(seed: u64) -> Vec<(duration::Instant, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = duration::Instant(0);
    let mut prompts = Vec::new();
    for _prompt in 0..600 {
        at = at.after(duration::Span::from_millis(rng.random_range(20..220)));
        let large = rng.random_range(0..5) == 0;
        let range = if large { 2_500..4_000 } else { 200..1_600 };
        prompts.push((at, rng.random_range(range)));
    }
    prompts
}

/// Times at which the prompts are sent when each waits for room in the window.
fn paced(prompts: &[(duration::Instant, u64)]) -> Vec<(duration::Instant, u64)> {
    let mut window = window::Window::default();
    let mut now = duration::Instant(0);
    let mut sent = Vec::new();
    for (arrived, fresh) in prompts {
        now = now.max(*arrived);
        let takes = reading(*fresh);
        while window.prefill_time(now).0 > 0 && window.prefill_time(now).0 + takes.0 > ROOM.0 {
            now = now.after(duration::Span::from_millis(5));
        }
        window.record(now, u32::try_from(takes.0).expect("a small number"));
        sent.push((now, *fresh));
    }
    sent
}

/// Longest time between two events of a stream that runs at an engine all along.
fn longest_pause(sent: &[(duration::Instant, u64)]) -> duration::Span {
    let mut due: VecDeque<_> = sent.iter().copied().collect();
    let mut now = duration::Instant(0);
    let mut unread = 0;
    let mut steps = VecDeque::new();
    let mut longest = duration::Span(0);
    while !due.is_empty() || unread > 0 {
        while let Some((_, fresh)) = due.pop_front_if(|(at, _)| *at <= now) {
            unread += fresh;
        }
        let piece = unread.min(PIECE);
        unread -= piece;
        now = now.after(STEP).after(reading(piece));
        steps.push_back(now);
        if steps.len() > EVENT {
            let before = steps.pop_front().expect("a step");
            longest = longest.max(now.since(before));
        }
    }
    longest
}

// Prompts of several entries reach one engine within the same event of its streams.
// Each finds a small backlog, so each is sent at once, and all streams there pause for
// longer than their callers allow.
#[test]
fn paced_prompts_do_not_make_streams_pause() {
    let allowed = duration::Span::from_millis(300);
    for seed in 0..20 {
        let prompts = arrivals(seed);

        let at_once = longest_pause(&prompts);
        let with_room = longest_pause(&paced(&prompts));

        assert!(at_once > allowed, "seed {seed}: {at_once}");
        assert!(with_room <= allowed, "seed {seed}: {with_room}");
    }
}

// The engine is busy for somewhat more than half of the time. Pacing must not make
// callers wait for nothing: a first event may come 800 ms after its request.
#[test]
fn pacing_delays_prompts_by_a_fraction_of_the_window() {
    let prompts = arrivals(7);

    let sent = paced(&prompts);

    let delays = sent.iter().zip(&prompts);
    let total: u64 = delays
        .map(|((sent, _), (arrived, _))| sent.since(*arrived).0)
        .sum();
    let mean = duration::Span(total / prompts.len() as u64);
    assert!(mean < duration::Span(window::LENGTH.0 / 2), "{mean}");
}

#[test]
fn window_forgets_what_is_older_than_its_span() {
    let mut window = window::Window::default();
    window.record(millis(0), 1_000);
    window.record(millis(200), 500);

    let sums = [299, 300, 500].map(|at| window.prefill_time(millis(at)).0);

    assert_eq!(sums, [1_500, 500, 0]);
}

// A prompt that is larger than the room alone would wait for ever if it had to fit.
#[test]
fn prompt_larger_than_the_room_goes_to_an_engine_that_got_nothing() {
    let name = endpoint("idle");
    let wanted = selection::Request {
        rank: 1,
        prompt_tokens: 9_000,
        shared_tokens: 0,
        prefill_budget: ROOM,
        large_prompt_grace: duration::Span(0),
        latency: latency::Estimate::default(),
        slots: 64,
        remote_penalty: duration::Span(0),
        adapter_penalty: duration::Span(0),
    };
    let candidate = |recent| selection::Candidate {
        endpoint: &name,
        backlog: backlog::Backlog::default(),
        recent_prefill: duration::Span::from_millis(recent),
        cached_tokens: 0,
        has_affinity: false,
        same_domain: true,
        has_adapter: true,
        failure_rate: 0.0,
    };

    let fits = [0, 15].map(|recent| {
        let choice = selection::choose(&wanted, [candidate(recent)].into_iter());
        choice.expect("a choice").fits(&wanted)
    });

    assert_eq!(fits, [true, false]);
}

// The annex of a tender has seven thousand tokens, most of what may be sent within one
// pause. With others sending all the time one never saw it fit, and a third of the
// largest tenth was served where three in four of all were. Its grace grows while it
// waits, up to a whole pause; a small prompt gets none, since a little room comes often.
#[test]
fn large_prompt_that_has_waited_goes_beside_a_full_room() {
    let name = endpoint("busy");
    let candidate = selection::Candidate {
        endpoint: &name,
        backlog: backlog::Backlog::default(),
        recent_prefill: duration::Span::from_millis(200),
        cached_tokens: 0,
        has_affinity: false,
        same_domain: true,
        has_adapter: true,
        failure_rate: 0.0,
    };
    let wanted = |prompt, grace| selection::Request {
        rank: 0,
        prompt_tokens: prompt,
        shared_tokens: 0,
        prefill_budget: ROOM,
        large_prompt_grace: duration::Span::from_millis(grace),
        latency: latency::Estimate::default(),
        slots: 32,
        remote_penalty: duration::Span(0),
        adapter_penalty: duration::Span(0),
    };

    // At 50 us a token the large prompt takes 250 ms, the small one 60 ms.
    let fits = [(5_000, 0), (5_000, 200), (1_200, 200)].map(|(prompt, grace)| {
        let wanted = wanted(prompt, grace);
        let choice = selection::choose(&wanted, [candidate].into_iter());
        choice.expect("a choice").fits(&wanted)
    });
    let beside_a_little_less = selection::Request {
        prefill_budget: duration::Span::from_millis(250),
        ..wanted(1_200, 200)
    };

    assert_eq!(fits, [false, true, true]);
    assert!(!beside_a_little_less.fits(candidate.recent_prefill, duration::Span::from_millis(60)));
}
