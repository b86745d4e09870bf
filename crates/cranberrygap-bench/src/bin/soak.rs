//! `soak --part NAME --seed N --steps N`: a seeded run with invariants asserted.

use std::process::ExitCode;

use clap::Parser;
use cranberrygap_bench::soak;

const USAGE_EXIT: u8 = 2;

/// A long seeded run; exits 1 when an invariant is violated.
#[derive(Debug, Parser)]
#[command(name = "soak")]
struct Arguments {
    /// Part of the system to run.
    #[arg(long)]
    part: String,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, counted up from the first.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Steps for each seed.
    #[arg(long, default_value_t = 50_000)]
    steps: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let registry = soak::registry();
    let Some(part) = registry.iter().find(|part| part.name() == arguments.part) else {
        eprintln!("unknown part {}; known are:", arguments.part);
        for part in &registry {
            eprintln!("  {:<12} {}", part.name(), part.description());
        }
        return ExitCode::from(USAGE_EXIT);
    };
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        match part.run(seed, arguments.steps) {
            Ok(report) => println!("{report}"),
            Err(violation) => {
                eprint!("{violation}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
