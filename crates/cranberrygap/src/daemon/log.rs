//! Logs, one line a message: JSON on standard output, text on standard error.

use std::sync::Arc;

use cranberrygap_wire::settings;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::StdStreamSink;

/// Sends all messages of this process where its form belongs.
///
/// # Errors
///
/// When the log library cannot be set up.
pub fn install(wanted: &settings::Log) -> eyre::Result<()> {
    let sink = sink(wanted.format)?;
    let least = spdlog::LevelFilter::MoreSevereEqual(level(wanted.level));
    let logger = spdlog::Logger::builder()
        .sink(sink)
        .level_filter(least)
        .flush_level_filter(spdlog::LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn sink(format: settings::LogFormat) -> spdlog::Result<Arc<StdStreamSink>> {
    let builder = StdStreamSink::builder();
    match format {
        settings::LogFormat::Json => {
            let builder = builder.stdout();
            builder.formatter(JsonFormatter::new()).build_arc()
        }
        settings::LogFormat::Text => {
            let builder = builder.stderr();
            let line = pattern!("{date} {time}.{millisecond} {level} {payload}{eol}");
            builder.formatter(PatternFormatter::new(line)).build_arc()
        }
    }
}

fn level(level: settings::LogLevel) -> spdlog::Level {
    match level {
        settings::LogLevel::Debug => spdlog::Level::Debug,
        settings::LogLevel::Info => spdlog::Level::Info,
        settings::LogLevel::Warn => spdlog::Level::Warn,
        settings::LogLevel::Error => spdlog::Level::Error,
    }
}
