//! Logs: JSON lines on standard error, quiet unless asked, because writing costs processor time.
use crate::prelude::*;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// Starts the process's log at a level: off, error, warn, info or debug.
pub fn start_logs(level: &str) -> NodeResult<()> {
    let filter = match level {
        "off" => LevelFilter::Off,
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "info" => LevelFilter::MoreSevereEqual(Level::Info),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        _ => LevelFilter::MoreSevereEqual(Level::Warn),
    };
    let made = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc()
        .and_then(|sink| {
            Logger::builder()
                .sink(sink)
                .level_filter(filter)
                .flush_level_filter(LevelFilter::All)
                .build_arc()
        });
    match made {
        Ok(log) => {
            spdlog::set_default_logger(log);
            Ok(())
        }
        Err(e) => Err(NodeError::Other { reason: format!("logs: {e}") }),
    }
}
