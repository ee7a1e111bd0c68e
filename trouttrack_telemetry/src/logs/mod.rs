//! Logs by `logforth`, as the settings say.

mod bounded;

pub use bounded::{BoundedStdout, LinesDropped};

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

/// Starts logging JSON lines to standard output, with bounds on their number
/// and without ever waiting for whoever reads them. Only the first call has an
/// effect. Returns the count of lines that the bounds left out.
pub fn init_bounded(level: LogLevel) -> LinesDropped {
    let append = BoundedStdout::new();
    let dropped = append.dropped();
    let started = logforth::starter_log::builder()
        .dispatch(|d| d.filter(at_least(level)).append(append))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(level);
    }
    dropped
}
