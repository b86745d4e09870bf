//! Latency estimates of engines, learned from their answers.

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::{backlog, latency};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Speed of an engine, in microseconds per token.
#[derive(Debug, Clone, Copy)]
struct Speed {
    read: f64,
    step: f64,
}

const EVENT_TOKENS: f64 = 7.0;

/// Number of requests after which a latency estimate should be good.
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

/// One request: its prompt, two event intervals and its end, each up to 30% longer than
/// without the queues and prompts that the entry does not see.
fn serve(estimator: &mut latency::Estimator, name: &str, speed: Speed, rng: &mut ChaCha8Rng) {
    let (service, model) = (service(), model(name));
    let tokens = rng.random_range(600..3_000);
    let mut factor = || rng.random_range(1.0..1.3);
    let event = speed.step * EVENT_TOKENS;
    let first = span((tokens as f64 * speed.read + event) * factor());
    let no_backlog = duration::Span(0);
    estimator.observe_first_event(&service, &model, no_backlog, tokens, first);
    for _pause in 0..2 {
        estimator.observe_event_interval(&service, &model, span(event * factor()));
    }
    estimator.observe_answer(&service, &model, 300, span(300.0 * speed.step * factor()));
}

fn learned(speed: Speed, number: u64) -> latency::Estimate {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut estimator = latency::Estimator::default();
    for _request in 0..REQUESTS {
        serve(&mut estimator, "m", speed, &mut rng);
    }
    estimator.estimate(&service(), &model("m"))
}

fn is_near(estimated: duration::Span, true_micros: f64) -> bool {
    let ratio = estimated.0 as f64 / true_micros;
    (0.8..1.5).contains(&ratio)
}

// Engines of a new customer are twice as fast as the initial estimate, or a fifth as
// fast. With fixed figures an entry would refuse requests that they would begin at once,
// or all callers would be late. After forty answers the estimate is within a half.
#[test]
fn estimates_converge_for_engines_of_any_speed() {
    let speeds = [
        (50.0, 7_500.0),
        (26.0, 4_500.0),
        (6.0, 1_100.0),
        (250.0, 30_000.0),
    ];
    for (read, step) in speeds {
        for seed in 0..10 {
            let estimate = learned(Speed { read, step }, seed);

            let prefill = estimate.prefill_time(10_000);
            assert!(is_near(prefill, 10_000.0 * read), "{read}: {prefill}");
            let event = estimate.event_interval();
            assert!(is_near(event, step * EVENT_TOKENS), "{step}: {event}");
            let answer = estimate.answer_time(300);
            assert!(is_near(answer, 300.0 * step), "{step}: {answer}");
        }
    }
}

// Another entry publishes late what waits at the engine: half a second of prompts that
// were prefilled long ago. If it counted, the engine would look ten times as fast as it
// is.
#[test]
fn long_backlogs_do_not_update_the_prefill_estimate() {
    let mut estimator = latency::Estimator::default();
    let before = estimator
        .estimate(&service(), &model("m"))
        .prefill_time(1_000);

    for _request in 0..50 {
        let took = duration::Span::from_millis(60);
        let before = duration::Span::from_millis(500);
        estimator.observe_first_event(&service(), &model("m"), before, 1_000, took);
    }

    assert_eq!(
        estimator
            .estimate(&service(), &model("m"))
            .prefill_time(1_000),
        before
    );
}

#[test]
fn fast_and_slow_models_of_one_service_have_separate_estimates() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut estimator = latency::Estimator::default();
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
        serve(&mut estimator, "slow", slow, &mut rng);
        serve(&mut estimator, "fast", fast, &mut rng);
    }

    let answer_time = |name| {
        estimator
            .estimate(&service(), &model(name))
            .answer_time(300)
            .0
    };

    assert!(
        answer_time("slow") > answer_time("fast") * 3,
        "{} {}",
        answer_time("slow"),
        answer_time("fast")
    );
}

// An engine hangs for ten seconds, or this instance does. The estimates of its model must
// not change so much that the next callers are refused.
#[test]
fn one_stall_changes_little() {
    let mut estimator = latency::Estimator::default();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let speed = Speed {
        read: 26.0,
        step: 4_500.0,
    };
    for _request in 0..REQUESTS {
        serve(&mut estimator, "m", speed, &mut rng);
    }
    let before = estimator.estimate(&service(), &model("m"));

    let stall = duration::Span::from_secs(10);
    estimator.observe_first_event(&service(), &model("m"), duration::Span(0), 1_000, stall);
    estimator.observe_event_interval(&service(), &model("m"), stall);

    let after = estimator.estimate(&service(), &model("m"));
    assert!(after.prefill_time(1_000).0 as f64 <= before.prefill_time(1_000).0 as f64 * 1.1);
    assert!(after.event_interval().0 as f64 <= before.event_interval().0 as f64 * 1.1);
}

// Where answers are long, the slots of a batch fill before the prefill backlog does. An
// engine whose slots are all taken begins a request only when another ends.
#[test]
fn full_batch_delays_the_first_event() {
    let estimate = learned(
        Speed {
            read: 26.0,
            step: 4_500.0,
        },
        1,
    );
    let running = |count| {
        let mut backlog = backlog::Backlog::default();
        (0..count).for_each(|_| backlog.add(1, 0));
        backlog
    };

    let [free, full, crowded] =
        [31, 32, 48].map(|count| estimate.time_to_first_event(&running(count), 1, 0, 32).0);

    assert!(full > free);
    assert!(crowded > full);
}
