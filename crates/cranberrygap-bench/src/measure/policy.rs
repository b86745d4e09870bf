//! `measure policy`: placement and routing against baselines, in virtual time.

use clap::Parser;

use crate::measure;

pub mod baseline;
pub mod demand;
pub mod deployment;
pub mod engine;
pub mod failure;
pub mod fleet;
pub mod ours;
pub mod score;
pub mod store;

/// Compares the policies on the same callers, failures and engines.
#[derive(Debug)]
pub struct Policy;

/// Arguments of `measure policy`.
#[derive(Debug, Parser)]
struct Arguments {
    /// Deployment: fjordtall or rinkshare.
    #[arg(long, default_value = "fjordtall")]
    deployment: String,
    /// Seed of callers and failures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Hours of virtual time.
    #[arg(long, default_value_t = 3)]
    hours: u64,
    /// Only policies whose name contains this.
    #[arg(long, default_value = "")]
    only: String,
    /// Changes one setting of our policy for a trial, such as high=0.8.
    #[arg(long)]
    set: Vec<String>,
    /// Other mean number of requests a second.
    #[arg(long)]
    rate: Option<f64>,
}

impl measure::Measurement for Policy {
    fn name(&self) -> &'static str {
        "policy"
    }

    fn description(&self) -> &'static str {
        "attainment, moves, worst workspace and refusals of placement and routing"
    }

    fn run(&self, arguments: &[String]) -> eyre::Result<serde_json::Value> {
        let arguments: Arguments = measure::arguments("policy", arguments)?;
        let mut deployment = match arguments.deployment.as_str() {
            "fjordtall" => deployment::Deployment::fjordtall(),
            "rinkshare" => deployment::Deployment::rinkshare(),
            other => eyre::bail!("unknown deployment {other}; known: fjordtall, rinkshare"),
        };
        if let Some(rate) = arguments.rate {
            deployment.requests_per_second = rate;
        }
        let mut tuning = ours::tuning::Tuning::current();
        for change in &arguments.set {
            tuning.set(change)?;
        }
        let mut results = Vec::new();
        for mut policy in policies(&deployment, tuning, arguments.seed) {
            if !policy.name().contains(&arguments.only) {
                continue;
            }
            let fleet = fleet::Fleet::new(deployment.clone(), arguments.hours, arguments.seed);
            results.push(fleet.run(policy.as_mut()));
        }
        Ok(serde_json::json!({
            "measurement": "policy",
            "deployment": deployment.name,
            "seed": arguments.seed,
            "requests_per_second": deployment.requests_per_second,
            "virtual_hours": arguments.hours,
            "policies": results,
        }))
    }
}

fn policies(
    deployment: &deployment::Deployment,
    tuning: ours::tuning::Tuning,
    seed: u64,
) -> Vec<Box<dyn fleet::Policy>> {
    vec![
        Box::new(ours::Ours::new(deployment, tuning, seed)),
        Box::new(ours::Ours::new(
            deployment,
            ours::tuning::Tuning::earlier(),
            seed,
        )),
        Box::new(baseline::round_robin::RoundRobin::default()),
        Box::new(baseline::least_loaded::LeastLoaded::default()),
    ]
}
