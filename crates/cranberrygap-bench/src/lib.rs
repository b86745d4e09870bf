//! Measurements (`measure`) and long seeded runs with invariants (`soak`).

pub mod measure;
pub mod soak;
