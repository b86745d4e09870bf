//! Estimates each model's demand from counted requests.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};

pub mod decayed;
pub mod heat;

/// Estimates demand per model.
pub trait Estimator: Send + std::fmt::Debug {
    /// Counts `amount` of demand for a model at `now`.
    fn count(&mut self, now: duration::Instant, model: &id::Model, amount: f64);
    /// Expected demand per second for each model at `now`.
    fn rates(&self, now: duration::Instant) -> BTreeMap<id::Model, f64>;
}
