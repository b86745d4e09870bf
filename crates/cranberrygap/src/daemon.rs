//! What both daemons share: settings, logs, metrics and signals.

pub mod control;
pub mod entry;
pub mod launch;
pub mod log;
pub mod metrics;
mod secret;
pub mod settings;
pub mod signal;
pub mod watch;
