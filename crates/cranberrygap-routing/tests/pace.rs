//! Speeds of engines, learned from what comes back.

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{backlog, latency};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An engine with these speeds, in microseconds.
#[derive(Debug, Clone, Copy)]
struct Speed {
    read: f64,
    step: f64,
}

const EVENT_TOKENS: f64 = 7.0;

/// Requests by which a pace should be known.
const REQUESTS: u32 = 40;

fn service() -> id::Service {
    "lm".parse().expect("a name")
}

fn model(text: &str) -> id::Model {
    text.parse().expect("a name")
}

fn span(micros: f64) -> duration::Span {
    duration::Span(1).scaled(micros)
}

/// One request: its prompt, two pauses and its end, each up to 30% longer than it would
/// be without the queues and other prompts that the entry does not see.
fn serve(paces: &mut latency::Estimator, name: &str, speed: Speed, rng: &mut ChaCha8Rng) {
    let (service, model) = (service(), model(name));
    let tokens = rng.random_range(600..3_000);
    let mut more = || rng.random_range(1.0..1.3);
    let event = speed.step * EVENT_TOKENS;
    let first = span((tokens as f64 * speed.read + event) * more());
    let nothing = duration::Span(0);
    paces.observe_first_event(&service, &model, nothing, tokens, first);
    for _pause in 0..2 {
        paces.observe_event_interval(&service, &model, span(event * more()));
    }
    paces.observe_answer(&service, &model, 300, span(300.0 * speed.step * more()));
}

fn learned(speed: Speed, number: u64) -> latency::Estimate {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut paces = latency::Estimator::default();
    for _request in 0..REQUESTS {
        serve(&mut paces, "m", speed, &mut rng);
    }
    paces.estimate(&service(), &model("m"))
}

fn is_near(known: duration::Span, true_micros: f64) -> bool {
    let ratio = known.0 as f64 / true_micros;
    (0.8..1.5).contains(&ratio)
}

// Engines of a new customer are twice as fast as those before, or a fifth of them. With
// the old figures one saw them refuse what they would have begun at once, or callers late
// all the time. Whoever sees forty answers knows what to expect, within a half.
#[test]
fn engines_of_any_speed_are_known_after_some_answers() {
    let speeds = [
        (50.0, 7_500.0),
        (26.0, 4_500.0),
        (6.0, 1_100.0),
        (250.0, 30_000.0),
    ];
    for (read, step) in speeds {
        for seed in 0..10 {
            let pace = learned(Speed { read, step }, seed);

            let reading = pace.prefill_time(10_000);
            assert!(is_near(reading, 10_000.0 * read), "{read}: {reading}");
            let event = pace.event_interval();
            assert!(is_near(event, step * EVENT_TOKENS), "{step}: {event}");
            let answer = pace.answer_time(300);
            assert!(is_near(answer, 300.0 * step), "{step}: {answer}");
        }
    }
}

// Another entry says late what waits at the engine: half a second of prompts that were
// read long ago. Taken at its word the engine looked ten times as fast as it is.
#[test]
fn long_queues_teach_nothing_of_reading() {
    let mut paces = latency::Estimator::default();
    let before = paces.estimate(&service(), &model("m")).prefill_time(1_000);

    for _request in 0..50 {
        let took = duration::Span::from_millis(60);
        let before = duration::Span::from_millis(500);
        paces.observe_first_event(&service(), &model("m"), before, 1_000, took);
    }

    assert_eq!(
        paces.estimate(&service(), &model("m")).prefill_time(1_000),
        before
    );
}

#[test]
fn fast_and_slow_models_of_one_service_are_told_apart() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut paces = latency::Estimator::default();
    let (slow, fast) = (
        Speed {
            read: 26.0,
            step: 4_500.0,
        },
        Speed {
            read: 6.0,
            step: 1_100.0,
        },
    );
    for _request in 0..REQUESTS {
        serve(&mut paces, "slow", slow, &mut rng);
        serve(&mut paces, "fast", fast, &mut rng);
    }

    let of = |name| paces.estimate(&service(), &model(name)).answer_time(300).0;

    assert!(of("slow") > of("fast") * 3, "{} {}", of("slow"), of("fast"));
}

// An engine hangs for ten seconds, or this instance does. What is known of the model must
// not change so that the next callers are refused.
#[test]
fn one_stall_changes_little() {
    let mut paces = latency::Estimator::default();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let speed = Speed {
        read: 26.0,
        step: 4_500.0,
    };
    for _request in 0..REQUESTS {
        serve(&mut paces, "m", speed, &mut rng);
    }
    let before = paces.estimate(&service(), &model("m"));

    let stall = duration::Span::from_secs(10);
    paces.observe_first_event(&service(), &model("m"), duration::Span(0), 1_000, stall);
    paces.observe_event_interval(&service(), &model("m"), stall);

    let after = paces.estimate(&service(), &model("m"));
    assert!(after.prefill_time(1_000).0 as f64 <= before.prefill_time(1_000).0 as f64 * 1.1);
    assert!(after.event_interval().0 as f64 <= before.event_interval().0 as f64 * 1.1);
}

// Seats of a batch fill before prompts do where answers are long. An engine whose places
// are all taken begins a request only when another ends.
#[test]
fn full_batch_delays_the_first_event() {
    let pace = learned(
        Speed {
            read: 26.0,
            step: 4_500.0,
        },
        1,
    );
    let running = |count| {
        let mut tally = backlog::Backlog::default();
        (0..count).for_each(|_| tally.add(1, 0));
        tally
    };

    let [free, full, crowded] =
        [31, 32, 48].map(|count| pace.time_to_first_event(&running(count), 1, 0, 32).0);

    assert!(full > free);
    assert!(crowded > full);
}
