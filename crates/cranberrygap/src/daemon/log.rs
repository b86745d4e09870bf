//! Logs on standard error, one line a message.

use std::sync::Arc;

use cranberrygap_wire::settings;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::StdStreamSink;

/// Sends all messages of this process to standard error in the wanted form.
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
    let builder = StdStreamSink::builder().stderr();
    match format {
        settings::LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc(),
        settings::LogFormat::Text => {
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
