//! What an entry adds: the same load straight at an engine and through an entry.

use std::time::Duration;

use clap::Parser;
use cranberrygap::daemon::log;
use cranberrygap::local;
use cranberrygap_wire::settings;
use eyre::WrapErr as _;
use serde_json::{Value, json};
use tokio::runtime::{self, Runtime};

use crate::measure::{self, load, processor};

/// Name of the threads that carry the entry; the system cuts it at 15 bytes.
const ENTRY: &str = "path-entry";
const CONTROL: &str = "path-control";
const ENDPOINTS: &str = "path-endpoints";
const LOAD: &str = "path-load";

/// Requests before the first round, so that connections and caches are warm.
const WARM_UP: Duration = Duration::from_millis(500);

/// Added time to the first token, requests a second per core, streamed tokens.
#[derive(Debug, Parser)]
#[command(name = "path")]
struct Arguments {
    /// Requests a second.
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// Seconds of load in each round, once straight and once through the entry.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Rounds; straight and through take turns, so that both meet the same machine.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 53)]
    tokens: u64,
    /// Milliseconds of a token.
    #[arg(long, default_value_t = 20)]
    token_millis: u64,
    /// Requests in flight at most; further ones are dropped and counted.
    #[arg(long, default_value_t = 4000)]
    most: u32,
    /// Threads of the entry.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Measures what an entry adds to a request.
#[derive(Debug)]
pub struct Path;

impl measure::Measurement for Path {
    fn name(&self) -> &'static str {
        "path"
    }

    fn description(&self) -> &'static str {
        "the same streamed load straight at an engine and through an entry"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<Value> {
        let arguments: Arguments = measure::arguments(self.name(), arguments)?;
        // Standard output carries the result only.
        log::install(&settings::Log {
            level: settings::LogLevel::Error,
            ..settings::Log::default()
        })?;
        let stage = Stage::new(&arguments)?;
        let sides = stage.load.block_on(measure_both(&arguments, &stage))?;
        Ok(report(&arguments, &sides))
    }
}

/// Runtimes by kind of process.
struct Stage {
    entry: Runtime,
    control: Runtime,
    endpoints: Runtime,
    load: Runtime,
}

/// Both sides of the comparison.
struct Sides {
    straight: load::Outcome,
    through: load::Outcome,
    /// Processor time of the entry while load went through it.
    entry_time: Duration,
}

impl Stage {
    fn new(arguments: &Arguments) -> eyre::Result<Self> {
        Ok(Self {
            entry: runtime(ENTRY, arguments.threads)?,
            control: runtime(CONTROL, 1)?,
            endpoints: runtime(ENDPOINTS, arguments.threads)?,
            load: runtime(LOAD, arguments.threads)?,
        })
    }

    fn handles(&self) -> local::Runtimes {
        local::Runtimes {
            control: self.control.handle().clone(),
            entry: self.entry.handle().clone(),
            endpoints: self.endpoints.handle().clone(),
        }
    }
}

fn runtime(name: &str, threads: usize) -> eyre::Result<Runtime> {
    let built = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build();
    built.wrap_err("cannot start threads")
}

async fn measure_both(arguments: &Arguments, stage: &Stage) -> eyre::Result<Sides> {
    let wanted = local::Settings::builder()
        .engines(1)
        .token_time(Duration::from_millis(arguments.token_millis))
        .token_time_each(Duration::ZERO)
        .keeps_record(false)
        .answer_length(arguments.tokens)
        .requests(arguments.most)
        .runtimes(stage.handles())
        .build();
    let fleet = local::Local::start(wanted).await?;
    let through = load::Load::builder()
        .address(fleet.callers())
        .key(fleet.secret().to_owned())
        .model(local::MODELS[0].to_owned())
        .rate(arguments.rate)
        .time(Duration::from_secs_f64(arguments.seconds))
        .tokens(arguments.tokens)
        .most(arguments.most as usize)
        .build();
    let straight = load::Load {
        address: fleet.engines()[0].address(),
        key: None,
        ..through.clone()
    };
    for warm in [&straight, &through] {
        let short = load::Load {
            time: WARM_UP,
            ..warm.clone()
        };
        load::run(&short, arguments.seed).await?;
    }
    let mut sides = Sides {
        straight: load::Outcome::default(),
        through: load::Outcome::default(),
        entry_time: Duration::ZERO,
    };
    for round in 0..arguments.rounds {
        let seed = arguments.seed + round;
        sides.straight.add(&load::run(&straight, seed).await?);
        let before = processor::time_of(ENTRY);
        sides.through.add(&load::run(&through, seed).await?);
        sides.entry_time += processor::time_of(ENTRY).saturating_sub(before);
    }
    fleet.stop().await;
    Ok(sides)
}

fn report(arguments: &Arguments, sides: &Sides) -> Value {
    let added = |quantile| {
        let through = sides.through.first_token_millis(quantile);
        through - sides.straight.first_token_millis(quantile)
    };
    let cores = sides.entry_time.as_secs_f64() / sides.through.elapsed.as_secs_f64();
    let core_seconds = sides.entry_time.as_secs_f64();
    json!({
        "measurement": "path",
        "requests_per_second": arguments.rate,
        "tokens_each": arguments.tokens,
        "token_millis": arguments.token_millis,
        "rounds": arguments.rounds,
        "seconds_each": arguments.seconds,
        "entry_threads": arguments.threads,
        "straight": side(&sides.straight),
        "through": side(&sides.through),
        "added_first_token_millis": {"median": added(0.5), "p99": added(0.99)},
        "entry_cores": cores,
        "requests_per_core_second": sides.through.finished as f64 / core_seconds,
        "tokens_per_core_second": sides.through.tokens as f64 / core_seconds,
    })
}

fn side(outcome: &load::Outcome) -> Value {
    let seconds = outcome.elapsed.as_secs_f64();
    json!({
        "finished": outcome.finished,
        "failed": outcome.failed,
        "dropped": outcome.dropped,
        "requests_per_second": outcome.finished as f64 / seconds,
        "tokens_per_second": outcome.tokens as f64 / seconds,
        "first_token_millis": {
            "median": outcome.first_token_millis(0.5),
            "p99": outcome.first_token_millis(0.99),
        },
    })
}
