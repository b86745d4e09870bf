//! `measure NAME ...`: one measurement, JSON on standard output.

use std::process::ExitCode;

use cranberrygap_bench::measure;

const USAGE_EXIT: u8 = 2;

fn main() -> eyre::Result<ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let wanted = words.first().map(String::as_str).unwrap_or_default();
    let registry = measure::registry();
    let Some(found) = registry
        .iter()
        .find(|measurement| measurement.name() == wanted)
    else {
        eprintln!("usage: measure NAME [arguments]");
        for measurement in &registry {
            eprintln!("  {:<12} {}", measurement.name(), measurement.description());
        }
        return Ok(ExitCode::from(USAGE_EXIT));
    };
    let result = found.run(words.get(1..).unwrap_or_default());
    if let Some(wrong) = result
        .as_ref()
        .err()
        .and_then(|cause| cause.downcast_ref::<clap::Error>())
    {
        wrong.exit();
    }
    let result = result?;
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(ExitCode::SUCCESS)
}
