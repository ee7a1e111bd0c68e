//! Logs by `logforth`, as the settings say.

use log::LevelFilter as LogLevel;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};
use trouttrack_config::settings::{LogFormat, LogSettings};

fn at_least(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogLevel::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
    }
}

/// Starts logging to standard error. Only the first call has an effect.
///
/// # Examples
///
/// ```
/// use trouttrack_config::settings::{LogFormat, LogSettings};
/// let settings = LogSettings { format: LogFormat::Json, level: log::LevelFilter::Info };
/// trouttrack_telemetry::logs::init(settings);
/// ```
pub fn init(settings: LogSettings) {
    let append = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|d| d.filter(at_least(settings.level)).append(append))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(settings.level);
    }
}
