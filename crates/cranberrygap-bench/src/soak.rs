//! Long seeded runs of the decision logic; invariants are asserted inside.

pub mod agreement;
pub mod bookings;
pub mod demand;
pub mod departures;
pub mod endpoint_limits;
pub mod limits;
pub mod origins;
pub mod placement;
pub mod quarantine;
pub mod resends;
pub mod residency;
pub mod rests;
pub mod view;

use std::fmt;

/// One part of the system under a seeded run.
pub trait Part {
    /// Name for `--part`.
    fn name(&self) -> &'static str;
    /// What is run and which invariants are asserted, in a sentence.
    fn description(&self) -> &'static str;
    /// Runs so many steps from the seed.
    ///
    /// # Errors
    ///
    /// The first violation of an invariant, with its trace.
    fn run(&self, seed: u64, steps: u64) -> Result<serde_json::Value, Violation>;
}

/// An invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant, in a sentence.
    pub invariant: String,
    /// The seed that shows it.
    pub seed: u64,
    /// The step at which it was seen.
    pub step: u64,
    /// The last events before it.
    pub trace: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "violated: {}", self.invariant)?;
        writeln!(f, "seed {}, step {}", self.seed, self.step)?;
        self.trace
            .iter()
            .try_for_each(|event| writeln!(f, "  {event}"))
    }
}

impl std::error::Error for Violation {}

/// All parts; a new one is a file and a line here.
#[must_use]
pub fn registry() -> Vec<Box<dyn Part>> {
    vec![
        Box::new(agreement::Agreement::default()),
        Box::new(limits::Limits),
        Box::new(endpoint_limits::EndpointLimits),
        Box::new(bookings::Bookings),
        Box::new(quarantine::Quarantine),
        Box::new(resends::Resends),
        Box::new(rests::Rests),
        Box::new(departures::Departures),
        Box::new(origins::Origins),
        Box::new(view::View::default()),
        Box::new(view::Minority),
        Box::new(view::Plans::default()),
        Box::new(view::Quiet::default()),
        Box::new(demand::Demand::default()),
        Box::new(placement::Placement::new(placement::Variant::Sound)),
        Box::new(residency::Residency::default()),
    ]
}
