//! The baselines, built as operators would build them with common means.
//!
//! Both know every runner's true state at once, lose no orders, and start from
//! the same placement as all policies.

use crate::measure::policy::fleet::Fleet;

pub mod least_loaded;
pub mod round_robin;

/// Requests for which no runner serves at the moment.
#[derive(Debug, Default)]
pub struct Parked {
    requests: Vec<usize>,
}

/// How often parked requests are looked at.
pub const LOOK_EVERY: u64 = 100_000;

impl Parked {
    /// Keeps a request.
    pub fn push(&mut self, request: usize) {
        self.requests.push(request);
    }

    /// Takes all out, refusing those whose deadline has come.
    pub fn take(&mut self, fleet: &mut Fleet) -> Vec<usize> {
        let requests = std::mem::take(&mut self.requests);
        let (alive, expired): (Vec<usize>, Vec<usize>) = requests
            .into_iter()
            .partition(|request| fleet.left(*request) > 0);
        for request in expired {
            fleet.refuse(request);
        }
        alive
    }
}
