//! `measure limits`: needless refusals and overshoot of three ways to limit.

use std::collections::BTreeMap;

use clap::Parser;

use super::Measurement;

mod central;
mod demand;
mod driver;
mod scheme;
mod shares;
mod split;

/// Arguments of `measure limits`.
#[derive(Debug, Parser)]
#[command(name = "limits")]
struct Arguments {
    /// Seed of the demand.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Entries of the fleet.
    #[arg(long, default_value_t = 8)]
    entries: usize,
    /// Virtual seconds of each run.
    #[arg(long, default_value_t = 300)]
    seconds: u64,
}

/// Leased shares against an equal static split and a central bucket.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limits;

impl Measurement for Limits {
    fn name(&self) -> &'static str {
        "limits"
    }

    fn description(&self) -> &'static str {
        "needless refusals and highest overshoot of shares, a static split and a central bucket"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<serde_json::Value> {
        let arguments: Arguments = super::arguments(self.name(), arguments)?;
        let mut runs = BTreeMap::new();
        for shape in demand::Shape::ALL {
            let run = driver::Run {
                seed: arguments.seed,
                entries: arguments.entries,
                seconds: arguments.seconds,
                shape,
            };
            let schemes: [Box<dyn scheme::Scheme>; 3] = [
                Box::new(shares::Shares::new(arguments.entries, arguments.seed)),
                Box::new(split::Split::new(arguments.entries)),
                Box::new(central::Central::new()),
            ];
            let results: BTreeMap<&str, driver::Result> = schemes
                .into_iter()
                .map(|scheme| (scheme.name(), driver::run(&run, scheme)))
                .collect();
            runs.insert(shape.name(), results);
        }
        Ok(serde_json::json!({
            "seed": arguments.seed,
            "entries": arguments.entries,
            "virtual_seconds": arguments.seconds,
            "round_trip_ms": 2.0 * scheme::ONE_WAY.as_secs_f64() * 1e3,
            "commit_ms": scheme::COMMIT.as_secs_f64() * 1e3,
            "rate": demand::RATE,
            "burst": demand::BURST,
            "runs": runs,
        }))
    }
}
