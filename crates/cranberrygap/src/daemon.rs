//! What both daemons share: settings, logs, metrics and signals.

pub mod control;
pub mod entry;
pub mod gate;
pub mod http;
pub mod launch;
pub mod log;
pub mod metrics;
pub mod scrape;
mod secret;
pub mod settings;
pub mod signal;
pub mod watch;
