//! What both daemons share: settings, logs, metrics and signals.

pub mod control;
pub mod entry;
pub mod log;
pub mod metrics;
pub mod settings;
pub mod signal;

/// Exit code of a process that refuses its settings or arguments.
pub const WRONG_SETTINGS: u8 = 2;
