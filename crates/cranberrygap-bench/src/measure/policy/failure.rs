//! Losses of runners and of a failure domain.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::measure::policy::deployment::Deployment;

const MINUTE: u64 = 60_000_000;

/// Runners that fail or come back together.
#[derive(Debug, Clone)]
pub struct Failure {
    /// When.
    pub at: u64,
    /// Which.
    pub runners: Vec<usize>,
    /// Whether they come back, with empty memory.
    pub back: bool,
}

/// A runner's outage lasts this long, a failure domain's longer.
const RUNNER_OUTAGE: u64 = 10 * MINUTE;
const DOMAIN_OUTAGE: u64 = 15 * MINUTE;

/// One runner lost in every half hour, one failure domain lost in the run.
#[must_use]
pub fn schedule(deployment: &Deployment, end: u64, rng: &mut ChaCha8Rng) -> Vec<Failure> {
    let mut failures = Vec::new();
    let mut at = 15 * MINUTE;
    while at < end {
        let runner = rng.random_range(0..deployment.runners);
        add(&mut failures, at, vec![runner], RUNNER_OUTAGE);
        at += 30 * MINUTE;
    }
    let domain = rng.random_range(0..deployment.domains);
    let runners = 0..deployment.runners;
    let lost = runners
        .filter(|runner| deployment.domain(*runner) == domain)
        .collect();
    // Between two losses of single runners, so that none fails twice at once.
    add(&mut failures, end / 2 - 3 * MINUTE, lost, DOMAIN_OUTAGE);
    failures
}

fn add(failures: &mut Vec<Failure>, at: u64, runners: Vec<usize>, outage: u64) {
    failures.push(Failure {
        at,
        runners: runners.clone(),
        back: false,
    });
    failures.push(Failure {
        at: at + outage,
        runners,
        back: true,
    });
}
