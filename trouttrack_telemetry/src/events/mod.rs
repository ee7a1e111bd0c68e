//! Numbered events.
//!
//! Each event has a number that never changes its meaning. The page
//! `docs/EVENTS.md` is written from [`catalogue`] and checked by a test.

mod catalogue;

pub use catalogue::*;

use log::Level;
use std::fmt;
use std::fmt::Write as _;

/// One kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number.
    pub number: u16,
    /// How severe it is.
    pub level: Level,
    /// Its name, in kebab case.
    pub name: &'static str,
    /// What it means and what to do.
    pub meaning: &'static str,
}

impl Event {
    /// Logs the event with what is particular to this time.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_telemetry::events::STARTED;
    /// STARTED.log(format_args!("program=example"));
    /// ```
    pub fn log(&self, details: fmt::Arguments<'_>) {
        log::log!(
            target: "trouttrack",
            self.level,
            event = self.number, name = self.name;
            "E{:03} {}: {details}", self.number, self.name
        );
    }
}

/// Logs an event with typed fields, which a JSON log keeps apart.
///
/// # Examples
///
/// ```
/// use trouttrack_telemetry::{events, record};
/// let id = "9c41";
/// record!(events::REFUSED, request = id, reason = "queue-full", waited_ms = 12);
/// ```
#[macro_export]
macro_rules! record {
    ($event:expr, $($field:ident = $value:expr),+ $(,)?) => {{
        let event: $crate::events::Event = $event;
        $crate::events::log::log!(
            target: "trouttrack",
            event.level,
            event = event.number, $($field = $value),+;
            "{}", event.name
        );
    }};
}

#[doc(hidden)]
pub use log;

/// The page of the catalogue, in Markdown.
#[must_use]
pub fn reference() -> String {
    let mut out = String::from(
        "# Events\n\nWritten from the catalogue in `trouttrack_telemetry`; a test keeps it true.\n\
         A log line carries `E` and the number, the name, then the particulars as `key=value`.\n\n\
         | event | level | name | meaning |\n| --- | --- | --- | --- |\n",
    );
    for e in ALL {
        let level = e.level.as_str().to_lowercase();
        let _ = writeln!(
            out,
            "| E{:03} | {level} | `{}` | {} |",
            e.number, e.name, e.meaning
        );
    }
    out
}
