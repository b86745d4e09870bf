//! What agreement costs: commits, loss of the leader, recovery, idle traffic.

mod commits;
mod failover;
mod force;
mod group;
mod idle;
mod recovery;
mod relay;
mod replicas;

use std::time::Duration;

use clap::Parser;
use cranberrygap::daemon::log;
use cranberrygap_wire::settings;
use eyre::WrapErr as _;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::runtime;

use crate::measure;

/// Commits, loss of the leader, time in force, recovery, idle traffic.
#[derive(Debug, Parser)]
#[command(name = "agreement")]
struct Arguments {
    /// Control processes.
    #[arg(long, default_value_t = 3)]
    controls: usize,
    /// Seconds for each number of proposals at once.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Leaders killed.
    #[arg(long, default_value_t = 15)]
    kills: usize,
    /// Changes whose time until they are in force is taken.
    #[arg(long, default_value_t = 40)]
    changes: usize,
    /// Entries.
    #[arg(long, default_value_t = 8)]
    entries: usize,
    /// Longest log whose recovery is timed.
    #[arg(long, default_value_t = 40_000)]
    log: u64,
    /// Seconds of quiet.
    #[arg(long, default_value_t = 5.0)]
    quiet: f64,
}

/// Measures what agreement costs.
#[derive(Debug)]
pub struct Agreement;

impl measure::Measurement for Agreement {
    fn name(&self) -> &'static str {
        "agreement"
    }

    fn description(&self) -> &'static str {
        "commits and latency with sync, time without a leader, time in force, recovery, idle bytes"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<Value> {
        let arguments: Arguments = measure::arguments(self.name(), arguments)?;
        // Standard output carries the result only.
        log::install(&settings::Log {
            level: settings::LogLevel::Error,
            ..settings::Log::default()
        })?;
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()
            .wrap_err("cannot start threads")?;
        runtime.block_on(measure_all(&arguments))
    }
}

async fn measure_all(arguments: &Arguments) -> eyre::Result<Value> {
    let time = Duration::from_secs_f64(arguments.seconds);
    let quiet = Duration::from_secs_f64(arguments.quiet);
    let commits = commits::run(arguments.controls, time).await?;
    let failover = failover::run(arguments.controls, arguments.kills).await?;
    let force = force::run(arguments.controls, arguments.entries, arguments.changes).await?;
    let recovery = recovery::run(arguments.log).await?;
    let idle = idle::run(arguments.controls, quiet).await?;
    Ok(json!({
        "measurement": "agreement",
        "controls": arguments.controls,
        "commits": commits,
        "without_leader_millis": failover,
        "in_force_millis": force,
        "recovery": recovery,
        "idle_bytes_per_second": idle,
    }))
}

/// Times in microseconds, up to a minute.
fn histogram() -> Histogram<u64> {
    const LONGEST: u64 = 60_000_000;
    Histogram::new_with_max(LONGEST, 3).expect("three digits up to a minute fit")
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

/// Quantiles in milliseconds.
fn millis(histogram: &Histogram<u64>) -> Value {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({
        "count": histogram.len(),
        "median": at(0.5),
        "p99": at(0.99),
        "worst": histogram.max() as f64 / 1_000.0,
    })
}
