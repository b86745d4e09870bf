//! Measurements: each prints one JSON document on standard output.

use clap::Parser;

pub mod agreement;
pub mod capacity;
pub mod demand;
pub mod leader;
pub mod limits;
pub mod load;
pub mod path;
pub mod plans;
pub mod policy;
pub mod processor;
pub mod slopes;

/// One measurement, found by its name.
pub trait Measurement {
    /// Name on the command line.
    fn name(&self) -> &'static str;
    /// What is measured, in a sentence.
    fn description(&self) -> &'static str;
    /// Measures with the arguments that follow the name.
    ///
    /// # Errors
    ///
    /// Wrong arguments, or a measurement that could not be carried out.
    fn run(&self, arguments: &[String]) -> eyre::Result<serde_json::Value>;
}

/// All measurements; a new one is a file and a line here.
#[must_use]
pub fn registry() -> Vec<Box<dyn Measurement>> {
    vec![
        Box::new(agreement::Agreement),
        Box::new(capacity::Capacity),
        Box::new(demand::Demand),
        Box::new(leader::Leader),
        Box::new(limits::Limits),
        Box::new(path::Path),
        Box::new(plans::Plans),
        Box::new(policy::Policy),
        Box::new(slopes::Slopes),
    ]
}

/// Reads the arguments of one measurement with `clap`.
///
/// # Errors
///
/// What `clap` says of wrong arguments.
pub fn arguments<T: Parser>(name: &str, rest: &[String]) -> eyre::Result<T> {
    let words = std::iter::once(name.to_owned()).chain(rest.iter().cloned());
    Ok(T::try_parse_from(words)?)
}
