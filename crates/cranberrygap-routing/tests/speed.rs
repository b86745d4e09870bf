//! Learned speeds of engines under uneven and changing speeds.

use std::net::SocketAddr;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{backlog, latency, selection, speed};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const PROMPT_TOKENS: u64 = 1_460;
const USUAL_PREFILL_MICROS: f64 = 50.0;
const MODEL: u32 = 7;

fn millis(at: u64) -> duration::Instant {
    duration::Instant(at * 1_000)
}

fn asker(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// A fleet of engines, each with the time at which it has read all prompts.
struct Fleet {
    names: Vec<id::Endpoint>,
    slowness: Vec<f64>,
    /// Prompts that each engine has not read: when it will have, and how long that was
    /// predicted to take.
    queued: Vec<Vec<(duration::Instant, u32)>>,
}

fn fleet() -> Fleet {
    let kinds = [1.0 / 0.6, 1.0, 1.0 / 1.6];
    let slowness: Vec<f64> = (0..9).map(|engine| kinds[engine % 3]).collect();
    let names = (0..9).map(|engine| format!("engine-{engine}").parse().expect("a name"));
    Fleet {
        names: names.collect(),
        queued: vec![Vec::new(); slowness.len()],
        slowness,
    }
}

impl Fleet {
    fn speed(&self, engine: usize) -> speed::Speed {
        speed::Speed {
            slowness: self.slowness[engine],
            spread: 1.0,
        }
    }

    /// Share of requests whose first event comes within 320 ms, with the speeds that
    /// `speed_of` names and what it learns by `learn`.
    fn on_time(
        &mut self,
        speed_of: impl Fn(&Self, &speed::known::Known, duration::Instant, usize) -> speed::Speed,
    ) -> f64 {
        const REQUESTS: u32 = 4_000;
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let mut book = speed::book::Book::default();
        let mut known = speed::known::Known::default();
        let (mut now, mut on_time) = (millis(0), 0);
        for _ in 0..REQUESTS {
            now = now.after(duration::Span(random.random_range(1_000..16_000)));
            let candidates = (0..self.names.len()).map(|engine| {
                let mut backlog = backlog::Backlog::default();
                let unread = self.queued[engine].iter().filter(|(at, _)| *at > now);
                backlog.add(1, unread.map(|(_, micros)| *micros).sum());
                selection::Candidate {
                    endpoint: &self.names[engine],
                    backlog,
                    recent_prefill: duration::Span(0),
                    cached_tokens: 0,
                    has_affinity: false,
                    same_domain: true,
                    has_adapter: true,
                    failure_rate: 0.0,
                    speed: Some(speed_of(self, &known, now, engine)),
                }
            });
            let choice = selection::choose(&request(), candidates).expect("a choice");
            let engine = self.names.iter().position(|name| *name == choice.endpoint);
            let engine = engine.expect("an engine");
            let micros = USUAL_PREFILL_MICROS * self.slowness[engine] * 1_460.0;
            let prefill = duration::Span(1).scaled(micros * random.random_range(0.8..1.25));
            let free_at = self.queued[engine].last().map_or(now, |(at, _)| *at);
            let done_at = free_at.max(now).after(prefill);
            self.queued[engine].retain(|(at, _)| *at > now);
            let predicted = u32::try_from(choice.prefill_time.0).unwrap_or(u32::MAX);
            self.queued[engine].push((done_at, predicted));
            let took = done_at.since(now);
            on_time += u32::from(took <= duration::Span::from_millis(320));
            let other = duration::Span(took.0 - prefill.0);
            let observation = speed::observe_prompt(PROMPT_TOKENS, other, took);
            let number = u32::try_from(engine).expect("a small number");
            book.observe(now, number, MODEL, observation.expect("a long prompt"));
            known.record(now, number, book.report(now, number).expect("a report"));
        }
        f64::from(on_time) / f64::from(REQUESTS)
    }
}

fn request() -> selection::Request {
    selection::Request {
        rank: 1,
        prompt_tokens: PROMPT_TOKENS,
        shared_tokens: 0,
        prefill_budget: duration::Span(u64::MAX),
        large_prompt_grace: duration::Span(0),
        latency: latency::Estimate::default(),
        slots: 0,
        remote_penalty: duration::Span(0),
        running_penalty: duration::Span(0),
        adapter_penalty: duration::Span(0),
    }
}

/// Tells a home of 4 prompts a second at an engine for `seconds`.
fn observe(book: &mut speed::book::Book, engine: u32, from: u64, seconds: u64, nanos: u32) {
    for step in 0..seconds * 4 {
        let now = millis(from + step * 250);
        book.observe(now, engine, MODEL, speed::Observation::Prefill(nanos));
    }
}

fn prefill_nanos(book: &speed::book::Book, now: duration::Instant, engine: u32) -> u32 {
    book.report(now, engine).expect("a report").models[0].prefill_nanos
}

// Engines of three speeds looked alike, and the slowest third made nearly all late streams.
#[test]
fn engines_of_three_speeds_serve_nearly_as_many_in_time_as_if_their_speeds_were_known() {
    let oracle = fleet().on_time(|fleet, _, _, engine| fleet.speed(engine));
    let learned = fleet().on_time(|_, known, now, engine| {
        let engine = u32::try_from(engine).expect("a small number");
        known.speed(now, engine, MODEL, &known.peers(MODEL))
    });
    let alike = fleet().on_time(|_, _, _, _| speed::Speed {
        slowness: 1.0,
        spread: 1.0,
    });

    assert!(oracle - learned <= 0.03, "{oracle} against {learned}");
    assert!(learned > alike, "{learned} against {alike}");
}

// An engine that turns slow kept its share of the requests until it recovered by itself.
#[test]
fn engine_that_turns_slow_is_seen_within_two_seconds() {
    let mut book = speed::book::Book::default();
    observe(&mut book, 1, 0, 10, 50_000);
    observe(&mut book, 1, 10_000, 2, 250_000);

    let nanos = prefill_nanos(&book, millis(12_000), 1);

    assert!(nanos > 150_000, "{nanos}");
}

// An engine that was slow would get nothing any more, and nothing would show that it is well.
#[test]
fn engine_without_requests_counts_more_and_more_like_its_peers() {
    let mut book = speed::book::Book::default();
    let mut known = speed::known::Known::default();
    for engine in 1..=5 {
        let nanos = if engine == 1 { 250_000 } else { 50_000 };
        observe(&mut book, engine, 0, 10, nanos);
        let report = book.report(millis(10_000), engine).expect("a report");
        known.record(millis(10_000), engine, report);
    }
    let peers = known.peers(MODEL);
    let slowness = |at| known.speed(millis(at), 1, MODEL, &peers).slowness;

    assert!(slowness(10_000) > 4.0, "{}", slowness(10_000));
    assert!(slowness(22_000) < 1.5, "{}", slowness(22_000));
}

// A restarted engine would be chosen by what its predecessor did.
#[test]
fn new_engine_begins_with_the_speed_of_its_peers() {
    let mut book = speed::book::Book::default();
    let mut known = speed::known::Known::default();
    for engine in 1..=3 {
        observe(&mut book, engine, 0, 10, 50_000);
        let report = book.report(millis(10_000), engine).expect("a report");
        known.record(millis(10_000), engine, report);
    }
    known.forget(2);

    let speed = known.speed(millis(10_000), 2, MODEL, &known.peers(MODEL));

    assert!((speed.slowness - 1.0).abs() < f64::EPSILON, "{speed:?}");
}

// Engines of one speed looked uneven by their load, and got requests by turns of luck.
#[test]
fn engines_that_hardly_differ_count_as_alike() {
    let mut book = speed::book::Book::default();
    let mut known = speed::known::Known::default();
    for (engine, nanos) in [(1, 45_000), (2, 50_000), (3, 60_000)] {
        observe(&mut book, engine, 0, 10, nanos);
        let report = book.report(millis(10_000), engine).expect("a report");
        known.record(millis(10_000), engine, report);
    }
    let peers = known.peers(MODEL);

    let slowness = [1, 2, 3].map(|engine| {
        let speed = known.speed(millis(10_000), engine, MODEL, &peers);
        format!("{:.2}", speed.slowness)
    });

    assert_eq!(slowness, ["1.00", "1.00", "1.00"]);
}

// One engine with a broken clock must not draw or repel the requests of the others.
#[test]
fn absurd_times_are_bounded_and_move_no_other_engine() {
    let mut book = speed::book::Book::default();
    observe(&mut book, 1, 0, 5, 50_000);
    observe(&mut book, 2, 0, 5, 50_000);

    let absurd = speed::Observation::Prefill(u32::MAX);
    let logged = [5_000, 5_100].map(|at| book.observe(millis(at), 1, MODEL, absurd));

    assert_eq!(logged, [true, false]);
    assert!(prefill_nanos(&book, millis(5_200), 1) < 60_000);
    assert_eq!(prefill_nanos(&book, millis(5_200), 2), 50_000);
}

// Every question about load would bring the same speeds again.
#[test]
fn asker_is_told_again_after_half_a_second() {
    let mut book = speed::book::Book::default();
    observe(&mut book, 1, 0, 1, 50_000);

    let told = [(1_000, 1), (1_100, 1), (1_100, 2), (1_600, 1)]
        .map(|(at, number)| book.tell(millis(at), 1, asker(number)).is_some());

    assert_eq!(told, [true, false, true, true]);
}
