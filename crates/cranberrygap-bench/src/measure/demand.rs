//! Requests within rate and their waits, for a fleet of any size on parts of a core.

use clap::Parser;
use serde_json::Value;

use super::Measurement;
use crate::soak::demand::{self, day, trouble, way};

/// The run of `soak --part demand` for a day by arguments, without a verdict.
#[derive(Debug)]
pub struct Demand;

#[derive(Debug, Parser)]
struct Arguments {
    /// Entries.
    #[arg(long, default_value_t = 69)]
    entries: usize,
    /// Thousandths of a core of each control process.
    #[arg(long, default_value_t = 75)]
    control_core: u64,
    /// How entries get tokens that they do not hold.
    #[arg(long, value_enum, default_value_t)]
    way: way::Kind,
    /// What goes wrong after two seconds that count.
    #[arg(long, value_enum, default_value_t)]
    trouble: trouble::Trouble,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Steps of a hundredth of a second.
    #[arg(long, default_value_t = 2_000)]
    steps: u64,
}

impl Measurement for Demand {
    fn name(&self) -> &'static str {
        "demand"
    }

    fn description(&self) -> &'static str {
        "waits and refusals of requests within rate, processor time of the leader by kind of work; \
         simulated, by processor times that were measured or reckoned"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<Value> {
        let arguments: Arguments = super::arguments(self.name(), arguments)?;
        let day = day::Day::quiet(arguments.entries, arguments.control_core);
        let seeds = arguments.seed..arguments.seed + arguments.seeds;
        let runs = seeds.map(|seed| {
            let demand = demand::Demand {
                day,
                way: arguments.way,
                trouble: arguments.trouble,
            };
            let tally = demand.play(seed, arguments.steps)?;
            let outcome = tally.check().err();
            Ok(serde_json::json!({ "seed": seed, "tally": tally, "violated": outcome }))
        });
        let runs: eyre::Result<Vec<Value>> = runs.collect();
        Ok(serde_json::json!({ "measurement": "demand", "runs": runs? }))
    }
}
